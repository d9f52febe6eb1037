//! The subcommand `fernring serve`: runs a node.

use {
    super::{EXIT_FAILED, load},
    crate::{http, logs, node::Node, settings::Settings},
    anyhow::Context,
    clap::Args,
    std::{path::PathBuf, process::ExitCode},
};

/// Run a node until it is told to stop.
///
/// SIGTERM and SIGINT drain it: it tells new callers to go elsewhere, finishes every request in
/// flight, then exits with 0.
#[derive(Debug, Args)]
pub struct ServeArgs {
    /// Settings file, in TOML
    pub file: PathBuf,
}

impl ServeArgs {
    /// Runs the subcommand.
    pub fn execute(self) -> ExitCode {
        let settings = match load(&self.file) {
            Ok(settings) => settings,
            Err(code) => return code,
        };
        match run(settings) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("fernring: {error:#}");
                ExitCode::from(EXIT_FAILED)
            }
        }
    }
}

fn run(settings: Settings) -> anyhow::Result<()> {
    logs::start(settings.log.level)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.node.worker_threads)
        .enable_all()
        .build()
        .context("could not start the runtime")?;
    runtime.block_on(async {
        let node = Node::start(settings).await?;
        http::serve(node).await
    })
}

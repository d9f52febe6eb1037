//! The subcommands, one module each, with their arguments and `execute`.

pub(crate) mod confirm;
pub(crate) mod drain;
pub(crate) mod explain;
pub(crate) mod pipelines;
pub(crate) mod plan;
pub(crate) mod publish;
pub(crate) mod status;

use {
    crate::failure::Failure,
    anyhow::Context,
    clap::{Args, ValueEnum},
    serde::Serialize,
    std::{fs, path::Path},
};

/// Form of the output.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub(crate) enum Output {
    /// For people
    Text,
    /// For scripts
    Json,
}

/// Options for the output of a command.
#[derive(Debug, Args)]
pub(crate) struct OutputArgs {
    /// Form of the output
    #[arg(long, value_enum, default_value = "text")]
    pub(crate) output: Output,
}

/// Prints a value as formatted JSON.
fn print_json(value: &impl Serialize) -> Result<(), Failure> {
    let text = serde_json::to_string_pretty(value).map_err(Failure::failed)?;
    println!("{text}");
    Ok(())
}

fn read_file(path: &Path) -> Result<String, Failure> {
    let text = fs::read_to_string(path).with_context(|| path.display().to_string());
    text.map_err(Failure::BadInput)
}

/// Returns the operator's user name, which is recorded as the author of a change.
fn author() -> String {
    std::env::var("USER").unwrap_or_else(|_| "unknown".to_owned())
}

//! The subcommand `fernring gateway`: runs a gateway node on the users' platform.

use {
    super::{EXIT_BAD_INPUT, EXIT_FAILED},
    crate::logs,
    anyhow::Context,
    clap::Args,
    fernring_adapter::{PlatformStore, PlatformWire, SETTINGS_VARIABLE},
    fernring_core::clock::SystemClock,
    fernring_gateway::{
        connector::dial::TcpDialer,
        node::{Listeners, Node, NodeDependencies, stop_signal},
        settings::{Settings, load},
    },
    metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle},
    std::{
        path::{Path, PathBuf},
        process::ExitCode,
        rc::Rc,
    },
    tokio::task::LocalSet,
};

/// Run a gateway node until it is told to stop.
///
/// SIGTERM and SIGINT drain it; SIGHUP, or a changed file, puts new settings in force.
#[derive(Debug, Args)]
pub struct GatewayArgs {
    /// Settings file, in TOML
    #[arg(env = SETTINGS_VARIABLE)]
    pub file: PathBuf,
}

impl GatewayArgs {
    /// Runs the subcommand.
    pub fn execute(self) -> ExitCode {
        let settings = match load(&self.file) {
            Ok(settings) => settings,
            Err(error) => {
                eprintln!("fernring: {error}");
                return ExitCode::from(EXIT_BAD_INPUT);
            }
        };
        match run(settings, &self.file) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("fernring: {error:#}");
                ExitCode::from(EXIT_FAILED)
            }
        }
    }
}

fn run(settings: Settings, path: &Path) -> anyhow::Result<()> {
    logs::start_bounded(settings.log.decisions, settings.log.bytes_per_s)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("could not start the runtime")?;
    let recorder = metrics_recorder()?;
    let clock = Rc::new(SystemClock::new());
    let foundation = NodeDependencies {
        clock: clock.clone(),
        wire: Rc::new(PlatformWire),
        store: Rc::new(PlatformStore::new(settings.store.address, clock)),
        dialer: Rc::new(TcpDialer),
        render: Box::new(move || recorder.render()),
    };
    LocalSet::new().block_on(&runtime, async {
        let mut settings = settings;
        let listeners = Listeners::bind(&mut settings.node).await?;
        let stop = stop_signal()?;
        Node::new(settings, foundation).run(listeners, path.to_owned(), stop).await;
        Ok(())
    })
}

/// Histogram buckets of durations, in seconds: around the objectives and deadlines that operators set.
const TIME_BUCKETS_S: [f64; 12] = [0.01, 0.03, 0.1, 0.2, 0.3, 0.5, 0.7, 1.0, 1.5, 2.0, 4.0, 8.0];
/// Histogram buckets of batch sizes, in pieces.
const PIECE_BUCKETS: [f64; 7] = [1.0, 2.0, 4.0, 8.0, 16.0, 32.0, 64.0];

fn metrics_recorder() -> anyhow::Result<PrometheusHandle> {
    let batch_metric = Matcher::Full("fernring_gateway_batch_pieces".to_owned());
    let builder = PrometheusBuilder::new()
        .set_buckets(&TIME_BUCKETS_S)?
        .set_buckets_for_metric(batch_metric, &PIECE_BUCKETS)?;
    builder.install_recorder().context("could not set up metrics")
}

//! The HTTP interface to callers and operators.

mod body;
mod metrics;
mod reply;
mod routes;
mod status;

use {
    crate::node::Node,
    anyhow::{Context, anyhow},
    fernring_core::text::LogLine,
    reply::{bad_request, internal_error, not_found},
    rocket::{
        Config, Shutdown, catchers,
        config::{LogLevel, Shutdown as ShutdownConfig},
        fairing::AdHoc,
        routes,
    },
    spdlog::{error, info},
    std::{sync::Arc, time::Duration},
    tokio::signal::unix::{SignalKind, signal},
};

/// How often a draining node checks whether it is idle.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Seconds for which the HTTP library lets connections close once nothing is in flight.
const CLOSE_GRACE_S: u32 = 1;

/// Serves callers and operators until the node receives SIGTERM or SIGINT and has drained.
///
/// # Errors
/// If the address can't be listened on.
pub async fn serve(node: Arc<Node>) -> anyhow::Result<()> {
    let recorder = metrics::Recorder::install()?;
    let address = node.settings().node.caller_address;
    let shutdown = ShutdownConfig {
        // `drain_on_signal` handles signals: the library's own handling would close the listener first.
        ctrlc: false,
        signals: Default::default(),
        grace: CLOSE_GRACE_S,
        mercy: CLOSE_GRACE_S,
        force: true,
        ..ShutdownConfig::default()
    };
    let config = Config {
        address: address.ip(),
        port: address.port(),
        log_level: LogLevel::Off,
        cli_colors: false,
        shutdown,
        workers: node.settings().node.worker_threads,
        ..Config::default()
    };
    let node_to_log = node.clone();
    let rocket = rocket::custom(config)
        .manage(node.clone())
        .manage(recorder)
        .attach(AdHoc::on_liftoff("announce", move |rocket| {
            Box::pin(async move { log_listening(&node_to_log, rocket.config()) })
        }))
        .mount(
            "/",
            routes![
                routes::submit,
                routes::mint_tickets,
                routes::request_status,
                routes::healthz,
                routes::readyz,
                status::status,
                metrics::render,
            ],
        )
        .register("/", catchers![not_found, bad_request, internal_error]);
    let rocket = rocket.ignite().await.map_err(|error| anyhow!("{error}"))?;
    tokio::spawn(drain_on_signal(node, rocket.shutdown()));
    rocket
        .launch()
        .await
        .map_err(|error| anyhow!("{error}"))
        .with_context(|| format!("could not serve on node.caller_address = {address}"))?;
    Ok(())
}

fn log_listening(node: &Node, config: &Config) {
    let identity = node.identity();
    let line = LogLine::event("listening")
        .with("caller", format!("{}:{}", config.address, config.port))
        .with("peer", identity.address)
        .with("bound", node.bound_address())
        .with("failure_domain", &identity.failure_domain)
        .with("incarnation", identity.incarnation);
    info!("{line}");
}

/// Drains the node on SIGTERM or SIGINT, and stops serving once nothing is in flight.
async fn drain_on_signal(node: Arc<Node>, shutdown: Shutdown) {
    let (term, int) = (signal(SignalKind::terminate()), signal(SignalKind::interrupt()));
    let (Ok(mut term), Ok(mut int)) = (term, int) else {
        error!("{}", LogLine::event("signals_unavailable"));
        return;
    };
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    node.drain();
    tokio::time::sleep(Duration::from_millis(node.settings().drain.linger_ms)).await;
    while !node.is_idle() {
        tokio::time::sleep(IDLE_CHECK_INTERVAL).await;
    }
    info!("{}", LogLine::event("drained"));
    shutdown.notify();
}

//! Starts the HTTP server of a stand-in.

use {
    anyhow::{Context, anyhow},
    rocket::{
        Build, Config, Rocket, Shutdown,
        config::{LogLevel, Shutdown as ShutdownConfig},
        fairing::AdHoc,
    },
    std::net::{IpAddr, SocketAddr},
    tokio::sync::oneshot,
};

/// A running server.
#[derive(Debug, Clone)]
pub struct Server {
    /// Address that it listens on.
    pub address: SocketAddr,
    shutdown: Shutdown,
}

impl Server {
    /// Stops the server.
    pub fn stop(&self) {
        self.shutdown.clone().notify();
    }
}

/// Starts a server on a free port of `ip`, in the current runtime.
///
/// # Errors
/// If it can't listen on `ip`.
pub async fn start(
    ip: IpAddr,
    build: impl FnOnce(Rocket<Build>) -> Rocket<Build>,
) -> anyhow::Result<Server> {
    let shutdown = ShutdownConfig { ctrlc: false, grace: 0, mercy: 0, ..Default::default() };
    let config = Config {
        address: ip,
        port: 0,
        log_level: LogLevel::Off,
        cli_colors: false,
        keep_alive: 60,
        shutdown,
        ..Config::default()
    };
    let (sender, receiver) = oneshot::channel();
    let announce = AdHoc::on_liftoff("announce", move |rocket| {
        let port = rocket.config().port;
        Box::pin(async move {
            let _ = sender.send(port);
        })
    });
    let rocket = build(rocket::custom(config)).attach(announce);
    let rocket = rocket.ignite().await.map_err(|error| anyhow!("{error}"))?;
    let shutdown = rocket.shutdown();
    tokio::spawn(rocket.launch());
    let port = receiver.await.context("the server did not start")?;
    Ok(Server { address: SocketAddr::new(ip, port), shutdown })
}

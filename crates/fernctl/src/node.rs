//! Asking a node over HTTP.

use {
    crate::failure::Failure,
    anyhow::Context,
    reqwest::Client,
    serde_json::Value,
    std::{net::SocketAddr, time::Duration},
};

/// How long an answer is waited for.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Asks a node for JSON, whatever its status.
pub(crate) async fn get(node: SocketAddr, path: &str) -> Result<Value, Failure> {
    let url = format!("http://{node}{path}");
    let client = Client::builder().no_proxy().timeout(TIMEOUT).build().map_err(Failure::failed)?;
    let ask = async { client.get(&url).send().await?.json().await };
    ask.await.with_context(|| format!("no answer from node {node}")).map_err(Failure::Failed)
}

//! HTTP requests to a node.

use {
    crate::failure::Failure,
    anyhow::Context,
    fernring_platform::{
        http_client::{ConnectionOptions, HttpClient},
        read_body,
    },
    http::Request,
    serde_json::Value,
    std::{net::SocketAddr, time::Duration},
    tokio::time::timeout,
};

/// Timeout of a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Largest response, in bytes.
const RESPONSE_MAX_BYTES: usize = 16 << 20;

/// Requests a path from a node and returns the JSON body of the response, for any HTTP status.
pub(crate) async fn get_json(node: SocketAddr, path: &str) -> Result<Value, Failure> {
    let response = timeout(REQUEST_TIMEOUT, fetch_json(node, path)).await;
    let response = response.unwrap_or_else(|late| Err(late.into()));
    response.with_context(|| format!("no answer from node {node}")).map_err(Failure::Failed)
}

async fn fetch_json(node: SocketAddr, path: &str) -> anyhow::Result<Value> {
    let request = Request::get(format!("http://{node}{path}")).body(Default::default())?;
    let response = HttpClient::new(ConnectionOptions::default()).send(request).await?;
    Ok(serde_json::from_slice(&read_body(response, RESPONSE_MAX_BYTES).await?)?)
}

//! HTTP requests to a node.

use {
    crate::failure::Failure,
    anyhow::Context,
    fernring_platform::read_body,
    reqwest::Client,
    serde_json::Value,
    std::{net::SocketAddr, time::Duration},
};

/// Timeout of a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Largest response, in bytes.
const RESPONSE_MAX_BYTES: usize = 16 << 20;

/// Requests a path from a node and returns the JSON body of the response, for any HTTP status.
pub(crate) async fn get_json(node: SocketAddr, path: &str) -> Result<Value, Failure> {
    let url = format!("http://{node}{path}");
    let client =
        Client::builder().no_proxy().timeout(REQUEST_TIMEOUT).build().map_err(Failure::failed)?;
    let response = async {
        let response = client.get(&url).send().await?;
        let body = read_body(response, RESPONSE_MAX_BYTES).await?;
        Ok::<_, anyhow::Error>(serde_json::from_slice(&body)?)
    };
    response.await.with_context(|| format!("no answer from node {node}")).map_err(Failure::Failed)
}

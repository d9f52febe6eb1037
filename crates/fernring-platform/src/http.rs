//! HTTP clients of the platform's services.

use {
    crate::{
        AppendResponse, LogService, PlatformError, VmEntry, VmList,
        body::{read_body, read_large_body},
    },
    async_trait::async_trait,
    fernring_core::log::LogPage,
    reqwest::{Client, Response, StatusCode, redirect::Policy},
    std::{
        net::{IpAddr, SocketAddr},
        time::Duration,
    },
    tokio::time::{error::Elapsed, timeout},
};

/// Largest response to an append, in bytes.
const APPEND_RESPONSE_MAX_BYTES: usize = 64 << 10;
/// Largest page of a stream, in bytes of JSON. A snapshot of the configuration has up to 16 MiB, and
/// a third more in Base64.
const PAGE_MAX_BYTES: usize = 64 << 20;
/// Largest VM list, in bytes of JSON.
const VM_LIST_MAX_BYTES: usize = 16 << 20;

/// HTTP client of the log service.
#[derive(Debug, Clone)]
pub struct HttpLog {
    client: Client,
    base_url: String,
    timeout: Duration,
}

/// HTTP client of the VM list.
#[derive(Debug, Clone)]
pub struct HttpVmList {
    client: Client,
    base_url: String,
    timeout: Duration,
}

/// Builds an HTTP client that follows no redirects, uses no system proxies and doesn't retry.
/// Connections are made from the local address `source` if it is given.
fn build_client(source: Option<IpAddr>) -> Client {
    let builder = Client::builder().no_proxy().redirect(Policy::none());
    let builder = builder.retry(reqwest::retry::never()).local_address(source);
    builder.build().expect("building a client without TLS can't fail")
}

impl HttpLog {
    /// Creates a client of the log service.
    ///
    /// `timeout` limits each append, and in a read the wait for the response head (in addition to
    /// `wait` of the read) and for each [`PROGRESS_MIN_BYTES`](crate::PROGRESS_MIN_BYTES) of the
    /// body: a page that holds a snapshot of the configuration may take longer than that over a slow
    /// link. Connections are made from the local address `source` if it is given.
    pub fn new(address: SocketAddr, timeout: Duration, source: Option<IpAddr>) -> Self {
        Self { client: build_client(source), base_url: format!("http://{address}"), timeout }
    }
}

fn timeout_error(_: Elapsed) -> PlatformError {
    PlatformError::Timeout
}

impl HttpVmList {
    /// Creates a client of the VM list. `timeout` limits each request. Connections are made from
    /// the local address `source` if it is given.
    pub fn new(address: SocketAddr, timeout: Duration, source: Option<IpAddr>) -> Self {
        Self { client: build_client(source), base_url: format!("http://{address}"), timeout }
    }
}

fn check_status(response: Response) -> Result<Response, PlatformError> {
    match response.status() {
        status if status.is_success() => Ok(response),
        StatusCode::TOO_MANY_REQUESTS => Err(PlatformError::RateLimited),
        status => Err(PlatformError::UnexpectedStatus(status.as_u16())),
    }
}

#[async_trait]
impl LogService for HttpLog {
    async fn append(&self, stream: &str, data: &[u8]) -> Result<AppendResponse, PlatformError> {
        let url = format!("{}/streams/{stream}/records", self.base_url);
        let request = self.client.post(url).timeout(self.timeout).body(data.to_vec());
        let response = check_status(request.send().await?)?;
        Ok(serde_json::from_slice(&read_body(response, APPEND_RESPONSE_MAX_BYTES).await?)?)
    }

    async fn read(
        &self,
        stream: &str,
        from: u64,
        wait: Duration,
    ) -> Result<LogPage, PlatformError> {
        let wait_ms = wait.as_millis();
        let url =
            format!("{}/streams/{stream}/records?from={from}&wait_ms={wait_ms}", self.base_url);
        let response = timeout(self.timeout + wait, self.client.get(url).send());
        let response = check_status(response.await.map_err(timeout_error)??)?;
        let body = read_large_body(response, PAGE_MAX_BYTES, self.timeout).await?;
        Ok(serde_json::from_slice(&body)?)
    }
}

#[async_trait]
impl VmList for HttpVmList {
    async fn list(&self) -> Result<Vec<VmEntry>, PlatformError> {
        let request = self.client.get(format!("{}/vms", self.base_url)).timeout(self.timeout);
        let response = check_status(request.send().await?)?;
        Ok(serde_json::from_slice(&read_body(response, VM_LIST_MAX_BYTES).await?)?)
    }
}

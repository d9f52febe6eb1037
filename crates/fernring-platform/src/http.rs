//! The platform's HTTP interface.

use {
    crate::{AppendResponse, LogService, PlatformError, VmEntry, VmList},
    async_trait::async_trait,
    fernring_core::log::LogPage,
    reqwest::{Client, Response, StatusCode, redirect::Policy},
    std::{
        net::{IpAddr, SocketAddr},
        time::Duration,
    },
    tokio::time::{error::Elapsed, timeout},
};

/// The log service over HTTP.
#[derive(Debug, Clone)]
pub struct HttpLog {
    client: Client,
    base: String,
    timeout: Duration,
}

/// The VM list over HTTP.
#[derive(Debug, Clone)]
pub struct HttpVmList {
    client: Client,
    base: String,
    timeout: Duration,
}

/// Builds a client that does exactly what it is told: no redirects, no system proxies, and no
/// retries of its own.
/// Connections leave from `source` if one is given.
fn plain_client(source: Option<IpAddr>) -> Client {
    let builder = Client::builder().no_proxy().redirect(Policy::none());
    let builder = builder.retry(reqwest::retry::never()).local_address(source);
    builder.build().expect("a client without TLS needs nothing from the system")
}

impl HttpLog {
    /// Creates a client of the log service; an answer is waited for up to `timeout`.
    /// Connections leave from `source` if one is given.
    pub fn new(address: SocketAddr, timeout: Duration, source: Option<IpAddr>) -> Self {
        Self { client: plain_client(source), base: format!("http://{address}"), timeout }
    }

    /// Reads an answer's body for as long as it keeps coming: a page with a snapshot of the configuration
    /// takes longer over a small link than an answer may take to begin.
    async fn collect(&self, mut response: Response) -> Result<Vec<u8>, PlatformError> {
        let mut body = Vec::new();
        while let Some(chunk) = timeout(self.timeout, response.chunk()).await.map_err(late)?? {
            body.extend_from_slice(&chunk);
        }
        Ok(body)
    }
}

fn late(_: Elapsed) -> PlatformError {
    PlatformError::Timeout
}

impl HttpVmList {
    /// Creates a client of the VM list; an answer is waited for up to `timeout`.
    /// Connections leave from `source` if one is given.
    pub fn new(address: SocketAddr, timeout: Duration, source: Option<IpAddr>) -> Self {
        Self { client: plain_client(source), base: format!("http://{address}"), timeout }
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
        let url = format!("{}/streams/{stream}/records", self.base);
        let request = self.client.post(url).timeout(self.timeout).body(data.to_vec());
        Ok(check_status(request.send().await?)?.json().await?)
    }

    async fn read(
        &self,
        stream: &str,
        from: u64,
        wait: Duration,
    ) -> Result<LogPage, PlatformError> {
        let wait_ms = wait.as_millis();
        let url = format!("{}/streams/{stream}/records?from={from}&wait_ms={wait_ms}", self.base);
        let sent = timeout(self.timeout + wait, self.client.get(url).send());
        let response = check_status(sent.await.map_err(late)??)?;
        Ok(serde_json::from_slice(&self.collect(response).await?)?)
    }
}

#[async_trait]
impl VmList for HttpVmList {
    async fn list(&self) -> Result<Vec<VmEntry>, PlatformError> {
        let request = self.client.get(format!("{}/vms", self.base)).timeout(self.timeout);
        Ok(check_status(request.send().await?)?.json().await?)
    }
}

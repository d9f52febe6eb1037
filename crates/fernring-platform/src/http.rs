//! HTTP clients of the platform's services.

use {
    crate::{
        AppendResponse, LogService, PlatformError, VmEntry, VmList,
        body::{read_body, read_large_body},
        http_client::{ConnectionOptions, HttpClient, HttpResponse},
    },
    async_trait::async_trait,
    bytes::Bytes,
    fernring_core::log::LogPage,
    http::{Request, StatusCode},
    std::{
        net::{IpAddr, SocketAddr},
        time::Duration,
    },
    tokio::time::timeout,
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
    client: HttpClient,
    base_url: String,
    timeout: Duration,
}

/// HTTP client of the VM list.
#[derive(Debug, Clone)]
pub struct HttpVmList {
    client: HttpClient,
    base_url: String,
    timeout: Duration,
}

impl HttpLog {
    /// Creates a client of the log service.
    ///
    /// `timeout` limits each append, and in a read the wait for the response head (in addition to
    /// `wait` of the read) and for each [`PROGRESS_MIN_BYTES`](crate::PROGRESS_MIN_BYTES) of the
    /// body: a page that holds a snapshot of the configuration may take longer than that over a slow
    /// link. Connections are made from the local address `source` if it is given.
    pub fn new(address: SocketAddr, timeout: Duration, source: Option<IpAddr>) -> Self {
        let client = HttpClient::new(ConnectionOptions { source, ..ConnectionOptions::default() });
        Self { client, base_url: format!("http://{address}"), timeout }
    }
}

impl HttpVmList {
    /// Creates a client of the VM list. `timeout` limits each request. Connections are made from
    /// the local address `source` if it is given.
    pub fn new(address: SocketAddr, timeout: Duration, source: Option<IpAddr>) -> Self {
        let client = HttpClient::new(ConnectionOptions { source, ..ConnectionOptions::default() });
        Self { client, base_url: format!("http://{address}"), timeout }
    }
}

fn check_status(response: HttpResponse) -> Result<HttpResponse, PlatformError> {
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
        let request = Request::post(url).body(Bytes::copy_from_slice(data))?;
        let append = async {
            let response = check_status(self.client.send(request).await?)?;
            Ok(serde_json::from_slice(&read_body(response, APPEND_RESPONSE_MAX_BYTES).await?)?)
        };
        timeout(self.timeout, append).await.unwrap_or(Err(PlatformError::Timeout))
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
        let request = Request::get(url).body(Bytes::new())?;
        let response = timeout(self.timeout + wait, self.client.send(request));
        let response = check_status(response.await.map_err(|_| PlatformError::Timeout)??)?;
        let body = read_large_body(response, PAGE_MAX_BYTES, self.timeout).await?;
        Ok(serde_json::from_slice(&body)?)
    }
}

#[async_trait]
impl VmList for HttpVmList {
    async fn list(&self) -> Result<Vec<VmEntry>, PlatformError> {
        let request = Request::get(format!("{}/vms", self.base_url)).body(Bytes::new())?;
        let list = async {
            let response = check_status(self.client.send(request).await?)?;
            Ok(serde_json::from_slice(&read_body(response, VM_LIST_MAX_BYTES).await?)?)
        };
        timeout(self.timeout, list).await.unwrap_or(Err(PlatformError::Timeout))
    }
}

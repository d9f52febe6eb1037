//! Calls to upstreams over HTTP.
//!
//! The protocol:
//!
//! - `POST /v1/run` runs a stage and responds with one JSON object per line ([`RunPart`]). An upstream that refuses
//!   before anything ran responds with status 503 and the header `x-not-run: busy` or `x-not-run: leaving`.
//! - `GET /v1/report` responds with a [`Report`].
//! - `POST /v1/orders` accepts an order; the status is 409 if the order has an outdated fencing number.

use {
    async_trait::async_trait,
    fernring_core::orders::Order,
    fernring_policy::{
        assembly::ResponsePart,
        event::{AttemptEnd, Dispatch, EchoedPart},
    },
    reqwest::{Client, Response, StatusCode, redirect::Policy},
    serde::{Deserialize, Serialize},
    std::{
        net::{IpAddr, SocketAddr},
        sync::Arc,
        time::Duration,
    },
    uuid::Uuid,
};

/// Header with which an upstream indicates that it refused before running anything.
pub const NOT_RUN_HEADER: &str = "x-not-run";
/// Value of [`NOT_RUN_HEADER`] that an upstream sends when it is leaving.
pub const NOT_RUN_LEAVING: &str = "leaving";
/// Longest line of an upstream's response, in bytes.
const LINE_MAX_BYTES: usize = 4 << 20;
/// Timeout for a report and for the response to an order.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(1);

/// Body of `POST /v1/run`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RunRequest {
    /// Identity of the request; the upstream echoes it.
    pub request: Uuid,
    /// Name of the stage.
    pub stage: String,
    /// Index of the stage; the upstream echoes it.
    pub stage_index: u16,
    /// Number of the attempt; the upstream echoes it.
    pub attempt: u64,
    /// Hash of the prompt prefix.
    pub prefix: u64,
    /// Time left in the window, in milliseconds.
    pub remaining_ms: u64,
    /// Input of the stage.
    pub input: Arc<str>,
}

/// One line of the response to `POST /v1/run`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RunPart {
    /// Echo of the request's identity.
    pub request: Uuid,
    /// Echo of the stage's index.
    pub stage_index: u16,
    /// Echo of the attempt's number.
    pub attempt: u64,
    /// Position of the part, from 0.
    pub sequence: u32,
    /// Text of the part.
    pub text: Arc<str>,
    /// Whether this is the last part.
    #[serde(default)]
    pub last: bool,
}

/// Body of the response to `GET /v1/report`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Attempts running or waiting.
    pub load: u32,
    /// Whether the upstream is leaving.
    pub leaving: bool,
    /// Models that the upstream holds, sorted.
    #[serde(default)]
    pub models: Vec<String>,
}

/// Outcome of sending an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The upstream accepted the order.
    Taken,
    /// The upstream refused the order because of its outdated fencing number.
    Fenced,
    /// There was no usable response; the upstream may have accepted the order.
    Unknown,
}

/// Callback that receives parts as they arrive.
pub type PartSink<'a> = &'a mut (dyn FnMut(Vec<EchoedPart>) + Send);

/// A client for calls to upstreams, the back ends that run stages.
#[async_trait]
pub trait Upstream: Send + Sync {
    /// Sends an attempt exactly once and passes its parts on as they arrive.
    async fn run_stage(&self, dispatch: &Dispatch, parts: PartSink<'_>) -> AttemptEnd;

    /// Fetches the report of an upstream; `None` if there is no valid response.
    async fn fetch_report(&self, address: SocketAddr) -> Option<Report>;

    /// Sends an order to an upstream.
    async fn send_order(&self, address: SocketAddr, order: &Order) -> OrderOutcome;
}

/// Calls upstreams over HTTP.
#[derive(Debug)]
pub struct HttpUpstream {
    /// Keeps connections open; used for calls that may safely be sent twice.
    pooled: Client,
    /// Opens a new connection for each call, so that no call is sent on a connection that is closing and the HTTP
    /// library has no reason to send it again. Used for stages with side effects and for orders.
    unpooled: Client,
}

impl HttpUpstream {
    /// Creates the HTTP clients; opening a connection may take up to `connect_timeout`. Connections use the local IP
    /// address `source` if one is given.
    ///
    /// # Errors
    /// If the HTTP library can't be set up.
    pub fn new(connect_timeout: Duration, source: Option<IpAddr>) -> reqwest::Result<Self> {
        let client_builder = || {
            let builder = Client::builder().no_proxy().redirect(Policy::none());
            let builder = builder.retry(reqwest::retry::never()).tcp_nodelay(true);
            builder.connect_timeout(connect_timeout).local_address(source)
        };
        let pooled = client_builder().build()?;
        let unpooled = client_builder().pool_max_idle_per_host(0).build()?;
        Ok(Self { pooled, unpooled })
    }
}

#[async_trait]
impl Upstream for HttpUpstream {
    async fn run_stage(&self, dispatch: &Dispatch, parts: PartSink<'_>) -> AttemptEnd {
        let client = if dispatch.effect { &self.unpooled } else { &self.pooled };
        let body = RunRequest {
            request: dispatch.uid,
            stage: dispatch.stage_name.clone(),
            stage_index: dispatch.attempt.stage,
            attempt: dispatch.attempt.attempt,
            prefix: dispatch.prefix,
            remaining_ms: dispatch.remaining_ms,
            input: dispatch.input.clone(),
        };
        let url = format!("http://{}/v1/run", dispatch.address);
        let response = match client.post(url).json(&body).send().await {
            Ok(response) => response,
            // No connection was opened, so nothing of the call was sent.
            Err(error) if error.is_connect() => return AttemptEnd::NotSent,
            Err(_) => return AttemptEnd::Failed,
        };
        match response.status() {
            StatusCode::OK => read_parts(response, parts).await,
            StatusCode::SERVICE_UNAVAILABLE => classify_refusal(&response),
            _ => AttemptEnd::Failed,
        }
    }

    async fn fetch_report(&self, address: SocketAddr) -> Option<Report> {
        let request = self.pooled.get(format!("http://{address}/v1/report"));
        let response = request.timeout(CONTROL_TIMEOUT).send().await.ok()?;
        response.error_for_status().ok()?.json().await.ok()
    }

    async fn send_order(&self, address: SocketAddr, order: &Order) -> OrderOutcome {
        let request = self.unpooled.post(format!("http://{address}/v1/orders")).json(order);
        let status =
            request.timeout(CONTROL_TIMEOUT).send().await.map(|response| response.status());
        match status {
            Ok(status) if status.is_success() => OrderOutcome::Taken,
            Ok(StatusCode::CONFLICT) => OrderOutcome::Fenced,
            _ => OrderOutcome::Unknown,
        }
    }
}

fn classify_refusal(response: &Response) -> AttemptEnd {
    match response.headers().get(NOT_RUN_HEADER).map(|value| value.as_bytes()) {
        Some(value) if value == NOT_RUN_LEAVING.as_bytes() => AttemptEnd::Leaving,
        Some(_) => AttemptEnd::Refused,
        None => AttemptEnd::Failed,
    }
}

async fn read_parts(mut response: Response, parts: PartSink<'_>) -> AttemptEnd {
    let mut buffer = Vec::new();
    loop {
        match response.chunk().await {
            Err(_) => return AttemptEnd::Failed,
            Ok(None) => break,
            Ok(Some(chunk)) => buffer.extend_from_slice(&chunk),
        }
        if buffer.len() > LINE_MAX_BYTES {
            return AttemptEnd::Failed;
        }
        match take_complete_lines(&mut buffer) {
            Some(received) if received.is_empty() => {}
            Some(received) => parts(received),
            None => return AttemptEnd::Failed,
        }
    }
    if buffer.is_empty() { AttemptEnd::Completed } else { AttemptEnd::Failed }
}

/// Removes the complete lines from a buffer and parses them as parts; `None` if a line isn't a valid part.
fn take_complete_lines(buffer: &mut Vec<u8>) -> Option<Vec<EchoedPart>> {
    let end = match buffer.iter().rposition(|byte| *byte == b'\n') {
        Some(end) => end + 1,
        None => return Some(Vec::new()),
    };
    let rest = buffer.split_off(end);
    let lines = std::mem::replace(buffer, rest);
    let lines = lines.split(|byte| *byte == b'\n').filter(|line| !line.is_empty());
    lines.map(|line| serde_json::from_slice(line).ok().map(echoed_part)).collect()
}

fn echoed_part(part: RunPart) -> EchoedPart {
    EchoedPart {
        uid: part.request,
        stage: part.stage_index,
        attempt: part.attempt,
        part: ResponsePart { sequence: part.sequence, text: part.text, last: part.last },
    }
}

//! Calls to upstreams over HTTP.
//!
//! The protocol:
//!
//! - `POST /v1/run` runs a stage and responds with one JSON object per line ([`RunPart`]). An upstream that refuses
//!   before anything ran responds with status 503 and the header `x-not-run: busy` or `x-not-run: leaving`.
//! - `GET /v1/report` responds with a [`Report`].
//! - `POST /v1/orders` accepts an order; the status is 409 if the order has an outdated fencing number.

use {
    crate::part_reader::{AbandonReason, PartReader},
    async_trait::async_trait,
    bytes::Bytes,
    fernring_core::{orders::Order, text::LogLine},
    fernring_platform::{
        BodyError,
        http_client::{ConnectionOptions, HttpClient, HttpResponse},
        read_body,
    },
    fernring_policy::event::{AttemptEnd, Dispatch, EchoedPart},
    http::{Request, StatusCode, header::CONTENT_TYPE},
    serde::{Deserialize, Serialize},
    spdlog::warn,
    std::{
        net::{IpAddr, SocketAddr},
        sync::Arc,
        time::Duration,
    },
    tokio::time::{Instant, timeout, timeout_at},
    uuid::Uuid,
};

/// Header with which an upstream indicates that it refused before running anything.
pub const NOT_RUN_HEADER: &str = "x-not-run";
/// Value of [`NOT_RUN_HEADER`] that an upstream sends when it is leaving.
pub const NOT_RUN_LEAVING: &str = "leaving";
/// Largest report, in bytes of JSON.
const REPORT_MAX_BYTES: usize = 1 << 20;
/// How long the end of a response may follow its last part.
const END_TIMEOUT: Duration = Duration::from_millis(200);
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
    pooled: HttpClient,
    /// Opens a new connection for each call, so that no call is sent on a connection that is closing and the HTTP
    /// library has no reason to send it again. Used for stages with side effects and for orders.
    unpooled: HttpClient,
}

impl HttpUpstream {
    /// Creates the HTTP clients; opening a connection may take up to `connect_timeout`. Connections use the local IP
    /// address `source` if one is given.
    pub fn new(connect_timeout: Duration, source: Option<IpAddr>) -> Self {
        let connect_timeout = Some(connect_timeout);
        let client = |is_unpooled| {
            HttpClient::new(ConnectionOptions { source, connect_timeout, is_unpooled })
        };
        Self { pooled: client(false), unpooled: client(true) }
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
        let Some(request) = post_json(dispatch.address, "/v1/run", &body) else {
            return AttemptEnd::NotSent;
        };
        let response = match client.send(request).await {
            Ok(response) => response,
            // No connection was opened, so nothing of the call was sent.
            Err(error) if error.is_connect() => return AttemptEnd::NotSent,
            Err(_) => return AttemptEnd::Failed,
        };
        match response.status() {
            StatusCode::OK => read_response(response, dispatch, parts).await,
            StatusCode::SERVICE_UNAVAILABLE => classify_refusal(&response),
            _ => AttemptEnd::Failed,
        }
    }

    async fn fetch_report(&self, address: SocketAddr) -> Option<Report> {
        let request =
            Request::get(format!("http://{address}/v1/report")).body(Bytes::new()).ok()?;
        let report = timeout(CONTROL_TIMEOUT, fetch_body(&self.pooled, request)).await.ok()?;
        match report {
            Ok(Some(body)) => serde_json::from_slice(&body).ok(),
            Ok(None) | Err(BodyError::Connection(_) | BodyError::TooSlow(_)) => None,
            Err(error @ BodyError::TooLarge(_)) => {
                let line = LogLine::event("report_abandoned").with("address", address);
                warn!("{}", line.with("reason", error));
                None
            }
        }
    }

    async fn send_order(&self, address: SocketAddr, order: &Order) -> OrderOutcome {
        let Some(request) = post_json(address, "/v1/orders", order) else {
            return OrderOutcome::Unknown;
        };
        let response = timeout(CONTROL_TIMEOUT, self.unpooled.send(request)).await;
        match response.map(|response| response.map(|response| response.status())) {
            Ok(Ok(status)) if status.is_success() => OrderOutcome::Taken,
            Ok(Ok(StatusCode::CONFLICT)) => OrderOutcome::Fenced,
            _ => OrderOutcome::Unknown,
        }
    }
}

/// Builds a request with a JSON body.
fn post_json(address: SocketAddr, path: &str, body: &impl Serialize) -> Option<Request<Bytes>> {
    let body = serde_json::to_vec(body).ok()?.into();
    let request = Request::post(format!("http://{address}{path}"));
    request.header(CONTENT_TYPE, "application/json").body(body).ok()
}

/// Reads the body of a successful response to a request for a report.
async fn fetch_body(
    client: &HttpClient,
    request: Request<Bytes>,
) -> Result<Option<Vec<u8>>, BodyError> {
    let response = client.send(request).await?;
    match response.status().is_success() {
        true => read_body(response, REPORT_MAX_BYTES).await.map(Some),
        false => Ok(None),
    }
}

fn classify_refusal(response: &HttpResponse) -> AttemptEnd {
    match response.headers().get(NOT_RUN_HEADER).map(|value| value.as_bytes()) {
        Some(value) if value == NOT_RUN_LEAVING.as_bytes() => AttemptEnd::Leaving,
        Some(_) => AttemptEnd::Refused,
        None => AttemptEnd::Failed,
    }
}

async fn read_response(
    response: HttpResponse,
    dispatch: &Dispatch,
    parts: PartSink<'_>,
) -> AttemptEnd {
    let mut reader = PartReader::new(dispatch);
    let abandoned = match read_parts(response, &mut reader, parts).await {
        Ok(end) => return end,
        Err(reason) => reason,
    };
    let line = LogLine::event("response_abandoned").with("address", dispatch.address);
    let line = line.with("request", dispatch.uid).with("is_whole", reader.is_whole());
    warn!("{}", line.with("reason", abandoned));
    match reader.is_whole() && abandoned != AbandonReason::Malformed {
        true => AttemptEnd::Completed,
        false => AttemptEnd::Failed,
    }
}

async fn read_parts(
    mut response: HttpResponse,
    reader: &mut PartReader,
    parts: PartSink<'_>,
) -> Result<AttemptEnd, AbandonReason> {
    let mut whole_at = None;
    loop {
        let chunk = match whole_at {
            None => response.chunk().await,
            Some(at) => {
                let chunk = timeout_at(at + END_TIMEOUT, response.chunk()).await;
                chunk.map_err(|_| AbandonReason::NoEnd)?
            }
        };
        match chunk {
            Err(_) => return Ok(AttemptEnd::Failed),
            Ok(None) => break,
            Ok(Some(chunk)) => {
                let received = reader.add(&chunk)?;
                if !received.is_empty() {
                    parts(received);
                }
            }
        }
        if reader.is_whole() {
            whole_at.get_or_insert_with(Instant::now);
        }
    }
    Ok(if reader.is_at_line_end() { AttemptEnd::Completed } else { AttemptEnd::Failed })
}

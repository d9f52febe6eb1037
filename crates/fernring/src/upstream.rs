//! Upstreams, over HTTP.
//!
//! The protocol: `POST /v1/run` answers with one JSON object a line ([`RunPart`]); a refusal
//! before anything ran is status 503 with the header `x-not-run: busy` or `x-not-run: leaving`.
//! `GET /v1/report` answers with [`Report`], `POST /v1/orders` takes an order and answers 409 if
//! it carries an old fencing number.

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

/// Header by which an upstream says that it refused before running anything.
pub const NOT_RUN_HEADER: &str = "x-not-run";
/// Value of [`NOT_RUN_HEADER`] of an upstream that is leaving.
pub const NOT_RUN_LEAVING: &str = "leaving";
/// Longest line of an upstream's answer, in bytes.
const LINE_MAX_BYTES: usize = 4 << 20;
/// How long a report or an order's answer is waited for.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(1);

/// Body of `POST /v1/run`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RunRequest {
    /// Identity of the request, to be echoed.
    pub request: Uuid,
    /// Name of the stage.
    pub stage: String,
    /// Index of the stage, to be echoed.
    pub stage_index: u16,
    /// Number of the attempt, to be echoed.
    pub attempt: u64,
    /// Hash of the prompt prefix.
    pub prefix: u64,
    /// Time left in the window, in milliseconds.
    pub remaining_ms: u64,
    /// Input of the stage.
    pub input: Arc<str>,
}

/// One line of an answer.
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
    /// Its text.
    pub text: Arc<str>,
    /// Whether no part follows it.
    #[serde(default)]
    pub last: bool,
}

/// Answer to `GET /v1/report`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Attempts running or waiting.
    pub load: u32,
    /// Whether the upstream is leaving.
    pub leaving: bool,
    /// Models that it holds, sorted.
    #[serde(default)]
    pub models: Vec<String>,
}

/// What became of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The upstream took it.
    Taken,
    /// It carried an old fencing number.
    Fenced,
    /// There was no answer; it may have been taken.
    Unknown,
}

/// A receiver of parts as they arrive.
pub type PartSink<'a> = &'a mut (dyn FnMut(Vec<EchoedPart>) + Send);

/// The back ends that run stages.
#[async_trait]
pub trait Upstream: Send + Sync {
    /// Sends an attempt exactly once and passes its parts on as they arrive.
    async fn run(&self, dispatch: &Dispatch, parts: PartSink<'_>) -> AttemptEnd;

    /// Asks for a report; `None` without an answer.
    async fn report(&self, address: SocketAddr) -> Option<Report>;

    /// Sends an order.
    async fn order(&self, address: SocketAddr, order: &Order) -> OrderOutcome;
}

/// Upstreams over HTTP.
#[derive(Debug)]
pub struct HttpUpstream {
    /// Keeps connections open; used where a repeat is harmless.
    pooled: Client,
    /// Opens a connection for each call, so that a call never meets one that is closing and
    /// nothing below can send it again. Used for side effects.
    single: Client,
}

impl HttpUpstream {
    /// Creates the clients; opening a connection may take up to `connect_timeout`. Connections
    /// leave from `source` if one is given.
    ///
    /// # Errors
    /// If the HTTP library can't be set up.
    pub fn new(connect_timeout: Duration, source: Option<IpAddr>) -> reqwest::Result<Self> {
        let plain = || {
            let builder = Client::builder().no_proxy().redirect(Policy::none());
            let builder = builder.retry(reqwest::retry::never()).tcp_nodelay(true);
            builder.connect_timeout(connect_timeout).local_address(source)
        };
        let pooled = plain().build()?;
        let single = plain().pool_max_idle_per_host(0).build()?;
        Ok(Self { pooled, single })
    }
}

#[async_trait]
impl Upstream for HttpUpstream {
    async fn run(&self, dispatch: &Dispatch, parts: PartSink<'_>) -> AttemptEnd {
        let client = if dispatch.effect { &self.single } else { &self.pooled };
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
            // No connection was made, so not a byte of the call has left.
            Err(error) if error.is_connect() => return AttemptEnd::NotSent,
            Err(_) => return AttemptEnd::Failed,
        };
        match response.status() {
            StatusCode::OK => read_parts(response, parts).await,
            StatusCode::SERVICE_UNAVAILABLE => refusal(&response),
            _ => AttemptEnd::Failed,
        }
    }

    async fn report(&self, address: SocketAddr) -> Option<Report> {
        let request = self.pooled.get(format!("http://{address}/v1/report"));
        let response = request.timeout(CONTROL_TIMEOUT).send().await.ok()?;
        response.error_for_status().ok()?.json().await.ok()
    }

    async fn order(&self, address: SocketAddr, order: &Order) -> OrderOutcome {
        let request = self.single.post(format!("http://{address}/v1/orders")).json(order);
        let status = request.timeout(CONTROL_TIMEOUT).send().await.map(|answer| answer.status());
        match status {
            Ok(status) if status.is_success() => OrderOutcome::Taken,
            Ok(StatusCode::CONFLICT) => OrderOutcome::Fenced,
            _ => OrderOutcome::Unknown,
        }
    }
}

fn refusal(response: &Response) -> AttemptEnd {
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
        match take_lines(&mut buffer) {
            Some(arrived) if arrived.is_empty() => {}
            Some(arrived) => parts(arrived),
            None => return AttemptEnd::Failed,
        }
    }
    if buffer.is_empty() { AttemptEnd::Completed } else { AttemptEnd::Failed }
}

/// Takes the whole lines out of a buffer; `None` if one is not a part.
fn take_lines(buffer: &mut Vec<u8>) -> Option<Vec<EchoedPart>> {
    let end = match buffer.iter().rposition(|byte| *byte == b'\n') {
        Some(end) => end + 1,
        None => return Some(Vec::new()),
    };
    let rest = buffer.split_off(end);
    let lines = std::mem::replace(buffer, rest);
    let lines = lines.split(|byte| *byte == b'\n').filter(|line| !line.is_empty());
    lines.map(|line| serde_json::from_slice(line).ok().map(echoed)).collect()
}

fn echoed(part: RunPart) -> EchoedPart {
    EchoedPart {
        uid: part.request,
        stage: part.stage_index,
        attempt: part.attempt,
        part: ResponsePart { sequence: part.sequence, text: part.text, last: part.last },
    }
}

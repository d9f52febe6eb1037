//! A stand-in for the platform: an append-only log with offsets, limited retention, a rate limit
//! and outages; a VM list that lags; a weight store with limited throughput.
//!
//! `POST /control` changes its behaviour; `GET /control` returns it.

use {
    crate::server::{Server, start},
    fernring_core::log::{LogPage, LogRecord},
    fernring_platform::{AppendResponse, VmEntry},
    rocket::{
        Data, State, data::ToByteUnit, get, http::Status, post, put, routes, serde::json::Json,
    },
    serde::{Deserialize, Serialize},
    std::{
        collections::HashMap,
        net::IpAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
    tokio::sync::watch,
};

/// How long a request is held that gets no response.
const UNANSWERED_HOLD: Duration = Duration::from_secs(120);
/// Most records in one page.
const PAGE_MAX_RECORDS: usize = 1_000;

/// What happens to appends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Default)]
#[serde(rename_all = "snake_case")]
pub enum AppendFault {
    /// They take effect and get a response.
    #[default]
    None,
    /// They take effect, but get no response.
    AnswerLost,
    /// They don't take effect and get no response.
    Dropped,
    /// They take effect after `delay_ms`, when the caller may have stopped waiting.
    Late,
}

/// How the platform behaves.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Control {
    /// Whether the log refuses all requests.
    pub log_down: bool,
    /// Delay before each response of the log, in milliseconds.
    pub delay_ms: u64,
    /// What happens to appends.
    pub append_fault: AppendFault,
    /// Number of appends that the fault applies to before it ends.
    pub append_fault_count: u64,
    /// Appends accepted per second.
    pub appends_per_s: u64,
    /// How long records are kept, in milliseconds.
    pub retention_ms: u64,
    /// How far the VM list lags behind, in milliseconds.
    pub vm_lag_ms: u64,
    /// Source addresses that get no response from any service.
    pub cut: Vec<IpAddr>,
    /// Throughput of the weight store, in bytes per second.
    pub weight_bytes_per_s: u64,
}

impl Default for Control {
    fn default() -> Self {
        Self {
            log_down: false,
            delay_ms: 0,
            append_fault: AppendFault::None,
            append_fault_count: 0,
            appends_per_s: 500,
            retention_ms: 86_400_000,
            vm_lag_ms: 0,
            cut: Vec::new(),
            weight_bytes_per_s: 1 << 30,
        }
    }
}

#[derive(Debug, Default)]
struct Stream {
    first_offset: u64,
    records: Vec<LogRecord>,
    appends: u64,
}

#[derive(Debug)]
struct VmVersion {
    at: Instant,
    list: Vec<VmEntry>,
}

#[derive(Debug)]
struct Inner {
    control: Control,
    streams: HashMap<String, Stream>,
    vms: Vec<VmVersion>,
    tokens: f64,
    refilled_at: Instant,
    weights_free_at: Instant,
}

/// The platform's state.
#[derive(Debug)]
struct Platform {
    inner: Mutex<Inner>,
    appended: watch::Sender<u64>,
}

/// Number of appends that a stream has accepted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamCount {
    /// Name of the stream.
    pub stream: String,
    /// Appends since the start.
    pub appends: u64,
}

impl Platform {
    fn new() -> Self {
        let now = Instant::now();
        let inner = Inner {
            control: Control::default(),
            streams: HashMap::new(),
            vms: Vec::new(),
            tokens: 50.0,
            refilled_at: now,
            weights_free_at: now,
        };
        Self { inner: Mutex::new(inner), appended: watch::Sender::new(0) }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn append(&self, stream: &str, data: Vec<u8>) -> AppendResponse {
        let mut inner = self.lock();
        let time_ms = unix_ms();
        let stream = inner.streams.entry(stream.to_owned()).or_default();
        let time_ms = stream.records.last().map_or(time_ms, |last| last.time_ms.max(time_ms));
        let offset = stream.first_offset + stream.records.len() as u64;
        stream.records.push(LogRecord { offset, time_ms, data });
        stream.appends += 1;
        drop(inner);
        self.appended.send_modify(|count| *count += 1);
        AppendResponse { offset, time_ms }
    }

    fn page(&self, stream: &str, from: u64) -> LogPage {
        let mut inner = self.lock();
        let retention_ms = inner.control.retention_ms;
        let stream = inner.streams.entry(stream.to_owned()).or_default();
        let time_ms = unix_ms();
        let is_expired = |record: &LogRecord| record.time_ms + retention_ms < time_ms;
        let expired = stream.records.iter().take_while(|record| is_expired(record)).count();
        stream.records.drain(..expired);
        stream.first_offset += expired as u64;
        let skip = from.saturating_sub(stream.first_offset) as usize;
        let records = stream.records.iter().skip(skip).take(PAGE_MAX_RECORDS).cloned().collect();
        LogPage {
            first_offset: stream.first_offset,
            next_offset: stream.first_offset + stream.records.len() as u64,
            time_ms,
            records,
        }
    }

    fn take_token(&self) -> bool {
        let mut inner = self.lock();
        let rate = inner.control.appends_per_s as f64;
        let elapsed_s = inner.refilled_at.elapsed().as_secs_f64();
        inner.refilled_at = Instant::now();
        inner.tokens = (inner.tokens + elapsed_s * rate).min((rate / 10.0).max(1.0));
        if inner.tokens < 1.0 {
            return false;
        }
        inner.tokens -= 1.0;
        true
    }

    fn take_fault(&self) -> AppendFault {
        let mut inner = self.lock();
        if inner.control.append_fault_count == 0 {
            return AppendFault::None;
        }
        inner.control.append_fault_count -= 1;
        inner.control.append_fault
    }

    /// Refuses a request if its source is partitioned, after holding it, or if the log is down.
    /// Otherwise delays requests to the log.
    async fn check_access(&self, source: IpAddr, is_log_call: bool) -> Result<(), Status> {
        let (is_cut, is_down, delay_ms) = {
            let inner = self.lock();
            let control = &inner.control;
            (control.cut.contains(&source), is_log_call && control.log_down, control.delay_ms)
        };
        if is_cut {
            tokio::time::sleep(UNANSWERED_HOLD).await;
        }
        if is_down || is_cut {
            return Err(Status::ServiceUnavailable);
        }
        if is_log_call && delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
        Ok(())
    }
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_millis() as u64
}

#[post("/streams/<stream>/records", data = "<data>")]
async fn append(
    stream: &str,
    data: Data<'_>,
    source: IpAddr,
    platform: &State<Arc<Platform>>,
) -> Result<Json<AppendResponse>, Status> {
    platform.check_access(source, true).await?;
    let data = data.open(16.mebibytes()).into_bytes().await;
    let data = data.map_err(|_| Status::BadRequest)?.into_inner();
    if !platform.take_token() {
        return Err(Status::TooManyRequests);
    }
    match platform.take_fault() {
        AppendFault::None => Ok(Json(platform.append(stream, data))),
        AppendFault::AnswerLost => {
            platform.append(stream, data);
            tokio::time::sleep(UNANSWERED_HOLD).await;
            Err(Status::GatewayTimeout)
        }
        AppendFault::Dropped => {
            tokio::time::sleep(UNANSWERED_HOLD).await;
            Err(Status::GatewayTimeout)
        }
        AppendFault::Late => {
            let delay_ms = platform.lock().control.delay_ms;
            let (platform, stream) = (platform.inner().clone(), stream.to_owned());
            // The append continues even if the caller disconnects.
            let late = tokio::spawn(async move {
                tokio::time::sleep(Duration::from_millis(delay_ms)).await;
                platform.append(&stream, data)
            });
            late.await.map(Json).map_err(|_| Status::InternalServerError)
        }
    }
}

#[get("/streams/<stream>/records?<from>&<wait_ms>")]
async fn read(
    stream: &str,
    from: u64,
    wait_ms: Option<u64>,
    source: IpAddr,
    platform: &State<Arc<Platform>>,
) -> Result<Json<LogPage>, Status> {
    platform.check_access(source, true).await?;
    let mut appended = platform.appended.subscribe();
    let end = tokio::time::Instant::now() + Duration::from_millis(wait_ms.unwrap_or(0));
    loop {
        let page = platform.page(stream, from);
        let waiting = page.records.is_empty() && page.first_offset <= from;
        if !waiting || tokio::time::timeout_at(end, appended.changed()).await.is_err() {
            // If an outage has begun meanwhile, the response is lost.
            platform.check_access(source, true).await?;
            return Ok(Json(page));
        }
    }
}

#[get("/vms")]
async fn vms(
    source: IpAddr,
    platform: &State<Arc<Platform>>,
) -> Result<Json<Vec<VmEntry>>, Status> {
    platform.check_access(source, false).await?;
    let inner = platform.lock();
    let lag = Duration::from_millis(inner.control.vm_lag_ms);
    let shown = inner.vms.iter().rev().find(|version| version.at.elapsed() >= lag);
    Ok(Json(shown.map(|version| version.list.clone()).unwrap_or_default()))
}

#[put("/control/vms", data = "<list>")]
fn set_vms(list: Json<Vec<VmEntry>>, platform: &State<Arc<Platform>>) {
    let version = VmVersion { at: Instant::now(), list: list.into_inner() };
    platform.lock().vms.push(version);
}

/// Serves the weights of a model: responds when the throughput of the store allows it.
#[get("/weights/<_model>?<bytes>")]
async fn weights(_model: &str, bytes: u64, platform: &State<Arc<Platform>>) -> &'static str {
    let wait = {
        let mut inner = platform.lock();
        let rate = inner.control.weight_bytes_per_s.max(1) as f64;
        let begin = inner.weights_free_at.max(Instant::now());
        inner.weights_free_at = begin + Duration::from_secs_f64(bytes as f64 / rate);
        inner.weights_free_at - Instant::now()
    };
    tokio::time::sleep(wait).await;
    "done\n"
}

#[get("/control")]
fn control(platform: &State<Arc<Platform>>) -> Json<Control> {
    Json(platform.lock().control.clone())
}

#[post("/control", data = "<control>")]
fn set_control(control: Json<Control>, platform: &State<Arc<Platform>>) {
    platform.lock().control = control.into_inner();
}

#[get("/control/appends")]
fn appends(platform: &State<Arc<Platform>>) -> Json<Vec<StreamCount>> {
    let inner = platform.lock();
    let counts = inner.streams.iter();
    let count = |(name, stream): (&String, &Stream)| StreamCount {
        stream: name.clone(),
        appends: stream.appends,
    };
    Json(counts.map(count).collect())
}

/// Starts the platform on a free port of `ip`.
///
/// # Errors
/// If it can't listen on `ip`.
pub async fn serve(ip: IpAddr) -> anyhow::Result<Server> {
    let platform = Arc::new(Platform::new());
    start(ip, |rocket| {
        rocket.manage(platform).mount(
            "/",
            routes![append, read, vms, set_vms, weights, control, set_control, appends,],
        )
    })
    .await
}

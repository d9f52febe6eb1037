//! Stand-ins for upstreams: engines with batching, a prefix cache, load reports that lag, and
//! orders; and plain services. Each records the attempts that it ran.
//!
//! The output of an attempt is the name of the stage around its input, so that a test can compute
//! the expected answer. `POST /control` changes the behaviour.

use {
    crate::server::{Server, start},
    fernring::upstream::{NOT_RUN_HEADER, NOT_RUN_LEAVING, Report, RunPart, RunRequest},
    fernring_core::orders::Order,
    futures_util::{StreamExt, stream, stream::BoxStream},
    rand::RngExt,
    rocket::{
        Request, Response, State, get,
        http::Status,
        post,
        response::{Responder, stream::ByteStream},
        routes,
        serde::json::Json,
    },
    serde::{Deserialize, Serialize},
    std::{
        collections::VecDeque,
        net::IpAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
    tokio::sync::Semaphore,
    uuid::Uuid,
};

/// How long a stalled attempt is held.
const STALL_TIME: Duration = Duration::from_secs(120);
/// Number of prefixes in an engine's cache.
const CACHED_PREFIXES: usize = 8;
/// Share of the prefill time that a cached prefix saves.
const CACHED_PREFIX_SAVING: f64 = 0.6;
/// Additional time of a step in a full batch, relative to its time alone.
const BATCH_SLOWDOWN: f64 = 0.5;
/// Largest index of a run that is marked as completed.
const RUNS_MAX: usize = 1_000_000;

/// Kind and behaviour of a stand-in.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Behaviour {
    /// Whether it is a model engine.
    pub engine: bool,
    /// Mean duration of an attempt that runs alone, in milliseconds.
    pub service_ms: f64,
    /// Spread of the duration: that of each attempt is multiplied by 1 plus or minus up to this.
    pub spread: f64,
    /// Number of attempts that run at once; others wait.
    pub concurrency: u32,
    /// Number of parts that a response is sent in.
    pub parts: u32,
    /// Whether parts are sent in reverse order.
    pub shuffle: bool,
    /// Whether each part is sent twice.
    pub duplicate: bool,
    /// Whether a part with the number of another attempt is sent first.
    pub misdirect: bool,
    /// Whether the last part is left out.
    pub truncate: bool,
    /// Whether attempts never end.
    pub stall: bool,
    /// Share of attempts that fail, 0 to 1.
    pub fail_share: f64,
    /// Whether a failing attempt has run before it fails.
    pub fail_after_run: bool,
    /// Whether it is leaving, so that it refuses new attempts.
    pub leaving: bool,
    /// Whether its report omits that it is leaving.
    pub silent: bool,
    /// Whether its report says that it is leaving, although it still accepts attempts.
    pub leaving_report: bool,
    /// How far its reported load lags, in milliseconds.
    pub report_lag_ms: u64,
    /// Whether it refuses orders with an old fencing token.
    pub checks_fencing: bool,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            engine: false,
            service_ms: 5.0,
            spread: 0.2,
            concurrency: 8,
            parts: 1,
            shuffle: false,
            duplicate: false,
            misdirect: false,
            truncate: false,
            stall: false,
            fail_share: 0.0,
            fail_after_run: false,
            leaving: false,
            silent: false,
            leaving_report: false,
            report_lag_ms: 0,
            checks_fencing: false,
        }
    }
}

/// One attempt that a stand-in began to run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Run {
    /// Identity of the request.
    pub request: Uuid,
    /// Name of the stage.
    pub stage: String,
    /// Number of the attempt.
    pub attempt: u64,
    /// Its input.
    pub input: String,
    /// When it began, in milliseconds since the stand-in started.
    pub began_ms: u64,
    /// Whether it ran to its end.
    pub completed: bool,
}

/// An order that a stand-in received.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReceivedOrder {
    /// Its fencing token.
    pub fence: u64,
    /// Its models.
    pub models: Vec<String>,
    /// Whether it was accepted.
    pub taken: bool,
}

#[derive(Debug)]
struct Inner {
    behaviour: Behaviour,
    runs: Vec<Run>,
    orders: Vec<ReceivedOrder>,
    models: Vec<String>,
    highest_fence: u64,
    active: u32,
    waiting: u32,
    prefixes: VecDeque<u64>,
    loads: VecDeque<(Instant, u32)>,
}

struct Service {
    inner: Mutex<Inner>,
    slots: Arc<Semaphore>,
    started: Instant,
}

impl Service {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Counts an attempt towards the load until it is dropped, also if the caller disconnects.
struct WaitingGuard(Arc<Service>);

impl WaitingGuard {
    fn new(service: &Arc<Service>) -> Self {
        service.lock().waiting += 1;
        Self(service.clone())
    }
}

impl Drop for WaitingGuard {
    fn drop(&mut self) {
        self.0.lock().waiting -= 1;
    }
}

/// Counts an attempt as running until it is dropped.
struct ActiveGuard(Arc<Service>);

impl ActiveGuard {
    fn new(service: &Arc<Service>) -> Self {
        service.lock().active += 1;
        Self(service.clone())
    }
}

impl Drop for ActiveGuard {
    fn drop(&mut self) {
        self.0.lock().active -= 1;
    }
}

enum RunResponse {
    Refused(&'static str),
    Error,
    Lines(BoxStream<'static, String>),
}

impl<'r> Responder<'r, 'r> for RunResponse {
    fn respond_to(self, request: &'r Request<'_>) -> rocket::response::Result<'r> {
        match self {
            Self::Refused(why) => Response::build()
                .status(Status::ServiceUnavailable)
                .raw_header(NOT_RUN_HEADER, why)
                .ok(),
            Self::Error => Response::build().status(Status::InternalServerError).ok(),
            Self::Lines(lines) => ByteStream::from(lines).respond_to(request),
        }
    }
}

#[post("/v1/run", data = "<run>")]
async fn run(run: Json<RunRequest>, service: &State<Arc<Service>>) -> RunResponse {
    let service = service.inner().clone();
    let run = run.into_inner();
    if service.lock().behaviour.leaving {
        return RunResponse::Refused(NOT_RUN_LEAVING);
    }
    let waiting = WaitingGuard::new(&service);
    let Ok(slot) = service.slots.clone().acquire_owned().await else {
        return RunResponse::Error;
    };
    let active = ActiveGuard::new(&service);
    let (index, behaviour) = record_run(&service, &run);
    if behaviour.stall {
        tokio::time::sleep(STALL_TIME).await;
        return RunResponse::Error;
    }
    let fails = rand::rng().random_bool(behaviour.fail_share.clamp(0.0, 1.0));
    if fails && !behaviour.fail_after_run {
        return RunResponse::Error;
    }
    let step = step_time(&service, &behaviour, run.prefix);
    let first = step.first;
    tokio::time::sleep(first).await;
    if fails {
        service.lock().runs[index].completed = true;
        return RunResponse::Error;
    }
    let lines = response_lines(&run, &behaviour);
    let last = lines.len().saturating_sub(1);
    let guards = Arc::new((waiting, slot, active));
    let rest = stream::iter(lines.into_iter().enumerate()).then(move |(position, line)| {
        let (service, guards) = (service.clone(), guards.clone());
        async move {
            if position > 0 {
                tokio::time::sleep(step.each).await;
            }
            if position == last {
                service.lock().runs[index].completed = true;
            }
            drop(guards);
            line
        }
    });
    RunResponse::Lines(rest.boxed())
}

fn record_run(service: &Arc<Service>, run: &RunRequest) -> (usize, Behaviour) {
    let began_ms = service.started.elapsed().as_millis() as u64;
    let mut inner = service.lock();
    let index = inner.runs.len().min(RUNS_MAX);
    inner.runs.push(Run {
        request: run.request,
        stage: run.stage.clone(),
        attempt: run.attempt,
        input: run.input.to_string(),
        began_ms,
        completed: false,
    });
    (index, inner.behaviour.clone())
}

#[derive(Debug, Clone, Copy)]
struct StepTime {
    /// Time until the first part.
    first: Duration,
    /// Time between parts.
    each: Duration,
}

fn step_time(service: &Arc<Service>, behaviour: &Behaviour, prefix: u64) -> StepTime {
    let jitter = 1.0 + behaviour.spread * rand::rng().random_range(-1.0..=1.0);
    let mut inner = service.lock();
    let mut total_ms = behaviour.service_ms * jitter;
    if !behaviour.engine {
        let each = total_ms / f64::from(behaviour.parts.max(1));
        return StepTime { first: ms(each), each: ms(each) };
    }
    let fill = f64::from(inner.active) / f64::from(behaviour.concurrency.max(1));
    total_ms *= 1.0 + BATCH_SLOWDOWN * fill;
    let cached = inner.prefixes.contains(&prefix);
    inner.prefixes.retain(|other| *other != prefix);
    inner.prefixes.push_back(prefix);
    if inner.prefixes.len() > CACHED_PREFIXES {
        inner.prefixes.pop_front();
    }
    // Half of the time is prefill, of which a cached prefix saves a share.
    let prompt_ms = total_ms / 2.0 * if cached { 1.0 - CACHED_PREFIX_SAVING } else { 1.0 };
    let each_ms = total_ms / 2.0 / f64::from(behaviour.parts.max(1));
    StepTime { first: ms(prompt_ms + each_ms), each: ms(each_ms) }
}

fn ms(value: f64) -> Duration {
    Duration::from_secs_f64(value.max(0.0) / 1_000.0)
}

/// Returns the output of a stage for an input.
pub fn output_of(stage: &str, input: &str) -> String {
    format!("{stage}({input})")
}

fn response_lines(run: &RunRequest, behaviour: &Behaviour) -> Vec<String> {
    let text = output_of(&run.stage, &run.input);
    let chars: Vec<char> = text.chars().collect();
    let count = (behaviour.parts.max(1) as usize).min(chars.len().max(1));
    let size = chars.len().div_ceil(count).max(1);
    let texts: Vec<String> = chars.chunks(size).map(|chunk| chunk.iter().collect()).collect();
    let last = texts.len() - 1;
    let part = |(index, text): (usize, String)| RunPart {
        request: run.request,
        stage_index: run.stage_index,
        attempt: run.attempt,
        sequence: index as u32,
        text: text.into(),
        last: index == last,
    };
    let mut parts: Vec<_> = texts.into_iter().enumerate().map(part).collect();
    if behaviour.truncate {
        parts.pop();
    }
    if behaviour.shuffle {
        parts.reverse();
    }
    if behaviour.duplicate {
        parts = parts.iter().flat_map(|part| [part.clone(), part.clone()]).collect();
    }
    if behaviour.misdirect
        && let Some(first) = parts.first().cloned()
    {
        let other = RunPart { attempt: first.attempt + 1, text: "another's".into(), ..first };
        parts.insert(0, other);
    }
    let line = |part: &RunPart| serde_json::to_string(part).unwrap_or_default() + "\n";
    parts.iter().map(line).collect()
}

#[get("/v1/report")]
fn report(service: &State<Arc<Service>>) -> Json<Report> {
    let mut inner = service.lock();
    let now = Instant::now();
    let load = inner.waiting;
    inner.loads.push_back((now, load));
    let lag = Duration::from_millis(inner.behaviour.report_lag_ms);
    while inner.loads.len() > 1 && now - inner.loads[1].0 >= lag {
        inner.loads.pop_front();
    }
    let behaviour = &inner.behaviour;
    let leaving = behaviour.leaving_report || (behaviour.leaving && !behaviour.silent);
    Json(Report { load: inner.loads[0].1, leaving, models: inner.models.clone() })
}

#[post("/v1/orders", data = "<order>")]
fn orders(order: Json<Order>, service: &State<Arc<Service>>) -> Status {
    let Order { fence, mut models } = order.into_inner();
    let mut inner = service.lock();
    let taken = !inner.behaviour.checks_fencing || fence >= inner.highest_fence;
    inner.orders.push(ReceivedOrder { fence, models: models.clone(), taken });
    if !taken {
        return Status::Conflict;
    }
    inner.highest_fence = fence;
    models.sort();
    inner.models = models;
    Status::Ok
}

#[get("/control")]
fn control(service: &State<Arc<Service>>) -> Json<Behaviour> {
    Json(service.lock().behaviour.clone())
}

#[post("/control", data = "<behaviour>")]
fn set_control(behaviour: Json<Behaviour>, service: &State<Arc<Service>>) {
    service.lock().behaviour = behaviour.into_inner();
}

#[get("/control/runs")]
fn runs(service: &State<Arc<Service>>) -> Json<Vec<Run>> {
    Json(service.lock().runs.clone())
}

#[get("/control/orders")]
fn received_orders(service: &State<Arc<Service>>) -> Json<Vec<ReceivedOrder>> {
    Json(service.lock().orders.clone())
}

/// Starts an upstream on a free port of `ip`.
///
/// # Errors
/// If it can't listen on `ip`.
pub async fn serve(ip: IpAddr, behaviour: Behaviour) -> anyhow::Result<Server> {
    let slots = Arc::new(Semaphore::new(behaviour.concurrency.max(1) as usize));
    let inner = Inner {
        behaviour,
        runs: Vec::new(),
        orders: Vec::new(),
        models: Vec::new(),
        highest_fence: 0,
        active: 0,
        waiting: 0,
        prefixes: VecDeque::new(),
        loads: VecDeque::new(),
    };
    let service = Arc::new(Service { inner: Mutex::new(inner), slots, started: Instant::now() });
    start(ip, |rocket| {
        rocket
            .manage(service)
            .mount("/", routes![run, report, orders, control, set_control, runs, received_orders,])
    })
    .await
}

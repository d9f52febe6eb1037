//! One request on its way: its account, and its end. [`admitting`] takes it on, [`staging`] has its stages
//! made, [`sending`] sends it.

mod admitting;
mod sending;
mod staging;

use {
    crate::{
        attempts::Attempts,
        backlog::rank,
        backlogs::Promise,
        blame::Held,
        come_back::come_back,
        connections::ResponseBody,
        content::ContentKey,
        context::Serving,
        log, telemetry,
        model::{RetryPolicy, RequestFields, Route, UpstreamKey, Workspace},
        refusal::Refusal,
        residency::Residency,
        rollout::shell::Trial,
        stage_plan::StagePlan,
        upstreams::{LoadGuard, Target},
    },
    bytes::Bytes,
    fernring_core::{code::ResultCode, text::LogLine},
    http::{HeaderMap, Method, StatusCode, Uri, response::Parts},
    rand::RngExt,
    std::{cell::Cell, collections::HashMap, rc::Rc, sync::Arc, time::Duration},
    thiserror::Error,
};

/// Load of a request that is being generated, in tokens to read.
const GENERATION_LOAD_TOKENS: f64 = 200.0;

/// What the caller sent, to be sent on.
#[derive(Debug)]
pub struct CallerRequest {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers without those that concern one connection only.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// Its own fields.
    pub fields: RequestFields,
    /// Its identity.
    pub id: Arc<str>,
    /// What it asks.
    pub content: ContentKey,
}

/// An answer whose head is good.
#[derive(Debug)]
pub struct Opened {
    /// Its head.
    pub head: Parts,
    /// Its body.
    pub body: ResponseBody,
    /// The upstream.
    target: Target,
    load: LoadGuard,
    _held: Held,
    /// Its part in comparing versions, if its service has an order.
    trial: Option<Trial>,
    /// What a model engine reads before its first event, until that has come.
    reads: Option<Reads>,
}

/// A prompt that is being read.
#[derive(Debug, Clone, Copy)]
struct Reads {
    tokens: f64,
    sent_at: Duration,
}

/// Counts a request as in flight until it is dropped.
#[derive(Debug)]
pub struct InFlight(Rc<Serving>);

impl InFlight {
    /// Counts a request.
    pub fn new(serving: Rc<Serving>) -> Self {
        serving.count_in_flight(1);
        Self(serving)
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.count_in_flight(-1);
    }
}

/// Why a stream ended before its end. Its connection is closed, so that it doesn't look whole.
#[derive(Debug, Error)]
pub enum StreamFailure {
    /// The upstream broke off, and nobody could go on.
    #[error("the upstream broke off: {0}")]
    Broken(String),
    /// Its time was over.
    #[error("the time of the request was over")]
    TimedOut,
}

/// How a request ended.
#[derive(Debug, Clone, Copy)]
pub enum Ended<'a> {
    /// With an upstream's whole answer, of this status.
    Answered {
        /// The status.
        status: StatusCode,
    },
    /// With an answer of the gateway's own.
    Refused(&'a Refusal),
    /// In the middle of a stream.
    Broken(&'a StreamFailure),
    /// Its caller did not wait for the end.
    CallerLeft,
}

impl Ended<'_> {
    fn name(&self) -> &'static str {
        match self {
            Self::Answered { .. } => "answered",
            Self::Refused(refusal) => refusal.code.name(),
            Self::Broken(_) => "broken",
            Self::CallerLeft => "caller_left",
        }
    }

    fn code(&self) -> ResultCode {
        match self {
            Self::Answered { .. } | Self::CallerLeft => ResultCode::Ok,
            Self::Refused(refusal) => refusal.code,
            Self::Broken(_) => ResultCode::AnswerTruncated,
        }
    }

    fn detail(&self) -> Option<String> {
        match self {
            Self::Answered { status } => Some(format!("status {}", status.as_u16())),
            Self::Refused(refusal) => Some(refusal.detail.clone()),
            Self::Broken(error) => Some(error.to_string()),
            Self::CallerLeft => None,
        }
    }
}

/// One request on its way.
pub struct Exchange {
    serving: Rc<Serving>,
    request: CallerRequest,
    route: Arc<Route>,
    workspace: Option<Arc<Workspace>>,
    /// Where it may be served.
    residency: Residency,
    service: Arc<str>,
    arrived_at: Duration,
    objective_at: Duration,
    /// When the caller leaves if nothing has come.
    hold_until: Duration,
    end_at: Duration,
    attempts: Attempts,
    tried: Vec<UpstreamKey>,
    /// Whether its first send goes to the version that is rolled out, once that is drawn.
    takes_ordered: Cell<Option<bool>>,
    plan: StagePlan,
    /// When the first event should come, after the arrival; `None` if that was not forecast.
    forecast: Option<Duration>,
    /// The stages that haven't begun and were promised, by index.
    promises: HashMap<usize, Promise>,
    inputs: Vec<Arc<str>>,
    /// Model engine that the results are made for.
    home: Option<Target>,
    resume_after: Option<u64>,
    /// When bytes of the answer came first and last, and the longest pause between.
    passed_on: Option<PassedOn>,
    is_ended: bool,
    _in_flight: InFlight,
}

/// What of a stream was passed on, and when.
#[derive(Debug, Clone, Copy)]
struct PassedOn {
    first_at: Duration,
    last_at: Duration,
    longest_pause: Duration,
}

impl Drop for Exchange {
    fn drop(&mut self) {
        self.release_all();
        if !self.is_ended {
            self.finished(Ended::CallerLeft);
        }
    }
}

impl Exchange {
    /// Starts the account of a request that arrived at `arrived_at`.
    pub fn new(
        serving: Rc<Serving>,
        request: CallerRequest,
        route: Arc<Route>,
        workspace: Option<Arc<Workspace>>,
        arrived_at: Duration,
    ) -> Self {
        let waits = route.wait_limit(request.fields.remaining);
        let service = draw_service(&route);
        let of_workspace = workspace.as_ref().map(|workspace| &workspace.residency);
        let residency =
            of_workspace.map_or_else(|| route.residency.clone(), |own| route.residency.and(own));
        Self {
            attempts: Attempts::new(route.retry_policy, route.attempts_max),
            plan: StagePlan::new(&route.stages, &request.fields.piece_counts),
            resume_after: request.fields.last_event,
            objective_at: arrived_at + route.objective,
            hold_until: arrived_at + waits.min(route.event_gap_max),
            end_at: arrived_at + waits,
            _in_flight: InFlight::new(serving.clone()),
            tried: Vec::new(),
            takes_ordered: Cell::default(),
            forecast: None,
            promises: HashMap::new(),
            inputs: Vec::new(),
            home: None,
            passed_on: None,
            is_ended: false,
            serving,
            request,
            route,
            workspace,
            residency,
            service,
            arrived_at,
        }
    }

    /// Returns the request's identity.
    pub fn request_id(&self) -> &str {
        &self.request.id
    }

    /// Returns what it asks.
    pub fn content(&self) -> ContentKey {
        self.request.content
    }

    /// Returns what may be repeated.
    pub fn repeat(&self) -> RetryPolicy {
        self.route.retry_policy
    }

    /// Returns the time left.
    pub fn time_left(&self) -> Duration {
        self.end_at.saturating_sub(self.serving.now())
    }

    /// Returns when its time is over.
    pub fn end_at(&self) -> Duration {
        self.end_at
    }

    /// Waits for work for no longer than `patience` and the time left; `None` if it isn't done by then.
    pub async fn wait_for<T>(
        &self,
        patience: Option<Duration>,
        work: impl Future<Output = T>,
    ) -> Option<T> {
        let patient_at = patience.map(|patience| self.serving.now() + patience);
        let at = patient_at.map_or(self.end_at, |at| at.min(self.end_at));
        self.serving.alarm.within(at, work).await
    }

    /// Returns the number of the event that the stream goes on after.
    pub fn resume_after(&self) -> Option<u64> {
        self.resume_after
    }

    /// Returns the number of an event, from one of its lines.
    pub fn event_number(&self, line: &[u8]) -> Option<u64> {
        self.serving.wire.event_number(line)
    }

    /// Takes in that bytes of the answer came: the prompt is read, and the results of the stages
    /// were fetched.
    pub fn got_bytes(&mut self, opened: &mut Opened) {
        if self.route.prefix_affinity {
            opened.load.reduce_to(GENERATION_LOAD_TOKENS);
        }
        self.release_all();
        opened.is_whole_so_far();
        let now = self.serving.now();
        if let Some(reads) = opened.reads.take() {
            let took = now.saturating_sub(reads.sent_at);
            self.serving.reading.read(&self.service, reads.tokens, took);
        }
        let passed_on = self.passed_on.get_or_insert(PassedOn {
            first_at: now,
            last_at: now,
            longest_pause: Duration::ZERO,
        });
        let pause = now.saturating_sub(passed_on.last_at);
        passed_on.longest_pause = passed_on.longest_pause.max(pause);
        passed_on.last_at = now;
    }

    /// Sends a stream once more that broke off, with the results of its stages made anew: those of
    /// the first time were given up when the first event came.
    ///
    /// # Errors
    /// If no upstream goes on with it.
    pub async fn reopen(&mut self, last_event: Option<u64>) -> Result<Opened, Refusal> {
        self.resume_after = last_event;
        if !self.may_send() {
            return Err(self.give_up(ResultCode::StageFailed, "no further send is allowed"));
        }
        if self.plan.is_released() {
            self.plan = StagePlan::new(&self.route.stages, &self.request.fields.piece_counts);
            self.hold_until = self.end_at;
            self.make_admitted().await?;
        }
        self.open().await
    }

    /// Returns the final answer for a request that is given up: a promise that it has not run if
    /// that is so.
    pub fn give_up(&self, code: ResultCode, detail: &str) -> Refusal {
        self.give_up_until(code, detail, None)
    }

    /// The same where it can be said when what waits now should be done.
    fn give_up_until(
        &self,
        code: ResultCode,
        detail: &str,
        drained_after: Option<Duration>,
    ) -> Refusal {
        let not_run = self.attempts.not_run();
        let content = self.request.content;
        if self.serving.blame.is_turned_away(content) {
            return match not_run {
                Some(not_run) => self.serving.blame.refusal(not_run, content),
                None => {
                    let reason = self.serving.blame.reason(content);
                    Refusal::may_have_run(ResultCode::StageFailed, reason)
                }
            };
        }
        let Some(not_run) = not_run else {
            return match code {
                ResultCode::WindowEnded => Refusal::may_have_run(code, detail),
                _ => Refusal::may_have_run(ResultCode::StageFailed, detail),
            };
        };
        let draw = rand::rng().random_range(0.0..1.0);
        let after = come_back(drained_after, self.time_left(), rank(self.priority()), draw);
        Refusal::not_run(not_run, code, after, detail)
    }

    /// Takes in the request's end: writes its line and counts it.
    pub fn finished(&mut self, end: Ended<'_>) {
        self.is_ended = true;
        if let Ended::Answered { status } = end
            && status.is_success()
        {
            self.serving.blame.answered(self.request.content);
        }
        let took = self.serving.now().saturating_sub(self.arrived_at);
        let first_ms =
            self.passed_on.map(|p| p.first_at.saturating_sub(self.arrived_at).as_millis());
        telemetry::record_request(&self.route.name, end.name(), took);
        let line = LogLine::event("request_ended")
            .with("request", &self.request.id)
            .with("content", self.request.content)
            .with("pipeline", &self.route.name)
            .with_some("workspace", self.workspace.as_ref().map(|workspace| &workspace.name))
            .with("outcome", end.name())
            .with("code", end.code().number())
            .with("sends", self.tried.len())
            .with("config", self.serving.config.borrow().version())
            .with("took_ms", took.as_millis())
            .with_some("forecast_ms", self.forecast.map(|time| time.as_millis()))
            .with("left_ms", self.time_left().as_millis())
            .with_some("first_ms", first_ms)
            .with_some("pause_ms", self.passed_on.map(|p| p.longest_pause.as_millis()))
            .with_some("detail", end.detail());
        match end {
            Ended::Answered { .. } | Ended::CallerLeft => log::info(line),
            Ended::Refused(_) | Ended::Broken(_) => log::warn(line),
        }
    }

    fn release_all(&mut self) {
        for (stage, handles) in self.plan.take_all() {
            self.serving.stages.release(&self.plan.spec(stage).service, handles, &self.residency);
        }
    }
}

impl Opened {
    /// Returns the upstream.
    pub fn key(&self) -> UpstreamKey {
        self.target.key
    }

    /// Takes in that what came of the answer is good.
    pub fn is_whole_so_far(&self) {
        if let Some(trial) = self.trial.as_ref().filter(|_| !self.is_failure()) {
            trial.whole();
        }
    }

    /// Returns the identity of the upstream.
    pub fn instance(&self) -> &Arc<str> {
        &self.target.instance
    }

    /// Tells whether the upstream answered with a failure of its own.
    pub fn is_failure(&self) -> bool {
        self.head.status.is_server_error()
    }

    /// Returns the status.
    pub fn status(&self) -> StatusCode {
        self.head.status
    }
}

/// Draws one of the services that a route splits its requests over.
fn draw_service(route: &Route) -> Arc<str> {
    let total: u32 = route.traffic_split.iter().map(|part| part.weight).sum();
    let mut draw = rand::rng().random_range(0..total.max(1));
    for part in &route.traffic_split {
        if draw < part.weight {
            return part.service.clone();
        }
        draw -= part.weight;
    }
    route.traffic_split.first().map_or_else(|| Arc::from(""), |part| part.service.clone())
}

//! The state of one request from its admission to its end. `admitting` decides whether it is
//! admitted, `staging` runs its stages, `choosing` chooses an upstream, `sending` sends it
//! there, `handing_over` offers it to others while that is silent, `resuming` finds out where a
//! stream may go on.

mod admitting;
mod choosing;
mod handing_over;
mod resuming;
mod sending;
mod staging;

pub use handing_over::{Holder, Received};

use {
    crate::{
        attempts::Attempts,
        backlog::rank_index,
        backlogs::Reservation,
        connections::{ConnectionLoss, ResponseBody},
        connector::Path,
        context::ServingContext,
        crash_attribution::InFlightGuard,
        engine_speeds::EventGaps,
        events::EventPosition,
        fingerprint::{Fingerprint, RequestTraits},
        framing::Framing,
        log,
        model::{RequestFields, RetryPolicy, Route, UpstreamKey, Workspace},
        origin_table::Origin,
        prefill_budget::STREAM_TOKENS,
        refusal::{RETRY_AFTER_NOT_READY, Refusal},
        request_size::SizeBand,
        residency::Residency,
        retry_after::{RetryForecast, retry_after},
        rollout::coordinator::TrackedSend,
        stage_plan::StagePlan,
        telemetry,
        upstreams::{LoadGuard, Target},
    },
    bytes::Bytes,
    fernring_core::{code::ResultCode, text::LogLine},
    http::{
        HeaderMap, HeaderValue, Method, StatusCode, Uri, header::CONTENT_TYPE, response::Parts,
    },
    rand::RngExt,
    std::{cell::Cell, collections::HashMap, rc::Rc, sync::Arc, time::Duration},
    thiserror::Error,
};

/// Time from the first bytes of a response after which more of them prove that its prompt doesn't
/// crash its upstream.
const PROGRESS_TIME: Duration = Duration::from_secs(1);
/// Why a request ends that has no answer when this node shuts down.
pub const SHUTDOWN_DETAIL: &str = "the node shuts down";
/// Content type of a stream of events.
const EVENT_STREAM: &[u8] = b"text/event-stream";

/// A caller's request, to be sent to an upstream.
#[derive(Debug)]
pub struct CallerRequest {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers without those that apply to a single connection only.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// The decoded fields of the platform's format.
    pub fields: RequestFields,
    /// The request id.
    pub id: Arc<str>,
    /// Digest of the caller, the path and the body.
    pub fingerprint: Fingerprint,
}

/// A response whose head has been received and accepted.
#[derive(Debug)]
pub struct OpenedResponse {
    /// The head.
    pub head: Parts,
    /// The body.
    pub body: ResponseBody,
    /// The upstream that responded.
    target: Target,
    /// The way that the response takes.
    path: Path,
    /// Whether its send counts among the attempts already.
    is_counted: bool,
    load: LoadGuard,
    _attribution_guard: InFlightGuard,
    /// The tracking of this send for the comparison of versions, if its service has a roll-out
    /// order.
    tracked: Option<TrackedSend>,
    /// The prefill of a model engine, until the first event has been received.
    prefill: Option<Prefill>,
    first_bytes_at: Option<Duration>,
    /// When its head or bytes of its body were received last.
    received_at: Duration,
    /// Whether bytes have come for [`PROGRESS_TIME`].
    has_progressed: bool,
}

/// The prefill of a prompt in progress.
#[derive(Debug, Clone, Copy)]
struct Prefill {
    tokens: f64,
    /// Speed of the engine relative to the average of its service.
    relative_speed: f64,
    sent_at: Duration,
}

/// Counts a request as in flight until it is dropped.
#[derive(Debug)]
pub struct InFlight(Rc<ServingContext>);

impl InFlight {
    /// Counts a request.
    pub fn new(serving: Rc<ServingContext>) -> Self {
        serving.adjust_in_flight(1);
        Self(serving)
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.adjust_in_flight(-1);
    }
}

/// Why a stream was interrupted. Its connection is closed, so that the caller doesn't take it for
/// complete.
#[derive(Debug, Error)]
pub enum StreamFailure {
    /// The upstream's response was interrupted, and no other upstream could resume it.
    #[error("the upstream's response was interrupted: {0}")]
    Broken(String),
    /// The deadline of the request has passed.
    #[error("the deadline of the request has passed")]
    TimedOut,
}

/// How an exchange ended.
#[derive(Debug, Clone, Copy)]
pub enum ExchangeEnd<'a> {
    /// With an upstream's complete response.
    Answered {
        /// The status of the response.
        status: StatusCode,
    },
    /// With an answer that the gateway generated itself.
    Refused(&'a Refusal),
    /// In the middle of a stream.
    Broken(&'a StreamFailure),
    /// The caller closed its connection before the end.
    CallerLeft,
}

impl ExchangeEnd<'_> {
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

/// The state of one request until it ends.
pub struct Exchange {
    serving: Rc<ServingContext>,
    request: CallerRequest,
    /// What a crash of an upstream may be attributed to.
    traits: RequestTraits,
    route: Arc<Route>,
    workspace: Option<Arc<Workspace>>,
    /// The regions in which the request may be served.
    residency: Residency,
    service: Arc<str>,
    arrived_at: Duration,
    /// When the first event is due: at the objective, or later if the request itself needs longer.
    due_at: Duration,
    /// When the caller disconnects if it has received nothing.
    patience_ends_at: Duration,
    /// The deadline of the request.
    deadline_at: Duration,
    /// Whether the head of a stream has been passed on.
    has_begun_answer: bool,
    attempts: Attempts,
    /// The send that awaits its response, and whether its first byte may have left this node.
    pending_send: Option<Rc<Cell<bool>>>,
    tried: Vec<UpstreamKey>,
    /// Whether the first send goes to the version that is being rolled out; `None` until that is
    /// drawn.
    is_drawn_for_rollout: Cell<Option<bool>>,
    plan: StagePlan,
    /// Forecast time from the arrival to the first event; `None` if there is no forecast.
    forecast_time: Option<Duration>,
    /// Size of the request; `None` before its admission and for requests without stages and prompt.
    size: Option<SizeBand>,
    /// The reservations of stages that haven't started, by index.
    reservations: HashMap<usize, Reservation>,
    inputs: Vec<Arc<str>>,
    /// The model engine for which the results are produced.
    home: Option<Target>,
    resume_after: Option<u64>,
    /// When bytes of the response were received first and last, and the longest pause between;
    /// `None` before the first bytes.
    stream_times: Option<StreamTimes>,
    last_response: Option<LastResponse>,
    /// The version that the stream may go on at; `None` before its first event was forwarded.
    origin: Option<Origin>,
    /// The versions of the upstreams whose bytes were received, in order, without repetitions.
    received_versions: Vec<Arc<str>>,
    is_ended: bool,
    _in_flight: InFlight,
}

/// The response that was received last.
#[derive(Debug, Clone)]
struct LastResponse {
    target: Target,
    /// The way that it took.
    path: Path,
    framing: Framing,
    /// Where its stream stands; `None` if it isn't a stream of events.
    position: Option<EventPosition>,
}

/// When bytes of a response were received.
#[derive(Debug, Clone, Copy)]
struct StreamTimes {
    first_at: Duration,
    last_at: Duration,
    longest_pause: Duration,
    /// The upstream that the response came from last.
    engine: UpstreamKey,
    /// Speed of the first upstream relative to the average of its service.
    relative_speed: f64,
    /// Gaps between events from the last upstream.
    gaps: EventGaps,
}

impl Drop for Exchange {
    fn drop(&mut self) {
        self.release_results();
        if !self.is_ended {
            self.record_end(ExchangeEnd::CallerLeft);
        }
    }
}

impl Exchange {
    /// Creates the state of a request that arrived at `arrived_at`.
    pub fn new(
        serving: Rc<ServingContext>,
        request: CallerRequest,
        route: Arc<Route>,
        workspace: Option<Arc<Workspace>>,
        arrived_at: Duration,
    ) -> Self {
        let time_limit = route.wait_limit(request.fields.remaining);
        let service = draw_service(&route);
        let traits = RequestTraits::new(request.fingerprint, &service, &request.fields);
        let workspace_residency = workspace.as_ref().map(|workspace| &workspace.residency);
        let residency = workspace_residency
            .map_or_else(|| route.residency.clone(), |own| route.residency.intersect(own));
        Self {
            attempts: Attempts::new(route.retry_policy, route.attempts_max),
            plan: StagePlan::new(&route.stages, &request.fields.piece_counts),
            resume_after: request.fields.last_event,
            due_at: arrived_at + route.objective,
            patience_ends_at: arrived_at + time_limit.min(route.event_gap_max),
            deadline_at: arrived_at + time_limit,
            has_begun_answer: false,
            _in_flight: InFlight::new(serving.clone()),
            pending_send: None,
            tried: Vec::new(),
            is_drawn_for_rollout: Cell::default(),
            forecast_time: None,
            size: None,
            reservations: HashMap::new(),
            inputs: Vec::new(),
            home: None,
            stream_times: None,
            last_response: None,
            origin: None,
            received_versions: Vec::new(),
            is_ended: false,
            serving,
            request,
            traits,
            route,
            workspace,
            residency,
            service,
            arrived_at,
        }
    }

    /// Returns the service.
    pub fn service(&self) -> &Arc<str> {
        &self.service
    }

    /// Returns the request id.
    pub fn request_id(&self) -> &str {
        &self.request.id
    }

    /// Returns the request's fingerprint.
    pub fn fingerprint(&self) -> Fingerprint {
        self.request.fingerprint
    }

    /// Lists the ids of the parts of the prompt that other requests may share, for log lines;
    /// `None` if there are none.
    pub fn shared_part_names(&self) -> Option<String> {
        let names = self.request.fields.shared_parts().iter().map(|part| format!("{:x}", part.id));
        let names: Vec<_> = names.collect();
        (!names.is_empty()).then(|| names.join(","))
    }

    /// Returns which requests of the route may be sent again.
    pub fn retry_policy(&self) -> RetryPolicy {
        self.route.retry_policy
    }

    /// Returns how many more sends are allowed, the one under way included.
    pub fn attempts_left(&self) -> u32 {
        self.attempts.left()
    }

    /// Returns how long nothing has been received of a response: since its last bytes or its head.
    pub fn silent_time(&self, opened: &OpenedResponse) -> Duration {
        self.serving.now().saturating_sub(opened.received_at)
    }

    /// Returns the current time.
    pub fn now(&self) -> Duration {
        self.serving.now()
    }

    /// Returns when the request arrived.
    pub fn arrived_at(&self) -> Duration {
        self.arrived_at
    }

    /// Returns the time left until the request has to be answered.
    pub fn time_left(&self) -> Duration {
        self.end_at().saturating_sub(self.serving.now())
    }

    /// Returns the time left until the deadline, in which the caller may retry at another node.
    fn caller_time_left(&self) -> Duration {
        self.deadline_at.saturating_sub(self.serving.now())
    }

    /// Returns when the request has to be answered: by its deadline, or before this node shuts down.
    /// A stream that has begun may go on until the process ends.
    pub fn end_at(&self) -> Duration {
        match self.serving.shutdown.answers_due_at() {
            Some(due_at) if !self.has_begun_answer => self.deadline_at.min(due_at),
            _ => self.deadline_at,
        }
    }

    /// Returns whether the request has to be answered because this node shuts down.
    fn is_ended_by_shutdown(&self) -> bool {
        self.time_left().is_zero() && self.serving.now() < self.deadline_at
    }

    /// Returns the loss of a response that there is no time to wait for. If this node shuts down, the
    /// upstream isn't at fault.
    pub fn loss_without_time(&self, reason: &str) -> ConnectionLoss {
        match self.is_ended_by_shutdown() {
            true => ConnectionLoss { reason: SHUTDOWN_DETAIL.to_owned(), kind: None },
            false => ConnectionLoss::silent(reason),
        }
    }

    /// Records that the head of a stream is passed on.
    pub fn record_answer_begun(&mut self) {
        self.has_begun_answer = true;
    }

    /// Runs `work` for at most `patience` and the time left; returns `None` if it isn't done by
    /// then.
    pub async fn wait_at_most<T>(
        &self,
        patience: Option<Duration>,
        work: impl Future<Output = T>,
    ) -> Option<T> {
        let patient_at = patience.map(|patience| self.serving.now() + patience);
        let at = patient_at.map_or(self.deadline_at, |at| at.min(self.deadline_at));
        match self.has_begun_answer {
            true => self.serving.deadline_timer.complete_by(at, work).await,
            false => self.serving.complete_by(at, work).await,
        }
    }

    /// Returns the number of the event after which the stream resumes.
    pub fn resume_after(&self) -> Option<u64> {
        self.resume_after
    }

    /// Extracts the number of an event from one of its lines.
    pub fn event_number(&self, line: &[u8]) -> Option<u64> {
        self.serving.wire.event_number(line)
    }

    /// Records that bytes of the response were received: the prefill is done, and the upstream has
    /// fetched the results of the stages, so they are released.
    pub fn record_bytes(&mut self, opened: &mut OpenedResponse) {
        if self.route.prefix_affinity {
            opened.load.reduce_to(STREAM_TOKENS);
        }
        self.release_results();
        opened.record_intact();
        let version = &opened.target.version;
        if self.received_versions.last() != Some(version) {
            self.received_versions.push(version.clone());
        }
        let now = self.serving.now();
        opened.received_at = now;
        let first_bytes_at = *opened.first_bytes_at.get_or_insert(now);
        if !opened.has_progressed && now >= first_bytes_at + PROGRESS_TIME {
            opened.has_progressed = true;
            self.serving.crash_attribution.record_part_answer(&self.traits);
        }
        let relative_speed = opened.prefill.map_or(1.0, |prefill| prefill.relative_speed);
        if let Some(prefill) = opened.prefill.take() {
            let took = now.saturating_sub(prefill.sent_at);
            let average_took = took.mul_f64(prefill.relative_speed);
            let speeds = &self.serving.prefill_speeds;
            speeds.record_prefill(&self.service, prefill.tokens, average_took);
        }
        let times = self.stream_times.get_or_insert(StreamTimes {
            first_at: now,
            last_at: now,
            longest_pause: Duration::ZERO,
            engine: opened.key(),
            relative_speed,
            gaps: EventGaps::default(),
        });
        let pause = now.saturating_sub(times.last_at);
        if times.engine != opened.key() {
            times.engine = opened.key();
            times.gaps = EventGaps::default();
        } else if now > times.first_at {
            times.gaps.record(pause);
        }
        times.longest_pause = times.longest_pause.max(pause);
        times.last_at = now;
    }

    /// Sends the request again after its stream was interrupted. The stages run again if their
    /// results were released, which happened at the first event.
    ///
    /// # Errors
    /// If no upstream resumes the stream.
    pub async fn reopen(&mut self, last_event: Option<u64>) -> Result<OpenedResponse, Refusal> {
        self.resume_after = last_event;
        if !self.may_send() {
            return Err(self.refusal_for(ResultCode::StageFailed, "no further attempt is allowed"));
        }
        self.check_origin()?;
        if self.plan.has_released_results() {
            self.plan = StagePlan::new(&self.route.stages, &self.request.fields.piece_counts);
            self.patience_ends_at = self.end_at();
            self.renew_due_time();
            self.run_admitted_stages().await?;
        }
        self.open().await
    }

    /// Returns the final answer for an abandoned request. It guarantees that the request has not
    /// run if that is certain.
    pub fn refusal_for(&self, code: ResultCode, detail: &str) -> Refusal {
        self.refusal_with_forecast(code, detail, RetryForecast::Unknown)
    }

    /// Returns the final answer for a request that has no time left.
    fn refusal_without_time(&self, detail: &str) -> Refusal {
        match self.is_ended_by_shutdown() {
            true => {
                let forecast = RetryForecast::DrainedAfter(RETRY_AFTER_NOT_READY);
                self.refusal_with_forecast(ResultCode::NotReady, SHUTDOWN_DETAIL, forecast)
            }
            false => self.refusal_for(ResultCode::WindowEnded, detail),
        }
    }

    /// Returns the same as [`Exchange::refusal_for`], with a forecast of when a retry may be
    /// served.
    fn refusal_with_forecast(
        &self,
        code: ResultCode,
        detail: &str,
        forecast: RetryForecast,
    ) -> Refusal {
        let not_run = self.attempts.not_run();
        let crash_attribution = &self.serving.crash_attribution;
        if crash_attribution.is_quarantined(&self.traits) {
            return match not_run {
                Some(not_run) => crash_attribution.refusal(not_run, &self.traits),
                None => {
                    let reason = crash_attribution.quarantine_reason(&self.traits);
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
        let time_left = self.caller_time_left();
        let after = retry_after(forecast, time_left, rank_index(self.priority()), draw);
        Refusal::not_run(not_run, code, after, detail)
    }

    /// Records where the stream of the last response stands.
    pub fn record_position(&mut self, position: EventPosition) {
        if let Some(response) = &mut self.last_response {
            response.position = Some(position);
        }
    }

    /// Records the end of the request in the log and the metrics.
    pub fn record_end(&mut self, end: ExchangeEnd<'_>) {
        self.is_ended = true;
        if let ExchangeEnd::Answered { status } = end
            && status.is_success()
        {
            self.serving.crash_attribution.record_answer(self.request.fingerprint);
            self.record_part_answer();
            if let Some(size) = self.size {
                telemetry::record_size(&self.route.name, size, "answered");
            }
        }
        self.record_event_gaps();
        let position = self.last_response.as_ref().and_then(|response| response.position);
        if let (ExchangeEnd::Answered { .. }, Some(response)) = (end, &self.last_response) {
            let end = position.map_or("complete", |position| position.name());
            telemetry::record_response_end(&self.service, response.framing.name(), end);
        }
        let versions =
            (!self.received_versions.is_empty()).then(|| self.received_versions.join(","));
        let took = self.serving.now().saturating_sub(self.arrived_at);
        let first_ms = self
            .stream_times
            .map(|times| times.first_at.saturating_sub(self.arrived_at).as_millis());
        telemetry::record_request(&self.route.name, end.name(), took);
        let line = LogLine::event("request_ended")
            .with("request", &self.request.id)
            .with("content", self.request.fingerprint)
            .with("pipeline", &self.route.name)
            .with_some("workspace", self.workspace.as_ref().map(|workspace| &workspace.name))
            .with_some("parts", self.shared_part_names())
            .with("outcome", end.name())
            .with("code", end.code().number())
            .with("sends", self.tried.len())
            .with_some("path", self.last_response.as_ref().map(|response| response.path.name()))
            .with_some(
                "framing",
                self.last_response.as_ref().map(|response| response.framing.name()),
            )
            .with_some("position", position.map(|position| position.name()))
            .with_some("versions", versions)
            .with("config", self.serving.config.borrow().version())
            .with("took_ms", took.as_millis())
            .with_some("forecast_ms", self.forecast_time.map(|time| time.as_millis()))
            .with("left_ms", self.time_left().as_millis())
            .with_some("first_ms", first_ms)
            .with_some("pause_ms", self.stream_times.map(|times| times.longest_pause.as_millis()))
            .with_some("detail", end.detail());
        match end {
            ExchangeEnd::Answered { .. } | ExchangeEnd::CallerLeft => log::info(line),
            ExchangeEnd::Refused(_) | ExchangeEnd::Broken(_) => log::warn(line),
        }
    }

    /// Clears the parts of the prompt. Without a marked end, the upstream may have crashed at the end
    /// of its response.
    fn record_part_answer(&self) {
        let Some(response) = &self.last_response else {
            return;
        };
        let crash_attribution = &self.serving.crash_attribution;
        match response.framing {
            Framing::Connection => {
                crash_attribution.record_unmarked_end(&response.target, &self.traits);
            }
            _ => crash_attribution.record_part_answer(&self.traits),
        }
    }

    fn record_event_gaps(&self) {
        let is_stream_of_engine = self.route.streaming && self.route.prefix_affinity;
        if let Some(times) = self.stream_times.filter(|_| is_stream_of_engine) {
            let now = self.serving.now();
            self.serving.upstreams.record_event_gaps(now, times.engine, &times.gaps);
            if self.tried.len() == 1 {
                let pauses = &self.serving.prefill_pauses;
                pauses.record_stream(&self.service, times.longest_pause, times.relative_speed);
            }
        }
    }

    fn release_results(&mut self) {
        for (stage, handles) in self.plan.take_remaining() {
            self.serving.stages.release(&self.plan.spec(stage).service, handles, &self.residency);
        }
    }
}

impl OpenedResponse {
    /// Returns the key of the upstream.
    pub fn key(&self) -> UpstreamKey {
        self.target.key
    }

    /// Returns the upstream as one that may fall silent.
    pub fn holder(&self) -> Holder {
        let (target, is_counted) = (self.target.clone(), self.is_counted);
        Holder { target, path: Some(self.path), is_counted }
    }

    /// Sets whether its send counts among the attempts already.
    pub fn set_counted(&mut self, is_counted: bool) {
        self.is_counted = is_counted;
    }

    /// Returns when its head or bytes of its body were received last.
    pub fn received_at(&self) -> Duration {
        self.received_at
    }

    /// Records for the roll-out that the response is intact so far, unless it is a failure.
    pub fn record_intact(&self) {
        if let Some(tracked) = self.tracked.as_ref().filter(|_| !self.is_failure()) {
            tracked.record_success();
        }
    }

    /// Returns the version of the upstream.
    pub fn version(&self) -> &Arc<str> {
        &self.target.version
    }

    /// Returns how the end of the body is marked.
    pub fn framing(&self) -> Framing {
        Framing::of(&self.head)
    }

    /// Returns whether the body of this response on a streaming route is a stream of events.
    pub fn is_event_stream(&self) -> bool {
        let content_type = self.head.headers.get(CONTENT_TYPE).map(HeaderValue::as_bytes);
        let is_event_type = match content_type {
            Some(value) => value
                .get(..EVENT_STREAM.len())
                .is_some_and(|start| start.eq_ignore_ascii_case(EVENT_STREAM)),
            None => self.framing() == Framing::Connection,
        };
        self.status().is_success() && is_event_type
    }

    /// Returns the instance of the upstream.
    pub fn instance(&self) -> &Arc<str> {
        &self.target.instance
    }

    /// Returns whether the upstream responded with a server error.
    pub fn is_failure(&self) -> bool {
        self.head.status.is_server_error()
    }

    /// Returns the status.
    pub fn status(&self) -> StatusCode {
        self.head.status
    }
}

/// Draws one of the services among which a route splits its requests, by weight.
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

//! One request on its way: its stages, its sends, its account.

use {
    crate::{
        attempts::{Attempts, SendEnd},
        connections::{AnswerBody, SendFailure},
        log, measures,
        model::{
            PieceInput, Repeat, RequestFields, Route, StageSpec, UpstreamFields, UpstreamKey,
            Workspace,
        },
        owner::{Work, WorkEnd},
        refusal::{RETRY_AFTER_LOAD, Refusal},
        relay::RelayError,
        selection::{Candidate, PromptNeed, choose, choose_model},
        serve::Serving,
        stage_plan::StagePlan,
        upstreams::{LoadGuard, Target},
    },
    bytes::Bytes,
    fernring_core::{code::ResultCode, text::LogLine},
    futures_util::stream::{FuturesUnordered, StreamExt},
    http::{HeaderMap, Method, Request, StatusCode, Uri, response::Parts},
    http_body_util::Full,
    rand::RngExt,
    std::{rc::Rc, sync::Arc, time::Duration},
    tokio::time::timeout,
};

/// Most upstreams that one request is offered to, those included that take no connection. A
/// refused connection costs a millisecond, and a third of a pool may be gone at once.
const OFFERS_MAX: u32 = 12;
/// Tokens of a prompt that a model engine reads in a millisecond, about. The engines of both users
/// read 61; being off by half only moves the point at which shared prompts spread.
const READ_TOKENS_PER_MS: f64 = 60.0;
/// Part of the time left to the objective that may go into reading prompts. The rest is for what
/// this node doesn't know of: requests of other nodes since their last heartbeat.
const READ_PART: f64 = 0.5;
/// Load of a request that is being generated, in tokens to read.
const GENERATION_LOAD_TOKENS: f64 = 200.0;
/// Part of its time that a request may wait for its stages. One that is refused then is refused
/// late, but one that is held longer only keeps others waiting.
const HOLD_PART: f64 = 0.3;
/// Part of the caller's patience that a request may wait for its stages. The rest is for the
/// model engine.
const PATIENCE_PART: f64 = 0.55;
/// Wait of a stage for its turn, as a part of a call without pieces.
const TURN_PART: f64 = 0.5;
/// What one piece makes or reads, in bytes, from which on it is placed by failure domain. What
/// less costs between domains is not worth a wait for a maker there.
const NEAR_BYTES_MIN: u64 = 200_000;
/// Times that the stages of a request are made again because results were gone.
const STAGE_ROUNDS_MAX: u32 = 2;

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
}

/// An answer whose head is good.
#[derive(Debug)]
pub struct Opened {
    /// Its head.
    pub head: Parts,
    /// Its body.
    pub body: AnswerBody,
    /// The upstream's run.
    pub instance: Arc<str>,
    key: UpstreamKey,
    load: LoadGuard,
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
    Broken(&'a RelayError),
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
    service: Arc<str>,
    arrived_at: Duration,
    objective_at: Duration,
    /// When the stages are given up.
    hold_until: Duration,
    end_at: Duration,
    attempts: Attempts,
    tried: Vec<UpstreamKey>,
    plan: StagePlan,
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
        let waits = route.wait(request.fields.remaining);
        let service = draw_service(&route);
        Self {
            attempts: Attempts::new(route.repeat, route.attempts_max),
            plan: StagePlan::new(&route.stages, &request.fields.piece_counts),
            resume_after: request.fields.last_event,
            objective_at: arrived_at + route.objective,
            hold_until: arrived_at
                + waits.mul_f64(HOLD_PART).min(route.patience.mul_f64(PATIENCE_PART)),
            end_at: arrived_at + waits,
            _in_flight: InFlight::new(serving.clone()),
            tried: Vec::new(),
            inputs: Vec::new(),
            home: None,
            passed_on: None,
            is_ended: false,
            serving,
            request,
            route,
            workspace,
            service,
            arrived_at,
        }
    }

    /// Returns the request's identity.
    pub fn request_id(&self) -> &str {
        &self.request.id
    }

    /// Returns what may be repeated.
    pub fn repeat(&self) -> Repeat {
        self.route.repeat
    }

    /// Returns the time left.
    pub fn time_left(&self) -> Duration {
        self.end_at.saturating_sub(self.serving.now())
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
        let now = self.serving.now();
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
            self.make_stages().await?;
        }
        self.open().await
    }

    /// Has all stages made.
    ///
    /// # Errors
    /// If they could not be made in time; the request itself has not run.
    pub async fn make_stages(&mut self) -> Result<(), Refusal> {
        if self.plan.makes_any(NEAR_BYTES_MIN) {
            self.home = self.choose();
        }
        for _ in 0..STAGE_ROUNDS_MAX {
            match self.run_stages().await {
                WorkEnd::Made(_) => {
                    self.inputs = self.plan.final_handles();
                    return Ok(());
                }
                WorkEnd::InputGone => {
                    self.release_all();
                    let counts = &self.request.fields.piece_counts;
                    self.plan = StagePlan::new(&self.route.stages, counts);
                }
                WorkEnd::Late => return Err(self.give_up(ResultCode::ExpiredInQueue, "stage")),
                WorkEnd::Failed | WorkEnd::OwnerLost => {
                    return Err(self.give_up(ResultCode::NoUpstream, "a stage failed"));
                }
            }
        }
        Err(self.give_up(ResultCode::NoUpstream, "results of stages were lost"))
    }

    async fn run_stages(&mut self) -> WorkEnd {
        let serving = self.serving.clone();
        let lead = self.chain_lead();
        let mut running = FuturesUnordered::new();
        loop {
            for stage in self.plan.start_ready(lead) {
                let work = self.stage_work(stage);
                let stages = &serving.stages;
                running.push(async move { (stage, stages.make(work).await) });
            }
            let Some((stage, end)) = running.next().await else {
                debug_assert!(self.plan.is_done());
                return WorkEnd::Made(Vec::new());
            };
            match end {
                WorkEnd::Made(handles) => self.plan.finish(stage, handles),
                other => return other,
            }
            for (stage, handles) in self.plan.take_spent() {
                serving.stages.release(&self.plan.spec(stage).service, handles);
            }
        }
    }

    /// Stages by which a chain may be longer than another and both start: one, so that the other is
    /// not what the request waits for in the end. Requests of the lowest rank do without, and
    /// leave the room for results to the others meanwhile.
    fn chain_lead(&self) -> usize {
        let held = self.serving.config.borrow().current();
        let routes = held.iter().flat_map(|held| &held.config.routes);
        let lowest = routes.filter(|route| !route.stages.is_empty()).map(|route| route.priority);
        usize::from(lowest.max().is_some_and(|lowest| self.route.priority < lowest))
    }

    fn stage_work(&self, stage: usize) -> Work {
        let spec = self.plan.spec(stage);
        let key = self.request.fields.piece_key.clone().unwrap_or_else(|| Arc::from(""));
        let input = match self.plan.inputs(stage) {
            Some(handles) => PieceInput::Results(handles.into()),
            None => PieceInput::Key(key),
        };
        Work {
            service: spec.service.clone(),
            request_id: self.request.id.clone(),
            stage: stage as u32,
            pieces: self.plan.count(stage),
            input,
            due_at: self.due_at(stage),
            near: self.near(stage),
            deadline_at: self.hold_until.saturating_sub(self.time_after(stage)),
            priority: self.priority(),
            result_bytes: spec.result_bytes,
            asker: self.serving.peers.address(),
        }
    }

    /// When a stage's results are due for the first event to be on time.
    fn due_at(&self, stage: usize) -> Duration {
        self.objective_at.saturating_sub(self.time_after(stage) + self.reading_time())
    }

    /// Time that the stages after one take.
    fn time_after(&self, stage: usize) -> Duration {
        let held = self.serving.config.borrow().current();
        let time_of = |spec: &StageSpec, pieces: u32| {
            let service = held.as_ref().and_then(|held| held.config.services.get(&spec.service));
            let Some(shape) = service.and_then(|service| service.batch) else {
                return Duration::ZERO;
            };
            let pieces = pieces.min(shape.pieces_max as u32);
            shape.call_time.mul_f64(1.0 + TURN_PART) + shape.piece_time * pieces
        };
        self.plan.time_after(stage, &time_of)
    }

    /// Time that a model engine needs for the whole prompt.
    fn reading_time(&self) -> Duration {
        Duration::from_secs_f64(self.prompt_tokens() / READ_TOKENS_PER_MS / 1_000.0)
    }

    /// Failure domain in which a stage's pieces are best made: where its results are read if they
    /// are large, else where the results lie that each piece reads, if those are.
    fn near(&self, stage: usize) -> Option<Arc<str>> {
        let spec = self.plan.spec(stage);
        if spec.result_bytes >= NEAR_BYTES_MIN {
            return self.home.as_ref().map(|home| home.failure_domain.clone());
        }
        let inputs = self.plan.inputs_by_stage(stage);
        let bytes: u64 = inputs.iter().map(|(bytes, handles)| bytes * handles.len() as u64).sum();
        if bytes < NEAR_BYTES_MIN {
            return None;
        }
        let largest = inputs.iter().max_by_key(|(bytes, handles)| bytes * handles.len() as u64);
        largest.and_then(|(_, handles)| self.serving.upstreams.domain_of(handles))
    }

    fn priority(&self) -> u32 {
        let of_workspace = self.workspace.as_ref().and_then(|workspace| workspace.priority);
        of_workspace.unwrap_or(self.route.priority)
    }

    /// Sends the request until the head of a good answer comes.
    ///
    /// # Errors
    /// If none came and it may not be sent again.
    pub async fn open(&mut self) -> Result<Opened, Refusal> {
        self.serving.retries.count_requests(self.serving.now(), &self.service, 1);
        let mut reason = "no upstream is there".to_owned();
        for _ in 0..OFFERS_MAX {
            let left = self.time_left();
            if left.is_zero() {
                return Err(self.give_up(ResultCode::WindowEnded, &reason));
            }
            if !self.attempts.may_send() {
                break;
            }
            let Some(target) = self.choose() else {
                break;
            };
            if self.attempts.next_is_extra() && !self.take_budget() {
                reason.push_str("; the retry budget is spent");
                break;
            }
            self.tried.push(target.key);
            match self.send(&target, left).await {
                Ok(opened) => {
                    measures::send_ended(&self.service, "answered");
                    return Ok(opened);
                }
                Err((end, why)) => {
                    self.log_send(&target, end, &why);
                    self.attempts.ended(end);
                    self.judge(&target, end);
                    reason = why;
                }
            }
        }
        if self.time_left().is_zero() {
            return Err(self.give_up(ResultCode::WindowEnded, &reason));
        }
        Err(self.give_up(ResultCode::NoUpstream, &reason))
    }

    /// Takes in that a send brought a head but no whole answer.
    pub fn send_ended(&mut self, opened: &Opened, end: SendEnd) {
        self.attempts.ended(end);
        self.serving.upstreams.failed(self.serving.now(), opened.key);
    }

    /// Takes in that an upstream answered, though with a failure of its own.
    pub fn answered_with_failure(&mut self) {
        self.attempts.ended(SendEnd::Unknown);
    }

    /// Takes in that an upstream gave a whole answer.
    pub fn succeeded(&self, key: UpstreamKey) {
        self.serving.upstreams.succeeded(key);
    }

    /// Tells whether another upstream may be asked.
    pub fn may_send(&self) -> bool {
        self.attempts.may_send() && !self.time_left().is_zero()
    }

    /// Returns the final answer for a request that is given up: a promise that it has not run if
    /// that is so.
    pub fn give_up(&self, code: ResultCode, detail: &str) -> Refusal {
        match self.attempts.not_run() {
            Some(not_run) => Refusal::not_run(not_run, code, RETRY_AFTER_LOAD, detail),
            None if code == ResultCode::WindowEnded => Refusal::may_have_run(code, detail),
            None => Refusal::may_have_run(ResultCode::StageFailed, detail),
        }
    }

    /// Takes in the request's end: writes its line and counts it.
    pub fn finished(&mut self, end: Ended<'_>) {
        self.is_ended = true;
        let took = self.serving.now().saturating_sub(self.arrived_at);
        let first_ms =
            self.passed_on.map(|p| p.first_at.saturating_sub(self.arrived_at).as_millis());
        measures::request_ended(&self.route.name, end.name(), took);
        let line = LogLine::event("request_ended")
            .with("request", &self.request.id)
            .with("pipeline", &self.route.name)
            .with_some("workspace", self.workspace.as_ref().map(|workspace| &workspace.name))
            .with("outcome", end.name())
            .with("code", end.code().number())
            .with("sends", self.tried.len())
            .with("config", self.serving.config.borrow().version())
            .with("took_ms", took.as_millis())
            .with("left_ms", self.time_left().as_millis())
            .with_some("first_ms", first_ms)
            .with_some("pause_ms", self.passed_on.map(|p| p.longest_pause.as_millis()))
            .with_some("detail", end.detail());
        match end {
            Ended::Answered { .. } | Ended::CallerLeft => log::info(line),
            Ended::Refused(_) | Ended::Broken(_) => log::warn(line),
        }
    }

    fn take_budget(&self) -> bool {
        self.serving.retries.take(self.serving.now(), &self.service, 1)
    }

    fn choose(&self) -> Option<Target> {
        let upstreams = &self.serving.upstreams;
        let is_silent = |domain: &str| self.serving.peers.is_silent(domain);
        let untried = |candidate: &Candidate| !self.tried.contains(&candidate.key);
        let candidates = upstreams.candidates(self.serving.now(), &self.service, is_silent);
        let candidates: Vec<_> = candidates.into_iter().filter(untried).collect();
        let chosen = match self.prompt_need() {
            Some(need) => choose_model(&candidates, need),
            None => choose(&candidates, rand::random()),
        };
        let target = upstreams.target(chosen?)?;
        self.log_choice(&target, &candidates);
        Some(target)
    }

    fn log_choice(&self, target: &Target, candidates: &[Candidate]) {
        let chosen = candidates.iter().find(|candidate| candidate.key == target.key);
        let is_home = self.home.as_ref().is_some_and(|home| home.key == target.key);
        let age = self.serving.upstreams.record_age(self.serving.now());
        let line = LogLine::event("routed")
            .with("request", &self.request.id)
            .with("pipeline", &self.route.name)
            .with_some("workspace", self.workspace.as_ref().map(|workspace| &workspace.name))
            .with("service", &self.service)
            .with("upstream", &target.instance)
            .with("record", target.offset)
            .with("records_age_ms", age.as_millis())
            .with("send", self.tried.len() + 1)
            .with("of", candidates.len())
            .with("load", chosen.map_or(0.0, |candidate| candidate.load.round()))
            .with("is_avoided", chosen.is_some_and(|candidate| candidate.is_avoided))
            .with("is_home", is_home)
            .with("config", self.serving.config.borrow().version())
            .with("left_ms", self.time_left().as_millis());
        log::info(line);
    }

    /// What the request needs of a model engine; `None` if it goes to a plain service.
    fn prompt_need(&self) -> Option<PromptNeed> {
        if !self.route.prefix_affinity {
            return None;
        }
        let parts = &self.request.fields.prompt;
        let shared = parts.len().checked_sub(2).and_then(|index| parts.get(index));
        let own = parts.last()?;
        let time_left = self.objective_at.saturating_sub(self.serving.now());
        let time_ms = time_left.mul_f64(READ_PART).as_secs_f64() * 1_000.0;
        Some(PromptNeed {
            prefix: shared.unwrap_or(own).id,
            own_tokens: f64::from(own.tokens),
            all_tokens: self.prompt_tokens(),
            patience_tokens: time_ms * READ_TOKENS_PER_MS,
            home: self.home.as_ref().map(|home| home.key),
        })
    }

    fn prompt_tokens(&self) -> f64 {
        f64::from(self.request.fields.prompt.iter().map(|part| part.tokens).sum::<u32>())
    }

    /// The load that the request brings until its first event: tokens to read for a model engine,
    /// with the shared parts taken as cached, else 1.
    fn weight(&self) -> f64 {
        match self.prompt_need() {
            Some(need) => need.own_tokens + GENERATION_LOAD_TOKENS,
            None => 1.0,
        }
    }

    async fn send(&self, target: &Target, left: Duration) -> Result<Opened, (SendEnd, String)> {
        let load = self.serving.upstreams.load(target.key, self.weight());
        let connections_max = self.serving.config.borrow().connections_max(&self.service);
        let request = self.upstream_request(target, left);
        let sent = self.serving.upstreams.send(target, connections_max, request);
        let answer = match timeout(left, sent).await {
            Err(_) => return Err((SendEnd::Unknown, "no answer in time".to_owned())),
            Ok(Err(SendFailure::NotSent(why))) => return Err((SendEnd::NotSent, why)),
            Ok(Err(SendFailure::Broken(why))) => return Err((SendEnd::Unknown, why)),
            Ok(Ok(answer)) => answer,
        };
        let mut opened = Opened {
            head: answer.head,
            body: answer.body,
            instance: target.instance.clone(),
            key: target.key,
            load,
        };
        match self.check_head(&mut opened) {
            None => Ok(opened),
            Some(failure) => Err(failure),
        }
    }

    /// Finds what is wrong with the head of an answer.
    fn check_head(&self, opened: &mut Opened) -> Option<(SendEnd, String)> {
        let status = opened.head.status;
        let fields = self.serving.wire.decode_answer(status, &opened.head.headers);
        if fields.wrong_instance {
            return Some((SendEnd::WrongInstance, "another instance is there".to_owned()));
        }
        if fields.request_id.as_deref() != Some(&*self.request.id) {
            return Some((SendEnd::Unknown, "the answer is to another request".to_owned()));
        }
        if fields.not_run {
            return Some((SendEnd::Refused, format!("refused with status {status}")));
        }
        if status.is_success() && (!fields.is_signed || fields.is_encoded) {
            return Some((SendEnd::Unknown, "the answer is not the upstream's own".to_owned()));
        }
        if let Some(idle_timeout) = fields.idle_timeout {
            opened.body.set_idle_timeout(idle_timeout);
        }
        None
    }

    fn upstream_request(&self, target: &Target, left: Duration) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.request.body.clone()));
        *request.method_mut() = self.request.method.clone();
        *request.uri_mut() = self.request.uri.clone();
        let mut headers = self.request.headers.clone();
        let fields = UpstreamFields {
            remaining: left,
            instance: target.instance.clone(),
            workspace: self.workspace.as_ref().map(|workspace| workspace.name.clone()),
            inputs: self.inputs.clone(),
            resume_after: self.resume_after,
        };
        self.serving.wire.encode_upstream(&mut headers, &fields);
        *request.headers_mut() = headers;
        request
    }

    fn judge(&self, target: &Target, end: SendEnd) {
        let now = self.serving.now();
        match end {
            SendEnd::Refused => self.serving.upstreams.was_full(now, target.key),
            SendEnd::NotSent => self.serving.upstreams.was_unreachable(now, target.key),
            SendEnd::WrongInstance | SendEnd::Unknown => {
                self.serving.upstreams.failed(now, target.key);
            }
        }
    }

    fn log_send(&self, target: &Target, end: SendEnd, why: &str) {
        measures::send_ended(&self.service, end.name());
        let line = LogLine::event("send_failed")
            .with("request", &self.request.id)
            .with("upstream", &target.instance)
            .with("address", target.address)
            .with("end", end.name())
            .with("reason", why);
        log::info(line);
    }

    fn release_all(&mut self) {
        for (stage, handles) in self.plan.take_all() {
            self.serving.stages.release(&self.plan.spec(stage).service, handles);
        }
    }
}

impl Opened {
    /// Returns the upstream.
    pub fn key(&self) -> UpstreamKey {
        self.key
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
    let total: u32 = route.split.iter().map(|part| part.weight).sum();
    let mut draw = rand::rng().random_range(0..total.max(1));
    for part in &route.split {
        if draw < part.weight {
            return part.service.clone();
        }
        draw -= part.weight;
    }
    route.split.first().map_or_else(|| Arc::from(""), |part| part.service.clone())
}

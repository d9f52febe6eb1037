//! Sending a request to an upstream: the choice, the send, and what its failure means.

use {
    super::{Exchange, GENERATION_LOAD_TOKENS, Opened, Reads},
    crate::{
        attempts::SendEnd,
        connections::{ConnectionLoss, SendFailure},
        log, telemetry,
        model::{UpstreamFields, UpstreamKey},
        refusal::Refusal,
        rollout::orders::Admits,
        selection::{Candidate, PromptNeed, choose, choose_model},
        upstreams::{Sending, Target},
    },
    bytes::Bytes,
    fernring_core::{code::ResultCode, text::LogLine},
    http::Request,
    http_body_util::Full,
    std::time::Duration,
};

/// Most upstreams that one request is offered to, those included that take no connection. A
/// refused connection costs a millisecond, and a third of a pool may be gone at once.
const OFFERS_MAX: u32 = 12;
/// Part of the time left to the objective that may go into reading prompts. The rest is for what
/// this node doesn't know of: requests of other nodes since their last heartbeat.
const READ_PART: f64 = 0.7;
/// The time that the reading speed is said for in log lines.
const ONE_MS: Duration = Duration::from_millis(1);

/// An upstream that was chosen.
pub(super) struct Chosen {
    pub(super) target: Target,
    /// Tokens that it should have to read, for a model engine.
    tokens: Option<f64>,
}

/// A send that brought no answer to pass on.
struct Unanswered {
    end: SendEnd,
    why: ConnectionLoss,
}

impl Unanswered {
    fn without_break(end: SendEnd, reason: String) -> Self {
        Self { end, why: ConnectionLoss { reason, kind: None } }
    }
}

impl Exchange {
    /// Sends the request until the head of a good answer comes.
    ///
    /// # Errors
    /// If none came and it may not be sent again.
    pub async fn open(&mut self) -> Result<Opened, Refusal> {
        self.settle_doubt().await;
        self.serving.retries.count_requests(self.serving.now(), &self.service, 1);
        let mut reason = "no upstream is there".to_owned();
        for _ in 0..OFFERS_MAX {
            let left = self.time_left();
            if left.is_zero() {
                return Err(self.give_up(ResultCode::WindowEnded, &reason));
            }
            if !self.may_send() {
                break;
            }
            let Some(Chosen { target, tokens }) = self.choose() else {
                break;
            };
            if self.attempts.next_is_extra() && !self.take_budget() {
                reason.push_str("; the retry budget is spent");
                break;
            }
            self.tried.push(target.key);
            let sent_at = self.serving.now();
            match self.send(&target, left).await {
                Ok(mut opened) => {
                    opened.reads = tokens.map(|tokens| Reads { tokens, sent_at });
                    telemetry::record_send(&self.service, "answered");
                    return Ok(opened);
                }
                Err(Unanswered { end, why }) => {
                    self.log_send(&target, end, &why.reason);
                    self.attempts.ended(end);
                    self.judge(&target, end);
                    self.note_break(&target, &why);
                    reason = why.reason;
                }
            }
        }
        if self.time_left().is_zero() {
            return Err(self.give_up(ResultCode::WindowEnded, &reason));
        }
        Err(self.give_up_for_want(&reason))
    }

    /// Waits whether a request is turned away, if that is in doubt. Without it harmless requests were refused that had been in hand
    /// at the same three ends as a deadly one in a fleet's first second: 4 in 12 s of 60 requests a second.
    pub(super) async fn settle_doubt(&self) {
        let settled = self.serving.blame.until_settled(self.request.content);
        // Whether it is settled or the time is over, the caller looks again.
        let _is_settled = self.wait_for(None, settled).await;
    }

    /// Takes in that a send brought a head but no whole answer.
    pub fn send_broke(&mut self, opened: &Opened, why: &ConnectionLoss) {
        self.attempts.ended(SendEnd::Unknown);
        if let Some(trial) = &opened.trial {
            trial.failed();
        }
        self.serving.upstreams.failed(self.serving.now(), opened.key());
        self.note_break(&opened.target, why);
    }

    fn note_break(&self, target: &Target, why: &ConnectionLoss) {
        if let Some(how) = why.kind {
            self.serving.blame.broke(target, how, Some(self.request.content));
        }
    }

    /// Takes in that an upstream began to answer with a failure of its own, which can't be passed on.
    pub fn answered_with_failure_head(&mut self, opened: &Opened) {
        self.answered_with_failure();
        self.serving.upstreams.failed(self.serving.now(), opened.key());
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
        let is_turned_away = self.serving.blame.is_turned_away(self.request.content);
        self.attempts.may_send() && !is_turned_away && !self.time_left().is_zero()
    }

    /// Returns the final answer for a request that found no upstream.
    fn give_up_for_want(&self, reason: &str) -> Refusal {
        let upstreams = &self.serving.upstreams;
        if upstreams.is_evacuated(&self.service) {
            return self.give_up(ResultCode::Evacuated, reason);
        }
        if upstreams.is_outside(&self.service, &self.residency) {
            return self.give_up(ResultCode::OutsideRegions, reason);
        }
        match upstreams.limited_for(&self.service, self.rank()) {
            Some(after) => self.give_up_until(ResultCode::Limited, reason, Some(after)),
            None => self.give_up(ResultCode::NoUpstream, reason),
        }
    }

    fn take_budget(&self) -> bool {
        self.serving.retries.try_spend(self.serving.now(), &self.service, 1)
    }

    /// Chooses the upstream for the next send.
    fn choose(&self) -> Option<Chosen> {
        let (chosen, candidates) = self.choose_from()?;
        self.log_choice("routed", &chosen.target, &candidates);
        Some(chosen)
    }

    /// Chooses the upstream near which results are to lie. Nothing is sent there yet.
    pub(super) fn choose_home(&self) -> Option<Target> {
        let (chosen, candidates) = self.choose_from()?;
        self.log_choice("home_chosen", &chosen.target, &candidates);
        Some(chosen.target)
    }

    fn choose_from(&self) -> Option<(Chosen, Vec<Candidate>)> {
        let upstreams = &self.serving.upstreams;
        let is_silent = |domain: &str| self.serving.peers.is_silent(domain);
        let untried = |candidate: &Candidate| !self.tried.contains(&candidate.key);
        let rank = self.rank();
        let candidates = upstreams.candidates(
            self.serving.now(),
            &self.service,
            rank,
            &self.residency,
            is_silent,
        );
        let candidates: Vec<_> = candidates.into_iter().filter(untried).collect();
        let candidates = self.of_drawn_version(candidates);
        let (key, tokens) = match self.prompt_need() {
            Some(need) => {
                let choice = choose_model(&candidates, need)?;
                (choice.key, Some(choice.tokens))
            }
            None => (choose(&candidates, rand::random())?, None),
        };
        let target = upstreams.target(key)?;
        Some((Chosen { target, tokens }, candidates))
    }

    /// Leaves the candidates of the version that the request was drawn for, while one is rolled out: what is sent once more goes
    /// to the others.
    fn of_drawn_version(&self, candidates: Vec<Candidate>) -> Vec<Candidate> {
        let Some(admits) = self.serving.upstreams.admits(&self.service) else {
            return candidates;
        };
        let (ordered, others): (Vec<_>, Vec<_>) =
            candidates.into_iter().partition(|candidate| candidate.is_ordered);
        if ordered.is_empty() {
            return others;
        }
        let is_first = self.tried.is_empty();
        match admits {
            // The others missing is no reason to send more to a version that may be bad.
            Admits::Share(_) if is_first && self.draws_ordered() => ordered,
            Admits::Share(_) => others,
            Admits::DestinationFirst if !is_first && !others.is_empty() => others,
            _ => ordered,
        }
    }

    /// Tells whether the request was drawn for the version that is rolled out.
    fn draws_ordered(&self) -> bool {
        self.takes_ordered.get().unwrap_or_else(|| {
            let takes_ordered = self.serving.rollouts.takes_ordered(&self.service);
            self.takes_ordered.set(Some(takes_ordered));
            takes_ordered
        })
    }

    fn log_choice(&self, event: &'static str, target: &Target, candidates: &[Candidate]) {
        let chosen = candidates.iter().find(|candidate| candidate.key == target.key);
        let is_home = self.home.as_ref().is_some_and(|home| home.key == target.key);
        let age = self.serving.upstreams.record_age(self.serving.now());
        let line = LogLine::event(event)
            .with("request", &self.request.id)
            .with("pipeline", &self.route.name)
            .with_some("workspace", self.workspace.as_ref().map(|workspace| &workspace.name))
            .with("content", self.request.content)
            .with("service", &self.service)
            .with("upstream", &target.instance)
            .with("record", target.record_at)
            .with("records_age_ms", age.as_millis())
            .with("send", self.tried.len() + 1)
            .with("of", candidates.len())
            .with("load", chosen.map_or(0.0, |candidate| candidate.load.round()))
            .with("is_avoided", chosen.is_some_and(|candidate| candidate.is_avoided))
            .with("is_cold", chosen.is_some_and(|candidate| candidate.is_cold))
            .with("is_home", is_home)
            .with("reads_per_ms", self.serving.reading.of(&self.service).tokens_in(ONE_MS).round())
            .with("config", self.serving.config.borrow().version())
            .with("left_ms", self.time_left().as_millis());
        log::info(line);
    }

    /// What the request needs of a model engine; `None` if it goes to a plain service.
    fn prompt_need(&self) -> Option<PromptNeed> {
        if !self.route.prefix_affinity || !self.serving.rules.get().prefixes {
            return None;
        }
        let parts = &self.request.fields.prompt;
        let shared = parts.len().checked_sub(2).and_then(|index| parts.get(index));
        let own = parts.last()?;
        let time_left = self.objective_at.saturating_sub(self.serving.now());
        let speed = self.serving.reading.of(&self.service);
        Some(PromptNeed {
            prefix: shared.unwrap_or(own).id,
            own_tokens: f64::from(own.tokens),
            all_tokens: self.prompt_tokens(),
            patience_tokens: speed.tokens_in(time_left.mul_f64(READ_PART)),
            home: self.home.as_ref().map(|home| home.key),
        })
    }

    pub(super) fn prompt_tokens(&self) -> f64 {
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

    async fn send(&self, target: &Target, left: Duration) -> Result<Opened, Unanswered> {
        let load = self.serving.upstreams.load(target.key, self.weight());
        let sending = Sending {
            request: self.upstream_request(target, left),
            rank: self.rank(),
            residency: self.residency.clone(),
            connections_max: self.serving.config.borrow().connections_max(&self.service),
        };
        let held = self.serving.blame.hold(target, self.request.content);
        let is_first = self.tried.len() <= 1;
        let (service, route) = (&self.service, &self.route.name);
        let trial = self.serving.rollouts.began(service, target, route, is_first);
        let failed = |unanswered: Unanswered| {
            if let Some(trial) = trial.as_ref().filter(|_| unanswered.end == SendEnd::Unknown) {
                trial.failed();
            }
            unanswered
        };
        let sent_at = self.serving.now();
        let sent = self.serving.upstreams.send(target, sending);
        let sent = tokio::select! {
            sent = self.wait_for(None, sent) => sent,
            // It hasn't begun to answer there: the upstream may be spared.
            () = self.serving.blame.until_turned_away(self.request.content) => {
                let why = "turned away meanwhile".to_owned();
                return Err(Unanswered::without_break(SendEnd::Unknown, why));
            }
        };
        let answer = match sent {
            None => {
                let why = ConnectionLoss::silent("no answer in time");
                return Err(failed(Unanswered { end: SendEnd::Unknown, why }));
            }
            Some(Err(SendFailure::NotSent(why) | SendFailure::ConnectionRefused(why))) => {
                return Err(Unanswered::without_break(SendEnd::NotSent, why));
            }
            Some(Err(SendFailure::Ineligible(why))) => {
                return Err(Unanswered::without_break(SendEnd::Barred, why.to_string()));
            }
            Some(Err(SendFailure::Broken(why))) => {
                return Err(failed(Unanswered { end: SendEnd::Unknown, why }));
            }
            Some(Ok(answer)) => answer,
        };
        let mut opened = Opened {
            head: answer.head,
            body: answer.body,
            target: target.clone(),
            load,
            _held: held,
            trial: None,
            reads: None,
        };
        if let Some((end, why)) = self.check_head(&mut opened, sent_at) {
            return Err(failed(Unanswered::without_break(end, why)));
        }
        if let Some(trial) = trial.as_ref().filter(|_| opened.is_failure()) {
            trial.failed();
        }
        opened.trial = trial;
        Ok(opened)
    }

    /// Finds what is wrong with the head of an answer to a request that left at `sent_at`.
    fn check_head(&self, opened: &mut Opened, sent_at: Duration) -> Option<(SendEnd, String)> {
        let status = opened.head.status;
        let fields = self.serving.wire.decode_response(status, &opened.head.headers);
        if fields.wrong_instance {
            return Some((SendEnd::WrongInstance, "another instance is there".to_owned()));
        }
        if fields.request_id.as_deref() != Some(&*self.request.id) {
            return Some((SendEnd::Unknown, "the answer is to another request".to_owned()));
        }
        self.serving.upstreams.said_limit(&opened.target, sent_at, fields.limit);
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
            // It is as well as before.
            SendEnd::Barred => {}
            SendEnd::NotSent => self.serving.upstreams.was_unreachable(now, target.key),
            SendEnd::WrongInstance => {
                self.serving.upstreams.failed(now, target.key);
                self.serving.blame.replaced(target.key);
            }
            SendEnd::Unknown => {
                self.serving.upstreams.failed(now, target.key);
            }
        }
    }

    fn log_send(&self, target: &Target, end: SendEnd, why: &str) {
        telemetry::record_send(&self.service, end.name());
        let line = LogLine::event("send_failed")
            .with("request", &self.request.id)
            .with("content", self.request.content)
            .with("upstream", &target.instance)
            .with("address", target.address)
            .with("end", end.name())
            .with("reason", why);
        log::info(line);
    }
}

//! Admission: accepts, refuses, joins or relays submissions.

use {
    super::{
        Dispatcher,
        entry::{ClaimState, Entry, Phase, Waiter},
        forecast::Requester,
        ownership::KeyRoute,
        timers::TimerKind,
    },
    crate::{
        answer::{Answer, Unattempted},
        event::{Submission, key_text},
    },
    fernring_core::{
        catalog::{Pipeline, Workspace},
        claim::{ClaimEntry, ClaimKind},
        clock::{Now, saturating_ms},
        code::{Class, ResultCode},
        ids::{RequestId, RequestKey, ScopedKey},
        text::LogLine,
    },
    std::{sync::Arc, time::Duration},
    xxhash_rust::xxh3::{Xxh3, xxh3_64},
};

/// The catalog items and parameters of a submission whose names and window are valid.
struct ResolvedRequest {
    pipeline: Arc<Pipeline>,
    workspace: Arc<Workspace>,
    /// Whether a stage may run only once, so that a key and the claim of it are needed.
    at_most_once: bool,
    key: Option<ScopedKey>,
    window: Duration,
}

/// A refusal of a submission.
struct Refusal {
    code: ResultCode,
    /// Time after which the caller may retry, in milliseconds.
    retry_after_ms: u64,
}

impl Dispatcher {
    pub(super) fn handle_submission(&mut self, now: Now, submission: Submission) {
        let resolved = match self.resolve(&submission) {
            Ok(resolved) => resolved,
            Err(code) => return self.refuse(&submission, code, 0),
        };
        if let Some(key) = &resolved.key {
            match self.route_key(now, &submission, key) {
                KeyRoute::New => {}
                KeyRoute::Join(request) => {
                    return self.join_running(now, request, &submission, resolved.window);
                }
                KeyRoute::Answer(answer) => return self.answer_repeat(&submission, answer),
                KeyRoute::Refuse(code) => return self.refuse(&submission, code, 0),
                KeyRoute::Forward(owner) => {
                    return self.relay(now, submission, owner, resolved.window);
                }
            }
        }
        match self.admission_refusal(now, &submission, &resolved) {
            Some(refusal) => self.refuse(&submission, refusal.code, refusal.retry_after_ms),
            None => self.accept(now, submission, resolved),
        }
    }

    /// Looks up the pipeline and workspace of a submission, and checks its window and key.
    fn resolve(&self, submission: &Submission) -> Result<ResolvedRequest, ResultCode> {
        let Some(pipeline) = self.catalog.pipelines.get(&submission.pipeline).cloned() else {
            return Err(ResultCode::UnknownPipeline);
        };
        let workspace = self.catalog.workspaces.get(submission.workspace.as_ref()).cloned();
        let allowed = |workspace: &Arc<Workspace>| {
            workspace.pipelines.is_empty() || workspace.pipelines.contains(&submission.pipeline)
        };
        let workspace = workspace.filter(allowed).ok_or(ResultCode::UnknownWorkspace)?;
        let window_ms = submission.window_ms.unwrap_or(pipeline.default_window_ms);
        if !(1..=pipeline.max_window_ms).contains(&window_ms) {
            return Err(ResultCode::BadWindow);
        }
        let at_most_once = pipeline.has_effect() || submission.non_idempotent;
        if at_most_once && submission.key.is_none() {
            return Err(ResultCode::KeyRequired);
        }
        let scope = |key| ScopedKey { workspace: submission.workspace.clone(), key };
        let key = submission.key.map(scope);
        let window = Duration::from_millis(window_ms);
        Ok(ResolvedRequest { pipeline, workspace, at_most_once, key, window })
    }

    /// Returns the refusal of a new submission, or `None` if it is accepted.
    fn admission_refusal(
        &mut self,
        now: Now,
        submission: &Submission,
        resolved: &ResolvedRequest,
    ) -> Option<Refusal> {
        let retry_after_ms = self.settings.retry_after_ms;
        let refuse = |code| Some(Refusal { code, retry_after_ms });
        if self.draining {
            return Some(Refusal { code: ResultCode::NotReady, retry_after_ms: 0 });
        }
        if self.ledger.len() >= self.settings.requests_max {
            return refuse(ResultCode::NodeFull);
        }
        if initial_claim_state(submission, resolved) == ClaimState::Pending {
            let patience = Duration::from_millis(self.settings.claim_patience_ms);
            if self.claim_queue.is_failing(now.monotonic, patience) {
                return refuse(ResultCode::ClaimUnsettled);
            }
        }
        let workspace = &submission.workspace;
        let limit_per_s = resolved.workspace.limit_per_s;
        if let Err(retry_after_ms) =
            self.workspace_limits.admit(now.monotonic, workspace, limit_per_s)
        {
            return Some(Refusal { code: ResultCode::OverLimit, retry_after_ms });
        }
        if !self.settings.is_full() {
            return None;
        }
        self.load_refusal(now, submission, resolved)
    }

    /// Returns the refusal of a new submission if its pools have no slots, its queue is full, or
    /// it would finish too late.
    fn load_refusal(
        &self,
        now: Now,
        submission: &Submission,
        resolved: &ResolvedRequest,
    ) -> Option<Refusal> {
        let retry_after_ms = self.settings.retry_after_ms;
        let pipeline = &resolved.pipeline;
        let has_no_slots = |pool: &str| self.upstreams.slots(now.monotonic, pool).total == 0;
        if pipeline.stages.iter().any(|stage| has_no_slots(&stage.pool)) {
            return Some(Refusal { code: ResultCode::NoUpstream, retry_after_ms });
        }
        let first_pool = &pipeline.stages[0].pool;
        let waiting = self.queues.get(first_pool).map_or(0, |queue| queue.len());
        if waiting >= self.settings.queue_max {
            return Some(Refusal { code: ResultCode::QueueFull, retry_after_ms });
        }
        let predicted_ms = self.predicted_finish_ms(now, submission, resolved);
        let window_ms = resolved.window.as_millis() as f64;
        if self.settings.admission && predicted_ms > window_ms {
            let excess_ms = (predicted_ms - window_ms).ceil() as u64;
            return Some(Refusal { code: ResultCode::WouldBeLate, retry_after_ms: excess_ms });
        }
        None
    }

    fn predicted_finish_ms(
        &self,
        now: Now,
        submission: &Submission,
        resolved: &ResolvedRequest,
    ) -> f64 {
        let slots_of = |pool: &str| self.upstreams.slots(now.monotonic, pool);
        let name = submission.pipeline.as_str().into();
        let requester =
            Requester { workspace: &submission.workspace, weight: resolved.workspace.weight };
        self.forecast.predict_finish_ms(&name, &resolved.pipeline, requester, slots_of)
    }

    fn accept(&mut self, now: Now, submission: Submission, resolved: ResolvedRequest) {
        let claim = initial_claim_state(&submission, &resolved);
        let ResolvedRequest { pipeline, workspace, key, window, .. } = resolved;
        let deadline = now.monotonic + window;
        let waiter =
            Waiter { id: submission.waiter, streaming: submission.streaming, delivered_parts: 0 };
        let entry = Entry {
            pipeline_name: submission.pipeline.as_str().into(),
            weight: workspace.weight,
            key: key.clone(),
            fingerprint: fingerprint(&submission),
            prefix: prefix_hash(&submission),
            received_at: now.monotonic,
            deadline,
            phase: Phase::AwaitingClaim,
            stage: 0,
            pending_from_stage: 0,
            input: submission.input.clone(),
            live_attempts: Vec::new(),
            tried_upstreams: Vec::new(),
            stage_attempts: 0,
            hedged: false,
            last_attempt_not_run: false,
            attempts_made: 0,
            claim,
            effect_sent: false,
            effect_done: false,
            pinned: None,
            waiters: vec![waiter],
            stage_times: Vec::new(),
            pipeline,
            submission,
        };
        self.forecast.add_pending(&entry.pipeline, 0, entry.requester());
        self.log_accepted(&entry, window);
        let request = self.ledger.insert(entry);
        self.counters.accepted += 1;
        self.request_by_waiter.insert(waiter.id, request);
        if let Some(key) = key {
            if claim == ClaimState::Pending {
                let kind = ClaimKind::Claim;
                self.claim_queue.push(ClaimEntry { key: key.clone(), kind });
            }
            self.request_by_key.insert(key, request);
        }
        self.timers.set(deadline, TimerKind::WindowEnd(request));
        self.start_stage(now, request);
    }

    /// Adds a repeated submission as a waiter of the request that is already running.
    fn join_running(
        &mut self,
        now: Now,
        request: RequestId,
        submission: &Submission,
        window: Duration,
    ) {
        let entry = &mut self.ledger[request];
        if entry.fingerprint != fingerprint(submission) {
            return self.refuse(submission, ResultCode::KeyMismatch, 0);
        }
        let waiter =
            Waiter { id: submission.waiter, streaming: submission.streaming, delivered_parts: 0 };
        entry.waiters.push(waiter);
        self.request_by_waiter.insert(waiter.id, request);
        self.counters.repeats += 1;
        self.timers.set(now.monotonic + window, TimerKind::WaiterWindowEnd(waiter.id));
        let line = LogLine::event("join")
            .with("request", self.ledger[request].submission.uid)
            .with("waiter", waiter.id.0);
        self.log(line);
        self.deliver_ordered(request);
    }

    /// Answers a repeated submission of a key whose final answer is known.
    fn answer_repeat(&mut self, submission: &Submission, answer: Answer) {
        self.counters.repeats += 1;
        let line = LogLine::event("repeat")
            .with("workspace", &submission.workspace)
            .with_some("key", submission.key)
            .with("code", answer.code().number());
        self.log(line);
        self.answer_waiter(submission.waiter, answer);
    }

    fn refuse(&mut self, submission: &Submission, code: ResultCode, retry_after_ms: u64) {
        self.counters.refused += 1;
        let line = LogLine::event("refuse")
            .with("pipeline", &submission.pipeline)
            .with("workspace", &submission.workspace)
            .with_some("key", submission.key)
            .with("code", code.number())
            .with("reason", code.name())
            .with("retry_after_ms", retry_after_ms);
        self.log(line);
        let answer = match code.class() {
            Class::NotRun => Answer::not_run(Unattempted::never_accepted(), code, retry_after_ms),
            _ => Answer::failure(code, retry_after_ms),
        };
        self.answer_waiter(submission.waiter, answer);
    }

    fn log_accepted(&mut self, entry: &Entry, window: Duration) {
        let line = LogLine::event("accept")
            .with("request", entry.submission.uid)
            .with("pipeline", &entry.pipeline_name)
            .with("workspace", &entry.submission.workspace)
            .with_some("key", key_text(entry.key.as_ref()))
            .with("window_ms", saturating_ms(window))
            .with("in_flight", self.ledger.len() + 1);
        self.log(line);
    }
}

fn initial_claim_state(submission: &Submission, resolved: &ResolvedRequest) -> ClaimState {
    match submission.key {
        _ if !resolved.at_most_once => ClaimState::NotNeeded,
        // A ticket that passed `route_key` was issued by this incarnation and is unused.
        Some(RequestKey::Ticket(_)) => ClaimState::Won,
        _ => ClaimState::Pending,
    }
}

/// Returns a hash of pipeline and input, by which two submissions with the same key are compared.
pub(super) fn fingerprint(submission: &Submission) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(submission.pipeline.as_bytes());
    hash.update(&[0]);
    hash.update(submission.input.as_bytes());
    hash.digest()
}

/// Returns the hash of the prompt prefix, by which an engine is chosen.
fn prefix_hash(submission: &Submission) -> u64 {
    match &submission.prefix {
        Some(prefix) => xxh3_64(prefix.as_bytes()),
        None => xxh3_64(format!("{}/{}", submission.workspace, submission.pipeline).as_bytes()),
    }
}

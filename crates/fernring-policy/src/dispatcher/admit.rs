//! Accepting, refusing, joining and passing on submissions.

use {
    super::{
        Dispatcher,
        entry::{ClaimState, Entry, Phase, Waiter},
        own::KeyPath,
        predict::Requester,
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

/// What a submission whose names and window are in order asks for.
struct Terms {
    pipeline: Arc<Pipeline>,
    workspace: Arc<Workspace>,
    /// Whether something of it has a side effect, so that a key and its claim are needed.
    at_most_once: bool,
    key: Option<ScopedKey>,
    window: Duration,
}

/// A refusal: the code and when to come back, in milliseconds.
struct Refusal {
    code: ResultCode,
    retry_after_ms: u64,
}

impl Dispatcher {
    pub(super) fn submit(&mut self, now: Now, submission: Submission) {
        let terms = match self.check(&submission) {
            Ok(terms) => terms,
            Err(code) => return self.refuse(&submission, code, 0),
        };
        if let Some(key) = &terms.key {
            match self.key_path(now, &submission, key) {
                KeyPath::Fresh => {}
                KeyPath::Join(request) => {
                    return self.join(now, request, &submission, terms.window);
                }
                KeyPath::Answer(answer) => return self.repeat(&submission, answer),
                KeyPath::Refuse(code) => return self.refuse(&submission, code, 0),
                KeyPath::Owner(owner) => {
                    return self.pass_on(now, submission, owner, terms.window);
                }
            }
        }
        match self.refusal(now, &submission, &terms) {
            Some(refusal) => self.refuse(&submission, refusal.code, refusal.retry_after_ms),
            None => self.accept(now, submission, terms),
        }
    }

    fn check(&self, submission: &Submission) -> Result<Terms, ResultCode> {
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
        Ok(Terms { pipeline, workspace, at_most_once, key, window })
    }

    /// Decides whether a fresh submission is refused.
    fn refusal(&mut self, now: Now, submission: &Submission, terms: &Terms) -> Option<Refusal> {
        let retry_after_ms = self.settings.retry_after_ms;
        let refuse = |code| Some(Refusal { code, retry_after_ms });
        if self.draining {
            return Some(Refusal { code: ResultCode::NotReady, retry_after_ms: 0 });
        }
        if self.ledger.len() >= self.settings.requests_max {
            return refuse(ResultCode::NodeFull);
        }
        if initial_claim(submission, terms) == ClaimState::Pending {
            let patience = Duration::from_millis(self.settings.claim_patience_ms);
            if self.claim_queue.is_failing(now.monotonic, patience) {
                return refuse(ResultCode::ClaimUnsettled);
            }
        }
        let workspace = &submission.workspace;
        let limit_per_s = terms.workspace.limit_per_s;
        if let Err(retry_after_ms) = self.limits.admit(now.monotonic, workspace, limit_per_s) {
            return Some(Refusal { code: ResultCode::OverLimit, retry_after_ms });
        }
        if !self.settings.is_full() {
            return None;
        }
        self.refusal_by_load(now, submission, terms)
    }

    fn refusal_by_load(&self, now: Now, submission: &Submission, terms: &Terms) -> Option<Refusal> {
        let retry_after_ms = self.settings.retry_after_ms;
        let pipeline = &terms.pipeline;
        let none_open = |pool: &str| self.upstreams.slots(now.monotonic, pool).total == 0;
        if pipeline.stages.iter().any(|stage| none_open(&stage.pool)) {
            return Some(Refusal { code: ResultCode::NoUpstream, retry_after_ms });
        }
        let first_pool = &pipeline.stages[0].pool;
        let waiting = self.queues.get(first_pool).map_or(0, |queue| queue.len());
        if waiting >= self.settings.queue_max {
            return Some(Refusal { code: ResultCode::QueueFull, retry_after_ms });
        }
        let predicted_ms = self.predict_ms(now, submission, terms);
        let window_ms = terms.window.as_millis() as f64;
        if self.settings.admission && predicted_ms > window_ms {
            let excess_ms = (predicted_ms - window_ms).ceil() as u64;
            return Some(Refusal { code: ResultCode::WouldBeLate, retry_after_ms: excess_ms });
        }
        None
    }

    fn predict_ms(&self, now: Now, submission: &Submission, terms: &Terms) -> f64 {
        let room = |pool: &str| self.upstreams.slots(now.monotonic, pool);
        let name = submission.pipeline.as_str().into();
        let requester =
            Requester { workspace: &submission.workspace, weight: terms.workspace.weight };
        self.forecast.finish_ms(&name, &terms.pipeline, requester, room)
    }

    fn accept(&mut self, now: Now, submission: Submission, terms: Terms) {
        let claim = initial_claim(&submission, &terms);
        let Terms { pipeline, workspace, key, window, .. } = terms;
        let deadline = now.monotonic + window;
        let waiter =
            Waiter { id: submission.waiter, streaming: submission.streaming, delivered: 0 };
        let entry = Entry {
            pipeline_name: submission.pipeline.as_str().into(),
            weight: workspace.weight,
            key: key.clone(),
            fingerprint: fingerprint(&submission),
            prefix: prefix_hash(&submission),
            received: now.monotonic,
            deadline,
            phase: Phase::AwaitingClaim,
            stage: 0,
            pending_from: 0,
            input: submission.input.clone(),
            live: Vec::new(),
            tried: Vec::new(),
            stage_attempts: 0,
            hedged: false,
            unsent: false,
            attempts_made: 0,
            claim,
            effect_sent: false,
            effect_done: false,
            pinned: None,
            waiters: vec![waiter],
            times: Vec::new(),
            pipeline,
            submission,
        };
        self.forecast.expect(&entry.pipeline, 0, entry.requester());
        self.log_accepted(&entry, window);
        let request = self.ledger.insert(entry);
        self.counters.accepted += 1;
        self.waiting.insert(waiter.id, request);
        if let Some(key) = key {
            if claim == ClaimState::Pending {
                let kind = ClaimKind::Claim;
                self.claim_queue.push(ClaimEntry { key: key.clone(), kind });
            }
            self.by_key.insert(key, request);
        }
        self.timers.set(deadline, TimerKind::WindowEnd(request));
        self.enter_stage(now, request);
    }

    /// Adds a repeat to the request that is already under way.
    fn join(&mut self, now: Now, request: RequestId, submission: &Submission, window: Duration) {
        let entry = &mut self.ledger[request];
        if entry.fingerprint != fingerprint(submission) {
            return self.refuse(submission, ResultCode::KeyMismatch, 0);
        }
        let waiter =
            Waiter { id: submission.waiter, streaming: submission.streaming, delivered: 0 };
        entry.waiters.push(waiter);
        self.waiting.insert(waiter.id, request);
        self.counters.repeats += 1;
        self.timers.set(now.monotonic + window, TimerKind::WaiterWindow(waiter.id));
        let line = LogLine::event("join")
            .with("request", self.ledger[request].submission.uid)
            .with("waiter", waiter.id.0);
        self.log(line);
        self.deliver_ordered(request);
    }

    /// Answers a repeat of a key whose word is known.
    fn repeat(&mut self, submission: &Submission, answer: Answer) {
        self.counters.repeats += 1;
        let line = LogLine::event("repeat")
            .with("workspace", &submission.workspace)
            .with_some("key", submission.key)
            .with("code", answer.code().number());
        self.log(line);
        self.finish_waiter(submission.waiter, answer);
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
        self.finish_waiter(submission.waiter, answer);
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

fn initial_claim(submission: &Submission, terms: &Terms) -> ClaimState {
    match submission.key {
        _ if !terms.at_most_once => ClaimState::NotNeeded,
        // A ticket that got here is this incarnation's own and was never used.
        Some(RequestKey::Ticket(_)) => ClaimState::Won,
        _ => ClaimState::Pending,
    }
}

/// Hash by which two submissions under one key are compared.
pub(super) fn fingerprint(submission: &Submission) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(submission.pipeline.as_bytes());
    hash.update(&[0]);
    hash.update(submission.input.as_bytes());
    hash.digest()
}

fn prefix_hash(submission: &Submission) -> u64 {
    match &submission.prefix {
        Some(prefix) => xxh3_64(prefix.as_bytes()),
        None => xxh3_64(format!("{}/{}", submission.workspace, submission.pipeline).as_bytes()),
    }
}

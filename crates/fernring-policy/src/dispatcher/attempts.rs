//! Queues, attempts, retries and hedges.

use {
    super::{
        Dispatcher,
        entry::{Attempt, AttemptKind, ClaimState, Phase, StageTime},
        timers::TimerKind,
    },
    crate::{
        cost::{CostCategory, CostKey},
        event::{Action, AttemptEnd, Dispatch},
        queue::PoolQueue,
        upstreams::Choice,
    },
    fernring_core::{
        clock::{Now, saturating_ms},
        code::ResultCode,
        ids::{AttemptRef, RequestId},
        text::LogLine,
    },
    std::time::Duration,
};

/// An attempt without a connection counts as this many failures towards ejection, since the
/// upstream is most likely gone.
const NOT_SENT_FAILURE_WEIGHT: u32 = 2;
/// Queued requests are checked again after this time even without an event, since an upstream's
/// ejection may have ended or its slow start advanced.
const QUEUE_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Attempts of a stage allowed beyond the usual limit if the last one ran nothing.
const EXTRA_NOT_RUN_ATTEMPTS_MAX: u32 = 8;

impl Dispatcher {
    /// Queues the current stage of a request, or waits for the claim that the stage needs.
    pub(super) fn start_stage(&mut self, now: Now, request: RequestId) {
        let entry = &mut self.ledger[request];
        let stage = entry.stage;
        if entry.is_effect_stage(stage) && entry.claim != ClaimState::Won {
            entry.phase = Phase::AwaitingClaim;
            return;
        }
        self.enqueue(now, request);
    }

    /// Adds a request to the queue of its current stage's pool, and dispatches from that queue.
    fn enqueue(&mut self, now: Now, request: RequestId) {
        let order = self.queue_order();
        let entry = &mut self.ledger[request];
        let pool = entry.current_stage().pool.clone();
        let queue = self.queues.entry(pool.clone()).or_insert_with(|| PoolQueue::new(order));
        let workspace = &entry.submission.workspace;
        let position = queue.push(request, workspace, entry.weight, entry.deadline);
        entry.phase = Phase::Queued(position);
        self.dispatch_from_queue(now, &pool);
    }

    pub(super) fn dispatch_from_all_queues(&mut self, now: Now) {
        let waiting = self.queues.iter().filter(|(_, queue)| !queue.is_empty());
        let pools: Vec<String> = waiting.map(|(pool, _)| pool.clone()).collect();
        for pool in pools {
            self.dispatch_from_queue(now, &pool);
        }
    }

    /// Sends queued requests of a pool to upstreams until no upstream has a free slot.
    pub(super) fn dispatch_from_queue(&mut self, now: Now, pool: &str) {
        while let Some(request) = self.queues.get(pool).and_then(|queue| queue.peek()) {
            if self.cannot_finish_in_time(now, request) {
                self.expire_request(now, request);
                continue;
            }
            let entry = &self.ledger[request];
            let tried = &entry.tried_upstreams;
            let choice =
                self.upstreams.choose(now.monotonic, pool, entry.prefix, tried, &mut self.rng);
            let Some(choice) = choice else {
                self.timers.set_queue_check(now.monotonic + QUEUE_CHECK_INTERVAL);
                return;
            };
            if let Some(queue) = self.queues.get_mut(pool) {
                queue.pop();
            }
            let entry = &self.ledger[request];
            let kind = match entry.stage_attempts {
                0 => AttemptKind::First,
                _ if entry.last_attempt_not_run => AttemptKind::Resend,
                _ => AttemptKind::Retry,
            };
            self.send_attempt(now, request, choice, kind);
        }
    }

    /// Returns whether a request can't finish within its window even in the best case.
    fn cannot_finish_in_time(&self, now: Now, request: RequestId) -> bool {
        if !self.settings.is_full() || !self.settings.admission {
            return false;
        }
        let entry = &self.ledger[request];
        let min_remaining_ms =
            self.forecast.min_remaining_ms(&entry.pipeline_name, &entry.pipeline, entry.stage);
        let min_remaining = Duration::from_secs_f64(min_remaining_ms / 1_000.0);
        now.monotonic + min_remaining > entry.deadline
    }

    /// Sends one attempt of the current stage of a request.
    fn send_attempt(&mut self, now: Now, request: RequestId, choice: Choice, kind: AttemptKind) {
        let Some(upstream) = self.upstreams.get(choice.upstream) else {
            return;
        };
        let address = upstream.spec.address;
        let reference = self.begin_attempt(request, choice);
        let entry = &self.ledger[request];
        let attempt = Attempt::new(entry, reference, choice.upstream, now.monotonic);
        let dispatch = Dispatch {
            attempt: reference,
            uid: attempt.uid,
            address,
            stage_name: entry.current_stage().name.clone(),
            effect: attempt.effect,
            input: entry.input.clone(),
            prefix: entry.prefix,
            remaining_ms: saturating_ms(entry.deadline.saturating_sub(now.monotonic)),
        };
        self.schedule_hedge(now, &attempt, kind);
        self.count_attempt(kind, attempt.effect);
        self.attempts.insert(reference.attempt, attempt);
        self.upstreams.record_sent(choice.upstream);
        self.log_route(&dispatch, choice, kind);
        self.actions.push(Action::Dispatch(dispatch));
    }

    /// Records a new attempt in the ledger entry of its request.
    fn begin_attempt(&mut self, request: RequestId, choice: Choice) -> AttemptRef {
        let number = self.next_attempt_number;
        self.next_attempt_number += 1;
        let entry = &mut self.ledger[request];
        let stage = entry.stage;
        let effect = entry.is_effect_stage(stage);
        assert!(!effect || entry.claim == ClaimState::Won, "side effect without a won claim");
        assert!(!effect || !entry.effect_sent, "side effect sent twice");
        entry.effect_sent = effect;
        entry.phase = Phase::Running;
        entry.attempts_made += 1;
        entry.stage_attempts += 1;
        entry.tried_upstreams.push(choice.upstream);
        let reference = AttemptRef { request, stage, attempt: number };
        entry.live_attempts.push(reference);
        if entry.pending_from_stage <= stage {
            let workspace = &entry.submission.workspace;
            self.forecast.remove_pending(
                &entry.pipeline,
                entry.pending_from_stage,
                stage + 1,
                workspace,
            );
            entry.pending_from_stage = stage + 1;
        }
        reference
    }

    /// Sets the timer for the time at which a first attempt becomes a straggler. Side effects are
    /// never hedged.
    fn schedule_hedge(&mut self, now: Now, attempt: &Attempt, kind: AttemptKind) {
        let hedging_enabled = self.settings.is_full() && self.settings.hedging;
        if !hedging_enabled || attempt.effect || kind != AttemptKind::First {
            return;
        }
        let reference = attempt.reference;
        let entry = &self.ledger[reference.request];
        let (name, pipeline) = (&entry.pipeline_name, &entry.pipeline);
        let after_ms = self.forecast.straggler_after_ms(name, pipeline, reference.stage);
        let at = now.monotonic + Duration::from_secs_f64(after_ms / 1_000.0);
        self.timers.set(at, TimerKind::HedgeDue(reference));
    }

    fn log_route(&mut self, dispatch: &Dispatch, choice: Choice, kind: AttemptKind) {
        let name = |id| self.upstreams.get(id).map(|state| state.name.clone());
        let line = LogLine::event("route")
            .with("request", dispatch.uid)
            .with("stage", &dispatch.stage_name)
            .with("attempt", dispatch.attempt.attempt)
            .with("attempt_kind", kind.name())
            .with_some("upstream", name(choice.upstream))
            .with_some("runner_up", choice.runner_up.and_then(name))
            .with("why", choice.reason.name())
            .with("remaining_ms", dispatch.remaining_ms);
        self.log(line);
    }

    fn count_attempt(&mut self, kind: AttemptKind, effect: bool) {
        self.counters.effects += u64::from(effect);
        match kind {
            AttemptKind::First => {
                self.counters.first_attempts += 1;
                self.retry_budget.record_first_attempt();
            }
            AttemptKind::Retry => self.counters.retries += 1,
            AttemptKind::Resend => self.counters.resends += 1,
            AttemptKind::Hedge => self.counters.hedges += 1,
        }
    }

    /// Sends a second attempt of a straggling stage if the retry budget allows it and a lightly
    /// loaded upstream is free.
    pub(super) fn handle_hedge_due(&mut self, now: Now, attempt: AttemptRef) {
        let Some(entry) = self.ledger.get(attempt.request) else {
            return;
        };
        let is_only_attempt = entry.live_attempts.len() == 1 && entry.is_live(attempt);
        if !is_only_attempt || entry.hedged || entry.pinned.is_some() {
            return;
        }
        let pool = entry.current_stage().pool.clone();
        let (prefix, tried) = (entry.prefix, entry.tried_upstreams.clone());
        let choice = self.upstreams.choose(now.monotonic, &pool, prefix, &tried, &mut self.rng);
        let Some(choice) = choice.filter(|choice| !tried.contains(&choice.upstream)) else {
            return;
        };
        // Near saturation a hedge would take its slot from the first attempt of another request.
        if !self.upstreams.may_take_hedge(now.monotonic, choice.upstream) {
            return;
        }
        if !self.retry_budget.try_spend() {
            return;
        }
        self.ledger[attempt.request].hedged = true;
        self.send_attempt(now, attempt.request, choice, AttemptKind::Hedge);
    }

    /// Handles the end of an attempt: completes the stage, retries it, or ends the request.
    pub(super) fn handle_attempt_ended(
        &mut self,
        now: Now,
        reference: AttemptRef,
        end: AttemptEnd,
    ) {
        let Some(attempt) = self.attempts.remove(&reference.attempt) else {
            return;
        };
        let busy = now.monotonic.saturating_sub(attempt.started_at);
        let busy_ms = busy.as_secs_f64() * 1_000.0;
        let output = match end {
            AttemptEnd::Completed if !attempt.invalid => attempt.assembly.complete_text(),
            _ => None,
        };
        let end = match end {
            // A response that ended properly but lacks a part is a failure.
            AttemptEnd::Completed if output.is_none() => AttemptEnd::Failed,
            // An upstream that has sent a part has run something, even if it reports otherwise.
            AttemptEnd::NotSent | AttemptEnd::Refused | AttemptEnd::Leaving
                if !attempt.assembly.is_empty() =>
            {
                AttemptEnd::Failed
            }
            end => end,
        };
        self.record_upstream_health(now, &attempt, end);
        let entry = self.ledger.get_mut(reference.request);
        match entry.filter(|entry| entry.is_live(reference)) {
            None => self.record_unused_attempt(&attempt, end, busy_ms),
            Some(entry) => {
                entry.live_attempts.retain(|live| *live != reference);
                match output {
                    Some(output) => self.complete_stage(now, &attempt, output, busy_ms),
                    None => self.handle_stage_failure(now, &attempt, end, busy_ms),
                }
            }
        }
        self.dispatch_from_queue(now, &attempt.pool);
    }

    /// Updates the health of the upstream of an ended attempt, and logs its ejection.
    fn record_upstream_health(&mut self, now: Now, attempt: &Attempt, end: AttemptEnd) {
        let upstream = attempt.upstream;
        let ejected = match end {
            AttemptEnd::Completed => {
                self.upstreams.record_success(upstream);
                false
            }
            AttemptEnd::Leaving => {
                self.upstreams.mark_leaving(upstream);
                self.upstreams.record_release(upstream);
                false
            }
            AttemptEnd::Refused | AttemptEnd::Cancelled => {
                self.upstreams.record_release(upstream);
                false
            }
            AttemptEnd::NotSent => {
                self.upstreams.record_failure(now.monotonic, upstream, NOT_SENT_FAILURE_WEIGHT)
            }
            AttemptEnd::Failed => self.upstreams.record_failure(now.monotonic, upstream, 1),
        };
        if ejected && let Some(state) = self.upstreams.get(upstream) {
            let line = LogLine::event("eject").with("upstream", &state.name);
            self.log(line);
        }
    }

    /// Records the cost of an attempt whose result is no longer wanted, and logs the outcome of a
    /// late side effect.
    fn record_unused_attempt(&mut self, attempt: &Attempt, end: AttemptEnd, busy_ms: f64) {
        let category =
            if attempt.superseded { CostCategory::Hedged } else { CostCategory::Abandoned };
        self.costs.add(cost_key(attempt), category, busy_ms);
        if attempt.effect {
            let line = LogLine::event("effect_outcome_after_answer")
                .with("request", attempt.uid)
                .with("stage", &attempt.stage_name)
                .with("attempt", attempt.reference.attempt)
                .with("completed", end == AttemptEnd::Completed);
            self.log(line);
        }
    }

    /// Takes over the result of an attempt: starts the next stage or ends the request.
    fn complete_stage(
        &mut self,
        now: Now,
        attempt: &Attempt,
        output: std::sync::Arc<str>,
        busy_ms: f64,
    ) {
        let request = attempt.reference.request;
        let entry = &mut self.ledger[request];
        let stage = entry.stage;
        entry.stage_times.push(StageTime { stage, busy_ms });
        entry.effect_done |= attempt.effect;
        let (name, pipeline) = (entry.pipeline_name.clone(), entry.pipeline.clone());
        let line = LogLine::event("stage_done")
            .with("request", attempt.uid)
            .with("stage", &attempt.stage_name)
            .with("attempt", attempt.reference.attempt)
            .with("busy_ms", busy_ms.round() as u64);
        self.log(line);
        self.forecast.record_service_time(&name, &pipeline, stage, busy_ms);
        self.mark_live_superseded(request);
        self.cancel_live_attempts(request);
        let entry = &mut self.ledger[request];
        if entry.is_last_stage() {
            self.deliver_rest(request, &attempt.assembly);
            self.end_with_output(now, request, output);
            return;
        }
        entry.advance_to_next_stage(output);
        self.start_stage(now, request);
    }

    /// Handles a failed attempt: queues the stage again if attempts and budget are left, or ends
    /// the request.
    fn handle_stage_failure(&mut self, now: Now, attempt: &Attempt, end: AttemptEnd, busy_ms: f64) {
        let request = attempt.reference.request;
        self.costs.add(cost_key(attempt), CostCategory::Failed, busy_ms);
        let not_sent = end == AttemptEnd::NotSent;
        let not_run =
            matches!(end, AttemptEnd::NotSent | AttemptEnd::Refused | AttemptEnd::Leaving);
        let entry = &mut self.ledger[request];
        entry.last_attempt_not_run = not_run;
        if not_sent {
            // No connection was made, so the attempt did not reach an upstream.
            entry.attempts_made -= 1;
        }
        if attempt.effect && not_run {
            entry.effect_sent = false;
        }
        if !entry.live_attempts.is_empty() {
            return;
        }
        if entry.effect_in_doubt() {
            return self.end_with_code(now, request, ResultCode::EffectUnknown);
        }
        if entry.pinned == Some(attempt.reference) {
            return self.end_with_code(now, request, ResultCode::AnswerTruncated);
        }
        let attempts_max =
            self.settings.stage_attempts_max + if not_run { EXTRA_NOT_RUN_ATTEMPTS_MAX } else { 0 };
        let may_retry = entry.stage_attempts < attempts_max;
        // An attempt that ran nothing cost the upstream nothing, so resending it needs no budget.
        if may_retry && (not_run || self.retry_budget.try_spend()) {
            return self.enqueue(now, request);
        }
        self.end_with_code(now, request, ResultCode::StageFailed);
    }

    /// Marks the other live attempts of a request as superseded by the one that completed.
    fn mark_live_superseded(&mut self, request: RequestId) {
        for reference in &self.ledger[request].live_attempts {
            if let Some(attempt) = self.attempts.get_mut(&reference.attempt) {
                attempt.superseded = true;
            }
        }
    }

    /// Cancels the live attempts of a request, except side effects, which run to their end so that
    /// their outcome is known.
    pub(super) fn cancel_live_attempts(&mut self, request: RequestId) {
        let Some(entry) = self.ledger.get_mut(request) else {
            return;
        };
        for reference in std::mem::take(&mut entry.live_attempts) {
            let effect =
                self.attempts.get(&reference.attempt).is_some_and(|attempt| attempt.effect);
            if !effect {
                self.actions.push(Action::Cancel(reference));
            }
        }
    }
}

pub(super) fn cost_key(attempt: &Attempt) -> CostKey {
    CostKey {
        pipeline: attempt.pipeline_name.clone(),
        workspace: attempt.workspace.clone(),
        stage: attempt.stage_name.clone(),
    }
}

//! Queues, attempts, retries and hedges.

use {
    super::{
        Dispatcher,
        entry::{Attempt, AttemptKind, ClaimState, Phase, StageTime},
        timers::TimerKind,
    },
    crate::{
        cost::{CostKey, CostCategory},
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

/// A refused connection counts as this many failures: the upstream is most likely gone.
const NOT_SENT_WEIGHT: u32 = 2;
/// Waiting requests are looked at again after this long even if nothing happened, since an
/// upstream's ejection or slow start may have moved on.
const PUMP_EVERY: Duration = Duration::from_millis(50);
/// Attempts that never reached an upstream, allowed on top of the others.
const UNSENT_ATTEMPTS_MAX: u32 = 8;

impl Dispatcher {
    /// Starts the stage that an entry has reached, or has it wait for its claim.
    pub(super) fn enter_stage(&mut self, now: Now, request: RequestId) {
        let entry = &mut self.ledger[request];
        let stage = entry.stage;
        if entry.is_effect(stage) && entry.claim != ClaimState::Won {
            entry.phase = Phase::AwaitingClaim;
            return;
        }
        self.enqueue(now, request);
    }

    fn enqueue(&mut self, now: Now, request: RequestId) {
        let order = self.queue_order();
        let entry = &mut self.ledger[request];
        let pool = entry.current_stage().pool.clone();
        let queue = self.queues.entry(pool.clone()).or_insert_with(|| PoolQueue::new(order));
        let workspace = &entry.submission.workspace;
        let place = queue.push(request, workspace, entry.weight, entry.deadline);
        entry.phase = Phase::Queued(place);
        self.pump(now, &pool);
    }

    pub(super) fn pump_all(&mut self, now: Now) {
        let waiting = self.queues.iter().filter(|(_, queue)| !queue.is_empty());
        let pools: Vec<String> = waiting.map(|(pool, _)| pool.clone()).collect();
        for pool in pools {
            self.pump(now, &pool);
        }
    }

    /// Sends waiting requests of a pool to upstreams while there is room.
    pub(super) fn pump(&mut self, now: Now, pool: &str) {
        while let Some(request) = self.queues.get(pool).and_then(|queue| queue.peek()) {
            if self.is_hopeless(now, request) {
                self.give_up(now, request);
                continue;
            }
            let entry = &self.ledger[request];
            let tried = &entry.tried;
            let choice =
                self.upstreams.choose(now.monotonic, pool, entry.prefix, tried, &mut self.rng);
            let Some(choice) = choice else {
                self.timers.set_pump(now.monotonic + PUMP_EVERY);
                return;
            };
            if let Some(queue) = self.queues.get_mut(pool) {
                queue.pop();
            }
            let entry = &self.ledger[request];
            let kind = match entry.stage_attempts {
                0 => AttemptKind::First,
                _ if entry.unsent => AttemptKind::Resend,
                _ => AttemptKind::Retry,
            };
            self.send(now, request, choice, kind);
        }
    }

    /// Tells whether a request can't finish within its window even if all goes well.
    fn is_hopeless(&self, now: Now, request: RequestId) -> bool {
        if !self.settings.is_full() || !self.settings.admission {
            return false;
        }
        let entry = &self.ledger[request];
        let least_ms = self.forecast.least_ms(&entry.pipeline_name, &entry.pipeline, entry.stage);
        let least = Duration::from_secs_f64(least_ms / 1_000.0);
        now.monotonic + least > entry.deadline
    }

    /// Sends one attempt of the stage that an entry has reached.
    fn send(&mut self, now: Now, request: RequestId, choice: Choice, kind: AttemptKind) {
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
        self.watch_straggler(now, &attempt, kind);
        self.count_sent(kind, attempt.effect);
        self.attempts.insert(reference.attempt, attempt);
        self.upstreams.record_sent(choice.upstream);
        self.log_route(&dispatch, choice, kind);
        self.out.push(Action::Dispatch(dispatch));
    }

    /// Enters a new attempt into the ledger.
    fn begin_attempt(&mut self, request: RequestId, choice: Choice) -> AttemptRef {
        let number = self.next_attempt;
        self.next_attempt += 1;
        let entry = &mut self.ledger[request];
        let stage = entry.stage;
        let effect = entry.is_effect(stage);
        assert!(!effect || entry.claim == ClaimState::Won, "side effect without a won claim");
        assert!(!effect || !entry.effect_sent, "side effect sent twice");
        entry.effect_sent = effect;
        entry.phase = Phase::Running;
        entry.attempts_made += 1;
        entry.stage_attempts += 1;
        entry.tried.push(choice.upstream);
        let reference = AttemptRef { request, stage, attempt: number };
        entry.live.push(reference);
        if entry.pending_from <= stage {
            let workspace = &entry.submission.workspace;
            self.forecast.settle(&entry.pipeline, entry.pending_from, stage + 1, workspace);
            entry.pending_from = stage + 1;
        }
        reference
    }

    /// Sets the time at which a first attempt becomes a straggler.
    fn watch_straggler(&mut self, now: Now, attempt: &Attempt, kind: AttemptKind) {
        let hedges = self.settings.is_full() && self.settings.hedging;
        if !hedges || attempt.effect || kind != AttemptKind::First {
            return;
        }
        let reference = attempt.reference;
        let entry = &self.ledger[reference.request];
        let (name, pipeline) = (&entry.pipeline_name, &entry.pipeline);
        let after_ms = self.forecast.straggler_ms(name, pipeline, reference.stage);
        let at = now.monotonic + Duration::from_secs_f64(after_ms / 1_000.0);
        self.timers.set(at, TimerKind::Hedge(reference));
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

    fn count_sent(&mut self, kind: AttemptKind, effect: bool) {
        self.counters.effects += u64::from(effect);
        match kind {
            AttemptKind::First => {
                self.counters.first_attempts += 1;
                self.budget.record_first_attempt();
            }
            AttemptKind::Retry => self.counters.retries += 1,
            AttemptKind::Resend => self.counters.resends += 1,
            AttemptKind::Hedge => self.counters.hedges += 1,
        }
    }

    /// Sends a second attempt of a straggling stage, if the budget and the pool have room.
    pub(super) fn hedge_due(&mut self, now: Now, attempt: AttemptRef) {
        let Some(entry) = self.ledger.get(attempt.request) else {
            return;
        };
        let alone = entry.live.len() == 1 && entry.has_live(attempt);
        if !alone || entry.hedged || entry.pinned.is_some() {
            return;
        }
        let pool = entry.current_stage().pool.clone();
        let (prefix, tried) = (entry.prefix, entry.tried.clone());
        let choice = self.upstreams.choose(now.monotonic, &pool, prefix, &tried, &mut self.rng);
        let Some(choice) = choice.filter(|choice| !tried.contains(&choice.upstream)) else {
            return;
        };
        // Near saturation a hedge takes its slot from somebody else's first attempt.
        if !self.upstreams.may_take_hedge(now.monotonic, choice.upstream) {
            return;
        }
        if !self.budget.try_spend() {
            return;
        }
        self.ledger[attempt.request].hedged = true;
        self.send(now, attempt.request, choice, AttemptKind::Hedge);
    }

    pub(super) fn attempt_ended(&mut self, now: Now, reference: AttemptRef, end: AttemptEnd) {
        let Some(attempt) = self.attempts.remove(&reference.attempt) else {
            return;
        };
        let busy = now.monotonic.saturating_sub(attempt.started);
        let busy_ms = busy.as_secs_f64() * 1_000.0;
        let output = match end {
            AttemptEnd::Completed if !attempt.invalid => attempt.assembly.complete_text(),
            _ => None,
        };
        let end = match end {
            // An answer that ended properly but has a part missing is a failure.
            AttemptEnd::Completed if output.is_none() => AttemptEnd::Failed,
            // Whoever has sent a part has run something, whatever it says in the end.
            AttemptEnd::NotSent | AttemptEnd::Refused | AttemptEnd::Leaving
                if !attempt.assembly.is_empty() =>
            {
                AttemptEnd::Failed
            }
            end => end,
        };
        self.note_health(now, &attempt, end);
        let entry = self.ledger.get_mut(reference.request);
        match entry.filter(|entry| entry.has_live(reference)) {
            None => self.ended_after_use(&attempt, end, busy_ms),
            Some(entry) => {
                entry.live.retain(|live| *live != reference);
                match output {
                    Some(output) => self.stage_done(now, &attempt, output, busy_ms),
                    None => self.stage_attempt_failed(now, &attempt, end, busy_ms),
                }
            }
        }
        self.pump(now, &attempt.pool);
    }

    fn note_health(&mut self, now: Now, attempt: &Attempt, end: AttemptEnd) {
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
            AttemptEnd::NotSent => self.upstreams.record_failure(now.monotonic, upstream, NOT_SENT_WEIGHT),
            AttemptEnd::Failed => self.upstreams.record_failure(now.monotonic, upstream, 1),
        };
        if ejected && let Some(state) = self.upstreams.get(upstream) {
            let line = LogLine::event("eject").with("upstream", &state.name);
            self.log(line);
        }
    }

    /// Accounts for an attempt that nobody waits for any more.
    fn ended_after_use(&mut self, attempt: &Attempt, end: AttemptEnd, busy_ms: f64) {
        let spent = if attempt.superseded { CostCategory::Hedged } else { CostCategory::Abandoned };
        self.costs.add(cost_key(attempt), spent, busy_ms);
        if attempt.effect {
            let line = LogLine::event("effect_outcome_after_answer")
                .with("request", attempt.uid)
                .with("stage", &attempt.stage_name)
                .with("attempt", attempt.reference.attempt)
                .with("completed", end == AttemptEnd::Completed);
            self.log(line);
        }
    }

    fn stage_done(
        &mut self,
        now: Now,
        attempt: &Attempt,
        output: std::sync::Arc<str>,
        busy_ms: f64,
    ) {
        let request = attempt.reference.request;
        let entry = &mut self.ledger[request];
        let stage = entry.stage;
        entry.times.push(StageTime { stage, busy_ms });
        entry.effect_done |= attempt.effect;
        let (name, pipeline) = (entry.pipeline_name.clone(), entry.pipeline.clone());
        let line = LogLine::event("stage_done")
            .with("request", attempt.uid)
            .with("stage", &attempt.stage_name)
            .with("attempt", attempt.reference.attempt)
            .with("busy_ms", busy_ms.round() as u64);
        self.log(line);
        self.forecast.record(&name, &pipeline, stage, busy_ms);
        self.supersede_live(request);
        self.cancel_live(request);
        let entry = &mut self.ledger[request];
        if entry.is_last_stage() {
            self.deliver_rest(request, &attempt.assembly);
            self.end_complete(now, request, output);
            return;
        }
        entry.enter_next_stage(output);
        self.enter_stage(now, request);
    }

    fn stage_attempt_failed(&mut self, now: Now, attempt: &Attempt, end: AttemptEnd, ms: f64) {
        let request = attempt.reference.request;
        self.costs.add(cost_key(attempt), CostCategory::Failed, ms);
        let unsent = end == AttemptEnd::NotSent;
        let not_run =
            matches!(end, AttemptEnd::NotSent | AttemptEnd::Refused | AttemptEnd::Leaving);
        let entry = &mut self.ledger[request];
        entry.unsent = not_run;
        if unsent {
            // Nothing left this node, so nothing reached an upstream.
            entry.attempts_made -= 1;
        }
        if attempt.effect && not_run {
            entry.effect_sent = false;
        }
        if !entry.live.is_empty() {
            return;
        }
        if entry.effect_in_doubt() {
            return self.end_with(now, request, ResultCode::EffectUnknown);
        }
        if entry.pinned == Some(attempt.reference) {
            return self.end_with(now, request, ResultCode::AnswerTruncated);
        }
        let max = self.settings.stage_attempts_max + if not_run { UNSENT_ATTEMPTS_MAX } else { 0 };
        let may_retry = entry.stage_attempts < max;
        // An attempt that ran nothing cost the upstream nothing, so its retry is free.
        if may_retry && (not_run || self.budget.try_spend()) {
            return self.enqueue(now, request);
        }
        self.end_with(now, request, ResultCode::StageFailed);
    }

    /// Marks the attempts of an entry that are under way as having lost against their twin.
    fn supersede_live(&mut self, request: RequestId) {
        for reference in &self.ledger[request].live {
            if let Some(attempt) = self.attempts.get_mut(&reference.attempt) {
                attempt.superseded = true;
            }
        }
    }

    /// Cancels the attempts of an entry that are under way, except side effects: those are left
    /// to end, so that their outcome is known.
    pub(super) fn cancel_live(&mut self, request: RequestId) {
        let Some(entry) = self.ledger.get_mut(request) else {
            return;
        };
        for reference in std::mem::take(&mut entry.live) {
            let effect = self.attempts.get(&reference.attempt).is_some_and(|a| a.effect);
            if !effect {
                self.out.push(Action::Cancel(reference));
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

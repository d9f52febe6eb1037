//! Final answers, and how long they are kept for repeated submissions.

use {
    super::{
        Dispatcher,
        entry::{ClaimState, Entry, Phase},
        timers::TimerKind,
    },
    crate::{
        answer::{Answer, Unattempted},
        cost::{CostCategory, CostKey},
        settings::PolicySettings,
    },
    fernring_core::{
        clock::{Now, saturating_ms},
        code::{Advice, Class, ResultCode},
        ids::{RequestId, RequestKey, ScopedKey, WaiterId},
        text::LogLine,
    },
    std::{
        collections::{HashMap, VecDeque},
        sync::Arc,
        time::Duration,
    },
};

/// The final answer of a key, kept for repeated submissions.
#[derive(Debug, Clone)]
pub(crate) struct KeptAnswer {
    pub(crate) answer: Answer,
    pub(crate) fingerprint: u64,
}

impl KeptAnswer {
    /// Returns whether the key was unclaimed when its request ended, so that another incarnation
    /// may own it now.
    pub(crate) fn is_unsettled(&self) -> bool {
        matches!(self.answer.code(), ResultCode::ClaimUnsettled | ResultCode::ClaimUnsettledRan)
    }
}

#[derive(Debug)]
struct Expiry {
    at: Duration,
    key: ScopedKey,
}

/// Final answers by key.
///
/// Outputs are kept for a limited time and up to a limited number. The rest of an answer is kept
/// for as long as its key is valid.
#[derive(Debug, Default)]
pub(crate) struct KeptAnswers {
    by_key: HashMap<ScopedKey, KeptAnswer>,
    /// When to drop the outputs, oldest first.
    output_expiries: VecDeque<Expiry>,
    /// When to drop the answers of minted keys, oldest first.
    minted_expiries: VecDeque<Expiry>,
    /// When to drop the answers of tickets, oldest first.
    ticket_expiries: VecDeque<Expiry>,
}

impl KeptAnswers {
    pub(crate) fn get(&self, key: &ScopedKey) -> Option<&KeptAnswer> {
        self.by_key.get(key)
    }

    fn insert(
        &mut self,
        now: Duration,
        key: ScopedKey,
        kept: KeptAnswer,
        settings: &PolicySettings,
    ) {
        if kept.answer.output().is_some() {
            let at = now + settings.answer_retention();
            self.output_expiries.push_back(Expiry { at, key: key.clone() });
        }
        let (queue, valid_ms) = match key.key {
            RequestKey::Ticket(_) => (&mut self.ticket_expiries, settings.ticket_valid_ms),
            // The minting time may lie ahead by up to the clock skew, so the key is valid longer.
            RequestKey::Minted(_) => {
                (&mut self.minted_expiries, settings.claim_horizon_ms + 2 * settings.clock_skew_ms)
            }
        };
        queue.push_back(Expiry { at: now + Duration::from_millis(valid_ms), key: key.clone() });
        self.by_key.insert(key, kept);
    }

    /// Drops outputs and answers that are due, and outputs beyond the limit on their number.
    pub(crate) fn expire(&mut self, now: Duration, settings: &PolicySettings) {
        let due = |queue: &VecDeque<Expiry>| queue.front().is_some_and(|first| first.at <= now);
        while due(&self.output_expiries) || self.output_expiries.len() > settings.kept_answers_max {
            let Some(expiry) = self.output_expiries.pop_front() else { break };
            if let Some(kept) = self.by_key.get_mut(&expiry.key) {
                kept.answer = kept.answer.clone().without_output();
            }
        }
        for queue in [&mut self.minted_expiries, &mut self.ticket_expiries] {
            while due(queue) {
                let Some(expiry) = queue.pop_front() else { break };
                self.by_key.remove(&expiry.key);
            }
        }
    }
}

impl Dispatcher {
    /// Ends a request whose window has ended.
    pub(super) fn handle_window_ended(&mut self, now: Now, request: RequestId) {
        let Some(entry) = self.ledger.get(request) else {
            return;
        };
        if entry.phase == Phase::AwaitingOwner {
            return self.end_with_code(now, request, ResultCode::StillRunning);
        }
        self.expire_request(now, request);
    }

    /// Ends a request that can't be answered within its window.
    pub(super) fn expire_request(&mut self, now: Now, request: RequestId) {
        let entry = &self.ledger[request];
        let code = match entry.attempts_made {
            0 => not_run_code(entry),
            _ => ResultCode::WindowEnded,
        };
        self.end_with_code(now, request, code);
    }

    /// Ends a request without an output. `code` is replaced where the request's side effects,
    /// attempts or undecided claim would make it untrue.
    pub(super) fn end_with_code(&mut self, now: Now, request: RequestId, code: ResultCode) {
        let entry = &self.ledger[request];
        let code = if entry.effect_in_doubt() && !entry.effect_done {
            ResultCode::EffectUnknown
        } else if entry.effect_done {
            ResultCode::EffectDoneAnswerLost
        } else if entry.attempts_made == 0 && code == ResultCode::StageFailed {
            // No attempt got a connection, so nothing left this node.
            if entry.claim == ClaimState::NotNeeded {
                ResultCode::NoUpstream
            } else {
                not_run_code(entry)
            }
        } else if entry.claim == ClaimState::Pending && code.advice() == Some(Advice::NewKey) {
            // The claim stream may still give the key to a repeat that was sent to another node.
            match entry.attempts_made {
                0 => ResultCode::ClaimUnsettled,
                _ => ResultCode::ClaimUnsettledRan,
            }
        } else {
            code
        };
        let retry_after_ms = self.settings.retry_after_ms;
        let answer = match Unattempted::from_attempts(entry.attempts_made) {
            Some(proof) if code.class() == Class::NotRun => {
                Answer::not_run(proof, code, retry_after_ms)
            }
            _ if code.class() == Class::NotRun => {
                Answer::failure(ResultCode::KeyEnded, retry_after_ms)
            }
            _ => Answer::failure(code, retry_after_ms),
        };
        self.end_request(now, request, answer);
    }

    pub(super) fn end_with_output(&mut self, now: Now, request: RequestId, output: Arc<str>) {
        // Timers run before each event, so the window of this request has not ended.
        self.end_request(now, request, Answer::complete(output));
    }

    /// Ends a request: removes its entry and gives all its waiters the final answer.
    pub(super) fn end_request(&mut self, now: Now, request: RequestId, answer: Answer) {
        self.cancel_live_attempts(request);
        let Some(entry) = self.ledger.remove(request) else {
            return;
        };
        let stages = entry.pipeline.stages.len() as u16;
        let workspace = &entry.submission.workspace;
        self.forecast.remove_pending(&entry.pipeline, entry.pending_from_stage, stages, workspace);
        if let Phase::Queued(position) = &entry.phase
            && let Some(queue) = self.queues.get_mut(&entry.current_stage().pool)
        {
            queue.remove(position);
        }
        self.count_final_answer(answer.code().class());
        self.record_stage_costs(&entry, &answer);
        let line = LogLine::event("finish")
            .with("request", entry.submission.uid)
            .with("pipeline", &entry.pipeline_name)
            .with("workspace", &entry.submission.workspace)
            .with("code", answer.code().number())
            .with("class", answer.code().class().name())
            .with("attempts", entry.attempts_made)
            .with("took_ms", saturating_ms(now.monotonic.saturating_sub(entry.received_at)))
            .with_some("retry_after_ms", answer.retry_after_ms());
        self.log(line);
        self.request_by_waiter.remove(&entry.submission.waiter);
        for waiter in &entry.waiters {
            self.request_by_waiter.remove(&waiter.id);
            self.actions
                .push(crate::event::Action::Finish { waiter: waiter.id, answer: answer.clone() });
        }
        self.keep_answer(now, entry, answer);
    }

    /// Keeps the final answer for repeats of its key.
    fn keep_answer(&mut self, now: Now, entry: Entry, answer: Answer) {
        let Some(key) = entry.key.clone() else {
            return;
        };
        self.request_by_key.remove(&key);
        if entry.phase == Phase::AwaitingOwner {
            return;
        }
        // A request without side effects that never ran may be submitted again under its key.
        let unused = answer.code().class() == Class::NotRun;
        if entry.claim == ClaimState::NotNeeded && unused {
            return;
        }
        self.queue_used_up_record(&entry, &key);
        let kept = KeptAnswer { answer, fingerprint: entry.fingerprint };
        self.kept_answers.insert(now.monotonic, key, kept, &self.settings);
    }

    /// Records the costs of the completed stages of an ended request.
    fn record_stage_costs(&mut self, entry: &Entry, answer: &Answer) {
        let used = answer.code() == ResultCode::Ok;
        let category = if used { CostCategory::Useful } else { CostCategory::Abandoned };
        for stage_time in &entry.stage_times {
            let stage = &entry.pipeline.stages[usize::from(stage_time.stage)];
            let key = CostKey {
                pipeline: entry.pipeline_name.clone(),
                workspace: entry.submission.workspace.clone(),
                stage: stage.name.as_str().into(),
            };
            self.costs.add(key, category, stage_time.busy_ms);
        }
    }

    /// Answers a waiter that joined a request or was relayed and whose own window has ended. The
    /// request goes on.
    pub(super) fn handle_waiter_window_ended(&mut self, _now: Now, waiter: WaiterId) {
        let joined = self.request_by_waiter.contains_key(&waiter);
        let relayed = self.relayed_waiters.contains(&waiter);
        if !joined && !relayed {
            return;
        }
        self.handle_waiter_left(waiter);
        let answer = Answer::failure(ResultCode::StillRunning, self.settings.retry_after_ms);
        self.answer_waiter(waiter, answer);
    }

    pub(super) fn set_waiter_window(&mut self, now: Now, waiter: WaiterId, window: Duration) {
        self.timers.set(now.monotonic + window, TimerKind::WaiterWindowEnd(waiter));
    }
}

/// Returns the result code of a request that expired without an attempt.
fn not_run_code(entry: &Entry) -> ResultCode {
    match entry.claim {
        ClaimState::NotNeeded => ResultCode::ExpiredInQueue,
        ClaimState::Pending => ResultCode::ClaimUnsettled,
        ClaimState::Won => ResultCode::KeySpent,
    }
}

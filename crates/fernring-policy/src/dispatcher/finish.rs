//! Final answers, and what is kept of them.

use {
    super::{
        Dispatcher,
        entry::{ClaimState, Entry, Phase},
        timers::TimerKind,
    },
    crate::{
        answer::{Answer, Unattempted},
        cost::{CostKey, CostCategory},
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

/// The final word of a key.
#[derive(Debug, Clone)]
pub(crate) struct Kept {
    pub(crate) answer: Answer,
    pub(crate) fingerprint: u64,
}

impl Kept {
    /// Tells whether the log may have given the key to somebody else since.
    pub(crate) fn is_unsettled(&self) -> bool {
        matches!(self.answer.code(), ResultCode::ClaimUnsettled | ResultCode::ClaimUnsettledRan)
    }
}

#[derive(Debug)]
struct Expiry {
    at: Duration,
    key: ScopedKey,
}

/// Final words by key. The output is kept for a while and up to a number; the word itself for as
/// long as the key may come again.
#[derive(Debug, Default)]
pub(crate) struct KeptAnswers {
    by_key: HashMap<ScopedKey, Kept>,
    /// Outputs to drop, oldest first.
    outputs: VecDeque<Expiry>,
    /// Words of minted keys to drop, oldest first.
    minted: VecDeque<Expiry>,
    /// Words of tickets to drop, oldest first.
    tickets: VecDeque<Expiry>,
}

impl KeptAnswers {
    pub(crate) fn get(&self, key: &ScopedKey) -> Option<&Kept> {
        self.by_key.get(key)
    }

    fn keep(&mut self, now: Duration, key: ScopedKey, kept: Kept, settings: &PolicySettings) {
        if kept.answer.output().is_some() {
            let at = now + settings.answer_retention();
            self.outputs.push_back(Expiry { at, key: key.clone() });
        }
        let (queue, valid_ms) = match key.key {
            RequestKey::Ticket(_) => (&mut self.tickets, settings.ticket_valid_ms),
            // A key from the future by the skew is valid for that much longer.
            RequestKey::Minted(_) => {
                (&mut self.minted, settings.claim_horizon_ms + 2 * settings.clock_skew_ms)
            }
        };
        queue.push_back(Expiry { at: now + Duration::from_millis(valid_ms), key: key.clone() });
        self.by_key.insert(key, kept);
    }

    pub(crate) fn expire(&mut self, now: Duration, settings: &PolicySettings) {
        let due = |queue: &VecDeque<Expiry>| queue.front().is_some_and(|first| first.at <= now);
        while due(&self.outputs) || self.outputs.len() > settings.kept_answers_max {
            let Some(expiry) = self.outputs.pop_front() else { break };
            if let Some(kept) = self.by_key.get_mut(&expiry.key) {
                kept.answer = kept.answer.clone().without_output();
            }
        }
        for queue in [&mut self.minted, &mut self.tickets] {
            while due(queue) {
                let Some(expiry) = queue.pop_front() else { break };
                self.by_key.remove(&expiry.key);
            }
        }
    }
}

impl Dispatcher {
    pub(super) fn window_ended(&mut self, now: Now, request: RequestId) {
        let Some(entry) = self.ledger.get(request) else {
            return;
        };
        if entry.phase == Phase::Relaying {
            return self.end_with(now, request, ResultCode::StillRunning);
        }
        self.give_up(now, request);
    }

    /// Ends an entry that can't be answered within its window.
    pub(super) fn give_up(&mut self, now: Now, request: RequestId) {
        let entry = &self.ledger[request];
        let code = match entry.attempts_made {
            0 => not_run_code(entry),
            _ => ResultCode::WindowEnded,
        };
        self.end_with(now, request, code);
    }

    /// Ends an entry without an answer. Whatever the caller of this function has in mind, a side
    /// effect that was sent, or is done, decides the word.
    pub(super) fn end_with(&mut self, now: Now, request: RequestId, code: ResultCode) {
        let entry = &self.ledger[request];
        let code = if entry.effect_in_doubt() && !entry.effect_done {
            ResultCode::EffectUnknown
        } else if entry.effect_done {
            ResultCode::EffectDoneAnswerLost
        } else if entry.attempts_made == 0 && code == ResultCode::StageFailed {
            // Every attempt failed before anything left this node.
            if entry.claim == ClaimState::NotNeeded {
                ResultCode::NoUpstream
            } else {
                not_run_code(entry)
            }
        } else if entry.claim == ClaimState::Pending && code.advice() == Some(Advice::NewKey) {
            // The log may yet give the key to a repeat that was sent to another node.
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
            _ if code.class() == Class::NotRun => Answer::failure(ResultCode::KeyEnded, retry_after_ms),
            _ => Answer::failure(code, retry_after_ms),
        };
        self.end(now, request, answer);
    }

    pub(super) fn end_complete(&mut self, now: Now, request: RequestId, output: Arc<str>) {
        // The window was checked before this event; an answer that is here in time is whole.
        self.end(now, request, Answer::complete(output));
    }

    /// Ends an entry: its one final answer goes to everybody who waits for it.
    pub(super) fn end(&mut self, now: Now, request: RequestId, answer: Answer) {
        self.cancel_live(request);
        let Some(entry) = self.ledger.remove(request) else {
            return;
        };
        let stages = entry.pipeline.stages.len() as u16;
        let workspace = &entry.submission.workspace;
        self.forecast.settle(&entry.pipeline, entry.pending_from, stages, workspace);
        if let Phase::Queued(place) = &entry.phase
            && let Some(queue) = self.queues.get_mut(&entry.current_stage().pool)
        {
            queue.remove(place);
        }
        self.count_end(answer.code().class());
        self.settle_cost(&entry, &answer);
        let line = LogLine::event("finish")
            .with("request", entry.submission.uid)
            .with("pipeline", &entry.pipeline_name)
            .with("workspace", &entry.submission.workspace)
            .with("code", answer.code().number())
            .with("class", answer.code().class().name())
            .with("attempts", entry.attempts_made)
            .with("took_ms", saturating_ms(now.monotonic.saturating_sub(entry.received)))
            .with_some("retry_after_ms", answer.retry_after_ms());
        self.log(line);
        self.waiting.remove(&entry.submission.waiter);
        for waiter in &entry.waiters {
            self.waiting.remove(&waiter.id);
            self.out
                .push(crate::event::Action::Finish { waiter: waiter.id, answer: answer.clone() });
        }
        self.keep_word(now, entry, answer);
    }

    fn keep_word(&mut self, now: Now, entry: Entry, answer: Answer) {
        let Some(key) = entry.key.clone() else {
            return;
        };
        self.by_key.remove(&key);
        if entry.phase == Phase::Relaying {
            return;
        }
        // A key without side effects that never ran is as good as new.
        let unused = answer.code().class() == Class::NotRun;
        if entry.claim == ClaimState::NotNeeded && unused {
            return;
        }
        self.note_unused_claim(&entry, &key);
        let kept = Kept { answer, fingerprint: entry.fingerprint };
        self.kept.keep(now.monotonic, key, kept, &self.settings);
    }

    fn settle_cost(&mut self, entry: &Entry, answer: &Answer) {
        let used = answer.code() == ResultCode::Ok;
        let spent = if used { CostCategory::Useful } else { CostCategory::Abandoned };
        for time in &entry.times {
            let stage = &entry.pipeline.stages[usize::from(time.stage)];
            let key = CostKey {
                pipeline: entry.pipeline_name.clone(),
                workspace: entry.submission.workspace.clone(),
                stage: stage.name.as_str().into(),
            };
            self.costs.add(key, spent, time.busy_ms);
        }
    }

    /// Ends the wait of somebody who joined a request or was passed on; the request goes on.
    pub(super) fn waiter_window_ended(&mut self, _now: Now, waiter: WaiterId) {
        let joined = self.waiting.contains_key(&waiter);
        let relayed = self.relays.contains(&waiter);
        if !joined && !relayed {
            return;
        }
        self.waiter_left(waiter);
        let answer = Answer::failure(ResultCode::StillRunning, self.settings.retry_after_ms);
        self.finish_waiter(waiter, answer);
    }

    pub(super) fn watch_waiter(&mut self, now: Now, waiter: WaiterId, window: Duration) {
        self.timers.set(now.monotonic + window, TimerKind::WaiterWindow(waiter));
    }
}

/// The word for an entry that made no attempt.
fn not_run_code(entry: &Entry) -> ResultCode {
    match entry.claim {
        ClaimState::NotNeeded => ResultCode::ExpiredInQueue,
        ClaimState::Pending => ResultCode::ClaimUnsettled,
        ClaimState::Won => ResultCode::KeySpent,
    }
}

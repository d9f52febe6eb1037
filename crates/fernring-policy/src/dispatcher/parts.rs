//! The parts of upstreams' answers.

use {
    super::Dispatcher,
    crate::{
        assembly::{AddOutcome, ResponseAssembly},
        event::{Action, EchoedPart},
    },
    fernring_core::{
        clock::Now,
        ids::{AttemptRef, RequestId},
        text::LogLine,
    },
};

impl Dispatcher {
    /// Takes in parts that arrived on the connection of an attempt. A part that echoes another
    /// request, stage or attempt is dropped and counted: it is never delivered.
    pub(super) fn take_parts(&mut self, _now: Now, reference: AttemptRef, parts: Vec<EchoedPart>) {
        for echoed in parts {
            self.take_part(reference, echoed);
        }
        let request = reference.request;
        let Some(entry) = self.ledger.get_mut(request) else {
            return;
        };
        let streams = entry.waiters.iter().any(|waiter| waiter.streaming);
        let current = entry.has_live(reference) && entry.is_last_stage();
        if !streams || !current || entry.pinned.is_some_and(|pinned| pinned != reference) {
            return;
        }
        let arrived = self.attempts.get(&reference.attempt).map(|a| a.assembly.ordered().len());
        if arrived.unwrap_or(0) == 0 {
            return;
        }
        if entry.pinned.is_none() {
            entry.pinned = Some(reference);
            let losers: Vec<_> =
                entry.live.iter().copied().filter(|live| *live != reference).collect();
            entry.live = vec![reference];
            for loser in losers {
                if let Some(attempt) = self.attempts.get_mut(&loser.attempt) {
                    attempt.superseded = true;
                }
                self.out.push(Action::Cancel(loser));
            }
        }
        self.deliver_ordered(request);
    }

    fn take_part(&mut self, reference: AttemptRef, echoed: EchoedPart) {
        let Some(attempt) = self.attempts.get_mut(&reference.attempt) else {
            self.counters.parts_late += 1;
            return;
        };
        let same = echoed.uid == attempt.uid
            && echoed.stage == reference.stage
            && echoed.attempt == reference.attempt;
        if !same {
            self.counters.parts_misdirected += 1;
            let line = LogLine::event("part_misdirected")
                .with("request", attempt.uid)
                .with("attempt", reference.attempt)
                .with("echoed_request", echoed.uid)
                .with("echoed_attempt", echoed.attempt);
            self.log(line);
            return;
        }
        match attempt.assembly.add(echoed.part, self.settings.answer_max_bytes) {
            AddOutcome::Accepted => {}
            AddOutcome::Duplicate => self.counters.parts_duplicate += 1,
            AddOutcome::Invalid => attempt.invalid = true,
        }
    }

    /// Gives streaming waiters the parts of the pinned attempt that they have not got yet.
    pub(super) fn deliver_ordered(&mut self, request: RequestId) {
        let pinned = self.ledger.get(request).and_then(|entry| entry.pinned);
        let Some(attempt) = pinned.and_then(|pinned| self.attempts.remove(&pinned.attempt)) else {
            return;
        };
        self.deliver_rest(request, &attempt.assembly);
        self.attempts.insert(attempt.reference.attempt, attempt);
    }

    /// Gives streaming waiters the parts of an answer that they have not got yet.
    pub(super) fn deliver_rest(&mut self, request: RequestId, assembly: &ResponseAssembly) {
        let Some(entry) = self.ledger.get_mut(request) else {
            return;
        };
        let ordered = assembly.ordered();
        for waiter in entry.waiters.iter_mut().filter(|waiter| waiter.streaming) {
            for text in &ordered[waiter.delivered.min(ordered.len())..] {
                self.out.push(Action::Deliver { waiter: waiter.id, text: text.clone() });
            }
            waiter.delivered = ordered.len();
        }
    }
}

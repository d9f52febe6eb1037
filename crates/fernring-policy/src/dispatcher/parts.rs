//! Collects the parts of upstreams' responses and streams them to waiters.

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
    /// Handles parts that arrived on the connection of an attempt.
    ///
    /// A part that echoes another request, stage or attempt is dropped and counted, never
    /// delivered. If waiters stream, the first attempt of the last stage that has a part to deliver
    /// is pinned, and the other attempts of that stage are cancelled.
    pub(super) fn handle_parts(
        &mut self,
        _now: Now,
        reference: AttemptRef,
        parts: Vec<EchoedPart>,
    ) {
        for echoed in parts {
            self.add_part(reference, echoed);
        }
        let request = reference.request;
        let Some(entry) = self.ledger.get_mut(request) else {
            return;
        };
        let has_streaming_waiter = entry.waiters.iter().any(|waiter| waiter.streaming);
        let is_deliverable = entry.is_live(reference) && entry.is_last_stage();
        if !has_streaming_waiter
            || !is_deliverable
            || entry.pinned.is_some_and(|pinned| pinned != reference)
        {
            return;
        }
        let ordered_parts =
            self.attempts.get(&reference.attempt).map(|attempt| attempt.assembly.ordered().len());
        if ordered_parts.unwrap_or(0) == 0 {
            return;
        }
        if entry.pinned.is_none() {
            entry.pinned = Some(reference);
            let superseded: Vec<_> =
                entry.live_attempts.iter().copied().filter(|live| *live != reference).collect();
            entry.live_attempts = vec![reference];
            for loser in superseded {
                if let Some(attempt) = self.attempts.get_mut(&loser.attempt) {
                    attempt.superseded = true;
                }
                self.actions.push(Action::Cancel(loser));
            }
        }
        self.deliver_ordered(request);
    }

    fn add_part(&mut self, reference: AttemptRef, echoed: EchoedPart) {
        let Some(attempt) = self.attempts.get_mut(&reference.attempt) else {
            self.counters.parts_late += 1;
            return;
        };
        let echo_matches = echoed.uid == attempt.uid
            && echoed.stage == reference.stage
            && echoed.attempt == reference.attempt;
        if !echo_matches {
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

    /// Delivers the parts of the pinned attempt that streaming waiters have not received yet.
    pub(super) fn deliver_ordered(&mut self, request: RequestId) {
        let pinned = self.ledger.get(request).and_then(|entry| entry.pinned);
        let Some(attempt) = pinned.and_then(|pinned| self.attempts.remove(&pinned.attempt)) else {
            return;
        };
        self.deliver_rest(request, &attempt.assembly);
        self.attempts.insert(attempt.reference.attempt, attempt);
    }

    /// Delivers the parts of an assembled response that streaming waiters have not received yet.
    pub(super) fn deliver_rest(&mut self, request: RequestId, assembly: &ResponseAssembly) {
        let Some(entry) = self.ledger.get_mut(request) else {
            return;
        };
        let ordered = assembly.ordered();
        for waiter in entry.waiters.iter_mut().filter(|waiter| waiter.streaming) {
            for text in &ordered[waiter.delivered_parts.min(ordered.len())..] {
                self.actions.push(Action::Deliver { waiter: waiter.id, text: text.clone() });
            }
            waiter.delivered_parts = ordered.len();
        }
    }
}

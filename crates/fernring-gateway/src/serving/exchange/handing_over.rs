//! Offers a request to other upstreams while its own is silent. The silent one keeps the request
//! until another has responded, and whichever is first serves it.

use {
    super::{Exchange, OpenedResponse},
    crate::{
        attempts::SendOutcome,
        connector::Path,
        handover::{HandoverRule, PROBE_INTERVAL, Silence, SilenceProbes},
        log,
        model::RetryPolicy,
        refusal::Refusal,
        upstreams::Target,
    },
    fernring_core::text::LogLine,
    hyper::body::Body,
    std::{cell::Cell, future::pending, pin::pin, time::Duration},
    tokio::time::sleep,
};

/// Silence in the middle of a stream after which its upstream is avoided by other requests, and
/// probed. Objectives for pauses are around a fifth of a second.
const SILENCE_MAX: Duration = Duration::from_millis(900);
/// Pause after an offer that no other upstream has taken.
const OFFER_PAUSE: Duration = Duration::from_millis(250);

/// An upstream that has the request and may fall silent.
#[derive(Debug)]
pub struct Holder {
    /// The upstream.
    pub(super) target: Target,
    /// The way to it; `None` before its response.
    pub(super) path: Option<Path>,
    /// Whether its send counts among the attempts.
    pub(super) is_counted: bool,
}

impl Holder {
    /// Returns whether its send counts among the attempts.
    pub fn is_counted(&self) -> bool {
        self.is_counted
    }
}

/// What came of the wait for an upstream.
#[derive(Debug)]
pub enum Received<T> {
    /// The upstream that has the request goes on.
    Next(T),
    /// Another upstream has responded.
    TakenOver(Box<OpenedResponse>),
    /// The deadline of the request has passed.
    TimedOut,
}

impl Exchange {
    /// Waits for what a holder sends next. While it is silent, the request is offered to others if
    /// `may_be_taken_over`. `silent_since` is when the holder sent something last, `last_event` the
    /// number of the last event that was forwarded.
    pub async fn receive<T>(
        &mut self,
        holder: &mut Holder,
        next: impl Future<Output = T>,
        silence: Silence,
        last_event: Option<u64>,
        may_be_taken_over: bool,
    ) -> Received<T> {
        let mut next = pin!(next);
        if !may_be_taken_over || self.route.retry_policy != RetryPolicy::Resume {
            return self.wait_at_most(None, next).await.map_or(Received::TimedOut, Received::Next);
        }
        if let Some(next) = self.wait_at_most(Some(SILENCE_MAX), &mut next).await {
            return Received::Next(next);
        }
        self.record_silence(holder, silence);
        let mut offer_at = self.handover_rule().handover_at(silence);
        let mut not_before = self.serving.now();
        while !self.time_left().is_zero() {
            let offer_due = async {
                match self.may_be_offered(holder) {
                    true => self.wait_until_offer(holder, not_before, offer_at).await,
                    false => pending().await,
                }
            };
            tokio::select! {
                biased;
                next = &mut next => return Received::Next(next),
                _ = self.wait_at_most(None, pending::<()>()) => break,
                () = offer_due => {}
            }
            self.count_holder(holder);
            let last_response = self.last_response.clone();
            let pending_send = self.pending_send.take();
            let refusal = tokio::select! {
                biased;
                next = &mut next => {
                    self.withdraw_offer();
                    self.last_response = last_response;
                    self.pending_send = pending_send;
                    return Received::Next(next);
                }
                opened = Box::pin(self.open_elsewhere(last_event)) => match opened {
                    Ok(opened) => return Received::TakenOver(Box::new(opened)),
                    Err(refusal) => refusal,
                },
            };
            self.last_response = last_response;
            self.pending_send = pending_send;
            self.log_silence("handover_refused", holder, silence, Some(&refusal.detail));
            not_before = self.serving.now() + OFFER_PAUSE;
            offer_at = not_before;
        }
        Received::TimedOut
    }

    /// Returns until when a response is collected: up to the deadline, or as long as another upstream
    /// may still be in time if the response may not end at all.
    pub fn collect_until(&self, opened: &OpenedResponse) -> Duration {
        let is_length_known = opened.body.size_hint().exact().is_some();
        if is_length_known || !self.may_be_repeated(opened) || !self.has_candidate() {
            return self.end_at();
        }
        let silence = Silence { since: opened.received_at, caller_waits_since: self.arrived_at };
        let patience = match self.route.streaming {
            true => self.route.event_gap_max,
            // The caller of a plain response waits up to the deadline.
            false => self.deadline_at.saturating_sub(self.arrived_at),
        };
        let rule = HandoverRule { patience, ..self.handover_rule() };
        rule.handover_at(silence).min(self.end_at())
    }

    /// Returns whether the route allows a further send after a response that isn't used.
    pub fn may_be_repeated(&self, opened: &OpenedResponse) -> bool {
        self.route.retry_policy != RetryPolicy::Never && self.may_be_offered(&opened.holder())
    }

    fn handover_rule(&self) -> HandoverRule {
        HandoverRule {
            patience: self.route.event_gap_max,
            first_event_time: self.route.objective,
            deadline_at: self.deadline_at,
        }
    }

    /// Returns whether the route allows a further send beside the one of the holder.
    fn may_be_offered(&self, holder: &Holder) -> bool {
        let uncounted = u32::from(!holder.is_counted);
        self.attempts.left() > uncounted && !self.serving.upstreams.connector().is_isolated()
    }

    /// Waits until the request is to be offered: at `offer_at`, or once the holder is known to be
    /// unreachable, but not before `not_before`.
    async fn wait_until_offer(&self, holder: &Holder, not_before: Duration, offer_at: Duration) {
        let timer = &self.serving.deadline_timer;
        timer.sleep_until(not_before).await;
        tokio::select! {
            () = timer.sleep_until(offer_at) => {}
            () = self.wait_until_unreachable(holder) => {}
        }
    }

    /// Waits until the direct path to a holder that has fallen silent in the middle of its response
    /// is known to be lost.
    async fn wait_until_unreachable(&self, holder: &Holder) {
        if holder.path != Some(Path::Direct) {
            return pending().await;
        }
        let own_path = self.serving.upstreams.connector().own_path();
        let address = holder.target.address;
        let mut probes = SilenceProbes::default();
        while !probes.is_unreachable() {
            own_path.probe_silent(address).await;
            probes.record(!own_path.reachability().is_unreached(address));
            if !probes.is_unreachable() {
                sleep(PROBE_INTERVAL).await;
            }
        }
    }

    /// Offers the request to other upstreams until one responds with success.
    ///
    /// # Errors
    /// If no upstream takes it.
    pub async fn open_elsewhere(
        &mut self,
        last_event: Option<u64>,
    ) -> Result<OpenedResponse, Refusal> {
        loop {
            let opened = self.reopen(last_event).await?;
            if opened.status().is_success() {
                return Ok(opened);
            }
            // The body of a failure response is no event and must not reach the caller.
            self.record_failure_head(&opened);
        }
    }

    /// Counts the send of a silent holder as one that may have run.
    fn count_holder(&mut self, holder: &mut Holder) {
        if !holder.is_counted {
            holder.is_counted = true;
            self.attempts.record_failure(SendOutcome::Unknown);
        }
    }

    /// Counts a send that is cancelled before its response.
    pub(super) fn withdraw_offer(&mut self) {
        if let Some(has_begun) = self.pending_send.take() {
            self.attempts.record_failure(outcome_without_time(&has_begun));
        }
    }

    /// Records that a holder has been silent in the middle of its response for [`SILENCE_MAX`].
    fn record_silence(&self, holder: &Holder, silence: Silence) {
        if holder.path.is_some() {
            self.serving.upstreams.record_failure(self.serving.now(), holder.target.key);
            self.log_silence("upstream_silent", holder, silence, None);
        }
    }

    fn log_silence(
        &self,
        event: &'static str,
        holder: &Holder,
        silence: Silence,
        reason: Option<&str>,
    ) {
        let now = self.serving.now();
        let offer_at = self.handover_rule().handover_at(silence);
        let line = LogLine::event(event)
            .with("request", &self.request.id)
            .with("upstream", &holder.target.instance)
            .with("silent_ms", now.saturating_sub(silence.since).as_millis())
            .with("attempts_left", self.attempts.left())
            .with("offered_in_ms", offer_at.saturating_sub(now).as_millis())
            .with("left_ms", self.time_left().as_millis())
            .with_some("reason", reason);
        log::info(line);
    }
}

/// Returns the outcome of a send that isn't waited for any longer.
pub(super) fn outcome_without_time(has_begun: &Cell<bool>) -> SendOutcome {
    match has_begun.get() {
        true => SendOutcome::Unknown,
        false => SendOutcome::GivenUp,
    }
}

//! Sends a request to an upstream: chooses the upstream, sends the request, and handles failures.

use {
    super::{
        Exchange, Holder, LastResponse, OpenedResponse, Prefill, Received,
        handing_over::outcome_without_time,
    },
    crate::{
        attempts::SendOutcome,
        connections::{ConnectionLoss, SendFailure},
        framing::Framing,
        handover::Silence,
        log,
        model::{UpstreamFields, UpstreamKey},
        refusal::Refusal,
        telemetry,
        upstreams::{DecodedResponse, Target, UpstreamSend},
    },
    bytes::Bytes,
    fernring_core::{code::ResultCode, text::LogLine},
    http::Request,
    http_body_util::Full,
    std::{cell::Cell, ops::RangeInclusive, rc::Rc, time::Duration},
};

/// Most upstreams that one request is offered to, including those that refuse the connection. A
/// refused connection costs a millisecond, and a third of a pool may be gone at once.
const OFFERS_MAX: u32 = 12;

/// Time after the deadline within which each wait has noticed it.
const DEADLINE_MARGIN: Duration = Duration::from_millis(80);

/// The statuses of the protocol that end an exchange.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// What ends the wait for the head of a response.
enum Head {
    /// The send has ended.
    Sent(Box<Result<DecodedResponse, SendFailure>>),
    /// The request was quarantined meanwhile.
    Quarantined,
}

/// A send without a response that can be forwarded.
struct FailedSend {
    outcome: SendOutcome,
    loss: ConnectionLoss,
    /// Whether the send counts among the attempts already.
    is_counted: bool,
}

impl Exchange {
    /// Prepares the request of a stream and sends it, until the head of an acceptable response is
    /// received.
    ///
    /// # Errors
    /// If there is none at the deadline, or the request may not be sent again.
    pub async fn open_stream(&mut self) -> Result<OpenedResponse, Refusal> {
        let serving = self.serving.clone();
        let give_up_at = self.deadline_at + DEADLINE_MARGIN;
        let opening = async {
            self.find_origin().await?;
            self.wait_until_version_recorded().await;
            self.admit_and_run_stages().await?;
            self.open().await
        };
        let opened = serving.complete_by(give_up_at, opening).await;
        opened.unwrap_or_else(|| {
            self.withdraw_offer();
            Err(self.refusal_without_time("no answer in time"))
        })
    }

    /// Sends the request, to several upstreams if need be, until the head of an acceptable response
    /// is received.
    ///
    /// # Errors
    /// If there is none and the request may not be sent again.
    pub async fn open(&mut self) -> Result<OpenedResponse, Refusal> {
        self.wait_for_quarantine_decision().await;
        self.serving.retries.count_requests(self.serving.now(), &self.service, 1);
        let mut reason = "no upstream is available".to_owned();
        for _ in 0..OFFERS_MAX {
            let left = self.time_left();
            if left.is_zero() {
                return Err(self.refusal_without_time(&reason));
            }
            if !self.may_send() {
                break;
            }
            if self.serving.upstreams.connector().is_isolated() {
                reason = "no path to any upstream".to_owned();
                break;
            }
            let Some(chosen) = self.choose() else {
                break;
            };
            let target = &chosen.target;
            if self.attempts.next_is_extra() && !self.spend_retry_budget() {
                reason.push_str("; the retry budget is spent");
                break;
            }
            self.tried.push(target.key);
            let sent_at = self.serving.now();
            match self.send(target, left, self.weight(&chosen)).await {
                Ok(mut opened) => {
                    let relative_speed = chosen.relative_speed;
                    let prefill = |tokens| Prefill { tokens, relative_speed, sent_at };
                    opened.prefill = chosen.tokens.map(prefill);
                    telemetry::record_send(&self.service, "answered");
                    return Ok(opened);
                }
                Err(FailedSend { outcome, loss, is_counted }) => {
                    self.log_failed_send(target, outcome, &loss.reason);
                    if !is_counted {
                        self.attempts.record_failure(outcome);
                    }
                    self.update_health(target, outcome);
                    self.record_connection_loss(target, &loss);
                    reason = loss.reason;
                }
            }
        }
        if self.time_left().is_zero() {
            return Err(self.refusal_without_time(&reason));
        }
        Err(self.refusal_without_upstream(&reason))
    }

    /// Waits until it is decided whether the request is quarantined, if that is pending. Without
    /// the wait, harmless requests were refused that had been in flight at the same three crashes
    /// as a crashing request in a fleet's first second: 4 in 12 s at 60 requests per second.
    pub(super) async fn wait_for_quarantine_decision(&self) {
        let decision = self.serving.crash_attribution.wait_until_settled(self.request.fingerprint);
        // The caller of this function checks again, whether or not a decision was made in time.
        let _is_decided = self.wait_at_most(None, decision).await;
    }

    /// Records that a response was interrupted after its head.
    pub fn record_broken_send(&mut self, opened: &OpenedResponse, loss: &ConnectionLoss) {
        let framing = opened.framing().name();
        telemetry::record_response_end(&self.service, framing, "interrupted");
        if !opened.is_counted {
            self.attempts.record_failure(SendOutcome::Unknown);
        }
        if !self.is_ended_by_shutdown() {
            if let Some(tracked) = &opened.tracked {
                tracked.record_failure();
            }
            self.serving.upstreams.record_failure(self.serving.now(), opened.key());
        }
        self.record_connection_loss(&opened.target, loss);
    }

    fn record_connection_loss(&self, target: &Target, loss: &ConnectionLoss) {
        if let Some(disconnect) = loss.kind {
            self.serving.crash_attribution.record_broken_send(
                target,
                disconnect,
                Some(&self.traits),
            );
        }
    }

    /// Records that an upstream responded with a failure that can't be forwarded.
    pub fn record_failure_head(&mut self, opened: &OpenedResponse) {
        self.record_failure_response();
        self.serving.upstreams.record_failure(self.serving.now(), opened.key());
    }

    /// Records that an upstream responded with a server error.
    pub fn record_failure_response(&mut self) {
        self.attempts.record_failure(SendOutcome::Unknown);
    }

    /// Records that an upstream gave a complete response.
    pub fn record_success(&self, key: UpstreamKey) {
        self.serving.upstreams.record_success(key);
    }

    /// Returns whether the request may be sent to another upstream.
    pub fn may_send(&self) -> bool {
        let crash_attribution = &self.serving.crash_attribution;
        let is_barred = crash_attribution.is_quarantined(&self.traits)
            || self.attempts.next_is_extra() && crash_attribution.forbids_retry(&self.traits);
        self.attempts.may_send() && !is_barred && !self.time_left().is_zero()
    }

    /// Returns the final answer for a request without an eligible upstream.
    fn refusal_without_upstream(&self, reason: &str) -> Refusal {
        let upstreams = &self.serving.upstreams;
        if upstreams.is_evacuated(&self.service) {
            return self.refusal_for(ResultCode::Evacuated, reason);
        }
        if upstreams.is_outside_regions(&self.service, &self.residency) {
            return self.refusal_for(ResultCode::OutsideRegions, reason);
        }
        match upstreams.throttled_until(&self.service, self.rank()) {
            Some(forecast) => self.refusal_with_forecast(ResultCode::Limited, reason, forecast),
            None => self.refusal_for(ResultCode::NoUpstream, reason),
        }
    }

    fn spend_retry_budget(&self) -> bool {
        self.serving.retries.try_spend(self.serving.now(), &self.service, 1)
    }

    async fn send(
        &mut self,
        target: &Target,
        left: Duration,
        weight: f64,
    ) -> Result<OpenedResponse, FailedSend> {
        let load = self.serving.upstreams.track_load(target.key, weight);
        let has_begun = Rc::new(Cell::new(false));
        let upstream_send = UpstreamSend {
            request: self.upstream_request(target, left),
            rank: self.rank(),
            residency: self.residency.clone(),
            version: self.required_version().cloned(),
            connections_max: self.serving.config.borrow().connections_max(&self.service),
            request_id: Some(self.request.id.clone()),
            has_begun: has_begun.clone(),
        };
        let guard = self.serving.crash_attribution.track_in_flight(target, &self.traits);
        let is_first = self.tried.len() <= 1;
        let (service, route) = (&self.service, &self.route.name);
        let tracked = self.serving.rollouts.track_send(service, target, route, is_first);
        let failed = |failed_send: FailedSend| {
            if let Some(tracked) =
                tracked.as_ref().filter(|_| failed_send.outcome == SendOutcome::Unknown)
            {
                tracked.record_failure();
            }
            failed_send
        };
        let mut holder = Holder { target: target.clone(), path: None, is_counted: false };
        let received = self.await_head(&mut holder, upstream_send).await;
        let is_counted = holder.is_counted;
        let failed_by = |outcome, loss| FailedSend { outcome, loss, is_counted };
        let without_loss =
            |outcome, reason: String| failed_by(outcome, ConnectionLoss { reason, kind: None });
        let response = match received {
            Received::TakenOver(opened) => {
                let loss = ConnectionLoss::silent("silent, and another upstream has responded");
                self.log_failed_send(target, SendOutcome::Unknown, &loss.reason);
                self.update_health(target, SendOutcome::Unknown);
                self.record_connection_loss(target, &loss);
                failed(failed_by(SendOutcome::Unknown, loss));
                return Ok(*opened);
            }
            Received::TimedOut => {
                let outcome = outcome_without_time(&has_begun);
                let mut loss = self.loss_without_time("no answer in time");
                if outcome == SendOutcome::GivenUp {
                    loss.kind = None;
                }
                let failed_send = failed_by(outcome, loss);
                return Err(match self.is_ended_by_shutdown() {
                    true => failed_send,
                    false => failed(failed_send),
                });
            }
            Received::Next(Head::Quarantined) => {
                let reason = "quarantined while waiting for the response".to_owned();
                return Err(without_loss(outcome_without_time(&has_begun), reason));
            }
            Received::Next(Head::Sent(sent)) => match *sent {
                Ok(response) => response,
                Err(SendFailure::NotSent(reason) | SendFailure::ConnectionRefused(reason)) => {
                    return Err(without_loss(SendOutcome::NotSent, reason));
                }
                Err(SendFailure::Ineligible(reason)) => {
                    return Err(without_loss(SendOutcome::Ineligible, reason.to_string()));
                }
                Err(SendFailure::Broken(loss)) => {
                    return Err(failed(failed_by(SendOutcome::Unknown, loss)));
                }
            },
        };
        let framing = Framing::of(&response.head);
        self.last_response = Some(LastResponse {
            target: target.clone(),
            path: response.path,
            framing,
            position: None,
        });
        if let Some((outcome, reason)) = check_head(&response) {
            return Err(failed(without_loss(outcome, reason)));
        }
        let DecodedResponse { head, mut body, path, fields, .. } = response;
        if let Some(idle_timeout) = fields.idle_timeout {
            body.set_idle_timeout(idle_timeout);
        }
        let mut opened = OpenedResponse {
            head,
            body,
            target: target.clone(),
            path,
            is_counted,
            load,
            _attribution_guard: guard,
            tracked: None,
            prefill: None,
            first_bytes_at: None,
            received_at: self.serving.now(),
            has_progressed: false,
        };
        if let Some(tracked) = tracked.as_ref().filter(|_| opened.is_failure()) {
            tracked.record_failure();
        }
        opened.tracked = tracked;
        Ok(opened)
    }

    /// Sends the request and waits for the head of the response, or for that of another upstream if
    /// this one stays silent.
    async fn await_head(
        &mut self,
        holder: &mut Holder,
        upstream_send: UpstreamSend,
    ) -> Received<Head> {
        let (serving, traits) = (self.serving.clone(), self.traits.clone());
        let target = holder.target.clone();
        self.pending_send = Some(upstream_send.has_begun.clone());
        let head = async move {
            tokio::select! {
                sent = serving.upstreams.send(&*serving.wire, &target, upstream_send) => {
                    Head::Sent(Box::new(sent))
                }
                // The upstream hasn't started to respond, so cancelling the request may prevent its
                // crash.
                () = serving.crash_attribution.wait_until_quarantined(&traits) => Head::Quarantined,
            }
        };
        let silence = Silence { since: self.serving.now(), caller_waits_since: self.arrived_at };
        let received = self.receive(holder, head, silence, self.resume_after, true).await;
        self.pending_send = None;
        received
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

    fn update_health(&self, target: &Target, outcome: SendOutcome) {
        let now = self.serving.now();
        match outcome {
            SendOutcome::Refused => self.serving.upstreams.record_full(now, target.key),
            // The request wasn't sent, so the upstream's health is unchanged.
            SendOutcome::Ineligible | SendOutcome::GivenUp => {}
            SendOutcome::NotSent => self.serving.upstreams.record_unreachable(now, target.key),
            SendOutcome::WrongInstance => {
                self.serving.upstreams.record_failure(now, target.key);
                self.serving.crash_attribution.handle_replaced(target.key);
            }
            SendOutcome::Unknown => {
                self.serving.upstreams.record_failure(now, target.key);
            }
        }
    }

    fn log_failed_send(&self, target: &Target, outcome: SendOutcome, reason: &str) {
        telemetry::record_send(&self.service, outcome.name());
        let line = LogLine::event("send_failed")
            .with("request", &self.request.id)
            .with("content", self.request.fingerprint)
            .with_some("parts", self.shared_part_names())
            .with("upstream", &target.instance)
            .with("address", target.address)
            .with("end", outcome.name())
            .with("reason", reason);
        log::info(line);
    }
}

/// Checks the head of a response; returns the fault if there is one.
fn check_head(response: &DecodedResponse) -> Option<(SendOutcome, String)> {
    let DecodedResponse { head, fields, .. } = response;
    if fields.wrong_instance {
        return Some((
            SendOutcome::WrongInstance,
            "another instance responded at this address".to_owned(),
        ));
    }
    if !FINAL_STATUSES.contains(&head.status.as_u16()) {
        return Some((
            SendOutcome::Unknown,
            format!("the status {} is none", head.status.as_u16()),
        ));
    }
    if !response.is_for_request {
        return Some((SendOutcome::Unknown, "the response is for another request".to_owned()));
    }
    if fields.not_run {
        return Some((SendOutcome::Refused, format!("refused with status {}", head.status)));
    }
    if head.status.is_success() && (!fields.is_signed || fields.is_encoded) {
        return Some((
            SendOutcome::Unknown,
            "the response is unsigned or encoded, so it is not the upstream's own".to_owned(),
        ));
    }
    None
}

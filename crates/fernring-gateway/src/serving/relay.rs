//! Forwards a stream as it arrives, and resumes it at another upstream if it is interrupted and may
//! be resumed.

use {
    crate::{
        connections::{ConnectionLoss, ResponseBody},
        events::{EventSplitter, ReceivedEvents},
        exchange::{Exchange, ExchangeEnd, OpenedResponse, Received, StreamFailure},
        framing::Framing,
        handover::Silence,
        log,
        model::RetryPolicy,
        response_progress::BODY_BYTES_MAX,
        telemetry,
    },
    bytes::Bytes,
    fernring_core::text::LogLine,
    http_body_util::BodyExt,
    hyper::body::Body,
    std::time::Duration,
};

/// A stream that is forwarded to a caller.
pub struct Relay {
    exchange: Exchange,
    opened: OpenedResponse,
    splitter: EventSplitter,
    /// Whether the response has had no bytes.
    is_empty: bool,
    /// Whether the version of the upstream is recorded.
    has_origin: bool,
    /// The complete events that were forwarded.
    received: ReceivedEvents,
    /// Whether the response that was given up had begun an event that wasn't forwarded.
    has_further_events: bool,
    /// Whether the stream may be resumed at another upstream. A failure response may not, since its
    /// head has been forwarded.
    is_resumable: bool,
    /// Bytes that were forwarded.
    body_bytes: usize,
    /// When the caller was last sent something, or sent the request.
    forwarded_at: Duration,
    is_done: bool,
}

impl Relay {
    /// Creates a relay for a stream whose head has been received.
    pub fn new(exchange: Exchange, opened: OpenedResponse) -> Self {
        let received = ReceivedEvents::new(exchange.resume_after());
        let is_resumable =
            exchange.retry_policy() == RetryPolicy::Resume && opened.status().is_success();
        let splitter = EventSplitter::default();
        let forwarded_at = exchange.arrived_at();
        Self {
            exchange,
            opened,
            splitter,
            is_empty: true,
            has_origin: false,
            received,
            has_further_events: false,
            is_resumable,
            body_bytes: 0,
            forwarded_at,
            is_done: false,
        }
    }

    /// Waits for the next bytes to forward; `None` at the end.
    pub async fn next(&mut self) -> Option<Result<Bytes, StreamFailure>> {
        if self.is_done {
            return None;
        }
        loop {
            let step = self.next_step().await;
            match step {
                Ok(Some(bytes)) if bytes.is_empty() => {}
                Ok(Some(bytes)) => {
                    self.forwarded_at = self.exchange.now();
                    return Some(Ok(bytes));
                }
                Ok(None) => {
                    self.is_done = true;
                    self.record_position();
                    let rest = self.splitter.finish();
                    if !rest.is_empty() {
                        self.exchange.record_bytes(&mut self.opened);
                    }
                    self.exchange
                        .record_end(ExchangeEnd::Answered { status: self.opened.status() });
                    return (!rest.is_empty()).then_some(Ok(rest));
                }
                Err(error) => {
                    self.is_done = true;
                    self.exchange.record_end(ExchangeEnd::Broken(&error));
                    return Some(Err(error));
                }
            }
        }
    }

    async fn next_step(&mut self) -> Result<Option<Bytes>, StreamFailure> {
        if self.exchange.time_left().is_zero() {
            return Err(StreamFailure::TimedOut);
        }
        let mut holder = self.opened.holder();
        let silence =
            Silence { since: self.opened.received_at(), caller_waits_since: self.forwarded_at };
        let (last_event, may_go_on) = (self.received.last(), self.may_go_on());
        let mode = self.mode();
        let next = next_part(&mut self.opened.body, &mut self.splitter, mode);
        let received =
            self.exchange.receive(&mut holder, next, silence, last_event, may_go_on).await;
        self.opened.set_counted(holder.is_counted());
        match received {
            Received::Next(Some(Ok(bytes))) => {
                self.exchange.record_bytes(&mut self.opened);
                if let Err(loss) = self.record_received(&bytes) {
                    return self.resume(loss).await;
                }
                self.is_empty = false;
                self.record_forwarded(&bytes)?;
                Ok(Some(bytes))
            }
            Received::Next(None) => match self.early_end() {
                None => Ok(None),
                Some(reason) => self.resume(ConnectionLoss::closed(reason)).await,
            },
            Received::Next(Some(Err(error))) => self.resume(error).await,
            Received::TakenOver(opened) => {
                self.leave(&ConnectionLoss::silent("silent"));
                self.go_on_at(*opened);
                Ok(Some(Bytes::new()))
            }
            Received::TimedOut => Err(StreamFailure::TimedOut),
        }
    }

    /// Returns why a response whose body has ended isn't whole; `None` if it may be.
    fn early_end(&self) -> Option<&'static str> {
        if !self.opened.is_event_stream() {
            return None;
        }
        if self.splitter.position().is_inside_event() {
            return Some("ended inside an event");
        }
        if self.is_empty && self.has_further_events {
            return Some("ended before its next event");
        }
        // A caller that has received all events resumes the stream to learn that it is whole.
        let has_no_events = self.is_empty && self.received.last().is_none();
        let is_unmarked = self.opened.framing() == Framing::Connection;
        (has_no_events && is_unmarked).then_some("ended before its first event")
    }

    fn record_position(&mut self) {
        if self.opened.is_event_stream() {
            self.exchange.record_position(self.splitter.position());
        }
    }

    fn mode(&self) -> ForwardingMode {
        if self.is_resumable {
            ForwardingMode::CompleteEvents
        } else if self.opened.is_event_stream() {
            ForwardingMode::Events
        } else {
            ForwardingMode::Body { forwarded: self.body_bytes }
        }
    }

    /// Returns whether the stream may go on at another upstream now.
    fn may_go_on(&self) -> bool {
        self.is_resumable && self.received.may_go_on()
    }

    /// Records the events of a stream that may be resumed, unless the caller has them already.
    fn record_received(&mut self, events: &[u8]) -> Result<(), ConnectionLoss> {
        if !self.is_resumable {
            return Ok(());
        }
        let mut received = self.received;
        let recorded = received.record(events, |line| self.exchange.event_number(line));
        recorded.map_err(|error| ConnectionLoss { reason: error.to_string(), kind: None })?;
        self.received = received;
        Ok(())
    }

    fn record_forwarded(&mut self, bytes: &Bytes) -> Result<(), StreamFailure> {
        self.body_bytes += bytes.len();
        if self.is_resumable && !self.has_origin {
            self.exchange.record_origin(&self.opened)?;
            self.has_origin = true;
        }
        Ok(())
    }

    /// Gives up the response of an upstream.
    fn leave(&mut self, loss: &ConnectionLoss) {
        let line = LogLine::event("stream_broken").with("request", self.exchange.request_id());
        let line = line.with("content", self.exchange.fingerprint());
        let line = line.with_some("parts", self.exchange.shared_part_names());
        let line = line.with("upstream", self.opened.instance()).with("reason", &loss.reason);
        let line = line.with("silent_ms", self.exchange.silent_time(&self.opened).as_millis());
        let line = line.with("attempts_left", self.exchange.attempts_left());
        let line = line.with("framing", self.opened.framing().name());
        let line = line.with("position", self.splitter.position().name());
        log::warn(line.with_some("last_event", self.received.last()));
        self.record_position();
        let had_further_events = self.is_empty && self.has_further_events;
        self.has_further_events = had_further_events || self.splitter.position().has_begun_event();
        self.is_empty = true;
        self.splitter.discard();
        self.opened.body.close();
        self.exchange.record_broken_send(&self.opened, loss);
    }

    /// Continues with the response of another upstream.
    fn go_on_at(&mut self, opened: OpenedResponse) {
        let is_same = opened.version() == self.opened.version();
        telemetry::record_resumption(self.exchange.service(), is_same);
        self.opened = opened;
        self.received.record_upstream();
        self.has_origin = false;
    }

    async fn resume(&mut self, loss: ConnectionLoss) -> Result<Option<Bytes>, StreamFailure> {
        self.leave(&loss);
        if !self.may_go_on() {
            return Err(StreamFailure::Broken(loss.reason));
        }
        match self.exchange.open_elsewhere(self.received.last()).await {
            Ok(opened) => {
                self.go_on_at(opened);
                Ok(Some(Bytes::new()))
            }
            Err(refusal) => {
                let reason = format!("{}; not resumed: {}", loss.reason, refusal.detail);
                Err(StreamFailure::Broken(reason))
            }
        }
    }
}

/// What of a body is forwarded at a time, which is the progress that is waited for.
#[derive(Debug, Clone, Copy)]
enum ForwardingMode {
    /// Complete events, so that the stream may go on at another upstream after each of them.
    CompleteEvents,
    /// The bytes of events as they arrive.
    Events,
    /// The bytes of a body that isn't a stream of events, after those that were forwarded already.
    Body { forwarded: usize },
}

/// Waits for the next part of a body to forward; `None` at the end.
async fn next_part(
    body: &mut ResponseBody,
    splitter: &mut EventSplitter,
    mode: ForwardingMode,
) -> Option<Result<Bytes, ConnectionLoss>> {
    let is_limited =
        matches!(mode, ForwardingMode::Body { .. }) && body.size_hint().exact().is_none();
    if is_limited {
        body.limit(BODY_BYTES_MAX);
    }
    loop {
        let bytes = match next_bytes(body).await? {
            Ok(bytes) => bytes,
            Err(loss) => return Some(Err(loss)),
        };
        let part = match mode {
            ForwardingMode::CompleteEvents => splitter.push(&bytes),
            ForwardingMode::Events => splitter.skip(&bytes).map(|()| bytes),
            ForwardingMode::Body { forwarded } => {
                if is_limited && forwarded + bytes.len() > BODY_BYTES_MAX {
                    let reason = format!("the body is longer than {BODY_BYTES_MAX} bytes");
                    return Some(Err(ConnectionLoss { reason, kind: None }));
                }
                Ok(bytes)
            }
        };
        match part {
            Ok(part) if part.is_empty() => {}
            Ok(part) => return Some(Ok(part)),
            Err(error) => {
                return Some(Err(ConnectionLoss { reason: error.to_string(), kind: None }));
            }
        }
    }
}

/// Waits for the next bytes of a body; `None` at the end.
pub(super) async fn next_bytes(body: &mut ResponseBody) -> Option<Result<Bytes, ConnectionLoss>> {
    loop {
        match body.frame().await? {
            Ok(frame) => match frame.into_data() {
                Ok(bytes) => return Some(Ok(bytes)),
                Err(_trailers) => {}
            },
            Err(error) => return Some(Err((&error).into())),
        }
    }
}

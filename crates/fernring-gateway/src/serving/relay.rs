//! Passing a stream on while it comes, and going on elsewhere when it breaks off and may.

use {
    crate::{
        connections::{ResponseBody, ConnectionLoss},
        events::{EventSplitter, last_number},
        exchange::{Ended, Exchange, Opened, StreamFailure},
        log,
        model::RetryPolicy,
    },
    bytes::Bytes,
    fernring_core::text::LogLine,
    http_body_util::BodyExt,
    std::time::Duration,
};

/// Silence after which a stream that may go on elsewhere does. Objectives for pauses lie around a
/// fifth of a second, and callers give up after two seconds.
const SILENCE_MAX: Duration = Duration::from_millis(900);

/// A stream that is passed on.
pub struct Relay {
    exchange: Exchange,
    opened: Opened,
    splitter: EventSplitter,
    /// Number of the last whole event that was passed on.
    last_event: Option<u64>,
    /// Whether it may go on at another upstream. A failure may not: its head has been passed on.
    is_resumable: bool,
    is_done: bool,
}

impl Relay {
    /// Starts to pass on a stream whose head has come.
    pub fn new(exchange: Exchange, opened: Opened) -> Self {
        let last_event = exchange.resume_after();
        let is_resumable = exchange.repeat() == RetryPolicy::Resume && opened.status().is_success();
        let splitter = EventSplitter::default();
        Self { exchange, opened, splitter, last_event, is_resumable, is_done: false }
    }

    /// Waits for the next bytes to pass on; `None` at the end.
    pub async fn next(&mut self) -> Option<Result<Bytes, StreamFailure>> {
        if self.is_done {
            return None;
        }
        loop {
            let step = self.step().await;
            match step {
                Ok(Some(bytes)) if bytes.is_empty() => {}
                Ok(Some(bytes)) => return Some(Ok(bytes)),
                Ok(None) => {
                    self.is_done = true;
                    self.exchange.finished(Ended::Answered { status: self.opened.status() });
                    let rest = self.splitter.finish();
                    return (!rest.is_empty()).then_some(Ok(rest));
                }
                Err(error) => {
                    self.is_done = true;
                    self.exchange.finished(Ended::Broken(&error));
                    return Some(Err(error));
                }
            }
        }
    }

    async fn step(&mut self) -> Result<Option<Bytes>, StreamFailure> {
        if self.exchange.time_left().is_zero() {
            return Err(StreamFailure::TimedOut);
        }
        let patience = self.is_resumable.then_some(SILENCE_MAX);
        let next = next_bytes(&mut self.opened.body);
        match self.exchange.wait_for(patience, next).await {
            Some(Some(Ok(bytes))) => {
                self.exchange.got_bytes(&mut self.opened);
                Ok(Some(self.take(bytes)?))
            }
            Some(None) => Ok(None),
            Some(Some(Err(error))) => self.resume(error).await,
            None if self.exchange.time_left().is_zero() => Err(StreamFailure::TimedOut),
            None => self.resume(ConnectionLoss::silent("silent")).await,
        }
    }

    fn take(&mut self, bytes: Bytes) -> Result<Bytes, StreamFailure> {
        if !self.is_resumable {
            return Ok(bytes);
        }
        let whole = self.splitter.push(&bytes);
        let whole = whole.map_err(|error| StreamFailure::Broken(error.to_string()))?;
        let number = last_number(&whole, |line| self.exchange.event_number(line));
        self.last_event = number.or(self.last_event);
        Ok(whole)
    }

    async fn resume(&mut self, why: ConnectionLoss) -> Result<Option<Bytes>, StreamFailure> {
        let line = LogLine::event("stream_broken").with("request", self.exchange.request_id());
        let line = line.with("content", self.exchange.content());
        let line = line.with("upstream", self.opened.instance()).with("reason", &why.reason);
        log::warn(line.with_some("last_event", self.last_event));
        self.splitter.discard();
        // Closed before another upstream is asked, so that two never work on it.
        self.opened.body.close();
        self.exchange.send_broke(&self.opened, &why);
        if !self.is_resumable {
            return Err(StreamFailure::Broken(why.reason));
        }
        loop {
            match self.exchange.reopen(self.last_event).await {
                Ok(opened) if opened.status().is_success() => {
                    self.opened = opened;
                    return Ok(Some(Bytes::new()));
                }
                // A failure's body is no event: it must not reach the caller.
                Ok(failed) => self.exchange.answered_with_failure_head(&failed),
                Err(_) => return Err(StreamFailure::Broken(why.reason)),
            }
        }
    }
}

async fn next_bytes(body: &mut ResponseBody) -> Option<Result<Bytes, ConnectionLoss>> {
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

//! Splits a stream into complete events, so that an interrupted stream can resume after the last of
//! them.

use {
    crate::response_progress::EVENT_BYTES_MAX,
    bytes::{Bytes, BytesMut},
};

/// A position in a stream of events. Lines end with CR, LF, or both, and a blank line ends an event.
#[derive(Debug, Clone, Copy)]
pub struct EventPosition {
    is_inside_event: bool,
    is_line_start: bool,
    /// Whether the last byte was a CR, with which a LF that follows forms one line ending.
    is_after_cr: bool,
    /// Whether the event under way, or the one that has just ended, has a field: comments and blank
    /// lines alone are no event.
    has_field: bool,
}

impl Default for EventPosition {
    fn default() -> Self {
        Self { is_inside_event: false, is_line_start: true, is_after_cr: false, has_field: false }
    }
}

impl EventPosition {
    /// Moves over bytes. Returns the length of those up to the end of the last event that ends
    /// among them; `None` if no event does.
    pub fn advance(&mut self, bytes: &[u8]) -> Option<usize> {
        let mut end = None;
        for (index, byte) in bytes.iter().enumerate() {
            self.advance_by(*byte);
            if self.has_field && !self.is_inside_event {
                end = Some(index + 1);
            }
        }
        end
    }

    fn advance_by(&mut self, byte: u8) {
        let is_second_of_line_ending = byte == b'\n' && self.is_after_cr;
        self.is_after_cr = byte == b'\r';
        if is_second_of_line_ending {
            return;
        }
        let is_line_ending = matches!(byte, b'\r' | b'\n');
        let has_field = self.is_inside_event && self.has_field;
        self.has_field = has_field || self.is_line_start && !is_line_ending && byte != b':';
        self.is_inside_event = !(is_line_ending && self.is_line_start);
        self.is_line_start = is_line_ending;
    }

    /// Returns whether an event has begun and hasn't ended.
    pub fn is_inside_event(&self) -> bool {
        self.is_inside_event
    }

    /// Returns whether a field of an event has begun, and the event hasn't ended.
    pub fn has_begun_event(&self) -> bool {
        self.is_inside_event && self.has_field
    }

    /// Returns the name used in log lines and metrics.
    pub fn name(&self) -> &'static str {
        if self.is_inside_event { "inside_event" } else { "between_events" }
    }
}

/// Splits a stream into complete events and the start of the next one.
#[derive(Debug, Default)]
pub struct EventSplitter {
    /// The bytes after the last complete event.
    pending: BytesMut,
    /// Bytes after the last complete event that were forwarded.
    skipped_bytes: usize,
    position: EventPosition,
}

/// The error for a stream that goes on for too long without the end of an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("{EVENT_BYTES_MAX} bytes without the end of an event")]
pub struct EventTooLong;

impl EventSplitter {
    /// Adds bytes and returns the events that are complete now. Comments are returned together with
    /// the next event.
    ///
    /// # Errors
    /// If no event has ended for too long.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, EventTooLong> {
        let held = self.pending.len();
        self.pending.extend_from_slice(bytes);
        let end = self.position.advance(bytes).map_or(0, |length| held + length);
        let complete = self.pending.split_to(end).freeze();
        if self.pending.len() > EVENT_BYTES_MAX {
            return Err(EventTooLong);
        }
        Ok(complete)
    }

    /// Returns the bytes after the last complete event; called at the regular end of the stream.
    pub fn finish(&mut self) -> Bytes {
        self.pending.split().freeze()
    }

    /// Discards the start of an event that was interrupted.
    pub fn discard(&mut self) {
        *self = Self::default();
    }

    /// Moves over bytes that are forwarded as they arrive.
    ///
    /// # Errors
    /// If no event has ended for too long.
    pub fn skip(&mut self, bytes: &[u8]) -> Result<(), EventTooLong> {
        self.skipped_bytes = match self.position.advance(bytes) {
            Some(end) => bytes.len() - end,
            None => self.skipped_bytes + bytes.len(),
        };
        match self.skipped_bytes > EVENT_BYTES_MAX {
            true => Err(EventTooLong),
            false => Ok(()),
        }
    }

    /// Returns the position after all bytes, those of the incomplete event included.
    pub fn position(&self) -> EventPosition {
        self.position
    }
}

/// The events of a stream that its caller has received, as far as they say where it may go on.
///
/// ```
/// use fernring_gateway::events::ReceivedEvents;
///
/// let number = |line: &[u8]| std::str::from_utf8(line.strip_prefix(b"id: ")?).ok()?.parse().ok();
/// let mut received = ReceivedEvents::new(Some(4));
/// assert!(received.record(b"id: 4\ndata: a\n\n", number).is_err());
/// received.record(b"id: 5\ndata: b\n\n", number).unwrap();
/// assert_eq!((received.last(), received.may_go_on()), (Some(5), true));
/// received.record(b"data: c\n\n", number).unwrap();
/// assert!(!received.may_go_on());
/// ```
#[derive(Debug, Clone, Copy)]
pub struct ReceivedEvents {
    /// Highest number of an event.
    last: Option<u64>,
    /// Whether the last event has a number, and one above those of all events before.
    may_go_on: bool,
    /// Whether the upstream that sends the stream now has sent a numbered event.
    has_number: bool,
}

/// The error for an upstream that sends events again that the caller has received.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("event {first} follows event {last}")]
pub struct RepeatedEvent {
    /// Highest number of an event that the caller has received.
    pub last: u64,
    /// Number of the first event that the upstream sent.
    pub first: u64,
}

impl ReceivedEvents {
    /// Creates the state of a stream that goes on after an event; `None` if it begins.
    pub fn new(last: Option<u64>) -> Self {
        Self { last, may_go_on: true, has_number: false }
    }

    /// Returns the highest number of an event.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Returns whether the stream may go on at another upstream: the number of its last event names
    /// no other place in it.
    pub fn may_go_on(&self) -> bool {
        self.may_go_on
    }

    /// Records that another upstream sends the stream from now on.
    pub fn record_upstream(&mut self) {
        self.has_number = false;
    }

    /// Records complete events before they are forwarded; `number_of` extracts a number from a line.
    ///
    /// # Errors
    /// If the upstream was to go on after the last event, and its first event isn't a later one.
    pub fn record(
        &mut self,
        events: &[u8],
        number_of: impl Fn(&[u8]) -> Option<u64>,
    ) -> Result<(), RepeatedEvent> {
        for event in events_of(events) {
            let lines = event.split(|byte| matches!(byte, b'\r' | b'\n'));
            match lines.filter_map(&number_of).next_back() {
                Some(number) => self.record_number(number)?,
                None => self.may_go_on = false,
            }
        }
        Ok(())
    }

    fn record_number(&mut self, number: u64) -> Result<(), RepeatedEvent> {
        let is_later = self.last.is_none_or(|last| number > last);
        if let Some(last) = self.last.filter(|_| !is_later && !self.has_number) {
            return Err(RepeatedEvent { last, first: number });
        }
        self.last = self.last.max(Some(number));
        (self.may_go_on, self.has_number) = (is_later, true);
        Ok(())
    }
}

/// Splits complete events; each has the comments and blank lines before it.
fn events_of(events: &[u8]) -> impl Iterator<Item = &[u8]> {
    let mut rest = events;
    std::iter::from_fn(move || {
        let mut position = EventPosition::default();
        let end = (1..=rest.len()).find(|end| position.advance(&rest[end - 1..*end]).is_some());
        let (event, tail) = rest.split_at(end?);
        rest = tail;
        Some(event)
    })
}

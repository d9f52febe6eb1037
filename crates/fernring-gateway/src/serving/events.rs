//! Splits a stream into complete events, so that an interrupted stream can resume after the last of
//! them.

use bytes::{Bytes, BytesMut};

/// Longest incomplete event that is buffered, in bytes. Events of generations are far smaller.
const EVENT_BYTES_MAX: usize = 1 << 20;

/// Splits a stream into complete events and the start of the next one.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
}

/// The error for an event that exceeds the buffer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("an event is longer than {EVENT_BYTES_MAX} bytes")]
pub struct EventTooLong;

impl EventSplitter {
    /// Adds bytes and returns the events that are complete now.
    ///
    /// # Errors
    /// If an event is too long.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, EventTooLong> {
        self.pending.extend_from_slice(bytes);
        let end = self.pending.windows(2).rposition(|pair| pair == b"\n\n").map_or(0, |at| at + 2);
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
        self.pending.clear();
    }
}

/// Returns the number of the last of some complete events; `number_of` extracts it from a line.
pub fn last_event_number(events: &[u8], number_of: impl Fn(&[u8]) -> Option<u64>) -> Option<u64> {
    events.split(|byte| *byte == b'\n').filter_map(number_of).next_back()
}

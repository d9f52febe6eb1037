//! Whole events of a stream, so that a stream that breaks off can go on after the last of them.

use bytes::{Bytes, BytesMut};

/// Longest unfinished event that is held back, in bytes. Events of generations are far smaller.
const EVENT_BYTES_MAX: usize = 1 << 20;

/// Splits a stream into whole events and the beginning of the next one.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
}

/// An event that grows beyond all bounds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("an event is longer than {EVENT_BYTES_MAX} bytes")]
pub struct EventTooLong;

impl EventSplitter {
    /// Takes in bytes and returns the whole events among all bytes so far.
    ///
    /// # Errors
    /// If an event is too long.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, EventTooLong> {
        self.pending.extend_from_slice(bytes);
        let end = self.pending.windows(2).rposition(|pair| pair == b"\n\n").map_or(0, |at| at + 2);
        let whole = self.pending.split_to(end).freeze();
        if self.pending.len() > EVENT_BYTES_MAX {
            return Err(EventTooLong);
        }
        Ok(whole)
    }

    /// Returns the bytes after the last whole event, at the proper end of the stream.
    pub fn finish(&mut self) -> Bytes {
        self.pending.split().freeze()
    }

    /// Forgets the beginning of an event that broke off.
    pub fn discard(&mut self) {
        self.pending.clear();
    }
}

/// Returns the number of the last event among whole events, as `number_of` reads it from a line.
pub fn last_event_number(events: &[u8], number_of: impl Fn(&[u8]) -> Option<u64>) -> Option<u64> {
    events.split(|byte| *byte == b'\n').filter_map(number_of).next_back()
}

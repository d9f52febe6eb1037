//! Reads the parts of a stage's response, with bounds on what is no part.

use {
    crate::upstream::RunPart,
    fernring_core::ids::AttemptRef,
    fernring_policy::{
        assembly::ResponsePart,
        event::{Dispatch, EchoedPart},
    },
    std::collections::HashSet,
    uuid::Uuid,
};

/// Longest line, in bytes.
const LINE_MAX_BYTES: usize = 4 << 20;
/// Largest response, in bytes of JSON.
const RESPONSE_MAX_BYTES: usize = 256 << 20;
/// Most bytes of empty lines.
const EMPTY_LINES_MAX_BYTES: usize = 64 << 10;

/// The reason why the rest of a response isn't read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(crate) enum AbandonReason {
    /// A line is too long.
    #[error("a line is over {LINE_MAX_BYTES} bytes")]
    Line,
    /// There are too many empty lines.
    #[error("over {EMPTY_LINES_MAX_BYTES} bytes of empty lines")]
    EmptyLines,
    /// The response is too large.
    #[error("over {RESPONSE_MAX_BYTES} bytes")]
    Response,
    /// A line isn't a part.
    #[error("a line is no part")]
    Malformed,
    /// All parts have arrived, and the response doesn't end.
    #[error("no end after the last part")]
    NoEnd,
}

/// The parts of one attempt's response.
#[derive(Debug)]
pub(crate) struct PartReader {
    uid: Uuid,
    attempt: AttemptRef,
    /// The start of an incomplete line.
    buffer: Vec<u8>,
    received_bytes: usize,
    empty_line_bytes: usize,
    sequences: HashSet<u32>,
    last: Option<u32>,
}

impl PartReader {
    /// Creates the reader of an attempt's response.
    pub(crate) fn new(dispatch: &Dispatch) -> Self {
        Self {
            uid: dispatch.uid,
            attempt: dispatch.attempt,
            buffer: Vec::new(),
            received_bytes: 0,
            empty_line_bytes: 0,
            sequences: HashSet::new(),
            last: None,
        }
    }

    /// Returns whether all parts have arrived.
    pub(crate) fn is_whole(&self) -> bool {
        self.last.is_some_and(|last| self.sequences.len() as u64 == u64::from(last) + 1)
    }

    /// Returns whether no line is incomplete.
    pub(crate) fn is_at_line_end(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Adds received bytes and returns the parts that they complete.
    ///
    /// # Errors
    /// Returns the reason if the rest of the response needn't be read.
    pub(crate) fn add(&mut self, chunk: &[u8]) -> Result<Vec<EchoedPart>, AbandonReason> {
        self.received_bytes += chunk.len();
        if self.received_bytes > RESPONSE_MAX_BYTES {
            return Err(AbandonReason::Response);
        }
        self.buffer.extend_from_slice(chunk);
        if self.buffer.len() > LINE_MAX_BYTES {
            return Err(AbandonReason::Line);
        }
        let lines = take_complete_lines(&mut self.buffer);
        let mut parts = Vec::new();
        for line in lines.split_inclusive(|byte| *byte == b'\n') {
            match line {
                b"\n" => self.empty_line_bytes += 1,
                line => parts.push(self.parse(line)?),
            }
        }
        match self.empty_line_bytes > EMPTY_LINES_MAX_BYTES {
            true => Err(AbandonReason::EmptyLines),
            false => Ok(parts),
        }
    }

    fn parse(&mut self, line: &[u8]) -> Result<EchoedPart, AbandonReason> {
        let part: RunPart = serde_json::from_slice(line).map_err(|_| AbandonReason::Malformed)?;
        let is_echoed = part.request == self.uid
            && part.stage_index == self.attempt.stage
            && part.attempt == self.attempt.attempt;
        if is_echoed {
            self.sequences.insert(part.sequence);
            self.last = self.last.or(part.last.then_some(part.sequence));
        }
        Ok(echoed_part(part))
    }
}

/// Removes the complete lines from a buffer.
fn take_complete_lines(buffer: &mut Vec<u8>) -> Vec<u8> {
    let end = buffer.iter().rposition(|byte| *byte == b'\n').map_or(0, |end| end + 1);
    let rest = buffer.split_off(end);
    std::mem::replace(buffer, rest)
}

fn echoed_part(part: RunPart) -> EchoedPart {
    EchoedPart {
        uid: part.request,
        stage: part.stage_index,
        attempt: part.attempt,
        part: ResponsePart { sequence: part.sequence, text: part.text, last: part.last },
    }
}

//! Decides when what an upstream sends is no response. No I/O.
//!
//! Bytes alone are no progress: interim responses, a head, the framing of chunks and trailers may
//! go on without end. Progress is the end of a head, and then data of the body. What is read
//! without progress is limited in bytes and, if it comes in drops, in time. A pause counts as a
//! single drop, however long it is: a silent upstream may go on later.
//!
//! ```
//! use {fernring_gateway::response_progress::{ResponsePart, ResponseProgress}, std::time::Duration};
//!
//! let mut progress = ResponseProgress::default();
//! progress.start();
//! let unfinished = vec![b'x'; 1 << 20];
//! let error = progress.record_read(Duration::ZERO, &unfinished).unwrap_err();
//! assert_eq!(error.part, ResponsePart::Head);
//! ```

use {std::time::Duration, thiserror::Error};

/// Most bytes before the end of a response's head, interim responses included.
pub const HEAD_BYTES_MAX: u64 = 128 << 10;
/// Most interim responses (1xx) before a response.
pub const INTERIM_RESPONSES_MAX: u32 = 16;
/// Most bytes of framing and trailers beyond [`FRAMING_BYTES_PER_DATA_BYTE`]. Includes what is
/// buffered and not delivered yet.
pub const FRAMING_BYTES_MAX: u64 = 256 << 10;
/// Bytes of framing that each byte of data may take: a chunk of a single byte takes five.
pub const FRAMING_BYTES_PER_DATA_BYTE: u64 = 8;
/// Longest time for which bytes may come in drops without progress.
pub const TRICKLE_TIME_MAX: Duration = Duration::from_millis(500);
/// Longest part of a pause between two reads that counts as time in which bytes come in drops.
pub const TRICKLE_PAUSE_MAX: Duration = Duration::from_millis(100);
/// Largest body that isn't a stream of events, in bytes. Larger ones count as failed: no service has
/// any today.
pub const BODY_BYTES_MAX: usize = 8 << 20;
/// Most bytes of a stream between the ends of two events. Events of generations are far smaller.
pub const EVENT_BYTES_MAX: usize = 1 << 20;
/// Largest response of a worker to a call, in bytes: enough for a handle or a reason for each piece.
pub const CALL_BYTES_MAX: usize = 1 << 20;

/// Position of the first digit of the status in the first line of a head.
const STATUS_POSITION: u64 = 9;

/// A part of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponsePart {
    /// Interim responses and the head.
    Head,
    /// The body, with its framing and trailers.
    Body,
}

impl ResponsePart {
    /// Returns the name used in log lines and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Head => "head",
            Self::Body => "body",
        }
    }
}

/// The error for bytes without progress.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("{bytes} bytes of a response's {} without progress", part.name())]
pub struct NoProgress {
    /// The part of the response.
    pub part: ResponsePart,
    /// The bytes that were read and discarded.
    pub bytes: u64,
}

/// Progress of the responses on one connection.
#[derive(Debug, Default)]
pub struct ResponseProgress {
    /// `None` before the first request.
    part: Option<ResponsePart>,
    head: HeadScanner,
    interim_responses: u32,
    /// Bytes of the part that were read.
    bytes_read: u64,
    /// Bytes of data that were delivered.
    bytes_delivered: u64,
    /// `bytes_delivered` at the last read.
    delivered_before: u64,
    /// Most bytes of the body, its framing included; `None` if it isn't limited.
    body_bytes_max: Option<u64>,
    trickle: Trickle,
}

impl ResponseProgress {
    /// Expects the response to a request.
    pub fn start(&mut self) {
        *self = Self { part: Some(ResponsePart::Head), ..Self::default() };
    }

    /// Limits the body of the response under way, data and framing together, to `bytes_max` and
    /// [`FRAMING_BYTES_MAX`].
    pub fn limit_body(&mut self, bytes_max: usize) {
        self.body_bytes_max = Some(bytes_max as u64 + FRAMING_BYTES_MAX);
    }

    /// Records bytes that were read from the connection.
    ///
    /// # Errors
    /// If more came without progress than any response needs.
    pub fn record_read(&mut self, now: Duration, bytes: &[u8]) -> Result<(), NoProgress> {
        match self.part {
            None => Ok(()),
            Some(ResponsePart::Head) => self.record_head(now, bytes),
            Some(ResponsePart::Body) => self.record_body(now, bytes.len()),
        }
    }

    /// Records data of the body that was delivered.
    pub fn record_delivered(&mut self, length: usize) {
        self.bytes_delivered += length as u64;
    }

    fn record_head(&mut self, now: Duration, bytes: &[u8]) -> Result<(), NoProgress> {
        self.bytes_read += bytes.len() as u64;
        self.trickle.record_read(now);
        for (index, byte) in bytes.iter().enumerate() {
            match self.head.advance(*byte) {
                None => {}
                Some(HeadEnd::Interim) => {
                    self.interim_responses += 1;
                    self.trickle = Trickle::default();
                }
                Some(HeadEnd::Response) => {
                    *self = Self { part: Some(ResponsePart::Body), ..Self::default() };
                    return self.record_body(now, bytes.len() - index - 1);
                }
            }
        }
        let is_endless = self.bytes_read > HEAD_BYTES_MAX
            || self.interim_responses > INTERIM_RESPONSES_MAX
            || self.trickle.is_endless();
        self.check(!is_endless)
    }

    fn record_body(&mut self, now: Duration, length: usize) -> Result<(), NoProgress> {
        self.bytes_read += length as u64;
        if self.bytes_delivered > self.delivered_before {
            self.delivered_before = self.bytes_delivered;
            self.trickle = Trickle::default();
        }
        self.trickle.record_read(now);
        let allowed = FRAMING_BYTES_MAX + FRAMING_BYTES_PER_DATA_BYTE * self.bytes_delivered;
        let framing = self.bytes_read.saturating_sub(self.bytes_delivered);
        let is_too_long = self.body_bytes_max.is_some_and(|max| self.bytes_read > max);
        self.check(framing <= allowed && !is_too_long && !self.trickle.is_endless())
    }

    fn check(&self, is_in_progress: bool) -> Result<(), NoProgress> {
        match (is_in_progress, self.part) {
            (false, Some(part)) => {
                let bytes = self.bytes_read.saturating_sub(self.bytes_delivered);
                Err(NoProgress { part, bytes })
            }
            _ => Ok(()),
        }
    }
}

/// The time in which bytes come in drops.
#[derive(Debug, Clone, Copy, Default)]
struct Trickle {
    last_read_at: Option<Duration>,
    time: Duration,
}

impl Trickle {
    fn record_read(&mut self, now: Duration) {
        let pause = self.last_read_at.map(|at| now.saturating_sub(at)).unwrap_or_default();
        self.time += pause.min(TRICKLE_PAUSE_MAX);
        self.last_read_at = Some(now);
    }

    fn is_endless(&self) -> bool {
        self.time > TRICKLE_TIME_MAX
    }
}

/// What a head that has ended belongs to.
enum HeadEnd {
    /// An interim response, which another head follows.
    Interim,
    /// The response.
    Response,
}

/// Finds the ends of heads.
#[derive(Debug, Default)]
struct HeadScanner {
    /// Bytes of the head so far; empty lines before it don't belong to it.
    length: u64,
    is_interim: bool,
    /// Whether the line so far is empty.
    is_line_empty: bool,
}

impl HeadScanner {
    fn advance(&mut self, byte: u8) -> Option<HeadEnd> {
        let is_line_ending = matches!(byte, b'\r' | b'\n');
        if self.length == 0 && is_line_ending {
            return None;
        }
        if self.length == STATUS_POSITION {
            self.is_interim = byte == b'1';
        }
        self.length += 1;
        if !is_line_ending {
            self.is_line_empty = false;
        } else if byte == b'\n' {
            if self.is_line_empty {
                let is_interim = self.is_interim;
                *self = Self::default();
                return Some(if is_interim { HeadEnd::Interim } else { HeadEnd::Response });
            }
            self.is_line_empty = true;
        }
        None
    }
}

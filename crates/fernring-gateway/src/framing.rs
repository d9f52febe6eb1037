//! How the end of a response's body is marked.

use http::{
    StatusCode,
    header::{CONTENT_LENGTH, TRANSFER_ENCODING},
    response::Parts,
};

/// How the end of a response's body is marked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// By its length.
    Length,
    /// By its last chunk.
    Chunked,
    /// By the end of the connection, which a process that ends early also closes.
    Connection,
}

impl Framing {
    /// Returns the framing of the response with this head.
    pub fn of(head: &Parts) -> Self {
        let has_no_body = matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        if head.headers.contains_key(TRANSFER_ENCODING) {
            Self::Chunked
        } else if has_no_body || head.headers.contains_key(CONTENT_LENGTH) {
            Self::Length
        } else {
            Self::Connection
        }
    }

    /// Returns the name used in log lines and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunked => "chunked",
            Self::Connection => "connection",
        }
    }
}

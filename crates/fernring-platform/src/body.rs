//! Reads bodies of responses with bounds in bytes and time.

use {
    crate::http_client::{HttpError, HttpResponse},
    std::time::Duration,
    thiserror::Error,
    tokio::time::{error::Elapsed, timeout},
};

/// Bytes of a body that count as progress. A body that arrives in smaller drops is abandoned.
pub const PROGRESS_MIN_BYTES: usize = 4 << 10;

/// The reason why a body wasn't read.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The connection failed.
    #[error("{0}")]
    Connection(#[from] HttpError),
    /// Too little of the body arrived in time.
    #[error("less than {PROGRESS_MIN_BYTES} bytes of the body in time")]
    TooSlow(#[from] Elapsed),
    /// The body is larger than the given number of bytes.
    #[error("the body is over {0} bytes")]
    TooLarge(usize),
}

/// A body that is being read.
struct BodyReader {
    response: HttpResponse,
    body: Vec<u8>,
    max_bytes: usize,
}

impl BodyReader {
    /// Reads until at least `count` more bytes have arrived. Returns whether the body has ended.
    async fn read(&mut self, count: usize) -> Result<bool, BodyError> {
        let progress_len = self.body.len().saturating_add(count);
        while self.body.len() < progress_len {
            let Some(chunk) = self.response.chunk().await? else {
                return Ok(true);
            };
            if self.body.len() + chunk.len() > self.max_bytes {
                return Err(BodyError::TooLarge(self.max_bytes));
            }
            self.body.extend_from_slice(&chunk);
        }
        Ok(false)
    }
}

/// Reads a body of at most `max_bytes`, for as long as the caller waits.
///
/// # Errors
/// Returns an error if the body is larger, or the connection fails.
pub async fn read_body(response: HttpResponse, max_bytes: usize) -> Result<Vec<u8>, BodyError> {
    let mut reader = BodyReader { response, body: Vec::new(), max_bytes };
    while !reader.read(max_bytes).await? {}
    Ok(reader.body)
}

/// Reads a body of at most `max_bytes`, for as long as [`PROGRESS_MIN_BYTES`] or the end of the body
/// arrive within `progress_timeout`.
///
/// # Errors
/// Returns an error if the body is larger, makes no progress, or the connection fails.
pub async fn read_large_body(
    response: HttpResponse,
    max_bytes: usize,
    progress_timeout: Duration,
) -> Result<Vec<u8>, BodyError> {
    let mut reader = BodyReader { response, body: Vec::new(), max_bytes };
    while !timeout(progress_timeout, reader.read(PROGRESS_MIN_BYTES)).await?? {}
    Ok(reader.body)
}

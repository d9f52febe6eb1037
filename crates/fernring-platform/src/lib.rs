//! Clients of the platform services that fernring uses: the append-only log and the VM list. The
//! weight store is used by the engines only; fernring's plans merely respect its rate limit.
//!
//! [`LogService`] and [`VmList`] are the interfaces; [`HttpLog`] and [`HttpVmList`] implement them
//! over the platform's HTTP interface. After an error of [`LogService::append`] other than
//! [`PlatformError::RateLimited`], the record may have been appended.

mod body;
mod http;
pub mod http_client;
mod wire;

pub use {
    body::{BodyError, PROGRESS_MIN_BYTES, read_body, read_large_body},
    http::{HttpLog, HttpVmList},
    wire::{AppendResponse, VmEntry, VmRole, VmState},
};

use {
    async_trait::async_trait, fernring_core::log::LogPage, http_client::HttpError,
    std::time::Duration, thiserror::Error,
};

/// The reason why a call to the platform failed.
#[derive(Debug, Error)]
pub enum PlatformError {
    /// The request can't be built, so it wasn't sent.
    #[error("invalid request: {0}")]
    InvalidRequest(#[from] ::http::Error),
    /// The request failed, or its response was incomplete or invalid. The request may have taken
    /// effect.
    #[error("no answer from the platform: {0}")]
    NoResponse(#[from] HttpError),
    /// The response did not arrive in time. The request may have taken effect.
    #[error("no answer from the platform in time")]
    Timeout,
    /// The body of the response is too large, or arrived too slowly. The request may have taken
    /// effect.
    #[error("no whole answer from the platform: {0}")]
    Body(#[from] BodyError),
    /// The body of the response could not be parsed.
    #[error("malformed answer from the platform: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The platform refused the request because of its rate limit; the request had no effect.
    #[error("the platform's rate limit is reached")]
    RateLimited,
    /// The platform responded with another status that is not a success.
    #[error("the platform answered with status {0}")]
    UnexpectedStatus(u16),
}

/// The append-only log.
#[async_trait]
pub trait LogService: Send + Sync {
    /// Appends a record to a stream and returns its offset.
    ///
    /// # Errors
    /// After any error except [`PlatformError::RateLimited`], the record may have been appended.
    async fn append(&self, stream: &str, data: &[u8]) -> Result<AppendResponse, PlatformError>;

    /// Reads a page of records from offset `from` on. If there are none yet, waits up to `wait` for
    /// one.
    ///
    /// # Errors
    /// Returns an error if the log service does not return a page.
    async fn read(&self, stream: &str, from: u64, wait: Duration)
    -> Result<LogPage, PlatformError>;
}

/// The list of VMs, which may lag behind the actual state.
#[async_trait]
pub trait VmList: Send + Sync {
    /// Reads the list.
    ///
    /// # Errors
    /// Returns an error if the service does not return the list.
    async fn list(&self) -> Result<Vec<VmEntry>, PlatformError>;
}

//! The platform's services as fernring uses them: the append-only log and the VM list. The weight
//! store is used by the engines, not by fernring; a plan only keeps to its rate.
//!
//! [`LogService`] and [`VmList`] are the interfaces; [`HttpLog`] and [`HttpVmList`] speak the
//! platform's HTTP. An error of [`LogService::append`] never says that nothing happened: the
//! record may be there.

mod http;
mod wire;

pub use {
    http::{HttpLog, HttpVmList},
    wire::{AppendResponse, VmEntry, VmRole, VmState},
};

use {
    async_trait::async_trait, fernring_core::log::LogPage, std::time::Duration, thiserror::Error,
};

/// Why the platform did not answer as asked.
#[derive(Debug, Error)]
pub enum PlatformError {
    /// No answer, or a broken one. What was asked may have taken effect.
    #[error("no answer from the platform: {0}")]
    NoResponse(#[from] reqwest::Error),
    /// No answer in time, or none of its bytes.
    #[error("no answer from the platform in time")]
    Timeout,
    /// The answer can't be read.
    #[error("malformed answer from the platform: {0}")]
    Malformed(#[from] serde_json::Error),
    /// It refused because of its rate limit; nothing took effect.
    #[error("the platform's rate limit is reached")]
    RateLimited,
    /// It answered with another status.
    #[error("the platform answered with status {0}")]
    UnexpectedStatus(u16),
}

/// The append-only log.
#[async_trait]
pub trait LogService: Send + Sync {
    /// Appends a record to a stream and returns its offset.
    ///
    /// # Errors
    /// After any error but [`PlatformError::RateLimited`] the record may be there nevertheless.
    async fn append(&self, stream: &str, data: &[u8]) -> Result<AppendResponse, PlatformError>;

    /// Reads the records from an offset on, and waits up to `wait` for one if there is none.
    ///
    /// # Errors
    /// If the log service does not answer.
    async fn read(&self, stream: &str, from: u64, wait: Duration)
    -> Result<LogPage, PlatformError>;
}

/// The lagging list of VMs.
#[async_trait]
pub trait VmList: Send + Sync {
    /// Reads the list.
    ///
    /// # Errors
    /// If the list service does not answer.
    async fn list(&self) -> Result<Vec<VmEntry>, PlatformError>;
}

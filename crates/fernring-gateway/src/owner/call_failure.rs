//! Reasons why a call to a worker returned no outcomes.

use crate::{
    connections::{ConnectionLoss, SendFailure},
    eligibility::Ineligible,
    framing::Framing,
    wire::Malformed,
};

/// Reason why a call returned no outcomes.
#[derive(Debug, thiserror::Error)]
pub(super) enum CallFailure {
    /// Nothing was sent.
    #[error("{0}")]
    NotSent(String),
    /// Nothing was sent, since the upstream is ineligible for new requests.
    #[error("{0}")]
    Ineligible(Ineligible),
    /// The upstream refused the call.
    #[error("refused")]
    Refused,
    /// The connection was lost during the call.
    #[error("{0}")]
    Broken(ConnectionLoss),
    /// Any other failure.
    #[error("{0}")]
    Failed(String),
}

/// Converts an error that occurred while the body of a response was read.
pub(super) fn body_failure(error: &(dyn std::error::Error + 'static)) -> CallFailure {
    match error.downcast_ref::<hyper::Error>() {
        Some(error) => CallFailure::Broken(error.into()),
        None => CallFailure::Failed(error.to_string()),
    }
}

/// Converts the error of a response that can't be decoded. If only the end of its connection marked
/// its end, the worker may have ended early.
pub(super) fn undecodable(framing: Framing, error: &Malformed) -> CallFailure {
    match framing {
        Framing::Connection => CallFailure::Broken(ConnectionLoss::closed(&error.to_string())),
        Framing::Length | Framing::Chunked => CallFailure::Failed(error.to_string()),
    }
}

impl From<SendFailure> for CallFailure {
    fn from(failure: SendFailure) -> Self {
        match failure {
            SendFailure::NotSent(reason) | SendFailure::ConnectionRefused(reason) => {
                Self::NotSent(reason)
            }
            SendFailure::Ineligible(reason) => Self::Ineligible(reason),
            SendFailure::Broken(loss) => Self::Broken(loss),
        }
    }
}

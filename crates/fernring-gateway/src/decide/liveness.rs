//! Decides whether the machine at the other end of a connection is gone. No I/O.
//!
//! A process that reads nothing, for however long, isn't gone: its machine acknowledges what
//! arrives, and answers probes of its closed window.
//!
//! ```
//! use {
//!     fernring_gateway::liveness::{Liveness, LivenessCheck},
//!     fernring_tcp::AckState,
//!     std::time::Duration,
//! };
//!
//! let unanswered = AckState {
//!     unacknowledged: 3,
//!     unanswered: 4,
//!     is_retrying: true,
//!     since_received: Duration::from_secs(2),
//! };
//! let mut liveness = Liveness::default();
//! assert_eq!(liveness.check(unanswered), LivenessCheck::Pending);
//! assert_eq!(liveness.check(unanswered), LivenessCheck::Gone);
//! ```

use {fernring_tcp::AckState, std::time::Duration};

/// Interval of checks while something sent isn't known to be acknowledged.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time without any sign after which a machine that leaves retries unanswered counts as gone.
const GONE_AFTER: Duration = Duration::from_millis(1_250);
/// Checks in a row that must agree: the first one may fall between a retry and its answer, or
/// before the first retry.
const AGREEING_CHECKS: u32 = 2;

/// Result of a check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LivenessCheck {
    /// Everything that was sent is acknowledged.
    Settled,
    /// Something is outstanding.
    Pending,
    /// The machine at the other end is gone.
    Gone,
}

/// The checks of a connection since something was last sent on it.
#[derive(Debug, Clone, Copy, Default)]
pub struct Liveness {
    settled_in_a_row: u32,
    unanswered_in_a_row: u32,
}

impl Liveness {
    /// Records that something was sent.
    pub fn record_sent(&mut self) {
        self.settled_in_a_row = 0;
    }

    /// Evaluates the state of the connection.
    pub fn check(&mut self, state: AckState) -> LivenessCheck {
        let is_unanswered = state.unanswered > 0 && state.since_received >= GONE_AFTER;
        let is_settled = state.unacknowledged == 0 && state.unanswered == 0 && !state.is_retrying;
        let count = |holds: bool, before: u32| if holds { before + 1 } else { 0 };
        self.unanswered_in_a_row = count(is_unanswered, self.unanswered_in_a_row);
        self.settled_in_a_row = count(is_settled, self.settled_in_a_row);
        if self.unanswered_in_a_row >= AGREEING_CHECKS {
            LivenessCheck::Gone
        } else if self.settled_in_a_row > AGREEING_CHECKS {
            LivenessCheck::Settled
        } else {
            LivenessCheck::Pending
        }
    }
}

//! Decides when a request whose upstream has fallen silent is offered to another upstream. No I/O.
//!
//! Silence is no failure: an upstream that prefills a long prompt, or whose process is paused, goes
//! on later, and may not notice that its connection was closed. A request that went on elsewhere
//! too early would run twice. It is offered to another upstream once its own is known to be
//! unreachable, or else at the last moment at which another one may still be in time for the
//! caller.
//!
//! ```
//! use {fernring_gateway::handover::{HandoverRule, Silence}, std::time::Duration};
//!
//! let seconds = Duration::from_secs;
//! let rule = HandoverRule {
//!     patience: seconds(4),
//!     first_event_time: seconds(1),
//!     deadline_at: seconds(20),
//! };
//! let silence = Silence { since: seconds(5), caller_waits_since: seconds(5) };
//! assert_eq!(rule.handover_at(silence), seconds(8));
//! ```

use std::time::Duration;

/// Consecutive failed probes, at [`PROBE_INTERVAL`], after which a silent upstream counts as
/// unreachable.
const FAILED_PROBES_MIN: u32 = 2;
/// Interval of the probes of a silent upstream.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// A silence of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Silence {
    /// When the upstream was sent the request, or when something was last received from it.
    pub since: Duration,
    /// When the caller sent the request, or when something was last forwarded to it.
    pub caller_waits_since: Duration,
}

/// What limits the wait for a silent upstream.
#[derive(Debug, Clone, Copy)]
pub struct HandoverRule {
    /// Longest time for which the caller waits for the next event.
    pub patience: Duration,
    /// Time that another upstream may need until its first event.
    pub first_event_time: Duration,
    /// Deadline of the request.
    pub deadline_at: Duration,
}

impl HandoverRule {
    /// Returns when the request is offered to another upstream if its own stays silent. At least
    /// half of the caller's patience is left to the upstream that has the request.
    pub fn handover_at(&self, silence: Silence) -> Duration {
        let caller_leaves_at = (silence.caller_waits_since + self.patience).min(self.deadline_at);
        let last_moment = caller_leaves_at.saturating_sub(self.first_event_time);
        last_moment.max(silence.since + self.patience / 2)
    }
}

/// The probes of a silent upstream.
#[derive(Debug, Clone, Copy, Default)]
pub struct SilenceProbes {
    failed_in_a_row: u32,
}

impl SilenceProbes {
    /// Records whether a probe reached the upstream.
    pub fn record(&mut self, is_reached: bool) {
        self.failed_in_a_row = if is_reached { 0 } else { self.failed_in_a_row + 1 };
    }

    /// Returns whether the upstream counts as unreachable.
    pub fn is_unreachable(&self) -> bool {
        self.failed_in_a_row >= FAILED_PROBES_MIN
    }
}

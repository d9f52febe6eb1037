//! Detects that this process was paused: stopped, or with its VM suspended. No I/O.
//!
//! Messages that peers sent before the pause are still in the sockets when the process resumes.
//! They are as old as the pause, and nothing in them says so.
//!
//! ```
//! use {fernring_gateway::pause_detector::PauseDetector, std::time::Duration};
//!
//! let second = Duration::from_secs(1);
//! let mut detector = PauseDetector::new(second);
//! assert!(!detector.may_receive_stale(second));
//! assert!(detector.may_receive_stale(second * 9), "the pause is not detected yet");
//! assert_eq!(detector.record_round(second * 9), Some(second * 8));
//! assert!(detector.may_receive_stale(second * 9));
//! assert!(!detector.may_receive_stale(second * 9 + Duration::from_millis(200)));
//! ```

use std::time::Duration;

/// Shortest gap between two rounds that counts as a pause: five heartbeats, more than a slow node
/// misses.
const PAUSE_MIN: Duration = Duration::from_secs(1);
/// Time after a pause in which received messages may have waited in a socket. Reading all of them
/// takes milliseconds.
const STALE_INPUT_TIME: Duration = Duration::from_millis(100);

/// Longest time after a pause, or after the start, in which a process counts as catching up: one
/// heartbeat interval and some delay.
const CATCH_UP_MAX: Duration = Duration::from_millis(300);

/// Detects pauses of this process from the gaps between its rounds.
#[derive(Debug, Clone, Copy)]
pub struct PauseDetector {
    last_round_at: Duration,
    stale_until: Duration,
    resumed_at: Duration,
    /// Whether a heartbeat was received since `resumed_at`.
    has_received: bool,
}

impl PauseDetector {
    /// Starts with a process that runs.
    pub fn new(now: Duration) -> Self {
        Self {
            last_round_at: now,
            stale_until: Duration::ZERO,
            resumed_at: now,
            has_received: false,
        }
    }

    /// Records the start of a round, of which there are several in a second. Returns how long the
    /// process was paused, if it was.
    pub fn record_round(&mut self, now: Duration) -> Option<Duration> {
        let gap = now.saturating_sub(self.last_round_at);
        self.last_round_at = now;
        if gap < PAUSE_MIN {
            return None;
        }
        self.stale_until = now + STALE_INPUT_TIME;
        (self.resumed_at, self.has_received) = (now, false);
        Some(gap)
    }

    /// Records that a heartbeat was received, even if it waited in a socket.
    pub fn record_heartbeat(&mut self) {
        self.has_received = true;
    }

    /// Returns whether peers may have sent something binding during the pause that this process
    /// hasn't read yet. Requests that arrived during the pause wait in its sockets as well, and may
    /// be read first.
    pub fn is_catching_up(&self, now: Duration) -> bool {
        let has_just_resumed = !self.has_received && now < self.resumed_at + CATCH_UP_MAX;
        has_just_resumed || now >= self.last_round_at + PAUSE_MIN
    }

    /// Returns whether messages received now may be older than they say.
    pub fn may_receive_stale(&self, now: Duration) -> bool {
        now < self.stale_until || now >= self.last_round_at + PAUSE_MIN
    }
}

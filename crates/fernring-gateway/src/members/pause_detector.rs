//! Whether this process stood still: frozen, or with its VM suspended. No I/O.
//!
//! What peers had said before lies in its sockets on waking, and is as old as the pause; nothing in it says so.
//!
//! ```
//! use {fernring_gateway::pause_detector::Stillness, std::time::Duration};
//!
//! let second = Duration::from_secs(1);
//! let mut stillness = Stillness::new(second);
//! assert!(!stillness.hears_leftovers(second));
//! assert!(stillness.hears_leftovers(second * 9), "it has not yet found out itself");
//! assert_eq!(stillness.round(second * 9), Some(second * 8));
//! assert!(stillness.hears_leftovers(second * 9));
//! assert!(!stillness.hears_leftovers(second * 9 + Duration::from_millis(200)));
//! ```

use std::time::Duration;

/// Gap between two rounds from which on the process stood still: five heartbeats, more than a node that is merely slow
/// leaves out.
const STILL_MIN: Duration = Duration::from_secs(1);
/// How long on waking what comes may have lain in a socket: reading it all takes milliseconds.
const LEFTOVER_TIME: Duration = Duration::from_millis(100);

/// Longest time after waking, or after the start, in which a process counts as behind: a heartbeat and a little.
const BEHIND_MAX: Duration = Duration::from_millis(300);

/// When this process last ran.
#[derive(Debug, Clone, Copy)]
pub struct PauseDetector {
    round_at: Duration,
    leftovers_until: Duration,
    woke_at: Duration,
    /// Whether a peer was heard since then.
    has_heard: bool,
}

impl PauseDetector {
    /// Starts with a process that runs.
    pub fn new(now: Duration) -> Self {
        Self { round_at: now, leftovers_until: Duration::ZERO, woke_at: now, has_heard: false }
    }

    /// Takes in that a round begins, several of which do in a second; tells how long the process stood still.
    pub fn record_round(&mut self, now: Duration) -> Option<Duration> {
        let gap = now.saturating_sub(self.round_at);
        self.round_at = now;
        if gap < STILL_MIN {
            return None;
        }
        self.leftovers_until = now + LEFTOVER_TIME;
        (self.woke_at, self.has_heard) = (now, false);
        Some(gap)
    }

    /// Takes in that a peer was heard, by whatever lay in a socket.
    pub fn record_heartbeat(&mut self) {
        self.has_heard = true;
    }

    /// Tells whether others may have said something meanwhile that binds this process and that it hasn't read yet. What was asked
    /// of it while it stood still lies in its sockets as well, and may be read first.
    pub fn is_catching_up(&self, now: Duration) -> bool {
        let has_just_woken = !self.has_heard && now < self.woke_at + BEHIND_MAX;
        has_just_woken || now >= self.round_at + STILL_MIN
    }

    /// Tells whether what comes now may be older than it says.
    pub fn may_receive_stale(&self, now: Duration) -> bool {
        now < self.leftovers_until || now >= self.round_at + STILL_MIN
    }
}

//! Whether this process stood still: frozen, or with its VM suspended. No I/O.
//!
//! What peers had said before lies in its sockets on waking, and is as old as the pause; nothing in it says so.
//!
//! ```
//! use {fernring_gateway::stillness::Stillness, std::time::Duration};
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

/// When this process last ran.
#[derive(Debug, Clone, Copy)]
pub struct Stillness {
    round_at: Duration,
    leftovers_until: Duration,
}

impl Stillness {
    /// Starts with a process that runs.
    pub fn new(now: Duration) -> Self {
        Self { round_at: now, leftovers_until: Duration::ZERO }
    }

    /// Takes in that a round begins, several of which do in a second; tells how long the process stood still.
    pub fn round(&mut self, now: Duration) -> Option<Duration> {
        let gap = now.saturating_sub(self.round_at);
        self.round_at = now;
        if gap < STILL_MIN {
            return None;
        }
        self.leftovers_until = now + LEFTOVER_TIME;
        Some(gap)
    }

    /// Tells whether what comes now may be older than it says.
    pub fn hears_leftovers(&self, now: Duration) -> bool {
        now < self.leftovers_until || now >= self.round_at + STILL_MIN
    }
}

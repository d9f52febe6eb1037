//! Decides how fresh a node's copy of a topic of the store is, and whether the node has to read the
//! store itself.
//!
//! One node of each failure domain reads the store; the others rely on its heartbeats. The first of
//! these readers reads often, and its responses confirm the state of all nodes. The others read
//! seldom; they are there so that a domain behind a network partition has a reader. Only a node
//! that has read the store itself reports how long ago that was. A node whose state hasn't been
//! confirmed for a while reads too, so a reader that is lost or has no connection to the store
//! causes a short delay and never exceeds the bound on the age of the configuration.
//!
//! In a large fleet that holds for the delegates ([`crate::delegates`]), whose heartbeats reach all
//! nodes. The followers leave them time to read and to confirm the state of all, and spread their
//! own reads by the size of the fleet. If all nodes read at once, their responses alone occupy the
//! store's link for longer than they wait, and repeated reads keep it occupied.
//!
//! ```
//! use {
//!     fernring_gateway::{freshness::{Freshness, STALE_AFTER}, members::ReaderRole},
//!     std::time::Duration,
//! };
//!
//! let now = Duration::from_secs(10);
//! let mut freshness = Freshness::new(0.0);
//! assert!(freshness.should_read(now, ReaderRole::None), "nothing is known yet");
//! freshness.record_confirmation(now);
//! assert!(!freshness.should_read(now, ReaderRole::None));
//! assert!(freshness.should_read(now + STALE_AFTER, ReaderRole::None));
//! ```

use {
    crate::members::ReaderRole,
    std::{ops::Range, time::Duration},
};

/// How long one read of the first reader waits for a record. Each response confirms the state of
/// all nodes.
const FIRST_READ_WAIT: Range<Duration> = Duration::from_millis(600)..Duration::from_millis(850);
/// How long one read of another reader waits for a record: longer, to save calls to the store.
const READ_WAIT: Range<Duration> = Duration::from_millis(3_000)..Duration::from_millis(4_000);
/// Age from which on a reader no longer relies on the first one: the longest wait of the first
/// reader, two heartbeats, and a margin.
pub const DOUBT_AFTER: Duration = Duration::from_millis(1_150);
/// Age from which on any node reads the store. Together with the read it stays within the two
/// seconds in which users want a configuration in force, and it leaves a reader time to read and to
/// send its heartbeat.
pub const STALE_AFTER: Duration = Duration::from_millis(1_450);
/// Period over which nodes that become stale together spread their reads; the first one that gets
/// a response confirms the state of the others.
const STALE_SPREAD: Duration = Duration::from_millis(250);
/// Time in which a delegate that stands in confirms the state of its followers: the spread of the
/// delegates' reads, a read, and a heartbeat.
const DELEGATE_STAND_IN_TIME: Duration = Duration::from_millis(600);
/// Step from one draw of a follower to the next, which spreads them evenly.
const FOLLOWER_DRAW_STEP: f64 = 0.618;
/// How long a delegate keeps reading after it had to stand in for its reader.
const STAND_IN_TIME: Duration = Duration::from_secs(3);

/// When one topic was last confirmed and read.
#[derive(Debug, Clone)]
pub struct Freshness {
    /// Last confirmation, by a read of this node or by a peer's report of its own read.
    confirmed_at: Option<Duration>,
    read_at: Option<Duration>,
    stand_in_until: Duration,
    stale_after: Duration,
    /// From 0 to 1; spreads the reads of many nodes.
    draw: f64,
    /// Period over which followers spread their reads; `None` on a delegate.
    follower_spread: Option<Duration>,
}

impl Freshness {
    /// Creates the state of a topic that was never read. `draw` is a random number from 0 to 1 that
    /// spreads the reads of many nodes over time.
    pub fn new(draw: f64) -> Self {
        let draw = draw.clamp(0.0, 1.0);
        Self {
            confirmed_at: None,
            read_at: None,
            stand_in_until: Duration::ZERO,
            stale_after: STALE_AFTER + STALE_SPREAD.mul_f64(draw),
            draw,
            follower_spread: None,
        }
    }

    /// Sets the period over which the followers of the fleet spread their reads if the delegates
    /// don't confirm their state; `None` on a delegate, which reads first.
    pub fn set_follower_spread(&mut self, spread: Option<Duration>) {
        self.follower_spread = spread;
    }

    /// Records that this node's state of the topic was the newest at `at`.
    pub fn record_confirmation(&mut self, at: Duration) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Records that the store responded to a read of this node.
    pub fn record_read(&mut self, now: Duration, role: ReaderRole) {
        if role == ReaderRole::None && self.confirmed_at.is_some() && self.is_stale(now) {
            match self.follower_spread {
                None => self.stand_in_until = now + STAND_IN_TIME,
                // Its reads confirm the state of no other node. The next time others read first.
                Some(_) => self.draw = (self.draw + FOLLOWER_DRAW_STEP).fract(),
            }
        }
        self.read_at = Some(now);
        self.record_confirmation(now);
    }

    /// Returns the age that heartbeats report: the time since this node itself last read the store.
    /// Ages received from peers aren't passed on: each hop leaves out its transit time, so among
    /// many nodes ages would hardly grow (with 78 nodes and 1 to 8 ms of transit, nodes began to
    /// doubt their state after 6.6 s instead of 1.7 s).
    pub fn reported_age(&self, now: Duration) -> Option<Duration> {
        self.read_at.map(|at| now.saturating_sub(at))
    }

    /// Returns the time since the last confirmation; `None` if there was none.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.confirmed_at.map(|at| now.saturating_sub(at))
    }

    /// Returns whether this node's state may be out of date, so that the node has to read the
    /// store.
    pub fn is_stale(&self, now: Duration) -> bool {
        self.age(now).is_none_or(|age| age >= self.stale_after)
    }

    /// Returns whether this node has to read the store in place of its readers.
    fn has_to_stand_in(&self, now: Duration) -> bool {
        let follower_delay = self
            .follower_spread
            .map_or(Duration::ZERO, |spread| DELEGATE_STAND_IN_TIME + spread.mul_f64(self.draw));
        self.age(now).is_none_or(|age| age >= self.stale_after + follower_delay)
    }

    /// Returns the time until [`Freshness::needs_confirmation`] holds.
    pub fn time_until_doubt(&self, now: Duration) -> Duration {
        self.age(now).map_or(Duration::ZERO, |age| DOUBT_AFTER.saturating_sub(age))
    }

    /// Returns how long a read waits for a record, given a wait drawn from [`read_wait`]. The first
    /// reader shortens it, so that its next confirmation comes before the others doubt their state:
    /// when a full wait followed a pause to coalesce records, the state of all nodes was 1.45 s old
    /// at its end, and each of them read the store itself for three seconds.
    pub fn read_wait_of(&self, now: Duration, role: ReaderRole, drawn: Duration) -> Duration {
        match role {
            ReaderRole::Primary => drawn.min(self.time_until_doubt(now)),
            ReaderRole::Domain | ReaderRole::Standalone | ReaderRole::None => drawn,
        }
    }

    /// Returns whether a reader no longer waits for others to confirm its state and reads at once.
    pub fn needs_confirmation(&self, now: Duration) -> bool {
        self.age(now).is_none_or(|age| age >= DOUBT_AFTER)
    }

    /// Returns whether this node should read the store now.
    pub fn should_read(&self, now: Duration, role: ReaderRole) -> bool {
        role != ReaderRole::None || now < self.stand_in_until || self.has_to_stand_in(now)
    }
}

/// Returns the range from which the wait of a read for a record is drawn.
pub fn read_wait(role: ReaderRole) -> Range<Duration> {
    match role {
        // A node that stands in for the readers confirms the state of others, as the first reader
        // does.
        ReaderRole::Primary | ReaderRole::None => FIRST_READ_WAIT,
        // No other node depends on the responses that a lone node gets.
        ReaderRole::Domain | ReaderRole::Standalone => READ_WAIT,
    }
}

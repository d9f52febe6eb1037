//! How well a node knows what a topic of the store holds, and whether it has to read it itself.
//!
//! One node of each failure domain reads; the others follow its heartbeats. The first of these readers asks
//! often, and its answers confirm what all nodes know; the others ask seldom, so that a domain that is cut
//! off has one. Only who has read the store says how long ago that was. Whoever has had no sign for a while that
//! what it knows is the newest asks too, so a reader that is lost, or cut off from the store, costs a moment and
//! never the configuration's bound.
//!
//! ```
//! use {
//!     fernring_gateway::{freshness::{Freshness, STALE_AFTER}, members::ReaderPart},
//!     std::time::Duration,
//! };
//!
//! let now = Duration::from_secs(10);
//! let mut freshness = Freshness::new(0.0);
//! assert!(freshness.shall_read(now, ReaderPart::None), "nothing is known yet");
//! freshness.confirmed(now);
//! assert!(!freshness.shall_read(now, ReaderPart::None));
//! assert!(freshness.shall_read(now + STALE_AFTER, ReaderPart::None));
//! ```

use {
    crate::members::ReaderPart,
    std::{ops::Range, time::Duration},
};

/// Wait of one read of the first reader for a record. Each answer confirms what all nodes know.
const FIRST_READ_WAIT: Range<Duration> = Duration::from_millis(600)..Duration::from_millis(850);
/// Wait of one read of another reader: as long as the calls to the store that it saves are worth it.
const READ_WAIT: Range<Duration> = Duration::from_millis(3_000)..Duration::from_millis(4_000);
/// Age from which on a reader doesn't wait any more for the first one: the longest wait of that
/// one, two heartbeats, and a little.
pub const DOUBT_AFTER: Duration = Duration::from_millis(1_150);
/// Age from which on any node asks. With the reading it stays within the two seconds in which the
/// users want a configuration in force, and leaves a reader time to ask and tell.
pub const STALE_AFTER: Duration = Duration::from_millis(1_450);
/// Over how much time nodes that become stale together spread their reads; the first that is
/// answered tells the others.
const STALE_SPREAD: Duration = Duration::from_millis(250);
/// How long a node goes on reading that had to stand in for its reader.
const STAND_IN_TIME: Duration = Duration::from_secs(3);

/// What is known of one topic.
#[derive(Debug, Clone)]
pub struct Freshness {
    /// By an own read, or by a peer that told of its own.
    confirmed_at: Option<Duration>,
    read_at: Option<Duration>,
    stand_in_until: Duration,
    stale_after: Duration,
}

impl Freshness {
    /// Starts with nothing known. `draw`, from 0 to 1, spreads the nodes.
    pub fn new(draw: f64) -> Self {
        let patience = STALE_AFTER + STALE_SPREAD.mul_f64(draw.clamp(0.0, 1.0));
        Self { confirmed_at: None, read_at: None, stand_in_until: Duration::ZERO, stale_after: patience }
    }

    /// Takes in that what is known here was the newest at some time.
    pub fn record_confirmation(&mut self, at: Duration) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Takes in that the store answered a read of this node.
    pub fn record_read(&mut self, now: Duration, part: ReaderPart) {
        if part == ReaderPart::None && self.confirmed_at.is_some() && self.is_stale(now) {
            self.stand_in_until = now + STAND_IN_TIME;
        }
        self.read_at = Some(now);
        self.record_confirmation(now);
    }

    /// Returns the age that peers are told: the time since this node itself read the store last. What it has
    /// heard isn't told on: each hop leaves out the time on the way, so that among many nodes ages grow
    /// hardly at all (with 78 of them and 1 to 8 ms on the way, doubt came after 6.6 s in place of 1.7 s).
    pub fn reported_age(&self, now: Duration) -> Option<Duration> {
        self.read_at.map(|at| now.saturating_sub(at))
    }

    /// Returns the time since what is known was last the newest for sure; `None` if nothing is known.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.confirmed_at.map(|at| now.saturating_sub(at))
    }

    /// Tells whether what is known may be out of date.
    pub fn is_stale(&self, now: Duration) -> bool {
        self.age(now).is_none_or(|age| age >= self.stale_after)
    }

    /// Returns the time until a reader is in doubt.
    pub fn time_until_doubt(&self, now: Duration) -> Duration {
        self.age(now).map_or(Duration::ZERO, |age| DOUBT_AFTER.saturating_sub(age))
    }

    /// Returns how long a read waits for a record, of what was drawn from [`read_wait`]. The first reader has to say
    /// again that nothing is new before others doubt it: after a pause in which records gathered, a whole wait ended
    /// when what all nodes knew was 1.45 s old, and each of them read by itself for three seconds.
    pub fn read_wait_of(&self, now: Duration, part: ReaderPart, drawn: Duration) -> Duration {
        match part {
            ReaderPart::First => drawn.min(self.time_until_doubt(now)),
            ReaderPart::OfDomain | ReaderPart::Alone | ReaderPart::None => drawn,
        }
    }

    /// Tells whether a reader doesn't wait any longer for others to confirm what is known.
    pub fn needs_confirmation(&self, now: Duration) -> bool {
        self.age(now).is_none_or(|age| age >= DOUBT_AFTER)
    }

    /// Tells whether this node reads the store now.
    pub fn should_read(&self, now: Duration, part: ReaderPart) -> bool {
        part != ReaderPart::None || now < self.stand_in_until || self.is_stale(now)
    }
}

/// Returns how long a read waits for a record.
pub fn read_wait(part: ReaderPart) -> Range<Duration> {
    match part {
        // Who stands in for the readers confirms what others know, as the first reader does.
        ReaderPart::First | ReaderPart::None => FIRST_READ_WAIT,
        // Nobody but this node depends on what a lone one hears.
        ReaderPart::OfDomain | ReaderPart::Alone => READ_WAIT,
    }
}

//! How a node keeps up with a topic of the store through its peers: whom it asks, and when, for what they know
//! and it doesn't; what it passes on when it is asked; and what it tells of how fresh its knowledge is.
//!
//! Load it answers: a configuration of hundreds of kilobytes that a few readers have and scores of nodes want at
//! once. Inputs: the marks and ages of heartbeats, a fifth of a second old; questions of peers; own reads.
//!
//! ```
//! use {
//!     fernring_gateway::following::{Following, Reply},
//!     std::time::Duration,
//! };
//!
//! let now = Duration::from_secs(10);
//! let mut following = Following::new(0.0);
//! assert!(following.heard(now, 3, 4, None), "the peer knows more");
//! assert!(!following.heard(now, 3, 4, None), "one question at a time");
//! assert_eq!(following.asked(now, 1_000), Reply::Record);
//! ```

use {
    crate::{
        freshness::Freshness,
        members::{HEARTBEAT_INTERVAL, ReaderPart},
    },
    std::time::Duration,
};

/// Shortest time between two questions to peers for what they know and this node doesn't.
const ASK_INTERVAL: Duration = Duration::from_millis(150);
/// Records that are sent to peers within an interval, in bytes: a quarter of the smallest link that is in use,
/// 10 Mbit/s. Nodes that have got them pass them on in turn.
const SENT_BYTES_MAX: usize = 64 << 10;
/// The interval.
const SENT_INTERVAL: Duration = HEARTBEAT_INTERVAL;

/// What a node says to a peer that asks for a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reply {
    /// Here it is.
    Record,
    /// Too much was sent just now.
    PutOff,
}

/// How long a node has known that it is behind, and what it did about it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Behind {
    /// When it first heard of something newer.
    pub since: Option<Duration>,
    /// Questions to peers since.
    pub asked: u32,
    /// How many of them were put off.
    pub put_off: u32,
}

/// What a node knows of one topic, and from whom.
#[derive(Debug, Clone)]
pub struct Following {
    freshness: Freshness,
    ask_at: Duration,
    /// Since when records were sent to peers, and how many bytes.
    sent: (Duration, usize),
    behind: Behind,
}

impl Following {
    /// Starts with nothing known. `draw`, from 0 to 1, spreads the nodes.
    pub fn new(draw: f64) -> Self {
        Self {
            freshness: Freshness::new(draw),
            ask_at: Duration::ZERO,
            sent: Default::default(),
            behind: Behind::default(),
        }
    }

    /// Returns how well the topic is known.
    pub fn freshness(&self) -> &Freshness {
        &self.freshness
    }

    /// Returns how long the node has been behind.
    pub fn behind(&self) -> Behind {
        self.behind
    }

    /// Takes in that the store answered a read of this node.
    pub fn was_read(&mut self, now: Duration, part: ReaderPart) {
        self.freshness.was_read(now, part);
    }

    /// Takes in that what is known here was the newest at some time, by what a peer says.
    pub fn confirmed(&mut self, at: Duration) {
        self.freshness.confirmed(at);
    }

    /// Takes in that something newer is known now, a record of so many bytes.
    pub fn caught_up(&mut self, _bytes: usize) {
        self.behind = Behind::default();
    }

    /// Returns the age that peers are told.
    pub fn told_age(&self, now: Duration) -> Option<Duration> {
        self.freshness.told_age(now)
    }

    /// Takes in how far a peer knows the topic (`mark`) and the age that it tells, with how far this node
    /// knows it (`own`); tells whether the peer is to be asked for what is new.
    pub fn heard(&mut self, now: Duration, own: u64, mark: u64, age: Option<Duration>) -> bool {
        if mark == own
            && let Some(age) = age
        {
            self.confirmed(now.saturating_sub(age));
        }
        if mark <= own {
            return false;
        }
        self.behind.since.get_or_insert(now);
        if now < self.ask_at {
            return false;
        }
        self.ask_at = now + ASK_INTERVAL;
        self.behind.asked += 1;
        true
    }

    /// Takes in that a peer put the question off. `draw`, from 0 to 1, spreads the nodes.
    pub fn put_off(&mut self, _now: Duration, _draw: f64) {
        self.behind.put_off += 1;
    }

    /// Takes in a peer's question for a record of so many bytes, and returns what it is told.
    pub fn asked(&mut self, now: Duration, bytes: usize) -> Reply {
        let (since, sent) = self.sent;
        let (since, sent) = if now < since + SENT_INTERVAL { (since, sent) } else { (now, 0) };
        if sent > 0 && sent + bytes > SENT_BYTES_MAX {
            return Reply::PutOff;
        }
        self.sent = (since, sent + bytes);
        Reply::Record
    }
}

//! When a node that has just started reads on in a topic that takes many calls. No I/O.
//!
//! The load that this answers: all nodes of a fleet start at once before thousands of upstreams, whose records are some
//! twenty pages of the store. Read by each node, they are fifty thousand calls, which the store refuses in part, and what is
//! refused is asked for again. The first page, five hundred records, is enough to begin to serve with. Then a node
//! waits: a few read on, and the others get the records from peers that have them. How many nodes wait isn't known to any of
//! them, so waits are drawn such that the first of many is over early and others still have time to hear of it; nodes
//! with large links, which can pass the records on to many, wait less.
//!
//! Inputs: the node's own link; whether a peer was heard that knows more, a heartbeat old.

use std::time::Duration;

/// The longest wait of a node with a small link.
const FULL_READ_DELAY_MAX: Duration = Duration::from_secs(6);
/// The wait is the longest of so many draws: of a thousand nodes the first is through after a third of the longest wait, and few
/// follow it within the time that a reading takes.
const DRAWS: f64 = 6.0;
/// A link whose nodes wait longest, in bytes a second: 10 Mbit/s.
const SMALL_LINK_BYTES_PER_S: f64 = 1.25e6;
/// Time for a peer that knows more to pass the records on, or to say that it has others to serve first.
const PEER_TRANSFER_TIME: Duration = Duration::from_secs(2);
/// The longest wait for peers.
const PEER_WAIT_MAX: Duration = Duration::from_secs(10);

/// A node that has read the first page of a topic.
#[derive(Debug, Clone, Copy)]
pub struct Bootstrap {
    started_at: Duration,
    due_at: Duration,
}

impl Bootstrap {
    /// Starts the wait of a node with a link; `draw` is drawn from 0 to 1.
    pub fn new(now: Duration, link_bytes_per_s: f64, draw: f64) -> Self {
        let links = (link_bytes_per_s / SMALL_LINK_BYTES_PER_S).max(1.0);
        let part = draw.clamp(0.0, 1.0).powf(1.0 / DRAWS) / (1.0 + links.ln());
        Self { started_at: now, due_at: now + FULL_READ_DELAY_MAX.mul_f64(part) }
    }

    /// Tells whether the node reads on by itself. `heard_at` is when it first heard of a peer that knows more, or was last put off
    /// by one.
    pub fn shall_read_on(&self, now: Duration, heard_at: Option<Duration>) -> bool {
        let passed_on_at = heard_at.map_or(Duration::ZERO, |heard_at| heard_at + PEER_TRANSFER_TIME);
        now >= self.due_at.max(passed_on_at.min(self.started_at + PEER_WAIT_MAX))
    }
}

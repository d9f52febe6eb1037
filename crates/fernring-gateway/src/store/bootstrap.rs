//! Decides when a node that has just started reads the remaining pages of a large topic itself. No
//! I/O.
//!
//! Handles the simultaneous start of all nodes of a fleet with thousands of upstreams, whose
//! records fill some twenty pages of the store. If each node read all pages, that would be fifty
//! thousand calls, of which the store refuses some, and refused calls are retried. The first page,
//! five hundred records, is enough to start serving. After it a node waits: a few nodes read the
//! remaining pages, and the others receive the records from them. No node knows how many others
//! wait, so the delays are drawn such that the first of many ends early and the others still have
//! time to receive its heartbeat. Nodes with fast links, which can send the records to many peers,
//! wait less.
//!
//! Inputs: the node's own link; whether a peer is known to be ahead, from heartbeats.

use std::time::Duration;

/// Longest delay of a node with a slow link.
const FULL_READ_DELAY_MAX: Duration = Duration::from_secs(6);
/// The delay is the maximum of this many uniform draws: of a thousand nodes the first is done after
/// a third of the longest delay, and few follow it within the time that a full read takes.
const DRAWS: f64 = 6.0;
/// Link speed, in bytes per second, up to which nodes wait longest: 10 Mbit/s.
const SMALL_LINK_BYTES_PER_S: f64 = 1.25e6;
/// Time in which a peer that is ahead sends the records, or defers the request because it serves
/// others first.
const PEER_TRANSFER_TIME: Duration = Duration::from_secs(2);
/// Longest wait for peers.
const PEER_WAIT_MAX: Duration = Duration::from_secs(10);

/// The delay of a node that has read only the first page of a topic.
#[derive(Debug, Clone, Copy)]
pub struct Bootstrap {
    started_at: Duration,
    due_at: Duration,
}

impl Bootstrap {
    /// Starts the delay of a node with a link of this speed. `draw` is a random number from 0 to 1.
    pub fn new(now: Duration, link_bytes_per_s: f64, draw: f64) -> Self {
        let links = (link_bytes_per_s / SMALL_LINK_BYTES_PER_S).max(1.0);
        let fraction = draw.clamp(0.0, 1.0).powf(1.0 / DRAWS) / (1.0 + links.ln());
        Self { started_at: now, due_at: now + FULL_READ_DELAY_MAX.mul_f64(fraction) }
    }

    /// Returns whether the node reads the remaining pages itself. `peer_ahead_at` is when a peer
    /// was first known to be ahead, or last deferred a request.
    pub fn should_read_on(&self, now: Duration, peer_ahead_at: Option<Duration>) -> bool {
        let transfer_due_at =
            peer_ahead_at.map_or(Duration::ZERO, |ahead_at| ahead_at + PEER_TRANSFER_TIME);
        now >= self.due_at.max(transfer_due_at.min(self.started_at + PEER_WAIT_MAX))
    }
}

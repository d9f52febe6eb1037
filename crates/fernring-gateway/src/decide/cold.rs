//! Limits what is sent to a cold upstream: one that has just started, or lost its warm caches. No
//! I/O.
//!
//! Handles the return of a failure domain with all its upstreams cold, while one of them is the
//! home of a popular prompt. A cold upstream bears a few requests per second from all nodes
//! together and crashes under more. Nodes can't coordinate each send, so two rules bound the sum.
//! Cold upstreams are left out while others can do the work. Where they can't, each node gets a
//! *permit* for a cold upstream only in some seconds, drawn by a hash, so that the permits of all
//! nodes add up to a sixth of the bound. In the worst second, in which every node uses a saved
//! permit and then the next one, a third is expected. A node that underestimates the number of nodes
//! would use too many permits: therefore the largest number known in the last ten minutes counts,
//! and a node that has just started gets none.

use {
    crate::{model::ColdRateLimit, position::Position},
    std::time::Duration,
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// The permits of all nodes add up to the bound divided by this.
const PERMIT_DIVISOR: f64 = 6.0;
/// The window for which permits are drawn, and for which the bound holds.
const WINDOW: Duration = Duration::from_secs(1);
/// Time after its start in which a node gets no permit, because it doesn't know the number of nodes
/// yet.
pub const STARTUP_TIME: Duration = Duration::from_secs(3);
/// How long the largest number of nodes is remembered. Nodes beyond a network partition are
/// unreachable, but still send.
const NODES_REMEMBERED: Duration = Duration::from_secs(600);
/// Time after a refused connection within which the record of a restarted process should arrive:
/// three of its heartbeats plus the time to read the record.
const RECORD_DELAY_MAX: Duration = Duration::from_secs(4);

/// The largest number of nodes known in the last ten minutes.
#[derive(Debug, Clone, Copy, Default)]
pub struct PeakNodeCount {
    peak: usize,
    seen_at: Duration,
}

impl PeakNodeCount {
    /// Records the number of nodes known now, including this one.
    pub fn record(&mut self, now: Duration, nodes: usize) {
        if nodes >= self.peak || now > self.seen_at + NODES_REMEMBERED {
            *self = Self { peak: nodes, seen_at: now };
        }
    }

    /// Returns the largest recent number, at least 1.
    pub fn peak(&self) -> usize {
        self.peak.max(1)
    }
}

/// Permits of one node for one cold upstream.
#[derive(Debug, Clone, Copy, Default)]
pub struct ColdPermits {
    /// Window in which `used` permits were used.
    window: u64,
    used: u32,
}

/// The node that needs a permit, and the upstream.
#[derive(Debug, Clone, Copy)]
pub struct PermitScope {
    /// Identity of the node.
    pub node: u64,
    /// Identity of the upstream's incarnation.
    pub upstream: u64,
    /// Number of nodes that share the upstream.
    pub nodes: usize,
}

impl ColdPermits {
    /// Returns whether a permit is left.
    pub fn has_permit(&self, now: Duration, limit: &ColdRateLimit, scope: PermitScope) -> bool {
        let window = window(now, scope);
        let used = if window == self.window { self.used } else { 0 };
        used < permits_in(window, limit, scope)
    }

    /// Uses a permit; returns whether one was left.
    pub fn try_acquire(
        &mut self,
        now: Duration,
        limit: &ColdRateLimit,
        scope: PermitScope,
    ) -> bool {
        if !self.has_permit(now, limit, scope) {
            return false;
        }
        let window = window(now, scope);
        let used = if window == self.window { self.used } else { 0 };
        *self = Self { window, used: used + 1 };
        true
    }
}

/// Returns the window of a moment. The windows of the nodes start at different moments.
fn window(now: Duration, scope: PermitScope) -> u64 {
    let shift_ms = scope.node % WINDOW.as_millis() as u64;
    (now.as_millis() as u64 + shift_ms) / WINDOW.as_millis() as u64
}

/// Returns the permits of a node in a window.
fn permits_in(window: u64, limit: &ColdRateLimit, scope: PermitScope) -> u32 {
    let share = limit.max_in_window(WINDOW) / PERMIT_DIVISOR / scope.nodes.max(1) as f64;
    let draw =
        xxh3_64_with_seed(&window.to_le_bytes(), scope.node ^ scope.upstream.rotate_left(32));
    let draw = (draw >> 11) as f64 / (1u64 << 53) as f64;
    share as u32 + u32::from(draw < share.fract())
}

/// A refused connection to an upstream's address: the next process that listens there has just
/// started, though its record may not show it yet.
#[derive(Debug, Clone, Copy)]
pub struct RefusedConnection {
    at: Duration,
    /// Position of the upstream's record at that time.
    record_at: Position,
    responded_at: Option<Duration>,
}

impl RefusedConnection {
    /// Records that a connection was refused.
    pub fn new(now: Duration, record_at: Position) -> Self {
        Self { at: now, record_at, responded_at: None }
    }

    /// Records that the upstream has responded.
    pub fn record_response(&mut self, now: Duration) {
        self.responded_at.get_or_insert(now);
    }

    /// Returns whether the upstream, whose newest record is at `record_at`, counts as cold: until a
    /// newer record shows its state, or for the time of a cold start after its first response.
    pub fn is_cold(&self, now: Duration, record_at: Position, cold_start: Duration) -> bool {
        let until = match self.responded_at {
            Some(responded_at) => responded_at + cold_start,
            None => self.at + RECORD_DELAY_MAX + cold_start,
        };
        record_at <= self.record_at && now < until
    }
}

//! How much a cold upstream is sent: one that has just started, or lost its warmth. No I/O.
//!
//! The load that this answers: a failure domain comes back with all its upstreams cold, while a popular prompt has its home
//! on one of them. A cold upstream bears a few requests a second from all nodes together, and ends under more. Nodes can't
//! agree on each send, so two things keep the sum: cold upstreams are left out while others can do the work, and where they
//! can't, each node has a *turn* at a cold upstream in some seconds only, drawn by a hash, so that the nodes' turns add up
//! to a sixth of the bound. In the worst second, in which all use a turn that they had saved and then the next one, a third
//! is expected. Under virtual time, with all nodes trying each 10 ms after a lull, the most in any second were 14 of 18.65
//! over 9 and over 89 nodes and 11 over 300 (`tests/testsuite/cold.rs`). A node that counts too few others would take too many turns:
//! the most that were known of in the last ten minutes count, and a node that has just started takes none.

use {
    crate::{model::ColdRateLimit, position::Position},
    std::time::Duration,
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// Part of the bound that the turns of all nodes add up to, as one of so many.
const TURN_PARTS: f64 = 6.0;
/// The time for which turns are drawn, in which the bound counts.
const WINDOW: Duration = Duration::from_secs(1);
/// Time after its start in which a node takes no turn: it doesn't know yet how many others there are.
pub const START_TIME: Duration = Duration::from_secs(3);
/// How long the largest number of nodes is remembered. Nodes behind a cut are not heard, and send all the same.
const NODES_REMEMBERED: Duration = Duration::from_secs(600);
/// Time after a refused connection in which the record of a process that has started again should have come: three of
/// its heartbeats and what the reading takes.
const RECORD_TIME: Duration = Duration::from_secs(4);

/// The most nodes that were known of, of late.
#[derive(Debug, Clone, Copy, Default)]
pub struct MostNodes {
    most: usize,
    seen_at: Duration,
}

impl MostNodes {
    /// Takes in how many nodes are known of now, this one included.
    pub fn saw(&mut self, now: Duration, nodes: usize) {
        if nodes >= self.most || now > self.seen_at + NODES_REMEMBERED {
            *self = Self { most: nodes, seen_at: now };
        }
    }

    /// Returns the number that counts.
    pub fn most(&self) -> usize {
        self.most.max(1)
    }
}

/// The turns of one node at one cold upstream.
#[derive(Debug, Clone, Copy, Default)]
pub struct Turns {
    /// The window that `used` belongs to.
    window: u64,
    used: u32,
}

/// Who asks for a turn, and where.
#[derive(Debug, Clone, Copy)]
pub struct Asker {
    /// Identity of the node.
    pub node: u64,
    /// Identity of the start of the upstream.
    pub upstream: u64,
    /// Nodes that share the upstream.
    pub nodes: usize,
}

impl Turns {
    /// Tells whether a turn is left.
    pub fn has_turn(&self, now: Duration, bounds: &ColdRateLimit, asker: Asker) -> bool {
        let window = window(now, asker);
        let used = if window == self.window { self.used } else { 0 };
        used < allowed(window, bounds, asker)
    }

    /// Takes a turn; tells whether one was left.
    pub fn take(&mut self, now: Duration, bounds: &ColdRateLimit, asker: Asker) -> bool {
        if !self.has_turn(now, bounds, asker) {
            return false;
        }
        let window = window(now, asker);
        let used = if window == self.window { self.used } else { 0 };
        *self = Self { window, used: used + 1 };
        true
    }
}

/// Returns the window of a moment. The nodes' windows begin at different moments.
fn window(now: Duration, asker: Asker) -> u64 {
    let shift_ms = asker.node % WINDOW.as_millis() as u64;
    (now.as_millis() as u64 + shift_ms) / WINDOW.as_millis() as u64
}

/// Returns the turns of a node in a window.
fn allowed(window: u64, bounds: &ColdRateLimit, asker: Asker) -> u32 {
    let share = bounds.max_in_window(WINDOW) / TURN_PARTS / asker.nodes.max(1) as f64;
    let draw =
        xxh3_64_with_seed(&window.to_le_bytes(), asker.node ^ asker.upstream.rotate_left(32));
    let draw = (draw >> 11) as f64 / (1u64 << 53) as f64;
    share as u32 + u32::from(draw < share.fract())
}

/// That nobody listened at an upstream's address: what listens there next has just started, though its record may not
/// say so yet.
#[derive(Debug, Clone, Copy)]
pub struct NoListener {
    at: Duration,
    /// Position of the upstream's record then.
    record_at: Position,
    accepted_at: Option<Duration>,
}

impl NoListener {
    /// Takes in that a connection was refused.
    pub fn new(now: Duration, record_at: Position) -> Self {
        Self { at: now, record_at, accepted_at: None }
    }

    /// Takes in that the upstream has answered.
    pub fn answered(&mut self, now: Duration) {
        self.accepted_at.get_or_insert(now);
    }

    /// Tells whether the upstream has to be taken for cold, whose newest record lies at `record_at`: until a newer record
    /// says what is so, or for the time of a cold start after it has answered again.
    pub fn is_cold(&self, now: Duration, record_at: Position, cold_start: Duration) -> bool {
        let until = match self.accepted_at {
            Some(accepted_at) => accepted_at + cold_start,
            None => self.at + RECORD_TIME + cold_start,
        };
        record_at <= self.record_at && now < until
    }
}

//! Which of a node's requests go to an ordered version. No I/O.
//!
//! Hundreds of nodes that each draw by themselves must not exceed the share together, and nodes with a few requests each
//! must not send their first ones there all at once. So each node counts, from a starting point that is drawn: over all nodes the
//! exposed part is the share from the first request on.

/// Counts towards the next request for the ordered version.
#[derive(Debug, Clone, Copy)]
pub struct ShareSampler {
    /// Invariant: from 0 to 1 between two requests.
    credit: f64,
}

impl ShareSampler {
    /// Starts at a point from 0 to 1, which is drawn.
    pub fn new(draw: f64) -> Self {
        Self { credit: draw.clamp(0.0, 0.999) }
    }

    /// Counts a request; tells whether it goes to the ordered version, which gets `share` of them.
    pub fn take(&mut self, share: f64) -> bool {
        self.count(share);
        self.has_turn() && self.spend()
    }

    /// Counts a request, whichever version gets it.
    pub fn count(&mut self, share: f64) {
        // What could not be spent, without an upstream to send to, is lost: it must not pile up to a burst.
        self.credit = (self.credit + share.clamp(0.0, 1.0)).min(1.0);
    }

    /// Tells whether the ordered version may get a request.
    pub fn has_turn(&self) -> bool {
        // Sums of tenths fall short of 1 by rounding.
        self.credit > 1.0 - 1e-9
    }

    /// Takes in that the ordered version gets one.
    pub fn spend(&mut self) -> bool {
        self.credit = 0.0;
        true
    }
}

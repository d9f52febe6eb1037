//! Chooses which of a node's requests go to the destination version of a roll-out. No I/O.
//!
//! Hundreds of nodes that sampled independently of each other could exceed the share together, and
//! nodes with few requests each must not all send their first one to the destination version. So
//! each node adds up the share per request from a random starting point: over all nodes, the
//! sampled part matches the share from the first request on.

/// Adds up the share until the next request for the destination version is due.
#[derive(Debug, Clone, Copy)]
pub struct ShareSampler {
    /// Credit for the next request to the destination version. Invariant: between two requests it
    /// lies from 0 to 1.
    credit: f64,
}

impl ShareSampler {
    /// Creates a sampler whose credit starts at a random number between 0 and 1.
    pub fn new(initial_credit: f64) -> Self {
        Self { credit: initial_credit.clamp(0.0, 0.999) }
    }

    /// Counts a request and returns whether it goes to the destination version, which gets `share`
    /// of all requests.
    pub fn sample(&mut self, share: f64) -> bool {
        self.add_credit(share);
        self.has_credit() && self.spend()
    }

    /// Adds the credit of one request, whichever version gets it.
    pub fn add_credit(&mut self, share: f64) {
        // Credit that can't be spent, for want of an upstream, is capped: it must not pile up to a
        // burst.
        self.credit = (self.credit + share.clamp(0.0, 1.0)).min(1.0);
    }

    /// Returns whether there is credit for a request to the destination version.
    pub fn has_credit(&self) -> bool {
        // Sums of tenths fall short of 1 by rounding.
        self.credit > 1.0 - 1e-9
    }

    /// Spends the credit on a request to the destination version. Always returns `true`.
    pub fn spend(&mut self) -> bool {
        self.credit = 0.0;
        true
    }
}

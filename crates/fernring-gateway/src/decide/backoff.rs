//! Pauses that overloaded upstreams request from this node. No I/O.
//!
//! An upstream that rejects a request may say how long it wants no requests from the node that sent
//! it. The pause concerns this node only; others may send. A later response that requests a shorter
//! pause doesn't end a longer one.

use std::{collections::HashMap, time::Duration};

/// Largest share by which a pause is extended. Nodes that were rejected at the same moment resume at
/// different times, so that the upstream isn't overloaded again at once.
const SPREAD: f64 = 0.2;

/// The pauses in force, by [`crate::model::UpstreamRecord::incarnation_id`].
#[derive(Debug, Default)]
pub struct Backoffs {
    until: HashMap<u64, Duration>,
}

impl Backoffs {
    /// Records that an incarnation requests a pause; `draw` is between 0 and 1. Returns whether this
    /// starts or extends a pause.
    pub fn record(
        &mut self,
        now: Duration,
        incarnation_id: u64,
        pause: Duration,
        draw: f64,
    ) -> bool {
        let until = now + pause.mul_f64(1.0 + SPREAD * draw);
        let before = self.until.get(&incarnation_id).copied().unwrap_or(now);
        if until <= before {
            return false;
        }
        self.until.insert(incarnation_id, until);
        true
    }

    /// Returns how long an incarnation still wants no requests; `None` if it takes some.
    pub fn remaining(&self, now: Duration, incarnation_id: u64) -> Option<Duration> {
        let until = *self.until.get(&incarnation_id)?;
        (now < until).then(|| until - now)
    }

    /// Returns whether no pause is in force.
    pub fn is_empty(&self) -> bool {
        self.until.is_empty()
    }

    /// Returns the number of pauses in force.
    pub fn active_count(&self, now: Duration) -> usize {
        self.until.values().filter(|until| now < **until).count()
    }

    /// Removes the pauses that are over.
    pub fn expire(&mut self, now: Duration) {
        self.until.retain(|_, until| now < *until);
    }
}

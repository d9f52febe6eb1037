//! Bounds how often an upstream has to reject requests for lack of capacity. One node counts for all
//! nodes and is asked before each send. No I/O.
//!
//! Handles brittle upstreams, which crash if they reject more than a few requests within a second.
//! How many requests they accept at once isn't announced and may shrink. The guard learns it from
//! rejections, and keeps those bounded while it learns: a send may still be rejected until it is
//! finished or some time has passed, so sends that are that recent and rejections of the last second
//! together stay within the bound.
//!
//! ```
//! use {fernring_gateway::rejection_guard::RejectionGuard, std::time::Duration};
//!
//! let mut guard = RejectionGuard::new(8);
//! let now = Duration::ZERO;
//! assert!(guard.request(now, 1, 3.0, 0.5).is_ok());
//! assert!(guard.request(now, 2, 3.0, 0.5).is_ok());
//! assert!(guard.request(now, 3, 3.0, 0.5).is_err(), "all three might be rejected");
//! ```

use {
    crate::permit_issuer::PermitDenied,
    std::{
        collections::{BTreeMap, VecDeque},
        time::Duration,
    },
};

/// Time after which a send that wasn't rejected counts as accepted: a rejection takes a few round
/// trips.
const ACCEPTED_AFTER: Duration = Duration::from_millis(250);
/// Time in which rejections count: the second of the bound, and delays on the way.
const REJECTION_WINDOW: Duration = Duration::from_millis(1_200);
/// Time after a rejection in which no more requests than were accepted then are sent.
const GROWTH_PAUSE: Duration = Duration::from_secs(2);
/// Time after which a send counts as finished, if the node that sent it reports nothing.
const SEND_LIFETIME: Duration = Duration::from_secs(60);
/// Time until the next request for a permit.
const RETRY_AFTER: Duration = Duration::from_millis(50);

/// The sends of all nodes to one upstream.
#[derive(Debug)]
pub struct RejectionGuard {
    /// When each send in flight was permitted.
    sends: BTreeMap<u64, Duration>,
    /// When the last requests were rejected.
    rejected_at: VecDeque<Duration>,
    /// Requests that the upstream is assumed to accept at once.
    capacity: usize,
}

impl RejectionGuard {
    /// Creates the guard of an upstream with a number of slots, half of which are assumed to be
    /// usable.
    pub fn new(slots: u32) -> Self {
        let capacity = (slots as usize / 2).max(1);
        Self { sends: BTreeMap::new(), rejected_at: VecDeque::new(), capacity }
    }

    /// Permits a send, or denies it. `rejections_max` is how many requests the upstream may reject
    /// within a second; `draw` between 0 and 1 spreads the next requests for permits.
    ///
    /// # Errors
    /// If the send may not go now.
    pub fn request(
        &mut self,
        now: Duration,
        send: u64,
        rejections_max: f64,
        draw: f64,
    ) -> Result<(), PermitDenied> {
        self.expire(now);
        let recent = self.sends.values().filter(|at| now < **at + ACCEPTED_AFTER).count();
        let may_be_rejected = recent + self.rejected_at.len() + 1;
        // One less than allowed, for a send of a node that doesn't know of the bound yet.
        let bound = (rejections_max.floor() as usize).saturating_sub(1).max(1);
        if self.sends.len() < self.capacity && may_be_rejected <= bound {
            self.sends.insert(send, now);
            return Ok(());
        }
        let retry_after = RETRY_AFTER.mul_f64(1.0 + draw);
        Err(PermitDenied { retry_after, drained_after: retry_after })
    }

    /// Records that a send is finished, and whether it was rejected.
    pub fn finish(&mut self, now: Duration, send: u64, was_rejected: bool) {
        if self.sends.remove(&send).is_none() {
            return;
        }
        if was_rejected {
            self.rejected_at.push_back(now);
            self.capacity = self.sends.len().clamp(1, self.capacity);
        } else if self.is_growing(now) && self.sends.len() + 1 >= self.capacity {
            self.capacity += 1;
        }
    }

    fn is_growing(&self, now: Duration) -> bool {
        self.rejected_at.back().is_none_or(|at| now >= *at + GROWTH_PAUSE)
    }

    fn expire(&mut self, now: Duration) {
        self.sends.retain(|_, at| now < *at + SEND_LIFETIME);
        // The last one is kept, since growth depends on its age.
        while self.rejected_at.len() > 1
            && self.rejected_at.front().is_some_and(|at| now >= *at + REJECTION_WINDOW)
        {
            self.rejected_at.pop_front();
        }
        if self.is_growing(now) {
            self.rejected_at.clear();
        }
    }
}

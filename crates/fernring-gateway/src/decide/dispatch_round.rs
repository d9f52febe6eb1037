//! What is found out once in a round of handing out calls to a service's free makers. No I/O.
//!
//! The load that this answers: a thousand idle makers and a few waiting pieces that are left to makers near their readers. Asked for each
//! maker and piece, the makers of a failure domain would be counted a million times in a round.

use {
    crate::batching::DomainWorkers,
    std::{cell::RefCell, collections::HashMap, sync::Arc},
};

/// The makers of a service by failure domain.
#[derive(Debug, Default)]
pub struct WorkersByDomain {
    known: RefCell<HashMap<Arc<str>, Option<DomainWorkers>>>,
}

impl WorkersByDomain {
    /// Returns the makers of a domain; `count` counts them if that wasn't done.
    pub fn get_or_count(
        &self,
        domain: &str,
        count: impl FnOnce() -> Option<DomainWorkers>,
    ) -> Option<DomainWorkers> {
        let mut known = self.known.borrow_mut();
        if let Some(makers) = known.get(domain) {
            return *makers;
        }
        let makers = count();
        known.insert(domain.into(), makers);
        makers
    }

    /// Forgets what is known of a domain.
    pub fn invalidate(&mut self, domain: &str) {
        self.known.get_mut().remove(domain);
    }
}

/// The makers that got nothing of what waits: others like them get nothing either.
#[derive(Debug, Default)]
pub struct UnservedCapacity {
    /// By failure domain, the most room with which nothing was found.
    rooms: HashMap<Arc<str>, u64>,
}

impl UnservedCapacity {
    /// Takes in that nothing was found for a maker of a domain with some room.
    pub fn record_unserved(&mut self, domain: Arc<str>, room_bytes: u64) {
        let most = self.rooms.entry(domain).or_default();
        *most = room_bytes.max(*most);
    }

    /// Tells whether nothing would be found for a maker of a domain with some room.
    pub fn is_unserved(&self, domain: &str, room_bytes: u64) -> bool {
        self.rooms.get(domain).is_some_and(|most| room_bytes <= *most)
    }
}

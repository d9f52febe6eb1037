//! Caches for one round of dispatching calls to a service's free workers. No I/O.
//!
//! Handles a thousand idle workers and a few queued pieces that are left to workers near their
//! consumers. Without the caches, the workers of a failure domain would be counted for each worker
//! and piece, a million times per round.

use {
    crate::domain_preference::DomainWorkers,
    std::{cell::RefCell, collections::HashMap, sync::Arc},
};

/// The workers of a service by failure domain.
#[derive(Debug, Default)]
pub struct WorkersByDomain {
    cached: RefCell<HashMap<Arc<str>, Option<DomainWorkers>>>,
}

impl WorkersByDomain {
    /// Returns the workers of a domain; `count` counts them if that wasn't done yet.
    pub fn get_or_count(
        &self,
        domain: &str,
        count: impl FnOnce() -> Option<DomainWorkers>,
    ) -> Option<DomainWorkers> {
        let mut cached = self.cached.borrow_mut();
        if let Some(workers) = cached.get(domain) {
            return *workers;
        }
        let workers = count();
        cached.insert(domain.into(), workers);
        workers
    }

    /// Drops the cached workers of a domain.
    pub fn invalidate(&mut self, domain: &str) {
        self.cached.get_mut().remove(domain);
    }
}

/// Workers for which no queued piece was found: similar workers would get none either.
#[derive(Debug, Default)]
pub struct UnservedCapacity {
    /// By failure domain, the largest number of free bytes for which no piece was found.
    free_bytes_by_domain: HashMap<Arc<str>, u64>,
}

impl UnservedCapacity {
    /// Records that no piece was found for a worker of a domain with the given free bytes.
    pub fn record_unserved(&mut self, domain: Arc<str>, free_bytes: u64) {
        let most = self.free_bytes_by_domain.entry(domain).or_default();
        *most = free_bytes.max(*most);
    }

    /// Returns whether no piece would be found for a worker of a domain with the given free bytes.
    pub fn is_unserved(&self, domain: &str, free_bytes: u64) -> bool {
        self.free_bytes_by_domain.get(domain).is_some_and(|most| free_bytes <= *most)
    }
}

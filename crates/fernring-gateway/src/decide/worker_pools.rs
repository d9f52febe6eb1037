//! Assigns workers to owners, and shards a service among several owners when one can't carry its
//! traffic. No I/O.
//!
//! Handles services whose calls exceed the link of their owner. One owner sends the pieces of all
//! nodes for a service to its workers, and a piece carries the handles of all its inputs, so calls
//! may wait at the owner's link. An owner that sends more than a part of its link can carry therefore
//! announces it, and the workers of each failure domain get an owner of their own, until these
//! owners together send little again. Calls of a sharded service are filled less well, so a service
//! isn't sharded without need.
//!
//! Inputs: the bytes of the calls of the last second, and the owners' last heartbeats. Nodes that
//! receive a heartbeat at different moments briefly use different owners, and a worker then gets
//! calls from two owners.

use {
    crate::model::short_hash,
    std::{collections::HashMap, fmt, sync::Arc, time::Duration},
    xxhash_rust::xxh3::xxh3_64,
};

/// Part of its link that an owner's calls may take before its service is sharded: traffic of peers
/// and callers, and bursts within a second, need the rest.
const SHARD_LINK_PART: f64 = 0.4;
/// A sharded service returns to one owner when all its calls together would take less than this
/// part of a link.
const UNSHARD_LINK_PART: f64 = 0.15;
/// How long a service stays sharded after the last owner's report: longer than a lull within a
/// burst of requests, since results known to a previous owner are of no use to the next.
const SHARDED_TIME: Duration = Duration::from_secs(10);
/// Window over which the bytes of calls are counted.
const TRAFFIC_WINDOW: Duration = Duration::from_secs(1);

/// The workers that one owner works with: all workers of a service, or those in one failure domain.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkerPool {
    /// The service.
    pub service: Arc<str>,
    /// The failure domain, if the service is sharded.
    pub failure_domain: Option<Arc<str>>,
}

impl WorkerPool {
    /// Returns the pool of all workers of a service.
    pub fn unsharded(service: Arc<str>) -> Self {
        Self { service, failure_domain: None }
    }

    /// Returns a short hash for heartbeats; for an unsharded service it is the hash of its name.
    pub fn hash(&self) -> u32 {
        match &self.failure_domain {
            None => short_hash(&self.service),
            Some(_) => short_hash(&self.to_string()),
        }
    }

    /// Returns whether the workers in a failure domain belong to the pool.
    pub fn covers_domain(&self, failure_domain: &str) -> bool {
        self.failure_domain.as_ref().is_none_or(|own| **own == *failure_domain)
    }
}

impl fmt::Display for WorkerPool {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.failure_domain {
            None => f.write_str(&self.service),
            Some(domain) => write!(f, "{}/{domain}", self.service),
        }
    }
}

/// Draws one of the failure domains in which a service has workers, weighted by their number. A
/// request has the same draw on all nodes and for all its stages.
pub fn draw_domain(workers: &[(Arc<str>, usize)], request_id: &str) -> Option<Arc<str>> {
    let total: usize = workers.iter().map(|(_, count)| count).sum();
    let mut draw = xxh3_64(request_id.as_bytes()) % total.max(1) as u64;
    for (domain, count) in workers {
        if draw < *count as u64 {
            return Some(domain.clone());
        }
        draw -= *count as u64;
    }
    None
}

/// Bytes of calls over an exponentially decaying window.
#[derive(Debug, Clone, Copy, Default)]
pub struct CallTraffic {
    bytes: f64,
    counted_at: Duration,
}

impl CallTraffic {
    /// Counts a call.
    pub fn add(&mut self, now: Duration, bytes: usize) {
        self.bytes = self.per_s(now) + bytes as f64;
        self.counted_at = now;
    }

    /// Returns the recent bytes per second.
    pub fn per_s(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.counted_at).as_secs_f64();
        self.bytes * (-age / TRAFFIC_WINDOW.as_secs_f64()).exp()
    }
}

/// Returns whether a service should be sharded, or stay sharded, by the traffic of one owner, which
/// carries the whole service or one of `shards`.
pub fn should_shard(bytes_per_s: f64, link_bytes_per_s: f64, shards: Option<usize>) -> bool {
    match shards {
        None => bytes_per_s > SHARD_LINK_PART * link_bytes_per_s,
        Some(shards) => bytes_per_s * shards as f64 > UNSHARD_LINK_PART * link_bytes_per_s,
    }
}

/// The sharded services, as reported by owners.
#[derive(Debug, Default)]
pub struct ShardedServices {
    until: HashMap<u32, Duration>,
}

impl ShardedServices {
    /// Records an owner's report that a service, given by its short hash, should be sharded;
    /// returns whether it wasn't sharded before.
    pub fn record_shard_report(&mut self, now: Duration, service: u32) -> bool {
        self.until.retain(|_, until| now < *until);
        self.until.insert(service, now + SHARDED_TIME).is_none()
    }

    /// Returns whether a service is sharded.
    pub fn is_sharded(&self, now: Duration, service: &str) -> bool {
        !self.until.is_empty()
            && self.until.get(&short_hash(service)).is_some_and(|until| now < *until)
    }
}

//! Which makers an owner works with, and when a service is split between owners. No I/O.
//!
//! The load that this answers: one owner sends the pieces of all nodes for a service to its makers, and a piece brings the
//! handles of all its inputs: 330 bytes for one of eight inputs, 9 Mbit/s at 3,500 pieces a second. On a site whose VMs
//! all have links of 10 Mbit/s no owner bears that: calls wait at its link, and 0.17 of a calm day's worth is earned. So an
//! owner that sends more than a part of its link can carry says so, and each failure domain's makers get an owner of
//! their own until their owners together send little again. Calls are filled less well then, so a service isn't split without need.
//!
//! Inputs: bytes of calls of the last second; what owners say in heartbeats, a fifth of a second old. Nodes that hear it at
//! different moments ask different owners for a moment, and a maker gets calls of two.

use {
    crate::model::short_hash,
    std::{collections::HashMap, fmt, sync::Arc, time::Duration},
    xxhash_rust::xxh3::xxh3_64,
};

/// Part of its link that an owner's calls may take before its service is split: what peers and callers send, and what
/// bunches within a second, needs the rest.
const SPLIT_PART: f64 = 0.4;
/// Part of a link below which all calls of a split service would have to lie for one owner to do.
const JOIN_PART: f64 = 0.15;
/// How long a service stays split after an owner has said so last: longer than a lull of a crowd, since results that are
/// known to an owner of before are of no use to the next.
const SPLIT_TIME: Duration = Duration::from_secs(10);
/// Time over which the bytes of calls are counted.
const CARRIED_WINDOW: Duration = Duration::from_secs(1);

/// The makers that one owner works with: all of a service, or those of one failure domain.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkerPool {
    /// The service.
    pub service: Arc<str>,
    /// The failure domain, where the service is split.
    pub failure_domain: Option<Arc<str>>,
}

impl WorkerPool {
    /// Returns all makers of a service.
    pub fn unsharded(service: Arc<str>) -> Self {
        Self { service, failure_domain: None }
    }

    /// Returns a short hash, for heartbeats: for a whole service that of its name.
    pub fn hash(&self) -> u32 {
        match &self.failure_domain {
            None => short_hash(&self.service),
            Some(_) => short_hash(&self.to_string()),
        }
    }

    /// Tells whether makers of a failure domain belong to it.
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

/// Draws one of the failure domains in which a service has makers, by their numbers. A request has the same draw on all nodes
/// and for all its stages.
pub fn draw_domain(makers: &[(Arc<str>, usize)], request_id: &str) -> Option<Arc<str>> {
    let all: usize = makers.iter().map(|(_, count)| count).sum();
    let mut draw = xxh3_64(request_id.as_bytes()) % all.max(1) as u64;
    for (domain, count) in makers {
        if draw < *count as u64 {
            return Some(domain.clone());
        }
        draw -= *count as u64;
    }
    None
}

/// Counts what calls carry, with a memory that fades.
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

    /// Returns the bytes a second of late.
    pub fn per_s(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.counted_at).as_secs_f64();
        self.bytes * (-age / CARRIED_WINDOW.as_secs_f64()).exp()
    }
}

/// Tells whether a service should be split, or stay so, by what one owner carries of it: the whole, or one of `parts`.
pub fn should_shard(bytes_per_s: f64, link_bytes_per_s: f64, parts: Option<usize>) -> bool {
    match parts {
        None => bytes_per_s > SPLIT_PART * link_bytes_per_s,
        Some(parts) => bytes_per_s * parts as f64 > JOIN_PART * link_bytes_per_s,
    }
}

/// The services that are split, as owners say.
#[derive(Debug, Default)]
pub struct ShardedServices {
    until: HashMap<u32, Duration>,
}

impl ShardedServices {
    /// Takes in that an owner says that a service, by its short hash, should be split; tells whether that is news.
    pub fn record_shard_report(&mut self, now: Duration, service: u32) -> bool {
        self.until.retain(|_, until| now < *until);
        self.until.insert(service, now + SPLIT_TIME).is_none()
    }

    /// Tells whether a service is split.
    pub fn is_sharded(&self, now: Duration, service: &str) -> bool {
        !self.until.is_empty()
            && self.until.get(&short_hash(service)).is_some_and(|until| now < *until)
    }
}

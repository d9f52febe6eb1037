//! Requests and responses that nodes count for a roll-out. No I/O.

use std::{
    collections::BTreeMap,
    ops::{AddAssign, Sub},
    sync::Arc,
    time::Duration,
};

/// Number of latency buckets. Each spans a quarter of an octave; the first begins at a millisecond,
/// the last at a minute.
pub const LATENCY_BUCKETS: usize = 64;
/// Latency buckets per octave, that is, per doubling of the latency.
const BUCKETS_PER_OCTAVE: f64 = 4.0;

/// Returns the index of the bucket that a latency falls into.
pub fn latency_bucket(latency: Duration) -> usize {
    let ms = (latency.as_secs_f64() * 1_000.0).max(1.0);
    ((ms.log2() * BUCKETS_PER_OCTAVE) as usize).min(LATENCY_BUCKETS - 1)
}

/// Responses of one version on one route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResponseStats {
    /// Number of failures.
    pub failed: u64,
    /// Histogram of the latencies of the responses that aren't failures.
    pub latency_counts: [u32; LATENCY_BUCKETS],
}

impl Default for ResponseStats {
    fn default() -> Self {
        Self { failed: 0, latency_counts: [0; LATENCY_BUCKETS] }
    }
}

impl ResponseStats {
    /// Counts a response by its latency; `None` stands for a failure.
    pub fn record(&mut self, latency: Option<Duration>) {
        match latency {
            Some(latency) => self.latency_counts[latency_bucket(latency)] += 1,
            None => self.failed += 1,
        }
    }

    /// Returns the number of responses, failures included.
    pub fn total(&self) -> u64 {
        self.failed + self.succeeded()
    }

    /// Returns the number of responses that aren't failures.
    pub fn succeeded(&self) -> u64 {
        self.latency_counts.iter().map(|count| u64::from(*count)).sum()
    }

    /// Returns the number of successful responses whose latency lies in the given bucket or a
    /// higher one.
    pub fn count_from_bucket(&self, bucket: usize) -> u64 {
        self.latency_counts.iter().skip(bucket).map(|count| u64::from(*count)).sum()
    }

    /// Returns the bucket of the median latency; `None` if fewer than `responses_min` responses
    /// succeeded.
    pub fn median_bucket(&self, responses_min: u64) -> Option<usize> {
        let succeeded = self.succeeded();
        if succeeded < responses_min.max(1) {
            return None;
        }
        let mut cumulative = 0;
        self.latency_counts.iter().position(|count| {
            cumulative += u64::from(*count);
            cumulative * 2 >= succeeded
        })
    }
}

impl AddAssign<&ResponseStats> for ResponseStats {
    fn add_assign(&mut self, other: &Self) {
        self.failed += other.failed;
        for (own, others) in self.latency_counts.iter_mut().zip(&other.latency_counts) {
            *own = own.saturating_add(*others);
        }
    }
}

impl Sub for &ResponseStats {
    type Output = ResponseStats;

    fn sub(self, other: Self) -> ResponseStats {
        let latency_counts = std::array::from_fn(|bucket| {
            self.latency_counts[bucket].saturating_sub(other.latency_counts[bucket])
        });
        ResponseStats { failed: self.failed.saturating_sub(other.failed), latency_counts }
    }
}

/// Responses on one route.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RouteStats {
    /// Responses of the destination version.
    pub destination: ResponseStats,
    /// Responses of all other versions.
    pub others: ResponseStats,
}

/// Counts of one node, or the sum over all nodes, since an order was given.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RolloutCounts {
    /// Requests to the service; retries aren't counted.
    pub requests: u64,
    /// Sends to the destination version, retries included.
    pub exposed: u64,
    /// Requests in flight at other versions.
    pub in_flight_at_others: u64,
    /// Responses by route.
    pub routes: BTreeMap<Arc<str>, RouteStats>,
}

impl RolloutCounts {
    /// Returns whether these counts of an incarnation are at least as late as others of it.
    pub fn includes(&self, others: &Self) -> bool {
        let responses = |counts: &Self| -> u64 {
            let routes = counts.routes.values();
            routes.map(|stats| stats.destination.total() + stats.others.total()).sum()
        };
        self.requests >= others.requests
            && self.exposed >= others.exposed
            && responses(self) >= responses(others)
    }
}

impl AddAssign<&RolloutCounts> for RolloutCounts {
    fn add_assign(&mut self, other: &Self) {
        self.requests += other.requests;
        self.exposed += other.exposed;
        self.in_flight_at_others += other.in_flight_at_others;
        for (route, stats) in &other.routes {
            let own = self.routes.entry(route.clone()).or_default();
            own.destination += &stats.destination;
            own.others += &stats.others;
        }
    }
}

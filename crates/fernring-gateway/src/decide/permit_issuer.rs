//! Issues permits to send to an upstream that announces a limit. One node issues them for all nodes
//! and is asked before each send. No I/O.
//!
//! Handles an overloaded upstream that takes a few requests per second from all nodes together,
//! while tens or hundreds of nodes want to send there. A fixed share per node leaves the limit
//! unused where only a few nodes have requests, and exceeds it where each share is at least one. A
//! single issuer issues permits up to the limit in the order of the requests. A network partition
//! leads to several issuers; each therefore issues permits for the part of the nodes that it can
//! reach, and together they issue no more than `OVERCOMMIT_FACTOR` times the limit.

use {crate::throughput::ArrivalRate, std::time::Duration};

/// Permits that the partitions of a fleet may issue together, as a multiple of the limit. Half of
/// the limit is allowed in addition; the rest of it covers permits issued before a partition was
/// noticed, and requests delayed on the way.
const OVERCOMMIT_FACTOR: f64 = 1.25;
/// Burst of permits that may accumulate at any limit.
const BURST_MIN: f64 = 2.0;
/// Additional burst, as the time in which the limit allows that many permits.
const BURST_TIME: Duration = Duration::from_millis(250);
/// Number of ranks for which accumulated permits are reserved: a less urgent request leaves more of
/// them to more urgent ones.
const RESERVED_RANKS: usize = 3;
/// Permits per second for an upstream that takes fewer, or none: only a response shows whether its
/// limit still holds.
const PROBE_PERMITS_PER_S: f64 = 0.1;
/// Longest time after a denial until the next permit request.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(1);
/// Shortest time after a denial until the next permit request.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(10);
/// Shortest time in which an upstream can process its demand.
const DRAINED_MIN: Duration = Duration::from_millis(10);
/// Longest time that is reported until the present demand can be processed.
const DRAINED_MAX: Duration = Duration::from_secs(60);

/// A denial: the send may not go now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PermitDenied {
    /// Time after which the same node may ask again for a request of this rank.
    pub retry_after: Duration,
    /// Time after which as many requests should be done as are asked for per second at present.
    pub drained_after: Duration,
}

/// Returns the part of a limit for which a node issues permits; the node can reach `reachable` of
/// `total` nodes, both including itself.
pub fn limit_share(reachable: usize, total: usize) -> f64 {
    let share = reachable.max(1) as f64 / total.max(1) as f64;
    (share * OVERCOMMIT_FACTOR).min(1.0)
}

/// Returns the time in which several upstreams together should process a demand that each alone
/// would process in the given time: nearly every request was asked for at each of them. `None` if
/// there are no upstreams.
pub fn combined_drain_time(alone: &[Duration]) -> Option<Duration> {
    let per_s = |time: &Duration| 1.0 / (*time).max(DRAINED_MIN).as_secs_f64();
    (!alone.is_empty()).then(|| seconds(1.0 / alone.iter().map(per_s).sum::<f64>()))
}

/// Permits issued by a node for one upstream, as a token bucket.
#[derive(Debug)]
pub struct PermitIssuer {
    available: f64,
    counted_at: Duration,
    demand: ArrivalRate,
}

impl PermitIssuer {
    /// Creates an issuer without accumulated permits, since the previous issuer may have used them
    /// all just now. The issuer of a partition waits for up to one more permit, by `draw` between 0
    /// and 1, so that many small partitions don't start at the same time.
    pub fn new(now: Duration, share: f64, draw: f64) -> Self {
        Self { available: -draw * (1.0 - share), counted_at: now, demand: ArrivalRate::default() }
    }

    /// Issues a permit for a send to an upstream that takes `limit_per_s`, or denies it; `draw`
    /// between 0 and 1 spreads the next requests for permits.
    ///
    /// # Errors
    /// If the send may not go now.
    pub fn request(
        &mut self,
        now: Duration,
        limit_per_s: f64,
        share: f64,
        rank: usize,
        draw: f64,
    ) -> Result<(), PermitDenied> {
        let rate_per_s = limit_per_s.max(PROBE_PERMITS_PER_S) * share;
        let capacity = BURST_MIN + rate_per_s * BURST_TIME.as_secs_f64();
        let passed = now.saturating_sub(self.counted_at).as_secs_f64();
        self.available = (self.available + rate_per_s * passed).min(capacity);
        self.counted_at = now;
        self.demand.add(now, 1);
        let reserved = (capacity - 1.0) * rank.min(RESERVED_RANKS) as f64 / RESERVED_RANKS as f64;
        // A tiny reduction, so that rounding doesn't keep the last rank from using a full bucket.
        let missing = 1.0 + reserved - self.available - 1e-6;
        if missing <= 0.0 {
            self.available -= 1.0;
            return Ok(());
        }
        let wait = missing / rate_per_s;
        let drained = (self.demand.per_s(now) / rate_per_s).max(wait);
        Err(PermitDenied {
            retry_after: seconds(wait * (1.0 + draw)).clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX),
            drained_after: seconds(drained).min(DRAINED_MAX),
        })
    }
}

fn seconds(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or(DRAINED_MAX)
}

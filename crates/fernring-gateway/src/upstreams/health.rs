//! Failures of upstreams: which upstreams are avoided, for how long, and which are reported to
//! peers.

use {super::Upstreams, crate::model::UpstreamKey, std::time::Duration};

/// How long an upstream is avoided after its first failure in a row; doubled with each further one.
const AVOID_FIRST: Duration = Duration::from_millis(200);
/// Longest time that an upstream is avoided before it is tried again.
const AVOID_MAX: Duration = Duration::from_secs(3);
/// How long an upstream is avoided that accepted no connection: nothing runs there, and the next
/// process takes longer than that to start. Without this, its missing load would attract urgent
/// requests.
const AVOID_UNREACHABLE: Duration = Duration::from_secs(1);
/// How long a full upstream is avoided: about the time in which a slot becomes free.
const AVOID_FULL: Duration = Duration::from_millis(60);
/// How long a delegate forwards which upstreams accepted no connection of a node of its domain: a
/// few heartbeats.
const FORWARD_TIME: Duration = Duration::from_millis(600);

#[derive(Debug, Default)]
pub(super) struct Health {
    failures: u32,
    pub(super) avoid_until: Duration,
    /// Until when this node reports to its peers that the upstream accepts no connection.
    unreachable_until: Duration,
    /// Until when this node, if it is a delegate, forwards the same report of another node of its
    /// domain.
    forward_until: Duration,
}

impl Upstreams {
    /// Records a failure of an upstream, so that its idle connections are no longer used. Returns
    /// how long the upstream is avoided.
    pub fn record_failure(&self, now: Duration, key: UpstreamKey) -> Duration {
        if let Some(pool) = self.pools.borrow().get(key) {
            pool.close_idle();
        }
        let mut health = self.health.borrow_mut();
        let Some(entry) = health.entry(key) else {
            return Duration::ZERO;
        };
        let entry = entry.or_default();
        let avoid_time = (AVOID_FIRST * 2u32.saturating_pow(entry.failures.min(8))).min(AVOID_MAX);
        entry.failures += 1;
        entry.avoid_until = entry.avoid_until.max(now + avoid_time);
        avoid_time
    }

    /// Records that an upstream accepted no connection.
    pub fn record_unreachable(&self, now: Duration, key: UpstreamKey) {
        self.record_failure(now, key);
        if let Some(health) = self.health.borrow_mut().get_mut(key) {
            let until = now + AVOID_UNREACHABLE;
            health.avoid_until = health.avoid_until.max(until);
            health.unreachable_until = until;
        }
    }

    /// Lists the upstreams that recently accepted no connection, by their short hashes.
    pub fn unreachable_upstreams(&self, now: Duration) -> Vec<u32> {
        let directory = self.directory.borrow();
        let health = self.health.borrow();
        let until = |health: &Health| health.unreachable_until.max(health.forward_until);
        let affected = health.iter().filter(|(_, health)| now < until(health));
        let unreachable = affected.filter_map(|(key, _)| directory.get(key));
        unreachable.map(|upstream| upstream.record.incarnation_hash()).collect()
    }

    /// Avoids upstreams that accepted no connection of a peer in the same failure domain.
    /// `has_to_forward` is set if the peer is a follower whose reports reach other nodes through
    /// this node only.
    pub fn apply_peer_unreachable(&self, now: Duration, upstreams: &[u32], has_to_forward: bool) {
        if upstreams.is_empty() {
            return;
        }
        let directory = self.directory.borrow();
        let mut health = self.health.borrow_mut();
        let affected = upstreams
            .iter()
            .flat_map(|incarnation_hash| directory.by_incarnation(*incarnation_hash));
        for key in affected {
            if let Some(entry) = health.entry(*key) {
                let entry = entry.or_default();
                entry.avoid_until = entry.avoid_until.max(now + AVOID_FIRST * 2);
                if has_to_forward {
                    entry.forward_until = now + FORWARD_TIME;
                }
            }
        }
    }

    /// Records that an upstream is full.
    pub fn record_full(&self, now: Duration, key: UpstreamKey) {
        if let Some(entry) = self.health.borrow_mut().entry(key) {
            let entry = entry.or_default();
            entry.avoid_until = entry.avoid_until.max(now + AVOID_FULL);
        }
    }

    /// Records that an upstream responded as expected.
    pub fn record_success(&self, key: UpstreamKey) {
        if let Some(entry) = self.health.borrow_mut().get_mut(key) {
            *entry = Health::default();
        }
    }
}

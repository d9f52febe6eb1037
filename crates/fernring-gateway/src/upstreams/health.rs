//! Failures of upstreams: who is avoided, for how long, and what peers are told of it.

use {super::Upstreams, crate::model::UpstreamKey, std::time::Duration};

/// How long an upstream is avoided after its first failure in a row; doubled with each further.
const AVOID_FIRST: Duration = Duration::from_millis(200);
/// Longest time that an upstream is avoided before it is tried again.
const AVOID_MAX: Duration = Duration::from_secs(3);
/// How long an upstream is avoided that took no connection: nothing runs there, and whoever runs
/// there next takes longer to start. Its lack of load would else attract what is urgent.
const AVOID_UNREACHABLE: Duration = Duration::from_secs(1);
/// How long a full upstream is avoided: about the time in which a slot comes free.
const AVOID_FULL: Duration = Duration::from_millis(60);
/// How long a delegate tells on which upstreams took no connection of a node of its domain: a few heartbeats.
const TOLD_ON_TIME: Duration = Duration::from_millis(600);

#[derive(Debug, Default)]
pub(super) struct Health {
    failures: u32,
    pub(super) avoid_until: Duration,
    /// Until when this node tells its peers that the upstream takes no connection.
    unreachable_until: Duration,
    /// Until when it tells on what another node of its domain has found, if it is a delegate.
    told_on_until: Duration,
}

impl Upstreams {
    /// Takes in that an upstream failed, so that none of its idle connections is trusted any more; tells how
    /// long it is avoided now.
    pub fn failed(&self, now: Duration, key: UpstreamKey) -> Duration {
        if let Some(pool) = self.pools.borrow().get(key) {
            pool.close_idle();
        }
        let mut health = self.health.borrow_mut();
        let Some(entry) = health.entry(key) else {
            return Duration::ZERO;
        };
        let entry = entry.or_default();
        let avoid = (AVOID_FIRST * 2u32.saturating_pow(entry.failures.min(8))).min(AVOID_MAX);
        entry.failures += 1;
        entry.avoid_until = entry.avoid_until.max(now + avoid);
        avoid
    }

    /// Takes in that an upstream took no connection.
    pub fn was_unreachable(&self, now: Duration, key: UpstreamKey) {
        self.failed(now, key);
        if let Some(health) = self.health.borrow_mut().get_mut(key) {
            let until = now + AVOID_UNREACHABLE;
            health.avoid_until = health.avoid_until.max(until);
            health.unreachable_until = until;
        }
    }

    /// Lists the upstreams that took no connection of late, by their short hashes.
    pub fn unreachable(&self, now: Duration) -> Vec<u32> {
        let directory = self.directory.borrow();
        let health = self.health.borrow();
        let until = |health: &Health| health.unreachable_until.max(health.told_on_until);
        let named = health.iter().filter(|(_, health)| now < until(health));
        let instances = named.filter_map(|(key, _)| directory.get(key));
        instances.map(|upstream| upstream.record.incarnation_hash()).collect()
    }

    /// Takes in the upstreams that took no connection of a peer in the same failure domain. `tells_on` says whether
    /// others don't hear that peer and depend on this node.
    pub fn peer_found_unreachable(&self, now: Duration, upstreams: &[u32], tells_on: bool) {
        if upstreams.is_empty() {
            return;
        }
        let directory = self.directory.borrow();
        let mut health = self.health.borrow_mut();
        let named = upstreams.iter().flat_map(|run_hash| directory.of_run(*run_hash));
        for key in named {
            if let Some(entry) = health.entry(*key) {
                let entry = entry.or_default();
                entry.avoid_until = entry.avoid_until.max(now + AVOID_FIRST * 2);
                if tells_on {
                    entry.told_on_until = now + TOLD_ON_TIME;
                }
            }
        }
    }

    /// Takes in that an upstream is full.
    pub fn was_full(&self, now: Duration, key: UpstreamKey) {
        if let Some(entry) = self.health.borrow_mut().entry(key) {
            let entry = entry.or_default();
            entry.avoid_until = entry.avoid_until.max(now + AVOID_FULL);
        }
    }

    /// Takes in that an upstream answered as it should.
    pub fn succeeded(&self, key: UpstreamKey) {
        if let Some(entry) = self.health.borrow_mut().get_mut(key) {
            *entry = Health::default();
        }
    }
}

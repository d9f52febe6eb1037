//! Reports which services this node reaches.

use {
    super::{Upstreams, rotate},
    crate::{
        connections::ConnectionPool, connector::Connector, directory::Upstream, log,
        reachability::Probes, telemetry,
    },
    fernring_core::text::LogLine,
    rand::seq::SliceRandom,
    std::{collections::BTreeMap, net::SocketAddr, rc::Rc, sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// Most upstreams in a heartbeat: 200 bytes. Further ones follow in the next heartbeats.
const PUBLISHED_MAX: usize = 50;
/// How long a peer's report of an upstream counts: a few heartbeats.
const PEER_REPORT_LIFETIME: Duration = Duration::from_secs(1);
/// Interval at which it is checked whether probes are due.
const PROBE_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Whether this node reaches the upstreams of a service that it connected to recently.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ServiceReachability {
    All,
    Some,
    None,
}

impl ServiceReachability {
    fn new(counts: ServiceCounts) -> Self {
        match counts {
            ServiceCounts { unreached: 0, .. } => Self::All,
            ServiceCounts { reached: 0, .. } => Self::None,
            _ => Self::Some,
        }
    }

    fn name(self) -> &'static str {
        match self {
            Self::All => "all",
            Self::Some => "some",
            Self::None => "none",
        }
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct ServiceCounts {
    reached: usize,
    unreached: usize,
}

impl Upstreams {
    /// Probes the direct path to the upstreams while it is suspected or lost, for as long as the
    /// process runs.
    pub async fn run_path_probes(self: Rc<Self>) {
        loop {
            sleep(PROBE_POLL_INTERVAL).await;
            let own_path = self.connector.own_path();
            match own_path.probes_due() {
                Probes::None => {}
                Probes::Sample(count) => own_path.probe(&self.probe_targets(count)).await,
                Probes::Verification(count) => {
                    let mut targets = self.targets_in_use(count);
                    let any_reached = own_path.reachability().any_reached_since_suspicion();
                    if targets.is_empty() && !any_reached {
                        targets = self.probe_targets(count);
                    }
                    own_path.probe(&targets).await;
                    own_path.finish_verification();
                }
            }
        }
    }

    /// Lists upstreams to which connections are open, and which haven't been reached since the path
    /// is suspected.
    fn targets_in_use(&self, max: usize) -> Vec<SocketAddr> {
        let pools = self.pools.borrow();
        let open = pools.values().filter(|pool| pool.open_count() > 0).map(ConnectionPool::address);
        let reachability = self.connector.own_path().reachability();
        open.filter(|address| !reachability.is_reached_since_suspicion(*address))
            .take(max)
            .collect()
    }

    /// Draws upstreams to probe, from different failure domains as far as possible.
    fn probe_targets(&self, count: usize) -> Vec<SocketAddr> {
        let directory = self.directory.borrow();
        let accepting = directory.iter().filter(|(_, upstream)| self.accepts_work(upstream));
        let mut by_domain: BTreeMap<Arc<str>, Vec<SocketAddr>> = BTreeMap::new();
        for (_, upstream) in accepting {
            let record = &upstream.record;
            by_domain.entry(record.failure_domain.clone()).or_default().push(record.address);
        }
        let mut domains: Vec<_> = by_domain.into_values().collect();
        domains.shuffle(&mut rand::rng());
        domains.iter_mut().for_each(|addresses| addresses.shuffle(&mut rand::rng()));
        let longest = domains.iter().map(Vec::len).max().unwrap_or(0);
        let in_turn = (0..longest).flat_map(|round| {
            domains.iter().filter_map(move |addresses| addresses.get(round).copied())
        });
        in_turn.take(count).collect()
    }

    /// Returns the connector of this node.
    pub fn connector(&self) -> &Rc<Connector> {
        &self.connector
    }

    /// Lists upstreams that this node doesn't reach directly for the next heartbeat, by their short
    /// hashes.
    pub fn unreached_to_publish(&self) -> Vec<u32> {
        let directory = self.directory.borrow();
        let reachability = self.connector.own_path().reachability();
        let unreached = reachability.results().filter(|(_, is_reached)| !is_reached);
        let mut hashes: Vec<_> = unreached
            .flat_map(|(address, _)| directory.at_address(address))
            .map(|(_, upstream)| upstream.record.incarnation_hash())
            .collect();
        hashes.sort_unstable();
        let mut published_count = self.unreached_published_count.get();
        let published = rotate(&hashes, PUBLISHED_MAX, &mut published_count);
        self.unreached_published_count.set(published_count);
        published
    }

    /// Records which upstreams a peer doesn't reach directly.
    pub fn record_peer_unreached(&self, now: Duration, peer: SocketAddr, unreached: &[u32]) {
        let mut known = self.peer_unreached.borrow_mut();
        known.extend(unreached.iter().map(|hash| ((peer, *hash), now + PEER_REPORT_LIFETIME)));
    }

    /// Returns whether a peer has reported that it doesn't reach an upstream directly.
    pub fn is_unreached_by(&self, peer: SocketAddr, upstream: &Upstream) -> bool {
        let hash = upstream.record.incarnation_hash();
        self.peer_unreached.borrow().contains_key(&(peer, hash))
    }

    pub(super) fn expire_peer_unreached(&self, now: Duration) {
        self.peer_unreached.borrow_mut().retain(|_, until| now < *until);
    }

    /// Counts the upstreams that were and weren't reached recently, by service.
    fn reachability_by_service(&self) -> BTreeMap<Arc<str>, ServiceCounts> {
        let directory = self.directory.borrow();
        let reachability = self.connector.own_path().reachability();
        let mut services: BTreeMap<Arc<str>, ServiceCounts> = BTreeMap::new();
        for (address, is_reached) in reachability.results() {
            for (_, upstream) in directory.at_address(address) {
                let counts = services.entry(upstream.record.service.clone()).or_default();
                match is_reached {
                    true => counts.reached += 1,
                    false => counts.unreached += 1,
                }
            }
        }
        services
    }

    /// Logs changes of the services that this node reaches.
    pub(super) fn log_reachability(&self) {
        let mut logged = self.logged_reachability.borrow_mut();
        for (service, counts) in self.reachability_by_service() {
            let reachability = ServiceReachability::new(counts);
            let before = logged.insert(service.clone(), reachability);
            if before.unwrap_or(ServiceReachability::All) != reachability {
                let line = LogLine::event("service_reachability").with("service", service);
                let line = line.with("reached", reachability.name());
                let line = line.with("upstreams", counts.reached);
                log::warn(line.with("unreached", counts.unreached));
            }
        }
    }

    /// Sets the gauges of the services that this node reaches.
    pub(crate) fn set_reachability_gauges(&self) {
        for (service, counts) in self.reachability_by_service() {
            telemetry::set_service_reachability(&service, counts.reached, counts.unreached);
        }
    }
}

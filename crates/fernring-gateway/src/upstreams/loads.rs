//! The work that all nodes together have in flight at upstreams.

use {
    super::Upstreams,
    crate::model::UpstreamKey,
    std::{collections::HashMap, net::SocketAddr, rc::Rc, sync::Arc, time::Duration},
};

/// Age at which the sums of a failure domain are dropped: the requests that they counted have
/// ended.
const DOMAIN_LOADS_MAX: Duration = Duration::from_secs(2);

/// Origin of reported loads.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) enum LoadSource {
    /// One peer.
    Peer(SocketAddr),
    /// All nodes of a failure domain.
    Domain(Arc<str>),
}

#[derive(Debug, Default)]
pub(super) struct PeerLoads {
    by_source: HashMap<LoadSource, ReportedLoads>,
    /// Invariant: the sums of `by_source`.
    pub(super) totals: HashMap<u32, f64>,
    /// The loads that this node last reported to the delegates of its domain.
    last_reported: HashMap<u32, f64>,
}

#[derive(Debug)]
struct ReportedLoads {
    at: Duration,
    loads: Vec<(u32, f64)>,
}

impl PeerLoads {
    fn replace(&mut self, source: LoadSource, reported: Option<ReportedLoads>) {
        let before = self.by_source.remove(&source);
        if before.is_none() && reported.is_none() {
            return;
        }
        let before = before.map(|before| before.loads).unwrap_or_default();
        for (upstream, load) in &before {
            if let Some(total) = self.totals.get_mut(upstream) {
                *total -= load;
            }
        }
        for (upstream, load) in reported.iter().flat_map(|reported| &reported.loads) {
            *self.totals.entry(*upstream).or_default() += load;
        }
        for (upstream, _) in before {
            if self.totals.get(&upstream).is_some_and(|total| *total <= 0.01) {
                self.totals.remove(&upstream);
            }
        }
        if let Some(reported) = reported {
            self.by_source.insert(source, reported);
        }
    }
}

/// Work in flight at an upstream; subtracted from its load when dropped.
#[derive(Debug)]
pub struct LoadGuard {
    upstreams: Rc<Upstreams>,
    key: UpstreamKey,
    weight: f64,
}

impl LoadGuard {
    /// Reduces the work to `weight`.
    pub fn reduce_to(&mut self, weight: f64) {
        if let Some(load) = self.upstreams.own_loads.borrow_mut().get_mut(self.key) {
            *load -= self.weight - weight;
        }
        self.weight = weight;
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        if let Some(load) = self.upstreams.own_loads.borrow_mut().get_mut(self.key) {
            *load -= self.weight;
        }
    }
}

impl Upstreams {
    /// Adds work to the load of an upstream until the guard is dropped.
    pub fn track_load(self: &Rc<Self>, key: UpstreamKey, weight: f64) -> LoadGuard {
        if let Some(entry) = self.own_loads.borrow_mut().entry(key) {
            *entry.or_default() += weight;
        }
        LoadGuard { upstreams: self.clone(), key, weight }
    }

    /// Lists the work of this node at upstreams for the delegates of its domain, by the short
    /// hashes of their incarnations.
    pub fn loads_to_report(&self) -> Vec<(u32, u32)> {
        let loads = self.own_loads();
        let reported = loads.iter().map(|(upstream, load)| (*upstream, f64::from(*load)));
        self.peer_loads.borrow_mut().last_reported = reported.collect();
        loads
    }

    /// Lists the work at upstreams of all nodes of the failure domain, of which this node is a
    /// delegate.
    pub fn domain_loads(&self) -> Vec<(u32, u32)> {
        let mut sums: HashMap<u32, f64> =
            self.own_loads().into_iter().map(|(upstream, load)| (upstream, load.into())).collect();
        let peer_loads = self.peer_loads.borrow();
        let peer_reports =
            peer_loads.by_source.iter().filter(|(source, _)| matches!(source, LoadSource::Peer(_)));
        for (upstream, load) in peer_reports.flat_map(|(_, reported)| &reported.loads) {
            *sums.entry(*upstream).or_default() += load;
        }
        sums.into_iter().map(|(upstream, load)| (upstream, load.round() as u32)).collect()
    }

    /// Lists the work of this node at upstreams, by the short hashes of their incarnations.
    pub(super) fn own_loads(&self) -> Vec<(u32, u32)> {
        let directory = self.directory.borrow();
        let loads = self.own_loads.borrow();
        let named = loads.iter().filter(|(_, load)| **load >= 0.5).filter_map(|(key, load)| {
            let upstream = directory.get(key)?;
            Some((upstream.record.incarnation_hash(), *load as u32))
        });
        named.collect()
    }

    /// Sets the work of a peer at upstreams; an empty list removes the peer.
    pub fn set_peer_loads(&self, peer: SocketAddr, loads: Vec<(u32, f64)>) {
        let reported = (!loads.is_empty()).then_some(ReportedLoads { at: Duration::ZERO, loads });
        self.peer_loads.borrow_mut().replace(LoadSource::Peer(peer), reported);
    }

    /// Sets the work at upstreams of all nodes of a failure domain. The sums of this node's own
    /// domain contain the loads that this node reported itself, which are subtracted.
    pub fn set_domain_loads(&self, now: Duration, domain: &Arc<str>, mut loads: Vec<(u32, f64)>) {
        let mut peer_loads = self.peer_loads.borrow_mut();
        if *domain == self.failure_domain {
            for (upstream, load) in &mut loads {
                let own_load = peer_loads.last_reported.get(upstream).copied().unwrap_or(0.0);
                *load = (*load - own_load).max(0.0);
            }
        }
        peer_loads
            .replace(LoadSource::Domain(domain.clone()), Some(ReportedLoads { at: now, loads }));
    }

    /// Drops sums of failure domains that are too old: no node there reports them any more.
    pub(super) fn expire_loads(&self, now: Duration) {
        let mut peer_loads = self.peer_loads.borrow_mut();
        let is_old = |source: &LoadSource, reported: &ReportedLoads| {
            matches!(source, LoadSource::Domain(_)) && now > reported.at + DOMAIN_LOADS_MAX
        };
        let old = peer_loads.by_source.iter().filter(|(source, reported)| is_old(source, reported));
        let old: Vec<_> = old.map(|(source, _)| source.clone()).collect();
        for source in old {
            peer_loads.replace(source, None);
        }
    }
}

//! The work that upstreams have in hand from all nodes.

use {
    super::Upstreams,
    crate::model::UpstreamKey,
    std::{collections::HashMap, net::SocketAddr, rc::Rc, sync::Arc, time::Duration},
};

/// Age from which on the sums of a failure domain are of no use: the requests that they counted have ended.
const DOMAIN_LOADS_MAX: Duration = Duration::from_secs(2);

/// Whose load was told.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum LoadSource {
    /// One peer's own.
    Peer(SocketAddr),
    /// That of all nodes of a failure domain.
    Domain(Arc<str>),
}

#[derive(Debug, Default)]
pub(super) struct PeerLoads {
    by_source: HashMap<LoadSource, Told>,
    /// Invariant: the sums of `by_source`.
    pub(super) totals: HashMap<u32, f64>,
    /// What this node told its domain's delegates last.
    told: HashMap<u32, f64>,
}

#[derive(Debug)]
struct Told {
    at: Duration,
    loads: Vec<(u32, f64)>,
}

impl PeerLoads {
    fn replace(&mut self, source: LoadSource, told: Option<Told>) {
        let before = self.by_source.remove(&source);
        if before.is_none() && told.is_none() {
            return;
        }
        let before = before.map(|before| before.loads).unwrap_or_default();
        for (upstream, load) in &before {
            if let Some(total) = self.totals.get_mut(upstream) {
                *total -= load;
            }
        }
        for (upstream, load) in told.iter().flat_map(|told| &told.loads) {
            *self.totals.entry(*upstream).or_default() += load;
        }
        for (upstream, _) in before {
            if self.totals.get(&upstream).is_some_and(|total| *total <= 0.01) {
                self.totals.remove(&upstream);
            }
        }
        if let Some(told) = told {
            self.by_source.insert(source, told);
        }
    }
}

/// Work that an upstream has in hand; taken off its load when dropped.
#[derive(Debug)]
pub struct LoadGuard {
    upstreams: Rc<Upstreams>,
    key: UpstreamKey,
    weight: f64,
}

impl LoadGuard {
    /// Takes part of the work off: `weight` is left.
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
    /// Counts work on an upstream until the guard is dropped.
    pub fn load(self: &Rc<Self>, key: UpstreamKey, weight: f64) -> LoadGuard {
        if let Some(entry) = self.own_loads.borrow_mut().entry(key) {
            *entry.or_default() += weight;
        }
        LoadGuard { upstreams: self.clone(), key, weight }
    }

    /// Lists the work of this node on upstreams for its domain's delegates, by the hashes of their starts.
    pub fn told_loads(&self) -> Vec<(u32, u32)> {
        let loads = self.own_loads();
        let told = loads.iter().map(|(upstream, load)| (*upstream, f64::from(*load)));
        self.peer_loads.borrow_mut().told = told.collect();
        loads
    }

    /// Lists the work of all nodes of the failure domain, of which this one is a delegate.
    pub fn domain_loads(&self) -> Vec<(u32, u32)> {
        let mut sums: HashMap<u32, f64> =
            self.own_loads().into_iter().map(|(upstream, load)| (upstream, load.into())).collect();
        let all = self.peer_loads.borrow();
        let near = all.by_source.iter().filter(|(source, _)| matches!(source, LoadSource::Peer(_)));
        for (upstream, load) in near.flat_map(|(_, told)| &told.loads) {
            *sums.entry(*upstream).or_default() += load;
        }
        sums.into_iter().map(|(upstream, load)| (upstream, load.round() as u32)).collect()
    }

    /// Lists the work of this node on upstreams, by the hashes of their starts.
    pub(super) fn own_loads(&self) -> Vec<(u32, u32)> {
        let directory = self.directory.borrow();
        let loads = self.own_loads.borrow();
        let named = loads.iter().filter(|(_, load)| **load >= 0.5).filter_map(|(key, load)| {
            let upstream = directory.get(key)?;
            Some((upstream.record.incarnation_hash(), *load as u32))
        });
        named.collect()
    }

    /// Takes in the work of a peer on upstreams; an empty list forgets the peer.
    pub fn set_peer_loads(&self, peer: SocketAddr, loads: Vec<(u32, f64)>) {
        let told = (!loads.is_empty()).then_some(Told { at: Duration::ZERO, loads });
        self.peer_loads.borrow_mut().replace(LoadSource::Peer(peer), told);
    }

    /// Takes in the work of all nodes of a failure domain. That of this node's own domain contains what it has told
    /// itself, which is taken off.
    pub fn set_domain_loads(&self, now: Duration, domain: &Arc<str>, mut loads: Vec<(u32, f64)>) {
        let mut all = self.peer_loads.borrow_mut();
        if *domain == self.failure_domain {
            for (upstream, load) in &mut loads {
                let own = all.told.get(upstream).copied().unwrap_or(0.0);
                *load = (*load - own).max(0.0);
            }
        }
        all.replace(LoadSource::Domain(domain.clone()), Some(Told { at: now, loads }));
    }

    /// Forgets what was told of failure domains too long ago: nobody there tells it any more.
    pub(super) fn forget_old_loads(&self, now: Duration) {
        let mut all = self.peer_loads.borrow_mut();
        let is_old = |source: &LoadSource, told: &Told| {
            matches!(source, LoadSource::Domain(_)) && now > told.at + DOMAIN_LOADS_MAX
        };
        let old = all.by_source.iter().filter(|(source, told)| is_old(source, told));
        let old: Vec<_> = old.map(|(source, _)| source.clone()).collect();
        for source in old {
            all.replace(source, None);
        }
    }
}

//! Demand of the workspaces for all stage services, as one node knows it. No I/O.
//!
//! Handles a workspace that sends a multiple of its usual requests through all nodes at once: no
//! node sees its whole demand, so each reports its heaviest workspaces, and the delegates of a
//! failure domain add them up. Nothing is reported for ranks that aren't short of a service.
//!
//! Inputs: the requests that arrived here, and the heartbeats of peers, up to three heartbeats old.

use {
    crate::workspace_demands::{WorkspaceDemands, WorkspaceRank, domain_demands, sum_demands},
    fernring_protocol::gateway::{LoadScope, StageLoad, WorkspaceDemand},
    std::{
        collections::{BTreeMap, HashMap},
        net::SocketAddr,
        time::Duration,
    },
};

/// Age beyond which a report is ignored: two sums of a domain were lost.
const REPORT_AGE_MAX: Duration = Duration::from_secs(1);

/// Demands of workspaces, by the hash of the worker pool.
type DemandsByPool = HashMap<u32, Vec<WorkspaceDemand>>;

#[derive(Debug, Default)]
struct PeerReport {
    reported_at: Duration,
    demands: DemandsByPool,
    /// Whether these are the sums of the peer's domain.
    is_sum: bool,
}

/// The demand of workspaces at this node and in the reports of peers.
#[derive(Debug, Default)]
pub struct WorkspaceReports {
    /// By the hash of the worker pool. Invariant: holds no sketch without recent demand after a
    /// report.
    own: HashMap<u32, WorkspaceDemands>,
    peers: HashMap<SocketAddr, PeerReport>,
    /// The demands last reported to this domain's delegates, which their sums contain.
    sent: DemandsByPool,
}

impl WorkspaceReports {
    /// Counts pieces of a request that arrives.
    pub fn record(&mut self, now: Duration, pool: u32, workspace: WorkspaceRank, pieces: u32) {
        self.own.entry(pool).or_default().record(now, workspace, pieces);
    }

    /// Returns the demands to report in heartbeats: those of this node or of its failure domain.
    /// `is_short` says whether a rank is short of a pool.
    pub fn to_report(
        &mut self,
        now: Duration,
        load_scope: LoadScope,
        is_short: impl Fn(u32, usize) -> bool,
    ) -> BTreeMap<u32, Vec<WorkspaceDemand>> {
        self.own.retain(|_, demands| !demands.is_negligible(now));
        let own = self
            .own
            .iter_mut()
            .map(|(pool, demands)| (*pool, demands.heaviest(now, |rank| is_short(*pool, rank))));
        let mut reported: DemandsByPool =
            own.filter(|(_, heaviest)| !heaviest.is_empty()).collect();
        match load_scope {
            LoadScope::Omitted => reported.clear(),
            LoadScope::Sender => self.sent = reported.clone(),
            LoadScope::Domain => {
                for peer in self.fresh_peers(now).filter(|peer| !peer.is_sum) {
                    for (pool, demands) in &peer.demands {
                        reported.entry(*pool).or_default().extend(demands);
                    }
                }
            }
        }
        reported.into_iter().map(|(pool, demands)| (pool, domain_demands(demands))).collect()
    }

    /// Returns the known demands of workspaces at all nodes for a pool.
    pub fn total(&mut self, now: Duration, pool: u32) -> Vec<WorkspaceDemand> {
        let own = self.own.get_mut(&pool).map(|demands| demands.heaviest(now, |_| true));
        let of_peers = self.fresh_peers(now).filter_map(|peer| peer.demands.get(&pool)).flatten();
        sum_demands(own.into_iter().flatten().chain(of_peers.copied()))
    }

    /// Handles the loads that a peer reports. `contains_own` states whether the sums of the peer's
    /// domain contain this node's demands.
    pub fn handle_loads(
        &mut self,
        now: Duration,
        peer: SocketAddr,
        loads: &[StageLoad],
        load_scope: LoadScope,
        contains_own: bool,
    ) {
        if load_scope == LoadScope::Omitted {
            return;
        }
        let reported = loads.iter().filter(|load| !load.workspace_demands.is_empty());
        let mut demands: DemandsByPool =
            reported.map(|load| (load.service_hash, load.workspace_demands.clone())).collect();
        if contains_own {
            demands.iter_mut().for_each(|(pool, sums)| {
                subtract(sums, self.sent.get(pool).map_or(&[], Vec::as_slice));
            });
        }
        let is_sum = load_scope == LoadScope::Domain;
        self.peers.insert(peer, PeerReport { reported_at: now, demands, is_sum });
    }

    /// Removes the reports of a lost peer.
    pub fn remove_peer(&mut self, peer: SocketAddr) {
        self.peers.remove(&peer);
    }

    fn fresh_peers(&self, now: Duration) -> impl Iterator<Item = &PeerReport> {
        self.peers.values().filter(move |peer| now <= peer.reported_at + REPORT_AGE_MAX)
    }
}

fn subtract(sums: &mut [WorkspaceDemand], own: &[WorkspaceDemand]) {
    for sum in sums {
        let is_same = |own: &&WorkspaceDemand| {
            (own.workspace_hash, own.rank) == (sum.workspace_hash, sum.rank)
        };
        let own_per_s = own.iter().find(is_same).map_or(0.0, |own| own.offered_per_s);
        sum.offered_per_s = (sum.offered_per_s - own_per_s).max(0.0);
    }
}

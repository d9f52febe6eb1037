//! The live nodes of a failure domain, by heartbeats.
//!
//! Every node exchanges small heartbeats with all nodes of its own failure domain and with a few
//! of the others, so its cost does not grow with the fleet. The VM list only suggests addresses.

use {
    crate::workspace_limits::WorkspaceDemand,
    fernring_core::{change::Version, ids::Incarnation},
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        sync::Arc,
        time::Duration,
    },
    xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed},
};

/// Nodes of other failure domains that a node exchanges heartbeats with.
const FOREIGN_CONTACTS: usize = 3;
/// Heartbeats missed before a peer counts as dead.
const MISSED_MAX: u32 = 4;
/// A peer that was not heard of for this many heartbeats is forgotten.
const FORGET_AFTER: u32 = 100;

/// What a node says of itself.
#[derive(Debug, Clone, PartialEq)]
pub struct Heartbeat {
    /// This run of the process.
    pub incarnation: Incarnation,
    /// Its peer address.
    pub address: SocketAddr,
    /// Its failure domain.
    pub failure_domain: Arc<str>,
    /// Version of the configuration in force.
    pub config_version: Version,
    /// Requests in flight.
    pub in_flight: u64,
    /// Whether it is shutting down.
    pub draining: bool,
    /// Demand of the workspaces that have a limit.
    pub demand: Vec<WorkspaceDemand>,
    /// Reports of the upstreams that this node asks; see [`Membership::asks`].
    pub reports: Vec<ReportDigest>,
}

/// An upstream's report, short enough to go with every heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportDigest {
    /// Short hash of the upstream's name; see [`short_hash`].
    pub upstream: u32,
    /// Attempts that it has running or waiting.
    pub load: u32,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// Hashes an upstream's name for a [`ReportDigest`]. Two names of one failure domain that collide
/// only mislead routing until the next report.
pub fn upstream_hash(name: &str) -> u32 {
    xxh3_64(name.as_bytes()) as u32
}

/// A VM of the system, as the VM list or the settings suggest it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct PeerHint {
    /// Peer address.
    pub address: SocketAddr,
    /// Failure domain.
    pub failure_domain: String,
}

#[derive(Debug)]
struct Peer {
    heartbeat: Heartbeat,
    heard_at: Duration,
}

/// What a node knows of the others.
#[derive(Debug)]
pub struct Membership {
    me: Incarnation,
    address: SocketAddr,
    failure_domain: Arc<str>,
    interval: Duration,
    hints: BTreeSet<PeerHint>,
    /// The newest heartbeat by address. Invariant: never holds this node's own address.
    peers: BTreeMap<SocketAddr, Peer>,
}

impl Membership {
    /// Creates the membership of a node that knows nobody.
    pub fn new(
        me: Incarnation,
        address: SocketAddr,
        failure_domain: Arc<str>,
        interval: Duration,
    ) -> Self {
        let (hints, peers) = Default::default();
        Self { me, address, failure_domain, interval, hints, peers }
    }

    /// Replaces the hints.
    pub fn set_hints(&mut self, hints: impl IntoIterator<Item = PeerHint>) {
        self.hints = hints.into_iter().filter(|hint| hint.address != self.address).collect();
    }

    /// Takes in a heartbeat.
    pub fn record_heartbeat(&mut self, now: Duration, heartbeat: Heartbeat) {
        if heartbeat.incarnation == self.me || heartbeat.address == self.address {
            return;
        }
        self.peers.insert(heartbeat.address, Peer { heartbeat, heard_at: now });
        let forget = self.interval * FORGET_AFTER;
        self.peers.retain(|_, peer| now < peer.heard_at + forget);
    }

    /// Lists the addresses to exchange heartbeats with: everybody of the own failure domain that
    /// is known or suggested, and a few of the others.
    pub fn heartbeat_targets(&self) -> Vec<SocketAddr> {
        let mut own = BTreeSet::new();
        let mut foreign = BTreeSet::new();
        for hint in &self.hints {
            let list = if self.is_own(&hint.failure_domain) { &mut own } else { &mut foreign };
            list.insert(hint.address);
        }
        for peer in self.peers.values() {
            let heartbeat = &peer.heartbeat;
            let list = if self.is_own(&heartbeat.failure_domain) { &mut own } else { &mut foreign };
            list.insert(heartbeat.address);
        }
        let seed = self.me.0.as_u128() as u64;
        let mut foreign: Vec<_> = foreign.into_iter().collect();
        foreign.sort_by_key(|address| xxh3_64_with_seed(address.to_string().as_bytes(), seed));
        foreign.truncate(FOREIGN_CONTACTS);
        own.into_iter().chain(foreign).collect()
    }

    /// Lists the heartbeats of the live peers of the own failure domain.
    pub fn live_peers(&self, now: Duration) -> Vec<&Heartbeat> {
        let patience = self.interval * MISSED_MAX;
        let live = |peer: &&Peer| {
            now < peer.heard_at + patience && self.is_own(&peer.heartbeat.failure_domain)
        };
        self.peers.values().filter(live).map(|peer| &peer.heartbeat).collect()
    }

    /// Returns the number of live nodes of the own failure domain that take requests, this one
    /// included.
    pub fn live_nodes(&self, now: Duration) -> u32 {
        let others = self.live_peers(now).into_iter().filter(|heartbeat| !heartbeat.draining).count();
        others as u32 + 1
    }

    /// Tells whether this node is the one that asks an upstream of the failure domain for reports:
    /// the first by rendezvous hashing among the live nodes, which pass the answers on with their
    /// heartbeats. Without that each node's cost would grow with the domain's upstreams.
    pub fn polls(&self, now: Duration, upstream: &str) -> bool {
        let rank = |incarnation: Incarnation| {
            xxh3_64_with_seed(upstream.as_bytes(), incarnation.0.as_u128() as u64)
        };
        let mine = rank(self.me);
        let mut others = self.live_peers(now).into_iter().filter(|heartbeat| !heartbeat.draining);
        others.all(|heartbeat| rank(heartbeat.incarnation) < mine)
    }

    /// Returns the demand that the live peers of the own failure domain report.
    pub fn peer_demand(&self, now: Duration) -> Vec<WorkspaceDemand> {
        self.live_peers(now).into_iter().flat_map(|heartbeat| heartbeat.demand.clone()).collect()
    }

    /// Returns a peer that is ahead in configuration, if any is: one of those with the newest. `draw`, from 0 to
    /// 1, spreads the nodes, since one link doesn't carry a large configuration to all of them at once.
    pub fn newer_config_peer(&self, version: Version, draw: f64) -> Option<SocketAddr> {
        let newest = self.highest_version();
        let has_it = |peer: &&Peer| peer.heartbeat.config_version == newest;
        let ahead: Vec<_> = self.peers.values().filter(has_it).collect();
        let index = (draw * ahead.len() as f64) as usize;
        let drawn = ahead.get(index.min(ahead.len().checked_sub(1)?))?;
        (newest > version).then_some(drawn.heartbeat.address)
    }

    /// Returns the highest version that any peer has in force.
    pub fn highest_version(&self) -> Version {
        let versions = self.peers.values().map(|peer| peer.heartbeat.config_version);
        versions.max().unwrap_or(0)
    }

    fn is_own(&self, failure_domain: &str) -> bool {
        failure_domain == self.failure_domain.as_ref()
    }
}

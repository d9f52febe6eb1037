//! Detection of the live nodes of a failure domain by heartbeats.
//!
//! Every node exchanges small heartbeats with all nodes of its own failure domain and with a few
//! nodes of the others, so its cost does not grow with the fleet. The VM list only suggests
//! addresses.

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

/// Most nodes of other failure domains that a node exchanges heartbeats with.
const REMOTE_TARGETS_MAX: usize = 3;
/// Number of missed heartbeats after which a peer counts as dead.
const MISSED_HEARTBEATS_MAX: u32 = 4;
/// Number of missed heartbeats after which a peer is forgotten.
const FORGET_AFTER_HEARTBEATS: u32 = 100;

/// State that a node sends to its peers.
#[derive(Debug, Clone, PartialEq)]
pub struct Heartbeat {
    /// Incarnation of the node's process.
    pub incarnation: Incarnation,
    /// Peer address of the node.
    pub address: SocketAddr,
    /// Failure domain of the node.
    pub failure_domain: Arc<str>,
    /// Version of the configuration in force.
    pub config_version: Version,
    /// Requests in flight.
    pub in_flight: u64,
    /// Whether the node is shutting down.
    pub draining: bool,
    /// Demand that the node sees for workspaces that have a limit.
    pub demand: Vec<WorkspaceDemand>,
    /// Reports of the upstreams that the node polls; see [`Membership::polls`].
    pub reports: Vec<ReportDigest>,
}

/// Digest of an upstream's report, short enough for every heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportDigest {
    /// Hash of the upstream's name; see [`upstream_hash`].
    pub upstream: u32,
    /// Attempts that run or wait at the upstream.
    pub load: u32,
    /// Whether the upstream is leaving.
    pub leaving: bool,
}

/// Hashes an upstream's name for a [`ReportDigest`]. If two names of one failure domain collide,
/// routing is misled only until the next report.
pub fn upstream_hash(name: &str) -> u32 {
    xxh3_64(name.as_bytes()) as u32
}

/// Address of a possible peer, from the VM list or the settings.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct PeerHint {
    /// Peer address of the VM.
    pub address: SocketAddr,
    /// Failure domain of the VM.
    pub failure_domain: String,
}

/// A peer that has sent a heartbeat.
#[derive(Debug)]
struct Peer {
    heartbeat: Heartbeat,
    last_seen_at: Duration,
}

/// A node's view of its peers.
#[derive(Debug)]
pub struct Membership {
    own_incarnation: Incarnation,
    address: SocketAddr,
    failure_domain: Arc<str>,
    interval: Duration,
    hints: BTreeSet<PeerHint>,
    /// Peers by address, each with its newest heartbeat. Invariant: never holds this node's own
    /// address.
    peers: BTreeMap<SocketAddr, Peer>,
}

impl Membership {
    /// Creates the membership of a node that knows no peers.
    pub fn new(
        own_incarnation: Incarnation,
        address: SocketAddr,
        failure_domain: Arc<str>,
        interval: Duration,
    ) -> Self {
        let (hints, peers) = Default::default();
        Self { own_incarnation, address, failure_domain, interval, hints, peers }
    }

    /// Replaces the hints, leaving out this node's own address.
    pub fn set_hints(&mut self, hints: impl IntoIterator<Item = PeerHint>) {
        self.hints = hints.into_iter().filter(|hint| hint.address != self.address).collect();
    }

    /// Records the heartbeat of a peer, and forgets peers that have been silent for too long.
    pub fn record_heartbeat(&mut self, now: Duration, heartbeat: Heartbeat) {
        if heartbeat.incarnation == self.own_incarnation || heartbeat.address == self.address {
            return;
        }
        self.peers.insert(heartbeat.address, Peer { heartbeat, last_seen_at: now });
        let forget_after = self.interval * FORGET_AFTER_HEARTBEATS;
        self.peers.retain(|_, peer| now < peer.last_seen_at + forget_after);
    }

    /// Returns the addresses to exchange heartbeats with: all known or suggested nodes of the own
    /// failure domain, and a few nodes of the others.
    pub fn heartbeat_targets(&self) -> Vec<SocketAddr> {
        let mut local = BTreeSet::new();
        let mut remote = BTreeSet::new();
        for hint in &self.hints {
            let list = if self.is_local(&hint.failure_domain) { &mut local } else { &mut remote };
            list.insert(hint.address);
        }
        for peer in self.peers.values() {
            let heartbeat = &peer.heartbeat;
            let list =
                if self.is_local(&heartbeat.failure_domain) { &mut local } else { &mut remote };
            list.insert(heartbeat.address);
        }
        let seed = self.own_incarnation.0.as_u128() as u64;
        let mut remote: Vec<_> = remote.into_iter().collect();
        remote.sort_by_key(|address| xxh3_64_with_seed(address.to_string().as_bytes(), seed));
        remote.truncate(REMOTE_TARGETS_MAX);
        local.into_iter().chain(remote).collect()
    }

    /// Returns the heartbeats of the live peers in the own failure domain.
    pub fn live_peers(&self, now: Duration) -> Vec<&Heartbeat> {
        let timeout = self.interval * MISSED_HEARTBEATS_MAX;
        let is_live = |peer: &&Peer| {
            now < peer.last_seen_at + timeout && self.is_local(&peer.heartbeat.failure_domain)
        };
        self.peers.values().filter(is_live).map(|peer| &peer.heartbeat).collect()
    }

    /// Returns the number of live nodes of the own failure domain that take requests, including
    /// this one.
    pub fn live_nodes(&self, now: Duration) -> u32 {
        let others =
            self.live_peers(now).into_iter().filter(|heartbeat| !heartbeat.draining).count();
        others as u32 + 1
    }

    /// Returns whether this node polls an upstream of its failure domain for reports: it does if it
    /// ranks first by rendezvous hashing among the live nodes. The nodes share the reports in their
    /// heartbeats. If every node polled, its cost would grow with the number of upstreams in the
    /// domain.
    pub fn polls(&self, now: Duration, upstream: &str) -> bool {
        let rank = |incarnation: Incarnation| {
            xxh3_64_with_seed(upstream.as_bytes(), incarnation.0.as_u128() as u64)
        };
        let own_rank = rank(self.own_incarnation);
        let mut others = self.live_peers(now).into_iter().filter(|heartbeat| !heartbeat.draining);
        others.all(|heartbeat| rank(heartbeat.incarnation) < own_rank)
    }

    /// Returns the demand that the live peers of the own failure domain report.
    pub fn peer_demand(&self, now: Duration) -> Vec<WorkspaceDemand> {
        self.live_peers(now).into_iter().flat_map(|heartbeat| heartbeat.demand.clone()).collect()
    }

    /// Returns a peer with a newer configuration than `version`: one of those with the newest, if
    /// there is any. `draw`, from 0 to 1, selects among them, so that nodes spread over the peers:
    /// the link of a single peer can't carry a large configuration to all nodes at once.
    pub fn newer_config_peer(&self, version: Version, draw: f64) -> Option<SocketAddr> {
        let newest = self.highest_version();
        let has_newest = |peer: &&Peer| peer.heartbeat.config_version == newest;
        let newest_peers: Vec<_> = self.peers.values().filter(has_newest).collect();
        let index = (draw * newest_peers.len() as f64) as usize;
        let chosen = newest_peers.get(index.min(newest_peers.len().checked_sub(1)?))?;
        (newest > version).then_some(chosen.heartbeat.address)
    }

    /// Returns the highest version that any peer has in force.
    pub fn highest_version(&self) -> Version {
        let versions = self.peers.values().map(|peer| peer.heartbeat.config_version);
        versions.max().unwrap_or(0)
    }

    fn is_local(&self, failure_domain: &str) -> bool {
        failure_domain == self.failure_domain.as_ref()
    }
}

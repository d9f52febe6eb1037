//! Tracks the live nodes by their heartbeats, and which node owns what.
//!
//! [`delegates`] chooses the delegates of a failure domain and the targets of heartbeats, [`peers`]
//! carries the messages, [`pause_detector`] detects that the process itself was paused,
//! and [`tickets`] numbers requests to peers.

pub mod delegates;
pub mod pause_detector;
pub mod peers;
pub mod tickets;

use {
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        sync::Arc,
        time::Duration,
    },
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// Pause between heartbeats to a peer. A fifth of a second detects a dead owner within one call of
/// a stage, and costs eight small frames each way on nine nodes.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
/// Silence after which a peer owns nothing: three heartbeats and some delay.
pub const SILENCE_MAX: Duration = Duration::from_millis(700);
/// Heartbeats of a longer interval that may be missing before a peer counts as silent.
const MISSED_HEARTBEATS_MAX: f64 = 3.5;
/// Gap between two checks for silent peers from which on this node itself counts as paused: two
/// heartbeats.
const OWN_PAUSE_MIN: Duration = Duration::from_millis(400);
/// Silence after which a peer is forgotten and no longer connected to, unless another peer names it
/// again.
const FORGET_AFTER: Duration = Duration::from_secs(30);

/// Failure domains other than a node's own in which peers hold state for it.
const OTHER_HOLDER_DOMAINS: usize = 2;

/// Key by which the delegate that reports the loads of its domain is chosen.
const LOAD_REPORTER_KEY: &str = "teller of loads";
/// Key by which the readers of the store are chosen.
const STORE_READER_KEY: &str = "reader of the store";

/// A node's role in reading the store for others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReaderRole {
    /// It reads for its failure domain, and ranks first among the nodes that do.
    Primary,
    /// It reads for its failure domain.
    Domain,
    /// It receives heartbeats of no other node.
    Standalone,
    /// It follows readers.
    None,
}

/// A node as it describes itself in its heartbeats.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Incarnation of its process.
    pub incarnation: u64,
    /// Address at which peers connect to it.
    pub address: SocketAddr,
    /// Its failure domain.
    pub failure_domain: Arc<str>,
    /// Whether it is shutting down.
    pub is_draining: bool,
    /// Whether it has lost its direct path to the upstreams.
    pub is_cut_off: bool,
    /// Whether it opens tunnels to upstreams for its peers.
    pub opens_tunnels: bool,
    /// Whether it is a delegate of its failure domain ([`crate::delegates`]). In a small fleet
    /// every node is one.
    pub is_delegate: bool,
    /// Capacity of its network link, in Mbit/s; 0 if it isn't known.
    pub link_mbps: u32,
    /// Live nodes that it knows of, including itself.
    pub known_nodes: usize,
    /// Pause until its next heartbeat.
    pub interval: Duration,
}

impl Member {
    /// Returns a node as it is at its start.
    pub fn new(address: SocketAddr, failure_domain: Arc<str>) -> Self {
        Self {
            incarnation: 0,
            address,
            failure_domain,
            is_draining: false,
            is_cut_off: false,
            opens_tunnels: true,
            is_delegate: true,
            link_mbps: 0,
            known_nodes: 1,
            interval: HEARTBEAT_INTERVAL,
        }
    }

    /// Returns whether it opens tunnels to upstreams now.
    pub fn is_relay(&self) -> bool {
        self.opens_tunnels && !self.is_cut_off && !self.is_draining
    }

    /// Returns a hash of its address.
    pub fn hash(&self) -> u64 {
        xxh3_64_with_seed(self.address.to_string().as_bytes(), 0)
    }
}

/// A peer that has become silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SilentPeer {
    /// Its address.
    pub address: SocketAddr,
    /// Whether it was a delegate of its failure domain.
    pub is_delegate: bool,
    /// Time since its last heartbeat.
    pub silent_for: Duration,
}

#[derive(Debug)]
struct Peer {
    member: Member,
    /// Invariant: [`Member::hash`] of `member`. Cached, since each stage of each request chooses an
    /// owner by it.
    hash: u64,
    last_seen_at: Duration,
    /// Whether a connection to it has failed since its last heartbeat.
    is_unreachable: bool,
    /// Until when its silence is due to a pause of this node, if there was one since its last
    /// heartbeat.
    excused_until: Option<Duration>,
}

impl Peer {
    fn is_live(&self, now: Duration) -> bool {
        !self.is_unreachable && now < self.live_until()
    }

    /// Records that this node was paused while the peer was live: what the peer has sent meanwhile is
    /// still in a socket. A second pause before it is read excuses nothing more.
    fn excuse_silence(&mut self, now: Duration) {
        self.excused_until.get_or_insert(now + HEARTBEAT_INTERVAL);
    }

    fn live_until(&self) -> Duration {
        let silence_max = SILENCE_MAX.max(self.member.interval.mul_f64(MISSED_HEARTBEATS_MAX));
        (self.last_seen_at + silence_max).max(self.excused_until.unwrap_or_default())
    }
}

/// The peers that a node knows.
#[derive(Debug, Default)]
pub struct Members {
    /// Invariant: never holds this node's own address.
    peers: BTreeMap<SocketAddr, Peer>,
    /// Addresses at which there may be peers, and until when to connect to them.
    suggested: BTreeMap<SocketAddr, Duration>,
}

impl Members {
    /// Records a heartbeat. Returns whether the peer was silent before.
    pub fn record_heartbeat(&mut self, now: Duration, member: Member) -> bool {
        let address = member.address;
        let hash = self.peers.get(&address).map_or_else(|| member.hash(), |peer| peer.hash);
        let peer =
            Peer { member, hash, last_seen_at: now, is_unreachable: false, excused_until: None };
        let before = self.peers.insert(address, peer);
        self.suggested.remove(&address);
        before.is_none_or(|peer| !peer.is_live(now))
    }

    /// Adds addresses at which there may be peers.
    pub fn suggest(&mut self, now: Duration, addresses: impl IntoIterator<Item = SocketAddr>) {
        for address in addresses {
            if !self.peers.contains_key(&address) {
                self.suggested.insert(address, now + FORGET_AFTER);
            }
        }
    }

    /// Forgets peers that have been silent for `FORGET_AFTER`, and returns those that became
    /// silent since `before`, the time of the last such check. If that is long ago, this node was
    /// paused, and the peers have another heartbeat's time to be heard.
    pub fn expire(&mut self, before: Duration, now: Duration) -> Vec<SilentPeer> {
        self.peers.retain(|_, peer| now < peer.last_seen_at + FORGET_AFTER);
        self.suggested.retain(|_, until| now < *until);
        if now.saturating_sub(before) >= OWN_PAUSE_MIN {
            let live = self.peers.values_mut().filter(|peer| peer.is_live(before));
            live.for_each(|peer| peer.excuse_silence(now));
        }
        let lost = |peer: &Peer| peer.is_live(before) && !peer.is_live(now);
        let silent_peer = |peer: &Peer| SilentPeer {
            address: peer.member.address,
            is_delegate: peer.member.is_delegate,
            silent_for: now.saturating_sub(peer.last_seen_at),
        };
        self.peers.values().filter(|peer| lost(peer)).map(silent_peer).collect()
    }

    /// Records that a connection to a peer failed: the peer counts as silent from now on. Returns
    /// whether it was live.
    pub fn mark_unreachable(&mut self, now: Duration, address: SocketAddr) -> bool {
        let Some(peer) = self.peers.get_mut(&address) else {
            return false;
        };
        let was_live = peer.is_live(now);
        peer.is_unreachable = true;
        was_live
    }

    /// Lists the addresses to send heartbeats to.
    pub fn contacts(&self) -> BTreeSet<SocketAddr> {
        self.peers.keys().chain(self.suggested.keys()).copied().collect()
    }

    /// Lists the live peers.
    pub fn live(&self, now: Duration) -> impl Iterator<Item = &Member> {
        self.peers.values().filter(move |peer| peer.is_live(now)).map(|peer| &peer.member)
    }

    /// Returns whether a peer is live.
    pub fn is_live(&self, now: Duration, address: SocketAddr) -> bool {
        self.peers.get(&address).is_some_and(|peer| peer.is_live(now))
    }

    /// Returns the number of live nodes, including this one: those that are reachable from here, or
    /// more if a delegate reports more.
    pub fn node_count(&self, now: Duration) -> usize {
        let reported =
            self.live(now).filter(|peer| peer.is_delegate).map(|peer| peer.known_nodes).max();
        reported.unwrap_or(0).max(self.reachable_node_count(now))
    }

    /// Returns the number of live nodes that are reachable from here, including this one.
    pub fn reachable_node_count(&self, now: Duration) -> usize {
        self.live(now).count() + 1
    }

    /// Forgets the peers that are not delegates, except for their addresses, and returns them. A
    /// node that is itself a follower receives no further heartbeats from them.
    pub fn drop_followers(&mut self, now: Duration) -> Vec<SocketAddr> {
        let followers = self.peers.iter().filter(|(_, peer)| !peer.member.is_delegate);
        let followers: Vec<_> = followers.map(|(address, _)| *address).collect();
        self.peers.retain(|_, peer| peer.member.is_delegate);
        self.suggest(now, followers.iter().copied());
        followers
    }

    /// Returns whether a peer is a delegate of a failure domain.
    pub fn is_delegate_of(&self, address: SocketAddr, failure_domain: &str) -> bool {
        let peer = self.peers.get(&address).map(|peer| &peer.member);
        peer.is_some_and(|peer| peer.is_delegate && *peer.failure_domain == *failure_domain)
    }

    /// Returns whether this node (`me`) reports the loads of its domain, as the first of its live
    /// delegates.
    pub fn is_load_reporter(&self, now: Duration, me: &Member) -> bool {
        let is_same_domain = |other: &Member| other.failure_domain == me.failure_domain;
        self.highest_ranked(now, me, LOAD_REPORTER_KEY, is_same_domain) == Some(me.address)
    }

    /// Returns whether this node knows delegates of a failure domain and all of them are silent.
    pub fn is_domain_unreachable(&self, now: Duration, failure_domain: &str) -> bool {
        let is_domain_delegate = |peer: &&Peer| {
            peer.member.is_delegate && *peer.member.failure_domain == *failure_domain
        };
        let mut domain_delegates = self.peers.values().filter(is_domain_delegate).peekable();
        domain_delegates.peek().is_some() && domain_delegates.all(|peer| !peer.is_live(now))
    }

    /// Returns the owner of `key`, this node (`me`) or a peer: the first by rendezvous hashing
    /// among the live delegates that aren't draining, and that reach the upstreams directly if any
    /// do. Nodes that see the same peers choose the same owner.
    pub fn owner(&self, now: Duration, me: &Member, key: &str) -> SocketAddr {
        self.owner_among(now, me, key, |_| true).unwrap_or(me.address)
    }

    /// Returns the owner of `key` among the live delegates of some failure domains; `None` if there
    /// are none.
    pub fn owner_among(
        &self,
        now: Duration,
        me: &Member,
        key: &str,
        includes_domain: impl Fn(&str) -> bool,
    ) -> Option<SocketAddr> {
        let is_included = |member: &Member| includes_domain(&member.failure_domain);
        let reaches_upstreams =
            |member: &Member| is_included(member) && !member.is_cut_off && !member.is_draining;
        let owner = self.highest_ranked(now, me, key, reaches_upstreams);
        owner.or_else(|| self.highest_ranked(now, me, key, is_included))
    }

    /// Chooses live delegates other than this node (`me`) that hold state about `key`, by
    /// rendezvous hashing: up to `own_domain` of them in this node's failure domain, and up to
    /// `other_domain` in each of two others.
    pub fn holders(
        &self,
        now: Duration,
        me: &Member,
        key: &str,
        own_domain: usize,
        other_domain: usize,
    ) -> Vec<SocketAddr> {
        let mut by_domain: BTreeMap<&str, Vec<(u64, SocketAddr)>> = BTreeMap::new();
        for peer in self.peers.values().filter(|peer| peer.is_live(now)) {
            if peer.member.is_delegate {
                let score = xxh3_64_with_seed(key.as_bytes(), peer.hash);
                let ranked = by_domain.entry(&peer.member.failure_domain).or_default();
                ranked.push((score, peer.member.address));
            }
        }
        let mut first = |domain: &str, count: usize| {
            let mut ranked = by_domain.remove(domain).unwrap_or_default();
            ranked.sort_unstable();
            ranked.into_iter().rev().take(count).map(|(_, address)| address).collect::<Vec<_>>()
        };
        let mut holders = first(&me.failure_domain, own_domain);
        let domain_score = |domain: &&str| {
            xxh3_64_with_seed(key.as_bytes(), xxh3_64_with_seed(domain.as_bytes(), 0))
        };
        let mut others: Vec<_> = self
            .live(now)
            .filter(|peer| peer.is_delegate && peer.failure_domain != me.failure_domain)
            .map(|peer| &*peer.failure_domain)
            .collect();
        others.sort_unstable();
        others.dedup();
        others.sort_by_key(domain_score);
        for domain in others.into_iter().rev().take(OTHER_HOLDER_DOMAINS) {
            holders.extend(first(domain, other_domain));
        }
        holders
    }

    /// Returns the role of this node (`me`) in reading the store for the others.
    pub fn reader_role(&self, now: Duration, me: &Member) -> ReaderRole {
        if self.live(now).next().is_none() {
            return ReaderRole::Standalone;
        }
        let first = self.store_reader(now, me);
        let is_same_domain = |other: &Member| other.failure_domain == me.failure_domain;
        let of_domain = self.highest_ranked(now, me, STORE_READER_KEY, is_same_domain);
        match (of_domain == Some(me.address), first == Some(me.address)) {
            (true, true) => ReaderRole::Primary,
            (true, false) => ReaderRole::Domain,
            (false, _) => ReaderRole::None,
        }
    }

    /// Returns the node that reads the store for all, which may be this one (`me`).
    pub fn store_reader(&self, now: Duration, me: &Member) -> Option<SocketAddr> {
        self.highest_ranked(now, me, STORE_READER_KEY, |_| true)
    }

    /// Returns the first of the live delegates that are eligible, by rendezvous hashing weighted by
    /// their links. Draining delegates come after all others.
    ///
    /// An owner of 3,500 pieces a second sends 12 Mbit/s. With equal weights and, in each domain,
    /// two links of 200 Mbit/s and one of 10 Mbit/s, a third of the owners had the small link:
    /// their calls took 530 to 655 ms instead of 314 ms, and the collapse under a crowd of callers
    /// lasted for the rest of the day. With weights by link, one owner in forty has the small link,
    /// until a larger one is there.
    fn highest_ranked(
        &self,
        now: Duration,
        me: &Member,
        key: &str,
        is_eligible: impl Fn(&Member) -> bool,
    ) -> Option<SocketAddr> {
        let peers = self.peers.values().filter(|peer| peer.is_live(now));
        let peers = peers.map(|peer| (&peer.member, peer.hash));
        let all = peers.chain(std::iter::once((me, me.hash())));
        let candidates = all.filter(|(member, _)| member.is_delegate && is_eligible(member));
        let rank = |(member, hash): &(&Member, u64)| {
            let score_hash = xxh3_64_with_seed(key.as_bytes(), *hash);
            (!member.is_draining, weighted_score(score_hash, member.link_mbps))
        };
        let order = |one: &(&Member, u64), other: &(&Member, u64)| {
            let ((one_stays, one_score), (other_stays, other_score)) = (rank(one), rank(other));
            one_stays.cmp(&other_stays).then(one_score.total_cmp(&other_score))
        };
        candidates.max_by(order).map(|(member, _)| member.address)
    }
}

/// Turns a hash into a score whose maximum falls on each node with a probability proportional to
/// its weight. An unknown weight counts as 1.
fn weighted_score(score_hash: u64, weight: u32) -> f64 {
    // Above 0 and below 1, so that its logarithm is finite and below 0.
    let unit = ((score_hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    unit.ln() / f64::from(weight.max(1))
}

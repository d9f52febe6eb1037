//! The live nodes, by heartbeats, and who of them owns what.
//!
//! [`delegates`] says who stands for a failure domain and whom a node tells of itself, [`peers`] carries the messages, [`stillness`]
//! finds out that the process itself stood still.

pub mod delegates;
pub mod peers;
pub mod pause_detector;

use {
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        sync::Arc,
        time::Duration,
    },
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// Pause between heartbeats to a peer. A fifth of a second finds a dead owner within one call of
/// a stage, and costs eight small frames each way on nine nodes.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
/// Silence after which a peer owns nothing: three heartbeats and some delay.
pub const SILENCE_MAX: Duration = Duration::from_millis(700);
/// Heartbeats of a slower pace that may be missing.
const MISSED_MAX: f64 = 3.5;
/// Silence after which a peer is forgotten and no more connected to, unless it is suggested anew.
const FORGET_AFTER: Duration = Duration::from_secs(30);

/// What the delegate is chosen by that tells the loads of its domain.
const TELLER: &str = "teller of loads";
/// What the reader of the store is chosen by.
const READER: &str = "reader of the store";

/// A node's part in reading the store for others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReaderRole {
    /// It reads for its failure domain, and is the first of those that do.
    Primary,
    /// It reads for its failure domain.
    Domain,
    /// It hears no other node.
    Standalone,
    /// It follows others.
    None,
}

/// What a node says of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// This run of the process.
    pub incarnation: u64,
    /// Where peers connect to it.
    pub address: SocketAddr,
    /// Its failure domain.
    pub failure_domain: Arc<str>,
    /// Whether it is shutting down.
    pub is_draining: bool,
    /// Whether it stands for its failure domain ([`crate::delegates`]); among few nodes all do.
    pub is_delegate: bool,
    /// What its link carries, in Mbit/s; 0 if that isn't known.
    pub link_mbps: u32,
    /// Live nodes that it knows of, itself included.
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
            is_delegate: true,
            link_mbps: 0,
            known_nodes: 1,
            interval: HEARTBEAT_INTERVAL,
        }
    }

    /// Returns a hash of its address.
    pub fn hash(&self) -> u64 {
        xxh3_64_with_seed(self.address.to_string().as_bytes(), 0)
    }
}

/// A peer that has fallen silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SilentPeer {
    /// Its address.
    pub address: SocketAddr,
    /// Whether it was a delegate of its failure domain.
    pub is_delegate: bool,
    /// Time since it was last heard.
    pub silent_for: Duration,
}

#[derive(Debug)]
struct Peer {
    member: Member,
    /// Invariant: [`Member::hash`] of `member`, which owners are chosen by for each stage of each request.
    hash: u64,
    heard_at: Duration,
    /// Whether a connection to it has failed since it was heard.
    is_unreachable: bool,
}

impl Peer {
    fn is_live(&self, now: Duration) -> bool {
        !self.is_unreachable && now < self.silent_at()
    }

    fn silent_at(&self) -> Duration {
        self.heard_at + SILENCE_MAX.max(self.member.interval.mul_f64(MISSED_MAX))
    }
}

/// The nodes that a node knows.
#[derive(Debug, Default)]
pub struct Members {
    /// Invariant: never holds this node's own address.
    peers: BTreeMap<SocketAddr, Peer>,
    /// Addresses to connect to, and until when.
    suggested: BTreeMap<SocketAddr, Duration>,
}

impl Members {
    /// Takes in a heartbeat; tells whether the peer was silent before.
    pub fn record_heartbeat(&mut self, now: Duration, member: Member) -> bool {
        let address = member.address;
        let hash = self.peers.get(&address).map_or_else(|| member.hash(), |peer| peer.hash);
        let peer = Peer { member, hash, heard_at: now, is_unreachable: false };
        let before = self.peers.insert(address, peer);
        self.suggested.remove(&address);
        before.is_none_or(|peer| !peer.is_live(now))
    }

    /// Takes in addresses where there may be peers.
    pub fn suggest(&mut self, now: Duration, addresses: impl IntoIterator<Item = SocketAddr>) {
        for address in addresses {
            if !self.peers.contains_key(&address) {
                self.suggested.insert(address, now + FORGET_AFTER);
            }
        }
    }

    /// Forgets those that were silent for long, and returns those that have just fallen silent
    /// since `before`.
    pub fn expire(&mut self, before: Duration, now: Duration) -> Vec<SilentPeer> {
        self.peers.retain(|_, peer| now < peer.heard_at + FORGET_AFTER);
        self.suggested.retain(|_, until| now < *until);
        let lost = |peer: &Peer| peer.is_live(before) && !peer.is_live(now);
        let silent = |peer: &Peer| SilentPeer {
            address: peer.member.address,
            is_delegate: peer.member.is_delegate,
            silent_for: now.saturating_sub(peer.heard_at),
        };
        self.peers.values().filter(|peer| lost(peer)).map(silent).collect()
    }

    /// Takes in that a peer can't be reached: it is silent from now on. Tells whether it was live.
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

    /// Tells whether a peer is live.
    pub fn is_live(&self, now: Duration, address: SocketAddr) -> bool {
        self.peers.get(&address).is_some_and(|peer| peer.is_live(now))
    }

    /// Returns the number of live nodes, this one included: those that are heard here, or more if delegates hear more.
    pub fn node_count(&self, now: Duration) -> usize {
        let told = self.live(now).filter(|peer| peer.is_delegate).map(|peer| peer.known_nodes).max();
        told.unwrap_or(0).max(self.reachable_node_count(now))
    }

    /// Returns the number of live nodes that are heard here, this one included.
    pub fn reachable_node_count(&self, now: Duration) -> usize {
        self.live(now).count() + 1
    }

    /// Forgets the peers that are no delegates, but for their addresses, and returns them: a node that is none either
    /// hears no more of them.
    pub fn drop_followers(&mut self, now: Duration) -> Vec<SocketAddr> {
        let others = self.peers.iter().filter(|(_, peer)| !peer.member.is_delegate);
        let others: Vec<_> = others.map(|(address, _)| *address).collect();
        self.peers.retain(|_, peer| peer.member.is_delegate);
        self.suggest(now, others.iter().copied());
        others
    }

    /// Tells whether a peer is a delegate of a failure domain.
    pub fn is_delegate_of(&self, address: SocketAddr, failure_domain: &str) -> bool {
        let peer = self.peers.get(&address).map(|peer| &peer.member);
        peer.is_some_and(|peer| peer.is_delegate && *peer.failure_domain == *failure_domain)
    }

    /// Tells whether this node (`me`) is the first of its domain's live delegates.
    pub fn is_load_reporter(&self, now: Duration, me: &Member) -> bool {
        let is_near = |other: &Member| other.failure_domain == me.failure_domain;
        self.first_by_rank(now, me, TELLER, is_near) == Some(me.address)
    }

    /// Tells whether a failure domain has delegates here, and all of them are silent.
    pub fn is_domain_unreachable(&self, now: Duration, failure_domain: &str) -> bool {
        let is_theirs = |peer: &&Peer| {
            peer.member.is_delegate && *peer.member.failure_domain == *failure_domain
        };
        let mut theirs = self.peers.values().filter(is_theirs).peekable();
        theirs.peek().is_some() && theirs.all(|peer| !peer.is_live(now))
    }

    /// Returns the owner of something among the live delegates that stay: this node (`me`) or a peer,
    /// the first by rendezvous hashing. Nodes that hear the same peers name the same owner.
    pub fn owner(&self, now: Duration, me: &Member, what: &str) -> SocketAddr {
        self.first_by_rank(now, me, what, |_| true).unwrap_or(me.address)
    }

    /// Returns the owner of something among the live delegates of some failure domains; `None` if there are none.
    pub fn owner_among(
        &self,
        now: Duration,
        me: &Member,
        what: &str,
        is_there: impl Fn(&str) -> bool,
    ) -> Option<SocketAddr> {
        self.first_by_rank(now, me, what, |member| is_there(&member.failure_domain))
    }

    /// Returns this node's (`me`) part in reading the store for the others.
    pub fn reader_role(&self, now: Duration, me: &Member) -> ReaderRole {
        if self.live(now).next().is_none() {
            return ReaderRole::Standalone;
        }
        let first = self.first_by_rank(now, me, READER, |_| true);
        let is_near = |other: &Member| other.failure_domain == me.failure_domain;
        let of_domain = self.first_by_rank(now, me, READER, is_near);
        match (of_domain == Some(me.address), first == Some(me.address)) {
            (true, true) => ReaderRole::Primary,
            (true, false) => ReaderRole::Domain,
            (false, _) => ReaderRole::None,
        }
    }

    /// Returns the first of the live delegates that fit, by rendezvous hashing weighted by their links, those that leave after
    /// all others.
    ///
    /// An owner of 3,500 pieces a second sends some 12 Mbit/s. Drawn alike among two links of 200 and one of 10 Mbit/s in each
    /// domain, a third of the owners had the small one: their calls took 530 to 655 ms where others' took 314, and a crowd's
    /// collapse lasted for the rest of the day. By links, one in forty has it, until a larger one is there.
    fn first_by_rank(
        &self,
        now: Duration,
        me: &Member,
        what: &str,
        fits: impl Fn(&Member) -> bool,
    ) -> Option<SocketAddr> {
        let peers = self.peers.values().filter(|peer| peer.is_live(now));
        let peers = peers.map(|peer| (&peer.member, peer.hash));
        let all = peers.chain(std::iter::once((me, me.hash())));
        let candidates = all.filter(|(member, _)| member.is_delegate && fits(member));
        let rank = |(member, hash): &(&Member, u64)| {
            let draw = xxh3_64_with_seed(what.as_bytes(), *hash);
            (!member.is_draining, weighted_draw(draw, member.link_mbps))
        };
        let order = |one: &(&Member, u64), other: &(&Member, u64)| {
            let ((one_stays, one_draw), (other_stays, other_draw)) = (rank(one), rank(other));
            one_stays.cmp(&other_stays).then(one_draw.total_cmp(&other_draw))
        };
        candidates.max_by(order).map(|(member, _)| member.address)
    }
}

/// Turns a draw into one of which the largest belongs to each with the probability of its part of all weights. Weights that
/// aren't known count as 1.
fn weighted_draw(draw: u64, weight: u32) -> f64 {
    // Above 0 and below 1, so that its logarithm is finite and below 0.
    let unit = ((draw >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    unit.ln() / f64::from(weight.max(1))
}

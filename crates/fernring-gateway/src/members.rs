//! The live nodes, by heartbeats, and who of them owns what.

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
/// Silence after which a peer is forgotten and no more connected to, unless it is suggested anew.
const FORGET_AFTER: Duration = Duration::from_secs(30);

/// What the reader of the store is chosen by.
const READER: &str = "reader of the store";

/// A node's part in reading the store for others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReaderPart {
    /// It reads for its failure domain, and is the first of those that do.
    First,
    /// It reads for its failure domain.
    OfDomain,
    /// It hears no other node.
    Alone,
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
}

#[derive(Debug)]
struct Peer {
    member: Member,
    heard_at: Duration,
    /// Whether a connection to it has failed since it was heard.
    is_unreachable: bool,
}

impl Peer {
    fn is_live(&self, now: Duration) -> bool {
        !self.is_unreachable && now < self.silent_at()
    }

    fn silent_at(&self) -> Duration {
        self.heard_at + SILENCE_MAX
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
    pub fn heard(&mut self, now: Duration, member: Member) -> bool {
        let address = member.address;
        let peer = Peer { member, heard_at: now, is_unreachable: false };
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
    pub fn expire(&mut self, before: Duration, now: Duration) -> Vec<SocketAddr> {
        self.peers.retain(|_, peer| now < peer.heard_at + FORGET_AFTER);
        self.suggested.retain(|_, until| now < *until);
        let lost = |peer: &Peer| peer.is_live(before) && !peer.is_live(now);
        self.peers.iter().filter(|(_, peer)| lost(peer)).map(|(address, _)| *address).collect()
    }

    /// Takes in that a peer can't be reached: it is silent from now on. Tells whether it was live.
    pub fn silence(&mut self, now: Duration, address: SocketAddr) -> bool {
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

    /// Tells whether a failure domain has peers here, and all of them are silent.
    pub fn is_silent(&self, now: Duration, failure_domain: &str) -> bool {
        let mut theirs =
            self.peers.values().filter(|p| *p.member.failure_domain == *failure_domain).peekable();
        theirs.peek().is_some() && theirs.all(|peer| !peer.is_live(now))
    }

    /// Returns the owner of something among the live nodes that stay: this node (`me`) or a peer,
    /// the first by rendezvous hashing. Nodes that hear the same peers name the same owner.
    pub fn owner(&self, now: Duration, me: &Member, what: &str) -> SocketAddr {
        let candidates = self.live(now).chain(std::iter::once(me));
        first_by_rank(candidates, what).map_or(me.address, |member| member.address)
    }

    /// Returns this node's (`me`) part in reading the store for the others.
    pub fn reader_part(&self, now: Duration, me: &Member) -> ReaderPart {
        let first = first_by_rank(self.live(now).chain(std::iter::once(me)), READER);
        let domain = self.live(now).filter(|other| other.failure_domain == me.failure_domain);
        let of_domain = first_by_rank(domain.chain(std::iter::once(me)), READER);
        let is_me = |member: Option<&Member>| member.is_some_and(|m| m.address == me.address);
        match (is_me(of_domain), is_me(first)) {
            (true, true) if self.live(now).next().is_none() => ReaderPart::Alone,
            (true, true) => ReaderPart::First,
            (true, false) => ReaderPart::OfDomain,
            (false, _) => ReaderPart::None,
        }
    }
}

/// Returns the first of some nodes by rendezvous hashing, those that leave after all others.
fn first_by_rank<'a>(nodes: impl Iterator<Item = &'a Member>, what: &str) -> Option<&'a Member> {
    let rank = |member: &&Member| {
        let seed = xxh3_64_with_seed(member.address.to_string().as_bytes(), 0);
        (!member.is_draining, xxh3_64_with_seed(what.as_bytes(), seed))
    };
    nodes.max_by_key(rank)
}

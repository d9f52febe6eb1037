//! Which nodes stand for their failure domain, and whom a node sends heartbeats to. No I/O.
//!
//! Load it answers: hundreds of nodes. Heartbeats from each to each are 294 links and 1,470 frames a second for a
//! node of 295, and grow with the square of the fleet. Beyond [`MESH_MAX`] nodes only a few of each domain, its
//! delegates, are heard by everybody five times a second: they own stage services and read the store, so who depends
//! on them notices their loss as soon as among few nodes. All others tell the delegates of their own domain as often, and
//! those of other domains once a second; they hear nothing of each other. The delegates add up what their domain says.
//!
//! Inputs: the members that were heard, a fifth of a second old; how many there are, as delegates say. Nodes that hear
//! different members may choose different delegates: each says itself that it is one, so a domain has one too many
//! for a moment, never a wrong one.
//!
//! ```
//! use {
//!     fernring_gateway::{delegates::Role, members::{Member, Members}},
//!     std::time::Duration,
//! };
//!
//! let me = Member::new("10.0.0.1:1".parse().unwrap(), "a".into());
//! let mut role = Role::new(0.5);
//! role.update(Duration::ZERO, &me, &Members::default());
//! assert!(role.is_delegate(), "among few nodes all are");
//! ```

use {
    crate::members::{HEARTBEAT_INTERVAL, Member, Members},
    std::{net::SocketAddr, time::Duration},
};

/// Most nodes among which each sends heartbeats to each: 195 frames a second for a node. Among 86 nodes, delegates in
/// place of a mesh take the processor time of a node from 0.0058 to 0.0028 of a core, and answers are as timely.
pub const MESH_MAX: usize = 40;
/// Fewer nodes than this go back to a mesh. The gap keeps a fleet of about [`MESH_MAX`] from going to and fro.
const MESH_AGAIN: usize = 33;
/// Delegates of a domain. With three, one is left in five of six cases after the loss of 55 in 100 nodes.
pub const DELEGATES_PER_DOMAIN: usize = 3;
/// Over how much time the nodes of a domain that lacks delegates spread their standing in: of 56 nodes a few do
/// before they hear of each other, and the lowest of these stand down again.
const STAND_IN_SPREAD: Duration = Duration::from_secs(1);
/// Pause between heartbeats of a node that is no delegate to the delegates of other domains, which only count it.
pub const SLOW_HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Addresses that a node tries in one round that hears no delegate of its domain.
const TRIED_ADDRESSES: usize = 8;

/// How often a peer hears of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatRate {
    /// Each [`HEARTBEAT_INTERVAL`].
    Fast,
    /// Each [`FAR_INTERVAL`].
    Slow,
}

impl HeartbeatRate {
    /// Returns the pause between two heartbeats.
    pub fn interval(self) -> Duration {
        match self {
            Self::Fast => HEARTBEAT_INTERVAL,
            Self::Slow => SLOW_HEARTBEAT_INTERVAL,
        }
    }
}

/// A node's own part.
#[derive(Debug, Clone)]
pub struct DelegateRole {
    is_delegate: bool,
    is_mesh: bool,
    /// Since when its domain could do with this node as a delegate.
    wanted_since: Option<Duration>,
    /// From 0 to 1; spreads the nodes of a domain.
    draw: f64,
}

impl DelegateRole {
    /// Starts as among few nodes. `draw`, from 0 to 1, spreads the nodes.
    pub fn new(draw: f64) -> Self {
        Self { is_delegate: true, is_mesh: true, wanted_since: None, draw: draw.clamp(0.0, 1.0) }
    }

    /// Tells whether the node is a delegate of its domain.
    pub fn is_delegate(&self) -> bool {
        self.is_delegate
    }

    /// Tells whether all nodes send heartbeats to all.
    pub fn is_mesh(&self) -> bool {
        self.is_mesh
    }

    /// Takes in what is known of the members now; tells whether the node's part has changed.
    pub fn update(&mut self, now: Duration, me: &Member, members: &Members) -> bool {
        let before = self.is_delegate;
        let nodes = members.node_count(now);
        self.is_mesh = nodes <= if self.is_mesh { MESH_MAX } else { MESH_AGAIN };
        self.is_delegate = self.is_mesh || self.is_needed(now, me, members);
        before != self.is_delegate
    }

    fn is_needed(&mut self, now: Duration, me: &Member, members: &Members) -> bool {
        let others = members.live(now).filter(|other| {
            other.is_delegate && !other.is_draining && other.failure_domain == me.failure_domain
        });
        let others: Vec<_> = others.collect();
        if me.is_draining {
            return false;
        }
        let above = others.iter().filter(|other| standing(other) > standing(me)).count();
        if self.is_delegate {
            return above < DELEGATES_PER_DOMAIN;
        }
        // A larger link takes a delegate's place; a mere hash doesn't, so that parts change seldom.
        let outdoes_one = others.iter().any(|other| other.link_mbps < me.link_mbps);
        if others.len() >= DELEGATES_PER_DOMAIN && !(above < DELEGATES_PER_DOMAIN && outdoes_one) {
            self.wanted_since = None;
            return false;
        }
        let since = *self.wanted_since.get_or_insert(now);
        let is_due = now >= since + STAND_IN_SPREAD.mul_f64(self.draw);
        if is_due {
            self.wanted_since = None;
        }
        is_due
    }

    /// Lists the nodes to which this one tells on what it hears: if it is a delegate among many, those of its domain that
    /// hear delegates only. What a node tells all its live peers is thus everywhere in two hops.
    pub fn followers(&self, now: Duration, me: &Member, members: &Members) -> Vec<SocketAddr> {
        if self.is_mesh || !self.is_delegate {
            return Vec::new();
        }
        let near = members.live(now).filter(|peer| peer.failure_domain == me.failure_domain);
        near.filter(|peer| !peer.is_delegate).map(|peer| peer.address).collect()
    }

    /// Returns how often a peer that was just heard for the first time is to hear of this node (`me`), so that it is told
    /// at once; `None` if neither is a delegate, since they don't follow each other.
    pub fn reply_rate(&self, me: &Member, is_delegate: bool, failure_domain: &str) -> Option<HeartbeatRate> {
        match (self.is_delegate, is_delegate) {
            (true, _) => Some(HeartbeatRate::Fast),
            (false, true) if *me.failure_domain == *failure_domain => Some(HeartbeatRate::Fast),
            (false, true) => Some(HeartbeatRate::Slow),
            (false, false) => None,
        }
    }

    /// Lists whom a heartbeat goes to in a round, and how often each hears of this node. `rounds` counts
    /// [`HEARTBEAT_INTERVAL`]s.
    pub fn heartbeat_targets(
        &self,
        now: Duration,
        me: &Member,
        members: &Members,
        rounds: u64,
    ) -> Vec<(SocketAddr, HeartbeatRate)> {
        if self.is_delegate {
            return members.contacts().into_iter().map(|peer| (peer, HeartbeatRate::Fast)).collect();
        }
        let rounds_far = SLOW_HEARTBEAT_INTERVAL.as_millis() as u64 / HEARTBEAT_INTERVAL.as_millis() as u64;
        let mut audience = Vec::new();
        let mut hears_near = false;
        for delegate in members.live(now).filter(|other| other.is_delegate) {
            if delegate.failure_domain == me.failure_domain {
                hears_near = true;
                audience.push((delegate.address, HeartbeatRate::Fast));
            } else if rounds.wrapping_add(delegate.hash()).is_multiple_of(rounds_far) {
                audience.push((delegate.address, HeartbeatRate::Slow));
            }
        }
        if !hears_near {
            let contacts: Vec<_> = members.contacts().into_iter().collect();
            let start = rounds as usize * TRIED_ADDRESSES;
            let tried = (0..contacts.len().min(TRIED_ADDRESSES))
                .map(|step| (contacts[(start + step) % contacts.len()], HeartbeatRate::Fast));
            audience.extend(tried);
        }
        audience
    }
}

/// The order of a domain's nodes as delegates: large links first, since a delegate sends to all nodes and passes
/// records on to them; then by a hash of the address.
fn standing(member: &Member) -> (u32, u64) {
    (member.link_mbps, member.hash())
}

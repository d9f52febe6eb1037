//! Chooses the delegates of each failure domain and the targets of a node's heartbeats. No I/O.
//!
//! Handles fleets of hundreds of nodes. Heartbeats from each node to each other are 294 links and
//! 1,470 frames a second for a node of 295, and grow with the square of the fleet. Beyond
//! [`MESH_MAX`] nodes only a few nodes of each domain, its delegates, send heartbeats to everybody
//! five times a second. Delegates own stage services and read the store, so the nodes that depend
//! on them notice their loss as soon as in a small fleet. All other nodes, the followers, send
//! heartbeats to the delegates of their own domain as often, and to those of other domains once a
//! second. Followers exchange no heartbeats with each other; the delegates add up the loads of
//! their domain.
//!
//! Inputs are the members whose heartbeats were received, a fifth of a second old, and the node
//! counts that delegates report. Nodes that see different members may choose different delegates.
//! Each delegate announces itself as one, so a domain has one too many for a moment, never a wrong
//! one.
//!
//! ```
//! use {
//!     fernring_gateway::{delegates::DelegateRole, members::{Member, Members}},
//!     std::time::Duration,
//! };
//!
//! let me = Member::new("10.0.0.1:1".parse().unwrap(), "a".into());
//! let mut role = DelegateRole::new(0.5);
//! role.update(Duration::ZERO, &me, &Members::default());
//! assert!(role.is_delegate(), "in a small fleet every node is a delegate");
//! ```

use {
    crate::members::{HEARTBEAT_INTERVAL, Member, Members},
    std::{net::SocketAddr, time::Duration},
};

/// Largest fleet in which each node sends heartbeats to each other: 195 frames a second for a node.
/// In a fleet of 86 nodes, delegates instead of a mesh reduce the processor time of a node from
/// 0.0058 to 0.0028 of a core, and answers are as timely.
pub const MESH_MAX: usize = 40;
/// Largest fleet that returns to a mesh. The gap to [`MESH_MAX`] keeps a fleet of about that size
/// from switching back and forth.
const MESH_RESTORE_MAX: usize = 33;
/// Delegates of a domain. With three, one is left in five of six cases after the loss of 55 in 100
/// nodes.
pub const DELEGATES_PER_DOMAIN: usize = 3;
/// Time over which the nodes of a domain that lacks delegates spread their decisions to become one.
/// Of 56 nodes a few do so before they receive each other's heartbeats, and the lowest-ranked of
/// these step down again.
const ELECTION_SPREAD: Duration = Duration::from_secs(1);
/// Pause between heartbeats of a follower to the delegates of other domains, which only count it.
pub const SLOW_HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Addresses that a node contacts in a round in which it knows no live delegate of its domain.
const CONTACTS_PER_ROUND: usize = 8;

/// How often a node sends heartbeats to a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatRate {
    /// Every [`HEARTBEAT_INTERVAL`].
    Fast,
    /// Every [`SLOW_HEARTBEAT_INTERVAL`].
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

/// Tracks whether a node is a delegate of its failure domain.
#[derive(Debug, Clone)]
pub struct DelegateRole {
    is_delegate: bool,
    is_mesh: bool,
    /// Since when its domain has needed this node as a delegate.
    needed_since: Option<Duration>,
    /// From 0 to 1; spreads the decisions of the nodes of a domain.
    jitter: f64,
}

impl DelegateRole {
    /// Starts as in a small fleet. `jitter`, from 0 to 1, spreads the decisions of the nodes.
    pub fn new(jitter: f64) -> Self {
        Self {
            is_delegate: true,
            is_mesh: true,
            needed_since: None,
            jitter: jitter.clamp(0.0, 1.0),
        }
    }

    /// Returns whether the node is a delegate of its domain.
    pub fn is_delegate(&self) -> bool {
        self.is_delegate
    }

    /// Returns whether all nodes send heartbeats to all others.
    pub fn is_mesh(&self) -> bool {
        self.is_mesh
    }

    /// Updates the role from the members known now. Returns whether the node became a delegate or
    /// stopped being one.
    pub fn update(&mut self, now: Duration, me: &Member, members: &Members) -> bool {
        let was_delegate = self.is_delegate;
        let nodes = members.node_count(now);
        self.is_mesh = nodes <= if self.is_mesh { MESH_MAX } else { MESH_RESTORE_MAX };
        self.is_delegate = self.is_mesh || self.should_be_delegate(now, me, members);
        was_delegate != self.is_delegate
    }

    fn should_be_delegate(&mut self, now: Duration, me: &Member, members: &Members) -> bool {
        let delegates = members.live(now).filter(|delegate| {
            delegate.is_delegate
                && !delegate.is_draining
                && delegate.failure_domain == me.failure_domain
        });
        let delegates: Vec<_> = delegates.collect();
        if me.is_draining {
            return false;
        }
        let ranked_higher =
            delegates.iter().filter(|delegate| delegate_rank(delegate) > delegate_rank(me)).count();
        if self.is_delegate {
            return ranked_higher < DELEGATES_PER_DOMAIN;
        }
        // A node with a larger link replaces a delegate, but a node with a higher hash doesn't:
        // this keeps role changes rare.
        let has_larger_link = delegates.iter().any(|delegate| delegate.link_mbps < me.link_mbps);
        if delegates.len() >= DELEGATES_PER_DOMAIN
            && !(ranked_higher < DELEGATES_PER_DOMAIN && has_larger_link)
        {
            self.needed_since = None;
            return false;
        }
        let since = *self.needed_since.get_or_insert(now);
        let is_due = now >= since + self.election_delay(now, me, members);
        if is_due {
            self.needed_since = None;
        }
        is_due
    }

    /// Returns how long the domain has to lack a delegate before this node becomes one. A node with a
    /// smaller link than other delegates waits for those with larger ones: with a small link and
    /// little processor time it can't serve a large fleet, and is soon taken for lost in turn.
    fn election_delay(&self, now: Duration, me: &Member, members: &Members) -> Duration {
        let delegates = members.live(now).filter(|member| member.is_delegate);
        let has_small_link = delegates.map(|member| member.link_mbps).max() > Some(me.link_mbps);
        let half = ELECTION_SPREAD / 2;
        half.mul_f64(self.jitter) + if has_small_link { half } else { Duration::ZERO }
    }

    /// Lists the nodes to which this node forwards reports: if it is a delegate in a large fleet,
    /// the followers of its domain, which exchange messages with delegates only. A report that a
    /// node sends to all its live peers thus reaches every node in two hops.
    pub fn followers(&self, now: Duration, me: &Member, members: &Members) -> Vec<SocketAddr> {
        if self.is_mesh || !self.is_delegate {
            return Vec::new();
        }
        let same_domain = members.live(now).filter(|peer| peer.failure_domain == me.failure_domain);
        same_domain.filter(|peer| !peer.is_delegate).map(|peer| peer.address).collect()
    }

    /// Returns how often this node (`me`) sends heartbeats to a peer whose first heartbeat has just
    /// arrived, so that it can reply at once. Returns `None` if neither is a delegate, since
    /// followers exchange no heartbeats.
    pub fn reply_rate(
        &self,
        me: &Member,
        is_delegate: bool,
        failure_domain: &str,
    ) -> Option<HeartbeatRate> {
        match (self.is_delegate, is_delegate) {
            (true, _) => Some(HeartbeatRate::Fast),
            (false, true) if *me.failure_domain == *failure_domain => Some(HeartbeatRate::Fast),
            (false, true) => Some(HeartbeatRate::Slow),
            (false, false) => None,
        }
    }

    /// Lists the targets of heartbeats in a round, and how often each gets one. `round` counts
    /// [`HEARTBEAT_INTERVAL`]s.
    pub fn heartbeat_targets(
        &self,
        now: Duration,
        me: &Member,
        members: &Members,
        round: u64,
    ) -> Vec<(SocketAddr, HeartbeatRate)> {
        if self.is_delegate {
            return members
                .contacts()
                .into_iter()
                .map(|peer| (peer, HeartbeatRate::Fast))
                .collect();
        }
        let slow_rounds =
            SLOW_HEARTBEAT_INTERVAL.as_millis() as u64 / HEARTBEAT_INTERVAL.as_millis() as u64;
        let mut targets = Vec::new();
        let mut has_domain_delegate = false;
        for delegate in members.live(now).filter(|delegate| delegate.is_delegate) {
            if delegate.failure_domain == me.failure_domain {
                has_domain_delegate = true;
                targets.push((delegate.address, HeartbeatRate::Fast));
            } else if round.wrapping_add(delegate.hash()).is_multiple_of(slow_rounds) {
                targets.push((delegate.address, HeartbeatRate::Slow));
            }
        }
        if !has_domain_delegate {
            let contacts: Vec<_> = members.contacts().into_iter().collect();
            let start = round as usize * CONTACTS_PER_ROUND;
            let contacted = (0..contacts.len().min(CONTACTS_PER_ROUND))
                .map(|step| (contacts[(start + step) % contacts.len()], HeartbeatRate::Fast));
            targets.extend(contacted);
        }
        targets
    }
}

/// Returns the rank of a node among the candidates of its domain. Large links come first, since a
/// delegate sends to all nodes and forwards records to them; equal links are ordered by a hash of
/// the address.
fn delegate_rank(member: &Member) -> (u32, u64) {
    (member.link_mbps, member.hash())
}

//! Chooses the peer through which a tunnel to an upstream is opened. No I/O.
//!
//! A tunnel must not lead through a region that a request may not enter. A request that is sent to an
//! upstream may be served in its region, so only peers in that region carry its bytes.
//!
//! ```
//! use fernring_gateway::relays::{Relay, rank};
//!
//! let relay = |port, open_tunnels| Relay {
//!     address: ([10, 0, 0, 1], port).into(),
//!     is_same_domain: true,
//!     link_mbps: 1_000,
//!     open_tunnels,
//! };
//! let ranked = rank(vec![(relay(1, 3), 0.5), (relay(2, 0), 0.5)]);
//! assert_eq!(ranked[0].port(), 2);
//! ```

use std::net::SocketAddr;

/// Factor on the cost of a peer in another failure domain, whose bytes cross between domains.
const OTHER_DOMAIN_FACTOR: f64 = 2.0;

/// A peer that can open a tunnel.
#[derive(Debug, Clone, Copy)]
pub struct Relay {
    /// Its address.
    pub address: SocketAddr,
    /// Whether it lies in this node's failure domain.
    pub is_same_domain: bool,
    /// Capacity of its network link, in Mbit/s; 0 if it isn't known.
    pub link_mbps: u32,
    /// Tunnels of this node that it carries.
    pub open_tunnels: usize,
}

impl Relay {
    fn cost(&self) -> f64 {
        let tunnels = self.open_tunnels as f64 + 1.0;
        let cost = tunnels / f64::from(self.link_mbps.max(1));
        if self.is_same_domain { cost } else { cost * OTHER_DOMAIN_FACTOR }
    }
}

/// Orders relays from the best to the worst. Each comes with a draw from 0 to 1, which spreads the
/// choices of nodes that see equal relays.
pub fn rank(relays: Vec<(Relay, f64)>) -> Vec<SocketAddr> {
    let mut relays = relays;
    relays.sort_by(|(one, one_draw), (other, other_draw)| {
        one.cost().total_cmp(&other.cost()).then(one_draw.total_cmp(other_draw))
    });
    relays.into_iter().map(|(relay, _)| relay.address).collect()
}

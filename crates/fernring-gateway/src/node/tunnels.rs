//! Finds the peers through which this node opens tunnels to upstreams.

use {
    crate::{
        connector::TunnelTransport,
        members::Member,
        peers::Peers,
        relays::Relay,
        tunnels::{TunnelFailure, TunnelStream, open},
        upstreams::Upstreams,
    },
    async_trait::async_trait,
    std::{net::SocketAddr, rc::Rc, sync::Arc},
};

/// Opens tunnels through the peers of a node.
pub(super) struct PeerTunnels {
    pub(super) peers: Rc<Peers>,
    pub(super) upstreams: Rc<Upstreams>,
    pub(super) failure_domain: Arc<str>,
}

impl PeerTunnels {
    /// Returns whether new work may pass through a peer on the way to an upstream.
    fn may_relay(&self, peer: &Member, upstream_domain: &str) -> bool {
        let domain = &*peer.failure_domain;
        let is_evacuated = self.upstreams.evacuations().borrow().is_evacuated(domain);
        let is_same_region = self.upstreams.regions().are_together(domain, upstream_domain);
        is_same_region && (!is_evacuated || *domain == *self.failure_domain)
    }
}

#[async_trait(?Send)]
impl TunnelTransport for PeerTunnels {
    fn has_relays(&self) -> bool {
        !self.peers.relays().is_empty()
    }

    fn relays(&self, upstream: SocketAddr) -> Vec<Relay> {
        let directory = self.upstreams.directory();
        let Some((_, upstream)) = directory.at_address(upstream).next() else {
            return Vec::new();
        };
        let upstream_domain = &upstream.record.failure_domain;
        let mut peers = self.peers.relays();
        peers.retain(|peer| {
            self.may_relay(peer, upstream_domain)
                && !self.upstreams.is_unreached_by(peer.address, upstream)
        });
        let relay = |peer: Member| Relay {
            address: peer.address,
            is_same_domain: peer.failure_domain == self.failure_domain,
            link_mbps: peer.link_mbps,
            open_tunnels: 0,
        };
        peers.into_iter().map(relay).collect()
    }

    fn is_usable(&self, relay: SocketAddr) -> bool {
        self.peers.is_relay(relay)
    }

    async fn open(
        &self,
        relay: SocketAddr,
        upstream: SocketAddr,
        is_borrowed: bool,
    ) -> Result<TunnelStream, TunnelFailure> {
        open(self.peers.address(), relay, upstream, is_borrowed).await
    }
}

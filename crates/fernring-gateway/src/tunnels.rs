//! Tunnels: a node that has lost its direct path to an upstream reaches it through a peer, which
//! opens a connection to the upstream and forwards the bytes of both sides.
//!
//! Requests, permits and ledgers stay at the node that opens the tunnel; its peer knows nothing but
//! the address. The first message on a connection to the peer names the upstream, the peer replies
//! with a message of its own, and the bytes of the connection follow. A peer opens connections to
//! registered upstreams only, and only by its own direct path, so a tunnel is never passed on.

use {
    crate::{
        connector::{
            dial::{ConnectFailure, connect},
            own_path::OwnPath,
        },
        log,
        reachability::PathState,
        telemetry,
        upstreams::Upstreams,
    },
    bytes::Bytes,
    fernring_core::text::LogLine,
    fernring_protocol::{
        codec,
        gateway::{GatewayBody, GatewayFrame, TunnelRequest, TunnelResponse, TunnelResult},
    },
    futures_util::{SinkExt, StreamExt},
    prost::Message,
    std::{cell::Cell, io, net::SocketAddr, rc::Rc, time::Duration},
    tokio::{
        io::{AsyncWriteExt, copy},
        net::TcpStream,
    },
    tokio_util::codec::{Framed, LengthDelimitedCodec},
};

/// Most tunnels that a node carries for its peers. Each needs two file descriptors.
const TUNNELS_MAX: usize = 512;
/// Longest time in which a peer connects to the upstream: within
/// [`crate::connector::dial::CONNECT_TIMEOUT`], two peers can be tried.
const RELAY_CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// A connection between nodes that carries framed messages.
pub type FramedLink = Framed<TcpStream, LengthDelimitedCodec>;

/// Reason why a tunnel wasn't opened.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum TunnelFailure {
    /// The peer doesn't reach the upstream either.
    #[error("the relay: {0}")]
    Upstream(ConnectFailure),
    /// The peer opens no tunnel now.
    #[error("the relay opens no tunnel")]
    Unavailable,
    /// There was no reply of the peer.
    #[error("no reply of the relay: {0}")]
    NoReply(String),
}

impl From<io::Error> for TunnelFailure {
    fn from(error: io::Error) -> Self {
        Self::NoReply(error.to_string())
    }
}

/// Opens a tunnel to an upstream through a peer. `sender` is this node's own address.
///
/// # Errors
/// Returns the reason if the tunnel can't be opened.
pub async fn open(
    sender: SocketAddr,
    relay: SocketAddr,
    upstream: SocketAddr,
) -> Result<TcpStream, TunnelFailure> {
    let mut framed = Framed::new(connect(relay).await?, codec());
    let request = TunnelRequest { address: upstream.to_string() };
    send(&mut framed, sender, GatewayBody::TunnelRequest(request)).await?;
    let Some(reply) = framed.next().await else {
        return Err(TunnelFailure::NoReply("connection closed".to_owned()));
    };
    let frame =
        GatewayFrame::decode(reply?).map_err(|error| TunnelFailure::NoReply(error.to_string()))?;
    let Some(GatewayBody::TunnelResponse(response)) = frame.body else {
        return Err(TunnelFailure::NoReply("unexpected message".to_owned()));
    };
    match response.result() {
        TunnelResult::Open => {}
        TunnelResult::Unavailable => return Err(TunnelFailure::Unavailable),
        TunnelResult::Refused => return Err(TunnelFailure::Upstream(ConnectFailure::Refused)),
        TunnelResult::Reset => return Err(TunnelFailure::Upstream(ConnectFailure::Reset)),
        TunnelResult::TimedOut => return Err(TunnelFailure::Upstream(ConnectFailure::TimedOut)),
    }
    let parts = framed.into_parts();
    match parts.read_buf.is_empty() {
        true => Ok(parts.io),
        // The upstream sends nothing before it has a request.
        false => Err(TunnelFailure::NoReply("bytes before a request".to_owned())),
    }
}

async fn send(framed: &mut FramedLink, sender: SocketAddr, body: GatewayBody) -> io::Result<()> {
    let frame = GatewayFrame { sender: sender.to_string(), body: Some(body) };
    framed.send(Bytes::from(frame.encode_to_vec())).await
}

/// The tunnels that a node carries for its peers.
#[derive(Debug)]
pub struct Tunnels {
    upstreams: Rc<Upstreams>,
    own_path: OwnPath,
    open_count: Cell<usize>,
}

/// Counts a tunnel as open until it is dropped.
struct OpenTunnel<'a>(&'a Cell<usize>);

impl<'a> OpenTunnel<'a> {
    fn new(open_count: &'a Cell<usize>) -> Self {
        open_count.set(open_count.get() + 1);
        Self(open_count)
    }
}

impl Drop for OpenTunnel<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Tunnels {
    /// Creates the state of a node that carries no tunnels.
    pub fn new(upstreams: Rc<Upstreams>) -> Self {
        let own_path = upstreams.connector().own_path().clone();
        Self { upstreams, own_path, open_count: Cell::default() }
    }

    /// Returns the number of tunnels that this node carries.
    pub fn open_count(&self) -> usize {
        self.open_count.get()
    }

    /// Serves the tunnel that a peer requests on a connection, until either side closes it.
    pub async fn serve(&self, own: SocketAddr, request: TunnelRequest, mut framed: FramedLink) {
        let _open = OpenTunnel::new(&self.open_count);
        let dialed = self.dial(&request).await;
        let result = match &dialed {
            Ok(_) => TunnelResult::Open,
            Err(result) => *result,
        };
        telemetry::record_tunnel("relay", result.name());
        let line = LogLine::event("tunnel_relayed").with("address", &request.address);
        let line = line.with("result", result.name());
        log::info(line.with("open", self.open_count()));
        let response = TunnelResponse { result: result.into() };
        let sent = send(&mut framed, own, GatewayBody::TunnelResponse(response)).await;
        if let (Ok(()), Ok(upstream)) = (sent, dialed)
            && let Err(error) = forward(framed, upstream).await
        {
            let line = LogLine::event("tunnel_broken").with("address", &request.address);
            log::info(line.with("error", error));
        }
    }

    async fn dial(&self, request: &TunnelRequest) -> Result<TcpStream, TunnelResult> {
        let address = request.address.parse().map_err(|_| TunnelResult::Unavailable)?;
        let is_registered = self.upstreams.directory().at_address(address).next().is_some();
        let is_full = self.open_count() > TUNNELS_MAX;
        if !is_registered || is_full || self.own_path.state() == PathState::Lost {
            return Err(TunnelResult::Unavailable);
        }
        let dialed = self.own_path.connect(address, RELAY_CONNECT_TIMEOUT).await;
        dialed.map_err(|failure| match failure {
            // The fault may lie in this node's own path.
            _ if self.own_path.state() != PathState::Direct => TunnelResult::Unavailable,
            ConnectFailure::Refused => TunnelResult::Refused,
            ConnectFailure::Reset => TunnelResult::Reset,
            _ => TunnelResult::TimedOut,
        })
    }
}

/// Forwards bytes in both directions until either side closes its connection. Both connections are
/// closed then: a caller that has left must not keep the upstream at work.
async fn forward(framed: FramedLink, mut upstream: TcpStream) -> io::Result<()> {
    let mut parts = framed.into_parts();
    upstream.write_all(&parts.read_buf).await?;
    let (mut peer_read, mut peer_write) = parts.io.split();
    let (mut upstream_read, mut upstream_write) = upstream.split();
    let forwarded = tokio::select! {
    forwarded = copy(&mut peer_read, &mut upstream_write) => forwarded,
    forwarded = copy(&mut upstream_read, &mut peer_write) => forwarded,
    };
    forwarded.map(drop)
}

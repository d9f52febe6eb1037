//! Tunnels: a node that has lost its direct path to an upstream reaches it through a peer, which
//! opens a connection to the upstream and forwards the bytes of both sides.
//!
//! Requests, permits and ledgers stay at the node that opens the tunnel; its peer knows nothing but
//! the address. The first message on a connection to the peer names the upstream, the peer replies
//! with a message of its own, and the bytes of the connection follow. A peer opens connections to
//! registered upstreams only, and only by its own direct path, so a tunnel is never passed on.

use {
    crate::{
        connections::LentConnection,
        connector::{
            dial::{ConnectFailure, connect},
            live_stream::LiveStream,
            own_path::OwnPath,
        },
        log,
        reachability::PathState,
        telemetry,
        upstreams::Upstreams,
    },
    bytes::{Bytes, BytesMut},
    fernring_core::text::LogLine,
    fernring_protocol::{
        codec,
        gateway::{GatewayBody, GatewayFrame, TunnelRequest, TunnelResponse, TunnelResult},
    },
    futures_util::{
        FutureExt, SinkExt, StreamExt,
        stream::{LocalBoxStream, once, unfold},
    },
    prost::Message,
    std::{
        cell::Cell,
        io::{self, ErrorKind},
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
    tokio::{
        io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, Join, copy, join, split},
        net::{
            TcpStream,
            tcp::{OwnedReadHalf, OwnedWriteHalf},
        },
    },
    tokio_util::{
        codec::{Framed, FramedRead, FramedWrite, LengthDelimitedCodec},
        io::{ReaderStream, StreamReader},
    },
};

/// Most tunnels that a node carries for its peers. Each needs two file descriptors.
const TUNNELS_MAX: usize = 512;
/// Longest time in which a peer connects to the upstream: within
/// [`crate::connector::dial::CONNECT_TIMEOUT`], two peers can be tried.
const RELAY_CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Size of the buffer for an upstream's bytes.
const BUFFER_BYTES: usize = 16 << 10;
/// Largest frame of a relay, in bytes: many times its buffer.
const TUNNEL_FRAME_MAX_BYTES: usize = 1 << 20;

/// A tunnel to an upstream. Reading fails at its end, unless the upstream has ended its connection
/// in order.
pub type TunnelStream =
    Join<StreamReader<LocalBoxStream<'static, io::Result<Bytes>>, Bytes>, OwnedWriteHalf>;

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

/// Opens a tunnel to an upstream through a peer, as one of the peer's connections if `is_borrowed`.
/// `sender` is this node's own address.
///
/// # Errors
/// Returns the reason if the tunnel can't be opened.
pub async fn open(
    sender: SocketAddr,
    relay: SocketAddr,
    upstream: SocketAddr,
    is_borrowed: bool,
) -> Result<TunnelStream, TunnelFailure> {
    let mut framed = Framed::new(connect(relay).await?, codec());
    let request = TunnelRequest { address: upstream.to_string(), reads_frames: true, is_borrowed };
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
        TunnelResult::Open if is_borrowed && !response.is_lent => {
            return Err(TunnelFailure::Unavailable);
        }
        TunnelResult::Open => {}
        TunnelResult::Unavailable => return Err(TunnelFailure::Unavailable),
        TunnelResult::Refused => return Err(TunnelFailure::Upstream(ConnectFailure::Refused)),
        TunnelResult::Reset => return Err(TunnelFailure::Upstream(ConnectFailure::Reset)),
        TunnelResult::TimedOut => return Err(TunnelFailure::Upstream(ConnectFailure::TimedOut)),
    }
    let parts = framed.into_parts();
    if !parts.read_buf.is_empty() {
        // The upstream sends nothing before it has a request.
        return Err(TunnelFailure::NoReply("bytes before a request".to_owned()));
    }
    let (read, write) = parts.io.into_split();
    let received = match response.sends_frames {
        true => read_frames(read),
        // The relay closes its connection however the upstream's has ended.
        false => ReaderStream::new(read).chain(once(async { Err(broken_off()) })).boxed_local(),
    };
    Ok(join(StreamReader::new(received), write))
}

/// Returns the bytes of a relay that sends them in frames.
fn read_frames(read: OwnedReadHalf) -> LocalBoxStream<'static, io::Result<Bytes>> {
    let codec =
        LengthDelimitedCodec::builder().max_frame_length(TUNNEL_FRAME_MAX_BYTES).new_codec();
    let frames = FramedRead::new(read, codec);
    let next = |frames: Option<FramedRead<OwnedReadHalf, LengthDelimitedCodec>>| async {
        let mut frames = frames?;
        match frames.next().await {
            Some(Ok(frame)) if frame.is_empty() => None,
            Some(Ok(frame)) => Some((Ok(frame.freeze()), Some(frames))),
            Some(Err(error)) => Some((Err(error), None)),
            None => Some((Err(broken_off()), None)),
        }
    };
    unfold(Some(frames), next).boxed_local()
}

fn broken_off() -> io::Error {
    io::Error::new(ErrorKind::ConnectionReset, "the tunnel was broken off")
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
        let lent = request.is_borrowed.then(|| self.lend(&request)).flatten();
        let dialed = match request.is_borrowed && lent.is_none() {
            true => Err(TunnelResult::Unavailable),
            false => self.dial(&request).await,
        };
        let result = match &dialed {
            Ok(_) => TunnelResult::Open,
            Err(result) => *result,
        };
        telemetry::record_tunnel("relay", result.name());
        let line = LogLine::event("tunnel_relayed").with("address", &request.address);
        let line = line.with("result", result.name());
        let line = line.with("is_borrowed", request.is_borrowed);
        log::info(line.with("open", self.open_count()));
        let sends_frames = request.reads_frames;
        let response =
            TunnelResponse { result: result.into(), sends_frames, is_lent: lent.is_some() };
        let sent = send(&mut framed, own, GatewayBody::TunnelResponse(response)).await;
        if let (Ok(()), Ok(upstream)) = (sent, dialed)
            && let Err(error) = forward(framed, upstream, sends_frames).await
        {
            let line = LogLine::event("tunnel_broken").with("address", &request.address);
            log::info(line.with("error", error));
        }
    }

    /// Counts a tunnel as one of this node's connections to its upstream, if one is left.
    fn lend(&self, request: &TunnelRequest) -> Option<LentConnection> {
        self.upstreams.lend_connection(request.address.parse().ok()?)
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

/// Forwards bytes in both directions until either side closes its connection or its machine is gone.
/// Both connections are closed then: a caller that has left must not keep the upstream at work.
async fn forward(framed: FramedLink, upstream: TcpStream, in_frames: bool) -> io::Result<()> {
    let parts = framed.into_parts();
    let mut peer = LiveStream::new(parts.io)?;
    let mut upstream = LiveStream::new(upstream)?;
    upstream.write_all(&parts.read_buf).await?;
    let (mut peer_read, peer_write) = split(&mut peer);
    let (mut upstream_read, mut upstream_write) = split(&mut upstream);
    let mut frames = FramedWrite::new(peer_write, codec());
    let is_writing = Cell::new(false);
    let forwarded = tokio::select! {
    forwarded = forward_requests(&mut peer_read, &mut upstream_write, &is_writing) => forwarded,
    ended = forward_responses(&mut upstream_read, &mut frames, in_frames) => match ended {
        Ok(()) if is_writing.get() || has_more(&mut peer_read) => Err(unread_request()),
        // An empty frame says that the upstream has ended its connection in order.
        Ok(()) if in_frames => frames.send(Bytes::new()).await,
        ended => ended,
    },
    };
    if forwarded.is_err() {
        upstream.get_ref().set_zero_linger()?;
        if !in_frames {
            // Nothing else tells the peer that the bytes aren't whole.
            peer.get_ref().set_zero_linger()?;
        }
    }
    forwarded
}

/// Writes what a peer sends to the upstream. `is_writing` is set while the upstream doesn't read on.
async fn forward_requests(
    mut peer: impl AsyncRead + Unpin,
    mut upstream: impl AsyncWrite + Unpin,
    is_writing: &Cell<bool>,
) -> io::Result<()> {
    let mut buffer = BytesMut::new();
    loop {
        buffer.reserve(BUFFER_BYTES);
        if peer.read_buf(&mut buffer).await? == 0 {
            return Ok(());
        }
        is_writing.set(true);
        upstream.write_all(&buffer.split()).await?;
        is_writing.set(false);
    }
}

/// Returns whether a peer has sent more that is still to be read.
fn has_more(peer: &mut (impl AsyncRead + Unpin)) -> bool {
    matches!(peer.read(&mut [0]).now_or_never(), Some(Ok(1..)))
}

/// The error for an upstream that ends its connection before it has read its request: its response
/// may only look whole.
fn unread_request() -> io::Error {
    io::Error::new(ErrorKind::ConnectionReset, "the connection ended before the request")
}

/// Writes what an upstream sends to the peer, in frames or not, until the upstream ends its
/// connection in order.
async fn forward_responses(
    upstream: &mut (impl AsyncRead + Unpin),
    frames: &mut FramedWrite<impl AsyncWrite + Unpin, LengthDelimitedCodec>,
    in_frames: bool,
) -> io::Result<()> {
    if !in_frames {
        return copy(upstream, frames.get_mut()).await.map(drop);
    }
    let mut buffer = BytesMut::new();
    loop {
        buffer.reserve(BUFFER_BYTES);
        if upstream.read_buf(&mut buffer).await? == 0 {
            return Ok(());
        }
        frames.send(buffer.split().freeze()).await?;
    }
}

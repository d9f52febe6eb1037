//! Opens connections to upstreams: directly, or through a peer.
//!
//! [`dial`] opens direct connections, [`own_path`] records which upstreams they reach.

pub mod dial;
pub mod live_stream;
pub mod metered_stream;
pub mod own_path;

use {
    self::{
        dial::{CONNECT_TIMEOUT, ConnectFailure, Dial, TcpDialer, dial_in_time},
        live_stream::LiveStream,
        own_path::{ExchangeGuard, OwnPath},
    },
    crate::{
        log,
        reachability::PathState,
        relays::{Relay, rank},
        telemetry,
        tunnels::{TunnelFailure, TunnelStream},
    },
    async_trait::async_trait,
    fernring_core::{clock::Clock, text::LogLine},
    std::{
        cell::RefCell,
        collections::HashMap,
        fmt::{self, Debug},
        io,
        net::SocketAddr,
        pin::pin,
        rc::Rc,
        time::Duration,
    },
    tokio::{
        io::{AsyncRead, AsyncWrite},
        net::TcpStream,
        task::{JoinError, spawn_local},
        time::{Instant, timeout, timeout_at},
    },
};

/// Wait for a direct connection after which a tunnel is opened beside it: many round trips between
/// failure domains.
const TUNNEL_DELAY: Duration = Duration::from_millis(100);
/// Time within which a relay opens a tunnel or replies that it can't.
const RELAY_TIMEOUT: Duration = Duration::from_millis(250);
/// Relays that are tried for one connection.
const RELAYS_TRIED_MAX: usize = 3;
/// Peers that are asked to lend one connection. Most peers have one left while a single node has
/// most of the callers.
const LENDERS_ASKED_MAX: usize = 4;
/// How long a peer isn't asked again that had no connection to an upstream left.
const FULL_LENDER_TIME: Duration = Duration::from_millis(100);
/// How long a relay isn't tried again that opened no tunnel to an upstream.
const FAILED_RELAY_TIME: Duration = Duration::from_secs(1);

/// The way that a connection takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Path {
    /// From this node to the upstream.
    Direct,
    /// Through the peer with this address.
    Tunnel(SocketAddr),
    /// Through the peer with this address, as one of the connections that it may open.
    Borrowed(SocketAddr),
}

impl Path {
    /// Returns the name used in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::Direct => "direct",
            Self::Tunnel(_) => "tunnel",
            Self::Borrowed(_) => "borrowed",
        }
    }

    /// Returns whether the connection counts as one of a peer's.
    pub fn is_borrowed(self) -> bool {
        matches!(self, Self::Borrowed(_))
    }
}

/// Counts a tunnel as open until it is dropped.
#[derive(Debug)]
pub struct TunnelGuard {
    open_tunnels: Rc<RefCell<HashMap<SocketAddr, usize>>>,
    relay: SocketAddr,
}

impl TunnelGuard {
    fn new(open_tunnels: &Rc<RefCell<HashMap<SocketAddr, usize>>>, relay: SocketAddr) -> Self {
        *open_tunnels.borrow_mut().entry(relay).or_default() += 1;
        Self { open_tunnels: open_tunnels.clone(), relay }
    }
}

impl Drop for TunnelGuard {
    fn drop(&mut self) {
        let mut open_tunnels = self.open_tunnels.borrow_mut();
        if let Some(count) = open_tunnels.get_mut(&self.relay) {
            *count -= 1;
            if *count == 0 {
                open_tunnels.remove(&self.relay);
            }
        }
    }
}

/// The bytes of a connection.
pub trait ByteStream: AsyncRead + AsyncWrite + Unpin {}

impl<T: AsyncRead + AsyncWrite + Unpin> ByteStream for T {}

/// An open connection.
pub struct Connected {
    /// The connection.
    pub stream: Box<dyn ByteStream>,
    /// The way that it takes.
    pub path: Path,
    /// Its tunnel, if it takes one.
    pub tunnel: Option<TunnelGuard>,
}

impl Debug for Connected {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Connected").field("path", &self.path).finish_non_exhaustive()
    }
}

impl Connected {
    fn direct(stream: TcpStream) -> io::Result<Self> {
        let stream = Box::new(LiveStream::new(stream)?);
        Ok(Self { stream, path: Path::Direct, tunnel: None })
    }
}

/// Opens the connections of a [`crate::connections::ConnectionPool`].
#[async_trait(?Send)]
pub trait Connect: Debug {
    /// Opens a connection to an address.
    ///
    /// # Errors
    /// Returns the reason if no connection could be opened within [`CONNECT_TIMEOUT`].
    async fn connect(&self, address: SocketAddr) -> Result<Connected, ConnectFailure>;

    /// Opens a connection through a peer, as one of those that the peer may open.
    ///
    /// # Errors
    /// Returns the reason if no peer has one left.
    async fn borrow(&self, _address: SocketAddr) -> Result<Connected, ConnectFailure> {
        Err(ConnectFailure::NoPath)
    }

    /// Returns whether idle connections to an address on a path may be used.
    fn is_usable(&self, _address: SocketAddr, _path: Path) -> bool {
        true
    }

    /// Records that a request is sent on a connection, until the returned guard is dropped.
    fn track_exchange(&self, _path: Path) -> Option<ExchangeGuard> {
        None
    }

    /// Records that something was received on a connection.
    fn record_received(&self, _address: SocketAddr, _path: Path) {}

    /// Records that a connection was given up, since its other end was silent.
    fn record_silence(&self, _address: SocketAddr, _path: Path) {}
}

#[async_trait(?Send)]
impl Connect for TcpDialer {
    async fn connect(&self, address: SocketAddr) -> Result<Connected, ConnectFailure> {
        Ok(Connected::direct(dial_in_time(self, address, CONNECT_TIMEOUT).await?)?)
    }
}

/// Finds the peers that can open tunnels, and opens tunnels through them.
#[async_trait(?Send)]
pub trait TunnelTransport {
    /// Returns whether any peer opens tunnels now.
    fn has_relays(&self) -> bool;

    /// Lists the peers through which a tunnel to an upstream may be opened.
    fn relays(&self, upstream: SocketAddr) -> Vec<Relay>;

    /// Returns whether open tunnels through a peer may be used for further requests.
    fn is_usable(&self, relay: SocketAddr) -> bool;

    /// Opens a tunnel, as one of the relay's connections if `is_borrowed`.
    ///
    /// # Errors
    /// Returns the reason if the tunnel can't be opened.
    async fn open(
        &self,
        relay: SocketAddr,
        upstream: SocketAddr,
        is_borrowed: bool,
    ) -> Result<TunnelStream, TunnelFailure>;
}

/// Opens the connections of a node to upstreams: directly, or through a peer if that fails.
pub struct Connector {
    own_path: OwnPath,
    tunnels: RefCell<Option<Rc<dyn TunnelTransport>>>,
    /// Open tunnels, by relay.
    open_tunnels: Rc<RefCell<HashMap<SocketAddr, usize>>>,
    /// Relays that opened no tunnel to an upstream, and until when they aren't tried again.
    failed_relays: RefCell<HashMap<(SocketAddr, SocketAddr), Duration>>,
    /// Peers that lent no connection to an upstream, and until when they aren't asked again.
    failed_lenders: RefCell<HashMap<(SocketAddr, SocketAddr), Duration>>,
}

impl Debug for Connector {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Connector").field("own_path", &self.own_path).finish_non_exhaustive()
    }
}

impl Connector {
    /// Creates a connector that hasn't opened any connection.
    pub fn new(clock: Rc<dyn Clock>, dialer: Rc<dyn Dial>) -> Self {
        Self {
            own_path: OwnPath::new(clock, dialer),
            tunnels: RefCell::default(),
            open_tunnels: Rc::default(),
            failed_relays: RefCell::default(),
            failed_lenders: RefCell::default(),
        }
    }

    /// Returns this node's own path to the upstreams.
    pub fn own_path(&self) -> &OwnPath {
        &self.own_path
    }

    /// Forgets results that are too old.
    pub(crate) fn expire(&self) {
        self.own_path.expire();
        let now = self.own_path.now();
        for failed in [&self.failed_relays, &self.failed_lenders] {
            failed.borrow_mut().retain(|_, until| now < *until);
        }
    }

    /// Sets the transport of tunnels. Without it, all connections are direct.
    pub fn set_tunnel_transport(&self, tunnels: Rc<dyn TunnelTransport>) {
        *self.tunnels.borrow_mut() = Some(tunnels);
    }

    /// Lists the peers that may open a tunnel to an upstream, the best ones first, without those
    /// that failed.
    fn ranked_relays(
        &self,
        transport: &dyn TunnelTransport,
        upstream: SocketAddr,
        failed: &HashMap<(SocketAddr, SocketAddr), Duration>,
    ) -> Vec<SocketAddr> {
        let open_tunnels = self.open_tunnels.borrow();
        let now = self.own_path.now();
        let drawn = |relay: Relay| {
            let open_tunnels = open_tunnels.get(&relay.address).copied().unwrap_or(0);
            (Relay { open_tunnels, ..relay }, rand::random())
        };
        let mut relays = transport.relays(upstream);
        relays.retain(|relay| {
            failed.get(&(relay.address, upstream)).is_none_or(|until| now >= *until)
        });
        rank(relays.into_iter().map(drawn).collect())
    }

    /// Opens a tunnel to an upstream through one of the best relays.
    async fn open_tunnel(&self, address: SocketAddr) -> Result<Connected, TunnelFailure> {
        let transport = self.tunnels.borrow().clone();
        let transport = transport.ok_or(TunnelFailure::Unavailable)?;
        let mut failure = TunnelFailure::Unavailable;
        let relays = self.ranked_relays(&*transport, address, &self.failed_relays.borrow());
        for relay in relays.into_iter().take(RELAYS_TRIED_MAX) {
            let opened = timeout(RELAY_TIMEOUT, transport.open(relay, address, false)).await;
            let opened = opened.unwrap_or_else(|_| Err(timed_out()));
            telemetry::record_tunnel("client", if opened.is_ok() { "open" } else { "failed" });
            let line = LogLine::event("tunnel_opened").with("address", address);
            let line = line.with("relay", relay).with("is_open", opened.is_ok());
            log::info(line.with_some("reason", opened.as_ref().err()));
            match opened {
                Ok(stream) => {
                    let tunnel = Some(TunnelGuard::new(&self.open_tunnels, relay));
                    let stream = Box::new(LiveStream::new(stream)?);
                    let path = Path::Tunnel(relay);
                    return Ok(Connected { stream, path, tunnel });
                }
                Err(failed @ TunnelFailure::Upstream(_)) => return Err(failed),
                Err(failed) => failure = failed,
            }
            let until = self.own_path.now() + FAILED_RELAY_TIME;
            self.failed_relays.borrow_mut().insert((relay, address), until);
        }
        Err(failure)
    }

    /// Returns why an upstream wasn't reached, given why neither way to it could be opened. While
    /// the fault may lie in this node's own path, only a peer can tell that the upstream is at
    /// fault.
    fn combine(&self, direct: ConnectFailure, tunnel: &TunnelFailure) -> ConnectFailure {
        match tunnel {
            TunnelFailure::Upstream(failure) => *failure,
            _ if self.own_path.reachability().is_at_fault() => ConnectFailure::NoPath,
            _ => direct,
        }
    }

    /// Borrows a connection to an upstream from one of the peers with the fewest tunnels.
    async fn borrow_from_any(&self, address: SocketAddr) -> Result<Connected, ConnectFailure> {
        let transport = self.tunnels.borrow().clone().ok_or(ConnectFailure::NoPath)?;
        let lenders = self.ranked_relays(&*transport, address, &self.failed_lenders.borrow());
        for lender in lenders.into_iter().take(LENDERS_ASKED_MAX) {
            // Counts as failed if the lender doesn't reply before this node gives up.
            self.record_failed_lender(lender, address, FAILED_RELAY_TIME);
            let opened = transport.open(lender, address, true).await;
            telemetry::record_tunnel("borrower", if opened.is_ok() { "open" } else { "failed" });
            match opened {
                Ok(stream) => {
                    self.failed_lenders.borrow_mut().remove(&(lender, address));
                    let tunnel = Some(TunnelGuard::new(&self.open_tunnels, lender));
                    let stream = Box::new(LiveStream::new(stream)?);
                    let path = Path::Borrowed(lender);
                    return Ok(Connected { stream, path, tunnel });
                }
                Err(TunnelFailure::Upstream(failure)) => return Err(failure),
                Err(TunnelFailure::Unavailable) => {
                    self.record_failed_lender(lender, address, FULL_LENDER_TIME);
                }
                Err(TunnelFailure::NoReply(_)) => {}
            }
        }
        Err(ConnectFailure::NoPath)
    }

    fn record_failed_lender(&self, lender: SocketAddr, upstream: SocketAddr, time: Duration) {
        let until = self.own_path.now() + time;
        self.failed_lenders.borrow_mut().insert((lender, upstream), until);
    }

    fn is_relay_usable(&self, relay: SocketAddr) -> bool {
        let transport = self.tunnels.borrow();
        transport.as_ref().is_some_and(|transport| transport.is_usable(relay))
    }

    /// Returns the number of open tunnels.
    pub fn open_tunnel_count(&self) -> usize {
        self.open_tunnels.borrow().values().sum()
    }

    /// Returns whether this node has lost its direct path and knows no peer with a path.
    pub fn is_isolated(&self) -> bool {
        self.own_path.state() == PathState::Lost && {
            let transport = self.tunnels.borrow();
            transport.as_ref().is_none_or(|transport| !transport.has_relays())
        }
    }
}

#[async_trait(?Send)]
impl Connect for Connector {
    async fn connect(&self, address: SocketAddr) -> Result<Connected, ConnectFailure> {
        let deadline = Instant::now() + CONNECT_TIMEOUT;
        let tunnel = async {
            let opened = timeout_at(deadline, self.open_tunnel(address)).await;
            opened.unwrap_or_else(|_| Err(timed_out()))
        };
        if self.own_path.state() == PathState::Lost {
            let failed = |failure| self.combine(ConnectFailure::NoPath, &failure);
            return tunnel.await.map_err(failed);
        }
        let is_unreached = self.own_path.reachability().is_unreached(address);
        let tunnel_delay = if is_unreached { Duration::ZERO } else { TUNNEL_DELAY };
        // Goes on if the tunnel is faster, since its result says which way to take next.
        let own_path = self.own_path.clone();
        let mut direct =
            spawn_local(async move { own_path.connect(address, CONNECT_TIMEOUT).await });
        let failure = match timeout(tunnel_delay, &mut direct).await {
            Ok(Ok(Ok(stream))) => return Ok(Connected::direct(stream)?),
            // The upstream was reached; it would reset a connection of a peer, too.
            Ok(Ok(Err(ConnectFailure::Reset))) => return Err(ConnectFailure::Reset),
            Ok(dialed) => Some(dial_failure(dialed)),
            Err(_) => None,
        };
        let mut tunnel = pin!(tunnel);
        if let Some(failure) = failure {
            return tunnel.await.map_err(|error| self.combine(failure, &error));
        }
        tokio::select! {
        dialed = &mut direct => match dialed {
            Ok(Ok(stream)) => Ok(Connected::direct(stream)?),
            dialed => {
                let failure = dial_failure(dialed);
                tunnel.await.map_err(|error| self.combine(failure, &error))
            }
        },
        opened = &mut tunnel => match opened {
            Ok(opened) => Ok(opened),
            Err(error) => match direct.await {
                Ok(Ok(stream)) => Ok(Connected::direct(stream)?),
                dialed => Err(self.combine(dial_failure(dialed), &error)),
            },
        },
        }
    }

    async fn borrow(&self, address: SocketAddr) -> Result<Connected, ConnectFailure> {
        let borrowed = timeout(RELAY_TIMEOUT, self.borrow_from_any(address)).await;
        borrowed.unwrap_or(Err(ConnectFailure::NoPath))
    }

    fn is_usable(&self, address: SocketAddr, path: Path) -> bool {
        let is_unreached = self.own_path.reachability().is_unreached(address);
        match path {
            Path::Direct => !is_unreached,
            Path::Tunnel(relay) => is_unreached && self.is_relay_usable(relay),
            Path::Borrowed(relay) => self.is_relay_usable(relay),
        }
    }

    fn track_exchange(&self, path: Path) -> Option<ExchangeGuard> {
        (path == Path::Direct).then(|| self.own_path.track_exchange())
    }

    fn record_received(&self, address: SocketAddr, path: Path) {
        if path == Path::Direct {
            self.own_path.record(address, true);
        }
    }

    fn record_silence(&self, address: SocketAddr, path: Path) {
        if path == Path::Direct {
            self.own_path.record(address, false);
        }
    }
}

fn timed_out() -> TunnelFailure {
    TunnelFailure::NoReply("timed out".to_owned())
}

/// Returns why a direct connection wasn't opened.
fn dial_failure(dialed: Result<Result<TcpStream, ConnectFailure>, JoinError>) -> ConnectFailure {
    match dialed {
        Ok(Err(failure)) => failure,
        // The task was cancelled, which happens only when the process ends.
        Ok(Ok(_)) | Err(_) => ConnectFailure::TimedOut,
    }
}

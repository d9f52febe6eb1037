//! Opens connections to upstreams, and records which upstreams this node reaches.

use {
    crate::{connections::SendFailure, reachability::Reachability},
    async_trait::async_trait,
    fernring_core::clock::Clock,
    std::{
        cell::{Ref, RefCell},
        fmt::Debug,
        io::{self, ErrorKind},
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
    tokio::{
        net::{TcpSocket, TcpStream},
        time::timeout,
    },
};

/// Connect timeout. A round trip between failure domains takes a few milliseconds; half a second
/// leaves time to try another upstream within most objectives.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for which the kernel retransmits unacknowledged bytes. A machine that lost power never
/// resets its connections.
pub const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Opens TCP connections.
#[async_trait(?Send)]
pub trait Dial: Debug {
    /// Opens a connection to an address.
    ///
    /// # Errors
    /// Returns an error if the connection can't be opened.
    async fn dial(&self, address: SocketAddr) -> io::Result<TcpStream>;
}

/// Opens connections by the operating system's sockets.
#[derive(Debug, Default)]
pub struct TcpDialer;

#[async_trait(?Send)]
impl Dial for TcpDialer {
    async fn dial(&self, address: SocketAddr) -> io::Result<TcpStream> {
        connect(address).await
    }
}

/// Opens the connections of a [`crate::connections::ConnectionPool`].
#[async_trait(?Send)]
pub trait Connect: Debug {
    /// Opens a connection to an address.
    ///
    /// # Errors
    /// Returns the reason if no connection could be opened within [`CONNECT_TIMEOUT`].
    async fn connect(&self, address: SocketAddr) -> Result<TcpStream, ConnectFailure>;

    /// Records that a response was received on a connection to an address.
    fn record_response(&self, _address: SocketAddr) {}

    /// Records that a connection to an address was lost while a response was awaited.
    fn record_loss(&self, _address: SocketAddr) {}
}

#[async_trait(?Send)]
impl Connect for TcpDialer {
    async fn connect(&self, address: SocketAddr) -> Result<TcpStream, ConnectFailure> {
        dial_in_time(self, address).await
    }
}

async fn dial_in_time(dialer: &dyn Dial, address: SocketAddr) -> Result<TcpStream, ConnectFailure> {
    match timeout(CONNECT_TIMEOUT, dialer.dial(address)).await {
        Ok(dialed) => Ok(dialed?),
        Err(_) => Err(ConnectFailure::TimedOut),
    }
}

/// Opens a TCP connection for small messages to a peer that may disappear without closing it.
///
/// # Errors
/// Returns an error if the connection can't be opened.
pub async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_nodelay(true)?;
    socket2::SockRef::from(&socket).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
    socket.connect(address).await
}

/// Reason why no connection to an upstream was opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ConnectFailure {
    /// Nothing listens at the address.
    #[error("connect: connection refused")]
    Refused,
    /// The connection was opened and reset at once.
    #[error("connect: connection reset")]
    Reset,
    /// There was no response.
    #[error("connect timed out")]
    TimedOut,
    /// Any other failure.
    #[error("connect: {0}")]
    Failed(ErrorKind),
}

impl From<io::Error> for ConnectFailure {
    fn from(error: io::Error) -> Self {
        match error.kind() {
            ErrorKind::ConnectionRefused => Self::Refused,
            ErrorKind::ConnectionReset | ErrorKind::ConnectionAborted => Self::Reset,
            ErrorKind::TimedOut => Self::TimedOut,
            kind => Self::Failed(kind),
        }
    }
}

impl From<ConnectFailure> for SendFailure {
    fn from(failure: ConnectFailure) -> Self {
        match failure {
            ConnectFailure::Refused => Self::ConnectionRefused(failure.to_string()),
            _ => Self::NotSent(failure.to_string()),
        }
    }
}

/// Opens the connections of a node to upstreams.
#[derive(Debug)]
pub struct Connector {
    clock: Rc<dyn Clock>,
    dialer: Rc<dyn Dial>,
    reachability: RefCell<Reachability>,
}

impl Connector {
    /// Creates a connector that hasn't opened any connection.
    pub fn new(clock: Rc<dyn Clock>, dialer: Rc<dyn Dial>) -> Self {
        Self { clock, dialer, reachability: RefCell::default() }
    }

    /// Gives access to what this node reaches.
    pub fn reachability(&self) -> Ref<'_, Reachability> {
        self.reachability.borrow()
    }

    /// Returns the time on the node's clock.
    pub fn now(&self) -> Duration {
        self.clock.now().monotonic
    }

    fn record(&self, address: SocketAddr, is_reached: bool) {
        self.reachability.borrow_mut().record(self.now(), address, is_reached);
    }

    /// Forgets results that are too old.
    pub(crate) fn expire(&self, now: Duration) {
        self.reachability.borrow_mut().expire(now);
    }
}

#[async_trait(?Send)]
impl Connect for Connector {
    async fn connect(&self, address: SocketAddr) -> Result<TcpStream, ConnectFailure> {
        let dialed = dial_in_time(&*self.dialer, address).await;
        self.record(address, dialed.is_ok());
        dialed
    }

    fn record_response(&self, address: SocketAddr) {
        self.record(address, true);
    }

    fn record_loss(&self, address: SocketAddr) {
        self.record(address, false);
    }
}

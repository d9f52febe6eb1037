//! Opens direct TCP connections.

use {
    crate::{connections::SendFailure, eligibility::Ineligible},
    async_trait::async_trait,
    std::{
        fmt::Debug,
        io::{self, ErrorKind},
        net::SocketAddr,
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
    /// This node has lost its direct path, and no peer has one.
    #[error("no path to any upstream")]
    NoPath,
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
            ConnectFailure::NoPath => Self::Ineligible(Ineligible::NoPath),
            _ => Self::NotSent(failure.to_string()),
        }
    }
}

/// Opens a connection within a time limit.
pub(super) async fn dial_in_time(
    dialer: &dyn Dial,
    address: SocketAddr,
    time_limit: Duration,
) -> Result<TcpStream, ConnectFailure> {
    match timeout(time_limit, dialer.dial(address)).await {
        Ok(dialed) => Ok(dialed?),
        Err(_) => Err(ConnectFailure::TimedOut),
    }
}

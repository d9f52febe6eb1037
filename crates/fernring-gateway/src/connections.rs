//! Connections to upstreams: one request at a time on each, kept while idle, never reused after
//! anything odd.

use {
    crate::{barred::Barred, endings::Break},
    bytes::Bytes,
    fernring_core::clock::Clock,
    http::{Request, Response, response::Parts},
    http_body_util::Full,
    hyper::{
        body::{Body, Frame, Incoming, SizeHint},
        client::conn::http1::{self, SendRequest},
    },
    hyper_util::rt::TokioIo,
    std::{
        cell::RefCell,
        io::{self, ErrorKind},
        net::SocketAddr,
        pin::Pin,
        rc::Rc,
        task::{Context, Poll},
        time::Duration,
    },
    thiserror::Error,
    tokio::{
        net::{TcpSocket, TcpStream},
        task::AbortHandle,
        time::timeout,
    },
};

/// Longest wait for a connection. A round trip between failure domains takes a few milliseconds;
/// half a second leaves time for another upstream within most objectives.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long the kernel tries to deliver sent bytes. A peer without power never says so.
pub const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long an idle connection is kept when the upstream doesn't say how long it keeps it.
const IDLE_TIMEOUT_DEFAULT: Duration = Duration::from_secs(4);
/// How much sooner than the upstream this side gives an idle connection up.
const IDLE_MARGIN: Duration = Duration::from_millis(500);
/// Most idle connections kept to one upstream.
const IDLE_CONNECTIONS_MAX: usize = 16;
/// Most bytes of an answer that are held while nobody takes them.
const BUFFER_BYTES_MAX: usize = 64 << 10;
/// Longest wait until an idle connection takes a request; one that is sound takes it at once.
const READY_TIMEOUT: Duration = Duration::from_millis(50);

/// Why a send brought no answer.
#[derive(Debug, Error)]
pub enum SendFailure {
    /// Nothing was written.
    #[error("not sent: {0}")]
    NotSent(String),
    /// Nothing was written, since nobody listens there.
    #[error("not sent: {0}")]
    NoListener(String),
    /// Nothing was written, since the upstream may get nothing new.
    #[error("{0}")]
    Ineligible(Barred),
    /// It may have been written, in whole or in part.
    #[error("no answer: {0}")]
    Broken(ConnectionLoss),
}

/// That a connection broke off, and how.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{reason}")]
pub struct ConnectionLoss {
    /// What was seen.
    pub reason: String,
    /// How, if it was the connection that broke and not an answer that can't be read.
    pub kind: Option<Break>,
}

impl ConnectionLoss {
    /// Nothing came any more.
    pub fn silent(reason: &str) -> Self {
        Self { reason: reason.to_owned(), kind: Some(Break::Silent) }
    }
}

impl From<&hyper::Error> for ConnectionLoss {
    fn from(error: &hyper::Error) -> Self {
        Self { reason: describe(error), kind: break_kind(error) }
    }
}

/// Tells how a connection broke; `None` if it is the answer that can't be read.
fn break_kind(error: &hyper::Error) -> Option<Break> {
    let sources = std::iter::successors(std::error::Error::source(error), |error| error.source());
    let kind = sources.filter_map(|source| source.downcast_ref::<io::Error>()).next();
    match kind.map(io::Error::kind) {
        Some(ErrorKind::TimedOut | ErrorKind::HostUnreachable | ErrorKind::NetworkUnreachable) => {
            Some(Break::Silent)
        }
        Some(ErrorKind::InvalidData | ErrorKind::InvalidInput) => None,
        None if error.is_parse() => None,
        _ => Some(Break::Closed),
    }
}

/// Ends a connection's task when dropped, which closes the connection.
#[derive(Debug)]
struct TaskGuard(AbortHandle);

impl Drop for TaskGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

#[derive(Debug)]
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    _task: TaskGuard,
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    expires_at: Duration,
}

#[derive(Debug, Default)]
struct PoolState {
    idle: Vec<IdleConnection>,
    open: usize,
    /// Tasks of all connections that were opened and haven't ended.
    tasks: Vec<AbortHandle>,
}

/// The connections to one upstream.
#[derive(Debug, Clone)]
pub struct ConnectionPool {
    address: SocketAddr,
    clock: Rc<dyn Clock>,
    shared: Rc<RefCell<PoolState>>,
}

/// An answer whose body is still to come.
#[derive(Debug)]
pub struct UpstreamResponse {
    /// Its head.
    pub head: Parts,
    /// Its body.
    pub body: ResponseBody,
}

impl ConnectionPool {
    /// Creates the pool of an upstream.
    pub fn new(address: SocketAddr, clock: Rc<dyn Clock>) -> Self {
        Self { address, clock, shared: Rc::default() }
    }

    fn now(&self) -> Duration {
        self.clock.now().monotonic
    }

    /// Returns the address that it connects to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of connections, idle ones included.
    pub fn open_count(&self) -> usize {
        self.shared.borrow().open
    }

    /// Closes idle connections whose time is over.
    pub fn expire(&self) {
        let now = self.now();
        let mut shared = self.shared.borrow_mut();
        let before = shared.idle.len();
        shared.idle.retain(|idle| idle.expires_at > now && !idle.connection.sender.is_closed());
        shared.open -= before - shared.idle.len();
    }

    /// Closes all idle connections: one has failed, and the others may have gone silent or be closed at the
    /// other end without a sign, which only the next request on them would find out.
    pub fn close_idle(&self) {
        let idle = std::mem::take(&mut self.shared.borrow_mut().idle);
        self.shared.borrow_mut().open -= idle.len();
    }

    /// Closes all connections, those in use included: what waits on them fails at once.
    pub fn close(&self) {
        self.close_idle();
        for task in std::mem::take(&mut self.shared.borrow_mut().tasks) {
            task.abort();
        }
    }

    /// Sends a request and waits for the head of its answer. At most `open_max` connections are
    /// opened.
    ///
    /// # Errors
    /// If no answer came. [`SendFailure::NotSent`] is given only if nothing was written.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
        open_max: usize,
    ) -> Result<UpstreamResponse, SendFailure> {
        self.send_if(request, open_max, async || Ok(())).await
    }

    /// Sends a request like [`Pool::send`], if `check` allows it at the moment at which its first byte would leave:
    /// a connection may take half a second to be there, and what held when the upstream was chosen may hold no more.
    ///
    /// # Errors
    /// The same; [`SendFailure::Barred`] if `check` doesn't allow it.
    pub async fn send_if(
        &self,
        request: Request<Full<Bytes>>,
        open_max: usize,
        mut check: impl AsyncFnMut() -> Result<(), Barred>,
    ) -> Result<UpstreamResponse, SendFailure> {
        let mut request = request;
        while let Some(connection) = self.checkout_idle().await {
            check().await.map_err(SendFailure::Ineligible)?;
            match self.exchange(connection, request).await {
                Ok(answer) => return Ok(answer),
                Err(ExchangeError::NotSent(unsent)) => request = *unsent,
                Err(ExchangeError::Broken(broke)) => return Err(SendFailure::Broken(broke)),
            }
        }
        if self.open_count() >= open_max.max(1) {
            return Err(SendFailure::NotSent(format!("{} connections are open", self.open_count())));
        }
        let connection = self.connect().await?;
        check().await.map_err(SendFailure::Ineligible)?;
        match self.exchange(connection, request).await {
            Ok(answer) => Ok(answer),
            Err(ExchangeError::NotSent(_)) => Err(SendFailure::NotSent("closed at once".to_owned())),
            Err(ExchangeError::Broken(broke)) => Err(SendFailure::Broken(broke)),
        }
    }

    async fn checkout_idle(&self) -> Option<ActiveConnection> {
        loop {
            self.expire();
            let idle = self.shared.borrow_mut().idle.pop()?;
            let mut open = ActiveConnection { connection: Some(idle.connection), pool: self.clone() };
            if timeout(READY_TIMEOUT, open.sender().ready()).await.is_ok_and(|ready| ready.is_ok())
            {
                return Some(open);
            }
        }
    }

    async fn connect(&self) -> Result<ActiveConnection, SendFailure> {
        self.shared.borrow_mut().open += 1;
        let mut open = ActiveConnection { connection: None, pool: self.clone() };
        let stream = timeout(CONNECT_TIMEOUT, connect(self.address))
            .await
            .map_err(|_| SendFailure::NotSent("connect timed out".to_owned()))?
            .map_err(connect_failure)?;
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(BUFFER_BYTES_MAX)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| SendFailure::NotSent(format!("connect: {error}")))?;
        // An error of the connection also reaches the request on it, which reports it.
        let task = tokio::task::spawn_local(async move { drop(connection.await) });
        let mut shared = self.shared.borrow_mut();
        shared.tasks.retain(|task| !task.is_finished());
        shared.tasks.push(task.abort_handle());
        drop(shared);
        open.connection = Some(Connection { sender, _task: TaskGuard(task.abort_handle()) });
        Ok(open)
    }

    async fn exchange(
        &self,
        mut open: ActiveConnection,
        request: Request<Full<Bytes>>,
    ) -> Result<UpstreamResponse, ExchangeError> {
        match open.sender().try_send_request(request).await {
            Ok(response) => Ok(into_response(open, response)),
            Err(mut error) => match error.take_message() {
                Some(request) => Err(ExchangeError::NotSent(Box::new(request))),
                None => Err(ExchangeError::Broken(error.error().into())),
            },
        }
    }

    fn return_idle(&self, connection: Connection, keep: Duration) {
        let until = self.now() + keep;
        let mut shared = self.shared.borrow_mut();
        if shared.idle.len() >= IDLE_CONNECTIONS_MAX || connection.sender.is_closed() || keep.is_zero() {
            shared.open -= 1;
            return;
        }
        shared.idle.push(IdleConnection { connection, expires_at: until });
    }
}

enum ExchangeError {
    /// Nothing was written; here it is back.
    NotSent(Box<Request<Full<Bytes>>>),
    /// It may have been written.
    Broken(ConnectionLoss),
}

fn connect_failure(error: io::Error) -> SendFailure {
    let reason = format!("connect: {error}");
    match error.kind() {
        ErrorKind::ConnectionRefused => SendFailure::NoListener(reason),
        _ => SendFailure::NotSent(reason),
    }
}

/// Describes an error with its cause, since hyper's own text leaves the cause out.
fn describe(error: &hyper::Error) -> String {
    match std::error::Error::source(error) {
        Some(cause) => format!("{error}: {cause}"),
        None => error.to_string(),
    }
}

/// Opens a TCP connection for small messages to a peer that may vanish.
///
/// # Errors
/// If it can't be opened.
pub async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_nodelay(true)?;
    socket2::SockRef::from(&socket).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
    socket.connect(address).await
}

/// A connection in use; counted until it is dropped or put back.
#[derive(Debug)]
struct ActiveConnection {
    connection: Option<Connection>,
    pool: ConnectionPool,
}

impl ActiveConnection {
    fn sender(&mut self) -> &mut SendRequest<Full<Bytes>> {
        &mut self.connection.as_mut().expect("in use until dropped").sender
    }

    fn return_to_pool(mut self, keep: Duration) {
        if let Some(connection) = self.connection.take() {
            self.pool.return_idle(connection, keep);
            self.pool.shared.borrow_mut().open += 1;
        }
        // Dropping `self` takes one off again.
    }
}

impl Drop for ActiveConnection {
    fn drop(&mut self) {
        self.pool.shared.borrow_mut().open -= 1;
    }
}

fn into_response(open: ActiveConnection, response: Response<Incoming>) -> UpstreamResponse {
    let (head, body) = response.into_parts();
    let body = ResponseBody { body, open: Some(open), idle_timeout: IDLE_TIMEOUT_DEFAULT };
    UpstreamResponse { head, body }
}

/// The body of an answer. Its connection goes back to the pool after the last byte; dropped
/// sooner, the connection is closed, which tells the upstream to stop.
#[derive(Debug)]
pub struct ResponseBody {
    body: Incoming,
    open: Option<ActiveConnection>,
    idle_timeout: Duration,
}

impl ResponseBody {
    /// Says how long the upstream keeps the connection while it is idle.
    pub fn set_idle_timeout(&mut self, idle_timeout: Duration) {
        self.idle_timeout = idle_timeout.saturating_sub(IDLE_MARGIN);
    }

    /// Closes the connection now.
    pub fn close(&mut self) {
        self.open = None;
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let this = self.get_mut();
        let polled = Pin::new(&mut this.body).poll_frame(context);
        match &polled {
            Poll::Ready(None) => {
                if let Some(open) = this.open.take() {
                    open.return_to_pool(this.idle_timeout);
                }
            }
            Poll::Ready(Some(Err(_))) => this.open = None,
            Poll::Ready(Some(Ok(_))) | Poll::Pending => {}
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

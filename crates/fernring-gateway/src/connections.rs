//! Connections to upstreams. A connection carries one request at a time, is kept open while idle,
//! and is closed after any irregularity.

use {
    crate::{
        connector::{
            Connect, Connected, Path, TunnelGuard,
            dial::ConnectFailure,
            metered_stream::{MeteredStream, SharedProgress},
        },
        crash_detection::Disconnect,
        eligibility::Ineligible,
    },
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
        any::Any,
        cell::RefCell,
        io::{self, ErrorKind},
        net::SocketAddr,
        pin::Pin,
        rc::Rc,
        task::{Context, Poll},
        time::Duration,
    },
    thiserror::Error,
    tokio::{task::AbortHandle, time::timeout},
};

/// Time for which an idle connection is kept if the upstream doesn't announce its own idle timeout.
const IDLE_TIMEOUT_DEFAULT: Duration = Duration::from_secs(4);
/// Time by which an idle connection is closed before the upstream would close it.
const IDLE_MARGIN: Duration = Duration::from_millis(500);
/// Time for which an idle connection of a peer is kept. The peer may need it for its own callers.
const BORROWED_IDLE_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest number of idle connections to one upstream.
const IDLE_CONNECTIONS_MAX: usize = 16;
/// Largest number of response bytes that are buffered while they aren't read.
const BUFFER_BYTES_MAX: usize = 64 << 10;
/// Longest wait until an idle connection accepts a request; a sound one accepts it at once.
const READY_TIMEOUT: Duration = Duration::from_millis(50);

/// Reason why a send got no response.
#[derive(Debug, Error)]
pub enum SendFailure {
    /// Nothing was written.
    #[error("not sent: {0}")]
    NotSent(String),
    /// Nothing was written, since the connection was refused.
    #[error("not sent: {0}")]
    ConnectionRefused(String),
    /// Nothing was written, since the upstream is ineligible for new requests.
    #[error("{0}")]
    Ineligible(Ineligible),
    /// The request may have been written, in whole or in part.
    #[error("no response: {0}")]
    Broken(ConnectionLoss),
}

/// Loss of a connection in the middle of an exchange.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{reason}")]
pub struct ConnectionLoss {
    /// Description for the log.
    pub reason: String,
    /// How the connection ended; `None` if it was the response that can't be parsed.
    pub kind: Option<Disconnect>,
}

impl ConnectionLoss {
    /// Creates the loss of a connection that its other end closed.
    pub fn closed(reason: &str) -> Self {
        Self { reason: reason.to_owned(), kind: Some(Disconnect::Closed) }
    }

    /// Creates the loss of a connection from which nothing more arrived.
    pub fn silent(reason: &str) -> Self {
        Self { reason: reason.to_owned(), kind: Some(Disconnect::Silent) }
    }
}

impl From<&hyper::Error> for ConnectionLoss {
    fn from(error: &hyper::Error) -> Self {
        Self { reason: describe(error), kind: disconnect_kind(error) }
    }
}

/// Returns how a connection ended; `None` if it is the response that can't be parsed.
fn disconnect_kind(error: &hyper::Error) -> Option<Disconnect> {
    let sources = std::iter::successors(std::error::Error::source(error), |error| error.source());
    let kind = sources.filter_map(|source| source.downcast_ref::<io::Error>()).next();
    match kind.map(io::Error::kind) {
        Some(ErrorKind::TimedOut | ErrorKind::HostUnreachable | ErrorKind::NetworkUnreachable) => {
            Some(Disconnect::Silent)
        }
        Some(ErrorKind::InvalidData | ErrorKind::InvalidInput) => None,
        None if error.is_parse() => None,
        _ => Some(Disconnect::Closed),
    }
}

/// Aborts a connection's task when dropped, which closes the connection.
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
    path: Path,
    progress: SharedProgress,
    _tunnel: Option<TunnelGuard>,
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
    open_count: usize,
    /// Open connections that count as those of peers.
    borrowed_count: usize,
    /// Connections that are open for peers.
    lent_count: usize,
    /// Tasks of all open connections; finished ones are removed when the next connection is opened.
    tasks: Vec<AbortHandle>,
}

impl PoolState {
    /// Returns the number of connections that count as this node's.
    fn own_count(&self) -> usize {
        self.open_count - self.borrowed_count + self.lent_count
    }

    fn count_opened(&mut self, is_borrowed: bool) {
        self.open_count += 1;
        self.borrowed_count += usize::from(is_borrowed);
    }

    fn count_closed(&mut self, is_borrowed: bool) {
        self.open_count -= 1;
        self.borrowed_count -= usize::from(is_borrowed);
    }

    /// Closes an idle connection that counts as this node's; `None` if there is none.
    fn close_own_idle(&mut self) -> Option<()> {
        let index = self.idle.iter().position(|idle| !idle.connection.path.is_borrowed())?;
        self.idle.swap_remove(index);
        self.count_closed(false);
        Some(())
    }

    /// Closes the idle connections for which `is_kept` doesn't hold.
    fn retain_idle(&mut self, is_kept: impl Fn(&IdleConnection) -> bool) {
        let (kept, closed) = std::mem::take(&mut self.idle).into_iter().partition(is_kept);
        self.idle = kept;
        let closed: Vec<IdleConnection> = closed;
        for idle in &closed {
            self.count_closed(idle.connection.path.is_borrowed());
        }
    }
}

/// A connection of this node that a peer uses, until it is dropped.
#[derive(Debug)]
pub struct LentConnection(Rc<RefCell<PoolState>>);

impl Drop for LentConnection {
    fn drop(&mut self) {
        self.0.borrow_mut().lent_count -= 1;
    }
}

/// The connections to one upstream.
#[derive(Debug, Clone)]
pub struct ConnectionPool {
    address: SocketAddr,
    clock: Rc<dyn Clock>,
    connector: Rc<dyn Connect>,
    state: Rc<RefCell<PoolState>>,
}

/// A response whose body is still to be read.
#[derive(Debug)]
pub struct UpstreamResponse {
    /// Status and headers.
    pub head: Parts,
    /// Body of the response.
    pub body: ResponseBody,
    /// The way that the response took.
    pub path: Path,
}

impl ConnectionPool {
    /// Creates an empty pool of connections to an upstream.
    pub fn new(address: SocketAddr, clock: Rc<dyn Clock>, connector: Rc<dyn Connect>) -> Self {
        Self { address, clock, connector, state: Rc::default() }
    }

    fn now(&self) -> Duration {
        self.clock.now().monotonic
    }

    /// Returns the upstream's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of open connections, idle ones included.
    pub fn open_count(&self) -> usize {
        self.state.borrow().open_count
    }

    /// Closes idle connections that have expired or that the upstream has closed.
    pub fn expire(&self) {
        let now = self.now();
        self.state.borrow_mut().retain_idle(|idle| {
            idle.expires_at > now
                && !idle.connection.sender.is_closed()
                && self.connector.is_usable(self.address, idle.connection.path)
        });
    }

    /// Counts a connection of a peer as one of at most `open_max` of this node, in place of an idle
    /// one if need be; `None` if none is left.
    pub fn lend(&self, open_max: usize) -> Option<LentConnection> {
        self.expire();
        let mut state = self.state.borrow_mut();
        if state.own_count() >= open_max {
            state.close_own_idle()?;
        }
        state.lent_count += 1;
        Some(LentConnection(self.state.clone()))
    }

    /// Closes all idle connections. Called after one has failed: others may be dead as well without
    /// any sign, which only the next request on them would reveal.
    pub fn close_idle(&self) {
        self.state.borrow_mut().retain_idle(|_| false);
    }

    /// Closes all connections, including those in use: pending exchanges fail at once.
    pub fn close(&self) {
        self.close_idle();
        for task in std::mem::take(&mut self.state.borrow_mut().tasks) {
            task.abort();
        }
    }

    /// Sends a request and waits for the head of its response. Opens a new connection if fewer than
    /// `open_max` count as this node's, or else borrows one of a peer.
    ///
    /// # Errors
    /// Returns a [`SendFailure`] if no response arrived. [`SendFailure::NotSent`] guarantees that
    /// nothing was written.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
        open_max: usize,
    ) -> Result<UpstreamResponse, SendFailure> {
        self.send_if(request, open_max, async || Ok(())).await
    }

    /// Sends a request like [`ConnectionPool::send`], if `check` allows it just before the first
    /// byte is written. Opening a connection can take half a second, so the conditions under which
    /// the upstream was chosen may no longer hold.
    ///
    /// # Errors
    /// As for [`ConnectionPool::send`], and [`SendFailure::Ineligible`] if `check` doesn't allow
    /// the send.
    pub async fn send_if(
        &self,
        request: Request<Full<Bytes>>,
        open_max: usize,
        mut check: impl AsyncFnMut() -> Result<(), Ineligible>,
    ) -> Result<UpstreamResponse, SendFailure> {
        let mut request = request;
        while let Some(connection) = self.checkout_idle().await {
            check().await.map_err(SendFailure::Ineligible)?;
            match self.exchange(connection, request).await {
                Ok(response) => return Ok(response),
                Err(ExchangeError::NotSent(returned)) => request = *returned,
                Err(ExchangeError::Broken(loss)) => return Err(SendFailure::Broken(loss)),
            }
        }
        let connection = self.connect(open_max.max(1)).await?;
        check().await.map_err(SendFailure::Ineligible)?;
        match self.exchange(connection, request).await {
            Ok(response) => Ok(response),
            Err(ExchangeError::NotSent(_)) => {
                Err(SendFailure::NotSent("closed immediately".to_owned()))
            }
            Err(ExchangeError::Broken(loss)) => Err(SendFailure::Broken(loss)),
        }
    }

    async fn checkout_idle(&self) -> Option<ActiveConnection> {
        loop {
            self.expire();
            let idle = self.state.borrow_mut().idle.pop()?;
            let is_borrowed = idle.connection.path.is_borrowed();
            let connection = Some(idle.connection);
            let mut active = ActiveConnection { connection, is_borrowed, pool: self.clone() };
            if timeout(READY_TIMEOUT, active.sender().ready())
                .await
                .is_ok_and(|ready| ready.is_ok())
            {
                return Some(active);
            }
        }
    }

    async fn connect(&self, open_max: usize) -> Result<ActiveConnection, SendFailure> {
        let is_borrowed = self.state.borrow().own_count() >= open_max;
        self.state.borrow_mut().count_opened(is_borrowed);
        let mut active = ActiveConnection { connection: None, is_borrowed, pool: self.clone() };
        let connected = match is_borrowed {
            true => self.connector.borrow(self.address).await.map_err(|failure| match failure {
                ConnectFailure::NoPath => SendFailure::Ineligible(Ineligible::NoConnection),
                failure => failure.into(),
            })?,
            false => self.connector.connect(self.address).await?,
        };
        let Connected { stream, path, tunnel } = connected;
        let stream = MeteredStream::new(stream, self.address, self.clock.clone());
        let progress = stream.progress().clone();
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(BUFFER_BYTES_MAX)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| SendFailure::NotSent(format!("connect: {error}")))?;
        // An error of the connection also reaches the request on it, which reports it.
        let task = tokio::task::spawn_local(async move { drop(connection.await) });
        let mut state = self.state.borrow_mut();
        state.tasks.retain(|task| !task.is_finished());
        state.tasks.push(task.abort_handle());
        drop(state);
        active.connection = Some(Connection {
            sender,
            path,
            progress,
            _tunnel: tunnel,
            _task: TaskGuard(task.abort_handle()),
        });
        Ok(active)
    }

    async fn exchange(
        &self,
        mut active: ActiveConnection,
        request: Request<Full<Bytes>>,
    ) -> Result<UpstreamResponse, ExchangeError> {
        let path = active.path();
        let _exchange = self.connector.track_exchange(path);
        active.progress().borrow_mut().start();
        match active.sender().try_send_request(request).await {
            Ok(response) => {
                self.connector.record_received(self.address, path);
                Ok(into_response(active, response))
            }
            Err(mut error) => match error.take_message() {
                Some(request) => Err(ExchangeError::NotSent(Box::new(request))),
                None => {
                    let loss = ConnectionLoss::from(error.error());
                    if loss.kind == Some(Disconnect::Silent) {
                        self.connector.record_silence(self.address, path);
                    }
                    Err(ExchangeError::Broken(loss))
                }
            },
        }
    }

    fn return_idle(&self, connection: Connection, idle_timeout: Duration) {
        let is_borrowed = connection.path.is_borrowed();
        let idle_timeout = match is_borrowed {
            true => idle_timeout.min(BORROWED_IDLE_TIMEOUT),
            false => idle_timeout,
        };
        let expires_at = self.now() + idle_timeout;
        let mut state = self.state.borrow_mut();
        if state.idle.len() >= IDLE_CONNECTIONS_MAX
            || connection.sender.is_closed()
            || !self.connector.is_usable(self.address, connection.path)
            || idle_timeout.is_zero()
        {
            state.count_closed(is_borrowed);
            return;
        }
        state.idle.push(IdleConnection { connection, expires_at });
    }
}

enum ExchangeError {
    /// Nothing was written; contains the request.
    NotSent(Box<Request<Full<Bytes>>>),
    /// The request may have been written.
    Broken(ConnectionLoss),
}

/// Describes an error together with its cause, which hyper's own text leaves out.
fn describe(error: &hyper::Error) -> String {
    match std::error::Error::source(error) {
        Some(cause) => format!("{error}: {cause}"),
        None => error.to_string(),
    }
}

/// A connection in use. It counts as open until it is dropped; returned to the pool, it stays open.
#[derive(Debug)]
struct ActiveConnection {
    connection: Option<Connection>,
    is_borrowed: bool,
    pool: ConnectionPool,
}

impl ActiveConnection {
    fn sender(&mut self) -> &mut SendRequest<Full<Bytes>> {
        &mut self.connection.as_mut().expect("present until dropped").sender
    }

    fn progress(&self) -> &SharedProgress {
        &self.connection.as_ref().expect("present until dropped").progress
    }

    fn record_received(&self) {
        self.pool.connector.record_received(self.pool.address, self.path());
    }

    fn path(&self) -> Path {
        self.connection.as_ref().expect("present until dropped").path
    }

    fn return_to_pool(mut self, idle_timeout: Duration) {
        if let Some(connection) = self.connection.take() {
            self.pool.return_idle(connection, idle_timeout);
            self.pool.state.borrow_mut().count_opened(self.is_borrowed);
        }
        // Compensates for the decrement when `self` is dropped.
    }
}

impl Drop for ActiveConnection {
    fn drop(&mut self) {
        self.pool.state.borrow_mut().count_closed(self.is_borrowed);
    }
}

fn into_response(active: ActiveConnection, response: Response<Incoming>) -> UpstreamResponse {
    let (head, body) = response.into_parts();
    let path = active.path();
    let body = ResponseBody {
        body,
        connection: Some(active),
        idle_timeout: IDLE_TIMEOUT_DEFAULT,
        kept: None,
    };
    UpstreamResponse { head, body, path }
}

/// The body of a response. Its connection returns to the pool after the last byte. If the body is
/// dropped earlier, the connection is closed, which tells the upstream to stop.
#[derive(Debug)]
pub struct ResponseBody {
    body: Incoming,
    connection: Option<ActiveConnection>,
    idle_timeout: Duration,
    /// What is to be dropped together with the body.
    kept: Option<Box<dyn Any>>,
}

impl ResponseBody {
    /// Keeps a value until the body is dropped.
    pub fn keep_until_end(&mut self, kept: impl Any) {
        self.kept = Some(Box::new(kept));
    }

    /// Sets how long the upstream keeps the connection open while it is idle.
    pub fn set_idle_timeout(&mut self, idle_timeout: Duration) {
        self.idle_timeout = idle_timeout.saturating_sub(IDLE_MARGIN);
    }

    /// Limits what is read of it, data and framing together: chunks of a single byte have more
    /// framing than data. The exact limit of the data is up to the reader.
    pub fn limit(&mut self, bytes_max: usize) {
        if let Some(active) = &self.connection {
            active.progress().borrow_mut().limit_body(bytes_max);
        }
    }

    /// Closes the connection immediately.
    pub fn close(&mut self) {
        self.connection = None;
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
                if let Some(active) = this.connection.take() {
                    active.return_to_pool(this.idle_timeout);
                }
            }
            Poll::Ready(Some(Err(_))) => this.connection = None,
            Poll::Ready(Some(Ok(frame))) => {
                if let Some(active) = &this.connection {
                    active.record_received();
                    let length = frame.data_ref().map_or(0, Bytes::len);
                    active.progress().borrow_mut().record_delivered(length);
                }
            }
            Poll::Pending => {}
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

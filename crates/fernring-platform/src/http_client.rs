//! HTTP client whose connections are bounded below the HTTP library: the library itself reads
//! interim responses and the sizes of chunks without end.

use {
    bytes::Bytes,
    fernring_core::text::LogLine,
    http::{HeaderMap, Request, Response, StatusCode, Uri},
    http_body_util::{BodyExt, Full},
    hyper::body::Incoming,
    hyper_util::{
        client::legacy::{
            Client,
            connect::{Connected, Connection, HttpConnector},
        },
        rt::{TokioExecutor, TokioIo, TokioTimer},
    },
    spdlog::warn,
    std::{
        error::Error,
        io::{self, ErrorKind, IoSlice},
        net::IpAddr,
        pin::Pin,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        task::{Context, Poll, ready},
        time::Duration,
    },
    thiserror::Error,
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
    },
    tower_service::Service,
};

/// Most bytes that may arrive on a connection before the head of a response, or between two parts of
/// its body. More than the HTTP library buffers.
const OVERHEAD_MAX_BYTES: usize = 1 << 20;
/// How long a connection is kept for the next request.
const IDLE_MAX: Duration = Duration::from_secs(90);
/// Interval of probes on a silent connection.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(15);
/// Unanswered probes after which a connection is closed.
const KEEPALIVE_PROBES_MAX: u32 = 3;
/// Time for which the kernel retransmits unacknowledged bytes.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(30);

/// The reason why there is no response, or no more of its body.
#[derive(Debug, Error)]
pub enum HttpError {
    /// There was no response.
    #[error("{}", error_chain(.0))]
    Request(#[from] hyper_util::client::legacy::Error),
    /// The connection failed within the body.
    #[error("{}", error_chain(.0))]
    Body(#[from] hyper::Error),
}

impl HttpError {
    /// Returns whether no connection was opened, so that nothing of the request was sent.
    pub fn is_connect(&self) -> bool {
        matches!(self, Self::Request(error) if error.is_connect())
    }
}

/// Formats an error with its causes.
fn error_chain(error: &dyn Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    text
}

/// How a client opens and keeps connections.
#[derive(Debug, Clone, Copy, Default)]
pub struct ConnectionOptions {
    /// Local address of the connections.
    pub source: Option<IpAddr>,
    /// Longest time in which a connection is opened.
    pub connect_timeout: Option<Duration>,
    /// Whether each request gets a connection of its own, on which it is sent exactly once.
    pub is_unpooled: bool,
}

/// An HTTP client that uses no proxies, follows no redirects and sends each request once.
#[derive(Debug, Clone)]
pub struct HttpClient(Client<MeteredConnector, Full<Bytes>>);

impl HttpClient {
    /// Creates a client without any connection.
    pub fn new(options: ConnectionOptions) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_local_address(options.source);
        connector.set_connect_timeout(options.connect_timeout);
        connector.set_keepalive(Some(KEEPALIVE_INTERVAL));
        connector.set_keepalive_interval(Some(KEEPALIVE_INTERVAL));
        connector.set_keepalive_retries(Some(KEEPALIVE_PROBES_MAX));
        connector.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT));
        let mut builder = Client::builder(TokioExecutor::new());
        builder.pool_timer(TokioTimer::new()).pool_idle_timeout(IDLE_MAX);
        if options.is_unpooled {
            builder.pool_max_idle_per_host(0).retry_canceled_requests(false);
        }
        Self(builder.build(MeteredConnector(connector)))
    }

    /// Sends a request and waits for the head of its response.
    ///
    /// # Errors
    /// Returns an error if there is no response. The request may have been received.
    pub async fn send(&self, request: Request<Bytes>) -> Result<HttpResponse, HttpError> {
        let response = self.0.request(request.map(Full::new)).await?;
        let overhead = response.extensions().get::<Overhead>().cloned().unwrap_or_default();
        overhead.reset();
        Ok(HttpResponse { response, overhead })
    }
}

/// A response whose body is read in parts.
#[derive(Debug)]
pub struct HttpResponse {
    response: Response<Incoming>,
    overhead: Overhead,
}

impl HttpResponse {
    /// Returns the status.
    pub fn status(&self) -> StatusCode {
        self.response.status()
    }

    /// Returns the headers.
    pub fn headers(&self) -> &HeaderMap {
        self.response.headers()
    }

    /// Waits for the next part of the body; `None` at its end.
    ///
    /// # Errors
    /// Returns an error if the connection fails within the body.
    pub async fn chunk(&mut self) -> Result<Option<Bytes>, HttpError> {
        while let Some(frame) = self.response.body_mut().frame().await.transpose()? {
            if let Ok(data) = frame.into_data() {
                self.overhead.reset();
                return Ok(Some(data));
            }
        }
        Ok(None)
    }
}

/// Number of bytes that a connection has received since its response last made progress.
#[derive(Debug, Clone, Default)]
struct Overhead(Arc<AtomicUsize>);

impl Overhead {
    fn reset(&self) {
        self.0.store(0, Ordering::Relaxed);
    }

    /// Adds received bytes and returns the number since the last progress.
    fn add(&self, count: usize) -> usize {
        self.0.fetch_add(count, Ordering::Relaxed).saturating_add(count)
    }
}

/// A connection that fails once it receives too much without progress of a response.
#[derive(Debug)]
struct MeteredStream {
    stream: TcpStream,
    overhead: Overhead,
    has_failed: bool,
}

impl MeteredStream {
    fn fail(&mut self) -> io::Error {
        let error = format!("over {OVERHEAD_MAX_BYTES} bytes that are no response");
        if !self.has_failed {
            self.has_failed = true;
            let line = LogLine::event("response_without_end").with_some("peer", self.peer());
            warn!("{}", line.with("error", &error));
        }
        io::Error::new(ErrorKind::InvalidData, error)
    }

    fn peer(&self) -> Option<std::net::SocketAddr> {
        self.stream.peer_addr().ok()
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let count = buffer.filled().len() - filled_before;
        match self.overhead.add(count) > OVERHEAD_MAX_BYTES {
            true => Poll::Ready(Err(self.fail())),
            false => Poll::Ready(Ok(())),
        }
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.overhead.reset();
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.overhead.reset();
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }
}

impl Connection for MeteredStream {
    fn connected(&self) -> Connected {
        self.stream.connected().extra(self.overhead.clone())
    }
}

/// Opens connections that are [`MeteredStream`]s.
#[derive(Debug, Clone)]
struct MeteredConnector(HttpConnector);

impl Service<Uri> for MeteredConnector {
    type Response = TokioIo<MeteredStream>;
    type Error = <HttpConnector as Service<Uri>>::Error;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Self::Error>> + Send>>;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.0.poll_ready(context)
    }

    fn call(&mut self, address: Uri) -> Self::Future {
        let connecting = self.0.call(address);
        Box::pin(async move {
            let stream = connecting.await?.into_inner();
            let overhead = Overhead::default();
            Ok(TokioIo::new(MeteredStream { stream, overhead, has_failed: false }))
        })
    }
}

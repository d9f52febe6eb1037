//! Connections of callers: accepting, time limits, shutting down.

use {
    crate::{
        caller_body::CallerBody, config::ConfigState, context::Serving, log, model::CallerLimits,
    },
    fernring_core::{clock::Clock, text::LogLine},
    http::{HeaderValue, Request, Response, header::CONNECTION},
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::TokioIo,
    std::{
        cell::{Cell, RefCell},
        convert::Infallible,
        future::{Future, poll_fn},
        io,
        pin::{Pin, pin},
        rc::Rc,
        task::{Context, Poll},
        time::Duration,
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::{TcpListener, TcpStream},
        sync::watch,
        task::spawn_local,
    },
};

/// Smallest buffer that the HTTP library takes.
const BUFFER_BYTES_MIN: usize = 8_192;
/// How long a caller may go on reading when the time of its request is over. One that has stopped would keep its connection, and
/// one to an upstream, for as long as it likes.
const UNREAD_TIME: Duration = Duration::from_secs(5);
/// Pause after a failed accept, which mostly means that descriptors are short.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// How far a node's shutdown is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// It takes connections.
    Serving,
    /// It is not ready any more; answers tell callers to connect elsewhere.
    Leaving,
    /// Connections are closed as soon as they carry no request.
    Closing,
}

/// What a connection is doing.
#[derive(Debug, Clone, Copy)]
enum Doing {
    /// Nothing, since then.
    Idle(Duration),
    /// Reading a head, since its first byte.
    Head(Duration),
    /// Carrying a request; its own limits hold.
    Request,
    /// Sending an answer, which is given up then.
    Answer(Duration),
}

/// What the tasks of one connection share.
#[derive(Debug)]
pub struct ConnectionState {
    doing: Cell<Doing>,
    clock: Rc<dyn Clock>,
}

impl ConnectionState {
    fn now(&self) -> Duration {
        self.clock.now().monotonic
    }

    fn started_head(&self) {
        if let Doing::Idle(_) = self.doing.get() {
            self.doing.set(Doing::Head(self.now()));
        }
    }

    fn deadline(&self, limits: &CallerLimits) -> Option<Duration> {
        match self.doing.get() {
            Doing::Idle(since) => Some(since + limits.idle_timeout),
            Doing::Head(since) => Some(since + limits.head_timeout),
            Doing::Request => None,
            Doing::Answer(until) => Some(until),
        }
    }
}

/// A request that a connection carries; the connection is idle again when it is dropped.
#[derive(Debug)]
pub struct RequestGuard(Rc<ConnectionState>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.doing.set(Doing::Idle(self.0.now()));
    }
}

/// Notes when bytes of a head begin to arrive.
struct WatchedStream {
    stream: TcpStream,
    state: Rc<ConnectionState>,
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > before {
            self.state.started_head();
        }
        polled
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
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
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }
}

/// The callers' connections of a node.
pub struct Ingress {
    serving: Rc<Serving>,
    config: Rc<RefCell<ConfigState>>,
    phase: watch::Sender<Phase>,
    open: Cell<usize>,
}

impl Ingress {
    /// Creates an ingress without connections.
    pub fn new(serving: Rc<Serving>, config: Rc<RefCell<ConfigState>>) -> Self {
        let open = Cell::new(0);
        Self { serving, config, phase: watch::Sender::new(Phase::Serving), open }
    }

    /// Returns the number of open connections.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Returns how far the shutdown is.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Moves the shutdown on.
    pub fn set_phase(&self, phase: Phase) {
        self.phase.send_replace(phase);
    }

    /// Takes connections for as long as the process runs.
    pub async fn listen(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    self.open.set(self.open.get() + 1);
                    spawn_local(self.clone().carry(stream));
                }
                Err(error) => {
                    log::warn(LogLine::event("accept_failed").with("error", error));
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    async fn carry(self: Rc<Self>, stream: TcpStream) {
        if let Err(error) = self.carry_requests(stream).await {
            log::info(LogLine::event("connection_broken").with("error", error));
        }
        self.open.set(self.open.get() - 1);
    }

    async fn carry_requests(self: &Rc<Self>, stream: TcpStream) -> anyhow::Result<()> {
        stream.set_nodelay(true)?;
        socket2::SockRef::from(&stream)
            .set_tcp_user_timeout(Some(crate::connections::TCP_USER_TIMEOUT))?;
        let doing = Cell::new(Doing::Idle(self.serving.now()));
        let state = Rc::new(ConnectionState { doing, clock: self.serving.clock.clone() });
        let limits = self.limits();
        let buffer_bytes = limits.head_bytes_max.max(BUFFER_BYTES_MIN);
        let stream = TokioIo::new(WatchedStream { stream, state: state.clone() });
        let service = service_fn(|request| self.answer(request, state.clone()));
        let mut connection = pin!(
            http1::Builder::new().max_buf_size(buffer_bytes).serve_connection(stream, service)
        );
        let mut phase = self.phase.subscribe();
        let mut closing = pin!(async move {
            // An error means that the node has ended, so there is nothing to wait for.
            drop(phase.wait_for(|phase| *phase == Phase::Closing).await);
        });
        let mut is_closing = false;
        // Reset to what the connection is doing each time that it is looked at.
        let alarm = &self.serving.alarm;
        let mut timer_at = self.serving.now() + limits.idle_timeout;
        let mut timer = Box::pin(alarm.until(timer_at));
        poll_fn(|context| {
            if !is_closing && closing.as_mut().poll(context).is_ready() {
                is_closing = true;
                connection.as_mut().graceful_shutdown();
            }
            if let Poll::Ready(end) = connection.as_mut().poll(context) {
                return Poll::Ready(end.map_err(anyhow::Error::from));
            }
            let Some(deadline) = state.deadline(&self.limits()) else {
                return Poll::Pending;
            };
            if timer_at != deadline {
                timer_at = deadline;
                timer.set(alarm.until(deadline));
            }
            match timer.as_mut().poll(context) {
                Poll::Ready(()) => Poll::Ready(Ok(())),
                Poll::Pending => Poll::Pending,
            }
        })
        .await
    }

    fn limits(&self) -> CallerLimits {
        let held = self.config.borrow().current();
        held.map_or_else(CallerLimits::default, |held| held.config.limits)
    }

    async fn answer(
        self: &Rc<Self>,
        request: Request<Incoming>,
        state: Rc<ConnectionState>,
    ) -> Result<Response<CallerBody>, Infallible> {
        state.doing.set(Doing::Request);
        let guard = RequestGuard(state.clone());
        let mut response = self.serving.clone().serve(request).await;
        if let Some(ends_at) = response.body().ends_at() {
            state.doing.set(Doing::Answer(ends_at + UNREAD_TIME));
        }
        if self.phase() >= Phase::Leaving {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response.body_mut().hold(guard);
        Ok(response)
    }
}

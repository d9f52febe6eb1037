//! Connections of callers: accepting them, their timeouts, and shutdown.

use {
    crate::{
        caller_body::CallerBody, config::ConfigState, context::ServingContext, log,
        model::CallerLimits,
    },
    fernring_core::{clock::Clock, text::LogLine},
    fernring_tcp::unacknowledged_bytes,
    http::{HeaderValue, Request, Response, Version, header::CONNECTION},
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::TokioIo,
    std::{
        cell::{Cell, RefCell},
        convert::Infallible,
        future::{Future, poll_fn},
        io,
        pin::{Pin, pin},
        rc::Rc,
        task::{Context, Poll, ready},
        time::Duration,
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::{TcpListener, TcpStream},
        sync::watch,
        task::spawn_local,
        time::{Sleep, sleep},
    },
};

/// Smallest buffer that the HTTP library accepts, in bytes.
const BUFFER_BYTES_MIN: usize = 8_192;
/// How long a caller may keep reading an answer after the deadline of its request. Without this
/// limit, a caller that stops reading would occupy its connection, and one to an upstream,
/// indefinitely.
const OVERTIME_MAX: Duration = Duration::from_secs(5);
/// Interval at which it is checked whether a caller has received the rest of its answer.
const RECEIPT_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Pause after a failed accept, which mostly means that file descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The phase of a node's life, up to its shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// The node accepts connections.
    Serving,
    /// The node is no longer ready; answers close their connections, so that callers connect to
    /// another node.
    Leaving,
    /// Connections are closed as soon as they have no request in flight.
    Closing,
}

/// The current activity of a connection.
#[derive(Debug, Clone, Copy)]
enum Activity {
    /// Idle since this time.
    Idle(Duration),
    /// Reading a request's head, since its first byte.
    ReadingHead(Duration),
    /// Serving a request, which has its own time limits.
    ServingRequest,
    /// Sending an answer, which is abandoned at this time.
    SendingAnswer(Duration),
    /// Closing in order; the rest of an answer is abandoned at this time.
    Ending(Duration),
}

/// The state shared by the tasks of one connection.
#[derive(Debug)]
pub struct ConnectionState {
    activity: Cell<Activity>,
    /// Until when the caller may receive its last answer.
    answer_until: Cell<Duration>,
    /// Whether an answer is being sent whose end is marked by the end of the connection. Until all
    /// of it is sent, the connection may only end with a reset, even if the process is killed.
    ends_by_reset: Cell<bool>,
    clock: Rc<dyn Clock>,
}

impl ConnectionState {
    fn now(&self) -> Duration {
        self.clock.now().monotonic
    }

    fn record_head_start(&self) {
        if let Activity::Idle(_) = self.activity.get() {
            self.activity.set(Activity::ReadingHead(self.now()));
        }
    }

    fn deadline(&self, limits: &CallerLimits) -> Option<Duration> {
        match self.activity.get() {
            Activity::Idle(since) => Some(since + limits.idle_timeout),
            Activity::ReadingHead(since) => Some(since + limits.head_timeout),
            Activity::ServingRequest => None,
            Activity::SendingAnswer(until) | Activity::Ending(until) => Some(until),
        }
    }

    fn record_answer(&self, until: Duration) {
        self.activity.set(Activity::SendingAnswer(until));
        self.answer_until.set(until);
    }

    /// Begins the end of the connection if it is idle, and returns whether it is. It may still hold the
    /// rest of an answer that the caller hasn't received.
    fn end_if_idle(&self) -> bool {
        let is_idle = matches!(self.activity.get(), Activity::Idle(_));
        if is_idle {
            self.activity.set(Activity::Ending(self.answer_until.get().max(self.now())));
        }
        is_idle
    }
}

/// A guard for a request in flight on a connection; the connection becomes idle when it is dropped.
#[derive(Debug)]
pub struct RequestGuard(Rc<ConnectionState>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.activity.set(Activity::Idle(self.0.now()));
    }
}

/// A TCP stream that records when the first bytes of a request's head arrive, and that ends once the
/// caller has received everything.
struct WatchedStream {
    stream: TcpStream,
    state: Rc<ConnectionState>,
    /// When the next check for unacknowledged bytes is due; set while the stream is being shut down.
    next_receipt_check: Option<Pin<Box<Sleep>>>,
    /// Whether the socket is set to end the connection with a reset.
    is_set_to_reset: bool,
}

impl WatchedStream {
    fn update_end(&mut self) -> io::Result<()> {
        let ends_by_reset = self.state.ends_by_reset.get();
        if ends_by_reset != self.is_set_to_reset {
            let linger = ends_by_reset.then_some(Duration::ZERO);
            socket2::SockRef::from(&self.stream).set_linger(linger)?;
            self.is_set_to_reset = ends_by_reset;
        }
        Ok(())
    }

    /// Waits until the caller has acknowledged all bytes. A process that ends before leaves them to
    /// the kernel, and they are lost if the VM is removed.
    fn poll_receipt(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        loop {
            if let Some(next_check) = &mut self.next_receipt_check {
                ready!(next_check.as_mut().poll(context));
            }
            // A kernel that can't tell delivers the bytes without the process.
            if unacknowledged_bytes(&self.stream).unwrap_or(0) == 0 {
                return Poll::Ready(Ok(()));
            }
            self.next_receipt_check = Some(Box::pin(sleep(RECEIPT_POLL_INTERVAL)));
        }
    }
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
            self.state.record_head_start();
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
        self.update_end()?;
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.update_end()?;
        if self.is_set_to_reset {
            // Dropping the stream resets the connection; a shutdown would end it in order.
            return Poll::Ready(Ok(()));
        }
        if self.next_receipt_check.is_none() {
            ready!(Pin::new(&mut self.stream).poll_shutdown(context))?;
        }
        self.poll_receipt(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.update_end()?;
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }
}

/// The callers' connections to a node.
pub struct Ingress {
    serving: Rc<ServingContext>,
    config: Rc<RefCell<ConfigState>>,
    phase: watch::Sender<Phase>,
    open: Cell<usize>,
}

impl Ingress {
    /// Creates an ingress without connections.
    pub fn new(serving: Rc<ServingContext>, config: Rc<RefCell<ConfigState>>) -> Self {
        let open = Cell::new(0);
        Self { serving, config, phase: watch::Sender::new(Phase::Serving), open }
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> usize {
        self.open.get()
    }

    /// Returns the current phase.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Sets the phase.
    pub fn set_phase(&self, phase: Phase) {
        self.phase.send_replace(phase);
    }

    /// Accepts connections for as long as the process runs.
    pub async fn listen(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    self.open.set(self.open.get() + 1);
                    spawn_local(self.clone().serve_connection(stream));
                }
                Err(error) => {
                    log::warn(LogLine::event("accept_failed").with("error", error));
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    async fn serve_connection(self: Rc<Self>, stream: TcpStream) {
        if let Err(error) = self.serve_requests(stream).await {
            // All causes: only the last one tells an error of the connection from the caller's end.
            log::info(LogLine::event("connection_broken").with("error", format!("{error:#}")));
        }
        self.open.set(self.open.get() - 1);
    }

    async fn serve_requests(self: &Rc<Self>, stream: TcpStream) -> anyhow::Result<()> {
        stream.set_nodelay(true)?;
        let activity = Cell::new(Activity::Idle(self.serving.now()));
        let clock = self.serving.clock.clone();
        let state = Rc::new(ConnectionState {
            activity,
            answer_until: Cell::default(),
            ends_by_reset: Cell::new(false),
            clock,
        });
        let limits = self.limits();
        let buffer_bytes = limits.head_bytes_max.max(BUFFER_BYTES_MIN);
        let stream = WatchedStream {
            stream,
            state: state.clone(),
            next_receipt_check: None,
            is_set_to_reset: false,
        };
        let stream = TokioIo::new(stream);
        let service = service_fn(|request| self.answer(request, state.clone()));
        let mut connection = pin!(
            http1::Builder::new().max_buf_size(buffer_bytes).serve_connection(stream, service)
        );
        let mut phase = self.phase.subscribe();
        let mut closing = pin!(async move {
            // An error means that the node has been dropped, so there is nothing to wait for.
            drop(phase.wait_for(|phase| *phase == Phase::Closing).await);
        });
        let mut is_closing = false;
        // Set to the deadline of the connection's activity at each poll.
        let deadline_timer = &self.serving.deadline_timer;
        let mut timer_at = None;
        let mut timer = Box::pin(deadline_timer.sleep_until(self.serving.now()));
        poll_fn(|context| {
            if !is_closing && closing.as_mut().poll(context).is_ready() {
                is_closing = true;
                connection.as_mut().graceful_shutdown();
            }
            loop {
                if let Poll::Ready(end) = connection.as_mut().poll(context) {
                    return Poll::Ready(end.map_err(anyhow::Error::from));
                }
                if is_closing {
                    state.end_if_idle();
                }
                let Some(deadline) = state.deadline(&self.limits()) else {
                    return Poll::Pending;
                };
                if timer_at != Some(deadline) {
                    timer_at = Some(deadline);
                    timer.set(deadline_timer.sleep_until(deadline));
                }
                ready!(timer.as_mut().poll(context));
                timer_at = None;
                if !state.end_if_idle() {
                    return Poll::Ready(Ok(()));
                }
                connection.as_mut().graceful_shutdown();
            }
        })
        .await
    }

    fn limits(&self) -> CallerLimits {
        let current = self.config.borrow().current();
        current.map_or_else(CallerLimits::default, |current| current.config.limits)
    }

    async fn answer(
        self: &Rc<Self>,
        request: Request<Incoming>,
        state: Rc<ConnectionState>,
    ) -> Result<Response<CallerBody>, Infallible> {
        state.activity.set(Activity::ServingRequest);
        let guard = RequestGuard(state.clone());
        let has_chunks = request.version() >= Version::HTTP_11;
        let mut response = self.serving.clone().serve(request).await;
        if let Some(deadline) = response.body().deadline() {
            state.record_answer(deadline + OVERTIME_MAX);
        }
        if self.phase() >= Phase::Leaving {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        if !has_chunks && response.body().is_stream() {
            state.ends_by_reset.set(true);
            response.body_mut().on_complete(move || state.ends_by_reset.set(false));
        }
        response.body_mut().attach_guard(guard);
        Ok(response)
    }
}

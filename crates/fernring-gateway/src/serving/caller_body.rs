//! The body of an answer to a caller.

use {
    crate::{exchange::StreamFailure, held_bodies::HeldBody},
    bytes::Bytes,
    futures_util::stream::Stream,
    http_body_util::Full,
    hyper::body::{Body, Frame, SizeHint},
    std::{
        any::Any,
        pin::Pin,
        task::{Context, Poll},
        time::Duration,
    },
};

enum BodyKind {
    Full(Full<Bytes>),
    Stream(Pin<Box<dyn Stream<Item = Result<Bytes, StreamFailure>>>>),
}

/// The body of an answer to a caller, complete or streamed.
pub struct CallerBody {
    kind: BodyKind,
    guard: Option<Box<dyn Any>>,
    /// The bytes of a complete body.
    _held: Option<HeldBody>,
    on_complete: Option<Box<dyn FnOnce()>>,
    deadline: Option<Duration>,
}

impl CallerBody {
    /// Creates a complete body.
    pub fn full(body: Full<Bytes>) -> Self {
        let kind = BodyKind::Full(body);
        Self { kind, guard: None, _held: None, on_complete: None, deadline: None }
    }

    /// Creates a body that is streamed.
    pub fn stream(chunks: impl Stream<Item = Result<Bytes, StreamFailure>> + 'static) -> Self {
        let kind = BodyKind::Stream(Box::pin(chunks));
        Self { kind, guard: None, _held: None, on_complete: None, deadline: None }
    }

    /// Creates a complete body that counts among those that are held until it is sent.
    pub fn held(body: Bytes, held: HeldBody) -> Self {
        Self { _held: Some(held), ..Self::full(Full::new(body)) }
    }

    /// Sets the deadline of the request.
    pub fn with_deadline(self, deadline: Duration) -> Self {
        Self { deadline: Some(deadline), ..self }
    }

    /// Returns the deadline of the request, if it was set.
    pub fn deadline(&self) -> Option<Duration> {
        self.deadline
    }

    /// Returns whether the body is streamed.
    pub fn is_stream(&self) -> bool {
        matches!(self.kind, BodyKind::Stream(_))
    }

    /// Calls a function when the end of a streamed body is reached without a failure.
    pub fn on_complete(&mut self, call: impl FnOnce() + 'static) {
        self.on_complete = Some(Box::new(call));
    }

    /// Keeps a guard alive until the body is sent or dropped.
    pub fn attach_guard(&mut self, guard: impl Any) {
        self.guard = Some(Box::new(guard));
    }
}

impl Body for CallerBody {
    type Data = Bytes;
    type Error = StreamFailure;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamFailure>>> {
        match &mut self.kind {
            BodyKind::Full(body) => {
                Pin::new(body).poll_frame(context).map_err(|never| match never {})
            }
            BodyKind::Stream(chunks) => {
                let polled = chunks.as_mut().poll_next(context);
                if matches!(polled, Poll::Ready(None))
                    && let Some(call) = self.on_complete.take()
                {
                    call();
                }
                polled.map(|item| Some(item?.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.kind {
            BodyKind::Full(body) => body.is_end_stream(),
            BodyKind::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.kind {
            BodyKind::Full(body) => body.size_hint(),
            BodyKind::Stream(_) => SizeHint::default(),
        }
    }
}

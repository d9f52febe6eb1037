//! The body of an answer to a caller.

use {
    crate::exchange::StreamFailure,
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

enum Kind {
    Whole(Full<Bytes>),
    Stream(Pin<Box<dyn Stream<Item = Result<Bytes, StreamFailure>>>>),
}

/// The body of an answer to a caller.
pub struct CallerBody {
    kind: Kind,
    guard: Option<Box<dyn Any>>,
    ends_at: Option<Duration>,
}

impl CallerBody {
    /// Returns a body that is there as a whole.
    pub fn full(body: Full<Bytes>) -> Self {
        Self { kind: Kind::Whole(body), guard: None, ends_at: None }
    }

    /// Returns a body that comes bit by bit.
    pub fn stream(events: impl Stream<Item = Result<Bytes, StreamFailure>> + 'static) -> Self {
        Self { kind: Kind::Stream(Box::pin(events)), guard: None, ends_at: None }
    }

    /// Says when the time of the request is over.
    pub fn with_deadline(self, ends_at: Duration) -> Self {
        Self { ends_at: Some(ends_at), ..self }
    }

    /// Returns when the time of the request is over, if that was said.
    pub fn deadline(&self) -> Option<Duration> {
        self.ends_at
    }

    /// Holds a guard for as long as the body is sent.
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
            Kind::Whole(body) => Pin::new(body).poll_frame(context).map_err(|never| match never {}),
            Kind::Stream(events) => {
                events.as_mut().poll_next(context).map(|item| Some(item?.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.kind {
            Kind::Whole(body) => body.is_end_stream(),
            Kind::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.kind {
            Kind::Whole(body) => body.size_hint(),
            Kind::Stream(_) => SizeHint::default(),
        }
    }
}

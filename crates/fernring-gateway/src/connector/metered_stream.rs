//! Connections that fail once their other end sends more without progress than any response needs,
//! or ends while a request is still being written.

use {
    super::ByteStream,
    crate::{log, response_progress::ResponseProgress, telemetry},
    fernring_core::{clock::Clock, text::LogLine},
    std::{
        cell::RefCell,
        io::{self, ErrorKind, IoSlice},
        net::SocketAddr,
        pin::Pin,
        rc::Rc,
        task::{Context, Poll, ready},
    },
    tokio::io::{AsyncRead, AsyncWrite, ReadBuf},
};

/// The progress of the responses on a connection, shared by the stream and those who use it.
pub type SharedProgress = Rc<RefCell<ResponseProgress>>;

/// A stream that fails with [`ErrorKind::InvalidData`] at bytes without progress, and with
/// [`ErrorKind::ConnectionReset`] at an end before the request is written: what was received by then
/// may only look whole.
pub struct MeteredStream {
    stream: Box<dyn ByteStream>,
    address: SocketAddr,
    clock: Rc<dyn Clock>,
    progress: SharedProgress,
    /// Whether a write waits until the other end reads.
    is_write_blocked: bool,
}

impl MeteredStream {
    /// Watches the stream to an address.
    pub fn new(stream: Box<dyn ByteStream>, address: SocketAddr, clock: Rc<dyn Clock>) -> Self {
        Self { stream, address, clock, progress: Rc::default(), is_write_blocked: false }
    }

    /// Returns the progress of its responses.
    pub fn progress(&self) -> &SharedProgress {
        &self.progress
    }

    fn record_read(&self, bytes: &[u8]) -> io::Result<()> {
        let now = self.clock.now().monotonic;
        let recorded = self.progress.borrow_mut().record_read(now, bytes);
        recorded.map_err(|error| {
            telemetry::record_discarded_bytes(error.part.name(), error.bytes);
            let line = LogLine::event("response_without_end").with("address", self.address);
            log::warn(line.with("part", error.part.name()).with("bytes", error.bytes));
            io::Error::new(ErrorKind::InvalidData, error)
        })
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buffer.filled().len();
        let has_room = buffer.remaining() > 0;
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let bytes = buffer.filled().get(filled..).unwrap_or_default();
        if bytes.is_empty() && has_room && self.is_write_blocked {
            let error = "the connection ended before the request was written";
            return Poll::Ready(Err(io::Error::new(ErrorKind::ConnectionReset, error)));
        }
        Poll::Ready(self.record_read(bytes))
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.is_write_blocked = written.is_pending();
        written
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
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.is_write_blocked = written.is_pending();
        written
    }
}

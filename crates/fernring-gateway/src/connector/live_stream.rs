//! Connections that fail once the machine at their other end is gone.
//!
//! The kernel's own timer (`TCP_USER_TIMEOUT`) also resets connections whose other end is alive and
//! reads nothing for a while. It is used only where the kernel doesn't say more.

use {
    super::dial::TCP_USER_TIMEOUT,
    crate::{
        liveness::{CHECK_INTERVAL, Liveness, LivenessCheck},
        tunnels::TunnelStream,
    },
    fernring_tcp::ack_state,
    socket2::SockRef,
    std::{
        io::{self, ErrorKind, IoSlice},
        pin::Pin,
        task::{Context, Poll, ready},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
        time::{Instant, Sleep, sleep},
    },
};

/// A stream of bytes over a TCP connection.
pub trait OverTcp: AsyncRead + AsyncWrite + Unpin {
    /// Returns the connection.
    fn tcp(&self) -> &TcpStream;
}

impl OverTcp for TcpStream {
    fn tcp(&self) -> &TcpStream {
        self
    }
}

impl OverTcp for TunnelStream {
    fn tcp(&self) -> &TcpStream {
        self.writer().as_ref()
    }
}

/// A stream that fails with [`ErrorKind::TimedOut`] once the machine at its other end is gone.
#[derive(Debug)]
pub struct LiveStream<S> {
    stream: S,
    liveness: Liveness,
    /// When the connection is checked next; `None` while nothing sent is outstanding.
    next_check: Option<Pin<Box<Sleep>>>,
    /// Whether the kernel says what is acknowledged.
    is_checked: bool,
}

impl<S: OverTcp> LiveStream<S> {
    /// Watches a stream.
    ///
    /// # Errors
    /// Returns the system's error if the socket's options can't be set.
    pub fn new(stream: S) -> io::Result<Self> {
        let is_checked = ack_state(stream.tcp()).is_ok();
        let user_timeout = (!is_checked).then_some(TCP_USER_TIMEOUT);
        SockRef::from(stream.tcp()).set_tcp_user_timeout(user_timeout)?;
        Ok(Self { stream, liveness: Liveness::default(), next_check: None, is_checked })
    }

    /// Returns the stream.
    pub fn get_ref(&self) -> &S {
        &self.stream
    }

    fn record_sent(&mut self) {
        if self.is_checked {
            self.liveness.record_sent();
            self.next_check.get_or_insert_with(|| Box::pin(sleep(CHECK_INTERVAL)));
        }
    }

    fn poll_gone(&mut self, context: &mut Context<'_>) -> Poll<io::Error> {
        while let Some(next_check) = &mut self.next_check {
            ready!(next_check.as_mut().poll(context));
            let check = match ack_state(self.stream.tcp()) {
                Ok(state) => self.liveness.check(state),
                Err(error) => return Poll::Ready(error),
            };
            match check {
                LivenessCheck::Pending => {
                    next_check.as_mut().reset(Instant::now() + CHECK_INTERVAL);
                }
                LivenessCheck::Settled => self.next_check = None,
                LivenessCheck::Gone => {
                    return Poll::Ready(io::Error::new(ErrorKind::TimedOut, "no acknowledgement"));
                }
            }
        }
        Poll::Pending
    }

    fn record_written(
        &mut self,
        written: Poll<io::Result<usize>>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<usize>> {
        match written {
            Poll::Pending => self.poll_gone(context).map(Err),
            Poll::Ready(result) => {
                self.record_sent();
                Poll::Ready(result)
            }
        }
    }
}

impl<S: OverTcp> AsyncRead for LiveStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match Pin::new(&mut self.stream).poll_read(context, buffer) {
            Poll::Pending => self.poll_gone(context).map(Err),
            ready => ready,
        }
    }
}

impl<S: OverTcp> AsyncWrite for LiveStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record_written(written, context)
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
        self.record_written(written, context)
    }
}

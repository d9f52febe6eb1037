//! Reads frames, each within a limited time.

use {
    bytes::BytesMut,
    futures_util::StreamExt,
    std::{
        future::poll_fn,
        io::{self, ErrorKind},
        task::{Poll, ready},
        time::Duration,
    },
    tokio::{io::AsyncRead, time::sleep},
    tokio_util::codec::{Framed, LengthDelimitedCodec},
};

/// Longest time from the first byte of a frame to its last: the largest frame takes as long over a
/// link of 1 Mbit/s.
pub const FRAME_TIME_MAX: Duration = Duration::from_secs(135);

/// Waits for a frame, of which all bytes must arrive within `time_limit` after the first. Returns
/// `None` if the connection ends between two frames.
///
/// # Errors
/// Returns [`ErrorKind::TimedOut`] if the frame isn't whole in time, [`ErrorKind::InvalidData`] if it
/// is over [`FRAME_MAX_BYTES`](crate::FRAME_MAX_BYTES), and the error of a connection that fails.
pub async fn next_frame<S: AsyncRead + Unpin>(
    framed: &mut Framed<S, LengthDelimitedCodec>,
    time_limit: Duration,
) -> Option<io::Result<BytesMut>> {
    let mut late = None;
    poll_fn(|context| {
        if let Poll::Ready(frame) = framed.poll_next_unpin(context) {
            return Poll::Ready(frame);
        }
        if late.is_none() && framed.read_buffer().is_empty() {
            return Poll::Pending;
        }
        let late = late.get_or_insert_with(|| Box::pin(sleep(time_limit)));
        ready!(late.as_mut().poll(context));
        Poll::Ready(Some(Err(io::Error::new(ErrorKind::TimedOut, "the frame isn't whole in time"))))
    })
    .await
}

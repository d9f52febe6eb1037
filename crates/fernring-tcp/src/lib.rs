//! What the kernel knows of a TCP connection.
//!
//! The only crate with unsafe code: no library that the project uses reads `TCP_INFO`.
//!
//! ```
//! use std::net::{TcpListener, TcpStream};
//!
//! let listener = TcpListener::bind("127.0.0.1:0").unwrap();
//! let stream = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
//! assert_eq!(fernring_tcp::ack_state(&stream).unwrap().unanswered, 0);
//! ```

use std::{
    io,
    mem::{MaybeUninit, size_of},
    os::fd::{AsFd, AsRawFd},
    time::Duration,
};

/// Returns the number of bytes written to a connection that its other end hasn't acknowledged, whether
/// they were sent or not (`SIOCOUTQ`, tcp(7)). The end of the connection counts as one byte.
///
/// # Errors
/// Returns the system's error, for example if the socket is no TCP connection.
#[allow(unsafe_code)]
pub fn unacknowledged_bytes(socket: &impl AsFd) -> io::Result<usize> {
    let mut bytes: libc::c_int = 0;
    // SAFETY: the descriptor is open while `socket` is borrowed, and the kernel writes one integer to
    // `bytes`. `SIOCOUTQ` has the value of `TIOCOUTQ`.
    let result = unsafe { libc::ioctl(socket.as_fd().as_raw_fd(), libc::TIOCOUTQ, &raw mut bytes) };
    if result != 0 {
        return Err(io::Error::last_os_error());
    }
    usize::try_from(bytes).map_err(io::Error::other)
}

/// Whether the other end of a connection acknowledges what it is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AckState {
    /// Segments that were sent and not acknowledged yet.
    pub unacknowledged: u32,
    /// Retransmissions and probes of a closed window in a row without an answer. A live machine
    /// answers them, also if its process reads nothing.
    pub unanswered: u32,
    /// Whether retransmissions or probes are under way, answered or not.
    pub is_retrying: bool,
    /// Time since something was last received.
    pub since_received: Duration,
}

/// Reads the state of a connection (`TCP_INFO`, tcp(7)).
///
/// # Errors
/// Returns the system's error, for example if the socket is no TCP connection.
#[allow(unsafe_code)]
pub fn ack_state(socket: &impl AsFd) -> io::Result<AckState> {
    let mut info = MaybeUninit::<libc::tcp_info>::zeroed();
    let mut length = size_of::<libc::tcp_info>() as libc::socklen_t;
    // SAFETY: the descriptor is open while `socket` is borrowed, and the kernel writes at most
    // `length` bytes to `info`, which is that large.
    let result = unsafe {
        libc::getsockopt(
            socket.as_fd().as_raw_fd(),
            libc::IPPROTO_TCP,
            libc::TCP_INFO,
            info.as_mut_ptr().cast(),
            &raw mut length,
        )
    };
    if result != 0 {
        return Err(io::Error::last_os_error());
    }
    // SAFETY: all fields are integers, for which any bytes are valid; bytes that the kernel has not
    // written are zero.
    let info = unsafe { info.assume_init() };
    Ok(AckState {
        unacknowledged: info.tcpi_unacked,
        unanswered: u32::from(info.tcpi_retransmits) + u32::from(info.tcpi_probes),
        is_retrying: info.tcpi_backoff > 0,
        since_received: Duration::from_millis(info.tcpi_last_ack_recv.into()),
    })
}

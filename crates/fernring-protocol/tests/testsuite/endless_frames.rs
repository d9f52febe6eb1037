//! Frames that never end, on connections over the loopback interface.

use {
    fernring_protocol::{codec, next_frame},
    std::{io::ErrorKind, time::Duration},
    tokio::{
        io::AsyncWriteExt,
        net::{TcpListener, TcpStream},
        time::{sleep, timeout},
    },
    tokio_util::codec::Framed,
};

/// Pause between two drops.
const DROP_PAUSE: Duration = Duration::from_millis(50);
/// Time limit of a frame, many times [`DROP_PAUSE`].
const TIME_LIMIT: Duration = Duration::from_millis(600);
/// Limit that only a fault reaches.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

async fn connect() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let near = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    (near, listener.accept().await.unwrap().0)
}

/// Reads the first frame of a connection that carries `block` over and over, with a pause after each.
async fn read_endless(prefix: &[u8], block: Vec<u8>, pause: Duration) -> ErrorKind {
    let (near, mut far) = connect().await;
    let mut framed = Framed::new(near, codec());
    far.write_all(prefix).await.unwrap();
    let sender = async {
        while far.write_all(&block).await.is_ok() {
            sleep(pause).await;
        }
        unreachable!("the reader keeps the connection");
    };
    let read = async {
        tokio::select! {
        read = next_frame(&mut framed, TIME_LIMIT) => read.unwrap().unwrap_err().kind(),
        () = sender => unreachable!(),
        }
    };
    timeout(TEST_TIMEOUT, read).await.expect("the frame is read without end")
}

/// A frame in drops was waited for as long as they came.
#[tokio::test]
async fn frame_in_drops_is_read_without_end() {
    for prefix in [&b"\0\xff\xff\xff"[..], b"\0\xff"] {
        assert_eq!(read_endless(prefix, vec![0xff], DROP_PAUSE).await, ErrorKind::TimedOut);
    }
}

#[tokio::test]
async fn frame_over_the_largest_size_is_not_read() {
    let kind = read_endless(b"HTTP/1.1", vec![b' '; 64 << 10], Duration::ZERO).await;
    assert_eq!(kind, ErrorKind::InvalidData);
}

/// The time between two frames doesn't count.
#[tokio::test]
async fn frame_after_a_long_silence_is_read() {
    let (near, mut far) = connect().await;
    let mut framed = Framed::new(near, codec());
    let sender = async {
        for _ in 0..2 {
            sleep(TIME_LIMIT * 2).await;
            far.write_all(b"\0\0\0\x03ab").await.unwrap();
            sleep(DROP_PAUSE).await;
            far.write_all(b"c").await.unwrap();
        }
        drop(far);
    };
    let reader = async {
        for _ in 0..2 {
            assert_eq!(next_frame(&mut framed, TIME_LIMIT).await.unwrap().unwrap(), b"abc"[..]);
        }
        assert!(next_frame(&mut framed, TIME_LIMIT).await.is_none());
    };
    tokio::join!(sender, reader);
}

//! Responses that never end, as fast as they are read and in drops.

use {
    fernring_platform::{HttpLog, HttpVmList, LogService, VmList},
    std::{
        net::{IpAddr, Ipv4Addr, SocketAddr},
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        task::JoinHandle,
        time::timeout,
    },
};

/// Timeout of the clients.
const TIMEOUT: Duration = Duration::from_millis(500);
/// Limit that only a fault reaches.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);
/// Size at which a flood ends by itself.
const FLOOD_MAX_BYTES: usize = 192 << 20;
/// Pause between two drops.
const DROP_PAUSE: Duration = Duration::from_millis(50);
const LOCALHOST: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);
/// Head of a response that ends with its connection.
const HEAD: &str = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";

/// How bytes are sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Pace {
    /// As fast as they are read, up to [`FLOOD_MAX_BYTES`].
    Flood,
    /// One byte after each [`DROP_PAUSE`].
    Drops,
}

const PACES: [Pace; 2] = [Pace::Flood, Pace::Drops];

/// A server that accepts one connection and sends bytes until the client closes it.
struct EndlessServer {
    address: SocketAddr,
    /// Returns the number of bytes sent after the prefix.
    sent: JoinHandle<usize>,
}

impl EndlessServer {
    /// Starts a server that sends `prefix`, then `pattern` over and over.
    async fn start(prefix: &'static str, pattern: &'static str, pace: Pace) -> Self {
        let listener = TcpListener::bind((LOCALHOST, 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let sent = tokio::spawn(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut request = [0; 1_024];
            assert!(stream.read(&mut request).await.unwrap() > 0);
            stream.write_all(prefix.as_bytes()).await.unwrap();
            match pace {
                Pace::Flood => flood(stream, pattern).await,
                Pace::Drops => drip(stream, pattern).await,
            }
        });
        Self { address, sent }
    }

    /// Waits until the client has closed the connection. Returns the number of bytes sent.
    async fn closed(self) -> usize {
        timeout(TEST_TIMEOUT, self.sent).await.expect("the client keeps the connection").unwrap()
    }
}

async fn flood(mut stream: TcpStream, pattern: &str) -> usize {
    let block = pattern.repeat((64 << 10) / pattern.len());
    let mut sent = 0;
    while sent < FLOOD_MAX_BYTES && stream.write_all(block.as_bytes()).await.is_ok() {
        sent += block.len();
    }
    sent
}

async fn drip(mut stream: TcpStream, pattern: &str) -> usize {
    let mut sent = 0;
    while stream.write_all(&pattern.as_bytes()[sent % pattern.len()..][..1]).await.is_ok() {
        sent += 1;
        tokio::time::sleep(DROP_PAUSE).await;
    }
    sent
}

/// Checks that a client closes the connection, in a flood after at most `max_bytes`; returns the results of its call.
async fn call_endless<T>(
    (prefix, pattern): (&'static str, &'static str),
    paces: &[Pace],
    max_bytes: usize,
    call: impl AsyncFn(SocketAddr) -> T,
) -> Vec<T> {
    let mut results = Vec::new();
    for pace in paces {
        let server = EndlessServer::start(prefix, pattern, *pace).await;
        let result = timeout(TEST_TIMEOUT, call(server.address)).await;
        results.push(result.expect("the client reads on"));
        let sent = server.closed().await;
        assert!(sent <= max_bytes, "{pace:?}: {sent} bytes were taken");
    }
    results
}

/// Checks that a client fails and closes the connection, in a flood after at most `max_bytes`.
async fn assert_abandoned<T, E>(
    (prefix, pattern): (&'static str, &'static str),
    max_bytes: usize,
    call: impl AsyncFn(SocketAddr) -> Result<T, E>,
) {
    for result in call_endless((prefix, pattern), &PACES, max_bytes, call).await {
        assert!(result.is_err());
    }
}

fn log(address: SocketAddr) -> HttpLog {
    HttpLog::new(address, TIMEOUT, None)
}

/// A page in drops was read forever, and one in a flood until the memory was full.
#[tokio::test]
async fn endless_log_page_is_read_without_end() {
    let read = async |address| log(address).read("config", 0, Duration::ZERO).await;
    assert_abandoned((HEAD, " "), 96 << 20, read).await;
}

/// The whole flood was kept in memory until the request's time had passed.
#[tokio::test]
async fn endless_append_response_fills_the_memory() {
    let append = async |address| log(address).append("config", b"record").await;
    assert_abandoned((HEAD, " "), 16 << 20, append).await;
}

/// The whole flood was kept in memory until the request's time had passed.
#[tokio::test]
async fn endless_vm_list_fills_the_memory() {
    let list = async |address| HttpVmList::new(address, TIMEOUT, None).list().await;
    assert_abandoned((HEAD, " "), 32 << 20, list).await;
}

//! Responses that never end, as fast as they are read and in drops.

use {
    fernring::{
        peer::{Peer, TcpPeer},
        upstream::{HttpUpstream, OrderOutcome, Upstream},
    },
    fernring_core::{
        ids::{AttemptRef, RequestId},
        orders::Order,
    },
    fernring_platform::{HttpLog, HttpVmList, LogService, VmList},
    fernring_policy::event::{AttemptEnd, Dispatch},
    fernring_protocol::messages::{ConfigRequest, frame::Body},
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
    uuid::Uuid,
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

/// A configuration in drops was waited for as long as they came.
#[tokio::test]
async fn endless_peer_configuration_is_read_without_end() {
    let fetch = async |address| {
        let request = Body::ConfigRequest(ConfigRequest { known_version: 7 });
        TcpPeer::new(LOCALHOST).request_large(address, request, TIMEOUT).await
    };
    // The length of the largest frame.
    assert_abandoned(("\x01\0\0\0", " "), 32 << 20, fetch).await;
    assert_abandoned(("HTTP/1.1", " "), 16 << 20, fetch).await;
}

fn upstream() -> HttpUpstream {
    HttpUpstream::new(TIMEOUT, None)
}

/// The whole flood was kept in memory until the request's time had passed.
#[tokio::test]
async fn endless_report_fills_the_memory() {
    let fetch = async |address| upstream().fetch_report(address).await.ok_or(());
    assert_abandoned((HEAD, " "), 16 << 20, fetch).await;
}

/// The outcome of an order stands in the head alone.
#[tokio::test]
async fn endless_body_after_an_order_is_not_read() {
    let order = Order { fence: 1, models: Vec::new() };
    let send = async |address| upstream().send_order(address, &order).await;
    let outcomes = call_endless((HEAD, " "), &PACES, 16 << 20, send).await;
    assert_eq!(outcomes, [OrderOutcome::Taken; 2]);
}

/// Runs a stage whose response is endless; returns the ends and the number of parts received.
async fn run_endless(
    response: &'static str,
    pattern: &'static str,
    paces: &[Pace],
) -> Vec<(AttemptEnd, usize)> {
    let run = async |address| {
        let attempt = AttemptRef { request: RequestId::default(), stage: 0, attempt: 1 };
        let dispatch = Dispatch {
            attempt,
            uid: Uuid::nil(),
            address,
            stage_name: "sort".to_owned(),
            effect: false,
            input: "letter".into(),
            prefix: 0,
            remaining_ms: 10_000,
        };
        let mut count = 0;
        let end = upstream().run_stage(&dispatch, &mut |parts| count += parts.len()).await;
        (end, count)
    };
    call_endless((response, pattern), paces, 16 << 20, run).await
}

/// Empty lines were read for as long as the request's time lasted.
#[tokio::test]
async fn endless_empty_lines_are_read_without_end() {
    let ends = run_endless(HEAD, "\n", &[Pace::Flood]).await;
    assert_eq!(ends, [(AttemptEnd::Failed, 0)]);
}

/// An answer whose parts had all arrived was thrown away because its response didn't end.
#[tokio::test]
async fn endless_lines_after_a_whole_answer_discard_it() {
    const WHOLE: &str = concat!(
        "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
        r#"{"request":"00000000-0000-0000-0000-000000000000","stage_index":0,"attempt":1,"#,
        r#""sequence":0,"text":"done","last":true}"#,
        "\n",
    );
    for pattern in ["\n", " "] {
        let ends = run_endless(WHOLE, pattern, &PACES).await;
        assert_eq!(ends, [(AttemptEnd::Completed, 1); 2], "{pattern:?}");
    }
}

/// Failures and refusals stand in the head alone.
#[tokio::test]
async fn endless_body_of_a_failure_is_not_read() {
    const FAILURE: &str = "HTTP/1.1 500 Internal Server Error\r\n\r\n";
    const REFUSAL: &str = "HTTP/1.1 503 Service Unavailable\r\nx-not-run: busy\r\n\r\n";
    for (response, end) in [(FAILURE, AttemptEnd::Failed), (REFUSAL, AttemptEnd::Refused)] {
        assert_eq!(run_endless(response, "x", &PACES).await, [(end, 0); 2]);
    }
}

/// The HTTP library bounds a head, a line of it, the extension of a chunk and trailers.
#[tokio::test]
async fn endless_heads_and_framing_are_abandoned() {
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let patterns = [
        ("", "H"),
        ("HTTP/1.1 200 OK\r\n", "A: b\r\n"),
        ("HTTP/1.1 200 OK\r\nA: ", "b"),
        (HEAD, "x"),
    ];
    for pattern in patterns {
        let ends = run_endless(pattern.0, pattern.1, &[Pace::Flood]).await;
        assert_eq!(ends, [(AttemptEnd::Failed, 0)], "{pattern:?}");
    }
    for (rest, pattern) in [("1;", "a"), ("0\r\n", "a: b\r\n")] {
        let prefix: &'static str = format!("{chunked}{rest}").leak();
        let ends = run_endless(prefix, pattern, &[Pace::Flood]).await;
        assert_eq!(ends, [(AttemptEnd::Failed, 0)], "{rest:?}");
    }
}

/// Interim responses and the zeros of a chunk's size were read for as long as the request's time lasted.
#[tokio::test]
async fn endless_interim_responses_and_chunk_sizes_are_read_without_end() {
    const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for response in [("", "HTTP/1.1 103 Early Hints\r\n\r\n"), (CHUNKED, "0")] {
        let ends = run_endless(response.0, response.1, &[Pace::Flood]).await;
        assert_eq!(ends, [(AttemptEnd::Failed, 0)], "{response:?}");
        let fetch = async |address| upstream().fetch_report(address).await.ok_or(());
        assert_abandoned(response, 16 << 20, fetch).await;
        let read = async |address| log(address).read("config", 0, Duration::ZERO).await;
        assert_abandoned(response, 16 << 20, read).await;
        let append = async |address| log(address).append("config", b"record").await;
        assert_abandoned(response, 16 << 20, append).await;
    }
}

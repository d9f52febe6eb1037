//! Responses over a slow link: pages of the log service, and the configuration of another node.
//!
//! A single timeout for a whole response would abandon a large response while it is still arriving, as the gateway
//! once did.

use {
    bytes::BytesMut,
    fernring::peer::{Peer, TcpPeer},
    fernring_platform::{HttpLog, LogService},
    fernring_protocol::{
        Frame, codec, encode,
        messages::{ConfigRequest, ConfigState, frame::Body},
    },
    std::{
        net::{IpAddr, Ipv4Addr, SocketAddr},
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpListener,
    },
    tokio_util::codec::Encoder,
};

/// Timeout of the clients for the next part of a response.
const IDLE_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause between two parts of a response, well below [`IDLE_TIMEOUT`].
const PAUSE: Duration = Duration::from_millis(100);
/// Number of parts of a response; sending all of them takes longer than [`IDLE_TIMEOUT`].
const PARTS: usize = 16;
const LOCALHOST: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

/// Starts a server that responds to the first request with the first `parts` parts of the response, then sends nothing
/// more. Returns its address.
async fn respond_in_parts(response: Vec<u8>, parts: usize) -> SocketAddr {
    let listener = TcpListener::bind((LOCALHOST, 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = [0; 1_024];
        assert!(stream.read(&mut request).await.unwrap() > 0);
        for part in response.chunks(response.len().div_ceil(PARTS)).take(parts) {
            tokio::time::sleep(PAUSE).await;
            stream.write_all(part).await.unwrap();
        }
        // Returns when the client closes the connection.
        drop(stream.read(&mut request).await);
    });
    address
}

fn log_page_response() -> Vec<u8> {
    let page = r#"{"first_offset":0,"next_offset":9,"time_ms":7,"records":[]}"#;
    let body = format!("{}{page}", " ".repeat(50_000));
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

#[tokio::test]
async fn slow_log_page_is_read() {
    let read = async |parts| {
        let log =
            HttpLog::new(respond_in_parts(log_page_response(), parts).await, IDLE_TIMEOUT, None);
        log.read("config", 0, Duration::ZERO).await
    };
    let page = read(PARTS).await.unwrap();
    assert_eq!((page.next_offset, page.records.len()), (9, 0));
    assert!(read(PARTS - 2).await.is_err(), "the rest of the response never arrives");
}

#[tokio::test]
async fn slow_peer_configuration_is_read() {
    let state = ConfigState { version: 12, folded_to: 3, catalog_json: vec![b' '; 50_000] };
    let mut response = BytesMut::new();
    let frame = Frame { body: Some(Body::ConfigState(state.clone())) };
    codec().encode(encode(&frame), &mut response).unwrap();
    let fetch = async |parts| {
        let address = respond_in_parts(response.to_vec(), parts).await;
        let request = Body::ConfigRequest(ConfigRequest { known_version: 7 });
        TcpPeer::new(LOCALHOST).request_large(address, request, IDLE_TIMEOUT).await
    };
    assert_eq!(fetch(PARTS).await.unwrap(), Body::ConfigState(state));
    assert!(fetch(PARTS - 2).await.is_err(), "the rest of the response never arrives");
}

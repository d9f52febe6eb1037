//! Answers that come over a slow link: the log's pages, and the configuration of another node. The gateway gave up
//! such answers while they came; the same had been written here, with one time for a whole answer.

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

/// What the askers here wait for the next part of an answer.
const PATIENCE: Duration = Duration::from_secs(1);
/// Pause between the parts of an answer, well below it.
const PAUSE: Duration = Duration::from_millis(100);
/// Parts of an answer; together they take far longer.
const PARTS: usize = 16;
const HERE: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

/// Answers the first question with the first `parts` of an answer's parts, then nothing.
async fn answer_in_parts(answer: Vec<u8>, parts: usize) -> SocketAddr {
    let listener = TcpListener::bind((HERE, 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut question = [0; 1_024];
        assert!(stream.read(&mut question).await.unwrap() > 0);
        for part in answer.chunks(answer.len().div_ceil(PARTS)).take(parts) {
            tokio::time::sleep(PAUSE).await;
            stream.write_all(part).await.unwrap();
        }
        // Ends when the asker closes the connection.
        drop(stream.read(&mut question).await);
    });
    address
}

fn log_page() -> Vec<u8> {
    let page = r#"{"first_offset":0,"next_offset":9,"time_ms":7,"records":[]}"#;
    let body = format!("{}{page}", " ".repeat(50_000));
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

#[tokio::test]
async fn a_page_of_the_log_is_waited_for_while_it_comes() {
    let read = async |parts| {
        let log = HttpLog::new(answer_in_parts(log_page(), parts).await, PATIENCE, None);
        log.read("config", 0, Duration::ZERO).await
    };
    let page = read(PARTS).await.unwrap();
    assert_eq!((page.next_offset, page.records.len()), (9, 0));
    assert!(read(PARTS - 2).await.is_err(), "nothing comes any more");
}

#[tokio::test]
async fn a_peers_configuration_is_waited_for_while_it_comes() {
    let state = ConfigState { version: 12, folded_to: 3, catalog_json: vec![b' '; 50_000] };
    let mut answer = BytesMut::new();
    let frame = Frame { body: Some(Body::ConfigState(state.clone())) };
    codec().encode(encode(&frame), &mut answer).unwrap();
    let fetch = async |parts| {
        let address = answer_in_parts(answer.to_vec(), parts).await;
        let question = Body::ConfigRequest(ConfigRequest { have_version: 7 });
        TcpPeer::new(HERE).request_large(address, question, PATIENCE).await
    };
    assert_eq!(fetch(PARTS).await.unwrap(), Body::ConfigState(state));
    assert!(fetch(PARTS - 2).await.is_err(), "nothing comes any more");
}

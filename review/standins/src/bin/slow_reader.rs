//! Clients stop reading their answers for a while and then read on. Meanwhile the node is stopped
//! in order. Checks that the answers are whole.

use {
    review_standins::{
        engine::{refuse_unexpected, stream_head},
        finish,
        gateway::start_nodes,
        has_trouble,
        http::{chunk, read_chunk, read_head, serve},
        record::Record,
        store::{Engine, Store},
    },
    std::{
        ffi::{c_int, c_void},
        io::{self, BufReader, Write},
        net::{SocketAddr, TcpStream},
        os::fd::{FromRawFd, OwnedFd},
        path::{Path, PathBuf},
        thread,
        time::{Duration, Instant},
    },
};

/// Clients, and which of them stop reading for a while: each second one.
const CLIENTS: usize = 12;
/// Events of an answer, the length of the text of one, and the time between them.
const EVENTS: u64 = 95;
const TEXT_BYTES: usize = 330;
const GAP: Duration = Duration::from_millis(15);
/// The event after which a client doesn't read, and for how long.
const PAUSE_AFTER: u64 = 8;
const PAUSE: Duration = Duration::from_millis(2_500);
/// Receive buffer of a client, in bytes.
const WINDOW: c_int = 4_096;

unsafe extern "C" {
    fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int;
    fn setsockopt(fd: c_int, level: c_int, name: c_int, value: *const c_void, size: u32) -> c_int;
    fn connect(fd: c_int, address: *const c_void, size: u32) -> c_int;
}

/// Connects with a small receive buffer, which has to be set before.
fn connect_with_small_window(address: SocketAddr) -> io::Result<TcpStream> {
    const INET: u16 = 2;
    const STREAM: c_int = 1;
    const SOL_SOCKET: c_int = 1;
    const SO_RCVBUF: c_int = 8;
    let SocketAddr::V4(address) = address else {
        return Err(io::ErrorKind::Unsupported.into());
    };
    let mut name = [0u8; 16];
    name[..2].copy_from_slice(&INET.to_ne_bytes());
    name[2..4].copy_from_slice(&address.port().to_be_bytes());
    name[4..8].copy_from_slice(&address.ip().octets());
    let check =
        |result: c_int| if result < 0 { Err(io::Error::last_os_error()) } else { Ok(result) };
    let window = WINDOW;
    // SAFETY: the pointers are valid for the sizes that are given; the socket is owned from here on.
    unsafe {
        let fd = check(socket(c_int::from(INET), STREAM, 0))?;
        let stream = TcpStream::from(OwnedFd::from_raw_fd(fd));
        check(setsockopt(fd, SOL_SOCKET, SO_RCVBUF, (&raw const window).cast(), 4))?;
        check(connect(fd, name.as_ptr().cast(), 16))?;
        Ok(stream)
    }
}

fn main() {
    let mut args = std::env::args_os().skip(1).map(PathBuf::from);
    let (Some(repository), Some(folder)) = (args.next(), args.next()) else {
        eprintln!("usage: slow_reader REPOSITORY FOLDER");
        std::process::exit(2);
    };
    let record = Record::create(&folder.join("record.txt")).expect("record.txt can be written");
    let temporary = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
    std::fs::create_dir_all(&temporary).expect("a temporary folder");
    let result = run(&repository, &temporary, &record);
    let _ = std::fs::remove_dir_all(&temporary);
    finish(result, &record)
}

/// How an answer ended.
struct Seen {
    events: u64,
    is_whole: bool,
    error: Option<String>,
}

fn ask(front: SocketAddr, id: &str, pauses: bool, record: &Record) -> Seen {
    let mut seen = Seen { events: 0, is_whole: false, error: None };
    let result = (|| -> io::Result<()> {
        let mut stream = connect_with_small_window(front)?;
        stream.set_read_timeout(Some(Duration::from_millis(6_800)))?;
        let request = format!(
            "POST /explain/line HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {id}\r\nModel: m\r\n\
             Token-Counts: 1200,480\r\nPrompt-Prefix: 5c1e07a2:200,{id}:1000\r\n\
             Deadline-Remaining: 10000\r\nAuthorization: Bearer k1\r\nContent-Length: 2\r\n\r\n{{}}"
        );
        record.line(&format!("client sends {id}"));
        stream.write_all(request.as_bytes())?;
        let mut reader = BufReader::with_capacity(1_024, stream);
        read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let mut body = Vec::new();
        while let Some(bytes) = read_chunk(&mut reader)? {
            body.extend(bytes);
            seen.events = body.windows(2).filter(|two| *two == b"\n\n").count() as u64;
            if pauses && seen.events == PAUSE_AFTER {
                record.line(&format!("the client of {id} stops reading"));
                thread::sleep(PAUSE);
                record.line(&format!("the client of {id} reads on"));
            }
        }
        seen.is_whole = seen.events == EVENTS;
        Ok(())
    })();
    seen.error = result.err().map(|error| error.to_string());
    seen
}

fn run(repository: &Path, temporary: &Path, record: &Record) -> Result<bool, String> {
    let text = |error: io::Error| error.to_string();
    let store = Store::start().map_err(text)?;
    let zones = ["a", "b", "c"];
    for (index, zone) in zones.iter().enumerate() {
        let id = format!("i-77{index}");
        let (own, record) = (id.clone(), record.clone());
        let address = serve(move |request, stream, _| {
            if let Some(refusal) = refuse_unexpected(&own, &request) {
                return stream.write_all(&refusal);
            }
            let name = request.header("request-id").unwrap_or_default();
            record.line(&format!("{own} runs {name}"));
            thread::sleep(Duration::from_millis(50));
            stream.write_all(&stream_head(&own, &request))?;
            for event in 1..=EVENTS {
                let text = format!("id: {event}\ndata: {}\n\n", "x".repeat(TEXT_BYTES));
                if let Err(error) = stream.write_all(&chunk(text.as_bytes())) {
                    record.line(&format!("{own}: {name} was closed before event {event}"));
                    return Err(error);
                }
                thread::sleep(GAP);
            }
            record.line(&format!("{own} has ended {name}"));
            stream.write_all(&chunk(b""))
        });
        let (service, zone) = ("llm".to_owned(), zone.to_string());
        let address = address.map_err(text)?;
        store.put_engine(&Engine { id, service, address, zone, slots: 64 }, "ready", 1);
    }
    store.put("keyed.op", "config", CONFIG);
    let nodes = start_nodes(repository, temporary, store.address, &zones)?;
    record.line(&format!("{} nodes are ready; TROUBLE={}", nodes.len(), u8::from(has_trouble())));
    let node = &nodes[0];
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let (front, record) = (node.front, record.clone());
        let pauses = has_trouble() && number % 2 == 0;
        clients.push(thread::spawn(move || {
            let id = format!("c1{number:06x}");
            let sent = Instant::now();
            let seen = ask(front, &id, pauses, &record);
            let took = sent.elapsed().as_millis();
            let Seen { events, is_whole, error } = &seen;
            record.line(&format!(
                "client has {events} events of {id} after {took} ms; whole: {is_whole}, error: {error:?}"
            ));
            seen.is_whole
        }));
        thread::sleep(Duration::from_millis(10));
    }
    thread::sleep(Duration::from_millis(200));
    // Planned work, in both runs.
    node.signal("TERM");
    record.line(&format!("SIGTERM to {}", node.name));
    let mut whole = 0;
    for client in clients {
        whole += usize::from(client.join().map_err(|_| "a client failed".to_owned())?);
    }
    record.line(&format!("{CLIENTS} answers: {whole} whole, {} cut", CLIENTS - whole));
    Ok(whole < CLIENTS)
}

const CONFIG: &str = r#"{"version":3,"routes":[{"name":"explain","host":"h.example","pathPrefix":"/explain/","kind":"streaming","sessionAffinity":true,"service":"llm","attempts":1,"timeoutMs":10000,"targetLatencyMs":1700,"gapTargetMs":200,"priority":1}],"services":[{"name":"llm","connectionLimit":370,"engine":{"slots":64,"kvCacheTokens":600000}}],"limits":{"headerBytes":16384,"bodyBytes":4194304,"headerTimeoutMs":5000,"idleTimeoutMs":20000},"tenants":[{"name":"t1","apiKeys":["k1"]}]}"#;

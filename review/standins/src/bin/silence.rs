//! An engine's streams pause for a second, as when a long prompt is read between their tokens.
//! Meanwhile the node that forwards them is stopped in order. Checks that no stream is cut.

use {
    review_standins::{
        engine::{refuse_unexpected, stream_head},
        finish, gateway::start_nodes, has_trouble,
        http::{End, chunk, exchange, serve},
        record::Record,
        store::{Engine, Store},
    },
    std::{
        io::Write,
        path::{Path, PathBuf},
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// Streams at the node.
const STREAMS: usize = 192;
/// Events of a stream, and the usual time between them.
const EVENTS: u64 = 40;
const GAP: Duration = Duration::from_millis(50);
/// The event after which the streams of an engine pause, and for how long: 80,000 tokens of a
/// prompt at 61 a ms.
const PAUSE_AFTER: u64 = 12;
const PAUSE: Duration = Duration::from_millis(1_300);
/// How long clients wait for the next event: four times `targetLatencyMs`.
const PATIENCE: Duration = Duration::from_millis(6_400);

fn main() {
    let mut args = std::env::args_os().skip(1).map(PathBuf::from);
    let (Some(repository), Some(folder)) = (args.next(), args.next()) else {
        eprintln!("usage: silence REPOSITORY FOLDER");
        std::process::exit(2);
    };
    let record = Record::create(&folder.join("record.txt")).expect("record.txt can be written");
    let temporary = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
    std::fs::create_dir_all(&temporary).expect("a temporary folder");
    let result = run(&repository, &temporary, &record);
    if std::env::var_os("KEEP").is_none() {
        let _ = std::fs::remove_dir_all(&temporary);
    }
    finish(result, &record)
}

fn run(repository: &Path, temporary: &Path, record: &Record) -> Result<bool, String> {
    let text = |error: std::io::Error| error.to_string();
    let store = Store::start().map_err(text)?;
    let zones = ["a", "b", "c"];
    let pauses = Arc::new(AtomicUsize::new(0));
    for (index, zone) in zones.iter().enumerate() {
        let id = format!("i-77{index}");
        let (own, record, pauses) = (id.clone(), record.clone(), pauses.clone());
        let address = serve(move |request, stream, _| {
            if let Some(refusal) = refuse_unexpected(&own, &request) {
                return stream.write_all(&refusal);
            }
            let name = request.header("request-id").unwrap_or_default();
            let last = request.header("last-event-id").and_then(|last| last.parse().ok());
            record.line(&format!("{own} runs {name} after event {}", last.unwrap_or(0)));
            thread::sleep(Duration::from_millis(100));
            stream.write_all(&stream_head(&own, &request))?;
            for event in last.unwrap_or(0) + 1..=EVENTS {
                if has_trouble() && index == 0 && event == PAUSE_AFTER + 1 {
                    pauses.fetch_add(1, Ordering::SeqCst);
                    thread::sleep(PAUSE);
                }
                let text = format!("id: {event}\ndata: text {event} of {name}\n\n");
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
    for number in 0..STREAMS {
        let (front, record) = (node.front, record.clone());
        clients.push(thread::spawn(move || {
            let id = format!("c1{number:06x}");
            let request = format!(
                "POST /explain/line HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {id}\r\nModel: m\r\n\
                 Token-Counts: 1200,200\r\nPrompt-Prefix: {number:x}a:200,{number:x}b:1000\r\n\
                 Deadline-Remaining: 8000\r\nAuthorization: Bearer k1\r\nContent-Length: 2\r\n\
                 Connection: close\r\n\r\n{{}}"
            );
            let sent = Instant::now();
            let answer = exchange(front, request.as_bytes(), PATIENCE);
            let body = String::from_utf8_lossy(&answer.body).into_owned();
            let ids = body.lines().filter_map(|line| line.strip_prefix("id: ")?.parse().ok());
            let ids: Vec<u64> = ids.collect();
            let is_whole = answer.end == End::Complete && ids.iter().copied().eq(1..=EVENTS);
            record.line(&format!(
                "client has {}, {:?} for {id} after {} ms: {} events, whole: {is_whole}",
                answer.status,
                answer.end,
                sent.elapsed().as_millis(),
                ids.len()
            ));
            (answer.status, answer.end, is_whole)
        }));
        thread::sleep(Duration::from_millis(2));
    }
    thread::sleep(Duration::from_millis(300));
    // Planned work, in both runs.
    node.signal("TERM");
    record.line(&format!("SIGTERM to {}", node.name));
    let (mut whole, mut cut, mut other) = (0, 0, 0);
    for client in clients {
        let (status, end, is_whole) = client.join().map_err(|_| "a client failed".to_owned())?;
        match end {
            _ if is_whole => whole += 1,
            End::Cut(_) if status == 200 || status == 0 => cut += 1,
            _ => other += 1,
        }
    }
    record.line(&format!(
        "{STREAMS} streams: {whole} whole, {cut} cut without a complete answer, {other} ended otherwise; \
         {} runs paused for {} ms",
        pauses.load(Ordering::SeqCst),
        PAUSE.as_millis()
    ));
    if whole + cut < STREAMS / 2 {
        return Err("less than half of the streams were served".to_owned());
    }
    Ok(cut > 0)
}

const CONFIG: &str = r#"{"version":3,"routes":[{"name":"explain","host":"h.example","pathPrefix":"/explain/","kind":"streaming","resumable":true,"sessionAffinity":true,"service":"llm","attempts":2,"timeoutMs":8000,"targetLatencyMs":1600,"gapTargetMs":200,"priority":0}],"services":[{"name":"llm","connectionLimit":370,"engine":{"slots":64,"kvCacheTokens":600000}}],"limits":{"headerBytes":16384,"bodyBytes":4194304,"headerTimeoutMs":5000,"idleTimeoutMs":20000},"tenants":[{"name":"t1","apiKeys":["k1"]}]}"#;

//! Clients send bodies within the limit of the configuration; the platform ends a process that
//! exceeds its memory.

use {
    crate::{
        deployment::{Deployment, Record, cannot_run, has_trouble},
        engines::Engine,
        http::{Connection, Message, response, serve, write},
        store::Store,
    },
    std::{
        collections::HashSet,
        fs,
        sync::{
            Arc, Mutex,
            atomic::{AtomicU64, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
const ENGINES: usize = 3;
/// Requests that an engine runs at a time, and how long each takes, as on the sheet.
const SLOTS: usize = 6;
const WORK: Duration = Duration::from_millis(60);
const CLIENTS: usize = 144;
const RUNS_FOR: Duration = Duration::from_secs(15);
/// Bodies within `bodyBytes`, which is 4,194,304, and the largest ones of the sheet.
const LARGE_BYTES: usize = 4_000_000;
const USUAL_BYTES: usize = 110_000;
/// `limits.memoryMb`, in the larger of the two units of this name.
const MEMORY_BYTES: u64 = 260 << 20;

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-file","host":"clerks.example","pathPrefix":"/file/","kind":"unsafe","timeoutMs":3000,"targetLatencyMs":300,"priority":1,"service":"files","attempts":1,"stages":[],"public":false}],"services":[{"name":"files","healthPath":"/health","connectionLimit":110,"protocol":"h1","tls":false}],"limits":{"headerBytes":16384,"bodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"clerks","apiKeys":["key-of-clerks"],"priority":1}]}"#;

pub fn run(folder: &str) -> i32 {
    let record = Record::create(folder);
    let store = Store::default();
    store.put("keyed.op", "config", CONFIG);
    let began: Arc<Mutex<HashSet<String>>> = Arc::default();
    for index in 0..ENGINES {
        start_engine(&store, &record, index, began.clone());
    }
    let mut deployment = Deployment::start(&store, &ZONES, &record);
    thread::sleep(Duration::from_secs(2));
    let until = Instant::now() + RUNS_FOR;
    let size = if has_trouble() { LARGE_BYTES } else { USUAL_BYTES };
    let body = Arc::new(vec![b'x'; size]);
    let served = Arc::new(AtomicU64::new(0));
    // Requests on kept connections that ended without an answer.
    let unanswered: Arc<Mutex<Vec<String>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let address = deployment.nodes[client % ZONES.len()].callers;
            let (body, record) = (body.clone(), record.clone());
            let (served, unanswered) = (served.clone(), unanswered.clone());
            thread::spawn(move || {
                let mut kept: Option<Connection> = None;
                for number in 0.. {
                    if Instant::now() >= until {
                        return;
                    }
                    let is_kept = kept.is_some();
                    let Some(mut connection) =
                        kept.take().or_else(|| Connection::connect(address).ok())
                    else {
                        thread::sleep(Duration::from_millis(100));
                        continue;
                    };
                    let id = format!("{client:08x}{number:08x}");
                    match ask(&mut connection, &id, &body) {
                        Some(answer) => {
                            if answer.status() == 200 {
                                served.fetch_add(1, Ordering::Relaxed);
                            }
                            kept = Some(connection);
                        }
                        None => {
                            record.add(&format!("client {client} got no answer for {id}"));
                            if is_kept {
                                unanswered.lock().unwrap().push(id);
                            }
                        }
                    }
                }
            })
        })
        .collect();
    let mut ends = 0;
    let mut peak = 0;
    while Instant::now() < until {
        for node in &mut deployment.nodes {
            let used = resident_bytes(node.process());
            peak = peak.max(used);
            if used > MEMORY_BYTES {
                // "A process that exceeds `memoryMb` is killed", and restarted after a short delay.
                ends += 1;
                record.say(&format!("{} exceeds its memory: {} MB", node.name, used >> 20));
                node.kill();
                thread::sleep(Duration::from_millis(300));
                node.start();
            }
        }
        thread::sleep(Duration::from_millis(10));
    }
    clients.into_iter().for_each(|client| drop(client.join()));
    drop(deployment);
    let began = began.lock().unwrap();
    let unanswered = unanswered.lock().unwrap();
    let lost = unanswered.iter().filter(|id| began.contains(*id)).count();
    let served = served.load(Ordering::Relaxed);
    record.say(&format!(
        "{served} requests served; {ends} times a process exceeded its memory, {} MB at most; {lost} \
         requests from kept connections were passed on to an engine and got no answer",
        peak >> 20
    ));
    if served < 50 {
        cannot_run("too few requests were served");
    }
    i32::from(lost > 3)
}

fn resident_bytes(process: Option<u32>) -> u64 {
    let status = process.and_then(|id| fs::read_to_string(format!("/proc/{id}/status")).ok());
    let line = status.as_deref().unwrap_or("").lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|text| text.trim().trim_end_matches(" kB").parse::<u64>().ok());
    kilobytes.unwrap_or(0) << 10
}

/// Starts a sound engine that reads a request whole and then works on it.
fn start_engine(store: &Store, record: &Record, index: usize, began: Arc<Mutex<HashSet<String>>>) {
    let zone = ZONES[index % ZONES.len()];
    let (engine, listener) = Engine::register(store, record, "files", index, zone, SLOTS as u32);
    engine.beat(store, zone, SLOTS as u32);
    let running = Mutex::new(0);
    serve(listener, move |mut connection: Connection| {
        while let Ok(Some(request)) = connection.read() {
            if let Some(answer) = engine.other_answer(&request) {
                drop(write(&connection.stream, &answer));
                continue;
            }
            let id = request.header("Request-Id").unwrap_or("").to_owned();
            loop {
                let mut running = running.lock().unwrap();
                if *running < SLOTS {
                    *running += 1;
                    break;
                }
                drop(running);
                thread::sleep(Duration::from_millis(2));
            }
            began.lock().unwrap().insert(id.clone());
            thread::sleep(WORK);
            *running.lock().unwrap() -= 1;
            let headers = [("Request-Id", &*id), ("Server-Stamp", "s.1")];
            if write(&connection.stream, &response("200 OK", &headers, b"filed")).is_err() {
                return;
            }
        }
    });
}

/// Sends a request and reads its answer; `None` if there is no whole one.
fn ask(connection: &mut Connection, id: &str, body: &[u8]) -> Option<Message> {
    let head = format!(
        "POST /file/1 HTTP/1.1\r\nHost: clerks.example\r\nRequest-Id: {id}\r\n\
         Deadline-Remaining: 3000\r\nAuthorization: Bearer key-of-clerks\r\n\
         Content-Length: {}\r\n\r\n",
        body.len()
    );
    connection.stream.set_read_timeout(Some(Duration::from_secs(4))).ok()?;
    write(&connection.stream, head.as_bytes()).ok()?;
    write(&connection.stream, body).ok()?;
    connection.read().ok()?
}

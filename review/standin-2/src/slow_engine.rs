//! One of seven model engines turns slow while it reads prompts.

use {
    crate::{
        deployment::{Deployment, Record, cannot_run, has_trouble},
        engines::Engine,
        http::{Connection, serve, write},
        store::Store,
    },
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
const ENGINES: usize = 7;
/// How long an engine reads a prompt of 50,000 tokens: 61.2 tokens a millisecond, and 0.324 ms for
/// a million pairs of them, as on the sheet.
const READS_FOR: Duration = Duration::from_millis(1_250);
/// An engine that is slow works this many times as long.
const SLOWDOWN: u32 = 5;
const SLOW_FOR: Duration = Duration::from_millis(6_500);
const WINDOWS: u64 = 3;
const WINDOW_PAUSE: Duration = Duration::from_secs(14);
const REQUESTS_PER_WINDOW: u64 = 20;
const EVENTS: u64 = 10;
const STOPPED_WITHIN: Duration = Duration::from_millis(400);

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-letter","host":"clerks.example","pathPrefix":"/letter/","kind":"streaming","timeoutMs":8000,"targetLatencyMs":1600,"priority":0,"service":"model","attempts":2,"stages":[],"public":false,"sessionAffinity":true,"resumable":true,"gapTargetMs":200}],"services":[{"name":"model","healthPath":"/health","connectionLimit":370,"protocol":"h1","tls":false,"engine":{"slots":64,"kvCacheTokens":614608,"kvTokenBytes":163840,"linkMbps":1100000.0,"handleS":5.0,"models":[{"name":"m"}]}}],"limits":{"headerBytes":16384,"bodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"clerks","apiKeys":["key-of-clerks"],"priority":1}]}"#;

/// The time in which an engine worked on a request.
struct Work {
    engine: usize,
    began: Instant,
    ended: Option<Instant>,
}

type Works = Arc<Mutex<HashMap<String, Vec<Work>>>>;

pub fn run(folder: &str) -> i32 {
    let record = Record::create(folder);
    let store = Store::default();
    store.put("keyed.op", "config", CONFIG);
    let works = Works::default();
    let is_slow = Arc::new(AtomicBool::new(false));
    for index in 0..ENGINES {
        start_engine(&store, &record, index, works.clone(), is_slow.clone());
    }
    let deployment = Deployment::start(&store, &ZONES, &record);
    thread::sleep(Duration::from_secs(2));
    let started = Instant::now();
    let mut clients = Vec::new();
    for window in 0..WINDOWS {
        record.add("an engine turns slow");
        is_slow.store(has_trouble(), Ordering::Relaxed);
        for number in 0..REQUESTS_PER_WINDOW {
            let address = deployment.nodes[number as usize % ZONES.len()].callers;
            let (id, record) = (format!("{window:08x}{number:08x}"), record.clone());
            clients.push(thread::spawn(move || {
                let sent = Instant::now();
                let answer = ask(address, &id);
                let after = sent.elapsed().as_millis();
                record.add(&format!("client got {answer:?} for {id} after {after} ms"));
                answer == Some((200, EVENTS as usize))
            }));
            thread::sleep(Duration::from_millis(30));
        }
        thread::sleep(SLOW_FOR);
        record.add("the engine is as usual again");
        is_slow.store(false, Ordering::Relaxed);
        thread::sleep((started + WINDOW_PAUSE * (window as u32 + 1)) - Instant::now());
    }
    let served = clients.into_iter().filter_map(|client| client.join().ok()).filter(|ok| *ok);
    let served = served.count();
    drop(deployment);
    let works = works.lock().unwrap();
    let mut twice = 0;
    for (id, works) in works.iter() {
        for (first, second) in works.iter().zip(works.iter().skip(1)) {
            let works_until = first.ended.unwrap_or_else(Instant::now);
            let overlap = works_until.saturating_duration_since(second.began);
            if overlap > STOPPED_WITHIN {
                twice += 1;
                record.say(&format!(
                    "TWICE: {id} went on at engine {} {} ms after engine {} had begun, which worked \
                     on it for {} ms more",
                    second.engine,
                    (second.began - first.began).as_millis(),
                    first.engine,
                    overlap.as_millis()
                ));
            }
        }
    }
    record.say(&format!("{served} requests served, {twice} went on while their engine worked on"));
    if served < 10 {
        cannot_run("too few requests were served");
    }
    i32::from(twice > 0)
}

/// Starts an engine that drops a request when its connection closes. The first one may turn slow.
fn start_engine(
    store: &Store,
    record: &Record,
    index: usize,
    works: Works,
    is_slow: Arc<AtomicBool>,
) {
    let zone = ZONES[index % ZONES.len()];
    let (engine, listener) = Engine::register(store, record, "model", index, zone, 64);
    engine.beat(store, zone, 64);
    serve(listener, move |mut connection: Connection| {
        while let Ok(Some(request)) = connection.read() {
            if let Some(answer) = engine.other_answer(&request) {
                drop(write(&connection.stream, &answer));
                continue;
            }
            let id = request.header("Request-Id").unwrap_or("").to_owned();
            let work = Work { engine: index, began: Instant::now(), ended: None };
            works.lock().unwrap().entry(id.clone()).or_default().push(work);
            let is_whole = work_on(&engine, &mut connection, &id, || {
                index == 0 && is_slow.load(Ordering::Relaxed)
            });
            let mut works = works.lock().unwrap();
            let of_request = works.get_mut(&id).expect("it was begun");
            let work = of_request.iter_mut().rfind(|work| work.engine == index);
            work.expect("it was begun here").ended = Some(Instant::now());
            if !is_whole {
                return;
            }
        }
    });
}

/// Works on a request until it is done, or its connection ends; returns whether it is done.
fn work_on(
    engine: &Engine,
    connection: &mut Connection,
    id: &str,
    is_slow: impl Fn() -> bool,
) -> bool {
    engine.record.add(&format!("{} begins to work on {id}", engine.id));
    let step = Duration::from_millis(10);
    let mut done = Duration::ZERO;
    while done < READS_FOR {
        thread::sleep(step);
        done += if is_slow() { step / SLOWDOWN } else { step };
        if connection.has_ended() {
            engine.record.add(&format!("{} was left by {id}", engine.id));
            return false;
        }
    }
    let mut bytes = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: {id}\r\n\
         Server-Stamp: s.{id}\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    for number in 0..EVENTS {
        let event = format!("id: {number}\ndata: {id}\n\n");
        bytes.push_str(&format!("{:x}\r\n{event}\r\n", event.len()));
        if write(&connection.stream, bytes.as_bytes()).is_err() || connection.has_ended() {
            return false;
        }
        bytes.clear();
        thread::sleep(Duration::from_millis(20));
    }
    engine.record.add(&format!("{} has run {id}", engine.id));
    write(&connection.stream, b"0\r\n\r\n").is_ok()
}

/// Sends a request; returns the status and the number of events of a whole answer.
fn ask(address: SocketAddr, id: &str) -> Option<(u16, usize)> {
    let mut connection = Connection::connect(address).ok()?;
    connection.stream.set_read_timeout(Some(Duration::from_secs(8))).ok()?;
    let request = format!(
        "POST /letter/1 HTTP/1.1\r\nHost: clerks.example\r\nRequest-Id: {id}\r\nModel: m\r\n\
         Token-Counts: 50000,50\r\nPrompt-Prefix: {id}:50000\r\nDeadline-Remaining: 8000\r\n\
         Authorization: Bearer key-of-clerks\r\nContent-Length: 4\r\n\r\nline"
    );
    write(&connection.stream, request.as_bytes()).ok()?;
    let answer = connection.read().ok()??;
    let events = String::from_utf8_lossy(&answer.body).matches("id: ").count();
    Some((answer.status(), events))
}

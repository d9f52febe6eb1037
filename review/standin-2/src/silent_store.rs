//! The open connections to the store go silent for good, while new ones work; one process is left.

use {
    crate::{
        deployment::{Deployment, Record, cannot_run, has_trouble},
        engines::Engine,
        http::{Connection, response, serve, write},
        store::Store,
    },
    std::{
        collections::HashMap,
        io::{Read, Write},
        net::{Shutdown, SocketAddr, TcpListener, TcpStream},
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
/// `configPropagationMs`, `drainMs` and `contactMs` of the site.
const PROPAGATION: Duration = Duration::from_millis(2_000);
const CONTACT: Duration = Duration::from_millis(3_000);
const ASKS_FOR: Duration = Duration::from_millis(7_000);

/// A configuration with a route, and beside it one that is dropped later.
fn config(version: u32, has_old_route: bool) -> String {
    let route = |name: &str, prefix: &str| {
        format!(
            r#"{{"name":"{name}","host":"clerks.example","pathPrefix":"{prefix}","kind":"safe","timeoutMs":1500,"targetLatencyMs":300,"priority":1,"service":"records","attempts":2,"stages":[],"public":false}}"#
        )
    };
    let mut routes = vec![route("r-read", "/read/")];
    routes.extend(has_old_route.then(|| route("r-old", "/old/")));
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"records","healthPath":"/health","connectionLimit":110,"protocol":"h1","tls":false}}],"limits":{{"headerBytes":16384,"bodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"clerks","apiKeys":["key-of-clerks"],"priority":1}}]}}"#,
        routes.join(",")
    )
}

/// A proxy whose connections can go silent: what either side sends is taken and goes nowhere.
#[derive(Clone, Default)]
struct Proxy {
    /// Connections with a lower number are silent.
    silent_below: Arc<AtomicU64>,
    opened: Arc<AtomicU64>,
}

impl Proxy {
    fn start(&self, target: SocketAddr) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        let proxy = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let number = proxy.opened.fetch_add(1, Ordering::SeqCst);
                let Ok(other) = TcpStream::connect(target) else {
                    continue;
                };
                let ends = (stream.try_clone(), other.try_clone());
                if let (Ok(stream_copy), Ok(other_copy)) = ends {
                    proxy.pump(number, stream, other);
                    proxy.pump(number, other_copy, stream_copy);
                }
            }
        });
        address
    }

    fn pump(&self, number: u64, mut from: TcpStream, mut to: TcpStream) {
        let proxy = self.clone();
        thread::spawn(move || {
            let mut buffer = [0; 16 << 10];
            while let Ok(count) = from.read(&mut buffer) {
                let is_silent = number < proxy.silent_below.load(Ordering::SeqCst);
                if is_silent && count > 0 {
                    continue;
                }
                if count == 0 || to.write_all(&buffer[..count]).is_err() {
                    break;
                }
            }
            if number >= proxy.silent_below.load(Ordering::SeqCst) {
                drop(to.shutdown(Shutdown::Both));
            }
        });
    }

    /// Makes all connections that are open now silent for good.
    fn silence(&self) {
        self.silent_below.store(self.opened.load(Ordering::SeqCst), Ordering::SeqCst);
    }
}

pub fn run(folder: &str) -> i32 {
    let record = Record::create(folder);
    let store = Store::default();
    store.put("keyed.op", "config", &config(7, true));
    let ran: Arc<Mutex<HashMap<String, (usize, Instant)>>> = Arc::default();
    let mut engines = Vec::new();
    for index in 0..ENGINES {
        let zone = ZONES[index % ZONES.len()];
        let (engine, listener) = Engine::register(&store, &record, "records", index, zone, 6);
        engine.beat(&store, zone, 6);
        let (ran, own) = (ran.clone(), engine.clone());
        serve(listener, move |mut connection: Connection| {
            while let Ok(Some(request)) = connection.read() {
                if let Some(answer) = own.other_answer(&request) {
                    drop(write(&connection.stream, &answer));
                    continue;
                }
                let id = request.header("Request-Id").unwrap_or("").to_owned();
                own.record.add(&format!("{} runs {id}", own.id));
                ran.lock().unwrap().insert(id.clone(), (index, Instant::now()));
                let headers = [("Request-Id", &*id), ("Server-Stamp", "s.1")];
                drop(write(&connection.stream, &response("200 OK", &headers, b"a record")));
            }
        });
        engines.push(engine);
    }
    let proxy = Proxy::default();
    let address = proxy.start(store.clone().start());
    let mut deployment = Deployment::start_with(address, &ZONES, &record);
    thread::sleep(Duration::from_secs(3));
    // All machines but one are lost, long before anything else.
    let lost = deployment.nodes.split_off(1);
    lost.into_iter().for_each(|mut node| node.kill());
    record.add("two of three processes are lost for good");
    thread::sleep(Duration::from_secs(10));
    let node = deployment.nodes[0].callers;
    if ask(node, "before") != Some(200) {
        cannot_run("the process that is left doesn't serve");
    }
    // A change that comes in the usual way; the next read of the configuration begins after it.
    store.put("keyed.op", "config", &config(8, true));
    thread::sleep(Duration::from_millis(100));
    let silent_at = Instant::now();
    if has_trouble() {
        proxy.silence();
        record.add("the open connections to the store go silent");
    }
    thread::sleep(Duration::from_millis(200));
    store.put("keyed.op", "config", &config(9, false));
    let dropped_at = Instant::now();
    record.add("the store has acknowledged that a route is dropped");
    let from = (dropped_at + PROPAGATION).max(silent_at + CONTACT);
    thread::sleep(from + Duration::from_millis(10) - Instant::now());
    let mut late = 0;
    let mut last = Duration::ZERO;
    let mut refused = 0;
    let mut number = 0;
    while silent_at.elapsed() < ASKS_FOR {
        number += 1;
        let id = format!("late-{number:04}");
        let sent = Instant::now();
        let status = ask(node, &id);
        let after = sent - dropped_at;
        record.add(&format!("client got {status:?} for {id}, sent {} ms after", after.as_millis()));
        if ran.lock().unwrap().contains_key(&id) {
            late += 1;
            last = after;
        } else {
            refused += 1;
        }
        thread::sleep(Duration::from_millis(40));
    }
    drop(deployment);
    record.say(&format!(
        "{late} requests on a route that was dropped ran, the last one sent {} ms after the \
         acknowledgement; {refused} were refused",
        last.as_millis()
    ));
    if refused == 0 {
        cannot_run("the change never came into force");
    }
    i32::from(late > 0)
}

/// Sends a request on a connection of its own; returns the status of the answer.
fn ask(address: SocketAddr, id: &str) -> Option<u16> {
    let mut connection = Connection::connect(address).ok()?;
    connection.stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
    let request = format!(
        "GET /old/1 HTTP/1.1\r\nHost: clerks.example\r\nRequest-Id: {id}\r\n\
         Deadline-Remaining: 1500\r\nAuthorization: Bearer key-of-clerks\r\nConnection: close\r\n\r\n"
    );
    write(&connection.stream, request.as_bytes()).ok()?;
    Some(connection.read().ok()??.status())
}

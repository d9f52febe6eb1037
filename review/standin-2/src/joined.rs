use crate::{
    deployment::{Deployment, Record, has_trouble},
    http::{Connection, response, serve, write},
    store::Store,
};
use std::{
    net::{SocketAddr, TcpListener},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};
const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-letter","host":"clerks.example","pathPrefix":"/letter/","kind":"streaming","timeoutMs":12000,"targetLatencyMs":1600,"priority":0,"service":"model","attempts":2,"stages":[],"public":false,"sessionAffinity":true,"resumable":true,"gapTargetMs":200}],"services":[{"name":"model","healthPath":"/health","connectionLimit":370,"protocol":"h1","tls":false,"engine":{"slots":64,"kvCacheTokens":614608,"kvTokenBytes":163840,"linkMbps":1100000.0,"handleS":5.0,"models":[{"name":"m"}]}}],"limits":{"headerBytes":16384,"bodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"clerks","apiKeys":["k"],"priority":1}]}"#;
struct E {
    id: String,
    address: SocketAddr,
    version: &'static str,
    zone: &'static str,
    stop: Arc<AtomicBool>,
}
fn engine(
    store: &Store,
    record: &Record,
    id: &str,
    version: &'static str,
    zone: &'static str,
) -> E {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let id = id.to_owned();
    let (eid, record) = (id.clone(), record.clone());
    serve(listener, move |mut c: Connection| {
        while let Ok(Some(m)) = c.read() {
            if m.header("Expect-Instance").is_some_and(|e| e != eid) {
                drop(write(
                    &c.stream,
                    &response("421 Misdirected Request", &[("Instance-Id", &eid)], b""),
                ));
                continue;
            }
            let rid = m.header("Request-Id").unwrap_or("").to_owned();
            let from =
                m.header("Last-Event-Id").and_then(|v| v.parse::<u64>().ok()).map_or(0, |n| n + 1);
            record.add(&format!("{eid} ({version}) runs {rid} from event {from}"));
            if write(&c.stream, format!("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: {rid}\r\nServer-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n").as_bytes()).is_err() { return; }
            for n in from..40 {
                let e = format!("id: {n}\ndata: {version}\n\n");
                if write(&c.stream, format!("{:x}\r\n{e}\r\n", e.len()).as_bytes()).is_err() {
                    return;
                }
                thread::sleep(Duration::from_millis(100));
            }
            drop(write(&c.stream, b"0\r\n\r\n"));
        }
    });
    let e = E { id, address, version, zone, stop: Arc::default() };
    e.put(store, "ready", 1);
    let (s, stop, id2, z, v) = (store.clone(), e.stop.clone(), e.id.clone(), zone, version);
    thread::spawn(move || {
        for q in 2.. {
            thread::sleep(Duration::from_millis(1200));
            if stop.load(Ordering::Relaxed) {
                return;
            }
            s.put("keyed.servers", &id2, &entry(address, z, v, "ready", q));
        }
    });
    e
}
fn entry(a: SocketAddr, z: &str, v: &str, state: &str, q: u64) -> String {
    format!(
        "{{\"service\":\"model\",\"address\":\"{a}\",\"zone\":\"{z}\",\"version\":\"{v}\",\"slots\":64,\"state\":\"{state}\",\"coldRemainingMs\":0,\"sequence\":{q}}}"
    )
}
impl E {
    fn put(&self, s: &Store, state: &str, q: u64) {
        s.put("keyed.servers", &self.id, &entry(self.address, self.zone, self.version, state, q));
    }
    fn drain(&self, s: &Store) {
        self.stop.store(true, Ordering::Relaxed);
        self.put(s, "draining", 99);
    }
    fn gone(&self, s: &Store) {
        self.stop.store(true, Ordering::Relaxed);
        s.put("keyed.servers", &self.id, "");
    }
}
pub fn run(folder: &str) -> i32 {
    let record = Record::create(folder);
    let store = Store::default();
    store.put("keyed.op", "config", CONFIG);
    let a = [
        engine(&store, &record, "i-a1", "v1", "zone-a"),
        engine(&store, &record, "i-a2", "v1", "zone-b"),
    ];
    let mut d = Deployment::start(&store, &["zone-a", "zone-b", "zone-c"], &record);
    thread::sleep(Duration::from_secs(6));
    if has_trouble() {
        store.refuse_writes(true);
        record.add("the store takes no writes of the system");
    }
    let b = [
        engine(&store, &record, "i-b1", "v2", "zone-a"),
        engine(&store, &record, "i-b2", "v2", "zone-b"),
    ];
    thread::sleep(Duration::from_millis(300));
    a.iter().for_each(|e| e.drain(&store));
    thread::sleep(Duration::from_millis(2100));
    a.iter().for_each(|e| e.gone(&store));
    thread::sleep(Duration::from_millis(300));
    let addresses: Vec<_> = d.nodes.iter().map(|n| n.callers).collect();
    let joined = Arc::new(Mutex::new((0, 0, 0)));
    let hs: Vec<_> = (0..12usize).map(|c| { let (addresses, joined, record) = (addresses.clone(), joined.clone(), record.clone()); thread::spawn(move || {
        let mut text = String::new(); let mut last: Option<u64> = None; let mut done = false;
        for attempt in 0..14 {
            let r = (|| -> std::io::Result<(u16, String, bool)> { let mut x = Connection::connect(addresses[(c + attempt) % 3])?; x.stream.set_read_timeout(Some(Duration::from_secs(6)))?;
                let le = last.map_or(String::new(), |l| format!("Last-Event-Id: {l}\r\n"));
                write(&x.stream, format!("POST /letter/1 HTTP/1.1\r\nHost: clerks.example\r\nRequest-Id: {c:08x}{attempt:08x}\r\nModel: m\r\nToken-Counts: 150,200\r\nPrompt-Prefix: aa{c:02x}:150\r\n{le}Deadline-Remaining: 12000\r\nAuthorization: Bearer k\r\nContent-Length: 1\r\nConnection: close\r\n\r\nx").as_bytes())?;
                let Some(mut h) = x.read_head()? else { return Ok((0, String::new(), false)) }; x.read_body(&mut h, |_| {}); Ok((h.status(), String::from_utf8_lossy(&h.body).into_owned(), h.is_whole)) })();
            match r { Ok((200, body, whole)) => { let n: Vec<u64> = body.lines().filter_map(|l| l.strip_prefix("id: ")?.parse().ok()).collect(); if let Some(m) = n.last() { last = Some(*m); } text.push_str(&body); record.add(&format!("client {c} attempt {attempt}: 200, events {:?}..{:?}, whole {whole}, versions {} {}", n.first(), n.last(), body.contains("v1"), body.contains("v2"))); if whole { done = true; break; } }
                other => { record.add(&format!("client {c} attempt {attempt}: {:?}", other.map(|x| x.0).map_err(|e| e.kind()))); } }
            thread::sleep(Duration::from_millis(300));
        }
        let mut j = joined.lock().unwrap(); j.2 += 1; if done { j.0 += 1; if text.contains("v1") && text.contains("v2") { j.1 += 1; } }
    }) }).collect();
    thread::sleep(Duration::from_millis(1800));
    record.add("all processes are killed, and the first version comes back");
    d.nodes.iter_mut().for_each(|n| n.kill());
    b.iter().for_each(|e| e.gone(&store));
    let c = [
        engine(&store, &record, "i-c1", "v1", "zone-a"),
        engine(&store, &record, "i-c2", "v1", "zone-b"),
    ];
    thread::sleep(Duration::from_millis(500));
    d.nodes.iter_mut().for_each(|n| n.start());
    thread::sleep(Duration::from_millis(400));
    store.refuse_writes(false);
    record.add("the store takes writes again");
    for h in hs {
        drop(h.join());
    }
    drop((d, c));
    let j = joined.lock().unwrap();
    println!("{} streams whole, {} of them joined from two versions, of {}", j.0, j.1, j.2);
    i32::from(j.1 > 0)
}

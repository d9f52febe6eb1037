//! An engine of a stage answers one call with errors only, and sends this answer again where the
//! next one on the connection is expected.

use {
    crate::{
        deployment::{Deployment, Record, cannot_run, has_trouble},
        engines::{Engine, Fault, Handles, StreamShape, start_model, start_stage},
        http::{Connection, Message, write},
        store::Store,
    },
    std::{
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
const STAGE_ENGINES: usize = 7;
const MODEL_ENGINES: usize = 3;
const CLIENTS: u64 = 45;
const RUNS_FOR: Duration = Duration::from_secs(22);
/// When the one faulty answer is given.
const FAULT_AFTER: Duration = Duration::from_secs(6);
const PIECES: u64 = 8;

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-draft","host":"clerks.example","pathPrefix":"/draft/","kind":"streaming","timeoutMs":8000,"targetLatencyMs":4000,"priority":1,"service":"model","attempts":1,"stages":[{"service":"lookup","after":[],"bytes":8000}],"public":false,"sessionAffinity":true,"resumable":false,"gapTargetMs":200}],"services":[{"name":"model","healthPath":"/health","connectionLimit":370,"protocol":"h1","tls":false,"engine":{"slots":64,"kvCacheTokens":614608,"kvTokenBytes":163840,"linkMbps":1100000.0,"handleS":5.0,"models":[{"name":"m"}]}},{"name":"lookup","healthPath":"/health","connectionLimit":370,"protocol":"h1","tls":false,"pieces":{"slots":1,"queue":2,"batch":8,"callMs":150.0,"itemMs":16.0,"headroomMb":39.0,"handleS":4.0,"linkMbps":10000}}],"limits":{"headerBytes":16384,"bodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"clerks","apiKeys":["key-of-clerks"],"priority":1}]}"#;

pub fn run(folder: &str) -> i32 {
    let record = Record::create(folder);
    let store = Store::default();
    store.put("keyed.op", "config", CONFIG);
    let handles = Handles::default();
    let started = Instant::now();
    let is_faulty_due = Arc::new(AtomicBool::new(true));
    let running_since: Arc<Mutex<Option<Instant>>> = Arc::default();
    for index in 0..STAGE_ENGINES {
        let zone = ZONES[index % ZONES.len()];
        let (engine, listener) = Engine::register(&store, &record, "lookup", index, zone, 1);
        engine.beat(&store, zone, 1);
        let (due, since) = (is_faulty_due.clone(), running_since.clone());
        let fault = move || {
            let is_time = since.lock().unwrap().is_some_and(|s| s.elapsed() >= FAULT_AFTER);
            match index == 0 && is_time && due.swap(false, Ordering::Relaxed) {
                true if has_trouble() => Fault::ErrorsAndExtra,
                true => Fault::Errors,
                false => Fault::None,
            }
        };
        let (call, piece) = (Duration::from_millis(150), Duration::from_millis(16));
        start_stage(engine, listener, handles.clone(), call, piece, fault);
    }
    let foreign = Arc::new(AtomicU64::new(0));
    let checked = Arc::new(AtomicU64::new(0));
    for index in 0..MODEL_ENGINES {
        let zone = ZONES[index % ZONES.len()];
        let (engine, listener) = Engine::register(&store, &record, "model", index, zone, 64);
        engine.beat(&store, zone, 64);
        let shape = StreamShape {
            before_first: Duration::from_millis(60),
            events: 5,
            gap: Duration::from_millis(15),
        };
        let (handles, foreign, checked) = (handles.clone(), foreign.clone(), checked.clone());
        start_model(engine, listener, (64, 134), shape, move |engine, request| {
            checked.fetch_add(1, Ordering::Relaxed);
            if let Some(fault) = wrong_inputs(&handles, request) {
                foreign.fetch_add(1, Ordering::Relaxed);
                engine.record.say(&format!("MIXED: {} {fault}", engine.id));
            }
        });
    }
    let deployment = Deployment::start(&store, &ZONES, &record);
    thread::sleep(Duration::from_secs(2));
    *running_since.lock().unwrap() = Some(Instant::now());
    let until = Instant::now() + RUNS_FOR;
    let served = Arc::new(AtomicU64::new(0));
    let clients = (0..CLIENTS).map(|client| {
        let address = deployment.nodes[client as usize % ZONES.len()].callers;
        let (record, served) = (record.clone(), served.clone());
        thread::spawn(move || {
            for number in 0.. {
                if Instant::now() >= until {
                    return;
                }
                let id = format!("{client:04x}{number:012x}");
                let status = ask(address, &id);
                record.add(&format!("client {client} got {status} for {id}"));
                match status {
                    200 => drop(served.fetch_add(1, Ordering::Relaxed)),
                    _ => thread::sleep(Duration::from_millis(300)),
                }
            }
        })
    });
    let clients: Vec<_> = clients.collect();
    clients.into_iter().for_each(|client| drop(client.join()));
    drop(deployment);
    let (served, checked) = (served.load(Ordering::Relaxed), checked.load(Ordering::Relaxed));
    let foreign = foreign.load(Ordering::Relaxed);
    record.say(&format!(
        "{served} requests served, {checked} checked at the model engines, {foreign} of them with \
         inputs of another request; {} s",
        started.elapsed().as_secs()
    ));
    if served < 50 || is_faulty_due.load(Ordering::Relaxed) {
        cannot_run("too few requests were served");
    }
    i32::from(foreign > 0)
}

/// Says what is wrong with the inputs of a request; `None` if they are its own and whole.
fn wrong_inputs(handles: &Handles, request: &Message) -> Option<String> {
    let id = request.header("Request-Id").unwrap_or("");
    let handles = handles.lock().unwrap();
    let inputs: Vec<_> = request.header("Inputs").unwrap_or("").split(',').map(str::trim).collect();
    let mut pieces = Vec::new();
    for input in &inputs {
        match handles.get(*input) {
            Some((owner, _, piece)) if owner == id => pieces.push(*piece),
            Some((owner, stage, piece)) => {
                return Some(format!("got for {id} the piece {piece} of stage {stage} of {owner}"));
            }
            None => return Some(format!("got for {id} the unknown handle {input:?}")),
        }
    }
    pieces.sort_unstable();
    let is_whole = pieces == (0..PIECES).collect::<Vec<_>>();
    (!is_whole).then(|| format!("got for {id} the pieces {pieces:?}"))
}

/// Sends a request and reads its answer; returns the status, or 0 if there was no whole answer.
fn ask(address: std::net::SocketAddr, id: &str) -> u16 {
    let asked = || -> std::io::Result<u16> {
        let mut connection = Connection::connect(address)?;
        connection.stream.set_read_timeout(Some(Duration::from_secs(8)))?;
        let request = format!(
            "POST /draft/1 HTTP/1.1\r\nHost: clerks.example\r\nRequest-Id: {id}\r\nModel: m\r\n\
             Token-Counts: 150,20\r\nPrompt-Prefix: aa01:100,{id}:50\r\nPieces: {PIECES}\r\n\
             Piece-Key: {id}\r\nDeadline-Remaining: 8000\r\nAuthorization: Bearer key-of-clerks\r\n\
             Content-Length: 4\r\nConnection: close\r\n\r\nline"
        );
        write(&connection.stream, request.as_bytes())?;
        Ok(connection.read()?.map_or(0, |answer| answer.status()))
    };
    asked().unwrap_or(0)
}

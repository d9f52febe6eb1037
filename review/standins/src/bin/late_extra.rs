//! An engine of a stage sends a second, late answer to a few of its calls. Checks that no request
//! is given the inputs of another one.

use {
    review_standins::{
        finish,
        gateway::start_nodes,
        has_trouble,
        http::{End, chunk, exchange, response, serve},
        pieces::{Maker, Results},
        record::Record,
        store::{Engine, Store},
    },
    std::{
        io::Write,
        net::SocketAddr,
        path::{Path, PathBuf},
        sync::{
            Arc, OnceLock,
            atomic::{AtomicUsize, Ordering},
        },
        thread,
        time::Duration,
    },
};

/// Requests, and the pause between them.
const REQUESTS: usize = 230;
const PAUSE: Duration = Duration::from_millis(165);
/// Of so many answers in a row, the faulty engine sends one twice: under 3 in 100.
const ANSWERS_PER_EXTRA: usize = 34;
/// Spells of the fault, and how often they begin.
const SPELL_S: f64 = 5.0;
const SPELL_EVERY_S: f64 = 6.0;
/// Pieces of each request: a full call.
const PIECES: usize = 8;
/// Time in which the model engine reads a prompt: 24,000 tokens at 60 a ms.
const PREFILL: Duration = Duration::from_millis(400);

fn main() {
    let mut args = std::env::args_os().skip(1).map(PathBuf::from);
    let (Some(repository), Some(folder)) = (args.next(), args.next()) else {
        eprintln!("usage: late_extra REPOSITORY FOLDER");
        std::process::exit(2);
    };
    let record = Record::create(&folder.join("record.txt")).expect("record.txt can be written");
    let temporary = std::env::temp_dir().join(format!("review-1-{}", std::process::id()));
    std::fs::create_dir_all(&temporary).expect("a temporary folder");
    let result = run(&repository, &temporary, &record);
    let _ = std::fs::remove_dir_all(&temporary);
    finish(result, &record)
}

fn run(repository: &Path, temporary: &Path, record: &Record) -> Result<bool, String> {
    let text = |error: std::io::Error| error.to_string();
    let store = Store::start().map_err(text)?;
    let results = Results::default();
    let zones = ["a", "b", "c"];
    let extras = Arc::new(AtomicUsize::new(0));
    let answers = Arc::new(AtomicUsize::new(0));
    for index in 0..2 {
        let id = format!("i-5a{index}");
        let call_time = Duration::from_millis(150);
        let maker = Maker::new(&id, call_time, Duration::from_millis(16), &results);
        let is_faulty = index == 0 && has_trouble();
        let own = Arc::new(OnceLock::<SocketAddr>::new());
        let (known, record) = (own.clone(), record.clone());
        let (extras, answers) = (extras.clone(), answers.clone());
        let address = serve(move |call, stream, kept| {
            if !kept.is_empty() {
                // Where the answer to this call is expected, the second answer to the one before
                // arrives.
                stream.write_all(kept)?;
                record.line(&format!("{} sends its answer before once more, late", maker.id));
                kept.clear();
            }
            let own = *known.wait();
            if let Some((what, answer)) = maker.answer(own, &call, stream)? {
                record.line(&format!("{} made {what}", maker.id));
                let count = answers.fetch_add(usize::from(is_faulty), Ordering::SeqCst);
                let is_spell = record.now().as_secs_f64() % SPELL_EVERY_S < SPELL_S;
                let due = count / ANSWERS_PER_EXTRA > extras.load(Ordering::SeqCst);
                if is_faulty && is_spell && due {
                    extras.fetch_add(1, Ordering::SeqCst);
                    *kept = answer;
                }
            }
            Ok(())
        });
        let address = address.map_err(text)?;
        own.set(address).map_err(|_| "an address is known already".to_owned())?;
        let (service, zone, slots) = ("records".to_owned(), zones[index].to_owned(), 1);
        store.put_engine(&Engine { id, service, address, zone, slots }, "ready", 1);
    }
    let foreign = Arc::new(AtomicUsize::new(0));
    for (index, zone) in zones.iter().enumerate() {
        let id = format!("i-77{index}");
        let (own, record, results) = (id.clone(), record.clone(), results.clone());
        let foreign = foreign.clone();
        let address = serve(move |request, stream, _| {
            let name = request.header("request-id").unwrap_or_default().to_owned();
            let echo = format!("Request-Id: {name}\r\n");
            let expected = request.header("expect-instance").unwrap_or_default();
            if expected != own {
                let head = format!("{echo}Instance-Id: {own}\r\nNot-Run: 1\r\n");
                return stream.write_all(&response("421 Misdirected Request", &head, b""));
            }
            let inputs = request.header("inputs").unwrap_or_default().to_owned();
            let handles: Vec<_> = inputs.split(',').filter(|handle| !handle.is_empty()).collect();
            if handles.is_empty() {
                let head = format!("{echo}Not-Run: 1\r\n");
                return stream.write_all(&response("400 Bad Request", &head, b""));
            }
            let found: Option<Vec<_>> = handles.iter().map(|handle| results.get(handle)).collect();
            let Some(pieces) = found else {
                record.line(&format!("{own} answers 409 to {name}: an input is gone"));
                let head = format!("{echo}Not-Run: 1\r\n");
                return stream.write_all(&response("409 Conflict", &head, b""));
            };
            record.line(&format!("{own} runs {name} with inputs {inputs}"));
            if let Some(piece) = pieces.iter().find(|piece| piece.request != name) {
                foreign.fetch_add(1, Ordering::SeqCst);
                record.line(&format!(
                    "MIXED: {name} is given an input of request {} (stage {} piece {})",
                    piece.request, piece.stage, piece.number
                ));
            }
            thread::sleep(PREFILL);
            let head = format!(
                "HTTP/1.1 200 OK\r\n{echo}Server-Stamp: {own}.{name}\r\n\
                 Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
            );
            stream.write_all(head.as_bytes())?;
            for event in 1..=4 {
                // The text is made from the inputs.
                let event = format!("id: {event}\ndata: about {}\n\n", pieces[0].key);
                stream.write_all(&chunk(event.as_bytes()))?;
                thread::sleep(Duration::from_millis(20));
            }
            stream.write_all(&chunk(b""))
        });
        let (service, zone) = ("llm".to_owned(), zone.to_string());
        let address = address.map_err(text)?;
        store.put_engine(&Engine { id, service, address, zone, slots: 64 }, "ready", 1);
    }
    store.put("keyed.op", "config", CONFIG);
    let nodes = start_nodes(repository, temporary, store.address, &zones)?;
    record.line(&format!("{} nodes are ready; TROUBLE={}", nodes.len(), u8::from(has_trouble())));
    let mut clients = Vec::new();
    for number in 0..REQUESTS {
        let front = nodes[number % nodes.len()].front;
        let record = record.clone();
        clients.push(thread::spawn(move || {
            let id = format!("c1{number:06x}");
            let request = format!(
                "POST /explain/line HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {id}\r\nModel: m\r\n\
                 Token-Counts: 24000,20\r\nPrompt-Prefix: 5c1e07a2:23000,{number:x}:1000\r\n\
                 Pieces: {PIECES}\r\nPiece-Key: key-of-{id}\r\nDeadline-Remaining: 8000\r\n\
                 Authorization: Bearer k1\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{{}}"
            );
            record.line(&format!("client sends {id}"));
            let answer = exchange(front, request.as_bytes(), Duration::from_millis(6_400));
            let body = String::from_utf8_lossy(&answer.body).into_owned();
            let is_served = answer.status == 200 && answer.end == End::Complete;
            let is_foreign = is_served && !body.contains(&format!("about key-of-{id}\n"));
            let first = body.lines().nth(1).unwrap_or_default().to_owned();
            record.line(&format!(
                "client gets {} for {id}, {:?}: {first}",
                answer.status, answer.end
            ));
            if is_foreign {
                record.line(&format!(
                    "MIXED: the client of {id} gets the answer to another question: {first}"
                ));
            }
            (is_served, is_foreign)
        }));
        thread::sleep(PAUSE);
    }
    let (mut served, mut foreign_answers) = (0, 0);
    for client in clients {
        let (is_served, is_foreign) = client.join().map_err(|_| "a client failed".to_owned())?;
        served += usize::from(is_served);
        foreign_answers += usize::from(is_foreign);
    }
    let foreign = foreign.load(Ordering::SeqCst);
    record.line(&format!(
        "{REQUESTS} requests, {served} served; the faulty engine answered {} calls and sent {} answers twice; \
         {foreign} runs with inputs of another request, {foreign_answers} clients with foreign data",
        answers.load(Ordering::SeqCst),
        extras.load(Ordering::SeqCst),
    ));
    if served * 2 < REQUESTS {
        return Err("less than half of the requests were served".to_owned());
    }
    Ok(foreign > 0)
}

const CONFIG: &str = r#"{"version":3,"routes":[{"name":"explain","host":"h.example","pathPrefix":"/explain/","kind":"streaming","resumable":true,"sessionAffinity":true,"service":"llm","attempts":2,"timeoutMs":8000,"targetLatencyMs":1600,"gapTargetMs":200,"priority":0,"stages":[{"service":"records","after":[],"bytes":8000}]}],"services":[{"name":"llm","connectionLimit":370,"engine":{"slots":64,"kvCacheTokens":600000}},{"name":"records","connectionLimit":370,"pieces":{"slots":1,"queue":2,"batch":8,"callMs":150,"itemMs":16,"headroomMb":56,"handleS":4,"linkMbps":10000}}],"limits":{"headerBytes":16384,"bodyBytes":4194304,"headerTimeoutMs":5000,"idleTimeoutMs":20000},"tenants":[{"name":"t1","apiKeys":["k1"]}]}"#;

//! Sound engines: of a model, of a stage, and of plain requests. A hook makes one of them faulty.

use {
    crate::{
        deployment::Record,
        http::{Connection, Message, response, serve, write},
        json::{self, Json},
        store::Store,
    },
    std::{
        collections::{HashMap, VecDeque},
        io::Write,
        net::{SocketAddr, TcpListener},
        sync::{
            Arc, Mutex,
            atomic::{AtomicU64, Ordering},
        },
        thread,
        time::Duration,
    },
};

/// Which piece of which request a handle stands for.
pub type Handles = Arc<Mutex<HashMap<String, (String, u64, u64)>>>;

/// An engine's identity.
#[derive(Clone)]
pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    pub service: String,
    pub record: Record,
}

impl Engine {
    /// Registers an engine and returns it with its listener.
    pub fn register(
        store: &Store,
        record: &Record,
        service: &str,
        index: usize,
        zone: &str,
        slots: u32,
    ) -> (Self, TcpListener) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        let id = format!("i-{service}-{index}");
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
             \"version\":\"v1\",\"slots\":{slots},\"state\":\"ready\",\"coldRemainingMs\":0,\
             \"sequence\":1}}"
        );
        store.put("keyed.servers", &id, &entry);
        (Self { id, address, service: service.to_owned(), record: record.clone() }, listener)
    }

    /// Writes the entry again at intervals, as an engine that is alive does.
    pub fn beat(&self, store: &Store, zone: &str, slots: u32) {
        let (engine, store, zone) = (self.clone(), store.clone(), zone.to_owned());
        thread::spawn(move || {
            for sequence in 2.. {
                thread::sleep(Duration::from_millis(1_200));
                let entry = format!(
                    "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{zone}\",\
                     \"version\":\"v1\",\"slots\":{slots},\"state\":\"ready\",\
                     \"coldRemainingMs\":0,\"sequence\":{sequence}}}",
                    engine.service, engine.address
                );
                store.put("keyed.servers", &engine.id, &entry);
            }
        });
    }

    /// Returns the answer to a request that is meant for another engine, or asks for the health.
    pub fn other_answer(&self, request: &Message) -> Option<Vec<u8>> {
        let headers = [("Instance-Id", &*self.id)];
        if request.header("Expect-Instance").is_some_and(|expected| expected != self.id) {
            return Some(response("421 Misdirected Request", &headers, b""));
        }
        (request.path() == "/health").then(|| response("200 OK", &headers, b""))
    }
}

/// The items of a stage's call: request, stage, piece.
pub fn items(request: &Message) -> Vec<(String, u64, u64)> {
    let Some(body) = json::parse(&request.body) else {
        return Vec::new();
    };
    let item = |item: &Json| {
        let number = |name| item.get(name).and_then(Json::number).unwrap_or(0.0) as u64;
        let id = item.get("id").and_then(Json::text).unwrap_or("").to_owned();
        (id, number("stage"), number("piece"))
    };
    body.get("items").map(|items| items.list().iter().map(item).collect()).unwrap_or_default()
}

/// What a faulty engine does with a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    None,
    /// All pieces fail.
    Errors,
    /// All pieces fail, and the answer comes a second time where the next one is expected.
    ErrorsAndExtra,
}

/// Starts an engine of a stage: one call at a time, on all connections together.
pub fn start_stage(
    engine: Engine,
    listener: TcpListener,
    handles: Handles,
    call: Duration,
    piece: Duration,
    fault: impl Fn() -> Fault + Send + Sync + 'static,
) {
    let slot = Mutex::new(());
    let counter = AtomicU64::new(1);
    serve(listener, move |mut connection: Connection| {
        let mut extra: Option<Vec<u8>> = None;
        while let Ok(Some(request)) = connection.read() {
            if let Some(answer) = engine.other_answer(&request) {
                drop(write(&connection.stream, &answer));
                continue;
            }
            if request.path() != "/fernring/stage-run" {
                drop(write(&connection.stream, &response("200 OK", &[], b"")));
                continue;
            }
            if let Some(bytes) = extra.take() {
                // The extra response, at the point where the next response is expected.
                engine.record.add(&format!("{} sends an earlier answer again", engine.id));
                drop(write(&connection.stream, &bytes));
            }
            let items = items(&request);
            let fault = fault();
            let outcomes: Vec<_> = {
                let _slot = slot.lock().unwrap();
                thread::sleep(call + piece * items.len() as u32);
                let outcome = |item: &(String, u64, u64)| {
                    if fault != Fault::None {
                        return "{\"reason\":\"error\"}".to_owned();
                    }
                    let number = counter.fetch_add(1, Ordering::Relaxed);
                    let handle = format!("{}/{number:08x}", engine.address);
                    handles.lock().unwrap().insert(handle.clone(), item.clone());
                    format!("{{\"handle\":\"{handle}\"}}")
                };
                items.iter().map(outcome).collect()
            };
            let ids: Vec<_> = items.iter().map(|(id, _, piece)| format!("{id}.{piece}")).collect();
            engine.record.add(&format!("{} ran {} ({fault:?})", engine.id, ids.join(" ")));
            let body = format!("{{\"items\":[{}]}}", outcomes.join(","));
            let json = [("Content-Type", "application/json"), ("Instance-Load", "0,0,1")];
            let bytes = response("200 OK", &json, body.as_bytes());
            if fault == Fault::ErrorsAndExtra {
                extra = Some(bytes.clone());
            }
            if write(&connection.stream, &bytes).is_err() {
                return;
            }
        }
    });
}

/// What a model engine does with a stream.
#[derive(Debug, Clone, Copy)]
pub struct StreamShape {
    pub before_first: Duration,
    pub events: u64,
    pub gap: Duration,
}

/// The places of an engine: some requests run, a few more wait in order.
struct Places {
    slots: usize,
    queue: usize,
    /// How many run, and the numbers of those that wait.
    state: Mutex<(usize, VecDeque<u64>)>,
    numbers: AtomicU64,
}

impl Places {
    /// Waits for a place. Returns `false` if none is left, or the caller has gone meanwhile.
    fn take(&self, connection: &Connection) -> Result<(), &'static str> {
        let number = self.numbers.fetch_add(1, Ordering::Relaxed);
        {
            let mut state = self.state.lock().unwrap();
            if state.1.len() >= self.queue {
                return Err("full");
            }
            state.1.push_back(number);
        }
        loop {
            {
                let mut state = self.state.lock().unwrap();
                if state.0 < self.slots && state.1.front() == Some(&number) {
                    state.1.pop_front();
                    state.0 += 1;
                    return Ok(());
                }
            }
            if connection.has_ended() {
                self.state.lock().unwrap().1.retain(|other| *other != number);
                return Err("left");
            }
            thread::sleep(Duration::from_millis(5));
        }
    }

    fn give_back(&self) {
        self.state.lock().unwrap().0 -= 1;
    }
}

/// Gives a place back when it is dropped.
struct GivenBack<'a>(&'a Places);

impl Drop for GivenBack<'_> {
    fn drop(&mut self) {
        self.0.give_back();
    }
}

/// Starts a model engine with this many places for requests that run and that wait. `check` sees
/// each request when it begins to run.
pub fn start_model(
    engine: Engine,
    listener: TcpListener,
    (slots, queue): (usize, usize),
    shape: StreamShape,
    check: impl Fn(&Engine, &Message) + Send + Sync + 'static,
) {
    let state = Mutex::default();
    let places = Places { slots, queue, state, numbers: AtomicU64::new(1) };
    serve(listener, move |mut connection: Connection| {
        while let Ok(Some(request)) = connection.read() {
            if let Some(answer) = engine.other_answer(&request) {
                drop(write(&connection.stream, &answer));
                continue;
            }
            let id = request.header("Request-Id").unwrap_or("").to_owned();
            match places.take(&connection) {
                Ok(()) => {}
                Err("left") => {
                    engine.record.add(&format!("{} was left by {id}, which waited", engine.id));
                    return;
                }
                Err(_) => {
                    let headers = [("Not-Run", "1"), ("Request-Id", &*id)];
                    let answer = response("503 Service Unavailable", &headers, b"");
                    drop(write(&connection.stream, &answer));
                    continue;
                }
            }
            let place = GivenBack(&places);
            check(&engine, &request);
            engine.record.add(&format!("{} runs {id}", engine.id));
            thread::sleep(shape.before_first);
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: {id}\r\n\
                 Server-Stamp: s.{id}\r\nWeight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
            );
            if write(&connection.stream, head.as_bytes()).is_err() {
                return;
            }
            for number in 0..shape.events {
                let event = format!("id: {number}\ndata: {id}\n\n");
                let chunk = format!("{:x}\r\n{event}\r\n", event.len());
                if connection.stream.write_all(chunk.as_bytes()).is_err() {
                    engine.record.add(&format!("{} was left by {id} at {number}", engine.id));
                    return;
                }
                thread::sleep(shape.gap);
            }
            engine.record.add(&format!("{} has run {id}", engine.id));
            drop(place);
            if write(&connection.stream, b"0\r\n\r\n").is_err() {
                return;
            }
        }
    });
}

//! An engine of a stage, and what all of them have made.

use {
    crate::{
        http::{Message, response},
        json::Json,
    },
    std::{
        collections::BTreeMap,
        io::{self, Write},
        net::{SocketAddr, TcpStream},
        sync::{Arc, Mutex},
        thread,
        time::{Duration, Instant},
    },
};

/// How long a result is kept: `handleS`.
pub const HANDLE_TIME: Duration = Duration::from_secs(4);

/// A result.
#[derive(Debug, Clone)]
pub struct Piece {
    /// `Request-Id` of the request.
    pub request: String,
    /// Number of the stage.
    pub stage: u32,
    /// Number of the piece.
    pub number: u32,
    /// The `Piece-Key`, or those of the inputs.
    pub key: String,
    made_at: Instant,
    is_free: bool,
}

/// The results of all engines, by handle.
#[derive(Clone, Default)]
pub struct Results(Arc<Mutex<BTreeMap<String, Piece>>>);

impl Results {
    /// Returns a result that is still there.
    pub fn get(&self, handle: &str) -> Option<Piece> {
        let results = self.0.lock().unwrap();
        let found = results.get(handle)?;
        (!found.is_free && found.made_at.elapsed() < HANDLE_TIME).then(|| found.clone())
    }
}

/// An engine of a stage: one call at a time.
pub struct Maker {
    /// Its id.
    pub id: String,
    /// Time for a call.
    pub call_time: Duration,
    /// Time for each piece.
    pub piece_time: Duration,
    /// Its results, and those of the others.
    pub results: Results,
    slot: Mutex<u64>,
}

impl Maker {
    /// Creates an engine.
    pub fn new(id: &str, call_time: Duration, piece_time: Duration, results: &Results) -> Self {
        let (id, results) = (id.to_owned(), results.clone());
        Self { id, call_time, piece_time, results, slot: Mutex::new(0) }
    }

    /// Answers a call; returns the answer to a call that makes pieces, with what it was.
    pub fn answer(
        &self,
        own: SocketAddr,
        call: &Message,
        stream: &mut TcpStream,
    ) -> io::Result<Option<(String, Vec<u8>)>> {
        // Engines echo the id of a request.
        let id = call.header("request-id").map(|id| format!("Request-Id: {id}\r\n"));
        let id = id.unwrap_or_default();
        let kind = "Content-Type: application/json\r\n";
        if call.header("expect-instance").is_some_and(|expected| expected != self.id) {
            let head = format!("{id}Instance-Id: {}\r\nNot-Run: 1\r\n", self.id);
            stream.write_all(&response("421 Misdirected Request", &head, b""))?;
            return Ok(None);
        }
        let body = Json::parse(&call.body);
        match call.target() {
            "/fernring/stage-run" => {
                let body = body.ok_or(io::ErrorKind::InvalidData)?;
                let items = body.get("items").map(Json::list).unwrap_or_default();
                let mut calls = self.slot.lock().unwrap();
                *calls += 1;
                thread::sleep(self.call_time + self.piece_time * items.len() as u32);
                let mut made = Vec::new();
                let mut what = Vec::new();
                for (index, item) in items.iter().enumerate() {
                    let handle = format!("{own}/{:04x}{index:02x}", *calls);
                    let field = |name| item.get(name).cloned();
                    let number = |name| field(name).map_or(0, |number| number.number() as u32);
                    let request = field("id").map_or_else(String::new, |id| id.text().to_owned());
                    let mut results = self.results.0.lock().unwrap();
                    let key = match field("inputs") {
                        None => field("key").map_or_else(String::new, |key| key.text().to_owned()),
                        Some(inputs) => {
                            let key =
                                |input: &Json| results.get(input.text()).map(|p| p.key.clone());
                            inputs.list().iter().filter_map(key).collect::<Vec<_>>().join("+")
                        }
                    };
                    let (stage, number) = (number("stage"), number("piece"));
                    what.push(format!("{request} stage {stage} piece {number} -> {handle}"));
                    let made_at = Instant::now();
                    let piece = Piece { request, stage, number, key, made_at, is_free: false };
                    results.insert(handle.clone(), piece);
                    made.push(format!(r#"{{"handle":"{handle}"}}"#));
                }
                drop(calls);
                let body = format!(r#"{{"items":[{}]}}"#, made.join(","));
                let head = format!("{id}{kind}Instance-Load: 0,0,1\r\n");
                let answer = response("200 OK", &head, body.as_bytes());
                stream.write_all(&answer)?;
                Ok(Some((what.join("; "), answer)))
            }
            "/fernring/stage-free" => {
                let body = body.ok_or(io::ErrorKind::InvalidData)?;
                let handles = body.get("handles").map(Json::list).unwrap_or_default();
                let mut results = self.results.0.lock().unwrap();
                for handle in handles {
                    if let Some(piece) = results.get_mut(handle.text()) {
                        piece.is_free = true;
                    }
                }
                drop(results);
                stream.write_all(&response("200 OK", &id, b""))?;
                Ok(None)
            }
            _ => {
                stream.write_all(&response("404 Not Found", &id, b""))?;
                Ok(None)
            }
        }
    }
}

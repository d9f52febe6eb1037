//! A sound store of the platform: the log calls that the system makes.

use {
    crate::http::{Connection, Message, response, serve, write},
    std::{
        collections::{BTreeMap, HashMap},
        net::{SocketAddr, TcpListener},
        sync::{Arc, Condvar, Mutex},
        time::{Duration, Instant},
    },
};

#[derive(Default)]
struct Topic {
    /// The content of each record, as it is read.
    records: Vec<Vec<u8>>,
}

#[derive(Clone, Default)]
pub struct Store {
    topics: Arc<(Mutex<HashMap<String, Topic>>, Condvar)>,
}

fn keyed(key: &str, value: &[u8]) -> Vec<u8> {
    let mut record = vec![key.len() as u8];
    record.extend_from_slice(key.as_bytes());
    record.extend_from_slice(value);
    record
}

fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let number =
            part.iter().fold(0u32, |n, b| n << 8 | u32::from(*b)) << (8 * (3 - part.len()));
        for place in 0..4 {
            match place <= part.len() {
                true => text.push(LETTERS[(number >> (18 - 6 * place)) as usize & 63] as char),
                false => text.push('='),
            }
        }
    }
    text
}

impl Store {
    /// Starts the store and returns its address.
    pub fn start(self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        serve(listener, move |mut connection| self.serve_connection(&mut connection));
        address
    }

    /// Writes a record, as the operator and the engines do. No value drops the key.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        self.append(topic, vec![keyed(key, value.as_bytes())]);
    }

    fn append(&self, topic: &str, records: Vec<Vec<u8>>) -> (usize, usize) {
        let (topics, changed) = &*self.topics;
        let mut topics = topics.lock().unwrap();
        let topic = topics.entry(topic.to_owned()).or_default();
        let offset = topic.records.len();
        topic.records.extend(records);
        changed.notify_all();
        (offset, topic.records.len())
    }

    fn serve_connection(&self, connection: &mut Connection) {
        while let Ok(Some(request)) = connection.read() {
            let answer = self.answer(&request);
            if write(&connection.stream, &answer).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> Vec<u8> {
        let json = [("Content-Type", "application/json")];
        let topic = request.query("topic").unwrap_or("").to_owned();
        match request.path() {
            "/fernring/log-newest" => response("200 OK", &json, self.newest(&topic).as_bytes()),
            "/fernring/log-read" => {
                let number = |name| request.query(name).and_then(|v| v.parse::<usize>().ok());
                let wait = Duration::from_millis(number("waitMs").unwrap_or(0) as u64);
                response("200 OK", &[], &self.read(&topic, number("from").unwrap_or(0), wait))
            }
            "/fernring/log-append" => {
                let expected = request.query("endOffset").and_then(|v| v.parse::<usize>().ok());
                let mut records = Vec::new();
                let mut rest = &request.body[..];
                while rest.len() >= 4 {
                    let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
                    records.push(rest[4..4 + length].to_vec());
                    rest = &rest[4 + length..];
                }
                let end = self.topics.0.lock().unwrap().get(&topic).map_or(0, |t| t.records.len());
                if expected.is_some_and(|expected| expected != end) {
                    let body = format!("{{\"end\":{end}}}");
                    return response("412 Precondition Failed", &json, body.as_bytes());
                }
                let (offset, end) = self.append(&topic, records);
                let body = format!("{{\"offset\":{offset},\"end\":{end}}}");
                response("200 OK", &json, body.as_bytes())
            }
            _ => response("404 Not Found", &[], b""),
        }
    }

    fn newest(&self, topic: &str) -> String {
        let topics = self.topics.0.lock().unwrap();
        let records = topics.get(topic).map_or(&[][..], |topic| &topic.records);
        let mut newest = BTreeMap::new();
        for (offset, record) in records.iter().enumerate() {
            let length = record[0] as usize;
            let key = String::from_utf8_lossy(&record[1..=length]).into_owned();
            newest.insert(key, (offset, &record[1 + length..]));
        }
        let items = newest.iter().filter(|(_, (_, value))| !value.is_empty());
        let items = items.map(|(key, (offset, value))| {
            format!("{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}", base64(value))
        });
        let items: Vec<_> = items.collect();
        format!("{{\"items\":[{}],\"hasMore\":false,\"end\":{}}}", items.join(","), records.len())
    }

    fn read(&self, topic: &str, from: usize, wait: Duration) -> Vec<u8> {
        let (topics, changed) = &*self.topics;
        let until = Instant::now() + wait;
        let mut topics = topics.lock().unwrap();
        loop {
            let records = topics.get(topic).map_or(&[][..], |topic| &topic.records);
            let left = until.saturating_duration_since(Instant::now());
            if records.len() > from || left.is_zero() {
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend_from_slice(&0u64.to_be_bytes());
                for record in records.iter().skip(from) {
                    body.extend_from_slice(&(record.len() as u32).to_be_bytes());
                    body.extend_from_slice(record);
                }
                return body;
            }
            topics = changed.wait_timeout(topics, left).unwrap().0;
        }
    }
}

//! The platform's store: a log with keyed topics, by the published protocol.

use {
    crate::http::{Message, read_request},
    std::{
        collections::BTreeMap,
        io::{BufReader, Write},
        net::{SocketAddr, TcpListener, TcpStream},
        sync::{Arc, Condvar, Mutex},
        thread,
        time::{Duration, Instant},
    },
};

/// Time that the store takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

type Topics = BTreeMap<String, Vec<Vec<u8>>>;

/// A store, which keeps all records.
#[derive(Clone)]
pub struct Store {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<(Mutex<Topics>, Condvar)>,
}

impl Store {
    /// Starts an empty store on a free port.
    pub fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Self { address: listener.local_addr()?, state: Arc::default() };
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes a record; one without a value drops its key.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let record = [&[key.len() as u8], key.as_bytes(), value.as_bytes()].concat();
        self.append(topic, record);
    }

    /// Writes the entry of an engine.
    pub fn put_engine(&self, engine: &Engine, state: &str, sequence: u64) {
        let Engine { id, service, address, zone, slots } = engine;
        let value = format!(
            r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"v1","slots":{slots},"state":"{state}","coldRemainingMs":0,"sequence":{sequence}}}"#
        );
        self.put("keyed.servers", id, &value);
    }

    fn append(&self, topic: &str, record: Vec<u8>) -> u64 {
        let mut topics = self.state.0.lock().unwrap();
        let records = topics.entry(topic.to_owned()).or_default();
        records.push(record);
        let end = records.len() as u64;
        self.state.1.notify_all();
        end
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(call)) = read_request(&mut reader) {
            let (status, kind, body) = self.answer(&call);
            thread::sleep(ANSWER_TIME);
            let head = format!(
                "HTTP/1.1 {status} S\r\nContent-Type: {kind}\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if writer.write_all(&[head.into_bytes(), body].concat()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, call: &Message) -> (u16, &'static str, Vec<u8>) {
        let (path, query) = call.target().split_once('?').unwrap_or((call.target(), ""));
        let field = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.filter(|(key, _)| *key == name).map(|(_, value)| value).next()
        };
        let number = |name| field(name).and_then(|value: &str| value.parse::<u64>().ok());
        let topic = field("topic").unwrap_or_default();
        match path {
            "/fernring/log-newest" => (200, "application/json", self.newest(topic)),
            "/fernring/log-read" => {
                let wait = Duration::from_millis(number("waitMs").unwrap_or(0).min(30_000));
                let from = number("from").unwrap_or(0) as usize;
                (200, "application/octet-stream", self.read(topic, from, wait))
            }
            "/fernring/log-append" => {
                let end = self.state.0.lock().unwrap().get(topic).map_or(0, Vec::len) as u64;
                if number("endOffset").is_some_and(|expected| expected != end) {
                    return (412, "application/json", format!(r#"{{"end":{end}}}"#).into_bytes());
                }
                let record = call.body.get(4..).unwrap_or_default().to_vec();
                let end = self.append(topic, record);
                let body = format!(r#"{{"offset":{},"end":{end}}}"#, end - 1);
                (200, "application/json", body.into_bytes())
            }
            _ => (404, "application/json", Vec::new()),
        }
    }

    fn newest(&self, topic: &str) -> Vec<u8> {
        let topics = self.state.0.lock().unwrap();
        let records = topics.get(topic).map(Vec::as_slice).unwrap_or_default();
        let mut newest = BTreeMap::new();
        for (offset, record) in records.iter().enumerate() {
            let (key, value) = record[1..].split_at(usize::from(record[0]));
            newest.insert(String::from_utf8_lossy(key).into_owned(), (offset, value.to_vec()));
        }
        newest.retain(|_, (_, value)| !value.is_empty());
        let item = |(key, (offset, value)): (&String, &(usize, Vec<u8>))| {
            format!(r#"{{"key":"{key}","value":"{}","offset":{offset}}}"#, base64(value))
        };
        let items: Vec<_> = newest.iter().map(item).collect();
        let (items, end) = (items.join(","), records.len());
        format!(r#"{{"items":[{items}],"hasMore":false,"end":{end}}}"#).into_bytes()
    }

    fn read(&self, topic: &str, from: usize, wait: Duration) -> Vec<u8> {
        let until = Instant::now() + wait;
        let mut topics = self.state.0.lock().unwrap();
        loop {
            let records = topics.get(topic).map(Vec::as_slice).unwrap_or_default();
            let left = until.saturating_duration_since(Instant::now());
            if from < records.len() || left.is_zero() {
                let mut page = (records.len() as u64).to_be_bytes().to_vec();
                page.extend(0u64.to_be_bytes());
                for record in records.get(from..).unwrap_or_default() {
                    page.extend((record.len() as u32).to_be_bytes());
                    page.extend(record);
                }
                return page;
            }
            topics = self.state.1.wait_timeout(topics, left).unwrap().0;
        }
    }
}

/// What an engine writes about itself.
#[derive(Debug, Clone)]
pub struct Engine {
    /// Its id.
    pub id: String,
    /// Its service.
    pub service: String,
    /// Its address.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Its slots.
    pub slots: u32,
}

fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut bits = 0u32;
        for index in 0..3 {
            bits = bits << 8 | u32::from(group.get(index).copied().unwrap_or(0));
        }
        for index in 0..4 {
            match index <= group.len() {
                true => text.push(LETTERS[(bits >> (18 - 6 * index) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}

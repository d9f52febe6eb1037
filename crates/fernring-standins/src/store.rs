//! A stand-in for the platform's store as the gateway uses it: keyed topics over HTTP in the
//! published protocol. Tests can cause outages and the loss of history.

use {
    crate::message::{Message, read_message},
    base64::{Engine, prelude::BASE64_STANDARD},
    percent_encoding::percent_decode_str,
    serde_json::{Value, json},
    std::{
        collections::{BTreeMap, HashMap},
        net::SocketAddr,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::{
        io::AsyncWriteExt,
        net::{TcpListener, TcpStream},
        sync::watch,
    },
};

/// Most records in one response to a call for the newest records, by the published protocol.
const PAGE_RECORDS_MAX: usize = 500;
/// Bytes before the records of a page: the end offset and the first offset that is kept.
const PAGE_HEADER_BYTES: usize = 16;

/// How the store responds to calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// It responds.
    Up,
    /// It refuses calls with status 503.
    Busy,
    /// It does not respond.
    Silent,
    /// It sends responses in chunks, as over a slow link: each response takes [`SLOW_CHUNKS`]
    /// times [`SLOW_PAUSE`].
    Slow,
    /// It sends the first half of each response and then nothing more.
    Stalled,
    /// It sends each response after [`LATE_TIME`].
    Late,
}

/// Time after which a late response is sent.
pub const LATE_TIME: Duration = Duration::from_millis(1_200);
/// Number of chunks of a slow response.
pub const SLOW_CHUNKS: usize = 12;
/// Pause before each chunk of a slow response.
pub const SLOW_PAUSE: Duration = Duration::from_millis(100);

/// A topic: the records from offset `first` on.
#[derive(Debug, Default, Clone)]
struct Topic {
    first: u64,
    records: Vec<Record>,
    /// Newest record before `first` of each key, with its offset.
    compacted: BTreeMap<String, (u64, Vec<u8>)>,
}

impl Topic {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn newest(&self) -> BTreeMap<String, (u64, Vec<u8>)> {
        let mut newest = self.compacted.clone();
        for (offset, record) in (self.first..).zip(&self.records) {
            if let Record::Keyed { key, value } = record {
                newest.insert(key.clone(), (offset, value.clone()));
            }
        }
        newest
    }
}

#[derive(Debug, Clone)]
enum Record {
    /// A key and its value.
    Keyed { key: String, value: Vec<u8> },
    /// Bytes of another writer that contain no readable key.
    Raw(Vec<u8>),
}

impl Record {
    /// Returns the encoded record, without the length that precedes it in a page.
    fn encoded(&self) -> Vec<u8> {
        match self {
            Self::Keyed { key, value } => [&[key.len() as u8], key.as_bytes(), value].concat(),
            Self::Raw(content) => content.clone(),
        }
    }
}

/// A backup of all topics of a store.
#[derive(Debug, Clone)]
pub struct StoreBackup(HashMap<String, Topic>);

/// A stand-in store.
#[derive(Debug)]
pub struct StandinStore {
    /// Where it listens.
    pub address: SocketAddr,
    topics: Mutex<HashMap<String, Topic>>,
    /// Era that responses name: how often the store was restored from a backup. `None` if they name
    /// no era.
    era: Mutex<Option<String>>,
    /// How it responds to calls.
    pub mode: watch::Sender<Mode>,
    appended: watch::Sender<u64>,
    /// Most records in one response to a call for the newest records.
    page_records: AtomicUsize,
}

impl StandinStore {
    /// Starts an empty store.
    ///
    /// # Errors
    /// If it can't listen.
    pub async fn start() -> anyhow::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let store = Arc::new(Self {
            address: listener.local_addr()?,
            topics: Mutex::default(),
            era: Mutex::default(),
            mode: watch::Sender::new(Mode::Up),
            appended: watch::Sender::new(0),
            page_records: AtomicUsize::new(PAGE_RECORDS_MAX),
        });
        let server = store.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(server.clone().serve(stream));
            }
        });
        Ok(store)
    }

    /// Sets the most records in one response to a call for the newest records.
    pub fn set_page_records(&self, max_records: usize) {
        self.page_records.store(max_records, Ordering::Relaxed);
    }

    /// Sets how it responds to calls.
    pub fn set_mode(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }

    /// Writes a configuration. Version `n` has the routes `/v2/` to `/vn/` in addition to the fixed
    /// ones.
    pub fn put_config(&self, version: u64) {
        let route_to = |service: &str, name: &str, kind: &str, extra_fields: &str| {
            format!(
                r#"{{"name":"{name}","host":"h.example","pathPrefix":"/{name}/","kind":"{kind}","timeoutMs":4000,"targetLatencyMs":1000,"service":"{service}","attempts":2{extra_fields}}}"#
            )
        };
        let route = |name: &str, kind: &str, extra: &str| route_to("app", name, kind, extra);
        let resumable = r#","resumable":true"#;
        let staged = r#","resumable":true,"sessionAffinity":true,"stages":[{"service":"first","after":[],"bytes":100},{"service":"second","after":[0],"bytes":100}]"#;
        let mut routes = vec![
            route("safe", "safe", ""),
            route("once", "unsafe", ""),
            route("stream", "streaming", ""),
            route("resume", "streaming", resumable),
            route("staged", "streaming", staged),
            route_to("feed", "feed", "streaming", resumable),
        ];
        routes.extend((2..=version).map(|added| route(&format!("v{added}"), "safe", "")));
        let batch = r#""pieces":{"slots":1,"queue":2,"batch":8,"callMs":30,"itemMs":2,"headroomMb":10,"handleS":4,"linkMbps":1000}"#;
        let config = format!(
            r#"{{"version":{version},"routes":[{}],"services":[{{"name":"app","connectionLimit":200}},{{"name":"feed","connectionLimit":200}},{{"name":"first","connectionLimit":200,{batch}}},{{"name":"second","connectionLimit":200,{batch}}}],"limits":{{"headerBytes":8192,"bodyBytes":10000,"headerTimeoutMs":1000,"idleTimeoutMs":5000}},"tenants":[{{"name":"w","apiKeys":["secret"]}}]}}"#,
            routes.join(",")
        );
        self.put("keyed.op", "config", config.into_bytes());
    }

    /// Writes the record of an upstream that runs version `v1`, or removes it if `state` is `None`.
    pub fn put_upstream(
        &self,
        instance: &str,
        service: &str,
        address: SocketAddr,
        state: Option<&str>,
    ) {
        self.put_upstream_version("v1", instance, service, address, state);
    }

    /// Writes the record of an upstream that runs `version`, or removes it if `state` is `None`.
    pub fn put_upstream_version(
        &self,
        version: &str,
        instance: &str,
        service: &str,
        address: SocketAddr,
        state: Option<&str>,
    ) {
        let record = state.map(|state| {
            json!({"service": service, "address": address.to_string(), "zone": "a", "version": version,
                "slots": 16, "state": state, "coldRemainingMs": 0, "sequence": 1})
        });
        let value = record.map_or_else(Vec::new, |record| record.to_string().into_bytes());
        self.put("keyed.servers", instance, value);
    }

    /// Writes an order to roll out a version of a service.
    pub fn order_rollout(&self, service: &str, destination: &str, time: Duration) {
        let order = json!({"service": service, "destination": destination,
            "durationS": time.as_secs_f64()});
        self.put("keyed.op", &format!("rollout/{service}"), order.to_string().into_bytes());
    }

    /// Returns the reported state of the roll-out of a version.
    pub fn rollout_state(&self, service: &str, destination: &str) -> Option<String> {
        let newest = self.lock().get("keyed.status")?.newest();
        let (_, value) = newest.get(&format!("rollout/{service}"))?;
        let status: Value = serde_json::from_slice(value).ok()?;
        let is_ordered_version = status["destination"] == destination;
        is_ordered_version.then(|| status["state"].as_str().unwrap_or_default().to_owned())
    }

    /// Takes a backup of all topics.
    pub fn backup(&self) -> StoreBackup {
        StoreBackup(self.lock().clone())
    }

    /// Restores a backup: records written since are lost, and their offsets are assigned again.
    pub fn restore(&self, backup: StoreBackup, era: u64) {
        *self.lock() = backup.0;
        self.set_era(&era.to_string());
    }

    /// Sets the era that responses name from now on; any text is allowed.
    pub fn set_era(&self, era: &str) {
        *self.era.lock().unwrap_or_else(PoisonError::into_inner) = Some(era.to_owned());
    }

    /// Compacts a topic: only the newest record of each key is kept, and the offsets before the end
    /// can't be read any more.
    pub fn compact(&self, topic: &str) {
        if let Some(topic) = self.lock().get_mut(topic) {
            let newest = topic.newest();
            topic.first = topic.end();
            topic.compacted = newest;
            topic.records.clear();
        }
    }

    /// Writes a record that contains no readable key.
    pub fn put_raw(&self, topic: &str, content: &[u8]) {
        self.push(topic, Record::Raw(content.to_vec()));
    }

    fn put(&self, topic: &str, key: &str, value: Vec<u8>) -> u64 {
        self.push(topic, Record::Keyed { key: key.to_owned(), value })
    }

    fn push(&self, topic: &str, record: Record) -> u64 {
        let mut topics = self.lock();
        let topic = topics.entry(topic.to_owned()).or_default();
        topic.records.push(record);
        let offset = topic.end() - 1;
        drop(topics);
        self.appended.send_modify(|count| *count += 1);
        offset
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, Topic>> {
        self.topics.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn serve(self: Arc<Self>, mut stream: TcpStream) {
        while let Some(call) = read_message(&mut stream).await {
            let mode = *self.mode.borrow();
            if mode == Mode::Late {
                tokio::time::sleep(LATE_TIME).await;
            }
            let response = match mode {
                Mode::Up | Mode::Slow | Mode::Stalled | Mode::Late => self.handle_call(&call).await,
                Mode::Busy => (503, Vec::new()),
                Mode::Silent => return self.hold_during(Mode::Silent).await,
            };
            // If an outage has begun meanwhile, the response is lost.
            if *self.mode.borrow() == Mode::Silent {
                return self.hold_during(Mode::Silent).await;
            }
            let (status, body) = response;
            let era = self.era.lock().unwrap_or_else(PoisonError::into_inner).clone();
            let era = era.map_or_else(String::new, |era| format!("Store-Era: {era}\r\n"));
            let length = body.len();
            let head = format!("HTTP/1.1 {status} S\r\n{era}Content-Length: {length}\r\n\r\n");
            let bytes = [head.into_bytes(), body].concat();
            let written = match mode {
                Mode::Slow => write_slowly(&mut stream, &bytes).await,
                Mode::Stalled => {
                    // An error is ignored: the connection ends after the outage anyway.
                    let _ = stream.write_all(&bytes[..bytes.len() / 2]).await;
                    return self.hold_during(Mode::Stalled).await;
                }
                _ => stream.write_all(&bytes).await,
            };
            if written.is_err() {
                return;
            }
        }
    }

    /// Holds a connection without a response until an outage is over; the connection then ends.
    async fn hold_during(&self, outage: Mode) {
        let mut mode = self.mode.subscribe();
        // This can't fail: the sender lives as long as the store.
        let _ = mode.wait_for(|mode| *mode != outage).await;
    }

    async fn handle_call(&self, call: &Message) -> (u16, Vec<u8>) {
        let (path, query) = call.path().split_once('?').unwrap_or((call.path(), ""));
        let query: HashMap<_, _> =
            query.split('&').filter_map(|pair| pair.split_once('=')).collect();
        let topic = query.get("topic").copied().unwrap_or_default();
        let number =
            |name| query.get(name).and_then(|value| value.parse::<u64>().ok()).unwrap_or(0);
        match path {
            "/fernring/log-newest" => {
                let after =
                    query.get("after").map(|key| percent_decode_str(key).decode_utf8_lossy());
                (200, self.newest(topic, after.as_deref()))
            }
            "/fernring/log-read" => {
                let bytes_max = number("maxKb") as usize * 1_024;
                self.read(topic, number("from"), number("waitMs"), bytes_max).await
            }
            "/fernring/log-append" => {
                let end = query.get("endOffset").and_then(|end| end.parse::<u64>().ok());
                self.append_if(topic, &call.body, end)
            }
            _ => (404, Vec::new()),
        }
    }

    fn newest(&self, topic: &str, after: Option<&str>) -> Vec<u8> {
        let topics = self.lock();
        let (newest, end) = topics.get(topic).map(|t| (t.newest(), t.end())).unwrap_or_default();
        let is_after = |key: &str| after.is_none_or(|after| key > after);
        let items = newest.into_iter().filter(|(_, (_, value))| !value.is_empty());
        let items = items.filter(|(key, _)| is_after(key));
        let item = |(key, (offset, value)): (String, (u64, Vec<u8>))| json!({"key": key, "value": BASE64_STANDARD.encode(&value), "offset": offset});
        let mut items: Vec<Value> = items.map(item).collect();
        let max_records = self.page_records.load(Ordering::Relaxed);
        let has_more = items.len() > max_records;
        items.truncate(max_records);
        json!({"items": items, "hasMore": has_more, "end": end}).to_string().into_bytes()
    }

    async fn read(&self, topic: &str, from: u64, wait_ms: u64, bytes_max: usize) -> (u16, Vec<u8>) {
        let end = tokio::time::Instant::now() + Duration::from_millis(wait_ms);
        let mut appended = self.appended.subscribe();
        loop {
            let Some(page) = self.page(topic, from, bytes_max) else {
                let first = self.lock().get(topic).map_or(0, |topic| topic.first);
                return (410, json!({"first": first}).to_string().into_bytes());
            };
            let has_records = page.len() > PAGE_HEADER_BYTES;
            if has_records || tokio::time::timeout_at(end, appended.changed()).await.is_err() {
                return (200, page);
            }
        }
    }

    /// Returns the records from an offset on, as many as fit, or `None` if they are not kept any
    /// more.
    fn page(&self, topic: &str, from: u64, bytes_max: usize) -> Option<Vec<u8>> {
        let mut topics = self.lock();
        let topic = topics.entry(topic.to_owned()).or_default();
        let skip = from.checked_sub(topic.first)?;
        let mut page = Vec::new();
        page.extend(topic.end().to_be_bytes());
        page.extend(topic.first.to_be_bytes());
        for record in topic.records.get(skip as usize..)? {
            let encoded = record.encoded();
            if page.len() > PAGE_HEADER_BYTES && page.len() + encoded.len() > bytes_max {
                break;
            }
            page.extend((encoded.len() as u32).to_be_bytes());
            page.extend(encoded);
        }
        Some(page)
    }

    /// Appends a record, but only if the topic ends at `end` when that is given.
    fn append_if(&self, topic: &str, body: &[u8], end: Option<u64>) -> (u16, Vec<u8>) {
        let current_end = self.lock().get(topic).map_or(0, Topic::end);
        if end.is_some_and(|end| end != current_end) {
            return (412, json!({"end": current_end}).to_string().into_bytes());
        }
        (200, self.append(topic, body))
    }

    fn append(&self, topic: &str, body: &[u8]) -> Vec<u8> {
        let key_length = usize::from(body.get(4).copied().unwrap_or(0));
        let content = body.get(5..).unwrap_or_default();
        let (key, value) = content.split_at(key_length.min(content.len()));
        let offset = self.put(topic, &String::from_utf8_lossy(key), value.to_vec());
        json!({"offset": offset, "end": offset + 1}).to_string().into_bytes()
    }
}

async fn write_slowly(stream: &mut TcpStream, bytes: &[u8]) -> std::io::Result<()> {
    for chunk in bytes.chunks(bytes.len().div_ceil(SLOW_CHUNKS)) {
        tokio::time::sleep(SLOW_PAUSE).await;
        stream.write_all(chunk).await?;
    }
    Ok(())
}

//! Upstreams that speak the platform's protocol: an application with plain answers and streams, and
//! the workers of two stages. Each fails a share of its responses.

use {
    crate::ledger::Ledger,
    fernring_standins::{
        message::{Message, read_message},
        store::StandinStore,
    },
    rand::RngExt,
    serde_json::{Value, json},
    std::{
        net::SocketAddr,
        ops::{Range, RangeInclusive},
        sync::{
            Arc, Mutex, PoisonError,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{
        io::AsyncWriteExt,
        net::{TcpListener, TcpStream},
        sync::watch,
        time::sleep,
    },
};

/// Number of events in a stream.
pub(crate) const EVENTS: u64 = 12;
/// Pause between two events.
const EVENT_PAUSE: Duration = Duration::from_millis(15);
/// Time that a plain response takes.
const WORK_TIME: Range<Duration> = Duration::from_millis(5)..Duration::from_millis(60);
/// The services, each with its number of upstreams.
const SERVICES: [(&str, usize); 4] =
    [("app", 4), ("first", 3), ("second", 3), (FEED_SERVICE, FEED_UPSTREAMS)];
/// Shares of the responses that are refused, lost, truncated or failed.
const REFUSED_SHARE: f64 = 0.02;
const LOST_SHARE: f64 = 0.01;
const TRUNCATED_SHARE: f64 = 0.02;
const FAILED_SHARE: f64 = 0.01;
/// Share of the responses to calls with pieces that are sent a second time, when the next request
/// arrives on their connection.
const REPEATED_SHARE: f64 = 0.03;

/// Pauses that an overloaded upstream requests, drawn for each rejection.
const PAUSE: Range<Duration> = Duration::from_millis(700)..Duration::from_millis(2_000);

/// Every upstream whose number is a multiple of this works on after its connection was closed.
const CLOSE_IGNORED_EVERY: u64 = 2;

/// The service whose versions are rolled out.
pub(crate) const ROLLOUT_SERVICE: &str = "app";
/// The version that all upstreams run at the start.
const FIRST_VERSION: &str = "v1";

/// The service whose versions change while nodes are killed, and its number of upstreams a version.
pub(crate) const FEED_SERVICE: &str = "feed";
pub(crate) const FEED_UPSTREAMS: usize = 3;
/// Number of events in a stream of that service, and the pause between two of them.
pub(crate) const FEED_EVENTS: u64 = 30;
const FEED_PAUSE: Duration = Duration::from_millis(60);

/// Prefix of the body of a deadly request, which crashes each upstream that begins to run it.
pub(crate) const DEADLY_PREFIX: &str = "deadly";
/// Ends what the bodies of different requests with the same deadly part have in common.
pub(crate) const DEADLY_SEPARATOR: char = '/';

/// Returns the complete body of a plain response.
pub(crate) fn plain_body(id: &str) -> String {
    format!("{id}:{}", "x".repeat(2_000))
}

/// Returns the data of an event.
pub(crate) fn event_data(id: &str, number: u64) -> String {
    format!("{id}.{number}")
}

/// One upstream.
#[derive(Debug)]
pub(crate) struct Upstream {
    /// Its incarnation.
    pub(crate) instance: String,
    /// Its service.
    pub(crate) service: &'static str,
    /// Version of its software.
    pub(crate) version: String,
    /// Whether its version fails half of the requests, drawn at random.
    is_bad: bool,
    /// Its address.
    pub(crate) address: SocketAddr,
    /// Set when it crashes: its connections then end at once.
    crashed: watch::Sender<bool>,
    /// The limit that it announces: requests per second from all nodes together.
    limit_per_s: Mutex<Option<f64>>,
    /// Whether its responses announce that it is leaving.
    is_leaving: AtomicBool,
    /// Whether it rejects all requests and requests a pause.
    is_overloaded: AtomicBool,
    /// While set, it reads nothing and writes nothing; its connections stay open.
    is_silent: watch::Sender<bool>,
    /// Whether it stops to work on a stream whose connection was closed.
    notices_close: bool,
    ledger: Arc<Ledger>,
    results: AtomicU64,
}

/// The events that a response sends.
#[derive(Debug)]
struct StreamPlan {
    numbers: RangeInclusive<u64>,
    /// Pause after each event.
    pause: Duration,
    /// Ends the data of each event.
    mark: String,
    /// Whether the response breaks off in its second half.
    is_truncated: bool,
}

/// What the responses on a connection have announced to the node at its other end. The node has read
/// them before it sends the next request on the connection.
#[derive(Debug, Default)]
struct Announced {
    /// A response that is repeated when the next request arrives.
    repeated: Option<Vec<u8>>,
    is_leaving: bool,
    paused_until: Option<Instant>,
}

impl Announced {
    /// Returns what is wrong with a request that arrives now, if anything.
    fn violation(&self, path: &str) -> Option<&'static str> {
        if self.paused_until.is_some_and(|until| Instant::now() < until) {
            return Some("got a request within the pause that it had requested");
        }
        let is_new_work = path != "/fernring/stage-free";
        (self.is_leaving && is_new_work).then_some("got new work after it had announced to leave")
    }
}

/// All upstreams.
#[derive(Debug)]
pub(crate) struct Upstreams {
    live: Mutex<Vec<Arc<Upstream>>>,
    next_number: AtomicU64,
    /// The version that new upstreams of the application run.
    version: Mutex<String>,
    /// The version that is being rolled out, if any.
    trial: Mutex<Option<String>>,
    store: Arc<StandinStore>,
    ledger: Arc<Ledger>,
}

impl Upstreams {
    /// Starts the upstreams of all services and lists them in the store.
    pub(crate) async fn start(
        store: Arc<StandinStore>,
        ledger: Arc<Ledger>,
    ) -> anyhow::Result<Arc<Self>> {
        let upstreams = Arc::new(Self {
            live: Mutex::default(),
            next_number: AtomicU64::new(1),
            version: Mutex::new(FIRST_VERSION.to_owned()),
            trial: Mutex::default(),
            store,
            ledger,
        });
        for (service, count) in SERVICES {
            for _ in 0..count {
                upstreams.add(service).await?;
            }
        }
        Ok(upstreams)
    }

    /// Starts another upstream of a service.
    pub(crate) async fn add(&self, service: &'static str) -> anyhow::Result<()> {
        let version = match service {
            ROLLOUT_SERVICE => self.version.lock().unwrap_or_else(PoisonError::into_inner).clone(),
            _ => FIRST_VERSION.to_owned(),
        };
        self.add_version(service, version, false).await
    }

    /// Starts another upstream in place of one that has ended. It runs the same version while that is
    /// being rolled out, as the roll-out would otherwise end without upstreams.
    pub(crate) async fn replace(&self, ended: &Upstream) -> anyhow::Result<()> {
        let trial = self.trial.lock().unwrap_or_else(PoisonError::into_inner).clone();
        match trial.as_ref() == Some(&ended.version) || ended.service == FEED_SERVICE {
            true => self.add_version(ended.service, ended.version.clone(), ended.is_bad).await,
            false => self.add(ended.service).await,
        }
    }

    /// Sets the version that is being rolled out.
    pub(crate) fn set_trial(&self, version: Option<&str>) {
        *self.trial.lock().unwrap_or_else(PoisonError::into_inner) = version.map(str::to_owned);
    }

    /// Starts another upstream of a service that runs the given version.
    pub(crate) async fn add_version(
        &self,
        service: &'static str,
        version: String,
        is_bad: bool,
    ) -> anyhow::Result<()> {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        self.add_instance(number, format!("i-{number}"), service, version, is_bad).await
    }

    /// Starts an instance that has ended again, with another version.
    pub(crate) async fn restart(&self, ended: &Upstream, version: String) -> anyhow::Result<()> {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        self.add_instance(number, ended.instance.clone(), ended.service, version, false).await
    }

    async fn add_instance(
        &self,
        number: u64,
        instance: String,
        service: &'static str,
        version: String,
        is_bad: bool,
    ) -> anyhow::Result<()> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let upstream = Arc::new(Upstream {
            instance,
            service,
            version,
            is_bad,
            address: listener.local_addr()?,
            crashed: watch::Sender::new(false),
            limit_per_s: Mutex::default(),
            is_leaving: AtomicBool::default(),
            is_overloaded: AtomicBool::default(),
            is_silent: watch::Sender::new(false),
            notices_close: !number.is_multiple_of(CLOSE_IGNORED_EVERY),
            ledger: self.ledger.clone(),
            results: AtomicU64::new(0),
        });
        let Upstream { instance, version, address, .. } = &*upstream;
        self.ledger.record_start(instance, service, version);
        self.store.put_upstream_version(version, instance, service, *address, Some("ready"));
        self.lock().push(upstream.clone());
        tokio::spawn(upstream.listen(listener));
        Ok(())
    }

    /// Sets the version that new upstreams of the application run.
    pub(crate) fn set_version(&self, version: &str) {
        version.clone_into(&mut self.version.lock().unwrap_or_else(PoisonError::into_inner));
    }

    /// Takes out a service's upstreams that run `version`, or all others if `is_match` is `false`.
    pub(crate) fn take_version(
        &self,
        service: &str,
        version: &str,
        is_match: bool,
    ) -> Vec<Arc<Upstream>> {
        let is_selected = |upstream: &mut Arc<Upstream>| {
            upstream.service == service && (upstream.version == version) == is_match
        };
        self.lock().extract_if(.., is_selected).collect()
    }

    /// Takes out the upstreams that crashed because of a request.
    pub(crate) fn take_crashed(&self) -> Vec<Arc<Upstream>> {
        self.lock().extract_if(.., |upstream| *upstream.crashed.borrow()).collect()
    }

    /// Takes out the upstream that `draw` selects.
    pub(crate) fn take_any(&self, draw: usize) -> Option<Arc<Upstream>> {
        let mut live = self.lock();
        let index = draw % live.len().max(1);
        (index < live.len()).then(|| live.swap_remove(index))
    }

    /// Lists all upstreams.
    pub(crate) fn all(&self) -> Vec<Arc<Upstream>> {
        self.lock().clone()
    }

    /// Returns the upstream that `draw` selects.
    pub(crate) fn pick(&self, draw: usize) -> Option<Arc<Upstream>> {
        let live = self.lock();
        live.get(draw % live.len().max(1)).cloned()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<Arc<Upstream>>> {
        self.live.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Upstream {
    /// Announces a limit from now on, or withdraws it.
    pub(crate) fn announce_limit(&self, per_s: Option<f64>) {
        *self.limit_per_s.lock().unwrap_or_else(PoisonError::into_inner) = per_s;
        self.ledger.record_limit(&self.instance, per_s);
    }

    /// Announces in all responses from now on that it is leaving.
    pub(crate) fn announce_leaving(&self) {
        self.is_leaving.store(true, Ordering::Relaxed);
    }

    /// Lets it fall silent, or go on.
    pub(crate) fn set_silent(&self, is_silent: bool) {
        self.is_silent.send_replace(is_silent);
    }

    async fn wait_while_silent(&self) {
        // An error means that the upstream is gone, so there is nothing to wait for.
        drop(self.is_silent.subscribe().wait_for(|is_silent| !is_silent).await);
    }

    /// Rejects all requests from now on, or no longer.
    pub(crate) fn set_overloaded(&self, is_overloaded: bool) {
        self.is_overloaded.store(is_overloaded, Ordering::Relaxed);
    }

    /// Returns the response headers that announce its limit and that it is leaving.
    fn announcements(&self, announced: &mut Announced) -> String {
        let per_s = *self.limit_per_s.lock().unwrap_or_else(PoisonError::into_inner);
        let limit = per_s.map(|per_s| format!("Server-Limit: {per_s}\r\n")).unwrap_or_default();
        announced.is_leaving = self.is_leaving.load(Ordering::Relaxed);
        let leaving = if announced.is_leaving { "Server-Leaving: 1\r\n" } else { "" };
        limit + leaving
    }

    /// Ends it and all its connections at once.
    pub(crate) fn crash(&self) {
        self.crashed.send_replace(true);
    }

    async fn listen(self: Arc<Self>, listener: TcpListener) {
        let mut crashed = self.crashed.subscribe();
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    let Ok((stream, _)) = accepted else { return };
                    tokio::spawn(self.clone().serve(stream));
                }
                _ = crashed.wait_for(|crashed| *crashed) => return,
            }
        }
    }

    async fn serve(self: Arc<Self>, mut stream: TcpStream) {
        let mut crashed = self.crashed.subscribe();
        let connection = async {
            let mut announced = Announced::default();
            while let Some(request) = read_message(&mut stream).await {
                self.wait_while_silent().await;
                if let Some(repeated) = announced.repeated.take()
                    && stream.write_all(&repeated).await.is_err()
                {
                    return;
                }
                if !self.respond(&request, &mut announced, &mut stream).await {
                    return;
                }
            }
        };
        tokio::select! {
            () = connection => {}
            _ = crashed.wait_for(|crashed| *crashed) => {}
        }
    }

    /// Responds to a request. Returns whether the connection stays open.
    async fn respond(
        &self,
        request: &Message,
        announced: &mut Announced,
        stream: &mut TcpStream,
    ) -> bool {
        let id = request.header("request-id").unwrap_or_default().to_owned();
        if let Some(violation) = announced.violation(request.path()) {
            self.ledger.record_violation(format!("{} {violation}: {id}", self.instance));
        }
        let limit = self.announcements(announced);
        if request.header("expect-instance") != Some(&self.instance) {
            let headers = format!("Request-Id: {id}\r\n{limit}");
            return write_response(stream, "421 Misdirected", &headers, "").await;
        }
        self.ledger.record_arrival(&self.instance, &id);
        if self.is_overloaded.load(Ordering::Relaxed) {
            let pause = rand::rng().random_range(PAUSE);
            let seconds = pause.as_secs_f64();
            announced.paused_until = Some(Instant::now() + pause);
            self.ledger.record_pause(&self.instance, &id, pause);
            let headers =
                format!("Request-Id: {id}\r\nNot-Run: 1\r\nRetry-After: {seconds}\r\n{limit}");
            return write_response(stream, "503 Overloaded", &headers, "").await;
        }
        if request.path() == "/fernring/stage-free" {
            return write_response(stream, "200 OK", &limit, "").await;
        }
        let fate = rand::rng().random::<f64>();
        if self.is_bad && rand::rng().random_bool(0.5) {
            self.ledger.record_run(&id, request.path(), &self.instance);
            let headers = format!("Request-Id: {id}\r\nServer-Stamp: {}\r\n{limit}", self.instance);
            return write_response(stream, "500 Failed", &headers, "failed").await;
        }
        if fate < REFUSED_SHARE {
            let headers = format!("Request-Id: {id}\r\nNot-Run: 1\r\n{limit}");
            return write_response(stream, "503 Full", &headers, "").await;
        }
        let fate = fate - REFUSED_SHARE;
        if request.path() == "/fernring/stage-run" {
            return self.respond_to_pieces(request, fate, &limit, announced, stream).await;
        }
        let count = |stage: usize| {
            let counts = request.header("pieces").unwrap_or_default().split(',').nth(stage);
            counts.and_then(|count| count.parse().ok()).unwrap_or(0)
        };
        if count(1) > 0 {
            let inputs = request.header("inputs").unwrap_or_default().split(',');
            let inputs: Vec<_> = inputs.map(|handle| handle.trim().to_owned()).collect();
            self.ledger.check_inputs(&id, 1, &inputs, count(1));
        }
        self.ledger.record_run(&id, request.path(), &self.instance);
        let body = String::from_utf8_lossy(&request.body);
        if body.starts_with(DEADLY_PREFIX) {
            let name = body.split(DEADLY_SEPARATOR).next().unwrap_or_default();
            self.ledger.record_crash(name, &id);
            self.crash();
            return false;
        }
        if fate < LOST_SHARE {
            self.ledger.record_break(&id);
            return false;
        }
        let headers = format!("Request-Id: {id}\r\nServer-Stamp: {}\r\n{limit}", self.instance);
        if fate < LOST_SHARE + FAILED_SHARE {
            return write_response(stream, "500 Failed", &headers, "failed").await;
        }
        let is_truncated = fate < LOST_SHARE + FAILED_SHARE + TRUNCATED_SHARE;
        if is_truncated {
            self.ledger.record_break(&id);
        }
        match request.path().split('/').nth(1) {
            Some(path @ ("stream" | "resume" | "staged" | FEED_SERVICE)) => {
                let after = request.header("last-event-id").and_then(|last| last.parse().ok());
                let (events, pause, mark) = match path {
                    FEED_SERVICE => (FEED_EVENTS, FEED_PAUSE, format!("@{}", self.version)),
                    _ => (EVENTS, EVENT_PAUSE, String::new()),
                };
                let numbers = after.unwrap_or(0) + 1..=events;
                let plan = StreamPlan { numbers, pause, mark, is_truncated };
                self.stream_events(stream, &headers, &id, plan).await
            }
            _ => {
                let work_time = rand::rng().random_range(WORK_TIME);
                sleep(work_time).await;
                let body = plain_body(&id);
                if is_truncated {
                    let head = format!(
                        "HTTP/1.1 200 OK\r\n{headers}Content-Length: {}\r\n\r\n",
                        body.len()
                    );
                    // An error is ignored: the connection ends anyway.
                    let _ = stream
                        .write_all(&[head.as_bytes(), &body.as_bytes()[..100]].concat())
                        .await;
                    return false;
                }
                write_response(stream, "200 OK", &headers, &body).await
            }
        }
    }

    async fn respond_to_pieces(
        &self,
        request: &Message,
        fate: f64,
        headers: &str,
        announced: &mut Announced,
        stream: &mut TcpStream,
    ) -> bool {
        let batch: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let items = batch["items"].as_array().cloned().unwrap_or_default();
        sleep(Duration::from_millis(30 + 2 * items.len() as u64)).await;
        self.wait_while_silent().await;
        let results: Vec<Value> = items.iter().map(|item| self.run_piece(item)).collect();
        if fate < LOST_SHARE + FAILED_SHARE + TRUNCATED_SHARE {
            return false;
        }
        let response = response("200 OK", headers, &json!({"items": results}).to_string());
        if rand::rng().random_bool(REPEATED_SHARE) {
            announced.repeated = Some(response.clone().into_bytes());
        }
        stream.write_all(response.as_bytes()).await.is_ok()
    }

    async fn stream_events(
        &self,
        stream: &mut TcpStream,
        headers: &str,
        id: &str,
        plan: StreamPlan,
    ) -> bool {
        let StreamPlan { numbers, pause, mark, is_truncated } = plan;
        let last = *numbers.end();
        let head = format!("HTTP/1.1 200 OK\r\n{headers}Transfer-Encoding: chunked\r\n\r\n");
        let mut is_open = stream.write_all(head.as_bytes()).await.is_ok();
        let run = self.ledger.record_stream_start(id, &self.instance);
        for number in numbers {
            self.wait_while_silent().await;
            if !is_open && self.notices_close {
                return false;
            }
            self.ledger.record_stream_work(id, run);
            let event = format!("id: {number}\ndata: {}{mark}\n\n", event_data(id, number));
            if is_truncated && number > last / 2 {
                // Sends only the first half of the event.
                let partial = format!("{:x}\r\n{}", event.len(), &event[..event.len() / 2]);
                let _ = stream.write_all(partial.as_bytes()).await;
                return false;
            }
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            is_open &= stream.write_all(chunk.as_bytes()).await.is_ok();
            sleep(pause).await;
        }
        is_open && stream.write_all(b"0\r\n\r\n").await.is_ok()
    }

    fn run_piece(&self, item: &Value) -> Value {
        let id = item["id"].as_str().unwrap_or_default();
        let number = |name: &str| item[name].as_u64().unwrap_or(0) as u32;
        let (stage, piece) = (number("stage"), number("piece"));
        let handle = format!(
            "{}/{id}-{stage}-{piece}-{}",
            self.address,
            self.results.fetch_add(1, Ordering::Relaxed)
        );
        match (stage, item["key"].as_str()) {
            (0, Some(key)) if key == id => {}
            (1, None) => {
                let inputs = item["inputs"].as_array().cloned().unwrap_or_default();
                let inputs: Vec<_> =
                    inputs.iter().filter_map(|input| Some(input.as_str()?.to_owned())).collect();
                // Callers ask for two pieces of stage 0.
                self.ledger.check_inputs(id, 0, &inputs, 2);
            }
            (_, key) => {
                self.ledger
                    .record_violation(format!("{id}: stage {stage} was given the key {key:?}"));
            }
        }
        self.ledger.record_result(id, stage, piece, &handle);
        json!({"handle": handle})
    }
}

fn response(status: &str, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len())
}

async fn write_response(stream: &mut TcpStream, status: &str, headers: &str, body: &str) -> bool {
    stream.write_all(response(status, headers, body).as_bytes()).await.is_ok()
}

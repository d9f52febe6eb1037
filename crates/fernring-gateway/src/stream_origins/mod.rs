//! Finds the version of the software that began a stream, which is the only one it may go on at.
//!
//! The node that forwards the first event of a stream that may be resumed knows its version. While a
//! service has several versions, it also reports to a few peers, chosen by the request's id: some in its
//! own failure domain and one each in two others. A node that is asked to go on with a stream that
//! it doesn't know asks the same peers. All of this is kept in memory for as long as a caller may
//! wait; a stream whose origin nobody knows goes on only if its service has had one version.
//!
//! Memory alone doesn't tell a service that has had one version from nodes that have just started.
//! What must be known after a restart of all nodes is in the store: which versions each service has
//! had (`version_records`), and, while there are several, which of them began each stream
//! (`origin_log`).

mod origin_log;
mod version_records;

use {
    crate::{
        log,
        origin_table::{Origin, STREAM_LIFETIME, StreamOriginTable, VersionHistory},
        peers::Peers,
        telemetry,
        upstreams::Upstreams,
        wire::Store,
    },
    fernring_core::{clock::Clock, text::LogLine},
    fernring_protocol::gateway::{
        GatewayBody, OriginQuery, OriginReply, OriginReports, StreamOrigin,
    },
    origin_log::OriginLog,
    std::{
        cell::{Cell, RefCell},
        collections::{BTreeSet, HashMap, HashSet},
        net::SocketAddr,
        rc::Rc,
        sync::Arc,
        time::Duration,
    },
    tokio::{
        sync::mpsc,
        time::{Instant, sleep, timeout_at},
    },
    version_records::{RECORD_DELAY, VersionRecords},
};

/// Longest wait for the replies of peers; a round trip between failure domains takes a few
/// milliseconds.
const QUERY_TIMEOUT: Duration = Duration::from_millis(150);
/// Largest proved age of records that have every version that may have begun streams. The difference
/// covers the time until the stream is taken up, and differences between clocks.
const PROVED_AGE_MAX: Duration = RECORD_DELAY.saturating_sub(Duration::from_secs(1));
/// Age of the upstreams' records from which the store counts as silent. Without a proof of the present,
/// a stream goes on at another node only if that finds its origin.
const SILENT_AGE: Duration = Duration::from_millis(1_500);
/// Pause between looks for versions that have appeared or expired.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(200);
/// Most streams that one message reports.
const REPORTED_MAX: usize = 500;
/// Peers in the own failure domain, and in each of two others, that a stream is reported to.
const REPORTED_PEERS: (usize, usize) = (2, 1);
/// Peers that are queried: more, since a peer may have joined or left in the meantime.
const QUERIED_PEERS: (usize, usize) = (3, 2);

/// How the origin of a stream was found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Source {
    /// This node knows the stream.
    Own,
    /// A peer knows the stream.
    Peer,
    /// The log of origins in the store has the stream.
    Store,
    /// The service has had a single version.
    SingleVersion,
    /// It wasn't found.
    Unknown,
}

impl Source {
    fn name(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::Peer => "peer",
            Self::Store => "store",
            Self::SingleVersion => "single_version",
            Self::Unknown => "unknown",
        }
    }
}

/// The origins of the streams that may be resumed.
pub struct StreamOrigins {
    clock: Rc<dyn Clock>,
    store: Rc<dyn Store>,
    peers: Rc<Peers>,
    upstreams: Rc<Upstreams>,
    failure_domain: Arc<str>,
    table: RefCell<StreamOriginTable>,
    history: RefCell<VersionHistory>,
    /// Services with several versions, whose streams have been reported to peers.
    reported_services: RefCell<HashSet<Arc<str>>>,
    /// Whether the store is silent, so that the streams of all services are reported to peers.
    is_store_silent: Cell<bool>,
    queries: RefCell<HashMap<u64, mpsc::Sender<OriginReply>>>,
    next_ticket: Cell<u64>,
    version_records: VersionRecords,
    origin_log: OriginLog,
}

impl StreamOrigins {
    /// Creates the state of a node of a failure domain that knows no streams.
    pub fn new(
        clock: Rc<dyn Clock>,
        store: Rc<dyn Store>,
        peers: Rc<Peers>,
        upstreams: Rc<Upstreams>,
        failure_domain: Arc<str>,
    ) -> Self {
        Self {
            clock,
            store,
            peers,
            upstreams,
            failure_domain,
            table: RefCell::default(),
            history: RefCell::default(),
            reported_services: RefCell::default(),
            is_store_silent: Cell::default(),
            queries: RefCell::default(),
            // Distinct from the tickets of a process that ran at this address before.
            next_ticket: Cell::new(rand::random()),
            version_records: VersionRecords::default(),
            origin_log: OriginLog::default(),
        }
    }

    fn now(&self) -> Duration {
        self.clock.now().monotonic
    }

    /// Records the origin of a stream whose first event is about to be forwarded. `lifetime` is how
    /// long its caller may wait.
    pub fn record(&self, request: &Arc<str>, origin: &Origin, lifetime: Duration) {
        let expires_at = self.now() + lifetime.min(STREAM_LIFETIME);
        self.table.borrow_mut().record(request, origin.clone(), expires_at, true);
        let Origin::Version { service, .. } = origin else {
            return;
        };
        let has_several = self.reported_services.borrow().contains(service);
        if has_several || self.is_store_silent.get() {
            let stream = (request.clone(), self.message(request, origin, expires_at));
            self.report(&[stream], has_several);
        }
    }

    fn message(&self, request: &Arc<str>, origin: &Origin, expires_at: Duration) -> StreamOrigin {
        let (service, version) = match origin {
            Origin::Version { service, version } => (service.to_string(), version.to_string()),
            Origin::Ambiguous => Default::default(),
        };
        let lifetime_ms = expires_at.saturating_sub(self.now()).as_millis() as u32;
        StreamOrigin { request: request.to_string(), service, version, lifetime_ms }
    }

    /// Reports streams to the peers that hold them, and, if the log is to have them, to the node that
    /// appends them.
    fn report(&self, streams: &[(Arc<str>, StreamOrigin)], append_to_log: bool) {
        let (own_domain, other_domain) = REPORTED_PEERS;
        let mut by_peer: HashMap<SocketAddr, Vec<StreamOrigin>> = HashMap::new();
        for (request, message) in streams {
            for peer in self.peers.holders(request, own_domain, other_domain) {
                by_peer.entry(peer).or_default().push(message.clone());
            }
        }
        for (peer, messages) in by_peer {
            self.send_reports(peer, &messages, false);
        }
        if !append_to_log {
            return;
        }
        let messages: Vec<_> = streams.iter().map(|(_, message)| message.clone()).collect();
        let writer = self.origin_writer();
        match writer == self.peers.address() {
            true => self.append_to_log(&messages),
            false => self.send_reports(writer, &messages, true),
        }
    }

    fn send_reports(&self, peer: SocketAddr, streams: &[StreamOrigin], append_to_log: bool) {
        for chunk in streams.chunks(REPORTED_MAX) {
            let reports = OriginReports { streams: chunk.to_vec(), append_to_log };
            self.peers.send(peer, GatewayBody::OriginReports(reports));
        }
    }

    fn append_to_log(&self, streams: &[StreamOrigin]) {
        for stream in streams {
            let origin = to_origin(&stream.service, &stream.version);
            self.origin_log.push(stream.request.as_str().into(), origin);
        }
    }

    /// Reports streams to peers as soon as their service has several versions, and forgets old ones,
    /// for as long as the process runs.
    pub async fn run(self: Rc<Self>) {
        loop {
            sleep(EXPIRY_INTERVAL).await;
            let now = self.now();
            self.table.borrow_mut().expire(now);
            self.observe_versions();
            let history = self.history.borrow();
            let directory = self.upstreams.directory();
            let several: HashSet<Arc<str>> = directory
                .versions()
                .map(|(service, _)| service)
                .filter(|service| history.has_several(service))
                .cloned()
                .collect();
            drop((history, directory));
            let reported = self.reported_services.replace(several.clone());
            for service in several.difference(&reported) {
                log::info(LogLine::event("several_versions").with("service", service));
                self.report_own_streams(service, true);
            }
            self.observe_silence(now);
        }
    }

    /// Reports the streams of a service whose first event this node forwarded.
    fn report_own_streams(&self, service: &str, append_to_log: bool) {
        let table = self.table.borrow();
        let own = table.own_of_service(self.now(), service);
        let message = |(request, origin, expires_at): (&Arc<str>, &Origin, Duration)| {
            (request.clone(), self.message(request, origin, expires_at))
        };
        let streams: Vec<_> = own.map(message).collect();
        drop(table);
        self.report(&streams, append_to_log);
    }

    /// Reports the streams of all services to peers as soon as the store is silent.
    fn observe_silence(&self, now: Duration) {
        let is_silent = self.upstreams.records_age(now) > SILENT_AGE;
        if self.is_store_silent.replace(is_silent) || !is_silent {
            return;
        }
        let directory = self.upstreams.directory();
        let services: Vec<_> = directory.versions().map(|(service, _)| service.clone()).collect();
        drop(directory);
        for service in services {
            self.report_own_streams(&service, false);
        }
    }

    /// Records the versions that the upstreams of each service have now.
    fn observe_versions(&self) {
        let now = self.now();
        let mut history = self.history.borrow_mut();
        for (service, versions) in self.upstreams.directory().versions() {
            history.record(now, service, versions);
        }
        drop(history);
        self.observe_gap(now);
    }

    /// Lists the versions that a service has had for as long as a stream may last.
    fn recent_versions(&self, service: &str) -> BTreeSet<Arc<str>> {
        let now = self.now();
        let mut history = self.history.borrow_mut();
        let directory = self.upstreams.directory();
        if let Some((service, versions)) = directory.versions_of(service) {
            history.record(now, service, versions);
        }
        history.recent(service).cloned().collect()
    }

    /// Returns the origin of a stream that its caller resumes at a service; `resumes` is the request
    /// that brought the first event, if the caller names it.
    pub async fn find(
        &self,
        request: &str,
        resumes: Option<&Arc<str>>,
        service: &Arc<str>,
    ) -> Option<Origin> {
        let asked_at = self.now();
        let (source, origin) = self.look_up(resumes, service).await;
        telemetry::record_stream_origin(service, source.name());
        let version = match &origin {
            Some(Origin::Version { version, .. }) => Some(version),
            _ => None,
        };
        let line = LogLine::event("stream_origin").with("request", request);
        let line = line.with_some("resumes", resumes).with("source", source.name());
        let line = line.with("service", service).with_some("version", version);
        log::info(line.with("took_ms", self.now().saturating_sub(asked_at).as_millis()));
        origin
    }

    async fn look_up(
        &self,
        resumes: Option<&Arc<str>>,
        service: &Arc<str>,
    ) -> (Source, Option<Origin>) {
        let now = self.now();
        let known = resumes.and_then(|id| self.table.borrow().find(now, id).cloned());
        if known.is_some() {
            return (Source::Own, known);
        }
        let mut versions = self.recent_versions(service);
        let mut is_current = is_proved(self.upstreams.proved_records_age(now));
        let is_long_known = self.history.borrow().is_long_known(now, service);
        let mut knows_past = self.knows_past_versions(service);
        // Peers may know of a version that was there before this node or came after its records.
        if versions.len() != 1 || !is_current || !is_long_known {
            for reply in self.query(resumes, service, &versions).await {
                if let Some(origin) = reply_origin(&reply) {
                    return (Source::Peer, Some(origin));
                }
                knows_past |= reply.knows_past;
                is_current |= is_proved(self.proved_age(&reply, now));
                versions
                    .extend(reply.recent_versions.iter().map(|version| version.as_str().into()));
            }
        }
        let versions = self.versions_in_use(service, versions).await;
        if let Some(id) = resumes
            && (versions.len() != 1 || !is_long_known)
            && self.read_origin_log(versions.len() != 1).await
            && let Some(origin) = self.table.borrow().find(now, id)
        {
            return (Source::Store, Some(origin.clone()));
        }
        match versions.first() {
            Some(version) if versions.len() == 1 && knows_past && is_current => {
                let (service, version) = (service.clone(), version.clone());
                (Source::SingleVersion, Some(Origin::Version { service, version }))
            }
            _ => (Source::Unknown, None),
        }
    }

    /// Returns the proved age of a peer's records, by its reply to a query that was sent at `asked_at`:
    /// the reply was sent later than that, however late it is read.
    fn proved_age(&self, reply: &OriginReply, asked_at: Duration) -> Option<Duration> {
        let age = Duration::from_millis(reply.records_age_ms?.into());
        Some(age + self.now().saturating_sub(asked_at))
    }

    /// Queries peers for the origin of a stream. Returns the replies up to the first that names it, or
    /// that shows that it can only be the one of the `versions` that are known.
    async fn query(
        &self,
        resumes: Option<&Arc<str>>,
        service: &Arc<str>,
        versions: &BTreeSet<Arc<str>>,
    ) -> Vec<OriginReply> {
        let asked_at = self.now();
        let request = resumes.map_or("", |id| id);
        let (own_domain, other_domain) = QUERIED_PEERS;
        let mut peers = self.peers.holders(request, own_domain, other_domain);
        peers.extend(self.peers.store_reader().filter(|reader| !peers.contains(reader)));
        let ticket = self.next_ticket.get();
        self.next_ticket.set(ticket.wrapping_add(1));
        let (sender, mut received) = mpsc::channel(peers.len().max(1));
        let _pending = PendingQuery::new(&self.queries, ticket, sender);
        let query =
            OriginQuery { ticket, request: request.to_owned(), service: service.to_string() };
        for peer in &peers {
            self.peers.send(*peer, GatewayBody::OriginQuery(query.clone()));
        }
        let deadline = Instant::now() + QUERY_TIMEOUT;
        let mut replies = Vec::new();
        while replies.len() < peers.len() {
            let Ok(Some(reply)) = timeout_at(deadline, received.recv()).await else {
                break;
            };
            let has_same_versions = || {
                reply.recent_versions.iter().map(String::as_str).eq(versions.iter().map(|v| &**v))
            };
            let is_only_version = versions.len() == 1
                && reply.knows_past
                && is_proved(self.proved_age(&reply, asked_at))
                && has_same_versions();
            let is_decisive = reply_origin(&reply).is_some() || is_only_version;
            replies.push(reply);
            if is_decisive {
                break;
            }
        }
        replies
    }

    /// Records the origins of streams that a peer reports.
    pub fn handle_reports(&self, reports: OriginReports) {
        if reports.append_to_log {
            self.append_to_log(&reports.streams);
        }
        let now = self.now();
        let mut table = self.table.borrow_mut();
        for stream in reports.streams {
            let lifetime = Duration::from_millis(stream.lifetime_ms.into()).min(STREAM_LIFETIME);
            let origin = to_origin(&stream.service, &stream.version);
            table.record(&stream.request.as_str().into(), origin, now + lifetime, false);
        }
    }

    /// Replies to a peer's question for the origin of a stream.
    pub fn handle_query(&self, sender: SocketAddr, query: &OriginQuery) {
        let versions = self.recent_versions(&query.service);
        let proved_age = self.upstreams.proved_records_age(self.now());
        let table = self.table.borrow();
        let known = table.find(self.now(), &query.request);
        let (service, version) = match known {
            Some(Origin::Version { service, version }) => {
                (service.to_string(), version.to_string())
            }
            Some(Origin::Ambiguous) | None => Default::default(),
        };
        let reply = OriginReply {
            ticket: query.ticket,
            is_known: known.is_some(),
            service,
            version,
            recent_versions: versions.iter().map(ToString::to_string).collect(),
            knows_past: self.knows_past_versions(&query.service),
            records_age_ms: proved_age.map(|age| age.as_millis().min(u32::MAX.into()) as u32),
        };
        self.peers.send(sender, GatewayBody::OriginReply(reply));
    }

    /// Passes a reply to the query that waits for it.
    pub fn handle_reply(&self, reply: OriginReply) {
        if let Some(query) = self.queries.borrow().get(&reply.ticket) {
            // The query takes one reply of each peer; further ones aren't needed.
            query.try_send(reply).unwrap_or_default();
        }
    }
}

/// Returns whether records of a proved age have every version that may have begun streams.
fn is_proved(age: Option<Duration>) -> bool {
    age.is_some_and(|age| age <= PROVED_AGE_MAX)
}

/// A query that waits for replies until it is dropped.
struct PendingQuery<'a> {
    queries: &'a RefCell<HashMap<u64, mpsc::Sender<OriginReply>>>,
    ticket: u64,
}

impl<'a> PendingQuery<'a> {
    fn new(
        queries: &'a RefCell<HashMap<u64, mpsc::Sender<OriginReply>>>,
        ticket: u64,
        sender: mpsc::Sender<OriginReply>,
    ) -> Self {
        queries.borrow_mut().insert(ticket, sender);
        Self { queries, ticket }
    }
}

impl Drop for PendingQuery<'_> {
    fn drop(&mut self) {
        self.queries.borrow_mut().remove(&self.ticket);
    }
}

fn to_origin(service: &str, version: &str) -> Origin {
    match service.is_empty() {
        true => Origin::Ambiguous,
        false => Origin::Version { service: service.into(), version: version.into() },
    }
}

fn reply_origin(reply: &OriginReply) -> Option<Origin> {
    reply.is_known.then(|| to_origin(&reply.service, &reply.version))
}

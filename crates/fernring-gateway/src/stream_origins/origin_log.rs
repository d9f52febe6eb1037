//! Keeps the origins of streams in a log of the store while their service has several versions, so
//! that streams go on after a restart of all nodes at once.
//!
//! The nodes of a failure domain report to one of them, which appends what it has collected at a
//! bounded rate. The log is read only for a stream that neither this node nor its peers know. A
//! stream that isn't in the log either is refused while there are several versions, so a lost
//! record costs a refusal and never joins two versions.

use {
    super::{StreamOrigins, to_origin},
    crate::{
        log,
        origin_table::{Origin, STREAM_LIFETIME},
        position::Position,
        telemetry,
        wire::{KeyedRecord, Page, StoreError, Topic},
    },
    fernring_core::text::LogLine,
    serde::{Deserialize, Serialize},
    std::{
        cell::{Cell, RefCell},
        collections::{BTreeMap, VecDeque},
        net::SocketAddr,
        rc::Rc,
        sync::Arc,
        time::Duration,
    },
    tokio::{
        sync::{Mutex, Notify},
        time::{sleep, timeout},
    },
};

/// Appends a second of the whole fleet, an eighth of what the smallest store takes.
const APPENDS_PER_S: f64 = 50.0;
/// Pause after a failed append.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Most streams that wait to be appended; beyond that, the earliest ones are dropped.
const PENDING_MAX: usize = 5_000;
/// Most streams of one append: well below the largest record of the store.
const APPENDED_MAX: usize = 1_000;
/// Key that draws the node of a failure domain that appends.
const WRITER_KEY: &str = "stream-origins";
/// Key of the records. The log keeps all of them, whatever their key is.
const RECORD_KEY: &str = "origins";
/// Longest wait of a caller for a read of the log.
const READ_TIMEOUT: Duration = Duration::from_millis(500);
/// Age from which what was read of the log is out of date while a service has several versions.
const READ_AGE_MAX: Duration = Duration::from_millis(300);

/// Streams of one version as stored, in TOML.
#[derive(Debug, Serialize, Deserialize)]
struct StoredOrigin {
    /// The service; empty if the streams may go on nowhere.
    service: String,
    version: String,
    /// The callers' requests that brought the first events.
    requests: Vec<String>,
}

#[derive(Debug, Serialize, Deserialize)]
struct StoredOrigins {
    origins: Vec<StoredOrigin>,
}

/// A stream that has to be appended.
type PendingOrigin = (Arc<str>, Origin);

/// The log of origins as seen by this node.
#[derive(Debug, Default)]
pub(super) struct OriginLog {
    pending: RefCell<VecDeque<PendingOrigin>>,
    appended: Notify,
    /// Position up to which the log has been read; `None` before the first read.
    read_to: Mutex<Option<Position>>,
    /// When the last complete read began; `None` before that.
    read_at: Cell<Option<Duration>>,
}

impl OriginLog {
    /// Adds a stream to those that will be appended.
    pub(super) fn push(&self, request: Arc<str>, origin: Origin) {
        let mut pending = self.pending.borrow_mut();
        pending.push_back((request, origin));
        if pending.len() > PENDING_MAX {
            pending.pop_front();
        }
        self.appended.notify_one();
    }

    /// Takes streams to append, the earliest ones first.
    fn take(&self) -> Vec<PendingOrigin> {
        let mut pending = self.pending.borrow_mut();
        let count = pending.len().min(APPENDED_MAX);
        pending.drain(..count).collect()
    }

    /// Puts streams back whose append failed.
    fn put_back(&self, streams: Vec<PendingOrigin>) {
        let mut pending = self.pending.borrow_mut();
        streams.into_iter().rev().for_each(|stream| pending.push_front(stream));
        let excess = pending.len().saturating_sub(PENDING_MAX);
        pending.drain(..excess);
    }
}

impl StreamOrigins {
    /// Returns the node that appends the origins of this failure domain's streams.
    pub(super) fn origin_writer(&self) -> SocketAddr {
        let is_own = |domain: &str| *domain == *self.failure_domain;
        let writer = self.peers.owner_among(WRITER_KEY, is_own);
        writer.unwrap_or_else(|| self.peers.address())
    }

    /// Appends the collected origins to the log, for as long as the process runs.
    pub async fn run_origin_log(self: Rc<Self>) {
        loop {
            let streams = self.origin_log.take();
            if streams.is_empty() {
                self.origin_log.appended.notified().await;
                continue;
            }
            match self.append_origins(&streams).await {
                Ok(()) => {
                    telemetry::record_store_call(Topic::StreamOrigins.name(), "answered");
                    let domains = self.peers.reachable_by_domain().len().max(1);
                    sleep(Duration::from_secs_f64(domains as f64 / APPENDS_PER_S)).await;
                }
                Err(error) => {
                    self.log_failure(&error);
                    self.origin_log.put_back(streams);
                    sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    async fn append_origins(&self, streams: &[PendingOrigin]) -> Result<(), StoreError> {
        let mut requests: BTreeMap<(String, String), Vec<String>> = BTreeMap::new();
        for (request, origin) in streams {
            let names = match origin {
                Origin::Version { service, version } => (service.to_string(), version.to_string()),
                Origin::Ambiguous => Default::default(),
            };
            requests.entry(names).or_default().push(request.to_string());
        }
        let origins = requests.into_iter().map(|((service, version), requests)| StoredOrigin {
            service,
            version,
            requests,
        });
        let text = toml::to_string(&StoredOrigins { origins: origins.collect() })
            .map_err(|error| StoreError::Malformed(error.to_string()))?;
        self.store.write(Topic::StreamOrigins, RECORD_KEY, Some(text.as_bytes())).await
    }

    /// Reads the rest of the log, unless that was done a moment ago. While the service has a single
    /// version, nothing is added for it, and one read suffices. Returns whether all of it is known.
    pub(super) async fn read_origin_log(&self, has_several_versions: bool) -> bool {
        let age_max = if has_several_versions { READ_AGE_MAX } else { STREAM_LIFETIME };
        let needed_since = self.now().saturating_sub(age_max);
        match timeout(READ_TIMEOUT, self.read_to_end(needed_since)).await {
            Ok(Ok(())) => true,
            Ok(Err(error)) => {
                self.log_failure(&error);
                false
            }
            Err(_) => {
                self.log_failure(&StoreError::NoResponse("timed out".to_owned()));
                false
            }
        }
    }

    async fn read_to_end(&self, needed_since: Duration) -> Result<(), StoreError> {
        let mut read_to = self.origin_log.read_to.lock().await;
        // Another caller's read may have ended meanwhile.
        if self.origin_log.read_at.get().is_some_and(|read_at| read_at > needed_since) {
            return Ok(());
        }
        let began_at = self.now();
        loop {
            let from = read_to.filter(|position| position.era == self.store.era());
            let offset = from.map_or(0, |position| position.offset);
            let page = self.store.read_kept(Topic::StreamOrigins, offset).await?;
            telemetry::record_store_call(Topic::StreamOrigins.name(), "answered");
            self.apply_origin_page(&page);
            *read_to = Some(page.end_position());
            if !page.has_more {
                self.origin_log.read_at.set(Some(began_at));
                return Ok(());
            }
        }
    }

    fn apply_origin_page(&self, page: &Page) {
        let expires_at = self.now() + STREAM_LIFETIME;
        let mut table = self.table.borrow_mut();
        for stored in page.records.iter().filter_map(decode).flat_map(|stored| stored.origins) {
            let origin = to_origin(&stored.service, &stored.version);
            for request in stored.requests {
                table.record(&request.into(), origin.clone(), expires_at, false);
            }
        }
    }

    fn log_failure(&self, error: &StoreError) {
        let topic = Topic::StreamOrigins.name();
        telemetry::record_store_call(topic, "failed");
        let line = LogLine::event("store_call_failed").with("topic", topic);
        log::warn(line.with("error", error));
    }
}

fn decode(record: &KeyedRecord) -> Option<StoredOrigins> {
    match record.decode_toml()? {
        Ok(stored) => Some(stored),
        Err(error) => {
            let line = LogLine::event("origin_record_unreadable").with("offset", record.offset);
            log::warn(line.with("error", error));
            None
        }
    }
}

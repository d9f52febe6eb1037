//! Keeps the recent versions of each service in the store, so that nodes know of them after a
//! restart of all nodes at once.
//!
//! A version has a record for as long as its streams may be resumed; no new stream that may be
//! resumed goes to a version without one while a recorded version can take it. The records carry no
//! times: a node that starts counts each version that it finds as seen at that moment, and the
//! owner of a record removes it when it hasn't seen the version for the lifetime of a stream by its
//! own clock. That may keep a version for too long, never for too short.
//!
//! A mark says that the history is complete. It names the era of the store: the mark in a backup
//! that the store was restored from doesn't count, since later records are lost.

use {
    super::StreamOrigins,
    crate::{
        fingerprint::Fingerprint,
        full_read::FullRead,
        log,
        origin_table::STREAM_LIFETIME,
        telemetry,
        wire::{KeyedRecord, Page, StoreError, Topic},
    },
    fernring_core::text::LogLine,
    rand::RngExt,
    serde::{Deserialize, Serialize},
    std::{
        cell::{Cell, RefCell},
        collections::{BTreeMap, BTreeSet},
        fmt,
        rc::Rc,
        sync::Arc,
        time::Duration,
    },
    tokio::time::{sleep, timeout},
};

/// Key of the record that marks the history as complete: the topic lacks no version that a service
/// had before. Nodes of a build that keeps no history don't write it.
const COMPLETE_KEY: &str = "complete";
/// Prefix of the keys of versions.
const VERSION_KEY_PREFIX: &str = "version/";
/// Pause between looks of a starting node whether it is the first one.
const START_INTERVAL: Duration = Duration::from_millis(10);
/// Period over which nodes that start at the same moment spread their first write: the first
/// ones write what the others then find.
const START_SPREAD: Duration = Duration::from_millis(200);
/// Age of the upstreams' records from which a version may have come and gone unseen.
const GAP_MIN: Duration = Duration::from_secs(10);
/// Pause between looks for records that are missing or outdated.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Pause between the reads of any two nodes, if all of them read again and again: a quarter of the
/// calls that the store answers in a second.
const READ_PAUSE: Duration = Duration::from_millis(2);
/// Pause after a failed call, and between looks whether the history has become complete.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Time after which a missing record is written by any node, whoever owns its key.
const OWNER_TIME: Duration = Duration::from_secs(1);
/// Time for which a version stays without a record while a recorded one can begin streams. Streams
/// that run when it appears reach the log meanwhile, and after a restart of all nodes most callers
/// have resumed theirs: as long as there is one recorded version, it has begun all of them. A node
/// whose records are younger than this knows every version that has begun streams.
pub(super) const RECORD_DELAY: Duration = Duration::from_secs(3);
/// Longest wait of a stream for the record of the only version that can take it.
const RECORD_WAIT_MAX: Duration = Duration::from_secs(1);
/// Longest wait of a caller for a read of the records.
const RECORDS_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause between two looks of a stream that waits for a record.
const RECORD_WAIT_INTERVAL: Duration = Duration::from_millis(10);

/// A version of a service as stored, in TOML.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct VersionRecord {
    service: Arc<str>,
    version: Arc<str>,
}

impl VersionRecord {
    /// Returns the record's key. Names may have characters that keys may not.
    fn key(&self) -> String {
        let digest = Fingerprint::of(None, &self.service, self.version.as_bytes());
        format!("{VERSION_KEY_PREFIX}{digest}")
    }
}

/// What a node knows of the records.
#[derive(Debug, Default)]
pub(super) struct VersionRecords {
    /// Whether no node ran before this one; `None` as long as that isn't known.
    is_first_start: Cell<Option<bool>>,
    /// The recent versions whose records are in the store, as far as this node knows, by key.
    recorded: RefCell<BTreeMap<String, VersionRecord>>,
    /// Keys of records in the store whose versions this node has seen, but not lately.
    outdated: RefCell<BTreeSet<String>>,
    /// Whether the mark is in the store.
    is_marked: Cell<bool>,
    /// Whether this node knows all versions that the services have had for as long as a stream may
    /// last.
    is_complete: Cell<bool>,
    /// Whether the records have to be read, since versions may have come and gone unseen.
    is_read_due: Cell<bool>,
    /// Since when the upstreams' records have been current without a gap.
    current_since: Cell<Option<Duration>>,
    /// Since when a record has been missing.
    missing_since: Cell<Option<Duration>>,
    /// Since when the versions that the services have now have been there without a record, by key.
    unrecorded_since: RefCell<BTreeMap<String, Duration>>,
}

impl VersionRecords {
    fn has(&self, service: &str, version: &str) -> bool {
        let recorded = self.recorded.borrow();
        recorded.values().any(|record| &*record.service == service && &*record.version == version)
    }
}

impl StreamOrigins {
    /// Records whether no node ran before this one, so that an empty history is complete.
    pub fn set_first_start(&self, is_first_start: bool) {
        self.version_records.is_first_start.set(Some(is_first_start));
    }

    /// Forgets which records are in the store after it was restored from a backup: they may be
    /// lost, and are written again.
    pub fn handle_store_restored(&self) {
        self.version_records.recorded.borrow_mut().clear();
        self.version_records.is_marked.set(false);
    }

    /// Returns whether this node knows all versions that a service has had for as long as a stream
    /// may last.
    pub(super) fn knows_past_versions(&self, service: &str) -> bool {
        let is_long_known = self.history.borrow().is_long_known(self.now(), service);
        is_long_known || self.version_records.is_complete.get()
    }

    /// Lists the versions that a service has now and whose records aren't in the store; none if
    /// there is a single version.
    pub fn unrecorded_versions(&self, service: &str) -> Vec<Arc<str>> {
        let versions = self.current_versions(service);
        let unrecorded =
            versions.iter().filter(|version| !self.version_records.has(service, version));
        if versions.len() > 1 { unrecorded.cloned().collect() } else { Vec::new() }
    }

    /// Waits until a version that a service has now is recorded. Returns after
    /// [`RECORD_WAIT_MAX`] even if none is: its streams then go on after a restart of all nodes
    /// only if the store takes the record later.
    pub async fn wait_until_recorded(&self, service: &str) {
        let state = &self.version_records;
        let end = state.missing_since.get().unwrap_or_else(|| self.now()) + RECORD_WAIT_MAX;
        while state.is_complete.get() && self.now() < end && self.lacks_record(service) {
            sleep(RECORD_WAIT_INTERVAL).await;
        }
    }

    /// Returns whether only versions without a record can begin streams of a service.
    fn lacks_record(&self, service: &str) -> bool {
        let versions = self.current_versions(service);
        let is_recorded = |version: &Arc<str>| self.version_records.has(service, version);
        !versions.iter().all(is_recorded) && !self.has_recorded_version(service)
    }

    /// Returns whether a version with a record can begin streams of a service: one of its upstreams
    /// gets new work.
    pub fn has_recorded_version(&self, service: &str) -> bool {
        let mut versions = self.current_versions(service).into_iter();
        versions.any(|version| {
            self.version_records.has(service, &version)
                && self.upstreams.has_version(service, &version)
        })
    }

    /// Lists the versions that a service has now.
    fn current_versions(&self, service: &str) -> Vec<Arc<str>> {
        let directory = self.upstreams.directory();
        let versions = directory.versions_of(service).into_iter();
        versions.flat_map(|(_, versions)| versions.cloned()).collect()
    }

    /// Records whether the upstreams' records are current. After a gap, versions may have come and
    /// gone unseen.
    pub(super) fn observe_gap(&self, now: Duration) {
        let state = &self.version_records;
        if self.upstreams.records_age(now) < GAP_MIN {
            state.current_since.set(state.current_since.get().or(Some(now)));
            return;
        }
        self.history.borrow_mut().record_gap(now);
        state.current_since.set(None);
        state.is_read_due.set(true);
    }

    /// Keeps the records up to date, for as long as the process runs.
    pub async fn run_version_records(self: Rc<Self>) {
        let state = &self.version_records;
        state.is_read_due.set(true);
        while state.is_first_start.get().is_none() {
            sleep(START_INTERVAL).await;
        }
        let mut pause = self.pause_after(self.load_versions().await);
        pause += START_SPREAD.mul_f64(rand::rng().random_range(0.0..1.0));
        loop {
            sleep(pause).await;
            pause = self.pause_after(self.update_version_records().await);
        }
    }

    fn pause_after(&self, result: Result<(), StoreError>) -> Duration {
        match result {
            Ok(()) if self.version_records.is_complete.get() => CHECK_INTERVAL,
            Ok(()) => RETRY_PAUSE.max(self.read_pause()),
            Err(error) => {
                telemetry::record_store_call(Topic::Versions.name(), "failed");
                log::warn(LogLine::event("versions_not_stored").with("error", error));
                RETRY_PAUSE.max(self.read_pause())
            }
        }
    }

    async fn update_version_records(&self) -> Result<(), StoreError> {
        self.observe_versions();
        let state = &self.version_records;
        let is_current = state.current_since.get().is_some();
        if !state.is_complete.get() || is_current && state.is_read_due.get() {
            self.load_versions().await?;
        }
        if state.is_complete.get() && is_current {
            self.write_version_records().await?;
        }
        Ok(())
    }

    /// Reads the history, and looks whether it is complete. Whatever ran before, it becomes complete
    /// when this node has known the upstreams for as long as a stream may last.
    async fn load_versions(&self) -> Result<(), StoreError> {
        self.read_version_records().await?;
        let now = self.now();
        let state = &self.version_records;
        let is_long_known =
            state.current_since.get().is_some_and(|since| now >= since + STREAM_LIFETIME);
        let is_complete = state.is_complete.get()
            || state.is_marked.get()
            || state.is_first_start.get() == Some(true)
            || is_long_known;
        let was_complete = state.is_complete.replace(is_complete);
        if state.is_read_due.replace(false) || is_complete != was_complete {
            let records = state.recorded.borrow().len();
            let line = LogLine::event("version_history").with("records", records);
            log::info(line.with("is_complete", is_complete));
        }
        Ok(())
    }

    /// Reads the records, and notes which are in the store. Versions that this node hasn't seen, or
    /// not since a gap, are added to the history. Returns the end of the topic.
    async fn read_version_records(&self) -> Result<u64, StoreError> {
        let mut full_read = FullRead::default();
        let Page { mut records, era, end, .. } = loop {
            let newest = self.store.read_newest(Topic::Versions, full_read.page_token()).await?;
            telemetry::record_store_call(Topic::Versions.name(), "answered");
            if let Some(all_records) = full_read.add_page(newest)? {
                break all_records;
            }
        };
        records.retain(|record| record.value.is_some());
        let state = &self.version_records;
        let mark = records.iter().find(|record| &*record.key == COMPLETE_KEY);
        state.is_marked.set(mark.is_some_and(|mark| is_of_era(mark, era)));
        let versions = records.iter().filter(|record| record.key.starts_with(VERSION_KEY_PREFIX));
        let versions: Vec<_> =
            versions.filter_map(|record| Some((record.key.to_string(), decode(record)?))).collect();
        let mut outdated = state.outdated.borrow_mut();
        outdated.retain(|key| versions.iter().any(|(stored, _)| stored == key));
        let recent = versions.into_iter().filter(|(key, _)| !outdated.contains(key));
        let recent: BTreeMap<_, _> = recent.collect();
        let now = self.now();
        for record in recent.values().filter(|record| !self.is_recent(record)) {
            let versions = [&record.version].into_iter();
            self.history.borrow_mut().record(now, &record.service, versions);
        }
        *state.recorded.borrow_mut() = recent;
        Ok(end)
    }

    fn is_recent(&self, record: &VersionRecord) -> bool {
        let history = self.history.borrow();
        history.recent(&record.service).any(|version| *version == record.version)
    }

    /// Writes missing records and removes outdated ones.
    async fn write_version_records(&self) -> Result<(), StoreError> {
        self.drop_outdated_versions();
        let state = &self.version_records;
        if !self.has_missing_records() && !self.has_own_outdated_records() {
            state.missing_since.set(None);
            return Ok(());
        }
        let now = self.now();
        let missing_since = state.missing_since.get().unwrap_or(now);
        state.missing_since.set(Some(missing_since));
        let end = self.read_version_records().await?;
        if !self.has_missing_records() {
            return self.remove_outdated_records(end).await;
        }
        // At the first start, the owner may be a node that waits for the mark itself.
        let is_first = state.is_first_start.get() == Some(true) && !state.is_marked.get();
        let is_overdue = is_first || now >= missing_since + OWNER_TIME;
        for (key, record) in self.missing_versions() {
            if is_overdue || self.owns(&key) {
                self.write_record(&key, encode(&record)?.as_bytes()).await?;
                state.recorded.borrow_mut().insert(key, record);
            }
        }
        // Written last, since it says that the other records are there.
        let is_mark_due = self.missing_versions().is_empty() && !state.is_marked.get();
        if is_mark_due && (is_overdue || self.owns(COMPLETE_KEY)) {
            self.write_record(COMPLETE_KEY, self.store.era().to_string().as_bytes()).await?;
            state.is_marked.set(true);
        }
        sleep(self.read_pause()).await;
        Ok(())
    }

    async fn write_record(&self, key: &str, record: &[u8]) -> Result<(), StoreError> {
        self.store.write(Topic::Versions, key, Some(record)).await?;
        telemetry::record_store_call(Topic::Versions.name(), "answered");
        Ok(())
    }

    /// Removes the outdated records whose keys this node owns, unless another record has been
    /// written since the topic ended at `end`.
    async fn remove_outdated_records(&self, end: u64) -> Result<(), StoreError> {
        let outdated = self.version_records.outdated.borrow().clone();
        for (key, end) in outdated.into_iter().filter(|key| self.owns(key)).zip(end..) {
            self.store.remove_if(Topic::Versions, &key, end).await?;
            telemetry::record_store_call(Topic::Versions.name(), "answered");
            self.version_records.outdated.borrow_mut().remove(&key);
        }
        Ok(())
    }

    /// Forgets the records of versions that are no longer recent: if such a version returns, its
    /// record may have been removed.
    fn drop_outdated_versions(&self) {
        let mut recorded = self.version_records.recorded.borrow_mut();
        let mut outdated = self.version_records.outdated.borrow_mut();
        recorded.retain(|key, record| {
            let is_recent = self.is_recent(record);
            if !is_recent {
                outdated.insert(key.clone());
            }
            is_recent
        });
    }

    fn has_missing_records(&self) -> bool {
        !self.version_records.is_marked.get() || !self.missing_versions().is_empty()
    }

    fn has_own_outdated_records(&self) -> bool {
        self.version_records.outdated.borrow().iter().any(|key| self.owns(key))
    }

    /// Lists the versions that have to be recorded now, by key.
    fn missing_versions(&self) -> Vec<(String, VersionRecord)> {
        let now = self.now();
        let unrecorded = self.unrecorded_records();
        let mut since = self.version_records.unrecorded_since.borrow_mut();
        since.retain(|key, _| unrecorded.contains_key(key));
        let mut is_due = |key: &String, record: &VersionRecord| {
            let since = *since.entry(key.clone()).or_insert(now);
            now >= since + RECORD_DELAY || !self.has_recorded_version(&record.service)
        };
        unrecorded.into_iter().filter(|(key, record)| is_due(key, record)).collect()
    }

    /// Lists the versions that the services have now and that have no record, by key.
    fn unrecorded_records(&self) -> BTreeMap<String, VersionRecord> {
        let directory = self.upstreams.directory();
        let mut unrecorded = BTreeMap::new();
        for (service, versions) in directory.versions() {
            for version in versions.filter(|version| !self.version_records.has(service, version)) {
                let record = VersionRecord { service: service.clone(), version: version.clone() };
                unrecorded.insert(record.key(), record);
            }
        }
        unrecorded
    }

    /// Lists the versions that may have begun streams of a service, of those that are `known`. As
    /// long as a recorded version can begin streams, versions without a record have begun none.
    pub(super) async fn versions_in_use(
        &self,
        service: &str,
        known: BTreeSet<Arc<str>>,
    ) -> BTreeSet<Arc<str>> {
        let is_recorded = |version: &Arc<str>| self.version_records.has(service, version);
        if known.len() < 2
            || !self.version_records.is_complete.get()
            || known.iter().all(is_recorded)
        {
            return known;
        }
        let read = timeout(RECORDS_TIMEOUT, self.read_version_records()).await;
        if !matches!(read, Ok(Ok(_))) || !self.has_recorded_version(service) {
            return known;
        }
        let known = known.into_iter().chain(self.recent_versions(service));
        known.filter(is_recorded).collect()
    }

    fn owns(&self, key: &str) -> bool {
        self.peers.owner(key) == self.peers.address()
    }

    /// Returns the pause between two reads of this node, if all nodes read again and again.
    fn read_pause(&self) -> Duration {
        READ_PAUSE * self.peers.node_count() as u32
    }
}

fn is_of_era(mark: &KeyedRecord, era: u64) -> bool {
    mark.value.as_deref() == Some(era.to_string().as_bytes())
}

fn encode(record: &VersionRecord) -> Result<String, StoreError> {
    toml::to_string(record).map_err(|error| StoreError::Malformed(error.to_string()))
}

fn decode(record: &KeyedRecord) -> Option<VersionRecord> {
    match record.decode_toml()? {
        Ok(decoded) => Some(decoded),
        Err(error) => {
            log_unreadable(&record.key, error);
            None
        }
    }
}

fn log_unreadable(key: &str, error: impl fmt::Display) {
    let line = LogLine::event("version_record_unreadable").with("key", key);
    log::warn(line.with("error", error));
}

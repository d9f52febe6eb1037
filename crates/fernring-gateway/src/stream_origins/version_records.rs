//! Keeps the recent versions of each service in the store, so that nodes know of them after a
//! restart of all nodes at once.
//!
//! A version has a record for as long as its streams may be resumed. The records carry no times:
//! a node that starts counts each version that it finds as seen at that moment, and removes the
//! record of a version that it hasn't seen for the lifetime of a stream by its own clock. That may
//! keep a version for too long, never for too short.

use {
    super::StreamOrigins,
    crate::{
        fingerprint::Fingerprint,
        log,
        origin_table::STREAM_LIFETIME,
        telemetry,
        wire::{KeyedRecord, StoreError, Topic},
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
    tokio::time::sleep,
};

/// Key of the record that marks the history as complete: the topic lacks no version that a service
/// had before. Nodes of a build that keeps no history don't write it.
const COMPLETE_KEY: &str = "complete";
/// Value of the record that marks the history as complete.
const COMPLETE_VALUE: &[u8] = b"1";
/// Prefix of the keys of versions.
const VERSION_KEY_PREFIX: &str = "version/";
/// Period over which nodes that start at the same moment spread their first look: the first ones
/// write what the others then find.
const START_SPREAD: Duration = Duration::from_millis(200);
/// Pause between looks for records that are missing or outdated.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);
/// Pause after a failed call, and between looks whether the history has become complete.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// A version of a service as stored, in TOML.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
struct VersionRecord {
    service: String,
    version: String,
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
    /// Keys of the records that are in the store, as far as this node knows.
    stored: RefCell<BTreeSet<String>>,
    /// Whether this node knows all versions that the services have had for as long as a stream may
    /// last.
    is_complete: Cell<bool>,
}

impl StreamOrigins {
    /// Reads which versions the services have had. `is_first_start` says that no node ran before,
    /// so that an empty history is complete.
    ///
    /// # Errors
    /// If the store doesn't return all records.
    pub async fn load_versions(&self, is_first_start: bool) -> Result<(), StoreError> {
        let records = self.read_version_records().await?;
        let now = self.now();
        let mut history = self.history.borrow_mut();
        for record in records.iter().filter(|record| record.key.starts_with(VERSION_KEY_PREFIX)) {
            if let Some(record) = decode(record) {
                let (service, version) = (record.service.into(), record.version.into());
                history.record(now, &service, [&version].into_iter());
            }
        }
        drop(history);
        let is_marked = self.version_records.stored.borrow().contains(COMPLETE_KEY);
        let is_complete = self.version_records.is_complete.get() || is_first_start || is_marked;
        self.version_records.is_complete.set(is_complete);
        let line = LogLine::event("version_history").with("records", records.len());
        log::info(line.with("is_complete", is_complete));
        Ok(())
    }

    /// Reads the records, and notes which keys are in the store.
    async fn read_version_records(&self) -> Result<Vec<KeyedRecord>, StoreError> {
        let mut records = Vec::new();
        let mut after: Option<Arc<str>> = None;
        loop {
            let newest = self.store.read_newest(Topic::Versions, after.as_deref()).await?;
            telemetry::record_store_call(Topic::Versions.name(), "answered");
            records.extend(newest.page.records);
            after = newest.next;
            if after.is_none() {
                break;
            }
        }
        records.retain(|record| record.value.is_some());
        let keys = records.iter().map(|record| record.key.to_string()).collect();
        *self.version_records.stored.borrow_mut() = keys;
        Ok(records)
    }

    /// Returns whether this node knows all versions that a service has had for as long as a stream
    /// may last.
    pub(super) fn knows_past_versions(&self, service: &str) -> bool {
        let is_long_known = self.history.borrow().is_long_known(self.now(), service);
        is_long_known || self.version_records.is_complete.get()
    }

    /// Keeps the records up to date, for as long as the process runs.
    pub async fn run_version_records(self: Rc<Self>) {
        sleep(START_SPREAD.mul_f64(rand::rng().random_range(0.0..1.0))).await;
        loop {
            let result = match self.version_records.is_complete.get() {
                true => self.write_version_records().await,
                false => self.complete_history().await,
            };
            let pause = match result {
                Ok(()) => WRITE_INTERVAL,
                Err(error) => {
                    telemetry::record_store_call(Topic::Versions.name(), "failed");
                    log::warn(LogLine::event("versions_not_stored").with("error", error));
                    RETRY_PAUSE
                }
            };
            sleep(pause).await;
        }
    }

    /// Looks again whether the history is complete. It becomes complete when this node has run for
    /// as long as a stream may last, whatever ran before.
    async fn complete_history(&self) -> Result<(), StoreError> {
        sleep(RETRY_PAUSE).await;
        if self.now() >= self.started_at + STREAM_LIFETIME {
            self.version_records.is_complete.set(true);
            return Ok(());
        }
        self.load_versions(false).await
    }

    /// Writes missing records and removes outdated ones, among those whose keys this node owns.
    async fn write_version_records(&self) -> Result<(), StoreError> {
        self.observe_versions();
        let recent = self.recent_version_records();
        if recent.is_empty() || self.version_changes(&recent).is_empty() {
            return Ok(());
        }
        // Another node may have owned the keys until now.
        self.read_version_records().await?;
        for (key, record) in self.version_changes(&recent) {
            self.store.write(Topic::Versions, &key, record).await?;
            telemetry::record_store_call(Topic::Versions.name(), "answered");
            let mut stored = self.version_records.stored.borrow_mut();
            match record {
                Some(_) => stored.insert(key),
                None => stored.remove(&key),
            };
        }
        Ok(())
    }

    /// Returns the records of versions that have to be in the store, by key. Every service that had
    /// a version keeps the last one.
    fn recent_version_records(&self) -> BTreeMap<String, Vec<u8>> {
        let history = self.history.borrow();
        let versions = history.all().map(|(service, version)| VersionRecord {
            service: service.to_string(),
            version: version.to_string(),
        });
        versions.filter_map(|record| Some((record.key(), encode(&record)?))).collect()
    }

    /// Returns the keys to write, each with its record, or without one if it is removed. The mark
    /// comes last, since it says that the other records are there.
    fn version_changes<'a>(
        &self,
        recent: &'a BTreeMap<String, Vec<u8>>,
    ) -> Vec<(String, Option<&'a [u8]>)> {
        let stored = self.version_records.stored.borrow();
        let missing = recent.iter().filter(|(key, _)| !stored.contains(*key));
        let missing = missing.map(|(key, record)| (key.clone(), Some(record.as_slice())));
        let outdated = stored.iter().filter(|key| key.starts_with(VERSION_KEY_PREFIX));
        let outdated = outdated.filter(|key| !recent.contains_key(*key));
        let outdated = outdated.map(|key| (key.clone(), None));
        let mark = (!stored.contains(COMPLETE_KEY))
            .then(|| (COMPLETE_KEY.to_owned(), Some(COMPLETE_VALUE)));
        let is_mine = |key: &str| self.peers.owner(key) == self.peers.address();
        missing.chain(outdated).chain(mark).filter(|(key, _)| is_mine(key)).collect()
    }

    /// Forgets which records are in the store after it was restored from a backup: they may be
    /// lost, and are written again.
    pub fn handle_store_restored(&self) {
        self.version_records.stored.borrow_mut().clear();
    }
}

fn encode(record: &VersionRecord) -> Option<Vec<u8>> {
    match toml::to_string(record) {
        Ok(text) => Some(text.into_bytes()),
        Err(error) => {
            log_unreadable(&record.version, error);
            None
        }
    }
}

fn decode(record: &KeyedRecord) -> Option<VersionRecord> {
    let text = std::str::from_utf8(record.value.as_deref()?).map_err(|error| error.to_string());
    match text.and_then(|text| toml::from_str(text).map_err(|error| error.to_string())) {
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

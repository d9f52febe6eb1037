//! The configuration in force: the fold of the configuration stream.
//!
//! Every node folds the stream in the same way, and the version only grows. A node that starts
//! late, or that missed records past the log's retention, has a gap: it buffers the changes that
//! it can't apply until a snapshot or a peer's state covers the missing records; see
//! `docs/design/configuration.md`.

use {
    fernring_core::{
        catalog::Catalog,
        change::{ChangeError, ConfigRecord, Snapshot, Version, apply},
        log::{LogPage, LogRecord},
    },
    std::{collections::BTreeMap, sync::Arc},
    uuid::Uuid,
};

/// Most changes whose outcome, accepted or refused, is remembered for the operators that wait for
/// it.
const OUTCOMES_MAX: usize = 1_000;
/// Most records that are buffered while there is a gap.
const BUFFERED_MAX: usize = 100_000;

/// A record of the configuration stream as read from the log.
#[derive(Debug, Clone, PartialEq)]
pub struct ConfigLogRecord {
    /// Offset of the record in the stream.
    pub offset: u64,
    /// The log's own time of the record, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// The decoded record; `None` if it is not a fernring configuration record.
    pub record: Option<ConfigRecord>,
}

/// A page of the configuration stream.
#[derive(Debug, Clone, PartialEq)]
pub struct ConfigPage {
    /// The requested offset.
    pub from: u64,
    /// The oldest offset that the log still retained when it answered.
    pub first_offset: u64,
    /// The offset that the next record will get.
    pub next_offset: u64,
    /// The records, contiguous from `max(from, first_offset)`.
    pub records: Vec<ConfigLogRecord>,
}

impl ConfigPage {
    /// Decodes a page that the log service returned for the offset `from`.
    pub fn decode(from: u64, page: LogPage) -> Self {
        let record = |record: LogRecord| ConfigLogRecord {
            offset: record.offset,
            time_ms: record.time_ms,
            record: serde_json::from_slice(&record.data).ok(),
        };
        Self {
            from,
            first_offset: page.first_offset,
            next_offset: page.next_offset,
            records: page.records.into_iter().map(record).collect(),
        }
    }
}

/// The outcome of a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChangeOutcome {
    /// Identity of the change.
    pub id: Uuid,
    /// The version that the change created, or the reason for which it was refused.
    pub result: Result<Version, ChangeError>,
}

/// The configuration in force and the read position in the stream.
#[derive(Debug)]
pub struct ConfigFold {
    /// Invariant: only ever replaced by a catalog of a higher version.
    catalog: Arc<Catalog>,
    version: Version,
    next_offset: u64,
    /// Whether any configuration is known: from a snapshot, from a peer's state, or from the
    /// stream read since its first record.
    ready: bool,
    /// First offset of the contiguous records that were read up to `next_offset`.
    contiguous_from: u64,
    /// Changes that can't be applied until the gap before them is closed, by offset.
    /// Invariant: empty unless `gap` is set.
    buffered: BTreeMap<u64, ConfigRecord>,
    /// Whether records before `contiguous_from` were missed and nothing has covered them yet.
    gap: bool,
    /// Log time of the newest snapshot, or of the first record read if there is no snapshot.
    snapshot_or_start_ms: Option<u64>,
    outcomes: Vec<ChangeOutcome>,
}

impl Default for ConfigFold {
    fn default() -> Self {
        Self::new()
    }
}

impl ConfigFold {
    /// Creates a fold at the start of the stream, before any read.
    pub fn new() -> Self {
        Self {
            catalog: Arc::default(),
            version: 0,
            next_offset: 0,
            ready: false,
            contiguous_from: 0,
            buffered: BTreeMap::new(),
            gap: false,
            snapshot_or_start_ms: None,
            outcomes: Vec::new(),
        }
    }

    /// Returns the catalog in force.
    pub fn catalog(&self) -> &Arc<Catalog> {
        &self.catalog
    }

    /// Returns the version in force.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the offset from which to read the next page.
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Returns whether a configuration is known.
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// Returns whether records were missed that no snapshot or peer's state has covered yet.
    pub fn has_gap(&self) -> bool {
        self.gap
    }

    /// Returns the outcome of a change that was applied or refused recently. A change that was
    /// appended twice is accepted at most once; if either copy was accepted, that outcome is
    /// returned.
    pub fn outcome(&self, id: Uuid) -> Option<&ChangeOutcome> {
        let mut found = self.outcomes.iter().filter(|outcome| outcome.id == id);
        let first = found.next()?;
        found.find(|outcome| outcome.result.is_ok() && first.result.is_err()).or(Some(first))
    }

    /// Returns the state as a snapshot; `None` until a configuration is known.
    pub fn snapshot(&self) -> Option<Snapshot> {
        // With a gap it is not known which of the later records were accepted.
        let folded_to = if self.gap { self.version } else { self.next_offset.max(self.version) };
        let catalog = self.catalog.as_ref().clone();
        self.ready.then_some(Snapshot { version: self.version, folded_to, catalog })
    }

    /// Returns whether a snapshot should be appended: there are accepted changes, and the newest
    /// snapshot (or the first record, if there is none) is at least `age_ms` old by the log's
    /// time.
    pub fn needs_snapshot(&self, log_time_ms: u64, age_ms: u64) -> bool {
        let is_due =
            self.snapshot_or_start_ms.is_none_or(|time_ms| time_ms + age_ms <= log_time_ms);
        self.ready && !self.gap && self.version > 0 && is_due
    }

    /// Applies a page of the stream. Returns whether the version in force changed.
    pub fn apply_page(&mut self, page: ConfigPage) -> bool {
        if page.from != self.next_offset {
            return false;
        }
        let previous_version = self.version;
        if page.first_offset > self.next_offset {
            self.open_gap(page.first_offset);
        }
        for logged in page.records {
            self.fold_record(logged);
        }
        let is_caught_up = self.next_offset >= page.next_offset;
        if is_caught_up && !self.gap {
            self.ready = true;
        }
        self.version != previous_version
    }

    /// Adopts a peer's state, or a snapshot from the stream, if it is newer. Returns whether the
    /// version in force changed.
    pub fn adopt(&mut self, snapshot: Snapshot) -> bool {
        let previous_version = self.version;
        if snapshot.version > self.version {
            self.catalog = Arc::new(snapshot.catalog);
            self.version = snapshot.version;
        }
        if snapshot.version == self.version {
            self.ready = true;
            self.close_gap_at(snapshot.folded_to);
        }
        self.version != previous_version
    }

    fn open_gap(&mut self, first_offset: u64) {
        self.next_offset = first_offset;
        self.contiguous_from = first_offset;
        self.buffered.clear();
        // A state adopted from a peer may already cover the missed records.
        self.gap = self.version < first_offset;
    }

    fn fold_record(&mut self, logged: ConfigLogRecord) {
        if logged.offset != self.next_offset {
            return;
        }
        self.next_offset += 1;
        self.snapshot_or_start_ms.get_or_insert(logged.time_ms);
        match logged.record {
            Some(ConfigRecord::Snapshot(snapshot)) => self.fold_snapshot(logged.time_ms, snapshot),
            Some(record) if self.gap => self.buffer_record(logged.offset, record),
            Some(ConfigRecord::Change(_)) | None => {
                if let Some(record) = logged.record {
                    self.fold_change(logged.offset, &record);
                }
            }
        }
    }

    fn buffer_record(&mut self, offset: u64, record: ConfigRecord) {
        if self.buffered.len() >= BUFFERED_MAX {
            self.open_gap(offset + 1);
            return;
        }
        self.buffered.insert(offset, record);
    }

    fn fold_change(&mut self, offset: u64, record: &ConfigRecord) {
        let ConfigRecord::Change(change) = record else {
            return;
        };
        if offset < self.version {
            return;
        }
        let result = match apply(&self.catalog, self.version, change) {
            Ok(catalog) => {
                self.catalog = Arc::new(catalog);
                self.version = offset + 1;
                Ok(self.version)
            }
            Err(error) => Err(error),
        };
        if self.outcomes.len() >= OUTCOMES_MAX {
            self.outcomes.drain(..OUTCOMES_MAX / 2);
        }
        self.outcomes.push(ChangeOutcome { id: change.id, result });
    }

    fn fold_snapshot(&mut self, time_ms: u64, snapshot: Snapshot) {
        self.snapshot_or_start_ms = Some(time_ms);
        // An older snapshot may leave out changes before the first record read here.
        if self.gap && snapshot.folded_to >= self.contiguous_from {
            self.adopt(snapshot);
        }
    }

    fn close_gap_at(&mut self, folded_to: u64) {
        if !self.gap || folded_to < self.contiguous_from {
            return;
        }
        self.gap = false;
        for (offset, record) in std::mem::take(&mut self.buffered) {
            self.fold_change(offset, &record);
        }
    }
}

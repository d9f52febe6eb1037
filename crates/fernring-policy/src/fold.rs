//! The configuration in force: the fold of the configuration stream.
//!
//! Every node folds alike. The version only grows. A node that starts late, or that missed
//! records past the log's retention, holds the records it can't place until a snapshot or a
//! peer's state bridges the gap; see `docs/design/configuration.md`.

use {
    fernring_core::{
        catalog::Catalog,
        change::{ChangeError, ConfigRecord, Snapshot, Version, apply},
        log::{LogPage, LogRecord},
    },
    std::{collections::BTreeMap, sync::Arc},
    uuid::Uuid,
};

/// Accepted or refused changes whose outcome is remembered, for operators that wait for theirs.
const OUTCOMES_MAX: usize = 1_000;
/// Records held while a gap is open.
const HELD_MAX: usize = 100_000;

/// A record as read from the log.
#[derive(Debug, Clone, PartialEq)]
pub struct ConfigLogRecord {
    /// Its offset.
    pub offset: u64,
    /// The log's own time of the record, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// What it says; `None` for a record that is not one of ours.
    pub record: Option<ConfigRecord>,
}

/// A page of the configuration stream.
#[derive(Debug, Clone, PartialEq)]
pub struct ConfigPage {
    /// The offset that was asked for.
    pub from: u64,
    /// The oldest offset that the log still kept when it answered.
    pub first_offset: u64,
    /// The offset that the next record will get.
    pub next_offset: u64,
    /// The records, contiguous from `max(from, first_offset)`.
    pub records: Vec<ConfigLogRecord>,
}

impl ConfigPage {
    /// Reads the records of a page that the log service gave for `from`.
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

/// What became of a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChangeOutcome {
    /// The change's identity.
    pub id: Uuid,
    /// The version that it made, or why it was refused.
    pub result: Result<Version, ChangeError>,
}

/// The configuration in force and the reading position.
#[derive(Debug)]
pub struct ConfigFold {
    /// Invariant: only ever replaced by a catalog of a higher version.
    catalog: Arc<Catalog>,
    version: Version,
    next_offset: u64,
    /// Whether a configuration is known at all: a snapshot, a peer's state, or the stream from
    /// its first record.
    ready: bool,
    /// Start of the contiguous run of records that ends at `next_offset`.
    contiguous_from: u64,
    /// Changes that can't be placed until the gap before them is bridged, by offset.
    /// Invariant: empty unless `gap` is set.
    held: BTreeMap<u64, ConfigRecord>,
    gap: bool,
    /// Log time of the newest snapshot, or of the first record that was read.
    covered_time_ms: Option<u64>,
    outcomes: Vec<ChangeOutcome>,
}

impl Default for ConfigFold {
    fn default() -> Self {
        Self::new()
    }
}

impl ConfigFold {
    /// Creates a fold that has read nothing.
    pub fn new() -> Self {
        Self {
            catalog: Arc::default(),
            version: 0,
            next_offset: 0,
            ready: false,
            contiguous_from: 0,
            held: BTreeMap::new(),
            gap: false,
            covered_time_ms: None,
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

    /// Returns the offset to read from.
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Tells whether a configuration is known.
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// Tells whether records were missed that nothing has bridged yet.
    pub fn has_gap(&self) -> bool {
        self.gap
    }

    /// Returns what became of a change, if it was folded recently. A change that was appended
    /// twice is accepted at most once; then it counts as accepted.
    pub fn outcome(&self, id: Uuid) -> Option<&ChangeOutcome> {
        let mut found = self.outcomes.iter().filter(|outcome| outcome.id == id);
        let first = found.next()?;
        found.find(|outcome| outcome.result.is_ok() && first.result.is_err()).or(Some(first))
    }

    /// Returns the state as a snapshot; `None` before a configuration is known.
    pub fn snapshot(&self) -> Option<Snapshot> {
        // Behind a gap it is not known which of the later records were accepted.
        let folded_to = if self.gap { self.version } else { self.next_offset.max(self.version) };
        let catalog = self.catalog.as_ref().clone();
        self.ready.then_some(Snapshot { version: self.version, folded_to, catalog })
    }

    /// Tells whether a snapshot should be appended: there are accepted changes, and the newest
    /// snapshot, or the first record if there is none, is older than `age_ms` by the log's time.
    pub fn needs_snapshot(&self, log_time_ms: u64, age_ms: u64) -> bool {
        let due = self.covered_time_ms.is_none_or(|time_ms| time_ms + age_ms <= log_time_ms);
        self.ready && !self.gap && self.version > 0 && due
    }

    /// Folds a page in. Returns whether the version in force changed.
    pub fn apply_page(&mut self, page: ConfigPage) -> bool {
        if page.from != self.next_offset {
            return false;
        }
        let before = self.version;
        if page.first_offset > self.next_offset {
            self.open_gap(page.first_offset);
        }
        for read in page.records {
            self.fold_record(read);
        }
        let read_all = self.next_offset >= page.next_offset;
        if read_all && !self.gap {
            self.ready = true;
        }
        self.version != before
    }

    /// Takes a peer's state if it is newer. Returns whether the version in force changed.
    pub fn adopt(&mut self, snapshot: Snapshot) -> bool {
        let before = self.version;
        if snapshot.version > self.version {
            self.catalog = Arc::new(snapshot.catalog);
            self.version = snapshot.version;
        }
        if snapshot.version == self.version {
            self.ready = true;
            self.close_gap_at(snapshot.folded_to);
        }
        self.version != before
    }

    fn open_gap(&mut self, first_offset: u64) {
        self.next_offset = first_offset;
        self.contiguous_from = first_offset;
        self.held.clear();
        // A state that was taken from a peer may already cover what was missed.
        self.gap = self.version < first_offset;
    }

    fn fold_record(&mut self, read: ConfigLogRecord) {
        if read.offset != self.next_offset {
            return;
        }
        self.next_offset += 1;
        self.covered_time_ms.get_or_insert(read.time_ms);
        match read.record {
            Some(ConfigRecord::Snapshot(snapshot)) => self.fold_snapshot(read.time_ms, snapshot),
            Some(record) if self.gap => self.hold(read.offset, record),
            Some(ConfigRecord::Change(_)) | None => {
                if let Some(record) = read.record {
                    self.fold_change(read.offset, &record);
                }
            }
        }
    }

    fn hold(&mut self, offset: u64, record: ConfigRecord) {
        if self.held.len() >= HELD_MAX {
            self.open_gap(offset + 1);
            return;
        }
        self.held.insert(offset, record);
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
        self.covered_time_ms = Some(time_ms);
        // Otherwise changes between the snapshot and the first record read here may be missing.
        if self.gap && snapshot.folded_to >= self.contiguous_from {
            self.adopt(snapshot);
        }
    }

    fn close_gap_at(&mut self, folded_to: u64) {
        if !self.gap || folded_to < self.contiguous_from {
            return;
        }
        self.gap = false;
        for (offset, record) in std::mem::take(&mut self.held) {
            self.fold_change(offset, &record);
        }
    }
}

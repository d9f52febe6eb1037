//! Applies the records that upstreams write about themselves.

use {
    super::{StoreLoops, TailedTopic},
    crate::{
        directory::{Change, Effect, Entry},
        log,
        position::Position,
        telemetry,
        wire::{KeyedRecord, Page, Topic},
    },
    fernring_core::text::LogLine,
    std::time::Duration,
};

/// Most simultaneous changes that are logged with a line each; more are summed up in one line. Ten
/// thousand lines at the start of each node would cause other lines to be dropped.
const LOGGED_CHANGES_MAX: usize = 50;

/// Assumed size of all records, compressed, after the first page of several was read: ten thousand
/// records of some forty bytes. With too low a value a node would ask a second peer before the
/// first one's reply can have arrived, and get the records twice.
const ALL_RECORDS_BYTES: usize = 400 << 10;

/// Records of upstreams that a peer passes on.
#[derive(Debug)]
pub struct PeerRecords {
    /// Position up to which they are known.
    pub end: Position,
    /// The records.
    pub changes: Vec<Change>,
    /// Whether these are all records; if not, they are the changes since the requested position.
    pub is_full: bool,
    /// Time for which removals may still be lapses.
    pub lapses_for: Duration,
    /// Time since the peer's state was last confirmed.
    pub age: Option<Duration>,
}

impl StoreLoops {
    pub(super) fn apply_upstream_page(&self, page: Page, is_full: bool) {
        let decoded = page.records.iter().map(|record| self.decode(record, page.position(record)));
        let changes: Vec<_> = decoded.collect();
        self.apply_upstreams(changes, page.end_position(), is_full);
    }

    /// Applies the first page of a full read, so that requests are served before the other pages
    /// have come.
    pub(super) fn apply_preview(&self, tailed: TailedTopic, page: &Page) {
        if tailed != TailedTopic::Upstreams
            || self.upstreams.directory().end() > Position::default()
        {
            return;
        }
        let decoded = page.records.iter().map(|record| self.decode(record, page.position(record)));
        let effects = self.upstreams.preview(self.now(), decoded.collect());
        self.tailing(tailed).borrow_mut().expect_bytes(ALL_RECORDS_BYTES);
        self.handle_upstream_changes(&effects);
    }

    /// Decodes a record. One that is malformed removes the upstream that its key names.
    pub(super) fn decode(&self, record: &KeyedRecord, at: Position) -> Change {
        let instance = record.key.clone();
        let error = match self.wire.decode_upstream(record) {
            Ok(entry) => {
                let change = Change { instance, at, entry };
                report_missing_cold_time(&change);
                return change;
            }
            Err(error) => error,
        };
        // Each full read returns the record again; it is logged once.
        if !self.upstreams.directory().is_known_unusable(&record.key, at) {
            telemetry::record_rejected_record(Topic::Upstreams.name());
            let line = LogLine::event("upstream_refused").with("instance", &record.key);
            log::warn(line.with("record", at).with("error", error));
        }
        Change { instance, at, entry: Entry::Unusable }
    }

    /// Handles records of upstreams from a peer.
    pub fn handle_peer_upstreams(&self, records: PeerRecords) {
        if records.end <= self.upstreams.directory().end() {
            return;
        }
        self.upstreams.extend_lapse_window(self.now(), records.lapses_for);
        self.apply_upstreams(records.changes, records.end, records.is_full);
        if let Some(age) = records.age {
            self.confirm_from_peer(TailedTopic::Upstreams, age);
        }
    }

    /// Applies changes of upstreams up to `end`, or all records.
    pub(super) fn apply_upstreams(&self, changes: Vec<Change>, end: Position, is_full: bool) {
        let (now, known) = (self.now(), self.upstreams.directory().end());
        let effects = match is_full {
            true => self.upstreams.replace(now, changes, end),
            false => self.upstreams.apply(now, changes),
        };
        self.upstreams.advance(end);
        if end > known {
            // Peers send only changes, so the expected size is small.
            self.tailing(TailedTopic::Upstreams).borrow_mut().record_caught_up(0);
        }
        self.handle_upstream_changes(&effects);
    }

    pub(super) fn handle_upstream_changes(&self, effects: &[Effect]) {
        self.log_changes(effects);
        self.crash_attribution.handle_upstream_changes(effects);
        self.owner.handle_upstream_changes(effects);
    }

    fn log_changes(&self, effects: &[Effect]) {
        let changes = effects.iter().filter(|effect| **effect != Effect::None).count();
        if changes > LOGGED_CHANGES_MAX {
            let appeared = |effect: &&Effect| matches!(effect, Effect::Appeared(_));
            let gone = |effect: &&Effect| matches!(effect, Effect::Gone(_));
            let line = LogLine::event("upstreams_changed").with("changes", changes);
            let line = line.with("appeared", effects.iter().filter(appeared).count());
            log::info(line.with("gone", effects.iter().filter(gone).count()));
            return;
        }
        for effect in effects {
            let (key, what) = match effect {
                Effect::None => continue,
                Effect::Appeared(key) => (key, "appeared"),
                Effect::Draining(key) => (key, "draining"),
                Effect::Lapsed(key) => (key, "held"),
                Effect::Returned(key) => (key, "returned"),
                Effect::Restarted { new, .. } => (new, "restarted"),
                Effect::Gone(key) => (key, "gone"),
            };
            let directory = self.upstreams.directory();
            let upstream = directory.get(*key);
            let line = LogLine::event("upstream_changed").with("change", what);
            let line = line.with_some("instance", upstream.map(|u| &u.record.instance));
            let line = line.with_some("record", upstream.map(|u| u.at));
            let started_ms = upstream.and_then(|upstream| upstream.record.started_ms);
            log::info(line.with_some("started_ms", started_ms));
        }
    }
}

/// Logs that an upstream's record holds no cold time; the known one stays in force.
fn report_missing_cold_time(change: &Change) {
    if let Entry::Present(record) = &change.entry
        && record.cold_for.is_none()
    {
        telemetry::record_rejected_record(Topic::Upstreams.name());
        let line = LogLine::event("cold_time_refused").with("instance", &change.instance);
        log::warn(line.with("record", change.at));
    }
}

//! What upstreams write of themselves.

use {
    super::{Followed, StoreLoops},
    crate::{
        directory::{Change, Effect, Entry},
        log, telemetry,
        position::Position,
        wire::{KeyedRecord, Page, Topic},
    },
    fernring_core::text::LogLine,
    std::time::Duration,
};

/// Changes that come together and have a line each; more are said in one: ten thousand lines at the start of each node would
/// have others left out.
const LOGGED_CHANGES_MAX: usize = 50;

/// Size of all records where they are more than a page, as far as a node can know that has read one: ten thousand of some forty bytes,
/// packed.
/// One that asks another peer before they can have come gets them twice.
const WHOLE_BYTES: usize = 400 << 10;

/// Records of upstreams that a peer passes on.
#[derive(Debug)]
pub struct PeerRecords {
    /// Position up to which they are known.
    pub end: Position,
    /// The records.
    pub changes: Vec<Change>,
    /// Whether these are all; if not, those since the number that was asked for.
    pub is_whole: bool,
    /// Time for which removals may still be lapses.
    pub lapses_for: Duration,
    /// Time since they were the newest for sure.
    pub age: Option<Duration>,
}

impl StoreLoops {
    pub(super) fn take_upstreams(&self, page: Page, is_whole: bool) {
        let decoded = page.records.iter().map(|record| self.decode(record, page.position(record)));
        let changes: Vec<_> = decoded.collect();
        self.apply_upstreams(changes, page.end_position(), is_whole);
    }

    /// Takes in the first of the pages of a topic that isn't known, so that requests are served before the others have come.
    pub(super) fn take_preview(&self, what: Followed, page: &Page) {
        if what != Followed::Upstreams || self.upstreams.directory().end() > Position::default() {
            return;
        }
        let decoded = page.records.iter().map(|record| self.decode(record, page.position(record)));
        let effects = self.upstreams.preview(self.now(), decoded.collect());
        self.following(what).borrow_mut().expect(WHOLE_BYTES);
        self.upstreams_changed(&effects);
    }

    /// Decodes a record; one that can't be read takes the upstream that its key named out of use.
    pub(super) fn decode(&self, record: &KeyedRecord, at: Position) -> Change {
        let instance = record.key.clone();
        let error = match self.wire.decode_upstream(record) {
            Ok(entry) => {
                let change = Change { instance, at, entry };
                note_cold_time(&change);
                return change;
            }
            Err(error) => error,
        };
        // Whole readings bring it again and again; it is said once.
        if !self.upstreams.directory().is_refused(&record.key, at) {
            telemetry::record_rejected_record(Topic::Upstreams.name());
            let line = LogLine::event("upstream_refused").with("instance", &record.key);
            log::warn(line.with("record", at).with("error", error));
        }
        Change { instance, at, entry: Entry::Unusable }
    }

    /// Takes in records of upstreams that a peer passes on.
    pub fn take_peer_upstreams(&self, records: PeerRecords) {
        if records.end <= self.upstreams.directory().end() {
            return;
        }
        self.upstreams.lapses_known(self.now(), records.lapses_for);
        self.apply_upstreams(records.changes, records.end, records.is_whole);
        if let Some(age) = records.age {
            self.known_from_peer(Followed::Upstreams, age);
        }
    }

    /// Puts changes of upstreams in force, or all records, which reach up to `end`.
    pub(super) fn apply_upstreams(&self, changes: Vec<Change>, end: Position, is_whole: bool) {
        let (now, known) = (self.now(), self.upstreams.directory().end());
        let effects = match is_whole {
            true => self.upstreams.replace(now, changes, end),
            false => self.upstreams.apply(now, changes),
        };
        self.upstreams.advance(end);
        if end > known {
            // Only changes are passed on, so what a peer sends is small.
            self.following(Followed::Upstreams).borrow_mut().caught_up(0);
        }
        self.upstreams_changed(&effects);
    }

    pub(super) fn upstreams_changed(&self, effects: &[Effect]) {
        self.log_changes(effects);
        self.blame.upstreams_changed(effects);
        self.owner.upstreams_changed(effects);
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
                Effect::Held(key) => (key, "held"),
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

/// Says that an upstream's record holds no time for how long it is cold; what was known of that stays so.
fn note_cold_time(change: &Change) {
    if let Entry::Present(record) = &change.entry
        && record.cold_for.is_none()
    {
        telemetry::record_rejected_record(Topic::Upstreams.name());
        let line = LogLine::event("cold_time_refused").with("instance", &change.instance);
        log::warn(line.with("record", change.at));
    }
}

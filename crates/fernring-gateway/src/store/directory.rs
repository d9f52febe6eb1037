//! The upstreams, as their own records in the platform's store describe them.
//!
//! Records are numbered by the store; for one upstream the latest position wins, whichever way
//! it came. A store that comes back from a copy holds what was some seconds ago: there the start and what the upstream
//! counts say which of two records is the newer, and who was leaving or had gone stays so. A removal that may be a lapse
//! during an outage of the store takes effect only after
//! [`RETURN_GRACE`].
//!
//! A process may start again under the instance that it had. The latest start wins over any number: it ends the
//! upstream of before and begins a new one with a new key, so that nothing that is kept by key outlives a start. A
//! record that can't be read takes the upstream that its key named out of use, without the doubt of a lapse.

use {
    super::index::Index,
    crate::{
        model::{UpstreamKey, UpstreamRecord, UpstreamState},
        position::Position,
    },
    slotmap::SlotMap,
    std::{
        collections::{HashMap, HashSet},
        net::SocketAddr,
        sync::Arc,
        time::Duration,
    },
};

/// How long after the store's return a removed record may come back. The platform
/// promises about two seconds; a little is added for the reading.
pub const RETURN_GRACE: Duration = Duration::from_millis(2_300);

/// Removals that are remembered for peers: about one day's at the long-run size, some 300 KB.
const REMOVALS_MAX: usize = 4_096;

/// What the store holds under an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Entry {
    /// The upstream's own record.
    Present(UpstreamRecord),
    /// Nothing any more.
    Removed,
    /// Something that is no record of an upstream, of another writer. It names no upstream.
    Unusable,
}

/// An entry with its number in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// Its key: an upstream's instance.
    pub instance: Arc<str>,
    /// Position in the store.
    pub at: Position,
    /// What the store holds there.
    pub entry: Entry,
}

/// What a change did, for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// A new upstream.
    Appeared(UpstreamKey),
    /// It is leaving.
    Draining(UpstreamKey),
    /// It gets no new work until it is back or gone.
    Lapsed(UpstreamKey),
    /// It is back.
    Returned(UpstreamKey),
    /// It is gone, and its key with it.
    Gone(UpstreamKey),
    /// Its process has started again: what was known of it is over, and what it had in hand is lost.
    Restarted {
        /// Key of the upstream of before, which is gone.
        old: UpstreamKey,
        /// Key of the new one.
        new: UpstreamKey,
    },
    /// Nothing that matters here.
    None,
}

/// One upstream.
#[derive(Debug, Clone)]
pub struct Upstream {
    /// What it says of itself.
    pub record: UpstreamRecord,
    /// Position of that record in the store.
    pub at: Position,
    /// When a removal takes effect that may be a lapse.
    removal_due: Option<Duration>,
    /// Until when it is cold, as its record says.
    cold_until: Duration,
}

impl Upstream {
    /// Tells whether it is to get new work.
    pub fn accepts_work(&self) -> bool {
        self.record.state == UpstreamState::Ready
    }

    fn change(&self, now: Duration) -> Change {
        let cold_for = self.cold_until.saturating_sub(now);
        Change {
            instance: self.record.instance.clone(),
            at: self.at,
            entry: Entry::Present(UpstreamRecord {
                cold_for: Some(cold_for),
                ..self.record.clone()
            }),
        }
    }

    /// Tells whether it is cold, as its record says.
    pub fn is_cold(&self, now: Duration) -> bool {
        now < self.cold_until
    }

    /// Tells whether a record of the same start, at a position, is newer than the known one. Positions of two eras of the
    /// store say nothing of that: the copy that it came back from holds what was, so what the upstream counts does.
    fn is_older_than(&self, at: Position, record: &UpstreamRecord) -> bool {
        if self.at.era == at.era {
            return self.at <= at;
        }
        let known = (self.record.sequence, !self.accepts_work(), self.at);
        known < (record.sequence, record.state == UpstreamState::Draining, at)
    }

    /// Keeps what is known, since a record says no more; but an upstream that leaves in a later era of the store does leave,
    /// whatever it counts.
    fn apply_late_drain(
        &mut self,
        key: UpstreamKey,
        at: Position,
        record: &UpstreamRecord,
    ) -> Effect {
        let leaves = at.era > self.at.era && record.state == UpstreamState::Draining;
        if !(leaves && self.accepts_work()) {
            return Effect::None;
        }
        self.record.state = UpstreamState::Draining;
        Effect::Draining(key)
    }

    /// Tells whether its record has lapsed, so that others go first.
    pub fn has_lapsed(&self) -> bool {
        self.removal_due.is_some()
    }
}

/// The end of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Removal {
    /// Its position in the store.
    at: Position,
    /// The latest start that is known of the instance, so that an earlier one doesn't come back.
    started_ms: Option<u64>,
    /// How often that start had written its record, as far as is known, so that a copy of the store doesn't bring it back.
    sequence: Option<u64>,
    /// Whether the store holds something there that can't be read.
    is_unusable: bool,
}

impl Removal {
    /// Tells whether a record says no more than was known when it was removed, in an earlier era of the store: the copy that
    /// the store came back from holds it, and the upstream is gone all the same.
    fn is_from_copy(&mut self, at: Position, record: &UpstreamRecord) -> bool {
        if self.at.era == at.era || is_earlier(self.started_ms, record.started_ms) {
            return false;
        }
        // Where nothing was known, what it counts now is where it has to go on from.
        let known = *self.sequence.get_or_insert(record.sequence);
        record.sequence <= known
    }
}

/// All upstreams that a node knows.
#[derive(Debug, Default)]
pub struct Directory {
    upstreams: SlotMap<UpstreamKey, Upstream>,
    /// Invariant: one entry for each upstream, by its instance.
    by_instance: HashMap<Arc<str>, UpstreamKey>,
    /// Invariant: holds each upstream with the record that it has.
    index: Index,
    /// Holds each upstream whose removal may be a lapse, and others.
    lapsed: HashSet<UpstreamKey>,
    /// The newest removal of each instance that was removed once, also if it is back, so that an older record
    /// from a peer doesn't bring back what was before.
    removed: HashMap<Arc<str>, Removal>,
    /// Up to when removals may be lapses.
    lapses_until: Duration,
    /// Number from which on every change is known here; what was removed before may not be.
    floor: Position,
    /// Number that the next record gets.
    end: Position,
}

impl Directory {
    /// Returns an upstream.
    pub fn get(&self, key: UpstreamKey) -> Option<&Upstream> {
        self.upstreams.get(key)
    }

    /// Returns the position up to which records were taken in.
    pub fn end(&self) -> Position {
        self.end
    }

    /// Lists all upstreams.
    pub fn iter(&self) -> impl Iterator<Item = (UpstreamKey, &Upstream)> {
        self.upstreams.iter()
    }

    /// Returns the number of upstreams.
    pub fn len(&self) -> usize {
        self.upstreams.len()
    }

    /// Tells whether there are none.
    pub fn is_empty(&self) -> bool {
        self.upstreams.is_empty()
    }

    /// Lists the upstreams of a service.
    pub fn of_service<'a>(
        &'a self,
        service: &str,
    ) -> impl Iterator<Item = (UpstreamKey, &'a Upstream)> + use<'a> {
        let keys = self.index.of_service(service).iter();
        keys.filter_map(|key| Some((*key, self.upstreams.get(*key)?)))
    }

    /// Lists the upstreams at an address.
    pub fn at_address(
        &self,
        address: SocketAddr,
    ) -> impl Iterator<Item = (UpstreamKey, &Upstream)> {
        let keys = self.index.at(address).iter();
        keys.filter_map(|key| Some((*key, self.upstreams.get(*key)?)))
    }

    /// Lists the upstreams whose starts have a short hash.
    pub fn by_incarnation(&self, run_hash: u32) -> &[UpstreamKey] {
        self.index.of_run(run_hash)
    }

    /// Finds the upstream of a service at an address.
    pub fn at(&self, service: &str, address: SocketAddr) -> Option<UpstreamKey> {
        let mut there = self.at_address(address);
        there.find(|(_, upstream)| &*upstream.record.service == service).map(|(key, _)| key)
    }

    /// Says that the store did not answer until now: removals may be lapses for a while.
    pub fn record_store_outage(&mut self, now: Duration) {
        self.lapses_until = now + RETURN_GRACE;
    }

    /// Returns the time for which removals may still be lapses.
    pub fn lapse_time_left(&self, now: Duration) -> Duration {
        self.lapses_until.saturating_sub(now)
    }

    /// Says that removals may be lapses for some time, as a peer has found.
    pub fn extend_lapse_window(&mut self, now: Duration, time: Duration) {
        self.lapses_until = self.lapses_until.max(now + time);
    }

    /// Says that everything before a number was taken in.
    pub fn advance(&mut self, end: Position) {
        self.end = self.end.max(end);
    }

    /// Lists what changed since a position, removals included; `None` if that isn't known here.
    pub fn changes_since(&self, now: Duration, since: Position) -> Option<Vec<Change>> {
        if since < self.floor || since.era != self.end.era {
            return None;
        }
        let present = self.upstreams.values().filter(|u| u.at >= since && !u.has_lapsed());
        let present = present.map(|upstream| upstream.change(now));
        let is_newest = |instance: &Arc<str>, removal: &Removal| {
            let upstream = self.by_instance.get(instance).map(|key| &self.upstreams[*key]);
            upstream.is_none_or(|upstream| upstream.at < removal.at)
        };
        let removed = self.removed.iter().filter(|(_, removal)| removal.at >= since);
        let removed = removed.filter(|(instance, removal)| is_newest(instance, removal));
        let removed = removed.map(|(instance, removal)| Change {
            instance: instance.clone(),
            at: removal.at,
            entry: if removal.is_unusable { Entry::Unusable } else { Entry::Removed },
        });
        Some(present.chain(removed).collect())
    }

    /// Lists all upstreams as changes, without those whose records have lapsed: who doesn't know
    /// these yet learns of them when they are back.
    pub fn all_changes(&self, now: Duration) -> Vec<Change> {
        let present = self.upstreams.values().filter(|upstream| !upstream.has_lapsed());
        present.map(|upstream| upstream.change(now)).collect()
    }

    /// Takes in a change.
    pub fn apply(&mut self, now: Duration, change: Change) -> Effect {
        self.end = self.end.max(change.at.next());
        match change.entry {
            Entry::Present(record) => self.insert(now, change.at, record),
            Entry::Removed => self.remove(now, &change.instance, change.at),
            Entry::Unusable => self.remove_unusable(&change.instance, change.at),
        }
    }

    /// Tells whether it is known that an entry, by its number, can't be read.
    pub fn is_known_unusable(&self, instance: &str, at: Position) -> bool {
        let removal = self.removed.get(instance);
        removal.is_some_and(|removal| removal.is_unusable && removal.at == at)
    }

    /// Takes in some of the store's records before all are known: what is missing isn't known to be removed, and where to read
    /// on isn't known.
    pub fn preview(&mut self, now: Duration, records: Vec<Change>) -> Vec<Effect> {
        let end = self.end;
        let effects = records.into_iter().map(|change| self.apply(now, change)).collect();
        self.end = end;
        effects
    }

    /// Takes in all records of the store at once; what is missing among them was removed. In a later era of the store than was
    /// known, it may only be missing from the copy that the store came back from, and is written again if it lives.
    pub fn replace(&mut self, now: Duration, records: Vec<Change>, end: Position) -> Vec<Effect> {
        if end.era > self.end.era {
            self.record_store_outage(now);
        }
        let present: HashSet<_> = records.iter().map(|change| change.instance.clone()).collect();
        let mut effects: Vec<_> =
            records.into_iter().map(|change| self.apply(now, change)).collect();
        let missing = |instance: &&Arc<str>| !present.contains(*instance);
        let missing: Vec<_> = self.by_instance.keys().filter(missing).cloned().collect();
        let last = Position { offset: end.offset.saturating_sub(1), ..end };
        for instance in missing {
            effects.push(self.remove(now, &instance, last));
        }
        self.end = end;
        self.floor = end;
        effects
    }

    /// Ends the doubtful time of those that did not come back.
    pub fn expire(&mut self, now: Duration) -> Vec<Effect> {
        let upstreams = &self.upstreams;
        let removal_due = |key: &UpstreamKey| upstreams.get(*key).and_then(|u| u.removal_due);
        self.lapsed.retain(|key| removal_due(key).is_some());
        let is_due = |key: &&UpstreamKey| removal_due(key).is_some_and(|due| due <= now);
        let gone: Vec<_> = self.lapsed.iter().filter(is_due).copied().collect();
        gone.into_iter().map(|key| self.remove_upstream(key)).collect()
    }

    fn insert(&mut self, now: Duration, at: Position, record: UpstreamRecord) -> Effect {
        let said = record.cold_for.map(|cold_for| now + cold_for);
        let cold_until = said.unwrap_or_default();
        if let Some(removal) = self.removed.get_mut(&record.instance) {
            if removal.at > at {
                removal.started_ms = removal.started_ms.max(record.started_ms);
                return self.remove_earlier_incarnation(&record);
            }
            if is_earlier(record.started_ms, removal.started_ms)
                || removal.is_from_copy(at, &record)
            {
                return Effect::None;
            }
        }
        let Some(key) = self.by_instance.get(&record.instance).copied() else {
            let instance = record.instance.clone();
            let upstream = Upstream { record, at, removal_due: None, cold_until };
            let key = self.add(upstream);
            self.by_instance.insert(instance, key);
            return Effect::Appeared(key);
        };
        let upstream = &mut self.upstreams[key];
        let known_ms = upstream.record.started_ms;
        if is_earlier(known_ms, record.started_ms) {
            return self
                .replace_restarted(key, Upstream { record, at, removal_due: None, cold_until });
        }
        if is_earlier(record.started_ms, known_ms) {
            return Effect::None;
        }
        if !upstream.is_older_than(at, &record) {
            return upstream.apply_late_drain(key, at, &record);
        }
        let was_ready = upstream.accepts_work();
        let was_held = upstream.removal_due.take().is_some();
        upstream.at = at;
        upstream.cold_until = said.unwrap_or(upstream.cold_until);
        self.index.remove(key, &upstream.record);
        upstream.record = UpstreamRecord { started_ms: record.started_ms.or(known_ms), ..record };
        self.index.add(key, &upstream.record);
        match (was_ready, upstream.accepts_work()) {
            (true, false) => Effect::Draining(key),
            (_, true) if was_held => Effect::Returned(key),
            _ => Effect::None,
        }
    }

    /// Ends an upstream that started earlier than another run of its instance that is over already, too.
    fn remove_earlier_incarnation(&mut self, over: &UpstreamRecord) -> Effect {
        let key = self.by_instance.get(&over.instance).copied();
        let earlier =
            key.filter(|key| is_earlier(self.upstreams[*key].record.started_ms, over.started_ms));
        earlier.map_or(Effect::None, |key| self.remove_upstream(key))
    }

    /// Ends an upstream whose process has started again, and begins the new one.
    fn replace_restarted(&mut self, old: UpstreamKey, upstream: Upstream) -> Effect {
        self.detach(old);
        let instance = upstream.record.instance.clone();
        let new = self.add(upstream);
        self.by_instance.insert(instance, new);
        Effect::Restarted { old, new }
    }

    fn remove(&mut self, now: Duration, instance: &Arc<str>, at: Position) -> Effect {
        let Some(key) = self.record_removal(instance, at, false) else {
            return Effect::None;
        };
        if now < self.lapses_until && self.upstreams[key].accepts_work() {
            self.upstreams[key].removal_due.get_or_insert(self.lapses_until);
            self.lapsed.insert(key);
            return Effect::Lapsed(key);
        }
        self.remove_upstream(key)
    }

    /// Takes an upstream out of use whose entry can't be read.
    fn remove_unusable(&mut self, instance: &Arc<str>, at: Position) -> Effect {
        match self.record_removal(instance, at, true) {
            Some(key) => self.remove_upstream(key),
            None => Effect::None,
        }
    }

    /// Remembers a removal unless a newer record is known; returns the upstream that it ends, if there is one.
    fn record_removal(
        &mut self,
        instance: &Arc<str>,
        at: Position,
        is_unusable: bool,
    ) -> Option<UpstreamKey> {
        let key = self.by_instance.get(instance).copied();
        let before = self.removed.get(instance).copied();
        if before.is_some_and(|before| at < before.at) {
            return None;
        }
        let upstream = key.map(|key| &self.upstreams[key]);
        let of_upstream = upstream.and_then(|upstream| upstream.record.started_ms);
        let is_over = upstream.is_some_and(|upstream| upstream.at <= at);
        let started_ms = of_upstream.max(before.and_then(|removal| removal.started_ms));
        let counted = upstream.map(|upstream| upstream.record.sequence);
        let sequence = counted.or(before.and_then(|removal| removal.sequence));
        let removal = Removal { at, started_ms, sequence, is_unusable };
        self.removed.insert(instance.clone(), removal);
        self.prune_removals();
        key.filter(|_| is_over)
    }

    /// Forgets the older half of the removals when there are too many; who asks for changes from
    /// before gets all records.
    fn prune_removals(&mut self) {
        if self.removed.len() <= REMOVALS_MAX {
            return;
        }
        let mut places: Vec<_> = self.removed.values().map(|removal| removal.at).collect();
        let (_, middle, _) = places.select_nth_unstable(REMOVALS_MAX / 2);
        let middle = *middle;
        self.removed.retain(|_, removal| removal.at >= middle);
        self.floor = self.floor.max(middle);
    }

    fn add(&mut self, upstream: Upstream) -> UpstreamKey {
        let record = upstream.record.clone();
        let key = self.upstreams.insert(upstream);
        self.index.add(key, &record);
        key
    }

    fn detach(&mut self, key: UpstreamKey) -> Option<Upstream> {
        let upstream = self.upstreams.remove(key)?;
        self.index.remove(key, &upstream.record);
        Some(upstream)
    }

    fn remove_upstream(&mut self, key: UpstreamKey) -> Effect {
        let Some(upstream) = self.detach(key) else {
            return Effect::None;
        };
        self.by_instance.remove(&upstream.record.instance);
        Effect::Gone(key)
    }
}

/// Tells whether one start is earlier than another. A start that isn't known is neither earlier nor later.
fn is_earlier(one_ms: Option<u64>, other_ms: Option<u64>) -> bool {
    one_ms.zip(other_ms).is_some_and(|(one_ms, other_ms)| one_ms < other_ms)
}

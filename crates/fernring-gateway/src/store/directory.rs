//! The upstreams, as described by their own records in the platform's store.
//!
//! The store assigns an offset to each record. Of two records of one upstream, the one at the later
//! position applies, no matter whether it came from the store or a peer. A store that was restored
//! from a backup holds the state of some seconds ago: across eras the start time and the upstream's
//! own sequence number decide which record is newer, and an upstream that was draining or had been
//! removed stays so. A removal that may be a lapse, because the upstream couldn't renew its record
//! during an outage of the store, takes effect only after [`RETURN_GRACE`].
//!
//! A process may restart under the same instance name. The latest start time takes precedence over
//! any position: it ends the previous incarnation and adds a new upstream with a new key, so that
//! no state kept by key outlives an incarnation. A record that can't be decoded removes the
//! upstream that its key names at once, since it is no lapse.

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

/// Time after the end of a store outage in which a removed record may be written again. The
/// platform promises about two seconds; the rest is a margin for reading it.
pub const RETURN_GRACE: Duration = Duration::from_millis(2_300);

/// Most removals that are remembered for peers: about one day's removals at the long-run size, some
/// 300 KB.
const REMOVALS_MAX: usize = 4_096;

/// What the store holds under an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Entry {
    /// The upstream's own record.
    Present(UpstreamRecord),
    /// Nothing: the record was removed.
    Removed,
    /// A record that can't be decoded as an upstream's, from another writer.
    Unusable,
}

/// An entry with its key and position in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// Key of the entry: an upstream's instance.
    pub instance: Arc<str>,
    /// Position of the entry in the store.
    pub at: Position,
    /// What the store holds at that position.
    pub entry: Entry,
}

/// The effect of a change on the known upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// A new upstream.
    Appeared(UpstreamKey),
    /// The upstream is draining.
    Draining(UpstreamKey),
    /// The upstream's record was removed, possibly by a lapse: it gets no new work until its record
    /// is back or the removal takes effect.
    Lapsed(UpstreamKey),
    /// The record of a lapsed upstream is back.
    Returned(UpstreamKey),
    /// The upstream was removed, and its key is invalid.
    Gone(UpstreamKey),
    /// The upstream's process has restarted: the state of the previous incarnation is obsolete, and
    /// its requests in flight are lost.
    Restarted {
        /// Key of the previous incarnation, now invalid.
        old: UpstreamKey,
        /// Key of the new incarnation.
        new: UpstreamKey,
    },
    /// No effect that matters to other modules.
    None,
}

/// One upstream.
#[derive(Debug, Clone)]
pub struct Upstream {
    /// The upstream's own record.
    pub record: UpstreamRecord,
    /// Position of that record in the store.
    pub at: Position,
    /// When a removal that may be a lapse takes effect; `None` if the record wasn't removed.
    removal_due: Option<Duration>,
    /// Until when the upstream is cold, according to its record.
    cold_until: Duration,
}

impl Upstream {
    /// Returns whether the upstream accepts new work: it is not draining.
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

    /// Returns whether the upstream is cold, according to its record.
    pub fn is_cold(&self, now: Duration) -> bool {
        now < self.cold_until
    }

    /// Returns whether a record of the same incarnation, at a position, is newer than the known
    /// one. Positions of different eras of the store can't be compared for this, since a backup
    /// holds old records; the upstream's sequence number decides then.
    fn is_older_than(&self, at: Position, record: &UpstreamRecord) -> bool {
        if self.at.era == at.era {
            return self.at <= at;
        }
        let known = (self.record.sequence, !self.accepts_work(), self.at);
        known < (record.sequence, record.state == UpstreamState::Draining, at)
    }

    /// Ignores a record that isn't newer, except that an upstream that drains in a later era of the
    /// store drains regardless of its sequence number.
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

    /// Returns whether the upstream's record may have lapsed, so that other upstreams are
    /// preferred.
    pub fn has_lapsed(&self) -> bool {
        self.removal_due.is_some()
    }
}

/// The removal of an upstream's record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Removal {
    /// Position of the removal in the store.
    at: Position,
    /// Latest known start time of the instance, so that an earlier incarnation doesn't reappear.
    started_ms: Option<u64>,
    /// Last known sequence number of that incarnation's record, so that a restored backup doesn't
    /// bring it back.
    sequence: Option<u64>,
    /// Whether the store holds a record there that can't be decoded.
    is_unusable: bool,
}

impl Removal {
    /// Returns whether a record is one that was already known when it was removed in an earlier era
    /// of the store: it comes from the backup that the store was restored from, and the upstream
    /// stays removed.
    fn is_from_backup(&mut self, at: Position, record: &UpstreamRecord) -> bool {
        if self.at.era == at.era || is_earlier(self.started_ms, record.started_ms) {
            return false;
        }
        // Without a known sequence number, the one of this record is the bound that later records
        // have to exceed.
        let known = *self.sequence.get_or_insert(record.sequence);
        record.sequence <= known
    }
}

/// All upstreams known to a node.
#[derive(Debug, Default)]
pub struct Directory {
    upstreams: SlotMap<UpstreamKey, Upstream>,
    /// Invariant: holds one entry for each upstream, by its instance.
    by_instance: HashMap<Arc<str>, UpstreamKey>,
    /// Invariant: holds each upstream under its current record.
    index: Index,
    /// Holds each upstream whose removal may be a lapse; may also hold keys whose lapse is over.
    lapsed: HashSet<UpstreamKey>,
    /// The newest removal of each instance that was ever removed, also if it is back, so that an
    /// older record from a peer doesn't restore the state before the removal.
    removed: HashMap<Arc<str>, Removal>,
    /// Until when removals may be lapses.
    lapses_until: Duration,
    /// Position from which on every change is known; earlier removals may be missing.
    floor: Position,
    /// Position after the last known record.
    end: Position,
}

impl Directory {
    /// Returns the upstream with this key.
    pub fn get(&self, key: UpstreamKey) -> Option<&Upstream> {
        self.upstreams.get(key)
    }

    /// Returns the position up to which records are known.
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

    /// Returns whether there are no upstreams.
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

    /// Lists the versions of the upstreams of each service.
    pub fn versions(&self) -> impl Iterator<Item = (&Arc<str>, impl Iterator<Item = &Arc<str>>)> {
        self.index.versions()
    }

    /// Returns the versions of the upstreams of a service, if it has any.
    pub fn versions_of(
        &self,
        service: &str,
    ) -> Option<(&Arc<str>, impl Iterator<Item = &Arc<str>>)> {
        self.index.versions_of(service)
    }

    /// Returns the upstream of an instance.
    pub fn of_instance(&self, instance: &str) -> Option<&Upstream> {
        self.upstreams.get(*self.by_instance.get(instance)?)
    }

    /// Lists the upstreams at an address.
    pub fn at_address(
        &self,
        address: SocketAddr,
    ) -> impl Iterator<Item = (UpstreamKey, &Upstream)> {
        let keys = self.index.with_address(address).iter();
        keys.filter_map(|key| Some((*key, self.upstreams.get(*key)?)))
    }

    /// Lists the upstreams whose incarnations have this short hash.
    pub fn by_incarnation(&self, incarnation_hash: u32) -> &[UpstreamKey] {
        self.index.with_incarnation(incarnation_hash)
    }

    /// Returns the upstream of an incarnation ([`UpstreamRecord::incarnation_id`]).
    pub fn find_incarnation(&self, incarnation_id: u64) -> Option<&Upstream> {
        let keys = self.by_incarnation(incarnation_id as u32).iter();
        keys.filter_map(|key| self.upstreams.get(*key))
            .find(|upstream| upstream.record.incarnation_id() == incarnation_id)
    }

    /// Finds the upstream of a service at an address.
    pub fn find(&self, service: &str, address: SocketAddr) -> Option<UpstreamKey> {
        let mut at_address = self.at_address(address);
        at_address.find(|(_, upstream)| &*upstream.record.service == service).map(|(key, _)| key)
    }

    /// Records that the store has just come back from an outage: removals may be lapses for
    /// [`RETURN_GRACE`].
    pub fn record_store_outage(&mut self, now: Duration) {
        self.lapses_until = now + RETURN_GRACE;
    }

    /// Returns the time for which removals may still be lapses.
    pub fn lapse_time_left(&self, now: Duration) -> Duration {
        self.lapses_until.saturating_sub(now)
    }

    /// Records that removals may be lapses for `time`, as reported by a peer.
    pub fn extend_lapse_window(&mut self, now: Duration, time: Duration) {
        self.lapses_until = self.lapses_until.max(now + time);
    }

    /// Records that all changes before `end` are known.
    pub fn advance(&mut self, end: Position) {
        self.end = self.end.max(end);
    }

    /// Lists the changes since a position, including removals; `None` if not all of them are known.
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

    /// Lists all upstreams as changes, except those whose records may have lapsed: a peer that
    /// doesn't know these receives them when their records are back.
    pub fn all_changes(&self, now: Duration) -> Vec<Change> {
        let present = self.upstreams.values().filter(|upstream| !upstream.has_lapsed());
        present.map(|upstream| upstream.change(now)).collect()
    }

    /// Applies a change.
    pub fn apply(&mut self, now: Duration, change: Change) -> Effect {
        self.end = self.end.max(change.at.next());
        match change.entry {
            Entry::Present(record) => self.insert(now, change.at, record),
            Entry::Removed => self.remove(now, &change.instance, change.at),
            Entry::Unusable => self.remove_unusable(&change.instance, change.at),
        }
    }

    /// Returns whether the entry at this position is already known to be unusable.
    pub fn is_known_unusable(&self, instance: &str, at: Position) -> bool {
        let removal = self.removed.get(instance);
        removal.is_some_and(|removal| removal.is_unusable && removal.at == at)
    }

    /// Applies some of the store's records before the full read is complete: upstreams that are
    /// missing among them are kept, and the position to read on from doesn't change.
    pub fn preview(&mut self, now: Duration, records: Vec<Change>) -> Vec<Effect> {
        let end = self.end;
        let effects = records.into_iter().map(|change| self.apply(now, change)).collect();
        self.end = end;
        effects
    }

    /// Applies a full read of the store's records; upstreams that are missing among them were
    /// removed. In a later era of the store than the known one, they may only be missing from the
    /// backup that the store was restored from; these write their records again if they are alive.
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

    /// Removes the lapsed upstreams whose records didn't come back in time.
    pub fn expire(&mut self, now: Duration) -> Vec<Effect> {
        let upstreams = &self.upstreams;
        let removal_due = |key: &UpstreamKey| upstreams.get(*key).and_then(|u| u.removal_due);
        self.lapsed.retain(|key| removal_due(key).is_some());
        let is_due = |key: &&UpstreamKey| removal_due(key).is_some_and(|due| due <= now);
        let gone: Vec<_> = self.lapsed.iter().filter(is_due).copied().collect();
        gone.into_iter().map(|key| self.remove_upstream(key)).collect()
    }

    fn insert(&mut self, now: Duration, at: Position, record: UpstreamRecord) -> Effect {
        let reported = record.cold_for.map(|cold_for| now + cold_for);
        let cold_until = reported.unwrap_or_default();
        if let Some(removal) = self.removed.get_mut(&record.instance) {
            if removal.at > at {
                removal.started_ms = removal.started_ms.max(record.started_ms);
                return self.remove_earlier_incarnation(&record);
            }
            if is_earlier(record.started_ms, removal.started_ms)
                || removal.is_from_backup(at, &record)
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
        let had_lapsed = upstream.removal_due.take().is_some();
        upstream.at = at;
        upstream.cold_until = reported.unwrap_or(upstream.cold_until);
        self.index.remove(key, &upstream.record);
        upstream.record = UpstreamRecord { started_ms: record.started_ms.or(known_ms), ..record };
        self.index.add(key, &upstream.record);
        match (was_ready, upstream.accepts_work()) {
            (true, false) => Effect::Draining(key),
            (_, true) if had_lapsed => Effect::Returned(key),
            _ => Effect::None,
        }
    }

    /// Removes the upstream of an instance if it started earlier than another incarnation that has
    /// already ended.
    fn remove_earlier_incarnation(&mut self, ended: &UpstreamRecord) -> Effect {
        let key = self.by_instance.get(&ended.instance).copied();
        let earlier =
            key.filter(|key| is_earlier(self.upstreams[*key].record.started_ms, ended.started_ms));
        earlier.map_or(Effect::None, |key| self.remove_upstream(key))
    }

    /// Replaces an upstream whose process has restarted by its new incarnation.
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

    /// Removes an upstream whose entry can't be decoded.
    fn remove_unusable(&mut self, instance: &Arc<str>, at: Position) -> Effect {
        match self.record_removal(instance, at, true) {
            Some(key) => self.remove_upstream(key),
            None => Effect::None,
        }
    }

    /// Remembers a removal unless a newer one is known; returns the upstream that it removes, if
    /// there is one.
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
        let known_started_ms = upstream.and_then(|upstream| upstream.record.started_ms);
        let is_removed = upstream.is_some_and(|upstream| upstream.at <= at);
        let started_ms = known_started_ms.max(before.and_then(|removal| removal.started_ms));
        let known_sequence = upstream.map(|upstream| upstream.record.sequence);
        let sequence = known_sequence.or(before.and_then(|removal| removal.sequence));
        let removal = Removal { at, started_ms, sequence, is_unusable };
        self.removed.insert(instance.clone(), removal);
        self.prune_removals();
        key.filter(|_| is_removed)
    }

    /// Forgets the older half of the removals when there are too many. A peer that asks for earlier
    /// changes then gets all records.
    fn prune_removals(&mut self) {
        if self.removed.len() <= REMOVALS_MAX {
            return;
        }
        let mut positions: Vec<_> = self.removed.values().map(|removal| removal.at).collect();
        let (_, median, _) = positions.select_nth_unstable(REMOVALS_MAX / 2);
        let median = *median;
        self.removed.retain(|_, removal| removal.at >= median);
        self.floor = self.floor.max(median);
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

/// Returns whether one start time is earlier than another. An unknown start time is neither earlier
/// nor later.
fn is_earlier(one_ms: Option<u64>, other_ms: Option<u64>) -> bool {
    one_ms.zip(other_ms).is_some_and(|(one_ms, other_ms)| one_ms < other_ms)
}

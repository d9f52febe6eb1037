//! The upstreams, as their own records in the platform's store describe them.
//!
//! Records are numbered by the store; for one upstream the highest number wins, whichever way
//! it came. A removal that may be a lapse during an outage of the store takes effect only after
//! [`RETURN_GRACE`].

use {
    crate::model::{UpstreamKey, UpstreamRecord, UpstreamState},
    slotmap::SlotMap,
    std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration},
};

/// How long after the store's return a removed record may come back. The platform
/// promises about two seconds; a little is added for the reading.
pub const RETURN_GRACE: Duration = Duration::from_millis(2_300);

/// Removals that are remembered for peers: about one day's at the long-run size, some 300 KB.
const REMOVALS_MAX: usize = 4_096;

/// A record, or the removal of one, with its number in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// This run of the upstream's process.
    pub instance: Arc<str>,
    /// Number in the store.
    pub offset: u64,
    /// What it says; `None` if the record was removed.
    pub record: Option<UpstreamRecord>,
}

/// What a change did, for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// A new upstream.
    Appeared(UpstreamKey),
    /// It is leaving.
    Draining(UpstreamKey),
    /// It gets no new work until it is back or gone.
    Held(UpstreamKey),
    /// It is back.
    Returned(UpstreamKey),
    /// It is gone, and its key with it.
    Gone(UpstreamKey),
    /// Nothing that matters here.
    None,
}

/// One upstream.
#[derive(Debug, Clone)]
pub struct Upstream {
    /// What it says of itself.
    pub record: UpstreamRecord,
    /// Number of that record in the store.
    pub offset: u64,
    /// When a removal takes effect that may be a lapse.
    removal_due: Option<Duration>,
}

impl Upstream {
    /// Tells whether it is to get new work.
    pub fn takes_work(&self) -> bool {
        self.record.state == UpstreamState::Ready
    }

    fn change(&self) -> Change {
        Change {
            instance: self.record.instance.clone(),
            offset: self.offset,
            record: Some(self.record.clone()),
        }
    }

    /// Tells whether its record has lapsed, so that others go first.
    pub fn is_doubtful(&self) -> bool {
        self.removal_due.is_some()
    }
}

/// All upstreams that a node knows.
#[derive(Debug, Default)]
pub struct Directory {
    upstreams: SlotMap<UpstreamKey, Upstream>,
    /// Invariant: one entry for each upstream, by its instance.
    by_instance: HashMap<Arc<str>, UpstreamKey>,
    /// Instances that were removed and the number of the removal, so that an older record from a
    /// peer doesn't bring them back.
    removed: HashMap<Arc<str>, u64>,
    /// Up to when removals may be lapses.
    lapses_until: Duration,
    /// Number from which on every change is known here; what was removed before may not be.
    floor: u64,
    /// Number that the next record gets.
    end: u64,
}

impl Directory {
    /// Returns an upstream.
    pub fn get(&self, key: UpstreamKey) -> Option<&Upstream> {
        self.upstreams.get(key)
    }

    /// Returns the number up to which records were taken in.
    pub fn end(&self) -> u64 {
        self.end
    }

    /// Lists all upstreams.
    pub fn iter(&self) -> impl Iterator<Item = (UpstreamKey, &Upstream)> {
        self.upstreams.iter()
    }

    /// Lists the upstreams of a service.
    pub fn of_service<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = (UpstreamKey, &'a Upstream)> {
        self.upstreams.iter().filter(move |(_, u)| u.record.service.as_ref() == service)
    }

    /// Finds the upstream of a service at an address.
    pub fn at(&self, service: &str, address: SocketAddr) -> Option<UpstreamKey> {
        self.of_service(service).find(|(_, u)| u.record.address == address).map(|(key, _)| key)
    }

    /// Says that the store did not answer until now: removals may be lapses for a while.
    pub fn store_was_out(&mut self, now: Duration) {
        self.lapses_until = now + RETURN_GRACE;
    }

    /// Returns the time for which removals may still be lapses.
    pub fn lapses_for(&self, now: Duration) -> Duration {
        self.lapses_until.saturating_sub(now)
    }

    /// Says that removals may be lapses for some time, as a peer has found.
    pub fn lapses_known(&mut self, now: Duration, time: Duration) {
        self.lapses_until = self.lapses_until.max(now + time);
    }

    /// Says that everything before a number was taken in.
    pub fn advance(&mut self, end: u64) {
        self.end = self.end.max(end);
    }

    /// Lists what changed since a number, removals included; `None` if that isn't known here.
    pub fn changes_since(&self, since: u64) -> Option<Vec<Change>> {
        if since < self.floor {
            return None;
        }
        let present = self.upstreams.values().filter(|u| u.offset >= since && !u.is_doubtful());
        let present = present.map(Upstream::change);
        let removed = self.removed.iter().filter(|(_, offset)| **offset >= since);
        let removed = removed.map(|(instance, offset)| Change {
            instance: instance.clone(),
            offset: *offset,
            record: None,
        });
        Some(present.chain(removed).collect())
    }

    /// Lists all upstreams as changes, without those whose records have lapsed: who doesn't know
    /// these yet learns of them when they are back.
    pub fn all_changes(&self) -> Vec<Change> {
        let present = self.upstreams.values().filter(|upstream| !upstream.is_doubtful());
        present.map(Upstream::change).collect()
    }

    /// Takes in a change.
    pub fn apply(&mut self, now: Duration, change: Change) -> Effect {
        self.end = self.end.max(change.offset + 1);
        match change.record {
            Some(record) => self.insert(change.offset, record),
            None => self.remove(now, &change.instance, change.offset),
        }
    }

    /// Takes in all records of the store at once; what is missing among them was removed.
    pub fn replace(&mut self, now: Duration, records: Vec<Change>, end: u64) -> Vec<Effect> {
        let present: Vec<_> = records.iter().map(|change| change.instance.clone()).collect();
        let mut effects: Vec<_> =
            records.into_iter().map(|change| self.apply(now, change)).collect();
        let missing = |instance: &&Arc<str>| !present.contains(instance);
        let missing: Vec<_> = self.by_instance.keys().filter(missing).cloned().collect();
        for instance in missing {
            effects.push(self.remove(now, &instance, end.saturating_sub(1)));
        }
        self.end = end;
        self.floor = end;
        effects
    }

    /// Ends the doubtful time of those that did not come back.
    pub fn expire(&mut self, now: Duration) -> Vec<Effect> {
        let due = |u: &Upstream| u.removal_due.is_some_and(|due| due <= now);
        let gone: Vec<_> = self.upstreams.iter().filter(|(_, u)| due(u)).map(|(k, _)| k).collect();
        gone.into_iter().map(|key| self.drop_upstream(key)).collect()
    }

    fn insert(&mut self, offset: u64, record: UpstreamRecord) -> Effect {
        if self.removed.get(&record.instance).is_some_and(|removed| *removed > offset) {
            return Effect::None;
        }
        self.removed.remove(&record.instance);
        let Some(key) = self.by_instance.get(&record.instance).copied() else {
            let instance = record.instance.clone();
            let upstream = Upstream { record, offset, removal_due: None };
            let key = self.upstreams.insert(upstream);
            self.by_instance.insert(instance, key);
            return Effect::Appeared(key);
        };
        let upstream = &mut self.upstreams[key];
        if offset < upstream.offset {
            return Effect::None;
        }
        let was_ready = upstream.takes_work();
        let was_held = upstream.removal_due.take().is_some();
        upstream.offset = offset;
        upstream.record = record;
        match (was_ready, upstream.takes_work()) {
            (true, false) => Effect::Draining(key),
            (_, true) if was_held => Effect::Returned(key),
            _ => Effect::None,
        }
    }

    fn remove(&mut self, now: Duration, instance: &Arc<str>, offset: u64) -> Effect {
        let key = self.by_instance.get(instance).copied();
        if key.is_some_and(|key| offset < self.upstreams[key].offset) {
            return Effect::None;
        }
        self.removed.insert(instance.clone(), offset);
        self.forget_old_removals();
        let Some(key) = key else {
            return Effect::None;
        };
        if now < self.lapses_until && self.upstreams[key].takes_work() {
            self.upstreams[key].removal_due.get_or_insert(self.lapses_until);
            return Effect::Held(key);
        }
        self.drop_upstream(key)
    }

    /// Forgets the older half of the removals when there are too many; who asks for changes from
    /// before gets all records.
    fn forget_old_removals(&mut self) {
        if self.removed.len() <= REMOVALS_MAX {
            return;
        }
        let mut offsets: Vec<_> = self.removed.values().copied().collect();
        let (_, middle, _) = offsets.select_nth_unstable(REMOVALS_MAX / 2);
        let middle = *middle;
        self.removed.retain(|_, offset| *offset >= middle);
        self.floor = self.floor.max(middle);
    }

    fn drop_upstream(&mut self, key: UpstreamKey) -> Effect {
        let Some(upstream) = self.upstreams.remove(key) else {
            return Effect::None;
        };
        self.by_instance.remove(&upstream.record.instance);
        Effect::Gone(key)
    }
}

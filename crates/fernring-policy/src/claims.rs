//! The fold of the claim stream, which decides which incarnation may run the side effects of a
//! key.
//!
//! Every node reads the stream and folds it in the same way. The first valid record of a key, by
//! log order, decides its owner. This needs no lease and no coordinator, and an owner that was
//! paused does no harm. `docs/design/claims.md` compares the alternatives.

use {
    fernring_core::{
        claim::{ClaimBatch, ClaimEntry, ClaimKind, ClaimPage, ClaimRecord},
        ids::{Incarnation, ScopedKey},
    },
    std::{
        collections::{BTreeMap, HashMap},
        net::SocketAddr,
        time::Duration,
    },
};

/// Most entries in one record, which keeps a record below a few hundred kilobytes.
const BATCH_MAX_ENTRIES: usize = 1_000;

/// The rules for valid claims. Every node must use the same values.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClaimRules {
    /// Maximum age of a key that a claim may name, in milliseconds before the record's log time.
    pub horizon_ms: u64,
    /// Largest difference between any two clocks, in milliseconds.
    pub skew_ms: u64,
}

/// The owner of a key, from the record that decided it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Owner {
    /// The incarnation that owns the key.
    pub incarnation: Incarnation,
    /// Its peer address.
    pub address: SocketAddr,
    /// The highest kind of claim record that the owner has appended for the key.
    pub kind: ClaimKind,
}

/// The decision whether this node may run a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// No valid record of the key has been read.
    Undecided,
    /// This incarnation owns the key and may run it, once.
    Won,
    /// Another incarnation owns the key, or the key is used up.
    Owned(Owner),
    /// This incarnation's claim is the first that was read, but the records read don't go back
    /// far enough to exclude an earlier claim.
    HistoryIncomplete,
}

/// This node's view of the claim stream.
#[derive(Debug)]
pub struct ClaimView {
    own_incarnation: Incarnation,
    rules: ClaimRules,
    /// Offset of the next record to read.
    next_offset: u64,
    /// Log time from which the records were read without a gap; 0 if the view goes back to the
    /// first record of the stream. Invariant: every record with a later log time was read, up to
    /// `next_offset`.
    history_from_ms: Option<u64>,
    /// Log time of the newest record or page. Never goes backwards.
    log_time_ms: u64,
    owners: HashMap<ScopedKey, Owner>,
    /// Keys by minting time, for removing those past the horizon.
    by_minted_ms: BTreeMap<u64, Vec<ScopedKey>>,
}

impl ClaimView {
    /// Creates an empty view for an incarnation that has not read the stream yet.
    pub fn new(own_incarnation: Incarnation, rules: ClaimRules) -> Self {
        Self {
            own_incarnation,
            rules,
            next_offset: 0,
            history_from_ms: None,
            log_time_ms: 0,
            owners: HashMap::new(),
            by_minted_ms: BTreeMap::new(),
        }
    }

    /// Returns the offset from which to read the next page.
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Returns the log time from which the view has no gap; `None` before the first page.
    pub fn history_from_ms(&self) -> Option<u64> {
        self.history_from_ms
    }

    /// Returns the number of keys in the view.
    pub fn len(&self) -> usize {
        self.owners.len()
    }

    /// Returns whether the view holds no key.
    pub fn is_empty(&self) -> bool {
        self.owners.is_empty()
    }

    /// Applies a page of the stream and returns the keys that its valid records name.
    pub fn apply_page(&mut self, page: ClaimPage) -> Vec<ScopedKey> {
        if page.from != self.next_offset {
            return Vec::new();
        }
        self.update_history_start(&page);
        let mut changed_keys = Vec::new();
        for record in page.records {
            self.fold_record(record, &mut changed_keys);
        }
        if self.next_offset >= page.next_offset {
            self.log_time_ms = self.log_time_ms.max(page.time_ms);
        }
        self.forget_expired();
        changed_keys
    }

    /// Decides whether this incarnation may run a key.
    pub fn verdict(&self, key: &ScopedKey) -> Verdict {
        let Some(owner) = self.owners.get(key) else {
            return Verdict::Undecided;
        };
        if owner.incarnation != self.own_incarnation || owner.kind != ClaimKind::Claim {
            return Verdict::Owned(*owner);
        }
        if self.covers_history_of(key) { Verdict::Won } else { Verdict::HistoryIncomplete }
    }

    /// Returns whether the view goes back far enough to have seen every claim of a key.
    pub fn covers_history_of(&self, key: &ScopedKey) -> bool {
        let minted_ms = key.key.minted_ms().unwrap_or(0);
        let earliest_claim_ms = minted_ms.saturating_sub(self.rules.skew_ms);
        self.history_from_ms
            .is_some_and(|history_from_ms| history_from_ms < earliest_claim_ms.max(1))
    }

    fn update_history_start(&mut self, page: &ClaimPage) {
        let is_first_page = self.history_from_ms.is_none();
        let has_gap = page.first_offset > self.next_offset;
        if !is_first_page && !has_gap {
            return;
        }
        self.next_offset = self.next_offset.max(page.first_offset);
        let is_from_first_record = is_first_page && page.first_offset == 0 && page.from == 0;
        let first_record_ms = page.records.first().map(|record| record.time_ms);
        let history_from_ms =
            if is_from_first_record { 0 } else { first_record_ms.unwrap_or(page.time_ms) };
        self.history_from_ms = Some(history_from_ms);
    }

    fn fold_record(&mut self, record: ClaimRecord, changed_keys: &mut Vec<ScopedKey>) {
        if record.offset != self.next_offset {
            return;
        }
        self.next_offset += 1;
        self.log_time_ms = self.log_time_ms.max(record.time_ms);
        let Some(batch) = record.batch else {
            return;
        };
        for entry in batch.entries {
            if self.is_valid(&entry.key) {
                changed_keys.push(entry.key.clone());
                self.fold_entry(batch.incarnation, batch.address, entry);
            }
        }
    }

    fn fold_entry(&mut self, incarnation: Incarnation, address: SocketAddr, entry: ClaimEntry) {
        let minted_ms = entry.key.key.minted_ms().unwrap_or(0);
        match self.owners.get_mut(&entry.key) {
            Some(owner) if owner.incarnation == incarnation => {
                owner.kind = owner.kind.max(entry.kind);
            }
            Some(_) => {}
            None => {
                self.by_minted_ms.entry(minted_ms).or_default().push(entry.key.clone());
                let owner = Owner { incarnation, address, kind: entry.kind };
                self.owners.insert(entry.key, owner);
            }
        }
    }

    /// Returns whether a record may name the key. Uses the log's own time, so that every reader
    /// decides alike.
    fn is_valid(&self, key: &ScopedKey) -> bool {
        let Some(minted_ms) = key.key.minted_ms() else {
            return false;
        };
        let is_recent_enough = minted_ms + self.rules.horizon_ms >= self.log_time_ms;
        let is_not_in_future = minted_ms <= self.log_time_ms + self.rules.skew_ms;
        is_recent_enough && is_not_in_future
    }

    fn forget_expired(&mut self) {
        let oldest_kept_ms = self.log_time_ms.saturating_sub(self.rules.horizon_ms);
        while let Some(entry) = self.by_minted_ms.first_entry() {
            if *entry.key() >= oldest_kept_ms {
                return;
            }
            for key in entry.remove() {
                self.owners.remove(&key);
            }
        }
    }
}

/// Entries that this node still has to append to the claim stream.
///
/// Invariant: at most one append is in flight; waiting entries go into the next one. Appends are at
/// least the interval apart, so the append rate is bounded even if the log answers fast.
#[derive(Debug, Default)]
pub struct ClaimQueue {
    waiting: Vec<ClaimEntry>,
    in_flight: Vec<ClaimEntry>,
    /// Earliest time of the next append.
    next_append_at: Duration,
    failing_since: Option<Duration>,
}

impl ClaimQueue {
    /// Adds an entry to the next record.
    pub fn push(&mut self, entry: ClaimEntry) {
        self.waiting.push(entry);
    }

    /// Takes the entries of the next record if one may be appended now; `interval` is the least
    /// time until the append after it.
    pub fn take_batch(&mut self, now: Duration, interval: Duration) -> Option<Vec<ClaimEntry>> {
        if self.waiting.is_empty() || !self.in_flight.is_empty() || now < self.next_append_at {
            return None;
        }
        self.next_append_at = now + interval;
        let count = self.waiting.len().min(BATCH_MAX_ENTRIES);
        self.in_flight = self.waiting.drain(..count).collect();
        Some(self.in_flight.clone())
    }

    /// Records that the append in flight took effect.
    pub fn record_success(&mut self) {
        self.in_flight.clear();
        self.failing_since = None;
    }

    /// Records that it is unknown whether the append in flight took effect. Its entries are
    /// appended again after a pause, which does no harm if the log already holds them.
    pub fn record_unknown_outcome(&mut self, now: Duration, pause: Duration) {
        let mut retried = std::mem::take(&mut self.in_flight);
        retried.append(&mut self.waiting);
        self.waiting = retried;
        self.next_append_at = self.next_append_at.max(now + pause);
        self.failing_since.get_or_insert(now);
    }

    /// Keeps only the waiting entries that are still wanted: the view does not show them yet, and a
    /// request still needs them.
    pub fn retain(&mut self, wanted: impl Fn(&ClaimEntry) -> bool) {
        self.waiting.retain(wanted);
    }

    /// Returns the time of the next append, if entries wait and no append is in flight.
    pub fn next_append_at(&self) -> Option<Duration> {
        let is_waiting = !self.waiting.is_empty() && self.in_flight.is_empty();
        is_waiting.then_some(self.next_append_at)
    }

    /// Returns whether appends have been failing for at least `patience`.
    pub fn is_failing(&self, now: Duration, patience: Duration) -> bool {
        self.failing_since.is_some_and(|since| now >= since + patience)
    }
}

/// Builds the claim record of one append.
pub fn build_batch(
    own_incarnation: Incarnation,
    address: SocketAddr,
    entries: Vec<ClaimEntry>,
) -> ClaimBatch {
    ClaimBatch { incarnation: own_incarnation, address, entries }
}

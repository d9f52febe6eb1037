//! Who may run the side effects of a key: the fold of the claim stream.
//!
//! Every node reads the stream and folds it alike. The first valid record of a key decides, by
//! log order, so no lease and no coordinator is needed and a holder that was paused is harmless.
//! `docs/design/claims.md` weighs the alternatives.

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

/// Most entries in one record, so that a record stays under a few hundred kilobytes.
const BATCH_MAX_ENTRIES: usize = 1_000;

/// The rules by which a claim is judged. Every node must use the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClaimRules {
    /// Oldest key that a claim may name, in milliseconds before the record's log time.
    pub horizon_ms: u64,
    /// Largest difference between any two clocks, in milliseconds.
    pub skew_ms: u64,
}

/// The record that decided a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Owner {
    /// The incarnation that owns the key.
    pub incarnation: Incarnation,
    /// Its peer address.
    pub address: SocketAddr,
    /// The latest that the owner said of the key.
    pub kind: ClaimKind,
}

/// Whether this node may run a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// No valid record of the key has been read.
    Undecided,
    /// This incarnation owns the key and may run it, once.
    Won,
    /// The key is owned by another incarnation, or is used up.
    Owned(Owner),
    /// This incarnation's claim is the first that was read, but the reading began too late to
    /// exclude an earlier one.
    HistoryIncomplete,
}

/// What this node knows of the claim stream.
#[derive(Debug)]
pub struct ClaimView {
    me: Incarnation,
    rules: ClaimRules,
    /// Offset of the next record to read.
    next_offset: u64,
    /// Log time from which the reading has no gap; 0 if it goes back to the first record ever.
    /// Invariant: every record with a log time above it was read, up to `next_offset`.
    history_from_ms: Option<u64>,
    /// Log time of the newest record or answer. Never goes backwards.
    log_time_ms: u64,
    owners: HashMap<ScopedKey, Owner>,
    /// Keys by minting time, for forgetting those past the horizon.
    by_minting: BTreeMap<u64, Vec<ScopedKey>>,
}

impl ClaimView {
    /// Creates the view of an incarnation that has read nothing.
    pub fn new(me: Incarnation, rules: ClaimRules) -> Self {
        Self {
            me,
            rules,
            next_offset: 0,
            history_from_ms: None,
            log_time_ms: 0,
            owners: HashMap::new(),
            by_minting: BTreeMap::new(),
        }
    }

    /// Returns the offset to read from.
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Returns the log time from which the view has no gap; `None` before the first answer.
    pub fn history_from_ms(&self) -> Option<u64> {
        self.history_from_ms
    }

    /// Returns the number of keys that are remembered.
    pub fn len(&self) -> usize {
        self.owners.len()
    }

    /// Tells whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.owners.is_empty()
    }

    /// Folds a page in and returns the keys that it said something of.
    pub fn apply_page(&mut self, page: ClaimPage) -> Vec<ScopedKey> {
        if page.from != self.next_offset {
            return Vec::new();
        }
        self.note_start(&page);
        let mut touched = Vec::new();
        for record in page.records {
            self.fold_record(record, &mut touched);
        }
        if self.next_offset >= page.next_offset {
            self.log_time_ms = self.log_time_ms.max(page.time_ms);
        }
        self.forget_expired();
        touched
    }

    /// Tells whether this incarnation may run a key.
    pub fn verdict(&self, key: &ScopedKey) -> Verdict {
        let Some(owner) = self.owners.get(key) else {
            return Verdict::Undecided;
        };
        if owner.incarnation != self.me || owner.kind != ClaimKind::Claim {
            return Verdict::Owned(*owner);
        }
        if self.covers_history_of(key) { Verdict::Won } else { Verdict::HistoryIncomplete }
    }

    /// Tells whether the reading began early enough to have seen every claim of a key.
    pub fn covers_history_of(&self, key: &ScopedKey) -> bool {
        let minted_ms = key.key.minted_ms().unwrap_or(0);
        let earliest_claim_ms = minted_ms.saturating_sub(self.rules.skew_ms);
        self.history_from_ms.is_some_and(|began_ms| began_ms < earliest_claim_ms.max(1))
    }

    fn note_start(&mut self, page: &ClaimPage) {
        let first_answer = self.history_from_ms.is_none();
        let has_gap = page.first_offset > self.next_offset;
        if !first_answer && !has_gap {
            return;
        }
        self.next_offset = self.next_offset.max(page.first_offset);
        let complete = first_answer && page.first_offset == 0 && page.from == 0;
        let first_record_ms = page.records.first().map(|record| record.time_ms);
        let began_ms = if complete { 0 } else { first_record_ms.unwrap_or(page.time_ms) };
        self.history_from_ms = Some(began_ms);
    }

    fn fold_record(&mut self, record: ClaimRecord, touched: &mut Vec<ScopedKey>) {
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
                touched.push(entry.key.clone());
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
                self.by_minting.entry(minted_ms).or_default().push(entry.key.clone());
                let owner = Owner { incarnation, address, kind: entry.kind };
                self.owners.insert(entry.key, owner);
            }
        }
    }

    /// Judges a record by the log's own time, so that every reader judges alike.
    fn is_valid(&self, key: &ScopedKey) -> bool {
        let Some(minted_ms) = key.key.minted_ms() else {
            return false;
        };
        let not_too_old = minted_ms + self.rules.horizon_ms >= self.log_time_ms;
        let not_too_new = minted_ms <= self.log_time_ms + self.rules.skew_ms;
        not_too_old && not_too_new
    }

    fn forget_expired(&mut self) {
        let oldest_ms = self.log_time_ms.saturating_sub(self.rules.horizon_ms);
        while let Some(entry) = self.by_minting.first_entry() {
            if *entry.key() >= oldest_ms {
                return;
            }
            for key in entry.remove() {
                self.owners.remove(&key);
            }
        }
    }
}

/// What this node still has to append to the claim stream.
///
/// Invariant: at most one append is in flight; everything that waits goes into the next one, which
/// comes no sooner than the interval after the last, so that the log's rate is kept to however
/// fast it answers.
#[derive(Debug, Default)]
pub struct ClaimQueue {
    waiting: Vec<ClaimEntry>,
    in_flight: Vec<ClaimEntry>,
    /// When the next append may be sent.
    next_at: Duration,
    failing_since: Option<Duration>,
}

impl ClaimQueue {
    /// Adds an entry to the next record.
    pub fn push(&mut self, entry: ClaimEntry) {
        self.waiting.push(entry);
    }

    /// Takes the next record's entries if one may be appended now; `interval` is the least time
    /// to the one after it.
    pub fn take_batch(&mut self, now: Duration, interval: Duration) -> Option<Vec<ClaimEntry>> {
        if self.waiting.is_empty() || !self.in_flight.is_empty() || now < self.next_at {
            return None;
        }
        self.next_at = now + interval;
        let count = self.waiting.len().min(BATCH_MAX_ENTRIES);
        self.in_flight = self.waiting.drain(..count).collect();
        Some(self.in_flight.clone())
    }

    /// Notes that the append in flight took effect.
    pub fn record_success(&mut self) {
        self.in_flight.clear();
        self.failing_since = None;
    }

    /// Notes that it is not known whether the append in flight took effect; its entries are
    /// appended again after a pause, which is harmless if they were there already.
    pub fn record_unknown_outcome(&mut self, now: Duration, pause: Duration) {
        let mut again = std::mem::take(&mut self.in_flight);
        again.append(&mut self.waiting);
        self.waiting = again;
        self.next_at = self.next_at.max(now + pause);
        self.failing_since.get_or_insert(now);
    }

    /// Drops entries that the view already shows or that nobody waits for any more.
    pub fn retain(&mut self, wanted: impl Fn(&ClaimEntry) -> bool) {
        self.waiting.retain(wanted);
    }

    /// Returns when the next append may be sent, if entries wait for that time alone.
    pub fn next_append_at(&self) -> Option<Duration> {
        let waits = !self.waiting.is_empty() && self.in_flight.is_empty();
        waits.then_some(self.next_at)
    }

    /// Tells whether appends have failed for longer than `patience`.
    pub fn is_failing(&self, now: Duration, patience: Duration) -> bool {
        self.failing_since.is_some_and(|since| now >= since + patience)
    }
}

/// Builds the record of a batch.
pub fn build_batch(me: Incarnation, address: SocketAddr, entries: Vec<ClaimEntry>) -> ClaimBatch {
    ClaimBatch { incarnation: me, address, entries }
}

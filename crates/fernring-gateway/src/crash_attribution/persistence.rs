//! Keeps quarantined requests in the store, so that they survive a restart of all nodes at once.

use {
    super::CrashAttribution,
    crate::{
        crash_detection::Incarnation,
        fingerprint::Fingerprint,
        log,
        quarantine::CrashRecord,
        wire::{KeyedRecord, StoreError, Topic},
    },
    fernring_core::{clock::saturating_ms, text::LogLine},
    serde::{Deserialize, Serialize},
    std::{collections::BTreeSet, time::Duration},
};

/// Prefix of the keys of these records among the records of nodes, which every node reads at its
/// start anyway.
const RECORD_KEY_PREFIX: &str = "turned-away/";

/// Requests whose records are in the store, as far as this node knows.
#[derive(Debug, Default)]
pub(super) struct PersistedFingerprints(BTreeSet<Fingerprint>);

/// A quarantined request as stored, in TOML.
#[derive(Debug, Serialize, Deserialize)]
struct QuarantineRecord {
    /// When the last incarnation crashed, in Unix milliseconds.
    at_ms: u64,
    ended: Vec<CrashedIncarnation>,
}

#[derive(Debug, Serialize, Deserialize)]
struct CrashedIncarnation {
    instance: String,
    started_ms: Option<u64>,
}

fn record_key(fingerprint: Fingerprint) -> String {
    format!("{RECORD_KEY_PREFIX}{fingerprint}")
}

impl CrashAttribution {
    /// Writes missing records and removes expired ones, among those whose keys this node owns.
    pub(super) async fn persist(&self) {
        let (now, quarantined) = (self.now(), self.quarantined_fingerprints());
        let is_mine = |fingerprint: &Fingerprint| {
            self.peers.owner(&record_key(*fingerprint)) == self.peers.address()
        };
        let missing_records = quarantined
            .iter()
            .filter(|fingerprint| !self.persisted.borrow().0.contains(fingerprint));
        for fingerprint in missing_records.copied().filter(is_mine).collect::<Vec<_>>() {
            let record = self.record(now, fingerprint);
            self.write_record(fingerprint, record.as_deref()).await;
        }
        let expired =
            self.persisted.borrow().0.difference(&quarantined).copied().collect::<Vec<_>>();
        for fingerprint in expired {
            match is_mine(&fingerprint) {
                true => self.write_record(fingerprint, None).await,
                false => drop(self.persisted.borrow_mut().0.remove(&fingerprint)),
            }
        }
    }

    fn quarantined_fingerprints(&self) -> BTreeSet<Fingerprint> {
        self.quarantine.borrow().quarantined().map(|(fingerprint, _)| fingerprint).collect()
    }

    fn record(&self, now: Duration, fingerprint: Fingerprint) -> Option<String> {
        let quarantine = self.quarantine.borrow();
        let (_, at) =
            quarantine.quarantined().find(|(quarantined, _)| *quarantined == fingerprint)?;
        let ended =
            quarantine.crashes_of(fingerprint).into_iter().map(|incarnation| CrashedIncarnation {
                instance: incarnation.instance.to_string(),
                started_ms: incarnation.started_ms,
            });
        let age_ms = saturating_ms(now.saturating_sub(at));
        let at_ms = self.clock.now().wall_ms().saturating_sub(age_ms);
        match toml::to_string(&QuarantineRecord { at_ms, ended: ended.collect() }) {
            Ok(record) => Some(record),
            Err(error) => {
                log::warn(LogLine::event("suspect_not_kept").with("error", error));
                None
            }
        }
    }

    /// Forgets which records are in the store after it was restored from a backup: they may be
    /// lost, and are written again.
    pub fn handle_store_restored(&self) {
        self.persisted.borrow_mut().0.clear();
    }

    /// Writes a record, or removes it if `record` is `None`. A failed write is repeated in the next
    /// round.
    async fn write_record(&self, fingerprint: Fingerprint, record: Option<&str>) {
        let value = record.map(str::as_bytes);
        let written = self.store.write(Topic::Nodes, &record_key(fingerprint), value).await;
        match (written, record) {
            (Ok(()), Some(_)) => drop(self.persisted.borrow_mut().0.insert(fingerprint)),
            (Ok(()), None) => drop(self.persisted.borrow_mut().0.remove(&fingerprint)),
            (Err(error), _) => self.log_not_persisted(fingerprint, &error),
        }
    }

    fn log_not_persisted(&self, fingerprint: Fingerprint, error: &StoreError) {
        let line = LogLine::event("suspect_not_kept").with("content", fingerprint);
        log::warn(line.with("error", error));
    }

    /// Attributes the crashes of the records that a starting node finds among those of nodes.
    /// Records older than the lifetime of an attribution are removed by their owner.
    pub fn load_records(&self, records: &[KeyedRecord]) {
        for record in records {
            let Some(fingerprint) =
                record.key.strip_prefix(RECORD_KEY_PREFIX).and_then(Fingerprint::parse)
            else {
                continue;
            };
            let value = record.value.as_deref().and_then(|value| std::str::from_utf8(value).ok());
            let Some(stored) =
                value.and_then(|value| toml::from_str::<QuarantineRecord>(value).ok())
            else {
                log::warn(LogLine::event("suspect_unreadable").with("content", fingerprint));
                continue;
            };
            self.persisted.borrow_mut().0.insert(fingerprint);
            let age_ms = self.clock.now().wall_ms().saturating_sub(stored.at_ms);
            let at = self.now().saturating_sub(Duration::from_millis(age_ms));
            for crash in stored.ended {
                let incarnation =
                    Incarnation { instance: crash.instance.into(), started_ms: crash.started_ms };
                self.attribute(&CrashRecord { incarnation, at, fingerprints: vec![fingerprint] });
            }
        }
    }
}

//! Keeps what is quarantined in the store, so that it survives a restart of all nodes at once.

use {
    super::CrashAttribution,
    crate::{
        crash_detection::Incarnation,
        fingerprint::{Fingerprint, PartKey, RequestTraits},
        log,
        part_quarantine::PartCrashRecord,
        quarantine::{ATTRIBUTION_LIFETIME, CrashRecord},
        wire::{KeyedRecord, Topic},
    },
    fernring_core::{clock::saturating_ms, text::LogLine},
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    std::{
        collections::{BTreeMap, BTreeSet},
        fmt,
        time::Duration,
    },
};

/// Prefix of the keys of quarantined requests among the records of nodes, which every node reads at
/// its start anyway.
const RECORD_KEY_PREFIX: &str = "turned-away/";
/// Prefix of the keys of quarantined parts of prompts.
const PART_RECORD_KEY_PREFIX: &str = "turned-away-part/";

/// Keys of the records that are in the store, as far as this node knows.
#[derive(Debug, Default)]
pub(super) struct PersistedKeys {
    stored: BTreeSet<String>,
    /// Those of requests and parts that were quarantined at this node since its start.
    held: BTreeSet<String>,
}

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

/// A quarantined part of prompts as stored, in TOML.
#[derive(Debug, Serialize, Deserialize)]
struct PartQuarantineRecord {
    service: String,
    /// Identifier of the part, in hexadecimal.
    part: String,
    ended: Vec<PartCrashEntry>,
}

#[derive(Debug, Serialize, Deserialize)]
struct PartCrashEntry {
    /// When the incarnation crashed, in Unix milliseconds.
    at_ms: u64,
    instance: String,
    started_ms: Option<u64>,
    /// Fingerprint of the request that was in flight there.
    content: String,
}

fn record_key(fingerprint: Fingerprint) -> String {
    format!("{RECORD_KEY_PREFIX}{fingerprint}")
}

/// Returns the key of a part's record. Names of services may have characters that keys may not.
fn part_record_key(part: &PartKey) -> String {
    let digest = Fingerprint::of(None, &part.service, &part.id.to_be_bytes());
    format!("{PART_RECORD_KEY_PREFIX}{digest}")
}

impl PersistedKeys {
    fn forget(&mut self, key: &str) {
        self.stored.remove(key);
        self.held.remove(key);
    }
}

impl CrashAttribution {
    /// Writes missing records and removes expired ones, among those whose keys this node owns.
    pub(super) async fn persist(&self) {
        let quarantined = self.quarantined_records();
        let is_mine = |key: &String| self.peers.owner(key) == self.peers.address();
        let missing =
            quarantined.iter().filter(|(key, _)| !self.persisted.borrow().stored.contains(*key));
        for (key, record) in missing.filter(|(key, _)| is_mine(key)).collect::<Vec<_>>() {
            self.write_record(key, Some(record)).await;
        }
        self.persisted.borrow_mut().held.extend(quarantined.keys().cloned());
        let persisted = self.persisted.borrow().stored.clone();
        for key in persisted.iter().filter(|key| !quarantined.contains_key(*key)) {
            match is_mine(key) {
                true if self.is_surely_over(key) => self.write_record(key, None).await,
                true => {}
                false => self.persisted.borrow_mut().forget(key),
            }
        }
    }

    /// Returns whether what isn't quarantined here needs no record anywhere. If this node has never
    /// held it as quarantined, its clock may be ahead of the one that wrote the record.
    fn is_surely_over(&self, key: &str) -> bool {
        let has_run_long = self.clock.now().monotonic >= self.started_at + ATTRIBUTION_LIFETIME;
        has_run_long || self.persisted.borrow().held.contains(key)
    }

    /// Returns the records of all that is quarantined, by key.
    fn quarantined_records(&self) -> BTreeMap<String, String> {
        let quarantine = self.quarantine.borrow();
        let requests = quarantine.quarantined().filter_map(|(fingerprint, at)| {
            let ended = quarantine.crashes_of(fingerprint).into_iter();
            let ended = ended.map(|incarnation| CrashedIncarnation {
                instance: incarnation.instance.to_string(),
                started_ms: incarnation.started_ms,
            });
            let record = QuarantineRecord { at_ms: self.wall_ms(at), ended: ended.collect() };
            Some((record_key(fingerprint), encode(&record, fingerprint)?))
        });
        let part_quarantine = self.part_quarantine.borrow();
        let parts = part_quarantine.quarantined().filter_map(|part| {
            let ended = part_quarantine.crashes_of(part).iter().map(|crash| PartCrashEntry {
                at_ms: self.wall_ms(crash.at),
                instance: crash.incarnation.instance.to_string(),
                started_ms: crash.incarnation.started_ms,
                content: crash.request.to_string(),
            });
            let record = PartQuarantineRecord {
                service: part.service.to_string(),
                part: format!("{:x}", part.id),
                ended: ended.collect(),
            };
            Some((part_record_key(part), encode(&record, part)?))
        });
        requests.chain(parts).collect()
    }

    /// Forgets which records are in the store after it was restored from a backup: they may be
    /// lost, and are written again.
    pub fn handle_store_restored(&self) {
        self.persisted.borrow_mut().stored.clear();
    }

    /// Writes a record, or removes it if `record` is `None`. A failed write is repeated in the next
    /// round.
    async fn write_record(&self, key: &str, record: Option<&String>) {
        let value = record.map(String::as_bytes);
        let written = self.store.write(Topic::Nodes, key, value).await;
        match (written, record) {
            (Ok(()), Some(_)) => drop(self.persisted.borrow_mut().stored.insert(key.to_owned())),
            (Ok(()), None) => self.persisted.borrow_mut().forget(key),
            (Err(error), _) => log_not_persisted(key, &error),
        }
    }

    /// Attributes the crashes of the records that a starting node finds among those of nodes.
    /// Records older than the lifetime of an attribution are removed by their owner.
    pub fn load_records(&self, records: &[KeyedRecord]) {
        for record in records {
            if let Some(fingerprint) =
                record.key.strip_prefix(RECORD_KEY_PREFIX).and_then(Fingerprint::parse)
            {
                self.load_request(record, fingerprint);
            } else if record.key.starts_with(PART_RECORD_KEY_PREFIX) {
                self.load_part(record);
            }
        }
    }

    fn load_request(&self, record: &KeyedRecord, fingerprint: Fingerprint) {
        let Some(stored) = decode::<QuarantineRecord>(record) else {
            return;
        };
        self.persisted.borrow_mut().stored.insert(record.key.to_string());
        let at = self.time_of(stored.at_ms);
        for crash in stored.ended {
            let incarnation =
                Incarnation { instance: crash.instance.into(), started_ms: crash.started_ms };
            self.attribute(&CrashRecord { incarnation, at, fingerprints: vec![fingerprint] });
        }
    }

    fn load_part(&self, record: &KeyedRecord) {
        let Some(stored) = decode::<PartQuarantineRecord>(record) else {
            return;
        };
        let Ok(id) = u64::from_str_radix(&stored.part, 16) else {
            log_unreadable(&record.key, "the part is no number");
            return;
        };
        self.persisted.borrow_mut().stored.insert(record.key.to_string());
        let part = PartKey { service: stored.service.into(), id };
        for crash in stored.ended {
            let Some(fingerprint) = Fingerprint::parse(&crash.content) else {
                log_unreadable(&record.key, "the content is no digest");
                continue;
            };
            let request = RequestTraits { fingerprint, parts: [part.clone()].into() };
            let incarnation =
                Incarnation { instance: crash.instance.into(), started_ms: crash.started_ms };
            self.attribute_to_parts(&PartCrashRecord {
                incarnation,
                at: self.time_of(crash.at_ms),
                requests: vec![request],
            });
        }
    }

    /// Returns the Unix milliseconds of a time of this node.
    fn wall_ms(&self, at: Duration) -> u64 {
        let age_ms = saturating_ms(self.now().saturating_sub(at));
        self.clock.now().wall_ms().saturating_sub(age_ms)
    }

    /// Returns the time of this node at some Unix milliseconds.
    fn time_of(&self, wall_ms: u64) -> Duration {
        let age_ms = self.clock.now().wall_ms().saturating_sub(wall_ms);
        self.now().saturating_sub(Duration::from_millis(age_ms))
    }
}

/// Encodes a record; logs why that fails.
fn encode(record: &impl Serialize, key: impl fmt::Display) -> Option<String> {
    match toml::to_string(record) {
        Ok(record) => Some(record),
        Err(error) => {
            log_not_persisted(key, &error);
            None
        }
    }
}

/// Decodes a record; logs why that fails.
fn decode<T: DeserializeOwned>(record: &KeyedRecord) -> Option<T> {
    match record.decode_toml()? {
        Ok(decoded) => Some(decoded),
        Err(error) => {
            log_unreadable(&record.key, error);
            None
        }
    }
}

fn log_not_persisted(key: impl fmt::Display, error: &impl fmt::Display) {
    log::warn(LogLine::event("suspect_not_kept").with("content", key).with("error", error));
}

fn log_unreadable(key: &str, error: impl fmt::Display) {
    log::warn(LogLine::event("suspect_unreadable").with("content", key).with("error", error));
}

//! What of it is kept in the store: the requests that are turned away, so that nodes that all start at once know them.

use {
    super::Blame,
    crate::{
        fingerprint::Fingerprint,
        endings::Run,
        log,
        suspects::EndFact,
        wire::{KeyedRecord, StoreError, Topic},
    },
    fernring_core::{clock::saturating_ms, text::LogLine},
    serde::{Deserialize, Serialize},
    std::{collections::BTreeSet, time::Duration},
};

/// What the keys of such records begin with, among those of nodes, which are read at the start anyway.
const KEY_PREFIX: &str = "turned-away/";

/// Requests whose records are in the store, as far as this node knows.
#[derive(Debug, Default)]
pub(super) struct Kept(BTreeSet<Fingerprint>);

/// A record, in TOML.
#[derive(Debug, Serialize, Deserialize)]
struct Record {
    /// When the last start ended, in Unix milliseconds.
    at_ms: u64,
    ended: Vec<EndedStart>,
}

#[derive(Debug, Serialize, Deserialize)]
struct EndedStart {
    instance: String,
    started_ms: Option<u64>,
}

fn key(content: Fingerprint) -> String {
    format!("{KEY_PREFIX}{content}")
}

impl Blame {
    /// Writes and removes the records that are this node's to keep: those of which it is the first among the nodes.
    pub(super) async fn keep(&self) {
        let (now, turned_away) = (self.now(), self.all_turned_away());
        let is_mine =
            |content: &Fingerprint| self.peers.owner(&key(*content)) == self.peers.address();
        let missing = turned_away.iter().filter(|content| !self.kept.borrow().0.contains(content));
        for content in missing.copied().filter(is_mine).collect::<Vec<_>>() {
            let record = self.record(now, content);
            self.write(content, record.as_deref()).await;
        }
        let over = self.kept.borrow().0.difference(&turned_away).copied().collect::<Vec<_>>();
        for content in over {
            match is_mine(&content) {
                true => self.write(content, None).await,
                false => drop(self.kept.borrow_mut().0.remove(&content)),
            }
        }
    }

    fn all_turned_away(&self) -> BTreeSet<Fingerprint> {
        self.suspects.borrow().turned_away().map(|(content, _)| content).collect()
    }

    fn record(&self, now: Duration, content: Fingerprint) -> Option<String> {
        let suspects = self.suspects.borrow();
        let (_, at) = suspects.turned_away().find(|(turned_away, _)| *turned_away == content)?;
        let ended = suspects.ends_of(content).into_iter().map(|run| EndedStart {
            instance: run.instance.to_string(),
            started_ms: run.started_ms,
        });
        let age_ms = saturating_ms(now.saturating_sub(at));
        let at_ms = self.clock.now().wall_ms().saturating_sub(age_ms);
        match toml::to_string(&Record { at_ms, ended: ended.collect() }) {
            Ok(record) => Some(record),
            Err(error) => {
                log::warn(LogLine::event("suspect_not_kept").with("error", error));
                None
            }
        }
    }

    /// Takes in that the store has come back from a copy: what was written may be lost, and is written again.
    pub fn store_came_back(&self) {
        self.kept.borrow_mut().0.clear();
    }

    /// Writes a record, or removes it; what fails is tried again in the next round.
    async fn write(&self, content: Fingerprint, record: Option<&str>) {
        let value = record.map(str::as_bytes);
        let written = self.store.write(Topic::Nodes, &key(content), value).await;
        match (written, record) {
            (Ok(()), Some(_)) => drop(self.kept.borrow_mut().0.insert(content)),
            (Ok(()), None) => drop(self.kept.borrow_mut().0.remove(&content)),
            (Err(error), _) => self.not_kept(content, &error),
        }
    }

    fn not_kept(&self, content: Fingerprint, error: &StoreError) {
        let line = LogLine::event("suspect_not_kept").with("content", content);
        log::warn(line.with("error", error));
    }

    /// Takes in the records that a starting node finds among those of nodes. Those of before the lifetime of an end
    /// are removed by whom they belong to.
    pub fn learn(&self, records: &[KeyedRecord]) {
        for record in records {
            let Some(content) = record.key.strip_prefix(KEY_PREFIX).and_then(Fingerprint::parse)
            else {
                continue;
            };
            let value = record.value.as_deref().and_then(|value| std::str::from_utf8(value).ok());
            let Some(read) = value.and_then(|value| toml::from_str::<Record>(value).ok()) else {
                log::warn(LogLine::event("suspect_unreadable").with("content", content));
                continue;
            };
            self.kept.borrow_mut().0.insert(content);
            let age_ms = self.clock.now().wall_ms().saturating_sub(read.at_ms);
            let at = self.now().saturating_sub(Duration::from_millis(age_ms));
            for end in read.ended {
                let run = Run { instance: end.instance.into(), started_ms: end.started_ms };
                self.charge(&EndFact { run, at, contents: vec![content] });
            }
        }
    }
}

//! What operators write: configurations, words on failure domains, and versions to roll out.

use {
    super::{Followed, StoreLoops},
    crate::{
        directory::Upstream,
        evacuations::Word,
        log, telemetry,
        position::Position,
        wire::{EvacuationRecord, Malformed, Page, Topic},
    },
    bytes::Bytes,
    fernring_core::text::LogLine,
    fernring_protocol::compression::{compress, decompress},
    std::sync::Arc,
};

impl StoreLoops {
    /// Takes in the operators' records. Words on failure domains come first: a configuration takes time to decode.
    pub(super) fn take_operator_records(&self, page: Page, is_whole: bool) {
        let mut configs = Vec::new();
        let mut words = Vec::new();
        let mut rollouts = Vec::new();
        for record in &page.records {
            let at = page.position(record);
            if let Some(rollout) = self.wire.decode_rollout(record) {
                rollouts.push((at, rollout));
                continue;
            }
            match self.wire.decode_evacuation(record) {
                None => configs.push((record, at)),
                Some(EvacuationRecord { failure_domain, is_in_force: Ok(is_in_force) }) => {
                    words.push((failure_domain, Word { at, is_in_force }));
                }
                Some(EvacuationRecord { failure_domain, is_in_force: Err(error) }) => {
                    evacuation_refused(&failure_domain, at, &error);
                    // What was in force before it stays so, also if all words are read anew.
                    let known = self.upstreams.evacuations().borrow().word(&failure_domain);
                    words.extend(known.map(|word| (failure_domain, word)));
                }
            }
        }
        if is_whole {
            self.take_all_evacuations(words, page.end_position());
        } else {
            for (failure_domain, word) in words {
                self.take_evacuation(failure_domain, word, "store");
            }
        }
        self.rollouts.take_records(rollouts, is_whole, page.end_position());
        for (record, at) in configs {
            if let Some(value) = &record.value {
                self.take_config(value, compress(value), at.next(), "store");
            }
        }
    }

    fn take_all_evacuations(&self, words: Vec<(Arc<str>, Word)>, end: Position) {
        let present = words.into_iter().filter(|(_, word)| word.is_in_force);
        let present = present.map(|(failure_domain, word)| (failure_domain, word.at)).collect();
        let changed = self.upstreams.evacuations().borrow_mut().replace(present, end);
        for failure_domain in changed {
            self.evacuation_changed(&failure_domain, "store", end);
        }
    }

    /// Takes in an operator's word on a failure domain, from anywhere.
    pub fn take_evacuation(&self, failure_domain: Arc<str>, word: Word, source: &str) {
        let mut evacuations = self.upstreams.evacuations().borrow_mut();
        let has_changed = evacuations.learn(failure_domain.clone(), word);
        drop(evacuations);
        if has_changed {
            self.evacuation_changed(&failure_domain, source, word.at);
        }
    }

    fn evacuation_changed(&self, failure_domain: &Arc<str>, source: &str, at: Position) {
        let is_in_force = self.upstreams.evacuations().borrow().covers(failure_domain);
        let directory = self.upstreams.directory();
        let there = |upstream: &&Upstream| upstream.record.failure_domain == *failure_domain;
        let upstreams = directory.iter().map(|(_, upstream)| upstream).filter(there).count();
        drop(directory);
        let line = LogLine::event("evacuation_taken").with("failure_domain", failure_domain);
        let line = line.with("is_in_force", is_in_force).with("source", source).with("record", at);
        log::info(line.with("upstreams", upstreams));
        self.owner.pump_all();
    }

    /// Takes in a configuration from anywhere: its record, the same packed, and the store's number after it.
    fn take_config(&self, record: &[u8], packed: Bytes, end: Position, source: &str) {
        let config = match self.wire.decode_config(record) {
            Ok(config) => config,
            Err(error) => return config_refused(source, &error),
        };
        let (from, to) = (self.config.borrow().version(), config.version);
        let packed_bytes = packed.len();
        if !self.config.borrow_mut().apply_if_newer(config, packed, end) {
            return;
        }
        let mut following = self.following(Followed::Config).borrow_mut();
        let behind = following.behind();
        following.caught_up(packed_bytes);
        let line = LogLine::event("config_taken").with("from", from).with("to", to);
        let line = line.with("source", source).with("bytes", record.len());
        let line = line.with("packed_bytes", packed_bytes);
        let behind_ms = behind.since.map(|since| (self.now() - since).as_millis());
        let line = line.with_some("behind_ms", behind_ms).with("asked", behind.asked);
        log::info(line.with("put_off", behind.put_off));
        self.log_unknown_regions();
    }

    /// Says which regions the configuration in force names that no failure domain belongs to: what is restricted to them
    /// alone is refused.
    fn log_unknown_regions(&self) {
        let Some(held) = self.config.borrow().current() else {
            return;
        };
        let regions = self.upstreams.regions();
        let named = held.config.regions();
        let unknown: Vec<&str> = named
            .into_iter()
            .map(|region| &**region)
            .filter(|name| !regions.contains(name))
            .collect();
        if !unknown.is_empty() {
            let line = LogLine::event("regions_unknown").with("config", held.config.version);
            log::warn(line.with("regions", unknown.join(",")));
        }
    }

    /// Takes in a packed configuration that a peer passes on, with the store's number after it. It confirms nothing:
    /// if it can't be read, what is known here may well be out of date.
    pub fn take_peer_config(&self, packed: Bytes, end: Position) {
        match decompress(&packed) {
            Ok(record) => self.take_config(&record, packed, end, "peer"),
            Err(error) => config_refused("peer", &error),
        }
    }
}

/// Says that an operator's word can't be read.
fn evacuation_refused(failure_domain: &str, at: Position, error: &Malformed) {
    telemetry::record_rejected_record(Topic::Config.name());
    let line = LogLine::event("evacuation_refused").with("failure_domain", failure_domain);
    log::warn(line.with("record", at).with("error", error));
}

fn config_refused(source: &str, error: &dyn std::fmt::Display) {
    let line = LogLine::event("config_refused").with("source", source);
    log::warn(line.with("error", error));
}

//! Applies the records that operators write: configurations, orders for failure domains, and
//! versions to roll out.

use {
    super::{StoreLoops, TailedTopic},
    crate::{
        directory::Upstream,
        evacuations::EvacuationOrder,
        log,
        position::Position,
        telemetry,
        wire::{EvacuationRecord, Malformed, Page, Topic},
    },
    bytes::Bytes,
    fernring_core::text::LogLine,
    fernring_protocol::compression::{compress, decompress},
    std::sync::Arc,
};

impl StoreLoops {
    /// Applies a page of operators' records. Orders for failure domains come first, since a
    /// configuration takes time to decode.
    pub(super) fn apply_operator_page(&self, page: Page, is_full: bool) {
        let mut configs = Vec::new();
        let mut orders = Vec::new();
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
                    orders.push((failure_domain, EvacuationOrder { at, is_in_force }));
                }
                Some(EvacuationRecord { failure_domain, is_in_force: Err(error) }) => {
                    log_evacuation_refused(&failure_domain, at, &error);
                    // The previous order stays in force, also after a full read.
                    let known = self.upstreams.evacuations().borrow().order(&failure_domain);
                    orders.extend(known.map(|order| (failure_domain, order)));
                }
            }
        }
        if is_full {
            self.replace_evacuations(orders, page.end_position());
        } else {
            for (failure_domain, order) in orders {
                self.apply_evacuation(failure_domain, order, "store");
            }
        }
        self.rollouts.apply_records(rollouts, is_full, page.end_position());
        for (record, at) in configs {
            if let Some(value) = &record.value {
                self.apply_config(value, compress(value), at.next(), "store");
            }
        }
    }

    fn replace_evacuations(&self, orders: Vec<(Arc<str>, EvacuationOrder)>, end: Position) {
        let present = orders.into_iter().filter(|(_, order)| order.is_in_force);
        let present = present.map(|(failure_domain, order)| (failure_domain, order.at)).collect();
        let changed = self.upstreams.evacuations().borrow_mut().replace_all(present, end);
        for failure_domain in changed {
            self.handle_evacuation_change(&failure_domain, "store", end);
        }
    }

    /// Applies an operator's order for a failure domain, from the store or a peer (`source`).
    pub fn apply_evacuation(&self, failure_domain: Arc<str>, order: EvacuationOrder, source: &str) {
        let mut evacuations = self.upstreams.evacuations().borrow_mut();
        let has_changed = evacuations.apply(failure_domain.clone(), order);
        drop(evacuations);
        if has_changed {
            self.handle_evacuation_change(&failure_domain, source, order.at);
        }
    }

    /// Logs that an evacuation was ordered or withdrawn, and dispatches the waiting pieces again.
    fn handle_evacuation_change(&self, failure_domain: &Arc<str>, source: &str, at: Position) {
        let is_in_force = self.upstreams.evacuations().borrow().is_evacuated(failure_domain);
        let directory = self.upstreams.directory();
        let is_in_domain = |upstream: &&Upstream| upstream.record.failure_domain == *failure_domain;
        let upstreams = directory.iter().map(|(_, upstream)| upstream).filter(is_in_domain).count();
        drop(directory);
        let line = LogLine::event("evacuation_taken").with("failure_domain", failure_domain);
        let line = line.with("is_in_force", is_in_force).with("source", source).with("record", at);
        log::info(line.with("upstreams", upstreams));
        self.owner.dispatch_all();
    }

    /// Applies a configuration from the store or a peer (`source`): its record, the same record
    /// compressed, and the position after it.
    fn apply_config(&self, record: &[u8], compressed: Bytes, end: Position, source: &str) {
        let config = match self.wire.decode_config(record) {
            Ok(config) => config,
            Err(error) => return log_config_refused(source, &error),
        };
        let (from, to) = (self.config.borrow().version(), config.version);
        let compressed_bytes = compressed.len();
        if !self.config.borrow_mut().apply_if_newer(config, compressed, end) {
            return;
        }
        let mut tailing = self.tailing(TailedTopic::Config).borrow_mut();
        let lag = tailing.lag();
        tailing.record_caught_up(compressed_bytes);
        let line = LogLine::event("config_taken").with("from", from).with("to", to);
        let line = line.with("source", source).with("bytes", record.len());
        let line = line.with("packed_bytes", compressed_bytes);
        let behind_ms = lag.since.map(|since| (self.now() - since).as_millis());
        let line = line.with_some("behind_ms", behind_ms).with("asked", lag.requests);
        log::info(line.with("put_off", lag.deferred));
        self.log_unknown_regions();
    }

    /// Logs the regions that the configuration in force names but no failure domain belongs to:
    /// requests that are restricted to only these are refused.
    fn log_unknown_regions(&self) {
        let Some(current) = self.config.borrow().current() else {
            return;
        };
        let regions = self.upstreams.regions();
        let configured = current.config.regions();
        let unknown: Vec<&str> = configured
            .into_iter()
            .map(|region| &**region)
            .filter(|name| !regions.contains(name))
            .collect();
        if !unknown.is_empty() {
            let line = LogLine::event("regions_unknown").with("config", current.config.version);
            log::warn(line.with("regions", unknown.join(",")));
        }
    }

    /// Handles a compressed configuration from a peer, with the position after it. It doesn't
    /// confirm this node's state: if it is malformed, the configuration in force may be out of
    /// date.
    pub fn handle_peer_config(&self, compressed: Bytes, end: Position) {
        match decompress(&compressed) {
            Ok(record) => self.apply_config(&record, compressed, end, "peer"),
            Err(error) => log_config_refused("peer", &error),
        }
    }
}

/// Logs that an operator's order is malformed.
fn log_evacuation_refused(failure_domain: &str, at: Position, error: &Malformed) {
    telemetry::record_rejected_record(Topic::Config.name());
    let line = LogLine::event("evacuation_refused").with("failure_domain", failure_domain);
    log::warn(line.with("record", at).with("error", error));
}

fn log_config_refused(source: &str, error: &dyn std::fmt::Display) {
    let line = LogLine::event("config_refused").with("source", source);
    log::warn(line.with("error", error));
}

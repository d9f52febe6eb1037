//! Model placement: which node sends orders to the engines of a failure domain, and which orders.
//!
//! The right to send orders is a time-limited grant. Every node folds the grants from the order
//! stream by log time, with the same result. The offset of a grant is the fencing number of the
//! orders sent under it. An order is an absolute target state, so even an engine that does not
//! check the fencing number only ever gets a state that was ordered. A new holder first waits
//! until no order of the previous one can be in flight, then compares the engines' reported
//! models with the targets and corrects differences.

use {
    fernring_core::{
        catalog::{Catalog, UpstreamKind},
        ids::Incarnation,
        log::LogRecord,
        orders::{Grant, Order},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::Duration,
    },
};

/// Time for which engines keep an event's model after the end of the event, in milliseconds.
const MODEL_RETENTION_AFTER_END_MS: u64 = 60_000;
/// Divisor of a grant's validity: after this part of it the holder appends its next grant, and a
/// node whose append has not shown up in the stream tries again.
const RENEWAL_DIVISOR: u32 = 2;

/// A grant as read from the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GrantRecord {
    /// Offset of the record in the order stream.
    pub offset: u64,
    /// The log's own time of the record, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// The decoded grant; `None` if the record is not a fernring grant.
    pub grant: Option<Grant>,
}

impl GrantRecord {
    /// Decodes a record of the order stream.
    pub fn decode(record: &LogRecord) -> Self {
        let grant = serde_json::from_slice(&record.data).ok();
        Self { offset: record.offset, time_ms: record.time_ms, grant }
    }
}

/// The incarnation that may send orders in a failure domain, by the log as read so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GrantHolder {
    /// The incarnation that holds the grant.
    pub incarnation: Incarnation,
    /// Fencing number of the orders under this grant.
    pub fence: u64,
    /// End of the grant by log time, in milliseconds since the Unix epoch.
    pub until_ms: u64,
}

/// The next step of a node for the orders of its failure domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlacementStep {
    /// Another node holds the grant, or there is nothing to do yet.
    Idle,
    /// Append this grant to the order stream.
    Append(Grant),
    /// Send these orders to the engines whose reported models differ.
    Order(Vec<EngineOrder>),
}

/// An order to one engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineOrder {
    /// Name of the engine.
    pub upstream: String,
    /// The order to send.
    pub order: Order,
}

/// Folds the order stream for one failure domain and decides this node's next step.
#[derive(Debug)]
pub struct PlacementController {
    own_incarnation: Incarnation,
    failure_domain: Arc<str>,
    grant_validity: Duration,
    holder: Option<GrantHolder>,
    /// Log time up to which the stream was read.
    log_time_ms: u64,
    /// Monotonic time at which `log_time_ms` was read.
    log_time_read_at: Duration,
    /// Monotonic time at which this node last began to append a grant. The node counts the
    /// validity of its grant from here, so for the node the grant ends before it does by the log.
    appended_at: Option<Duration>,
    /// Log time until which an order of the previous holder may still be in flight.
    orders_allowed_from_ms: u64,
}

impl PlacementController {
    /// Creates the controller of a node that has not read the order stream yet.
    pub fn new(
        own_incarnation: Incarnation,
        failure_domain: Arc<str>,
        grant_validity: Duration,
    ) -> Self {
        Self {
            own_incarnation,
            failure_domain,
            grant_validity,
            holder: None,
            log_time_ms: 0,
            log_time_read_at: Duration::ZERO,
            appended_at: None,
            orders_allowed_from_ms: 0,
        }
    }

    /// Applies records of the order stream; `log_time_ms` is the log's time when it answered.
    pub fn apply_records(&mut self, now: Duration, log_time_ms: u64, records: &[GrantRecord]) {
        for record in records {
            if let Some(grant) = &record.grant
                && grant.failure_domain == self.failure_domain.as_ref()
            {
                self.fold(record, grant);
            }
        }
        self.log_time_ms = self.log_time_ms.max(log_time_ms);
        self.log_time_read_at = now;
    }

    /// Returns the holder of the newest grant, which may have expired.
    pub fn holder(&self) -> Option<GrantHolder> {
        self.holder
    }

    /// Decides the next step. `reported` holds the models that each engine reports as loaded.
    pub fn step(
        &mut self,
        now: Duration,
        wall_ms: u64,
        catalog: &Catalog,
        reported: &BTreeMap<String, Vec<String>>,
    ) -> PlacementStep {
        let targets = self.targets(catalog, wall_ms);
        if targets.is_empty() {
            return PlacementStep::Idle;
        }
        let log_now_ms =
            self.log_time_ms + now.saturating_sub(self.log_time_read_at).as_millis() as u64;
        let mine = self.holder.filter(|holder| holder.incarnation == self.own_incarnation);
        let Some(holder) = mine else {
            let is_vacant = self.holder.is_none_or(|holder| holder.until_ms < log_now_ms);
            return if is_vacant { self.request_grant(now) } else { PlacementStep::Idle };
        };
        if !self.is_own_grant_valid(now) || self.renewal_is_due(now) {
            return self.request_grant(now);
        }
        if log_now_ms < self.orders_allowed_from_ms {
            return PlacementStep::Idle;
        }
        let orders = orders_for_mismatches(targets, reported, holder.fence);
        if orders.is_empty() { PlacementStep::Idle } else { PlacementStep::Order(orders) }
    }

    /// Records that an append failed, so that it is tried again.
    pub fn append_failed(&mut self) {
        self.appended_at = None;
    }

    fn fold(&mut self, record: &GrantRecord, grant: &Grant) {
        let until_ms = record.time_ms + grant.valid_ms;
        let next = GrantHolder { incarnation: grant.incarnation, fence: record.offset, until_ms };
        match self.holder {
            Some(current) if current.incarnation == grant.incarnation => self.holder = Some(next),
            Some(current) if record.time_ms <= current.until_ms => {}
            current => {
                // An order of the previous holder may be in flight for the validity of a grant.
                let wait_ms = current.map_or(0, |_| grant.valid_ms);
                self.orders_allowed_from_ms = record.time_ms + wait_ms;
                self.holder = Some(next);
            }
        }
    }

    fn request_grant(&mut self, now: Duration) -> PlacementStep {
        let is_append_pending =
            self.appended_at.is_some_and(|at| now < at + self.grant_validity / RENEWAL_DIVISOR);
        if is_append_pending {
            return PlacementStep::Idle;
        }
        self.appended_at = Some(now);
        PlacementStep::Append(Grant {
            failure_domain: self.failure_domain.to_string(),
            incarnation: self.own_incarnation,
            valid_ms: self.grant_validity.as_millis() as u64,
        })
    }

    fn is_own_grant_valid(&self, now: Duration) -> bool {
        self.appended_at.is_some_and(|at| now < at + self.grant_validity)
    }

    fn renewal_is_due(&self, now: Duration) -> bool {
        self.appended_at.is_some_and(|at| now >= at + self.grant_validity / RENEWAL_DIVISOR)
    }

    /// Returns the models that each engine of the failure domain should have loaded now.
    fn targets(&self, catalog: &Catalog, wall_ms: u64) -> BTreeMap<String, Vec<String>> {
        let mut targets: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
        for event in catalog.events.values() {
            let end_ms = event.start_unix_ms + event.duration_ms + MODEL_RETENTION_AFTER_END_MS;
            for placement in &event.placements {
                let Some(upstream) = catalog.upstreams.get(&placement.upstream) else { continue };
                let is_local = upstream.failure_domain == self.failure_domain.as_ref();
                if !is_local || upstream.kind != UpstreamKind::Engine || end_ms < wall_ms {
                    continue;
                }
                let models = targets.entry(placement.upstream.clone()).or_default();
                if placement.load_at_unix_ms <= wall_ms {
                    models.insert(placement.model.clone());
                }
            }
        }
        let non_empty = targets.into_iter().filter(|(_, models)| !models.is_empty());
        non_empty.map(|(name, models)| (name, models.into_iter().collect())).collect()
    }
}

fn orders_for_mismatches(
    targets: BTreeMap<String, Vec<String>>,
    reported: &BTreeMap<String, Vec<String>>,
    fence: u64,
) -> Vec<EngineOrder> {
    let is_mismatch = |(name, models): &(String, Vec<String>)| reported.get(name) != Some(models);
    let order = |(upstream, models)| EngineOrder { upstream, order: Order { fence, models } };
    targets.into_iter().filter(is_mismatch).map(order).collect()
}

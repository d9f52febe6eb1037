//! Which node orders the engines of a failure domain, and what it orders.
//!
//! Grants are folded from the order stream by log time, alike at every node. The offset of a
//! grant is the fencing number of the orders sent under it. An order is an absolute target, so
//! engines that do not check the number can only be set to a state that was asked for; the
//! holder of the newest grant waits out the old one and then compares and corrects.

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

/// An engine is to hold an event's model until this long after its end, in milliseconds.
const KEEP_AFTER_END_MS: u64 = 60_000;
/// The holder appends its next grant when this share of the old one's validity is left.
const RENEW_AT_SHARE: u32 = 2;

/// A grant as read from the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GrantRecord {
    /// Its offset.
    pub offset: u64,
    /// The log's own time of the record, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// What it says; `None` for a record that is not one of ours.
    pub grant: Option<Grant>,
}

impl GrantRecord {
    /// Reads a record of the order stream.
    pub fn decode(record: &LogRecord) -> Self {
        let grant = serde_json::from_slice(&record.data).ok();
        Self { offset: record.offset, time_ms: record.time_ms, grant }
    }
}

/// The incarnation in charge of a failure domain's orders, by the log as read so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GrantHolder {
    /// The incarnation.
    pub incarnation: Incarnation,
    /// The fencing number of its orders.
    pub fence: u64,
    /// Until when its grant holds, by log time, in milliseconds since the Unix epoch.
    pub until_ms: u64,
}

/// What a node is to do about the orders of its failure domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlacementStep {
    /// Somebody else is in charge, or nothing is to be done yet.
    Idle,
    /// Append this grant to the order stream.
    Append(Grant),
    /// Send these orders to the engines whose reported models differ.
    Order(Vec<TargetOrder>),
}

/// An order to one engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetOrder {
    /// Name of the engine.
    pub upstream: String,
    /// The order.
    pub order: Order,
}

/// The fold of the order stream for one failure domain, and this node's part in it.
#[derive(Debug)]
pub struct PlacementController {
    me: Incarnation,
    failure_domain: Arc<str>,
    valid: Duration,
    holder: Option<GrantHolder>,
    /// Log time up to which the stream was read, and the monotonic time of that reading.
    log_time_ms: u64,
    read_at: Duration,
    /// When this node last began to append a grant. Its own belief in being in charge counts
    /// from there, so it ends before the log's.
    appended_at: Option<Duration>,
    /// Until when an earlier holder may still believe in its grant, by log time.
    settled_from_ms: u64,
}

impl PlacementController {
    /// Creates the placement of a node that has read nothing.
    pub fn new(me: Incarnation, failure_domain: Arc<str>, valid: Duration) -> Self {
        Self {
            me,
            failure_domain,
            valid,
            holder: None,
            log_time_ms: 0,
            read_at: Duration::ZERO,
            appended_at: None,
            settled_from_ms: 0,
        }
    }

    /// Folds records in; `log_time_ms` is the log's time when it answered.
    pub fn apply_records(&mut self, now: Duration, log_time_ms: u64, records: &[GrantRecord]) {
        for record in records {
            if let Some(grant) = &record.grant
                && grant.failure_domain == self.failure_domain.as_ref()
            {
                self.fold(record, grant);
            }
        }
        self.log_time_ms = self.log_time_ms.max(log_time_ms);
        self.read_at = now;
    }

    /// Returns who is in charge.
    pub fn holder(&self) -> Option<GrantHolder> {
        self.holder
    }

    /// Decides the next step. `reported` holds the models that engines say they hold.
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
        let log_now_ms = self.log_time_ms + now.saturating_sub(self.read_at).as_millis() as u64;
        let mine = self.holder.filter(|holder| holder.incarnation == self.me);
        let Some(holder) = mine else {
            let vacant = self.holder.is_none_or(|holder| holder.until_ms < log_now_ms);
            return if vacant { self.append(now) } else { PlacementStep::Idle };
        };
        if !self.believes(now) || self.renewal_is_due(now) {
            return self.append(now);
        }
        if log_now_ms < self.settled_from_ms {
            return PlacementStep::Idle;
        }
        let orders = differing(targets, reported, holder.fence);
        if orders.is_empty() { PlacementStep::Idle } else { PlacementStep::Order(orders) }
    }

    /// Notes that an append failed, so that it is tried again.
    pub fn append_failed(&mut self) {
        self.appended_at = None;
    }

    fn fold(&mut self, record: &GrantRecord, grant: &Grant) {
        let until_ms = record.time_ms + grant.valid_ms;
        let next = GrantHolder { incarnation: grant.incarnation, fence: record.offset, until_ms };
        match self.holder {
            Some(held) if held.incarnation == grant.incarnation => self.holder = Some(next),
            Some(held) if record.time_ms <= held.until_ms => {}
            held => {
                // An order of the old holder may be on its way for as long as its grant held.
                let old_valid_ms = held.map_or(0, |_| grant.valid_ms);
                self.settled_from_ms = record.time_ms + old_valid_ms;
                self.holder = Some(next);
            }
        }
    }

    fn append(&mut self, now: Duration) -> PlacementStep {
        let pending = self.appended_at.is_some_and(|at| now < at + self.valid / RENEW_AT_SHARE);
        if pending {
            return PlacementStep::Idle;
        }
        self.appended_at = Some(now);
        PlacementStep::Append(Grant {
            failure_domain: self.failure_domain.to_string(),
            incarnation: self.me,
            valid_ms: self.valid.as_millis() as u64,
        })
    }

    fn believes(&self, now: Duration) -> bool {
        self.appended_at.is_some_and(|at| now < at + self.valid)
    }

    fn renewal_is_due(&self, now: Duration) -> bool {
        self.appended_at.is_some_and(|at| now >= at + self.valid / RENEW_AT_SHARE)
    }

    /// The models that each engine of the failure domain is to hold now.
    fn targets(&self, catalog: &Catalog, wall_ms: u64) -> BTreeMap<String, Vec<String>> {
        let mut targets: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
        for event in catalog.events.values() {
            let end_ms = event.start_unix_ms + event.duration_ms + KEEP_AFTER_END_MS;
            for placement in &event.placements {
                let Some(upstream) = catalog.upstreams.get(&placement.upstream) else { continue };
                let own = upstream.failure_domain == self.failure_domain.as_ref();
                if !own || upstream.kind != UpstreamKind::Engine || end_ms < wall_ms {
                    continue;
                }
                let models = targets.entry(placement.upstream.clone()).or_default();
                if placement.load_at_unix_ms <= wall_ms {
                    models.insert(placement.model.clone());
                }
            }
        }
        let due = targets.into_iter().filter(|(_, models)| !models.is_empty());
        due.map(|(name, models)| (name, models.into_iter().collect())).collect()
    }
}

fn differing(
    targets: BTreeMap<String, Vec<String>>,
    reported: &BTreeMap<String, Vec<String>>,
    fence: u64,
) -> Vec<TargetOrder> {
    let differs = |(name, models): &(String, Vec<String>)| reported.get(name) != Some(models);
    let order = |(upstream, models)| TargetOrder { upstream, order: Order { fence, models } };
    targets.into_iter().filter(differs).map(order).collect()
}

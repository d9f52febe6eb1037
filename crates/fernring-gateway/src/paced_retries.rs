//! Tells refused callers when to retry, by the schedule of this node.

use {
    crate::{
        demand::RatesByRank,
        log,
        retry_schedule::{RefusedRequest, RetryCapacity, RetrySchedule, ScheduledRetry},
        telemetry,
        worker_pools::WorkerPool,
    },
    fernring_core::text::LogLine,
    std::{cell::RefCell, collections::HashMap, sync::Arc, time::Duration},
};

/// Largest number of schedules, so that a configuration with thousands of services doesn't exhaust
/// memory. All are dropped beyond it, which forgets what was told.
const SCHEDULES_MAX: usize = 64;

/// The schedules of the worker pools that refused requests lacked.
#[derive(Debug, Default)]
pub struct PacedRetries {
    by_pool: RefCell<HashMap<WorkerPool, RetrySchedule>>,
}

impl PacedRetries {
    /// Returns the pieces per second of the callers of each rank that were told to retry at present
    /// after they lacked capacity of a pool.
    pub fn returning_per_s(&self, now: Duration, pool: &WorkerPool) -> RatesByRank {
        let mut schedules = self.by_pool.borrow_mut();
        schedules.get_mut(pool).map(|schedule| schedule.returning_per_s(now)).unwrap_or_default()
    }

    /// Schedules the retry of a refused request that lacked capacity of a pool. `draw` is between 0
    /// and 1.
    pub fn schedule(
        &self,
        now: Duration,
        request_id: &Arc<str>,
        pool: &WorkerPool,
        request: &RefusedRequest,
        capacity: &RetryCapacity,
        draw: f64,
    ) -> ScheduledRetry {
        let mut schedules = self.by_pool.borrow_mut();
        if schedules.len() >= SCHEDULES_MAX && !schedules.contains_key(pool) {
            schedules.clear();
        }
        let schedule = schedules.entry(pool.clone()).or_default();
        let retry = schedule.schedule(now, request, capacity, draw);
        let is_promised = retry.told_in_slot.is_some();
        telemetry::record_told_retry(&pool.service, request.rank, is_promised);
        let line = LogLine::event("retry_scheduled")
            .with("request", request_id)
            .with("service", pool)
            .with("rank", request.rank)
            .with("pieces", request.pieces)
            .with("after_ms", retry.after.as_millis())
            .with("is_promised", is_promised)
            .with_some("told_in_slot", retry.told_in_slot)
            .with("capacity_per_s", format_args!("{:.1}", capacity.per_s(request.rank)));
        log::info(line);
        retry
    }
}

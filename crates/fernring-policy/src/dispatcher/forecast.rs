//! Predicts when a request would finish.

use {
    crate::{service_time::ServiceTimeEstimate, upstreams::Slots},
    fernring_core::catalog::Pipeline,
    std::{
        collections::{BTreeMap, HashMap},
        sync::Arc,
    },
};

/// Quantile of a stage's service time that must still fit into the window of a request.
const CONSERVATIVE_QUANTILE: f64 = 0.9;
/// Quantile below which a service time is too unlikely to count on.
const OPTIMISTIC_QUANTILE: f64 = 0.05;
/// Quantile of a stage's service time after which an attempt is a straggler.
const STRAGGLER_QUANTILE: f64 = 0.95;
/// An attempt is a straggler only after this multiple of the mean service time.
const STRAGGLER_MEAN_FACTOR: f64 = 1.5;
/// An attempt is a straggler only after this time, in milliseconds.
const STRAGGLER_MIN_MS: f64 = 20.0;

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct StageKey {
    pipeline: Arc<str>,
    stage: u16,
}

/// Estimated service times by stage and by pool, and the pending work of each pool.
#[derive(Debug, Default)]
pub(crate) struct Forecast {
    stage_estimates: HashMap<StageKey, ServiceTimeEstimate>,
    pool_estimates: HashMap<String, ServiceTimeEstimate>,
    /// By pool, stages of accepted requests for which no attempt was sent yet.
    pending: BTreeMap<String, PoolPending>,
}

/// The pending work of one pool.
///
/// Invariant: `count` and `weight` are the sums over `workspaces`, each of which has a count
/// above 0.
#[derive(Debug, Default)]
struct PoolPending {
    count: u64,
    weight: u64,
    workspaces: HashMap<Arc<str>, WorkspacePending>,
}

#[derive(Debug)]
struct WorkspacePending {
    count: u64,
    weight: u64,
}

/// The workspace whose request is forecast, and its weight.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Requester<'a> {
    pub(crate) workspace: &'a Arc<str>,
    pub(crate) weight: u32,
}

impl PoolPending {
    fn add(&mut self, requester: Requester<'_>) {
        self.count += 1;
        match self.workspaces.get_mut(requester.workspace) {
            Some(pending) => pending.count += 1,
            None => {
                let weight = u64::from(requester.weight.max(1));
                self.weight += weight;
                let pending = WorkspacePending { count: 1, weight };
                self.workspaces.insert(requester.workspace.clone(), pending);
            }
        }
    }

    fn remove(&mut self, workspace: &Arc<str>) {
        let Some(pending) = self.workspaces.get_mut(workspace) else {
            return;
        };
        self.count -= 1;
        pending.count -= 1;
        if pending.count == 0 {
            self.weight -= pending.weight;
            self.workspaces.remove(workspace);
        }
    }

    /// Returns how many requests are served before a new one of this requester.
    ///
    /// Under fair sharing these are the pending requests of its own workspace, and those of other
    /// workspaces that are served meanwhile by their weights; at most all pending requests.
    fn ahead_of(&self, requester: Requester<'_>) -> f64 {
        let existing = self.workspaces.get(requester.workspace);
        let own_count = existing.map_or(0, |pending| pending.count) as f64;
        let weight = u64::from(requester.weight.max(1));
        let weights = if existing.is_some() { self.weight } else { self.weight + weight };
        let fair_share = own_count * weights as f64 / weight as f64;
        fair_share.min(self.count as f64)
    }
}

impl Forecast {
    /// Counts the stages of a request from `from` on as pending.
    pub(crate) fn add_pending(&mut self, pipeline: &Pipeline, from: u16, requester: Requester<'_>) {
        for stage in &pipeline.stages[usize::from(from)..] {
            self.pending.entry(stage.pool.clone()).or_default().add(requester);
        }
    }

    /// Stops counting the stages `from..to` of a request as pending.
    pub(crate) fn remove_pending(
        &mut self,
        pipeline: &Pipeline,
        from: u16,
        to: u16,
        workspace: &Arc<str>,
    ) {
        let range = usize::from(from)..usize::from(to).max(usize::from(from));
        for stage in &pipeline.stages[range] {
            if let Some(pending) = self.pending.get_mut(&stage.pool) {
                pending.remove(workspace);
            }
        }
    }

    /// Records a measured service time of a stage.
    pub(crate) fn record_service_time(
        &mut self,
        name: &Arc<str>,
        pipeline: &Pipeline,
        stage: u16,
        ms: f64,
    ) {
        let declared = &pipeline.stages[usize::from(stage)];
        let key = StageKey { pipeline: name.clone(), stage };
        let stage_estimate = self.stage_estimates.entry(key);
        stage_estimate
            .or_insert_with(|| ServiceTimeEstimate::with_expected_ms(declared.expected_ms))
            .record(ms);
        let pool_estimate = self.pool_estimates.entry(declared.pool.clone());
        pool_estimate
            .or_insert_with(|| ServiceTimeEstimate::with_expected_ms(declared.expected_ms))
            .record(ms);
    }

    /// Predicts the time that a new request needs for all its stages, in milliseconds.
    ///
    /// Each pool works off its pending requests while the new request passes through earlier
    /// stages. Stages count with their mean service time, except that the stage with the widest
    /// spread counts with `CONSERVATIVE_QUANTILE`.
    pub(crate) fn predict_finish_ms(
        &self,
        name: &Arc<str>,
        pipeline: &Pipeline,
        requester: Requester<'_>,
        slots_of: impl Fn(&str) -> Slots,
    ) -> f64 {
        let mut elapsed_ms: f64 = 0.0;
        let mut spread_ms: f64 = 0.0;
        for (index, stage) in pipeline.stages.iter().enumerate() {
            let queue_drain_ms =
                self.queue_drain_ms(&stage.pool, stage.expected_ms, requester, &slots_of);
            elapsed_ms = elapsed_ms.max(queue_drain_ms);
            let (mean_ms, conservative_ms) =
                self.with_estimate(name, pipeline, index as u16, |estimate| {
                    (estimate.mean_ms(), estimate.quantile_ms(CONSERVATIVE_QUANTILE))
                });
            elapsed_ms += mean_ms;
            spread_ms = spread_ms.max(conservative_ms - mean_ms);
        }
        elapsed_ms + spread_ms
    }

    /// Returns the least time that the stages from `from` on can be expected to take, in
    /// milliseconds.
    pub(crate) fn min_remaining_ms(&self, name: &Arc<str>, pipeline: &Pipeline, from: u16) -> f64 {
        let stages = from..pipeline.stages.len() as u16;
        let least = |stage| {
            self.with_estimate(name, pipeline, stage, |estimate| {
                estimate.quantile_ms(OPTIMISTIC_QUANTILE).min(estimate.mean_ms())
            })
        };
        stages.map(least).sum()
    }

    /// Returns the time after which an attempt of a stage is a straggler, in milliseconds.
    pub(crate) fn straggler_after_ms(
        &self,
        name: &Arc<str>,
        pipeline: &Pipeline,
        stage: u16,
    ) -> f64 {
        self.with_estimate(name, pipeline, stage, |estimate| {
            let by_quantile = estimate.quantile_ms(STRAGGLER_QUANTILE);
            by_quantile.max(estimate.mean_ms() * STRAGGLER_MEAN_FACTOR).max(STRAGGLER_MIN_MS)
        })
    }

    /// Returns the time until the requests that are served before a new one have left the queue
    /// of the pool, in milliseconds; infinite if the pool has no slots.
    fn queue_drain_ms(
        &self,
        pool: &str,
        expected_ms: u64,
        requester: Requester<'_>,
        slots_of: &impl Fn(&str) -> Slots,
    ) -> f64 {
        let Slots { free, total } = slots_of(pool);
        if total == 0 {
            return f64::INFINITY;
        }
        let ahead = self.pending.get(pool).map_or(0.0, |pending| pending.ahead_of(requester));
        let mean_ms =
            self.pool_estimates.get(pool).map_or(expected_ms as f64, ServiceTimeEstimate::mean_ms);
        (ahead - free as f64).max(0.0) * mean_ms / total as f64
    }

    /// Reads the estimate of a stage, or one based on its declared time if none was measured.
    fn with_estimate<T>(
        &self,
        name: &Arc<str>,
        pipeline: &Pipeline,
        stage: u16,
        read: impl Fn(&ServiceTimeEstimate) -> T,
    ) -> T {
        let key = StageKey { pipeline: name.clone(), stage };
        match self.stage_estimates.get(&key) {
            Some(estimate) => read(estimate),
            None => {
                let declared = &pipeline.stages[usize::from(stage)];
                read(&ServiceTimeEstimate::with_expected_ms(declared.expected_ms))
            }
        }
    }
}

//! When a request would finish.

use {
    crate::{service_time::ServiceTimeEstimate, upstreams::Slots},
    fernring_core::catalog::Pipeline,
    std::{
        collections::{BTreeMap, HashMap},
        sync::Arc,
    },
};

/// Quantile of a stage's service time that a request must be able to afford.
const CAREFUL_QUANTILE: f64 = 0.9;
/// Quantile below which a service time is not to be hoped for.
const HOPEFUL_QUANTILE: f64 = 0.05;
/// Quantile of a stage's service time after which an attempt is a straggler.
const STRAGGLER_QUANTILE: f64 = 0.95;
/// A straggler has run for at least this multiple of the mean.
const STRAGGLER_MEANS: f64 = 1.5;
/// An attempt is never a straggler before this, in milliseconds.
const STRAGGLER_MIN_MS: f64 = 20.0;

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct StageKey {
    pipeline: Arc<str>,
    stage: u16,
}

/// Service times by stage and the work that is still to come to each pool.
#[derive(Debug, Default)]
pub(crate) struct Forecast {
    stages: HashMap<StageKey, ServiceTimeEstimate>,
    pools: HashMap<String, ServiceTimeEstimate>,
    /// Requests accepted whose stage at the pool was not sent yet.
    pending: BTreeMap<String, PoolPending>,
}

/// The work that is still to come to one pool.
///
/// Invariant: `count` is the sum over `workspaces`, each of which has a count above 0, and
/// `weight` is the sum of their weights.
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

/// Whose request a forecast is for.
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

    fn take(&mut self, workspace: &Arc<str>) {
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

    /// Returns how many requests are served before a new one of this requester: all that wait,
    /// or, if the workspaces share fairly, the own ones and as many of the others as their
    /// weights let through meanwhile.
    fn ahead_of(&self, requester: Requester<'_>) -> f64 {
        let known = self.workspaces.get(requester.workspace);
        let own = known.map_or(0, |pending| pending.count) as f64;
        let weight = u64::from(requester.weight.max(1));
        let weights = if known.is_some() { self.weight } else { self.weight + weight };
        let fair = own * weights as f64 / weight as f64;
        fair.min(self.count as f64)
    }
}

impl Forecast {
    /// Counts the stages of a request from `from` on as still to come.
    pub(crate) fn expect(&mut self, pipeline: &Pipeline, from: u16, requester: Requester<'_>) {
        for stage in &pipeline.stages[usize::from(from)..] {
            self.pending.entry(stage.pool.clone()).or_default().add(requester);
        }
    }

    /// No longer counts the stages `from..to` of a request.
    pub(crate) fn settle(&mut self, pipeline: &Pipeline, from: u16, to: u16, workspace: &Arc<str>) {
        let range = usize::from(from)..usize::from(to).max(usize::from(from));
        for stage in &pipeline.stages[range] {
            if let Some(pending) = self.pending.get_mut(&stage.pool) {
                pending.take(workspace);
            }
        }
    }

    /// Takes in a measured service time.
    pub(crate) fn record(&mut self, name: &Arc<str>, pipeline: &Pipeline, stage: u16, ms: f64) {
        let declared = &pipeline.stages[usize::from(stage)];
        let key = StageKey { pipeline: name.clone(), stage };
        let by_stage = self.stages.entry(key);
        by_stage.or_insert_with(|| ServiceTimeEstimate::with_expected_ms(declared.expected_ms)).record(ms);
        let by_pool = self.pools.entry(declared.pool.clone());
        by_pool.or_insert_with(|| ServiceTimeEstimate::with_expected_ms(declared.expected_ms)).record(ms);
    }

    /// Predicts the time that a new request needs for all its stages, in milliseconds: work
    /// already accepted drains from each pool while the request passes through the earlier
    /// ones, and the worst single stage is taken at a careful quantile.
    pub(crate) fn finish_ms(
        &self,
        name: &Arc<str>,
        pipeline: &Pipeline,
        requester: Requester<'_>,
        room: impl Fn(&str) -> Slots,
    ) -> f64 {
        let mut elapsed_ms: f64 = 0.0;
        let mut spread_ms: f64 = 0.0;
        for (index, stage) in pipeline.stages.iter().enumerate() {
            let drain_ms = self.drain_ms(&stage.pool, stage.expected_ms, requester, &room);
            elapsed_ms = elapsed_ms.max(drain_ms);
            let (mean_ms, careful_ms) = self.with_stage(name, pipeline, index as u16, |estimate| {
                (estimate.mean_ms(), estimate.quantile_ms(CAREFUL_QUANTILE))
            });
            elapsed_ms += mean_ms;
            spread_ms = spread_ms.max(careful_ms - mean_ms);
        }
        elapsed_ms + spread_ms
    }

    /// Returns the least time that the stages from `from` on can be hoped to take, in
    /// milliseconds.
    pub(crate) fn least_ms(&self, name: &Arc<str>, pipeline: &Pipeline, from: u16) -> f64 {
        let stages = from..pipeline.stages.len() as u16;
        let least = |stage| {
            self.with_stage(name, pipeline, stage, |e| {
                e.quantile_ms(HOPEFUL_QUANTILE).min(e.mean_ms())
            })
        };
        stages.map(least).sum()
    }

    /// Returns after how long an attempt is a straggler, in milliseconds.
    pub(crate) fn straggler_ms(&self, name: &Arc<str>, pipeline: &Pipeline, stage: u16) -> f64 {
        self.with_stage(name, pipeline, stage, |estimate| {
            let by_quantile = estimate.quantile_ms(STRAGGLER_QUANTILE);
            by_quantile.max(estimate.mean_ms() * STRAGGLER_MEANS).max(STRAGGLER_MIN_MS)
        })
    }

    /// Time until what is served before a new request has left the pool's queue, in
    /// milliseconds.
    fn drain_ms(
        &self,
        pool: &str,
        expected_ms: u64,
        requester: Requester<'_>,
        room: &impl Fn(&str) -> Slots,
    ) -> f64 {
        let Slots { free, total } = room(pool);
        if total == 0 {
            return f64::INFINITY;
        }
        let ahead = self.pending.get(pool).map_or(0.0, |pending| pending.ahead_of(requester));
        let mean_ms = self.pools.get(pool).map_or(expected_ms as f64, ServiceTimeEstimate::mean_ms);
        (ahead - free as f64).max(0.0) * mean_ms / total as f64
    }

    fn with_stage<T>(
        &self,
        name: &Arc<str>,
        pipeline: &Pipeline,
        stage: u16,
        read: impl Fn(&ServiceTimeEstimate) -> T,
    ) -> T {
        let key = StageKey { pipeline: name.clone(), stage };
        match self.stages.get(&key) {
            Some(estimate) => read(estimate),
            None => {
                let declared = &pipeline.stages[usize::from(stage)];
                read(&ServiceTimeEstimate::with_expected_ms(declared.expected_ms))
            }
        }
    }
}

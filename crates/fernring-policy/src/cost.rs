//! Cost by stage: how much of the upstreams' time was spent, and on what.

use std::{collections::BTreeMap, sync::Arc};

/// Most rows that are kept; the rest is added up under [`OTHER`].
const ROWS_MAX: usize = 4_096;
/// Name under which rows beyond the limit are added up.
pub const OTHER_WORKSPACE: &str = "other";

/// What a cost belongs to.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CostKey {
    /// Name of the pipeline.
    pub pipeline: Arc<str>,
    /// Name of the workspace.
    pub workspace: Arc<str>,
    /// Name of the stage.
    pub stage: Arc<str>,
}

/// What an attempt's time was spent on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CostCategory {
    /// Its result was used.
    Useful,
    /// It failed.
    Failed,
    /// It was one of two, and the other was used.
    Hedged,
    /// Its request had already ended.
    Abandoned,
}

/// Attempts and time spent, by outcome.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Cost {
    /// Attempts made.
    pub attempts: u64,
    /// Time whose result was used, in milliseconds.
    pub useful_ms: f64,
    /// Time of attempts that failed, in milliseconds.
    pub failed_ms: f64,
    /// Time of attempts that lost against their twin, in milliseconds.
    pub hedged_ms: f64,
    /// Time of attempts whose request had ended, in milliseconds.
    pub abandoned_ms: f64,
}

/// The costs of a node since it started.
#[derive(Debug, Default)]
pub struct CostTable {
    rows: BTreeMap<CostKey, Cost>,
}

impl CostTable {
    /// Adds one ended attempt.
    pub fn add(&mut self, key: CostKey, spent: CostCategory, busy_ms: f64) {
        let full = self.rows.len() >= ROWS_MAX && !self.rows.contains_key(&key);
        let key = if full { CostKey { workspace: OTHER_WORKSPACE.into(), ..key } } else { key };
        let cost = self.rows.entry(key).or_default();
        cost.attempts += 1;
        match spent {
            CostCategory::Useful => cost.useful_ms += busy_ms,
            CostCategory::Failed => cost.failed_ms += busy_ms,
            CostCategory::Hedged => cost.hedged_ms += busy_ms,
            CostCategory::Abandoned => cost.abandoned_ms += busy_ms,
        }
    }

    /// Lists the rows.
    pub fn rows(&self) -> impl Iterator<Item = (&CostKey, &Cost)> {
        self.rows.iter()
    }
}

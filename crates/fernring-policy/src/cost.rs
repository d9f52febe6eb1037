//! Cost accounting: the time that attempts spent at upstreams, by stage and category.

use std::{collections::BTreeMap, sync::Arc};

/// Most rows of a table. Beyond it, new rows are added up under [`OTHER_WORKSPACE`].
const ROWS_MAX: usize = 4_096;
/// Name of the workspace under which rows beyond the limit are added up.
pub const OTHER_WORKSPACE: &str = "other";

/// Key of a row of costs.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CostKey {
    /// Name of the pipeline.
    pub pipeline: Arc<str>,
    /// Name of the workspace.
    pub workspace: Arc<str>,
    /// Name of the stage.
    pub stage: Arc<str>,
}

/// Category of the time that an attempt spent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CostCategory {
    /// The attempt's result was used.
    Useful,
    /// The attempt failed.
    Failed,
    /// The attempt was one of two hedged attempts, and the result of the other was used.
    Hedged,
    /// The request had already ended.
    Abandoned,
}

/// Number of attempts and time spent, by category.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Cost {
    /// Attempts made.
    pub attempts: u64,
    /// Time of attempts whose result was used, in milliseconds.
    pub useful_ms: f64,
    /// Time of attempts that failed, in milliseconds.
    pub failed_ms: f64,
    /// Time of attempts that lost against the other of a hedged pair, in milliseconds.
    pub hedged_ms: f64,
    /// Time of attempts whose request had already ended, in milliseconds.
    pub abandoned_ms: f64,
}

/// Costs of a node since its start.
#[derive(Debug, Default)]
pub struct CostTable {
    rows: BTreeMap<CostKey, Cost>,
}

impl CostTable {
    /// Adds the time of one attempt that has ended.
    pub fn add(&mut self, key: CostKey, category: CostCategory, busy_ms: f64) {
        let is_full = self.rows.len() >= ROWS_MAX && !self.rows.contains_key(&key);
        let key = if is_full { CostKey { workspace: OTHER_WORKSPACE.into(), ..key } } else { key };
        let cost = self.rows.entry(key).or_default();
        cost.attempts += 1;
        match category {
            CostCategory::Useful => cost.useful_ms += busy_ms,
            CostCategory::Failed => cost.failed_ms += busy_ms,
            CostCategory::Hedged => cost.hedged_ms += busy_ms,
            CostCategory::Abandoned => cost.abandoned_ms += busy_ms,
        }
    }

    /// Returns the rows in the order of their keys.
    pub fn rows(&self) -> impl Iterator<Item = (&CostKey, &Cost)> {
        self.rows.iter()
    }
}

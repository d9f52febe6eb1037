//! One budget for every extra attempt of a node, so that a fault never multiplies load.

/// Extra attempts that may be saved up.
const SAVED_MAX: f64 = 10.0;
/// Extra attempts allowed before any first attempt was made.
const SAVED_AT_START: f64 = 3.0;

/// Retries and hedges draw on a share of the first attempts.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    share: f64,
    saved: f64,
}

impl RetryBudget {
    /// Creates a budget of `percent` extra attempts for each hundred first ones.
    pub fn new(percent: u32) -> Self {
        let share = f64::from(percent) / 100.0;
        let saved = if percent == 0 { 0.0 } else { SAVED_AT_START };
        Self { share, saved }
    }

    /// Notes a first attempt.
    pub fn record_first_attempt(&mut self) {
        self.saved = (self.saved + self.share).min(SAVED_MAX);
    }

    /// Takes one extra attempt, if the budget has one.
    pub fn try_spend(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}

//! The retry budget: one budget for all extra attempts of a node, so that a fault never multiplies
//! its load.

/// Most extra attempts that the budget can accumulate.
const BALANCE_MAX: f64 = 10.0;
/// Extra attempts allowed before any first attempt was made.
const INITIAL_BALANCE: f64 = 3.0;

/// Budget for retries and hedges, which grows by a share of each first attempt.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    earned_per_attempt: f64,
    balance: f64,
}

impl RetryBudget {
    /// Creates a budget of `percent` extra attempts for every hundred first attempts.
    pub fn new(percent: u32) -> Self {
        let earned_per_attempt = f64::from(percent) / 100.0;
        let balance = if percent == 0 { 0.0 } else { INITIAL_BALANCE };
        Self { earned_per_attempt, balance }
    }

    /// Records a first attempt.
    pub fn record_first_attempt(&mut self) {
        self.balance = (self.balance + self.earned_per_attempt).min(BALANCE_MAX);
    }

    /// Spends the budget of one extra attempt. Returns whether there was enough.
    pub fn try_spend(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}

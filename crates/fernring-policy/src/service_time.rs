//! How long a stage takes: a decaying histogram of measured service times.

/// Upper bounds of the buckets grow by this factor, so that a quantile is right within 15 %.
const BUCKET_GROWTH: f64 = 1.15;
/// Buckets; the last one starts above ten minutes.
const BUCKETS: usize = 96;
/// Weight at which old measurements are halved.
const HALVE_AT_WEIGHT: f64 = 512.0;
/// Weight of the declared expectation, in measurements.
const PRIOR_WEIGHT: f64 = 4.0;

/// Service times of one stage.
#[derive(Debug, Clone)]
pub struct ServiceTimeEstimate {
    weights: [f32; BUCKETS],
    total: f64,
    sum_ms: f64,
}

impl ServiceTimeEstimate {
    /// Starts from an operator's expectation, which a few measurements outweigh.
    pub fn with_expected_ms(expected_ms: u64) -> Self {
        let mut estimate = Self { weights: [0.0; BUCKETS], total: 0.0, sum_ms: 0.0 };
        estimate.add(expected_ms as f64, PRIOR_WEIGHT);
        estimate
    }

    /// Adds a measured service time.
    pub fn record(&mut self, service_ms: f64) {
        if self.total >= HALVE_AT_WEIGHT {
            self.halve();
        }
        self.add(service_ms, 1.0);
    }

    /// Returns the mean, in milliseconds.
    pub fn mean_ms(&self) -> f64 {
        self.sum_ms / self.total
    }

    /// Returns an upper bound of the quantile `share` (0 to 1), in milliseconds.
    pub fn quantile_ms(&self, share: f64) -> f64 {
        let wanted = self.total * share;
        let mut seen = 0.0;
        for (index, weight) in self.weights.iter().enumerate() {
            seen += f64::from(*weight);
            if seen >= wanted {
                return BUCKET_GROWTH.powi(index as i32 + 1) - 1.0;
            }
        }
        BUCKET_GROWTH.powi(BUCKETS as i32)
    }

    fn add(&mut self, service_ms: f64, weight: f64) {
        let service_ms = service_ms.max(0.0);
        let bucket = ((service_ms + 1.0).ln() / BUCKET_GROWTH.ln()) as usize;
        self.weights[bucket.min(BUCKETS - 1)] += weight as f32;
        self.total += weight;
        self.sum_ms += service_ms * weight;
    }

    fn halve(&mut self) {
        for weight in &mut self.weights {
            *weight /= 2.0;
        }
        self.total /= 2.0;
        self.sum_ms /= 2.0;
    }
}

//! Estimates of service times: a decaying histogram of measurements for each stage.

/// Factor between the upper bounds of neighbouring buckets. A quantile is exact within 15 %.
const BUCKET_GROWTH: f64 = 1.15;
/// Number of buckets. The last one starts above ten minutes.
const BUCKET_COUNT: usize = 96;
/// Total weight at which the weights of old measurements are halved.
const HALVING_WEIGHT: f64 = 512.0;
/// Weight of the declared expected time, in measurements.
const PRIOR_WEIGHT: f64 = 4.0;

/// Estimate of the service times of one stage.
#[derive(Debug, Clone)]
pub struct ServiceTimeEstimate {
    weights: [f32; BUCKET_COUNT],
    total_weight: f64,
    sum_ms: f64,
}

impl ServiceTimeEstimate {
    /// Creates an estimate from the expected time that an operator declared. A few measurements
    /// outweigh it.
    pub fn with_expected_ms(expected_ms: u64) -> Self {
        let mut estimate = Self { weights: [0.0; BUCKET_COUNT], total_weight: 0.0, sum_ms: 0.0 };
        estimate.add(expected_ms as f64, PRIOR_WEIGHT);
        estimate
    }

    /// Records a measured service time.
    pub fn record(&mut self, service_ms: f64) {
        if self.total_weight >= HALVING_WEIGHT {
            self.halve_weights();
        }
        self.add(service_ms, 1.0);
    }

    /// Returns the mean service time, in milliseconds.
    pub fn mean_ms(&self) -> f64 {
        self.sum_ms / self.total_weight
    }

    /// Returns an upper bound for the quantile `share` (0 to 1), in milliseconds.
    pub fn quantile_ms(&self, share: f64) -> f64 {
        let target_weight = self.total_weight * share;
        let mut cumulative_weight = 0.0;
        for (index, weight) in self.weights.iter().enumerate() {
            cumulative_weight += f64::from(*weight);
            if cumulative_weight >= target_weight {
                return BUCKET_GROWTH.powi(index as i32 + 1) - 1.0;
            }
        }
        BUCKET_GROWTH.powi(BUCKET_COUNT as i32)
    }

    fn add(&mut self, service_ms: f64, weight: f64) {
        let service_ms = service_ms.max(0.0);
        let bucket = ((service_ms + 1.0).ln() / BUCKET_GROWTH.ln()) as usize;
        self.weights[bucket.min(BUCKET_COUNT - 1)] += weight as f32;
        self.total_weight += weight;
        self.sum_ms += service_ms * weight;
    }

    fn halve_weights(&mut self) {
        for weight in &mut self.weights {
            *weight /= 2.0;
        }
        self.total_weight /= 2.0;
        self.sum_ms /= 2.0;
    }
}

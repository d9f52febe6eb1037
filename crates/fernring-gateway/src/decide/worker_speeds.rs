//! Speeds of the workers of a stage service, and the pieces that a slower worker leaves to the
//! others. No I/O.
//!
//! Handles workers of unequal speed, such as those on VMs that they share with others. The fixed
//! time of a call is slow there too, so a call with fewer pieces is hardly faster: under load every
//! worker gets full calls, and a slower one gets them from further back in the queue.
//!
//! Inputs: the time that each worker's latest calls took, the latest of which ended about a call
//! ago, and the slowdown of its VM from its latest response. Both change during a call, so figures
//! that are older than a few calls are forgotten; the worker then counts as a usual one again.

use {
    crate::{model::BatchConfig, workers::expected_call_time},
    std::{cmp::Ordering, time::Duration},
};

/// Age beyond which a figure is forgotten, in full calls. A VM's speed changes faster than that,
/// and a worker that gets no calls shows no other way that it is fast again.
const FORGET_CALLS: u32 = 3;
/// Number of workers with known times from which on they are compared with each other. Fewer are
/// compared with the configured times.
const COMPARED_WORKERS_MIN: usize = 3;
/// Slowdown below which a worker counts as a usual one: calls differ as much by the stages that
/// their pieces belong to.
const SLOWDOWN_MIN: f64 = 1.25;
/// Largest slowdown that is assumed, so that one long call doesn't exclude a worker.
const SLOWDOWN_MAX: f64 = 4.0;

/// Time that calls to one worker take, relative to their configured time.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct CallTimes {
    /// Average of the ratio over about the length of a call, and when it was last updated.
    average: Option<(f64, Duration)>,
}

impl CallTimes {
    /// Records that a call took `took` and was expected to take `expected`.
    pub fn record(
        &mut self,
        now: Duration,
        took: Duration,
        expected: Duration,
        batch_config: &BatchConfig,
    ) {
        let observed = took.as_secs_f64() / expected.as_secs_f64().max(0.001);
        let average = match (self.ratio(now, batch_config), self.average) {
            (Some(ratio), Some((_, updated_at))) => {
                let elapsed = now.saturating_sub(updated_at).as_secs_f64();
                let weight = 1.0 - (-elapsed / full_call(batch_config).as_secs_f64()).exp();
                ratio + weight * (observed - ratio)
            }
            _ => observed,
        };
        self.average = Some((average, now));
    }

    /// Returns the ratio; `None` if it is unknown or too old.
    pub fn ratio(&self, now: Duration, batch_config: &BatchConfig) -> Option<f64> {
        let (ratio, updated_at) = self.average?;
        (now < updated_at + full_call(batch_config) * FORGET_CALLS).then_some(ratio)
    }
}

/// Returns the ratio of a usual worker: the median of the given ones.
pub fn usual_ratio(mut ratios: Vec<f64>) -> f64 {
    if ratios.len() < COMPARED_WORKERS_MIN {
        return 1.0;
    }
    let middle = ratios.len() / 2;
    *ratios.select_nth_unstable_by(middle, f64::total_cmp).1
}

/// Factor by which calls to a worker take longer than to a usual worker of its service.
///
/// Invariant: at least 1 and at most `SLOWDOWN_MAX`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Slowdown(f64);

impl Slowdown {
    /// The slowdown of a usual worker.
    pub const NONE: Self = Self(1.0);

    /// Returns the slowdown of a worker. `relative` is the ratio of its calls to that of a usual
    /// worker, `reported` that of its VM with the age of the report; `None` if unknown.
    pub fn new(
        relative: Option<f64>,
        reported: Option<(f64, Duration)>,
        batch_config: &BatchConfig,
    ) -> Self {
        let is_fresh = |age: &Duration| *age < full_call(batch_config) * FORGET_CALLS;
        let reported = reported.filter(|(_, age)| is_fresh(age)).map(|(factor, _)| factor);
        let factor = match (relative, reported) {
            (Some(relative), Some(reported)) => (relative + reported) / 2.0,
            (Some(factor), None) | (None, Some(factor)) => factor,
            (None, None) => 1.0,
        };
        if factor < SLOWDOWN_MIN {
            return Self::NONE;
        }
        Self(factor.min(SLOWDOWN_MAX))
    }

    /// Compares two slowdowns.
    pub fn total_cmp(&self, other: &Self) -> Ordering {
        self.0.total_cmp(&other.0)
    }

    /// Returns the expected time of a call to the worker that takes `usual` at a usual worker.
    pub fn lengthen(self, usual: Duration) -> Duration {
        usual.mul_f64(self.0)
    }

    /// Returns how many of the most urgent queued pieces the worker leaves to the `others` of its
    /// service. They would start these one after the other, and complete them earlier than this
    /// worker.
    pub fn pieces_left_to_others(self, others: usize, batch_config: &BatchConfig) -> usize {
        let calls_meanwhile = (self.0 - 1.0) * others as f64 - 1.0;
        (calls_meanwhile.max(0.0) * batch_config.pieces_max as f64) as usize
    }
}

fn full_call(batch_config: &BatchConfig) -> Duration {
    expected_call_time(batch_config, batch_config.pieces_max)
}

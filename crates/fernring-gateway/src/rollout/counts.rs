//! What nodes count of a roll-out. No I/O.

use std::{
    collections::BTreeMap,
    ops::{AddAssign, Sub},
    sync::Arc,
    time::Duration,
};

/// Classes of times. Each spans a quarter of an octave from a millisecond on, so that the last begins at a minute.
pub const LATENCY_BUCKETS: usize = 64;
/// Classes to an octave.
const CLASSES_PER_OCTAVE: f64 = 4.0;

/// Returns the class of a time.
pub fn latency_bucket(time: Duration) -> usize {
    let ms = (time.as_secs_f64() * 1_000.0).max(1.0);
    ((ms.log2() * CLASSES_PER_OCTAVE) as usize).min(LATENCY_BUCKETS - 1)
}

/// Answers of one version on one route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnswerStats {
    /// Failures.
    pub failed: u64,
    /// The others, by the class of the time that they took.
    pub times: [u32; LATENCY_BUCKETS],
}

impl Default for AnswerStats {
    fn default() -> Self {
        Self { failed: 0, times: [0; LATENCY_BUCKETS] }
    }
}

impl AnswerStats {
    /// Counts an answer; `None` stands for a failure.
    pub fn add(&mut self, took: Option<Duration>) {
        match took {
            Some(took) => self.times[latency_bucket(took)] += 1,
            None => self.failed += 1,
        }
    }

    /// Returns the number of answers, failures included.
    pub fn all(&self) -> u64 {
        self.failed + self.whole()
    }

    /// Returns the number of answers that are no failures.
    pub fn whole(&self) -> u64 {
        self.times.iter().map(|count| u64::from(*count)).sum()
    }

    /// Returns the number of those that took as long as a class or longer.
    pub fn slower(&self, class: usize) -> u64 {
        self.times.iter().skip(class).map(|count| u64::from(*count)).sum()
    }

    /// Returns the class of the median time; `None` of fewer than `least` answers.
    pub fn median_class(&self, least: u64) -> Option<usize> {
        let whole = self.whole();
        if whole < least.max(1) {
            return None;
        }
        let mut below = 0;
        self.times.iter().position(|count| {
            below += u64::from(*count);
            below * 2 >= whole
        })
    }
}

impl AddAssign<&AnswerStats> for AnswerStats {
    fn add_assign(&mut self, other: &Self) {
        self.failed += other.failed;
        for (own, others) in self.times.iter_mut().zip(&other.times) {
            *own = own.saturating_add(*others);
        }
    }
}

impl Sub for &AnswerStats {
    type Output = AnswerStats;

    fn sub(self, other: Self) -> AnswerStats {
        let times =
            std::array::from_fn(|class| self.times[class].saturating_sub(other.times[class]));
        AnswerStats { failed: self.failed.saturating_sub(other.failed), times }
    }
}

/// Answers on one route.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RouteStats {
    /// Those of the ordered version.
    pub destination: AnswerStats,
    /// Those of the others.
    pub others: AnswerStats,
}

/// What a node, or all nodes together, count since an order was given.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RolloutCounts {
    /// Requests sent to the service.
    pub requests: u64,
    /// Sends to the ordered version, repeats included.
    pub exposed: u64,
    /// Requests in hand at other versions.
    pub in_flight_at_others: u64,
    /// Answers by route.
    pub routes: BTreeMap<Arc<str>, RouteStats>,
}

impl AddAssign<&RolloutCounts> for RolloutCounts {
    fn add_assign(&mut self, other: &Self) {
        self.requests += other.requests;
        self.exposed += other.exposed;
        self.in_flight_at_others += other.in_flight_at_others;
        for (route, answers) in &other.routes {
            let own = self.routes.entry(route.clone()).or_default();
            own.destination += &answers.destination;
            own.others += &answers.others;
        }
    }
}

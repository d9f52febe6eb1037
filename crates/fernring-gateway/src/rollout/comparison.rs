//! Compares a version with the others by a sequential test, under the same conditions. No I/O.
//!
//! A response is bad if it is a failure, or if it takes several times the median latency of the
//! other versions on its route. A fault of the network or of the callers makes responses of all
//! versions bad at the same time, so responses are compared interval by interval: the bad part of
//! the others' responses in an interval is what is expected of the destination version in it. The
//! test is Wald's sequential probability ratio test: it compares the likelihood of the observed
//! responses if [`WORSE_FRACTION`] of those that would be good at the others were bad, with their
//! likelihood if the version is like the others. By Wald's bounds a good version is called worse
//! with a probability of at most about [`FALSE_ALARM_PROBABILITY`], and a version with that part of
//! bad responses is called not worse with [`MISS_PROBABILITY`]. One test covers the latencies and
//! failures of all routes together, and one those of each route.

use {
    super::counts::{ResponseStats, RolloutCounts, latency_bucket},
    std::{collections::BTreeMap, sync::Arc, time::Duration},
};

/// The smallest part of bad responses, beyond what the others have, that the test is to detect.
pub const WORSE_FRACTION: f64 = 0.15;
/// Probability that one test calls a good version worse.
pub const FALSE_ALARM_PROBABILITY: f64 = 1e-5;
/// Probability that a version with [`WORSE_FRACTION`] of bad responses is called not worse.
pub const MISS_PROBABILITY: f64 = 0.02;
/// Latency buckets above the others' median from which on a response is slow: 2.8 times the median.
const SLOW_BUCKETS: usize = 6;
/// Latency up to which no response is slow: what the network and a busy node can add to a quick
/// one.
const SLOW_MIN: Duration = Duration::from_millis(25);
/// Number of the others' responses from which on their median is used.
const MEDIAN_RESPONSES_MIN: u64 = 8;
/// Weight of the others' bad part so far beside their responses of an interval, as a number of
/// responses.
const HISTORY_WEIGHT: f64 = 10.0;
/// Bad part that is assumed of the others in an interval without any of their responses, unless
/// more of them were bad so far.
const UNCOMPARED_BAD_PART: f64 = 0.05;

/// Result of a comparison.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Verdict {
    /// The destination version is worse.
    Worse,
    /// There are too few responses to decide.
    Undecided,
    /// The destination version isn't worse.
    NotWorse,
}

/// Number of responses, and how many of them are bad.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ResponseTally {
    /// Number of responses.
    pub total: u64,
    /// Number of bad responses.
    pub bad: u64,
}

impl ResponseTally {
    fn of(responses: &ResponseStats, slow_bucket: Option<usize>) -> Self {
        let slow = slow_bucket.map_or(0, |bucket| responses.count_from_bucket(bucket));
        Self { total: responses.total(), bad: responses.failed + slow }
    }

    fn add(&mut self, other: Self) {
        self.total += other.total;
        self.bad += other.bad;
    }
}

/// One sequential test.
#[derive(Debug, Clone, Default)]
pub struct SequentialTest {
    log_ratio: f64,
    /// Responses of the other versions so far.
    others: ResponseTally,
}

impl SequentialTest {
    /// Adds the responses of an interval.
    pub fn add_interval(&mut self, destination: ResponseTally, others: ResponseTally) {
        let (total, bad) = (self.others.total as f64, self.others.bad as f64);
        let history = (bad + 0.5) / (total + 10.0);
        let (interval_total, interval_bad) = (others.total as f64, others.bad as f64);
        let mut expected =
            (interval_bad + HISTORY_WEIGHT * history) / (interval_total + HISTORY_WEIGHT);
        if others.total == 0 {
            expected = expected.max(UNCOMPARED_BAD_PART);
        }
        let expected = expected.clamp(0.005, 0.95);
        let worse = expected + WORSE_FRACTION * (1.0 - expected);
        let good = (destination.total - destination.bad) as f64;
        self.log_ratio += destination.bad as f64 * (worse / expected).ln();
        self.log_ratio += good * ((1.0 - worse) / (1.0 - expected)).ln();
        // Good responses of long ago must not outweigh bad ones of now.
        self.log_ratio = self.log_ratio.max(not_worse_threshold());
        self.others.add(others);
    }

    /// Returns the verdict on the responses so far.
    pub fn verdict(&self) -> Verdict {
        if self.log_ratio >= worse_threshold() {
            Verdict::Worse
        } else if self.log_ratio <= not_worse_threshold() {
            Verdict::NotWorse
        } else {
            Verdict::Undecided
        }
    }
}

fn worse_threshold() -> f64 {
    ((1.0 - MISS_PROBABILITY) / FALSE_ALARM_PROBABILITY).ln()
}

fn not_worse_threshold() -> f64 {
    (MISS_PROBABILITY / (1.0 - FALSE_ALARM_PROBABILITY)).ln()
}

/// Compares the destination version of a service with its other versions.
#[derive(Debug, Clone, Default)]
pub struct Comparison {
    /// Counts at the end of the last interval.
    previous: RolloutCounts,
    overall: SequentialTest,
    by_route: BTreeMap<Arc<str>, SequentialTest>,
}

impl Comparison {
    /// Creates a comparison that leaves out what was counted so far.
    pub fn since(counts: RolloutCounts) -> Self {
        Self { previous: counts, ..Self::default() }
    }

    /// Adds an interval, given what all nodes have counted by its end.
    pub fn add_interval(&mut self, counts: &RolloutCounts) {
        let (mut destination, mut others) = (ResponseTally::default(), ResponseTally::default());
        for (route, responses) in &counts.routes {
            let previous = self.previous.routes.get(route).cloned().unwrap_or_default();
            let median = responses.others.median_bucket(MEDIAN_RESPONSES_MIN);
            let slow_bucket =
                median.map(|bucket| (bucket + SLOW_BUCKETS).max(latency_bucket(SLOW_MIN)));
            let of_destination =
                ResponseTally::of(&(&responses.destination - &previous.destination), slow_bucket);
            let of_others = ResponseTally::of(&(&responses.others - &previous.others), slow_bucket);
            self.by_route.entry(route.clone()).or_default().add_interval(of_destination, of_others);
            destination.add(of_destination);
            others.add(of_others);
        }
        self.overall.add_interval(destination, others);
        self.previous = counts.clone();
    }

    /// Restarts the tests but keeps what is known of the others: good responses at a small share
    /// say little about a larger share.
    pub fn restart(&mut self) {
        let tests = self.by_route.values_mut().chain(std::iter::once(&mut self.overall));
        tests.for_each(|test| test.log_ratio = 0.0);
    }

    /// Returns the verdict of all tests: worse if any says so, else that of the test over all
    /// routes.
    pub fn verdict(&self) -> Verdict {
        let is_worse = |test: &SequentialTest| test.verdict() == Verdict::Worse;
        match self.by_route.values().any(is_worse) {
            true => Verdict::Worse,
            false => self.overall.verdict(),
        }
    }
}

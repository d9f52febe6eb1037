//! Whether a version is worse than the others: a sequential test against the others under the same conditions. No I/O.
//!
//! An answer is bad if it is a failure, or takes several times the median of the other versions on its route. A fault of the
//! network or of the callers makes answers of both versions bad at the same time, so answers are compared slice by slice of
//! time: the part of bad ones among the others' in a slice is what is expected of the ordered version in it. The test is
//! Wald's: the likelihood of what came if [`WORSE_PART`] of the answers that others give well were bad, against that of a version
//! like the others. By his bounds a good version is called worse with a probability of at most about [`FALSE_ALARM`], and
//! one with that part of bad answers alike with [`MISSED`]. Times and failures are tested over all routes and for each route.

use {
    super::counts::{AnswerStats, RolloutCounts, latency_bucket},
    std::{collections::BTreeMap, sync::Arc, time::Duration},
};

/// The smallest part of bad answers, beyond what the others have, that is looked for.
pub const WORSE_PART: f64 = 0.15;
/// Probability that a good version is called worse, for one test.
pub const FALSE_ALARM: f64 = 1e-5;
/// Probability that a version with [`WORSE_PART`] of bad answers is called alike.
pub const MISSED: f64 = 0.02;
/// Classes of time above the median of the others from which on an answer is slow: 2.8 times.
const SLOW_CLASSES: usize = 6;
/// Time up to which no answer is slow: what the network and a busy node add to a quick one.
const SLOW_MIN: Duration = Duration::from_millis(25);
/// Answers of the others from which on their median says something.
const MEDIAN_OF: u64 = 8;
/// Answers of the others that what is known of them so far counts as, beside those of a slice.
const KNOWN_WEIGHT: f64 = 10.0;
/// Bad part of the others that is taken for possible where none of their answers is there to compare.
const UNCOMPARED_PART: f64 = 0.05;

/// What a comparison says.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Verdict {
    /// The ordered version is worse.
    Worse,
    /// Too few answers.
    Open,
    /// It isn't worse.
    Alike,
}

/// Answers, and how many of them are bad.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Tally {
    /// Answers.
    pub all: u64,
    /// Bad ones.
    pub bad: u64,
}

impl Tally {
    fn of(answers: &AnswerStats, slow_class: Option<usize>) -> Self {
        let slow = slow_class.map_or(0, |class| answers.slower(class));
        Self { all: answers.all(), bad: answers.failed + slow }
    }

    fn add(&mut self, other: Self) {
        self.all += other.all;
        self.bad += other.bad;
    }
}

/// One sequential test.
#[derive(Debug, Clone, Default)]
pub struct Test {
    log_ratio: f64,
    /// The others so far.
    others: Tally,
}

impl Test {
    /// Takes in a slice of time.
    pub fn add(&mut self, ordered: Tally, others: Tally) {
        let (all, bad) = (self.others.all as f64, self.others.bad as f64);
        let known = (bad + 0.5) / (all + 10.0);
        let (slice_all, slice_bad) = (others.all as f64, others.bad as f64);
        let mut expected = (slice_bad + KNOWN_WEIGHT * known) / (slice_all + KNOWN_WEIGHT);
        if others.all == 0 {
            expected = expected.max(UNCOMPARED_PART);
        }
        let expected = expected.clamp(0.005, 0.95);
        let worse = expected + WORSE_PART * (1.0 - expected);
        let good = (ordered.all - ordered.bad) as f64;
        self.log_ratio += ordered.bad as f64 * (worse / expected).ln();
        self.log_ratio += good * ((1.0 - worse) / (1.0 - expected)).ln();
        // What went well long ago doesn't outweigh what goes wrong now.
        self.log_ratio = self.log_ratio.max(alike_below());
        self.others.add(others);
    }

    /// Returns what it says so far.
    pub fn verdict(&self) -> Verdict {
        if self.log_ratio >= worse_above() {
            Verdict::Worse
        } else if self.log_ratio <= alike_below() {
            Verdict::Alike
        } else {
            Verdict::Open
        }
    }
}

fn worse_above() -> f64 {
    ((1.0 - MISSED) / FALSE_ALARM).ln()
}

fn alike_below() -> f64 {
    (MISSED / (1.0 - FALSE_ALARM)).ln()
}

/// Compares the versions of a service.
#[derive(Debug, Clone, Default)]
pub struct Comparison {
    /// What was counted at the end of the last slice.
    before: RolloutCounts,
    whole: Test,
    routes: BTreeMap<Arc<str>, Test>,
}

impl Comparison {
    /// Starts with what was counted so far left out.
    pub fn since(counts: RolloutCounts) -> Self {
        Self { before: counts, ..Self::default() }
    }

    /// Takes in what all nodes have counted by the end of a slice of time.
    pub fn slice(&mut self, counts: &RolloutCounts) {
        let (mut ordered, mut others) = (Tally::default(), Tally::default());
        for (route, answers) in &counts.routes {
            let before = self.before.routes.get(route).cloned().unwrap_or_default();
            let median = answers.others.median_class(MEDIAN_OF);
            let slow_class = median.map(|class| (class + SLOW_CLASSES).max(latency_bucket(SLOW_MIN)));
            let of_ordered = Tally::of(&(&answers.destination - &before.destination), slow_class);
            let of_others = Tally::of(&(&answers.others - &before.others), slow_class);
            self.routes.entry(route.clone()).or_default().add(of_ordered, of_others);
            ordered.add(of_ordered);
            others.add(of_others);
        }
        self.whole.add(ordered, others);
        self.before = counts.clone();
    }

    /// Starts the tests anew, with what is known of the others: what went well at a small share says little of a larger one.
    pub fn restart(&mut self) {
        let tests = self.routes.values_mut().chain(std::iter::once(&mut self.whole));
        tests.for_each(|test| test.log_ratio = 0.0);
    }

    /// Returns what all tests together say: worse if any does, else what the one over all routes does.
    pub fn verdict(&self) -> Verdict {
        let is_worse = |test: &Test| test.verdict() == Verdict::Worse;
        match self.routes.values().any(is_worse) {
            true => Verdict::Worse,
            false => self.whole.verdict(),
        }
    }
}

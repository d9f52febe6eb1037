//! How far a roll-out goes: the share of the ordered version, and its end. No I/O.
//!
//! The load that this answers: a version that fails a part of its requests, from the first on, only under load, on one route, or
//! late, before hundreds of nodes. It may get a bounded part of all requests until the deadline. What it gets in the trial is
//! counted against a part of that bound, so that the rest is there for what shows only when it serves more; the later it
//! serves all, the less of the bound is spent if it turns bad then. So it is advanced as late as the time for
//! requests in hand at the others allows.
//!
//! Inputs: what nodes counted until their last reports, a fifth of a second old or two; the upstreams that the decider knows.

use {
    super::{
        counts::RolloutCounts,
        comparison::{Comparison, Verdict},
    },
    std::time::Duration,
};

/// Part of the bound that the trial may use.
const TRIAL_PART: f64 = 0.7;
/// How many times the requests that are expected until the deadline have to be within the bound, and which part of it, for a version
/// to be advanced without a verdict.
const COMING_MARGIN: f64 = 1.3;
const BOUND_PART: f64 = 0.85;
/// Answers of the ordered version that a trial aims at.
const TRIAL_ANSWERS: f64 = 30.0;
/// Shares of the trial: what even a crowd sends, so that a late change shows, and where a comparison still has both sides.
const TRIAL_SHARES: (f64, f64) = (0.01, 0.8);
/// Time that a share is set for; what is counted comes late by less.
const HORIZON: Duration = Duration::from_secs(2);
/// The shares on the way to all.
const STEPS: [f64; 3] = [0.15, 0.4, 0.8];
/// Time on a step, as a part of the time of the order, and its bounds.
const STEP_PART: f64 = 0.04;
const STEP_TIMES: (Duration, Duration) = (Duration::from_millis(600), Duration::from_secs(3));
/// Steps that a version serves all requests for before the others are stopped.
const HOLD_STEPS: u32 = 3;
/// Most of the order's time that is kept for requests in hand at the others.
const DRAIN_PART_MAX: f64 = 0.4;
/// Part of the order's time kept for writing the end.
const END_PART: f64 = 0.08;
/// Length of a slice of time in which the versions are compared.
const SLICE: Duration = Duration::from_millis(200);
/// Window over which the rate of requests is taken.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// What the ordered version may get if it is bad.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ExposureBudget {
    /// Part of the requests to the service between the order and its deadline.
    pub share: f64,
    /// Requests besides.
    pub slack: f64,
}

/// Upstreams that take work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct UpstreamCounts {
    /// Of the ordered version.
    pub ordered: usize,
    /// Of the others.
    pub others: usize,
}

/// What a decider sees.
#[derive(Debug, Clone, Copy)]
pub struct Observation<'a> {
    /// What all nodes have counted.
    pub counts: &'a RolloutCounts,
    /// The upstreams.
    pub engines: UpstreamCounts,
    /// Whether all live nodes have reported.
    pub is_complete: bool,
    /// Whether all live nodes know that the ordered version serves alone and have nothing in hand at others.
    pub is_drained: bool,
    /// The longest time of a request to the service.
    pub longest_request: Duration,
    /// Whether the order was taken back.
    pub is_withdrawn: bool,
}

/// Why a version was rolled back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RollbackReason {
    /// It is worse than the others.
    Worse,
    /// It was not shown to be good in time.
    Late,
    /// The order was taken back.
    Withdrawn,
}

impl RollbackReason {
    /// Returns the name used in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::Worse => "worse",
            Self::Late => "late",
            Self::Withdrawn => "withdrawn",
        }
    }
}

/// Where a roll-out is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// The decider waits for upstreams of the ordered version and for the nodes' reports.
    Waiting,
    /// The ordered version gets little.
    Trial,
    /// It gets more and more.
    Advancing {
        /// Index of the step.
        step: usize,
        /// When it began.
        since: Duration,
    },
    /// It gets all that is new; requests in hand at the others end.
    Draining {
        /// When that began.
        since: Duration,
    },
    /// It serves alone.
    Completed,
    /// It gets nothing.
    RolledBack(RollbackReason),
}

impl Phase {
    /// Returns the name used in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::Waiting => "waiting",
            Self::Trial => "trial",
            Self::Advancing { .. } => "advancing",
            Self::Draining { .. } => "draining",
            Self::Completed => "completed",
            Self::RolledBack(_) => "rolled_back",
        }
    }
}

/// What was spent before a decider took over, by the store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ExposureSpent {
    /// Requests to the service.
    pub requests: u64,
    /// Sends to the ordered version.
    pub exposed: u64,
}

/// Decides on one order.
#[derive(Debug, Clone)]
pub struct RolloutController {
    bounds: ExposureBudget,
    deadline_at: Duration,
    duration: Duration,
    phase: Phase,
    /// What the nodes that report don't know of.
    spent: ExposureSpent,
    is_counted: bool,
    comparison: Comparison,
    sliced_at: Duration,
    rate_from: (Duration, u64),
    rate_per_s: f64,
}

impl RolloutController {
    /// Starts on an order that is to be done at `deadline_at`, `duration` after it was given.
    pub fn new(bounds: ExposureBudget, deadline_at: Duration, duration: Duration, spent: ExposureSpent) -> Self {
        Self {
            bounds,
            deadline_at,
            duration,
            phase: Phase::Waiting,
            spent,
            is_counted: false,
            comparison: Comparison::default(),
            sliced_at: Duration::ZERO,
            rate_from: (Duration::ZERO, 0),
            rate_per_s: 0.0,
        }
    }

    /// Returns where the roll-out is.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns what was spent so far.
    pub fn spent(&self, counts: &RolloutCounts) -> ExposureSpent {
        ExposureSpent {
            requests: self.spent.requests + counts.requests,
            exposed: self.spent.exposed + counts.exposed,
        }
    }

    /// Lets time pass; returns the share of the ordered version from now on.
    pub fn step(&mut self, now: Duration, seen: Observation<'_>) -> f64 {
        self.count(now, &seen);
        let next = self.next_phase(now, &seen);
        if next != self.phase {
            self.comparison.restart();
        }
        self.phase = next;
        match self.phase {
            Phase::Waiting | Phase::RolledBack(_) => 0.0,
            Phase::Trial => self.trial_share(now, &seen),
            Phase::Advancing { step, .. } => STEPS[step],
            Phase::Draining { .. } | Phase::Completed => 1.0,
        }
    }

    fn count(&mut self, now: Duration, seen: &Observation<'_>) {
        if !self.is_counted && seen.is_complete {
            self.is_counted = true;
            // The nodes tell again what they told the decider of before, which wrote it.
            self.spent.requests = self.spent.requests.saturating_sub(seen.counts.requests);
            self.spent.exposed = self.spent.exposed.saturating_sub(seen.counts.exposed);
            self.rate_from = (now, seen.counts.requests);
        }
        if now >= self.sliced_at + SLICE {
            self.comparison.slice(seen.counts);
            self.sliced_at = now;
        }
        let (from, requests) = self.rate_from;
        if now >= from + RATE_WINDOW {
            let passed = now.saturating_sub(from).as_secs_f64();
            let came = seen.counts.requests.saturating_sub(requests);
            self.rate_per_s = came as f64 / passed;
            self.rate_from = (now, seen.counts.requests);
        }
    }

    fn next_phase(&self, now: Duration, seen: &Observation<'_>) -> Phase {
        if matches!(self.phase, Phase::Completed | Phase::RolledBack(_)) {
            return self.phase;
        }
        if seen.is_withdrawn {
            return Phase::RolledBack(RollbackReason::Withdrawn);
        }
        if self.comparison.verdict() == Verdict::Worse {
            return Phase::RolledBack(RollbackReason::Worse);
        }
        if let Phase::Draining { since } = self.phase
            && seen.is_drained
            && now >= self.completed_from(since)
        {
            return Phase::Completed;
        }
        if now + self.duration.mul_f64(END_PART / 2.0) >= self.deadline_at {
            return Phase::RolledBack(RollbackReason::Late);
        }
        match self.phase {
            Phase::Waiting if seen.engines.ordered > 0 && self.is_counted => Phase::Trial,
            Phase::Trial if self.may_advance(now, seen) => Phase::Advancing { step: 0, since: now },
            Phase::Advancing { step, since } if now >= since + self.step_time() => {
                let is_last = step + 1 == STEPS.len();
                let next = Phase::Advancing { step: step + 1, since: now };
                if is_last { Phase::Draining { since: now } } else { next }
            }
            phase => phase,
        }
    }

    fn step_time(&self) -> Duration {
        let (least, most) = STEP_TIMES;
        self.duration.mul_f64(STEP_PART).clamp(least, most)
    }

    /// Returns when a roll-out that is drained may be completed: what shows only under all requests has to show while the others
    /// are there.
    fn completed_from(&self, drains_since: Duration) -> Duration {
        let latest = self.deadline_at.saturating_sub(self.duration.mul_f64(END_PART));
        (drains_since + self.step_time() * HOLD_STEPS).min(latest)
    }

    /// Returns when the ordered version begins to get more, if all goes well.
    fn advance_at(&self, longest_request: Duration) -> Duration {
        let drain = longest_request.min(self.duration.mul_f64(DRAIN_PART_MAX));
        let drain = drain.max(self.step_time() * HOLD_STEPS);
        let steps = self.step_time() * STEPS.len() as u32;
        let after = drain + steps + self.duration.mul_f64(END_PART);
        self.deadline_at.saturating_sub(after)
    }

    fn may_advance(&self, now: Duration, seen: &Observation<'_>) -> bool {
        if now < self.advance_at(seen.longest_request) {
            return false;
        }
        let spent = self.spent(seen.counts);
        let left = self.deadline_at.saturating_sub(now).as_secs_f64();
        let coming = self.rate_per_s * left;
        let bound = self.bounds.share * (spent.requests as f64 + coming) + self.bounds.slack;
        // Even if it is bad, what comes until the deadline is within the bound.
        let is_within = spent.exposed as f64 + coming * COMING_MARGIN <= bound * BOUND_PART;
        self.comparison.verdict() == Verdict::Alike || is_within
    }

    fn trial_share(&self, now: Duration, seen: &Observation<'_>) -> f64 {
        let spent = self.spent(seen.counts);
        let bound = self.bounds.share * spent.requests as f64 + self.bounds.slack;
        let left = bound * TRIAL_PART - spent.exposed as f64;
        let rate = self.rate_per_s.max(1.0);
        let affordable = left / (rate * HORIZON.as_secs_f64());
        let time = self.advance_at(seen.longest_request).saturating_sub(now);
        let missing = (TRIAL_ANSWERS - spent.exposed as f64).max(0.0);
        let wanted = missing / (rate * time.max(HORIZON).as_secs_f64());
        let UpstreamCounts { ordered, others } = seen.engines;
        let of_engines = ordered as f64 / (ordered + others).max(1) as f64;
        let (least, most) = TRIAL_SHARES;
        wanted.clamp(least, most).min(of_engines).min(affordable).max(0.0)
    }
}

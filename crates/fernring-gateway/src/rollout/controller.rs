//! State machine of a roll-out: which share the destination version gets, and when the roll-out
//! ends. No I/O.
//!
//! Handles versions that fail a part of their requests: from the first request on, only under load,
//! on one route only, or only after a while, in a fleet of hundreds of nodes. A bad version may get
//! a bounded part of all requests until the deadline, the exposure budget. The trial may use only a
//! part of that budget, so that the rest is left for faults that show only when the version serves
//! more. The later the version serves all requests, the less of the budget is spent if it turns bad
//! then. So it is advanced as late as the time for requests in flight at the other versions allows.
//!
//! Inputs: what nodes counted until their last reports, which are one fifth or two fifths of a
//! second old, and the upstreams that the controller knows.

use {
    super::{
        comparison::{Comparison, Verdict},
        counts::RolloutCounts,
    },
    std::time::Duration,
};

/// Part of the exposure budget that the trial may use.
const TRIAL_BUDGET_PART: f64 = 0.7;
/// Safety factor on the requests that are expected until the deadline: with it, they must fit into
/// [`ADVANCE_BUDGET_PART`] of the budget for a version to be advanced without a verdict.
const FORECAST_MARGIN: f64 = 1.3;
const ADVANCE_BUDGET_PART: f64 = 0.85;
/// Number of responses of the destination version that a trial aims at.
const TRIAL_RESPONSES: f64 = 30.0;
/// Range of the share in a trial: at least what is sent even under a burst of requests, so that a
/// late change shows; at most what leaves the comparison responses of both sides.
const TRIAL_SHARES: (f64, f64) = (0.01, 0.8);
/// Time for which a share is computed; counts arrive with a shorter delay.
const SHARE_HORIZON: Duration = Duration::from_secs(2);
/// Shares of the destination version on the steps between the trial and all requests.
const STEP_SHARES: [f64; 3] = [0.15, 0.4, 0.8];
/// Duration of a step as a part of the order's duration, and the range of that duration.
const STEP_DURATION_PART: f64 = 0.04;
const STEP_DURATIONS: (Duration, Duration) = (Duration::from_millis(600), Duration::from_secs(3));
/// Number of step durations for which a version serves all requests before the others are stopped.
const HOLD_STEPS: u32 = 3;
/// Largest part of the order's duration that is kept for requests in flight at the others.
const DRAIN_PART_MAX: f64 = 0.4;
/// Part of the order's duration that is kept for writing the final state.
const FINAL_WRITE_PART: f64 = 0.08;
/// Length of the intervals in which the versions are compared.
const COMPARISON_INTERVAL: Duration = Duration::from_millis(200);
/// Window over which the rate of requests is measured.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Number of requests that the destination version may get if it is bad.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ExposureBudget {
    /// Part of the requests to the service between the order and its deadline.
    pub share: f64,
    /// Number of requests on top of that part.
    pub slack: f64,
}

/// Number of upstreams that accept work, by version.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct UpstreamCounts {
    /// Upstreams of the destination version.
    pub destination: usize,
    /// Upstreams of the other versions.
    pub others: usize,
}

/// What the controller observes at one step.
#[derive(Debug, Clone, Copy)]
pub struct Observation<'a> {
    /// Sum of the counts of all nodes.
    pub counts: &'a RolloutCounts,
    /// The upstreams that accept work.
    pub upstreams: UpstreamCounts,
    /// Whether all live nodes have reported.
    pub is_complete: bool,
    /// Whether all live nodes know that the destination version serves alone and have nothing in
    /// flight at others.
    pub is_drained: bool,
    /// The longest time that a request to the service may take.
    pub longest_request: Duration,
    /// Whether the order was withdrawn.
    pub is_withdrawn: bool,
}

/// Why a version was rolled back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RollbackReason {
    /// The version is worse than the others.
    Worse,
    /// The version wasn't shown to be good in time.
    Late,
    /// The order was withdrawn.
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

/// Phase of a roll-out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// The controller waits for upstreams of the destination version and for the nodes' reports.
    Waiting,
    /// The destination version gets a small share.
    Trial,
    /// The share of the destination version rises step by step.
    Advancing {
        /// Index of the step.
        step: usize,
        /// When the step began.
        since: Duration,
    },
    /// The destination version gets all new requests, while requests in flight at the others end.
    Draining {
        /// When the phase began.
        since: Duration,
    },
    /// The destination version serves alone.
    Completed,
    /// The destination version gets nothing.
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

/// Exposure of the destination version so far. A controller that takes over reads it from the
/// store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ExposureSpent {
    /// Requests to the service.
    pub requests: u64,
    /// Sends to the destination version.
    pub exposed: u64,
}

/// Decides on the roll-out of one order.
#[derive(Debug, Clone)]
pub struct RolloutController {
    budget: ExposureBudget,
    deadline_at: Duration,
    duration: Duration,
    phase: Phase,
    /// Exposure that isn't contained in the counts of the nodes that report.
    spent_before: ExposureSpent,
    has_all_reports: bool,
    comparison: Comparison,
    compared_at: Duration,
    /// When the measurement of the rate began, and the number of requests by then. Meaningful once
    /// all live nodes have reported.
    rate_from: (Duration, u64),
    /// Rate of requests to the service; `None` until it has been measured for [`RATE_WINDOW`].
    rate_per_s: Option<f64>,
}

impl RolloutController {
    /// Creates the controller of an order that must be completed by `deadline_at` and was given
    /// `duration` before that. `spent_before` is the exposure that a previous controller has
    /// written to the store.
    pub fn new(
        budget: ExposureBudget,
        deadline_at: Duration,
        duration: Duration,
        spent_before: ExposureSpent,
    ) -> Self {
        Self {
            budget,
            deadline_at,
            duration,
            phase: Phase::Waiting,
            spent_before,
            has_all_reports: false,
            comparison: Comparison::default(),
            compared_at: Duration::ZERO,
            rate_from: (Duration::ZERO, 0),
            rate_per_s: None,
        }
    }

    /// Returns the phase of the roll-out.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns the exposure so far, given what all nodes have counted.
    pub fn spent(&self, counts: &RolloutCounts) -> ExposureSpent {
        ExposureSpent {
            requests: self.spent_before.requests + counts.requests,
            exposed: self.spent_before.exposed + counts.exposed,
        }
    }

    /// Moves to the phase that an observation calls for, and returns the share of the destination
    /// version from now on.
    pub fn step(&mut self, now: Duration, observed: Observation<'_>) -> f64 {
        self.record(now, &observed);
        let next = self.next_phase(now, &observed);
        if next != self.phase {
            self.comparison.restart();
        }
        self.phase = next;
        match self.phase {
            Phase::Waiting | Phase::RolledBack(_) => 0.0,
            Phase::Trial => self.trial_share(now, &observed),
            Phase::Advancing { step, .. } => STEP_SHARES[step],
            Phase::Draining { .. } | Phase::Completed => 1.0,
        }
    }

    fn record(&mut self, now: Duration, observed: &Observation<'_>) {
        if !self.has_all_reports && observed.is_complete {
            self.has_all_reports = true;
            // The nodes report again what they reported to the previous controller, which wrote it
            // to the store.
            self.spent_before.requests =
                self.spent_before.requests.saturating_sub(observed.counts.requests);
            self.spent_before.exposed =
                self.spent_before.exposed.saturating_sub(observed.counts.exposed);
            self.rate_from = (now, observed.counts.requests);
        }
        if now >= self.compared_at + COMPARISON_INTERVAL {
            self.comparison.add_interval(observed.counts);
            self.compared_at = now;
        }
        if self.has_all_reports {
            self.measure_rate(now, observed.counts.requests);
        }
    }

    fn measure_rate(&mut self, now: Duration, requests: u64) {
        let (from, requests_before) = self.rate_from;
        if now < from + RATE_WINDOW {
            return;
        }
        let elapsed_s = now.saturating_sub(from).as_secs_f64();
        let arrived = requests.saturating_sub(requests_before);
        self.rate_per_s = Some(arrived as f64 / elapsed_s);
        self.rate_from = (now, requests);
    }

    fn next_phase(&self, now: Duration, observed: &Observation<'_>) -> Phase {
        if matches!(self.phase, Phase::Completed | Phase::RolledBack(_)) {
            return self.phase;
        }
        if observed.is_withdrawn {
            return Phase::RolledBack(RollbackReason::Withdrawn);
        }
        if self.comparison.verdict() == Verdict::Worse {
            return Phase::RolledBack(RollbackReason::Worse);
        }
        if let Phase::Draining { since } = self.phase
            && observed.is_drained
            && now >= self.earliest_completion(since)
        {
            return Phase::Completed;
        }
        if now + self.duration.mul_f64(FINAL_WRITE_PART / 2.0) >= self.deadline_at {
            return Phase::RolledBack(RollbackReason::Late);
        }
        match self.phase {
            Phase::Waiting if observed.upstreams.destination > 0 && self.has_all_reports => {
                Phase::Trial
            }
            Phase::Trial if self.may_advance(now, observed) => {
                Phase::Advancing { step: 0, since: now }
            }
            Phase::Advancing { step, since } if now >= since + self.step_duration() => {
                let is_last = step + 1 == STEP_SHARES.len();
                let next = Phase::Advancing { step: step + 1, since: now };
                if is_last { Phase::Draining { since: now } } else { next }
            }
            phase => phase,
        }
    }

    fn step_duration(&self) -> Duration {
        let (least, most) = STEP_DURATIONS;
        self.duration.mul_f64(STEP_DURATION_PART).clamp(least, most)
    }

    /// Returns when a drained roll-out may be completed at the earliest: a fault that shows only
    /// under all requests must show while the upstreams of the other versions are still there.
    fn earliest_completion(&self, draining_since: Duration) -> Duration {
        let latest = self.deadline_at.saturating_sub(self.duration.mul_f64(FINAL_WRITE_PART));
        (draining_since + self.step_duration() * HOLD_STEPS).min(latest)
    }

    /// Returns when the trial is to end and the share begins to rise.
    fn advance_at(&self, longest_request: Duration) -> Duration {
        let drain = longest_request.min(self.duration.mul_f64(DRAIN_PART_MAX));
        let drain = drain.max(self.step_duration() * HOLD_STEPS);
        let steps = self.step_duration() * STEP_SHARES.len() as u32;
        let remaining = drain + steps + self.duration.mul_f64(FINAL_WRITE_PART);
        self.deadline_at.saturating_sub(remaining)
    }

    fn may_advance(&self, now: Duration, observed: &Observation<'_>) -> bool {
        if now < self.advance_at(observed.longest_request) {
            return false;
        }
        self.comparison.verdict() == Verdict::NotWorse || self.fits_budget(now, observed)
    }

    /// Returns whether even a bad version would stay within the budget if it got all requests until
    /// the deadline.
    fn fits_budget(&self, now: Duration, observed: &Observation<'_>) -> bool {
        let Some(rate_per_s) = self.rate_per_s else {
            return false;
        };
        let spent = self.spent(observed.counts);
        let left_s = self.deadline_at.saturating_sub(now).as_secs_f64();
        let forecast = rate_per_s * left_s;
        let budget = self.budget.share * (spent.requests as f64 + forecast) + self.budget.slack;
        spent.exposed as f64 + forecast * FORECAST_MARGIN <= budget * ADVANCE_BUDGET_PART
    }

    fn trial_share(&self, now: Duration, observed: &Observation<'_>) -> f64 {
        let spent = self.spent(observed.counts);
        let budget = self.budget.share * spent.requests as f64 + self.budget.slack;
        let left = budget * TRIAL_BUDGET_PART - spent.exposed as f64;
        let rate = self.rate_per_s.unwrap_or_default().max(1.0);
        let affordable = left / (rate * SHARE_HORIZON.as_secs_f64());
        let time = self.advance_at(observed.longest_request).saturating_sub(now);
        let missing = (TRIAL_RESPONSES - spent.exposed as f64).max(0.0);
        let wanted = missing / (rate * time.max(SHARE_HORIZON).as_secs_f64());
        let UpstreamCounts { destination, others } = observed.upstreams;
        let of_upstreams = destination as f64 / (destination + others).max(1) as f64;
        let (least, most) = TRIAL_SHARES;
        wanted.clamp(least, most).min(of_upstreams).min(affordable).max(0.0)
    }
}

//! The budget of sends beyond the first, which all nodes share without talking about it: each
//! spends its part of the allowance, measured by what it took in itself.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

/// Part of the allowed ratio that a node spends. Below 1, since windows of nodes don't line up
/// and a request counted late in one window may be repeated in the next.
const RATIO_PART: f64 = 0.7;
/// Part of the allowed slack that the nodes spend together. Below 1, since nodes that join or
/// return briefly count fewer peers than there are.
const SLACK_PART: f64 = 0.6;

/// What all nodes together may spend.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Allowance {
    /// Extra sends for each request to a service.
    pub ratio: f64,
    /// Extra sends a window besides.
    pub slack: f64,
    /// The window.
    pub window: Duration,
}

#[derive(Debug, Default)]
struct Spending {
    requests: VecDeque<Duration>,
    extras: VecDeque<Duration>,
}

impl Spending {
    fn forget(&mut self, before: Duration) {
        for list in [&mut self.requests, &mut self.extras] {
            while list.front().is_some_and(|at| *at < before) {
                list.pop_front();
            }
        }
    }
}

/// What a node has spent, by service.
#[derive(Debug)]
pub struct RetryBudget {
    allowance: Allowance,
    services: HashMap<Arc<str>, Spending>,
}

impl RetryBudget {
    /// Creates a budget of which nothing is spent.
    pub fn new(allowance: Allowance) -> Self {
        Self { allowance, services: HashMap::new() }
    }

    /// Changes the allowance.
    pub fn set_allowance(&mut self, allowance: Allowance) {
        self.allowance = allowance;
    }

    /// Counts requests for a service.
    pub fn record_requests(&mut self, now: Duration, service: &Arc<str>, count: usize) {
        let spending = self.services.entry(service.clone()).or_default();
        spending.requests.extend(std::iter::repeat_n(now, count));
        spending.forget(now.saturating_sub(self.allowance.window));
    }

    /// Takes `count` extra sends to a service, or none; tells whether it did. `nodes` is the
    /// number of nodes that share the slack.
    pub fn try_spend(&mut self, now: Duration, service: &Arc<str>, count: usize, nodes: usize) -> bool {
        let spending = self.services.entry(service.clone()).or_default();
        spending.forget(now.saturating_sub(self.allowance.window));
        let by_ratio = spending.requests.len() as f64 * self.allowance.ratio * RATIO_PART;
        let by_slack = self.allowance.slack * SLACK_PART / nodes.max(1) as f64;
        if (spending.extras.len() + count) as f64 > by_ratio + by_slack {
            return false;
        }
        spending.extras.extend(std::iter::repeat_n(now, count));
        true
    }
}

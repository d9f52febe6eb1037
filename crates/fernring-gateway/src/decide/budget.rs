//! The budget of sends beyond the first. All nodes share it without communicating: each spends its
//! part of the allowance, in proportion to the requests that it received itself.
//!
//! A node that starts doesn't know what was spent before: all nodes may have ended at the same moment,
//! with their budgets spent. For the length of a window it spends only what nodes that ran before
//! can't have spent.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

/// Part of the allowed ratio that a node spends. It is below 1 because the windows of the nodes are
/// not aligned: a request counted late in one window may be repeated in the next.
const RATIO_SHARE: f64 = 0.7;
/// Part of the allowed ratio that a node spends in the first window after its start.
const STARTUP_RATIO_SHARE: f64 = 1.0 - RATIO_SHARE;
/// Part of the allowed slack that all nodes spend together. It is below 1 because nodes that join
/// or return briefly count fewer peers than there are.
const SLACK_SHARE: f64 = 0.6;
/// Part of the allowed slack that all nodes spend together in the first window after their start.
const STARTUP_SLACK_SHARE: f64 = 1.0 - SLACK_SHARE;

/// Extra sends allowed to all nodes together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Allowance {
    /// Extra sends per request to a service.
    pub ratio: f64,
    /// Extra sends per window in addition.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

#[derive(Debug, Default)]
struct Spending {
    requests: VecDeque<Duration>,
    extra_sends: VecDeque<Duration>,
}

impl Spending {
    fn drop_before(&mut self, before: Duration) {
        for list in [&mut self.requests, &mut self.extra_sends] {
            while list.front().is_some_and(|at| *at < before) {
                list.pop_front();
            }
        }
    }
}

/// The extra sends of one node, by service.
#[derive(Debug)]
pub struct RetryBudget {
    allowance: Allowance,
    started_at: Duration,
    services: HashMap<Arc<str>, Spending>,
}

impl RetryBudget {
    /// Creates the budget of a node that starts.
    pub fn new(allowance: Allowance, started_at: Duration) -> Self {
        Self { allowance, started_at, services: HashMap::new() }
    }

    /// Changes the allowance.
    pub fn set_allowance(&mut self, allowance: Allowance) {
        self.allowance = allowance;
    }

    /// Records requests to a service.
    pub fn record_requests(&mut self, now: Duration, service: &Arc<str>, count: usize) {
        let spending = self.services.entry(service.clone()).or_default();
        spending.requests.extend(std::iter::repeat_n(now, count));
        spending.drop_before(now.saturating_sub(self.allowance.window));
    }

    /// Spends `count` extra sends to a service, or none; returns whether it did. `nodes` is the
    /// number of nodes that share the slack; a node that doesn't know it spends no slack.
    pub fn try_spend(
        &mut self,
        now: Duration,
        service: &Arc<str>,
        count: usize,
        nodes: Option<usize>,
    ) -> bool {
        let spending = self.services.entry(service.clone()).or_default();
        spending.drop_before(now.saturating_sub(self.allowance.window));
        let is_starting = now < self.started_at + self.allowance.window;
        let (ratio_share, slack_share) = match is_starting {
            true => (STARTUP_RATIO_SHARE, STARTUP_SLACK_SHARE),
            false => (RATIO_SHARE, SLACK_SHARE),
        };
        let by_ratio = spending.requests.len() as f64 * self.allowance.ratio * ratio_share;
        let slack_of_node = |nodes: usize| self.allowance.slack * slack_share / nodes.max(1) as f64;
        let by_slack = nodes.map_or(0.0, slack_of_node);
        if (spending.extra_sends.len() + count) as f64 > by_ratio + by_slack {
            return false;
        }
        spending.extra_sends.extend(std::iter::repeat_n(now, count));
        true
    }
}

//! The node's retry budget. Its size depends on the number of nodes, including those that this node
//! hasn't heard yet or no longer reaches.

use {
    crate::{
        budget::{Allowance, RetryBudget},
        telemetry,
        upstreams::Upstreams,
    },
    std::{cell::RefCell, rc::Rc, sync::Arc, time::Duration},
};

/// The retry budget of a node.
pub struct Retries {
    budget: RefCell<RetryBudget>,
    upstreams: Rc<Upstreams>,
}

impl Retries {
    /// Creates the budget of a node that starts.
    pub fn new(allowance: Allowance, started_at: Duration, upstreams: Rc<Upstreams>) -> Self {
        Self { budget: RefCell::new(RetryBudget::new(allowance, started_at)), upstreams }
    }

    /// Changes the allowance.
    pub fn set_allowance(&self, allowance: Allowance) {
        self.budget.borrow_mut().set_allowance(allowance);
    }

    /// Counts requests for a service.
    pub fn count_requests(&self, now: Duration, service: &Arc<str>, count: usize) {
        self.budget.borrow_mut().record_requests(now, service, count);
    }

    /// Spends budget on extra sends to a service, all of them or none; returns whether the budget
    /// allowed them.
    pub fn try_spend(&self, now: Duration, service: &Arc<str>, count: usize) -> bool {
        let nodes = self.upstreams.peak_nodes();
        let is_allowed = self.budget.borrow_mut().try_spend(now, service, count, nodes);
        if !is_allowed {
            telemetry::record_retry_denied(service);
        }
        is_allowed
    }
}

//! The retry budget with what it needs to know of the node.

use {
    crate::{
        budget::{Allowance, RetryBudget},
        telemetry,
        peers::Peers,
    },
    std::{cell::RefCell, rc::Rc, sync::Arc, time::Duration},
};

/// The retry budget of a node.
pub struct Retries {
    budget: RefCell<RetryBudget>,
    peers: Rc<Peers>,
}

impl Retries {
    /// Creates a budget of which nothing is spent.
    pub fn new(allowance: Allowance, peers: Rc<Peers>) -> Self {
        Self { budget: RefCell::new(RetryBudget::new(allowance)), peers }
    }

    /// Changes the allowance.
    pub fn set_allowance(&self, allowance: Allowance) {
        self.budget.borrow_mut().set_allowance(allowance);
    }

    /// Counts requests for a service.
    pub fn count_requests(&self, now: Duration, service: &Arc<str>, count: usize) {
        self.budget.borrow_mut().count_requests(now, service, count);
    }

    /// Takes extra sends to a service, or none; tells whether it did.
    pub fn try_spend(&self, now: Duration, service: &Arc<str>, count: usize) -> bool {
        let nodes = self.peers.nodes();
        let is_taken = self.budget.borrow_mut().take(now, service, count, nodes);
        if !is_taken {
            telemetry::record_retry_denied(service);
        }
        is_taken
    }
}

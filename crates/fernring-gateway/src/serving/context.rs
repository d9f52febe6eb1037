//! The parts of a node that requests use on their way.

use {
    crate::{
        blame::Blame, config::ConfigState, deadline_timer::DeadlineTimer, peers::Peers,
        reading::ReadingSpeeds, retries::Retries, rollout::shell::Rollouts,
        settings::DecideSettings, stages::Stages, upstreams::Upstreams, wire::Wire,
    },
    fernring_core::clock::Clock,
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
        time::Duration,
    },
};

/// What serves requests; shared by all connections of a node.
pub struct ServingContext {
    /// The clock.
    pub clock: Rc<dyn Clock>,
    /// Waits for its points.
    pub deadline_timer: Rc<DeadlineTimer>,
    /// The platform's formats.
    pub wire: Rc<dyn Wire>,
    /// The configuration in force.
    pub config: Rc<RefCell<ConfigState>>,
    /// The upstreams.
    pub upstreams: Rc<Upstreams>,
    /// The other nodes.
    pub peers: Rc<Peers>,
    /// The stages.
    pub stages: Rc<Stages>,
    /// How fast model engines read, as learned since the start.
    pub prefill_speeds: ReadingSpeeds,
    /// The mechanisms of the policy that are on.
    pub decide_settings: Rc<Cell<DecideSettings>>,
    /// The retry budget.
    pub retries: Rc<Retries>,
    /// Versions that are rolled out.
    pub rollouts: Rc<Rollouts>,
    /// The upstreams that ended, and what ran there.
    pub crash_attribution: Rc<Blame>,
    /// Requests in flight.
    pub in_flight: Cell<isize>,
}

impl std::fmt::Debug for ServingContext {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Serving").field("in_flight", &self.in_flight).finish_non_exhaustive()
    }
}

impl ServingContext {
    /// Returns the steady time.
    pub fn now(&self) -> Duration {
        self.clock.now().monotonic
    }

    /// Adds to the number of requests in flight.
    pub fn adjust_in_flight(&self, change: isize) {
        self.in_flight.set(self.in_flight.get() + change);
    }
}

//! The parts of a node that serving a request needs.

use {
    crate::{
        config::ConfigState, crash_attribution::CrashAttribution, deadline_timer::DeadlineTimer,
        held_bodies::HeldBodies, peers::Peers, prefill_pauses::PrefillPauses,
        prefill_speed::PrefillSpeeds, prefix_demand::PrefixDemands, retries::Retries,
        rollout::coordinator::Rollouts, settings::DecideSettings, shutdown::Shutdown,
        slack::MeanSlacks, stages::Stages, stream_origins::StreamOrigins, tailing::Tailing,
        upstreams::Upstreams, wire::Wire,
    },
    fernring_core::clock::Clock,
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
        time::Duration,
    },
};

/// The parts of a node that serve requests; shared by all of its connections.
pub struct ServingContext {
    /// The clock.
    pub clock: Rc<dyn Clock>,
    /// The timer for waits until a deadline.
    pub deadline_timer: Rc<DeadlineTimer>,
    /// The platform's formats.
    pub wire: Rc<dyn Wire>,
    /// The configuration in force.
    pub config: Rc<RefCell<ConfigState>>,
    /// How this node keeps up with the configuration.
    pub config_tailing: Rc<RefCell<Tailing>>,
    /// Longest time from an operator's change of the configuration until it is in force.
    pub propagation_bound: Cell<Duration>,
    /// The upstreams.
    pub upstreams: Rc<Upstreams>,
    /// The other nodes.
    pub peers: Rc<Peers>,
    /// The client of the stages' owners.
    pub stages: Rc<Stages>,
    /// The prefill speeds of model engines, measured since the start.
    pub prefill_speeds: PrefillSpeeds,
    /// Mean slack of the requests that need a stage service.
    pub mean_slacks: MeanSlacks,
    /// The pauses of streams while prompts are prefilled, measured since the start.
    pub prefill_pauses: PrefillPauses,
    /// The prompts that this node sent recently, by prefix.
    pub prefix_demands: RefCell<PrefixDemands>,
    /// The mechanisms of the policy that are enabled.
    pub decide_settings: Rc<Cell<DecideSettings>>,
    /// The retry budget.
    pub retries: Rc<Retries>,
    /// The versions that are being rolled out.
    pub rollouts: Rc<Rollouts>,
    /// The versions that began the streams that may be resumed.
    pub stream_origins: Rc<StreamOrigins>,
    /// The attribution of upstreams' crashes to requests.
    pub crash_attribution: Rc<CrashAttribution>,
    /// The bodies of responses that are collected or wait to be sent.
    pub held_bodies: HeldBodies,
    /// The shutdown of this node.
    pub shutdown: Shutdown,
    /// Number of requests in flight.
    pub in_flight: Cell<isize>,
}

impl std::fmt::Debug for ServingContext {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("ServingContext").field("in_flight", &self.in_flight).finish_non_exhaustive()
    }
}

impl ServingContext {
    /// Returns the current monotonic time.
    pub fn now(&self) -> Duration {
        self.clock.now().monotonic
    }

    /// Runs `work` until a deadline, or until this node shuts down and its requests have to be
    /// answered; returns `None` if it isn't done by then.
    pub async fn complete_by<T>(
        &self,
        deadline: Duration,
        work: impl Future<Output = T>,
    ) -> Option<T> {
        tokio::select! {
            biased;
            done = self.deadline_timer.complete_by(deadline, work) => done,
            () = self.shutdown.wait_until_due(&self.deadline_timer) => None,
        }
    }

    /// Changes the number of requests in flight by `change`.
    pub fn adjust_in_flight(&self, change: isize) {
        self.in_flight.set(self.in_flight.get() + change);
    }
}

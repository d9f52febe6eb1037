//! The lifecycle of requests on a node.
//!
//! A submission becomes one entry of the ledger, passes through the stages of its
//! pipeline, and gets exactly one final answer. Each submodule covers one step:
//!
//! - `admission`: accepts or refuses a submission, joins it to a running request, or relays it to
//!   the owner of its key;
//! - `forecast`: predicts when a request would finish;
//! - `attempts`: queues, attempts, retries and hedges;
//! - `parts`: collects the parts of responses and streams them to callers;
//! - `ownership`: claims, tickets and answers from the owners of keys;
//! - `finish`: final answers, and how long they are kept;
//! - `entry`: the data of a request and its attempts;
//! - `timers`: the timers of requests, attempts and queues.

mod admission;
mod attempts;
mod entry;
mod finish;
mod forecast;
mod ownership;
mod parts;
mod timers;

use {
    crate::{
        answer::Answer,
        budget::RetryBudget,
        claims::{ClaimQueue, ClaimRules, ClaimView},
        cost::CostTable,
        event::{Action, Counters, Event, KeyStatus},
        queue::{PoolQueue, QueueOrder},
        settings::{PolicyMode, PolicySettings},
        upstreams::Upstreams,
        workspace_limits::{WorkspaceDemand, WorkspaceLimits},
    },
    entry::{Attempt, Entry},
    fernring_core::{
        catalog::Catalog,
        clock::Now,
        code::Class,
        ids::{Incarnation, RequestId, RequestKey, ScopedKey, WaiterId},
        text::LogLine,
    },
    finish::KeptAnswers,
    forecast::Forecast,
    ownership::TicketIssuer,
    rand::{SeedableRng, rngs::SmallRng},
    slotmap::SlotMap,
    std::{
        collections::{BTreeMap, HashMap, HashSet},
        net::SocketAddr,
        sync::Arc,
        time::Duration,
    },
    timers::{TimerKind, Timers},
};

/// Identifies a node and the failure domain in which it runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// Incarnation of the process; a restart gets a new one.
    pub incarnation: Incarnation,
    /// Address at which peers reach the node.
    pub address: SocketAddr,
    /// Failure domain of the node.
    pub failure_domain: Arc<str>,
}

/// Makes all decisions about requests on one node: a state machine that turns events into actions.
///
/// No I/O: the caller carries out the actions and reports their results as events.
#[derive(Debug)]
pub struct Dispatcher {
    identity: Identity,
    settings: PolicySettings,
    catalog: Arc<Catalog>,
    /// Whether the node refuses new requests.
    draining: bool,
    /// Accepted requests that have not got their final answer.
    ledger: SlotMap<RequestId, Entry>,
    /// Ledger entries that have a key. Invariant: refers only to entries in the ledger.
    request_by_key: HashMap<ScopedKey, RequestId>,
    /// Attempts that have not ended, including those whose entry has ended. Invariant: each was
    /// dispatched once and holds one slot of its upstream.
    attempts: HashMap<u64, Attempt>,
    next_attempt_number: u64,
    /// The ledger entry whose answer a waiter expects.
    request_by_waiter: HashMap<WaiterId, RequestId>,
    /// Waiters of submissions that were relayed to the owner of their key without a ledger entry.
    relayed_waiters: HashSet<WaiterId>,
    kept_answers: KeptAnswers,
    ticket_issuer: TicketIssuer,
    claim_view: ClaimView,
    claim_queue: ClaimQueue,
    upstreams: Upstreams,
    queues: BTreeMap<String, PoolQueue>,
    forecast: Forecast,
    retry_budget: RetryBudget,
    workspace_limits: WorkspaceLimits,
    costs: CostTable,
    counters: Counters,
    timers: Timers,
    rng: SmallRng,
    /// Actions of the current event, which [`Self::handle`] returns.
    actions: Vec<Action>,
}

impl Dispatcher {
    /// Creates a dispatcher with an empty ledger and no catalog. `seed` drives every random choice.
    pub fn new(identity: Identity, settings: PolicySettings, seed: u64) -> Self {
        let rules =
            ClaimRules { horizon_ms: settings.claim_horizon_ms, skew_ms: settings.clock_skew_ms };
        Self {
            claim_view: ClaimView::new(identity.incarnation, rules),
            upstreams: Upstreams::new(identity.failure_domain.clone(), settings.clone()),
            retry_budget: RetryBudget::new(settings.retry_budget_percent),
            identity,
            settings,
            catalog: Arc::default(),
            draining: false,
            ledger: SlotMap::with_key(),
            request_by_key: HashMap::new(),
            attempts: HashMap::new(),
            next_attempt_number: 1,
            request_by_waiter: HashMap::new(),
            relayed_waiters: HashSet::new(),
            kept_answers: KeptAnswers::default(),
            ticket_issuer: TicketIssuer::default(),
            claim_queue: ClaimQueue::default(),
            queues: BTreeMap::new(),
            forecast: Forecast::default(),
            workspace_limits: WorkspaceLimits::default(),
            costs: CostTable::default(),
            counters: Counters::default(),
            timers: Timers::default(),
            rng: SmallRng::seed_from_u64(seed),
            actions: Vec::new(),
        }
    }

    /// Handles one event and returns the actions to carry out, in order.
    ///
    /// # Panics
    /// If the accounting identity of [`Counters`] does not hold. Then an answer was lost or given
    /// twice, and continuing would hide the fault.
    pub fn handle(&mut self, now: Now, event: Event) -> Vec<Action> {
        self.run_due_timers(now);
        match event {
            Event::Submit(submission) => self.handle_submission(now, submission),
            Event::WaiterLeft(waiter) => self.handle_waiter_left(waiter),
            Event::Parts { attempt, parts } => self.handle_parts(now, attempt, parts),
            Event::AttemptEnded { attempt, end } => self.handle_attempt_ended(now, attempt, end),
            Event::ClaimsRead(page) => self.handle_claims_read(now, page),
            Event::ClaimsAppended => self.claim_queue.record_success(),
            Event::ClaimsOutcomeUnknown => self.handle_claims_outcome_unknown(now),
            Event::OwnerAnswered { waiter, answer } => {
                self.handle_owner_answered(now, waiter, answer);
            }
            Event::Configured(catalog) => self.apply_catalog(now, catalog),
            Event::UpstreamsReported(reports) => {
                for report in &reports {
                    self.upstreams.record_report(now.monotonic, report);
                }
                self.dispatch_from_all_queues(now);
            }
            Event::VmsLeaving(names) => self.upstreams.set_leaving_vms(&names),
            Event::Drain => self.draining = true,
            Event::Tick => self.dispatch_from_all_queues(now),
        }
        self.append_claims(now);
        self.kept_answers.expire(now.monotonic, &self.settings);
        self.ticket_issuer.expire(now.monotonic, &self.settings);
        self.assert_accounting();
        std::mem::take(&mut self.actions)
    }

    /// Returns the monotonic time at which [`Event::Tick`] is due, if any.
    pub fn next_timer(&self) -> Option<Duration> {
        self.timers.next()
    }

    /// Returns the current counters.
    pub fn counters(&self) -> Counters {
        Counters { in_flight: self.ledger.len() as u64, ..self.counters }
    }

    /// Returns the upstream time spent, by pipeline, workspace and stage.
    pub fn costs(&self) -> &CostTable {
        &self.costs
    }

    /// Returns the view folded from the claim stream.
    pub fn claim_view(&self) -> &ClaimView {
        &self.claim_view
    }

    /// Returns the number of attempts that have not ended.
    pub fn attempts_in_flight(&self) -> usize {
        self.attempts.len()
    }

    /// Returns the number of relayed submissions that wait for the answer of another node.
    pub fn relays_in_flight(&self) -> usize {
        self.relayed_waiters.len()
    }

    /// Returns the demand by workspace, to be published in the heartbeat.
    pub fn demand(&mut self, now: Now) -> Vec<WorkspaceDemand> {
        self.workspace_limits.demand(now.monotonic)
    }

    /// Updates the number of live nodes in the failure domain and the demand that the other nodes
    /// published.
    pub fn set_peers(&mut self, live_nodes: u32, demand: &[WorkspaceDemand]) {
        self.upstreams.set_live_nodes(live_nodes);
        self.workspace_limits.set_peer_demand(live_nodes, demand);
    }

    /// Returns the status of a key: from the ledger, the kept answers, or the claim stream.
    pub fn key_status(&self, key: &ScopedKey) -> KeyStatus {
        if let Some(id) = self.request_by_key.get(key) {
            return KeyStatus::Running { stage: self.ledger[*id].stage };
        }
        if let Some(kept) = self.kept_answers.get(key).filter(|kept| !kept.is_unsettled()) {
            return KeyStatus::Ended(kept.answer.clone());
        }
        if let RequestKey::Ticket(ticket) = key.key
            && ticket.incarnation != self.identity.incarnation
        {
            let address = ticket.address;
            return KeyStatus::OwnedElsewhere { incarnation: ticket.incarnation, address };
        }
        self.key_status_from_claims(key)
    }

    /// Puts a new catalog in force.
    fn apply_catalog(&mut self, now: Now, catalog: Arc<Catalog>) {
        self.upstreams.apply_catalog(&catalog);
        self.catalog = catalog;
        let order = self.queue_order();
        for pool in self.upstreams.pool_names() {
            self.queues.entry(pool).or_insert_with(|| PoolQueue::new(order));
        }
        self.dispatch_from_all_queues(now);
    }

    fn queue_order(&self) -> QueueOrder {
        match self.settings.mode {
            PolicyMode::Full => QueueOrder::FairDeadline,
            PolicyMode::Baseline => QueueOrder::Arrival,
        }
    }

    fn run_due_timers(&mut self, now: Now) {
        while let Some(kind) = self.timers.pop_due(now.monotonic) {
            match kind {
                TimerKind::WindowEnd(request) => self.handle_window_ended(now, request),
                TimerKind::HedgeDue(attempt) => self.handle_hedge_due(now, attempt),
                TimerKind::WaiterWindowEnd(waiter) => self.handle_waiter_window_ended(now, waiter),
                TimerKind::QueueCheck => self.dispatch_from_all_queues(now),
            }
        }
    }

    /// Forgets a waiter. Its request goes on.
    fn handle_waiter_left(&mut self, waiter: WaiterId) {
        self.relayed_waiters.remove(&waiter);
        let Some(request) = self.request_by_waiter.remove(&waiter) else {
            return;
        };
        if let Some(entry) = self.ledger.get_mut(request) {
            entry.waiters.retain(|other| other.id != waiter);
        }
    }

    fn log(&mut self, line: LogLine) {
        self.actions.push(Action::Log(line));
    }

    fn answer_waiter(&mut self, waiter: WaiterId, answer: Answer) {
        self.actions.push(Action::Finish { waiter, answer });
    }

    fn count_final_answer(&mut self, class: Class) {
        match class {
            Class::Answered => self.counters.answered += 1,
            Class::NotRun => self.counters.not_run += 1,
            Class::Failed | Class::Late => self.counters.failed += 1,
            Class::Unknown => self.counters.unknown += 1,
        }
    }

    fn assert_accounting(&self) {
        let c = self.counters();
        let ended = c.answered + c.not_run + c.failed + c.unknown;
        assert_eq!(c.accepted, ended + c.in_flight, "accounting identity violated: {c:?}");
    }
}

//! The life of every request on a node.
//!
//! A submission becomes one [`entry::Entry`] of the ledger, passes through the stages of its
//! pipeline, and gets exactly one final answer. The submodules hold one step each:
//!
//! - `admit`: accept, refuse, join a running request, or pass on to the key's owner;
//! - `predict`: when a request would finish;
//! - `run`: queues, attempts, retries, hedges;
//! - `parts`: the parts of answers;
//! - `own`: claims, tickets and the word of other owners;
//! - `finish`: final answers, and what is kept of them.

mod admit;
mod entry;
mod finish;
mod own;
mod parts;
mod predict;
mod run;
mod timers;

use {
    crate::{
        answer::Answer,
        budget::RetryBudget,
        claims::{ClaimQueue, ClaimRules, ClaimView},
        cost::CostTable,
        event::{Action, Counters, Event, KeyStatus},
        queue::{QueueOrder, PoolQueue},
        settings::{PolicyMode, PolicySettings},
        workspace_limits::{WorkspaceDemand, WorkspaceLimits},
        upstreams::Upstreams,
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
    own::TicketBook,
    predict::Forecast,
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

/// Who a node is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// This run of the process.
    pub incarnation: Incarnation,
    /// Its peer address.
    pub address: SocketAddr,
    /// Its failure domain.
    pub failure_domain: Arc<str>,
}

/// The request decisions of one node.
#[derive(Debug)]
pub struct Dispatcher {
    me: Identity,
    settings: PolicySettings,
    catalog: Arc<Catalog>,
    draining: bool,
    ledger: SlotMap<RequestId, Entry>,
    /// Entries with a key. Invariant: points at live entries only.
    by_key: HashMap<ScopedKey, RequestId>,
    /// Attempts that have not ended, also those whose entry has. Invariant: each was dispatched
    /// once and holds one slot of its upstream.
    attempts: HashMap<u64, Attempt>,
    next_attempt: u64,
    /// Where a waiter of a live entry waits.
    waiting: HashMap<WaiterId, RequestId>,
    /// Submissions that were passed on without becoming an entry.
    relays: HashSet<WaiterId>,
    kept: KeptAnswers,
    tickets: TicketBook,
    claim_view: ClaimView,
    claim_queue: ClaimQueue,
    upstreams: Upstreams,
    queues: BTreeMap<String, PoolQueue>,
    forecast: Forecast,
    budget: RetryBudget,
    limits: WorkspaceLimits,
    costs: CostTable,
    counters: Counters,
    timers: Timers,
    rng: SmallRng,
    out: Vec<Action>,
}

impl Dispatcher {
    /// Creates the decisions of a node that knows nothing yet. `seed` drives every random choice.
    pub fn new(me: Identity, settings: PolicySettings, seed: u64) -> Self {
        let rules =
            ClaimRules { horizon_ms: settings.claim_horizon_ms, skew_ms: settings.clock_skew_ms };
        Self {
            claim_view: ClaimView::new(me.incarnation, rules),
            upstreams: Upstreams::new(me.failure_domain.clone(), settings.clone()),
            budget: RetryBudget::new(settings.retry_budget_percent),
            me,
            settings,
            catalog: Arc::default(),
            draining: false,
            ledger: SlotMap::with_key(),
            by_key: HashMap::new(),
            attempts: HashMap::new(),
            next_attempt: 1,
            waiting: HashMap::new(),
            relays: HashSet::new(),
            kept: KeptAnswers::default(),
            tickets: TicketBook::default(),
            claim_queue: ClaimQueue::default(),
            queues: BTreeMap::new(),
            forecast: Forecast::default(),
            limits: WorkspaceLimits::default(),
            costs: CostTable::default(),
            counters: Counters::default(),
            timers: Timers::default(),
            rng: SmallRng::seed_from_u64(seed),
            out: Vec::new(),
        }
    }

    /// Takes in one event and returns what is to be done, in order.
    ///
    /// # Panics
    /// If the accounting identity of [`Counters`] does not hold: then an answer was lost or
    /// given twice, and going on would hide it.
    pub fn handle(&mut self, now: Now, event: Event) -> Vec<Action> {
        self.run_timers(now);
        match event {
            Event::Submit(submission) => self.submit(now, submission),
            Event::WaiterLeft(waiter) => self.waiter_left(waiter),
            Event::Parts { attempt, parts } => self.take_parts(now, attempt, parts),
            Event::AttemptEnded { attempt, end } => self.attempt_ended(now, attempt, end),
            Event::ClaimsRead(page) => self.claims_read(now, page),
            Event::ClaimsAppended => self.claim_queue.record_success(),
            Event::ClaimsOutcomeUnknown => self.claims_in_doubt(now),
            Event::OwnerAnswered { waiter, answer } => self.owner_answered(now, waiter, answer),
            Event::Configured(catalog) => self.configure(now, catalog),
            Event::UpstreamsReported(reports) => {
                for report in &reports {
                    self.upstreams.record_report(now.monotonic, report);
                }
                self.pump_all(now);
            }
            Event::VmsLeaving(names) => self.upstreams.set_leaving_vms(&names),
            Event::Drain => self.draining = true,
            Event::Tick => self.pump_all(now),
        }
        self.append_claims(now);
        self.kept.expire(now.monotonic, &self.settings);
        self.tickets.expire(now.monotonic, &self.settings);
        self.assert_accounting();
        std::mem::take(&mut self.out)
    }

    /// Returns the monotonic time at which [`Event::Tick`] is due, if any.
    pub fn next_timer(&self) -> Option<Duration> {
        self.timers.next()
    }

    /// Returns the numbers of the node.
    pub fn counters(&self) -> Counters {
        Counters { in_flight: self.ledger.len() as u64, ..self.counters }
    }

    /// Returns the costs by stage.
    pub fn costs(&self) -> &CostTable {
        &self.costs
    }

    /// Returns the view of the claim stream.
    pub fn claim_view(&self) -> &ClaimView {
        &self.claim_view
    }

    /// Returns the number of attempts that have not ended.
    pub fn attempts_in_flight(&self) -> usize {
        self.attempts.len()
    }

    /// Returns the number of submissions that wait for another node's word.
    pub fn relays_in_flight(&self) -> usize {
        self.relays.len()
    }

    /// Returns the demand by workspace, for the heartbeat.
    pub fn demand(&mut self, now: Now) -> Vec<WorkspaceDemand> {
        self.limits.demand(now.monotonic)
    }

    /// Takes in the number of live nodes of the failure domain and the others' demand.
    pub fn set_peers(&mut self, live_nodes: u32, demand: &[WorkspaceDemand]) {
        self.upstreams.set_live_nodes(live_nodes);
        self.limits.set_peer_demand(live_nodes, demand);
    }

    /// Tells what is known of a key.
    pub fn key_status(&self, key: &ScopedKey) -> KeyStatus {
        if let Some(id) = self.by_key.get(key) {
            return KeyStatus::Running { stage: self.ledger[*id].stage };
        }
        if let Some(kept) = self.kept.get(key).filter(|kept| !kept.is_unsettled()) {
            return KeyStatus::Ended(kept.answer.clone());
        }
        if let RequestKey::Ticket(ticket) = key.key
            && ticket.incarnation != self.me.incarnation
        {
            let address = ticket.address;
            return KeyStatus::OwnedElsewhere { incarnation: ticket.incarnation, address };
        }
        self.status_by_claims(key)
    }

    fn configure(&mut self, now: Now, catalog: Arc<Catalog>) {
        self.upstreams.apply_catalog(&catalog);
        self.catalog = catalog;
        let order = self.queue_order();
        for pool in self.upstreams.pool_names() {
            self.queues.entry(pool).or_insert_with(|| PoolQueue::new(order));
        }
        self.pump_all(now);
    }

    fn queue_order(&self) -> QueueOrder {
        match self.settings.mode {
            PolicyMode::Full => QueueOrder::FairDeadline,
            PolicyMode::Baseline => QueueOrder::Arrival,
        }
    }

    fn run_timers(&mut self, now: Now) {
        while let Some(kind) = self.timers.pop_due(now.monotonic) {
            match kind {
                TimerKind::WindowEnd(request) => self.window_ended(now, request),
                TimerKind::Hedge(attempt) => self.hedge_due(now, attempt),
                TimerKind::WaiterWindow(waiter) => self.waiter_window_ended(now, waiter),
                TimerKind::Pump => self.pump_all(now),
            }
        }
    }

    fn waiter_left(&mut self, waiter: WaiterId) {
        self.relays.remove(&waiter);
        let Some(request) = self.waiting.remove(&waiter) else {
            return;
        };
        if let Some(entry) = self.ledger.get_mut(request) {
            entry.waiters.retain(|other| other.id != waiter);
        }
    }

    fn log(&mut self, line: LogLine) {
        self.out.push(Action::Log(line));
    }

    fn finish_waiter(&mut self, waiter: WaiterId, answer: Answer) {
        self.out.push(Action::Finish { waiter, answer });
    }

    fn count_end(&mut self, class: Class) {
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
        assert_eq!(c.accepted, ended + c.in_flight, "accounting identity broken: {c:?}");
    }
}

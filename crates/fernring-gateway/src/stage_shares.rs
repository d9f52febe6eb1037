//! Shares of the requests that nodes admit: determines those of the stage services that this node
//! owns, publishes them, and applies those of all owners.

use {
    crate::{
        admission_gate::{AdmissionGate, BindingShare, encode_shares},
        admission_shares::{Availability, ServiceLoad, ShareController, SharesByRank},
        backlog::{Backlog, RANKS},
        demand::{Demands, encode_rates},
        log,
        model::short_hash,
        paced_retries::PacedRetries,
        retry_schedule::{RankRates, RefusedRequest, RetryCapacity, ScheduledRetry},
        settings::DecideSettings,
        telemetry,
        worker_pools::WorkerPool,
        workspace_demands::WorkspaceRank,
        workspace_sharing::WorkspaceSharing,
    },
    fernring_core::text::LogLine,
    fernring_protocol::gateway::{LoadScope, StageLoad, WorkspaceShare},
    std::{
        cell::{Cell, RefCell},
        collections::BTreeMap,
        net::SocketAddr,
        rc::Rc,
        sync::Arc,
        time::Duration,
    },
};

/// Time after which a node that no longer owns a pool forgets its shares.
const OWNED_AGE_MAX: Duration = Duration::from_secs(3);

/// Pieces of a request at one worker pool.
#[derive(Debug, Clone)]
pub struct PoolPieces {
    /// The pool.
    pub pool: WorkerPool,
    /// Number of pieces.
    pub pieces: u32,
}

/// The load of a pool that this node owns.
#[derive(Debug, Clone)]
pub struct OwnedPool {
    /// The pool.
    pub pool: WorkerPool,
    /// Its backlog.
    pub backlog: Backlog,
    /// Number of pieces of a full call.
    pub full_call_pieces: usize,
    /// Duration of a full call.
    pub full_call_time: Duration,
}

/// The share that limits a request.
#[derive(Debug, Clone)]
pub struct LimitedRequest {
    /// The pool with the smallest share.
    pub pool: WorkerPool,
    /// The share and its age.
    pub binding: BindingShare,
    /// Whether the request is admitted by it.
    pub is_admitted: bool,
}

#[derive(Debug, Default)]
struct OwnedShares {
    controller: ShareController,
    /// The ranks that were last logged as limited.
    logged: [bool; RANKS],
    updated_at: Duration,
}

impl OwnedShares {
    fn new(now: Duration, previous_owner: Option<SharesByRank>) -> Self {
        let controller = previous_owner
            .map(|shares| ShareController::taking_over(now, shares))
            .unwrap_or_default();
        Self { controller, ..Self::default() }
    }
}

/// The demand and the shares that a node knows.
pub struct StageShares {
    decide_settings: Rc<Cell<DecideSettings>>,
    demands: RefCell<Demands>,
    gate: RefCell<AdmissionGate>,
    workspaces: WorkspaceSharing,
    retries: PacedRetries,
    owned: RefCell<BTreeMap<WorkerPool, OwnedShares>>,
}

impl StageShares {
    /// Creates the state of a node that knows nothing yet.
    pub fn new(decide_settings: Rc<Cell<DecideSettings>>) -> Self {
        Self {
            decide_settings,
            demands: RefCell::default(),
            gate: RefCell::default(),
            workspaces: WorkspaceSharing::default(),
            retries: PacedRetries::default(),
            owned: RefCell::default(),
        }
    }

    /// Returns whether requests are admitted by shares.
    pub fn is_enabled(&self) -> bool {
        self.decide_settings.get().load_control.shares
    }

    /// Returns whether the shares of ranks are divided among workspaces.
    fn divides_workspaces(&self) -> bool {
        self.decide_settings.get().load_control.workspace_shares
    }

    /// Determines the shares of a pool that this node owns: those of the ranks, and those of listed
    /// workspaces.
    pub fn update_owned(
        &self,
        now: Duration,
        owned: &OwnedPool,
    ) -> (Availability, Vec<WorkspaceShare>) {
        let pool_hash = owned.pool.hash();
        let load = ServiceLoad {
            capacity_per_s: owned.backlog.rate_per_s,
            waiting: owned.backlog.waiting,
            full_call_pieces: owned.full_call_pieces,
            full_call_time: owned.full_call_time,
            demand: self.demands.borrow().total(now, pool_hash),
        };
        let mut all = self.owned.borrow_mut();
        all.retain(|_, shares| now <= shares.updated_at + OWNED_AGE_MAX);
        let shares = all.entry(owned.pool.clone()).or_insert_with(|| {
            OwnedShares::new(now, self.gate.borrow().recent_shares(now, pool_hash))
        });
        shares.updated_at = now;
        let mut availability = *shares.controller.update(now, &load);
        log_changes(&owned.pool, shares, &availability, &load);
        let mut listed = Vec::new();
        if self.divides_workspaces() {
            let offered_per_s = &load.demand.offered_per_s;
            listed =
                self.workspaces.divide_owned(now, &owned.pool, offered_per_s, &mut availability);
        }
        self.gate.borrow_mut().record_shares(now, pool_hash, availability, listed.clone());
        (availability, listed)
    }

    /// Adds the demand and the shares to the loads that are reported in heartbeats.
    pub fn fill_loads(
        &self,
        now: Duration,
        owned: &[OwnedPool],
        load_scope: LoadScope,
        loads: &mut Vec<StageLoad>,
    ) {
        if !self.is_enabled() {
            return;
        }
        let mut by_hash: BTreeMap<u32, StageLoad> =
            std::mem::take(loads).into_iter().map(|load| (load.service_hash, load)).collect();
        for (pool, demand) in self.demands.borrow_mut().to_report(now, load_scope) {
            let load = by_hash.entry(pool).or_default();
            load.offered_per_s = encode_rates(&demand.offered_per_s);
            load.admitted_per_s = encode_rates(&demand.admitted_per_s);
        }
        if self.divides_workspaces() {
            let gate = self.gate.borrow();
            let is_short = |pool, rank| gate.is_short(now, pool, rank);
            for (pool, demands) in self.workspaces.to_report(now, load_scope, is_short) {
                by_hash.entry(pool).or_default().workspace_demands = demands;
            }
        }
        for owned in owned {
            let (availability, listed) = self.update_owned(now, owned);
            let load = by_hash.entry(owned.pool.hash()).or_default();
            load.shares = encode_shares(&availability.shares);
            load.available_per_s = encode_rates(&availability.available_per_s);
            load.workspace_shares = listed;
            telemetry::set_shares(&owned.pool.service, &availability.shares);
        }
        loads.extend(
            by_hash.into_iter().map(|(service_hash, load)| StageLoad { service_hash, ..load }),
        );
    }

    /// Handles the loads that a peer reports, as
    /// [`Backlogs::handle_loads`](crate::backlogs::Backlogs::handle_loads).
    pub fn handle_loads(
        &self,
        now: Duration,
        peer: SocketAddr,
        loads: &[StageLoad],
        load_scope: LoadScope,
        contains_own: bool,
    ) {
        if !self.is_enabled() {
            return;
        }
        self.demands.borrow_mut().handle_loads(now, peer, loads, load_scope, contains_own);
        self.gate.borrow_mut().handle_loads(now, loads);
        if self.divides_workspaces() {
            self.workspaces.handle_loads(now, peer, loads, load_scope, contains_own);
        }
    }

    /// Removes the demand that a lost peer has reported. Its shares are kept until they are too
    /// old, or another owner publishes its own.
    pub fn remove_peer(&self, peer: SocketAddr) {
        self.demands.borrow_mut().remove_peer(peer);
        self.workspaces.remove_peer(peer);
    }

    /// Counts the pieces of a request that arrives, and returns the share that limits it, if any.
    /// `draw` is between 0 and 1.
    pub fn limit_request(
        &self,
        now: Duration,
        route: &Arc<str>,
        workspace: WorkspaceRank,
        path: &[PoolPieces],
        draw: f64,
    ) -> Option<LimitedRequest> {
        let WorkspaceRank { workspace_hash, rank } = workspace;
        let divides_workspaces = self.divides_workspaces();
        for part in path {
            let mut demands = self.demands.borrow_mut();
            demands.record_offered(now, part.pool.hash(), rank, part.pieces);
            telemetry::record_demand(&part.pool.service, rank, "offered");
            if divides_workspaces {
                self.workspaces.record(now, part.pool.hash(), workspace, part.pieces);
            }
        }
        let mut gate = self.gate.borrow_mut();
        let pools = path.iter().map(|part| part.pool.hash());
        let listed_as = divides_workspaces.then_some(workspace_hash);
        let binding = gate.binding_share(now, pools, rank, listed_as)?;
        let own_group = if binding.is_of_workspace { workspace_hash } else { 0 };
        let is_admitted = gate.admits(short_hash(route) ^ own_group, rank, binding.share, draw);
        let part = path.iter().find(|part| part.pool.hash() == binding.pool)?;
        Some(LimitedRequest { pool: part.pool.clone(), binding, is_admitted })
    }

    /// Schedules the retry of a request that was refused for lack of a pool's capacity; `None` if
    /// retries aren't scheduled, or the pool's owner is unknown. `draw` is between 0 and 1.
    pub fn schedule_retry(
        &self,
        now: Duration,
        request_id: &Arc<str>,
        pool: &WorkerPool,
        refused: &RefusedRequest,
        draw: f64,
    ) -> Option<ScheduledRetry> {
        if !self.decide_settings.get().load_control.paced_retries {
            return None;
        }
        let capacity = self.retry_capacity(now, pool)?;
        Some(self.retries.schedule(now, request_id, pool, refused, &capacity, draw))
    }

    fn retry_capacity(&self, now: Duration, pool: &WorkerPool) -> Option<RetryCapacity> {
        let available_per_s = self.gate.borrow().available_per_s(now, pool.hash())?;
        let demands = self.demands.borrow();
        let (all, own) = (demands.total(now, pool.hash()), demands.own(now, pool.hash()));
        let returning_per_s = self.retries.returning_per_s(now, pool);
        let rates = std::array::from_fn(|rank| RankRates {
            available_per_s: available_per_s[rank],
            offered_per_s: all.offered_per_s[rank],
            own_offered_per_s: own.offered_per_s[rank],
            own_returning_per_s: returning_per_s[rank],
        });
        Some(RetryCapacity::new(&rates))
    }

    /// Counts the pieces of a request whose admission was decided.
    pub fn record_decision(
        &self,
        now: Duration,
        rank: usize,
        path: &[PoolPieces],
        is_admitted: bool,
    ) {
        let outcome = if is_admitted { "admitted" } else { "refused" };
        for part in path {
            telemetry::record_demand(&part.pool.service, rank, outcome);
            if is_admitted {
                let mut demands = self.demands.borrow_mut();
                demands.record_admitted(now, part.pool.hash(), rank, part.pieces);
            }
        }
    }
}

/// Logs the ranks that are limited from now on, and those that no longer are.
fn log_changes(
    pool: &WorkerPool,
    owned: &mut OwnedShares,
    availability: &Availability,
    load: &ServiceLoad,
) {
    let limited = availability.shares.map(|share| share < 1.0);
    for rank in (0..RANKS).filter(|rank| limited[*rank] != owned.logged[*rank]) {
        let line = LogLine::event("share_changed")
            .with("service", pool)
            .with("rank", rank)
            .with("share", format_args!("{:.2}", availability.shares[rank]))
            .with("available_per_s", availability.available_per_s[rank].round())
            .with("offered_per_s", load.demand.offered_per_s[rank].round())
            .with("capacity_per_s", load.capacity_per_s.round())
            .with("waiting", load.waiting[..=rank].iter().sum::<u32>());
        log::info(line);
    }
    owned.logged = limited;
}

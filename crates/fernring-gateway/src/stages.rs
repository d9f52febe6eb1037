//! Client side of stages: submits the pieces of a request's stages to the owners of their services,
//! and waits for the results.

use {
    crate::{
        backlog::Backlog,
        backlogs::Backlogs,
        log,
        model::PIECES_MAX,
        owner::{Owner, Work, WorkOutcome},
        peers::Peers,
        residency::Residency,
        settings::DecideSettings,
        stage_messages::{decode_outcome, decode_work, encode_done, encode_work},
        stage_shares::{OwnedPool, StageShares},
        telemetry,
        tickets::Tickets,
        upstreams::Upstreams,
        worker_pools::{ShardedServices, WorkerPool, draw_domain},
    },
    fernring_core::{clock::Clock, text::LogLine},
    fernring_protocol::gateway::{
        GatewayBody, LoadScope, ReleaseResults, StageDone, StageLoad, StageWork, WorkTicket,
        WorkTickets,
    },
    std::{
        cell::{Cell, RefCell},
        collections::HashMap,
        net::SocketAddr,
        rc::Rc,
        sync::Arc,
        time::Duration,
    },
    tokio::{sync::oneshot, task::spawn_local, time::sleep},
};

/// Number of owners that a stage is submitted to, one after the other, if each is lost.
const OWNER_ATTEMPTS_MAX: u32 = 3;
/// Interval at which owners are asked whether they still have the stages submitted to them. A stage
/// may be lost with a link, and an owner that took this node for lost has cancelled its stages.
const QUERY_INTERVAL: Duration = Duration::from_millis(250);

#[derive(Debug)]
struct PendingStage {
    owner: SocketAddr,
    submitted_at: Duration,
    reply: oneshot::Sender<WorkOutcome>,
}

/// The stages that this node has submitted to owners, and those that peers have submitted to it.
pub struct Stages {
    clock: Rc<dyn Clock>,
    peers: Rc<Peers>,
    owner: Rc<Owner>,
    upstreams: Rc<Upstreams>,
    backlogs: Rc<Backlogs>,
    shares: StageShares,
    pending: RefCell<HashMap<u64, PendingStage>>,
    /// Work of peers that is in progress here, by peer and the peer's ticket; the value is the
    /// work's number at the owner.
    peer_work: RefCell<HashMap<(SocketAddr, u64), u64>>,
    tickets: RefCell<Tickets>,
    /// Last known owner of each worker pool, and since when, for the log.
    last_owners: RefCell<HashMap<WorkerPool, (SocketAddr, Duration)>>,
    /// The services that are sharded by failure domain.
    sharded_services: RefCell<ShardedServices>,
}

/// Cancels a stage when its request is abandoned.
struct CancelGuard<'a> {
    stages: &'a Stages,
    cancel: Option<CancelTarget>,
}

#[derive(Debug, Clone, Copy)]
enum CancelTarget {
    Local(u64),
    Remote { owner: SocketAddr, ticket: u64 },
}

impl Drop for CancelGuard<'_> {
    fn drop(&mut self) {
        match self.cancel {
            None => {}
            Some(CancelTarget::Local(work)) => self.stages.owner.cancel(work),
            Some(CancelTarget::Remote { owner, ticket }) => {
                self.stages.pending.borrow_mut().remove(&ticket);
                self.stages.peers.send(owner, GatewayBody::WorkCancel(WorkTicket { ticket }));
            }
        }
    }
}

impl Stages {
    /// Creates the state of a node without any stage in progress.
    pub fn new(
        clock: Rc<dyn Clock>,
        peers: Rc<Peers>,
        owner: Rc<Owner>,
        upstreams: Rc<Upstreams>,
        decide_settings: Rc<Cell<DecideSettings>>,
    ) -> Self {
        Self {
            clock,
            peers,
            owner,
            upstreams,
            backlogs: Rc::default(),
            shares: StageShares::new(decide_settings),
            pending: RefCell::default(),
            peer_work: RefCell::default(),
            tickets: RefCell::default(),
            last_owners: RefCell::default(),
            sharded_services: RefCell::default(),
        }
    }

    /// Returns the owner of a worker pool, and logs it if it has changed: if nodes name different
    /// owners at the same time, the service's pieces are batched in several places.
    fn resolve_owner(&self, pool: &WorkerPool) -> SocketAddr {
        let owner = self.owner_address(pool);
        let now = self.clock.now().monotonic;
        let mut owners = self.last_owners.borrow_mut();
        let previous = owners.get(pool).copied();
        if previous.is_none_or(|(previous, _)| previous != owner) {
            owners.insert(pool.clone(), (owner, now));
            let line = LogLine::event("owner_changed").with("service", pool).with("owner", owner);
            let line = line.with_some("before", previous.map(|(previous, _)| previous));
            let lasted_ms = previous.map(|(_, since)| now.saturating_sub(since).as_millis());
            log::info(
                line.with_some("lasted_ms", lasted_ms).with("nodes", self.peers.node_count()),
            );
        }
        owner
    }

    /// Returns the backlogs that peers have reported.
    pub fn backlogs(&self) -> &Rc<Backlogs> {
        &self.backlogs
    }

    /// Returns the demand and the shares that this node knows.
    pub fn shares(&self) -> &StageShares {
        &self.shares
    }

    /// Determines the shares of those of the given pools that this node owns, since nobody reports
    /// them to it.
    pub fn update_owned_shares<'a>(&self, pools: impl IntoIterator<Item = &'a WorkerPool>) {
        let now = self.clock.now().monotonic;
        for pool in pools.into_iter().filter(|pool| self.owns(pool)) {
            let Some(backlog) = self.owner.backlog(pool) else {
                continue;
            };
            self.shares.update_owned(now, &self.owned_pool(pool, backlog));
        }
    }

    fn owned_pool(&self, pool: &WorkerPool, backlog: Backlog) -> OwnedPool {
        let (full_call_pieces, full_call_time) =
            self.owner.full_call(&pool.service).unwrap_or_default();
        OwnedPool { pool: pool.clone(), backlog, full_call_pieces, full_call_time }
    }

    /// Returns the known backlog of a worker pool.
    pub fn backlog(&self, pool: &WorkerPool) -> Option<Backlog> {
        let own = if self.owns(pool) { self.owner.backlog(pool) } else { None };
        self.backlogs.estimate(self.clock.now().monotonic, pool, own)
    }

    fn owns(&self, pool: &WorkerPool) -> bool {
        self.owner_address(pool) == self.peers.address()
    }

    /// Returns the owner of a worker pool. The owner of one failure domain's workers is a node of
    /// the same region, since it gets requests that must not leave the region; if there is no other
    /// node in the region, each node is its own owner.
    fn owner_address(&self, pool: &WorkerPool) -> SocketAddr {
        let pool_name = pool.to_string();
        let regions = self.upstreams.regions();
        let region = pool.failure_domain.as_ref().and_then(|domain| regions.region_of(domain));
        match region {
            None => self.peers.owner(&pool_name),
            Some(region) => {
                let is_in_region = |domain: &str| regions.region_of(domain) == Some(region);
                self.peers.owner_among(&pool_name, is_in_region).unwrap_or(self.peers.address())
            }
        }
    }

    /// Selects the worker pool for a stage of a request.
    ///
    /// That is all workers of the service, unless the service is sharded or the request is
    /// restricted to regions. Then it is the workers of one failure domain: of `consumer_domain` if
    /// it has workers, else of a domain that is drawn by the request's identifier. Returns `None`
    /// if there are no workers in the regions of the request.
    pub fn pool_for(
        &self,
        service: &Arc<str>,
        consumer_domain: Option<&Arc<str>>,
        request_id: &str,
        residency: &Residency,
    ) -> Option<WorkerPool> {
        let unsharded = WorkerPool::unsharded(service.clone());
        if !self.is_sharded(service, residency) {
            return Some(unsharded);
        }
        let mut workers = self.owner.workers_by_domain(service);
        workers.retain(|(domain, _)| self.upstreams.allows_domain(residency, domain));
        let consumer_domain = consumer_domain
            .filter(|preferred| workers.iter().any(|(domain, _)| domain == *preferred))
            .cloned();
        let failure_domain = consumer_domain.or_else(|| draw_domain(&workers, request_id));
        if failure_domain.is_none() && residency.is_restricted() {
            return None;
        }
        Some(WorkerPool { failure_domain, ..unsharded })
    }

    /// Returns whether the pieces of a request go to the workers of a single failure domain.
    fn is_sharded(&self, service: &str, residency: &Residency) -> bool {
        let now = self.clock.now().monotonic;
        residency.is_restricted() || self.sharded_services.borrow().is_sharded(now, service)
    }

    /// Returns the short hashes of the services that should be sharded, judged by the traffic that
    /// this node carries for them as their owner.
    pub fn services_to_shard(&self, link_bytes_per_s: f64) -> Vec<u32> {
        let services = self.owner.services_to_shard(|pool| self.owns(pool), link_bytes_per_s);
        services.iter().for_each(|service| self.mark_sharded(*service));
        services
    }

    /// Records that an owner reports a service, named by its short hash, as to be sharded.
    pub fn mark_sharded(&self, service: u32) {
        let now = self.clock.now().monotonic;
        if self.sharded_services.borrow_mut().record_shard_report(now, service) {
            log::info(LogLine::event("service_split").with("service_hash", service));
        }
    }

    /// Returns the loads of stage services that the next heartbeat reports.
    pub fn stage_loads(&self, load_scope: LoadScope) -> Vec<StageLoad> {
        let mut own = self.owner.backlogs();
        own.retain(|(pool, _)| self.owns(pool));
        let owned: Vec<_> =
            own.iter().map(|(pool, backlog)| self.owned_pool(pool, *backlog)).collect();
        let now = self.clock.now().monotonic;
        let mut loads = self.backlogs.stage_loads(now, own, load_scope);
        self.shares.fill_loads(now, &owned, load_scope, &mut loads);
        loads
    }

    /// Handles the loads of stage services in a peer's heartbeat. `contains_own` says whether the
    /// sums of the peer's domain include the loads that this node has reported.
    pub fn handle_peer_loads(
        &self,
        peer: SocketAddr,
        loads: &[StageLoad],
        load_scope: LoadScope,
        contains_own: bool,
    ) {
        let now = self.clock.now().monotonic;
        self.backlogs.handle_loads(now, peer, loads, load_scope, contains_own);
        self.shares.handle_loads(now, peer, loads, load_scope, contains_own);
    }

    /// Runs the pieces of a stage and returns their outcome. Dropping the future cancels them.
    pub async fn run_stage(&self, mut work: Work) -> WorkOutcome {
        let started = self.clock.now().monotonic;
        for _ in 0..OWNER_ATTEMPTS_MAX {
            let owner = self.resolve_owner(&work.pool);
            let (sender, receiver) = oneshot::channel();
            let cancel = self.submit_to(owner, &work, sender);
            let mut guard = CancelGuard { stages: self, cancel: Some(cancel) };
            let outcome = receiver.await.unwrap_or(WorkOutcome::OwnerLost);
            guard.cancel = None;
            drop(guard);
            if outcome == WorkOutcome::NoWorkers {
                self.log_end(&work, owner, started, &outcome);
                let service = work.pool.service.clone();
                let pool = self.pool_for(&service, None, &work.request_id, &work.residency);
                let Some(pool) = pool else {
                    return outcome;
                };
                work.pool = pool;
                continue;
            }
            if outcome != WorkOutcome::OwnerLost {
                self.log_end(&work, owner, started, &outcome);
                return outcome;
            }
            let line = LogLine::event("stage_owner_lost").with("request", &work.request_id);
            log::warn(line.with("stage", work.stage).with("owner", owner));
            work.is_resubmitted = true;
        }
        WorkOutcome::Failed
    }

    fn log_end(&self, work: &Work, owner: SocketAddr, started: Duration, outcome: &WorkOutcome) {
        let now = self.clock.now().monotonic;
        telemetry::record_stage(&work.pool.service, outcome.name(), now.saturating_sub(started));
        let line = LogLine::event("stage_ended")
            .with("request", &work.request_id)
            .with("stage", work.stage)
            .with("service", &work.pool.service)
            .with_some("of_domain", work.pool.failure_domain.as_ref())
            .with("owner", owner)
            .with("pieces", work.pieces)
            .with("outcome", outcome.name())
            .with("took_ms", now.saturating_sub(started).as_millis())
            .with("due_in_ms", work.due_at.as_millis() as i64 - now.as_millis() as i64);
        log::info(line);
    }

    /// Releases results of a service.
    pub fn release(&self, service: &Arc<str>, handles: Vec<Arc<str>>, residency: &Residency) {
        if handles.is_empty() {
            return;
        }
        if !self.is_sharded(service, residency) {
            self.send_release(self.peers.owner(service), service, handles);
            return;
        }
        let mut by_owner: HashMap<SocketAddr, Vec<Arc<str>>> = HashMap::new();
        for handle in handles {
            let failure_domain = self.owner.domain_of_worker(service, &handle);
            let pool = WorkerPool { service: service.clone(), failure_domain };
            by_owner.entry(self.owner_address(&pool)).or_default().push(handle);
        }
        for (owner, handles) in by_owner {
            self.send_release(owner, service, handles);
        }
    }

    fn send_release(&self, owner: SocketAddr, service: &Arc<str>, handles: Vec<Arc<str>>) {
        if owner == self.peers.address() {
            self.owner.release(service, handles);
            return;
        }
        let handles = handles.iter().map(|handle| handle.to_string()).collect();
        let release = ReleaseResults { service: service.to_string(), handles };
        self.peers.send(owner, GatewayBody::Release(release));
    }

    /// Handles that a peer that owns no service sends no more heartbeats to this node.
    pub fn handle_unfollowed(&self, peer: SocketAddr) {
        self.backlogs.remove_peer(peer);
        self.shares.remove_peer(peer);
    }

    /// Handles the loss of a peer: stages that it owned are cancelled there and submitted to another
    /// owner, and the work that it submitted here is cancelled.
    pub fn handle_peer_lost(&self, peer: SocketAddr) {
        self.backlogs.remove_peer(peer);
        self.shares.remove_peer(peer);
        let lost: Vec<_> = {
            let mut pending = self.pending.borrow_mut();
            let tickets: Vec<_> =
                pending.iter().filter(|(_, p)| p.owner == peer).map(|(t, _)| *t).collect();
            let remove = |ticket| Some((ticket, pending.remove(&ticket)?));
            tickets.into_iter().filter_map(remove).collect()
        };
        for (ticket, pending) in lost {
            // The peer may be alive and go on with what is submitted elsewhere.
            self.peers.send(peer, GatewayBody::WorkCancel(WorkTicket { ticket }));
            drop(pending.reply.send(WorkOutcome::OwnerLost));
        }
        let tickets: Vec<_> = self
            .peer_work
            .borrow()
            .keys()
            .filter(|(requester, _)| *requester == peer)
            .copied()
            .collect();
        for (requester, ticket) in tickets {
            self.handle_cancel(requester, ticket);
        }
        self.owner.release_results_of(peer);
    }

    /// Handles pieces that a peer submits to this node as their owner.
    pub fn handle_work(self: &Rc<Self>, sender: SocketAddr, message: StageWork) {
        let ticket = message.ticket;
        if message.pieces > PIECES_MAX {
            let line = LogLine::event("peer_work_refused").with("peer", sender);
            log::warn(line.with("pieces", message.pieces));
            let done = encode_done(ticket, WorkOutcome::Failed);
            self.peers.send(sender, GatewayBody::WorkDone(done));
            return;
        }
        let work = decode_work(self.clock.now().monotonic, sender, message);
        let (reply, receiver) = oneshot::channel();
        let id = self.owner.submit(work, reply);
        // A ticket that is given out again is one of another incarnation, which has ended the first.
        if let Some(ended) = self.peer_work.borrow_mut().insert((sender, ticket), id) {
            self.owner.cancel(ended);
        }
        let stages = self.clone();
        spawn_local(async move {
            let outcome = receiver.await;
            if stages.peer_work.borrow().get(&(sender, ticket)) != Some(&id) {
                return;
            }
            stages.peer_work.borrow_mut().remove(&(sender, ticket));
            let done = encode_done(ticket, outcome.unwrap_or(WorkOutcome::Failed));
            stages.peers.send(sender, GatewayBody::WorkDone(done));
        });
    }

    /// Handles a peer's cancellation of its pieces.
    pub fn handle_cancel(&self, sender: SocketAddr, ticket: u64) {
        if let Some(work) = self.peer_work.borrow_mut().remove(&(sender, ticket)) {
            self.owner.cancel(work);
        }
    }

    /// Handles the outcome of pieces that were submitted to a peer.
    pub fn handle_done(&self, sender: SocketAddr, done: StageDone) {
        let mut all = self.pending.borrow_mut();
        if all.get(&done.ticket).is_none_or(|pending| pending.owner != sender) {
            return;
        }
        let ended = all.remove(&done.ticket);
        drop(all);
        if let Some(pending) = ended {
            drop(pending.reply.send(decode_outcome(&done)));
        }
    }

    /// Asks owners at intervals whether they still have the stages submitted to them, for as long as
    /// the process runs.
    pub async fn run_queries(self: Rc<Self>) {
        loop {
            sleep(QUERY_INTERVAL).await;
            let submitted_before = self.clock.now().monotonic.saturating_sub(QUERY_INTERVAL);
            let mut by_owner: HashMap<SocketAddr, WorkTickets> = HashMap::new();
            for (ticket, pending) in self.pending.borrow().iter() {
                if pending.submitted_at <= submitted_before {
                    by_owner.entry(pending.owner).or_default().tickets.push(*ticket);
                }
            }
            for (owner, tickets) in by_owner {
                self.peers.send(owner, GatewayBody::WorkQuery(tickets));
            }
        }
    }

    /// Handles a peer's question whether this node still has its stages. The reply follows the
    /// outcomes of those that have ended.
    pub fn handle_query(&self, sender: SocketAddr, query: &WorkTickets) {
        let peer_work = self.peer_work.borrow();
        let is_unknown = |ticket: &u64| !peer_work.contains_key(&(sender, *ticket));
        let tickets: Vec<_> = query.tickets.iter().copied().filter(is_unknown).collect();
        drop(peer_work);
        if !tickets.is_empty() {
            self.peers.send(sender, GatewayBody::WorkUnknown(WorkTickets { tickets }));
        }
    }

    /// Handles that an owner doesn't have stages that were submitted to it.
    pub fn handle_unknown(&self, sender: SocketAddr, unknown: &WorkTickets) {
        for ticket in &unknown.tickets {
            let mut pending = self.pending.borrow_mut();
            if pending.get(ticket).is_none_or(|pending| pending.owner != sender) {
                continue;
            }
            let lost = pending.remove(ticket);
            drop(pending);
            if let Some(lost) = lost {
                drop(lost.reply.send(WorkOutcome::OwnerLost));
            }
        }
    }

    /// Handles a peer's release of results.
    pub fn handle_release(&self, release: ReleaseResults) {
        let handles = release.handles.iter().map(|handle| Arc::from(handle.as_str()));
        self.owner.release(&release.service, handles);
    }

    fn submit_to(
        &self,
        owner: SocketAddr,
        work: &Work,
        reply: oneshot::Sender<WorkOutcome>,
    ) -> CancelTarget {
        if owner == self.peers.address() {
            return CancelTarget::Local(self.owner.submit(work.clone(), reply));
        }
        let ticket = self.tickets.borrow_mut().issue();
        let submitted_at = self.clock.now().monotonic;
        let pending = PendingStage { owner, submitted_at, reply };
        self.pending.borrow_mut().insert(ticket, pending);
        let message = encode_work(self.clock.now().monotonic, ticket, work);
        self.peers.send(owner, GatewayBody::Work(message));
        CancelTarget::Remote { owner, ticket }
    }
}

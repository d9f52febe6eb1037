//! The asking side of stages: hands the pieces of a request's stages to their owners and waits.

use {
    crate::{
        backlog::Backlog,
        backlogs::Backlogs,
        content::ContentKey,
        log, telemetry,
        model::PieceInput,
        owner::{Owner, Work, WorkEnd},
        peers::Peers,
        pools::{MakerPool, Splits, draw_domain},
        residency::Residency,
        upstreams::Upstreams,
    },
    bytes::Bytes,
    fernring_core::{clock::Clock, text::LogLine},
    fernring_protocol::gateway::{
        GatewayBody, LoadScope, ReleaseResults, StageDone, StageLoad, StageWork, WorkTicket,
    },
    std::{
        cell::{Cell, RefCell},
        collections::HashMap,
        net::SocketAddr,
        rc::Rc,
        sync::Arc,
        time::Duration,
    },
    tokio::{sync::oneshot, task::spawn_local},
};

/// Owners that a stage is asked of, one after the other, when they are lost.
const OWNER_ATTEMPTS_MAX: u32 = 3;

#[derive(Debug)]
struct PendingStage {
    owner: SocketAddr,
    reply: oneshot::Sender<WorkEnd>,
}

/// The stages that this node has asked for, and those that peers have asked of it.
pub struct Stages {
    clock: Rc<dyn Clock>,
    peers: Rc<Peers>,
    owner: Rc<Owner>,
    upstreams: Rc<Upstreams>,
    backlogs: Rc<Backlogs>,
    pending: RefCell<HashMap<u64, PendingStage>>,
    /// Works of peers that are under way here, by who asked and their number there.
    peer_work: RefCell<HashMap<(SocketAddr, u64), u64>>,
    next_ticket: Cell<u64>,
    /// The owner that each service was last asked of, and since when, for the log.
    last_owners: RefCell<HashMap<MakerPool, (SocketAddr, Duration)>>,
    /// The services that are split between owners.
    shards: RefCell<Splits>,
}

/// Cancels a stage whose request is given up.
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
    /// Creates the stages of a node, none under way.
    pub fn new(
        clock: Rc<dyn Clock>,
        peers: Rc<Peers>,
        owner: Rc<Owner>,
        upstreams: Rc<Upstreams>,
    ) -> Self {
        Self {
            clock,
            peers,
            owner,
            upstreams,
            backlogs: Rc::default(),
            pending: RefCell::default(),
            peer_work: RefCell::default(),
            next_ticket: Cell::new(1),
            last_owners: RefCell::default(),
            shards: RefCell::default(),
        }
    }

    /// Returns the owner of a service, and says so if it isn't the one of before: nodes that name different ones at the
    /// same time split the service's calls.
    fn resolve_owner(&self, pool: &MakerPool) -> SocketAddr {
        let owner = self.owner_address(pool);
        let now = self.clock.now().monotonic;
        let mut owners = self.last_owners.borrow_mut();
        let before = owners.get(pool).copied();
        if before.is_none_or(|(before, _)| before != owner) {
            owners.insert(pool.clone(), (owner, now));
            let line = LogLine::event("owner_changed").with("service", pool).with("owner", owner);
            let line = line.with_some("before", before.map(|(before, _)| before));
            let lasted_ms = before.map(|(_, since)| now.saturating_sub(since).as_millis());
            log::info(line.with_some("lasted_ms", lasted_ms).with("nodes", self.peers.nodes()));
        }
        owner
    }

    /// Returns the backlogs that this node knows.
    pub fn backlogs(&self) -> &Rc<Backlogs> {
        &self.backlogs
    }

    /// Returns what is ahead at some makers, as far as this node knows.
    pub fn backlog(&self, pool: &MakerPool) -> Option<Backlog> {
        let own = if self.owns(pool) { self.owner.backlog(pool) } else { None };
        self.backlogs.of(self.clock.now().monotonic, pool, own)
    }

    fn owns(&self, pool: &MakerPool) -> bool {
        self.owner_address(pool) == self.peers.address()
    }

    /// Returns the owner of some makers. Those of a failure domain have one in their own region, since requests that may not
    /// leave it are asked of them; without another node there, each asks them itself.
    fn owner_address(&self, pool: &MakerPool) -> SocketAddr {
        let what = pool.to_string();
        let regions = self.upstreams.regions();
        let region = pool.failure_domain.as_ref().and_then(|domain| regions.of(domain));
        match region {
            None => self.peers.owner(&what),
            Some(region) => {
                let is_there = |domain: &str| regions.of(domain) == Some(region);
                self.peers.owner_among(&what, is_there).unwrap_or(self.peers.address())
            }
        }
    }

    /// Returns the makers that a stage of a request is asked of: all of a service, or those of one failure domain while it is
    /// split, or if the request is restricted to regions: of `near` if it has some, else of one that is drawn. `None` if no
    /// maker is where the request may be served.
    pub fn pool_for(
        &self,
        service: &Arc<str>,
        near: Option<&Arc<str>>,
        request_id: &str,
        residency: &Residency,
    ) -> Option<MakerPool> {
        let whole = MakerPool::whole(service.clone());
        if !self.is_sharded(service, residency) {
            return Some(whole);
        }
        let mut makers = self.owner.makers_by_domain(service);
        makers.retain(|(domain, _)| self.upstreams.allows(residency, domain));
        let near = near.filter(|near| makers.iter().any(|(domain, _)| domain == *near)).cloned();
        let failure_domain = near.or_else(|| draw_domain(&makers, request_id));
        if failure_domain.is_none() && residency.is_restricted() {
            return None;
        }
        Some(MakerPool { failure_domain, ..whole })
    }

    /// Tells whether the pieces of a request are handed to the makers of one failure domain.
    fn is_sharded(&self, service: &str, residency: &Residency) -> bool {
        let now = self.clock.now().monotonic;
        residency.is_restricted() || self.shards.borrow().is_split(now, service)
    }

    /// Lists the services, by their short hashes, that are to be split by what this node carries of them.
    pub fn services_to_shard(&self, link_bytes_per_s: f64) -> Vec<u32> {
        let services = self.owner.to_be_split(|pool| self.owns(pool), link_bytes_per_s);
        services.iter().for_each(|service| self.mark_sharded(*service));
        services
    }

    /// Takes in that an owner says that a service, by its short hash, should be split.
    pub fn mark_sharded(&self, service: u32) {
        let now = self.clock.now().monotonic;
        if self.shards.borrow_mut().said(now, service) {
            log::info(LogLine::event("service_split").with("service_hash", service));
        }
    }

    /// Returns what is to be said of stage services in heartbeats.
    pub fn stage_loads(&self, loads_of: LoadScope) -> Vec<StageLoad> {
        let mut own = self.owner.backlogs();
        own.retain(|(pool, _)| self.owns(pool));
        self.backlogs.described(self.clock.now().monotonic, own, loads_of)
    }

    /// Takes in what a peer says of stage services. `contains_own` tells whether sums of its domain contain what
    /// this node has told.
    pub fn handle_peer_loads(
        &self,
        peer: SocketAddr,
        loads: &[StageLoad],
        loads_of: LoadScope,
        contains_own: bool,
    ) {
        let now = self.clock.now().monotonic;
        self.backlogs.heard(now, peer, loads, loads_of, contains_own);
    }

    /// Has the pieces of a stage made. Dropping the future cancels them.
    pub async fn run_stage(&self, mut work: Work) -> WorkEnd {
        let started = self.clock.now().monotonic;
        for _ in 0..OWNER_ATTEMPTS_MAX {
            let owner = self.resolve_owner(&work.pool);
            let (sender, receiver) = oneshot::channel();
            let cancel = self.ask(owner, &work, sender);
            let mut guard = CancelGuard { stages: self, cancel: Some(cancel) };
            let end = receiver.await.unwrap_or(WorkEnd::OwnerLost);
            guard.cancel = None;
            drop(guard);
            if end == WorkEnd::NoMakers {
                self.log_end(&work, owner, started, &end);
                let service = work.pool.service.clone();
                let pool = self.pool_for(&service, None, &work.request_id, &work.residency);
                let Some(pool) = pool else {
                    return end;
                };
                work.pool = pool;
                continue;
            }
            if end != WorkEnd::OwnerLost {
                self.log_end(&work, owner, started, &end);
                return end;
            }
            let line = LogLine::event("stage_owner_lost").with("request", &work.request_id);
            log::warn(line.with("stage", work.stage).with("owner", owner));
        }
        WorkEnd::Failed
    }

    fn log_end(&self, work: &Work, owner: SocketAddr, started: Duration, end: &WorkEnd) {
        let now = self.clock.now().monotonic;
        telemetry::record_stage(&work.pool.service, end.name(), now.saturating_sub(started));
        let line = LogLine::event("stage_ended")
            .with("request", &work.request_id)
            .with("stage", work.stage)
            .with("service", &work.pool.service)
            .with_some("of_domain", work.pool.failure_domain.as_ref())
            .with("owner", owner)
            .with("pieces", work.pieces)
            .with("outcome", end.name())
            .with("took_ms", now.saturating_sub(started).as_millis())
            .with("due_in_ms", work.due_at.as_millis() as i64 - now.as_millis() as i64);
        log::info(line);
    }

    /// Gives up results of a service.
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
            let failure_domain = self.owner.domain_of_maker(service, &handle);
            let pool = MakerPool { service: service.clone(), failure_domain };
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

    /// Takes in that nothing more is heard of a peer that owns nothing.
    pub fn handle_unfollowed(&self, peer: SocketAddr) {
        self.backlogs.lost(peer);
    }

    /// Takes in that a peer is lost: what it owned is to be asked for elsewhere, and nobody
    /// there waits any more.
    pub fn handle_peer_lost(&self, peer: SocketAddr) {
        self.backlogs.lost(peer);
        let lost: Vec<_> = {
            let mut pending = self.pending.borrow_mut();
            let tickets: Vec<_> =
                pending.iter().filter(|(_, p)| p.owner == peer).map(|(t, _)| *t).collect();
            tickets.into_iter().filter_map(|ticket| pending.remove(&ticket)).collect()
        };
        for pending in lost {
            drop(pending.reply.send(WorkEnd::OwnerLost));
        }
        let asked: Vec<_> =
            self.peer_work.borrow().keys().filter(|(asker, _)| *asker == peer).copied().collect();
        for (asker, ticket) in asked {
            self.handle_cancel(asker, ticket);
        }
        self.owner.release_of(peer);
    }

    /// Takes in pieces that a peer asks for.
    pub fn handle_work(self: &Rc<Self>, sender: SocketAddr, message: StageWork) {
        let ticket = message.ticket;
        let work = self.decode_work(sender, message);
        let (reply, receiver) = oneshot::channel();
        let id = self.owner.submit(work, reply);
        self.peer_work.borrow_mut().insert((sender, ticket), id);
        let stages = self.clone();
        spawn_local(async move {
            let end = receiver.await;
            if stages.peer_work.borrow_mut().remove(&(sender, ticket)).is_none() {
                return;
            }
            let done = encode_done(ticket, end.unwrap_or(WorkEnd::Failed));
            stages.peers.send(sender, GatewayBody::WorkDone(done));
        });
    }

    /// Takes in that a peer gives up pieces.
    pub fn handle_cancel(&self, sender: SocketAddr, ticket: u64) {
        if let Some(work) = self.peer_work.borrow_mut().remove(&(sender, ticket)) {
            self.owner.cancel(work);
        }
    }

    /// Takes in what became of pieces that a peer was asked for.
    pub fn handle_done(&self, sender: SocketAddr, done: StageDone) {
        let Some(pending) = self.pending.borrow_mut().remove(&done.ticket) else {
            return;
        };
        if pending.owner != sender {
            return;
        }
        let handles = done.handles.iter().map(|handle| Arc::from(handle.as_str())).collect();
        let end = match done.outcome {
            0 => WorkEnd::Made(handles),
            1 => WorkEnd::Late,
            2 => WorkEnd::InputGone,
            4 => WorkEnd::TurnedAway,
            5 => WorkEnd::NoMakers,
            _ => WorkEnd::Failed,
        };
        drop(pending.reply.send(end));
    }

    /// Takes in results that a peer gives up.
    pub fn handle_release(&self, release: ReleaseResults) {
        let handles = release.handles.iter().map(|handle| Arc::from(handle.as_str()));
        self.owner.release(&release.service, handles);
    }

    fn ask(&self, owner: SocketAddr, work: &Work, reply: oneshot::Sender<WorkEnd>) -> CancelTarget {
        if owner == self.peers.address() {
            return CancelTarget::Local(self.owner.submit(work.clone(), reply));
        }
        let ticket = self.next_ticket.get();
        self.next_ticket.set(ticket + 1);
        self.pending.borrow_mut().insert(ticket, PendingStage { owner, reply });
        let message = self.encode_work(ticket, work);
        self.peers.send(owner, GatewayBody::Work(message));
        CancelTarget::Remote { owner, ticket }
    }

    fn encode_work(&self, ticket: u64, work: &Work) -> StageWork {
        let now = self.clock.now().monotonic;
        let (key, inputs) = match &work.input {
            PieceInput::Key(key) => (Some(key.to_string()), Vec::new()),
            PieceInput::Results(handles) => {
                (None, handles.iter().map(|handle| handle.to_string()).collect())
            }
        };
        let due_ms = work.due_at.as_millis() as i64 - i64::try_from(now.as_millis()).unwrap_or(0);
        StageWork {
            ticket,
            service: work.pool.service.to_string(),
            worker_domain: work.pool.failure_domain.as_deref().unwrap_or_default().to_owned(),
            request_id: work.request_id.to_string(),
            stage: work.stage,
            pieces: work.pieces,
            key,
            inputs,
            remaining_ms: work.deadline_at.saturating_sub(now).as_millis() as u32,
            due_ms: due_ms as i32,
            priority: work.priority,
            result_bytes: work.result_bytes,
            consumer_domain: work.near.as_deref().unwrap_or_default().to_owned(),
            fingerprint: Bytes::copy_from_slice(work.content.bytes()),
            allowed_regions: work.residency.regions().map(|region| region.to_string()).collect(),
        }
    }

    fn decode_work(&self, sender: SocketAddr, message: StageWork) -> Work {
        let now = self.clock.now().monotonic;
        let input = match message.key {
            Some(key) => PieceInput::Key(key.into()),
            None => {
                PieceInput::Results(message.inputs.iter().map(|h| Arc::from(h.as_str())).collect())
            }
        };
        let due_ms = now.as_millis() as i64 + i64::from(message.due_ms);
        Work {
            pool: MakerPool {
                service: message.service.into(),
                failure_domain: (!message.worker_domain.is_empty()).then(|| message.worker_domain.into()),
            },
            request_id: message.request_id.as_str().into(),
            stage: message.stage,
            pieces: message.pieces,
            input,
            due_at: Duration::from_millis(due_ms.max(0) as u64),
            deadline_at: now + Duration::from_millis(u64::from(message.remaining_ms)),
            priority: message.priority,
            result_bytes: message.result_bytes,
            residency: decode_residency(message.allowed_regions),
            asker: sender,
            // A node of before says nothing; what it asks for is alike to nobody's.
            content: ContentKey::from_bytes(&message.fingerprint)
                .unwrap_or_else(|| ContentKey::of(None, "", message.request_id.as_bytes())),
            near: (!message.consumer_domain.is_empty()).then(|| message.consumer_domain.into()),
        }
    }
}

/// Reads the regions that a peer names. It asks for nothing that is allowed nowhere, so none stand for any.
fn decode_residency(regions: Vec<String>) -> Residency {
    if regions.is_empty() { Residency::default() } else { Residency::within(regions) }
}

fn encode_done(ticket: u64, end: WorkEnd) -> StageDone {
    let (outcome, handles) = match end {
        WorkEnd::Made(handles) => (0, handles),
        WorkEnd::Late => (1, Vec::new()),
        WorkEnd::InputGone => (2, Vec::new()),
        WorkEnd::Failed | WorkEnd::OwnerLost => (3, Vec::new()),
        WorkEnd::TurnedAway => (4, Vec::new()),
        WorkEnd::NoMakers => (5, Vec::new()),
    };
    StageDone { ticket, outcome, handles: handles.iter().map(|h| h.to_string()).collect() }
}

//! The owner of a stage service: collects the pieces of all nodes for the service and fills them
//! into batches.
//!
//! `dispatch` fills the batches, `calls` sends them to the workers, `outcomes` handles the
//! outcomes of the pieces.
//!
//! Each worker gets one call at a time. A piece whose call failed goes into another call, up to
//! [`CALLS_PER_PIECE_MAX`](crate::batching::CALLS_PER_PIECE_MAX) calls in all.
//! Pieces may be computed more than once, so further calls don't draw on the retry budget.

mod call_failure;
mod calls;
mod dispatch;
mod outcomes;

use {
    crate::{
        backlog::{Backlog, rank_index},
        batching::{BatchQueue, QueuedPiece},
        config::ConfigState,
        crash_attribution::CrashAttribution,
        directory::Effect,
        domain_preference::DomainWorkers,
        eligibility::Ineligible,
        fingerprint::Fingerprint,
        model::{BatchConfig, Piece, PieceInput, Service, UpstreamKey, short_hash},
        peers::Peers,
        residency::Residency,
        rollout::coordinator::Rollouts,
        selection::Candidate,
        settings::DecideSettings,
        throughput::ServiceThroughput,
        upstreams::{Upstreams, worker_address},
        wire::Wire,
        worker_pools::{CallTraffic, WorkerPool, should_shard},
        workers::{Worker, WorkerSet, expected_call_time},
    },
    fernring_core::clock::Clock,
    std::{
        cell::{Cell, RefCell},
        collections::{BTreeMap, HashMap, HashSet},
        net::SocketAddr,
        rc::Rc,
        sync::Arc,
        time::Duration,
    },
    tokio::{sync::oneshot, task::spawn_local},
};

/// Interval at which waiting pieces are checked for expired ones.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(50);
/// Pause between releases of results, so that several results of one worker are released together.
const RELEASE_DELAY: Duration = Duration::from_millis(15);
/// Factor on the announced size of a result, which is approximate.
const RESULT_SIZE_MARGIN: f64 = 1.08;

/// The pieces of one stage of one request.
#[derive(Debug, Clone)]
pub struct Work {
    /// The workers that may do the work.
    pub pool: WorkerPool,
    /// The request.
    pub request_id: Arc<str>,
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Index of the stage.
    pub stage: u32,
    /// Number of pieces.
    pub pieces: u32,
    /// Input of the pieces.
    pub input: PieceInput,
    /// When the results must be complete for the request to be on time.
    pub due_at: Duration,
    /// Failure domain in which the results will be read; `None` if it doesn't matter.
    pub consumer_domain: Option<Arc<str>>,
    /// When the results become useless.
    pub deadline_at: Duration,
    /// Priority of the request; 0 goes first.
    pub priority: u32,
    /// Size of one result, in bytes.
    pub result_bytes: u64,
    /// Regions in which the request may be served.
    pub residency: Residency,
    /// The node that requests the results.
    pub requester: SocketAddr,
    /// Whether the pieces were submitted to another owner before, which was lost.
    pub is_resubmitted: bool,
}

/// Outcome of the pieces of a stage.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WorkOutcome {
    /// All pieces are completed; holds the handles of their results, in order.
    Completed(Vec<Arc<str>>),
    /// The pieces have expired.
    Late,
    /// A result that the pieces need as input is gone.
    InputGone,
    /// The pieces could not be completed.
    Failed,
    /// The owner of the pieces is unreachable.
    OwnerLost,
    /// The request is quarantined, since upstreams crashed while they worked on it.
    Quarantined,
    /// The failure domain that the pieces wait for has no workers any more, while others have some.
    NoWorkers,
}

impl WorkOutcome {
    /// Returns the name used in log lines.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Completed(_) => "made",
            Self::Late => "late",
            Self::InputGone => "input_gone",
            Self::Failed => "failed",
            Self::OwnerLost => "owner_lost",
            Self::Quarantined => "turned_away",
            Self::NoWorkers => "no_makers",
        }
    }
}

/// Channel on which the outcome of a work is sent to its requester.
pub type WorkReply = oneshot::Sender<WorkOutcome>;

#[derive(Debug)]
struct PendingWork {
    reply: WorkReply,
    handles: Vec<Option<Arc<str>>>,
    pool: WorkerPool,
    fingerprint: Fingerprint,
}

/// The parts of a node that an owner depends on.
pub struct OwnerDependencies {
    /// The clock.
    pub clock: Rc<dyn Clock>,
    /// The formats of the platform.
    pub wire: Rc<dyn Wire>,
    /// The configuration in force.
    pub config: Rc<RefCell<ConfigState>>,
    /// The upstreams.
    pub upstreams: Rc<Upstreams>,
    /// The other nodes.
    pub peers: Rc<Peers>,
    /// Attribution of upstream crashes to requests.
    pub crash_attribution: Rc<CrashAttribution>,
    /// The roll-outs of versions.
    pub rollouts: Rc<Rollouts>,
    /// Settings that say which mechanisms of the policy are enabled.
    pub decide_settings: Rc<Cell<DecideSettings>>,
}

/// State of the stage services that this node owns or has owned.
pub struct Owner {
    clock: Rc<dyn Clock>,
    wire: Rc<dyn Wire>,
    config: Rc<RefCell<ConfigState>>,
    upstreams: Rc<Upstreams>,
    peers: Rc<Peers>,
    crash_attribution: Rc<CrashAttribution>,
    rollouts: Rc<Rollouts>,
    decide_settings: Rc<Cell<DecideSettings>>,
    queues: RefCell<BTreeMap<WorkerPool, BatchQueue>>,
    throughputs: RefCell<BTreeMap<WorkerPool, ServiceThroughput>>,
    /// Traffic of the calls of each pool.
    traffic: RefCell<BTreeMap<WorkerPool, CallTraffic>>,
    works: RefCell<HashMap<u64, PendingWork>>,
    workers: RefCell<WorkerSet>,
    releases: RefCell<HashMap<UpstreamKey, Vec<Arc<str>>>>,
    next_work_id: Cell<u64>,
}

impl Owner {
    /// Creates an owner without work.
    pub fn new(dependencies: OwnerDependencies) -> Self {
        let OwnerDependencies {
            clock,
            wire,
            config,
            upstreams,
            peers,
            crash_attribution,
            rollouts,
            decide_settings,
        } = dependencies;
        Self {
            clock,
            wire,
            config,
            upstreams,
            peers,
            crash_attribution,
            rollouts,
            decide_settings,
            queues: RefCell::default(),
            throughputs: RefCell::default(),
            traffic: RefCell::default(),
            works: RefCell::default(),
            workers: RefCell::default(),
            releases: RefCell::default(),
            next_work_id: Cell::new(1),
        }
    }

    /// Queues the pieces of a stage. Returns the number of their work at this owner.
    pub fn submit(self: &Rc<Self>, work: Work, reply: WorkReply) -> u64 {
        let id = self.next_work_id.get();
        self.next_work_id.set(id + 1);
        let pieces = work.pieces as usize;
        let pending = PendingWork {
            reply,
            handles: vec![None; pieces],
            pool: work.pool.clone(),
            fingerprint: work.fingerprint,
        };
        self.works.borrow_mut().insert(id, pending);
        let mut queues = self.queues.borrow_mut();
        let queue = queues.entry(work.pool.clone()).or_default();
        let now = self.now();
        // Pieces of a lost owner come all at once. Counted as arrivals, they look like a demand that
        // goes on and leaves nothing for late pieces.
        if work.due_at > now && !work.is_resubmitted {
            let mut throughputs = self.throughputs.borrow_mut();
            let throughput = throughputs.entry(work.pool.clone()).or_default();
            throughput.record_arrivals(now, rank_index(work.priority), work.pieces);
        }
        // A suspect goes into calls of its own, so that no other request shares the attribution of
        // a crash.
        let is_isolated = self.crash_attribution.is_suspect(work.fingerprint);
        for number in 0..work.pieces {
            queue.push(queued_piece(id, &work, number, is_isolated));
        }
        drop(queues);
        self.dispatch(&work.pool);
        id
    }

    /// Returns the backlog of a pool; `None` if its service isn't a stage service.
    pub fn backlog(&self, pool: &WorkerPool) -> Option<Backlog> {
        let (_, batch_config) = self.service(&pool.service)?;
        Some(self.backlog_of(pool, &batch_config, &self.usable_workers(pool)))
    }

    /// Returns the pieces and the expected duration of a full call; `None` if the service isn't a
    /// stage service.
    pub fn full_call(&self, service: &Arc<str>) -> Option<(usize, Duration)> {
        let (_, batch_config) = self.service(service)?;
        let pieces = batch_config.pieces_max;
        Some((pieces, expected_call_time(&batch_config, pieces)))
    }

    fn backlog_of(
        &self,
        pool: &WorkerPool,
        batch_config: &BatchConfig,
        workers: &[UpstreamKey],
    ) -> Backlog {
        let workers = self.effective_workers(pool, batch_config, workers);
        let queues = self.queues.borrow();
        let mut throughputs = self.throughputs.borrow_mut();
        let throughput = throughputs.entry(pool.clone()).or_default();
        throughput.backlog(self.now(), batch_config, workers, queues.get(pool))
    }

    /// Returns the backlogs of all pools for which this node had work, or whose backlog was
    /// requested.
    pub fn backlogs(&self) -> Vec<(WorkerPool, Backlog)> {
        let pools: Vec<_> = self.throughputs.borrow().keys().cloned().collect();
        let with_backlog = |pool: WorkerPool| {
            let backlog = self.backlog(&pool)?;
            Some((pool, backlog))
        };
        pools.into_iter().filter_map(with_backlog).collect()
    }

    /// Cancels a work that nobody waits for any more. Calls in flight go on; their results are
    /// released when they end.
    pub fn cancel(&self, work: u64) {
        let Some(pending) = self.works.borrow_mut().remove(&work) else {
            return;
        };
        if let Some(queue) = self.queues.borrow_mut().get_mut(&pending.pool) {
            queue.cancel(work);
        }
        self.release(&pending.pool.service, pending.handles.into_iter().flatten());
    }

    /// Releases all results that a lost node requested.
    pub fn release_results_of(&self, requester: SocketAddr) {
        let mut releases = self.releases.borrow_mut();
        for (key, worker) in self.workers.borrow().iter() {
            let handles: Vec<_> = worker.results_requested_by(requester).cloned().collect();
            if !handles.is_empty() {
                releases.entry(key).or_default().extend(handles);
            }
        }
    }

    /// Releases results with the next releases, together with other results of the same worker.
    pub fn release(&self, service: &str, handles: impl IntoIterator<Item = Arc<str>>) {
        for handle in handles {
            let address = worker_address(&handle);
            let directory = self.upstreams.directory();
            let Some(key) = address.and_then(|address| directory.find(service, address)) else {
                continue;
            };
            self.releases.borrow_mut().entry(key).or_default().push(handle);
        }
    }

    /// Handles changes of the upstreams.
    pub fn handle_upstream_changes(self: &Rc<Self>, effects: &[Effect]) {
        if effects.iter().all(|effect| *effect == Effect::None) {
            return;
        }
        self.dispatch_all();
    }

    /// Drops expired pieces and starts calls at regular intervals, for as long as the process runs.
    pub async fn run(self: Rc<Self>) {
        loop {
            tokio::time::sleep(EXPIRY_INTERVAL).await;
            self.dispatch_all();
        }
    }

    /// Sends releases, for as long as the process runs.
    pub async fn run_releases(self: Rc<Self>) {
        loop {
            tokio::time::sleep(RELEASE_DELAY).await;
            for (key, handles) in self.due_releases() {
                self.forget(key, &handles);
                spawn_local(self.clone().send_release(key, handles));
            }
        }
    }

    /// Takes out the results that can be released now. Those at upstreams that accept no more
    /// releases wait.
    fn due_releases(&self) -> Vec<(UpstreamKey, Vec<Arc<str>>)> {
        let refuses_release = |key: &UpstreamKey| self.upstreams.refuses_release(*key);
        let due = |key: &UpstreamKey, _: &mut Vec<Arc<str>>| !refuses_release(key);
        self.releases.borrow_mut().extract_if(due).collect()
    }

    fn forget(&self, key: UpstreamKey, handles: &[Arc<str>]) {
        if let Some(worker) = self.workers.borrow_mut().get_mut(key) {
            for handle in handles {
                worker.remove_result(handle);
            }
        }
    }

    fn connections_max(&self, key: UpstreamKey) -> u32 {
        let directory = self.upstreams.directory();
        let Some(upstream) = directory.get(key) else {
            return 1;
        };
        self.config.borrow().connections_max(&upstream.record.service)
    }

    /// Starts calls for all pools while pieces wait and workers are free.
    pub fn dispatch_all(self: &Rc<Self>) {
        let pools: Vec<_> = self.queues.borrow().keys().cloned().collect();
        for pool in pools {
            self.dispatch(&pool);
        }
    }

    fn service(&self, name: &Arc<str>) -> Option<(Service, BatchConfig)> {
        let current = self.config.borrow().current()?;
        let service = current.config.services.get(name)?;
        Some((service.clone(), service.batch?))
    }

    fn fail_all(&self, pool: &WorkerPool) {
        let Some(queue) = self.queues.borrow_mut().remove(pool) else {
            return;
        };
        if queue.is_empty() {
            return;
        }
        let mut works = self.works.borrow_mut();
        let failed: Vec<_> =
            works.iter().filter(|(_, w)| w.pool == *pool).map(|(id, _)| *id).collect();
        for id in failed {
            if let Some(work) = works.remove(&id) {
                send_reply(work.reply, WorkOutcome::Failed);
            }
        }
    }

    /// Finishes all works with waiting pieces, since no worker may complete them here, and replies
    /// to their requesters at once.
    fn finish_all_waiting(&self, pool: &WorkerPool, outcome: &WorkOutcome) {
        let waiting = self.queues.borrow().get(pool).map(BatchQueue::works).unwrap_or_default();
        for work in waiting {
            self.finish_work(work, outcome.clone());
        }
    }

    /// Finishes the works of quarantined requests, so that none of their pieces goes into a call.
    fn finish_quarantined(&self) {
        if !self.crash_attribution.has_quarantined() {
            return;
        }
        let works = self.works.borrow();
        let is_quarantined =
            |work: &&u64| self.crash_attribution.is_whole_quarantined(works[*work].fingerprint);
        let quarantined: Vec<_> = works.keys().filter(is_quarantined).copied().collect();
        drop(works);
        for work in quarantined {
            self.finish_work(work, WorkOutcome::Quarantined);
        }
    }

    fn finish_expired(
        &self,
        pool: &WorkerPool,
        batch_config: &BatchConfig,
        workers: &[UpstreamKey],
        free_workers: usize,
    ) {
        let now = self.now();
        let backlog = self.backlog_of(pool, batch_config, workers);
        let free_slots = free_workers * batch_config.pieces_max;
        let expired = match self.queues.borrow_mut().get_mut(pool) {
            Some(queue) => {
                let decide_settings = self.decide_settings.get();
                queue.take_expired(now, batch_config, &backlog, free_slots, &decide_settings)
            }
            None => return,
        };
        let works: HashSet<_> = expired.into_iter().map(|piece| piece.work).collect();
        for work in works {
            self.finish_work(work, WorkOutcome::Late);
        }
    }

    /// Lists the workers that may get work. A worker that is avoided or cold gets none while there
    /// are others, even if these are busy: they become free soon.
    fn usable_workers(&self, pool: &WorkerPool) -> Vec<UpstreamKey> {
        if self.upstreams.connector().is_isolated() {
            return Vec::new();
        }
        let is_unreachable = |domain: &str| self.peers.is_domain_unreachable(domain);
        let anywhere = Residency::default();
        let mut candidates =
            self.upstreams.candidates(self.now(), &pool.service, 0, &anywhere, is_unreachable);
        if pool.failure_domain.is_some() {
            let directory = self.upstreams.directory();
            let domain_of = |key| directory.get(key).map(|u| u.record.failure_domain.clone());
            candidates
                .retain(|c| domain_of(c.key).is_some_and(|domain| pool.covers_domain(&domain)));
        }
        let is_preferred = |candidate: &&Candidate| !candidate.is_avoided && !candidate.is_cold;
        let any_preferred = candidates.iter().any(|candidate| is_preferred(&candidate));
        let usable =
            candidates.iter().filter(|candidate| is_preferred(candidate) || !any_preferred);
        usable.map(|candidate| candidate.key).collect()
    }

    /// Returns how many workers without a limit would complete as much as the usable ones together
    /// with those whose limit is used up now. If a worker with a limit counted as a full worker,
    /// capacity would be reserved for requests that then wait for its permits until they are late.
    fn effective_workers(
        &self,
        pool: &WorkerPool,
        batch_config: &BatchConfig,
        usable: &[UpstreamKey],
    ) -> f64 {
        let full_call_s = expected_call_time(batch_config, batch_config.pieces_max).as_secs_f64();
        let directory = self.upstreams.directory();
        let share = |key: UpstreamKey| {
            let upstream = directory.get(key)?;
            let limit = self.upstreams.limit_of(&upstream.record);
            let waits = || {
                let is_covered = pool.covers_domain(&upstream.record.failure_domain);
                is_covered && self.upstreams.may_send(key) == Err(Ineligible::Limited)
            };
            (usable.contains(&key) || waits())
                .then(|| limit.map_or(1.0, |l| (l * full_call_s).min(1.0)))
        };
        if self.upstreams.limited_count() == 0 {
            return usable.len() as f64;
        }
        directory.of_service(&pool.service).filter_map(|(key, _)| share(key)).sum()
    }

    /// Counts the workers of a service that may get requests, by failure domain.
    pub fn workers_by_domain(&self, service: &str) -> Vec<(Arc<str>, usize)> {
        let mut counts: BTreeMap<Arc<str>, usize> = BTreeMap::new();
        let directory = self.upstreams.directory();
        for (key, upstream) in directory.of_service(service) {
            let domain = &upstream.record.failure_domain;
            if self.upstreams.may_send(key).is_ok() {
                *counts.entry(domain.clone()).or_default() += 1;
            }
        }
        counts.into_iter().filter(|(domain, _)| !self.peers.is_domain_unreachable(domain)).collect()
    }

    /// Returns the failure domain of the worker that holds a result, if it is known.
    pub fn domain_of_worker(&self, service: &str, handle: &str) -> Option<Arc<str>> {
        let directory = self.upstreams.directory();
        let key = directory.find(service, worker_address(handle)?)?;
        Some(directory.get(key)?.record.failure_domain.clone())
    }

    /// Lists the short hashes of the services that should be sharded by failure domain: those whose
    /// calls are too much for this node's link, and those that should stay sharded. `is_own` says
    /// whether this node owns a pool, `link_bytes_per_s` is the bandwidth of its link.
    pub fn services_to_shard(
        &self,
        is_own: impl Fn(&WorkerPool) -> bool,
        link_bytes_per_s: f64,
    ) -> Vec<u32> {
        let now = self.now();
        let is_due = |pool: &WorkerPool, traffic: &CallTraffic| {
            let shards = || self.workers_by_domain(&pool.service).len();
            let shards = pool.failure_domain.as_ref().map(|_| shards());
            should_shard(traffic.per_s(now), link_bytes_per_s, shards)
        };
        let traffic = self.traffic.borrow();
        let to_shard =
            traffic.iter().filter(|(pool, traffic)| is_own(pool) && is_due(pool, traffic));
        let mut services: Vec<_> = to_shard.map(|(pool, _)| short_hash(&pool.service)).collect();
        services.dedup();
        services
    }

    /// Returns the workers of a pool in a failure domain; `None` if there are none.
    fn workers_in(&self, pool: &WorkerPool, failure_domain: &str) -> Option<DomainWorkers> {
        if !pool.covers_domain(failure_domain) {
            return None;
        }
        let directory = self.upstreams.directory();
        let workers = self.workers.borrow();
        let in_domain = directory.of_service(&pool.service).filter(|(key, upstream)| {
            *upstream.record.failure_domain == *failure_domain
                && self.upstreams.may_send(*key).is_ok()
        });
        let free_at = |key| workers.get(key).and_then(Worker::busy_until).unwrap_or_default();
        let times: Vec<_> = in_domain.map(|(key, _)| free_at(key)).collect();
        let free_at = *times.iter().min()?;
        Some(DomainWorkers { count: times.len(), free_at })
    }

    fn now(&self) -> Duration {
        self.clock.now().monotonic
    }
}

/// Sends the outcome of a work to its requester, which may have stopped waiting.
fn send_reply(reply: WorkReply, outcome: WorkOutcome) {
    drop(reply.send(outcome));
}

fn queued_piece(work_id: u64, work: &Work, number: u32, is_isolated: bool) -> QueuedPiece {
    QueuedPiece {
        work: work_id,
        fingerprint: work.fingerprint,
        is_isolated,
        piece: Piece {
            request_id: work.request_id.clone(),
            stage: work.stage,
            number,
            input: work.input.clone(),
            remaining: Duration::ZERO,
        },
        due_at: work.due_at,
        consumer_domain: work.consumer_domain.clone(),
        deadline_at: work.deadline_at,
        priority: work.priority,
        result_bytes: (work.result_bytes as f64 * RESULT_SIZE_MARGIN) as u64,
        residency: work.residency.clone(),
        requester: work.requester,
        calls: 0,
    }
}

//! The owner's side of stages: the pieces of all nodes for a stage service, filled into one batch
//! after another.
//!
//! [`calls`] sends them to the makers, [`outcomes`] takes in what became of the pieces.
//!
//! One call at a time goes to each upstream. A piece whose call failed goes into another, up to
//! [`CALLS_MAX`] calls; pieces may be made again, so they don't draw on the retry budget.

mod calls;
mod outcomes;

use {
    crate::{
        backlog::{Backlog, rank},
        barred::Barred,
        batching::{BatchQueue, Makers, Taker, Task},
        blame::Blame,
        config::ConfigState,
        content::ContentKey,
        directory::Effect,
        flow::Flow,
        makers::{Maker, MakerSet, usual_time},
        model::{BatchConfig, Piece, PieceInput, Service, UpstreamKey, short_hash},
        peers::Peers,
        pools::{Carried, MakerPool, shall_split},
        residency::Residency,
        rollout::shell::Rollouts,
        rounds::{LeftAlone, MakersByDomain},
        selection::Candidate,
        settings::DecideSettings,
        upstreams::{Upstreams, maker_address},
        wire::Wire,
    },
    fernring_core::clock::Clock,
    rand::seq::SliceRandom,
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

/// How often waiting pieces are looked through for those whose time is over.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(50);
/// How long results that are given up wait for others before they are told to their maker.
const RELEASE_DELAY: Duration = Duration::from_millis(15);
/// What a result takes beside its said size, which is approximate.
const RESULT_SIZE_MARGIN: f64 = 1.08;

/// The pieces of one stage of one request.
#[derive(Debug, Clone)]
pub struct Work {
    /// The makers that may do the work.
    pub pool: MakerPool,
    /// The request.
    pub request_id: Arc<str>,
    /// What the request asks.
    pub content: ContentKey,
    /// Index of the stage.
    pub stage: u32,
    /// Number of pieces.
    pub pieces: u32,
    /// What they work on.
    pub input: PieceInput,
    /// When the results are due for the request to be on time.
    pub due_at: Duration,
    /// Failure domain in which the results will be read; `None` if that doesn't matter.
    pub near: Option<Arc<str>>,
    /// When the results are of no more use.
    pub deadline_at: Duration,
    /// Rank of the request; 0 goes first.
    pub priority: u32,
    /// Size of one result, in bytes.
    pub result_bytes: u64,
    /// Where the request may be served.
    pub residency: Residency,
    /// The node that asks.
    pub asker: SocketAddr,
}

/// How the pieces of a stage ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WorkEnd {
    /// All were made; their handles in order.
    Made(Vec<Arc<str>>),
    /// Their time was over.
    Late,
    /// A result that they need is gone.
    InputGone,
    /// They could not be made.
    Failed,
    /// Their owner can't be reached.
    OwnerLost,
    /// Upstreams ended under their request.
    TurnedAway,
    /// The failure domain that they wait for has no makers any more, and others have some.
    NoMakers,
}

impl WorkEnd {
    /// Returns the name used in log lines.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Made(_) => "made",
            Self::Late => "late",
            Self::InputGone => "input_gone",
            Self::Failed => "failed",
            Self::OwnerLost => "owner_lost",
            Self::TurnedAway => "turned_away",
            Self::NoMakers => "no_makers",
        }
    }
}

/// Who is told how a work ended.
pub type Reply = oneshot::Sender<WorkEnd>;

#[derive(Debug)]
struct OpenWork {
    reply: Reply,
    handles: Vec<Option<Arc<str>>>,
    pool: MakerPool,
    content: ContentKey,
}

/// The parts of a node that an owner works with.
pub struct Parts {
    /// The clock.
    pub clock: Rc<dyn Clock>,
    /// The platform's formats.
    pub wire: Rc<dyn Wire>,
    /// The configuration in force.
    pub config: Rc<RefCell<ConfigState>>,
    /// The upstreams.
    pub upstreams: Rc<Upstreams>,
    /// The other nodes.
    pub peers: Rc<Peers>,
    /// The upstreams that ended, and what ran there.
    pub blame: Rc<Blame>,
    /// Versions that are rolled out.
    pub rollouts: Rc<Rollouts>,
    /// The mechanisms of the policy that are on.
    pub rules: Rc<Cell<DecideSettings>>,
}

/// The stage services that this node owns, or did.
pub struct Owner {
    clock: Rc<dyn Clock>,
    wire: Rc<dyn Wire>,
    config: Rc<RefCell<ConfigState>>,
    upstreams: Rc<Upstreams>,
    peers: Rc<Peers>,
    blame: Rc<Blame>,
    rollouts: Rc<Rollouts>,
    rules: Rc<Cell<DecideSettings>>,
    queues: RefCell<BTreeMap<MakerPool, BatchQueue>>,
    flows: RefCell<BTreeMap<MakerPool, Flow>>,
    /// What the calls of each pool carry.
    carried: RefCell<BTreeMap<MakerPool, Carried>>,
    works: RefCell<HashMap<u64, OpenWork>>,
    makers: RefCell<MakerSet>,
    releases: RefCell<HashMap<UpstreamKey, Vec<Arc<str>>>>,
    next_work: Cell<u64>,
}

impl Owner {
    /// Creates an owner that has nothing to do.
    pub fn new(parts: Parts) -> Self {
        let Parts { clock, wire, config, upstreams, peers, blame, rollouts, rules } = parts;
        Self {
            clock,
            wire,
            config,
            upstreams,
            peers,
            blame,
            rollouts,
            rules,
            queues: RefCell::default(),
            flows: RefCell::default(),
            carried: RefCell::default(),
            works: RefCell::default(),
            makers: RefCell::default(),
            releases: RefCell::default(),
            next_work: Cell::new(1),
        }
    }

    /// Takes in the pieces of a stage and returns their number here.
    pub fn submit(self: &Rc<Self>, work: Work, reply: Reply) -> u64 {
        let id = self.next_work.get();
        self.next_work.set(id + 1);
        let pieces = work.pieces as usize;
        let open = OpenWork {
            reply,
            handles: vec![None; pieces],
            pool: work.pool.clone(),
            content: work.content,
        };
        self.works.borrow_mut().insert(id, open);
        let mut queues = self.queues.borrow_mut();
        let queue = queues.entry(work.pool.clone()).or_default();
        let now = self.now();
        if work.due_at > now {
            let mut flows = self.flows.borrow_mut();
            let flow = flows.entry(work.pool.clone()).or_default();
            flow.came(now, rank(work.priority), work.pieces);
        }
        // A suspect has no company that would have to share the blame.
        let is_apart = self.blame.is_suspect(work.content);
        for number in 0..work.pieces {
            queue.push(task(id, &work, number, is_apart));
        }
        drop(queues);
        self.pump(&work.pool);
        id
    }

    /// Returns what waits for some makers; `None` if their service is no stage service.
    pub fn backlog(&self, pool: &MakerPool) -> Option<Backlog> {
        let (_, shape) = self.service(&pool.service)?;
        Some(self.backlog_before(pool, &shape, &self.usable_makers(pool)))
    }

    fn backlog_before(
        &self,
        pool: &MakerPool,
        shape: &BatchConfig,
        makers: &[UpstreamKey],
    ) -> Backlog {
        let makers = self.whole_makers(pool, shape, makers);
        let queues = self.queues.borrow();
        let mut flows = self.flows.borrow_mut();
        let flow = flows.entry(pool.clone()).or_default();
        flow.backlog(self.now(), shape, makers, queues.get(pool))
    }

    /// Returns the backlogs of all makers that had work here, or were asked about.
    pub fn backlogs(&self) -> Vec<(MakerPool, Backlog)> {
        let pools: Vec<_> = self.flows.borrow().keys().cloned().collect();
        let with_backlog = |pool: MakerPool| {
            let backlog = self.backlog(&pool)?;
            Some((pool, backlog))
        };
        pools.into_iter().filter_map(with_backlog).collect()
    }

    /// Forgets pieces that nobody waits for any more. A call under way goes on; its results are
    /// given up when it ends.
    pub fn cancel(&self, work: u64) {
        let Some(open) = self.works.borrow_mut().remove(&work) else {
            return;
        };
        if let Some(queue) = self.queues.borrow_mut().get_mut(&open.pool) {
            queue.cancel(work);
        }
        self.release(&open.pool.service, open.handles.into_iter().flatten());
    }

    /// Gives up all results that a lost node asked for.
    pub fn release_of(&self, asker: SocketAddr) {
        let mut releases = self.releases.borrow_mut();
        for (key, maker) in self.makers.borrow().iter() {
            let handles: Vec<_> = maker.asked_by(asker).cloned().collect();
            if !handles.is_empty() {
                releases.entry(key).or_default().extend(handles);
            }
        }
    }

    /// Gives results up: soon, and together with others of the same maker.
    pub fn release(&self, service: &str, handles: impl IntoIterator<Item = Arc<str>>) {
        for handle in handles {
            let address = maker_address(&handle);
            let directory = self.upstreams.directory();
            let Some(key) = address.and_then(|address| directory.at(service, address)) else {
                continue;
            };
            self.releases.borrow_mut().entry(key).or_default().push(handle);
        }
    }

    /// Takes in that upstreams came or went.
    pub fn upstreams_changed(self: &Rc<Self>, effects: &[Effect]) {
        if effects.iter().all(|effect| *effect == Effect::None) {
            return;
        }
        self.pump_all();
    }

    /// Drops pieces whose time is over and sends releases, for as long as the process runs.
    pub async fn run(self: Rc<Self>) {
        loop {
            tokio::time::sleep(EXPIRY_INTERVAL).await;
            self.pump_all();
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

    /// Takes the results that are to be given up now. Those at upstreams that take no more wait.
    fn due_releases(&self) -> Vec<(UpstreamKey, Vec<Arc<str>>)> {
        let takes_no_more = |key: &UpstreamKey| self.upstreams.takes_no_release(*key);
        let due = |key: &UpstreamKey, _: &mut Vec<Arc<str>>| !takes_no_more(key);
        self.releases.borrow_mut().extract_if(due).collect()
    }

    fn forget(&self, key: UpstreamKey, handles: &[Arc<str>]) {
        if let Some(maker) = self.makers.borrow_mut().get_mut(key) {
            for handle in handles {
                maker.forget(handle);
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

    /// Starts calls of all services, as far as pieces wait and upstreams are free.
    pub fn pump_all(self: &Rc<Self>) {
        let pools: Vec<_> = self.queues.borrow().keys().cloned().collect();
        for pool in pools {
            self.pump(&pool);
        }
    }

    /// Starts calls while pieces wait and upstreams are free.
    fn pump(self: &Rc<Self>, pool: &MakerPool) {
        let Some((service, shape)) = self.service(&pool.service) else {
            self.fail_all(pool);
            return;
        };
        if self.queues.borrow().get(pool).is_none_or(BatchQueue::is_empty) {
            return;
        }
        let makers = self.usable_makers(pool);
        if makers.is_empty() {
            if self.upstreams.is_evacuated(&pool.service) {
                self.end_waiting(pool, &WorkEnd::Failed);
                return;
            }
            // They would wait here until their time is over, while makers elsewhere may be idle.
            if pool.failure_domain.is_some() && !self.makers_by_domain(&pool.service).is_empty() {
                self.end_waiting(pool, &WorkEnd::NoMakers);
                return;
            }
        }
        self.drop_turned_away();
        self.drop_expired(pool, &shape, &makers);
        let mut known = MakersByDomain::default();
        let mut left = LeftAlone::default();
        for (key, room) in self.free_makers(&makers, &shape) {
            let Some(target) = self.upstreams.target(key) else {
                continue;
            };
            if !self.rollouts.admits_call(&pool.service, &target) {
                continue;
            }
            let domain = target.failure_domain.clone();
            if left.covers(&domain, room) {
                continue;
            }
            let now = self.now();
            let batch = match self.queues.borrow_mut().get_mut(pool) {
                Some(queue) if queue.is_empty() => return,
                Some(queue) => {
                    let makers_in =
                        |domain: &str| known.get(domain, || self.makers_in(pool, domain));
                    let taker = Taker {
                        failure_domain: &target.failure_domain,
                        room_bytes: room,
                        makers: makers.len(),
                    };
                    queue.take(now, &shape, taker, &self.rules.get(), makers_in)
                }
                None => return,
            };
            if batch.tasks.is_empty() {
                left.nothing_for(domain, room);
                continue;
            }
            // One more of them is busy.
            known.forget(&domain);
            self.rollouts.count_call(&pool.service, &target);
            self.start_call(pool, &service, shape, target, batch);
        }
    }

    fn service(&self, name: &Arc<str>) -> Option<(Service, BatchConfig)> {
        let held = self.config.borrow().current()?;
        let service = held.config.services.get(name)?;
        Some((service.clone(), service.batch?))
    }

    fn fail_all(&self, pool: &MakerPool) {
        let Some(queue) = self.queues.borrow_mut().remove(pool) else {
            return;
        };
        if queue.is_empty() {
            return;
        }
        let mut works = self.works.borrow_mut();
        let lost: Vec<_> =
            works.iter().filter(|(_, w)| w.pool == *pool).map(|(id, _)| *id).collect();
        for id in lost {
            if let Some(work) = works.remove(&id) {
                reply(work.reply, WorkEnd::Failed);
            }
        }
    }

    /// Ends the works of which pieces wait: nobody may make them here, and who asked is told now.
    fn end_waiting(&self, pool: &MakerPool, end: &WorkEnd) {
        let waiting = self.queues.borrow().get(pool).map(BatchQueue::works).unwrap_or_default();
        for work in waiting {
            self.end_work(work, end.clone());
        }
    }

    /// Drops the pieces of requests that are turned away: no call is to hold one.
    fn drop_turned_away(&self) {
        if !self.blame.turns_any_away() {
            return;
        }
        let works = self.works.borrow();
        let is_turned_away = |work: &&u64| self.blame.is_turned_away(works[*work].content);
        let turned_away: Vec<_> = works.keys().filter(is_turned_away).copied().collect();
        drop(works);
        for work in turned_away {
            self.end_work(work, WorkEnd::TurnedAway);
        }
    }

    fn drop_expired(&self, pool: &MakerPool, shape: &BatchConfig, makers: &[UpstreamKey]) {
        let now = self.now();
        let backlog = self.backlog_before(pool, shape, makers);
        let expired = match self.queues.borrow_mut().get_mut(pool) {
            Some(queue) => queue.take_expired(now, shape, &backlog, &self.rules.get()),
            None => return,
        };
        let works: HashSet<_> = expired.into_iter().map(|task| task.work).collect();
        for work in works {
            self.end_work(work, WorkEnd::Late);
        }
    }

    /// Lists those of some makers that could start a call, and the room that each has for results.
    fn free_makers(&self, makers: &[UpstreamKey], shape: &BatchConfig) -> Vec<(UpstreamKey, u64)> {
        let mut free = self.makers.borrow_mut().free(self.now(), makers, shape);
        free.shuffle(&mut rand::rng());
        free
    }

    /// Lists the makers that take work. Others that are merely busy come free soon, so one that is
    /// avoided or cold waits for them.
    fn usable_makers(&self, pool: &MakerPool) -> Vec<UpstreamKey> {
        let is_silent = |domain: &str| self.peers.is_silent(domain);
        let anywhere = Residency::default();
        let mut candidates =
            self.upstreams.candidates(self.now(), &pool.service, 0, &anywhere, is_silent);
        if pool.failure_domain.is_some() {
            let directory = self.upstreams.directory();
            let domain_of = |key| directory.get(key).map(|u| u.record.failure_domain.clone());
            candidates.retain(|c| domain_of(c.key).is_some_and(|domain| pool.covers(&domain)));
        }
        let is_sound = |candidate: &&Candidate| !candidate.is_avoided && !candidate.is_cold;
        let any_sound = candidates.iter().any(|candidate| is_sound(&candidate));
        let usable = candidates.iter().filter(|candidate| is_sound(candidate) || !any_sound);
        usable.map(|candidate| candidate.key).collect()
    }

    /// Returns how many makers without a limit make as much as those that are usable, and those whose limit is used up now. A
    /// limit that counted as a whole maker would have requests promised that wait for its turns until they are late.
    fn whole_makers(&self, pool: &MakerPool, shape: &BatchConfig, usable: &[UpstreamKey]) -> f64 {
        let call_s = usual_time(shape, shape.pieces_max).as_secs_f64();
        let directory = self.upstreams.directory();
        let share = |key: UpstreamKey| {
            let upstream = directory.get(key)?;
            let limit = self.upstreams.limit_of(&upstream.record);
            let waits = || {
                let is_covered = pool.covers(&upstream.record.failure_domain);
                is_covered && self.upstreams.may_send(key) == Err(Barred::Limited)
            };
            (usable.contains(&key) || waits()).then(|| limit.map_or(1.0, |l| (l * call_s).min(1.0)))
        };
        if self.upstreams.limited() == 0 {
            return usable.len() as f64;
        }
        directory.of_service(&pool.service).filter_map(|(key, _)| share(key)).sum()
    }

    /// Counts the makers of a service that may be sent to, by failure domain.
    pub fn makers_by_domain(&self, service: &str) -> Vec<(Arc<str>, usize)> {
        let mut counts: BTreeMap<Arc<str>, usize> = BTreeMap::new();
        let directory = self.upstreams.directory();
        for (key, upstream) in directory.of_service(service) {
            let domain = &upstream.record.failure_domain;
            if self.upstreams.may_send(key).is_ok() {
                *counts.entry(domain.clone()).or_default() += 1;
            }
        }
        counts.into_iter().filter(|(domain, _)| !self.peers.is_silent(domain)).collect()
    }

    /// Returns the failure domain of the maker of a result, if it is known.
    pub fn domain_of_maker(&self, service: &str, handle: &str) -> Option<Arc<str>> {
        let directory = self.upstreams.directory();
        let key = directory.at(service, maker_address(handle)?)?;
        Some(directory.get(key)?.record.failure_domain.clone())
    }

    /// Lists the services, by their short hashes, of which this node carries more than its link bears, or that are to stay
    /// split. `is_own` tells whether it owns a pool, `link_bytes_per_s` what its link carries.
    pub fn to_be_split(
        &self,
        is_own: impl Fn(&MakerPool) -> bool,
        link_bytes_per_s: f64,
    ) -> Vec<u32> {
        let now = self.now();
        let shall_split = |pool: &MakerPool, carried: &Carried| {
            let parts = || self.makers_by_domain(&pool.service).len();
            let parts = pool.failure_domain.as_ref().map(|_| parts());
            shall_split(carried.per_s(now), link_bytes_per_s, parts)
        };
        let carried = self.carried.borrow();
        let split =
            carried.iter().filter(|(pool, carried)| is_own(pool) && shall_split(pool, carried));
        let mut services: Vec<_> = split.map(|(pool, _)| short_hash(&pool.service)).collect();
        services.dedup();
        services
    }

    /// The makers of a pool in a failure domain; `None` if there are none.
    fn makers_in(&self, pool: &MakerPool, failure_domain: &str) -> Option<Makers> {
        if !pool.covers(failure_domain) {
            return None;
        }
        let directory = self.upstreams.directory();
        let makers = self.makers.borrow();
        let there = directory.of_service(&pool.service).filter(|(key, upstream)| {
            *upstream.record.failure_domain == *failure_domain
                && self.upstreams.may_send(*key).is_ok()
        });
        let free_at = |key| makers.get(key).and_then(Maker::busy_until).unwrap_or_default();
        let times: Vec<_> = there.map(|(key, _)| free_at(key)).collect();
        let free_at = *times.iter().min()?;
        Some(Makers { count: times.len(), free_at })
    }

    fn now(&self) -> Duration {
        self.clock.now().monotonic
    }
}

/// Tells a work's end to who asked for it; if nobody waits any more, nothing is to be told.
fn reply(reply: Reply, end: WorkEnd) {
    drop(reply.send(end));
}

fn task(work_id: u64, work: &Work, number: u32, is_apart: bool) -> Task {
    Task {
        work: work_id,
        content: work.content,
        is_apart,
        piece: Piece {
            request_id: work.request_id.clone(),
            stage: work.stage,
            number,
            input: work.input.clone(),
            remaining: Duration::ZERO,
        },
        due_at: work.due_at,
        near: work.near.clone(),
        deadline_at: work.deadline_at,
        priority: work.priority,
        result_bytes: (work.result_bytes as f64 * RESULT_SIZE_MARGIN) as u64,
        residency: work.residency.clone(),
        asker: work.asker,
        calls: 0,
    }
}

//! The owner's side of stages: the pieces of all nodes for a stage service, filled into one batch
//! after another.
//!
//! One call at a time goes to each upstream. A piece whose call failed goes into another, up to
//! [`CALLS_MAX`] calls; pieces may be made again, so they don't draw on the retry budget.

use {
    crate::{
        batching::{BatchQueue, CALLS_MAX, Makers, Task},
        config::ConfigState,
        connections::SendFailure,
        directory::Effect,
        log,
        makers::{Kept, Maker, MakerSet, overdue_after, usual_time},
        measures,
        model::{BatchShape, Piece, PieceInput, PieceOutcome, Service, UpstreamKey},
        peers::Peers,
        upstreams::{Target, Upstreams, maker_address},
        wire::Wire,
    },
    bytes::Bytes,
    fernring_core::{clock::Clock, text::LogLine},
    http::{HeaderMap, HeaderValue, Method, Request, StatusCode, header::CONTENT_TYPE},
    http_body_util::{BodyExt, Full},
    rand::seq::SliceRandom,
    std::{
        cell::{Cell, RefCell},
        collections::{BTreeMap, HashMap, HashSet},
        net::SocketAddr,
        pin::pin,
        rc::Rc,
        sync::Arc,
        time::Duration,
    },
    tokio::{sync::oneshot, task::spawn_local, time::timeout},
};

/// How much longer than estimated a call may take. Upstreams differ in speed, some turn slow;
/// beyond three times, the pieces are better off elsewhere.
const CALL_PATIENCE: u32 = 3;
/// Time that a call may take besides: connecting, fetching inputs, and a turn behind another
/// node's call.
const CALL_GRACE: Duration = Duration::from_millis(400);
/// How often waiting pieces are looked through for those whose time is over.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(50);
/// How long results that are given up wait for others before they are told to their maker.
const RELEASE_DELAY: Duration = Duration::from_millis(15);
/// What a result takes beside its said size, which is approximate.
const RESULT_SIZE_MARGIN: f64 = 1.08;
/// Longest answer of a call that is read, in bytes: a handle or reason for each piece, with room.
const ANSWER_BYTES_MAX: usize = 1 << 20;

/// The pieces of one stage of one request.
#[derive(Debug, Clone)]
pub struct Work {
    /// Service of the stage.
    pub service: Arc<str>,
    /// The request.
    pub request_id: Arc<str>,
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
        }
    }
}

/// Who is told how a work ended.
pub type Reply = oneshot::Sender<WorkEnd>;

#[derive(Debug)]
struct OpenWork {
    reply: Reply,
    handles: Vec<Option<Arc<str>>>,
    service: Arc<str>,
}

/// The stage services that this node owns, or did.
pub struct Owner {
    clock: Rc<dyn Clock>,
    wire: Rc<dyn Wire>,
    config: Rc<RefCell<ConfigState>>,
    upstreams: Rc<Upstreams>,
    peers: Rc<Peers>,
    queues: RefCell<BTreeMap<Arc<str>, BatchQueue>>,
    works: RefCell<HashMap<u64, OpenWork>>,
    makers: RefCell<MakerSet>,
    releases: RefCell<HashMap<UpstreamKey, Vec<Arc<str>>>>,
    next_work: Cell<u64>,
}

impl Owner {
    /// Creates an owner that has nothing to do.
    pub fn new(
        clock: Rc<dyn Clock>,
        wire: Rc<dyn Wire>,
        config: Rc<RefCell<ConfigState>>,
        upstreams: Rc<Upstreams>,
        peers: Rc<Peers>,
    ) -> Self {
        Self {
            clock,
            wire,
            config,
            upstreams,
            peers,
            queues: RefCell::default(),
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
        let open = OpenWork { reply, handles: vec![None; pieces], service: work.service.clone() };
        self.works.borrow_mut().insert(id, open);
        let mut queues = self.queues.borrow_mut();
        let queue = queues.entry(work.service.clone()).or_default();
        for number in 0..work.pieces {
            queue.push(task(id, &work, number));
        }
        drop(queues);
        self.pump(&work.service);
        id
    }

    /// Forgets pieces that nobody waits for any more. A call under way goes on; its results are
    /// given up when it ends.
    pub fn cancel(&self, work: u64) {
        let Some(open) = self.works.borrow_mut().remove(&work) else {
            return;
        };
        if let Some(queue) = self.queues.borrow_mut().get_mut(&open.service) {
            queue.cancel(work);
        }
        self.release(&open.service, open.handles.into_iter().flatten());
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
            let releases = std::mem::take(&mut *self.releases.borrow_mut());
            for (key, handles) in releases {
                self.forget(key, &handles);
                spawn_local(self.clone().send_release(key, handles));
            }
        }
    }

    fn forget(&self, key: UpstreamKey, handles: &[Arc<str>]) {
        if let Some(maker) = self.makers.borrow_mut().get_mut(key) {
            for handle in handles {
                maker.forget(handle);
            }
        }
    }

    async fn send_release(self: Rc<Self>, key: UpstreamKey, handles: Vec<Arc<str>>) {
        let Some(target) = self.upstreams.target(key) else {
            return;
        };
        let call = self.wire.encode_release(&handles);
        let request = self.request(&target, call.path, call.body);
        let connections_max = self.connections_max(key);
        let work = async {
            let answer = self.upstreams.send(&target, connections_max, request).await?;
            answer.body.collect().await.map_err(|e| SendFailure::Broken(e.to_string()))
        };
        if let Ok(Err(error)) = timeout(CALL_GRACE, work).await {
            // The results lapse by themselves; until then they take room.
            let line = LogLine::event("release_failed").with("upstream", &target.instance);
            log::info(line.with("error", error));
        }
    }

    fn connections_max(&self, key: UpstreamKey) -> u32 {
        let directory = self.upstreams.directory();
        let Some(upstream) = directory.get(key) else {
            return 1;
        };
        self.config.borrow().connections_max(&upstream.record.service)
    }

    fn pump_all(self: &Rc<Self>) {
        let services: Vec<_> = self.queues.borrow().keys().cloned().collect();
        for service in services {
            self.pump(&service);
        }
    }

    /// Starts calls while pieces wait and upstreams are free.
    fn pump(self: &Rc<Self>, service_name: &Arc<str>) {
        let Some((service, shape)) = self.service(service_name) else {
            self.fail_all(service_name);
            return;
        };
        self.drop_expired(service_name, &shape);
        for (target, room) in self.free_makers(service_name, &shape) {
            let now = self.now();
            let tasks = match self.queues.borrow_mut().get_mut(service_name) {
                Some(queue) => {
                    let makers_in = |domain: &str| self.makers_in(service_name, domain);
                    queue.take(now, &shape, room, &target.failure_domain, makers_in)
                }
                None => return,
            };
            if !tasks.is_empty() {
                self.start_call(&service, shape, target, tasks);
            }
        }
    }

    fn service(&self, name: &Arc<str>) -> Option<(Service, BatchShape)> {
        let held = self.config.borrow().current()?;
        let service = held.config.services.get(name)?;
        Some((service.clone(), service.batch?))
    }

    fn fail_all(&self, service: &Arc<str>) {
        let Some(queue) = self.queues.borrow_mut().remove(service) else {
            return;
        };
        if queue.is_empty() {
            return;
        }
        let mut works = self.works.borrow_mut();
        let lost: Vec<_> =
            works.iter().filter(|(_, w)| w.service == *service).map(|(id, _)| *id).collect();
        for id in lost {
            if let Some(work) = works.remove(&id) {
                reply(work.reply, WorkEnd::Failed);
            }
        }
    }

    fn drop_expired(&self, service: &Arc<str>, shape: &BatchShape) {
        let now = self.now();
        let expired = match self.queues.borrow_mut().get_mut(service) {
            Some(queue) => queue.take_expired(now, shape),
            None => return,
        };
        let works: HashSet<_> = expired.into_iter().map(|task| task.work).collect();
        for work in works {
            self.end_work(work, WorkEnd::Late);
        }
    }

    /// Lists the makers that could start a call, and the room that each has for results.
    fn free_makers(&self, service: &str, shape: &BatchShape) -> Vec<(Target, u64)> {
        if self.queues.borrow().get(service).is_none_or(BatchQueue::is_empty) {
            return Vec::new();
        }
        let now = self.now();
        let candidates =
            self.upstreams.candidates(now, service, |domain| self.peers.is_silent(domain));
        // Others that are merely busy come free soon, so one that is avoided waits for them.
        let any_sound = candidates.iter().any(|candidate| !candidate.is_avoided);
        let usable = candidates.iter().filter(|candidate| !candidate.is_avoided || !any_sound);
        let usable: Vec<_> = usable.map(|candidate| candidate.key).collect();
        let free = self.makers.borrow_mut().free(now, &usable, shape);
        let target = |(key, room): (UpstreamKey, u64)| Some((self.upstreams.target(key)?, room));
        let mut free: Vec<_> = free.into_iter().filter_map(target).collect();
        free.shuffle(&mut rand::rng());
        free
    }

    /// The makers of a service in a failure domain; `None` if there are none.
    fn makers_in(&self, service: &str, failure_domain: &str) -> Option<Makers> {
        let directory = self.upstreams.directory();
        let makers = self.makers.borrow();
        let there = directory.of_service(service).filter(|(_, upstream)| {
            upstream.takes_work() && *upstream.record.failure_domain == *failure_domain
        });
        let free_at = |key| makers.get(key).and_then(Maker::busy_until).unwrap_or_default();
        let times: Vec<_> = there.map(|(key, _)| free_at(key)).collect();
        let free_at = *times.iter().min()?;
        Some(Makers { count: times.len(), free_at })
    }

    fn start_call(
        self: &Rc<Self>,
        service: &Service,
        shape: BatchShape,
        target: Target,
        tasks: Vec<Task>,
    ) {
        let bytes: u64 = tasks.iter().map(|task| task.result_bytes).sum();
        let started = self.now();
        let usual = usual_time(&shape, tasks.len());
        if let Some(maker) = self.makers.borrow_mut().of(target.key) {
            maker.call_began(started + usual, bytes);
        }
        let owner = self.clone();
        let connections_max = service.connections_max;
        let service = service.name.clone();
        let waiting = self.queues.borrow().get(&service).map_or(0, BatchQueue::len);
        spawn_local(async move {
            let call = owner.call(&target, connections_max, &shape, &tasks);
            let (end, was_overdue) = owner.watched(call, &service, &target, &shape, &tasks).await;
            owner.log_call(&service, &target, &tasks, started, waiting);
            let now = owner.now();
            if let Some(maker) = owner.makers.borrow_mut().get_mut(target.key) {
                maker.call_ended(bytes);
                if end.is_ok() {
                    maker.took(now, now.saturating_sub(started), usual);
                }
            }
            owner.call_ended(&service, &target, tasks, end, was_overdue);
            owner.pump(&service);
        });
    }

    /// Waits for a call's end; once it is overdue, its pieces are given to another maker as well.
    /// Tells whether that was so.
    async fn watched<T>(
        self: &Rc<Self>,
        call: impl Future<Output = T>,
        service: &Arc<str>,
        target: &Target,
        shape: &BatchShape,
        tasks: &[Task],
    ) -> (T, bool) {
        let mut call = pin!(call);
        let patience = overdue_after(shape, tasks.len());
        if let Ok(end) = timeout(patience, &mut call).await {
            return (end, false);
        }
        let line = LogLine::event("stage_call_overdue").with("service", service);
        let line = line.with("upstream", &target.instance).with("pieces", tasks.len());
        log::info(line.with("after_ms", patience.as_millis()));
        for task in tasks.iter().filter(|task| has_further_call(task)) {
            self.put_back(service, Task { calls: task.calls + 1, ..task.clone() });
        }
        self.pump(service);
        (call.await, true)
    }

    /// Tells whether a piece's result is there, or not needed any more.
    fn is_made(&self, task: &Task) -> bool {
        let works = self.works.borrow();
        let work = works.get(&task.work);
        work.is_none_or(|work| work.handles[task.piece.number as usize].is_some())
    }

    fn log_call(
        &self,
        service: &Arc<str>,
        target: &Target,
        tasks: &[Task],
        started: Duration,
        waiting: usize,
    ) {
        measures::batch_called(service, tasks.len(), waiting);
        let kept = self.makers.borrow().get(target.key).map_or(0, Maker::kept_bytes);
        let line = LogLine::event("stage_call")
            .with("service", service)
            .with("upstream", &target.instance)
            .with("pieces", tasks.len())
            .with("waiting", waiting)
            .with("kept_bytes", kept)
            .with("took_ms", self.now().saturating_sub(started).as_millis());
        log::info(line);
    }

    async fn call(
        &self,
        target: &Target,
        connections_max: u32,
        shape: &BatchShape,
        tasks: &[Task],
    ) -> Result<Vec<PieceOutcome>, CallFailure> {
        let now = self.now();
        let piece = |task: &Task| Piece {
            remaining: task.deadline_at.saturating_sub(now),
            ..task.piece.clone()
        };
        let pieces: Vec<_> = tasks.iter().map(piece).collect();
        let call = self.wire.encode_batch(&pieces);
        let request = self.request(target, call.path, call.body);
        let expected = usual_time(shape, tasks.len());
        let exchange = async {
            let answer = self.upstreams.send(target, connections_max, request).await?;
            let fields = self.wire.decode_answer(answer.head.status, &answer.head.headers);
            if fields.not_run || fields.wrong_instance {
                return Err(CallFailure::Refused);
            }
            if answer.head.status != StatusCode::OK {
                return Err(CallFailure::Failed(format!("status {}", answer.head.status)));
            }
            let body = http_body_util::Limited::new(answer.body, ANSWER_BYTES_MAX);
            let body = body.collect().await.map_err(|e| CallFailure::Failed(e.to_string()))?;
            let outcomes = self.wire.decode_batch(&body.to_bytes());
            outcomes.map_err(|error| CallFailure::Failed(error.to_string()))
        };
        let patience = expected * CALL_PATIENCE + CALL_GRACE;
        let outcomes = timeout(patience, exchange).await.unwrap_or_else(|_| {
            Err(CallFailure::Failed(format!("no answer in {} ms", patience.as_millis())))
        })?;
        if outcomes.len() != tasks.len() {
            return Err(CallFailure::Failed("the answer has another number of pieces".to_owned()));
        }
        Ok(outcomes)
    }

    fn request(&self, target: &Target, path: &'static str, body: Bytes) -> Request<Full<Bytes>> {
        let mut headers = HeaderMap::new();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Ok(host) = HeaderValue::from_str(&target.address.to_string()) {
            headers.insert(http::header::HOST, host);
        }
        self.wire.encode_instance(&mut headers, &target.instance);
        let mut request = Request::new(Full::new(body));
        *request.method_mut() = Method::POST;
        *request.uri_mut() = http::Uri::from_static(path);
        *request.headers_mut() = headers;
        request
    }

    fn call_ended(
        &self,
        service: &Arc<str>,
        target: &Target,
        tasks: Vec<Task>,
        end: Result<Vec<PieceOutcome>, CallFailure>,
        was_overdue: bool,
    ) {
        let now = self.now();
        // Of these, another copy waits or is in a call already.
        let goes_on = |task: &Task| was_overdue && has_further_call(task);
        let outcomes = match end {
            Ok(outcomes) => {
                self.upstreams.succeeded(target.key);
                outcomes
            }
            Err(failure) => {
                match &failure {
                    CallFailure::Refused => self.upstreams.was_full(now, target.key),
                    CallFailure::NotSent(_) => self.upstreams.was_unreachable(now, target.key),
                    CallFailure::Failed(_) => {
                        self.upstreams.failed(now, target.key);
                    }
                }
                let line = LogLine::event("stage_call_failed")
                    .with("service", service)
                    .with("upstream", &target.instance)
                    .with("pieces", tasks.len())
                    .with("error", &failure);
                log::warn(line);
                for task in tasks.into_iter().filter(|task| !goes_on(task)) {
                    self.retry(service, task, !matches!(failure, CallFailure::NotSent(_)));
                }
                return;
            }
        };
        for (task, outcome) in tasks.into_iter().zip(outcomes) {
            let is_repeated = matches!(outcome, PieceOutcome::NoRoom | PieceOutcome::Failed);
            if !(is_repeated && goes_on(&task)) {
                self.piece_ended(service, target, task, outcome);
            }
        }
    }

    fn piece_ended(&self, service: &Arc<str>, target: &Target, task: Task, outcome: PieceOutcome) {
        match outcome {
            PieceOutcome::Made(handle) => self.piece_made(service, target, &task, handle),
            PieceOutcome::Late => self.end_work(task.work, WorkEnd::Late),
            PieceOutcome::InputGone => self.end_work(task.work, WorkEnd::InputGone),
            PieceOutcome::NoRoom => {
                self.had_no_room(service, target, &task);
                self.put_back(service, task);
            }
            PieceOutcome::Failed => self.retry(service, task, true),
        }
    }

    fn piece_made(&self, service: &Arc<str>, target: &Target, task: &Task, handle: Arc<str>) {
        if let Some(maker) = self.makers.borrow_mut().get_mut(target.key) {
            let kept = Kept { bytes: task.result_bytes, made_at: self.now(), asker: task.asker };
            maker.keep(handle.clone(), kept);
        }
        let mut works = self.works.borrow_mut();
        let Some(work) = works.get_mut(&task.work) else {
            drop(works);
            self.release(service, [handle]);
            return;
        };
        let place = &mut work.handles[task.piece.number as usize];
        if place.is_some() {
            // Another maker was given the piece as well and was faster.
            drop(works);
            self.release(service, [handle]);
            return;
        }
        *place = Some(handle);
        if let Some(queue) = self.queues.borrow_mut().get_mut(service) {
            queue.drop_piece(task.work, task.piece.number);
        }
        if work.handles.iter().any(Option::is_none) {
            return;
        }
        if let Some(work) = works.remove(&task.work) {
            drop(works);
            let handles = work.handles.into_iter().flatten().collect();
            if let Err(WorkEnd::Made(handles)) = work.reply.send(WorkEnd::Made(handles)) {
                self.release(service, handles);
            }
        }
    }

    /// Takes in that a maker has less room than is known here: another owner's results lie there,
    /// or results are larger than they were said to be.
    fn had_no_room(&self, service: &Arc<str>, target: &Target, task: &Task) {
        let room = self.service(service).map_or(0, |(_, shape)| shape.result_room_bytes);
        let mut makers = self.makers.borrow_mut();
        let Some(maker) = makers.get_mut(target.key) else {
            return;
        };
        let known = maker.kept_bytes();
        if maker.had_no_room(self.now(), room) {
            let line = LogLine::event("maker_full").with("upstream", &target.instance);
            let line = line.with("service", service).with("kept_bytes", known);
            log::info(line.with("result_bytes", task.result_bytes));
        }
    }

    /// Puts a piece back whose call failed, or fails its work. `was_sent` says whether the
    /// upstream may have worked on it.
    fn retry(&self, service: &Arc<str>, mut task: Task, was_sent: bool) {
        if self.is_made(&task) {
            return;
        }
        task.calls += u32::from(was_sent);
        match task.calls < CALLS_MAX {
            true => self.put_back(service, task),
            false => self.end_work(task.work, WorkEnd::Failed),
        }
    }

    fn put_back(&self, service: &Arc<str>, task: Task) {
        if !self.is_made(&task) {
            self.queues.borrow_mut().entry(service.clone()).or_default().push(task);
        }
    }

    fn end_work(&self, work: u64, end: WorkEnd) {
        let Some(open) = self.works.borrow_mut().remove(&work) else {
            return;
        };
        if let Some(queue) = self.queues.borrow_mut().get_mut(&open.service) {
            queue.cancel(work);
        }
        let line = LogLine::event("work_ended").with("service", &open.service);
        log::info(line.with("outcome", end.name()));
        self.release(&open.service, open.handles.into_iter().flatten());
        reply(open.reply, end);
    }

    fn now(&self) -> Duration {
        self.clock.now().monotonic
    }
}

/// Tells whether a piece may go into a further call.
fn has_further_call(task: &Task) -> bool {
    task.calls + 1 < CALLS_MAX
}

/// Tells a work's end to who asked for it; if nobody waits any more, nothing is to be told.
fn reply(reply: Reply, end: WorkEnd) {
    drop(reply.send(end));
}

fn task(work_id: u64, work: &Work, number: u32) -> Task {
    Task {
        work: work_id,
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
        asker: work.asker,
        calls: 0,
    }
}

/// Why a call brought no outcomes.
#[derive(Debug, thiserror::Error)]
enum CallFailure {
    /// Nothing was written.
    #[error("{0}")]
    NotSent(String),
    /// The upstream refused it.
    #[error("refused")]
    Refused,
    /// Anything else.
    #[error("{0}")]
    Failed(String),
}

impl From<SendFailure> for CallFailure {
    fn from(failure: SendFailure) -> Self {
        match failure {
            SendFailure::NotSent(reason) => Self::NotSent(reason),
            SendFailure::Broken(reason) => Self::Failed(reason),
        }
    }
}

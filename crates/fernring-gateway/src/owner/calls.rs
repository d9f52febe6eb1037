//! Calls of an owner to its makers.

use {
    super::{Owner, outcomes::has_further_call},
    crate::{
        backlog::{RANKS, rank},
        barred::Barred,
        batching::{Batch, BatchQueue, Bound, Task},
        connections::{ConnectionLoss, SendFailure},
        endings::Break,
        log,
        makers::{Maker, overdue_after, usual_time},
        telemetry,
        model::{BatchConfig, Piece, PieceOutcome, Service, UpstreamKey},
        pools::MakerPool,
        residency::Residency,
        upstreams::{Sending, Target},
    },
    bytes::Bytes,
    fernring_core::text::LogLine,
    http::{HeaderMap, HeaderValue, Method, Request, StatusCode, header::CONTENT_TYPE},
    http_body_util::{BodyExt, Full},
    std::{pin::pin, rc::Rc, sync::Arc, time::Duration},
    tokio::{task::spawn_local, time::timeout},
};

/// How much longer than estimated a call may take. Upstreams differ in speed, some turn slow;
/// beyond three times, the pieces are better off elsewhere.
const CALL_PATIENCE: u32 = 3;
/// Time that a call may take besides: connecting, fetching inputs, and a turn behind another
/// node's call.
const CALL_GRACE: Duration = Duration::from_millis(400);
/// Longest answer of a call that is read, in bytes: a handle or reason for each piece, with room.
const ANSWER_BYTES_MAX: usize = 1 << 20;

impl Owner {
    pub(super) fn start_call(
        self: &Rc<Self>,
        pool: &MakerPool,
        service: &Service,
        shape: BatchConfig,
        target: Target,
        batch: Batch,
    ) {
        let Batch { tasks, bound } = batch;
        let bytes: u64 = tasks.iter().map(|task| task.result_bytes).sum();
        let started = self.now();
        let usual = usual_time(&shape, tasks.len());
        if let Some(maker) = self.makers.borrow_mut().of(target.key) {
            maker.call_began(started + usual, bytes);
        }
        let owner = self.clone();
        let connections_max = service.connections_max;
        let pool = pool.clone();
        let waiting = self.queues.borrow().get(&pool).map_or(0, BatchQueue::len);
        spawn_local(async move {
            let call = owner.call(&pool, &target, connections_max, &shape, &tasks);
            let (end, was_overdue) = owner.watched(call, &pool, &target, &shape, &tasks).await;
            owner.log_call(&pool, &target, &tasks, started, waiting, bound);
            let now = owner.now();
            if let Some(maker) = owner.makers.borrow_mut().get_mut(target.key) {
                maker.call_ended(bytes);
                if end.is_ok() {
                    maker.took(now, now.saturating_sub(started), usual);
                }
            }
            if end.is_ok() && matches!(bound, Bound::Places | Bound::Room) {
                let took = now.saturating_sub(started);
                let mut flows = owner.flows.borrow_mut();
                flows.entry(pool.clone()).or_default().called(&shape, tasks.len(), took);
            }
            let has_ended = match &end {
                Err(CallFailure::Broken(why)) => owner.has_ended(&target, &tasks, why).await,
                _ => false,
            };
            owner.call_ended(&pool, &target, tasks, end, was_overdue, has_ended);
            owner.pump(&pool);
        });
    }

    /// Finds out whether a call broke off because its maker has ended.
    async fn has_ended(&self, target: &Target, tasks: &[Task], why: &ConnectionLoss) -> bool {
        let Some(how) = why.kind else {
            return false;
        };
        let first = tasks.first().map(|task| task.content);
        let is_alone = tasks.iter().all(|task| Some(task.content) == first);
        self.blame.broke(target, how, first.filter(|_| is_alone));
        how == Break::Closed && self.blame.has_upstream_ended(target.key).await
    }

    /// Waits for a call's end; once it is overdue, its pieces are given to another maker as well.
    /// Tells whether that was so.
    async fn watched<T>(
        self: &Rc<Self>,
        call: impl Future<Output = T>,
        pool: &MakerPool,
        target: &Target,
        shape: &BatchConfig,
        tasks: &[Task],
    ) -> (T, bool) {
        if !self.rules.get().copies {
            return (call.await, false);
        }
        let mut call = pin!(call);
        let patience = overdue_after(shape, tasks.len());
        if let Ok(end) = timeout(patience, &mut call).await {
            return (end, false);
        }
        let line = LogLine::event("stage_call_overdue").with("service", &pool.service);
        let line = line.with("upstream", &target.instance).with("pieces", tasks.len());
        log::info(line.with("after_ms", patience.as_millis()));
        for task in tasks.iter().filter(|task| has_further_call(task)) {
            self.put_back(pool, Task { calls: task.calls + 1, ..task.clone() });
        }
        self.pump(pool);
        (call.await, true)
    }

    fn log_call(
        &self,
        pool: &MakerPool,
        target: &Target,
        tasks: &[Task],
        started: Duration,
        waiting: usize,
        bound: Bound,
    ) {
        telemetry::record_batch(&pool.service, tasks.len(), waiting);
        let kept = self.makers.borrow().get(target.key).map_or(0, Maker::kept_bytes);
        let line = LogLine::event("stage_call")
            .with("service", &pool.service)
            .with_some("of_domain", pool.failure_domain.as_ref())
            .with("upstream", &target.instance)
            .with("pieces", tasks.len())
            .with("waiting", waiting)
            .with("bound", bound.name())
            .with("kept_bytes", kept)
            .with("took_ms", self.now().saturating_sub(started).as_millis());
        log::info(line);
    }

    fn count_carried(&self, pool: &MakerPool, bytes: usize) {
        let mut carried = self.carried.borrow_mut();
        carried.entry(pool.clone()).or_default().add(self.now(), bytes);
    }

    async fn call(
        &self,
        pool: &MakerPool,
        target: &Target,
        connections_max: u32,
        shape: &BatchConfig,
        tasks: &[Task],
    ) -> Result<Vec<PieceOutcome>, CallFailure> {
        let now = self.now();
        let piece = |task: &Task| Piece {
            remaining: task.deadline_at.saturating_sub(now),
            ..task.piece.clone()
        };
        let pieces: Vec<_> = tasks.iter().map(piece).collect();
        let call = self.wire.encode_batch(&pieces);
        self.count_carried(pool, call.body.len());
        let ranks = tasks.iter().map(|task| rank(task.priority));
        let sending = Sending {
            request: self.request(target, call.path, call.body),
            rank: ranks.min().unwrap_or(0),
            residency: tasks
                .iter()
                .fold(Residency::default(), |all, task| all.and(&task.residency)),
            connections_max,
        };
        let expected = usual_time(shape, tasks.len());
        let trial = self.rollouts.began_call(&pool.service, target);
        let exchange = async {
            let answer = self.upstreams.send(target, sending).await?;
            let fields = self.wire.decode_response(answer.head.status, &answer.head.headers);
            if !fields.wrong_instance {
                self.upstreams.said_limit(target, now, fields.limit);
            }
            if fields.not_run || fields.wrong_instance {
                return Err(CallFailure::Refused);
            }
            if answer.head.status != StatusCode::OK {
                return Err(CallFailure::Failed(format!("status {}", answer.head.status)));
            }
            let body = http_body_util::Limited::new(answer.body, ANSWER_BYTES_MAX);
            let body = body.collect().await.map_err(|error| broken_body(&*error))?;
            let outcomes = self.wire.decode_batch(&body.to_bytes());
            outcomes.map_err(|error| CallFailure::Failed(error.to_string()))
        };
        let patience = expected * CALL_PATIENCE + CALL_GRACE;
        let outcomes = timeout(patience, exchange).await.unwrap_or_else(|_| {
            Err(CallFailure::Failed(format!("no answer in {} ms", patience.as_millis())))
        });
        if let Some(trial) = trial {
            match &outcomes {
                Ok(_) => trial.call_whole(self.now().saturating_sub(now), expected),
                Err(CallFailure::Failed(_) | CallFailure::Broken(_)) => trial.failed(),
                Err(_) => {}
            }
        }
        let outcomes = outcomes?;
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

    pub(super) async fn send_release(self: Rc<Self>, key: UpstreamKey, handles: Vec<Arc<str>>) {
        let Some(target) = self.upstreams.target(key) else {
            return;
        };
        let call = self.wire.encode_release(&handles);
        let sending = Sending {
            request: self.request(&target, call.path, call.body),
            rank: RANKS - 1,
            // Handles alone go there, and nothing of a request.
            residency: Residency::default(),
            connections_max: self.connections_max(key),
        };
        let work = async {
            let answer = self.upstreams.send_release(&target, sending).await?;
            answer.body.collect().await.map_err(|e| SendFailure::Broken((&e).into()))
        };
        let released = timeout(CALL_GRACE, work).await;
        if let Ok(Err(SendFailure::Ineligible(_))) = released {
            // Its upstream takes no more now: with the next ones.
            self.releases.borrow_mut().entry(key).or_default().extend(handles);
            return;
        }
        if let Ok(Err(error)) = released {
            // The results lapse by themselves; until then they take room.
            let line = LogLine::event("release_failed").with("upstream", &target.instance);
            log::info(line.with("error", error));
        }
    }
}

/// Why a call brought no outcomes.
#[derive(Debug, thiserror::Error)]
pub(super) enum CallFailure {
    /// Nothing was written.
    #[error("{0}")]
    NotSent(String),
    /// Nothing was written, since the upstream may get nothing new.
    #[error("{0}")]
    Barred(Barred),
    /// The upstream refused it.
    #[error("refused")]
    Refused,
    /// Its connection broke off.
    #[error("{0}")]
    Broken(ConnectionLoss),
    /// Anything else.
    #[error("{0}")]
    Failed(String),
}

/// Tells why the body of an answer didn't come whole.
fn broken_body(error: &(dyn std::error::Error + 'static)) -> CallFailure {
    match error.downcast_ref::<hyper::Error>() {
        Some(error) => CallFailure::Broken(error.into()),
        None => CallFailure::Failed(error.to_string()),
    }
}

impl From<SendFailure> for CallFailure {
    fn from(failure: SendFailure) -> Self {
        match failure {
            SendFailure::NotSent(reason) | SendFailure::ConnectionRefused(reason) => Self::NotSent(reason),
            SendFailure::Ineligible(why) => Self::Barred(why),
            SendFailure::Broken(broke) => Self::Broken(broke),
        }
    }
}

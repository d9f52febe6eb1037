//! Calls of an owner to its workers.

use {
    super::{
        Owner,
        call_failure::{CallFailure, body_failure, undecodable},
    },
    crate::{
        backlog::{RANKS, rank_index},
        batching::{Batch, BatchLimit, BatchQueue, QueuedPiece},
        connections::ConnectionLoss,
        crash_detection::Disconnect,
        fingerprint::RequestTraits,
        framing::Framing,
        log,
        model::{BatchConfig, Piece, PieceOutcome, Service, UpstreamKey},
        residency::Residency,
        response_progress::CALL_BYTES_MAX,
        telemetry,
        upstreams::{Target, UpstreamSend},
        worker_pools::WorkerPool,
        worker_speeds::Slowdown,
        workers::{Worker, expected_call_time, overdue_after},
    },
    bytes::Bytes,
    fernring_core::text::LogLine,
    http::{HeaderMap, HeaderValue, Method, Request, StatusCode, header::CONTENT_TYPE},
    http_body_util::{BodyExt, Full, Limited},
    std::{pin::pin, rc::Rc, sync::Arc, time::Duration},
    tokio::{task::spawn_local, time::timeout},
};

/// Time after which the worker of a call counts as silent, as a multiple of the call's expected
/// time. Upstreams differ in speed, and some turn slow.
const SILENCE_FACTOR: u32 = 3;
/// Time that is added to it: for connecting, fetching inputs, and waiting behind the call of another
/// node.
const SILENCE_EXTRA: Duration = Duration::from_millis(400);
/// Timeout of a release of results.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(400);

/// What is known of a call when it starts.
#[derive(Clone, Copy)]
struct CallStart {
    started_at: Duration,
    /// Time that the call should take at its worker.
    expected: Duration,
    /// Number of pieces that stay queued.
    waiting: usize,
    limit: BatchLimit,
}

/// How long a call waits for its worker.
#[derive(Clone, Copy)]
struct CallPatience {
    /// Time after which its pieces are given to other workers as well.
    overdue_after: Duration,
    /// Time after which its worker counts as silent.
    silent_after: Duration,
    /// Time until all of its pieces have expired.
    ends_after: Duration,
}

/// What became of a call while it was awaited.
#[derive(Clone, Copy, Default)]
struct CallDelay {
    /// Whether copies of its pieces were queued.
    was_overdue: bool,
    /// Whether its worker counted as silent, and may have got another call since.
    was_silent: bool,
}

impl Owner {
    pub(super) fn start_call(
        self: &Rc<Self>,
        pool: &WorkerPool,
        service: &Service,
        batch_config: BatchConfig,
        target: Target,
        batch: Batch,
        slowdown: Slowdown,
    ) {
        let Batch { pieces, limit } = batch;
        let bytes: u64 = pieces.iter().map(|piece| piece.result_bytes).sum();
        let started = self.now();
        let expected = slowdown.lengthen(expected_call_time(&batch_config, pieces.len()));
        if let Some(worker) = self.workers.borrow_mut().get_or_create(target.key) {
            worker.record_call_start(started + expected, bytes);
        }
        let owner = self.clone();
        let connections_max = service.connections_max;
        let pool = pool.clone();
        let waiting = self.queues.borrow().get(&pool).map_or(0, BatchQueue::len);
        let start = CallStart { started_at: started, expected, waiting, limit };
        spawn_local(async move {
            let silent_after = expected * SILENCE_FACTOR + SILENCE_EXTRA;
            let expires_at = pieces.iter().map(|piece| piece.deadline_at).max().unwrap_or(started);
            let patience = CallPatience {
                overdue_after: overdue_after(&batch_config, pieces.len(), slowdown),
                silent_after,
                ends_after: expires_at.saturating_sub(started).max(silent_after),
            };
            let call =
                owner.call(&pool, &target, connections_max, &batch_config, &pieces, patience);
            let (result, delay) = owner.await_call(call, &pool, &target, &pieces, patience).await;
            owner.log_call(&pool, &target, &pieces, start);
            if !delay.was_silent {
                owner.record_call_end(target.key, bytes);
                if result.is_ok() {
                    owner.record_call_time(&pool, target.key, pieces.len(), &batch_config, start);
                }
            }
            let has_crashed = match &result {
                Err(CallFailure::Broken(loss)) => owner.has_crashed(&target, &pieces, loss).await,
                _ => false,
            };
            owner.handle_call_end(&pool, &target, pieces, result, delay.was_overdue, has_crashed);
            owner.dispatch(&pool);
        });
    }

    /// Returns whether a call lost its connection because its worker has crashed.
    async fn has_crashed(
        &self,
        target: &Target,
        pieces: &[QueuedPiece],
        loss: &ConnectionLoss,
    ) -> bool {
        let Some(disconnect) = loss.kind else {
            return false;
        };
        let first = pieces.first().map(|piece| piece.fingerprint);
        let is_single_request = pieces.iter().all(|piece| Some(piece.fingerprint) == first);
        self.crash_attribution.record_broken_send(
            target,
            disconnect,
            first.filter(|_| is_single_request).map(RequestTraits::without_parts).as_ref(),
        );
        disconnect == Disconnect::Closed
            && self.crash_attribution.has_upstream_crashed(target.key).await
    }

    fn record_call_end(&self, key: UpstreamKey, bytes: u64) {
        if let Some(worker) = self.workers.borrow_mut().get_mut(key) {
            worker.record_call_end(bytes);
        }
    }

    /// Records how long a call took whose worker has responded.
    fn record_call_time(
        &self,
        pool: &WorkerPool,
        key: UpstreamKey,
        pieces: usize,
        batch_config: &BatchConfig,
        start: CallStart,
    ) {
        let now = self.now();
        let elapsed = now.saturating_sub(start.started_at);
        if let Some(worker) = self.workers.borrow_mut().get_mut(key) {
            let usual = expected_call_time(batch_config, pieces);
            worker.record_call_time(now, elapsed, usual, batch_config);
        }
        if matches!(start.limit, BatchLimit::Slots | BatchLimit::FreeBytes) {
            let mut throughputs = self.throughputs.borrow_mut();
            let throughput = throughputs.entry(pool.clone()).or_default();
            throughput.record_saturated_call(batch_config, pieces, elapsed);
        }
    }

    /// Waits until a call ends. Once it is overdue, copies of its pieces are queued for other workers;
    /// once its worker counts as silent, the worker may get other calls. Neither ends the call: the
    /// worker may be the first to respond after all.
    async fn await_call<T>(
        self: &Rc<Self>,
        call: impl Future<Output = T>,
        pool: &WorkerPool,
        target: &Target,
        pieces: &[QueuedPiece],
        patience: CallPatience,
    ) -> (T, CallDelay) {
        let mut call = pin!(call);
        let mut delay = CallDelay::default();
        let mut waited = Duration::ZERO;
        if self.decide_settings.get().copies {
            waited = patience.overdue_after.min(patience.silent_after);
            if let Ok(result) = timeout(waited, &mut call).await {
                return (result, delay);
            }
            delay.was_overdue = true;
            self.queue_copies(pool, target, pieces, waited);
        }
        if let Ok(result) = timeout(patience.silent_after - waited, &mut call).await {
            return (result, delay);
        }
        if !delay.was_overdue {
            delay.was_overdue = true;
            self.queue_copies(pool, target, pieces, patience.silent_after);
        }
        delay.was_silent = true;
        self.record_silent_worker(pool, target, pieces);
        (call.await, delay)
    }

    /// Queues copies of the pieces of an overdue call for other workers.
    fn queue_copies(
        self: &Rc<Self>,
        pool: &WorkerPool,
        target: &Target,
        pieces: &[QueuedPiece],
        waited: Duration,
    ) {
        let line = LogLine::event("stage_call_overdue").with("service", &pool.service);
        let line = line.with("upstream", &target.instance).with("pieces", pieces.len());
        log::info(line.with("after_ms", waited.as_millis()));
        for piece in pieces.iter().filter(|piece| piece.may_be_called_again()) {
            self.requeue(pool, QueuedPiece { calls: piece.calls + 1, ..piece.clone() });
        }
        self.dispatch(pool);
    }

    /// Records that the worker of a call is silent: it is avoided for a moment, and may get other calls
    /// afterwards.
    fn record_silent_worker(
        self: &Rc<Self>,
        pool: &WorkerPool,
        target: &Target,
        pieces: &[QueuedPiece],
    ) {
        let line = LogLine::event("stage_call_silent").with("service", &pool.service);
        log::warn(line.with("upstream", &target.instance).with("pieces", pieces.len()));
        self.record_call_end(target.key, pieces.iter().map(|piece| piece.result_bytes).sum());
        self.upstreams.record_failure(self.now(), target.key);
        self.dispatch(pool);
    }

    fn log_call(
        &self,
        pool: &WorkerPool,
        target: &Target,
        pieces: &[QueuedPiece],
        start: CallStart,
    ) {
        telemetry::record_batch(&pool.service, pieces.len(), start.waiting);
        let kept_bytes = self.workers.borrow().get(target.key).map_or(0, Worker::used_bytes);
        let line = LogLine::event("stage_call")
            .with("service", &pool.service)
            .with_some("of_domain", pool.failure_domain.as_ref())
            .with("upstream", &target.instance)
            .with("pieces", pieces.len())
            .with("waiting", start.waiting)
            .with("bound", start.limit.name())
            .with("kept_bytes", kept_bytes)
            .with("expected_ms", start.expected.as_millis())
            .with("took_ms", self.now().saturating_sub(start.started_at).as_millis());
        log::info(line);
    }

    fn record_traffic(&self, pool: &WorkerPool, bytes: usize) {
        let mut traffic = self.traffic.borrow_mut();
        traffic.entry(pool.clone()).or_default().add(self.now(), bytes);
    }

    async fn call(
        &self,
        pool: &WorkerPool,
        target: &Target,
        connections_max: u32,
        batch_config: &BatchConfig,
        queued: &[QueuedPiece],
        patience: CallPatience,
    ) -> Result<Vec<PieceOutcome>, CallFailure> {
        let now = self.now();
        let piece = |queued: &QueuedPiece| Piece {
            remaining: queued.deadline_at.saturating_sub(now),
            ..queued.piece.clone()
        };
        let pieces: Vec<_> = queued.iter().map(piece).collect();
        let call = self.wire.encode_batch(&pieces);
        self.record_traffic(pool, call.body.len());
        let ranks = queued.iter().map(|piece| rank_index(piece.priority));
        let send = UpstreamSend {
            request: self.request(target, call.path, call.body),
            rank: ranks.min().unwrap_or(0),
            residency: queued
                .iter()
                .fold(Residency::default(), |all, piece| all.intersect(&piece.residency)),
            version: None,
            connections_max,
            request_id: None,
            has_begun: Rc::default(),
        };
        let expected = expected_call_time(batch_config, queued.len());
        let tracked = self.rollouts.track_call(&pool.service, target);
        let exchange = async {
            let mut response = self.upstreams.send(&*self.wire, target, send).await?;
            if response.fields.not_run || response.fields.wrong_instance {
                return Err(CallFailure::Refused);
            }
            if response.head.status != StatusCode::OK {
                return Err(CallFailure::Failed(format!("status {}", response.head.status)));
            }
            let framing = Framing::of(&response.head);
            response.body.limit(CALL_BYTES_MAX);
            let body = Limited::new(response.body, CALL_BYTES_MAX);
            let body = body.collect().await.map_err(|error| body_failure(&*error))?;
            let outcomes = self.wire.decode_batch(&body.to_bytes());
            outcomes.map_err(|error| undecodable(framing, &error))
        };
        let mut exchange = pin!(exchange);
        let outcomes = match timeout(patience.silent_after, &mut exchange).await {
            Ok(outcomes) => outcomes,
            Err(_) => {
                if let Some(tracked) = &tracked {
                    tracked.record_failure();
                }
                let rest = patience.ends_after.saturating_sub(patience.silent_after);
                timeout(rest, exchange).await.unwrap_or_else(|_| {
                    let waited_ms = patience.ends_after.as_millis();
                    Err(CallFailure::Failed(format!("no response within {waited_ms} ms")))
                })
            }
        };
        if let Some(tracked) = tracked {
            match &outcomes {
                Ok(_) => tracked.record_call_success(self.now().saturating_sub(now), expected),
                Err(CallFailure::Failed(_) | CallFailure::Broken(_)) => tracked.record_failure(),
                Err(_) => {}
            }
        }
        let outcomes = outcomes?;
        if outcomes.len() != queued.len() {
            return Err(CallFailure::Failed(
                "the response has the wrong number of outcomes".to_owned(),
            ));
        }
        if !self.record_handles(target.key, &outcomes) {
            return Err(CallFailure::Failed("the response is for an earlier call".to_owned()));
        }
        Ok(outcomes)
    }

    /// Records the handles of a response; returns whether it may be the response to its call. Calls
    /// carry no identifier that workers repeat, so a handle is all that tells responses apart.
    fn record_handles(&self, key: UpstreamKey, outcomes: &[PieceOutcome]) -> bool {
        let handles = outcomes.iter().filter_map(|outcome| match outcome {
            PieceOutcome::Completed(handle) => Some(handle),
            _ => None,
        });
        let handles: Vec<_> = handles.collect();
        let now = self.now();
        let mut workers = self.workers.borrow_mut();
        workers.get_mut(key).is_none_or(|worker| worker.record_handles(now, &handles))
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
        let send = UpstreamSend {
            request: self.request(&target, call.path, call.body),
            rank: RANKS - 1,
            // A release holds only handles, and no data of a request.
            residency: Residency::default(),
            version: None,
            connections_max: self.connections_max(key),
            request_id: None,
            has_begun: Rc::default(),
        };
        let exchange = async {
            let mut response = self.upstreams.send_release(&*self.wire, &target, send).await?;
            response.body.limit(CALL_BYTES_MAX);
            let body = Limited::new(response.body, CALL_BYTES_MAX);
            body.collect().await.map_err(|error| body_failure(&*error))
        };
        let released = timeout(RELEASE_TIMEOUT, exchange).await;
        if let Ok(Err(CallFailure::Ineligible(_))) = released {
            // The upstream may get nothing now, so the handles go with the next release.
            self.releases.borrow_mut().entry(key).or_default().extend(handles);
            return;
        }
        if let Ok(Err(error)) = released {
            // The results expire by themselves; until then they take capacity.
            let line = LogLine::event("release_failed").with("upstream", &target.instance);
            log::info(line.with("error", error));
        }
    }
}

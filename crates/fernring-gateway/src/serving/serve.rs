//! Checks and routes a caller's request, and turns the result of its exchange into the answer.

use {
    crate::{
        attempts::NotRun,
        caller_body::CallerBody,
        config::ActiveConfig,
        connections::{ConnectionLoss, ResponseBody},
        context::ServingContext,
        exchange::{
            CallerRequest, Exchange, ExchangeEnd, InFlight, OpenedResponse, SHUTDOWN_DETAIL,
        },
        fingerprint::Fingerprint,
        held_bodies::HeldBody,
        log,
        model::{PIECES_MAX, Route, Workspace, api_key_hash},
        refusal::{RETRY_AFTER_NOT_READY, Refusal},
        relay::{Relay, next_bytes},
        response_progress::BODY_BYTES_MAX,
        telemetry,
    },
    bytes::{Bytes, BytesMut},
    fernring_core::{code::ResultCode, text::LogLine},
    futures_util::stream,
    http::{
        HeaderMap, HeaderName, Request, Response, StatusCode,
        header::{
            CONNECTION, CONTENT_LENGTH, HOST, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER,
            TRANSFER_ENCODING, UPGRADE,
        },
        request,
    },
    http_body_util::{BodyExt, Full, LengthLimitError, Limited},
    hyper::body::{Body, Incoming},
    rand::RngExt,
    std::{rc::Rc, sync::Arc, time::Duration},
    tokio::time::timeout,
};

/// How long the rest of a body that is too long is read, so that the caller receives the answer.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest mean retry-after of a node whose configuration may be outdated.
const RETRY_AFTER_OUTDATED_MAX: Duration = Duration::from_secs(2);

/// A request that passed all checks.
struct Accepted {
    route: Arc<Route>,
    workspace: Option<Arc<Workspace>>,
    request: CallerRequest,
}

impl ServingContext {
    /// Serves a request and returns the answer. Dropping the future abandons the request.
    pub async fn serve(self: Rc<Self>, request: Request<Incoming>) -> Response<CallerBody> {
        let arrived_at = self.now();
        let in_flight = InFlight::new(self.clone());
        let (head, body) = request.into_parts();
        let accepted = match self.accept(head, body, arrived_at).await {
            Ok(accepted) => accepted,
            Err((id, refusal)) => {
                self.log_refusal(id.as_deref(), &refusal);
                return refusal.response(&*self.wire).map(CallerBody::full);
            }
        };
        let streaming = accepted.route.streaming;
        let exchange = Exchange::new(
            self.clone(),
            accepted.request,
            accepted.route,
            accepted.workspace,
            arrived_at,
        );
        drop(in_flight);
        if streaming { self.serve_stream(exchange).await } else { self.serve_plain(exchange).await }
    }

    fn log_refusal(&self, id: Option<&str>, refusal: &Refusal) {
        let status = refusal.status().as_u16();
        telemetry::record_request_refused(refusal.code.number(), status);
        let config_age = self.config_tailing.borrow().freshness().age(self.now());
        let line = LogLine::event("request_refused")
            .with("request", id.unwrap_or("-"))
            .with("code", refusal.code.number())
            .with("status", status)
            .with("config", self.config.borrow().version())
            .with_some("config_age_ms", config_age.map(|age| age.as_millis()))
            .with("detail", &refusal.detail);
        log::info(line);
    }

    /// Returns the refusal of a request that the configuration in force doesn't allow. If a newer
    /// one may be in force elsewhere, it could allow the request.
    fn refusal_by_config(&self, refusal: Refusal) -> Refusal {
        let (now, bound) = (self.now(), self.propagation_bound.get());
        let tailing = self.config_tailing.borrow();
        if !tailing.may_be_outdated(now, bound) {
            return refusal;
        }
        let age = tailing.freshness().age(now).unwrap_or_default();
        let after = (age / 2).clamp(RETRY_AFTER_NOT_READY, RETRY_AFTER_OUTDATED_MAX);
        let after = after.mul_f64(rand::rng().random_range(0.5..1.5));
        Refusal::outdated(NotRun::never_sent(), after, refusal)
    }

    async fn accept(
        &self,
        head: request::Parts,
        body: Incoming,
        arrived_at: Duration,
    ) -> Result<Accepted, (Option<Arc<str>>, Refusal)> {
        let fields = self.wire.decode_request(&head.headers).map_err(|error| {
            (None, Refusal::invalid_request(ResultCode::BadRequest, error.to_string()))
        })?;
        let id = fields.id.clone();
        let refuse = |refusal| (id.clone(), refusal);
        let refuse_by_config = |refusal| refuse(self.refusal_by_config(refusal));
        let current = self.config.borrow().current().ok_or_else(|| refuse(not_ready()))?;
        check_host(&head).map_err(refuse)?;
        let route = find_route(&current, &head).map_err(refuse_by_config)?;
        let workspace = find_workspace(&current, &route, fields.api_key.as_deref())
            .map_err(refuse_by_config)?;
        let Some(request_id) = id.clone() else {
            return Err(refuse(Refusal::invalid_request(ResultCode::BadRequest, "no request id")));
        };
        check_piece_counts(&fields.piece_counts).map_err(refuse)?;
        let end_at = arrived_at + route.wait_limit(fields.remaining);
        let body_read = read_body(body, current.config.limits.body_bytes_max);
        let body = self.complete_by(end_at, body_read).await;
        let body = body.unwrap_or_else(|| {
            Err(if self.now() < end_at { shuts_down() } else { Refusal::slow_body() })
        });
        let body = body.map_err(|refusal| match refusal.code {
            ResultCode::BodyTooLarge => refuse_by_config(refusal),
            _ => refuse(refusal),
        })?;
        let path = head.uri.path_and_query().map(|path| path.as_str()).unwrap_or("/");
        let uri = path.parse().map_err(|_| {
            refuse(Refusal::invalid_request(ResultCode::BadRequest, "malformed path"))
        })?;
        let mut headers = head.headers;
        strip_connection_headers(&mut headers);
        headers.remove(CONTENT_LENGTH);
        let method = head.method;
        let caller = workspace.as_ref().map(|workspace| &*workspace.name);
        let fingerprint = Fingerprint::of(caller, path, &body);
        let request =
            CallerRequest { method, uri, headers, body, fields, id: request_id, fingerprint };
        Ok(Accepted { route, workspace, request })
    }

    async fn serve_plain(&self, mut exchange: Exchange) -> Response<CallerBody> {
        let mut failure = None;
        loop {
            let opened = match exchange.open().await {
                Ok(opened) => opened,
                Err(refusal) => return self.fail(&mut exchange, failure, &refusal),
            };
            let status = opened.status();
            let is_failure = opened.is_failure();
            let key = opened.key();
            match self.collect_response(&mut exchange, opened).await {
                Ok(answer) if is_failure && exchange.may_send() => {
                    exchange.record_failure_response();
                    if !exchange.may_send() {
                        exchange.record_end(ExchangeEnd::Answered { status });
                        return answer;
                    }
                    failure = Some(answer);
                }
                Ok(answer) => {
                    exchange.record_success(key);
                    exchange.record_end(ExchangeEnd::Answered { status });
                    return answer;
                }
                Err(reason) => {
                    if exchange.may_send() {
                        continue;
                    }
                    let refusal = exchange.refusal_for(ResultCode::StageFailed, &reason);
                    return self.refuse(&mut exchange, &refusal);
                }
            }
        }
    }

    /// Collects a complete response; records a broken send if that fails.
    async fn collect_response(
        &self,
        exchange: &mut Exchange,
        mut opened: OpenedResponse,
    ) -> Result<Response<CallerBody>, String> {
        let collect_until = exchange.collect_until(&opened);
        opened.body.limit(BODY_BYTES_MAX);
        let mut held = self.held_bodies.begin();
        let collecting = collect_body(&mut opened.body, &mut held);
        let loss = match self.complete_by(collect_until, collecting).await {
            Some(Ok(body)) => {
                opened.record_intact();
                let body = CallerBody::held(body, held).with_deadline(exchange.end_at());
                return Ok(caller_response(&opened, body));
            }
            Some(Err(loss)) => loss,
            None => exchange.loss_without_time("the response wasn't complete in time"),
        };
        exchange.record_broken_send(&opened, &loss);
        Err(loss.reason)
    }

    async fn serve_stream(&self, mut exchange: Exchange) -> Response<CallerBody> {
        let opened = match self.open_stream(&mut exchange).await {
            Ok(opened) => opened,
            Err(answer) => return answer,
        };
        let head = caller_response(&opened, CallerBody::full(Full::default()));
        if opened.status() == StatusCode::OK {
            exchange.record_success(opened.key());
        }
        exchange.record_answer_begun();
        let end_at = exchange.end_at();
        let relay = Relay::new(exchange, opened);
        let events = stream::unfold(relay, |mut relay| async move {
            let item = relay.next().await?;
            Some((item, relay))
        });
        head.map(|_| CallerBody::stream(events).with_deadline(end_at))
    }

    /// Opens a stream. If it may be resumed, an upstream's failure is kept as the answer while others
    /// are asked.
    async fn open_stream(
        &self,
        exchange: &mut Exchange,
    ) -> Result<OpenedResponse, Response<CallerBody>> {
        let mut opened = exchange.open_stream().await;
        let mut failure = None;
        loop {
            let response = match opened {
                Ok(response) => response,
                Err(refusal) => return Err(self.fail(exchange, failure, &refusal)),
            };
            if !response.is_failure() || !exchange.may_be_repeated(&response) {
                return Ok(response);
            }
            failure = self.collect_response(exchange, response).await.ok();
            if failure.is_some() {
                exchange.record_failure_response();
            }
            opened = exchange.reopen(exchange.resume_after()).await;
        }
    }

    /// Ends a request that no upstream serves: with the failure that was kept, if any.
    fn fail(
        &self,
        exchange: &mut Exchange,
        failure: Option<Response<CallerBody>>,
        refusal: &Refusal,
    ) -> Response<CallerBody> {
        let Some(answer) = failure else {
            return self.refuse(exchange, refusal);
        };
        exchange.record_end(ExchangeEnd::Answered { status: answer.status() });
        answer
    }

    fn refuse(&self, exchange: &mut Exchange, refusal: &Refusal) -> Response<CallerBody> {
        exchange.record_end(ExchangeEnd::Refused(refusal));
        refusal.response(&*self.wire).map(CallerBody::full)
    }
}

fn not_ready() -> Refusal {
    let (code, after) = (ResultCode::NotReady, RETRY_AFTER_NOT_READY);
    Refusal::not_run(NotRun::never_sent(), code, after, "no configuration")
}

fn shuts_down() -> Refusal {
    let (code, after) = (ResultCode::NotReady, RETRY_AFTER_NOT_READY);
    Refusal::not_run(NotRun::never_sent(), code, after, SHUTDOWN_DETAIL)
}

fn check_host(head: &request::Parts) -> Result<(), Refusal> {
    if head.headers.get_all(HOST).iter().count() > 1 {
        return Err(Refusal::invalid_request(ResultCode::BadRequest, "more than one host header"));
    }
    Ok(())
}

fn check_piece_counts(counts: &[u32]) -> Result<(), Refusal> {
    match counts.iter().find(|count| **count > PIECES_MAX) {
        None => Ok(()),
        Some(count) => {
            let detail = format!("{count} pieces of a stage, of at most {PIECES_MAX}");
            Err(Refusal::invalid_request(ResultCode::BadRequest, detail))
        }
    }
}

fn find_route(current: &ActiveConfig, head: &request::Parts) -> Result<Arc<Route>, Refusal> {
    let host_header = head.headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = head.uri.host().or(host_header).unwrap_or_default();
    let host = host.rsplit_once(':').map_or(host, |(host, _port)| host);
    let route = current.config.route(host, head.uri.path()).cloned();
    route.ok_or_else(|| {
        Refusal::invalid_request(ResultCode::UnknownPipeline, "no route for this host and path")
    })
}

fn find_workspace(
    current: &ActiveConfig,
    route: &Route,
    key: Option<&str>,
) -> Result<Option<Arc<Workspace>>, Refusal> {
    let Some(workspaces) = &current.config.workspaces else {
        return Ok(None);
    };
    let found = key.and_then(|key| workspaces.get(&api_key_hash(key)).cloned());
    if found.is_none() && !route.is_public {
        return Err(Refusal::invalid_request(ResultCode::UnknownKeyHolder, "unknown API key"));
    }
    Ok(found)
}

async fn read_body(mut body: Incoming, bytes_max: usize) -> Result<Bytes, Refusal> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    if body.size_hint().lower() > bytes_max as u64 {
        return Err(body_too_long(body, bytes_max).await);
    }
    match Limited::new(&mut body, bytes_max).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(body_too_long(body, bytes_max).await),
        Err(error) => Err(Refusal::invalid_request(ResultCode::BadRequest, error.to_string())),
    }
}

/// Collects a response's body.
async fn collect_body(
    body: &mut ResponseBody,
    held: &mut HeldBody,
) -> Result<Bytes, ConnectionLoss> {
    let mut collected = BytesMut::new();
    while let Some(bytes) = next_bytes(body).await {
        let bytes = bytes?;
        if collected.len() + bytes.len() > BODY_BYTES_MAX {
            let reason = format!("the body is longer than {BODY_BYTES_MAX} bytes");
            return Err(ConnectionLoss { reason, kind: None });
        }
        let added = held.add(bytes.len());
        added.map_err(|error| ConnectionLoss { reason: error.to_string(), kind: None })?;
        collected.extend_from_slice(&bytes);
    }
    Ok(collected.freeze())
}

async fn body_too_long(body: Incoming, bytes_max: usize) -> Refusal {
    drain_body(body).await;
    Refusal::invalid_request(
        ResultCode::BodyTooLarge,
        format!("the body is longer than {bytes_max} bytes"),
    )
}

/// Reads and discards the rest of a body for up to [`DISCARD_TIMEOUT`]: closing a connection with
/// unread bytes would reset it, and the answer would be lost.
async fn drain_body(mut body: Incoming) {
    let discarding = async { while let Some(Ok(_)) = body.frame().await {} };
    // The answer is the same whether the body ended or not.
    drop(timeout(DISCARD_TIMEOUT, discarding).await);
}

/// Removes the headers that apply to a single connection only.
fn strip_connection_headers(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    let standard = [
        CONNECTION,
        PROXY_AUTHENTICATE,
        PROXY_AUTHORIZATION,
        TE,
        TRAILER,
        TRANSFER_ENCODING,
        UPGRADE,
        HeaderName::from_static("keep-alive"),
        HeaderName::from_static("proxy-connection"),
        http::header::EXPECT,
    ];
    for name in listed.iter().chain(&standard) {
        headers.remove(name);
    }
}

fn caller_response(opened: &OpenedResponse, body: CallerBody) -> Response<CallerBody> {
    let mut response = Response::new(body);
    *response.status_mut() = opened.head.status;
    let mut headers = opened.head.headers.clone();
    strip_connection_headers(&mut headers);
    // The body's own size applies: a stream that goes on at another upstream has another length.
    headers.remove(CONTENT_LENGTH);
    *response.headers_mut() = headers;
    response
}

//! From a caller's request to its answer.

use {
    crate::{
        attempts::NotRun,
        caller_body::CallerBody,
        config::ActiveConfig,
        connections::ConnectionLoss,
        content::ContentKey,
        context::Serving,
        exchange::{CallerRequest, Ended, Exchange, InFlight, Opened},
        log, telemetry,
        model::{Route, Workspace, api_key_hash},
        refusal::{RETRY_AFTER_NOT_READY, Refusal},
        relay::Relay,
    },
    bytes::Bytes,
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
    std::{rc::Rc, sync::Arc, time::Duration},
    tokio::time::timeout,
};

/// Longest whole answer of a plain route that is held until it is complete, in bytes. Larger ones
/// end as failed: nothing of the kind is served today.
const WHOLE_ANSWER_BYTES_MAX: usize = 8 << 20;
/// How long the rest of a body that is too long is read, so that its sender sees the answer.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

/// A request that may be served.
struct Accepted {
    route: Arc<Route>,
    workspace: Option<Arc<Workspace>>,
    request: CallerRequest,
}

impl Serving {
    /// Answers a request. Dropping the future gives it up.
    pub async fn serve(self: Rc<Self>, request: Request<Incoming>) -> Response<CallerBody> {
        let arrived_at = self.now();
        let in_flight = InFlight::new(self.clone());
        let (head, body) = request.into_parts();
        let accepted = match self.accept(head, body, arrived_at).await {
            Ok(accepted) => accepted,
            Err((id, refusal)) => {
                self.log_refusal(id.as_deref(), &refusal);
                return refusal.response(&*self.wire).map(CallerBody::whole);
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
        if streaming { self.stream(exchange).await } else { self.plain(exchange).await }
    }

    fn log_refusal(&self, id: Option<&str>, refusal: &Refusal) {
        telemetry::record_request_refused(refusal.code.number());
        let line = LogLine::event("request_refused")
            .with("request", id.unwrap_or("-"))
            .with("code", refusal.code.number())
            .with("status", refusal.status().as_u16())
            .with("config", self.config.borrow().version())
            .with("detail", &refusal.detail);
        log::info(line);
    }

    async fn accept(
        &self,
        head: request::Parts,
        body: Incoming,
        arrived_at: Duration,
    ) -> Result<Accepted, (Option<Arc<str>>, Refusal)> {
        let fields = self.wire.decode_request(&head.headers).map_err(|error| {
            (None, Refusal::incorrect(ResultCode::BadRequest, error.to_string()))
        })?;
        let id = fields.id.clone();
        let refuse = |refusal| (id.clone(), refusal);
        let held = self.config.borrow().current().ok_or_else(|| refuse(not_ready()))?;
        check_host(&head).map_err(refuse)?;
        let route = find_route(&held, &head).map_err(refuse)?;
        let workspace = find_workspace(&held, &route, fields.api_key.as_deref()).map_err(refuse)?;
        let Some(request_id) = id.clone() else {
            return Err(refuse(Refusal::incorrect(ResultCode::BadRequest, "no request id")));
        };
        let end_at = arrived_at + route.wait_limit(fields.remaining);
        let reading = read_body(body, held.config.limits.body_bytes_max);
        let body = self.alarm.within(end_at, reading).await;
        let body = body.unwrap_or_else(|| Err(Refusal::slow_body()));
        let body = body.map_err(refuse)?;
        let path = head.uri.path_and_query().map(|path| path.as_str()).unwrap_or("/");
        let uri = path.parse().map_err(|_| {
            refuse(Refusal::incorrect(ResultCode::BadRequest, "the path can't be read"))
        })?;
        let mut headers = head.headers;
        strip_connection_headers(&mut headers);
        headers.remove(CONTENT_LENGTH);
        let method = head.method;
        let caller = workspace.as_ref().map(|workspace| &*workspace.name);
        let content = ContentKey::of(caller, path, &body);
        let request = CallerRequest { method, uri, headers, body, fields, id: request_id, content };
        Ok(Accepted { route, workspace, request })
    }

    async fn plain(&self, mut exchange: Exchange) -> Response<CallerBody> {
        let mut failure = None;
        loop {
            let opened = match exchange.open().await {
                Ok(opened) => opened,
                Err(refusal) => {
                    return match failure {
                        Some(answer) => answer,
                        None => self.refuse(&mut exchange, &refusal),
                    };
                }
            };
            let status = opened.status();
            let is_failure = opened.is_failure();
            let key = opened.key();
            match self.collect(&mut exchange, opened).await {
                Ok(answer) if is_failure && exchange.may_send() => {
                    exchange.answered_with_failure();
                    if !exchange.may_send() {
                        exchange.finished(Ended::Answered { status });
                        return answer;
                    }
                    failure = Some(answer);
                }
                Ok(answer) => {
                    exchange.succeeded(key);
                    exchange.finished(Ended::Answered { status });
                    return answer;
                }
                Err(reason) => {
                    if exchange.may_send() {
                        continue;
                    }
                    let refusal = exchange.give_up(ResultCode::StageFailed, &reason);
                    return self.refuse(&mut exchange, &refusal);
                }
            }
        }
    }

    /// Reads a whole answer; the account of the send is settled if that fails.
    async fn collect(
        &self,
        exchange: &mut Exchange,
        mut opened: Opened,
    ) -> Result<Response<CallerBody>, String> {
        let collecting = Limited::new(&mut opened.body, WHOLE_ANSWER_BYTES_MAX).collect();
        let why = match self.alarm.within(exchange.end_at(), collecting).await {
            Some(Ok(whole)) => {
                opened.is_whole_so_far();
                let body = CallerBody::whole(Full::new(whole.to_bytes())).until(exchange.end_at());
                return Ok(response(&opened, body, true));
            }
            Some(Err(error)) => match error.downcast_ref::<hyper::Error>() {
                Some(error) => error.into(),
                None => ConnectionLoss { reason: error.to_string(), kind: None },
            },
            None => ConnectionLoss::silent("the answer was not whole in time"),
        };
        exchange.send_broke(&opened, &why);
        Err(why.reason)
    }

    async fn stream(&self, mut exchange: Exchange) -> Response<CallerBody> {
        let opened = match exchange.make_stages().await {
            Ok(()) => exchange.open().await,
            Err(refusal) => Err(refusal),
        };
        let opened = match opened {
            Ok(opened) => opened,
            Err(refusal) => return self.refuse(&mut exchange, &refusal),
        };
        let head = response(&opened, CallerBody::whole(Full::default()), false);
        if opened.status() == StatusCode::OK {
            exchange.succeeded(opened.key());
        }
        let end_at = exchange.end_at();
        let relay = Relay::new(exchange, opened);
        let events = stream::unfold(relay, |mut relay| async move {
            let item = relay.next().await?;
            Some((item, relay))
        });
        head.map(|_| CallerBody::stream(events).until(end_at))
    }

    fn refuse(&self, exchange: &mut Exchange, refusal: &Refusal) -> Response<CallerBody> {
        exchange.finished(Ended::Refused(refusal));
        refusal.response(&*self.wire).map(CallerBody::whole)
    }
}

fn not_ready() -> Refusal {
    let (code, after) = (ResultCode::NotReady, RETRY_AFTER_NOT_READY);
    Refusal::not_run(NotRun::never_sent(), code, after, "no configuration")
}

fn check_host(head: &request::Parts) -> Result<(), Refusal> {
    if head.headers.get_all(HOST).iter().count() > 1 {
        return Err(Refusal::incorrect(ResultCode::BadRequest, "more than one host"));
    }
    Ok(())
}

fn find_route(held: &ActiveConfig, head: &request::Parts) -> Result<Arc<Route>, Refusal> {
    let named = head.headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = head.uri.host().or(named).unwrap_or_default();
    let host = host.rsplit_once(':').map_or(host, |(host, _port)| host);
    let route = held.config.route(host, head.uri.path()).cloned();
    route.ok_or_else(|| Refusal::incorrect(ResultCode::UnknownPipeline, "no route"))
}

fn find_workspace(
    held: &ActiveConfig,
    route: &Route,
    key: Option<&str>,
) -> Result<Option<Arc<Workspace>>, Refusal> {
    let Some(workspaces) = &held.config.workspaces else {
        return Ok(None);
    };
    let found = key.and_then(|key| workspaces.get(&api_key_hash(key)).cloned());
    if found.is_none() && !route.is_public {
        return Err(Refusal::incorrect(ResultCode::UnknownKeyHolder, "the key is unknown"));
    }
    Ok(found)
}

async fn read_body(mut body: Incoming, bytes_max: usize) -> Result<Bytes, Refusal> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    if body.size_hint().lower() > bytes_max as u64 {
        return Err(too_long(body, bytes_max).await);
    }
    match Limited::new(&mut body, bytes_max).collect().await {
        Ok(whole) => Ok(whole.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(too_long(body, bytes_max).await),
        Err(error) => Err(Refusal::incorrect(ResultCode::BadRequest, error.to_string())),
    }
}

async fn too_long(body: Incoming, bytes_max: usize) -> Refusal {
    discard(body).await;
    Refusal::incorrect(ResultCode::BodyTooLarge, format!("over {bytes_max} bytes"))
}

/// Reads on for a while, since closing a connection with unread bytes resets it and the answer
/// would be lost.
async fn discard(mut body: Incoming) {
    let reading = async { while let Some(Ok(_)) = body.frame().await {} };
    // Whether it ended or not, the answer is the same.
    drop(timeout(DISCARD_TIMEOUT, reading).await);
}

/// Takes out the headers that concern one connection only.
fn strip_connection_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    let fixed = [
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
    for name in named.iter().chain(&fixed) {
        headers.remove(name);
    }
}

fn response(opened: &Opened, body: CallerBody, is_whole: bool) -> Response<CallerBody> {
    let mut response = Response::new(body);
    *response.status_mut() = opened.head.status;
    let mut headers = opened.head.headers.clone();
    strip_connection_headers(&mut headers);
    if is_whole {
        headers.remove(CONTENT_LENGTH);
    }
    *response.headers_mut() = headers;
    response
}

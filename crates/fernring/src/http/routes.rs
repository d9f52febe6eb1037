//! The routes for callers: requests, tickets, the status of a key, and health checks.

use {
    super::{
        body::{AnswerBody, RequestBody, TicketsBody, read_json},
        reply::{JsonReply, Reply},
    },
    crate::node::{Node, OpenResponse, WaiterEvent},
    fernring_core::{
        code::ResultCode,
        ids::{Incarnation, RequestKey, ScopedKey, WaiterId},
        text::is_name,
    },
    fernring_policy::{
        answer::Answer,
        event::{KeyStatus, Submission},
    },
    fernring_protocol::messages::{KeyRequest, KeyStatusMessage, frame::Body},
    futures_util::{StreamExt, stream},
    rocket::{
        Data, State, get, post,
        response::stream::{Event, EventStream},
    },
    serde_json::json,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::sync::mpsc::UnboundedReceiver,
    uuid::Uuid,
};

/// Timeout for the response of a key's owner about the status of the key.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);

/// Removes the waiter from the node when dropped, also if the caller leaves before the final answer.
struct WaiterGuard {
    node: Arc<Node>,
    waiter: WaiterId,
    _open_response: OpenResponse,
}

impl Drop for WaiterGuard {
    fn drop(&mut self) {
        self.node.remove_waiter(self.waiter);
    }
}

/// Runs a request through a pipeline.
#[post("/v1/pipelines/<name>/requests", data = "<data>")]
pub(super) async fn submit(name: &str, data: Data<'_>, node: &State<Arc<Node>>) -> Reply {
    let node = node.inner().clone();
    let open_response = node.open_response();
    if node.is_full() {
        return Reply::Json(JsonReply::refusal(ResultCode::NodeFull));
    }
    let body: RequestBody = match read_json(data, &node.settings().limits).await {
        Ok(body) => body,
        Err(code) => return Reply::Json(JsonReply::refusal(code)),
    };
    if !node.is_configured() {
        return Reply::Json(JsonReply::refusal(ResultCode::NotReady));
    }
    let key = match body.key.as_deref().map(str::parse::<RequestKey>).transpose() {
        Ok(key) => key,
        Err(_) => return Reply::Json(JsonReply::refusal(ResultCode::BadKey)),
    };
    let key_text = body.key.clone();
    let streaming = body.stream;
    let (waiter, events) = node.submit(|waiter| Submission {
        waiter,
        uid: Uuid::now_v7(),
        pipeline: name.to_owned(),
        workspace: body.workspace.into(),
        key,
        non_idempotent: body.non_idempotent,
        window_ms: body.window_ms,
        input: body.input.into(),
        prefix: body.prefix,
        streaming,
        forwarded: false,
    });
    let guard = WaiterGuard { node, waiter, _open_response: open_response };
    build_reply(events, guard, key_text).await
}

/// Waits for the first event of a request. A final answer becomes a JSON reply with its own status; a part starts a
/// stream of events that ends with the final answer.
async fn build_reply(
    mut events: UnboundedReceiver<WaiterEvent>,
    guard: WaiterGuard,
    key: Option<String>,
) -> Reply {
    let Some(first) = events.recv().await else {
        return Reply::Json(JsonReply::refusal(ResultCode::EffectUnknown));
    };
    if let WaiterEvent::Final(answer) = &first {
        let open_response = guard.node.open_response();
        let reply = JsonReply::answer(&AnswerBody::new(answer, key));
        return Reply::Json(reply.with_open_response(open_response));
    }
    let rest = stream::unfold((events, guard), |(mut events, guard)| async move {
        events.recv().await.map(|event| (event, (events, guard)))
    });
    let all = stream::once(async move { first }).chain(rest);
    let parts = all.map(move |event| match event {
        WaiterEvent::Part(text) => Event::json(&json!({ "text": text })).event("part"),
        WaiterEvent::Final(answer) => {
            Event::json(&AnswerBody::new(&answer, key.clone())).event("answer")
        }
    });
    Reply::Stream(EventStream::from(parts.boxed()))
}

/// Mints tickets.
#[post("/v1/tickets", data = "<data>")]
pub(super) async fn mint_tickets(data: Data<'_>, node: &State<Arc<Node>>) -> JsonReply {
    let limits = &node.settings().limits;
    let body: TicketsBody = match read_json(data, limits).await {
        Ok(body) => body,
        Err(code) => return JsonReply::refusal(code),
    };
    if body.count == 0 || body.count > limits.tickets_per_request_max {
        return JsonReply::refusal(ResultCode::BadBody);
    }
    match node.mint_tickets(body.count) {
        Ok(tickets) => {
            let tickets: Vec<_> = tickets.iter().map(ToString::to_string).collect();
            JsonReply::new(200, &json!({ "tickets": tickets }))
        }
        Err(answer) => JsonReply::answer(&AnswerBody::new(&answer, None)),
    }
}

/// Replies with the state of the request with a key: running, ended with its answer, or unknown.
#[get("/v1/requests/<key>?<workspace>")]
pub(super) async fn request_status(
    key: &str,
    workspace: &str,
    node: &State<Arc<Node>>,
) -> JsonReply {
    let Ok(parsed) = key.parse::<RequestKey>() else {
        return JsonReply::refusal(ResultCode::BadKey);
    };
    if !is_name(workspace) {
        return JsonReply::refusal(ResultCode::UnknownWorkspace);
    }
    let scoped = ScopedKey { workspace: workspace.into(), key: parsed };
    match node.key_status(&scoped) {
        KeyStatus::Running { stage } => running_reply(key, u32::from(stage)),
        KeyStatus::Ended(answer) => ended_reply(key, &answer),
        KeyStatus::Unknown => {
            JsonReply::answer(&AnswerBody::from_code(ResultCode::UnknownKey, Some(0)))
        }
        KeyStatus::OwnedElsewhere { incarnation, address } => {
            fetch_owner_status(node, &scoped, incarnation, address).await
        }
    }
}

async fn fetch_owner_status(
    node: &Arc<Node>,
    key: &ScopedKey,
    incarnation: Incarnation,
    address: SocketAddr,
) -> JsonReply {
    let text = key.key.to_string();
    let request = KeyRequest {
        incarnation: incarnation.0.as_bytes().to_vec(),
        workspace: key.workspace.to_string(),
        key: text.clone(),
    };
    let response = node.peer().request(address, Body::KeyRequest(request), STATUS_TIMEOUT).await;
    let Ok(Body::KeyStatus(KeyStatusMessage { code, stage, output })) = response else {
        return JsonReply::answer(&AnswerBody::from_code(ResultCode::OwnerUnreachable, Some(0)));
    };
    match u16::try_from(code).ok().and_then(ResultCode::from_number) {
        Some(code) => {
            let body = AnswerBody { output, key: Some(text), ..AnswerBody::from_code(code, None) };
            JsonReply::new(200, &json!({ "state": "ended", "answer": body }))
        }
        None if code == 0 => running_reply(&text, stage),
        None => JsonReply::answer(&AnswerBody::from_code(ResultCode::OwnerUnreachable, Some(0))),
    }
}

fn running_reply(key: &str, stage: u32) -> JsonReply {
    JsonReply::new(200, &json!({ "state": "running", "key": key, "stage": stage }))
}

fn ended_reply(key: &str, answer: &Answer) -> JsonReply {
    let body = AnswerBody::new(answer, Some(key.to_owned()));
    JsonReply::new(200, &json!({ "state": "ended", "answer": body }))
}

/// Replies that the process is running.
#[get("/healthz")]
pub(super) fn healthz() -> &'static str {
    "ok\n"
}

/// Replies whether the node accepts requests.
#[get("/readyz")]
pub(super) fn readyz(node: &State<Arc<Node>>) -> JsonReply {
    let ready = node.is_ready();
    let status = if ready { 200 } else { 503 };
    JsonReply::new(status, &json!({ "ready": ready, "draining": node.is_draining() }))
}

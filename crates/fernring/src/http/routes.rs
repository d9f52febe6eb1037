//! The routes.

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

/// How long the owner of a key is waited for when its status is asked.
const STATUS_PATIENCE: Duration = Duration::from_secs(1);

/// Tells the node when whoever waits for a request goes away before its final answer.
struct WaiterGuard {
    node: Arc<Node>,
    waiter: WaiterId,
    _open: OpenResponse,
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
    let open = node.open_response();
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
    let guard = WaiterGuard { node, waiter, _open: open };
    reply(events, guard, key_text).await
}

/// Waits for the first event. A final answer becomes one JSON body with its own status; a first
/// part begins a stream of events that ends with the final answer.
async fn reply(
    mut events: UnboundedReceiver<WaiterEvent>,
    guard: WaiterGuard,
    key: Option<String>,
) -> Reply {
    let Some(first) = events.recv().await else {
        return Reply::Json(JsonReply::refusal(ResultCode::EffectUnknown));
    };
    if let WaiterEvent::Final(answer) = &first {
        let open = guard.node.open_response();
        let reply = JsonReply::answer(&AnswerBody::new(answer, key));
        return Reply::Json(reply.with_open_response(open));
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
pub(super) async fn tickets(data: Data<'_>, node: &State<Arc<Node>>) -> JsonReply {
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

/// Says what truly happened to a key.
#[get("/v1/requests/<key>?<workspace>")]
pub(super) async fn key(key: &str, workspace: &str, node: &State<Arc<Node>>) -> JsonReply {
    let Ok(parsed) = key.parse::<RequestKey>() else {
        return JsonReply::refusal(ResultCode::BadKey);
    };
    if !is_name(workspace) {
        return JsonReply::refusal(ResultCode::UnknownWorkspace);
    }
    let scoped = ScopedKey { workspace: workspace.into(), key: parsed };
    match node.key_status(&scoped) {
        KeyStatus::Running { stage } => running(key, u32::from(stage)),
        KeyStatus::Ended(answer) => ended(key, &answer),
        KeyStatus::Unknown => {
            JsonReply::answer(&AnswerBody::from_code(ResultCode::UnknownKey, Some(0)))
        }
        KeyStatus::Elsewhere { incarnation, address } => {
            ask_owner(node, &scoped, incarnation, address).await
        }
    }
}

async fn ask_owner(
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
    let answer = node.peer().request(address, Body::KeyRequest(request), STATUS_PATIENCE).await;
    let Ok(Body::KeyStatus(KeyStatusMessage { code, stage, output })) = answer else {
        return JsonReply::answer(&AnswerBody::from_code(ResultCode::OwnerUnreachable, Some(0)));
    };
    match u16::try_from(code).ok().and_then(ResultCode::from_number) {
        Some(code) => {
            let body = AnswerBody { output, key: Some(text), ..AnswerBody::from_code(code, None) };
            JsonReply::new(200, &json!({ "state": "ended", "answer": body }))
        }
        None if code == 0 => running(&text, stage),
        None => JsonReply::answer(&AnswerBody::from_code(ResultCode::OwnerUnreachable, Some(0))),
    }
}

fn running(key: &str, stage: u32) -> JsonReply {
    JsonReply::new(200, &json!({ "state": "running", "key": key, "stage": stage }))
}

fn ended(key: &str, answer: &Answer) -> JsonReply {
    let body = AnswerBody::new(answer, Some(key.to_owned()));
    JsonReply::new(200, &json!({ "state": "ended", "answer": body }))
}

/// Says that the process runs.
#[get("/healthz")]
pub(super) fn healthz() -> &'static str {
    "ok\n"
}

/// Says whether requests are taken.
#[get("/readyz")]
pub(super) fn readyz(node: &State<Arc<Node>>) -> JsonReply {
    let ready = node.is_ready();
    let status = if ready { 200 } else { 503 };
    JsonReply::new(status, &json!({ "ready": ready, "draining": node.is_draining() }))
}

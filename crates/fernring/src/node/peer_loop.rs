//! Exchanges heartbeats with other nodes and handles their requests.

use {
    super::{
        report_loop,
        state::{Node, WaiterEvent, lock},
    },
    crate::peer::{
        heartbeat_from_message, heartbeat_message, incarnation_to_bytes, key_from_request,
    },
    fernring_core::{
        change::Snapshot,
        ids::{RequestKey, WaiterId},
        text::LogLine,
    },
    fernring_policy::{
        event::{KeyStatus, Submission},
        membership::Heartbeat,
    },
    fernring_protocol::{
        FRAME_TIME_MAX, Frame, codec, decode, encode,
        messages::{
            ConfigRequest, ConfigState, ForwardMessage, KeyRequest, KeyStatusMessage,
            SubmissionAnswer, frame::Body,
        },
        next_frame,
    },
    futures_util::{SinkExt, future::join_all},
    spdlog::{info, warn},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        sync::Semaphore,
        task::JoinSet,
    },
    tokio_util::codec::Framed,
    uuid::Uuid,
};

/// Pause after a failed accept, which means that the process is out of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Code of the response when the request is addressed to another incarnation than this node's.
const WRONG_INCARNATION: u32 = 0;
/// Code of the status of a key that the node knows nothing of.
pub(crate) const STATUS_UNKNOWN: u32 = 1;
/// Code of the status of a key whose request is running.
pub(crate) const STATUS_RUNNING: u32 = 0;

/// Serves requests of other nodes for as long as the node runs.
pub(super) async fn serve(node: Arc<Node>, listener: TcpListener) {
    let slots = Arc::new(Semaphore::new(node.settings.peers.connections_max));
    loop {
        let Ok(slot) = slots.clone().acquire_owned().await else {
            return;
        };
        match listener.accept().await {
            Ok((stream, _)) => {
                let node = node.clone();
                tokio::spawn(async move {
                    serve_connection(node, stream).await;
                    drop(slot);
                });
            }
            Err(error) => {
                warn!("{}", LogLine::event("peer_accept_failed").with("error", error));
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection(node: Arc<Node>, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let mut connection = Framed::new(stream, codec());
    while let Some(Ok(bytes)) = next_frame(&mut connection, FRAME_TIME_MAX).await {
        let Some(request) = decode(&bytes).ok().and_then(|frame| frame.body) else {
            warn!("{}", LogLine::event("peer_malformed").with("bytes", bytes.len()));
            return;
        };
        let Some(response) = handle_request(&node, request).await else {
            return;
        };
        if connection.send(encode(&Frame { body: Some(response) })).await.is_err() {
            return;
        }
    }
}

/// Handles one request and returns its response; `None` closes the connection.
async fn handle_request(node: &Arc<Node>, request: Body) -> Option<Body> {
    match request {
        Body::Heartbeat(message) => {
            let heartbeat = heartbeat_from_message(message)?;
            if heartbeat.failure_domain == node.identity.failure_domain {
                report_loop::handle_digests(node, &heartbeat.reports);
            }
            lock(&node.membership).record_heartbeat(node.now().monotonic, heartbeat);
            Some(Body::Heartbeat(heartbeat_message(&node.heartbeat())))
        }
        Body::ConfigRequest(request) => Some(Body::ConfigState(config_state(node, request))),
        Body::Forward(message) => Some(Body::Answer(handle_forward(node, message).await)),
        Body::KeyRequest(request) => Some(Body::KeyStatus(key_status(node, &request))),
        Body::ConfigState(_) | Body::Answer(_) | Body::KeyStatus(_) => None,
    }
}

fn config_state(node: &Node, request: ConfigRequest) -> ConfigState {
    let snapshot = lock(&node.fold).snapshot();
    match snapshot {
        Some(Snapshot { version, folded_to, catalog }) if version > request.known_version => {
            let catalog_json = serde_json::to_vec(&catalog).unwrap_or_default();
            ConfigState { version, folded_to, catalog_json }
        }
        _ => ConfigState { version: 0, folded_to: 0, catalog_json: Vec::new() },
    }
}

fn is_own_incarnation(node: &Node, incarnation: &[u8]) -> bool {
    incarnation_to_bytes(node.identity.incarnation) == incarnation
}

async fn handle_forward(node: &Arc<Node>, message: ForwardMessage) -> SubmissionAnswer {
    let refusal = SubmissionAnswer { code: WRONG_INCARNATION, output: None, retry_after_ms: None };
    let Ok(key) = message.key.parse::<RequestKey>() else {
        return refusal;
    };
    if !is_own_incarnation(node, &message.incarnation) {
        return refusal;
    }
    let (waiter, mut events) = node.submit(|waiter| forwarded_submission(waiter, key, message));
    while let Some(event) = events.recv().await {
        if let WaiterEvent::Final(answer) = event {
            return SubmissionAnswer {
                code: u32::from(answer.code().number()),
                output: answer.output().map(ToString::to_string),
                retry_after_ms: answer.retry_after_ms(),
            };
        }
    }
    node.remove_waiter(waiter);
    refusal
}

fn forwarded_submission(waiter: WaiterId, key: RequestKey, message: ForwardMessage) -> Submission {
    Submission {
        waiter,
        uid: Uuid::now_v7(),
        pipeline: message.pipeline,
        workspace: message.workspace.into(),
        key: Some(key),
        non_idempotent: message.non_idempotent,
        window_ms: (message.window_ms > 0).then_some(message.window_ms),
        input: message.input.into(),
        prefix: (!message.prefix.is_empty()).then_some(message.prefix),
        streaming: false,
        forwarded: true,
    }
}

fn key_status(node: &Node, request: &KeyRequest) -> KeyStatusMessage {
    let unknown = KeyStatusMessage { code: STATUS_UNKNOWN, stage: 0, output: None };
    let Some(key) =
        key_from_request(request).filter(|_| is_own_incarnation(node, &request.incarnation))
    else {
        return unknown;
    };
    match node.key_status(&key) {
        KeyStatus::Running { stage } => {
            KeyStatusMessage { code: STATUS_RUNNING, stage: stage.into(), output: None }
        }
        KeyStatus::Ended(answer) => KeyStatusMessage {
            code: u32::from(answer.code().number()),
            stage: 0,
            output: answer.output().map(ToString::to_string),
        },
        KeyStatus::OwnedElsewhere { .. } | KeyStatus::Unknown => unknown,
    }
}

/// Exchanges heartbeats with the other nodes for as long as the node runs.
pub(super) async fn exchange_heartbeats(node: Arc<Node>) {
    let interval = Duration::from_millis(node.settings.peers.heartbeat_ms);
    // The configuration is fetched in a task of its own, so that heartbeats don't wait for a large one; at most one
    // fetch runs at a time.
    let mut fetches = JoinSet::new();
    loop {
        let contacts = lock(&node.membership).heartbeat_targets();
        join_all(contacts.into_iter().map(|address| send_heartbeat(&node, address, interval)))
            .await;
        update_peers(&node);
        let known_version = {
            let fold = lock(&node.fold);
            // After a gap, a peer's state of the same version helps too: it includes the changes that were missed.
            fold.version().saturating_sub(u64::from(fold.has_gap()))
        };
        let peer_ahead = lock(&node.membership).newer_config_peer(known_version, rand::random());
        while fetches.try_join_next().is_some() {}
        if let Some(address) = peer_ahead
            && fetches.is_empty()
        {
            let node = node.clone();
            fetches.spawn(async move { fetch_config(&node, address, known_version).await });
        }
        tokio::time::sleep(interval).await;
    }
}

async fn send_heartbeat(node: &Arc<Node>, address: SocketAddr, response_timeout: Duration) {
    // Only the request carries reports: every node sends heartbeats to every other node of its failure domain, so
    // reports in the response would arrive a second time.
    let reports = lock(&node.own_reports).values().copied().collect();
    let heartbeat = Heartbeat { reports, ..node.heartbeat() };
    let request = Body::Heartbeat(heartbeat_message(&heartbeat));
    let Ok(Body::Heartbeat(message)) = node.peer.request(address, request, response_timeout).await
    else {
        return;
    };
    if let Some(heartbeat) = heartbeat_from_message(message) {
        lock(&node.membership).record_heartbeat(node.now().monotonic, heartbeat);
    }
}

fn update_peers(node: &Arc<Node>) {
    let now = node.now().monotonic;
    let (live_nodes, demand) = {
        let membership = lock(&node.membership);
        (membership.live_nodes(now), membership.peer_demand(now))
    };
    lock(&node.dispatcher).set_peers(live_nodes, &demand);
}

/// Fetches the configuration of a peer with a newer version and applies it.
async fn fetch_config(node: &Arc<Node>, address: SocketAddr, known_version: u64) {
    let idle_timeout = Duration::from_millis(node.settings.platform.timeout_ms);
    let request = Body::ConfigRequest(ConfigRequest { known_version });
    let Ok(Body::ConfigState(state)) =
        node.peer.request_large(address, request, idle_timeout).await
    else {
        return;
    };
    let Ok(catalog) = serde_json::from_slice(&state.catalog_json) else {
        return;
    };
    let ConfigState { version, folded_to, .. } = state;
    let changed = lock(&node.fold).adopt(Snapshot { version, folded_to, catalog });
    if changed {
        let line = LogLine::event("config_from_peer").with("peer", address);
        info!("{}", line.with("version", version));
    }
    node.apply_config(changed);
}

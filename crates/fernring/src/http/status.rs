//! The route `/v1/status`: the status of the node, for operators.

use {
    super::reply::JsonReply,
    crate::node::{Node, NodeStatus, UpstreamStatus},
    fernring_policy::{
        cost::{Cost, CostKey},
        event::Counters,
    },
    rocket::{State, get},
    serde::Serialize,
    std::{net::SocketAddr, sync::Arc},
};

/// Body of the reply. The field names are stable: `fernctl status` and scripts read them.
#[derive(Debug, Serialize)]
struct StatusBody {
    incarnation: String,
    failure_domain: Arc<str>,
    peer_address: SocketAddr,
    ready: bool,
    draining: bool,
    config_version: u64,
    config_age_ms: u64,
    config_gap: bool,
    highest_peer_version: u64,
    live_nodes: u32,
    claims_known: usize,
    order_holder: Option<HolderBody>,
    models: Vec<ModelsBody>,
    counters: CountersBody,
    costs: Vec<CostBody>,
}

#[derive(Debug, Serialize)]
struct HolderBody {
    incarnation: String,
    fence: u64,
}

#[derive(Debug, Serialize)]
struct ModelsBody {
    upstream: String,
    models: Vec<String>,
}

#[derive(Debug, Serialize)]
struct CountersBody {
    accepted: u64,
    refused: u64,
    answered: u64,
    not_run: u64,
    failed: u64,
    unknown: u64,
    in_flight: u64,
    repeats: u64,
    forwarded: u64,
    parts_misdirected: u64,
    parts_duplicate: u64,
    parts_late: u64,
    first_attempts: u64,
    retries: u64,
    resends: u64,
    hedges: u64,
    effects: u64,
    appends: u64,
}

#[derive(Debug, Serialize)]
struct CostBody {
    pipeline: Arc<str>,
    workspace: Arc<str>,
    stage: Arc<str>,
    attempts: u64,
    useful_ms: f64,
    failed_ms: f64,
    hedged_ms: f64,
    abandoned_ms: f64,
}

/// Replies with the status of the node.
#[get("/v1/status")]
pub(super) fn status(node: &State<Arc<Node>>) -> JsonReply {
    let body = StatusBody::new(node.status(), node.upstreams());
    JsonReply::new(200, &body)
}

impl StatusBody {
    fn new(status: NodeStatus, upstreams: Vec<UpstreamStatus>) -> Self {
        let holder = status.order_holder.map(|holder| HolderBody {
            incarnation: holder.incarnation.to_string(),
            fence: holder.fence,
        });
        let with_models = upstreams.into_iter().filter(|upstream| !upstream.models.is_empty());
        let models = with_models
            .map(|upstream| ModelsBody { upstream: upstream.name, models: upstream.models });
        Self {
            incarnation: status.identity.incarnation.to_string(),
            failure_domain: status.identity.failure_domain,
            peer_address: status.identity.address,
            ready: status.ready,
            draining: status.draining,
            config_version: status.config_version,
            config_age_ms: status.config_age_ms,
            config_gap: status.config_gap,
            highest_peer_version: status.highest_peer_version,
            live_nodes: status.live_nodes,
            claims_known: status.claims_known,
            order_holder: holder,
            models: models.collect(),
            counters: status.counters.into(),
            costs: status.costs.into_iter().map(|(key, cost)| CostBody::new(key, cost)).collect(),
        }
    }
}

impl From<Counters> for CountersBody {
    fn from(counters: Counters) -> Self {
        Self {
            accepted: counters.accepted,
            refused: counters.refused,
            answered: counters.answered,
            not_run: counters.not_run,
            failed: counters.failed,
            unknown: counters.unknown,
            in_flight: counters.in_flight,
            repeats: counters.repeats,
            forwarded: counters.forwarded,
            parts_misdirected: counters.parts_misdirected,
            parts_duplicate: counters.parts_duplicate,
            parts_late: counters.parts_late,
            first_attempts: counters.first_attempts,
            retries: counters.retries,
            resends: counters.resends,
            hedges: counters.hedges,
            effects: counters.effects,
            appends: counters.appends,
        }
    }
}

impl CostBody {
    fn new(key: CostKey, cost: Cost) -> Self {
        Self {
            pipeline: key.pipeline,
            workspace: key.workspace,
            stage: key.stage,
            attempts: cost.attempts,
            useful_ms: cost.useful_ms,
            failed_ms: cost.failed_ms,
            hedged_ms: cost.hedged_ms,
            abandoned_ms: cost.abandoned_ms,
        }
    }
}

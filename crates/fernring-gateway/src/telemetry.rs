//! The gateway's metrics: names, labels, and the limit on label values.
//!
//! Values are recorded through the `metrics` facade; the program installs a recorder and renders
//! them on the node's ready address.

use {
    crate::{admission_shares::SharesByRank, request_size::SizeBand},
    metrics::{counter, gauge, histogram},
    std::{
        cell::RefCell,
        collections::{BTreeMap, HashSet},
        sync::Arc,
        time::Duration,
    },
};

/// Largest number of distinct values of labels that come from the configuration. Further values
/// share one label, so that a configuration with thousands of routes doesn't exhaust memory.
const LABEL_VALUES_MAX: usize = 64;
/// Label value that is shared by the names above the limit.
const OTHER_LABEL: &str = "other";

thread_local! {
    static LABELS: RefCell<HashSet<Arc<str>>> = RefCell::default();
}

/// Returns a name as a label value, or [`OTHER_LABEL`] if there are too many.
fn bounded_label(name: &Arc<str>) -> Arc<str> {
    LABELS.with_borrow_mut(|labels| {
        if labels.contains(name) || (labels.len() < LABEL_VALUES_MAX && labels.insert(name.clone()))
        {
            name.clone()
        } else {
            OTHER_LABEL.into()
        }
    })
}

/// Records the end of a request, with the code of its outcome (1000 for an answer) and its
/// duration.
pub(crate) fn record_request(pipeline: &Arc<str>, outcome: &'static str, duration: Duration) {
    let pipeline = bounded_label(pipeline);
    let labels = [("pipeline", pipeline.to_string()), ("outcome", outcome.to_owned())];
    counter!("fernring_gateway_requests_total", &labels).increment(1);
    histogram!("fernring_gateway_request_seconds", "pipeline" => pipeline.to_string())
        .record(duration.as_secs_f64());
}

/// Counts a request with stages or a prompt by its size: `outcome` says whether it was offered,
/// admitted or answered.
pub(crate) fn record_size(pipeline: &Arc<str>, size: SizeBand, outcome: &'static str) {
    let labels = [
        ("pipeline", bounded_label(pipeline).to_string()),
        ("size", size.name().to_owned()),
        ("outcome", outcome.to_owned()),
    ];
    counter!("fernring_gateway_requests_by_size_total", &labels).increment(1);
}

/// Counts a request that was rejected because it was invalid or matched no pipeline.
pub(crate) fn record_request_refused(code: u16, status: u16) {
    let labels = [("code", code.to_string()), ("status", status.to_string())];
    counter!("fernring_gateway_refused_total", &labels).increment(1);
}

/// Counts a send to an upstream, by its outcome.
pub(crate) fn record_send(service: &Arc<str>, outcome: &'static str) {
    let labels = [("service", bounded_label(service).to_string()), ("end", outcome.to_owned())];
    counter!("fernring_gateway_sends_total", &labels).increment(1);
}

/// Counts a choice of a model engine, by how it was made.
pub(crate) fn record_engine_choice(service: &Arc<str>, reason: &'static str) {
    let labels = [("service", bounded_label(service).to_string()), ("reason", reason.to_owned())];
    counter!("fernring_gateway_engine_choices_total", &labels).increment(1);
}

/// Records the end of a stage, with its outcome and duration.
pub(crate) fn record_stage(service: &Arc<str>, outcome: &'static str, duration: Duration) {
    let service = bounded_label(service).to_string();
    let labels = [("service", service.clone()), ("outcome", outcome.to_owned())];
    counter!("fernring_gateway_stages_total", &labels).increment(1);
    histogram!("fernring_gateway_stage_seconds", "service" => service)
        .record(duration.as_secs_f64());
}

/// Counts a request that needs a stage service: `outcome` says whether it was offered, admitted or
/// refused.
pub(crate) fn record_demand(service: &Arc<str>, rank: usize, outcome: &'static str) {
    let labels = [
        ("service", bounded_label(service).to_string()),
        ("rank", rank.to_string()),
        ("outcome", outcome.to_owned()),
    ];
    counter!("fernring_gateway_admissions_total", &labels).increment(1);
}

/// Sets the shares in force of a stage service, by rank.
pub(crate) fn set_shares(service: &Arc<str>, shares: &SharesByRank) {
    let service = bounded_label(service).to_string();
    for (rank, share) in shares.iter().enumerate() {
        let labels = [("service", service.clone()), ("rank", rank.to_string())];
        gauge!("fernring_gateway_admission_share", &labels).set(*share);
    }
}

/// Records the age of a share that limited a request.
pub(crate) fn record_share_age(service: &Arc<str>, age: Duration) {
    let service = bounded_label(service).to_string();
    gauge!("fernring_gateway_admission_share_age_seconds", "service" => service)
        .set(age.as_secs_f64());
}

/// Sets the number of workspaces with a share of their own at a stage service.
pub(crate) fn set_limited_workspaces(service: &Arc<str>, workspaces: usize) {
    let service = bounded_label(service).to_string();
    gauge!("fernring_gateway_limited_workspaces", "service" => service).set(workspaces as f64);
}

/// Counts a refused caller that was told when to retry; `is_promised` says whether capacity is left
/// at that time.
pub(crate) fn record_told_retry(service: &Arc<str>, rank: usize, is_promised: bool) {
    let labels = [
        ("service", bounded_label(service).to_string()),
        ("rank", rank.to_string()),
        ("is_promised", is_promised.to_string()),
    ];
    counter!("fernring_gateway_told_retries_total", &labels).increment(1);
}

/// Records a batch call: its number of pieces, and the number of pieces that still wait.
pub(crate) fn record_batch(service: &Arc<str>, pieces: usize, waiting: usize) {
    let service = bounded_label(service).to_string();
    histogram!("fernring_gateway_batch_pieces", "service" => service.clone()).record(pieces as f64);
    gauge!("fernring_gateway_waiting_pieces", "service" => service).set(waiting as f64);
}

/// Counts a call to the store.
pub(crate) fn record_store_call(topic: &'static str, outcome: &'static str) {
    counter!("fernring_gateway_store_calls_total", "topic" => topic, "outcome" => outcome)
        .increment(1);
}

/// Counts a malformed record of the store, once for each time that it was written.
pub(crate) fn record_rejected_record(topic: &'static str) {
    counter!("fernring_gateway_records_refused_total", "topic" => topic).increment(1);
}

/// Counts a crash of an upstream with requests in flight.
pub(crate) fn record_upstream_crash() {
    counter!("fernring_gateway_upstreams_ended_total").increment(1);
}

/// Counts a send that the retry budget denied.
pub(crate) fn record_retry_denied(service: &Arc<str>) {
    let service = bounded_label(service).to_string();
    counter!("fernring_gateway_budget_refused_total", "service" => service).increment(1);
}

/// Counts a permit request for an upstream that announces a limit.
pub(crate) fn record_permit(is_granted: bool) {
    let outcome = if is_granted { "granted" } else { "denied" };
    counter!("fernring_gateway_limited_turns_total", "outcome" => outcome).increment(1);
}

/// Counts a response by which an upstream requests a pause.
pub(crate) fn record_backoff() {
    counter!("fernring_gateway_backoffs_total").increment(1);
}

/// Counts a header of a response that neither the platform's formats nor HTTP define.
pub(crate) fn record_unknown_header(name: &str) {
    counter!("fernring_gateway_unknown_headers_total", "name" => name.to_owned()).increment(1);
}

/// Values of the gauges, read from a node when its metrics are rendered.
#[derive(Debug, Clone, Copy)]
pub(crate) struct GaugeValues {
    /// Version of the configuration in force.
    pub(crate) config_version: u64,
    /// Time since the configuration was last read or confirmed; `None` if it never was.
    pub(crate) config_age: Option<Duration>,
    /// Number of live nodes, including this one.
    pub(crate) nodes: usize,
    /// Whether the node is a delegate of its failure domain.
    pub(crate) is_delegate: bool,
    /// Number of upstreams that accept work.
    pub(crate) upstreams: usize,
    /// Number of requests in flight.
    pub(crate) in_flight: isize,
    pub(crate) held_body_bytes: usize,
    /// Number of quarantined fingerprints, whose requests are rejected because upstreams crashed
    /// under them.
    pub(crate) quarantined: usize,
    /// Number of open connections from callers.
    pub(crate) caller_connections: usize,
    /// Number of open connections to upstreams.
    pub(crate) upstream_connections: usize,
    /// Number of upstreams that are cold according to their records.
    pub(crate) cold_upstreams: usize,
    /// Number of upstreams that announce a limit.
    pub(crate) limited_upstreams: usize,
    /// Number of upstreams that announced in a response that they are leaving.
    pub(crate) leaving_upstreams: usize,
    /// Number of upstreams that want no requests from this node at present.
    pub(crate) backoff_upstreams: usize,
    /// Number of evacuated failure domains.
    pub(crate) evacuated_domains: usize,
    /// Whether the last call to the store succeeded.
    pub(crate) store_answers: bool,
}

/// Sets the number of reachable nodes by failure domain.
pub(crate) fn set_reachable_nodes(by_domain: &BTreeMap<Arc<str>, usize>) {
    for (domain, count) in by_domain {
        let domain = bounded_label(domain).to_string();
        gauge!("fernring_gateway_heard_nodes", "failure_domain" => domain).set(*count as f64);
    }
}

/// Sets the number of tunnels that this node has opened, and that it carries for peers.
pub(crate) fn set_tunnels(opened: usize, carried: usize) {
    gauge!("fernring_gateway_tunnels", "side" => "client").set(opened as f64);
    gauge!("fernring_gateway_tunnels", "side" => "relay").set(carried as f64);
}

/// Sets the number of upstreams of a service that this node reached and didn't reach recently.
pub(crate) fn set_service_reachability(service: &Arc<str>, reached: usize, unreached: usize) {
    for (is_reached, count) in [("true", reached), ("false", unreached)] {
        let labels = [
            ("service", bounded_label(service).to_string()),
            ("is_reached", is_reached.to_owned()),
        ];
        gauge!("fernring_gateway_reached_upstreams", &labels).set(count as f64);
    }
}

/// Counts a response of an upstream by the way that it took.
pub(crate) fn record_response_path(service: &Arc<str>, path: &'static str) {
    let labels = [("service", bounded_label(service).to_string()), ("path", path.to_owned())];
    counter!("fernring_gateway_responses_total", &labels).increment(1);
}

/// Counts the end of a response whose head was accepted, by its framing and by how it ended.
pub(crate) fn record_response_end(service: &Arc<str>, framing: &'static str, end: &'static str) {
    let labels = [
        ("service", bounded_label(service).to_string()),
        ("framing", framing.to_owned()),
        ("end", end.to_owned()),
    ];
    counter!("fernring_gateway_response_ends_total", &labels).increment(1);
}

/// Counts bytes of a response that were read and discarded, since they were no progress.
pub(crate) fn record_discarded_bytes(part: &'static str, bytes: u64) {
    counter!("fernring_gateway_discarded_response_bytes_total", "part" => part).increment(bytes);
}

/// Counts a stream that goes on at another upstream within one answer, by whether that one has the
/// version of the upstream before.
pub(crate) fn record_resumption(service: &Arc<str>, is_same_version: bool) {
    let labels = [
        ("service", bounded_label(service).to_string()),
        ("version", if is_same_version { "same" } else { "other" }.to_owned()),
    ];
    counter!("fernring_gateway_resumptions_total", &labels).increment(1);
}

/// Counts a stream that its caller resumes, by how its version was found.
pub(crate) fn record_stream_origin(service: &Arc<str>, source: &'static str) {
    let labels = [("service", bounded_label(service).to_string()), ("source", source.to_owned())];
    counter!("fernring_gateway_stream_origins_total", &labels).increment(1);
}

/// Counts a rejection by a brittle upstream.
pub(crate) fn record_brittle_rejection() {
    counter!("fernring_gateway_brittle_rejections_total").increment(1);
}

/// Counts a tunnel: `side` says whether this node opened it or carries it for a peer.
pub(crate) fn record_tunnel(side: &'static str, outcome: &'static str) {
    counter!("fernring_gateway_tunnels_total", "side" => side, "outcome" => outcome).increment(1);
}

/// Sets the other gauges.
pub(crate) fn set_gauges(values: GaugeValues) {
    gauge!("fernring_gateway_config_version").set(values.config_version as f64);
    if let Some(age) = values.config_age {
        gauge!("fernring_gateway_config_age_seconds").set(age.as_secs_f64());
    }
    gauge!("fernring_gateway_nodes").set(values.nodes as f64);
    gauge!("fernring_gateway_delegate").set(f64::from(u8::from(values.is_delegate)));
    gauge!("fernring_gateway_upstreams").set(values.upstreams as f64);
    gauge!("fernring_gateway_requests_in_flight").set(values.in_flight as f64);
    gauge!("fernring_gateway_held_body_bytes").set(values.held_body_bytes as f64);
    gauge!("fernring_gateway_turned_away").set(values.quarantined as f64);
    gauge!("fernring_gateway_connections", "side" => "callers")
        .set(values.caller_connections as f64);
    gauge!("fernring_gateway_connections", "side" => "upstreams")
        .set(values.upstream_connections as f64);
    gauge!("fernring_gateway_cold_upstreams").set(values.cold_upstreams as f64);
    gauge!("fernring_gateway_limited_upstreams").set(values.limited_upstreams as f64);
    gauge!("fernring_gateway_leaving_upstreams").set(values.leaving_upstreams as f64);
    gauge!("fernring_gateway_backoff_upstreams").set(values.backoff_upstreams as f64);
    gauge!("fernring_gateway_evacuated_domains").set(values.evacuated_domains as f64);
    gauge!("fernring_gateway_store_answers").set(f64::from(u8::from(values.store_answers)));
}

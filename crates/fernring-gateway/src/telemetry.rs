//! The gateway's metrics, in one place: names, labels, and how they are bounded.
//!
//! They are recorded through the `metrics` facade; the program installs a recorder and renders
//! them on the node's ready address.

use {
    metrics::{counter, gauge, histogram},
    std::{
        cell::RefCell,
        collections::{BTreeMap, HashSet},
        sync::Arc,
        time::Duration,
    },
};

/// Most values of a label that operators' configuration names. Further ones are counted
/// together, so that a configuration with thousands of routes doesn't fill the memory.
const LABEL_VALUES_MAX: usize = 64;
/// The value that further ones are counted under.
const OTHER_LABEL: &str = "other";

thread_local! {
    static LABELS: RefCell<HashSet<Arc<str>>> = RefCell::default();
}

/// Returns a name as a label's value, or [`OTHER`] if there are too many.
fn bounded_label(name: &Arc<str>) -> Arc<str> {
    LABELS.with_borrow_mut(|labels| {
        if labels.contains(name) || (labels.len() < LABEL_VALUES_MAX && labels.insert(name.clone())) {
            name.clone()
        } else {
            OTHER_LABEL.into()
        }
    })
}

/// Counts a request's end, by the outcome's code (1000 for an answer), and its time.
pub(crate) fn record_request(pipeline: &Arc<str>, outcome: &'static str, took: Duration) {
    let pipeline = bounded_label(pipeline);
    let labels = [("pipeline", pipeline.to_string()), ("outcome", outcome.to_owned())];
    counter!("fernring_gateway_requests_total", &labels).increment(1);
    histogram!("fernring_gateway_request_seconds", "pipeline" => pipeline.to_string())
        .record(took.as_secs_f64());
}

/// Counts a request that was refused before it had a pipeline, or by its own fault.
pub(crate) fn record_request_refused(code: u16) {
    counter!("fernring_gateway_refused_total", "code" => code.to_string()).increment(1);
}

/// Counts a send to an upstream, by how it ended.
pub(crate) fn record_send(service: &Arc<str>, end: &'static str) {
    let labels = [("service", bounded_label(service).to_string()), ("end", end.to_owned())];
    counter!("fernring_gateway_sends_total", &labels).increment(1);
}

/// Counts a stage's end, and its time.
pub(crate) fn record_stage(service: &Arc<str>, outcome: &'static str, took: Duration) {
    let service = bounded_label(service).to_string();
    let labels = [("service", service.clone()), ("outcome", outcome.to_owned())];
    counter!("fernring_gateway_stages_total", &labels).increment(1);
    histogram!("fernring_gateway_stage_seconds", "service" => service).record(took.as_secs_f64());
}

/// Counts a call on pieces: how many it held, and how many wait for the next.
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

/// Counts a record of the store that can't be read, once for each time that it was written.
pub(crate) fn record_rejected_record(topic: &'static str) {
    counter!("fernring_gateway_records_refused_total", "topic" => topic).increment(1);
}

/// Counts an upstream that ended with requests in hand.
pub(crate) fn record_upstream_crash() {
    counter!("fernring_gateway_upstreams_ended_total").increment(1);
}

/// Counts a send that the retry budget did not allow.
pub(crate) fn record_retry_denied(service: &Arc<str>) {
    let service = bounded_label(service).to_string();
    counter!("fernring_gateway_budget_refused_total", "service" => service).increment(1);
}

/// Counts a question whether an upstream that names a limit may be sent to.
pub(crate) fn record_permit(is_granted: bool) {
    let outcome = if is_granted { "granted" } else { "denied" };
    counter!("fernring_gateway_limited_turns_total", "outcome" => outcome).increment(1);
}

/// What is read off a node when its metrics are rendered.
#[derive(Debug, Clone, Copy)]
pub(crate) struct GaugeValues {
    /// Version of the configuration in force.
    pub(crate) config_version: u64,
    /// Time since the configuration was last read or confirmed, if it ever was.
    pub(crate) config_age: Option<Duration>,
    /// Live nodes, this one included.
    pub(crate) nodes: usize,
    /// Whether the node is a delegate of its failure domain.
    pub(crate) is_delegate: bool,
    /// Upstreams that take work.
    pub(crate) upstreams: usize,
    /// Requests in flight.
    pub(crate) in_flight: isize,
    /// Contents that are turned away, since upstreams ended under them.
    pub(crate) quarantined: usize,
    /// Connections of callers.
    pub(crate) caller_connections: usize,
    /// Connections to upstreams.
    pub(crate) upstream_connections: usize,
    /// Upstreams that say that they are cold.
    pub(crate) cold_upstreams: usize,
    /// Upstreams that name a limit.
    pub(crate) limited_upstreams: usize,
    /// Failure domains that are evacuated.
    pub(crate) evacuated_domains: usize,
    /// Whether the store answered the last call.
    pub(crate) store_answers: bool,
}

/// Sets the number of live peers that are heard, by failure domain.
pub(crate) fn set_reachable_nodes(by_domain: &BTreeMap<Arc<str>, usize>) {
    for (domain, count) in by_domain {
        let domain = bounded_label(domain).to_string();
        gauge!("fernring_gateway_heard_nodes", "failure_domain" => domain).set(*count as f64);
    }
}

/// Sets the gauges.
pub(crate) fn set_gauges(readings: GaugeValues) {
    gauge!("fernring_gateway_config_version").set(readings.config_version as f64);
    if let Some(age) = readings.config_age {
        gauge!("fernring_gateway_config_age_seconds").set(age.as_secs_f64());
    }
    gauge!("fernring_gateway_nodes").set(readings.nodes as f64);
    gauge!("fernring_gateway_delegate").set(f64::from(u8::from(readings.is_delegate)));
    gauge!("fernring_gateway_upstreams").set(readings.upstreams as f64);
    gauge!("fernring_gateway_requests_in_flight").set(readings.in_flight as f64);
    gauge!("fernring_gateway_turned_away").set(readings.quarantined as f64);
    gauge!("fernring_gateway_connections", "side" => "callers")
        .set(readings.caller_connections as f64);
    gauge!("fernring_gateway_connections", "side" => "upstreams")
        .set(readings.upstream_connections as f64);
    gauge!("fernring_gateway_cold_upstreams").set(readings.cold_upstreams as f64);
    gauge!("fernring_gateway_limited_upstreams").set(readings.limited_upstreams as f64);
    gauge!("fernring_gateway_evacuated_domains").set(readings.evacuated_domains as f64);
    gauge!("fernring_gateway_store_answers").set(f64::from(u8::from(readings.store_answers)));
}

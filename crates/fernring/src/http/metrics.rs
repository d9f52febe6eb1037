//! The route `/metrics`: metrics in the Prometheus text format.

use {
    crate::node::Node,
    ::metrics::{counter, gauge},
    anyhow::Context,
    metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle},
    rocket::{State, get},
    std::sync::Arc,
};

/// The process's metrics recorder, from which the metrics are rendered.
pub(super) struct Recorder(PrometheusHandle);

impl Recorder {
    /// Installs the metrics recorder of the process.
    ///
    /// # Errors
    /// If a recorder is already installed.
    pub(super) fn install() -> anyhow::Result<Self> {
        let handle = PrometheusBuilder::new().install_recorder();
        Ok(Self(handle.context("could not set up metrics")?))
    }
}

/// Renders the metrics.
#[get("/metrics")]
pub(super) fn render(node: &State<Arc<Node>>, recorder: &State<Recorder>) -> String {
    update_metrics(node);
    recorder.0.render()
}

/// Sets the metrics from the node's status; the counts themselves are kept by the dispatcher.
fn update_metrics(node: &Node) {
    let status = node.status();
    let counters = status.counters;
    counter!("fernring_requests_accepted_total").absolute(counters.accepted);
    counter!("fernring_requests_refused_total").absolute(counters.refused);
    let ended = [
        ("answered", counters.answered),
        ("not_run", counters.not_run),
        ("failed", counters.failed),
        ("unknown", counters.unknown),
    ];
    for (class, count) in ended {
        counter!("fernring_requests_ended_total", "class" => class).absolute(count);
    }
    let attempts = [
        ("first", counters.first_attempts),
        ("retry", counters.retries),
        ("resend", counters.resends),
        ("hedge", counters.hedges),
    ];
    for (kind, count) in attempts {
        counter!("fernring_attempts_total", "kind" => kind).absolute(count);
    }
    let dropped = [
        ("misdirected", counters.parts_misdirected),
        ("duplicate", counters.parts_duplicate),
        ("late", counters.parts_late),
    ];
    for (reason, count) in dropped {
        counter!("fernring_parts_dropped_total", "why" => reason).absolute(count);
    }
    counter!("fernring_repeats_total").absolute(counters.repeats);
    counter!("fernring_forwarded_total").absolute(counters.forwarded);
    counter!("fernring_effects_sent_total").absolute(counters.effects);
    counter!("fernring_claim_appends_total").absolute(counters.appends);
    gauge!("fernring_requests_in_flight").set(counters.in_flight as f64);
    gauge!("fernring_claims_known").set(status.claims_known as f64);
    gauge!("fernring_config_version").set(status.config_version as f64);
    gauge!("fernring_config_age_seconds").set(status.config_age_ms as f64 / 1_000.0);
    gauge!("fernring_live_nodes").set(f64::from(status.live_nodes));
    for (key, cost) in &status.costs {
        let spent = [
            ("useful", cost.useful_ms),
            ("failed", cost.failed_ms),
            ("hedged", cost.hedged_ms),
            ("abandoned", cost.abandoned_ms),
        ];
        for (outcome, ms) in spent {
            let labels = [
                ("pipeline", key.pipeline.to_string()),
                ("workspace", key.workspace.to_string()),
                ("stage", key.stage.to_string()),
                ("spent", outcome.to_owned()),
            ];
            counter!("fernring_stage_busy_ms_total", &labels).absolute(ms as u64);
        }
    }
}

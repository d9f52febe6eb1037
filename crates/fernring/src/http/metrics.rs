//! `/metrics`, in the Prometheus text format.

use {
    crate::node::Node,
    ::metrics::{counter, gauge},
    anyhow::Context,
    metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle},
    rocket::{State, get},
    std::sync::Arc,
};

/// The recorder that metrics are rendered from.
pub(super) struct Recorder(PrometheusHandle);

impl Recorder {
    /// Makes the recorder of the process.
    ///
    /// # Errors
    /// If there is one already.
    pub(super) fn install() -> anyhow::Result<Self> {
        let handle = PrometheusBuilder::new().install_recorder();
        Ok(Self(handle.context("could not set up metrics")?))
    }
}

/// Renders the metrics.
#[get("/metrics")]
pub(super) fn render(node: &State<Arc<Node>>, recorder: &State<Recorder>) -> String {
    update(node);
    recorder.0.render()
}

/// Brings the metrics up to date; the dispatcher keeps the numbers themselves.
fn update(node: &Node) {
    let status = node.status();
    let c = status.counters;
    counter!("fernring_requests_accepted_total").absolute(c.accepted);
    counter!("fernring_requests_refused_total").absolute(c.refused);
    let ended = [
        ("answered", c.answered),
        ("not_run", c.not_run),
        ("failed", c.failed),
        ("unknown", c.unknown),
    ];
    for (class, count) in ended {
        counter!("fernring_requests_ended_total", "class" => class).absolute(count);
    }
    let attempts = [
        ("first", c.first_attempts),
        ("retry", c.retries),
        ("resend", c.resends),
        ("hedge", c.hedges),
    ];
    for (kind, count) in attempts {
        counter!("fernring_attempts_total", "kind" => kind).absolute(count);
    }
    let dropped = [
        ("misdirected", c.parts_misdirected),
        ("duplicate", c.parts_duplicate),
        ("late", c.parts_late),
    ];
    for (why, count) in dropped {
        counter!("fernring_parts_dropped_total", "why" => why).absolute(count);
    }
    counter!("fernring_repeats_total").absolute(c.repeats);
    counter!("fernring_forwarded_total").absolute(c.forwarded);
    counter!("fernring_effects_sent_total").absolute(c.effects);
    counter!("fernring_claim_appends_total").absolute(c.appends);
    gauge!("fernring_requests_in_flight").set(c.in_flight as f64);
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
        for (what, ms) in spent {
            let labels = [
                ("pipeline", key.pipeline.to_string()),
                ("workspace", key.workspace.to_string()),
                ("stage", key.stage.to_string()),
                ("spent", what.to_owned()),
            ];
            counter!("fernring_stage_busy_ms_total", &labels).absolute(ms as u64);
        }
    }
}

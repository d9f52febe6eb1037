//! Planning of events: makes a plan from an operator's intent.
//!
//! A plan by itself changes nothing. It names the configuration version that it is based on.
//! Confirming it appends a change with that base, which takes effect only if no other change was
//! accepted in between.

use {
    fernring_core::{
        catalog::{Catalog, Event, Pipeline, Placement, Stage, StageShare, UpstreamKind},
        change::{Change, Operation, Version},
    },
    serde::{Deserialize, Serialize},
    std::sync::Arc,
    thiserror::Error,
    uuid::Uuid,
    xxhash_rust::xxh3::xxh3_64,
};

/// The model is loaded on engines for this multiple of the predicted need, so that one engine of
/// five may fail.
const ENGINE_HEADROOM: f64 = 1.25;
/// Time between the last load and the start of the event, in milliseconds.
const LOAD_LEAD_TIME_MS: u64 = 60_000;
/// Utilisation above which the plan names a stage as a bottleneck.
const BOTTLENECK_UTILISATION: f64 = 0.8;

/// An operator's intent: an event to serve.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Intent {
    /// Name of the event.
    pub name: String,
    /// Name of the pipeline that serves the event.
    pub pipeline: String,
    /// Start of the event, in milliseconds since the Unix epoch.
    pub start_unix_ms: u64,
    /// Duration over which the requests arrive, in milliseconds.
    pub duration_ms: u64,
    /// Number of requests expected over the duration.
    pub crowd: u64,
    /// Window for the answer to each request, in milliseconds.
    pub deadline_ms: u64,
    /// Model to load on the engines, if the pipeline has an engine stage.
    #[serde(default)]
    pub model: Option<String>,
    /// Number of model loads that the weight store serves in a minute.
    #[serde(default = "default_loads_per_minute")]
    pub loads_per_minute: u64,
}

fn default_loads_per_minute() -> u64 {
    10
}

/// Predicted demand of a stage.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StagePlan {
    /// Name of the stage.
    pub stage: String,
    /// Pool that runs the stage.
    pub pool: String,
    /// Concurrent attempts that the event needs.
    pub needed: f64,
    /// Concurrent attempts that the pool can take.
    pub capacity: u64,
    /// Ratio of needed to available concurrency.
    pub utilisation: f64,
    /// Predicted mean wait for a free upstream, in milliseconds.
    pub wait_ms: f64,
    /// Predicted cost over the event, in thousandths of the operator's unit.
    pub cost_milli: u64,
}

/// The resources that serving an intent needs, and the predicted result.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Configuration version that the plan is based on.
    pub base: Version,
    /// Identity of the change that confirms the plan.
    pub id: Uuid,
    /// Name of the event.
    pub name: String,
    /// The event as it will be declared in the catalog.
    pub event: Event,
    /// Predicted demand by stage.
    pub stages: Vec<StagePlan>,
    /// Predicted share of requests answered within the window, 0 to 1.
    pub predicted_attainment: f64,
    /// Notes that an operator should read before confirming.
    pub notes: Vec<String>,
    /// Hash over all fields above, to detect an edited plan.
    pub digest: u64,
}

/// The reason for which no plan can be made, or a plan can't be confirmed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum PlanError {
    /// The intent names an unknown pipeline.
    #[error("pipeline: no pipeline {0:?} is in force")]
    UnknownPipeline(String),
    /// A value of the intent is not allowed.
    #[error("{key}: {problem}")]
    InvalidIntent {
        /// Key of the value.
        key: &'static str,
        /// The problem and the allowed values.
        problem: String,
    },
    /// The plan was edited after it was made.
    #[error("the plan was edited after it was made; plan again from a changed event file")]
    Edited,
}

/// Makes the plan for an intent. `now_ms` is the calendar time in milliseconds since the Unix
/// epoch; `id` becomes the identity of the confirming change.
///
/// # Errors
/// Returns the first problem of the intent.
pub fn make_plan(
    catalog: &Catalog,
    base: Version,
    intent: &Intent,
    now_ms: u64,
    id: Uuid,
) -> Result<Plan, PlanError> {
    let pipeline = check_intent(catalog, intent, now_ms)?;
    let stages: Vec<_> =
        pipeline.stages.iter().map(|stage| plan_stage(catalog, intent, stage)).collect();
    let mut notes = bottleneck_notes(&stages);
    let placements = schedule_model_loads(catalog, pipeline, intent, &stages, now_ms, &mut notes);
    let shares = stages
        .iter()
        .map(|stage| StageShare {
            stage: stage.stage.clone(),
            concurrency: stage.needed.ceil() as u64,
            capacity: stage.capacity,
        })
        .collect();
    let event = Event {
        pipeline: intent.pipeline.clone(),
        start_unix_ms: intent.start_unix_ms,
        duration_ms: intent.duration_ms,
        crowd: intent.crowd,
        deadline_ms: intent.deadline_ms,
        placements,
        shares,
    };
    let predicted_attainment = predict_attainment(pipeline, intent, &stages);
    let name = intent.name.clone();
    let plan = Plan { base, id, name, event, stages, predicted_attainment, notes, digest: 0 };
    Ok(Plan { digest: digest(&plan), ..plan })
}

impl Plan {
    /// Returns the change that confirms the plan.
    ///
    /// # Errors
    /// Returns [`PlanError::Edited`] if the plan was edited after it was made.
    pub fn confirm(&self, author: &str) -> Result<Change, PlanError> {
        if digest(self) != self.digest {
            return Err(PlanError::Edited);
        }
        let event = Arc::new(self.event.clone());
        let put = Operation::PutEvent { name: self.name.clone(), event };
        let author = author.to_owned();
        Ok(Change { base: self.base, id: self.id, author, operations: vec![put] })
    }
}

fn check_intent<'a>(
    catalog: &'a Catalog,
    intent: &Intent,
    now_ms: u64,
) -> Result<&'a Pipeline, PlanError> {
    let invalid =
        |key, problem: &str| PlanError::InvalidIntent { key, problem: problem.to_owned() };
    let Some(pipeline) = catalog.pipelines.get(&intent.pipeline) else {
        return Err(PlanError::UnknownPipeline(intent.pipeline.clone()));
    };
    if !fernring_core::text::is_name(&intent.name) {
        return Err(invalid("name", "must be 1 to 64 of a-z, 0-9, '-', '_' and '.'"));
    }
    if intent.crowd == 0 {
        return Err(invalid("crowd", "must be 1 or more"));
    }
    if intent.duration_ms == 0 {
        return Err(invalid("duration_ms", "must be 1 or more"));
    }
    if intent.loads_per_minute == 0 {
        return Err(invalid("loads_per_minute", "must be 1 or more"));
    }
    if !(1..=pipeline.max_window_ms).contains(&intent.deadline_ms) {
        let problem = format!("must be 1 to {} (the pipeline's maximum)", pipeline.max_window_ms);
        return Err(invalid("deadline_ms", &problem));
    }
    if intent.start_unix_ms + intent.duration_ms <= now_ms {
        return Err(invalid("start", "the event would already be over"));
    }
    Ok(pipeline)
}

fn plan_stage(catalog: &Catalog, intent: &Intent, stage: &Stage) -> StagePlan {
    let arrivals_per_ms = intent.crowd as f64 / intent.duration_ms as f64;
    let needed = arrivals_per_ms * stage.expected_ms as f64;
    let available =
        catalog.upstreams_in_pool(&stage.pool).filter(|(_, upstream)| !upstream.draining);
    let capacity: u64 = available.map(|(_, upstream)| u64::from(upstream.concurrency)).sum();
    let service_s = intent.crowd as f64 * stage.expected_ms as f64 / 1_000.0;
    StagePlan {
        stage: stage.name.clone(),
        pool: stage.pool.clone(),
        needed,
        capacity,
        utilisation: if capacity == 0 { f64::MAX } else { needed / capacity as f64 },
        wait_ms: mean_wait_ms(needed, capacity, stage.expected_ms as f64),
        cost_milli: (service_s * stage.cost_milli_per_s as f64).round() as u64,
    }
}

/// Returns the mean wait in an M/M/c queue (Erlang C), in milliseconds; `f64::MAX` if the load is
/// not below the number of servers, since the queue then grows without bound.
fn mean_wait_ms(load: f64, servers: u64, service_ms: f64) -> f64 {
    let servers_f = servers as f64;
    if load >= servers_f {
        return f64::MAX;
    }
    // Erlang B by its recurrence relation, then Erlang C derived from it.
    let blocking_probability = (1..=servers).fold(1.0, |b, n| load * b / (n as f64 + load * b));
    let wait_probability =
        blocking_probability / (1.0 - load / servers_f * (1.0 - blocking_probability));
    wait_probability * service_ms / (servers_f - load)
}

fn bottleneck_notes(stages: &[StagePlan]) -> Vec<String> {
    let mut notes = Vec::new();
    for stage in stages {
        if stage.capacity == 0 {
            notes.push(format!("stage {}: pool {} has no upstream", stage.stage, stage.pool));
        } else if stage.utilisation > BOTTLENECK_UTILISATION {
            let percent = stage.utilisation * 100.0;
            notes.push(format!(
                "stage {}: pool {} would be at {percent:.0}% of its capacity",
                stage.stage, stage.pool
            ));
        }
    }
    notes
}

/// Returns the predicted share of requests answered in time: the share that the capacity can serve,
/// times the share whose waits fit into the window.
fn predict_attainment(pipeline: &Pipeline, intent: &Intent, stages: &[StagePlan]) -> f64 {
    let served_share = stages.iter().map(|s| (1.0 / s.utilisation.max(1e-9)).min(1.0));
    let served_share = served_share.fold(1.0, f64::min);
    let service_ms: f64 = pipeline.stages.iter().map(|stage| stage.expected_ms as f64).sum();
    let slack_ms = intent.deadline_ms as f64 - service_ms;
    if slack_ms <= 0.0 {
        return 0.0;
    }
    let finite_waits = stages.iter().map(|stage| stage.wait_ms).filter(|wait| *wait < f64::MAX);
    let wait_ms: f64 = finite_waits.sum();
    let in_time_share = if wait_ms <= 0.0 { 1.0 } else { 1.0 - (-slack_ms / wait_ms).exp() };
    served_share * in_time_share
}

/// Chooses engines for the model, alternating between the failure domains, and schedules their
/// loads within the rate of the weight store.
fn schedule_model_loads(
    catalog: &Catalog,
    pipeline: &Pipeline,
    intent: &Intent,
    stages: &[StagePlan],
    now_ms: u64,
    notes: &mut Vec<String>,
) -> Vec<Placement> {
    let Some(model) = &intent.model else {
        return Vec::new();
    };
    let mut chosen = Vec::new();
    for (stage, stage_plan) in pipeline.stages.iter().zip(stages) {
        choose_engines(catalog, stage, stage_plan, &mut chosen);
    }
    if chosen.is_empty() {
        notes.push("model: the pipeline has no stage on engines; nothing is loaded".to_owned());
    }
    let interval_ms = 60_000 / intent.loads_per_minute;
    let last_load_ms = intent.start_unix_ms.saturating_sub(LOAD_LEAD_TIME_MS);
    let count = chosen.len() as u64;
    let first_load_ms = last_load_ms.saturating_sub(count.saturating_sub(1) * interval_ms);
    if count > 0 && first_load_ms < now_ms {
        notes.push("the weight store is too slow for all loads to be done before the start".into());
    }
    let model_loads = chosen.into_iter().enumerate().map(|(index, upstream)| Placement {
        upstream,
        model: model.clone(),
        load_at_unix_ms: first_load_ms.max(now_ms) + index as u64 * interval_ms,
    });
    model_loads.collect()
}

fn choose_engines(
    catalog: &Catalog,
    stage: &Stage,
    stage_plan: &StagePlan,
    chosen: &mut Vec<String>,
) {
    let available =
        |u: &fernring_core::catalog::Upstream| u.kind == UpstreamKind::Engine && !u.draining;
    let mut engines: Vec<_> =
        catalog.upstreams_in_pool(&stage.pool).filter(|(_, u)| available(u)).collect();
    // Sorted by rank within the failure domain first, so that consecutive engines alternate
    // between the domains.
    let mut ranked = Vec::new();
    engines.sort_by_key(|(name, _)| *name);
    for (index, (name, upstream)) in engines.iter().enumerate() {
        let earlier = &engines[..index];
        let rank = earlier.iter().filter(|(_, o)| o.failure_domain == upstream.failure_domain);
        ranked.push((rank.count(), *name, upstream.concurrency));
    }
    ranked.sort();
    let mut missing_concurrency = stage_plan.needed * ENGINE_HEADROOM;
    for (_, name, concurrency) in ranked {
        if missing_concurrency <= 0.0 {
            return;
        }
        missing_concurrency -= f64::from(concurrency);
        if !chosen.iter().any(|other| other == name) {
            chosen.push(name.to_owned());
        }
    }
}

fn digest(plan: &Plan) -> u64 {
    let without_digest = Plan { digest: 0, ..plan.clone() };
    let text = serde_json::to_string(&without_digest).expect("a plan has only string keys");
    xxh3_64(text.as_bytes())
}

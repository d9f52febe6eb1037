//! From an operator's intent to a plan.
//!
//! A plan changes nothing. It names the configuration version it is based on; confirming it is a
//! change with that base, so it takes effect only if nothing else did in between.

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

/// Engines are loaded for this multiple of the predicted need, so that one of five may fail.
const ENGINE_HEADROOM: f64 = 1.25;
/// The last load is ordered this long before the start, in milliseconds.
const LOAD_LEAD_MS: u64 = 60_000;
/// A stage above this part of its capacity is named as a bottleneck.
const TIGHT_UTILISATION: f64 = 0.8;

/// What an operator wants.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Intent {
    /// Name of the event.
    pub name: String,
    /// Pipeline that is to serve it.
    pub pipeline: String,
    /// Start, in milliseconds since the Unix epoch.
    pub start_unix_ms: u64,
    /// How long the crowd comes for, in milliseconds.
    pub duration_ms: u64,
    /// Number of requests expected over the duration.
    pub crowd: u64,
    /// Window in which each request is to be answered, in milliseconds.
    pub deadline_ms: u64,
    /// Model to load on the engines, if the pipeline has an engine stage.
    #[serde(default)]
    pub model: Option<String>,
    /// Loads that the weight store serves in a minute.
    #[serde(default = "default_loads_per_minute")]
    pub loads_per_minute: u64,
}

fn default_loads_per_minute() -> u64 {
    10
}

/// What a stage is predicted to need.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StagePlan {
    /// Name of the stage.
    pub stage: String,
    /// Pool that runs it.
    pub pool: String,
    /// Attempts at once that the crowd needs.
    pub needed: f64,
    /// Attempts at once that the pool can take.
    pub capacity: u64,
    /// Needed part of the capacity.
    pub utilisation: f64,
    /// Predicted mean wait for a free upstream, in milliseconds.
    pub wait_ms: f64,
    /// Predicted cost over the event, in thousandths of the operator's unit.
    pub cost_milli: u64,
}

/// What serving the intent takes and what it would bring.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Configuration version that it is based on.
    pub base: Version,
    /// Identity of the change that confirms it.
    pub id: Uuid,
    /// Name of the event.
    pub name: String,
    /// The event as it will be declared.
    pub event: Event,
    /// Prediction by stage.
    pub stages: Vec<StagePlan>,
    /// Predicted share of requests answered within the window, 0 to 1.
    pub predicted_attainment: f64,
    /// What an operator should know before confirming.
    pub notes: Vec<String>,
    /// Hash over everything above, by which an edited plan is recognised.
    pub digest: u64,
}

/// Why there is no plan, or why it can't be confirmed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum PlanError {
    /// The intent names no known pipeline.
    #[error("pipeline: no pipeline {0:?} is in force")]
    UnknownPipeline(String),
    /// A value of the intent is not allowed.
    #[error("{key}: {problem}")]
    BadIntent {
        /// The key.
        key: &'static str,
        /// What is wrong and what is allowed.
        problem: String,
    },
    /// The plan is not as it was made.
    #[error("the plan was edited after it was made; plan again from a changed event file")]
    Edited,
}

/// Makes the plan of an intent. `now_ms` is the calendar time in milliseconds since the epoch;
/// `id` becomes the identity of the confirming change.
///
/// # Errors
/// Returns what is wrong with the intent.
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
    let mut notes = stage_notes(&stages);
    let placements = place_models(catalog, pipeline, intent, &stages, now_ms, &mut notes);
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
    let predicted_attainment = attainment(pipeline, intent, &stages);
    let name = intent.name.clone();
    let plan = Plan { base, id, name, event, stages, predicted_attainment, notes, digest: 0 };
    Ok(Plan { digest: digest(&plan), ..plan })
}

impl Plan {
    /// Turns the plan into the change that confirms it.
    ///
    /// # Errors
    /// Refuses a plan that is not as it was made.
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
    let bad = |key, problem: &str| PlanError::BadIntent { key, problem: problem.to_owned() };
    let Some(pipeline) = catalog.pipelines.get(&intent.pipeline) else {
        return Err(PlanError::UnknownPipeline(intent.pipeline.clone()));
    };
    if !fernring_core::text::is_name(&intent.name) {
        return Err(bad("name", "must be 1 to 64 of a-z, 0-9, '-', '_' and '.'"));
    }
    if intent.crowd == 0 {
        return Err(bad("crowd", "must be 1 or more"));
    }
    if intent.duration_ms == 0 {
        return Err(bad("duration_ms", "must be 1 or more"));
    }
    if intent.loads_per_minute == 0 {
        return Err(bad("loads_per_minute", "must be 1 or more"));
    }
    if !(1..=pipeline.max_window_ms).contains(&intent.deadline_ms) {
        let problem = format!("must be 1 to {} (the pipeline's maximum)", pipeline.max_window_ms);
        return Err(bad("deadline_ms", &problem));
    }
    if intent.start_unix_ms + intent.duration_ms <= now_ms {
        return Err(bad("start", "the event would already be over"));
    }
    Ok(pipeline)
}

fn plan_stage(catalog: &Catalog, intent: &Intent, stage: &Stage) -> StagePlan {
    let per_ms = intent.crowd as f64 / intent.duration_ms as f64;
    let needed = per_ms * stage.expected_ms as f64;
    let open = catalog.upstreams_in_pool(&stage.pool).filter(|(_, upstream)| !upstream.draining);
    let capacity: u64 = open.map(|(_, upstream)| u64::from(upstream.concurrency)).sum();
    let busy_s = intent.crowd as f64 * stage.expected_ms as f64 / 1_000.0;
    StagePlan {
        stage: stage.name.clone(),
        pool: stage.pool.clone(),
        needed,
        capacity,
        utilisation: if capacity == 0 { f64::MAX } else { needed / capacity as f64 },
        wait_ms: mean_wait_ms(needed, capacity, stage.expected_ms as f64),
        cost_milli: (busy_s * stage.cost_milli_per_s as f64).round() as u64,
    }
}

/// Mean wait of an M/M/c queue (Erlang C), in milliseconds; `f64::MAX` if it never settles.
fn mean_wait_ms(load: f64, servers: u64, service_ms: f64) -> f64 {
    let servers_f = servers as f64;
    if load >= servers_f {
        return f64::MAX;
    }
    // Erlang B by its recurrence, then Erlang C from it.
    let blocked = (1..=servers).fold(1.0, |b, n| load * b / (n as f64 + load * b));
    let waits = blocked / (1.0 - load / servers_f * (1.0 - blocked));
    waits * service_ms / (servers_f - load)
}

fn stage_notes(stages: &[StagePlan]) -> Vec<String> {
    let mut notes = Vec::new();
    for stage in stages {
        if stage.capacity == 0 {
            notes.push(format!("stage {}: pool {} has no upstream", stage.stage, stage.pool));
        } else if stage.utilisation > TIGHT_UTILISATION {
            let percent = stage.utilisation * 100.0;
            notes.push(format!(
                "stage {}: pool {} would be at {percent:.0}% of its capacity",
                stage.stage, stage.pool
            ));
        }
    }
    notes
}

/// Share that the capacity lets through, times the share whose waits leave enough of the window.
fn attainment(pipeline: &Pipeline, intent: &Intent, stages: &[StagePlan]) -> f64 {
    let served = stages.iter().map(|s| (1.0 / s.utilisation.max(1e-9)).min(1.0));
    let served = served.fold(1.0, f64::min);
    let service_ms: f64 = pipeline.stages.iter().map(|stage| stage.expected_ms as f64).sum();
    let slack_ms = intent.deadline_ms as f64 - service_ms;
    if slack_ms <= 0.0 {
        return 0.0;
    }
    let finite = stages.iter().map(|stage| stage.wait_ms).filter(|wait| *wait < f64::MAX);
    let wait_ms: f64 = finite.sum();
    let in_time = if wait_ms <= 0.0 { 1.0 } else { 1.0 - (-slack_ms / wait_ms).exp() };
    served * in_time
}

/// Chooses engines for the model, spread over the failure domains in turn, and times their loads
/// under the weight store's rate.
fn place_models(
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
    for (stage, planned) in pipeline.stages.iter().zip(stages) {
        choose_engines(catalog, stage, planned, &mut chosen);
    }
    if chosen.is_empty() {
        notes.push("model: the pipeline has no stage on engines; nothing is loaded".to_owned());
    }
    let interval_ms = 60_000 / intent.loads_per_minute;
    let last_ms = intent.start_unix_ms.saturating_sub(LOAD_LEAD_MS);
    let count = chosen.len() as u64;
    let first_ms = last_ms.saturating_sub(count.saturating_sub(1) * interval_ms);
    if count > 0 && first_ms < now_ms {
        notes.push("the weight store is too slow for all loads to be done before the start".into());
    }
    let timed = chosen.into_iter().enumerate().map(|(index, upstream)| Placement {
        upstream,
        model: model.clone(),
        load_at_unix_ms: first_ms.max(now_ms) + index as u64 * interval_ms,
    });
    timed.collect()
}

fn choose_engines(catalog: &Catalog, stage: &Stage, planned: &StagePlan, chosen: &mut Vec<String>) {
    let open = |u: &fernring_core::catalog::Upstream| u.kind == UpstreamKind::Engine && !u.draining;
    let mut engines: Vec<_> = catalog.upstreams_in_pool(&stage.pool).filter(|(_, u)| open(u)).collect();
    // Rank within the failure domain first, so that taking from the front alternates domains.
    let mut ranked = Vec::new();
    engines.sort_by_key(|(name, _)| *name);
    for (index, (name, upstream)) in engines.iter().enumerate() {
        let earlier = &engines[..index];
        let rank = earlier.iter().filter(|(_, o)| o.failure_domain == upstream.failure_domain);
        ranked.push((rank.count(), *name, upstream.concurrency));
    }
    ranked.sort();
    let mut missing = planned.needed * ENGINE_HEADROOM;
    for (_, name, concurrency) in ranked {
        if missing <= 0.0 {
            return;
        }
        missing -= f64::from(concurrency);
        if !chosen.iter().any(|other| other == name) {
            chosen.push(name.to_owned());
        }
    }
}

fn digest(plan: &Plan) -> u64 {
    let plain = Plan { digest: 0, ..plan.clone() };
    let text = serde_json::to_string(&plain).expect("a plan has only string keys");
    xxh3_64(text.as_bytes())
}

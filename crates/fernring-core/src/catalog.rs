//! The configuration that nodes serve from: pipelines, workspaces, upstreams and events.

use {
    crate::text::is_name,
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, net::SocketAddr, sync::Arc},
    thiserror::Error,
};

/// Maximum number of stages in a pipeline.
pub const STAGES_MAX: usize = 16;
/// Upper bound for a pipeline's `max_window_ms` and for a stage's `expected_ms`, in milliseconds.
pub const WINDOW_MAX_MS: u64 = 600_000;
/// Upper bound for the concurrency of an upstream.
pub const CONCURRENCY_MAX: u32 = 10_000;

/// All declarations of the operators, by name.
///
/// Invariant: every entry has passed [`Catalog::check`], so every pool named by a stage is a valid
/// name, and every event names a pipeline of this catalog.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Catalog {
    /// Pipelines by name.
    #[serde(default)]
    pub pipelines: BTreeMap<String, Arc<Pipeline>>,
    /// Workspaces by name.
    #[serde(default)]
    pub workspaces: BTreeMap<String, Arc<Workspace>>,
    /// Upstreams by name.
    #[serde(default)]
    pub upstreams: BTreeMap<String, Arc<Upstream>>,
    /// Confirmed events by name.
    #[serde(default)]
    pub events: BTreeMap<String, Arc<Event>>,
}

/// A sequence of stages that a request passes through, in order.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pipeline {
    /// Stages in execution order; the output of each is the input of the next.
    pub stages: Vec<Stage>,
    /// Window of a request that doesn't specify one, in milliseconds.
    pub default_window_ms: u64,
    /// Longest window that a request may specify, in milliseconds.
    pub max_window_ms: u64,
}

impl Pipeline {
    /// Returns whether any stage has a side effect.
    pub fn has_effect(&self) -> bool {
        self.stages.iter().any(|stage| stage.effect)
    }
}

/// One stage of a pipeline.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stage {
    /// Name of the stage, unique in its pipeline.
    pub name: String,
    /// Pool of the upstreams that run the stage.
    pub pool: String,
    /// Whether the stage has a side effect; such a stage is sent to an upstream at most once.
    #[serde(default)]
    pub effect: bool,
    /// Service time that is assumed until measurements are available, in milliseconds.
    pub expected_ms: u64,
    /// Cost of one second of upstream time, in thousandths of the operator's cost unit.
    #[serde(default)]
    pub cost_milli_per_s: u64,
}

/// A tenant, with its share of capacity and its rate limit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Weight in the sharing of a contended stage, relative to other workspaces; at least 1.
    pub weight: u32,
    /// Maximum requests per second in each failure domain; 0 means no limit.
    #[serde(default)]
    pub limit_per_s: u64,
    /// Pipelines that the workspace may use; empty means all.
    #[serde(default)]
    pub pipelines: Vec<String>,
}

/// The kind of service that an upstream provides.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamKind {
    /// A model engine, which batches requests, caches prompt prefixes and accepts orders.
    Engine,
    /// Any other service.
    Plain,
}

/// A back end that runs stages.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// Pool that the upstream belongs to.
    pub pool: String,
    /// Failure domain that the upstream is located in.
    pub failure_domain: String,
    /// Address of the HTTP interface.
    pub address: SocketAddr,
    /// Kind of service.
    pub kind: UpstreamKind,
    /// Maximum number of concurrent attempts that one node should send to the upstream.
    pub concurrency: u32,
    /// Whether the upstream refuses orders with an outdated fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Whether operators have set the upstream to receive no new work.
    #[serde(default)]
    pub draining: bool,
}

/// A confirmed event: load that is expected on a pipeline during a scheduled period.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Event {
    /// Pipeline that serves the event.
    pub pipeline: String,
    /// Start of the event, in milliseconds since the Unix epoch.
    pub start_unix_ms: u64,
    /// Duration of the event, in milliseconds.
    pub duration_ms: u64,
    /// Number of requests expected over the whole duration.
    pub crowd: u64,
    /// Window within which each request must be answered, in milliseconds.
    pub deadline_ms: u64,
    /// Models to load before the start, each with its upstream.
    #[serde(default)]
    pub placements: Vec<Placement>,
    /// Concurrency reserved for the event at each stage.
    #[serde(default)]
    pub shares: Vec<StageShare>,
}

/// A model to be loaded on an upstream at a given time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Placement {
    /// Name of the upstream.
    pub upstream: String,
    /// Name of the model.
    pub model: String,
    /// Time at which to send the load order, in milliseconds since the Unix epoch.
    pub load_at_unix_ms: u64,
}

/// Concurrency that an event reserves at one stage.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StageShare {
    /// Name of the stage.
    pub stage: String,
    /// Number of concurrent attempts that the event needs.
    pub concurrency: u64,
    /// Number of concurrent attempts that the pool can run.
    pub capacity: u64,
}

/// The first invalid entry of a configuration.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{entry}: {key}: {problem}")]
pub struct CatalogError {
    /// Path of the entry, for example `pipelines.statements`.
    pub entry: String,
    /// Key within the entry.
    pub key: &'static str,
    /// The rule that the value breaks.
    pub problem: String,
}

impl Catalog {
    /// Checks all entries and the references between them.
    ///
    /// # Errors
    /// Returns an error for the first invalid entry.
    pub fn check(&self) -> Result<(), CatalogError> {
        for (name, pipeline) in &self.pipelines {
            check_pipeline(&format!("pipelines.{name}"), name, pipeline)?;
        }
        for (name, workspace) in &self.workspaces {
            self.check_workspace(&format!("workspaces.{name}"), name, workspace)?;
        }
        for (name, upstream) in &self.upstreams {
            check_upstream(&format!("upstreams.{name}"), name, upstream)?;
        }
        for (name, event) in &self.events {
            self.check_event(&format!("events.{name}"), name, event)?;
        }
        Ok(())
    }

    /// Iterates over the upstreams of a pool, with their names.
    pub fn upstreams_in_pool<'a>(
        &'a self,
        pool: &'a str,
    ) -> impl Iterator<Item = (&'a str, &'a Upstream)> {
        let members = self.upstreams.iter().filter(move |(_, upstream)| upstream.pool == pool);
        members.map(|(name, upstream)| (name.as_str(), upstream.as_ref()))
    }

    /// Iterates over the upstreams of a failure domain, with their names.
    pub fn upstreams_in_domain<'a>(
        &'a self,
        failure_domain: &'a str,
    ) -> impl Iterator<Item = (&'a str, &'a Upstream)> {
        let all = self.upstreams.iter();
        let members = all.filter(move |(_, upstream)| upstream.failure_domain == failure_domain);
        members.map(|(name, upstream)| (name.as_str(), upstream.as_ref()))
    }

    fn check_workspace(
        &self,
        entry: &str,
        name: &str,
        workspace: &Workspace,
    ) -> Result<(), CatalogError> {
        require(is_name(name), entry, "name", NAME_RULE)?;
        require(workspace.weight >= 1, entry, "weight", "must be 1 or more")?;
        for pipeline in &workspace.pipelines {
            let declared = self.pipelines.contains_key(pipeline);
            require(
                declared,
                entry,
                "pipelines",
                &format!("no pipeline {pipeline:?} is declared"),
            )?;
        }
        Ok(())
    }

    fn check_event(&self, entry: &str, name: &str, event: &Event) -> Result<(), CatalogError> {
        require(is_name(name), entry, "name", NAME_RULE)?;
        let Some(pipeline) = self.pipelines.get(&event.pipeline) else {
            let problem = format!("no pipeline {:?} is declared", event.pipeline);
            return Err(entry_error(entry, "pipeline", &problem));
        };
        require(event.crowd > 0, entry, "crowd", "must be 1 or more")?;
        require(event.duration_ms > 0, entry, "duration_ms", "must be 1 or more")?;
        let valid_deadlines = 1..=pipeline.max_window_ms;
        let problem = format!("must be 1 to {} (the pipeline's maximum)", pipeline.max_window_ms);
        require(valid_deadlines.contains(&event.deadline_ms), entry, "deadline_ms", &problem)
    }
}

const NAME_RULE: &str =
    "must be 1 to 64 of a-z, 0-9, '-', '_' and '.', starting with a letter or digit";

fn entry_error(entry: &str, key: &'static str, problem: &str) -> CatalogError {
    CatalogError { entry: entry.to_owned(), key, problem: problem.to_owned() }
}

fn require(ok: bool, entry: &str, key: &'static str, problem: &str) -> Result<(), CatalogError> {
    if ok { Ok(()) } else { Err(entry_error(entry, key, problem)) }
}

fn check_pipeline(entry: &str, name: &str, pipeline: &Pipeline) -> Result<(), CatalogError> {
    require(is_name(name), entry, "name", NAME_RULE)?;
    let stages = &pipeline.stages;
    let valid_count = (1..=STAGES_MAX).contains(&stages.len());
    require(valid_count, entry, "stages", &format!("must be 1 to {STAGES_MAX} stages"))?;
    let valid_max = (1..=WINDOW_MAX_MS).contains(&pipeline.max_window_ms);
    let problem = format!("must be 1 to {WINDOW_MAX_MS}");
    require(valid_max, entry, "max_window_ms", &problem)?;
    let valid_default = (1..=pipeline.max_window_ms).contains(&pipeline.default_window_ms);
    require(valid_default, entry, "default_window_ms", "must be 1 to max_window_ms")?;
    for (index, stage) in stages.iter().enumerate() {
        require(is_name(&stage.name), entry, "stages.name", NAME_RULE)?;
        require(is_name(&stage.pool), entry, "stages.pool", NAME_RULE)?;
        let unique = stages[..index].iter().all(|earlier| earlier.name != stage.name);
        require(unique, entry, "stages.name", "must be unique in the pipeline")?;
        let valid_expected = (1..=WINDOW_MAX_MS).contains(&stage.expected_ms);
        require(valid_expected, entry, "stages.expected_ms", &problem)?;
    }
    Ok(())
}

fn check_upstream(entry: &str, name: &str, upstream: &Upstream) -> Result<(), CatalogError> {
    require(is_name(name), entry, "name", NAME_RULE)?;
    require(is_name(&upstream.pool), entry, "pool", NAME_RULE)?;
    require(is_name(&upstream.failure_domain), entry, "failure_domain", NAME_RULE)?;
    let valid_concurrency = (1..=CONCURRENCY_MAX).contains(&upstream.concurrency);
    require(valid_concurrency, entry, "concurrency", &format!("must be 1 to {CONCURRENCY_MAX}"))
}

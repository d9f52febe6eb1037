//! The configuration in force: what a node serves, for whom, and where it runs.

use {
    crate::text::is_name,
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, net::SocketAddr, sync::Arc},
    thiserror::Error,
};

/// Most stages that a pipeline may have.
pub const STAGES_MAX: usize = 16;
/// Longest window that a pipeline may allow, in milliseconds.
pub const WINDOW_MAX_MS: u64 = 600_000;
/// Largest concurrency that an upstream may declare.
pub const CONCURRENCY_MAX: u32 = 10_000;

/// Everything that operators have declared, by name.
///
/// Invariant: holds only entries that passed [`Catalog::check`], so every pool named by a stage
/// is a legal name, and every event names a pipeline of this catalog.
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
    /// Stages in the order they run; the output of one is the input of the next.
    pub stages: Vec<Stage>,
    /// Window of a request that names none, in milliseconds.
    pub default_window_ms: u64,
    /// Longest window that a request may ask for, in milliseconds.
    pub max_window_ms: u64,
}

impl Pipeline {
    /// Tells whether any stage has a side effect.
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
    /// Pool of upstreams that runs it.
    pub pool: String,
    /// Whether running it has a side effect; then it is sent at most once.
    #[serde(default)]
    pub effect: bool,
    /// Expected service time until measurements replace it, in milliseconds.
    pub expected_ms: u64,
    /// Cost of one second of an upstream's time, in thousandths of the operator's unit.
    #[serde(default)]
    pub cost_milli_per_s: u64,
}

/// A customer: its share and its limit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Share of a contended stage relative to other workspaces; at least 1.
    pub weight: u32,
    /// Requests a second allowed in each failure domain; 0 means no limit.
    #[serde(default)]
    pub limit_per_s: u64,
    /// Pipelines it may use; empty means all.
    #[serde(default)]
    pub pipelines: Vec<String>,
}

/// What kind of service an upstream is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamKind {
    /// A model engine: batches, caches prompt prefixes, takes orders.
    Engine,
    /// A plain service.
    Plain,
}

/// A back end that runs stages.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// Pool it belongs to.
    pub pool: String,
    /// Failure domain it stands in.
    pub failure_domain: String,
    /// Address of its HTTP interface.
    pub address: SocketAddr,
    /// What kind of service it is.
    pub kind: UpstreamKind,
    /// Most attempts it should be given at once by one node.
    pub concurrency: u32,
    /// Whether it refuses orders that carry an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Whether operators have asked that it gets no new work.
    #[serde(default)]
    pub draining: bool,
}

/// A confirmed event: a crowd that comes to a pipeline at a fixed time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Event {
    /// Pipeline that the event is served by.
    pub pipeline: String,
    /// Start, in milliseconds since the Unix epoch.
    pub start_unix_ms: u64,
    /// How long the crowd comes for, in milliseconds.
    pub duration_ms: u64,
    /// Number of requests expected over the duration.
    pub crowd: u64,
    /// Window in which each request is to be answered, in milliseconds.
    pub deadline_ms: u64,
    /// Models that must be loaded, and where, before the start.
    #[serde(default)]
    pub placements: Vec<Placement>,
    /// Concurrency reserved for the event, by stage.
    #[serde(default)]
    pub shares: Vec<StageShare>,
}

/// A model that an upstream holds from some time on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Placement {
    /// Name of the upstream.
    pub upstream: String,
    /// Name of the model.
    pub model: String,
    /// When the load order is to be sent, in milliseconds since the Unix epoch.
    pub load_at_unix_ms: u64,
}

/// Concurrency that an event reserves at one stage.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StageShare {
    /// Name of the stage.
    pub stage: String,
    /// Attempts at once that the event needs.
    pub concurrency: u64,
    /// Attempts at once that the pool can take.
    pub capacity: u64,
}

/// Why a configuration is not accepted.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{entry}: {key}: {problem}")]
pub struct CatalogError {
    /// The entry, for example `pipelines.statements`.
    pub entry: String,
    /// The key within the entry.
    pub key: &'static str,
    /// What is wrong and what is allowed.
    pub problem: String,
}

impl Catalog {
    /// Checks every entry and every reference between entries.
    ///
    /// # Errors
    /// Returns the first entry that is not allowed.
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

    /// Lists the upstreams of a pool with their names.
    pub fn upstreams_in_pool<'a>(&'a self, pool: &'a str) -> impl Iterator<Item = (&'a str, &'a Upstream)> {
        let members = self.upstreams.iter().filter(move |(_, upstream)| upstream.pool == pool);
        members.map(|(name, upstream)| (name.as_str(), upstream.as_ref()))
    }

    /// Lists the upstreams of a failure domain with their names.
    pub fn upstreams_in_domain<'a>(
        &'a self,
        failure_domain: &'a str,
    ) -> impl Iterator<Item = (&'a str, &'a Upstream)> {
        let all = self.upstreams.iter();
        let own = all.filter(move |(_, upstream)| upstream.failure_domain == failure_domain);
        own.map(|(name, upstream)| (name.as_str(), upstream.as_ref()))
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
            let known = self.pipelines.contains_key(pipeline);
            require(known, entry, "pipelines", &format!("no pipeline {pipeline:?} is declared"))?;
        }
        Ok(())
    }

    fn check_event(&self, entry: &str, name: &str, event: &Event) -> Result<(), CatalogError> {
        require(is_name(name), entry, "name", NAME_RULE)?;
        let Some(pipeline) = self.pipelines.get(&event.pipeline) else {
            let problem = format!("no pipeline {:?} is declared", event.pipeline);
            return Err(error(entry, "pipeline", &problem));
        };
        require(event.crowd > 0, entry, "crowd", "must be 1 or more")?;
        require(event.duration_ms > 0, entry, "duration_ms", "must be 1 or more")?;
        let window = 1..=pipeline.max_window_ms;
        let problem = format!("must be 1 to {} (the pipeline's maximum)", pipeline.max_window_ms);
        require(window.contains(&event.deadline_ms), entry, "deadline_ms", &problem)
    }
}

const NAME_RULE: &str =
    "must be 1 to 64 of a-z, 0-9, '-', '_' and '.', starting with a letter or digit";

fn error(entry: &str, key: &'static str, problem: &str) -> CatalogError {
    CatalogError { entry: entry.to_owned(), key, problem: problem.to_owned() }
}

fn require(ok: bool, entry: &str, key: &'static str, problem: &str) -> Result<(), CatalogError> {
    if ok { Ok(()) } else { Err(error(entry, key, problem)) }
}

fn check_pipeline(entry: &str, name: &str, pipeline: &Pipeline) -> Result<(), CatalogError> {
    require(is_name(name), entry, "name", NAME_RULE)?;
    let stages = &pipeline.stages;
    let count_allowed = (1..=STAGES_MAX).contains(&stages.len());
    require(count_allowed, entry, "stages", &format!("must be 1 to {STAGES_MAX} stages"))?;
    let max_allowed = (1..=WINDOW_MAX_MS).contains(&pipeline.max_window_ms);
    let problem = format!("must be 1 to {WINDOW_MAX_MS}");
    require(max_allowed, entry, "max_window_ms", &problem)?;
    let default_allowed = (1..=pipeline.max_window_ms).contains(&pipeline.default_window_ms);
    require(default_allowed, entry, "default_window_ms", "must be 1 to max_window_ms")?;
    for (index, stage) in stages.iter().enumerate() {
        require(is_name(&stage.name), entry, "stages.name", NAME_RULE)?;
        require(is_name(&stage.pool), entry, "stages.pool", NAME_RULE)?;
        let unique = stages[..index].iter().all(|earlier| earlier.name != stage.name);
        require(unique, entry, "stages.name", "must be unique in the pipeline")?;
        let expected = (1..=WINDOW_MAX_MS).contains(&stage.expected_ms);
        require(expected, entry, "stages.expected_ms", &problem)?;
    }
    Ok(())
}

fn check_upstream(entry: &str, name: &str, upstream: &Upstream) -> Result<(), CatalogError> {
    require(is_name(name), entry, "name", NAME_RULE)?;
    require(is_name(&upstream.pool), entry, "pool", NAME_RULE)?;
    require(is_name(&upstream.failure_domain), entry, "failure_domain", NAME_RULE)?;
    let concurrency = (1..=CONCURRENCY_MAX).contains(&upstream.concurrency);
    require(concurrency, entry, "concurrency", &format!("must be 1 to {CONCURRENCY_MAX}"))
}

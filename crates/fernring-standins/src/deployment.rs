//! Configurations modelled on the deployments that fernring serves.

use {
    crate::upstream::Behaviour,
    fernring_core::{
        catalog::{Pipeline, Stage, Upstream, UpstreamKind, Workspace},
        change::Operation,
    },
    std::{net::SocketAddr, sync::Arc},
};

/// Failure domains of every deployment.
pub const DOMAINS: [&str; 3] = ["a", "b", "c"];

/// A pool of identical upstreams.
#[derive(Debug, Clone)]
pub struct PoolSpec {
    /// Name of the pool.
    pub pool: &'static str,
    /// Number of upstreams, spread over the failure domains in turn.
    pub count: usize,
    /// Behaviour of each upstream.
    pub behaviour: Behaviour,
}

/// A pipeline and its share of the traffic.
#[derive(Debug, Clone)]
pub struct PipelineSpec {
    /// Name of the pipeline.
    pub name: &'static str,
    /// Its declaration.
    pub pipeline: Pipeline,
    /// Weight of its arrivals, relative to the other pipelines.
    pub traffic: u32,
}

/// A workspace and its share of the traffic.
#[derive(Debug, Clone)]
pub struct WorkspaceSpec {
    /// Name of the workspace.
    pub name: &'static str,
    /// Its declaration.
    pub workspace: Workspace,
    /// Weight of its arrivals, relative to the other workspaces.
    pub traffic: u32,
}

/// A complete deployment.
#[derive(Debug, Clone)]
pub struct Deployment {
    /// Its name.
    pub name: &'static str,
    /// Its pools.
    pub pools: Vec<PoolSpec>,
    /// Its pipelines.
    pub pipelines: Vec<PipelineSpec>,
    /// Its workspaces.
    pub workspaces: Vec<WorkspaceSpec>,
}

/// An upstream to start.
#[derive(Debug, Clone)]
pub struct UpstreamSpec {
    /// Its name.
    pub name: String,
    /// Its pool.
    pub pool: String,
    /// Its failure domain.
    pub failure_domain: &'static str,
    /// Its behaviour.
    pub behaviour: Behaviour,
}

impl UpstreamSpec {
    /// Returns the operation that declares the upstream at an address.
    pub fn declare(&self, address: SocketAddr) -> Operation {
        let kind = if self.behaviour.engine { UpstreamKind::Engine } else { UpstreamKind::Plain };
        let upstream = Upstream {
            pool: self.pool.clone(),
            failure_domain: self.failure_domain.to_owned(),
            address,
            kind,
            concurrency: self.behaviour.concurrency,
            checks_fencing: self.behaviour.checks_fencing,
            draining: false,
        };
        Operation::PutUpstream { name: self.name.clone(), upstream: Arc::new(upstream) }
    }
}

impl Deployment {
    /// Returns the upstreams to start.
    pub fn upstreams(&self) -> Vec<UpstreamSpec> {
        let mut list = Vec::new();
        for pool in &self.pools {
            for index in 0..pool.count {
                list.push(UpstreamSpec {
                    name: format!("{}-{index}", pool.pool),
                    pool: pool.pool.to_owned(),
                    failure_domain: DOMAINS[index % DOMAINS.len()],
                    behaviour: pool.behaviour.clone(),
                });
            }
        }
        list
    }

    /// Returns the operations that declare the pipelines and workspaces.
    pub fn declare(&self) -> Vec<Operation> {
        let pipelines = self.pipelines.iter().map(|spec| Operation::PutPipeline {
            name: spec.name.to_owned(),
            pipeline: Arc::new(spec.pipeline.clone()),
        });
        let workspaces = self.workspaces.iter().map(|spec| Operation::PutWorkspace {
            name: spec.name.to_owned(),
            workspace: Arc::new(spec.workspace.clone()),
        });
        pipelines.chain(workspaces).collect()
    }
}

/// Builds a stage.
pub fn stage(name: &str, pool: &str, expected_ms: u64, cost_milli_per_s: u64) -> Stage {
    Stage {
        name: name.to_owned(),
        pool: pool.to_owned(),
        effect: false,
        expected_ms,
        cost_milli_per_s,
    }
}

/// Builds a stage with a side effect.
pub fn effect(name: &str, pool: &str, expected_ms: u64) -> Stage {
    Stage { effect: true, ..stage(name, pool, expected_ms, 5) }
}

/// Builds a pipeline.
pub fn pipeline(stages: Vec<Stage>, window_ms: u64) -> Pipeline {
    Pipeline { stages, default_window_ms: window_ms, max_window_ms: 60_000 }
}

/// Builds a workspace.
pub fn workspace(weight: u32) -> Workspace {
    Workspace { weight, limit_per_s: 0, pipelines: Vec::new() }
}

fn pool(pool: &'static str, count: usize, service_ms: f64, concurrency: u32) -> PoolSpec {
    let behaviour = Behaviour { service_ms, concurrency, ..Behaviour::default() };
    PoolSpec { pool, count, behaviour }
}

fn engine_pool(count: usize, service_ms: f64, parts: u32) -> PoolSpec {
    let behaviour = Behaviour {
        engine: true,
        service_ms,
        concurrency: 4,
        parts,
        report_lag_ms: 500,
        spread: 0.5,
        ..Behaviour::default()
    };
    PoolSpec { pool: "engines", count, behaviour }
}

fn pipeline_spec(name: &'static str, traffic: u32, pipeline: Pipeline) -> PipelineSpec {
    PipelineSpec { name, pipeline, traffic }
}

fn workspace_spec(name: &'static str, traffic: u32, weight: u32) -> WorkspaceSpec {
    WorkspaceSpec { name, workspace: workspace(weight), traffic }
}

/// Pension statements: 20 engines, three services with 3 upstreams each, among them the records,
/// and three with 5 each.
pub fn qazyna() -> Deployment {
    let encode = || stage("encode", "encoders", 8, 2);
    let records = || stage("retrieve", "records", 15, 4);
    let rerank = || stage("rerank", "rerankers", 10, 3);
    let generate = |ms| stage("generate", "engines", ms, 40);
    Deployment {
        name: "qazyna",
        pools: vec![
            engine_pool(20, 400.0, 8),
            pool("records", 3, 15.0, 8),
            pool("encoders", 3, 8.0, 8),
            pool("rerankers", 3, 10.0, 8),
            pool("clerk-front", 5, 6.0, 8),
            pool("payroll-gateway", 5, 10.0, 8),
            pool("letter-dispatch", 5, 12.0, 8),
        ],
        pipelines: vec![
            pipeline_spec(
                "statement-line",
                5,
                pipeline(vec![encode(), records(), rerank(), generate(400)], 2_000),
            ),
            pipeline_spec("balance-query", 4, pipeline(vec![records(), generate(400)], 2_000)),
            pipeline_spec(
                "clerk-case",
                2,
                pipeline(vec![stage("open", "clerk-front", 6, 1), records(), generate(400)], 2_000),
            ),
            pipeline_spec(
                "payroll-check",
                2,
                pipeline(vec![stage("gateway", "payroll-gateway", 10, 1), generate(400)], 2_000),
            ),
            pipeline_spec(
                "correction-letter",
                1,
                pipeline(
                    vec![records(), generate(400), effect("dispatch", "letter-dispatch", 12)],
                    3_000,
                ),
            ),
        ],
        workspaces: vec![
            workspace_spec("members", 50, 2),
            workspace_spec("branches", 25, 2),
            workspace_spec("employers", 15, 1),
            workspace_spec("audit", 5, 1),
            workspace_spec("press", 5, 1),
        ],
    }
}

/// Milk collection: 12 engines, three services with 3 upstreams each, among them the rounds
/// application and the payments ledger, and two with 5 each.
pub fn teifi() -> Deployment {
    let generate = |ms| stage("generate", "engines", ms, 40);
    Deployment {
        name: "teifi",
        pools: vec![
            engine_pool(12, 400.0, 6),
            pool("rounds-app", 3, 12.0, 8),
            pool("payments-ledger", 3, 15.0, 4),
            pool("lab-records", 5, 20.0, 4),
            pool("depot-gate", 5, 8.0, 4),
            pool("rerankers", 3, 10.0, 8),
        ],
        pipelines: vec![
            pipeline_spec(
                "round-plan",
                4,
                pipeline(
                    vec![
                        stage("retrieve", "rounds-app", 12, 2),
                        stage("rerank", "rerankers", 10, 3),
                        generate(400),
                    ],
                    2_000,
                ),
            ),
            pipeline_spec(
                "sampling-summary",
                3,
                pipeline(vec![stage("retrieve", "lab-records", 20, 2), generate(400)], 2_000),
            ),
            pipeline_spec(
                "collection-due",
                3,
                pipeline(vec![stage("gate", "depot-gate", 8, 1), generate(400)], 2_000),
            ),
            pipeline_spec(
                "payment-note",
                1,
                pipeline(
                    vec![
                        stage("retrieve", "rounds-app", 12, 2),
                        generate(400),
                        effect("post", "payments-ledger", 15),
                    ],
                    3_000,
                ),
            ),
        ],
        workspaces: vec![
            workspace_spec("drivers-day", 45, 2),
            workspace_spec("drivers-late", 25, 2),
            workspace_spec("dispatch", 15, 1),
            workspace_spec("lab", 10, 1),
            workspace_spec("farms", 5, 1),
        ],
    }
}

/// A small deployment for tests and measurements: a pure pipeline of four stages (`answer`) and
/// one whose last stage is a side effect (`letter`), with `count` upstreams in each pool.
pub fn letters(count: usize, plain: Behaviour, engine: Behaviour, window_ms: u64) -> Deployment {
    let pool = |pool, behaviour: &Behaviour| PoolSpec { pool, count, behaviour: behaviour.clone() };
    let plain_stage = |name, pool| stage(name, pool, 5, 1);
    let generate = || stage("generate", "engines", 5, 10);
    let answer = vec![
        plain_stage("encode", "encoders"),
        plain_stage("retrieve", "retrievers"),
        plain_stage("rerank", "rerankers"),
        generate(),
    ];
    let letter =
        vec![plain_stage("retrieve", "retrievers"), generate(), effect("dispatch", "letters", 5)];
    Deployment {
        name: "letters",
        pools: vec![
            pool("encoders", &plain),
            pool("retrievers", &plain),
            pool("rerankers", &plain),
            pool("engines", &engine),
            pool("letters", &plain),
        ],
        pipelines: vec![
            pipeline_spec("answer", 1, pipeline(answer, window_ms)),
            pipeline_spec("letter", 1, pipeline(letter, window_ms)),
        ],
        workspaces: vec![workspace_spec("members", 1, 1)],
    }
}

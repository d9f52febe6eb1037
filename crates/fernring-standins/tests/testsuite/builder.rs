//! A small deployment for tests.

use {
    fernring_standins::{
        caller::Call,
        cluster::{Cluster, ClusterSpec, NodeSpec, nodes_per_domain},
        deployment::letters,
        upstream::{Behaviour, output_of},
    },
    uuid::Uuid,
};

/// Request window, in milliseconds, so long that no test reaches it by accident.
pub(crate) const LONG_WINDOW_MS: u64 = 60_000;

/// Number of upstreams in each pool, one per failure domain.
const PER_POOL: usize = 3;

/// Builds the deployment `letters`: a pure pipeline of four stages (`answer`) and one whose last
/// stage is a side effect (`letter`).
pub(crate) struct Builder {
    nodes: Vec<NodeSpec>,
    extra_settings: String,
    engine: Behaviour,
}

impl Builder {
    pub(crate) fn new() -> Self {
        Self {
            nodes: nodes_per_domain(1),
            extra_settings: String::new(),
            engine: Behaviour { engine: true, parts: 4, ..Behaviour::default() },
        }
    }

    pub(crate) fn nodes(self, nodes: Vec<NodeSpec>) -> Self {
        Self { nodes, ..self }
    }

    pub(crate) fn settings(self, lines: &str) -> Self {
        Self { extra_settings: lines.to_owned(), ..self }
    }

    pub(crate) fn engine(self, engine: Behaviour) -> Self {
        Self { engine: Behaviour { engine: true, ..engine }, ..self }
    }

    pub(crate) async fn start(self) -> Cluster {
        let plain = Behaviour::default();
        let deployment = letters(PER_POOL, plain, self.engine, LONG_WINDOW_MS);
        let spec = ClusterSpec {
            deployment,
            nodes: self.nodes,
            extra_settings: self.extra_settings,
            process_per_upstream: true,
        };
        Cluster::start(spec).await.expect("the deployment starts")
    }
}

/// Returns a request of the workspace `members`.
pub(crate) fn call(input: &str) -> Call {
    Call { workspace: "members".to_owned(), input: input.to_owned(), ..Call::default() }
}

/// Returns a request with a new key.
pub(crate) fn keyed(input: &str) -> Call {
    Call { key: Some(Uuid::now_v7().to_string()), ..call(input) }
}

/// Returns the expected output of the pipeline `answer` for an input.
pub(crate) fn expected_answer(input: &str) -> String {
    ["encode", "retrieve", "rerank", "generate"]
        .iter()
        .fold(input.to_owned(), |text, stage| output_of(stage, &text))
}

/// Returns the expected output of the pipeline `letter` for an input.
pub(crate) fn expected_letter(input: &str) -> String {
    ["retrieve", "generate", "dispatch"]
        .iter()
        .fold(input.to_owned(), |text, stage| output_of(stage, &text))
}

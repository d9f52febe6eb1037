//! What the gateway knows and moves: configuration, upstreams, requests and answers, in
//! fernring's own terms. An adapter decodes them from a platform's formats.

use {
    crate::residency::Residency,
    std::{
        collections::{BTreeSet, HashMap},
        net::SocketAddr,
        sync::Arc,
        time::Duration,
    },
    xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed},
};

slotmap::new_key_type! {
    /// Key of an upstream in the [`crate::directory::Directory`].
    pub struct UpstreamKey;
}

/// What may be repeated of a route's requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryPolicy {
    /// A request may run any number of times.
    Always,
    /// A request may run once.
    Never,
    /// A stream may go on at another upstream after its last whole event.
    Resume,
}

/// One stage of a route: work whose results the request needs before it can run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StageSpec {
    /// Service that does the work.
    pub service: Arc<str>,
    /// Indexes of the stages whose results it needs. Invariant: all below its own.
    pub depends_on: Vec<usize>,
    /// Approximate size of one result, in bytes.
    pub result_bytes: u64,
}

/// A service that a route sends a share of its requests to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: Arc<str>,
    /// Its weight among the route's.
    pub weight: u32,
}

/// A route: which requests go where, and how.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Its name.
    pub name: Arc<str>,
    /// Host that it belongs to, in lower case.
    pub host: String,
    /// Beginning of the paths that it takes.
    pub path_prefix: String,
    /// What may be repeated.
    pub retry_policy: RetryPolicy,
    /// Whether the answer is a stream of events.
    pub streaming: bool,
    /// Longest time that a request is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer (a stream: its first event) is worth most.
    pub objective: Duration,
    /// Longest wait for an event that callers bear; they leave then.
    pub event_gap_max: Duration,
    /// Rank among all requests; 0 goes first.
    pub priority: u32,
    /// The services it sends to. Invariant: not empty, and some weight is above 0.
    pub traffic_split: Vec<WeightedService>,
    /// Most upstreams that one request may be sent to.
    pub attempts_max: u32,
    /// The stages, in order.
    pub stages: Vec<StageSpec>,
    /// Whether requests need no key.
    pub is_public: bool,
    /// Whether requests say what their prompts share.
    pub prefix_affinity: bool,
    /// Where its requests may be served.
    pub residency: Residency,
}

impl Route {
    /// Returns how long a request may wait whose caller waits for `remaining`, if it says so.
    pub fn wait_limit(&self, remaining: Option<Duration>) -> Duration {
        remaining.unwrap_or(self.timeout).min(self.timeout)
    }
}

/// How an upstream of a stage service batches pieces of work.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BatchConfig {
    /// Most pieces in one call.
    pub pieces_max: usize,
    /// Time that a call takes besides its pieces.
    pub call_time: Duration,
    /// Approximate time that a piece adds.
    pub piece_time: Duration,
    /// Room for results, in bytes.
    pub result_capacity_bytes: u64,
    /// How long a result is kept.
    pub result_lifetime: Duration,
}

/// How an upstream of a model service runs requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ModelConfig {
    /// Requests that it runs at once.
    pub slots: u32,
    /// Tokens that fit into its memory.
    pub cache_tokens: u64,
}

/// What a cold upstream bears.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdRateLimit {
    /// Requests a second that it bears from all nodes together.
    pub per_s: f64,
    /// How many times that may be sent in any one second.
    pub overage: f64,
    /// Requests that may be sent in any one second besides.
    pub slack: f64,
}

impl ColdRateLimit {
    /// Returns the most requests that all nodes together may send in any span of this length.
    pub fn max_in_window(&self, window: Duration) -> f64 {
        self.per_s * self.overage * window.as_secs_f64() + self.slack
    }
}

/// A service: upstreams that are alike.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: Arc<str>,
    /// Connections that one upstream takes from all callers together.
    pub connections_max: u32,
    /// Set for a service that works on pieces of stages.
    pub batch: Option<BatchConfig>,
    /// Set for a service of model engines.
    pub model: Option<ModelConfig>,
    /// Set for a service whose cold upstreams bear little.
    pub cold: Option<ColdStart>,
}

/// What the configuration says of cold upstreams of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdStart {
    /// Requests a second that one bears. Invariant: above 0.
    pub per_s: f64,
    /// How long an upstream is cold after its start.
    pub duration: Duration,
}

/// What a caller may send, and how slowly.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest head of a request, in bytes.
    pub head_bytes_max: usize,
    /// Largest body, in bytes.
    pub body_bytes_max: usize,
    /// Longest time for a head, from its first byte.
    pub head_timeout: Duration,
    /// Longest time that a connection stays open without a request.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// In force only until a configuration is known: small, since nothing is served then.
    fn default() -> Self {
        Self {
            head_bytes_max: 16 << 10,
            body_bytes_max: 4 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A workspace that holds keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Workspace {
    /// Its name, which upstreams are told.
    pub name: Arc<str>,
    /// Its rank, which goes before the route's; 0 goes first.
    pub priority: Option<u32>,
    /// Where its requests may be served, besides what a route allows.
    pub residency: Residency,
}

/// One version of the configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ServingConfig {
    /// Its version. Versions rise in uneven steps.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Arc<Route>>,
    /// The services by name.
    pub services: HashMap<Arc<str>, Service>,
    /// What callers may send.
    pub limits: CallerLimits,
    /// Workspaces by the hash of their keys (see [`key_hash`]); `None` if no keys are asked for.
    pub workspaces: Option<HashMap<u64, Arc<Workspace>>>,
}

impl ServingConfig {
    /// Finds the route of a request: the host's longest prefix that begins the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let fits = |route: &&Arc<Route>| {
            path.starts_with(&route.path_prefix) && route.host.eq_ignore_ascii_case(host)
        };
        self.routes.iter().filter(fits).max_by_key(|route| route.path_prefix.len())
    }

    /// Lists the regions that routes and workspaces name.
    pub fn regions(&self) -> BTreeSet<&Arc<str>> {
        let of_routes = self.routes.iter().map(|route| &route.residency);
        let workspaces = self.workspaces.iter().flat_map(|by_key| by_key.values());
        let of_workspaces = workspaces.map(|workspace| &workspace.residency);
        of_routes.chain(of_workspaces).flat_map(Residency::regions).collect()
    }
}

/// Hashes the name of an upstream's instance or of a service, for heartbeats. Two that collide only mislead
/// selection and forecasts.
pub fn short_hash(name: &str) -> u32 {
    xxh3_64(name.as_bytes()) as u32
}

/// Hashes a key, so that configurations hold none in clear.
pub fn api_key_hash(key: &str) -> u64 {
    xxh3_64(key.as_bytes())
}

/// How far a roll-out is, as operators are told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RolloutState {
    /// It is under way.
    Running,
    /// The ordered version serves alone.
    Completed,
    /// The ordered version gets nothing.
    RolledBack,
}

impl RolloutState {
    /// Returns the name used in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::Running => "running",
            Self::Completed => "completed",
            Self::RolledBack => "rolled_back",
        }
    }
}

/// Whether an upstream is to get new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamState {
    /// It takes work.
    Ready,
    /// It is leaving.
    Draining,
}

/// An upstream as its own record describes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamRecord {
    /// Its identity, which a process that starts again may keep.
    pub instance: Arc<str>,
    /// When its process started, in Unix milliseconds; `None` if the record doesn't say. Whatever was known of
    /// the same instance with an earlier start is over.
    pub started_ms: Option<u64>,
    /// Service that it belongs to.
    pub service: Arc<str>,
    /// Its address.
    pub address: SocketAddr,
    /// Its failure domain.
    pub failure_domain: Arc<str>,
    /// Version of its software.
    pub version: Arc<str>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is to get new work.
    pub state: UpstreamState,
    /// How often its process has written its record since its start.
    pub sequence: u64,
    /// How much longer it is cold, when the record was read or told; `None` if what it says of that is no time.
    pub cold_for: Option<Duration>,
}

impl UpstreamRecord {
    /// Returns a short hash of this run of the upstream's process, by which nodes tell each other of it: two starts
    /// of one instance have different ones, so that load of the first isn't counted for the second.
    pub fn incarnation_hash(&self) -> u32 {
        self.incarnation_id() as u32
    }

    /// Returns the same at a length at which two don't collide: what binds an upstream must not bind another.
    pub fn incarnation_id(&self) -> u64 {
        incarnation_id(&self.instance, self.started_ms)
    }
}

/// Hashes a start of an upstream.
pub fn incarnation_id(instance: &str, started_ms: Option<u64>) -> u64 {
    xxh3_64_with_seed(instance.as_bytes(), started_ms.unwrap_or(0))
}

/// A part of a prompt that requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Its identity.
    pub id: u64,
    /// Its length, in tokens.
    pub tokens: u32,
}

/// What a request says of itself.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestFields {
    /// Its identity, unique to this attempt of the caller.
    pub id: Option<Arc<str>>,
    /// How long the caller waits.
    pub remaining: Option<Duration>,
    /// The caller's key.
    pub api_key: Option<String>,
    /// The parts of its prompt, in order; the last is its own.
    pub prompt: Vec<PromptPart>,
    /// Tokens that it may generate.
    pub output_tokens_max: u32,
    /// Number of pieces by stage.
    pub piece_counts: Vec<u32>,
    /// What the pieces of first stages work on.
    pub piece_key: Option<Arc<str>>,
    /// Number of the last event that the caller has of an interrupted stream.
    pub last_event: Option<u64>,
}

/// A field of a request that can't be read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{field} can't be read")]
pub struct BadField {
    /// Name of the field, as the caller sent it.
    pub field: &'static str,
}

/// What an upstream is told besides the caller's own words.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct UpstreamFields {
    /// Time left for the caller.
    pub remaining: Duration,
    /// The run of the upstream that is meant.
    pub instance: Arc<str>,
    /// Name of the caller's workspace.
    pub workspace: Option<Arc<str>>,
    /// Handles of the results that the request needs.
    pub inputs: Vec<Arc<str>>,
    /// Where an interrupted stream goes on; `None` from its beginning.
    pub resume_after: Option<u64>,
}

/// What an answer says of how much its upstream takes.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum LimitHeader {
    /// Nothing: it takes what comes.
    #[default]
    None,
    /// The requests a second that it takes from all nodes together. Invariant: finite and not below 0.
    PerSecond(f64),
    /// Something that is no such number.
    Unreadable,
}

/// What an upstream's answer says of itself.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ResponseFields {
    /// The identity of the request that it answers.
    pub request_id: Option<String>,
    /// Whether it bears the upstream's signature.
    pub is_signed: bool,
    /// Whether it states that the request has not run.
    pub not_run: bool,
    /// Whether it states that another instance has the address. The request has not run then.
    pub wrong_instance: bool,
    /// How long the upstream keeps an idle connection.
    pub idle_timeout: Option<Duration>,
    /// Whether the body is encoded, so that it isn't the upstream's own bytes.
    pub is_encoded: bool,
    /// What it says of how much the upstream takes.
    pub limit: LimitHeader,
}

/// A request of the gateway's own to an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// Its path.
    pub path: &'static str,
    /// Its body, in JSON.
    pub body: bytes::Bytes,
}

/// What a piece works on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PieceInput {
    /// The request's own key, for stages that follow none.
    Key(Arc<str>),
    /// Handles of all results of the stages before.
    Results(Arc<[Arc<str>]>),
}

/// One piece of work of a stage.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Piece {
    /// The request that it belongs to.
    pub request_id: Arc<str>,
    /// Index of its stage.
    pub stage: u32,
    /// Its number within the stage.
    pub number: u32,
    /// What it works on.
    pub input: PieceInput,
    /// Time within which its result is of use.
    pub remaining: Duration,
}

/// What became of a piece.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PieceOutcome {
    /// Its result lies at its maker under this handle.
    Completed(Arc<str>),
    /// Its time was over before its turn came.
    Late,
    /// A result that it needs is gone.
    InputGone,
    /// The maker has no room for the result.
    NoCapacity,
    /// The maker failed.
    Failed,
}

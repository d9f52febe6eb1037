//! The gateway's data model: configuration, upstreams, requests and responses. An adapter decodes
//! them from a platform's formats.

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

/// Largest number of pieces of one stage of a request. Places are allocated for all of them at once.
pub const PIECES_MAX: u32 = 4_096;

/// Which requests of a route may be sent again after a failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryPolicy {
    /// A request may run any number of times.
    Always,
    /// A request may run at most once.
    Never,
    /// A stream may be resumed at another upstream after its last complete event.
    Resume,
}

/// One stage of a route: work whose results a request needs before it can run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StageSpec {
    /// Service that runs the stage.
    pub service: Arc<str>,
    /// Indexes of the stages whose results this one needs. Invariant: all are below its own index.
    pub depends_on: Vec<usize>,
    /// Approximate size of one result, in bytes.
    pub result_bytes: u64,
}

/// A service that gets a share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: Arc<str>,
    /// Weight of the service, relative to the route's other services.
    pub weight: u32,
}

/// A route: matches requests by host and path, and says how they are served.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name of the route.
    pub name: Arc<str>,
    /// Host of the requests, in lower case.
    pub host: String,
    /// Prefix of the requests' paths.
    pub path_prefix: String,
    /// Which requests may be sent again after a failure.
    pub retry_policy: RetryPolicy,
    /// Whether responses are streams of events.
    pub streaming: bool,
    /// Longest time that a request may wait.
    pub timeout: Duration,
    /// Latency objective: time within which an answer (of a stream: its first event) has its full
    /// value.
    pub objective: Duration,
    /// Longest wait for an event before callers disconnect.
    pub event_gap_max: Duration,
    /// Priority rank of the requests; 0 goes first.
    pub priority: u32,
    /// The services that share the route's requests. Invariant: not empty, with at least one weight
    /// above 0.
    pub traffic_split: Vec<WeightedService>,
    /// Largest number of upstreams that one request may be sent to.
    pub attempts_max: u32,
    /// The stages, in order of their indexes.
    pub stages: Vec<StageSpec>,
    /// Whether requests need no API key.
    pub is_public: bool,
    /// Whether requests list the parts of their prompts, so that equal parts can be served by the
    /// same engine.
    pub prefix_affinity: bool,
    /// Regions in which requests may be served.
    pub residency: Residency,
}

impl Route {
    /// Returns how long a request may wait if its caller waits for `remaining`; `None` means that
    /// the caller doesn't say.
    pub fn wait_limit(&self, remaining: Option<Duration>) -> Duration {
        remaining.unwrap_or(self.timeout).min(self.timeout)
    }
}

/// How a worker of a stage service runs batches of pieces.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BatchConfig {
    /// Largest number of pieces in one call.
    pub pieces_max: usize,
    /// Fixed time of a call, in addition to that of its pieces.
    pub call_time: Duration,
    /// Approximate additional time for each piece.
    pub piece_time: Duration,
    /// Memory for results, in bytes.
    pub result_capacity_bytes: u64,
    /// Time for which a worker keeps a result.
    pub result_lifetime: Duration,
}

/// How an engine of a model service runs requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ModelConfig {
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Number of tokens that fit into its cache.
    pub cache_tokens: u64,
}

/// Rate limit of a cold upstream, for the sends of all nodes together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdRateLimit {
    /// Requests per second that the upstream can handle.
    pub per_s: f64,
    /// Factor of that rate that may be sent in any one second.
    pub overage: f64,
    /// Number of requests that may be sent in any one second in addition.
    pub slack: f64,
}

impl ColdRateLimit {
    /// Returns the largest number of requests that all nodes together may send in any window of
    /// this length.
    pub fn max_in_window(&self, window: Duration) -> f64 {
        self.per_s * self.overage * window.as_secs_f64() + self.slack
    }
}

/// A service: a group of equivalent upstreams.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: Arc<str>,
    /// Number of connections that one upstream accepts from all nodes together.
    pub connections_max: u32,
    /// Batching of a stage service; `None` for other services.
    pub batch: Option<BatchConfig>,
    /// Capacity of a model service's engines; `None` for other services.
    pub model: Option<ModelConfig>,
    /// Shortest of the pauses between events that the callers of its routes accept; `None` if any.
    pub event_gap_objective: Option<Duration>,
    /// Limits of the service's cold upstreams; `None` if they need none.
    pub cold: Option<ColdStart>,
}

/// Limits of a service's cold upstreams, as configured.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdStart {
    /// Requests per second that a cold upstream can handle. Invariant: above 0.
    pub per_s: f64,
    /// Time for which an upstream is cold after its start.
    pub duration: Duration,
}

/// Limits on the size and speed of callers' requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest head of a request, in bytes.
    pub head_bytes_max: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes_max: usize,
    /// Longest time for reading a head, from its first byte.
    pub head_timeout: Duration,
    /// Time after which a connection without a request is closed.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// In force only until a configuration is known. The limits are small, since nothing is served
    /// until then.
    fn default() -> Self {
        Self {
            head_bytes_max: 16 << 10,
            body_bytes_max: 4 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A workspace that has API keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Workspace {
    /// Name of the workspace; sent to upstreams.
    pub name: Arc<str>,
    /// Priority rank of its requests, which overrides the route's; 0 goes first.
    pub priority: Option<u32>,
    /// Regions in which its requests may be served; the route's regions apply as well.
    pub residency: Residency,
}

/// One version of the configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ServingConfig {
    /// Version number. Versions rise, not necessarily by 1.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Arc<Route>>,
    /// The services, by name.
    pub services: HashMap<Arc<str>, Service>,
    /// Limits on callers' requests.
    pub limits: CallerLimits,
    /// Workspaces by the hash of their API keys (see [`api_key_hash`]); `None` if no keys are
    /// required.
    pub workspaces: Option<HashMap<u64, Arc<Workspace>>>,
}

impl ServingConfig {
    /// Finds the route of a request: the one of its host with the longest matching path prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let matches = |route: &&Arc<Route>| {
            path.starts_with(&route.path_prefix) && route.host.eq_ignore_ascii_case(host)
        };
        self.routes.iter().filter(matches).max_by_key(|route| route.path_prefix.len())
    }

    /// Returns all regions that routes and workspaces name.
    pub fn regions(&self) -> BTreeSet<&Arc<str>> {
        let of_routes = self.routes.iter().map(|route| &route.residency);
        let workspaces = self.workspaces.iter().flat_map(|by_key| by_key.values());
        let of_workspaces = workspaces.map(|workspace| &workspace.residency);
        of_routes.chain(of_workspaces).flat_map(Residency::regions).collect()
    }
}

/// Hashes the name of an upstream's incarnation or of a service, for heartbeats. A collision only
/// degrades upstream selection and forecasts.
pub fn short_hash(name: &str) -> u32 {
    xxh3_64(name.as_bytes()) as u32
}

/// Hashes an API key, so that configurations contain no keys in clear text.
pub fn api_key_hash(key: &str) -> u64 {
    xxh3_64(key.as_bytes())
}

/// State of a roll-out, as reported to operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RolloutState {
    /// The roll-out is running.
    Running,
    /// The destination version gets all requests.
    Completed,
    /// The destination version gets no requests.
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

/// Whether an upstream accepts new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamState {
    /// It accepts new work.
    Ready,
    /// It is leaving and accepts no new work.
    Draining,
}

/// An upstream, as its own record in the store describes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamRecord {
    /// Instance name; stays the same if the process restarts under this name.
    pub instance: Arc<str>,
    /// Start time of the process, in Unix milliseconds; `None` if the record doesn't contain it. A
    /// later start of the same instance replaces the earlier one with all its state.
    pub started_ms: Option<u64>,
    /// Service of the upstream.
    pub service: Arc<str>,
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Failure domain of the upstream.
    pub failure_domain: Arc<str>,
    /// Software version of the upstream.
    pub version: Arc<str>,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it accepts new work.
    pub state: UpstreamState,
    /// Number of times that the process has written its record since its start.
    pub sequence: u64,
    /// Time for which the upstream stays cold, from when the record was read or received; `None` if
    /// the record's value is no valid time.
    pub cold_for: Option<Duration>,
}

impl UpstreamRecord {
    /// Returns a short hash of this incarnation of the upstream's process, which nodes use in their
    /// heartbeats. Two starts of one instance have different hashes, so that the load of the first
    /// isn't counted for the second.
    pub fn incarnation_hash(&self) -> u32 {
        self.incarnation_id() as u32
    }

    /// Returns a hash of this incarnation that is long enough never to collide in practice: a limit
    /// of one upstream must not apply to another.
    pub fn incarnation_id(&self) -> u64 {
        incarnation_id(&self.instance, self.started_ms)
    }
}

/// Hashes the instance and start time of an upstream's process.
pub fn incarnation_id(instance: &str, started_ms: Option<u64>) -> u64 {
    xxh3_64_with_seed(instance.as_bytes(), started_ms.unwrap_or(0))
}

/// A part of a prompt that several requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifier of the part.
    pub id: u64,
    /// Length of the part, in tokens.
    pub tokens: u32,
}

/// The gateway's own fields in a caller's request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestFields {
    /// Identifier of the request, unique for each attempt of the caller.
    pub id: Option<Arc<str>>,
    /// How long the caller waits.
    pub remaining: Option<Duration>,
    /// The caller's API key.
    pub api_key: Option<String>,
    /// The parts of its prompt, in order; the last part belongs to this request alone.
    pub prompt: Vec<PromptPart>,
    /// Largest number of tokens that may be generated.
    pub output_tokens_max: u32,
    /// Number of pieces by stage.
    pub piece_counts: Vec<u32>,
    /// Input key for the pieces of stages that depend on no other stage.
    pub piece_key: Option<Arc<str>>,
    /// Number of the last event that the caller received of an interrupted stream.
    pub last_event: Option<u64>,
    /// The caller's earlier request that brought the first event of the stream.
    pub resumes: Option<Arc<str>>,
}

impl RequestFields {
    /// Returns the parts of the prompt that other requests may share: all but the last.
    pub fn shared_parts(&self) -> &[PromptPart] {
        self.prompt.split_last().map_or(&[], |(_, shared)| shared)
    }
}

/// A field of a request is malformed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{field} can't be read")]
pub struct BadField {
    /// Name of the field in the caller's request.
    pub field: &'static str,
}

/// Fields that the gateway adds to a request to an upstream.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct UpstreamFields {
    /// Time until the caller gives up.
    pub remaining: Duration,
    /// Instance that the request is addressed to.
    pub instance: Arc<str>,
    /// Name of the caller's workspace.
    pub workspace: Option<Arc<str>>,
    /// Handles of the stage results that the request needs.
    pub inputs: Vec<Arc<str>>,
    /// Number of the event after which an interrupted stream resumes; `None` to start from the
    /// beginning.
    pub resume_after: Option<u64>,
}

/// Rate limit that an upstream announces in a response.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum LimitHeader {
    /// No limit is announced.
    #[default]
    None,
    /// Requests per second that the upstream accepts from all nodes together. Invariant: finite and
    /// not negative.
    PerSecond(f64),
    /// The announced value is no valid limit.
    Unreadable,
}

/// Whether an upstream announces in a response that it is leaving.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LeavingHeader {
    /// It doesn't.
    #[default]
    None,
    /// It is leaving.
    Leaving,
    /// The announced value has no known meaning.
    Unreadable,
}

/// Pause that an upstream requests in a response by which it rejects a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum BackoffHeader {
    /// No pause is requested.
    #[default]
    None,
    /// How long the upstream wants no requests from this node.
    For(Duration),
    /// The requested pause is no valid duration.
    Unreadable,
}

/// Load of an upstream as it reports it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReportedLoad {
    /// Number of requests that it runs.
    pub running: u32,
    /// Number of requests that wait there.
    pub waiting: u32,
    /// Number of requests that it runs concurrently at most.
    pub slots: u32,
    /// Factor by which work takes longer than usual on its VM at the moment; `None` if it doesn't
    /// say. Invariant: finite and above 0.
    pub slowdown: Option<f64>,
}

/// Whether an upstream reports its load in a response.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum LoadHeader {
    /// It doesn't.
    #[default]
    None,
    /// The reported load.
    Reported(ReportedLoad),
    /// The reported value is no valid load.
    Unreadable,
}

/// The gateway's own fields in an upstream's response.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ResponseFields {
    /// Identifier of the request that the response belongs to.
    pub request_id: Option<String>,
    /// Whether it carries the upstream's signature.
    pub is_signed: bool,
    /// Whether it states that the request did not run.
    pub not_run: bool,
    /// Whether it states that another instance has this address. The request did not run in that
    /// case.
    pub wrong_instance: bool,
    /// How long the upstream keeps an idle connection open.
    pub idle_timeout: Option<Duration>,
    /// Whether the body has a content encoding, so that its bytes are not those that the upstream
    /// generated.
    pub is_encoded: bool,
    /// The announced rate limit.
    pub limit: LimitHeader,
    /// How many requests the upstream may reject within a second, if it is brittle.
    pub brittle: LimitHeader,
    /// Whether the upstream is leaving.
    pub leaving: LeavingHeader,
    /// The requested pause.
    pub backoff: BackoffHeader,
    /// The reported load.
    pub load: LoadHeader,
}

/// A request that the gateway itself makes to an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// Path of the request.
    pub path: &'static str,
    /// Body of the request, in JSON.
    pub body: bytes::Bytes,
}

/// Input of a piece.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PieceInput {
    /// The request's input key, for stages that depend on no other stage.
    Key(Arc<str>),
    /// Handles of all results of the stages that this one depends on.
    Results(Arc<[Arc<str>]>),
}

/// One piece of a stage's work.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Piece {
    /// Identifier of the request.
    pub request_id: Arc<str>,
    /// Index of the stage.
    pub stage: u32,
    /// Number of the piece within the stage.
    pub number: u32,
    /// Input of the piece.
    pub input: PieceInput,
    /// Time after which the result is useless.
    pub remaining: Duration,
}

/// Outcome of a piece.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PieceOutcome {
    /// The worker stores the result under this handle.
    Completed(Arc<str>),
    /// Its time was over before the worker started it.
    Late,
    /// A result that it needs no longer exists.
    InputGone,
    /// The worker has no capacity for the result.
    NoCapacity,
    /// The worker failed.
    Failed,
}

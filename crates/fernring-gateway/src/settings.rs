//! What a gateway process needs to start, checked in one place.

use {
    crate::{budget::Allowance, following::SMALLEST_LINK_BYTES_PER_S, residency::Regions},
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, net::SocketAddr, path::Path, time::Duration},
    thiserror::Error,
};

/// Bytes a second of one Mbit/s.
const BYTES_PER_S_OF_MBPS: f64 = 1e6 / 8.0;

/// Shortest bound that evacuations can be held to, in milliseconds: a node that has lost its reader asks the store after
/// 1.7 s, and the store may take a quarter of a second to answer.
const EVACUATION_MS_MIN: f64 = 2_000.0;

/// The settings of a gateway.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The node itself.
    pub node: NodeSettings,
    /// The platform's store.
    pub store: StoreSettings,
    /// The retry budget that all nodes share.
    #[serde(default)]
    pub retries: RetrySettings,
    /// What cold upstreams may be sent.
    #[serde(default)]
    pub cold: ColdSettings,
    /// What a version that is rolled out may get if it is bad.
    #[serde(default)]
    pub rollout: RolloutSettings,
    /// Failure domains that operators evacuate.
    #[serde(default)]
    pub evacuation: EvacuationSettings,
    /// The region of each failure domain. What is restricted to regions isn't served in a domain that is missing here.
    #[serde(default)]
    pub regions: BTreeMap<String, String>,
    /// Shutting down.
    #[serde(default)]
    pub shutdown: ShutdownSettings,
    /// Log lines.
    #[serde(default)]
    pub log: LogSettings,
    /// Mechanisms of the policy.
    #[serde(default)]
    pub decide: DecideSettings,
}

/// Mechanisms of the policy under load. All are on; each can be switched off to measure what it is
/// worth on a deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct DecideSettings {
    /// Requests are taken on or refused at arrival, by a forecast of their whole path.
    pub admission: bool,
    /// Late pieces are given up once what comes leaves no time for them.
    pub give_up: bool,
    /// The pieces of a request's stage are kept together in one call.
    pub whole_works: bool,
    /// More urgent ranks go ahead in queues.
    pub ranks: bool,
    /// Pieces are made in the failure domain where large results are read or lie.
    pub placing: bool,
    /// Requests that share parts of prompts meet at the same model engines.
    pub prefixes: bool,
    /// The pieces of an overdue call are given to another maker as well.
    pub copies: bool,
    /// Large results are made late, just before they are read.
    pub made_late: bool,
    /// Requests are turned away that upstreams ended under.
    pub turn_away: bool,
}

impl DecideSettings {
    /// All mechanisms on.
    pub const ALL: Self = Self {
        admission: true,
        give_up: true,
        whole_works: true,
        ranks: true,
        placing: true,
        prefixes: true,
        copies: true,
        made_late: true,
        turn_away: true,
    };
}

impl Default for DecideSettings {
    fn default() -> Self {
        Self::ALL
    }
}

/// Who the node is and where it listens.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// Name, for log lines.
    pub name: String,
    /// Its failure domain.
    pub failure_domain: String,
    /// Where callers connect, `ip:port`.
    pub caller_address: SocketAddr,
    /// Where the balancer asks whether the node is ready, `ip:port`.
    pub ready_address: SocketAddr,
    /// Where other nodes connect, `ip:port`.
    pub peer_address: SocketAddr,
    /// Peer addresses of some nodes, which may be stale.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// What its link carries, in Mbit/s: half of it at most is used to pass records on to other nodes.
    #[serde(default = "default_link_mbps")]
    pub link_mbps: f64,
}

/// The smallest link that is in use, for a node whose own isn't known.
fn default_link_mbps() -> f64 {
    SMALLEST_LINK_BYTES_PER_S / BYTES_PER_S_OF_MBPS
}

impl Settings {
    /// Returns the region of each failure domain.
    pub fn regions(&self) -> Regions {
        Regions::new(self.regions.iter().map(|(domain, region)| (domain.as_str(), region.as_str())))
    }
}

impl NodeSettings {
    /// Returns what its link carries, in bytes a second.
    pub fn link_bytes_per_s(&self) -> f64 {
        self.link_mbps * BYTES_PER_S_OF_MBPS
    }
}

/// Where the platform's store is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    /// Its address, `ip:port`.
    pub address: SocketAddr,
}

/// What all nodes together may send beyond the first send of each request.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RetrySettings {
    /// Extra sends for each request to a service.
    pub ratio: f64,
    /// Extra sends in a window besides.
    pub slack: f64,
    /// The window, in seconds.
    pub window_s: f64,
}

impl Default for RetrySettings {
    /// A fifth, the ratio of both users; no slack.
    fn default() -> Self {
        Self { ratio: 0.2, slack: 0.0, window_s: 10.0 }
    }
}

impl RetrySettings {
    /// Returns the allowance.
    pub fn allowance(&self) -> Allowance {
        Allowance {
            ratio: self.ratio,
            slack: self.slack,
            window: Duration::from_secs_f64(self.window_s),
        }
    }
}

/// What all nodes together may send to a cold upstream, beside what the configuration says that it bears.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ColdSettings {
    /// How many times what it bears in a second may be sent in any one second.
    pub overage: f64,
    /// Requests that may be sent in any one second besides.
    pub slack: f64,
}

impl Default for ColdSettings {
    /// What it bears and no more.
    fn default() -> Self {
        Self { overage: 1.0, slack: 0.0 }
    }
}

/// What a version that is rolled out may get of the requests to its service until the deadline, if it is bad.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RolloutSettings {
    /// Part of the requests.
    pub share: f64,
    /// Requests besides.
    pub slack: f64,
}

impl Default for RolloutSettings {
    /// A twentieth, and enough requests for a service with few to be judged.
    fn default() -> Self {
        Self { share: 0.05, slack: 20.0 }
    }
}

/// When an evacuation has to be in force.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EvacuationSettings {
    /// Longest time from an operator's word to the last new request there, in milliseconds.
    pub within_ms: f64,
}

impl EvacuationSettings {
    /// Returns that time.
    pub fn within(&self) -> Duration {
        Duration::from_secs_f64(self.within_ms / 1_000.0)
    }
}

impl Default for EvacuationSettings {
    /// The users' bound.
    fn default() -> Self {
        Self { within_ms: 5_000.0 }
    }
}

/// How the node shuts down.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ShutdownSettings {
    /// Time between the signal and the end of the process at the latest, in seconds.
    pub grace_s: f64,
    /// Time until idle connections are closed, in seconds: the balancer has looked twice by then,
    /// and callers have been told to connect elsewhere.
    pub leave_s: f64,
}

impl Default for ShutdownSettings {
    /// The users' grace of eight seconds; three to leave.
    fn default() -> Self {
        Self { grace_s: 8.0, leave_s: 3.0 }
    }
}

/// Which log lines are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Lines of decisions as well, not only of what an operator should look at.
    pub decisions: bool,
    /// Most bytes a second that are written; what is over is counted and left out.
    pub bytes_per_s: u32,
}

impl Default for LogSettings {
    /// All lines, up to 32 KB a second: twice what a node writes in a burst.
    fn default() -> Self {
        Self { decisions: true, bytes_per_s: 256 << 10 }
    }
}

/// Settings that can't be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("{path}: {error}")]
    Unreadable {
        /// The file.
        path: String,
        /// Why.
        error: std::io::Error,
    },
    /// A key is missing, unknown or of another type.
    #[error("{origin}: {error}")]
    Malformed {
        /// The file.
        origin: String,
        /// Where and what.
        error: Box<toml::de::Error>,
    },
    /// A value is not allowed.
    #[error("{origin}: {key}: {problem}")]
    InvalidValue {
        /// The file.
        origin: String,
        /// The key.
        key: &'static str,
        /// What is allowed.
        problem: &'static str,
    },
}

/// Reads and checks a settings file.
///
/// # Errors
/// If it can't be read or a value is not allowed.
pub fn load(path: &Path) -> Result<Settings, SettingsError> {
    let origin = path.display().to_string();
    let text = std::fs::read_to_string(path)
        .map_err(|error| SettingsError::Unreadable { path: origin.clone(), error })?;
    parse(&text, &origin)
}

/// Parses and checks settings; `origin` names them in errors.
///
/// # Errors
/// If a key is unknown or a value is not allowed.
pub fn parse(text: &str, origin: &str) -> Result<Settings, SettingsError> {
    let settings: Settings = toml::from_str(text).map_err(|error| SettingsError::Malformed {
        origin: origin.to_owned(),
        error: Box::new(error),
    })?;
    let not_allowed =
        |key, problem| Err(SettingsError::InvalidValue { origin: origin.to_owned(), key, problem });
    if !(0.001..=1e6).contains(&settings.node.link_mbps) {
        return not_allowed("node.link_mbps", "must lie between 0.001 and 1000000");
    }
    if settings.regions.iter().any(|(domain, region)| domain.is_empty() || region.is_empty()) {
        return not_allowed("regions", "must not name an empty failure domain or region");
    }
    let retries = settings.retries;
    if !(0.0..=10.0).contains(&retries.ratio) {
        return not_allowed("retries.ratio", "must lie between 0 and 10");
    }
    if !(0.0..=1e6).contains(&retries.slack) {
        return not_allowed("retries.slack", "must lie between 0 and 1000000");
    }
    if !(0.1..=3_600.0).contains(&retries.window_s) {
        return not_allowed("retries.window_s", "must lie between 0.1 and 3600");
    }
    let cold = settings.cold;
    if !(1.0..=100.0).contains(&cold.overage) {
        return not_allowed("cold.overage", "must lie between 1 and 100");
    }
    if !(0.0..=1e6).contains(&cold.slack) {
        return not_allowed("cold.slack", "must lie between 0 and 1000000");
    }
    let rollout = settings.rollout;
    if !(0.0..=1.0).contains(&rollout.share) {
        return not_allowed("rollout.share", "must lie between 0 and 1");
    }
    if !(0.0..=1e6).contains(&rollout.slack) {
        return not_allowed("rollout.slack", "must lie between 0 and 1000000");
    }
    if !(EVACUATION_MS_MIN..=3_600_000.0).contains(&settings.evacuation.within_ms) {
        return not_allowed("evacuation.within_ms", "must lie between 2000 and 3600000");
    }
    let shutdown = settings.shutdown;
    if !(0.0..=3_600.0).contains(&shutdown.grace_s) {
        return not_allowed("shutdown.grace_s", "must lie between 0 and 3600");
    }
    if !(0.0..=shutdown.grace_s).contains(&shutdown.leave_s) {
        return not_allowed("shutdown.leave_s", "must lie between 0 and shutdown.grace_s");
    }
    Ok(settings)
}

//! Settings of a gateway process, with their checks.

use {
    crate::{budget::Allowance, residency::Regions, tailing::MIN_LINK_BYTES_PER_S},
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, net::SocketAddr, path::Path, time::Duration},
    thiserror::Error,
};

/// Bytes per second in one Mbit/s.
const BYTES_PER_S_OF_MBPS: f64 = 1e6 / 8.0;

/// Smallest allowed time for an operator's record to reach all nodes, in milliseconds: longer than a
/// node of a small fleet that has lost its reader takes to ask the store itself and read the
/// response.
const PROPAGATION_MS_MIN: f64 = 2_000.0;

/// The settings of a gateway.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The node.
    pub node: NodeSettings,
    /// The platform's store.
    pub store: StoreSettings,
    /// The retry budget, shared by all nodes.
    #[serde(default)]
    pub retries: RetrySettings,
    /// Limits on requests to cold upstreams.
    #[serde(default)]
    pub cold: ColdSettings,
    /// Limits on the requests that a bad version may get during its roll-out.
    #[serde(default)]
    pub rollout: RolloutSettings,
    /// Propagation of the configuration.
    #[serde(default)]
    pub configuration: ConfigurationSettings,
    /// Evacuation of failure domains.
    #[serde(default)]
    pub evacuation: EvacuationSettings,
    /// The region of each failure domain. Requests that are restricted to regions are not served in
    /// a domain that is missing here.
    #[serde(default)]
    pub regions: BTreeMap<String, String>,
    /// Shutdown of the node.
    #[serde(default)]
    pub shutdown: ShutdownSettings,
    /// Logging.
    #[serde(default)]
    pub log: LogSettings,
    /// Mechanisms for handling load.
    #[serde(default)]
    pub decide: DecideSettings,
}

/// Mechanisms for handling load. Those listed here are on by default; each can be switched off to
/// measure its effect on a deployment. Those of [`LoadControlSettings`] are off by default.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct DecideSettings {
    /// Admits or refuses requests on arrival, by a forecast of their complete path.
    pub admission: bool,
    /// Abandons late pieces if the expected arrivals leave no time for them.
    pub give_up: bool,
    /// Keeps the pieces of a request's stage together in one call.
    pub whole_works: bool,
    /// Serves requests of a more urgent priority rank first.
    pub ranks: bool,
    /// Runs pieces in the failure domain where large results are read or stored.
    pub placing: bool,
    /// Sends requests that share parts of their prompts to the same model engines.
    pub prefixes: bool,
    /// Sends the pieces of an overdue call to a second worker as well.
    pub copies: bool,
    /// Delays large results until just before they are read.
    pub made_late: bool,
    /// Quarantines requests under which upstreams crashed.
    pub turn_away: bool,
    /// Mechanisms for services that get more requests than they can serve.
    pub load_control: LoadControlSettings,
}

/// Mechanisms for services that get more requests than they can serve, and for upstreams of unequal
/// speed. All are off by default.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LoadControlSettings {
    /// Admits requests by the share of their rank that the owners of the stage services publish.
    pub shares: bool,
    /// Divides the share of a rank fairly among workspaces.
    pub workspace_shares: bool,
    /// Spreads the retries of refused callers over the time in which capacity becomes free.
    pub paced_retries: bool,
    /// Chooses stage workers and sizes their calls by their speed.
    pub worker_speeds: bool,
    /// Chooses model engines by their speed, and limits the prefill beside running streams.
    pub engine_speeds: bool,
}

impl DecideSettings {
    /// All mechanisms on but those for services that get more requests than they can serve.
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
        load_control: LoadControlSettings {
            shares: false,
            workspace_shares: false,
            paced_retries: false,
            worker_speeds: false,
            engine_speeds: false,
        },
    };
}

impl Default for DecideSettings {
    fn default() -> Self {
        Self::ALL
    }
}

/// Identity and addresses of the node.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// Name of the node, for log lines.
    pub name: String,
    /// Failure domain of the node.
    pub failure_domain: String,
    /// Address for callers, `ip:port`.
    pub caller_address: SocketAddr,
    /// Address for the balancer's readiness checks, `ip:port`.
    pub ready_address: SocketAddr,
    /// Address for other nodes, `ip:port`.
    pub peer_address: SocketAddr,
    /// Peer addresses of some nodes; some may be outdated.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Bandwidth of the node's link, in Mbit/s. At most half of it is used to send records to other
    /// nodes.
    #[serde(default = "default_link_mbps")]
    pub link_mbps: f64,
}

/// Default bandwidth: that of the smallest link in use.
fn default_link_mbps() -> f64 {
    MIN_LINK_BYTES_PER_S / BYTES_PER_S_OF_MBPS
}

impl Settings {
    /// Returns the region of each failure domain.
    pub fn regions(&self) -> Regions {
        Regions::new(self.regions.iter().map(|(domain, region)| (domain.as_str(), region.as_str())))
    }
}

impl NodeSettings {
    /// Returns the bandwidth of the node's link, in bytes per second.
    pub fn link_bytes_per_s(&self) -> f64 {
        self.link_mbps * BYTES_PER_S_OF_MBPS
    }
}

/// The platform's store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    /// Address of the store, `ip:port`.
    pub address: SocketAddr,
}

/// Limit on what all nodes together may send in addition to the first send of each request.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RetrySettings {
    /// Extra sends allowed per request to a service.
    pub ratio: f64,
    /// Extra sends allowed per window in addition.
    pub slack: f64,
    /// Length of the window, in seconds.
    pub window_s: f64,
}

impl Default for RetrySettings {
    /// A fifth of the requests, without slack.
    fn default() -> Self {
        Self { ratio: 0.2, slack: 0.0, window_s: 10.0 }
    }
}

impl RetrySettings {
    /// Returns the allowance of the retry budget.
    pub fn allowance(&self) -> Allowance {
        Allowance {
            ratio: self.ratio,
            slack: self.slack,
            window: Duration::from_secs_f64(self.window_s),
        }
    }
}

/// Limits on what all nodes together may send to a cold upstream, relative to its configured rate.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ColdSettings {
    /// Factor of the configured rate that may be sent in any one second.
    pub overage: f64,
    /// Number of requests that may be sent in any one second in addition.
    pub slack: f64,
}

impl Default for ColdSettings {
    /// The configured rate and no more.
    fn default() -> Self {
        Self { overage: 1.0, slack: 0.0 }
    }
}

/// Limits on the requests to a service that a bad version may get until the roll-out's deadline.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RolloutSettings {
    /// Share of the service's requests.
    pub share: f64,
    /// Number of requests in addition to the share.
    pub slack: f64,
}

impl Default for RolloutSettings {
    /// A twentieth of the requests, and enough in addition to judge a version on a service with few
    /// requests.
    fn default() -> Self {
        Self { share: 0.05, slack: 20.0 }
    }
}

/// Propagation of the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ConfigurationSettings {
    /// Longest time from an operator's change until it is in force on all nodes, in milliseconds.
    pub within_ms: f64,
}

impl ConfigurationSettings {
    /// Returns the longest time from an operator's change until it is in force on all nodes.
    pub fn within(&self) -> Duration {
        Duration::from_secs_f64(self.within_ms / 1_000.0)
    }
}

impl Default for ConfigurationSettings {
    /// Five seconds.
    fn default() -> Self {
        Self { within_ms: 5_000.0 }
    }
}

/// Evacuation of failure domains.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EvacuationSettings {
    /// Longest time from an operator's order until the domain gets no new request, in milliseconds.
    pub within_ms: f64,
}

impl EvacuationSettings {
    /// Returns the longest time from an operator's order until the domain gets no new request.
    pub fn within(&self) -> Duration {
        Duration::from_secs_f64(self.within_ms / 1_000.0)
    }
}

impl Default for EvacuationSettings {
    /// Five seconds.
    fn default() -> Self {
        Self { within_ms: 5_000.0 }
    }
}

/// Shutdown of the node.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ShutdownSettings {
    /// Longest time from the signal to the end of the process, in seconds.
    pub grace_s: f64,
    /// Time until idle connections are closed, in seconds. Must be long enough for the balancer to
    /// check the node twice and for callers to be told to connect elsewhere.
    pub leave_s: f64,
}

impl Default for ShutdownSettings {
    /// A grace period of eight seconds, with idle connections closed after three.
    fn default() -> Self {
        Self { grace_s: 8.0, leave_s: 3.0 }
    }
}

/// Logging.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Whether lines of decisions are written too, not only warnings for operators.
    pub decisions: bool,
    /// Largest number of bytes written per second; lines beyond that are counted and dropped.
    pub bytes_per_s: u32,
}

impl Default for LogSettings {
    /// All lines, up to 256 KB per second.
    fn default() -> Self {
        Self { decisions: true, bytes_per_s: 256 << 10 }
    }
}

/// Error in the settings.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("{path}: {error}")]
    Unreadable {
        /// Path of the file.
        path: String,
        /// The I/O error.
        error: std::io::Error,
    },
    /// A key is missing, unknown or has a value of another type.
    #[error("{origin}: {error}")]
    Malformed {
        /// Path of the file.
        origin: String,
        /// Position and description.
        error: Box<toml::de::Error>,
    },
    /// A value is out of its allowed range.
    #[error("{origin}: {key}: {problem}")]
    InvalidValue {
        /// Path of the file.
        origin: String,
        /// Name of the key.
        key: &'static str,
        /// Description of the allowed values.
        problem: &'static str,
    },
}

/// Reads and checks a settings file.
///
/// # Errors
/// Returns an error if the file can't be read or its content is invalid.
pub fn load(path: &Path) -> Result<Settings, SettingsError> {
    let origin = path.display().to_string();
    let text = std::fs::read_to_string(path)
        .map_err(|error| SettingsError::Unreadable { path: origin.clone(), error })?;
    parse(&text, &origin)
}

/// Parses and checks settings; `origin` names their source in errors.
///
/// # Errors
/// Returns an error if a key is unknown or a value is not allowed.
pub fn parse(text: &str, origin: &str) -> Result<Settings, SettingsError> {
    let settings: Settings = toml::from_str(text).map_err(|error| SettingsError::Malformed {
        origin: origin.to_owned(),
        error: Box::new(error),
    })?;
    let invalid =
        |key, problem| Err(SettingsError::InvalidValue { origin: origin.to_owned(), key, problem });
    if !(0.001..=1e6).contains(&settings.node.link_mbps) {
        return invalid("node.link_mbps", "must lie between 0.001 and 1000000");
    }
    if settings.regions.iter().any(|(domain, region)| domain.is_empty() || region.is_empty()) {
        return invalid("regions", "must not name an empty failure domain or region");
    }
    let retries = settings.retries;
    if !(0.0..=10.0).contains(&retries.ratio) {
        return invalid("retries.ratio", "must lie between 0 and 10");
    }
    if !(0.0..=1e6).contains(&retries.slack) {
        return invalid("retries.slack", "must lie between 0 and 1000000");
    }
    if !(0.1..=3_600.0).contains(&retries.window_s) {
        return invalid("retries.window_s", "must lie between 0.1 and 3600");
    }
    let cold = settings.cold;
    if !(1.0..=100.0).contains(&cold.overage) {
        return invalid("cold.overage", "must lie between 1 and 100");
    }
    if !(0.0..=1e6).contains(&cold.slack) {
        return invalid("cold.slack", "must lie between 0 and 1000000");
    }
    let rollout = settings.rollout;
    if !(0.0..=1.0).contains(&rollout.share) {
        return invalid("rollout.share", "must lie between 0 and 1");
    }
    if !(0.0..=1e6).contains(&rollout.slack) {
        return invalid("rollout.slack", "must lie between 0 and 1000000");
    }
    if !(PROPAGATION_MS_MIN..=3_600_000.0).contains(&settings.configuration.within_ms) {
        return invalid("configuration.within_ms", "must lie between 2000 and 3600000");
    }
    if !(PROPAGATION_MS_MIN..=3_600_000.0).contains(&settings.evacuation.within_ms) {
        return invalid("evacuation.within_ms", "must lie between 2000 and 3600000");
    }
    let shutdown = settings.shutdown;
    if !(0.0..=3_600.0).contains(&shutdown.grace_s) {
        return invalid("shutdown.grace_s", "must lie between 0 and 3600");
    }
    if !(0.0..=shutdown.grace_s).contains(&shutdown.leave_s) {
        return invalid("shutdown.leave_s", "must lie between 0 and shutdown.grace_s");
    }
    Ok(settings)
}

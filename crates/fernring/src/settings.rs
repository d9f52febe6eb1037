//! The settings that a process needs to start. Everything else is configuration on the log service.
//!
//! Settings are loaded and checked only in this module. An error names the file, the key, the
//! value and the allowed values.

use {
    crate::logs::LogLevel,
    fernring_core::text::is_name,
    fernring_policy::{membership::PeerHint, settings::PolicySettings},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, path::Path},
    thiserror::Error,
};

/// Upper bound of the size limits for bodies and answers, in bytes: each must fit into a frame between nodes.
const MESSAGE_MAX_BYTES: u64 = fernring_protocol::FRAME_MAX_BYTES as u64 / 2;

/// All settings of a node.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Failure domain, addresses and threads of the process.
    pub node: NodeSettings,
    /// Log service and VM list of the platform.
    pub platform: PlatformSettings,
    /// Communication with other nodes.
    #[serde(default)]
    pub peers: PeerSettings,
    /// Limits on callers and upstream connections.
    #[serde(default)]
    pub limits: LimitSettings,
    /// Shutdown of the node.
    #[serde(default)]
    pub drain: DrainSettings,
    /// Logging.
    #[serde(default)]
    pub log: LogSettings,
    /// Settings of the dispatcher's decisions.
    #[serde(default)]
    pub policy: PolicySettings,
}

/// Table `[node]`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// Failure domain of the VM.
    pub failure_domain: String,
    /// Address for callers and operators; with port 0 a free port is chosen.
    pub caller_address: SocketAddr,
    /// Address for other nodes; with port 0 a free port is chosen. Connections to other nodes, upstreams
    /// and the platform use its IP address as their source.
    pub peer_address: SocketAddr,
    /// Address at which other nodes reach this one, if it differs from `peer_address`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peer_advertised: Option<SocketAddr>,
    /// Number of threads that serve requests.
    #[serde(default = "default_worker_threads")]
    pub worker_threads: usize,
}

fn default_worker_threads() -> usize {
    2
}

/// Table `[platform]`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Address of the log service.
    pub log_address: SocketAddr,
    /// Address of the VM list.
    pub vm_list_address: SocketAddr,
    /// Timeout for responses of the platform's services, in milliseconds.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u64,
    /// How long the log keeps records, in milliseconds.
    #[serde(default = "default_log_retention_ms")]
    pub log_retention_ms: u64,
    /// How often the VM list is read, in milliseconds.
    #[serde(default = "default_vm_list_every_ms")]
    pub vm_list_every_ms: u64,
}

fn default_timeout_ms() -> u64 {
    1_000
}

fn default_log_retention_ms() -> u64 {
    86_400_000
}

fn default_vm_list_every_ms() -> u64 {
    1_000
}

/// Table `[peers]`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PeerSettings {
    /// Nodes to contact before the VM list is known.
    pub seeds: Vec<Seed>,
    /// How often heartbeats are exchanged, in milliseconds.
    pub heartbeat_ms: u64,
    /// Most open connections from other nodes.
    pub connections_max: usize,
    /// How often reports of the failure domain's upstreams are polled, in milliseconds.
    pub report_every_ms: u64,
    /// How long a grant to order engines is valid, in milliseconds.
    pub grant_valid_ms: u64,
}

impl Default for PeerSettings {
    fn default() -> Self {
        Self {
            seeds: Vec::new(),
            heartbeat_ms: 500,
            connections_max: 1_024,
            report_every_ms: 500,
            grant_valid_ms: 10_000,
        }
    }
}

/// A node to contact before the VM list is known.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Seed {
    /// Peer address of the node.
    pub address: SocketAddr,
    /// Failure domain of the node.
    pub failure_domain: String,
}

impl From<&Seed> for PeerHint {
    fn from(seed: &Seed) -> Self {
        Self { address: seed.address, failure_domain: seed.failure_domain.clone() }
    }
}

/// Table `[limits]`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSettings {
    /// Most callers served at once; together with `body_max_bytes` it bounds the memory that bodies use.
    pub callers_max: u64,
    /// Largest request body, in bytes.
    pub body_max_bytes: u64,
    /// Most tickets in one request.
    pub tickets_per_request_max: u64,
    /// How long a connection to an upstream may take to open, in milliseconds.
    pub connect_timeout_ms: u64,
    /// How long to wait for the outcome of a side effect after the request's window, in milliseconds.
    pub effect_grace_ms: u64,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            callers_max: 10_000,
            body_max_bytes: 1 << 20,
            tickets_per_request_max: 1_000,
            connect_timeout_ms: 500,
            effect_grace_ms: 30_000,
        }
    }
}

/// Table `[drain]`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct DrainSettings {
    /// How long a draining node keeps refusing new callers with a regular answer before it may exit, in
    /// milliseconds, so that the load balancer sees the change of `/readyz`.
    pub linger_ms: u64,
}

impl Default for DrainSettings {
    fn default() -> Self {
        Self { linger_ms: 1_000 }
    }
}

/// Table `[log]`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Default)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Level of the lines that are written.
    pub level: LogLevel,
}

/// Why settings can't be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("{file}: {source}")]
    Unreadable {
        /// The file.
        file: String,
        /// The error of the file system.
        source: std::io::Error,
    },
    /// The file is not TOML, has an unknown key, or a value of the wrong type.
    #[error("{file}: {source}")]
    Malformed {
        /// The file.
        file: String,
        /// The error of the parser, with its position in the file.
        source: Box<toml::de::Error>,
    },
    /// A value is not allowed.
    #[error("{file}: {key} = {value}: {allowed}")]
    NotAllowed {
        /// The file.
        file: String,
        /// The key with its table.
        key: String,
        /// The value found.
        value: String,
        /// Description of the allowed values.
        allowed: String,
    },
}

/// Loads and checks a settings file.
///
/// # Errors
/// Returns the first problem found.
pub fn load(path: &Path) -> Result<Settings, SettingsError> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path);
    let text = text.map_err(|source| SettingsError::Unreadable { file: file.clone(), source })?;
    parse(&text, &file)
}

/// Parses and checks the text of a settings file; errors name it as `file`.
///
/// # Errors
/// Returns the first problem found.
pub fn parse(text: &str, file: &str) -> Result<Settings, SettingsError> {
    let settings: Settings = toml::from_str(text).map_err(|source| SettingsError::Malformed {
        file: file.to_owned(),
        source: Box::new(source),
    })?;
    settings.check(file)?;
    Ok(settings)
}

impl Settings {
    fn check(&self, file: &str) -> Result<(), SettingsError> {
        let not_allowed = |key: &str, value: &dyn std::fmt::Display, allowed: &str| {
            Err(SettingsError::NotAllowed {
                file: file.to_owned(),
                key: key.to_owned(),
                value: value.to_string(),
                allowed: allowed.to_owned(),
            })
        };
        let domain = &self.node.failure_domain;
        if !is_name(domain) {
            return not_allowed(
                "node.failure_domain",
                domain,
                "must be 1 to 64 of a-z, 0-9, -, _ and .",
            );
        }
        let positive_values = [
            ("node.worker_threads", self.node.worker_threads as u64),
            ("platform.timeout_ms", self.platform.timeout_ms),
            ("platform.vm_list_every_ms", self.platform.vm_list_every_ms),
            ("peers.heartbeat_ms", self.peers.heartbeat_ms),
            ("peers.connections_max", self.peers.connections_max as u64),
            ("peers.report_every_ms", self.peers.report_every_ms),
            ("peers.grant_valid_ms", self.peers.grant_valid_ms),
            ("limits.callers_max", self.limits.callers_max),
            ("limits.body_max_bytes", self.limits.body_max_bytes),
            ("limits.tickets_per_request_max", self.limits.tickets_per_request_max),
            ("limits.connect_timeout_ms", self.limits.connect_timeout_ms),
        ];
        for (key, value) in positive_values {
            if value == 0 {
                return not_allowed(key, &value, "must be 1 or more");
            }
        }
        let bounded_sizes = [
            ("limits.body_max_bytes", self.limits.body_max_bytes),
            ("policy.answer_max_bytes", self.policy.answer_max_bytes as u64),
        ];
        for (key, value) in bounded_sizes {
            if value > MESSAGE_MAX_BYTES {
                return not_allowed(key, &value, &format!("must be at most {MESSAGE_MAX_BYTES}"));
            }
        }
        let horizon_ms = self.policy.claim_horizon_ms;
        if horizon_ms.saturating_mul(2) > self.platform.log_retention_ms {
            let allowed = "must be at most half of platform.log_retention_ms";
            return not_allowed("policy.claim_horizon_ms", &horizon_ms, allowed);
        }
        self.policy.check().or_else(|error| {
            not_allowed(&format!("policy.{}", error.key), &"(as set)", &error.problem)
        })
    }
}

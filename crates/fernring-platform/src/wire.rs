//! The platform's HTTP bodies.

use {
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Answer to `POST /streams/{stream}/records`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendResponse {
    /// Offset of the record.
    pub offset: u64,
    /// The log's own time of the record, in milliseconds since the Unix epoch.
    pub time_ms: u64,
}

/// What a VM is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmRole {
    /// It runs a fernring node; the address is its peer address.
    Entry,
    /// It runs an upstream.
    Upstream,
}

/// Whether a VM is to stay.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// It is up.
    Live,
    /// It is about to go.
    Leaving,
}

/// One line of `GET /vms`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEntry {
    /// Name of the VM; for an upstream, the name it is declared under.
    pub vm: String,
    /// Its address.
    pub address: SocketAddr,
    /// Its failure domain.
    pub failure_domain: String,
    /// What it is for.
    pub role: VmRole,
    /// Whether it is to stay.
    pub state: VmState,
}

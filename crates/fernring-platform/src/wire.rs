//! Bodies of the platform's HTTP interface.

use {
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Response to `POST /streams/{stream}/records`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendResponse {
    /// Offset of the record.
    pub offset: u64,
    /// Time of the append by the log's clock, in milliseconds since the Unix epoch.
    pub time_ms: u64,
}

/// Role of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmRole {
    /// Runs a fernring node; the VM's address is the peer address of the node.
    Entry,
    /// Runs an upstream.
    Upstream,
}

/// State of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The VM is in service.
    Live,
    /// The VM is about to be removed.
    Leaving,
}

/// One entry of the response to `GET /vms`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEntry {
    /// Name of the VM; for an upstream, the name under which it is declared.
    pub vm: String,
    /// Address of the node's peer interface or of the upstream.
    pub address: SocketAddr,
    /// Failure domain of the VM.
    pub failure_domain: String,
    /// Role of the VM.
    pub role: VmRole,
    /// State of the VM.
    pub state: VmState,
}

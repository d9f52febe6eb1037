//! The platform's HTTP bodies.

use {
    base64::{Engine, prelude::BASE64_STANDARD},
    serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error},
    std::net::SocketAddr,
};

/// Answer to `POST /streams/{stream}/records`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendAnswer {
    /// Offset of the record.
    pub offset: u64,
    /// The log's own time of the record, in milliseconds since the Unix epoch.
    pub time_ms: u64,
}

/// Answer to `GET /streams/{stream}/records?from=N&wait_ms=N`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogPage {
    /// The oldest offset that is still kept.
    pub first_offset: u64,
    /// The offset that the next record will get.
    pub next_offset: u64,
    /// The log's own time, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// The records, contiguous from the later of `from` and `first_offset`.
    pub records: Vec<LogRecord>,
}

/// One record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogRecord {
    /// Its offset.
    pub offset: u64,
    /// The log's own time of the record, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// Its bytes; Base64 in JSON.
    #[serde(serialize_with = "to_base64", deserialize_with = "from_base64")]
    pub data: Vec<u8>,
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

fn to_base64<S: Serializer>(data: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_str(&BASE64_STANDARD.encode(data))
}

fn from_base64<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<u8>, D::Error> {
    let text = String::deserialize(deserializer)?;
    BASE64_STANDARD.decode(text).map_err(D::Error::custom)
}

//! Messages between nodes, and the records of the claim stream. Field numbers are stable: they are
//! never reused or changed.

use prost::{Message, Oneof};

/// A request to a peer or its reply.
#[derive(Clone, PartialEq, Message)]
pub struct Frame {
    /// The request or reply.
    #[prost(oneof = "frame::Body", tags = "1, 2, 3, 4, 5, 6, 7")]
    pub body: Option<frame::Body>,
}

/// The body of a [`Frame`].
pub mod frame {
    use super::*;

    /// A request to a peer, or its reply.
    #[derive(Clone, PartialEq, Oneof)]
    pub enum Body {
        /// A heartbeat; the reply is the peer's heartbeat.
        #[prost(message, tag = "1")]
        Heartbeat(HeartbeatMessage),
        /// Requests the configuration; the reply is a [`ConfigState`].
        #[prost(message, tag = "2")]
        ConfigRequest(ConfigRequest),
        /// The configuration in force.
        #[prost(message, tag = "3")]
        ConfigState(ConfigState),
        /// A submission for the owner of its key; the reply is a [`SubmissionAnswer`].
        #[prost(message, tag = "4")]
        Forward(ForwardMessage),
        /// The owner's final result of a submission.
        #[prost(message, tag = "5")]
        Answer(SubmissionAnswer),
        /// Requests the status of a key; the reply is a [`KeyStatusMessage`].
        #[prost(message, tag = "6")]
        KeyRequest(KeyRequest),
        /// The status of a key.
        #[prost(message, tag = "7")]
        KeyStatus(KeyStatusMessage),
    }
}

/// State of a node, as it reports it to its peers.
#[derive(Clone, PartialEq, Message)]
pub struct HeartbeatMessage {
    /// Incarnation, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub incarnation: Vec<u8>,
    /// Peer address, `ip:port`.
    #[prost(string, tag = "2")]
    pub address: String,
    /// Failure domain.
    #[prost(string, tag = "3")]
    pub failure_domain: String,
    /// Version of the configuration in force.
    #[prost(uint64, tag = "4")]
    pub config_version: u64,
    /// Number of requests in flight.
    #[prost(uint64, tag = "5")]
    pub in_flight: u64,
    /// Whether the node is shutting down.
    #[prost(bool, tag = "6")]
    pub draining: bool,
    /// Demand of the workspaces that have a rate limit.
    #[prost(message, repeated, tag = "7")]
    pub demand: Vec<DemandMessage>,
    /// Short hashes of the names of the upstreams that sent load reports.
    #[prost(fixed32, repeated, tag = "8")]
    pub report_upstreams: Vec<u32>,
    /// The reported loads, in the same order: twice the load, plus 1 if the upstream is leaving.
    #[prost(uint32, repeated, tag = "9")]
    pub report_loads: Vec<u32>,
}

/// The demand of one workspace.
#[derive(Clone, PartialEq, Message)]
pub struct DemandMessage {
    /// Name of the workspace.
    #[prost(string, tag = "1")]
    pub workspace: String,
    /// Request rate, in thousandths of a request per second.
    #[prost(uint64, tag = "2")]
    pub milli_per_s: u64,
}

/// Requests the configuration if it is newer than the known version.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct ConfigRequest {
    /// Version that the requesting node has.
    #[prost(uint64, tag = "1")]
    pub known_version: u64,
}

/// The configuration in force.
#[derive(Clone, PartialEq, Message)]
pub struct ConfigState {
    /// Version of the configuration.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// The catalog as JSON; empty if the requesting node already has this version.
    #[prost(bytes = "vec", tag = "2")]
    pub catalog_json: Vec<u8>,
    /// Offset up to which the configuration stream has been applied.
    #[prost(uint64, tag = "3")]
    pub folded_to: u64,
}

/// A submission for the owner of its key.
#[derive(Clone, PartialEq, Message)]
pub struct ForwardMessage {
    /// Incarnation of the node that is to reply, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub incarnation: Vec<u8>,
    /// Name of the pipeline.
    #[prost(string, tag = "2")]
    pub pipeline: String,
    /// Name of the workspace.
    #[prost(string, tag = "3")]
    pub workspace: String,
    /// The key in its text form.
    #[prost(string, tag = "4")]
    pub key: String,
    /// Whether the caller marked the request as non-idempotent.
    #[prost(bool, tag = "5")]
    pub non_idempotent: bool,
    /// Window of the key, in milliseconds; 0 for the pipeline's default.
    #[prost(uint64, tag = "6")]
    pub window_ms: u64,
    /// Input of the first stage.
    #[prost(string, tag = "7")]
    pub input: String,
    /// Identifier shared by requests with a common prompt prefix; empty for the default.
    #[prost(string, tag = "8")]
    pub prefix: String,
}

/// The final result of a submission.
#[derive(Clone, PartialEq, Message)]
pub struct SubmissionAnswer {
    /// Number of the result code; 0 if the named incarnation isn't the one that replies.
    #[prost(uint32, tag = "1")]
    pub code: u32,
    /// The complete output, if the request was answered.
    #[prost(string, optional, tag = "2")]
    pub output: Option<String>,
    /// Time after which the caller may retry, in milliseconds.
    #[prost(uint64, optional, tag = "3")]
    pub retry_after_ms: Option<u64>,
}

/// Requests the status of a key.
#[derive(Clone, PartialEq, Message)]
pub struct KeyRequest {
    /// Incarnation of the node that is to reply, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub incarnation: Vec<u8>,
    /// Name of the workspace.
    #[prost(string, tag = "2")]
    pub workspace: String,
    /// The key in its text form.
    #[prost(string, tag = "3")]
    pub key: String,
}

/// The status of a key.
#[derive(Clone, PartialEq, Message)]
pub struct KeyStatusMessage {
    /// Number of the result code if the request has ended, 0 while it runs, and 1 if the key is
    /// unknown.
    #[prost(uint32, tag = "1")]
    pub code: u32,
    /// Index of the current stage, while the request runs.
    #[prost(uint32, tag = "2")]
    pub stage: u32,
    /// The complete output, if the request was answered and its answer is still kept.
    #[prost(string, optional, tag = "3")]
    pub output: Option<String>,
}

/// A record of the claim stream.
#[derive(Clone, PartialEq, Message)]
pub struct ClaimBatchMessage {
    /// Incarnation that wrote the record, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub incarnation: Vec<u8>,
    /// Peer address of the incarnation, `ip:port`.
    #[prost(string, tag = "2")]
    pub address: String,
    /// The entries.
    #[prost(message, repeated, tag = "3")]
    pub entries: Vec<ClaimEntryMessage>,
}

/// One entry of a claim record.
#[derive(Clone, PartialEq, Message)]
pub struct ClaimEntryMessage {
    /// Name of the workspace.
    #[prost(string, tag = "1")]
    pub workspace: String,
    /// The key, a UUIDv7 of 16 bytes.
    #[prost(bytes = "vec", tag = "2")]
    pub key: Vec<u8>,
    /// 0 claimed, 1 spent without an attempt, 2 ended without its side effect.
    #[prost(uint32, tag = "3")]
    pub kind: u32,
}

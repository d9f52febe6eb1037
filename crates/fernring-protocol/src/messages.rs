//! The messages. Field numbers are stable: never reused, never changed.

use prost::{Message, Oneof};

/// One question or one answer.
#[derive(Clone, PartialEq, Message)]
pub struct Frame {
    /// What is asked or answered.
    #[prost(oneof = "frame::Body", tags = "1, 2, 3, 4, 5, 6, 7")]
    pub body: Option<frame::Body>,
}

/// The body of a [`Frame`].
pub mod frame {
    use super::*;

    /// What is asked or answered.
    #[derive(Clone, PartialEq, Oneof)]
    pub enum Body {
        /// A heartbeat; it is answered with the other's heartbeat.
        #[prost(message, tag = "1")]
        Heartbeat(HeartbeatMessage),
        /// Asks for the configuration; it is answered with [`ConfigState`].
        #[prost(message, tag = "2")]
        ConfigRequest(ConfigRequest),
        /// The configuration in force.
        #[prost(message, tag = "3")]
        ConfigState(ConfigState),
        /// A submission for the owner of its key; it is answered with [`SubmissionAnswer`].
        #[prost(message, tag = "4")]
        Forward(ForwardMessage),
        /// The final word of the owner.
        #[prost(message, tag = "5")]
        Answer(SubmissionAnswer),
        /// Asks what is known of a key; it is answered with [`KeyStatusMessage`].
        #[prost(message, tag = "6")]
        KeyRequest(KeyRequest),
        /// What is known of a key.
        #[prost(message, tag = "7")]
        KeyStatus(KeyStatusMessage),
    }
}

/// What a node says of itself.
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
    /// Requests in flight.
    #[prost(uint64, tag = "5")]
    pub in_flight: u64,
    /// Whether the node is shutting down.
    #[prost(bool, tag = "6")]
    pub draining: bool,
    /// Demand of the workspaces that have a limit.
    #[prost(message, repeated, tag = "7")]
    pub demand: Vec<DemandMessage>,
    /// Short hashes of the names of upstreams that reported.
    #[prost(fixed32, repeated, tag = "8")]
    pub report_upstreams: Vec<u32>,
    /// Their loads, in the same order: twice the load, plus 1 for one that is leaving.
    #[prost(uint32, repeated, tag = "9")]
    pub report_loads: Vec<u32>,
}

/// The demand of one workspace.
#[derive(Clone, PartialEq, Message)]
pub struct DemandMessage {
    /// Name of the workspace.
    #[prost(string, tag = "1")]
    pub workspace: String,
    /// Thousandths of a request a second.
    #[prost(uint64, tag = "2")]
    pub milli_per_s: u64,
}

/// Asks for the configuration if it is newer.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct ConfigRequest {
    /// Version that the asking node has.
    #[prost(uint64, tag = "1")]
    pub have_version: u64,
}

/// The configuration in force.
#[derive(Clone, PartialEq, Message)]
pub struct ConfigState {
    /// Its version.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// The catalog as JSON; empty if the asking node has this version.
    #[prost(bytes = "vec", tag = "2")]
    pub catalog_json: Vec<u8>,
    /// Offset up to which the stream was folded.
    #[prost(uint64, tag = "3")]
    pub folded_to: u64,
}

/// A submission for the owner of its key.
#[derive(Clone, PartialEq, Message)]
pub struct ForwardMessage {
    /// Incarnation that is expected to answer, 16 bytes.
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
    /// Window, in milliseconds; 0 for the pipeline's default.
    #[prost(uint64, tag = "6")]
    pub window_ms: u64,
    /// Input of the first stage.
    #[prost(string, tag = "7")]
    pub input: String,
    /// What requests with a common prompt prefix have in common; empty for the default.
    #[prost(string, tag = "8")]
    pub prefix: String,
}

/// The final word on a submission.
#[derive(Clone, PartialEq, Message)]
pub struct SubmissionAnswer {
    /// Number of the result code; 0 if the incarnation asked for is not this one.
    #[prost(uint32, tag = "1")]
    pub code: u32,
    /// The whole output, if it was answered.
    #[prost(string, optional, tag = "2")]
    pub output: Option<String>,
    /// When to come back, in milliseconds.
    #[prost(uint64, optional, tag = "3")]
    pub retry_after_ms: Option<u64>,
}

/// Asks what is known of a key.
#[derive(Clone, PartialEq, Message)]
pub struct KeyRequest {
    /// Incarnation that is expected to answer, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub incarnation: Vec<u8>,
    /// Name of the workspace.
    #[prost(string, tag = "2")]
    pub workspace: String,
    /// The key in its text form.
    #[prost(string, tag = "3")]
    pub key: String,
}

/// What is known of a key.
#[derive(Clone, PartialEq, Message)]
pub struct KeyStatusMessage {
    /// Number of the result code if the request has ended, 0 while it runs, and 1 if nothing is
    /// known.
    #[prost(uint32, tag = "1")]
    pub code: u32,
    /// Index of the stage it has reached, while it runs.
    #[prost(uint32, tag = "2")]
    pub stage: u32,
    /// The whole output, if it was answered and is still kept.
    #[prost(string, optional, tag = "3")]
    pub output: Option<String>,
}

/// A record of the claim stream.
#[derive(Clone, PartialEq, Message)]
pub struct ClaimBatchMessage {
    /// Incarnation that speaks, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub incarnation: Vec<u8>,
    /// Its peer address, `ip:port`.
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
    /// The UUIDv7, 16 bytes.
    #[prost(bytes = "vec", tag = "2")]
    pub key: Vec<u8>,
    /// 0 claimed, 1 spent without an attempt, 2 ended without its side effect.
    #[prost(uint32, tag = "3")]
    pub kind: u32,
}

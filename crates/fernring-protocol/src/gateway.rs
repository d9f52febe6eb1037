//! Messages between gateway nodes. Each goes one way; an answer is a message of its own. Field
//! numbers are stable: never reused, never changed.

use prost::{Enumeration, Message, Oneof};

/// One message.
#[derive(Clone, PartialEq, Message)]
pub struct GatewayFrame {
    /// Where answers go: the sender's peer address, `ip:port`.
    #[prost(string, tag = "1")]
    pub sender: String,
    /// What is said.
    #[prost(oneof = "GatewayBody", tags = "2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16")]
    pub body: Option<GatewayBody>,
}

/// The body of a [`GatewayFrame`].
#[derive(Clone, PartialEq, Oneof)]
pub enum GatewayBody {
    /// What the sender says of itself.
    #[prost(message, tag = "2")]
    Heartbeat(GatewayHeartbeat),
    /// Asks for the configuration.
    #[prost(message, tag = "3")]
    ConfigRequest(Empty),
    /// The configuration in force.
    #[prost(message, tag = "4")]
    Config(CompressedConfig),
    /// Asks for the upstreams' records.
    #[prost(message, tag = "5")]
    DirectoryRequest(DirectoryRequest),
    /// The upstreams' records.
    #[prost(message, tag = "6")]
    Directory(DirectoryRecords),
    /// Pieces of a stage for their owner.
    #[prost(message, tag = "7")]
    Work(StageWork),
    /// What became of them.
    #[prost(message, tag = "8")]
    WorkDone(StageDone),
    /// Nobody waits for them any more.
    #[prost(message, tag = "9")]
    WorkCancel(WorkTicket),
    /// Results that are not needed any more.
    #[prost(message, tag = "10")]
    Release(ReleaseResults),
    /// The configuration isn't sent now, since too much was sent just before.
    #[prost(message, tag = "11")]
    ConfigDeferred(Empty),
    /// The same of the upstreams' records.
    #[prost(message, tag = "12")]
    DirectoryDeferred(Empty),
    /// Upstreams that ended, and what they had in hand.
    #[prost(message, tag = "13")]
    Crashes(CrashReports),
    /// Asks whether a request may be sent to an upstream that names a limit.
    #[prost(message, tag = "14")]
    PermitRequest(PermitRequest),
    /// Whether it may.
    #[prost(message, tag = "15")]
    PermitResponse(PermitResponse),
    /// What a node counts of a roll-out, for who decides on it.
    #[prost(message, tag = "16")]
    RolloutReport(RolloutReport),
}

/// A message without content.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Empty {}

/// What a node says of itself.
#[derive(Clone, PartialEq, Message)]
pub struct GatewayHeartbeat {
    /// This run of the process.
    #[prost(fixed64, tag = "1")]
    pub incarnation: u64,
    /// Failure domain.
    #[prost(string, tag = "2")]
    pub failure_domain: String,
    /// Whether the node is shutting down.
    #[prost(bool, tag = "3")]
    pub is_draining: bool,
    /// Version of the configuration in force.
    #[prost(uint64, tag = "4")]
    pub config_version: u64,
    /// Number up to which the upstreams' records were taken in.
    #[prost(uint64, tag = "5")]
    pub directory_end: u64,
    /// Short hashes of the instances of upstreams that have work of the node in hand.
    #[prost(fixed32, repeated, tag = "6")]
    pub load_upstreams: Vec<u32>,
    /// The work, in the same order.
    #[prost(uint32, repeated, tag = "7")]
    pub load_weights: Vec<u32>,
    /// Addresses of peers that the node has heard; sent to those it has not heard yet.
    #[prost(string, repeated, tag = "8")]
    pub peers: Vec<String>,
    /// Short hashes of the instances of upstreams that took no connection of late.
    #[prost(fixed32, repeated, tag = "9")]
    pub unreachable: Vec<u32>,
    /// Time since the node itself read the store, which then had no newer configuration, in milliseconds.
    #[prost(uint32, optional, tag = "10")]
    pub config_age_ms: Option<u32>,
    /// The same of the upstreams' records.
    #[prost(uint32, optional, tag = "11")]
    pub directory_age_ms: Option<u32>,
    /// What waits at the stage services that the node owns, and what it has promised.
    #[prost(message, repeated, tag = "12")]
    pub stage_loads: Vec<StageLoad>,
    /// Whether the node is no delegate of its failure domain. Nodes that don't know of delegates are ones.
    #[prost(bool, tag = "13")]
    pub is_follower: bool,
    /// What its link carries, in Mbit/s.
    #[prost(uint32, tag = "14")]
    pub link_mbps: u32,
    /// Live nodes that it hears, itself included.
    #[prost(uint32, tag = "15")]
    pub nodes: u32,
    /// Pause until its next heartbeat to this peer, in milliseconds; 0 for the usual one.
    #[prost(uint32, tag = "16")]
    pub interval_ms: u32,
    /// Whose loads and promises it tells.
    #[prost(enumeration = "LoadScope", tag = "17")]
    pub load_scope: i32,
    /// All that is known of evacuated failure domains.
    #[prost(message, repeated, tag = "18")]
    pub evacuations: Vec<EvacuationOrderMessage>,
    /// Era of the store that `directory_end` belongs to.
    #[prost(uint64, tag = "19")]
    pub directory_era: u64,
    /// The latest era of the store that is known.
    #[prost(uint64, tag = "20")]
    pub store_era: u64,
    /// Short hashes of the services that are to be split between owners, by what the node carries of them.
    #[prost(fixed32, repeated, tag = "21")]
    pub sharded_services: Vec<u32>,
    /// What upstreams say that they take.
    #[prost(message, repeated, tag = "22")]
    pub limits: Vec<LimitReport>,
    /// What is known of orders to roll out versions.
    #[prost(message, repeated, tag = "23")]
    pub rollouts: Vec<RolloutOrderMessage>,
}

/// How far a roll-out is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum RolloutProgressReport {
    /// The order was found in the store, and its state isn't read yet.
    Unknown = 0,
    /// It is under way.
    Running = 1,
    /// The ordered version serves alone.
    Completed = 2,
    /// The ordered version gets nothing.
    RolledBack = 3,
}

/// What is known of a service's newest order to roll out a version.
#[derive(Clone, PartialEq, Message)]
pub struct RolloutOrderMessage {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The version.
    #[prost(string, tag = "2")]
    pub destination: String,
    /// Number of the order in the store.
    #[prost(uint64, tag = "3")]
    pub offset: u64,
    /// Era of the store that the number belongs to.
    #[prost(uint64, tag = "4")]
    pub era: u64,
    /// Time in which it is to be done, in milliseconds.
    #[prost(uint64, tag = "5")]
    pub duration_ms: u64,
    /// Time until it is to be done, in milliseconds.
    #[prost(uint64, tag = "6")]
    pub remaining_ms: u64,
    /// Whether it was taken back.
    #[prost(bool, tag = "7")]
    pub is_withdrawn: bool,
    /// How far it is.
    #[prost(enumeration = "RolloutProgressReport", tag = "8")]
    pub progress: i32,
    /// Part of the requests that the version gets, while it is under way.
    #[prost(double, tag = "9")]
    pub share: f64,
    /// Rises with each word of a decider.
    #[prost(uint64, tag = "10")]
    pub serial: u64,
    /// Time since the decider's word, in milliseconds.
    #[prost(uint32, tag = "11")]
    pub decision_age_ms: u32,
}

/// What a node counts of a roll-out since the order.
#[derive(Clone, PartialEq, Message)]
pub struct RolloutReport {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Number of the order in the store.
    #[prost(uint64, tag = "2")]
    pub offset: u64,
    /// Era of the store that the number belongs to.
    #[prost(uint64, tag = "3")]
    pub era: u64,
    /// The run of the node's process.
    #[prost(fixed64, tag = "4")]
    pub incarnation: u64,
    /// Requests sent to the service.
    #[prost(uint64, tag = "5")]
    pub requests: u64,
    /// Sends to the ordered version.
    #[prost(uint64, tag = "6")]
    pub exposed: u64,
    /// Requests in hand at other versions.
    #[prost(uint64, tag = "7")]
    pub in_flight_at_others: u64,
    /// Whether the node sends to the ordered version alone, and has nothing in hand at others.
    #[prost(bool, tag = "8")]
    pub is_drained: bool,
    /// Answers by route.
    #[prost(message, repeated, tag = "9")]
    pub routes: Vec<RouteReport>,
}

/// Answers on one route.
#[derive(Clone, PartialEq, Message)]
pub struct RouteReport {
    /// Name of the route; empty for calls on pieces.
    #[prost(string, tag = "1")]
    pub route: String,
    /// Those of the ordered version.
    #[prost(message, required, tag = "2")]
    pub ordered: VersionAnswers,
    /// Those of the others.
    #[prost(message, required, tag = "3")]
    pub others: VersionAnswers,
}

/// Answers of one version.
#[derive(Clone, PartialEq, Message)]
pub struct VersionAnswers {
    /// Failures.
    #[prost(uint64, tag = "1")]
    pub failed: u64,
    /// The others, by the class of the time that they took.
    #[prost(uint32, repeated, tag = "2")]
    pub latency_counts: Vec<u32>,
}

/// The newest word of an upstream on how much it takes from all nodes together.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct LimitReport {
    /// Hash of its start.
    #[prost(fixed64, tag = "1")]
    pub incarnation_id: u64,
    /// Requests a second; absent if it names no limit any more.
    #[prost(double, optional, tag = "2")]
    pub per_s: Option<f64>,
    /// Time since it was said, in milliseconds.
    #[prost(uint32, tag = "3")]
    pub age_ms: u32,
}

/// Asks whether a request may be sent to an upstream that names a limit.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct PermitRequest {
    /// The asking node's number for it.
    #[prost(uint64, tag = "1")]
    pub ticket: u64,
    /// The upstream, and what the asking node knows of it.
    #[prost(message, required, tag = "2")]
    pub limit: LimitReport,
    /// Rank of the request.
    #[prost(uint32, tag = "3")]
    pub rank: u32,
}

/// Whether a request may be sent to an upstream that names a limit.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct PermitResponse {
    /// The asking node's number for it.
    #[prost(uint64, tag = "1")]
    pub ticket: u64,
    /// The upstream, and what the answering node knows of it.
    #[prost(message, required, tag = "2")]
    pub limit: LimitReport,
    /// Whether it may.
    #[prost(bool, tag = "3")]
    pub is_granted: bool,
    /// If not, when the asking node may ask again, in milliseconds.
    #[prost(uint32, tag = "4")]
    pub retry_after_ms: u32,
    /// If not, when as many requests should be done as are asked for in a second now, in milliseconds.
    #[prost(uint32, tag = "5")]
    pub queue_drain_ms: u32,
}

/// An operator's newest word on a failure domain.
#[derive(Clone, PartialEq, Message)]
pub struct EvacuationOrderMessage {
    /// The failure domain.
    #[prost(string, tag = "1")]
    pub failure_domain: String,
    /// Whether it is evacuated; if not, that was taken back.
    #[prost(bool, tag = "2")]
    pub is_in_force: bool,
    /// Number of the word in the store.
    #[prost(uint64, tag = "3")]
    pub offset: u64,
    /// Era of the store that the number belongs to.
    #[prost(uint64, tag = "4")]
    pub era: u64,
}

/// Whose loads and promises a heartbeat tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum LoadScope {
    /// The sender's own.
    Sender = 0,
    /// Those of all nodes of its failure domain, added up.
    Domain = 1,
    /// Nobody's: what was told before holds on.
    Omitted = 2,
}

/// What a node says of one stage service.
#[derive(Clone, PartialEq, Message)]
pub struct StageLoad {
    /// Short hash of the service's name.
    #[prost(fixed32, tag = "1")]
    pub service_hash: u32,
    /// Whether the node owns the service; if not, only `promised` is set.
    #[prost(bool, tag = "2")]
    pub is_owner: bool,
    /// Pieces a second that its makers finish together while more wait.
    #[prost(float, tag = "3")]
    pub rate_per_s: f32,
    /// Pieces a second that came of late, by rank.
    #[prost(float, repeated, tag = "4")]
    pub arrivals_per_s: Vec<f32>,
    /// Pieces that wait and can be in time, by rank.
    #[prost(uint32, repeated, tag = "5")]
    pub waiting: Vec<u32>,
    /// Pieces that wait and can't be in time.
    #[prost(uint32, tag = "6")]
    pub late: u32,
    /// Pieces that the node has promised to requests and not asked for yet, by rank.
    #[prost(uint32, repeated, tag = "7")]
    pub reserved: Vec<u32>,
}

/// Asks for the upstreams' records.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct DirectoryRequest {
    /// Number up to which they are known; 0 for all.
    #[prost(uint64, tag = "1")]
    pub since: u64,
    /// Era of the store that `since` belongs to.
    #[prost(uint64, tag = "2")]
    pub era: u64,
}

/// The configuration in force.
#[derive(Clone, PartialEq, Message)]
pub struct CompressedConfig {
    /// Its record in the store, packed ([`crate::packing`]). Field 1 held it as it is, and field 2 an age, which
    /// nodes that don't know of packing would take for a confirmation of what they have.
    #[prost(bytes = "bytes", tag = "4")]
    pub compressed: bytes::Bytes,
    /// The store's number after the record; 0 if it isn't known.
    #[prost(uint64, tag = "3")]
    pub end: u64,
    /// Era of the store that `end` belongs to.
    #[prost(uint64, tag = "5")]
    pub era: u64,
}

/// Records of upstreams.
#[derive(Clone, PartialEq, Message)]
pub struct DirectoryRecords {
    /// Number up to which they were taken in.
    #[prost(uint64, tag = "1")]
    pub end: u64,
    /// The records.
    #[prost(message, repeated, tag = "2")]
    pub records: Vec<DirectoryRecord>,
    /// Whether these are all records; if not, those since the number that was asked for.
    #[prost(bool, tag = "3")]
    pub is_full: bool,
    /// Time for which removals may still be lapses, in milliseconds.
    #[prost(uint32, tag = "4")]
    pub lapse_window_ms: u32,
    /// Time since the store has shown that these are its newest, in milliseconds.
    #[prost(uint32, optional, tag = "5")]
    pub age_ms: Option<u32>,
    /// Era of the store that `end` belongs to.
    #[prost(uint64, tag = "6")]
    pub era: u64,
    /// In place of `records`, where they are many: [`DirectoryList`], packed ([`crate::packing`]).
    #[prost(bytes = "bytes", tag = "7")]
    pub compressed: bytes::Bytes,
}

/// Records of upstreams, to be packed.
#[derive(Clone, PartialEq, Message)]
pub struct DirectoryList {
    /// The records.
    #[prost(message, repeated, tag = "1")]
    pub records: Vec<DirectoryRecord>,
}

/// The record of one upstream.
#[derive(Clone, PartialEq, Message)]
pub struct DirectoryRecord {
    /// Its identity, which a process that starts again may keep.
    #[prost(string, tag = "1")]
    pub instance: String,
    /// Its number in the store.
    #[prost(uint64, tag = "2")]
    pub offset: u64,
    /// Service.
    #[prost(string, tag = "3")]
    pub service: String,
    /// Address, `ip:port`.
    #[prost(string, tag = "4")]
    pub address: String,
    /// Failure domain.
    #[prost(string, tag = "5")]
    pub failure_domain: String,
    /// Requests that it runs at once.
    #[prost(uint32, tag = "6")]
    pub slots: u32,
    /// Whether it is leaving.
    #[prost(bool, tag = "7")]
    pub is_draining: bool,
    /// Whether it was removed; only instance and number are set then.
    #[prost(bool, tag = "8")]
    pub is_removed: bool,
    /// When its process started, in Unix milliseconds, if that is known.
    #[prost(uint64, optional, tag = "9")]
    pub started_ms: Option<u64>,
    /// With `is_removed`: whether something lies there that can't be read, so that it is no lapse.
    #[prost(bool, tag = "10")]
    pub is_unreadable: bool,
    /// How much longer it is cold, in milliseconds.
    #[prost(uint32, tag = "11")]
    pub cold_ms: u32,
    /// Era of the store that its number belongs to.
    #[prost(uint64, tag = "12")]
    pub era: u64,
    /// How often its process has written its record since its start.
    #[prost(uint64, tag = "13")]
    pub sequence: u64,
    /// Version of its software.
    #[prost(string, tag = "14")]
    pub version: String,
}

/// Pieces of one stage of one request.
#[derive(Clone, PartialEq, Message)]
pub struct StageWork {
    /// The asking node's number for them.
    #[prost(uint64, tag = "1")]
    pub ticket: u64,
    /// Service of the stage.
    #[prost(string, tag = "2")]
    pub service: String,
    /// The request.
    #[prost(string, tag = "3")]
    pub request_id: String,
    /// Index of the stage.
    #[prost(uint32, tag = "4")]
    pub stage: u32,
    /// Number of pieces.
    #[prost(uint32, tag = "5")]
    pub pieces: u32,
    /// What they work on, for a stage that follows none.
    #[prost(string, optional, tag = "6")]
    pub key: Option<String>,
    /// Handles of what they work on, for any other stage.
    #[prost(string, repeated, tag = "7")]
    pub inputs: Vec<String>,
    /// Time until the results are of no more use, in milliseconds.
    #[prost(uint32, tag = "8")]
    pub remaining_ms: u32,
    /// Time until the results are due for the request to be on time, in milliseconds; below 0 if
    /// that is over.
    #[prost(sint32, tag = "9")]
    pub due_ms: i32,
    /// Rank of the request.
    #[prost(uint32, tag = "10")]
    pub priority: u32,
    /// Size of one result, in bytes.
    #[prost(uint64, tag = "11")]
    pub result_bytes: u64,
    /// Failure domain in which the results will be read; empty if that doesn't matter.
    #[prost(string, tag = "12")]
    pub consumer_domain: String,
    /// Digest of what the request asks.
    #[prost(bytes = "bytes", tag = "13")]
    pub fingerprint: bytes::Bytes,
    /// Failure domain whose makers are asked, while the service is split; empty for all.
    #[prost(string, tag = "14")]
    pub worker_domain: String,
    /// Regions in which the request may be served; none if any will do.
    #[prost(string, repeated, tag = "15")]
    pub allowed_regions: Vec<String>,
}

/// What became of the pieces of one stage.
#[derive(Clone, PartialEq, Message)]
pub struct StageDone {
    /// The asking node's number for them.
    #[prost(uint64, tag = "1")]
    pub ticket: u64,
    /// 0 made, 1 late, 2 an input is gone, 3 failed, 4 turned away, 5 the failure domain has no makers.
    #[prost(uint32, tag = "2")]
    pub outcome: u32,
    /// Handles of the results, in the order of the pieces.
    #[prost(string, repeated, tag = "3")]
    pub handles: Vec<String>,
}

/// The pieces of one stage.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct WorkTicket {
    /// The asking node's number for them.
    #[prost(uint64, tag = "1")]
    pub ticket: u64,
}

/// Upstreams that ended, and requests that got whole answers after some had ended under them.
#[derive(Clone, PartialEq, Message)]
pub struct CrashReports {
    /// The ends.
    #[prost(message, repeated, tag = "1")]
    pub crashes: Vec<CrashReport>,
    /// The answers.
    #[prost(message, repeated, tag = "2")]
    pub cleared: Vec<ClearanceReport>,
}

/// The end of one start of an upstream.
#[derive(Clone, PartialEq, Message)]
pub struct CrashReport {
    /// Its identity.
    #[prost(string, tag = "1")]
    pub instance: String,
    /// When its process had started, in Unix milliseconds, if that is known.
    #[prost(uint64, optional, tag = "2")]
    pub started_ms: Option<u64>,
    /// Time since it ended, in milliseconds.
    #[prost(uint32, tag = "3")]
    pub age_ms: u32,
    /// Digests of what it had in hand.
    #[prost(bytes = "bytes", repeated, tag = "4")]
    pub fingerprints: Vec<bytes::Bytes>,
}

/// A whole answer to a request.
#[derive(Clone, PartialEq, Message)]
pub struct ClearanceReport {
    /// Digest of what the request asks.
    #[prost(bytes = "bytes", tag = "1")]
    pub fingerprint: bytes::Bytes,
    /// Time since the answer, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub age_ms: u32,
}

/// Results that are not needed any more.
#[derive(Clone, PartialEq, Message)]
pub struct ReleaseResults {
    /// Service that made them.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Their handles.
    #[prost(string, repeated, tag = "2")]
    pub handles: Vec<String>,
}

//! Messages between gateway nodes. Each message is one-way; a reply is a message of its own. Field
//! numbers are stable: they are never reused or changed.

use prost::{Enumeration, Message, Oneof};

/// A message with its sender.
#[derive(Clone, PartialEq, Message)]
pub struct GatewayFrame {
    /// Address for replies: the sender's peer address, `ip:port`.
    #[prost(string, tag = "1")]
    pub sender: String,
    /// The message itself.
    #[prost(
        oneof = "GatewayBody",
        tags = "2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24"
    )]
    pub body: Option<GatewayBody>,
}

/// The body of a [`GatewayFrame`].
#[derive(Clone, PartialEq, Oneof)]
pub enum GatewayBody {
    /// State of the sender, sent at regular intervals.
    #[prost(message, boxed, tag = "2")]
    Heartbeat(Box<GatewayHeartbeat>),
    /// Requests the configuration.
    #[prost(message, tag = "3")]
    ConfigRequest(Empty),
    /// The configuration in force.
    #[prost(message, tag = "4")]
    Config(CompressedConfig),
    /// Requests the upstreams' records.
    #[prost(message, tag = "5")]
    DirectoryRequest(DirectoryRequest),
    /// The upstreams' records.
    #[prost(message, tag = "6")]
    Directory(DirectoryRecords),
    /// Pieces of a stage, sent to the node that owns the stage's service.
    #[prost(message, tag = "7")]
    Work(StageWork),
    /// Outcome of the pieces of a stage.
    #[prost(message, tag = "8")]
    WorkDone(StageDone),
    /// Cancels pieces that no request needs any more.
    #[prost(message, tag = "9")]
    WorkCancel(WorkTicket),
    /// Releases results that are no longer needed.
    #[prost(message, tag = "10")]
    Release(ReleaseResults),
    /// The configuration is not sent now, because the node has just sent too much to others.
    #[prost(message, tag = "11")]
    ConfigDeferred(Empty),
    /// The upstreams' records are not sent now, because the node has just sent too much to others.
    #[prost(message, tag = "12")]
    DirectoryDeferred(Empty),
    /// Upstreams that crashed, with the requests that were in flight there.
    #[prost(message, tag = "13")]
    Crashes(CrashReports),
    /// Requests a permit to send one request to an upstream that announces a limit.
    #[prost(message, tag = "14")]
    PermitRequest(PermitRequest),
    /// Grants or denies a permit.
    #[prost(message, tag = "15")]
    PermitResponse(PermitResponse),
    /// A node's request counts of a roll-out, for the roll-out's controller.
    #[prost(message, tag = "16")]
    RolloutReport(RolloutReport),
    /// Requests a tunnel to an upstream on this connection.
    #[prost(message, tag = "17")]
    TunnelRequest(TunnelRequest),
    /// Reply to the request of a tunnel. If it is open, the bytes of the tunnel follow.
    #[prost(message, tag = "18")]
    TunnelResponse(TunnelResponse),
    /// Returns a permit to send to a brittle upstream.
    #[prost(message, tag = "19")]
    PermitReturn(PermitReturn),
    /// Streams and the versions that began them.
    #[prost(message, tag = "20")]
    OriginReports(OriginReports),
    /// Asks which version began a stream.
    #[prost(message, tag = "21")]
    OriginQuery(OriginQuery),
    /// Reply to [`OriginQuery`].
    #[prost(message, tag = "22")]
    OriginReply(OriginReply),
    /// Asks the owner of pieces whether it still has them.
    #[prost(message, tag = "23")]
    WorkQuery(WorkTickets),
    /// Reply to [`GatewayBody::WorkQuery`]: the pieces that the owner doesn't have, or not any more.
    #[prost(message, tag = "24")]
    WorkUnknown(WorkTickets),
}

/// Streams and the versions that began them.
#[derive(Clone, PartialEq, Message)]
pub struct OriginReports {
    /// The streams.
    #[prost(message, repeated, tag = "1")]
    pub streams: Vec<StreamOrigin>,
    /// Whether the receiver appends the streams to the log of origins in the store.
    #[prost(bool, tag = "2")]
    pub append_to_log: bool,
}

/// A stream and the version that began it.
#[derive(Clone, PartialEq, Message)]
pub struct StreamOrigin {
    /// The caller's request that brought the first event.
    #[prost(string, tag = "1")]
    pub request: String,
    /// The service; empty if the stream may go on nowhere.
    #[prost(string, tag = "2")]
    pub service: String,
    /// The version.
    #[prost(string, tag = "3")]
    pub version: String,
    /// How long the stream may still be resumed, in milliseconds.
    #[prost(uint32, tag = "4")]
    pub lifetime_ms: u32,
}

/// Asks which version began a stream.
#[derive(Clone, PartialEq, Message)]
pub struct OriginQuery {
    /// Identifies the reply.
    #[prost(uint64, tag = "1")]
    pub ticket: u64,
    /// The caller's request that brought the first event; empty if it isn't known.
    #[prost(string, tag = "2")]
    pub request: String,
    /// The service at which the stream is to go on.
    #[prost(string, tag = "3")]
    pub service: String,
}

/// Reply to [`OriginQuery`].
#[derive(Clone, PartialEq, Message)]
pub struct OriginReply {
    /// The query that it replies to.
    #[prost(uint64, tag = "1")]
    pub ticket: u64,
    /// Whether the sender knows the stream.
    #[prost(bool, tag = "2")]
    pub is_known: bool,
    /// The service of the stream; empty if the stream may go on nowhere.
    #[prost(string, tag = "3")]
    pub service: String,
    /// The version that began the stream.
    #[prost(string, tag = "4")]
    pub version: String,
    /// Versions that the queried service has had, for as long as a stream may last.
    #[prost(string, repeated, tag = "5")]
    pub recent_versions: Vec<String>,
    /// Whether these are all of them: `false` from a sender that has just started and hasn't read
    /// them from the store, and from builds that don't tell.
    #[prost(bool, tag = "6")]
    pub knows_past: bool,
    /// Longest time for which the store may have had newer records than the sender, by the sender's
    /// own reads, in milliseconds; absent if the sender doesn't read or its build doesn't tell.
    #[prost(uint32, optional, tag = "7")]
    pub records_age_ms: Option<u32>,
}

/// Requests a tunnel to an upstream.
#[derive(Clone, PartialEq, Message)]
pub struct TunnelRequest {
    /// Address of the upstream, `ip:port`.
    #[prost(string, tag = "1")]
    pub address: String,
    /// Whether the node reads bytes in frames, whose end is marked by an empty one.
    #[prost(bool, tag = "2")]
    pub reads_frames: bool,
    /// Whether the tunnel counts as one of the connections that the relay may open to the upstream.
    #[prost(bool, tag = "3")]
    pub is_borrowed: bool,
}

/// Reply to a [`TunnelRequest`].
#[derive(Clone, Copy, PartialEq, Message)]
pub struct TunnelResponse {
    /// Whether the tunnel is open.
    #[prost(enumeration = "TunnelResult", tag = "1")]
    pub result: i32,
    /// Whether the upstream's bytes follow in frames. An empty frame says that the upstream has
    /// ended its connection in order; without one, it was reset, or the relay has ended. Bytes for
    /// the upstream are sent without frames.
    #[prost(bool, tag = "2")]
    pub sends_frames: bool,
    /// Whether the tunnel counts as one of the connections that the relay may open. A relay that
    /// doesn't know of this opens a tunnel that counts for nobody.
    #[prost(bool, tag = "3")]
    pub is_lent: bool,
}

/// Result of opening a tunnel.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum TunnelResult {
    /// The node opens no tunnel to this address now.
    Unavailable = 0,
    /// The tunnel is open.
    Open = 1,
    /// Nothing listens at the address.
    Refused = 2,
    /// The upstream reset the connection.
    Reset = 3,
    /// The upstream didn't respond.
    TimedOut = 4,
}

impl TunnelResult {
    /// Returns the name used in log lines and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Unavailable => "unavailable",
            Self::Open => "open",
            Self::Refused => "refused",
            Self::Reset => "reset",
            Self::TimedOut => "timed_out",
        }
    }
}

/// A message without fields.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Empty {}

/// State of a node, as it reports it to its peers.
#[derive(Clone, PartialEq, Message)]
pub struct GatewayHeartbeat {
    /// Incarnation of the node's process.
    #[prost(fixed64, tag = "1")]
    pub incarnation: u64,
    /// Failure domain of the node.
    #[prost(string, tag = "2")]
    pub failure_domain: String,
    /// Whether the node is shutting down.
    #[prost(bool, tag = "3")]
    pub is_draining: bool,
    /// Version of the configuration in force.
    #[prost(uint64, tag = "4")]
    pub config_version: u64,
    /// Offset in the store up to which the upstreams' records were applied.
    #[prost(uint64, tag = "5")]
    pub directory_end: u64,
    /// Short hashes of the incarnations of upstreams that have requests of the node in flight.
    #[prost(fixed32, repeated, tag = "6")]
    pub load_upstreams: Vec<u32>,
    /// Load on these upstreams, in the same order.
    #[prost(uint32, repeated, tag = "7")]
    pub load_weights: Vec<u32>,
    /// Addresses of reachable peers; sent to peers that the node hasn't received a heartbeat from
    /// yet.
    #[prost(string, repeated, tag = "8")]
    pub peers: Vec<String>,
    /// Short hashes of the incarnations of upstreams that recently refused or timed out
    /// connections.
    #[prost(fixed32, repeated, tag = "9")]
    pub unreachable: Vec<u32>,
    /// Time since the node itself read the store and found no newer configuration, in milliseconds.
    #[prost(uint32, optional, tag = "10")]
    pub config_age_ms: Option<u32>,
    /// Time since the node itself read the store and found no newer upstream records, in
    /// milliseconds.
    #[prost(uint32, optional, tag = "11")]
    pub directory_age_ms: Option<u32>,
    /// Load of the stage services that the node owns, and its reservations at others.
    #[prost(message, repeated, tag = "12")]
    pub stage_loads: Vec<StageLoad>,
    /// Whether the node is not a delegate of its failure domain. Nodes of a version without this
    /// field are delegates.
    #[prost(bool, tag = "13")]
    pub is_follower: bool,
    /// Bandwidth of the node's link, in Mbit/s.
    #[prost(uint32, tag = "14")]
    pub link_mbps: u32,
    /// Number of live nodes that are reachable from the node, itself included.
    #[prost(uint32, tag = "15")]
    pub nodes: u32,
    /// Time until the node's next heartbeat to this peer, in milliseconds; 0 for the default
    /// interval.
    #[prost(uint32, tag = "16")]
    pub interval_ms: u32,
    /// Whose loads and reservations the heartbeat contains.
    #[prost(enumeration = "LoadScope", tag = "17")]
    pub load_scope: i32,
    /// Newest known order on each failure domain, in force or withdrawn.
    #[prost(message, repeated, tag = "18")]
    pub evacuations: Vec<EvacuationOrderMessage>,
    /// Era of the store that `directory_end` belongs to.
    #[prost(uint64, tag = "19")]
    pub directory_era: u64,
    /// Latest known era of the store.
    #[prost(uint64, tag = "20")]
    pub store_era: u64,
    /// Short hashes of the services that should be sharded by failure domain, judged by the traffic
    /// that the node carries for them as their owner.
    #[prost(fixed32, repeated, tag = "21")]
    pub sharded_services: Vec<u32>,
    /// Limits that upstreams announce.
    #[prost(message, repeated, tag = "22")]
    pub limits: Vec<LimitReport>,
    /// Known orders to roll out versions, with their progress.
    #[prost(message, repeated, tag = "23")]
    pub rollouts: Vec<RolloutOrderMessage>,
    /// Incarnations of upstreams that announced in a response that they are leaving.
    #[prost(fixed64, repeated, tag = "24")]
    pub leaving: Vec<u64>,
    /// Whether the node has lost its direct path to the upstreams.
    #[prost(bool, tag = "25")]
    pub is_cut_off: bool,
    /// Whether the node opens tunnels to upstreams for its peers.
    #[prost(bool, tag = "26")]
    pub opens_tunnels: bool,
    /// Short hashes of the incarnations of some of the upstreams that the node doesn't reach
    /// directly. Unlike those in `unreachable`, its peers may reach them.
    #[prost(fixed32, repeated, tag = "27")]
    pub unreached: Vec<u32>,
    /// Rejections within a second that brittle upstreams announce.
    #[prost(message, repeated, tag = "28")]
    pub brittle: Vec<LimitReport>,
    /// Short hashes of the incarnations of some model engines, a different part in each heartbeat.
    /// Whose estimates follow is given by `load_scope`.
    #[prost(fixed32, repeated, tag = "30")]
    pub engine_upstreams: Vec<u32>,
    /// Typical gaps between the events of streams of these engines, in microseconds, in the same
    /// order.
    #[prost(uint32, repeated, tag = "31")]
    pub engine_gaps_us: Vec<u32>,
    /// Numbers of streams that the gaps are based on, in hundredths, reduced by age, in the same
    /// order.
    #[prost(uint32, repeated, tag = "32")]
    pub engine_streams_percent: Vec<u32>,
}

/// Progress of a roll-out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum RolloutProgressReport {
    /// The order was found in the store; its progress has not been read yet.
    Unknown = 0,
    /// The roll-out is running.
    Running = 1,
    /// The destination version gets all requests.
    Completed = 2,
    /// The destination version gets no requests.
    RolledBack = 3,
}

/// The newest known order to roll out a version of a service, and its progress.
#[derive(Clone, PartialEq, Message)]
pub struct RolloutOrderMessage {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The destination version.
    #[prost(string, tag = "2")]
    pub destination: String,
    /// Offset of the order in the store.
    #[prost(uint64, tag = "3")]
    pub offset: u64,
    /// Era of the store that `offset` belongs to.
    #[prost(uint64, tag = "4")]
    pub era: u64,
    /// Time from the order to its deadline, in milliseconds.
    #[prost(uint64, tag = "5")]
    pub duration_ms: u64,
    /// Time left until the deadline, in milliseconds.
    #[prost(uint64, tag = "6")]
    pub remaining_ms: u64,
    /// Whether the order was withdrawn.
    #[prost(bool, tag = "7")]
    pub is_withdrawn: bool,
    /// Progress of the roll-out.
    #[prost(enumeration = "RolloutProgressReport", tag = "8")]
    pub progress: i32,
    /// Share of the requests that the destination version gets while the roll-out is running.
    #[prost(double, tag = "9")]
    pub share: f64,
    /// Number of the controller's decision; rises with each decision.
    #[prost(uint64, tag = "10")]
    pub serial: u64,
    /// Time since the controller's decision, in milliseconds.
    #[prost(uint32, tag = "11")]
    pub decision_age_ms: u32,
}

/// A node's request counts of a roll-out since its order.
#[derive(Clone, PartialEq, Message)]
pub struct RolloutReport {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Offset of the order in the store.
    #[prost(uint64, tag = "2")]
    pub offset: u64,
    /// Era of the store that `offset` belongs to.
    #[prost(uint64, tag = "3")]
    pub era: u64,
    /// Incarnation of the node's process.
    #[prost(fixed64, tag = "4")]
    pub incarnation: u64,
    /// Requests sent to the service.
    #[prost(uint64, tag = "5")]
    pub requests: u64,
    /// Sends to the destination version.
    #[prost(uint64, tag = "6")]
    pub exposed: u64,
    /// Requests in flight at other versions.
    #[prost(uint64, tag = "7")]
    pub in_flight_at_others: u64,
    /// Whether the node sends only to the destination version and has nothing in flight at others.
    #[prost(bool, tag = "8")]
    pub is_drained: bool,
    /// Responses by route.
    #[prost(message, repeated, tag = "9")]
    pub routes: Vec<RouteReport>,
}

/// Responses on one route, by version.
#[derive(Clone, PartialEq, Message)]
pub struct RouteReport {
    /// Name of the route; empty for batch calls of stage services.
    #[prost(string, tag = "1")]
    pub route: String,
    /// Responses of the destination version.
    #[prost(message, required, tag = "2")]
    pub destination: VersionResponses,
    /// Responses of all other versions.
    #[prost(message, required, tag = "3")]
    pub others: VersionResponses,
}

/// Counts of a version's responses.
#[derive(Clone, PartialEq, Message)]
pub struct VersionResponses {
    /// Number of failed requests.
    #[prost(uint64, tag = "1")]
    pub failed: u64,
    /// Number of successful responses in each latency bucket.
    #[prost(uint32, repeated, tag = "2")]
    pub latency_counts: Vec<u32>,
}

/// The newest known limit that an upstream announced for all nodes together.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct LimitReport {
    /// Incarnation of the upstream's process.
    #[prost(fixed64, tag = "1")]
    pub incarnation_id: u64,
    /// Requests per second; absent if the upstream no longer announces a limit.
    #[prost(double, optional, tag = "2")]
    pub per_s: Option<f64>,
    /// Time since the upstream announced the limit, in milliseconds.
    #[prost(uint32, tag = "3")]
    pub age_ms: u32,
}

/// Requests a permit to send one request to an upstream that announces a limit.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct PermitRequest {
    /// Ticket number, chosen by the requesting node.
    #[prost(uint64, tag = "1")]
    pub ticket: u64,
    /// The upstream, and the limit that the requesting node knows of.
    #[prost(message, required, tag = "2")]
    pub limit: LimitReport,
    /// Priority rank of the request; 0 goes first.
    #[prost(uint32, tag = "3")]
    pub rank: u32,
    /// Whether the permit is for a brittle upstream; `limit` contains the rejections within a second
    /// that the upstream announces then.
    #[prost(bool, tag = "4")]
    pub is_for_brittle: bool,
}

/// Returns a permit to send to a brittle upstream, once the send has ended.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct PermitReturn {
    /// Ticket number of the permit request.
    #[prost(uint64, tag = "1")]
    pub ticket: u64,
    /// Incarnation of the upstream's process.
    #[prost(fixed64, tag = "2")]
    pub incarnation_id: u64,
    /// Whether the upstream rejected the request.
    #[prost(bool, tag = "3")]
    pub was_rejected: bool,
}

/// Grants or denies a permit to send one request to an upstream that announces a limit.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct PermitResponse {
    /// Ticket number of the permit request.
    #[prost(uint64, tag = "1")]
    pub ticket: u64,
    /// The upstream, and the limit that the issuing node knows of.
    #[prost(message, required, tag = "2")]
    pub limit: LimitReport,
    /// Whether the permit is granted.
    #[prost(bool, tag = "3")]
    pub is_granted: bool,
    /// If denied: time until the requesting node may ask again, in milliseconds.
    #[prost(uint32, tag = "4")]
    pub retry_after_ms: u32,
    /// If denied: time that the upstream takes at its limit to serve the requests that currently
    /// arrive in one second, in milliseconds.
    #[prost(uint32, tag = "5")]
    pub drained_after_ms: u32,
    /// Whether the permit is for a brittle upstream.
    #[prost(bool, tag = "6")]
    pub is_for_brittle: bool,
}

/// An operator's newest order on a failure domain.
#[derive(Clone, PartialEq, Message)]
pub struct EvacuationOrderMessage {
    /// The failure domain.
    #[prost(string, tag = "1")]
    pub failure_domain: String,
    /// Whether the domain is evacuated; `false` if the evacuation was withdrawn.
    #[prost(bool, tag = "2")]
    pub is_in_force: bool,
    /// Offset of the order in the store.
    #[prost(uint64, tag = "3")]
    pub offset: u64,
    /// Era of the store that `offset` belongs to.
    #[prost(uint64, tag = "4")]
    pub era: u64,
}

/// Whose loads and reservations a heartbeat contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum LoadScope {
    /// Those of the sender.
    Sender = 0,
    /// The sums over all nodes of the sender's failure domain.
    Domain = 1,
    /// None; those reported before stay valid.
    Omitted = 2,
}

/// Load of one stage service, as a node reports it.
#[derive(Clone, PartialEq, Message)]
pub struct StageLoad {
    /// Short hash of the service's name.
    #[prost(fixed32, tag = "1")]
    pub service_hash: u32,
    /// Whether the node owns the service; if not, only `reserved` is set.
    #[prost(bool, tag = "2")]
    pub is_owner: bool,
    /// Pieces per second that the service's workers complete together while more pieces wait.
    #[prost(float, tag = "3")]
    pub rate_per_s: f32,
    /// Recent arrival rate of pieces, in pieces per second, by priority rank.
    #[prost(float, repeated, tag = "4")]
    pub arrivals_per_s: Vec<f32>,
    /// Waiting pieces that can still complete in time, by priority rank.
    #[prost(uint32, repeated, tag = "5")]
    pub waiting: Vec<u32>,
    /// Waiting pieces that can no longer complete in time.
    #[prost(uint32, tag = "6")]
    pub late: u32,
    /// Pieces that the node has reserved for requests and not submitted yet, by priority rank.
    #[prost(uint32, repeated, tag = "7")]
    pub reserved: Vec<u32>,
    /// Pieces per second of all requests that recently arrived at the node, whether they were
    /// admitted or not, by priority rank.
    #[prost(float, repeated, tag = "8")]
    pub offered_per_s: Vec<f32>,
    /// Pieces per second of the requests that the node recently admitted, by priority rank.
    #[prost(float, repeated, tag = "9")]
    pub admitted_per_s: Vec<f32>,
    /// Set by the owner: share of the offered requests of each priority rank that nodes admit, from
    /// 0 to 1. Empty if the owner has not determined any.
    #[prost(float, repeated, tag = "10")]
    pub shares: Vec<f32>,
    /// Set by the owner: pieces per second that are available to each priority rank after the
    /// demand of more urgent ranks.
    #[prost(float, repeated, tag = "11")]
    pub available_per_s: Vec<f32>,
    /// The workspaces with the highest demand at the node, while the service is short of capacity.
    #[prost(message, repeated, tag = "12")]
    pub workspace_demands: Vec<WorkspaceDemand>,
    /// Set by the owner: shares of the workspaces that demand more than their fair share.
    #[prost(message, repeated, tag = "13")]
    pub workspace_shares: Vec<WorkspaceShare>,
}

/// Demand of one workspace for a stage service.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct WorkspaceDemand {
    /// Short hash of the workspace's name.
    #[prost(fixed32, tag = "1")]
    pub workspace_hash: u32,
    /// Priority rank of the requests.
    #[prost(uint32, tag = "2")]
    pub rank: u32,
    /// Pieces per second of the requests that arrive, whether they are admitted or not.
    #[prost(float, tag = "3")]
    pub offered_per_s: f32,
}

/// Share of a workspace that demands more of a stage service than its fair share.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct WorkspaceShare {
    /// Short hash of the workspace's name.
    #[prost(fixed32, tag = "1")]
    pub workspace_hash: u32,
    /// Priority rank of the requests.
    #[prost(uint32, tag = "2")]
    pub rank: u32,
    /// Share of the workspace's offered requests that nodes admit, from 0 to 1.
    #[prost(float, tag = "3")]
    pub share: f32,
}

/// Requests the upstreams' records.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct DirectoryRequest {
    /// Offset up to which the requesting node has applied the records; 0 to get all of them.
    #[prost(uint64, tag = "1")]
    pub since: u64,
    /// Era of the store that `since` belongs to.
    #[prost(uint64, tag = "2")]
    pub era: u64,
}

/// The configuration in force.
#[derive(Clone, PartialEq, Message)]
pub struct CompressedConfig {
    /// The record from the store, compressed ([`crate::compression`]). Former versions used field 1
    /// for the uncompressed record and field 2 for its age; these must not be set, since nodes that
    /// don't know the compressed field would take an age as a confirmation of the configuration
    /// that they have.
    #[prost(bytes = "bytes", tag = "4")]
    pub compressed: bytes::Bytes,
    /// Offset in the store after the record; 0 if unknown.
    #[prost(uint64, tag = "3")]
    pub end: u64,
    /// Era of the store that `end` belongs to.
    #[prost(uint64, tag = "5")]
    pub era: u64,
}

/// Records of upstreams.
#[derive(Clone, PartialEq, Message)]
pub struct DirectoryRecords {
    /// Offset in the store up to which the sender has applied records.
    #[prost(uint64, tag = "1")]
    pub end: u64,
    /// The records; empty if `compressed` is set.
    #[prost(message, repeated, tag = "2")]
    pub records: Vec<DirectoryRecord>,
    /// Whether these are the records of all upstreams; if not, those since the requested offset.
    #[prost(bool, tag = "3")]
    pub is_full: bool,
    /// Time for which a missing record may still be a lapse (its upstream could not renew it) and
    /// not a removal, in milliseconds.
    #[prost(uint32, tag = "4")]
    pub lapse_window_ms: u32,
    /// Time since the store confirmed that there were no newer records, in milliseconds.
    #[prost(uint32, optional, tag = "5")]
    pub age_ms: Option<u32>,
    /// Era of the store that `end` belongs to.
    #[prost(uint64, tag = "6")]
    pub era: u64,
    /// Replaces `records` if there are many: a [`DirectoryList`], compressed
    /// ([`crate::compression`]).
    #[prost(bytes = "bytes", tag = "7")]
    pub compressed: bytes::Bytes,
}

/// Records of upstreams, in the form that is compressed.
#[derive(Clone, PartialEq, Message)]
pub struct DirectoryList {
    /// The records.
    #[prost(message, repeated, tag = "1")]
    pub records: Vec<DirectoryRecord>,
}

/// Record of one upstream, or of its removal.
#[derive(Clone, PartialEq, Message)]
pub struct DirectoryRecord {
    /// Instance name; stays the same if the process restarts under this name.
    #[prost(string, tag = "1")]
    pub instance: String,
    /// Offset of the record in the store.
    #[prost(uint64, tag = "2")]
    pub offset: u64,
    /// Service of the upstream.
    #[prost(string, tag = "3")]
    pub service: String,
    /// Address of the upstream, `ip:port`.
    #[prost(string, tag = "4")]
    pub address: String,
    /// Failure domain of the upstream.
    #[prost(string, tag = "5")]
    pub failure_domain: String,
    /// Number of requests that it runs concurrently.
    #[prost(uint32, tag = "6")]
    pub slots: u32,
    /// Whether it is draining.
    #[prost(bool, tag = "7")]
    pub is_draining: bool,
    /// Whether the record was removed; only `instance`, `offset` and `era` are set then.
    #[prost(bool, tag = "8")]
    pub is_removed: bool,
    /// Start time of the upstream's process, in Unix milliseconds, if known.
    #[prost(uint64, optional, tag = "9")]
    pub started_ms: Option<u64>,
    /// With `is_removed`: whether the store holds an unreadable record under this instance. Such a
    /// removal takes effect at once, since it can't be a lapse.
    #[prost(bool, tag = "10")]
    pub is_unreadable: bool,
    /// Time for which the upstream stays cold, in milliseconds.
    #[prost(uint32, tag = "11")]
    pub cold_ms: u32,
    /// Era of the store that `offset` belongs to.
    #[prost(uint64, tag = "12")]
    pub era: u64,
    /// Number of times that the process has written its record since its start.
    #[prost(uint64, tag = "13")]
    pub sequence: u64,
    /// Software version of the upstream.
    #[prost(string, tag = "14")]
    pub version: String,
}

/// Pieces of one stage of one request, submitted to the owner of the stage's service.
#[derive(Clone, PartialEq, Message)]
pub struct StageWork {
    /// Ticket number, chosen by the requesting node.
    #[prost(uint64, tag = "1")]
    pub ticket: u64,
    /// Service of the stage.
    #[prost(string, tag = "2")]
    pub service: String,
    /// Identifier of the request.
    #[prost(string, tag = "3")]
    pub request_id: String,
    /// Index of the stage in the route.
    #[prost(uint32, tag = "4")]
    pub stage: u32,
    /// Number of pieces.
    #[prost(uint32, tag = "5")]
    pub pieces: u32,
    /// Key of the input, for a stage that depends on no other stage.
    #[prost(string, optional, tag = "6")]
    pub key: Option<String>,
    /// Handles of the results that the pieces need, for a stage that depends on others.
    #[prost(string, repeated, tag = "7")]
    pub inputs: Vec<String>,
    /// Time after which the results are useless, in milliseconds.
    #[prost(uint32, tag = "8")]
    pub remaining_ms: u32,
    /// Time within which the results must exist for the request to meet its objective, in
    /// milliseconds; negative if that has passed.
    #[prost(sint32, tag = "9")]
    pub due_ms: i32,
    /// Priority rank of the request; 0 goes first.
    #[prost(uint32, tag = "10")]
    pub priority: u32,
    /// Approximate size of one result, in bytes.
    #[prost(uint64, tag = "11")]
    pub result_bytes: u64,
    /// Failure domain that reads the results; empty if their place doesn't matter.
    #[prost(string, tag = "12")]
    pub consumer_domain: String,
    /// Fingerprint of the request.
    #[prost(bytes = "bytes", tag = "13")]
    pub fingerprint: bytes::Bytes,
    /// Failure domain whose workers get the pieces while the service is sharded; empty for all
    /// workers.
    #[prost(string, tag = "14")]
    pub worker_domain: String,
    /// Regions in which the request may be served; empty if it may be served in any.
    #[prost(string, repeated, tag = "15")]
    pub allowed_regions: Vec<String>,
    /// Whether the pieces were submitted to another owner before, which was lost.
    #[prost(bool, tag = "16")]
    pub is_resubmitted: bool,
}

/// Outcome of the pieces of one stage.
#[derive(Clone, PartialEq, Message)]
pub struct StageDone {
    /// Ticket number of the [`StageWork`].
    #[prost(uint64, tag = "1")]
    pub ticket: u64,
    /// 0 completed, 1 late, 2 an input is gone, 3 failed, 4 quarantined, 5 the failure domain has
    /// no workers.
    #[prost(uint32, tag = "2")]
    pub outcome: u32,
    /// Handles of the results, in piece order.
    #[prost(string, repeated, tag = "3")]
    pub handles: Vec<String>,
}

/// Names the pieces of one stage by their ticket.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct WorkTicket {
    /// Ticket number of the [`StageWork`].
    #[prost(uint64, tag = "1")]
    pub ticket: u64,
}

/// Names the pieces of several stages by their tickets.
#[derive(Clone, PartialEq, Message)]
pub struct WorkTickets {
    /// Ticket numbers of the [`StageWork`] messages.
    #[prost(uint64, repeated, tag = "1")]
    pub tickets: Vec<u64>,
}

/// Upstreams that crashed, and requests that were answered in full after upstreams had crashed
/// under them.
#[derive(Clone, PartialEq, Message)]
pub struct CrashReports {
    /// The crashes.
    #[prost(message, repeated, tag = "1")]
    pub crashes: Vec<CrashReport>,
    /// The requests that were answered in full.
    #[prost(message, repeated, tag = "2")]
    pub cleared: Vec<ClearanceReport>,
    /// The parts of prompts whose requests were answered.
    #[prost(message, repeated, tag = "3")]
    pub cleared_parts: Vec<PartClearanceReport>,
    /// Whether this replies to a report of the receiver.
    #[prost(bool, tag = "4")]
    pub is_reply: bool,
}

/// The crash of one incarnation of an upstream.
#[derive(Clone, PartialEq, Message)]
pub struct CrashReport {
    /// Instance name of the upstream.
    #[prost(string, tag = "1")]
    pub instance: String,
    /// Start time of the upstream's process, in Unix milliseconds, if known.
    #[prost(uint64, optional, tag = "2")]
    pub started_ms: Option<u64>,
    /// Time since the crash, in milliseconds.
    #[prost(uint32, tag = "3")]
    pub age_ms: u32,
    /// Fingerprints of the requests that were in flight.
    #[prost(bytes = "bytes", repeated, tag = "4")]
    pub fingerprints: Vec<bytes::Bytes>,
    /// The requests in flight whose prompts have shared parts.
    #[prost(message, repeated, tag = "5")]
    pub requests: Vec<SuspectRequest>,
}

/// A request that was in flight at a crash.
#[derive(Clone, PartialEq, Message)]
pub struct SuspectRequest {
    /// Fingerprint of the request.
    #[prost(bytes = "bytes", tag = "1")]
    pub fingerprint: bytes::Bytes,
    /// The service of the upstream.
    #[prost(string, tag = "2")]
    pub service: String,
    /// Identifiers of the shared parts of its prompt that are suspect.
    #[prost(uint64, repeated, tag = "3")]
    pub parts: Vec<u64>,
}

/// An answer to a request with a part, which clears the part of earlier crashes.
#[derive(Clone, PartialEq, Message)]
pub struct PartClearanceReport {
    /// The service that answered.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Identifier of the part.
    #[prost(uint64, tag = "2")]
    pub part: u64,
    /// Time since the answer, in milliseconds.
    #[prost(uint32, tag = "3")]
    pub age_ms: u32,
}

/// A request that was answered in full, which clears it of earlier crashes.
#[derive(Clone, PartialEq, Message)]
pub struct ClearanceReport {
    /// Fingerprint of the request.
    #[prost(bytes = "bytes", tag = "1")]
    pub fingerprint: bytes::Bytes,
    /// Time since the answer, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub age_ms: u32,
}

/// Results that are no longer needed.
#[derive(Clone, PartialEq, Message)]
pub struct ReleaseResults {
    /// Service whose workers hold the results.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Handles of the results.
    #[prost(string, repeated, tag = "2")]
    pub handles: Vec<String>,
}

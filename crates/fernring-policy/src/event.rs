//! Input events and output actions of the dispatcher.

use {
    crate::{answer::Answer, assembly::ResponsePart, upstreams::UpstreamReport},
    fernring_core::{
        catalog::Catalog,
        claim::{ClaimBatch, ClaimPage},
        ids::{AttemptRef, Incarnation, RequestKey, ScopedKey, WaiterId},
        text::LogLine,
    },
    std::{net::SocketAddr, sync::Arc},
    uuid::Uuid,
};

/// A request as a caller submits it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Submission {
    /// The waiter for the answer.
    pub waiter: WaiterId,
    /// Identity that the request gets if it is accepted; upstreams echo it.
    pub uid: Uuid,
    /// Name of the pipeline.
    pub pipeline: String,
    /// Name of the workspace.
    pub workspace: Arc<str>,
    /// Request key that the caller sent, if any.
    pub key: Option<RequestKey>,
    /// Whether the caller asks that no part of the request runs twice.
    pub non_idempotent: bool,
    /// Window for the answer, in milliseconds; the pipeline's default if `None`.
    pub window_ms: Option<u64>,
    /// Input of the first stage.
    pub input: Arc<str>,
    /// Name that requests with a common prompt prefix share; the pipeline and workspace if
    /// `None`.
    pub prefix: Option<String>,
    /// Whether the caller receives the parts of the last stage as they arrive.
    pub streaming: bool,
    /// Whether another node forwarded the submission because this one owns the key. A forwarded
    /// submission never starts a claimed key here.
    pub forwarded: bool,
}

/// A part of an upstream's response, with the identities that the upstream echoed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EchoedPart {
    /// Identity of the request.
    pub uid: Uuid,
    /// Index of the stage.
    pub stage: u16,
    /// Number of the attempt.
    pub attempt: u64,
    /// The part of the response.
    pub part: ResponsePart,
}

/// How an attempt ended, as far as the node's I/O can tell.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum AttemptEnd {
    /// The upstream's response ended properly.
    Completed,
    /// No connection was made, so nothing left this node.
    NotSent,
    /// The upstream responded that it refuses the attempt and ran nothing.
    Refused,
    /// The upstream responded that it refuses the attempt, and ran nothing, because it is leaving.
    Leaving,
    /// The upstream responded with an error, or the connection broke.
    Failed,
    /// This node cancelled the attempt.
    Cancelled,
}

/// An input of the dispatcher.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A caller or another node submits a request.
    Submit(Submission),
    /// A caller no longer waits. Its request continues, since the caller may ask for the outcome.
    WaiterLeft(WaiterId),
    /// Parts arrived on the connection of an attempt.
    Parts {
        /// The attempt that the connection belongs to.
        attempt: AttemptRef,
        /// The parts, in the order of arrival.
        parts: Vec<EchoedPart>,
    },
    /// An attempt ended. Each attempt that was sent ends exactly once.
    AttemptEnded {
        /// The attempt.
        attempt: AttemptRef,
        /// How the attempt ended.
        end: AttemptEnd,
    },
    /// A page of the claim stream was read.
    ClaimsRead(ClaimPage),
    /// The append in flight took effect.
    ClaimsAppended,
    /// The append in flight failed or its response was lost. It may have taken effect.
    ClaimsOutcomeUnknown,
    /// The owner of a key answered a forwarded submission.
    OwnerAnswered {
        /// The waiter of the forwarded submission.
        waiter: WaiterId,
        /// The owner's answer; `None` if the owner can't be reached or does not know the key.
        answer: Option<OwnerAnswer>,
    },
    /// A new configuration is in force.
    Configured(Arc<Catalog>),
    /// Reports of upstreams arrived.
    UpstreamsReported(Vec<UpstreamReport>),
    /// The VM list shows these upstreams as leaving.
    VmsLeaving(Vec<String>),
    /// The node should accept no new requests.
    Drain,
    /// Time passed; see [`crate::dispatcher::Dispatcher::next_timer`].
    Tick,
}

/// The final answer of a key's owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnerAnswer {
    /// Result code of the answer.
    pub code: fernring_core::code::ResultCode,
    /// Complete output, if the request was answered.
    pub output: Option<Arc<str>>,
    /// Retry-after time, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

/// An attempt to send to an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Dispatch {
    /// The attempt.
    pub attempt: AttemptRef,
    /// Identity of the request, which the upstream echoes.
    pub uid: Uuid,
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Name of the stage.
    pub stage_name: String,
    /// Whether the stage has a side effect. If so, the layers below must not repeat the call.
    pub effect: bool,
    /// Input of the stage.
    pub input: Arc<str>,
    /// Hash of the prompt prefix.
    pub prefix: u64,
    /// Time left in the request's window, in milliseconds.
    pub remaining_ms: u64,
}

/// A submission to forward to the owner of its key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Forward {
    /// The waiter of the submission.
    pub waiter: WaiterId,
    /// The incarnation that owns the key. Only it may answer.
    pub incarnation: Incarnation,
    /// Peer address of the owner.
    pub address: SocketAddr,
    /// The submission to forward.
    pub submission: Submission,
}

/// An action that the node carries out for the dispatcher.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send an attempt, exactly once.
    Dispatch(Dispatch),
    /// Close the connection of an attempt. The end of the attempt is still reported.
    Cancel(AttemptRef),
    /// Pass a part of the last stage's response to a streaming waiter.
    Deliver {
        /// The waiter.
        waiter: WaiterId,
        /// The text that follows the text delivered before.
        text: Arc<str>,
    },
    /// Give a waiter its final answer.
    Finish {
        /// The waiter.
        waiter: WaiterId,
        /// The answer.
        answer: Answer,
    },
    /// Append a record to the claim stream and report the outcome.
    AppendClaims(ClaimBatch),
    /// Forward a submission to the owner of its key.
    Forward(Box<Forward>),
    /// Write a log line.
    Log(LogLine),
}

/// Status of a key at this node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyStatus {
    /// The request runs at this node.
    Running {
        /// Index of the current stage.
        stage: u16,
    },
    /// The request has ended at this node with this answer.
    Ended(Answer),
    /// Another incarnation owns the key.
    OwnedElsewhere {
        /// The incarnation that owns the key.
        incarnation: Incarnation,
        /// Peer address of the owner.
        address: SocketAddr,
    },
    /// The key is unknown at this node.
    Unknown,
}

/// Counters of a node since its start, and the current number of requests in flight.
///
/// Invariant, asserted after every event, also in release builds:
/// `accepted = answered + not_run + failed + unknown + in_flight`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// Submissions that became ledger entries.
    pub accepted: u64,
    /// Submissions refused on arrival, which are not counted as accepted.
    pub refused: u64,
    /// Entries that ended with a complete answer.
    pub answered: u64,
    /// Entries that ended before any attempt.
    pub not_run: u64,
    /// Entries that ended as FAILED or LATE.
    pub failed: u64,
    /// Entries that ended as UNKNOWN.
    pub unknown: u64,
    /// Entries that have not ended.
    pub in_flight: u64,
    /// Submissions that joined a running request or got a stored answer.
    pub repeats: u64,
    /// Submissions forwarded to the owner of their key.
    pub forwarded: u64,
    /// Parts dropped because they echoed another request, stage or attempt.
    pub parts_misdirected: u64,
    /// Parts dropped because they had already arrived.
    pub parts_duplicate: u64,
    /// Parts dropped because their attempt had lost or its request had ended.
    pub parts_late: u64,
    /// First attempts sent.
    pub first_attempts: u64,
    /// Retries sent.
    pub retries: u64,
    /// Attempts sent again after an attempt that ran nothing: no connection, or a refusal.
    pub resends: u64,
    /// Hedges sent.
    pub hedges: u64,
    /// Attempts sent for stages with a side effect.
    pub effects: u64,
    /// Records sent to the claim stream.
    pub appends: u64,
}

/// Returns a key as text for log lines.
pub fn key_text(key: Option<&ScopedKey>) -> Option<String> {
    key.map(|scoped| scoped.key.to_string())
}

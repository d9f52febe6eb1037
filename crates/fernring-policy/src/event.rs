//! What the dispatcher is told and what it asks for.

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
    /// Who waits for the answer.
    pub waiter: WaiterId,
    /// Identity given to the request if it is accepted; upstreams echo it.
    pub uid: Uuid,
    /// Name of the pipeline.
    pub pipeline: String,
    /// Name of the workspace.
    pub workspace: Arc<str>,
    /// The caller's key, if any.
    pub key: Option<RequestKey>,
    /// Whether the caller asks that nothing of it runs twice.
    pub non_idempotent: bool,
    /// Time within which the answer is wanted, in milliseconds; the pipeline's default if `None`.
    pub window_ms: Option<u64>,
    /// Input of the first stage.
    pub input: Arc<str>,
    /// What requests with a common prompt prefix have in common; the pipeline and workspace if
    /// `None`.
    pub prefix: Option<String>,
    /// Whether the caller takes the parts of the last stage as they come.
    pub streaming: bool,
    /// Whether another node passed it on because this one owns the key. A claimed key that is
    /// passed on is never started here.
    pub forwarded: bool,
}

/// A part of an upstream's answer, with the identities that the upstream echoed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EchoedPart {
    /// The request's identity.
    pub uid: Uuid,
    /// Index of the stage.
    pub stage: u16,
    /// Number of the attempt.
    pub attempt: u64,
    /// The part.
    pub part: ResponsePart,
}

/// How an attempt ended, as far as the shell can tell.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum AttemptEnd {
    /// The upstream's answer ended properly.
    Completed,
    /// No connection was made: nothing left this node.
    NotSent,
    /// The upstream refused before running anything, and says so.
    Refused,
    /// The upstream refused before running anything because it is leaving.
    Leaving,
    /// The upstream answered with an error, or the connection broke.
    Failed,
    /// The attempt was cancelled by this node.
    Cancelled,
}

/// What happened.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A caller, or another node, submits a request.
    Submit(Submission),
    /// A caller no longer waits. Its request goes on: the caller may ask for the outcome.
    WaiterLeft(WaiterId),
    /// Parts arrived on the connection of an attempt.
    Parts {
        /// The attempt whose connection it is.
        attempt: AttemptRef,
        /// The parts, in the order they arrived.
        parts: Vec<EchoedPart>,
    },
    /// An attempt ended. Every attempt that was sent ends exactly once.
    AttemptEnded {
        /// The attempt.
        attempt: AttemptRef,
        /// How.
        end: AttemptEnd,
    },
    /// A page of the claim stream was read.
    ClaimsRead(ClaimPage),
    /// The append in flight took effect.
    ClaimsAppended,
    /// The append in flight failed, or its answer was lost: it may have taken effect.
    ClaimsOutcomeUnknown,
    /// The owner of a key answered a submission that was passed on.
    OwnerAnswered {
        /// The waiter that the submission was passed on for.
        waiter: WaiterId,
        /// The owner's word; `None` if the owner can't be reached or does not know the key.
        answer: Option<OwnerAnswer>,
    },
    /// A new configuration is in force.
    Configured(Arc<Catalog>),
    /// Upstreams reported.
    UpstreamsReported(Vec<UpstreamReport>),
    /// The VM list shows these upstreams as leaving.
    VmsLeaving(Vec<String>),
    /// The node is to take no new requests.
    Drain,
    /// Time passed; see [`crate::dispatcher::Dispatcher::next_timer`].
    Tick,
}

/// The final word of a key's owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnerAnswer {
    /// Its result code.
    pub code: fernring_core::code::ResultCode,
    /// The whole output, if it was answered.
    pub output: Option<Arc<str>>,
    /// When to come back, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

/// An attempt to send to an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Dispatch {
    /// The attempt.
    pub attempt: AttemptRef,
    /// The request's identity, which the upstream echoes.
    pub uid: Uuid,
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Name of the stage.
    pub stage_name: String,
    /// Whether the stage has a side effect: then nothing below may repeat the call.
    pub effect: bool,
    /// Input of the stage.
    pub input: Arc<str>,
    /// Hash of the prompt prefix.
    pub prefix: u64,
    /// Time left in the window, in milliseconds.
    pub remaining_ms: u64,
}

/// A submission to pass on to the owner of its key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Forward {
    /// The waiter that it is passed on for.
    pub waiter: WaiterId,
    /// The incarnation that owns the key. Only it may answer.
    pub incarnation: Incarnation,
    /// Its peer address.
    pub address: SocketAddr,
    /// The submission.
    pub submission: Submission,
}

/// What the shell is to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send an attempt, exactly once.
    Dispatch(Dispatch),
    /// Give up an attempt's connection; its end is still reported.
    Cancel(AttemptRef),
    /// Pass a part of the last stage's answer to a streaming waiter.
    Deliver {
        /// The waiter.
        waiter: WaiterId,
        /// The text that follows what was delivered before.
        text: Arc<str>,
    },
    /// Give a waiter its final answer.
    Finish {
        /// The waiter.
        waiter: WaiterId,
        /// The answer.
        answer: Answer,
    },
    /// Append a record to the claim stream and report what became of it.
    AppendClaims(ClaimBatch),
    /// Pass a submission on to the owner of its key.
    Forward(Box<Forward>),
    /// Write a log line.
    Log(LogLine),
}

/// What is known of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyStatus {
    /// Its request is under way here.
    Running {
        /// Index of the stage it has reached.
        stage: u16,
    },
    /// Its request has ended here with this answer.
    Ended(Answer),
    /// Another incarnation owns it.
    OwnedElsewhere {
        /// That incarnation.
        incarnation: Incarnation,
        /// Its peer address.
        address: SocketAddr,
    },
    /// Nothing is known of it.
    Unknown,
}

/// Numbers of a node since it started, and of this moment.
///
/// Invariant, asserted after every event in release builds too:
/// `accepted = answered + not_run + failed + unknown + in_flight`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// Submissions that became ledger entries.
    pub accepted: u64,
    /// Submissions refused on arrival; they are not among the accepted.
    pub refused: u64,
    /// Entries that ended with the whole answer.
    pub answered: u64,
    /// Entries that ended before any attempt.
    pub not_run: u64,
    /// Entries that ended as FAILED or LATE.
    pub failed: u64,
    /// Entries that ended as UNKNOWN.
    pub unknown: u64,
    /// Entries that have not ended.
    pub in_flight: u64,
    /// Submissions that joined a running request or got a kept answer.
    pub repeats: u64,
    /// Submissions passed on to the owner of their key.
    pub forwarded: u64,
    /// Parts dropped because they echoed another request, stage or attempt.
    pub parts_misdirected: u64,
    /// Parts dropped because they were there already.
    pub parts_duplicate: u64,
    /// Parts dropped because their attempt had lost or its request had ended.
    pub parts_late: u64,
    /// First attempts sent.
    pub first_attempts: u64,
    /// Retries sent.
    pub retries: u64,
    /// Attempts sent again after one that ran nothing: no connection, or a refusal.
    pub resends: u64,
    /// Hedges sent.
    pub hedges: u64,
    /// Side effects sent.
    pub effects: u64,
    /// Records handed over for the claim stream.
    pub appends: u64,
}

/// A key and the workspace it belongs to, as text; for log lines.
pub fn key_text(key: Option<&ScopedKey>) -> Option<String> {
    key.map(|scoped| scoped.key.to_string())
}

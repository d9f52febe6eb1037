//! The records of the claim stream.
//!
//! A claim says that one incarnation, and no other, may run the side effects of a key. The first
//! valid record of a key in log order decides.

use {
    crate::ids::{Incarnation, ScopedKey},
    std::net::SocketAddr,
};

/// Name of the claim stream on the log service.
pub const CLAIM_STREAM: &str = "fernring-claims";

/// What a claim record says of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ClaimKind {
    /// The incarnation may run the key's side effects, once.
    Claim,
    /// Nothing of the key ever reached an upstream, and if the incarnation owns it, nothing will.
    Spent,
    /// Stages without side effect ran; the side effects never will if the incarnation owns the key.
    Ended,
}

/// One entry of a claim record.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimEntry {
    /// The key within its workspace.
    pub key: ScopedKey,
    /// What is said of it.
    pub kind: ClaimKind,
}

/// One record of the claim stream: everything one node had waiting.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimBatch {
    /// The incarnation that speaks.
    pub incarnation: Incarnation,
    /// Its peer address, where repeats of its keys are forwarded to.
    pub address: SocketAddr,
    /// The entries, in the order they were asked for.
    pub entries: Vec<ClaimEntry>,
}

/// A claim record as read back from the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimRecord {
    /// Its offset.
    pub offset: u64,
    /// The log's own time of the record, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// What it says; `None` for a record that is not one of ours.
    pub batch: Option<ClaimBatch>,
}

/// A page of the claim stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimPage {
    /// The offset that was asked for.
    pub from: u64,
    /// The oldest offset that the log still kept when it answered.
    pub first_offset: u64,
    /// The offset that the next record will get.
    pub next_offset: u64,
    /// The log's own time when it answered, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// The records, contiguous from `max(from, first_offset)`.
    pub records: Vec<ClaimRecord>,
}

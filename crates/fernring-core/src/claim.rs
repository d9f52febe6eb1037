//! The records of the claim stream.
//!
//! A claim gives one incarnation the exclusive right to run the side effects of a key. The first
//! valid record of a key, in log order, decides which incarnation owns the key.

use {
    crate::ids::{Incarnation, ScopedKey},
    std::net::SocketAddr,
};

/// Name of the claim stream on the log service.
pub const CLAIM_STREAM: &str = "fernring-claims";

/// The statement that a claim entry makes about a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ClaimKind {
    /// The incarnation may run the key's side effects, once.
    Claim,
    /// Nothing of the key's request has reached an upstream, and nothing will if the incarnation
    /// owns the key.
    Spent,
    /// Stages without a side effect have run; the side effects never will if the incarnation owns
    /// the key.
    Ended,
}

/// One entry of a claim record.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimEntry {
    /// The key, with its workspace.
    pub key: ScopedKey,
    /// The statement about the key.
    pub kind: ClaimKind,
}

/// One record of the claim stream: the claim entries that one node had pending.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimBatch {
    /// The incarnation that appends the record.
    pub incarnation: Incarnation,
    /// Peer address of the incarnation, to which other nodes forward repeats of its keys.
    pub address: SocketAddr,
    /// The entries, in the order in which they were requested.
    pub entries: Vec<ClaimEntry>,
}

/// A record of the claim stream as read from the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimRecord {
    /// Offset of the record.
    pub offset: u64,
    /// Time of the append by the log's clock, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// The decoded content; `None` for a record that is not a valid claim record.
    pub batch: Option<ClaimBatch>,
}

/// A page of the claim stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimPage {
    /// The requested offset.
    pub from: u64,
    /// The oldest offset that the log retained at the time of the response.
    pub first_offset: u64,
    /// The offset of the next record to be appended.
    pub next_offset: u64,
    /// Time of the response by the log's clock, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// The records, contiguous from offset `max(from, first_offset)`.
    pub records: Vec<ClaimRecord>,
}

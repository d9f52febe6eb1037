//! Encodes and decodes claim records for the log service.

use {
    crate::peer::{incarnation_from_bytes, incarnation_to_bytes},
    fernring_core::{
        claim::{ClaimBatch, ClaimEntry, ClaimKind},
        ids::{RequestKey, ScopedKey},
    },
    fernring_protocol::messages::{ClaimBatchMessage, ClaimEntryMessage},
    prost::Message,
    uuid::Uuid,
};

/// Encodes a claim record. Tickets are never claimed, so entries with a ticket as key are omitted.
pub(super) fn encode_claims(batch: &ClaimBatch) -> Vec<u8> {
    let entries = batch.entries.iter().filter_map(|entry| match entry.key.key {
        RequestKey::Minted(uuid) => Some(ClaimEntryMessage {
            workspace: entry.key.workspace.to_string(),
            key: uuid.as_bytes().to_vec(),
            kind: entry.kind as u32,
        }),
        RequestKey::Ticket(_) => None,
    });
    let message = ClaimBatchMessage {
        incarnation: incarnation_to_bytes(batch.incarnation),
        address: batch.address.to_string(),
        entries: entries.collect(),
    };
    message.encode_to_vec()
}

/// Decodes a claim record; `None` if the bytes are not a valid one.
pub(super) fn decode_claims(data: &[u8]) -> Option<ClaimBatch> {
    let message = ClaimBatchMessage::decode(data).ok()?;
    let entries = message.entries.into_iter().map(decode_entry).collect::<Option<_>>()?;
    Some(ClaimBatch {
        incarnation: incarnation_from_bytes(&message.incarnation)?,
        address: message.address.parse().ok()?,
        entries,
    })
}

fn decode_entry(message: ClaimEntryMessage) -> Option<ClaimEntry> {
    let kind = match message.kind {
        0 => ClaimKind::Claim,
        1 => ClaimKind::Spent,
        2 => ClaimKind::Ended,
        _ => return None,
    };
    let key = RequestKey::Minted(Uuid::from_slice(&message.key).ok()?);
    Some(ClaimEntry { key: ScopedKey { workspace: message.workspace.into(), key }, kind })
}

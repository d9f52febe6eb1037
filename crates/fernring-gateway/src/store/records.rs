//! Changes of upstreams' records, and words on failure domains, as nodes pass them on to each other.

use {
    crate::{
        directory::{Change, Entry},
        evacuations::Word,
        model::{UpstreamRecord, UpstreamState},
        position::Position,
    },
    fernring_protocol::gateway::{DirectoryRecord, EvacuationWord},
    std::{sync::Arc, time::Duration},
};

/// Encodes a change for a peer.
pub(crate) fn directory_record(change: &Change) -> DirectoryRecord {
    let instance = change.instance.to_string();
    let Position { era, offset } = change.at;
    let record = match &change.entry {
        Entry::Present(record) => record,
        Entry::Removed => {
            return DirectoryRecord {
                instance,
                offset,
                era,
                is_removed: true,
                ..Default::default()
            };
        }
        Entry::Unusable => {
            let removed = DirectoryRecord { instance, offset, era, ..Default::default() };
            return DirectoryRecord { is_removed: true, is_unusable: true, ..removed };
        }
    };
    DirectoryRecord {
        instance,
        offset,
        service: record.service.to_string(),
        address: record.address.to_string(),
        failure_domain: record.failure_domain.to_string(),
        slots: record.slots,
        is_draining: record.state == UpstreamState::Draining,
        is_removed: false,
        started_ms: record.started_ms,
        is_unusable: false,
        era,
        sequence: record.sequence,
        cold_ms: record.cold_for.unwrap_or_default().as_millis() as u32,
    }
}

/// Decodes a change of a peer; `None` if its address can't be read.
pub(crate) fn change_from(record: DirectoryRecord) -> Option<Change> {
    let instance: Arc<str> = record.instance.into();
    let at = Position::new(record.era, record.offset);
    if record.is_removed {
        let entry = if record.is_unusable { Entry::Unusable } else { Entry::Removed };
        return Some(Change { instance, at, entry });
    }
    let state = match record.is_draining {
        true => UpstreamState::Draining,
        false => UpstreamState::Ready,
    };
    let upstream = UpstreamRecord {
        instance: instance.clone(),
        started_ms: record.started_ms,
        service: record.service.into(),
        address: record.address.parse().ok()?,
        failure_domain: record.failure_domain.into(),
        slots: record.slots,
        state,
        sequence: record.sequence,
        cold_for: Some(Duration::from_millis(record.cold_ms.into())),
    };
    Some(Change { instance, at, entry: Entry::Present(upstream) })
}

/// Encodes an operator's word on a failure domain for a peer.
pub(crate) fn evacuation_word((failure_domain, word): (&Arc<str>, &Word)) -> EvacuationWord {
    EvacuationWord {
        failure_domain: failure_domain.to_string(),
        is_in_force: word.is_in_force,
        offset: word.at.offset,
        era: word.at.era,
    }
}

/// Decodes a word that a peer passes on, and on which failure domain.
pub(crate) fn evacuation_from(word: &EvacuationWord) -> (Arc<str>, Word) {
    let at = Position::new(word.era, word.offset);
    (word.failure_domain.as_str().into(), Word { at, is_in_force: word.is_in_force })
}

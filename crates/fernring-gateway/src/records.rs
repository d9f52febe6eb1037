//! Changes of upstreams' records, as nodes pass them on to each other.

use {
    crate::{
        directory::Change,
        model::{UpstreamRecord, UpstreamState},
    },
    fernring_protocol::gateway::DirectoryRecord,
    std::sync::Arc,
};

/// Encodes a change for a peer.
pub(crate) fn directory_record(change: &Change) -> DirectoryRecord {
    let instance = change.instance.to_string();
    let Some(record) = &change.record else {
        let offset = change.offset;
        return DirectoryRecord { instance, offset, is_removed: true, ..Default::default() };
    };
    DirectoryRecord {
        instance,
        offset: change.offset,
        service: record.service.to_string(),
        address: record.address.to_string(),
        failure_domain: record.failure_domain.to_string(),
        slots: record.slots,
        is_draining: record.state == UpstreamState::Draining,
        is_removed: false,
    }
}

/// Decodes a change of a peer; `None` if its address can't be read.
pub(crate) fn change_from(record: DirectoryRecord) -> Option<Change> {
    let instance: Arc<str> = record.instance.into();
    if record.is_removed {
        return Some(Change { instance, offset: record.offset, record: None });
    }
    let state = match record.is_draining {
        true => UpstreamState::Draining,
        false => UpstreamState::Ready,
    };
    let upstream = UpstreamRecord {
        instance: instance.clone(),
        service: record.service.into(),
        address: record.address.parse().ok()?,
        failure_domain: record.failure_domain.into(),
        slots: record.slots,
        state,
    };
    Some(Change { instance, offset: record.offset, record: Some(upstream) })
}

//! Encodes and decodes the records that nodes exchange: changes of upstreams' records, operators'
//! orders for failure domains and roll-outs, and counts of roll-outs.

use {
    crate::{
        directory::{Change, Entry},
        evacuations::EvacuationOrder,
        model::{UpstreamRecord, UpstreamState},
        position::Position,
        rollout::{
            counts::{LATENCY_BUCKETS, ResponseStats, RolloutCounts, RouteStats},
            orders::{KnownOrder, RolloutOrder, RolloutProgress},
        },
    },
    fernring_core::clock::saturating_ms,
    fernring_protocol::gateway::{
        DirectoryRecord, EvacuationOrderMessage, RolloutOrderMessage, RolloutProgressReport,
        RolloutReport, RouteReport, VersionResponses,
    },
    std::{sync::Arc, time::Duration},
};

/// Encodes a change of an upstream's record for a peer.
pub(crate) fn encode_change(change: &Change) -> DirectoryRecord {
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
            return DirectoryRecord { is_removed: true, is_unreadable: true, ..removed };
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
        is_unreadable: false,
        era,
        sequence: record.sequence,
        cold_ms: record.cold_for.unwrap_or_default().as_millis() as u32,
        version: record.version.to_string(),
    }
}

/// Decodes a change of an upstream's record from a peer; `None` if the address is malformed.
pub(crate) fn decode_change(record: DirectoryRecord) -> Option<Change> {
    let instance: Arc<str> = record.instance.into();
    let at = Position::new(record.era, record.offset);
    if record.is_removed {
        let entry = if record.is_unreadable { Entry::Unusable } else { Entry::Removed };
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
        version: record.version.into(),
        slots: record.slots,
        state,
        sequence: record.sequence,
        cold_for: Some(Duration::from_millis(record.cold_ms.into())),
    };
    Some(Change { instance, at, entry: Entry::Present(upstream) })
}

/// Encodes an operator's order for a failure domain for a peer.
pub(crate) fn encode_evacuation(
    (failure_domain, order): (&Arc<str>, &EvacuationOrder),
) -> EvacuationOrderMessage {
    EvacuationOrderMessage {
        failure_domain: failure_domain.to_string(),
        is_in_force: order.is_in_force,
        offset: order.at.offset,
        era: order.at.era,
    }
}

/// Decodes an operator's order from a peer; returns the failure domain with it.
pub(crate) fn decode_evacuation(message: &EvacuationOrderMessage) -> (Arc<str>, EvacuationOrder) {
    let at = Position::new(message.era, message.offset);
    (
        message.failure_domain.as_str().into(),
        EvacuationOrder { at, is_in_force: message.is_in_force },
    )
}

/// Encodes the roll-out order of a service and its progress for a peer.
pub(crate) fn encode_rollout_order(
    now: Duration,
    service: &str,
    known: &KnownOrder,
    is_withdrawn: bool,
) -> RolloutOrderMessage {
    let age_ms = |at: Duration| saturating_ms(now.saturating_sub(at)) as u32;
    let message = RolloutOrderMessage {
        service: service.to_owned(),
        destination: known.order.destination.to_string(),
        offset: known.at.offset,
        era: known.at.era,
        duration_ms: saturating_ms(known.order.duration),
        remaining_ms: saturating_ms(known.deadline_at.saturating_sub(now)),
        is_withdrawn,
        ..RolloutOrderMessage::default()
    };
    let with = |progress: RolloutProgressReport| RolloutOrderMessage {
        progress: progress.into(),
        ..message.clone()
    };
    match known.progress {
        RolloutProgress::Unknown => with(RolloutProgressReport::Unknown),
        RolloutProgress::Completed => with(RolloutProgressReport::Completed),
        RolloutProgress::RolledBack => with(RolloutProgressReport::RolledBack),
        RolloutProgress::Running { share, serial, announced_at } => RolloutOrderMessage {
            share,
            serial,
            decision_age_ms: age_ms(announced_at),
            ..with(RolloutProgressReport::Running)
        },
    }
}

/// Decodes the roll-out order of a service and its progress from a peer; returns the service with
/// it.
pub(crate) fn decode_rollout_order(
    now: Duration,
    message: &RolloutOrderMessage,
) -> (Arc<str>, KnownOrder) {
    let ago = |ms: u32| now.saturating_sub(Duration::from_millis(ms.into()));
    let progress = match message.progress() {
        RolloutProgressReport::Unknown => RolloutProgress::Unknown,
        RolloutProgressReport::Completed => RolloutProgress::Completed,
        RolloutProgressReport::RolledBack => RolloutProgress::RolledBack,
        RolloutProgressReport::Running => RolloutProgress::Running {
            share: message.share.clamp(0.0, 1.0),
            serial: message.serial,
            announced_at: ago(message.decision_age_ms),
        },
    };
    let order = RolloutOrder {
        destination: message.destination.as_str().into(),
        duration: Duration::from_millis(message.duration_ms),
    };
    let at = Position::new(message.era, message.offset);
    let deadline_at = now + Duration::from_millis(message.remaining_ms);
    (message.service.as_str().into(), KnownOrder { order, at, deadline_at, progress })
}

/// Encodes a node's counts of a roll-out. The caller sets the node's incarnation.
pub(crate) fn encode_rollout_report(
    service: &str,
    at: Position,
    counts: &RolloutCounts,
    is_drained: bool,
) -> RolloutReport {
    let encode = |stats: &ResponseStats| VersionResponses {
        failed: stats.failed,
        latency_counts: stats.latency_counts.to_vec(),
    };
    let routes = counts.routes.iter().map(|(route, stats)| RouteReport {
        route: route.to_string(),
        destination: encode(&stats.destination),
        others: encode(&stats.others),
    });
    RolloutReport {
        service: service.to_owned(),
        offset: at.offset,
        era: at.era,
        incarnation: 0,
        requests: counts.requests,
        exposed: counts.exposed,
        in_flight_at_others: counts.in_flight_at_others,
        is_drained,
        routes: routes.collect(),
    }
}

/// Decodes a node's counts of a roll-out.
pub(crate) fn decode_rollout_counts(report: RolloutReport) -> RolloutCounts {
    let decode = |stats: VersionResponses| {
        let count = |bucket: usize| stats.latency_counts.get(bucket).copied().unwrap_or(0);
        ResponseStats {
            failed: stats.failed,
            latency_counts: std::array::from_fn::<_, LATENCY_BUCKETS, _>(count),
        }
    };
    let routes = report.routes.into_iter().map(|route| {
        let stats =
            RouteStats { destination: decode(route.destination), others: decode(route.others) };
        (route.route.into(), stats)
    });
    RolloutCounts {
        requests: report.requests,
        exposed: report.exposed,
        in_flight_at_others: report.in_flight_at_others,
        routes: routes.collect(),
    }
}

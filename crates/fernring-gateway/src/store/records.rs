//! Changes of upstreams' records, words on failure domains, and what is said of roll-outs, as nodes pass them on to each other.

use {
    crate::{
        directory::{Change, Entry},
        evacuations::Word,
        model::{UpstreamRecord, UpstreamState},
        position::Position,
        rollout::{
            counts::{Answers, Counts, RouteAnswers, TIME_CLASSES},
            orders::{Order, Standing, Word as OrderWord},
        },
    },
    fernring_core::clock::saturating_ms,
    fernring_protocol::gateway::{
        DirectoryRecord, EvacuationOrderMessage, RolloutReport, RolloutProgressReport, RolloutOrderMessage, RouteReport,
        VersionAnswers,
    },
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

/// Decodes a change of a peer; `None` if its address can't be read.
pub(crate) fn change_from(record: DirectoryRecord) -> Option<Change> {
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

/// Encodes an operator's word on a failure domain for a peer.
pub(crate) fn evacuation_word((failure_domain, word): (&Arc<str>, &Word)) -> EvacuationOrderMessage {
    EvacuationOrderMessage {
        failure_domain: failure_domain.to_string(),
        is_in_force: word.is_in_force,
        offset: word.at.offset,
        era: word.at.era,
    }
}

/// Decodes a word that a peer passes on, and on which failure domain.
pub(crate) fn evacuation_from(word: &EvacuationOrderMessage) -> (Arc<str>, Word) {
    let at = Position::new(word.era, word.offset);
    (word.failure_domain.as_str().into(), Word { at, is_in_force: word.is_in_force })
}

/// Encodes what is known of a service's order for a peer.
pub(crate) fn rollout_word(
    now: Duration,
    service: &str,
    word: &OrderWord,
    is_withdrawn: bool,
) -> RolloutOrderMessage {
    let age_ms = |at: Duration| saturating_ms(now.saturating_sub(at)) as u32;
    let told = RolloutOrderMessage {
        service: service.to_owned(),
        destination: word.order.destination.to_string(),
        offset: word.at.offset,
        era: word.at.era,
        duration_ms: saturating_ms(word.order.duration),
        remaining_ms: saturating_ms(word.deadline_at.saturating_sub(now)),
        is_withdrawn,
        ..RolloutOrderMessage::default()
    };
    let with =
        |standing: RolloutProgressReport| RolloutOrderMessage { progress: standing.into(), ..told.clone() };
    match word.standing {
        Standing::Unknown => with(RolloutProgressReport::Unknown),
        Standing::Completed => with(RolloutProgressReport::Completed),
        Standing::RolledBack => with(RolloutProgressReport::RolledBack),
        Standing::Running { share, serial, said_at } => RolloutOrderMessage {
            share,
            serial,
            decision_age_ms: age_ms(said_at),
            ..with(RolloutProgressReport::Running)
        },
    }
}

/// Decodes what a peer says of a service's order.
pub(crate) fn rollout_word_from(now: Duration, word: &RolloutOrderMessage) -> (Arc<str>, OrderWord) {
    let ago = |ms: u32| now.saturating_sub(Duration::from_millis(ms.into()));
    let standing = match word.progress() {
        RolloutProgressReport::Unknown => Standing::Unknown,
        RolloutProgressReport::Completed => Standing::Completed,
        RolloutProgressReport::RolledBack => Standing::RolledBack,
        RolloutProgressReport::Running => Standing::Running {
            share: word.share.clamp(0.0, 1.0),
            serial: word.serial,
            said_at: ago(word.decision_age_ms),
        },
    };
    let order = Order {
        destination: word.destination.as_str().into(),
        duration: Duration::from_millis(word.duration_ms),
    };
    let at = Position::new(word.era, word.offset);
    let deadline_at = now + Duration::from_millis(word.remaining_ms);
    (word.service.as_str().into(), OrderWord { order, at, deadline_at, standing })
}

/// Encodes what a node counts of an order. Its own run is left to be named.
pub(crate) fn rollout_report(
    service: &str,
    at: Position,
    counts: &Counts,
    is_drained: bool,
) -> RolloutReport {
    let answers = |answers: &Answers| VersionAnswers {
        failed: answers.failed,
        latency_counts: answers.times.to_vec(),
    };
    let routes = counts.routes.iter().map(|(route, of_route)| RouteReport {
        route: route.to_string(),
        ordered: answers(&of_route.ordered),
        others: answers(&of_route.others),
    });
    RolloutReport {
        service: service.to_owned(),
        offset: at.offset,
        era: at.era,
        incarnation: 0,
        requests: counts.requests,
        exposed: counts.exposed,
        in_flight_at_others: counts.at_others,
        is_drained,
        routes: routes.collect(),
    }
}

/// Decodes what a node counts of an order.
pub(crate) fn rollout_counts(report: RolloutReport) -> Counts {
    let answers = |answers: VersionAnswers| {
        let time = |class: usize| answers.latency_counts.get(class).copied().unwrap_or(0);
        Answers { failed: answers.failed, times: std::array::from_fn::<_, TIME_CLASSES, _>(time) }
    };
    let routes = report.routes.into_iter().map(|route| {
        let of_route =
            RouteAnswers { ordered: answers(route.ordered), others: answers(route.others) };
        (route.route.into(), of_route)
    });
    Counts {
        requests: report.requests,
        exposed: report.exposed,
        at_others: report.in_flight_at_others,
        routes: routes.collect(),
    }
}

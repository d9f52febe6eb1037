//! Which announcement of an upstream's limit is the newest.

use {
    fernring_gateway::{
        limits::{AnnouncedLimit, AnnouncedLimits},
        model::LimitHeader,
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::time::Duration,
};

const INCARNATION: u64 = 7;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn limits_with(per_s: f64, at_ms: u64) -> AnnouncedLimits {
    let mut limits = AnnouncedLimits::default();
    limits
        .record_response(ms(at_ms), INCARNATION, ms(at_ms - 10), LimitHeader::PerSecond(per_s))
        .unwrap();
    limits
}

#[test]
fn later_response_without_limit_lifts_it() {
    let mut limits = limits_with(3.0, 1_000);
    // It overtook, or its head was written before.
    assert_eq!(limits.record_response(ms(1_500), INCARNATION, ms(990), LimitHeader::None), None);
    assert_eq!(limits.limit_per_s(INCARNATION), Some(3.0));
    let change =
        limits.record_response(ms(1_600), INCARNATION, ms(1_001), LimitHeader::None).unwrap();
    assert_eq!((change.before, change.now), (Some(3.0), None));
    assert_eq!(limits.limit_per_s(INCARNATION), None);
}

#[test]
fn lower_limit_counts_at_once_and_higher_one_if_newer() {
    let mut limits = limits_with(3.0, 1_000);
    limits.record_response(ms(1_100), INCARNATION, ms(500), LimitHeader::PerSecond(1.0)).unwrap();
    assert_eq!(limits.limit_per_s(INCARNATION), Some(1.0));
    assert_eq!(
        limits.record_response(ms(1_200), INCARNATION, ms(1_050), LimitHeader::PerSecond(3.0)),
        None
    );
    assert_eq!(limits.limit_per_s(INCARNATION), Some(1.0));
    limits.record_response(ms(1_300), INCARNATION, ms(1_101), LimitHeader::PerSecond(3.0)).unwrap();
    assert_eq!(limits.limit_per_s(INCARNATION), Some(3.0));
}

#[test]
fn unreadable_limit_changes_nothing() {
    let mut limits = limits_with(3.0, 1_000);
    assert_eq!(
        limits.record_response(ms(2_000), INCARNATION, ms(1_900), LimitHeader::Unreadable),
        None
    );
    assert_eq!(limits.limit_per_s(INCARNATION), Some(3.0));
    let mut none = AnnouncedLimits::default();
    assert_eq!(
        none.record_response(ms(2_000), INCARNATION, ms(1_900), LimitHeader::Unreadable),
        None
    );
    assert!(none.is_empty());
}

#[test]
fn newer_peer_report_counts() {
    let mut limits = limits_with(3.0, 1_000);
    assert_eq!(
        limits.record_peer_report(INCARNATION, AnnouncedLimit { per_s: Some(9.0), at: ms(900) }),
        None
    );
    assert_eq!(
        limits.record_peer_report(INCARNATION, AnnouncedLimit { per_s: None, at: ms(1_000) }),
        None
    );
    assert_eq!(limits.limit_per_s(INCARNATION), Some(3.0));
    limits.record_peer_report(INCARNATION, AnnouncedLimit { per_s: None, at: ms(1_100) }).unwrap();
    assert_eq!(limits.limit_per_s(INCARNATION), None);
    // A late report doesn't restore a lifted limit.
    assert_eq!(
        limits.record_peer_report(INCARNATION, AnnouncedLimit { per_s: Some(3.0), at: ms(1_050) }),
        None
    );
    assert_eq!(limits.limit_per_s(INCARNATION), None);
}

#[test]
fn new_incarnation_inherits_no_limit() {
    let mut limits = limits_with(3.0, 1_000);
    assert_eq!(limits.limit_per_s(INCARNATION + 1), None);
    limits.retain(ms(30_000), |incarnation| incarnation == INCARNATION + 1);
    assert_eq!(limits.limit_per_s(INCARNATION), Some(3.0), "its record may not have arrived yet");
    limits.retain(ms(62_000), |incarnation| incarnation == INCARNATION + 1);
    assert!(limits.is_empty());
}

/// An upstream changes its announced limit again and again, and sometimes names none; responses
/// reach nodes after up to two seconds, and nodes exchange reports. No node ever knows a higher
/// limit than any announced since the newest response that it could have received, and a second
/// after the last change that a response to a later request announced, all nodes know it.
#[test]
fn nodes_agree_on_newest_limit_despite_reordering() {
    for seed in 0..50 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut nodes: Vec<AnnouncedLimits> = (0..5).map(|_| AnnouncedLimits::default()).collect();
        let mut in_transit: Vec<(Duration, usize, Duration, LimitHeader)> = Vec::new();
        let mut announced = LimitHeader::PerSecond(2.0);
        for step in 0..600 {
            let now = ms(step * 20);
            // The limit stops changing, and responses arrive quickly again.
            let is_calm = step > 450;
            if !is_calm && rng.random_range(0..40) == 0 {
                announced = match rng.random_range(0..3) {
                    0 => LimitHeader::None,
                    1 => LimitHeader::PerSecond(1.0),
                    _ => LimitHeader::PerSecond(8.0),
                };
            }
            let delay = if is_calm { 5 } else { rng.random_range(1..2_000) };
            in_transit.push((now + ms(delay), rng.random_range(0..5), now, announced));
            let (received, pending) = in_transit.into_iter().partition(|(at, ..)| *at <= now);
            in_transit = pending;
            let received: Vec<(Duration, usize, Duration, LimitHeader)> = received;
            for (_, node, sent_at, announced_by_response) in received {
                nodes[node].record_response(now, INCARNATION, sent_at, announced_by_response);
            }
            let (from, to) = (rng.random_range(0..5), rng.random_range(0..5));
            let published: Vec<_> = nodes[from].to_publish(now).collect();
            for (incarnation, announcement) in published {
                nodes[to].record_peer_report(incarnation, announcement);
            }
        }
        let expected = match announced {
            LimitHeader::PerSecond(per_s) => Some(per_s),
            _ => None,
        };
        for node in &nodes {
            assert_eq!(node.limit_per_s(INCARNATION), expected, "seed {seed}");
        }
    }
}

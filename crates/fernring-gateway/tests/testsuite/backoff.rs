//! Pauses that overloaded upstreams request.

use {fernring_gateway::backoff::Backoffs, std::time::Duration};

const S: fn(u64) -> Duration = Duration::from_secs;
const UPSTREAM: u64 = 7;

#[test]
fn pause_lasts_at_least_as_long_as_requested() {
    let mut backoffs = Backoffs::default();
    assert!(backoffs.record(S(10), UPSTREAM, S(3), 0.0));
    assert_eq!(backoffs.remaining(S(12), UPSTREAM), Some(S(1)));
    assert_eq!(backoffs.remaining(S(13), UPSTREAM), None);
    assert_eq!(backoffs.remaining(S(10), UPSTREAM + 1), None);
}

#[test]
fn shorter_pause_does_not_end_a_longer_one() {
    let mut backoffs = Backoffs::default();
    backoffs.record(S(10), UPSTREAM, S(5), 0.0);
    assert!(!backoffs.record(S(11), UPSTREAM, S(1), 0.0));
    assert!(!backoffs.record(S(11), UPSTREAM, Duration::ZERO, 1.0));
    assert_eq!(backoffs.remaining(S(14), UPSTREAM), Some(S(1)));
    assert!(backoffs.record(S(14), UPSTREAM, S(5), 0.0));
    assert_eq!(backoffs.remaining(S(18), UPSTREAM), Some(S(1)));
}

#[test]
fn zero_pause_changes_nothing() {
    let mut backoffs = Backoffs::default();
    assert!(!backoffs.record(S(10), UPSTREAM, Duration::ZERO, 1.0));
    assert!(backoffs.is_empty());
}

/// Many nodes that are rejected at the same moment.
#[test]
fn nodes_resume_at_different_times() {
    let ends = (0..300).map(|node| {
        let mut backoffs = Backoffs::default();
        backoffs.record(S(10), UPSTREAM, S(3), f64::from(node) / 300.0);
        backoffs.remaining(S(10), UPSTREAM).unwrap()
    });
    let ends: Vec<_> = ends.collect();
    assert!(ends.iter().all(|end| (S(3)..S(4)).contains(end)));
    assert!(ends.windows(2).all(|pair| pair[0] < pair[1]));
}

#[test]
fn ended_pauses_are_forgotten() {
    let mut backoffs = Backoffs::default();
    backoffs.record(S(10), UPSTREAM, S(3), 0.0);
    backoffs.expire(S(12));
    assert_eq!(backoffs.active_count(S(12)), 1);
    backoffs.expire(S(13));
    assert!(backoffs.is_empty());
}

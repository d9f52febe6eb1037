//! Upstreams that announced that they are leaving.

use {fernring_gateway::leaving::LeavingUpstreams, std::time::Duration};

const S: fn(u64) -> Duration = Duration::from_secs;

#[test]
fn announcement_outlives_the_record_for_a_while() {
    let mut leaving = LeavingUpstreams::default();
    assert!(leaving.record(S(10), 7));
    assert!(!leaving.record(S(11), 7), "it was announced before");
    leaving.expire(S(5_000), |_| true);
    assert!(leaving.contains(7), "its record is still there");
    leaving.expire(S(5_000 + 599), |_| false);
    assert!(leaving.contains(7), "its record may return");
    leaving.expire(S(5_000 + 600), |_| false);
    assert!(leaving.is_empty());
}

#[test]
fn announcement_holds_for_one_incarnation() {
    let mut leaving = LeavingUpstreams::default();
    leaving.record(S(10), 7);
    assert!(leaving.contains(7) && !leaving.contains(8));
    assert_eq!(leaving.iter().collect::<Vec<_>>(), [7]);
}

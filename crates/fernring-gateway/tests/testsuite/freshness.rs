//! Tests of which nodes read the store, and when.

use {
    fernring_gateway::{
        freshness::{DOUBT_AFTER, Freshness, STALE_AFTER, read_wait},
        members::{HEARTBEAT_INTERVAL, ReaderRole},
    },
    std::time::Duration,
};

const NOW: Duration = Duration::from_secs(100);
const MS: Duration = Duration::from_millis(1);

fn just_read() -> Freshness {
    let mut freshness = Freshness::new(0.0);
    freshness.record_read(NOW, ReaderRole::None);
    freshness
}

#[test]
fn node_without_state_reads() {
    assert!(Freshness::new(1.0).should_read(NOW, ReaderRole::None));
}

#[test]
fn confirmed_node_leaves_reads_to_reader() {
    let mut freshness = just_read();
    for step in 1..100 {
        let now = NOW + STALE_AFTER / 2 * step;
        assert!(!freshness.should_read(now, ReaderRole::None), "{step}");
        assert!(freshness.should_read(now, ReaderRole::Domain));
        freshness.record_confirmation(now);
    }
}

#[test]
fn unconfirmed_node_stands_in_for_reader() {
    let mut freshness = just_read();
    let stale_at = NOW + STALE_AFTER;
    assert!(!freshness.should_read(stale_at - MS, ReaderRole::None));
    assert!(freshness.should_read(stale_at, ReaderRole::None));
    freshness.record_read(stale_at, ReaderRole::None);
    assert!(
        freshness.should_read(stale_at + MS, ReaderRole::None),
        "the reader is still unreachable"
    );
    freshness.record_confirmation(stale_at + Duration::from_secs(60));
    assert!(!freshness.should_read(stale_at + Duration::from_secs(60), ReaderRole::None));
}

/// In a large fleet the delegates stand in first; the followers spread their reads over a time that is
/// longer than many of them need to be confirmed.
#[test]
fn followers_stand_in_after_delegates() {
    let spread = Duration::from_secs(10);
    for draw in [0.0, 0.5, 1.0] {
        let mut delegate = Freshness::new(1.0);
        delegate.record_read(NOW, ReaderRole::None);
        let delegates_read_at = NOW + STALE_AFTER + MS * 250;
        assert!(delegate.should_read(delegates_read_at, ReaderRole::None));
        let mut follower = Freshness::new(draw);
        follower.set_follower_spread(Some(spread));
        assert!(follower.should_read(NOW, ReaderRole::None), "a node without state reads at once");
        follower.record_read(NOW, ReaderRole::None);
        let answered_at = delegates_read_at + HEARTBEAT_INTERVAL;
        assert!(!follower.should_read(answered_at, ReaderRole::None), "{draw}");
        let last_at = answered_at + MS * 400 + spread.mul_f64(draw);
        assert!(follower.should_read(last_at, ReaderRole::None), "{draw}");
        assert!(follower.should_read(NOW, ReaderRole::Domain), "it has become a reader");
    }
}

#[test]
fn older_confirmation_changes_nothing() {
    let mut freshness = just_read();
    freshness.record_confirmation(NOW - MS * 500);
    assert_eq!(freshness.age(NOW), Some(Duration::ZERO));
}

#[test]
fn readers_read_before_others_become_stale() {
    assert!(read_wait(ReaderRole::Primary).end < DOUBT_AFTER);
    assert!(DOUBT_AFTER < STALE_AFTER);
    let freshness = just_read();
    assert!(!freshness.needs_confirmation(NOW + DOUBT_AFTER - MS));
    assert!(freshness.needs_confirmation(NOW + DOUBT_AFTER));
}

/// A change of upstreams followed by no further records: the first reader pauses for 0.6 s to
/// coalesce records, then waits for the next record. Its answer and a heartbeat have to arrive
/// before another node reads in its place.
#[test]
fn first_reader_confirms_in_time_after_coalescing() {
    let coalesced_for = MS * 600;
    let heartbeat = HEARTBEAT_INTERVAL + MS * 50;
    let freshness = just_read();
    let longest = read_wait(ReaderRole::Primary).end;
    let wait = freshness.read_wait_of(NOW + coalesced_for, ReaderRole::Primary, longest);
    assert!(coalesced_for + wait + heartbeat < STALE_AFTER, "{wait:?}");
    let wait = freshness.read_wait_of(NOW, ReaderRole::Primary, longest);
    assert_eq!(wait, longest, "without a pause it waits for the full time");
    let other_reader_wait =
        freshness.read_wait_of(NOW + coalesced_for, ReaderRole::Domain, MS * 3_500);
    assert_eq!(
        other_reader_wait,
        MS * 3_500,
        "another reader is interrupted when its state is in doubt"
    );
}

#[test]
fn time_until_doubt_ends_at_doubt() {
    let freshness = just_read();
    let confirmed_for = freshness.time_until_doubt(NOW + MS * 300);
    assert!(!freshness.needs_confirmation(NOW + MS * 300 + confirmed_for - MS));
    assert!(freshness.needs_confirmation(NOW + MS * 300 + confirmed_for));
    assert!(Freshness::new(0.0).time_until_doubt(NOW).is_zero(), "there was no read yet");
}

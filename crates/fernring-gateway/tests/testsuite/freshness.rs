//! Who reads the store, and when.

use {
    fernring_gateway::{
        freshness::{DOUBT_AFTER, Freshness, STALE_AFTER, read_wait},
        members::{HEARTBEAT_INTERVAL, ReaderPart},
    },
    std::time::Duration,
};

const NOW: Duration = Duration::from_secs(100);
const MS: Duration = Duration::from_millis(1);

fn known() -> Freshness {
    let mut freshness = Freshness::new(0.0);
    freshness.record_read(NOW, ReaderPart::None);
    freshness
}

#[test]
fn a_node_that_knows_nothing_reads_whoever_else_does() {
    assert!(Freshness::new(1.0).should_read(NOW, ReaderPart::None));
}

#[test]
fn a_node_leaves_the_reading_to_its_reader_while_what_it_knows_is_confirmed() {
    let mut freshness = known();
    for step in 1..100 {
        let now = NOW + STALE_AFTER / 2 * step;
        assert!(!freshness.should_read(now, ReaderPart::None), "{step}");
        assert!(freshness.should_read(now, ReaderPart::OfDomain));
        freshness.record_confirmation(now);
    }
}

#[test]
fn a_node_that_hears_nothing_new_stands_in_for_its_reader() {
    let mut freshness = known();
    let stale_at = NOW + STALE_AFTER;
    assert!(!freshness.should_read(stale_at - MS, ReaderPart::None));
    assert!(freshness.should_read(stale_at, ReaderPart::None));
    freshness.record_read(stale_at, ReaderPart::None);
    assert!(freshness.should_read(stale_at + MS, ReaderPart::None), "the reader is still lost");
    freshness.record_confirmation(stale_at + Duration::from_secs(60));
    assert!(!freshness.should_read(stale_at + Duration::from_secs(60), ReaderPart::None));
}

#[test]
fn an_older_confirmation_changes_nothing() {
    let mut freshness = known();
    freshness.record_confirmation(NOW - MS * 500);
    assert_eq!(freshness.age(NOW), Some(Duration::ZERO));
}

#[test]
fn readers_ask_before_others_grow_impatient() {
    assert!(read_wait(ReaderPart::First).end < DOUBT_AFTER);
    assert!(DOUBT_AFTER < STALE_AFTER);
    let freshness = known();
    assert!(!freshness.needs_confirmation(NOW + DOUBT_AFTER - MS));
    assert!(freshness.needs_confirmation(NOW + DOUBT_AFTER));
}

/// Replays a change of upstreams with silence after it: records gather for 0.6 s, then the first reader waits for the
/// next one. Its answer, and a heartbeat, have to be there before anybody reads in its place.
#[test]
fn the_first_reader_confirms_in_time_after_a_pause() {
    let gathered_for = MS * 600;
    let heartbeat = HEARTBEAT_INTERVAL + MS * 50;
    let freshness = known();
    let longest = read_wait(ReaderPart::First).end;
    let wait = freshness.read_wait_of(NOW + gathered_for, ReaderPart::First, longest);
    assert!(gathered_for + wait + heartbeat < STALE_AFTER, "{wait:?}");
    let wait = freshness.read_wait_of(NOW, ReaderPart::First, longest);
    assert_eq!(wait, longest, "without a pause it waits as long as it may");
    let by = freshness.read_wait_of(NOW + gathered_for, ReaderPart::OfDomain, MS * 3_500);
    assert_eq!(by, MS * 3_500, "a reader that stands by is woken by its doubt");
}

#[test]
fn a_reader_is_sure_until_it_is_in_doubt() {
    let freshness = known();
    let sure_for = freshness.time_until_doubt(NOW + MS * 300);
    assert!(!freshness.needs_confirmation(NOW + MS * 300 + sure_for - MS));
    assert!(freshness.needs_confirmation(NOW + MS * 300 + sure_for));
    assert!(Freshness::new(0.0).time_until_doubt(NOW).is_zero(), "nothing is known yet");
}

//! Who reads the store, and when.

use {
    fernring_gateway::{
        freshness::{DOUBT_AFTER, Freshness, STALE_AFTER, read_wait},
        members::{HEARTBEAT_INTERVAL, ReaderRole},
    },
    std::time::Duration,
};

const NOW: Duration = Duration::from_secs(100);
const MS: Duration = Duration::from_millis(1);

fn known() -> Freshness {
    let mut freshness = Freshness::new(0.0);
    freshness.was_read(NOW, ReaderRole::None);
    freshness
}

#[test]
fn a_node_that_knows_nothing_reads_whoever_else_does() {
    assert!(Freshness::new(1.0).shall_read(NOW, ReaderRole::None));
}

#[test]
fn a_node_leaves_the_reading_to_its_reader_while_what_it_knows_is_confirmed() {
    let mut freshness = known();
    for step in 1..100 {
        let now = NOW + STALE_AFTER / 2 * step;
        assert!(!freshness.shall_read(now, ReaderRole::None), "{step}");
        assert!(freshness.shall_read(now, ReaderRole::Domain));
        freshness.confirmed(now);
    }
}

#[test]
fn a_node_that_hears_nothing_new_stands_in_for_its_reader() {
    let mut freshness = known();
    let stale_at = NOW + STALE_AFTER;
    assert!(!freshness.shall_read(stale_at - MS, ReaderRole::None));
    assert!(freshness.shall_read(stale_at, ReaderRole::None));
    freshness.was_read(stale_at, ReaderRole::None);
    assert!(freshness.shall_read(stale_at + MS, ReaderRole::None), "the reader is still lost");
    freshness.confirmed(stale_at + Duration::from_secs(60));
    assert!(!freshness.shall_read(stale_at + Duration::from_secs(60), ReaderRole::None));
}

#[test]
fn an_older_confirmation_changes_nothing() {
    let mut freshness = known();
    freshness.confirmed(NOW - MS * 500);
    assert_eq!(freshness.age(NOW), Some(Duration::ZERO));
}

#[test]
fn readers_ask_before_others_grow_impatient() {
    assert!(read_wait(ReaderRole::Primary).end < DOUBT_AFTER);
    assert!(DOUBT_AFTER < STALE_AFTER);
    let freshness = known();
    assert!(!freshness.is_in_doubt(NOW + DOUBT_AFTER - MS));
    assert!(freshness.is_in_doubt(NOW + DOUBT_AFTER));
}

/// Replays a change of upstreams with silence after it: records gather for 0.6 s, then the first reader waits for the
/// next one. Its answer, and a heartbeat, have to be there before anybody reads in its place.
#[test]
fn the_first_reader_confirms_in_time_after_a_pause() {
    let gathered_for = MS * 600;
    let heartbeat = HEARTBEAT_INTERVAL + MS * 50;
    let freshness = known();
    let longest = read_wait(ReaderRole::Primary).end;
    let wait = freshness.wait_of_read(NOW + gathered_for, ReaderRole::Primary, longest);
    assert!(gathered_for + wait + heartbeat < STALE_AFTER, "{wait:?}");
    let wait = freshness.wait_of_read(NOW, ReaderRole::Primary, longest);
    assert_eq!(wait, longest, "without a pause it waits as long as it may");
    let by = freshness.wait_of_read(NOW + gathered_for, ReaderRole::Domain, MS * 3_500);
    assert_eq!(by, MS * 3_500, "a reader that stands by is woken by its doubt");
}

#[test]
fn a_reader_is_sure_until_it_is_in_doubt() {
    let freshness = known();
    let sure_for = freshness.sure_for(NOW + MS * 300);
    assert!(!freshness.is_in_doubt(NOW + MS * 300 + sure_for - MS));
    assert!(freshness.is_in_doubt(NOW + MS * 300 + sure_for));
    assert!(Freshness::new(0.0).sure_for(NOW).is_zero(), "nothing is known yet");
}

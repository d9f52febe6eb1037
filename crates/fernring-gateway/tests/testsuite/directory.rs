//! The upstreams' records.

use {
    fernring_gateway::{
        directory::{Change, Directory, Effect, RETURN_GRACE},
        model::{UpstreamRecord, UpstreamState},
    },
    std::time::Duration,
};

const NOW: Duration = Duration::from_secs(100);

fn record(instance: &str, state: UpstreamState) -> UpstreamRecord {
    UpstreamRecord {
        instance: instance.into(),
        service: "s".into(),
        address: "10.0.0.1:80".parse().unwrap(),
        failure_domain: "a".into(),
        slots: 1,
        state,
    }
}

fn ready(instance: &str, offset: u64) -> Change {
    Change {
        instance: instance.into(),
        offset,
        record: Some(record(instance, UpstreamState::Ready)),
    }
}

fn draining(instance: &str, offset: u64) -> Change {
    let record = Some(record(instance, UpstreamState::Draining));
    Change { instance: instance.into(), offset, record }
}

fn removed(instance: &str, offset: u64) -> Change {
    Change { instance: instance.into(), offset, record: None }
}

fn taking_work(directory: &Directory) -> usize {
    directory.of_service("s").filter(|(_, upstream)| upstream.takes_work()).count()
}

#[test]
fn a_leaving_upstream_gets_no_new_work() {
    let mut directory = Directory::default();
    directory.apply(NOW, ready("i", 1));
    assert!(matches!(directory.apply(NOW, draining("i", 2)), Effect::Draining(_)));
    assert_eq!(taking_work(&directory), 0);
}

#[test]
fn older_records_change_nothing_whichever_way_they_come() {
    let mut directory = Directory::default();
    directory.apply(NOW, draining("i", 5));
    assert_eq!(directory.apply(NOW, ready("i", 4)), Effect::None);
    assert_eq!(taking_work(&directory), 0);
    directory.apply(NOW, removed("i", 6));
    assert_eq!(directory.apply(NOW, ready("i", 5)), Effect::None);
    assert_eq!(directory.iter().count(), 0, "a removed upstream stays removed");
    directory.apply(NOW, ready("i", 7));
    assert_eq!(taking_work(&directory), 1, "unless its record is written anew");
}

#[test]
fn a_removal_takes_effect_at_once_while_the_store_answers() {
    let mut directory = Directory::default();
    directory.apply(NOW, ready("i", 1));
    assert!(matches!(directory.apply(NOW, removed("i", 2)), Effect::Gone(_)));
}

#[test]
fn a_removal_after_an_outage_may_be_a_lapse() {
    let mut directory = Directory::default();
    directory.apply(NOW, ready("back", 1));
    directory.apply(NOW, ready("gone", 2));
    directory.store_was_out(NOW);
    assert!(matches!(directory.apply(NOW, removed("back", 3)), Effect::Held(_)));
    assert!(matches!(directory.apply(NOW, removed("gone", 4)), Effect::Held(_)));
    assert_eq!(directory.iter().filter(|(_, upstream)| upstream.is_doubtful()).count(), 2);
    assert!(matches!(directory.apply(NOW, ready("back", 5)), Effect::Returned(_)));
    assert!(directory.expire(NOW + RETURN_GRACE / 2).is_empty());
    let effects = directory.expire(NOW + RETURN_GRACE);
    assert!(matches!(effects[..], [Effect::Gone(_)]), "{effects:?}");
    assert_eq!(taking_work(&directory), 1);
}

#[test]
fn what_a_whole_reading_lacks_was_removed() {
    let mut directory = Directory::default();
    directory.apply(NOW, ready("a", 1));
    directory.apply(NOW, ready("b", 2));
    directory.replace(NOW, vec![ready("b", 2), ready("c", 5)], 6);
    let mut left: Vec<_> =
        directory.iter().map(|(_, upstream)| upstream.record.instance.to_string()).collect();
    left.sort();
    assert_eq!(left, ["b", "c"]);
    assert_eq!(directory.end(), 6);
}

/// Passes on to one directory what another knows and it doesn't.
fn pass_on(from: &Directory, to: &mut Directory) {
    let end = from.end();
    match from.changes_since(to.end()) {
        Some(changes) => changes.into_iter().for_each(|change| {
            to.apply(NOW, change);
        }),
        None => {
            to.replace(NOW, from.all_changes(), end);
        }
    }
    to.advance(end);
}

fn instances(directory: &Directory) -> Vec<String> {
    let names = directory.iter().map(|(_, upstream)| upstream.record.instance.to_string());
    let mut names: Vec<_> = names.collect();
    names.sort();
    names
}

#[test]
fn a_peer_passes_on_what_changed_since_a_number_and_no_more() {
    let (mut reader, mut follower) = (Directory::default(), Directory::default());
    reader.replace(NOW, vec![ready("a", 1), ready("b", 2)], 3);
    pass_on(&reader, &mut follower);
    assert_eq!(instances(&follower), ["a", "b"]);
    reader.apply(NOW, removed("a", 3));
    reader.apply(NOW, ready("c", 4));
    let changes = reader.changes_since(3).expect("known since the whole reading");
    assert_eq!(changes.len(), 2, "{changes:?}");
    pass_on(&reader, &mut follower);
    assert_eq!(instances(&follower), ["b", "c"]);
    assert_eq!(follower.end(), 5);
}

#[test]
fn a_peer_that_has_not_seen_a_removal_passes_on_all_records() {
    let (mut late, mut follower) = (Directory::default(), Directory::default());
    follower.apply(NOW, ready("a", 1));
    follower.apply(NOW, ready("b", 2));
    // The removal of `a` was record 3, before the late one started.
    late.replace(NOW, vec![ready("b", 2)], 4);
    assert_eq!(late.changes_since(follower.end()), None);
    pass_on(&late, &mut follower);
    assert_eq!(instances(&follower), ["b"]);
}

#[test]
fn a_removal_that_may_be_a_lapse_is_one_for_followers_too() {
    let (mut reader, mut follower) = (Directory::default(), Directory::default());
    reader.replace(NOW, vec![ready("a", 1)], 2);
    pass_on(&reader, &mut follower);
    reader.store_was_out(NOW);
    reader.apply(NOW, removed("a", 2));
    follower.lapses_known(NOW, reader.lapses_for(NOW));
    pass_on(&reader, &mut follower);
    assert!(follower.iter().all(|(_, upstream)| upstream.is_doubtful()));
    assert_eq!(instances(&follower), ["a"]);
    assert_eq!(follower.expire(NOW + RETURN_GRACE).len(), 1);
}

#[test]
fn removals_are_passed_on_by_those_who_never_knew_the_upstream() {
    let (mut second, mut third) = (Directory::default(), Directory::default());
    third.apply(NOW, ready("a", 1));
    second.advance(2);
    second.apply(NOW, removed("a", 2));
    pass_on(&second, &mut third);
    assert!(instances(&third).is_empty());
}

#[test]
fn removals_are_not_kept_for_ever() {
    let mut directory = Directory::default();
    for number in 0..20_000u64 {
        directory.apply(NOW, removed(&format!("i-{number}"), number));
    }
    assert_eq!(directory.changes_since(0), None);
    let known = directory.changes_since(directory.end() - 1_000).expect("the newest are kept");
    assert_eq!(known.len(), 1_000);
}

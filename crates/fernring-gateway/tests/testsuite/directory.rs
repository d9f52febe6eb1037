//! The upstreams' records.

use {
    fernring_gateway::{
        directory::{Change, Directory, Effect, Entry, RETURN_GRACE},
        model::{UpstreamRecord, UpstreamState},
    },
    std::time::Duration,
};

const NOW: Duration = Duration::from_secs(100);

fn record(instance: &str, state: UpstreamState) -> UpstreamRecord {
    UpstreamRecord {
        instance: instance.into(),
        started_ms: None,
        service: "s".into(),
        address: "10.0.0.1:80".parse().unwrap(),
        failure_domain: "a".into(),
        slots: 1,
        state,
        cold_for: None,
    }
}

fn ready(instance: &str, offset: u64) -> Change {
    Change {
        instance: instance.into(),
        offset,
        entry: Entry::Present(record(instance, UpstreamState::Ready)),
    }
}

fn draining(instance: &str, offset: u64) -> Change {
    let entry = Entry::Present(record(instance, UpstreamState::Draining));
    Change { instance: instance.into(), offset, entry }
}

fn removed(instance: &str, offset: u64) -> Change {
    Change { instance: instance.into(), offset, entry: Entry::Removed }
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
    match from.changes_since(NOW, to.end()) {
        Some(changes) => changes.into_iter().for_each(|change| {
            to.apply(NOW, change);
        }),
        None => {
            to.replace(NOW, from.all_changes(NOW), end);
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
    let changes = reader.changes_since(NOW, 3).expect("known since the whole reading");
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
    assert_eq!(late.changes_since(NOW, follower.end()), None);
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
    assert_eq!(directory.changes_since(NOW, 0), None);
    let known = directory.changes_since(NOW, directory.end() - 1_000).expect("the newest are kept");
    assert_eq!(known.len(), 1_000);
}

fn started(instance: &str, offset: u64, started_ms: u64) -> Change {
    let record = record(instance, UpstreamState::Ready);
    let record = UpstreamRecord { started_ms: Some(started_ms), ..record };
    Change { instance: instance.into(), offset, entry: Entry::Present(record) }
}

fn unusable(instance: &str, offset: u64) -> Change {
    Change { instance: instance.into(), offset, entry: Entry::Unusable }
}

/// The start of the only upstream, if there is one that takes work.
fn start_in_use(directory: &Directory) -> Option<u64> {
    let mut upstreams = directory.iter().map(|(_, upstream)| upstream);
    let upstream = upstreams.next()?;
    assert!(upstreams.next().is_none(), "one upstream an instance");
    upstream.record.started_ms
}

#[test]
fn a_new_start_is_the_end_of_the_old_upstream_and_a_new_one() {
    let mut directory = Directory::default();
    let Effect::Appeared(first) = directory.apply(NOW, started("i", 1, 10)) else {
        panic!("it is new");
    };
    let Effect::Restarted { old, new } = directory.apply(NOW, started("i", 2, 20)) else {
        panic!("it has started again");
    };
    assert_eq!(old, first);
    assert!(directory.get(old).is_none() && directory.get(new).is_some());
    assert_eq!(directory.apply(NOW, started("i", 3, 10)), Effect::None, "no news");
    assert_eq!(start_in_use(&directory), Some(20));
    let draining = Change { entry: draining("i", 4).entry, ..started("i", 4, 20) };
    assert!(matches!(directory.apply(NOW, draining), Effect::Draining(key) if key == new));
    assert!(matches!(directory.apply(NOW, removed("i", 5)), Effect::Gone(key) if key == new));
}

#[test]
fn a_later_start_beats_a_record_with_a_higher_number_that_a_peer_passes_on() {
    let (mut reader, mut follower) = (Directory::default(), Directory::default());
    // The store keeps only the newest record of each key, here a late one of the process of before.
    reader.replace(NOW, vec![started("i", 7, 10)], 8);
    follower.apply(NOW, started("i", 6, 20));
    pass_on(&reader, &mut follower);
    assert_eq!(start_in_use(&follower), Some(20));
}

#[test]
fn a_start_that_a_peer_knows_of_is_passed_on_as_one() {
    let (mut reader, mut follower) = (Directory::default(), Directory::default());
    reader.apply(NOW, started("i", 0, 10));
    pass_on(&reader, &mut follower);
    let before = follower.iter().next().unwrap().0;
    reader.apply(NOW, started("i", 1, 20));
    pass_on(&reader, &mut follower);
    assert_eq!(start_in_use(&follower), Some(20));
    assert!(follower.get(before).is_none());
}

#[test]
fn a_record_that_cannot_be_read_takes_its_upstream_out_of_use_until_one_can() {
    let mut directory = Directory::default();
    directory.apply(NOW, ready("i", 1));
    directory.apply(NOW, ready("other", 2));
    // Also while removals may be lapses: what lies there is no lapse.
    directory.store_was_out(NOW);
    assert!(matches!(directory.apply(NOW, unusable("i", 3)), Effect::Gone(_)));
    assert!(directory.is_refused("i", 3) && !directory.is_refused("i", 2));
    assert_eq!(instances(&directory), ["other"]);
    assert_eq!(directory.apply(NOW, ready("i", 2)), Effect::None, "an older one changes nothing");
    assert!(matches!(directory.apply(NOW, ready("i", 4)), Effect::Appeared(_)));
    assert_eq!(instances(&directory), ["i", "other"]);
}

#[test]
fn a_record_that_cannot_be_read_is_passed_on_as_one() {
    let (mut reader, mut follower) = (Directory::default(), Directory::default());
    reader.apply(NOW, ready("i", 0));
    pass_on(&reader, &mut follower);
    reader.apply(NOW, unusable("i", 1));
    let changes = reader.changes_since(NOW, 1).expect("known since the start");
    assert_eq!(changes, [unusable("i", 1)]);
    follower.store_was_out(NOW);
    pass_on(&reader, &mut follower);
    assert!(instances(&follower).is_empty());
}

/// What the entries of one instance lead to when they are read in their order: a start that goes back is no news.
fn read_in_order(log: &[Change]) -> Option<u64> {
    let (mut latest, mut present) = (0, None);
    for change in log {
        match &change.entry {
            Entry::Present(record) => {
                let started_ms = record.started_ms.unwrap();
                if started_ms >= latest {
                    (latest, present) = (started_ms, Some(started_ms));
                }
            }
            Entry::Removed | Entry::Unusable => present = None,
        }
    }
    present
}

fn permutations(log: &[Change]) -> Vec<Vec<Change>> {
    if log.is_empty() {
        return vec![Vec::new()];
    }
    let mut all = Vec::new();
    for first in 0..log.len() {
        let mut rest = log.to_vec();
        let change = rest.remove(first);
        all.extend(permutations(&rest).into_iter().map(|mut order| {
            order.insert(0, change.clone());
            order
        }));
    }
    all
}

/// Every log of four entries of one instance, in every order in which the store and peers may bring them, leads to
/// what the log says, in calm and while removals may be lapses.
#[test]
fn starts_removals_and_lapses_lead_to_the_same_in_any_order() {
    let entries: [fn(u64) -> Change; 4] = [
        |offset| started("i", offset, 1),
        |offset| started("i", offset, 2),
        |offset| removed("i", offset),
        |offset| unusable("i", offset),
    ];
    let mut checked = 0;
    for code in 0..256usize {
        let log: Vec<_> =
            (0..4u64).map(|offset| entries[code >> (2 * offset) & 3](offset)).collect();
        let expected = read_in_order(&log);
        for order in permutations(&log) {
            for is_lapsing in [false, true] {
                let mut directory = Directory::default();
                if is_lapsing {
                    directory.store_was_out(NOW);
                }
                for change in &order {
                    directory.apply(NOW, change.clone());
                }
                directory.expire(NOW + RETURN_GRACE);
                assert_eq!(start_in_use(&directory), expected, "{log:?} in the order {order:?}");
                checked += 1;
            }
        }
    }
    assert_eq!(checked, 256 * 24 * 2);
}

//! The upstreams' records.

use {
    fernring_gateway::{
        directory::{Change, Directory, Effect, Entry, RETURN_GRACE, Upstream},
        model::{UpstreamRecord, UpstreamState},
        position::Position,
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{collections::BTreeSet, net::SocketAddr, time::Duration},
};

const NOW: Duration = Duration::from_secs(100);

fn record(instance: &str, state: UpstreamState) -> UpstreamRecord {
    UpstreamRecord {
        instance: instance.into(),
        started_ms: None,
        service: "s".into(),
        address: "10.0.0.1:80".parse().unwrap(),
        failure_domain: "a".into(),
        version: "v1".into(),
        slots: 1,
        state,
        sequence: 1,
        cold_for: None,
    }
}

fn ready(instance: &str, offset: u64) -> Change {
    Change {
        instance: instance.into(),
        at: offset.into(),
        entry: Entry::Present(record(instance, UpstreamState::Ready)),
    }
}

fn draining(instance: &str, offset: u64) -> Change {
    let entry = Entry::Present(record(instance, UpstreamState::Draining));
    Change { instance: instance.into(), at: offset.into(), entry }
}

fn removed(instance: &str, offset: u64) -> Change {
    Change { instance: instance.into(), at: offset.into(), entry: Entry::Removed }
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
    directory.replace(NOW, vec![ready("b", 2), ready("c", 5)], 6.into());
    let mut left: Vec<_> =
        directory.iter().map(|(_, upstream)| upstream.record.instance.to_string()).collect();
    left.sort();
    assert_eq!(left, ["b", "c"]);
    assert_eq!(directory.end(), 6.into());
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
    reader.replace(NOW, vec![ready("a", 1), ready("b", 2)], 3.into());
    pass_on(&reader, &mut follower);
    assert_eq!(instances(&follower), ["a", "b"]);
    reader.apply(NOW, removed("a", 3));
    reader.apply(NOW, ready("c", 4));
    let changes = reader.changes_since(NOW, 3.into()).expect("known since the whole reading");
    assert_eq!(changes.len(), 2, "{changes:?}");
    pass_on(&reader, &mut follower);
    assert_eq!(instances(&follower), ["b", "c"]);
    assert_eq!(follower.end(), 5.into());
}

#[test]
fn a_peer_that_has_not_seen_a_removal_passes_on_all_records() {
    let (mut late, mut follower) = (Directory::default(), Directory::default());
    follower.apply(NOW, ready("a", 1));
    follower.apply(NOW, ready("b", 2));
    // The removal of `a` was record 3, before the late one started.
    late.replace(NOW, vec![ready("b", 2)], 4.into());
    assert_eq!(late.changes_since(NOW, follower.end()), None);
    pass_on(&late, &mut follower);
    assert_eq!(instances(&follower), ["b"]);
}

#[test]
fn a_removal_that_may_be_a_lapse_is_one_for_followers_too() {
    let (mut reader, mut follower) = (Directory::default(), Directory::default());
    reader.replace(NOW, vec![ready("a", 1)], 2.into());
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
    second.advance(2.into());
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
    assert_eq!(directory.changes_since(NOW, 0.into()), None);
    let known = directory.changes_since(NOW, 19_000.into()).expect("the newest are kept");
    assert_eq!(known.len(), 1_000);
}

fn started(instance: &str, offset: u64, started_ms: u64) -> Change {
    let record = record(instance, UpstreamState::Ready);
    let record = UpstreamRecord { started_ms: Some(started_ms), ..record };
    Change { instance: instance.into(), at: offset.into(), entry: Entry::Present(record) }
}

fn unusable(instance: &str, offset: u64) -> Change {
    Change { instance: instance.into(), at: offset.into(), entry: Entry::Unusable }
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
    reader.replace(NOW, vec![started("i", 7, 10)], 8.into());
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
    assert!(directory.is_refused("i", 3.into()) && !directory.is_refused("i", 2.into()));
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
    let changes = reader.changes_since(NOW, 1.into()).expect("known since the start");
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

/// A record in some era of the store, of an upstream that has written so many.
fn counted(instance: &str, at: (u64, u64), sequence: u64, state: UpstreamState) -> Change {
    let record = UpstreamRecord { sequence, ..record(instance, state) };
    let at = Position::new(at.0, at.1);
    Change { instance: instance.into(), at, entry: Entry::Present(record) }
}

/// What a store holds that comes back from a copy: three upstreams as they were some seconds ago, whose numbers lie below
/// those that had been given out since.
fn copied() -> Vec<Change> {
    let ready = |instance, offset| counted(instance, (1, offset), 5, UpstreamState::Ready);
    vec![ready("left", 10), ready("gone", 11), ready("stays", 12)]
}

/// A directory that has followed the store of before: since the copy was taken, one upstream began to leave, one went, and one
/// came.
fn follower_of_before() -> Directory {
    let mut directory = Directory::default();
    for copied in copied() {
        directory.apply(NOW, Change { at: Position::new(0, copied.at.offset), ..copied });
    }
    directory.apply(NOW, counted("left", (0, 20), 6, UpstreamState::Draining));
    directory.apply(NOW, removed("gone", 21));
    directory.apply(NOW, counted("new", (0, 22), 1, UpstreamState::Ready));
    directory
}

fn states(directory: &Directory) -> Vec<(String, bool)> {
    let state = |upstream: &Upstream| (upstream.record.instance.to_string(), upstream.takes_work());
    let mut states: Vec<_> = directory.iter().map(|(_, upstream)| state(upstream)).collect();
    states.sort();
    states
}

fn known(states: &[(&str, bool)]) -> Vec<(String, bool)> {
    states.iter().map(|(name, takes_work)| ((*name).to_owned(), *takes_work)).collect()
}

/// A store came back from a copy of some seconds ago. By number alone, the records of the copy are older than what is known
/// and those that follow are, too, until the numbers have caught up: nothing is heard. By era alone, the copy brings back
/// what was leaving or had gone.
#[test]
fn a_copy_of_the_store_brings_nothing_back() {
    let mut directory = follower_of_before();
    directory.replace(NOW, copied(), Position::new(1, 13));
    let after = known(&[("left", false), ("new", true), ("stays", true)]);
    assert_eq!(states(&directory), after, "`new` is only missing from the copy");
    // Each writes again what it is, as it does all the time.
    directory.apply(NOW, counted("left", (1, 13), 7, UpstreamState::Draining));
    directory.apply(NOW, counted("new", (1, 14), 2, UpstreamState::Ready));
    directory.apply(NOW, counted("stays", (1, 15), 6, UpstreamState::Draining));
    assert!(directory.expire(NOW + RETURN_GRACE).is_empty(), "`new` is back");
    let after = known(&[("left", false), ("new", true), ("stays", false)]);
    assert_eq!(states(&directory), after, "the numbers of the new era count at once");
}

#[test]
fn what_was_written_since_the_copy_and_never_again_goes_after_the_grace() {
    let mut directory = follower_of_before();
    directory.replace(NOW, copied(), Position::new(1, 13));
    assert_eq!(directory.expire(NOW + RETURN_GRACE).len(), 1);
    assert_eq!(states(&directory), known(&[("left", false), ("stays", true)]));
}

#[test]
fn a_copy_and_what_peers_know_lead_to_the_same_in_any_order() {
    let of_before = [
        counted("left", (0, 20), 6, UpstreamState::Draining),
        counted("stays", (0, 12), 5, UpstreamState::Ready),
    ];
    for copy_first in [false, true] {
        let mut directory = Directory::default();
        if copy_first {
            directory.replace(NOW, copied(), Position::new(1, 13));
        }
        for change in of_before.clone() {
            directory.apply(NOW, change);
        }
        if !copy_first {
            directory.replace(NOW, copied(), Position::new(1, 13));
        }
        let left = states(&directory).into_iter().find(|(name, _)| name == "left");
        assert_eq!(left, Some(("left".to_owned(), false)), "copy first: {copy_first}");
    }
}

#[test]
fn an_upstream_that_had_gone_is_back_once_it_counts_on() {
    let mut directory = follower_of_before();
    directory.replace(NOW, copied(), Position::new(1, 13));
    assert_eq!(
        directory.apply(NOW, counted("gone", (1, 13), 5, UpstreamState::Ready)),
        Effect::None
    );
    let back = directory.apply(NOW, counted("gone", (1, 14), 6, UpstreamState::Ready));
    assert!(matches!(back, Effect::Appeared(_)), "{back:?}");
}

#[test]
fn a_start_of_since_the_copy_stays_the_latest() {
    let mut directory = Directory::default();
    directory.apply(NOW, started("i", 3, 10));
    directory.apply(NOW, started("i", 9, 20));
    let of_before = started("i", 3, 10);
    directory.replace(
        NOW,
        vec![Change { at: Position::new(1, 3), ..of_before }],
        Position::new(1, 4),
    );
    assert_eq!(start_in_use(&directory), Some(20));
}

#[test]
fn a_store_may_come_back_from_copies_again_and_again() {
    let mut directory = follower_of_before();
    for era in 1..6 {
        let copy =
            copied().into_iter().map(|c| Change { at: Position::new(era, c.at.offset), ..c });
        directory.replace(NOW, copy.collect(), Position::new(era, 13));
        assert_eq!(states(&directory), known(&[("left", false), ("new", true), ("stays", true)]));
    }
    assert_eq!(directory.changes_since(NOW, Position::new(4, 13)), None, "of another era: all");
}

/// What is found by service, address and start is what looking through all upstreams finds, whatever has come and gone.
#[test]
fn upstreams_are_found_as_if_all_were_looked_through() {
    for seed in 0..30 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut directory = Directory::default();
        for offset in 1..400 {
            let now = Duration::from_millis(offset * 20);
            let instance = format!("i-{}", random.random_range(0..12));
            let mut record = record(&instance, UpstreamState::Ready);
            record.service = format!("s{}", random.random_range(0..3)).into();
            record.address = SocketAddr::from(([10, 0, 0, 1], random.random_range(1..6)));
            record.started_ms = Some(random.random_range(0..3));
            let entry = match random.random_range(0..6) {
                0 => Entry::Removed,
                1 => Entry::Unusable,
                _ => Entry::Present(record),
            };
            let change = Change { instance: instance.as_str().into(), at: offset.into(), entry };
            match random.random_range(0..40) {
                0 => directory.store_was_out(now),
                1 => drop(directory.replace(now, vec![change], (offset + 1).into())),
                2 => drop(directory.expire(now)),
                _ => drop(directory.apply(now, change)),
            }
            let all: Vec<_> = directory.iter().map(|(key, u)| (key, u.record.clone())).collect();
            let found = |fits: &dyn Fn(&UpstreamRecord) -> bool| -> BTreeSet<_> {
                all.iter().filter(|(_, record)| fits(record)).map(|(key, _)| *key).collect()
            };
            for service in ["s0", "s1", "s2"] {
                let there: BTreeSet<_> =
                    directory.of_service(service).map(|(key, _)| key).collect();
                assert_eq!(there, found(&|record| *record.service == *service), "seed {seed}");
            }
            for port in 1..6 {
                let address = SocketAddr::from(([10, 0, 0, 1], port));
                let there: BTreeSet<_> =
                    directory.at_address(address).map(|(key, _)| key).collect();
                assert_eq!(there, found(&|record| record.address == address), "seed {seed}");
            }
            for (_, record) in &all {
                let run = record.incarnation_hash();
                let there: BTreeSet<_> = directory.of_run(run).iter().copied().collect();
                assert_eq!(there, found(&|other| other.incarnation_hash() == run), "seed {seed}");
            }
        }
    }
}

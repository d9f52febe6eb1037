//! Tests of the directory of upstreams.

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

fn accepting_work(directory: &Directory) -> usize {
    directory.of_service("s").filter(|(_, upstream)| upstream.accepts_work()).count()
}

#[test]
fn draining_upstream_gets_no_new_work() {
    let mut directory = Directory::default();
    directory.apply(NOW, ready("i", 1));
    assert!(matches!(directory.apply(NOW, draining("i", 2)), Effect::Draining(_)));
    assert_eq!(accepting_work(&directory), 0);
}

#[test]
fn older_records_change_nothing() {
    let mut directory = Directory::default();
    directory.apply(NOW, draining("i", 5));
    assert_eq!(directory.apply(NOW, ready("i", 4)), Effect::None);
    assert_eq!(accepting_work(&directory), 0);
    directory.apply(NOW, removed("i", 6));
    assert_eq!(directory.apply(NOW, ready("i", 5)), Effect::None);
    assert_eq!(directory.iter().count(), 0, "a removed upstream stays removed");
    directory.apply(NOW, ready("i", 7));
    assert_eq!(accepting_work(&directory), 1, "until its record is written again");
}

#[test]
fn removal_takes_effect_at_once_without_outage() {
    let mut directory = Directory::default();
    directory.apply(NOW, ready("i", 1));
    assert!(matches!(directory.apply(NOW, removed("i", 2)), Effect::Gone(_)));
}

#[test]
fn removal_after_outage_may_be_a_lapse() {
    let mut directory = Directory::default();
    directory.apply(NOW, ready("back", 1));
    directory.apply(NOW, ready("gone", 2));
    directory.record_store_outage(NOW);
    assert!(matches!(directory.apply(NOW, removed("back", 3)), Effect::Lapsed(_)));
    assert!(matches!(directory.apply(NOW, removed("gone", 4)), Effect::Lapsed(_)));
    assert_eq!(directory.iter().filter(|(_, upstream)| upstream.has_lapsed()).count(), 2);
    assert!(matches!(directory.apply(NOW, ready("back", 5)), Effect::Returned(_)));
    assert!(directory.expire(NOW + RETURN_GRACE / 2).is_empty());
    let effects = directory.expire(NOW + RETURN_GRACE);
    assert!(matches!(effects[..], [Effect::Gone(_)]), "{effects:?}");
    assert_eq!(accepting_work(&directory), 1);
}

#[test]
fn full_read_removes_missing_upstreams() {
    let mut directory = Directory::default();
    directory.apply(NOW, ready("a", 1));
    directory.apply(NOW, ready("b", 2));
    directory.replace(NOW, vec![ready("b", 2), ready("c", 5)], 6.into());
    let mut instances: Vec<_> =
        directory.iter().map(|(_, upstream)| upstream.record.instance.to_string()).collect();
    instances.sort();
    assert_eq!(instances, ["b", "c"]);
    assert_eq!(directory.end(), 6.into());
}

/// Passes on the changes that one directory knows and another doesn't.
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
fn peer_passes_on_only_changes_since_position() {
    let (mut reader, mut peer) = (Directory::default(), Directory::default());
    reader.replace(NOW, vec![ready("a", 1), ready("b", 2)], 3.into());
    pass_on(&reader, &mut peer);
    assert_eq!(instances(&peer), ["a", "b"]);
    reader.apply(NOW, removed("a", 3));
    reader.apply(NOW, ready("c", 4));
    let changes =
        reader.changes_since(NOW, 3.into()).expect("all changes are known since the full read");
    assert_eq!(changes.len(), 2, "{changes:?}");
    pass_on(&reader, &mut peer);
    assert_eq!(instances(&peer), ["b", "c"]);
    assert_eq!(peer.end(), 5.into());
}

#[test]
fn peer_without_known_removals_passes_on_all_records() {
    let (mut late, mut peer) = (Directory::default(), Directory::default());
    peer.apply(NOW, ready("a", 1));
    peer.apply(NOW, ready("b", 2));
    // The removal of `a` was record 3, before the late directory started.
    late.replace(NOW, vec![ready("b", 2)], 4.into());
    assert_eq!(late.changes_since(NOW, peer.end()), None);
    pass_on(&late, &mut peer);
    assert_eq!(instances(&peer), ["b"]);
}

#[test]
fn possible_lapse_is_passed_on_as_one() {
    let (mut reader, mut peer) = (Directory::default(), Directory::default());
    reader.replace(NOW, vec![ready("a", 1)], 2.into());
    pass_on(&reader, &mut peer);
    reader.record_store_outage(NOW);
    reader.apply(NOW, removed("a", 2));
    peer.extend_lapse_window(NOW, reader.lapse_time_left(NOW));
    pass_on(&reader, &mut peer);
    assert!(peer.iter().all(|(_, upstream)| upstream.has_lapsed()));
    assert_eq!(instances(&peer), ["a"]);
    assert_eq!(peer.expire(NOW + RETURN_GRACE).len(), 1);
}

#[test]
fn removal_of_unknown_upstream_is_passed_on() {
    let (mut second, mut third) = (Directory::default(), Directory::default());
    third.apply(NOW, ready("a", 1));
    second.advance(2.into());
    second.apply(NOW, removed("a", 2));
    pass_on(&second, &mut third);
    assert!(instances(&third).is_empty());
}

#[test]
fn old_removals_are_forgotten() {
    let mut directory = Directory::default();
    for number in 0..20_000u64 {
        directory.apply(NOW, removed(&format!("i-{number}"), number));
    }
    assert_eq!(directory.changes_since(NOW, 0.into()), None);
    let changes =
        directory.changes_since(NOW, 19_000.into()).expect("the newest removals are kept");
    assert_eq!(changes.len(), 1_000);
}

fn started(instance: &str, offset: u64, started_ms: u64) -> Change {
    let record = record(instance, UpstreamState::Ready);
    let record = UpstreamRecord { started_ms: Some(started_ms), ..record };
    Change { instance: instance.into(), at: offset.into(), entry: Entry::Present(record) }
}

fn unusable(instance: &str, offset: u64) -> Change {
    Change { instance: instance.into(), at: offset.into(), entry: Entry::Unusable }
}

/// The start time of the only upstream, if there is one.
fn only_start(directory: &Directory) -> Option<u64> {
    let mut upstreams = directory.iter().map(|(_, upstream)| upstream);
    let upstream = upstreams.next()?;
    assert!(upstreams.next().is_none(), "one upstream per instance");
    upstream.record.started_ms
}

#[test]
fn restart_replaces_upstream() {
    let mut directory = Directory::default();
    let Effect::Appeared(first) = directory.apply(NOW, started("i", 1, 10)) else {
        panic!("the upstream is new");
    };
    let Effect::Restarted { old, new } = directory.apply(NOW, started("i", 2, 20)) else {
        panic!("the upstream has restarted");
    };
    assert_eq!(old, first);
    assert!(directory.get(old).is_none() && directory.get(new).is_some());
    assert_eq!(directory.apply(NOW, started("i", 3, 10)), Effect::None, "an earlier start");
    assert_eq!(only_start(&directory), Some(20));
    let draining = Change { entry: draining("i", 4).entry, ..started("i", 4, 20) };
    assert!(matches!(directory.apply(NOW, draining), Effect::Draining(key) if key == new));
    assert!(matches!(directory.apply(NOW, removed("i", 5)), Effect::Gone(key) if key == new));
}

#[test]
fn later_start_beats_higher_position() {
    let (mut reader, mut peer) = (Directory::default(), Directory::default());
    // The store keeps only the newest record of each key, here a late record of the previous
    // process.
    reader.replace(NOW, vec![started("i", 7, 10)], 8.into());
    peer.apply(NOW, started("i", 6, 20));
    pass_on(&reader, &mut peer);
    assert_eq!(only_start(&peer), Some(20));
}

#[test]
fn restart_is_passed_on_as_restart() {
    let (mut reader, mut peer) = (Directory::default(), Directory::default());
    reader.apply(NOW, started("i", 0, 10));
    pass_on(&reader, &mut peer);
    let before = peer.iter().next().unwrap().0;
    reader.apply(NOW, started("i", 1, 20));
    pass_on(&reader, &mut peer);
    assert_eq!(only_start(&peer), Some(20));
    assert!(peer.get(before).is_none());
}

#[test]
fn unusable_record_removes_upstream_until_next_valid_one() {
    let mut directory = Directory::default();
    directory.apply(NOW, ready("i", 1));
    directory.apply(NOW, ready("other", 2));
    // This holds also while removals may be lapses, since an unusable record is no lapse.
    directory.record_store_outage(NOW);
    assert!(matches!(directory.apply(NOW, unusable("i", 3)), Effect::Gone(_)));
    assert!(
        directory.is_known_unusable("i", 3.into()) && !directory.is_known_unusable("i", 2.into())
    );
    assert_eq!(instances(&directory), ["other"]);
    assert_eq!(
        directory.apply(NOW, ready("i", 2)),
        Effect::None,
        "an older record changes nothing"
    );
    assert!(matches!(directory.apply(NOW, ready("i", 4)), Effect::Appeared(_)));
    assert_eq!(instances(&directory), ["i", "other"]);
}

#[test]
fn unusable_record_is_passed_on_as_unusable() {
    let (mut reader, mut peer) = (Directory::default(), Directory::default());
    reader.apply(NOW, ready("i", 0));
    pass_on(&reader, &mut peer);
    reader.apply(NOW, unusable("i", 1));
    let changes =
        reader.changes_since(NOW, 1.into()).expect("all changes are known since the start");
    assert_eq!(changes, [unusable("i", 1)]);
    peer.record_store_outage(NOW);
    pass_on(&reader, &mut peer);
    assert!(instances(&peer).is_empty());
}

/// Returns the start time that results from the entries of one instance in their order; entries of
/// earlier starts are ignored.
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

/// Applies every log of four entries of one instance in every order in which the store and peers
/// may deliver them. The result is that of the log's own order, both without an outage and while
/// removals may be lapses.
#[test]
fn changes_lead_to_same_state_in_any_order() {
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
                    directory.record_store_outage(NOW);
                }
                for change in &order {
                    directory.apply(NOW, change.clone());
                }
                directory.expire(NOW + RETURN_GRACE);
                assert_eq!(only_start(&directory), expected, "{log:?} in the order {order:?}");
                checked += 1;
            }
        }
    }
    assert_eq!(checked, 256 * 24 * 2);
}

/// A record with a sequence number, at a position given as era and offset.
fn sequenced(instance: &str, at: (u64, u64), sequence: u64, state: UpstreamState) -> Change {
    let record = UpstreamRecord { sequence, ..record(instance, state) };
    let at = Position::new(at.0, at.1);
    Change { instance: instance.into(), at, entry: Entry::Present(record) }
}

/// The records of a store that was restored from a backup: three upstreams as they were some
/// seconds ago, with offsets below those assigned since then.
fn backup_records() -> Vec<Change> {
    let ready = |instance, offset| sequenced(instance, (1, offset), 5, UpstreamState::Ready);
    vec![ready("left", 10), ready("gone", 11), ready("stays", 12)]
}

/// A directory from before the restore: since the backup was taken, one upstream began to drain,
/// one was removed, and one was added.
fn peer_from_before_restore() -> Directory {
    let mut directory = Directory::default();
    for change in backup_records() {
        directory.apply(NOW, Change { at: Position::new(0, change.at.offset), ..change });
    }
    directory.apply(NOW, sequenced("left", (0, 20), 6, UpstreamState::Draining));
    directory.apply(NOW, removed("gone", 21));
    directory.apply(NOW, sequenced("new", (0, 22), 1, UpstreamState::Ready));
    directory
}

fn states(directory: &Directory) -> Vec<(String, bool)> {
    let state =
        |upstream: &Upstream| (upstream.record.instance.to_string(), upstream.accepts_work());
    let mut states: Vec<_> = directory.iter().map(|(_, upstream)| state(upstream)).collect();
    states.sort();
    states
}

fn expected_states(states: &[(&str, bool)]) -> Vec<(String, bool)> {
    states.iter().map(|(name, accepts_work)| ((*name).to_owned(), *accepts_work)).collect()
}

/// A store was restored from a backup of some seconds ago. If only offsets counted, the records of
/// the backup and those that follow would be ignored as old until the offsets had caught up. If
/// only eras counted, the backup would bring back upstreams that were draining or had been removed.
#[test]
fn restored_backup_brings_nothing_back() {
    let mut directory = peer_from_before_restore();
    directory.replace(NOW, backup_records(), Position::new(1, 13));
    let after = expected_states(&[("left", false), ("new", true), ("stays", true)]);
    assert_eq!(states(&directory), after, "`new` is only missing from the backup");
    // Each upstream writes its record again, as it does regularly.
    directory.apply(NOW, sequenced("left", (1, 13), 7, UpstreamState::Draining));
    directory.apply(NOW, sequenced("new", (1, 14), 2, UpstreamState::Ready));
    directory.apply(NOW, sequenced("stays", (1, 15), 6, UpstreamState::Draining));
    assert!(directory.expire(NOW + RETURN_GRACE).is_empty(), "`new` is back");
    let after = expected_states(&[("left", false), ("new", true), ("stays", false)]);
    assert_eq!(states(&directory), after, "records of the new era apply at once");
}

#[test]
fn record_missing_from_backup_expires_unless_rewritten() {
    let mut directory = peer_from_before_restore();
    directory.replace(NOW, backup_records(), Position::new(1, 13));
    assert_eq!(directory.expire(NOW + RETURN_GRACE).len(), 1);
    assert_eq!(states(&directory), expected_states(&[("left", false), ("stays", true)]));
}

#[test]
fn backup_and_peer_records_agree_in_any_order() {
    let old_changes = [
        sequenced("left", (0, 20), 6, UpstreamState::Draining),
        sequenced("stays", (0, 12), 5, UpstreamState::Ready),
    ];
    for backup_first in [false, true] {
        let mut directory = Directory::default();
        if backup_first {
            directory.replace(NOW, backup_records(), Position::new(1, 13));
        }
        for change in old_changes.clone() {
            directory.apply(NOW, change);
        }
        if !backup_first {
            directory.replace(NOW, backup_records(), Position::new(1, 13));
        }
        let left = states(&directory).into_iter().find(|(name, _)| name == "left");
        assert_eq!(left, Some(("left".to_owned(), false)), "backup first: {backup_first}");
    }
}

#[test]
fn removed_upstream_returns_with_higher_sequence() {
    let mut directory = peer_from_before_restore();
    directory.replace(NOW, backup_records(), Position::new(1, 13));
    assert_eq!(
        directory.apply(NOW, sequenced("gone", (1, 13), 5, UpstreamState::Ready)),
        Effect::None
    );
    let back = directory.apply(NOW, sequenced("gone", (1, 14), 6, UpstreamState::Ready));
    assert!(matches!(back, Effect::Appeared(_)), "{back:?}");
}

#[test]
fn start_newer_than_backup_stays_latest() {
    let mut directory = Directory::default();
    directory.apply(NOW, started("i", 3, 10));
    directory.apply(NOW, started("i", 9, 20));
    let old_record = started("i", 3, 10);
    directory.replace(
        NOW,
        vec![Change { at: Position::new(1, 3), ..old_record }],
        Position::new(1, 4),
    );
    assert_eq!(only_start(&directory), Some(20));
}

#[test]
fn store_may_be_restored_repeatedly() {
    let mut directory = peer_from_before_restore();
    for era in 1..6 {
        let backup = backup_records()
            .into_iter()
            .map(|c| Change { at: Position::new(era, c.at.offset), ..c });
        directory.replace(NOW, backup.collect(), Position::new(era, 13));
        assert_eq!(
            states(&directory),
            expected_states(&[("left", false), ("new", true), ("stays", true)])
        );
    }
    assert_eq!(
        directory.changes_since(NOW, Position::new(4, 13)),
        None,
        "changes of another era aren't known"
    );
}

/// The upstreams found by service, address and incarnation are those that a scan over all upstreams
/// finds, after any sequence of changes.
#[test]
fn index_matches_full_scan() {
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
                0 => directory.record_store_outage(now),
                1 => drop(directory.replace(now, vec![change], (offset + 1).into())),
                2 => drop(directory.expire(now)),
                _ => drop(directory.apply(now, change)),
            }
            let all: Vec<_> = directory.iter().map(|(key, u)| (key, u.record.clone())).collect();
            let scan = |matches_record: &dyn Fn(&UpstreamRecord) -> bool| -> BTreeSet<_> {
                all.iter()
                    .filter(|(_, record)| matches_record(record))
                    .map(|(key, _)| *key)
                    .collect()
            };
            for service in ["s0", "s1", "s2"] {
                let indexed: BTreeSet<_> =
                    directory.of_service(service).map(|(key, _)| key).collect();
                assert_eq!(indexed, scan(&|record| *record.service == *service), "seed {seed}");
            }
            for port in 1..6 {
                let address = SocketAddr::from(([10, 0, 0, 1], port));
                let indexed: BTreeSet<_> =
                    directory.at_address(address).map(|(key, _)| key).collect();
                assert_eq!(indexed, scan(&|record| record.address == address), "seed {seed}");
            }
            for (_, record) in &all {
                let incarnation = record.incarnation_hash();
                let indexed: BTreeSet<_> =
                    directory.by_incarnation(incarnation).iter().copied().collect();
                assert_eq!(
                    indexed,
                    scan(&|other| other.incarnation_hash() == incarnation),
                    "seed {seed}"
                );
            }
        }
    }
}

//! What a node knows of its upstreams besides their records.

use {
    fernring_core::clock::ManualClock,
    fernring_gateway::{
        directory::{Change, Entry},
        model::{UpstreamKey, UpstreamRecord, UpstreamState, short_hash},
        residency::Residency,
        settings::ColdSettings,
        upstreams::Upstreams,
    },
    std::{net::SocketAddr, rc::Rc, time::Duration},
};

const NOW: Duration = Duration::from_secs(100);

fn change(number: usize, instance: &str) -> Change {
    Change {
        instance: instance.into(),
        at: (number as u64).into(),
        entry: Entry::Present(UpstreamRecord {
            instance: instance.into(),
            started_ms: None,
            service: "s".into(),
            address: SocketAddr::from(([10, 0, 0, 1], number as u16)),
            failure_domain: "a".into(),
            version: "v1".into(),
            slots: 1,
            state: UpstreamState::Ready,
            sequence: 1,
            cold_for: None,
        }),
    }
}

fn upstreams(instances: &[&str]) -> Rc<Upstreams> {
    let upstreams = Rc::new(Upstreams::new(
        "a".into(),
        Rc::new(ManualClock::at_unix_ms(0)),
        Rc::default(),
        ColdSettings::default(),
    ));
    let changes = instances.iter().enumerate().map(|(number, instance)| change(number, instance));
    upstreams.apply(NOW, changes.collect());
    upstreams
}

fn key(upstreams: &Upstreams, instance: &str) -> UpstreamKey {
    let directory = upstreams.directory();
    directory.iter().find(|(_, u)| &*u.record.instance == instance).unwrap().0
}

fn is_avoided(upstreams: &Upstreams, now: Duration, instance: &str) -> bool {
    let key = key(upstreams, instance);
    let candidates = upstreams.candidates(now, "s", 0, &Residency::default(), |_| false);
    candidates.iter().find(|candidate| candidate.key == key).unwrap().is_avoided
}

#[test]
fn an_upstream_that_takes_no_connection_is_avoided_though_it_has_no_load() {
    let upstreams = upstreams(&["gone", "sound"]);
    let key = key(&upstreams, "gone");
    upstreams.was_unreachable(NOW, key);
    let later = NOW + Duration::from_millis(900);
    assert!(is_avoided(&upstreams, later, "gone") && !is_avoided(&upstreams, later, "sound"));
    assert!(!is_avoided(&upstreams, NOW + Duration::from_secs(5), "gone"), "it is tried again");
}

#[test]
fn peers_are_told_of_it_and_avoid_it_too() {
    let one = upstreams(&["gone", "sound"]);
    let other = upstreams(&["gone", "sound"]);
    one.was_unreachable(NOW, key(&one, "gone"));
    assert_eq!(one.unreachable(NOW), [short_hash("gone")]);
    other.peer_found_unreachable(NOW, &one.unreachable(NOW), false);
    assert!(is_avoided(&other, NOW, "gone") && !is_avoided(&other, NOW, "sound"));
    assert!(other.unreachable(NOW).is_empty(), "hearsay is not passed on");
    assert!(one.unreachable(NOW + Duration::from_secs(5)).is_empty());
}

#[test]
fn an_answer_ends_the_avoidance_and_failures_in_a_row_prolong_it() {
    let upstreams = upstreams(&["i"]);
    let key = key(&upstreams, "i");
    let first = upstreams.failed(NOW, key);
    assert!(upstreams.failed(NOW, key) > first);
    assert!(is_avoided(&upstreams, NOW + first, "i"));
    upstreams.succeeded(key);
    assert!(!is_avoided(&upstreams, NOW, "i"));
}

#[test]
fn load_is_the_sum_of_all_nodes_and_goes_with_its_guard() {
    let upstreams = upstreams(&["i"]);
    let key = key(&upstreams, "i");
    let load = |upstreams: &Upstreams| {
        upstreams.candidates(NOW, "s", 0, &Residency::default(), |_| false)[0].load
    };
    let mut guard = upstreams.load(key, 100.0);
    let peer = SocketAddr::from(([10, 0, 0, 2], 1));
    upstreams.set_peer_loads(peer, vec![(short_hash("i"), 50.0)]);
    assert_eq!(load(&upstreams), 150.0);
    guard.reduce_to(20.0);
    upstreams.set_peer_loads(peer, vec![(short_hash("i"), 10.0)]);
    assert_eq!(load(&upstreams), 30.0);
    drop(guard);
    upstreams.set_peer_loads(peer, Vec::new());
    assert_eq!(load(&upstreams), 0.0);
}

#[test]
fn the_age_of_records_is_that_of_the_newest_word_of_the_store() {
    let upstreams = upstreams(&["one"]);
    upstreams.records_read(NOW);
    upstreams.records_read(NOW - Duration::from_secs(30));
    assert_eq!(
        upstreams.record_age(NOW),
        Duration::ZERO,
        "a peer that read long ago changes nothing"
    );
}

fn load_of(upstreams: &Upstreams, instance: &str) -> f64 {
    let key = key(upstreams, instance);
    let candidates = upstreams.candidates(NOW, "s", 0, &Residency::default(), |_| false);
    candidates.iter().find(|candidate| candidate.key == key).unwrap().load
}

fn as_loads(told: Vec<(u32, u32)>) -> Vec<(u32, f64)> {
    told.into_iter().map(|(upstream, load)| (upstream, load.into())).collect()
}

#[test]
fn a_domains_load_is_added_up_by_a_delegate_and_counted_once() {
    let [follower, delegate, far] = ["a", "a", "b"].map(|domain| {
        let upstreams = Rc::new(Upstreams::new(
            domain.into(),
            Rc::new(ManualClock::at_unix_ms(0)),
            Rc::default(),
            ColdSettings::default(),
        ));
        upstreams.apply(NOW, vec![change(0, "i")]);
        upstreams
    });
    let _own = follower.load(key(&follower, "i"), 30.0);
    let _of_delegate = delegate.load(key(&delegate, "i"), 5.0);
    delegate.set_peer_loads(SocketAddr::from(([10, 0, 0, 9], 1)), as_loads(follower.told_loads()));
    assert_eq!(load_of(&delegate, "i"), 35.0);
    let sums = as_loads(delegate.domain_loads());
    far.set_domain_loads(NOW, &"a".into(), sums.clone());
    assert_eq!(load_of(&far, "i"), 35.0);
    follower.set_domain_loads(NOW, &"a".into(), sums.clone());
    assert_eq!(load_of(&follower, "i"), 35.0, "what it told itself isn't counted twice");
    // A second telling replaces the first, and one that isn't repeated is forgotten.
    far.set_domain_loads(NOW, &"a".into(), sums);
    assert_eq!(load_of(&far, "i"), 35.0);
    far.expire(NOW + Duration::from_secs(3));
    assert_eq!(load_of(&far, "i"), 0.0);
}

#[test]
fn a_delegate_tells_on_what_a_node_of_its_domain_found_unreachable_and_no_further() {
    let [found, delegate, other] = [(); 3].map(|()| upstreams(&["gone"]));
    found.was_unreachable(NOW, key(&found, "gone"));
    delegate.peer_found_unreachable(NOW, &found.unreachable(NOW), true);
    assert_eq!(delegate.unreachable(NOW), [short_hash("gone")]);
    other.peer_found_unreachable(NOW, &delegate.unreachable(NOW), false);
    assert!(is_avoided(&other, NOW, "gone"));
    assert!(other.unreachable(NOW).is_empty(), "it goes no further");
    assert!(delegate.unreachable(NOW + Duration::from_secs(1)).is_empty(), "nor on for ever");
}

#[test]
fn load_of_a_process_of_before_is_not_counted_for_the_one_that_started_again() {
    let upstreams = upstreams(&[]);
    let started = |offset: u64, started_ms| {
        let Change { instance, entry: Entry::Present(record), .. } = change(0, "i") else {
            panic!("a record");
        };
        let record = UpstreamRecord { started_ms: Some(started_ms), ..record };
        Change { instance, at: offset.into(), entry: Entry::Present(record) }
    };
    upstreams.apply(NOW, vec![started(0, 10)]);
    let before = key(&upstreams, "i");
    let _load = upstreams.load(before, 7.0);
    let hash = upstreams.directory().get(before).unwrap().record.incarnation_hash();
    upstreams.set_peer_loads(SocketAddr::from(([10, 0, 0, 9], 1)), vec![(hash, 20.0)]);
    upstreams.failed(NOW, before);
    assert_eq!(load_of(&upstreams, "i"), 27.0);
    upstreams.apply(NOW, vec![started(1, 20)]);
    assert_eq!(load_of(&upstreams, "i"), 0.0);
    assert!(!is_avoided(&upstreams, NOW, "i"), "nor are its failures");
    assert!(upstreams.target(before).is_none());
}

/// Of each candidate it was asked whether its failure domain is silent, which looks through all peers: five million steps for one
/// request before 5,715 engines at a node that hears 985 others.
#[test]
fn a_failure_domain_is_asked_about_once_whatever_the_number_of_its_upstreams() {
    for count in [1_000, 2_000] {
        let names: Vec<_> = (0..count).map(|number| format!("i-{number}")).collect();
        let names: Vec<_> = names.iter().map(String::as_str).collect();
        let upstreams = upstreams(&names);
        let asked = std::cell::Cell::new(0);
        let is_silent = |_: &str| {
            asked.set(asked.get() + 1);
            false
        };
        let candidates = upstreams.candidates(NOW, "s", 0, &Residency::default(), is_silent);
        assert_eq!((candidates.len(), asked.get()), (count, 1));
    }
}

//! Live nodes of a failure domain.

use {
    fernring_core::ids::Incarnation,
    fernring_policy::membership::{Heartbeat, PeerHint, Membership},
    std::{net::SocketAddr, time::Duration},
    uuid::Uuid,
};

const INTERVAL: Duration = Duration::from_millis(500);

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], number))
}

fn heartbeat(number: u16, failure_domain: &str, config_version: u64) -> Heartbeat {
    Heartbeat {
        incarnation: Incarnation(Uuid::from_u128(u128::from(number))),
        address: address(number),
        failure_domain: failure_domain.into(),
        config_version,
        in_flight: 0,
        draining: false,
        demand: Vec::new(),
        reports: Vec::new(),
    }
}

fn membership() -> Membership {
    Membership::new(Incarnation(Uuid::from_u128(1)), address(1), "a".into(), INTERVAL)
}

#[test]
fn a_peer_counts_as_live_until_it_misses_four_heartbeats() {
    let mut membership = membership();
    membership.record_heartbeat(Duration::ZERO, heartbeat(2, "a", 0));
    membership.record_heartbeat(Duration::ZERO, heartbeat(3, "b", 0));
    assert_eq!(membership.live_nodes(INTERVAL * 3), 2, "itself and the one of its domain");
    assert_eq!(membership.live_nodes(INTERVAL * 4), 1);
}

#[test]
fn a_draining_peer_shares_nothing() {
    let mut membership = membership();
    membership.record_heartbeat(Duration::ZERO, Heartbeat { draining: true, ..heartbeat(2, "a", 0) });
    assert_eq!(membership.live_nodes(Duration::ZERO), 1);
}

#[test]
fn contacts_hold_the_whole_own_domain_and_a_few_others() {
    let mut membership = membership();
    let hint = |number: u16| {
        let domain = if number < 20 { "a" } else { "b" };
        PeerHint { address: address(number), failure_domain: domain.to_owned() }
    };
    membership.set_hints((1..200).map(hint));
    let contacts = membership.heartbeat_targets();
    let own = contacts.iter().filter(|contact| contact.port() < 20).count();
    assert_eq!(own, 18, "all of the domain but itself");
    assert_eq!(contacts.len() - own, 3, "a few of the 180 others");
    assert!(!contacts.contains(&address(1)));
}

#[test]
fn a_restarted_peer_replaces_its_predecessor() {
    let mut membership = membership();
    membership.record_heartbeat(Duration::ZERO, heartbeat(2, "a", 5));
    let fresh = Incarnation(Uuid::from_u128(99));
    membership.record_heartbeat(Duration::ZERO, Heartbeat { incarnation: fresh, ..heartbeat(2, "a", 0) });
    let live = membership.live_peers(Duration::ZERO);
    assert_eq!(live.len(), 1);
    assert_eq!(live[0].incarnation, fresh);
}

#[test]
fn the_peer_that_is_ahead_is_found_in_any_domain() {
    let mut membership = membership();
    membership.record_heartbeat(Duration::ZERO, heartbeat(2, "a", 4));
    membership.record_heartbeat(Duration::ZERO, heartbeat(3, "b", 7));
    assert_eq!(membership.newer_config_peer(6, 0.0), Some(address(3)));
    assert_eq!(membership.newer_config_peer(7, 0.0), None);
    assert_eq!(membership.highest_version(), 7);
}

/// All nodes asked the same one of the peers that had a new configuration, whose link then carried all copies; in
/// the gateway, where this was seen, 271 KB took 4.3 s to 78 nodes.
#[test]
fn nodes_that_are_behind_ask_different_peers() {
    let mut membership = membership();
    for number in 2..=9 {
        membership.record_heartbeat(Duration::ZERO, heartbeat(number, "a", if number < 6 { 7 } else { 4 }));
    }
    let draws = (0..100).map(|step| f64::from(step) / 100.0);
    let mut asked: Vec<_> = draws.filter_map(|draw| membership.newer_config_peer(4, draw)).collect();
    assert_eq!(asked.len(), 100);
    asked.sort();
    for number in 2..6 {
        assert_eq!(asked.iter().filter(|peer| **peer == address(number)).count(), 25, "{number}");
    }
}

#[test]
fn each_upstream_is_asked_by_one_node_and_the_work_is_even() {
    let node = |number: u16| {
        let me = Incarnation(Uuid::from_u128(u128::from(number)));
        let mut node = Membership::new(me, address(number), "a".into(), INTERVAL);
        for other in (1..=20).filter(|other| *other != number) {
            node.record_heartbeat(Duration::ZERO, heartbeat(other, "a", 0));
        }
        node
    };
    let nodes: Vec<_> = (1..=20).map(node).collect();
    let mut asked = [0; 20];
    for upstream in 0..480 {
        let name = format!("engines-{upstream}");
        let asking: Vec<_> =
            (0..20).filter(|index| nodes[*index].polls(Duration::ZERO, &name)).collect();
        assert_eq!(asking.len(), 1, "{name} is asked by {asking:?}");
        asked[asking[0]] += 1;
    }
    assert!(asked.iter().all(|count| (8..=45).contains(count)), "{asked:?}");
    // Once the others are silent for long enough, a node asks for itself.
    assert!((0..480).all(|u| nodes[0].polls(INTERVAL * 10, &format!("engines-{u}"))));
}

//! Tests of the membership: live nodes, heartbeat targets, polled upstreams and newer
//! configurations.

use {
    fernring_core::ids::Incarnation,
    fernring_policy::membership::{Heartbeat, Membership, PeerHint},
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
fn peer_is_live_until_four_missed_heartbeats() {
    let mut membership = membership();
    membership.record_heartbeat(Duration::ZERO, heartbeat(2, "a", 0));
    membership.record_heartbeat(Duration::ZERO, heartbeat(3, "b", 0));
    assert_eq!(
        membership.live_nodes(INTERVAL * 3),
        2,
        "the node itself and the peer of its domain"
    );
    assert_eq!(membership.live_nodes(INTERVAL * 4), 1);
}

#[test]
fn draining_peer_is_not_counted() {
    let mut membership = membership();
    membership
        .record_heartbeat(Duration::ZERO, Heartbeat { draining: true, ..heartbeat(2, "a", 0) });
    assert_eq!(membership.live_nodes(Duration::ZERO), 1);
}

#[test]
fn heartbeat_targets_hold_own_domain_and_few_others() {
    let mut membership = membership();
    let hint = |number: u16| {
        let domain = if number < 20 { "a" } else { "b" };
        PeerHint { address: address(number), failure_domain: domain.to_owned() }
    };
    membership.set_hints((1..200).map(hint));
    let targets = membership.heartbeat_targets();
    let local = targets.iter().filter(|target| target.port() < 20).count();
    assert_eq!(local, 18, "all nodes of the domain except itself");
    assert_eq!(targets.len() - local, 3, "a few of the 180 others");
    assert!(!targets.contains(&address(1)));
}

#[test]
fn restarted_peer_replaces_its_predecessor() {
    let mut membership = membership();
    membership.record_heartbeat(Duration::ZERO, heartbeat(2, "a", 5));
    let new_incarnation = Incarnation(Uuid::from_u128(99));
    membership.record_heartbeat(
        Duration::ZERO,
        Heartbeat { incarnation: new_incarnation, ..heartbeat(2, "a", 0) },
    );
    let live = membership.live_peers(Duration::ZERO);
    assert_eq!(live.len(), 1);
    assert_eq!(live[0].incarnation, new_incarnation);
}

#[test]
fn newer_config_peer_is_found_in_any_domain() {
    let mut membership = membership();
    membership.record_heartbeat(Duration::ZERO, heartbeat(2, "a", 4));
    membership.record_heartbeat(Duration::ZERO, heartbeat(3, "b", 7));
    assert_eq!(membership.newer_config_peer(6, 0.0), Some(address(3)));
    assert_eq!(membership.newer_config_peer(7, 0.0), None);
    assert_eq!(membership.highest_version(), 7);
}

/// All nodes asked the same peer for a new configuration, whose link carried all copies.
#[test]
fn outdated_nodes_ask_different_peers() {
    let mut membership = membership();
    for number in 2..=9 {
        membership.record_heartbeat(
            Duration::ZERO,
            heartbeat(number, "a", if number < 6 { 7 } else { 4 }),
        );
    }
    let draws = (0..100).map(|step| f64::from(step) / 100.0);
    let mut asked: Vec<_> =
        draws.filter_map(|draw| membership.newer_config_peer(4, draw)).collect();
    assert_eq!(asked.len(), 100);
    asked.sort();
    for number in 2..6 {
        assert_eq!(asked.iter().filter(|peer| **peer == address(number)).count(), 25, "{number}");
    }
}

#[test]
fn each_upstream_is_polled_by_one_node_evenly() {
    let node = |number: u16| {
        let own_incarnation = Incarnation(Uuid::from_u128(u128::from(number)));
        let mut node = Membership::new(own_incarnation, address(number), "a".into(), INTERVAL);
        for other in (1..=20).filter(|other| *other != number) {
            node.record_heartbeat(Duration::ZERO, heartbeat(other, "a", 0));
        }
        node
    };
    let nodes: Vec<_> = (1..=20).map(node).collect();
    let mut poll_counts = [0; 20];
    for upstream in 0..480 {
        let name = format!("engines-{upstream}");
        let pollers: Vec<_> =
            (0..20).filter(|index| nodes[*index].polls(Duration::ZERO, &name)).collect();
        assert_eq!(pollers.len(), 1, "{name} is polled by {pollers:?}");
        poll_counts[pollers[0]] += 1;
    }
    assert!(poll_counts.iter().all(|count| (8..=45).contains(count)), "{poll_counts:?}");
    // Once all peers count as dead, a node polls every upstream itself.
    assert!((0..480).all(|u| nodes[0].polls(INTERVAL * 10, &format!("engines-{u}"))));
}

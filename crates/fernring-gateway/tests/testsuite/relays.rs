//! Tests of the choice of a relay.

use {
    fernring_gateway::{
        relays::{Relay, rank},
        residency::Regions,
    },
    std::{collections::BTreeMap, net::SocketAddr},
};

fn relay(number: u16, is_same_domain: bool, link_mbps: u32) -> Relay {
    let address = SocketAddr::from(([10, 0, 0, 1], number));
    Relay { address, is_same_domain, link_mbps, open_tunnels: 0 }
}

/// Opens tunnels one after the other, each through the best relay; returns their number by relay.
fn open_tunnels(relays: &[Relay], count: usize) -> BTreeMap<u16, usize> {
    let mut relays = relays.to_vec();
    for _ in 0..count {
        let best = rank(relays.iter().map(|relay| (*relay, 0.5)).collect())[0];
        let relay = relays.iter_mut().find(|relay| relay.address == best).unwrap();
        relay.open_tunnels += 1;
    }
    relays.iter().map(|relay| (relay.address.port(), relay.open_tunnels)).collect()
}

#[test]
fn tunnels_are_spread_by_link_and_failure_domain() {
    let relays = [relay(1, true, 1_000), relay(2, false, 1_000), relay(3, false, 10)];
    let opened = open_tunnels(&relays, 300);
    assert!(opened[&1] > opened[&2], "{opened:?}");
    assert!(opened[&2] > 50, "the only peer of the domain doesn't carry all: {opened:?}");
    assert!(opened[&3] <= 5, "a small link carries few: {opened:?}");
}

#[test]
fn equal_relays_are_drawn() {
    let (one, other) = (relay(1, true, 1_000), relay(2, true, 1_000));
    assert_eq!(rank(vec![(one, 0.1), (other, 0.9)])[0], one.address);
    assert_eq!(rank(vec![(one, 0.9), (other, 0.1)])[0], other.address);
}

#[test]
fn only_the_region_of_the_upstream_carries_its_bytes() {
    let regions = Regions::new([("a", "north"), ("b", "north"), ("c", "south")]);
    assert!(regions.are_together("a", "b") && !regions.are_together("a", "c"));
    assert!(!regions.are_together("x", "y"), "an unknown region is no common one");
    assert!(regions.are_together("x", "x"));
    assert!(Regions::default().are_together("a", "c"), "without regions nothing is restricted");
}

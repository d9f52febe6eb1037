//! The regions in which a request may be served.

use {
    fernring_gateway::{
        members::{Member, Members},
        residency::{Regions, Residency},
        settings::parse,
    },
    std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration},
};

const NAMES: [&str; 4] = ["east", "north", "south", "west"];

/// All restrictions to regions of [`NAMES`], and none.
fn all() -> Vec<Residency> {
    let chosen = |bits: usize| (0..NAMES.len()).filter(move |index| bits >> index & 1 == 1);
    let within = |bits| Residency::within(chosen(bits).map(|index| NAMES[index]));
    std::iter::once(Residency::default()).chain((0..16).map(within)).collect()
}

#[test]
fn both_bind() {
    for one in all() {
        for other in all() {
            let both = one.and(&other);
            for name in NAMES {
                let region: Arc<str> = name.into();
                let allowed = |residency: &Residency| residency.allows(Some(&region));
                assert_eq!(allowed(&both), allowed(&one) && allowed(&other));
            }
            assert_eq!(both.is_restricted(), one.is_restricted() || other.is_restricted());
        }
    }
}

#[test]
fn a_region_that_is_not_known_is_outside_of_every_restriction() {
    for residency in all() {
        assert_eq!(residency.allows(None), !residency.is_restricted());
    }
}

#[test]
fn a_failure_domain_has_the_region_that_the_settings_name() {
    let text = r#"
        [node]
        name = "n"
        failure_domain = "a"
        caller_address = "127.0.0.1:1"
        ready_address = "127.0.0.1:2"
        peer_address = "127.0.0.1:3"

        [store]
        address = "127.0.0.1:4"

        [regions]
        a = "north"
        b = "south"
    "#;
    let regions = parse(text, "node.toml").unwrap().regions();
    assert_eq!(regions, Regions::new([("a", "north"), ("b", "south")]));
    assert!(regions.contains("south") && !regions.contains("west"));
    let error = parse(&text.replace("\"south\"", "\"\""), "node.toml").unwrap_err();
    assert!(error.to_string().contains("regions"), "{error}");
}

/// Owners among some failure domains: all nodes that hear each other name the same, whichever region they are in.
#[test]
fn an_owner_among_some_domains_is_one_of_theirs() {
    let address = |number: u16| SocketAddr::from(([10, 0, 0, 1], number));
    let domains = ["a", "b", "c"];
    let node = |number: u16| {
        let domain = domains[usize::from(number) % domains.len()];
        Member { incarnation: u64::from(number), ..Member::new(address(number), domain.into()) }
    };
    let numbers: Vec<u16> = (0..9).collect();
    for pool in ["s/a", "s/b", "t/a", "t/b", "u/c"] {
        let mut named = BTreeSet::new();
        for me in &numbers {
            let mut members = Members::default();
            for other in numbers.iter().filter(|other| *other != me) {
                members.record_heartbeat(Duration::ZERO, node(*other));
            }
            let is_there = |domain: &str| domain != "c";
            named.insert(members.owner_among(Duration::ZERO, &node(*me), pool, is_there).unwrap());
        }
        assert_eq!(named.len(), 1, "{pool}");
        let owner = named.first().unwrap().port();
        assert_ne!(domains[usize::from(owner) % domains.len()], "c", "{pool}");
    }
    let alone = Members::default();
    assert_eq!(alone.owner_among(Duration::ZERO, &node(0), "s/b", |domain| domain == "b"), None);
}

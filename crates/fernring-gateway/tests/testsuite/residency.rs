//! Restrictions of requests to regions.

use {
    fernring_gateway::{
        members::{Member, Members},
        residency::{Regions, Residency},
        settings::parse,
    },
    std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration},
};

const NAMES: [&str; 4] = ["east", "north", "south", "west"];

/// All restrictions to regions of [`NAMES`], and the absence of one.
fn all() -> Vec<Residency> {
    let chosen = |bits: usize| (0..NAMES.len()).filter(move |index| bits >> index & 1 == 1);
    let within = |bits| Residency::within(chosen(bits).map(|index| NAMES[index]));
    std::iter::once(Residency::default()).chain((0..16).map(within)).collect()
}

#[test]
fn intersection_allows_what_both_allow() {
    for one in all() {
        for other in all() {
            let intersection = one.intersect(&other);
            for name in NAMES {
                let region: Arc<str> = name.into();
                let allowed = |residency: &Residency| residency.allows(Some(&region));
                assert_eq!(allowed(&intersection), allowed(&one) && allowed(&other));
            }
            assert_eq!(intersection.is_restricted(), one.is_restricted() || other.is_restricted());
        }
    }
}

#[test]
fn unknown_region_is_outside_every_restriction() {
    for residency in all() {
        assert_eq!(residency.allows(None), !residency.is_restricted());
    }
}

#[test]
fn settings_assign_regions_to_failure_domains() {
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

/// All nodes that reach each other choose the same owner among some failure domains,
/// regardless of their own region.
#[test]
fn owner_belongs_to_the_given_domains() {
    let address = |number: u16| SocketAddr::from(([10, 0, 0, 1], number));
    let domains = ["a", "b", "c"];
    let node = |number: u16| {
        let domain = domains[usize::from(number) % domains.len()];
        Member { incarnation: u64::from(number), ..Member::new(address(number), domain.into()) }
    };
    let numbers: Vec<u16> = (0..9).collect();
    for pool in ["s/a", "s/b", "t/a", "t/b", "u/c"] {
        let mut owners = BTreeSet::new();
        for me in &numbers {
            let mut members = Members::default();
            for other in numbers.iter().filter(|other| *other != me) {
                members.record_heartbeat(Duration::ZERO, node(*other));
            }
            let is_included = |domain: &str| domain != "c";
            owners.insert(
                members.owner_among(Duration::ZERO, &node(*me), pool, is_included).unwrap(),
            );
        }
        assert_eq!(owners.len(), 1, "{pool}");
        let owner = owners.first().unwrap().port();
        assert_ne!(domains[usize::from(owner) % domains.len()], "c", "{pool}");
    }
    let alone = Members::default();
    assert_eq!(alone.owner_among(Duration::ZERO, &node(0), "s/b", |domain| domain == "b"), None);
}

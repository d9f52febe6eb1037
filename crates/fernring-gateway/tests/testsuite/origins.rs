//! Tests of the origins of streams, the versions of services, and the peers that hold them.

use {
    fernring_gateway::{
        members::{Member, Members},
        origin_table::{Origin, STREAM_LIFETIME, StreamOriginTable, VersionHistory},
    },
    std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration},
};

const START: Duration = Duration::from_secs(1_000);

fn origin(version: &str) -> Origin {
    Origin::Version { service: "app".into(), version: version.into() }
}

#[test]
fn origin_is_known_until_it_expires() {
    let mut table = StreamOriginTable::default();
    let request: Arc<str> = "r1".into();
    let expires_at = START + Duration::from_secs(5);
    table.record(&request, origin("v1"), expires_at, true);
    assert_eq!(table.find(START, "r1"), Some(&origin("v1")));
    assert_eq!(table.own_of_service(START, "app").count(), 1);
    assert_eq!(table.own_of_service(START, "other").count(), 0);
    assert_eq!(table.find(expires_at, "r1"), None);
    table.expire(expires_at);
    table.record(&request, origin("v2"), expires_at + Duration::from_secs(5), true);
    assert_eq!(table.find(expires_at, "r1"), Some(&origin("v2")));
}

#[test]
fn different_origins_of_one_request_are_ambiguous() {
    let mut table = StreamOriginTable::default();
    for version in ["v1", "v1", "v2"] {
        table.record(&"r1".into(), origin(version), START + STREAM_LIFETIME, false);
    }
    assert_eq!(table.find(START, "r1"), Some(&Origin::Ambiguous));
}

#[test]
fn number_of_known_streams_is_bounded() {
    let mut table = StreamOriginTable::default();
    for number in 0..50_000 {
        let request: Arc<str> = format!("r{number}").into();
        table.record(&request, origin("v1"), START + STREAM_LIFETIME, true);
    }
    assert_eq!(table.own_of_service(START, "app").count(), 20_000);
    assert_eq!(table.find(START, "r0"), None);
    assert!(table.find(START, "r49999").is_some());
}

#[test]
fn version_counts_for_as_long_as_its_streams_may_last() {
    let mut history = VersionHistory::default();
    let service: Arc<str> = "app".into();
    let (v1, v2): (Arc<str>, Arc<str>) = ("v1".into(), "v2".into());
    history.record(START, &service, [&v1].into_iter());
    assert!(!history.has_several("app") && !history.is_long_known(START, "app"));
    let changed_at = START + Duration::from_secs(10);
    history.record(changed_at, &service, [&v2].into_iter());
    assert!(history.has_several("app"));
    let before_end = START + STREAM_LIFETIME - Duration::from_millis(1);
    history.record(before_end, &service, [&v2].into_iter());
    assert!(history.has_several("app") && !history.is_long_known(before_end, "app"));
    let end = START + STREAM_LIFETIME;
    history.record(end, &service, [&v2].into_iter());
    assert!(!history.has_several("app") && history.is_long_known(end, "app"));
}

/// A node without current records may miss a version that comes and goes.
#[test]
fn service_counts_as_long_known_in_spite_of_a_gap() {
    let mut history = VersionHistory::default();
    let service: Arc<str> = "app".into();
    let v1: Arc<str> = "v1".into();
    history.record(START, &service, [&v1].into_iter());
    let end = START + STREAM_LIFETIME;
    assert!(history.is_long_known(end, &service));
    history.record_gap(end);
    assert!(!history.is_long_known(end, &service));
    assert_eq!(history.all().collect::<Vec<_>>(), [(&service, &v1)]);
    assert!(history.is_long_known(end + STREAM_LIFETIME, &service));
}

/// Returns members that know `nodes`, without `me`.
fn members_without(me: &Member, nodes: &[Member]) -> Members {
    let mut members = Members::default();
    for node in nodes.iter().filter(|node| node.address != me.address) {
        members.record_heartbeat(START, node.clone());
    }
    members
}

#[test]
fn peers_that_are_asked_include_one_that_was_told() {
    for domains in [1, 2, 3, 8] {
        let address = |number: u16| SocketAddr::from(([127, 0, 0, 1], 1_000 + number));
        let domain = |number: u16| -> Arc<str> { format!("d{}", number % domains).into() };
        let nodes: Vec<_> = (0..40).map(|n| Member::new(address(n), domain(n))).collect();
        for stream in 0..200_usize {
            let key = format!("r{stream}");
            let writer = &nodes[stream % nodes.len()];
            let told = members_without(writer, &nodes).holders(START, writer, &key, 2, 1);
            let expected = 2 + domains.min(3) as usize - 1;
            assert_eq!(told.len(), expected);
            assert!(told.iter().all(|holder| *holder != writer.address));
            // The writer and one of those it told have ended since.
            let ended = [writer.address, told[0]];
            let left: Vec<_> =
                nodes.iter().filter(|node| !ended.contains(&node.address)).cloned().collect();
            let reader = &left[(stream * 7) % left.len()];
            let asked = members_without(reader, &left).holders(START, reader, &key, 3, 2);
            let asked: BTreeSet<_> = asked.into_iter().chain([reader.address]).collect();
            assert!(told.iter().any(|holder| asked.contains(holder)), "{domains} {key}");
        }
    }
}

//! What shows that an upstream has ended, and what doesn't.

use {
    fernring_gateway::{
        fingerprint::Fingerprint,
        endings::{Break, CAUSE_MAX, Endings, Probe, Run},
        model::UpstreamKey,
    },
    slotmap::SlotMap,
    std::{net::SocketAddr, time::Duration},
};

const NOW: Duration = Duration::from_secs(100);

fn run() -> Run {
    Run { instance: "i-1".into(), started_ms: Some(7) }
}

fn address() -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 8080))
}

fn content(name: &str) -> Fingerprint {
    Fingerprint::of(None, name, b"")
}

/// Upstreams at which one send broke off, and its key.
fn broken(how: Break) -> (Endings, UpstreamKey) {
    let mut endings = Endings::default();
    let key = UpstreamKey::default();
    let found = endings.broke(NOW, (key, address()), &run(), how, Some(content("a")));
    assert_eq!(found, None, "a break alone");
    (endings, key)
}

#[test]
fn a_refused_connection_after_a_break_is_an_end() {
    let (mut endings, key) = broken(Break::Closed);
    let ended = endings.probed(key, Probe::Refused).unwrap();
    assert_eq!((ended.run, ended.contents), (run(), vec![content("a")]));
}

#[test]
fn a_reset_or_a_broken_answer_of_an_upstream_that_lives_on_is_no_end() {
    let (mut endings, key) = broken(Break::Closed);
    assert_eq!(endings.probed(key, Probe::Accepted), None);
    assert_eq!(endings.removed(NOW, key), None, "it leaves and serves on");
}

#[test]
fn a_start_again_is_an_end_whatever_a_look_found() {
    let (mut endings, key) = broken(Break::Closed);
    assert_eq!(endings.probed(key, Probe::Accepted), None, "the new process takes connections");
    assert!(endings.restarted(NOW, key).is_some());
}

/// A node that stood still finds the break when another process has long taken the address.
#[test]
fn another_upstream_at_the_address_is_an_end_though_it_takes_connections() {
    let mut keys = SlotMap::<UpstreamKey, ()>::with_key();
    let next = keys.insert(());
    let (mut endings, key) = broken(Break::Closed);
    assert_eq!((endings.probed(key, Probe::Accepted), endings.removed(NOW, key)), (None, None));
    let elsewhere = SocketAddr::from(([10, 0, 0, 2], 8080));
    assert!(endings.appeared(NOW, next, elsewhere).is_empty());
    assert_eq!(endings.appeared(NOW, next, address())[0].contents, [content("a")]);
}

#[test]
fn silence_is_an_end_only_beside_another_sign() {
    let (mut endings, key) = broken(Break::Silent);
    assert!(!endings.shall_probe(NOW, key), "nothing says that the process ended");
    assert_eq!(
        endings.removed(NOW, key),
        None,
        "it may leave and serve on, or be cut off from the store"
    );
    assert!(endings.shall_probe(NOW, key));
    assert!(
        endings.probed(key, Probe::Silent).is_some(),
        "its record is gone, and nobody is there"
    );
    let (mut endings, key) = broken(Break::Silent);
    assert_eq!(endings.probed(key, Probe::Silent), None, "as in a cut");
    let (mut endings, key) = broken(Break::Closed);
    assert!(endings.probed(key, Probe::Silent).is_some(), "closed, then silent: its VM has ended");
}

#[test]
fn an_upstream_whose_record_went_before_the_break_left_as_it_said() {
    let mut endings = Endings::default();
    let key = UpstreamKey::default();
    assert_eq!(endings.removed(NOW, key), None);
    assert_eq!(
        endings.broke(NOW, (key, address()), &run(), Break::Closed, Some(content("a"))),
        None
    );
    assert_eq!(endings.probed(key, Probe::Refused), None);
}

#[test]
fn an_upstream_that_said_that_it_leaves_may_end() {
    let mut endings = Endings::default();
    let key = UpstreamKey::default();
    endings.leaving(NOW, key);
    endings.removed(NOW, key);
    assert_eq!(
        endings.broke(NOW, (key, address()), &run(), Break::Closed, Some(content("a"))),
        None
    );
    assert_eq!(endings.probed(key, Probe::Refused), None);
}

#[test]
fn what_breaks_after_the_end_is_known_belongs_to_it() {
    let (mut endings, key) = broken(Break::Closed);
    endings.probed(key, Probe::Refused);
    let later =
        endings.broke(NOW, (key, address()), &run(), Break::Closed, Some(content("b"))).unwrap();
    assert_eq!(later.contents, [content("b")], "each is said once");
    let mut endings = Endings::default();
    assert_eq!(endings.restarted(NOW, key), None);
    assert!(
        endings.broke(NOW, (key, address()), &run(), Break::Closed, Some(content("c"))).is_some()
    );
}

#[test]
fn a_verdict_is_given_as_soon_as_there_is_one() {
    let mut endings = Endings::default();
    let key = UpstreamKey::default();
    assert_eq!(endings.verdict(key), None);
    assert_eq!(endings.broke(NOW, (key, address()), &run(), Break::Closed, None), None);
    assert_eq!(endings.verdict(key), None);
    assert_eq!((endings.probed(key, Probe::Accepted), endings.verdict(key)), (None, Some(false)));
    assert_eq!(endings.probed(key, Probe::Refused), None, "nothing is to be charged");
    assert_eq!(endings.verdict(key), Some(true));
}

#[test]
fn a_cause_is_looked_for_only_for_a_while_and_not_all_the_time() {
    let (mut endings, key) = broken(Break::Closed);
    assert!(endings.shall_probe(NOW, key) && !endings.shall_probe(NOW, key));
    assert!(endings.shall_probe(NOW + Duration::from_millis(200), key));
    endings.expire(NOW + CAUSE_MAX);
    assert_eq!(endings.probed(key, Probe::Refused), None);
}

//! What a node knows of what waits at stage services elsewhere.

use {
    fernring_gateway::{backlog::Backlog, backlogs::Backlogs},
    std::{net::SocketAddr, rc::Rc, sync::Arc, time::Duration},
};

const NOW: Duration = Duration::from_secs(100);

fn peer(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 1))
}

fn backlog(waiting: u32) -> Backlog {
    let mut backlog = Backlog { rate_per_s: 100.0, ..Backlog::default() };
    backlog.waiting[0] = waiting;
    backlog.arrivals_per_s[0] = 100.0;
    backlog
}

fn ahead(backlogs: &Backlogs, now: Duration) -> Option<u32> {
    backlogs.of(now, "first", None).map(|backlog| backlog.waiting.iter().sum())
}

#[test]
fn what_the_owner_says_and_what_all_have_promised_is_ahead() {
    let service: Arc<str> = "first".into();
    let [owner, other, here] = [(); 3].map(|()| Rc::new(Backlogs::default()));
    let _theirs = other.promise(&service, 0, 5);
    here.heard(NOW, peer(1), &owner.described(vec![(service.clone(), backlog(20))]));
    here.heard(NOW, peer(2), &other.described(Vec::new()));
    assert_eq!(ahead(&here, NOW), Some(25));
    let ours = here.promise(&service, 2, 3);
    assert_eq!(ahead(&here, NOW), Some(28));
    drop(ours);
    assert_eq!(ahead(&here, NOW), Some(25), "it has come to the stage, or was given up");
    here.lost(peer(2));
    assert_eq!(ahead(&here, NOW), Some(20));
}

#[test]
fn an_owner_that_fell_silent_says_nothing_any_more() {
    let here = Rc::new(Backlogs::default());
    assert_eq!(ahead(&here, NOW), None);
    here.heard(NOW, peer(1), &here.described(vec![("first".into(), backlog(20))]));
    assert_eq!(ahead(&here, NOW + Duration::from_millis(500)), Some(20));
    assert_eq!(ahead(&here, NOW + Duration::from_secs(1)), None);
}

#[test]
fn the_owner_itself_goes_by_its_own_queue() {
    let here = Rc::new(Backlogs::default());
    here.heard(NOW, peer(1), &here.described(vec![("first".into(), backlog(20))]));
    let own = here.of(NOW, "first", Some(backlog(7)));
    assert_eq!(own.map(|backlog| backlog.waiting[0]), Some(7));
}

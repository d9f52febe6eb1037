//! What a node knows of what waits at stage services elsewhere.

use {
    fernring_gateway::{backlog::Backlog, backlogs::Backlogs, pools::MakerPool},
    fernring_protocol::gateway::LoadScope,
    std::{net::SocketAddr, rc::Rc, time::Duration},
};

fn first() -> MakerPool {
    MakerPool::whole("first".into())
}

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
    backlogs.of(now, &first(), None).map(|backlog| backlog.waiting.iter().sum())
}

#[test]
fn what_the_owner_says_and_what_all_have_promised_is_ahead() {
    let service = first();
    let [owner, other, here] = [(); 3].map(|()| Rc::new(Backlogs::default()));
    let _theirs = other.promise(&service, 0, 5);
    here.heard(
        NOW,
        peer(1),
        &owner.described(NOW, vec![(service.clone(), backlog(20))], LoadScope::Sender),
        LoadScope::Sender,
        false,
    );
    here.heard(
        NOW,
        peer(2),
        &other.described(NOW, Vec::new(), LoadScope::Sender),
        LoadScope::Sender,
        false,
    );
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
    here.heard(
        NOW,
        peer(1),
        &here.described(NOW, vec![(first(), backlog(20))], LoadScope::Sender),
        LoadScope::Sender,
        false,
    );
    assert_eq!(ahead(&here, NOW + Duration::from_millis(500)), Some(20));
    assert_eq!(ahead(&here, NOW + Duration::from_secs(1)), None);
}

#[test]
fn the_owner_itself_goes_by_its_own_queue() {
    let here = Rc::new(Backlogs::default());
    here.heard(
        NOW,
        peer(1),
        &here.described(NOW, vec![(first(), backlog(20))], LoadScope::Sender),
        LoadScope::Sender,
        false,
    );
    let own = here.of(NOW, &first(), Some(backlog(7)));
    assert_eq!(own.map(|backlog| backlog.waiting[0]), Some(7));
}

#[test]
fn promises_of_a_domain_are_added_up_by_a_delegate_and_counted_once() {
    let service = first();
    let [owner, follower, delegate, far] = [(); 4].map(|()| Rc::new(Backlogs::default()));
    let owned = owner.described(NOW, vec![(service.clone(), backlog(20))], LoadScope::Omitted);
    for node in [&follower, &delegate, &far] {
        node.heard(NOW, peer(1), &owned, LoadScope::Omitted, false);
    }
    let _theirs = follower.promise(&service, 0, 5);
    let _ours = delegate.promise(&service, 1, 2);
    let told = follower.described(NOW, Vec::new(), LoadScope::Sender);
    delegate.heard(NOW, peer(2), &told, LoadScope::Sender, false);
    assert_eq!(ahead(&delegate, NOW), Some(27));
    let sums = delegate.described(NOW, Vec::new(), LoadScope::Domain);
    far.heard(NOW, peer(3), &sums, LoadScope::Domain, false);
    assert_eq!(ahead(&far, NOW), Some(27));
    follower.heard(NOW, peer(3), &sums, LoadScope::Domain, true);
    assert_eq!(ahead(&follower, NOW), Some(27), "what it promised itself isn't counted twice");
    // Heartbeats in between that tell no loads leave the sums as they are.
    far.heard(NOW, peer(3), &[], LoadScope::Omitted, false);
    assert_eq!(ahead(&far, NOW), Some(27));
    let passed_on = far.described(NOW, Vec::new(), LoadScope::Domain);
    assert!(passed_on.is_empty(), "sums of other domains aren't passed on");
}

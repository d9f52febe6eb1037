//! Estimates of the backlogs at stage services that other nodes own.

use {
    fernring_gateway::{backlog::Backlog, backlogs::Backlogs, worker_pools::WorkerPool},
    fernring_protocol::gateway::LoadScope,
    std::{net::SocketAddr, rc::Rc, time::Duration},
};

fn first_pool() -> WorkerPool {
    WorkerPool::unsharded("first".into())
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

fn pieces_ahead(backlogs: &Backlogs, now: Duration) -> Option<u32> {
    backlogs.estimate(now, &first_pool(), None).map(|backlog| backlog.waiting.iter().sum())
}

#[test]
fn estimate_adds_reservations_of_all_nodes() {
    let service = first_pool();
    let [owner, other, here] = [(); 3].map(|()| Rc::new(Backlogs::default()));
    let _peer_reservation = other.reserve(&service, 0, 5);
    here.handle_loads(
        NOW,
        peer(1),
        &owner.stage_loads(NOW, vec![(service.clone(), backlog(20))], LoadScope::Sender),
        LoadScope::Sender,
        false,
    );
    here.handle_loads(
        NOW,
        peer(2),
        &other.stage_loads(NOW, Vec::new(), LoadScope::Sender),
        LoadScope::Sender,
        false,
    );
    assert_eq!(pieces_ahead(&here, NOW), Some(25));
    let own_reservation = here.reserve(&service, 2, 3);
    assert_eq!(pieces_ahead(&here, NOW), Some(28));
    drop(own_reservation);
    assert_eq!(
        pieces_ahead(&here, NOW),
        Some(25),
        "the request has reached the stage or was abandoned"
    );
    here.remove_peer(peer(2));
    assert_eq!(pieces_ahead(&here, NOW), Some(20));
}

#[test]
fn report_of_silent_owner_expires() {
    let here = Rc::new(Backlogs::default());
    assert_eq!(pieces_ahead(&here, NOW), None);
    here.handle_loads(
        NOW,
        peer(1),
        &here.stage_loads(NOW, vec![(first_pool(), backlog(20))], LoadScope::Sender),
        LoadScope::Sender,
        false,
    );
    assert_eq!(pieces_ahead(&here, NOW + Duration::from_millis(500)), Some(20));
    assert_eq!(pieces_ahead(&here, NOW + Duration::from_secs(1)), None);
}

#[test]
fn owner_uses_its_own_backlog() {
    let here = Rc::new(Backlogs::default());
    here.handle_loads(
        NOW,
        peer(1),
        &here.stage_loads(NOW, vec![(first_pool(), backlog(20))], LoadScope::Sender),
        LoadScope::Sender,
        false,
    );
    let own = here.estimate(NOW, &first_pool(), Some(backlog(7)));
    assert_eq!(own.map(|backlog| backlog.waiting[0]), Some(7));
}

#[test]
fn delegate_sums_reservations_of_its_domain_once() {
    let service = first_pool();
    let [owner, follower, delegate, remote] = [(); 4].map(|()| Rc::new(Backlogs::default()));
    let owned = owner.stage_loads(NOW, vec![(service.clone(), backlog(20))], LoadScope::Omitted);
    for node in [&follower, &delegate, &remote] {
        node.handle_loads(NOW, peer(1), &owned, LoadScope::Omitted, false);
    }
    let _peer_reservation = follower.reserve(&service, 0, 5);
    let _own_reservation = delegate.reserve(&service, 1, 2);
    let reported = follower.stage_loads(NOW, Vec::new(), LoadScope::Sender);
    delegate.handle_loads(NOW, peer(2), &reported, LoadScope::Sender, false);
    assert_eq!(pieces_ahead(&delegate, NOW), Some(27));
    let sums = delegate.stage_loads(NOW, Vec::new(), LoadScope::Domain);
    remote.handle_loads(NOW, peer(3), &sums, LoadScope::Domain, false);
    assert_eq!(pieces_ahead(&remote, NOW), Some(27));
    follower.handle_loads(NOW, peer(3), &sums, LoadScope::Domain, true);
    assert_eq!(pieces_ahead(&follower, NOW), Some(27), "its own reservations aren't counted twice");
    // Heartbeats without loads leave the sums unchanged.
    remote.handle_loads(NOW, peer(3), &[], LoadScope::Omitted, false);
    assert_eq!(pieces_ahead(&remote, NOW), Some(27));
    let republished = remote.stage_loads(NOW, Vec::new(), LoadScope::Domain);
    assert!(republished.is_empty(), "sums of other domains aren't republished");
}

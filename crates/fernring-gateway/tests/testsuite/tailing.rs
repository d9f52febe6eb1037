//! Tests of how nodes keep up with a topic of the store through their peers.

use {
    super::fleet::{Fleet, NODES, StoreAccess},
    fernring_gateway::{
        freshness::STALE_AFTER,
        members::ReaderRole,
        tailing::{MIN_LINK_BYTES_PER_S, Reply, Tailing},
    },
    std::time::Duration,
};

/// Seeds of the simulated fleets.
const SEEDS: std::ops::Range<u64> = 1..6;
/// Size of a configuration with 1,400 routes, in bytes.
const LARGE_BYTES: usize = 270_994;
/// Size of a compressed configuration with 4,200 routes, in bytes.
const PACKED_BYTES: usize = 62_849;
/// Time until the nodes have found each other and read the topic.
const SETTLE_TIME: Duration = Duration::from_secs(5);

/// Guards against ages that grow too slowly, so that a node reads the store itself once its state
/// was unconfirmed for 1.45 s. When nodes passed on ages received in heartbeats, each hop left out
/// its transit time: among 78 nodes an age grew by half a second per second, and nodes took a
/// version for fresh that nobody could have confirmed for 3,047 ms
/// (`store_stand_in topic=config age_ms=1554 behind_ms=3047`).
#[test]
fn unconfirmed_state_is_doubted_in_time() {
    for seed in SEEDS {
        let mut fleet = Fleet::new(seed, StoreAccess::Readers, LARGE_BYTES);
        fleet.run_for(SETTLE_TIME);
        assert_eq!(
            fleet.last_doubted_at(),
            None,
            "seed {seed}: the state of all nodes is confirmed"
        );
        fleet.store_responds = false;
        let outage_since = fleet.now;
        fleet.run_for(Duration::from_secs(20));
        let doubted = fleet.last_doubted_at().expect("all nodes doubt their state") - outage_since;
        // The spread of the nodes' reads (250 ms) and two heartbeats (400 ms).
        let in_time = STALE_AFTER + Duration::from_millis(250 + 400);
        assert!(doubted <= in_time, "seed {seed}: the last one after {doubted:?}");
    }
}

/// Guards against requests that all go to one holder of a record. Four readers had a configuration
/// of 271 KB at once, but the other 74 nodes received it one after the other, the last ones six
/// seconds later: all asked the node whose heartbeat came first, which sent one copy per 200 ms and
/// left the other requests unanswered, and none asked the other holders meanwhile. Of 1,253
/// requests 1,131 were deferred.
#[test]
fn large_record_spreads_within_two_and_a_half_seconds() {
    for seed in SEEDS {
        let mut fleet = Fleet::new(seed, StoreAccess::Readers, LARGE_BYTES);
        fleet.run_for(SETTLE_TIME);
        fleet.publish();
        fleet.run_for(Duration::from_millis(2_500));
        let (up_to_date, copies) = (fleet.up_to_date_count(), fleet.transfers());
        assert_eq!(up_to_date, NODES, "seed {seed}: with {copies} copies");
        assert!(copies <= NODES * 5 / 4, "seed {seed}: {copies} copies for {NODES} nodes");
    }
}

/// A record that is too large for the links between peers is read from the store: each node reads
/// it once its state is in doubt, and 800 KB take 640 ms over the node's own link.
#[test]
fn slowly_spreading_record_is_read_from_store() {
    for seed in SEEDS {
        let mut fleet = Fleet::new(seed, StoreAccess::All, 800_000);
        fleet.run_for(SETTLE_TIME);
        fleet.publish();
        fleet.run_for(Duration::from_millis(3_000));
        let (up_to_date, copies) = (fleet.up_to_date_count(), fleet.transfers());
        assert_eq!(up_to_date, NODES, "seed {seed}: with {copies} copies");
    }
}

/// Guards against needless reads of a record that peers deliver. While the first reader received
/// its own answer, for 0.6 s, it confirmed nothing, so nodes began to doubt their state just when
/// their peers sent the new record: 42 of 86 nodes read 788 KB from the store, though all had
/// received them from a peer before.
#[test]
fn record_from_peers_is_not_read_from_store() {
    for seed in SEEDS {
        let mut fleet = Fleet::new(seed, StoreAccess::All, PACKED_BYTES);
        fleet.run_for(SETTLE_TIME);
        fleet.store_responds = false;
        fleet.run_for(STALE_AFTER - Duration::from_millis(400));
        assert_eq!(fleet.stand_in_reads, 0, "seed {seed}");
        fleet.publish();
        fleet.store_responds = true;
        fleet.run_for(Duration::from_millis(1_500));
        assert_eq!(fleet.up_to_date_count(), NODES, "seed {seed}");
        assert!(fleet.stand_in_reads <= NODES / 10, "seed {seed}: {} reads", fleet.stand_in_reads);
    }
}

#[test]
fn node_is_outdated_if_a_peer_is_ahead_or_nothing_confirms_it() {
    let (now, bound) = (SETTLE_TIME, Duration::from_secs(2));
    let mut tailing = Tailing::new(0.0);
    assert!(tailing.may_be_outdated(now, bound), "a record without a confirmation");
    tailing.record_confirmation(now);
    assert!(!tailing.may_be_outdated(now + bound, bound));
    assert!(tailing.may_be_outdated(now + bound + Duration::from_millis(1), bound));
    tailing.handle_peer_mark(now, 1, 2, None);
    assert!(tailing.may_be_outdated(now, bound), "a peer has a newer record");
    tailing.record_caught_up(LARGE_BYTES);
    assert!(!tailing.may_be_outdated(now, bound));
    // A store that was restored from a backup has lost the newer record, and the peer that knew it is
    // gone.
    for is_own_read in [true, false] {
        tailing.handle_peer_mark(now, 1, 2, None);
        assert!(tailing.may_be_outdated(now, bound));
        match is_own_read {
            true => tailing.record_read(now, ReaderRole::None),
            false => {
                let later = now + Duration::from_secs(1);
                tailing.handle_peer_mark(later, 1, 1, Some(Duration::ZERO));
            }
        }
        assert!(!tailing.may_be_outdated(now, bound), "own read: {is_own_read}");
    }
}

#[test]
fn one_request_at_a_time_next_after_answer() {
    let now = SETTLE_TIME;
    let mut tailing = Tailing::new(0.0);
    assert!(tailing.handle_peer_mark(now, 1, 2, None));
    assert!(!tailing.handle_peer_mark(now, 1, 3, None), "the first request is in flight");
    assert_eq!(tailing.lag().since, Some(now));
    tailing.record_caught_up(LARGE_BYTES);
    assert_eq!(tailing.lag().since, None);
    assert!(tailing.handle_peer_mark(now, 2, 3, None));
    tailing.handle_deferral(now, 0.0);
    assert!(tailing.handle_peer_mark(now, 2, 3, None), "another peer is asked");
    let answer_lost_after = Duration::from_secs(2);
    assert!(
        tailing.handle_peer_mark(now + answer_lost_after, 2, 3, None),
        "the request is repeated if the answer was lost"
    );
}

/// Guards against a busy delegate that builds records only to defer them, until it is silent for its
/// peers.
#[test]
fn busy_node_defers_before_it_builds_a_record() {
    let now = SETTLE_TIME;
    let mut tailing = Tailing::new(0.0);
    tailing.set_link(MIN_LINK_BYTES_PER_S);
    assert!(!tailing.defers_requests(now));
    while tailing.handle_request(now, LARGE_BYTES) == Reply::Record {}
    assert!(tailing.defers_requests(now));
    let served = now + Duration::from_secs(2);
    assert!(!tailing.defers_requests(served));
    assert_eq!(tailing.handle_request(served, LARGE_BYTES), Reply::Record);
}

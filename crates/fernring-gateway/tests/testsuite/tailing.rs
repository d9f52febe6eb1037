//! How nodes keep up with a topic through their peers.

use {
    super::fleet::{Fleet, NODES, StoreFor},
    fernring_gateway::{freshness::STALE_AFTER, tailing::Tailing},
    std::time::Duration,
};

/// Seeds of the fleets.
const SEEDS: std::ops::Range<u64> = 1..6;
/// Size of a configuration with 1,400 routes, in bytes.
const LARGE_BYTES: usize = 270_994;
/// Size of one with 4,200 routes, packed, in bytes.
const PACKED_BYTES: usize = 62_849;
/// Time in which the nodes settle.
const SETTLE_TIME: Duration = Duration::from_secs(5);

/// A node asks the store itself once nothing has confirmed for 1.45 s what it knows. Ages went round in
/// heartbeats, from node to node, and each hop left out the time on the way; among 78 nodes the hops followed each
/// other so closely that an age grew by half a second in a second. Nodes held a version that nobody could have
/// confirmed for 3,047 ms (`store_stand_in topic=config age_ms=1554 behind_ms=3047`) and took it for fresh.
#[test]
fn what_nobody_confirms_any_more_is_doubted_in_time_however_many_nodes_tell_each_other() {
    for seed in SEEDS {
        let mut fleet = Fleet::new(seed, StoreFor::Readers, LARGE_BYTES);
        fleet.run_for(SETTLE_TIME);
        assert_eq!(fleet.last_doubted_at(), None, "seed {seed}: all is confirmed");
        fleet.store_answers = false;
        let silent_since = fleet.now;
        fleet.run_for(Duration::from_secs(20));
        let doubted = fleet.last_doubted_at().expect("all nodes doubt") - silent_since;
        // The spread of the nodes, and two heartbeats.
        let in_time = STALE_AFTER + Duration::from_millis(250 + 400);
        assert!(doubted <= in_time, "seed {seed}: the last one after {doubted:?}");
    }
}

/// Four readers had a configuration of 271 KB at once; the other 74 nodes got it one after the other, the last
/// ones six seconds later. All asked the node whose heartbeat came first, it sent one copy in 200 ms and left the
/// other questions unanswered, and nobody asked the other holders meanwhile: of 1,253 questions 1,131 were put off.
#[test]
fn a_large_record_spreads_from_its_readers_within_two_and_a_half_seconds() {
    for seed in SEEDS {
        let mut fleet = Fleet::new(seed, StoreFor::Readers, LARGE_BYTES);
        fleet.run_for(SETTLE_TIME);
        fleet.publish();
        fleet.run_for(Duration::from_millis(2_500));
        let (there, copies) = (fleet.up_to_date(), fleet.copies());
        assert_eq!(there, NODES, "seed {seed}: with {copies} copies");
        assert!(copies <= NODES * 5 / 4, "seed {seed}: {copies} copies for {NODES} nodes");
    }
}

/// What is too large for the links between peers comes from the store: each node asks it once it doubts what it
/// knows, and 800 KB take 640 ms over its own link.
#[test]
fn a_record_that_spreads_too_slowly_is_read_from_the_store() {
    for seed in SEEDS {
        let mut fleet = Fleet::new(seed, StoreFor::All, 800_000);
        fleet.run_for(SETTLE_TIME);
        fleet.publish();
        fleet.run_for(Duration::from_millis(3_000));
        let (there, copies) = (fleet.up_to_date(), fleet.copies());
        assert_eq!(there, NODES, "seed {seed}: with {copies} copies");
    }
}

/// While the first reader's own answer came, for 0.6 s, it confirmed nothing, so nodes began to doubt just when their peers
/// passed the new record on: 42 of 86 nodes read 788 KB from the store, and all had them from a peer before that.
#[test]
fn a_node_that_gets_a_record_from_its_peers_does_not_read_it_from_the_store_as_well() {
    for seed in SEEDS {
        let mut fleet = Fleet::new(seed, StoreFor::All, PACKED_BYTES);
        fleet.run_for(SETTLE_TIME);
        fleet.store_answers = false;
        fleet.run_for(STALE_AFTER - Duration::from_millis(400));
        assert_eq!(fleet.stand_ins, 0, "seed {seed}");
        fleet.publish();
        fleet.store_answers = true;
        fleet.run_for(Duration::from_millis(1_500));
        assert_eq!(fleet.up_to_date(), NODES, "seed {seed}");
        assert!(fleet.stand_ins <= NODES / 10, "seed {seed}: {} reads", fleet.stand_ins);
    }
}

#[test]
fn one_question_is_under_way_and_the_next_goes_out_as_soon_as_the_answer_is_in() {
    let now = SETTLE_TIME;
    let mut following = Tailing::new(0.0);
    assert!(following.handle_peer_mark(now, 1, 2, None));
    assert!(!following.handle_peer_mark(now, 1, 3, None), "the first is being answered");
    assert_eq!(following.lag().since, Some(now));
    following.record_caught_up(LARGE_BYTES);
    assert_eq!(following.lag().since, None);
    assert!(following.handle_peer_mark(now, 2, 3, None));
    following.handle_deferral(now, 0.0);
    assert!(following.handle_peer_mark(now, 2, 3, None), "another peer is asked");
    let lost_after = Duration::from_secs(2);
    assert!(
        following.handle_peer_mark(now + lost_after, 2, 3, None),
        "an answer that was lost is asked for anew"
    );
}

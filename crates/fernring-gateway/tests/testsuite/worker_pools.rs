//! The workers that an owner works with, and when a service is sharded.
//!
//! On a site whose VMs all had links of 10 Mbit/s one owner sent the pieces of all nodes, 330 bytes
//! each, 3,500 per second: 9 Mbit/s. Its calls waited at the link, and on a normal day only 0.17 of
//! the value was earned. These tests replay that load.

use {
    fernring_gateway::worker_pools::{
        CallTraffic, ShardedServices, WorkerPool, draw_domain, should_shard,
    },
    std::{collections::BTreeMap, sync::Arc, time::Duration},
};

const SMALL_LINK: f64 = 10e6 / 8.0;
const LARGE_LINK: f64 = 200e6 / 8.0;
const PIECE_BYTES: usize = 330;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Counts calls of 96 pieces at `pieces_per_s`; returns when the service is first to be sharded, if
/// ever.
fn sharded_at(pieces_per_s: f64, link: f64, shards: Option<usize>) -> Option<Duration> {
    let mut traffic = CallTraffic::default();
    let pause = Duration::from_secs_f64(96.0 / pieces_per_s);
    let calls = (0..).map(|call| pause * call).take_while(|now| *now < ms(10_000));
    for now in calls {
        traffic.add(now, 96 * PIECE_BYTES);
        if should_shard(traffic.per_s(now), link, shards) {
            return Some(now);
        }
    }
    None
}

#[test]
fn overloaded_owner_shards_within_a_second() {
    let at = sharded_at(3_500.0, SMALL_LINK, None).expect("9 of 10 Mbit/s");
    assert!(at <= ms(1_000), "{at:?}");
    assert_eq!(sharded_at(3_500.0, LARGE_LINK, None), None, "9 of 200 Mbit/s is little");
    assert_eq!(sharded_at(7_000.0, LARGE_LINK, None), None, "also in a burst of requests");
    assert_eq!(sharded_at(900.0, SMALL_LINK, None), None, "2.4 of 10 Mbit/s is bearable");
}

#[test]
fn sharded_service_stays_so_until_traffic_is_low() {
    // Each of three owners carries a third of what is too much for one.
    assert!(sharded_at(3_500.0 / 3.0, SMALL_LINK, Some(3)).is_some());
    // A load that doesn't shard a service may still keep it sharded: the gap between the thresholds
    // prevents it from flapping.
    assert!(sharded_at(900.0 / 3.0, SMALL_LINK, Some(3)).is_some());
    assert!(sharded_at(400.0 / 3.0, SMALL_LINK, Some(3)).is_none());
}

#[test]
fn call_traffic_decays() {
    let mut traffic = CallTraffic::default();
    traffic.add(ms(0), 1_000_000);
    assert!(traffic.per_s(ms(100)) > 900_000.0);
    assert!(traffic.per_s(ms(3_000)) < 60_000.0);
}

#[test]
fn service_stays_sharded_for_a_time_after_reports() {
    let mut sharded = ShardedServices::default();
    let hash = WorkerPool::unsharded("letters".into()).hash();
    assert!(!sharded.is_sharded(ms(0), "letters"));
    assert!(sharded.record_shard_report(ms(0), hash), "newly sharded");
    assert!(!sharded.record_shard_report(ms(5_000), hash), "reported again");
    assert!(sharded.is_sharded(ms(14_000), "letters") && !sharded.is_sharded(ms(14_000), "others"));
    assert!(!sharded.is_sharded(ms(16_000), "letters"), "there was no report for ten seconds");
    assert!(sharded.record_shard_report(ms(20_000), hash));
}

#[test]
fn domain_draw_is_stable_and_weighted_by_workers() {
    let workers: [(Arc<str>, usize); 3] = [("a".into(), 8), ("b".into(), 7), ("c".into(), 1)];
    let mut counts: BTreeMap<Arc<str>, usize> = BTreeMap::new();
    for number in 0..16_000 {
        let id = format!("request {number}");
        let domain = draw_domain(&workers, &id).unwrap();
        assert_eq!(draw_domain(&workers, &id), Some(domain.clone()));
        *counts.entry(domain).or_default() += 1;
    }
    for (domain, workers) in workers {
        let count = counts[&domain];
        assert!(count.abs_diff(workers * 1_000) < 300, "{domain}: {count}");
    }
    assert_eq!(draw_domain(&[], "request"), None, "there are no workers");
}

#[test]
fn pools_of_one_service_differ() {
    let unsharded = WorkerPool::unsharded("letters".into());
    let of_a = WorkerPool { failure_domain: Some("a".into()), ..unsharded.clone() };
    let of_b = WorkerPool { failure_domain: Some("b".into()), ..unsharded.clone() };
    assert!(
        unsharded.covers_domain("a")
            && unsharded.covers_domain("b")
            && of_a.covers_domain("a")
            && !of_a.covers_domain("b")
    );
    let hashes = [unsharded.hash(), of_a.hash(), of_b.hash()];
    assert!(hashes[0] != hashes[1] && hashes[1] != hashes[2] && hashes[0] != hashes[2]);
    assert_eq!(
        unsharded.to_string(),
        "letters",
        "the name of the unsharded pool is that of the service"
    );
}

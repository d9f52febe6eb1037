//! Which makers an owner works with, and when a service is split between owners.
//!
//! On a site whose VMs all had links of 10 Mbit/s one owner sent the pieces of all nodes, 330 bytes each, 3,500 a second: 9 Mbit/s.
//! Its calls waited at the link, and on a calm day 0.17 of the worth was earned. These tests replay that load.

use {
    fernring_gateway::worker_pools::{CallTraffic, WorkerPool, ShardedServices, draw_domain, should_shard},
    std::{collections::BTreeMap, sync::Arc, time::Duration},
};

const SMALL_LINK: f64 = 10e6 / 8.0;
const LARGE_LINK: f64 = 200e6 / 8.0;
const PIECE_BYTES: usize = 330;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Counts calls of 96 pieces at a pace of `pieces_per_s`; returns when the service is first to be split, if ever.
fn split_at(pieces_per_s: f64, link: f64, parts: Option<usize>) -> Option<Duration> {
    let mut carried = CallTraffic::default();
    let pause = Duration::from_secs_f64(96.0 / pieces_per_s);
    let calls = (0..).map(|call| pause * call).take_while(|now| *now < ms(10_000));
    for now in calls {
        carried.add(now, 96 * PIECE_BYTES);
        if should_shard(carried.per_s(now), link, parts) {
            return Some(now);
        }
    }
    None
}

#[test]
fn an_owner_that_carries_too_much_says_so_within_a_second() {
    let at = split_at(3_500.0, SMALL_LINK, None).expect("9 of 10 Mbit/s");
    assert!(at <= ms(1_000), "{at:?}");
    assert_eq!(split_at(3_500.0, LARGE_LINK, None), None, "9 of 200 Mbit/s are little");
    assert_eq!(split_at(7_000.0, LARGE_LINK, None), None, "in a crowd, too");
    assert_eq!(split_at(900.0, SMALL_LINK, None), None, "2.4 of 10 Mbit/s are borne");
}

#[test]
fn a_split_service_stays_so_until_one_owner_would_carry_little() {
    // Each of three owners carries a third of what is too much for one.
    assert!(split_at(3_500.0 / 3.0, SMALL_LINK, Some(3)).is_some());
    // A load that doesn't split a service doesn't keep it split for long either, but there is a gap: it does not go to and fro.
    assert!(split_at(900.0 / 3.0, SMALL_LINK, Some(3)).is_some());
    assert!(split_at(400.0 / 3.0, SMALL_LINK, Some(3)).is_none());
}

#[test]
fn what_was_carried_fades() {
    let mut carried = CallTraffic::default();
    carried.add(ms(0), 1_000_000);
    assert!(carried.per_s(ms(100)) > 900_000.0);
    assert!(carried.per_s(ms(3_000)) < 60_000.0);
}

#[test]
fn a_service_is_split_for_as_long_as_owners_say_so_and_some_time() {
    let mut splits = ShardedServices::default();
    let hash = WorkerPool::unsharded("letters".into()).hash();
    assert!(!splits.is_sharded(ms(0), "letters"));
    assert!(splits.record_shard_report(ms(0), hash), "news");
    assert!(!splits.record_shard_report(ms(5_000), hash), "said again");
    assert!(splits.is_sharded(ms(14_000), "letters") && !splits.is_sharded(ms(14_000), "others"));
    assert!(!splits.is_sharded(ms(16_000), "letters"), "nobody has said so for ten seconds");
    assert!(splits.record_shard_report(ms(20_000), hash));
}

#[test]
fn requests_are_drawn_over_failure_domains_by_their_makers_and_always_alike() {
    let makers: [(Arc<str>, usize); 3] = [("a".into(), 8), ("b".into(), 7), ("c".into(), 1)];
    let mut counts: BTreeMap<Arc<str>, usize> = BTreeMap::new();
    for number in 0..16_000 {
        let id = format!("request {number}");
        let domain = draw_domain(&makers, &id).unwrap();
        assert_eq!(draw_domain(&makers, &id), Some(domain.clone()));
        *counts.entry(domain).or_default() += 1;
    }
    for (domain, makers) in makers {
        let count = counts[&domain];
        assert!(count.abs_diff(makers * 1_000) < 300, "{domain}: {count}");
    }
    assert_eq!(draw_domain(&[], "request"), None, "no maker is there");
}

#[test]
fn pools_of_one_service_are_told_apart() {
    let whole = WorkerPool::unsharded("letters".into());
    let of_a = WorkerPool { failure_domain: Some("a".into()), ..whole.clone() };
    let of_b = WorkerPool { failure_domain: Some("b".into()), ..whole.clone() };
    assert!(whole.covers_domain("a") && whole.covers_domain("b") && of_a.covers_domain("a") && !of_a.covers_domain("b"));
    let hashes = [whole.hash(), of_a.hash(), of_b.hash()];
    assert!(hashes[0] != hashes[1] && hashes[1] != hashes[2] && hashes[0] != hashes[2]);
    assert_eq!(whole.to_string(), "letters", "the owner of the whole is the one of before");
}

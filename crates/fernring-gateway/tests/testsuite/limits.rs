//! Which word of an upstream on how much it takes is the newest.

use {
    fernring_gateway::{
        limits::{LimitWord, Limits},
        model::LimitHeader,
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::time::Duration,
};

const RUN: u64 = 7;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn known(per_s: f64, at_ms: u64) -> Limits {
    let mut limits = Limits::default();
    limits.heard(ms(at_ms), RUN, ms(at_ms - 10), LimitHeader::PerSecond(per_s)).unwrap();
    limits
}

#[test]
fn an_answer_without_a_limit_lifts_it_if_its_request_left_later() {
    let mut limits = known(3.0, 1_000);
    // It overtook, or its head was written before.
    assert_eq!(limits.heard(ms(1_500), RUN, ms(990), LimitHeader::None), None);
    assert_eq!(limits.of(RUN), Some(3.0));
    let change = limits.heard(ms(1_600), RUN, ms(1_001), LimitHeader::None).unwrap();
    assert_eq!((change.before, change.now), (Some(3.0), None));
    assert_eq!(limits.of(RUN), None);
}

#[test]
fn a_word_that_allows_less_counts_at_once_and_one_that_allows_more_if_it_is_newer() {
    let mut limits = known(3.0, 1_000);
    limits.heard(ms(1_100), RUN, ms(500), LimitHeader::PerSecond(1.0)).unwrap();
    assert_eq!(limits.of(RUN), Some(1.0));
    assert_eq!(limits.heard(ms(1_200), RUN, ms(1_050), LimitHeader::PerSecond(3.0)), None);
    assert_eq!(limits.of(RUN), Some(1.0));
    limits.heard(ms(1_300), RUN, ms(1_101), LimitHeader::PerSecond(3.0)).unwrap();
    assert_eq!(limits.of(RUN), Some(3.0));
}

#[test]
fn what_is_no_number_changes_nothing() {
    let mut limits = known(3.0, 1_000);
    assert_eq!(limits.heard(ms(2_000), RUN, ms(1_900), LimitHeader::Unreadable), None);
    assert_eq!(limits.of(RUN), Some(3.0));
    let mut none = Limits::default();
    assert_eq!(none.heard(ms(2_000), RUN, ms(1_900), LimitHeader::Unreadable), None);
    assert!(none.is_empty());
}

#[test]
fn what_peers_tell_counts_if_it_is_newer() {
    let mut limits = known(3.0, 1_000);
    assert_eq!(limits.told(RUN, LimitWord { per_s: Some(9.0), at: ms(900) }), None);
    assert_eq!(limits.told(RUN, LimitWord { per_s: None, at: ms(1_000) }), None);
    assert_eq!(limits.of(RUN), Some(3.0));
    limits.told(RUN, LimitWord { per_s: None, at: ms(1_100) }).unwrap();
    assert_eq!(limits.of(RUN), None);
    // One that comes late doesn't bring back what is over.
    assert_eq!(limits.told(RUN, LimitWord { per_s: Some(3.0), at: ms(1_050) }), None);
    assert_eq!(limits.of(RUN), None);
}

#[test]
fn a_new_start_takes_nothing_over() {
    let mut limits = known(3.0, 1_000);
    assert_eq!(limits.of(RUN + 1), None);
    limits.retain(ms(30_000), |run| run == RUN + 1);
    assert_eq!(limits.of(RUN), Some(3.0), "its record may be on its way");
    limits.retain(ms(62_000), |run| run == RUN + 1);
    assert!(limits.is_empty());
}

/// An upstream names limits that change, and none in between; answers reach nodes after up to two seconds, and nodes tell each
/// other. No node ever knows a higher limit than any that was said since the newest answer that it could have, and a second after
/// the last change that an answer of a later request told, all know it.
#[test]
fn nodes_agree_on_the_newest_word_whatever_overtakes() {
    for seed in 0..50 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut nodes: Vec<Limits> = (0..5).map(|_| Limits::default()).collect();
        let mut on_the_way: Vec<(Duration, usize, Duration, LimitHeader)> = Vec::new();
        let mut says = LimitHeader::PerSecond(2.0);
        for step in 0..600 {
            let now = ms(step * 20);
            // It stops changing, and answers come quickly again.
            let is_calm = step > 450;
            if !is_calm && rng.random_range(0..40) == 0 {
                says = match rng.random_range(0..3) {
                    0 => LimitHeader::None,
                    1 => LimitHeader::PerSecond(1.0),
                    _ => LimitHeader::PerSecond(8.0),
                };
            }
            let delay = if is_calm { 5 } else { rng.random_range(1..2_000) };
            on_the_way.push((now + ms(delay), rng.random_range(0..5), now, says));
            let (arrived, waiting) = on_the_way.into_iter().partition(|(at, ..)| *at <= now);
            on_the_way = waiting;
            let arrived: Vec<(Duration, usize, Duration, LimitHeader)> = arrived;
            for (_, node, sent_at, said) in arrived {
                nodes[node].heard(now, RUN, sent_at, said);
            }
            let (from, to) = (rng.random_range(0..5), rng.random_range(0..5));
            let told: Vec<_> = nodes[from].to_tell(now).collect();
            for (run, word) in told {
                nodes[to].told(run, word);
            }
        }
        let said = match says {
            LimitHeader::PerSecond(per_s) => Some(per_s),
            _ => None,
        };
        for node in &nodes {
            assert_eq!(node.of(RUN), said, "seed {seed}");
        }
    }
}

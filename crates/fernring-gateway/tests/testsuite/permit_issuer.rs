//! Permits for an upstream that announces a limit, over all nodes.
//!
//! Two upstreams that had announced a limit of 1 per second got 12 and 13 requests in 4 s from nine
//! nodes; 11 were allowed, one and a half times the limit plus 5. Each node had decided by itself.
//! These tests add up the sends of all nodes under virtual time: the largest number in any 4 s, and
//! how much of the limit is used.

use {
    fernring_gateway::{
        backlog::RANKS,
        cold::{ColdPermits, PermitScope},
        model::ColdRateLimit,
        permit_issuer::{PermitDenied, PermitIssuer, combined_drain_time, limit_share},
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{collections::VecDeque, time::Duration},
};

const SPAN: Duration = Duration::from_secs(4);
const RUN: Duration = Duration::from_secs(120);
/// Time in which the nodes on one side of a network partition ask the issuer on the other side in
/// vain.
const PARTITION_NOTICED: Duration = Duration::from_millis(600);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Requests that all nodes together want to send to an upstream, and its limit.
#[derive(Debug, Clone, Copy)]
struct Load {
    nodes: usize,
    limit_per_s: f64,
    wanted_per_s: f64,
    /// Part of the requests that has rank 0; the others have rank 2.
    urgent: f64,
}

impl Load {
    fn allowed(&self) -> f64 {
        self.limit_per_s * 1.5 * SPAN.as_secs_f64() + 5.0
    }
}

/// Which nodes reach each other.
#[derive(Debug, Clone, Copy)]
enum View {
    Complete,
    /// From a moment on, the network is partitioned into parts of these sizes.
    Partitioned(Duration, &'static [usize]),
    /// At this interval another node becomes the issuer; for a second, half of the nodes still ask
    /// the previous one.
    MovingIssuer(Duration),
}

/// The sends, with their ranks.
#[derive(Default)]
struct Sent {
    at: Vec<(Duration, usize)>,
    wanted: [usize; RANKS],
    permit_requests: usize,
}

impl Sent {
    fn peak_in_span(&self) -> usize {
        let mut span = VecDeque::new();
        let mut peak = 0;
        for (at, _) in &self.at {
            span.push_back(*at);
            while span.front().is_some_and(|first| *first + SPAN <= *at) {
                span.pop_front();
            }
            peak = peak.max(span.len());
        }
        peak
    }

    fn used_part(&self, load: &Load) -> f64 {
        self.at.len() as f64 / (load.limit_per_s * RUN.as_secs_f64())
    }

    fn served_part(&self, rank: usize) -> f64 {
        let sent = self.at.iter().filter(|(_, sent_rank)| *sent_rank == rank).count();
        sent as f64 / self.wanted[rank] as f64
    }
}

/// Replays a load; `send` returns whether a node sends a request of a rank at a moment.
fn replay(
    rng: &mut StdRng,
    load: Load,
    mut send: impl FnMut(&mut StdRng, Duration, usize, usize, &mut usize) -> bool,
) -> Sent {
    let mut sent = Sent::default();
    let mut now = Duration::ZERO;
    loop {
        let unit: f64 = rng.random_range(1e-9..1.0);
        now += Duration::from_secs_f64(-unit.ln() / load.wanted_per_s);
        if now >= RUN {
            return sent;
        }
        let node = rng.random_range(0..load.nodes);
        let rank = if rng.random_range(0.0..1.0) < load.urgent { 0 } else { 2 };
        sent.wanted[rank] += 1;
        if send(rng, now, node, rank, &mut sent.permit_requests) {
            sent.at.push((now, rank));
        }
    }
}

/// Replays nodes that ask an issuer, as [`fernring_gateway::upstreams`] does.
fn issued(seed: u64, load: Load, view: View) -> Sent {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut issuers = vec![PermitIssuer::new(Duration::ZERO, 1.0, 0.0)];
    let mut blocked_until = vec![[Duration::ZERO; RANKS]; load.nodes];
    let mut is_partitioned = false;
    let mut moves_before = 0;
    replay(&mut rng, load, |rng, now, node, rank, permit_requests| {
        let mut share = 1.0;
        let mut issuer_index = 0;
        match view {
            View::Complete => {}
            View::Partitioned(at, sizes) if now >= at => {
                let mut end = 0;
                let partition = sizes.iter().position(|size| {
                    end += size;
                    node < end
                });
                issuer_index = partition.unwrap();
                if issuer_index > 0 && now < at + PARTITION_NOTICED {
                    return false;
                }
                share = if now < at + PARTITION_NOTICED {
                    1.0
                } else {
                    limit_share(sizes[issuer_index], load.nodes)
                };
                if !is_partitioned {
                    let new =
                        |size: &usize| PermitIssuer::new(at, limit_share(*size, load.nodes), 0.5);
                    issuers.extend(sizes[1..].iter().map(new));
                    is_partitioned = true;
                }
            }
            View::Partitioned(..) => {}
            View::MovingIssuer(interval) => {
                let moves = (now.as_millis() / interval.as_millis()) as usize;
                if moves > moves_before {
                    moves_before = moves;
                    let new = PermitIssuer::new(now, 1.0, 0.0);
                    issuers.insert(0, new);
                    issuers.truncate(2);
                }
                let since = now.as_millis() % interval.as_millis();
                issuer_index = usize::from(moves > 0 && since < 1_000 && node % 2 == 1);
            }
        }
        if now < blocked_until[node][rank] {
            return false;
        }
        *permit_requests += 1;
        let draw = rng.random_range(0.0..1.0);
        match issuers[issuer_index].request(now, load.limit_per_s, share, rank, draw) {
            Ok(()) => true,
            Err(PermitDenied { retry_after, .. }) => {
                for until in &mut blocked_until[node][rank..] {
                    *until = (*until).max(now + retry_after);
                }
                false
            }
        }
    })
}

/// Replays nodes that each draw by a hash in which seconds they may send, as for cold upstreams.
fn drawn_by_hash(seed: u64, load: Load) -> Sent {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut permits: Vec<_> =
        (0..load.nodes).map(|_| (rng.random(), ColdPermits::default())).collect();
    let limit = ColdRateLimit { per_s: load.limit_per_s, overage: 1.5, slack: 5.0 };
    replay(&mut rng, load, |_, now, node, _, _| {
        let (node, permits) = &mut permits[node];
        permits.try_acquire(
            now + SPAN * 5,
            &limit,
            PermitScope { node: *node, upstream: seed, nodes: load.nodes },
        )
    })
}

const LOADS: [Load; 6] = [
    Load { nodes: 1, limit_per_s: 1.0, wanted_per_s: 20.0, urgent: 0.5 },
    Load { nodes: 9, limit_per_s: 1.0, wanted_per_s: 20.0, urgent: 0.5 },
    Load { nodes: 300, limit_per_s: 1.0, wanted_per_s: 20.0, urgent: 0.5 },
    Load { nodes: 300, limit_per_s: 1.0, wanted_per_s: 2_000.0, urgent: 0.5 },
    Load { nodes: 89, limit_per_s: 10.0, wanted_per_s: 45.0, urgent: 0.2 },
    Load { nodes: 300, limit_per_s: 30.0, wanted_per_s: 130.0, urgent: 0.1 },
];

fn assert_allowed(name: &str, load: Load, sent: &Sent) {
    let (peak, used_part) = (sent.peak_in_span(), sent.used_part(&load));
    let requests_per_s = sent.permit_requests as f64 / RUN.as_secs_f64();
    println!(
        "{name} {load:?}: {peak} of {}, used {used_part:.2}, {requests_per_s:.0} permit requests per second",
        load.allowed()
    );
    assert!(peak as f64 <= load.allowed(), "{name} {load:?}: {peak}");
}

#[test]
fn limit_is_kept_and_used_by_any_number_of_nodes() {
    for load in LOADS {
        for seed in 0..10 {
            let sent = issued(seed, load, View::Complete);
            assert_allowed("issued", load, &sent);
            assert!(sent.used_part(&load) > 0.8, "{load:?}: {}", sent.used_part(&load));
            let drawn = drawn_by_hash(seed, load);
            if seed == 0 {
                let (peak, used_part) = (drawn.peak_in_span(), drawn.used_part(&load));
                println!("drawn: {peak}, used {used_part:.2}");
            }
        }
    }
}

/// Partitions of a fleet have an issuer each.
#[test]
fn limit_is_kept_during_network_partitions() {
    let partitions: [(usize, &'static [usize]); 5] = [
        (9, &[6, 3]),
        (9, &[3, 3, 3]),
        (9, &[1, 1, 1, 1, 1, 1, 1, 1, 1]),
        (89, &[45, 44]),
        (300, &[100, 100, 60, 20, 10, 5, 5]),
    ];
    for (nodes, sizes) in partitions {
        for limit_per_s in [1.0, 10.0, 30.0] {
            for seed in 0..10 {
                let load =
                    Load { nodes, limit_per_s, wanted_per_s: limit_per_s * 20.0, urgent: 0.5 };
                let sent = issued(seed, load, View::Partitioned(ms(30_000), sizes));
                assert_allowed(&format!("partition {sizes:?}"), load, &sent);
                assert!(sent.used_part(&load) > 0.5, "{load:?}: {}", sent.used_part(&load));
            }
        }
    }
}

/// The issuing node is restarted, or a new node becomes the issuer: it doesn't know the permits
/// issued before.
#[test]
fn limit_is_kept_while_the_issuer_changes() {
    for load in LOADS {
        for seed in 0..10 {
            let sent = issued(seed, load, View::MovingIssuer(ms(5_000)));
            assert_allowed("moves", load, &sent);
            assert!(sent.used_part(&load) > 0.6, "{load:?}: {}", sent.used_part(&load));
        }
    }
}

/// No permit is requested for a minute, and then many are: permits don't accumulate without bound
/// meanwhile.
#[test]
fn limit_is_kept_in_a_burst_after_an_idle_time() {
    for limit_per_s in [0.0, 0.5, 1.0, 10.0, 30.0] {
        let mut issuer = PermitIssuer::new(Duration::ZERO, 1.0, 0.0);
        let load = Load { nodes: 1, limit_per_s, wanted_per_s: 0.0, urgent: 1.0 };
        let attempts = (0..4_000).map(|step| ms(60_000 + step));
        let sent =
            attempts.filter(|now| issuer.request(*now, limit_per_s, 1.0, 0, 0.5).is_ok()).count();
        assert!(sent as f64 <= load.allowed(), "{sent} of {}", load.allowed());
    }
}

#[test]
fn urgent_requests_get_permits_first() {
    for nodes in [9, 300] {
        let load = Load { nodes, limit_per_s: 10.0, wanted_per_s: 40.0, urgent: 0.2 };
        let sent = issued(1, load, View::Complete);
        let (urgent, other) = (sent.served_part(0), sent.served_part(2));
        println!("{nodes} nodes: {urgent:.2} of the urgent requests, {other:.2} of the others");
        assert!(urgent > 0.8, "8 of 10 per second could all be served: {urgent}");
        assert!(other < urgent, "{other}");
    }
}

/// An upstream that takes nothing gets only the occasional request that shows whether its limit
/// still holds.
#[test]
fn upstream_with_zero_limit_gets_occasional_requests() {
    let load = Load { nodes: 9, limit_per_s: 0.0, wanted_per_s: 50.0, urgent: 0.5 };
    let sent = issued(1, load, View::Complete);
    assert!((8..=13).contains(&sent.at.len()), "{}", sent.at.len());
    assert!(sent.peak_in_span() <= 1);
}

#[test]
fn denial_reports_time_to_drain_demand() {
    let mut issuer = PermitIssuer::new(Duration::ZERO, 1.0, 0.0);
    let mut longest = Duration::ZERO;
    for step in 0..400 {
        if let Err(denied) = issuer.request(ms(step * 10), 5.0, 1.0, 0, 0.5) {
            longest = longest.max(denied.drained_after);
            assert!(denied.retry_after <= Duration::from_secs(1));
        }
    }
    // A hundred requests per second arrive, and five are taken.
    assert!((ms(15_000)..ms(25_000)).contains(&longest), "{longest:?}");
}

/// Callers were told to wait for one upstream though three served them together.
#[test]
fn combined_drain_time_adds_up_rates() {
    let combined = combined_drain_time(&[ms(9_000), ms(9_000), ms(9_000)]).unwrap();
    assert!((ms(2_990)..=ms(3_010)).contains(&combined), "{combined:?}");
    let unequal = combined_drain_time(&[ms(1_000), ms(60_000)]).unwrap();
    assert!((ms(950)..ms(1_000)).contains(&unequal), "{unequal:?}");
    assert!(combined_drain_time(&[Duration::ZERO]).unwrap() > Duration::ZERO);
    assert_eq!(combined_drain_time(&[]), None);
}

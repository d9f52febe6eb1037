//! Permits for cold upstreams.
//!
//! A third of the upstreams comes back at once, and each bears a few requests per second from all
//! nodes together. Nodes don't coordinate each send; these tests add up the sends of all nodes
//! under virtual time.

use {
    fernring_gateway::{
        cold::{ColdPermits, PeakNodeCount, PermitScope, RefusedConnection},
        model::ColdRateLimit,
        position::Position,
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{collections::VecDeque, time::Duration},
};

const SECOND: Duration = Duration::from_secs(1);
const LIMIT: ColdRateLimit = ColdRateLimit { per_s: 9.1, overage: 1.5, slack: 5.0 };

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Nodes that all send to one upstream as often as their permits allow, and the number of nodes
/// that each assumes.
struct Fleet {
    nodes: Vec<(u64, usize, ColdPermits)>,
}

impl Fleet {
    fn new(rng: &mut StdRng, count: usize, assumed_nodes: impl Fn(usize) -> usize) -> Self {
        let node = |number| (rng.random(), assumed_nodes(number), ColdPermits::default());
        Self { nodes: (0..count).map(node).collect() }
    }

    /// Returns the largest number of sends in any second if all nodes try at the times `tries`, in
    /// order.
    fn peak_sends_per_second(
        &mut self,
        upstream: u64,
        tries: impl Iterator<Item = Duration>,
    ) -> usize {
        let mut sends: VecDeque<Duration> = VecDeque::new();
        let mut peak = 0;
        for now in tries {
            for (node, nodes, permits) in &mut self.nodes {
                let scope = PermitScope { node: *node, upstream, nodes: *nodes };
                if permits.try_acquire(now, &LIMIT, scope) {
                    sends.push_back(now);
                }
            }
            while sends.front().is_some_and(|sent| *sent + SECOND <= now) {
                sends.pop_front();
            }
            peak = peak.max(sends.len());
        }
        peak
    }
}

/// Every node tries every 10 ms for the whole time of a cold start, with permits saved before.
#[test]
fn permits_of_all_nodes_stay_below_the_bound() {
    for count in [1, 2, 9, 89, 300] {
        let mut rng = StdRng::seed_from_u64(7);
        let mut peak = 0;
        for upstream in 0..(20_000 / count as u64).clamp(60, 2_000) {
            let mut fleet = Fleet::new(&mut rng, count, |_| count);
            let start = ms(rng.random_range(10_000..20_000));
            let tries = (0..400).map(|step| start + ms(step * 10));
            peak = peak.max(fleet.peak_sends_per_second(upstream, tries));
        }
        let bound = LIMIT.max_in_window(SECOND);
        println!("{count} nodes: at most {peak} of {bound}");
        assert!((peak as f64) <= bound, "{count} nodes: {peak}");
        assert!(peak >= 2, "{count} nodes: a cold upstream is hardly used");
    }
}

#[test]
fn every_node_gets_permits() {
    for node in 0..20 {
        let mut permits = ColdPermits::default();
        let scope = PermitScope { node, upstream: 1, nodes: 9 };
        let taken = (0..60).filter(|s| permits.try_acquire(ms(s * 1_000), &LIMIT, scope)).count();
        assert!((5..55).contains(&taken), "{taken} of about 20");
    }
}

/// Nodes behind a network partition go on sending, so they still count.
#[test]
fn peak_node_count_outlasts_a_partition() {
    let mut nodes = PeakNodeCount::default();
    nodes.record(ms(0), 89);
    nodes.record(ms(60_000), 30);
    assert_eq!(nodes.peak(), 89);
    nodes.record(ms(120_000), 95);
    assert_eq!(nodes.peak(), 95, "nodes were added");
    nodes.record(ms(120_000) + SECOND * 601, 40);
    assert_eq!(nodes.peak(), 40, "after ten minutes the larger count is forgotten");
}

#[test]
fn restarted_upstream_is_cold_until_its_record_is_newer() {
    let cold_start = ms(3_000);
    let (before, after) = (Position::new(0, 5), Position::new(0, 6));
    let mut refused = RefusedConnection::new(ms(1_000), before);
    assert!(refused.is_cold(ms(5_000), before, cold_start));
    refused.record_response(ms(6_000));
    assert!(
        refused.is_cold(ms(8_900), before, cold_start),
        "for the time of a cold start after its first response"
    );
    assert!(!refused.is_cold(ms(9_000), before, cold_start));
    assert!(!refused.is_cold(ms(6_500), after, cold_start), "a newer record takes precedence");
    let unanswered = RefusedConnection::new(ms(1_000), before);
    assert!(!unanswered.is_cold(ms(8_000), before, cold_start), "nothing has listened there since");
}

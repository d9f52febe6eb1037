//! What cold upstreams are sent.
//!
//! A third of the upstreams comes back at once, and each bears a few requests a second from all nodes together. Nodes
//! don't agree on each send; these tests add up what all of them would send, under virtual time.

use {
    fernring_gateway::{
        cold::{Asker, MostNodes, NoListener, Turns},
        model::ColdRateLimit,
        position::Position,
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{collections::VecDeque, time::Duration},
};

const SECOND: Duration = Duration::from_secs(1);
const BOUNDS: ColdRateLimit = ColdRateLimit { per_s: 9.1, overage: 1.5, slack: 5.0 };

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Nodes that all want to send to one upstream as often as they may, and what each takes the number of nodes for.
struct Crowd {
    nodes: Vec<(u64, usize, Turns)>,
}

impl Crowd {
    fn new(rng: &mut StdRng, count: usize, believed: impl Fn(usize) -> usize) -> Self {
        let node = |number| (rng.random(), believed(number), Turns::default());
        Self { nodes: (0..count).map(node).collect() }
    }

    /// Returns the most sends in any second, where all nodes try at the times `tries`, in order.
    fn most_in_a_second(&mut self, upstream: u64, tries: impl Iterator<Item = Duration>) -> usize {
        let mut sends: VecDeque<Duration> = VecDeque::new();
        let mut most = 0;
        for now in tries {
            for (node, nodes, turns) in &mut self.nodes {
                let asker = Asker { node: *node, upstream, nodes: *nodes };
                if turns.take(now, &BOUNDS, asker) {
                    sends.push_back(now);
                }
            }
            while sends.front().is_some_and(|sent| *sent + SECOND <= now) {
                sends.pop_front();
            }
            most = most.max(sends.len());
        }
        most
    }
}

/// Every node tries each 10 ms for the whole time of a cold start, after a lull in which turns were saved: the worst
/// that callers can do. 18.65 is the bound of the rule here.
#[test]
fn the_turns_of_all_nodes_stay_below_the_bound_in_any_second() {
    for count in [1, 2, 9, 89, 300] {
        let mut rng = StdRng::seed_from_u64(7);
        let mut most = 0;
        for upstream in 0..(20_000 / count as u64).clamp(60, 2_000) {
            let mut crowd = Crowd::new(&mut rng, count, |_| count);
            let start = ms(rng.random_range(10_000..20_000));
            let tries = (0..400).map(|step| start + ms(step * 10));
            most = most.max(crowd.most_in_a_second(upstream, tries));
        }
        let bound = BOUNDS.max_in_window(SECOND);
        println!("{count} nodes: at most {most} of {bound}");
        assert!((most as f64) <= bound, "{count} nodes: {most}");
        assert!(most >= 2, "{count} nodes: an upstream is never used");
    }
}

#[test]
fn turns_come_to_every_node() {
    for node in 0..20 {
        let mut turns = Turns::default();
        let asker = Asker { node, upstream: 1, nodes: 9 };
        let taken = (0..60).filter(|s| turns.take(ms(s * 1_000), &BOUNDS, asker)).count();
        assert!((5..55).contains(&taken), "{taken} of about 20");
    }
}

/// A part of the fleet is behind a cut and goes on sending. Whoever counts only those that are heard would take twice
/// the turns; the most of the last ten minutes count, so the sum stays.
#[test]
fn a_node_that_hears_fewer_takes_no_more_turns() {
    let mut nodes = MostNodes::default();
    nodes.saw(ms(0), 89);
    nodes.saw(ms(60_000), 30);
    assert_eq!(nodes.most(), 89);
    nodes.saw(ms(120_000), 95);
    assert_eq!(nodes.most(), 95, "some were added");
    nodes.saw(ms(120_000) + SECOND * 601, 40);
    assert_eq!(nodes.most(), 40, "after ten minutes they have gone");
}

#[test]
fn what_listens_again_is_cold_until_its_record_says_what_is_so() {
    let cold_start = ms(3_000);
    let (before, after) = (Position::new(0, 5), Position::new(0, 6));
    let mut gone = NoListener::new(ms(1_000), before);
    assert!(gone.is_cold(ms(5_000), before, cold_start));
    gone.answered(ms(6_000));
    assert!(gone.is_cold(ms(8_900), before, cold_start), "for a cold start since it answered");
    assert!(!gone.is_cold(ms(9_000), before, cold_start));
    assert!(!gone.is_cold(ms(6_500), after, cold_start), "unless its record was written anew");
    let forgotten = NoListener::new(ms(1_000), before);
    assert!(!forgotten.is_cold(ms(8_000), before, cold_start), "nothing came of it");
}

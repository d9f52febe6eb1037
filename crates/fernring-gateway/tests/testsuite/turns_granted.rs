//! What all nodes together send to an upstream that names a limit.
//!
//! Two upstreams that had named a limit of 1 a second got 12 and 13 requests in 4 s from nine nodes; 11 were allowed, one and a half
//! times the limit and 5 more. Each node had chosen by itself. These tests add up what all nodes send, under virtual time: the
//! most in any 4 s, and how much of the limit is used.

use {
    fernring_gateway::{
        backlog::RANKS,
        cold::{Asker, Turns},
        model::ColdRateLimit,
        turns_granted::{Denied, Grants, drained_together, part_of},
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{collections::VecDeque, time::Duration},
};

const SPAN: Duration = Duration::from_secs(4);
const RUN: Duration = Duration::from_secs(120);
/// Time in which the nodes on one side of a cut ask the other side in vain.
const CUT_NOTICED: Duration = Duration::from_millis(600);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Requests that all nodes together want to send to an upstream, and its limit.
#[derive(Debug, Clone, Copy)]
struct Load {
    nodes: usize,
    limit_per_s: f64,
    wanted_per_s: f64,
    /// Part of them that is of rank 0; the others are of rank 2.
    urgent: f64,
}

impl Load {
    fn allowed(&self) -> f64 {
        self.limit_per_s * 1.5 * SPAN.as_secs_f64() + 5.0
    }
}

/// How the nodes see each other.
#[derive(Debug, Clone, Copy)]
enum View {
    Whole,
    /// From a moment on, parts of these many nodes don't hear each other.
    Cut(Duration, &'static [usize]),
    /// At this interval another node counts; for a second, half of the nodes still ask the one before.
    Moves(Duration),
}

/// What was sent, and of which rank.
#[derive(Default)]
struct Sent {
    at: Vec<(Duration, usize)>,
    wanted: [usize; RANKS],
    questions: usize,
}

impl Sent {
    fn most_in_span(&self) -> usize {
        let mut span = VecDeque::new();
        let mut most = 0;
        for (at, _) in &self.at {
            span.push_back(*at);
            while span.front().is_some_and(|first| *first + SPAN <= *at) {
                span.pop_front();
            }
            most = most.max(span.len());
        }
        most
    }

    fn used(&self, load: &Load) -> f64 {
        self.at.len() as f64 / (load.limit_per_s * RUN.as_secs_f64())
    }

    fn served(&self, rank: usize) -> f64 {
        let sent = self.at.iter().filter(|(_, of)| *of == rank).count();
        sent as f64 / self.wanted[rank] as f64
    }
}

/// Plays a load; `send` tells whether a node sends a request of a rank at a moment.
fn play(
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
        if send(rng, now, node, rank, &mut sent.questions) {
            sent.at.push((now, rank));
        }
    }
}

/// Nodes that ask the node that counts, as [`fernring_gateway::upstreams`] does.
fn counted(seed: u64, load: Load, view: View) -> Sent {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut grants = vec![Grants::new(Duration::ZERO, 1.0, 0.0)];
    let mut closed = vec![[Duration::ZERO; RANKS]; load.nodes];
    let mut is_cut = false;
    let mut moved = 0;
    play(&mut rng, load, |rng, now, node, rank, questions| {
        let mut part = 1.0;
        let mut counter = 0;
        match view {
            View::Whole => {}
            View::Cut(at, parts) if now >= at => {
                let mut ends = 0;
                let side = parts.iter().position(|size| {
                    ends += size;
                    node < ends
                });
                counter = side.unwrap();
                if counter > 0 && now < at + CUT_NOTICED {
                    return false;
                }
                part =
                    if now < at + CUT_NOTICED { 1.0 } else { part_of(parts[counter], load.nodes) };
                if !is_cut {
                    let new = |size: &usize| Grants::new(at, part_of(*size, load.nodes), 0.5);
                    grants.extend(parts[1..].iter().map(new));
                    is_cut = true;
                }
            }
            View::Cut(..) => {}
            View::Moves(interval) => {
                let moves = (now.as_millis() / interval.as_millis()) as usize;
                if moves > moved {
                    moved = moves;
                    let new = Grants::new(now, 1.0, 0.0);
                    grants.insert(0, new);
                    grants.truncate(2);
                }
                let since = now.as_millis() % interval.as_millis();
                counter = usize::from(moves > 0 && since < 1_000 && node % 2 == 1);
            }
        }
        if now < closed[node][rank] {
            return false;
        }
        *questions += 1;
        let draw = rng.random_range(0.0..1.0);
        match grants[counter].ask(now, load.limit_per_s, part, rank, draw) {
            Ok(()) => true,
            Err(Denied { ask_again_after, .. }) => {
                for until in &mut closed[node][rank..] {
                    *until = (*until).max(now + ask_again_after);
                }
                false
            }
        }
    })
}

/// Nodes that each draw by a hash in which seconds they may send, as at cold upstreams.
fn drawn(seed: u64, load: Load) -> Sent {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut turns: Vec<_> = (0..load.nodes).map(|_| (rng.random(), Turns::default())).collect();
    let bounds = ColdRateLimit { per_s: load.limit_per_s, overage: 1.5, slack: 5.0 };
    play(&mut rng, load, |_, now, node, _, _| {
        let (node, turns) = &mut turns[node];
        turns.take(
            now + SPAN * 5,
            &bounds,
            Asker { node: *node, upstream: seed, nodes: load.nodes },
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
    let (most, used) = (sent.most_in_span(), sent.used(&load));
    let asked_per_s = sent.questions as f64 / RUN.as_secs_f64();
    println!(
        "{name} {load:?}: {most} of {}, used {used:.2}, {asked_per_s:.0} questions a second",
        load.allowed()
    );
    assert!(most as f64 <= load.allowed(), "{name} {load:?}: {most}");
}

#[test]
fn a_limit_is_kept_and_used_by_any_number_of_nodes() {
    for load in LOADS {
        for seed in 0..10 {
            let sent = counted(seed, load, View::Whole);
            assert_allowed("counted", load, &sent);
            assert!(sent.used(&load) > 0.8, "{load:?}: {}", sent.used(&load));
            let draws = drawn(seed, load);
            if seed == 0 {
                let (most, used) = (draws.most_in_span(), draws.used(&load));
                println!("drawn: {most}, used {used:.2}");
            }
        }
    }
}

/// Parts of a fleet that don't hear each other have a counting node each.
#[test]
fn a_limit_is_kept_while_parts_of_the_nodes_do_not_hear_each_other() {
    let cuts: [(usize, &'static [usize]); 5] = [
        (9, &[6, 3]),
        (9, &[3, 3, 3]),
        (9, &[1, 1, 1, 1, 1, 1, 1, 1, 1]),
        (89, &[45, 44]),
        (300, &[100, 100, 60, 20, 10, 5, 5]),
    ];
    for (nodes, parts) in cuts {
        for limit_per_s in [1.0, 10.0, 30.0] {
            for seed in 0..10 {
                let load =
                    Load { nodes, limit_per_s, wanted_per_s: limit_per_s * 20.0, urgent: 0.5 };
                let sent = counted(seed, load, View::Cut(ms(30_000), parts));
                assert_allowed(&format!("cut {parts:?}"), load, &sent);
                assert!(sent.used(&load) > 0.5, "{load:?}: {}", sent.used(&load));
            }
        }
    }
}

/// A node that counts is restarted, or another is added that counts from then on: it doesn't know what was granted.
#[test]
fn a_limit_is_kept_while_the_node_that_counts_changes() {
    for load in LOADS {
        for seed in 0..10 {
            let sent = counted(seed, load, View::Moves(ms(5_000)));
            assert_allowed("moves", load, &sent);
            assert!(sent.used(&load) > 0.6, "{load:?}: {}", sent.used(&load));
        }
    }
}

/// Nobody asks for a minute, and then a crowd does: what could have been granted meanwhile isn't owed.
#[test]
fn a_limit_is_kept_when_a_crowd_comes_after_a_lull() {
    for limit_per_s in [0.0, 0.5, 1.0, 10.0, 30.0] {
        let mut grants = Grants::new(Duration::ZERO, 1.0, 0.0);
        let load = Load { nodes: 1, limit_per_s, wanted_per_s: 0.0, urgent: 1.0 };
        let crowd = (0..4_000).map(|step| ms(60_000 + step));
        let sent = crowd.filter(|now| grants.ask(*now, limit_per_s, 1.0, 0, 0.5).is_ok()).count();
        assert!(sent as f64 <= load.allowed(), "{sent} of {}", load.allowed());
    }
}

#[test]
fn what_an_upstream_takes_goes_to_the_more_urgent_first() {
    for nodes in [9, 300] {
        let load = Load { nodes, limit_per_s: 10.0, wanted_per_s: 40.0, urgent: 0.2 };
        let sent = counted(1, load, View::Whole);
        let (urgent, other) = (sent.served(0), sent.served(2));
        println!("{nodes} nodes: {urgent:.2} of the urgent, {other:.2} of the others");
        assert!(urgent > 0.8, "8 a second of 10 could all be served: {urgent}");
        assert!(other < urgent, "{other}");
    }
}

/// An upstream that takes nothing gets nothing but the question whether that still holds.
#[test]
fn an_upstream_that_takes_nothing_is_asked_now_and_then() {
    let load = Load { nodes: 9, limit_per_s: 0.0, wanted_per_s: 50.0, urgent: 0.5 };
    let sent = counted(1, load, View::Whole);
    assert!((8..=13).contains(&sent.at.len()), "{}", sent.at.len());
    assert!(sent.most_in_span() <= 1);
}

#[test]
fn who_is_denied_hears_when_what_is_asked_for_can_be_done() {
    let mut grants = Grants::new(Duration::ZERO, 1.0, 0.0);
    let mut longest = Duration::ZERO;
    for step in 0..400 {
        if let Err(denied) = grants.ask(ms(step * 10), 5.0, 1.0, 0, 0.5) {
            longest = longest.max(denied.drained_after);
            assert!(denied.ask_again_after <= Duration::from_secs(1));
        }
    }
    // A hundred a second come, and five are taken.
    assert!((ms(15_000)..ms(25_000)).contains(&longest), "{longest:?}");
}

/// Callers were told the time of the upstream that is done first, three times as long as three alike take together.
#[test]
fn upstreams_do_together_what_each_would_have_done_alone() {
    let together = drained_together(&[ms(9_000), ms(9_000), ms(9_000)]).unwrap();
    assert!((ms(2_990)..=ms(3_010)).contains(&together), "{together:?}");
    let unlike = drained_together(&[ms(1_000), ms(60_000)]).unwrap();
    assert!((ms(950)..ms(1_000)).contains(&unlike), "{unlike:?}");
    assert!(drained_together(&[Duration::ZERO]).unwrap() > Duration::ZERO);
    assert_eq!(drained_together(&[]), None);
}

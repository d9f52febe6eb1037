//! Requests of one kind with prompts of different sizes, in a crowd, in virtual time.

use {
    crate::stage_simulation::{Crowd, StageSimulation},
    std::{ops::Range, time::Duration},
};

/// Prefill times of nine small requests and a large one; the large one needs most of the objective.
const PREFILL_MS: [u64; 10] = [150, 200, 250, 300, 350, 400, 450, 550, 650, 900];

/// The largest tenth of the requests, the fifth below it, and the others.
const PARTS: [Range<usize>; 3] = [9..10, 7..9, 0..7];

fn crowd(load: f64) -> StageSimulation {
    let mut simulation = StageSimulation::new(Duration::from_millis(1_700));
    simulation.run(&Crowd { load, prefill_ms: PREFILL_MS.to_vec() }, 30.0);
    simulation
}

/// While a quarter or more is refused, requests of each size are answered at least half as often as the kind
/// as a whole.
#[test]
fn large_requests_starve_in_a_crowd() {
    for load in [1.5, 2.0, 3.0] {
        let simulation = crowd(load);
        let all = simulation.answered_share(0..10);
        assert!(all < 0.75, "the load is no crowd: {all} are answered");
        for part in PARTS {
            let answered = simulation.answered_share(part.clone());
            assert!(
                answered >= all / 2.0,
                "load {load}: of the sizes {part:?} {answered:.2} are answered, of all {all:.2}"
            );
        }
    }
}

//! Requests of one rank that can wait for different times, in a crowd, in virtual time.

use {
    crate::stage_simulation::{Crowd, Sort, StageSimulation},
    std::{ops::Range, time::Duration},
};

const MS: fn(u64) -> Duration = Duration::from_millis;

/// Prefill times of nine small requests and a large one; the large one needs most of the objective.
const PREFILL_MS: [u64; 10] = [150, 200, 250, 300, 350, 400, 450, 550, 650, 900];

/// Checks that requests of each part of the sorts are answered at least half as often as all, while
/// a quarter or more is refused.
fn assert_none_starves(sorts: &[Sort], parts: &[Range<usize>]) {
    for load in [1.5, 2.0, 3.0] {
        let mut simulation = StageSimulation::new();
        simulation.run(&Crowd { load, sorts: sorts.to_vec() }, 30.0);
        let all = simulation.answered_share(0..sorts.len());
        assert!(all < 0.75, "the load is no crowd: {all} are answered");
        for part in parts {
            let answered = simulation.answered_share(part.clone());
            assert!(
                answered >= all / 2.0,
                "load {load}: of the sorts {part:?} {answered:.2} are answered, of all {all:.2}"
            );
        }
    }
}

/// Large prompts leave little of the objective. The parts are the largest tenth of the requests, the
/// fifth below it, and the others.
#[test]
fn large_requests_starve_in_a_crowd() {
    let sort = |ms| Sort { objective: MS(1_700), prefill_time: MS(ms) };
    assert_none_starves(&PREFILL_MS.map(sort), &[9..10, 7..9, 0..7]);
}

/// A pipeline with a short objective shares the services with one that can wait for seconds.
#[test]
fn pipeline_with_a_short_objective_starves_beside_a_patient_one() {
    let sort = |ms| Sort { objective: MS(ms), prefill_time: MS(100) };
    assert_none_starves(&[sort(1_000), sort(4_000)], &[0..1, 1..2]);
}

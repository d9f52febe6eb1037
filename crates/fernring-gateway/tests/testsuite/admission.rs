//! Which requests are taken on at arrival.

use {
    fernring_gateway::{
        admission::{RequestDemand, StageDemand, AdmissionDecision, decide},
        backlog::{Backlog, RANKS},
        throughput::{ArrivalRate, WorkerThroughput},
    },
    std::time::Duration,
};

const MS: fn(u64) -> Duration = Duration::from_millis;

/// A service that makes 100 pieces a second.
fn busy(waiting: u32) -> Backlog {
    let mut backlog = Backlog { rate_per_s: 100.0, ..Backlog::default() };
    backlog.waiting[1] = waiting;
    backlog
}

/// Pieces a second that come, all of rank 1.
fn coming(per_s: f64) -> [f64; RANKS] {
    let mut ranks = [0.0; RANKS];
    ranks[1] = per_s;
    ranks
}

fn stage(after: &[usize], backlog: Backlog) -> StageDemand {
    StageDemand { after: after.to_vec(), pieces: 2, backlog: Some(backlog), call_time: MS(300) }
}

fn need(stages: Vec<StageDemand>) -> RequestDemand {
    RequestDemand { rank: 1, stages, prefill_time: MS(100), objective_left: MS(1_500), time_left: MS(5_000) }
}

#[test]
fn the_path_is_as_long_as_its_longest_chain_and_queues_go_on_meanwhile() {
    let chain = vec![stage(&[], busy(0)), stage(&[0], busy(50)), stage(&[], busy(0))];
    // 300 ms for the first; the 500 ms of the second's queue run beside it; 300 ms; the prompt.
    assert_eq!(decide(&need(chain)), AdmissionDecision::InTime(MS(900)));
}

#[test]
fn the_less_urgent_are_refused_first() {
    let crowd = Backlog { arrivals_per_s: coming(100.0), ..busy(130) };
    let at_rank = |rank| decide(&RequestDemand { rank, ..need(vec![stage(&[], crowd)]) });
    assert_eq!(at_rank(0), AdmissionDecision::InTime(MS(400)), "what waits there is behind it");
    assert_eq!(at_rank(1), AdmissionDecision::Refused(None), "nothing says when it would have a chance");
    assert_eq!(at_rank(2), AdmissionDecision::Refused(None));
}

/// Replays a crowd of one rank: the ranks behind it are served by what it leaves.
#[test]
fn a_less_urgent_rank_waits_for_those_of_the_more_urgent_that_are_still_to_come() {
    let at = |rank, per_s| {
        let crowd = Backlog { arrivals_per_s: coming(per_s), ..busy(50) };
        crowd.wait_for_rank(rank)
    };
    assert_eq!(at(1, 80.0), Some(MS(500)), "who comes later is behind");
    assert_eq!(at(2, 50.0), Some(MS(1_000)));
    assert_eq!(at(2, 100.0), None);
    assert_eq!(at(0, 100.0), Some(MS(0)));
}

#[test]
fn what_comes_late_is_taken_on_only_where_a_part_of_the_pace_is_left_for_it() {
    let late = |arrivals_per_s| {
        decide(&need(vec![stage(
            &[],
            Backlog { arrivals_per_s: coming(arrivals_per_s), ..busy(150) },
        )]))
    };
    assert_eq!(late(50.0), AdmissionDecision::Late(MS(3_400)));
    assert_eq!(late(80.0), AdmissionDecision::Refused(Some(MS(7_500))));
}

#[test]
fn a_service_without_makers_serves_nobody() {
    let verdict = decide(&need(vec![stage(&[], Backlog { late: 1, ..Backlog::default() })]));
    assert_eq!(verdict, AdmissionDecision::Refused(None));
}

#[test]
fn a_stage_that_is_left_out_or_unknown_takes_no_wait() {
    let left_out = StageDemand { pieces: 0, ..stage(&[], busy(500)) };
    let unknown = StageDemand { backlog: None, ..stage(&[], busy(500)) };
    assert_eq!(decide(&need(vec![left_out, unknown])), AdmissionDecision::InTime(MS(400)));
}

/// Replays a crowd of four times the pace for three seconds: every request is decided on as it comes, and
/// what was taken on is made at the service's pace. All that was promised is in time, and the pace is used.
#[test]
fn in_a_crowd_what_is_promised_is_kept_and_no_place_stays_empty() {
    let mut backlog = busy(0);
    let mut arrivals = ArrivalRate::default();
    let (mut promised, mut made, mut idle_ms) = (0u32, 0u32, 0u32);
    for ms in 0..3_000u64 {
        let now = MS(ms);
        if ms % 5 == 0 {
            backlog.arrivals_per_s = coming(arrivals.per_s(now));
            if let AdmissionDecision::InTime(time) = decide(&need(vec![stage(&[], backlog)])) {
                assert!(time <= MS(1_500));
                backlog.waiting[1] += 2;
                arrivals.add(now, 2);
                promised += 2;
            }
        }
        if ms % 10 == 0 {
            match backlog.waiting[1].checked_sub(1) {
                Some(left) => (backlog.waiting[1], made) = (left, made + 1),
                None => idle_ms += 10,
            }
        }
    }
    assert!(idle_ms <= 20, "the service stood still for {idle_ms} ms");
    assert!(made >= 290 && promised - made <= 112, "{promised} promised, {made} made");
}

#[test]
fn a_backlog_is_carried_on_until_its_owner_is_heard_again() {
    let growing = Backlog { arrivals_per_s: coming(150.0), ..busy(100) };
    assert_eq!(growing.extrapolate(MS(200)).waiting[1], 110);
    assert_eq!(busy(10).extrapolate(MS(1_000)).waiting[1], 0);
}

#[test]
fn arrivals_fade_and_a_pace_is_learned_from_calls_that_left_pieces_behind() {
    let mut arrivals = ArrivalRate::default();
    arrivals.add(MS(0), 100);
    assert!(arrivals.per_s(MS(0)) > 99.0 && arrivals.per_s(MS(5_000)) < 1.0);
    let mut pace = WorkerThroughput::default();
    assert_eq!(pace.per_s(50.0), 50.0);
    for _ in 0..40 {
        pace.record_saturated_call(5, MS(250), 50.0);
    }
    assert!((pace.per_s(50.0) - 20.0).abs() < 1.0, "{}", pace.per_s(50.0));
}

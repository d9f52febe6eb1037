//! Admission of requests at arrival.

use {
    fernring_gateway::{
        admission::{self, AdmissionDecision, RequestDemand, StageDemand},
        backlog::{Backlog, RANKS},
        throughput::{ArrivalRate, WorkerThroughput},
    },
    std::time::Duration,
};

const MS: fn(u64) -> Duration = Duration::from_millis;

/// Backlog of a service that completes 100 pieces per second, with `waiting` pieces of rank 1.
fn backlog_of(waiting: u32) -> Backlog {
    let mut backlog = Backlog { rate_per_s: 100.0, ..Backlog::default() };
    backlog.waiting[1] = waiting;
    backlog
}

/// Arrivals in pieces per second, all of rank 1.
fn rank_1_arrivals(per_s: f64) -> [f64; RANKS] {
    let mut ranks = [0.0; RANKS];
    ranks[1] = per_s;
    ranks
}

fn stage(depends_on: &[usize], backlog: Backlog) -> StageDemand {
    StageDemand {
        depends_on: depends_on.to_vec(),
        pieces: 2,
        backlog: Some(backlog),
        call_time: MS(300),
        full_call_time: MS(300),
    }
}

fn demand(stages: Vec<StageDemand>) -> RequestDemand {
    RequestDemand {
        rank: 1,
        stages,
        prefill_time: MS(100),
        objective_left: MS(1_500),
        time_left: MS(5_000),
    }
}

/// Decides about a request of a pipeline whose requests are all alike.
fn decide(demand: &RequestDemand) -> AdmissionDecision {
    admission::decide(demand, demand.slack())
}

#[test]
fn path_time_is_longest_chain_with_shrinking_queues() {
    let chain =
        vec![stage(&[], backlog_of(0)), stage(&[0], backlog_of(50)), stage(&[], backlog_of(0))];
    // 300 ms for the first stage, while the second's queue of 500 ms shrinks; 300 ms for the
    // second; 100 ms of prefill.
    assert_eq!(decide(&demand(chain)), AdmissionDecision::InTime(MS(900)));
}

#[test]
fn less_urgent_ranks_are_refused_first() {
    let burst = Backlog { arrivals_per_s: rank_1_arrivals(100.0), ..backlog_of(130) };
    let at_rank = |rank| decide(&RequestDemand { rank, ..demand(vec![stage(&[], burst)]) });
    assert_eq!(at_rank(0), AdmissionDecision::InTime(MS(400)), "the queued pieces are less urgent");
    assert_eq!(
        at_rank(1),
        AdmissionDecision::Refused(None),
        "no time is known after which a retry could succeed"
    );
    assert_eq!(at_rank(2), AdmissionDecision::Refused(None));
}

/// Replays a burst of one rank: the less urgent ranks are served by the remaining rate.
#[test]
fn less_urgent_rank_waits_for_expected_urgent_arrivals() {
    let at_rank_and_rate = |rank, per_s| {
        let burst = Backlog { arrivals_per_s: rank_1_arrivals(per_s), ..backlog_of(50) };
        burst.wait_for_rank(rank)
    };
    assert_eq!(
        at_rank_and_rate(1, 80.0),
        Some(MS(500)),
        "later arrivals of the same rank go behind it"
    );
    assert_eq!(at_rank_and_rate(2, 50.0), Some(MS(1_000)));
    assert_eq!(at_rank_and_rate(2, 100.0), None);
    assert_eq!(at_rank_and_rate(0, 100.0), Some(MS(0)));
}

#[test]
fn late_request_is_admitted_only_with_remaining_rate() {
    let decide_at_rate = |arrivals_per_s| {
        decide(&demand(vec![stage(
            &[],
            Backlog { arrivals_per_s: rank_1_arrivals(arrivals_per_s), ..backlog_of(150) },
        )]))
    };
    assert_eq!(decide_at_rate(50.0), AdmissionDecision::Late(MS(3_400)));
    assert_eq!(decide_at_rate(80.0), AdmissionDecision::Refused(Some(MS(7_500))));
}

#[test]
fn service_without_workers_refuses_requests() {
    let decision = decide(&demand(vec![stage(&[], Backlog { late: 1, ..Backlog::default() })]));
    assert_eq!(decision, AdmissionDecision::Refused(None));
}

#[test]
fn omitted_or_unknown_stage_adds_no_wait() {
    let omitted = StageDemand { pieces: 0, ..stage(&[], backlog_of(500)) };
    let unknown = StageDemand { backlog: None, ..stage(&[], backlog_of(500)) };
    assert_eq!(decide(&demand(vec![omitted, unknown])), AdmissionDecision::InTime(MS(400)));
}

/// Replays a burst of four times the service's rate for three seconds: every request is decided on
/// as it arrives, and admitted pieces are completed at the service's rate. All admitted requests
/// are in time, and the rate is used.
#[test]
fn burst_is_admitted_in_time_without_idle_service() {
    let mut backlog = backlog_of(0);
    let mut arrivals = ArrivalRate::default();
    let (mut admitted, mut completed, mut idle_ms) = (0u32, 0u32, 0u32);
    for ms in 0..3_000u64 {
        let now = MS(ms);
        if ms % 5 == 0 {
            backlog.arrivals_per_s = rank_1_arrivals(arrivals.per_s(now));
            if let AdmissionDecision::InTime(time) = decide(&demand(vec![stage(&[], backlog)])) {
                assert!(time <= MS(1_500));
                backlog.waiting[1] += 2;
                arrivals.add(now, 2);
                admitted += 2;
            }
        }
        if ms % 10 == 0 {
            match backlog.waiting[1].checked_sub(1) {
                Some(remaining) => (backlog.waiting[1], completed) = (remaining, completed + 1),
                None => idle_ms += 10,
            }
        }
    }
    assert!(idle_ms <= 20, "the service was idle for {idle_ms} ms");
    assert!(
        completed >= 290 && admitted - completed <= 112,
        "{admitted} admitted, {completed} completed"
    );
}

#[test]
fn backlog_is_extrapolated_between_reports() {
    let growing = Backlog { arrivals_per_s: rank_1_arrivals(150.0), ..backlog_of(100) };
    assert_eq!(growing.extrapolate(MS(200)).waiting[1], 110);
    assert_eq!(backlog_of(10).extrapolate(MS(1_000)).waiting[1], 0);
}

#[test]
fn arrival_rate_decays_and_throughput_is_learned() {
    let mut arrivals = ArrivalRate::default();
    arrivals.add(MS(0), 100);
    assert!(arrivals.per_s(MS(0)) > 99.0 && arrivals.per_s(MS(5_000)) < 1.0);
    let mut throughput = WorkerThroughput::default();
    assert_eq!(throughput.per_s(50.0), 50.0);
    for _ in 0..40 {
        throughput.record_saturated_call(5, MS(250), 50.0);
    }
    assert!((throughput.per_s(50.0) - 20.0).abs() < 1.0, "{}", throughput.per_s(50.0));
}

#[test]
fn large_request_is_due_after_full_calls_and_a_call_in_progress() {
    let chain = vec![stage(&[], backlog_of(0)), stage(&[0], backlog_of(0))];
    let small = demand(chain);
    assert_eq!(small.due_time(), MS(1_500), "the objective leaves time to wait");
    assert_eq!(small.slack(), MS(800));
    let large = RequestDemand { prefill_time: MS(1_200), ..small.clone() };
    assert_eq!(large.due_time(), MS(2_100), "two calls, the prefill, and a call in progress");
    assert_eq!(large.slack(), MS(300));
    let impatient = RequestDemand { time_left: MS(2_000), ..large };
    assert_eq!(impatient.due_time(), MS(2_000), "its caller doesn't wait longer");
}

#[test]
fn requests_of_all_sizes_are_admitted_by_the_mean_slack() {
    // 500 ms of work are queued.
    let decide_size = |prefill_ms, mean_slack_ms| {
        let demand = demand(vec![stage(&[], backlog_of(50))]);
        let demand = RequestDemand { prefill_time: MS(prefill_ms), ..demand };
        admission::decide(&demand, MS(mean_slack_ms))
    };
    assert_eq!(decide_size(100, 500), AdmissionDecision::InTime(MS(900)));
    assert_eq!(decide_size(1_100, 500), AdmissionDecision::InTime(MS(1_900)));
    assert!(!matches!(decide_size(100, 499), AdmissionDecision::InTime(_)));
    assert!(!matches!(decide_size(1_100, 499), AdmissionDecision::InTime(_)));
}

#[test]
fn request_is_refused_if_its_caller_leaves_before_the_answer() {
    let demand = |time_left_ms| {
        let demand = demand(vec![stage(&[], backlog_of(50))]);
        RequestDemand { time_left: MS(time_left_ms), ..demand }
    };
    // 300 ms for the call, 100 ms of prefill, and a wait of at most a call since it goes first.
    assert_eq!(admission::decide(&demand(700), MS(500)), AdmissionDecision::InTime(MS(900)));
    let refused = admission::decide(&demand(699), MS(500));
    assert!(matches!(refused, AdmissionDecision::Refused(_)), "{refused:?}");
}

#[test]
fn service_with_the_longest_wait_of_the_rank_binds() {
    let urgent = |pieces| {
        let mut backlog = backlog_of(0);
        backlog.waiting[0] = pieces;
        backlog
    };
    let omitted = StageDemand { pieces: 0, ..stage(&[], backlog_of(500)) };
    let chain =
        vec![stage(&[], backlog_of(10)), omitted, stage(&[0], urgent(30)), stage(&[2], urgent(20))];
    assert_eq!(demand(chain).longest_wait_stage(), Some(2));
    let unserved = Backlog { rate_per_s: 0.0, ..backlog_of(1) };
    let chain = vec![stage(&[], unserved), stage(&[0], backlog_of(900))];
    assert_eq!(demand(chain).longest_wait_stage(), Some(0), "it would wait for ever");
    let at_rank_0 = RequestDemand {
        rank: 0,
        ..demand(vec![stage(&[], backlog_of(10)), stage(&[0], urgent(5))])
    };
    assert_eq!(at_rank_0.longest_wait_stage(), Some(1), "the ten pieces are less urgent");
}

//! Tests of the decision whether the machine at the other end of a connection is gone.

use {
    fernring_gateway::liveness::{Liveness, LivenessCheck},
    fernring_tcp::AckState,
    std::time::Duration,
};

fn state(unacknowledged: u32, unanswered: u32, is_retrying: bool, silent_ms: u64) -> AckState {
    let since_received = Duration::from_millis(silent_ms);
    AckState { unacknowledged, unanswered, is_retrying, since_received }
}

/// Probes of a closed window come ever more rarely, and a check may fall between one and its answer.
#[test]
fn slow_reader_counts_as_gone() {
    let mut liveness = Liveness::default();
    for round in 0..40 {
        let between_probes = state(0, 0, true, 3_000);
        let probe_on_its_way = state(0, 1, true, 3_200);
        let checked = if round % 2 == 0 { between_probes } else { probe_on_its_way };
        assert_eq!(liveness.check(checked), LivenessCheck::Pending);
    }
}

#[test]
fn machine_that_answers_nothing_is_gone() {
    let mut liveness = Liveness::default();
    assert_eq!(liveness.check(state(2, 1, true, 500)), LivenessCheck::Pending);
    assert_eq!(liveness.check(state(2, 2, true, 1_250)), LivenessCheck::Pending);
    assert_eq!(liveness.check(state(2, 3, true, 1_500)), LivenessCheck::Gone);
}

#[test]
fn connection_is_checked_until_everything_is_acknowledged() {
    let mut liveness = Liveness::default();
    let settled = state(0, 0, false, 100);
    assert_eq!(liveness.check(settled), LivenessCheck::Pending, "the first probe may be due");
    assert_eq!(liveness.check(settled), LivenessCheck::Pending);
    liveness.record_sent();
    assert_eq!(liveness.check(settled), LivenessCheck::Pending);
    assert_eq!(liveness.check(settled), LivenessCheck::Pending);
    assert_eq!(liveness.check(settled), LivenessCheck::Settled);
}

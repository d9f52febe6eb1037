//! Tests of the moment at which a silent upstream's request is offered to another one.

use {
    fernring_gateway::handover::{HandoverRule, Silence, SilenceProbes},
    std::time::Duration,
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn silent_since(at: Duration) -> Silence {
    Silence { since: at, caller_waits_since: at }
}

#[test]
fn request_is_offered_while_another_upstream_may_be_in_time() {
    let rule =
        HandoverRule { patience: ms(6_400), first_event_time: ms(1_600), deadline_at: ms(60_000) };
    assert_eq!(rule.handover_at(silent_since(ms(1_000))), ms(5_800));
    let waiting = Silence { since: ms(2_000), caller_waits_since: ms(0) };
    assert_eq!(rule.handover_at(waiting), ms(5_200), "patience counts from the last event");
}

#[test]
fn deadline_leaves_half_of_the_patience_to_the_silent_upstream() {
    let rule =
        HandoverRule { patience: ms(4_000), first_event_time: ms(1_000), deadline_at: ms(5_000) };
    assert_eq!(rule.handover_at(silent_since(ms(1_500))), ms(4_000), "the deadline is first");
    assert_eq!(rule.handover_at(silent_since(ms(3_000))), ms(5_000), "half of the patience");
    assert!(rule.handover_at(silent_since(ms(4_000))) > ms(5_000), "after the deadline: never");
}

#[test]
fn single_failed_probe_proves_nothing() {
    let mut probes = SilenceProbes::default();
    probes.record(false);
    probes.record(true);
    probes.record(false);
    assert!(!probes.is_unreachable());
    probes.record(false);
    assert!(probes.is_unreachable());
}

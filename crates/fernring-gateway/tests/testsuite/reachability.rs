//! Tests of the decision whether a node has lost its own path to the upstreams.

use {
    fernring_gateway::reachability::{PathState, Probes, Reachability},
    std::{net::SocketAddr, time::Duration},
};

const NOW: Duration = Duration::from_secs(100);

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], number))
}

fn after_ms(ms: u64) -> Duration {
    NOW + Duration::from_millis(ms)
}

/// Returns a node that failed to reach two upstreams.
fn suspicious() -> Reachability {
    let mut reachability = Reachability::default();
    reachability.record(NOW, address(1), false);
    reachability.record(NOW, address(2), false);
    reachability
}

#[test]
fn one_unreached_upstream_is_no_lost_path() {
    let mut reachability = Reachability::default();
    for ms in 0..10 {
        reachability.record(after_ms(ms), address(1), false);
    }
    assert_eq!(reachability.state(), PathState::Direct);
    assert_eq!(reachability.probes_due(after_ms(10)), Probes::None);
    assert!(reachability.is_unreached(address(1)) && !reachability.is_unreached(address(2)));
}

#[test]
fn path_is_lost_only_if_no_verification_probe_succeeds() {
    let mut reachability = suspicious();
    assert_eq!(reachability.probes_due(NOW), Probes::None, "responses may still arrive");
    assert!(matches!(reachability.probes_due(after_ms(100)), Probes::Verification(_)));
    reachability.record(after_ms(1), address(3), true);
    reachability.finish_verification();
    assert_eq!(reachability.state(), PathState::Suspected);
    assert!(!reachability.is_at_fault(), "the two upstreams may have crashed");

    let mut reachability = suspicious();
    reachability.record(after_ms(1), address(3), false);
    assert!(reachability.is_at_fault(), "not verified yet");
    reachability.finish_verification();
    assert_eq!(reachability.state(), PathState::Lost);
    assert!(reachability.is_unreached(address(9)), "of others nothing else is known");
}

/// An upstream that was reached before the links were lost proves nothing.
#[test]
fn results_from_before_the_suspicion_do_not_count() {
    let mut reachability = Reachability::default();
    reachability.record(NOW, address(3), true);
    reachability.record(after_ms(100), address(1), false);
    reachability.record(after_ms(100), address(2), false);
    reachability.finish_verification();
    assert_eq!(reachability.state(), PathState::Lost);
}

#[test]
fn first_success_restores_a_lost_path() {
    let mut reachability = suspicious();
    reachability.finish_verification();
    reachability.expire(after_ms(20_000));
    assert_eq!(reachability.state(), PathState::Lost, "lost until something is reached");
    assert!(matches!(reachability.probes_due(after_ms(20_000)), Probes::Sample(_)));
    assert_eq!(reachability.probes_due(after_ms(20_100)), Probes::None, "probes are spaced");
    reachability.record(after_ms(20_200), address(4), true);
    assert_ne!(reachability.state(), PathState::Lost);
    reachability.expire(after_ms(30_000));
    assert_eq!(reachability.state(), PathState::Direct);
}

#[test]
fn silence_is_probed_only_while_responses_are_awaited() {
    let mut reachability = Reachability::default();
    assert_eq!(reachability.probes_due(NOW), Probes::None);
    let exchange = reachability.begin_exchange(NOW);
    assert_eq!(reachability.probes_due(after_ms(300)), Probes::None);
    assert!(matches!(reachability.probes_due(after_ms(500)), Probes::Sample(_)));
    assert_eq!(reachability.probes_due(after_ms(600)), Probes::None, "probes are spaced");
    reachability.end_exchange(exchange);
    assert_eq!(reachability.probes_due(after_ms(5_000)), Probes::None);
}

#[test]
fn upstream_that_is_silent_for_a_second_is_no_lost_path() {
    let mut reachability = Reachability::default();
    reachability.begin_exchange(NOW);
    for ms in (0..1_500).step_by(50) {
        reachability.record(after_ms(ms), address(2), true);
        assert_eq!(reachability.probes_due(after_ms(ms)), Probes::None);
    }
    assert_eq!(reachability.state(), PathState::Direct);
}

//! Tests of pause detection and of catching up after a pause.

use {fernring_gateway::pause_detector::PauseDetector, std::time::Duration};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A detector whose rounds came every 200 ms and that received a heartbeat in each.
fn running(until_ms: u64) -> PauseDetector {
    let mut detector = PauseDetector::new(ms(0));
    for round in 1..=until_ms / 200 {
        detector.record_round(ms(round * 200));
        detector.record_heartbeat();
    }
    detector
}

/// A node that resumed sent requests before it had read the limits announced during its pause.
#[test]
fn resumed_process_catches_up_until_first_heartbeat() {
    let mut detector = running(2_000);
    assert!(!detector.is_catching_up(ms(2_150)));
    assert!(detector.is_catching_up(ms(4_400)), "no round has detected the pause yet");
    assert_eq!(detector.record_round(ms(4_400)), Some(ms(2_400)));
    assert!(detector.is_catching_up(ms(4_410)));
    detector.record_heartbeat();
    assert!(!detector.is_catching_up(ms(4_411)));
}

#[test]
fn process_without_peers_stops_catching_up() {
    let mut detector = PauseDetector::new(ms(1_000));
    assert!(detector.is_catching_up(ms(1_100)), "the process has just started");
    detector.record_round(ms(1_200));
    assert!(!detector.is_catching_up(ms(1_300)), "it has no peers");
}

#[test]
fn slow_process_is_not_catching_up() {
    let mut detector = running(2_000);
    assert_eq!(detector.record_round(ms(2_900)), None);
    assert!(!detector.is_catching_up(ms(2_950)));
}

//! Whether a process stood still, and has heard others since.

use {fernring_gateway::pause_detector::PauseDetector, std::time::Duration};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A process whose rounds come each 200 ms, and that has heard a peer.
fn running(until_ms: u64) -> PauseDetector {
    let mut stillness = PauseDetector::new(ms(0));
    for round in 1..=until_ms / 200 {
        stillness.record_round(ms(round * 200));
        stillness.record_heartbeat();
    }
    stillness
}

/// A node stood still for 2.4 s and sent eight requests within 8 ms of waking, before it read that their upstream takes one in
/// two seconds. Whatever runs first on waking, it is behind until a peer was heard.
#[test]
fn a_process_that_wakes_is_behind_until_it_hears_a_peer() {
    let mut stillness = running(2_000);
    assert!(!stillness.is_catching_up(ms(2_150)));
    assert!(stillness.is_catching_up(ms(4_400)), "no round has found it out yet");
    assert_eq!(stillness.record_round(ms(4_400)), Some(ms(2_400)));
    assert!(stillness.is_catching_up(ms(4_410)));
    stillness.record_heartbeat();
    assert!(!stillness.is_catching_up(ms(4_411)));
}

#[test]
fn a_process_that_nobody_tells_anything_is_not_behind_for_long() {
    let mut stillness = PauseDetector::new(ms(1_000));
    assert!(stillness.is_catching_up(ms(1_100)), "it has just started");
    stillness.record_round(ms(1_200));
    assert!(!stillness.is_catching_up(ms(1_300)), "it is alone");
}

#[test]
fn a_process_that_is_merely_slow_is_not_behind() {
    let mut stillness = running(2_000);
    assert_eq!(stillness.record_round(ms(2_900)), None);
    assert!(!stillness.is_catching_up(ms(2_950)));
}

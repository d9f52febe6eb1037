//! The learned prefill speed of model engines.

use {fernring_gateway::prefill_speed::PrefillSpeed, std::time::Duration};

const MS: fn(u64) -> Duration = Duration::from_millis;

/// Replays engines that prefill at three speeds, one after the other; most prompts wait for others.
#[test]
fn learned_speed_follows_changing_engines() {
    let mut speed = PrefillSpeed::default();
    for tokens_per_ms in [12.0, 90.0, 38.0] {
        for round in 0..300u32 {
            let tokens = 1_000.0 + f64::from(round % 7) * 800.0;
            let busy = 1.0 + f64::from(round % 5) * 0.2;
            let took = Duration::from_secs_f64(tokens / tokens_per_ms / 1_000.0 * busy);
            speed.record_prefill(tokens, took);
        }
        let learned = speed.tokens_in(MS(1));
        let expected = tokens_per_ms * 0.6..tokens_per_ms * 1.1;
        assert!(expected.contains(&learned), "{learned} of {tokens_per_ms}");
        let time = speed.time_for(learned * 100.0);
        assert!((MS(99)..=MS(101)).contains(&time));
    }
}

#[test]
fn short_prompts_leave_the_speed_unchanged() {
    let mut speed = PrefillSpeed::default();
    speed.record_prefill(100.0, MS(50));
    assert_eq!(speed, PrefillSpeed::default());
}

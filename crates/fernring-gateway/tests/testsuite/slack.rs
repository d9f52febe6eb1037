//! Mean slack of the requests of a rank at a service.

use {
    fernring_gateway::slack::{MeanSlacks, QueueKey},
    std::time::Duration,
};

const MS: fn(u64) -> Duration = Duration::from_millis;

fn key(service: &str, rank: usize) -> QueueKey {
    QueueKey { service: service.into(), rank }
}

#[test]
fn mean_slack_follows_the_latest_requests() {
    let slacks = MeanSlacks::default();
    assert_eq!(slacks.mean(&key("first", 1)), None);
    slacks.record(MS(0), key("first", 1), 2, MS(600));
    assert_eq!(slacks.mean(&key("first", 1)), Some(MS(600)));
    for at in 1..101 {
        slacks.record(MS(at), key("first", 1), 2, MS(1_000));
    }
    let mean = slacks.mean(&key("first", 1)).unwrap_or_default();
    assert!((MS(980)..=MS(1_000)).contains(&mean), "{mean:?}");
    assert_eq!(slacks.mean(&key("first", 0)), None, "ranks have their own means");
    assert_eq!(slacks.mean(&key("second", 1)), None, "services have their own means");
}

#[test]
fn slack_is_weighted_by_pieces() {
    let slacks = MeanSlacks::default();
    for at in 0..200 {
        slacks.record(MS(at), key("first", 1), 9, MS(1_000));
        slacks.record(MS(at), key("first", 1), 1, MS(0));
    }
    let mean = slacks.mean(&key("first", 1)).unwrap_or_default();
    assert!((MS(880)..=MS(920)).contains(&mean), "{mean:?}");
}

#[test]
fn least_recently_used_mean_is_forgotten() {
    let slacks = MeanSlacks::default();
    let record = |at, service: u64| slacks.record(MS(at), key(&service.to_string(), 0), 1, MS(500));
    record(0, 0);
    record(1, 1);
    record(2, 0);
    for service in 2..1_025 {
        record(3 + service, service);
    }
    assert_eq!(slacks.mean(&key("0", 0)), Some(MS(500)), "it was used again");
    assert_eq!(slacks.mean(&key("1", 0)), None);
}

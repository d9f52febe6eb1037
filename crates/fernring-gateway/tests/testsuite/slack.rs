//! Mean slack of the requests of a pipeline.

use {
    fernring_gateway::slack::PipelineSlacks,
    std::{sync::Arc, time::Duration},
};

const MS: fn(u64) -> Duration = Duration::from_millis;

#[test]
fn mean_slack_follows_the_latest_requests_of_a_pipeline() {
    let slacks = PipelineSlacks::default();
    let [first, second]: [Arc<str>; 2] = ["first", "second"].map(Arc::from);
    assert_eq!(slacks.record(MS(0), &first, MS(600)), MS(600));
    assert_eq!(slacks.record(MS(1), &first, MS(200)), MS(400));
    assert_eq!(slacks.record(MS(2), &second, MS(100)), MS(100), "pipelines have their own means");
    for at in 3..103 {
        slacks.record(MS(at), &first, MS(1_000));
    }
    let mean = slacks.record(MS(103), &first, MS(1_000));
    assert!((MS(980)..=MS(1_000)).contains(&mean), "{mean:?}");
}

#[test]
fn least_recently_used_pipeline_is_forgotten() {
    let slacks = PipelineSlacks::default();
    let name = |number: u64| Arc::<str>::from(number.to_string());
    slacks.record(MS(0), &name(0), MS(500));
    slacks.record(MS(1), &name(1), MS(500));
    slacks.record(MS(2), &name(0), MS(500));
    for number in 2..1_025 {
        slacks.record(MS(3 + number), &name(number), MS(0));
    }
    assert_eq!(slacks.record(MS(5_000), &name(0), MS(200)), MS(400), "it was used again");
    assert_eq!(slacks.record(MS(5_001), &name(1), MS(200)), MS(200), "its mean starts anew");
}

//! Sizes of requests in metrics.

use {fernring_gateway::request_size::SizeBand, std::time::Duration};

#[test]
fn size_is_processing_time_relative_to_objective() {
    let band = |processing_ms, objective_ms| {
        let [processing, objective] = [processing_ms, objective_ms].map(Duration::from_millis);
        SizeBand::new(processing, objective).name()
    };
    assert_eq!(band(0, 1_000), "0.2");
    assert_eq!(band(200, 1_000), "0.2");
    assert_eq!(band(201, 1_000), "0.4");
    assert_eq!(band(850, 1_700), "0.6");
    assert_eq!(band(1_700, 1_700), "1.0");
    assert_eq!(band(1_701, 1_700), "+Inf");
    assert_eq!(band(1, 0), "+Inf", "a route without an objective");
}

//! The configuration in force and its routes.

use {
    fernring_gateway::{
        config::ConfigState,
        model::{RetryPolicy, Route, ServingConfig, WeightedService},
        residency::Residency,
    },
    std::{sync::Arc, time::Duration},
};

fn route(host: &str, path_prefix: &str) -> Arc<Route> {
    Arc::new(Route {
        name: path_prefix.into(),
        host: host.to_owned(),
        path_prefix: path_prefix.to_owned(),
        retry_policy: RetryPolicy::Always,
        streaming: false,
        timeout: Duration::from_secs(1),
        objective: Duration::from_secs(1),
        event_gap_max: Duration::from_secs(2),
        priority: 0,
        traffic_split: vec![WeightedService { service: "s".into(), weight: 1 }],
        attempts_max: 1,
        stages: Vec::new(),
        is_public: false,
        prefix_affinity: false,
        residency: Residency::default(),
    })
}

fn version(version: u64) -> ServingConfig {
    ServingConfig { version, ..ServingConfig::default() }
}

#[test]
fn older_configurations_are_rejected() {
    let mut state = ConfigState::default();
    assert!(state.current().is_none());
    assert!(
        state.apply_if_newer(version(0), "first".into(), 1.into()),
        "the first configuration may have any version"
    );
    assert!(state.apply_if_newer(version(7), "seven".into(), 5.into()));
    assert!(!state.apply_if_newer(version(3), "three".into(), 3.into()));
    assert!(!state.apply_if_newer(version(7), "seven again".into(), 6.into()));
    assert_eq!(state.end(), 5.into(), "reading continues after the record in force");
    assert!(
        state.apply_if_newer(version(90), "ninety".into(), 9.into()),
        "versions may rise by more than 1"
    );
    assert_eq!(state.version(), 90);
    assert_eq!(state.current().unwrap().compressed, "ninety");
}

#[test]
fn longest_matching_prefix_wins() {
    let routes = vec![route("h", "/a/"), route("h", "/a/b/"), route("other", "/a/b/c/")];
    let config = ServingConfig { routes, ..version(1) };
    let found = |host, path| config.route(host, path).map(|route| route.path_prefix.clone());
    assert_eq!(found("h", "/a/b/c/d").as_deref(), Some("/a/b/"));
    assert_eq!(found("H", "/a/x").as_deref(), Some("/a/"));
    assert_eq!(found("h", "/ab"), None);
    assert_eq!(found("nowhere", "/a/"), None);
}

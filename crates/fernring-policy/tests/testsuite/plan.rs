//! Tests of making and confirming plans.

use {
    fernring_core::{
        catalog::{Catalog, Pipeline, Stage, Upstream, UpstreamKind},
        change::apply,
    },
    fernring_policy::plan::{Intent, Plan, PlanError, make_plan},
    std::sync::Arc,
    uuid::Uuid,
};

const NOW_MS: u64 = 1_800_000_000_000;

fn catalog(engines: usize) -> Catalog {
    let stage = |name: &str, expected_ms| Stage {
        name: name.to_owned(),
        pool: name.to_owned(),
        effect: false,
        expected_ms,
        cost_milli_per_s: 10,
    };
    let stages = vec![stage("retrieve", 10), stage("generate", 100)];
    let pipeline = Pipeline { stages, default_window_ms: 1_000, max_window_ms: 2_000 };
    let mut catalog = Catalog::default();
    catalog.pipelines.insert("answer".to_owned(), Arc::new(pipeline));
    for (pool, kind, count) in
        [("retrieve", UpstreamKind::Plain, 3), ("generate", UpstreamKind::Engine, engines)]
    {
        for index in 0..count {
            let upstream = Upstream {
                pool: pool.to_owned(),
                failure_domain: ["a", "b", "c"][index % 3].to_owned(),
                address: "127.0.0.1:1".parse().unwrap(),
                kind,
                concurrency: 4,
                checks_fencing: false,
                draining: false,
            };
            catalog.upstreams.insert(format!("{pool}-{index}"), Arc::new(upstream));
        }
    }
    catalog
}

fn intent(crowd: u64) -> Intent {
    Intent {
        name: "season".to_owned(),
        pipeline: "answer".to_owned(),
        start_unix_ms: NOW_MS + 3_600_000,
        duration_ms: 60_000,
        crowd,
        deadline_ms: 1_000,
        model: Some("v3".to_owned()),
        loads_per_minute: 10,
    }
}

fn plan(engines: usize, crowd: u64) -> Plan {
    make_plan(&catalog(engines), 5, &intent(crowd), NOW_MS, Uuid::from_u128(1)).unwrap()
}

#[test]
fn overload_lowers_predicted_attainment() {
    let light = plan(6, 6_000);
    let full = plan(6, 14_000);
    let double = plan(6, 28_800);
    assert!(light.predicted_attainment > 0.99, "{light:#?}");
    assert!(full.predicted_attainment <= light.predicted_attainment);
    assert!((double.predicted_attainment - 0.5).abs() < 0.01, "{double:#?}");
    assert!(double.notes.iter().any(|note| note.contains("generate")), "{:?}", double.notes);
    assert_eq!(light.stages[1].cost_milli, 6_000, "6,000 requests of 0.1 s at 10 per second");
}

#[test]
fn loads_alternate_domains_within_store_rate() {
    let plan = plan(9, 12_000);
    let names: Vec<_> = plan.event.placements.iter().map(|p| p.upstream.as_str()).collect();
    // 20 concurrent attempts are needed, 25 with headroom: seven engines with four slots each.
    assert_eq!(names.len(), 7, "{names:?}");
    let first_three: Vec<_> = names[..3].iter().map(|name| name.rsplit('-').next()).collect();
    assert_eq!(
        first_three,
        [Some("0"), Some("1"), Some("2")],
        "the first three are in different domains"
    );
    let times: Vec<_> = plan.event.placements.iter().map(|p| p.load_at_unix_ms).collect();
    assert!(times.windows(2).all(|pair| pair[1] - pair[0] >= 6_000), "{times:?}");
    assert!(*times.last().unwrap() < plan.event.start_unix_ms);
}

#[test]
fn confirmed_plan_applies_only_to_its_base() {
    let plan = plan(6, 6_000);
    let change = plan.confirm("operator").unwrap();
    let next = apply(&catalog(6), 5, &change).unwrap();
    assert_eq!(next.events["season"].crowd, 6_000);
    assert!(apply(&catalog(6), 6, &change).is_err());
}

#[test]
fn plan_round_trips_and_edited_plan_is_refused() {
    let plan = plan(6, 28_800);
    let text = serde_json::to_string_pretty(&plan).unwrap();
    let read: Plan = serde_json::from_str(&text).unwrap();
    assert!(read.confirm("operator").is_ok());
    let edited: Plan = serde_json::from_str(&text.replace("28800", "28801")).unwrap();
    assert_eq!(edited.confirm("operator"), Err(PlanError::Edited));
}

#[test]
fn invalid_intent_error_names_its_key() {
    let cases = [
        (Intent { pipeline: "nowhere".to_owned(), ..intent(1) }, "pipeline"),
        (Intent { name: "no name!".to_owned(), ..intent(1) }, "name"),
        (Intent { crowd: 0, ..intent(1) }, "crowd"),
        (Intent { duration_ms: 0, ..intent(1) }, "duration_ms"),
        (Intent { deadline_ms: 5_000, ..intent(1) }, "deadline_ms"),
        (Intent { loads_per_minute: 0, ..intent(1) }, "loads_per_minute"),
        (Intent { start_unix_ms: 1, ..intent(1) }, "start"),
    ];
    for (intent, key) in cases {
        let error = make_plan(&catalog(1), 5, &intent, NOW_MS, Uuid::nil()).unwrap_err();
        assert!(error.to_string().starts_with(key), "{error}");
    }
}

//! Tests of the placement controller: which node holds the grant of a failure domain, and which
//! orders it sends to the engines.

use {
    fernring_core::{
        catalog::{
            Catalog, Event, Pipeline, Placement as ModelPlacement, Stage, Upstream, UpstreamKind,
        },
        ids::Incarnation,
        orders::Grant,
    },
    fernring_policy::placement::{GrantRecord, PlacementController, PlacementStep},
    std::{collections::BTreeMap, sync::Arc, time::Duration},
    uuid::Uuid,
};

const GRANT_VALIDITY: Duration = Duration::from_secs(10);
const LOAD_AT_MS: u64 = 1_000_000;

fn incarnation(number: u8) -> Incarnation {
    Incarnation(Uuid::from_u128(u128::from(number)))
}

fn catalog() -> Catalog {
    let stage = Stage {
        name: "generate".to_owned(),
        pool: "engines".to_owned(),
        effect: false,
        expected_ms: 10,
        cost_milli_per_s: 0,
    };
    let pipeline = Pipeline { stages: vec![stage], default_window_ms: 1_000, max_window_ms: 1_000 };
    let mut catalog = Catalog::default();
    catalog.pipelines.insert("answer".to_owned(), Arc::new(pipeline));
    for (name, domain) in [("engine-a", "a"), ("engine-b", "b")] {
        let upstream = Upstream {
            pool: "engines".to_owned(),
            failure_domain: domain.to_owned(),
            address: "127.0.0.1:1".parse().unwrap(),
            kind: UpstreamKind::Engine,
            concurrency: 1,
            checks_fencing: false,
            draining: false,
        };
        catalog.upstreams.insert(name.to_owned(), Arc::new(upstream));
    }
    let model_placement = |upstream: &str| ModelPlacement {
        upstream: upstream.to_owned(),
        model: "v3".to_owned(),
        load_at_unix_ms: LOAD_AT_MS,
    };
    let event = Event {
        pipeline: "answer".to_owned(),
        start_unix_ms: LOAD_AT_MS + 60_000,
        duration_ms: 60_000,
        crowd: 1,
        deadline_ms: 1_000,
        placements: vec![model_placement("engine-a"), model_placement("engine-b")],
        shares: Vec::new(),
    };
    catalog.events.insert("season".to_owned(), Arc::new(event));
    catalog
}

fn record(offset: u64, time_ms: u64, number: u8) -> GrantRecord {
    let grant = Grant {
        failure_domain: "a".to_owned(),
        incarnation: incarnation(number),
        valid_ms: GRANT_VALIDITY.as_millis() as u64,
    };
    GrantRecord { offset, time_ms, grant: Some(grant) }
}

fn node(number: u8) -> PlacementController {
    PlacementController::new(incarnation(number), "a".into(), GRANT_VALIDITY)
}

fn holder_and_fence(placement: &PlacementController) -> Option<(Incarnation, u64)> {
    placement.holder().map(|holder| (holder.incarnation, holder.fence))
}

fn step(placement: &mut PlacementController, now: Duration) -> PlacementStep {
    placement.step(now, LOAD_AT_MS, &catalog(), &BTreeMap::new())
}

#[test]
fn first_grant_decides_and_other_node_stays_idle() {
    let (mut first, mut second) = (node(1), node(2));
    assert!(matches!(step(&mut first, Duration::ZERO), PlacementStep::Append(_)));
    assert!(matches!(step(&mut second, Duration::ZERO), PlacementStep::Append(_)));
    let records = [record(7, 1_000, 1), record(8, 1_001, 2)];
    for node in [&mut first, &mut second] {
        node.apply_records(Duration::ZERO, 1_001, &records);
        assert_eq!(holder_and_fence(node), Some((incarnation(1), 7)));
    }
    let PlacementStep::Order(orders) = step(&mut first, Duration::ZERO) else {
        panic!("the holder sends no orders");
    };
    assert_eq!(orders.len(), 1, "only the engine of its own failure domain");
    assert_eq!(orders[0].upstream, "engine-a");
    assert_eq!(
        (orders[0].order.fence, orders[0].order.models.as_slice()),
        (7, &["v3".to_owned()][..])
    );
    assert_eq!(step(&mut second, Duration::ZERO), PlacementStep::Idle);
}

#[test]
fn engine_with_target_models_gets_no_order() {
    let mut first = node(1);
    step(&mut first, Duration::ZERO);
    first.apply_records(Duration::ZERO, 1_000, &[record(7, 1_000, 1)]);
    let reported = BTreeMap::from([("engine-a".to_owned(), vec!["v3".to_owned()])]);
    let after_load = first.step(Duration::ZERO, LOAD_AT_MS, &catalog(), &reported);
    assert_eq!(after_load, PlacementStep::Idle);
    let before_load_time = first.step(Duration::ZERO, LOAD_AT_MS - 1, &catalog(), &BTreeMap::new());
    assert_eq!(before_load_time, PlacementStep::Idle, "the load is not due yet");
}

#[test]
fn holder_paused_past_its_grant_sends_no_orders() {
    let mut first = node(1);
    step(&mut first, Duration::ZERO);
    first.apply_records(Duration::ZERO, 1_000, &[record(7, 1_000, 1)]);
    assert!(matches!(step(&mut first, Duration::ZERO), PlacementStep::Order(_)));
    // It resumes after its grant has ended, before it has read new records.
    let resumed = step(&mut first, GRANT_VALIDITY + Duration::from_millis(1));
    assert!(matches!(resumed, PlacementStep::Append(_)), "{resumed:?}");
}

#[test]
fn new_holder_waits_before_its_first_order() {
    let mut second = node(2);
    second.apply_records(Duration::ZERO, 1_000, &[record(7, 1_000, 1)]);
    let later = Duration::from_millis(10_001);
    assert!(matches!(step(&mut second, later), PlacementStep::Append(_)));
    second.apply_records(later, 11_001, &[record(9, 11_001, 2)]);
    assert_eq!(holder_and_fence(&second), Some((incarnation(2), 9)));
    assert_eq!(
        step(&mut second, later),
        PlacementStep::Idle,
        "an order of the old holder may be in flight"
    );
    let settled = later + GRANT_VALIDITY;
    // By then its own grant is due for renewal, which it appends before it sends orders.
    assert!(matches!(step(&mut second, settled), PlacementStep::Append(_)));
    second.apply_records(settled, 21_001, &[record(10, 21_001, 2)]);
    let PlacementStep::Order(orders) = step(&mut second, settled) else {
        panic!("the new holder sends no orders");
    };
    assert_eq!(orders[0].order.fence, 10);
}

#[test]
fn grant_before_the_old_one_ends_is_ignored() {
    let mut reader = node(3);
    let records = [record(1, 1_000, 1), record(2, 11_000, 2), record(3, 11_001, 2)];
    reader.apply_records(Duration::ZERO, 11_000, &records[..2]);
    assert_eq!(
        holder_and_fence(&reader),
        Some((incarnation(1), 1)),
        "the old grant is still valid at its last millisecond"
    );
    reader.apply_records(Duration::ZERO, 11_001, &records[2..]);
    assert_eq!(holder_and_fence(&reader), Some((incarnation(2), 3)));
}

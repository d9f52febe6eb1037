//! Who orders the engines of a failure domain, and what is ordered.

use {
    fernring_core::{
        catalog::{Catalog, Event, Pipeline, Placement as Place, Stage, Upstream, UpstreamKind},
        ids::Incarnation,
        orders::Grant,
    },
    fernring_policy::placement::{GrantRecord, PlacementController, PlacementStep},
    std::{collections::BTreeMap, sync::Arc, time::Duration},
    uuid::Uuid,
};

const VALID: Duration = Duration::from_secs(10);
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
    let place = |upstream: &str| Place {
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
        placements: vec![place("engine-a"), place("engine-b")],
        shares: Vec::new(),
    };
    catalog.events.insert("season".to_owned(), Arc::new(event));
    catalog
}

fn record(offset: u64, time_ms: u64, number: u8) -> GrantRecord {
    let grant = Grant {
        failure_domain: "a".to_owned(),
        incarnation: incarnation(number),
        valid_ms: VALID.as_millis() as u64,
    };
    GrantRecord { offset, time_ms, grant: Some(grant) }
}

fn node(number: u8) -> PlacementController {
    PlacementController::new(incarnation(number), "a".into(), VALID)
}

fn in_charge(placement: &PlacementController) -> Option<(Incarnation, u64)> {
    placement.holder().map(|holder| (holder.incarnation, holder.fence))
}

fn step(placement: &mut PlacementController, now: Duration) -> PlacementStep {
    placement.step(now, LOAD_AT_MS, &catalog(), &BTreeMap::new())
}

#[test]
fn the_first_grant_decides_and_the_other_node_stays_idle() {
    let (mut first, mut second) = (node(1), node(2));
    assert!(matches!(step(&mut first, Duration::ZERO), PlacementStep::Append(_)));
    assert!(matches!(step(&mut second, Duration::ZERO), PlacementStep::Append(_)));
    let records = [record(7, 1_000, 1), record(8, 1_001, 2)];
    for node in [&mut first, &mut second] {
        node.apply_records(Duration::ZERO, 1_001, &records);
        assert_eq!(in_charge(node), Some((incarnation(1), 7)));
    }
    let PlacementStep::Order(orders) = step(&mut first, Duration::ZERO) else {
        panic!("the holder orders");
    };
    assert_eq!(orders.len(), 1, "only its own failure domain's engine");
    assert_eq!(orders[0].upstream, "engine-a");
    assert_eq!(
        (orders[0].order.fence, orders[0].order.models.as_slice()),
        (7, &["v3".to_owned()][..])
    );
    assert_eq!(step(&mut second, Duration::ZERO), PlacementStep::Idle);
}

#[test]
fn an_engine_that_holds_its_models_gets_no_order() {
    let mut first = node(1);
    step(&mut first, Duration::ZERO);
    first.apply_records(Duration::ZERO, 1_000, &[record(7, 1_000, 1)]);
    let reported = BTreeMap::from([("engine-a".to_owned(), vec!["v3".to_owned()])]);
    let done = first.step(Duration::ZERO, LOAD_AT_MS, &catalog(), &reported);
    assert_eq!(done, PlacementStep::Idle);
    let early = first.step(Duration::ZERO, LOAD_AT_MS - 1, &catalog(), &BTreeMap::new());
    assert_eq!(early, PlacementStep::Idle, "the load is not due");
}

#[test]
fn a_holder_that_was_paused_past_its_grant_orders_nothing() {
    let mut first = node(1);
    step(&mut first, Duration::ZERO);
    first.apply_records(Duration::ZERO, 1_000, &[record(7, 1_000, 1)]);
    assert!(matches!(step(&mut first, Duration::ZERO), PlacementStep::Order(_)));
    // It wakes after its grant has ended, before it has read anything new.
    let woken = step(&mut first, VALID + Duration::from_millis(1));
    assert!(matches!(woken, PlacementStep::Append(_)), "{woken:?}");
}

#[test]
fn a_new_holder_waits_out_the_old_grant_before_its_first_order() {
    let mut second = node(2);
    second.apply_records(Duration::ZERO, 1_000, &[record(7, 1_000, 1)]);
    let later = Duration::from_millis(10_001);
    assert!(matches!(step(&mut second, later), PlacementStep::Append(_)));
    second.apply_records(later, 11_001, &[record(9, 11_001, 2)]);
    assert_eq!(in_charge(&second), Some((incarnation(2), 9)));
    assert_eq!(step(&mut second, later), PlacementStep::Idle, "an old order may be on its way");
    let settled = later + VALID;
    // By then its own grant is due for renewal; the renewal keeps it in charge.
    assert!(matches!(step(&mut second, settled), PlacementStep::Append(_)));
    second.apply_records(settled, 21_001, &[record(10, 21_001, 2)]);
    let PlacementStep::Order(orders) = step(&mut second, settled) else {
        panic!("the new holder orders");
    };
    assert_eq!(orders[0].order.fence, 10);
}

#[test]
fn a_grant_before_the_old_one_ended_counts_for_nobody() {
    let mut reader = node(3);
    let records = [record(1, 1_000, 1), record(2, 11_000, 2), record(3, 11_001, 2)];
    reader.apply_records(Duration::ZERO, 11_000, &records[..2]);
    assert_eq!(in_charge(&reader), Some((incarnation(1), 1)), "it still holds at its last moment");
    reader.apply_records(Duration::ZERO, 11_001, &records[2..]);
    assert_eq!(in_charge(&reader), Some((incarnation(2), 3)));
}

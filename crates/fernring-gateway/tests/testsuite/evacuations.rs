//! Tests of the operators' orders that evacuate failure domains.

use fernring_gateway::{
    evacuations::{EvacuationOrder, Evacuations},
    position::Position,
};

fn order(offset: u64, is_in_force: bool) -> EvacuationOrder {
    EvacuationOrder { at: Position::new(0, offset), is_in_force }
}

#[test]
fn newest_order_applies_in_any_arrival_order() {
    let orders = [order(3, true), order(5, false), order(8, true), order(9, false)];
    for newest in 0..orders.len() {
        for first in 0..=newest {
            let mut evacuations = Evacuations::default();
            let mut shuffled: Vec<_> = orders[..=newest].to_vec();
            shuffled.rotate_left(first);
            for order in shuffled {
                evacuations.apply("a".into(), order);
            }
            assert_eq!(
                evacuations.is_evacuated("a"),
                orders[newest].is_in_force,
                "{newest} {first}"
            );
        }
    }
}

#[test]
fn known_order_changes_nothing() {
    let mut evacuations = Evacuations::default();
    assert!(evacuations.apply("a".into(), order(3, true)));
    assert!(!evacuations.apply("a".into(), order(3, true)));
    assert!(!evacuations.apply("a".into(), order(4, true)), "the same order again");
    assert!(!evacuations.apply("b".into(), order(5, false)), "the domain wasn't evacuated");
    assert!(evacuations.apply("a".into(), order(6, false)));
    assert_eq!(evacuations.evacuated_count(), 0);
}

#[test]
fn full_read_withdraws_missing_orders() {
    let mut evacuations = Evacuations::default();
    evacuations.apply("a".into(), order(3, true));
    evacuations.apply("b".into(), order(4, true));
    let changed =
        evacuations.replace_all(vec![("c".into(), Position::new(0, 6))], Position::new(0, 7));
    assert_eq!(changed.len(), 3);
    assert!(
        evacuations.is_evacuated("c")
            && !evacuations.is_evacuated("a")
            && !evacuations.is_evacuated("b")
    );
    // An outdated order from a peer changes nothing.
    assert!(!evacuations.apply("a".into(), order(3, true)));
}

#[test]
fn order_after_full_read_stays() {
    let mut evacuations = Evacuations::default();
    evacuations.apply("a".into(), order(9, true));
    assert!(evacuations.replace_all(Vec::new(), Position::new(0, 9)).is_empty());
    assert!(evacuations.is_evacuated("a"));
}

#[test]
fn evacuation_missing_from_backup_stays_until_new_order() {
    let mut evacuations = Evacuations::default();
    evacuations.apply("a".into(), order(30, true));
    assert!(evacuations.replace_all(Vec::new(), Position::new(1, 20)).is_empty());
    assert!(evacuations.is_evacuated("a"));
    let at = Position::new(1, 21);
    assert!(evacuations.apply("a".into(), EvacuationOrder { at, is_in_force: false }));
    assert!(!evacuations.is_evacuated("a"));
}

#[test]
fn many_orders_never_displace_one_in_force() {
    let mut evacuations = Evacuations::default();
    evacuations.apply("a".into(), order(0, true));
    for number in 1..10_000 {
        evacuations.apply(format!("d{number}").into(), order(number, false));
    }
    assert!(evacuations.is_evacuated("a"));
    assert!(evacuations.orders().count() < 300);
}

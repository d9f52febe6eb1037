//! Which failure domains are evacuated.

use fernring_gateway::{
    evacuations::{EvacuationOrder, Evacuations},
    position::Position,
};

fn word(offset: u64, is_in_force: bool) -> EvacuationOrder {
    EvacuationOrder { at: Position::new(0, offset), is_in_force }
}

#[test]
fn the_newest_word_holds_whichever_way_and_in_which_order_it_comes() {
    let words = [word(3, true), word(5, false), word(8, true), word(9, false)];
    for newest in 0..words.len() {
        for first in 0..=newest {
            let mut evacuations = Evacuations::default();
            let mut order: Vec<_> = words[..=newest].to_vec();
            order.rotate_left(first);
            for word in order {
                evacuations.apply("a".into(), word);
            }
            assert_eq!(
                evacuations.is_evacuated("a"),
                words[newest].is_in_force,
                "{newest} {first}"
            );
        }
    }
}

#[test]
fn a_word_that_is_known_is_no_news() {
    let mut evacuations = Evacuations::default();
    assert!(evacuations.apply("a".into(), word(3, true)));
    assert!(!evacuations.apply("a".into(), word(3, true)));
    assert!(!evacuations.apply("a".into(), word(4, true)), "said once more");
    assert!(!evacuations.apply("b".into(), word(5, false)), "it wasn't evacuated");
    assert!(evacuations.apply("a".into(), word(6, false)));
    assert_eq!(evacuations.evacuated_count(), 0);
}

#[test]
fn what_a_whole_reading_lacks_was_taken_back() {
    let mut evacuations = Evacuations::default();
    evacuations.apply("a".into(), word(3, true));
    evacuations.apply("b".into(), word(4, true));
    let changed =
        evacuations.replace_all(vec![("c".into(), Position::new(0, 6))], Position::new(0, 7));
    assert_eq!(changed.len(), 3);
    assert!(
        evacuations.is_evacuated("c")
            && !evacuations.is_evacuated("a")
            && !evacuations.is_evacuated("b")
    );
    // A peer that hasn't read that yet changes nothing.
    assert!(!evacuations.apply("a".into(), word(3, true)));
}

#[test]
fn a_word_from_after_a_whole_reading_stays() {
    let mut evacuations = Evacuations::default();
    evacuations.apply("a".into(), word(9, true));
    assert!(evacuations.replace_all(Vec::new(), Position::new(0, 9)).is_empty());
    assert!(evacuations.is_evacuated("a"));
}

#[test]
fn an_evacuation_that_the_copy_lacks_holds_until_the_operator_says_something_new() {
    let mut evacuations = Evacuations::default();
    evacuations.apply("a".into(), word(30, true));
    assert!(evacuations.replace_all(Vec::new(), Position::new(1, 20)).is_empty());
    assert!(evacuations.is_evacuated("a"));
    let at = Position::new(1, 21);
    assert!(evacuations.apply("a".into(), EvacuationOrder { at, is_in_force: false }));
    assert!(!evacuations.is_evacuated("a"));
}

#[test]
fn words_on_domains_without_number_fill_nothing_and_push_out_none_that_is_in_force() {
    let mut evacuations = Evacuations::default();
    evacuations.apply("a".into(), word(0, true));
    for number in 1..10_000 {
        evacuations.apply(format!("d{number}").into(), word(number, false));
    }
    assert!(evacuations.is_evacuated("a"));
    assert!(evacuations.orders().count() < 300);
}

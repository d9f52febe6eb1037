//! The makers of a stage service: their room, and those that are slow.

use {
    fernring_gateway::{
        makers::{Kept, MakerSet, overdue_after, usual_time},
        model::{BatchConfig, UpstreamKey},
    },
    slotmap::SlotMap,
    std::time::Duration,
};

const NOW: Duration = Duration::from_secs(100);
const CALL: Duration = Duration::from_millis(200);
const SHAPE: BatchConfig = BatchConfig {
    pieces_max: 8,
    call_time: CALL,
    piece_time: Duration::from_millis(10),
    result_capacity_bytes: 1_000,
    result_lifetime: Duration::from_secs(4),
};

fn keys(count: usize) -> Vec<UpstreamKey> {
    let mut keys: SlotMap<UpstreamKey, ()> = SlotMap::with_key();
    (0..count).map(|_| keys.insert(())).collect()
}

fn free(set: &mut MakerSet, now: Duration, keys: &[UpstreamKey]) -> Vec<UpstreamKey> {
    set.free(now, keys, &SHAPE).into_iter().map(|(key, _)| key).collect()
}

fn kept(bytes: u64, asker: u16) -> Kept {
    Kept { bytes, made_at: NOW, asker: ([10, 0, 0, 1], asker).into() }
}

#[test]
fn a_maker_has_one_call_at_a_time() {
    let keys = keys(2);
    let mut set = MakerSet::default();
    set.of(keys[0]).unwrap().call_began(NOW + CALL, 100);
    assert_eq!(free(&mut set, NOW, &keys), [keys[1]]);
    set.get_mut(keys[0]).unwrap().call_ended(100);
    assert_eq!(free(&mut set, NOW, &keys), keys);
}

#[test]
fn room_is_what_results_leave_until_they_are_given_up_or_lapse() {
    let keys = keys(1);
    let mut set = MakerSet::default();
    let room = |set: &mut MakerSet, now| set.free(now, &keys, &SHAPE)[0].1;
    assert_eq!(room(&mut set, NOW), 1_000);
    let maker = set.of(keys[0]).unwrap();
    maker.keep("h/1".into(), kept(300, 1));
    maker.keep("h/2".into(), kept(200, 2));
    assert_eq!(maker.asked_by(([10, 0, 0, 1], 1).into()).count(), 1);
    assert_eq!(room(&mut set, NOW), 500);
    set.get_mut(keys[0]).unwrap().forget("h/1");
    assert_eq!(room(&mut set, NOW), 800);
    assert_eq!(room(&mut set, NOW + SHAPE.result_lifetime), 1_000);
}

/// Replays the time after all nodes were lost: results that nobody knows fill a maker and lapse bit by bit.
#[test]
fn room_that_something_else_takes_is_believed_to_come_free_step_by_step() {
    let keys = keys(1);
    let mut set = MakerSet::default();
    let maker = set.of(keys[0]).unwrap();
    assert!(maker.had_no_room(NOW, &SHAPE));
    assert!(!maker.had_no_room(NOW, &SHAPE), "said once");
    let step = CALL.mul_f64(1.25);
    let mut room_after = |steps: u32| set.free(NOW + step * steps, &keys, &SHAPE)[0].1;
    assert_eq!([0, 1, 2, 3].map(&mut room_after), [0, 500, 750, 875]);
    let maker = set.get_mut(keys[0]).unwrap();
    assert!(maker.had_no_room(NOW + step * 3, &SHAPE), "what was given free is taken after all");
    let mut room_after = |steps: u32| set.free(NOW + step * steps, &keys, &SHAPE)[0].1;
    assert_eq!([3, 4, 5, 6, 7, 8].map(&mut room_after), [0, 500, 750, 875, 938, 1_000]);
}

#[test]
fn a_maker_that_is_slow_twice_in_a_row_is_left_out_for_a_while() {
    let keys = keys(2);
    let mut set = MakerSet::default();
    let took = |set: &mut MakerSet, times: u32| {
        set.of(keys[0]).unwrap().took(NOW, CALL * times, CALL);
    };
    took(&mut set, 5);
    assert_eq!(free(&mut set, NOW, &keys), keys, "one slow call says little");
    took(&mut set, 5);
    assert_eq!(free(&mut set, NOW, &keys), [keys[1]]);
    assert_eq!(free(&mut set, NOW, &keys[..1]), keys[..1], "unless nothing else is there");
    assert_eq!(free(&mut set, NOW + Duration::from_secs(2), &keys), keys, "then it is tried again");
    took(&mut set, 1);
    assert_eq!(free(&mut set, NOW, &keys), keys);
}

#[test]
fn a_call_behind_another_is_not_overdue() {
    for pieces in 1..=8 {
        assert!(overdue_after(&SHAPE, pieces) > usual_time(&SHAPE, pieces) * 2, "{pieces}");
        assert!(overdue_after(&SHAPE, pieces) < usual_time(&SHAPE, pieces) * 3, "{pieces}");
    }
}

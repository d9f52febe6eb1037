//! Which pieces go into a call.

use {
    fernring_gateway::{
        backlog::{Backlog, RANKS},
        batching::{BatchQueue, Bound, Makers, Taker, Task},
        content::ContentKey,
        model::{BatchConfig, Piece, PieceInput},
        residency::Residency,
        settings::DecideSettings,
    },
    std::{net::SocketAddr, time::Duration},
};

const NOW: Duration = Duration::from_secs(100);
const RULES: DecideSettings = DecideSettings::ALL;

/// A service whose makers have nothing to do.
fn idle() -> Backlog {
    Backlog { rate_per_s: 20.0, ..Backlog::default() }
}

/// Pieces a second that come, all of the first rank.
fn coming(per_s: f64) -> [f64; RANKS] {
    let mut ranks = [0.0; RANKS];
    ranks[0] = per_s;
    ranks
}

fn shape() -> BatchConfig {
    BatchConfig {
        pieces_max: 4,
        call_time: Duration::from_millis(150),
        piece_time: Duration::from_millis(10),
        result_capacity_bytes: 10_000,
        result_lifetime: Duration::from_secs(4),
    }
}

fn task(work: u64, due_ms: u64) -> Task {
    Task {
        work,
        content: ContentKey::of(None, &work.to_string(), b""),
        is_apart: false,
        piece: Piece {
            request_id: work.to_string().into(),
            stage: 0,
            number: 0,
            input: PieceInput::Key("k".into()),
            remaining: Duration::ZERO,
        },
        due_at: NOW + Duration::from_millis(due_ms),
        near: None,
        deadline_at: NOW + Duration::from_secs(10),
        priority: 0,
        result_bytes: 100,
        residency: Residency::default(),
        asker: SocketAddr::from(([10, 0, 0, 1], 1)),
        calls: 0,
    }
}

/// A maker of a service that has no other.
fn at(failure_domain: &str, room_bytes: u64) -> Taker<'_> {
    Taker { failure_domain, room_bytes, makers: 1 }
}

fn queue(tasks: impl IntoIterator<Item = Task>) -> BatchQueue {
    let mut queue = BatchQueue::default();
    tasks.into_iter().for_each(|task| queue.push(task));
    queue
}

fn no_makers(_: &str) -> Option<Makers> {
    None
}

fn take(queue: &mut BatchQueue, room_bytes: u64) -> Vec<u64> {
    let taken = queue.take(NOW, &shape(), at("a", room_bytes), &RULES, no_makers);
    taken.tasks.iter().map(|task| task.work).collect()
}

#[test]
fn the_earliest_due_go_first_and_a_call_holds_no_more_than_it_may() {
    let mut queue = queue((1..=6).map(|work| task(work, 5_000 - work * 100)));
    assert_eq!(take(&mut queue, 10_000).len(), 4);
    assert_eq!(queue.len(), 2);
    let mut left = take(&mut queue, 10_000);
    left.sort_unstable();
    assert_eq!(left, [1, 2], "those due last");
}

#[test]
fn what_can_be_in_time_goes_before_what_cannot() {
    let mut queue = queue([task(1, 50), task(2, 900)]);
    let taken = queue.take(
        NOW,
        &BatchConfig { pieces_max: 1, ..shape() },
        at("a", 10_000),
        &RULES,
        no_makers,
    );
    assert_eq!(taken.tasks[0].work, 2);
}

#[test]
fn a_request_of_higher_rank_goes_first_when_due_at_the_same_time() {
    let low = Task { priority: 2, ..task(1, 900) };
    let mut queue = queue([low, task(2, 900)]);
    let taken = queue.take(
        NOW,
        &BatchConfig { pieces_max: 1, ..shape() },
        at("a", 10_000),
        &RULES,
        no_makers,
    );
    assert_eq!(taken.tasks[0].work, 2);
}

#[test]
fn a_begun_work_is_finished_before_others_begin() {
    let begun = (0..6).map(|_| task(1, 50));
    let mut queue = queue(begun);
    assert_eq!(take(&mut queue, 10_000), [1; 4]);
    queue.push(task(2, 900));
    let taken = take(&mut queue, 10_000);
    assert_eq!(taken[..2], [1, 1], "results of the first half would wait for nothing");
}

#[test]
fn room_for_results_is_never_exceeded() {
    let mut queue = queue((1..=4).map(|work| task(work, 900)));
    assert_eq!(take(&mut queue, 250).len(), 2);
    assert_eq!(take(&mut queue, 50).len(), 0);
    assert_eq!(queue.len(), 2);
}

#[test]
fn a_large_result_is_left_to_a_maker_near_its_reader_while_there_is_time() {
    let far = |due_ms| Task { near: Some("b".into()), ..task(1, due_ms) };
    let makers = |domain: &str| {
        (domain == "b").then_some(Makers { count: 1, free_at: NOW + Duration::from_millis(100) })
    };
    let mut patient = queue([far(900)]);
    assert!(patient.take(NOW, &shape(), at("a", 10_000), &RULES, makers).tasks.is_empty());
    assert_eq!(patient.take(NOW, &shape(), at("b", 10_000), &RULES, makers).tasks.len(), 1);
    let mut urgent = queue([far(200)]);
    assert_eq!(urgent.take(NOW, &shape(), at("a", 10_000), &RULES, makers).tasks.len(), 1);
    let mut alone = queue([far(900)]);
    assert_eq!(
        alone.take(NOW, &shape(), at("a", 10_000), &RULES, no_makers).tasks.len(),
        1,
        "no maker is there"
    );
}

#[test]
fn cancelled_and_expired_pieces_are_not_made() {
    let expired = Task { deadline_at: NOW + Duration::from_millis(100), ..task(1, 900) };
    let mut queue = queue([expired, task(2, 900), task(3, 900)]);
    queue.cancel(2);
    let gone: Vec<_> =
        queue.take_expired(NOW, &shape(), &idle(), &RULES).iter().map(|task| task.work).collect();
    assert_eq!(gone, [1]);
    assert_eq!(take(&mut queue, 10_000), [3]);
    assert!(queue.is_empty());
}

#[test]
fn a_maker_takes_what_is_read_near_it_before_what_is_read_elsewhere() {
    let read_in =
        |work, domain: &str, due_ms| Task { near: Some(domain.into()), ..task(work, due_ms) };
    let one = BatchConfig { pieces_max: 1, ..shape() };
    let mut queue_at_hand = queue([read_in(1, "b", 900), read_in(2, "a", 1_050)]);
    assert_eq!(queue_at_hand.take(NOW, &one, at("a", 10_000), &RULES, no_makers).tasks[0].work, 2);
    let mut urgent = queue([read_in(1, "b", 900), read_in(2, "a", 3_000)]);
    assert_eq!(
        urgent.take(NOW, &one, at("a", 10_000), &RULES, no_makers).tasks[0].work,
        1,
        "unless that is urgent"
    );
}

#[test]
fn a_piece_that_was_made_elsewhere_is_not_made_again() {
    let piece = |number| {
        let mut task = task(1, 900);
        task.piece.number = number;
        task
    };
    let mut queue = queue([piece(0), piece(1)]);
    queue.drop_piece(1, 0);
    let left = queue.take(NOW, &shape(), at("a", 10_000), &RULES, no_makers);
    assert_eq!(left.tasks.iter().map(|task| task.piece.number).collect::<Vec<_>>(), [1]);
}

/// Replays a crowd: works of three pieces wait while makers have room for seven, over and over. Pieces
/// of a work that were made apart would take room until the last one is made.
#[test]
fn a_work_goes_into_a_call_whole_unless_much_of_the_call_would_stay_empty() {
    let eight = BatchConfig { pieces_max: 8, ..shape() };
    let crowd = || queue((1..=4).flat_map(|work| (0..3).map(move |_| task(work, 900 + work * 10))));
    let works = |batch: &fernring_gateway::batching::Batch| -> Vec<u64> {
        batch.tasks.iter().map(|task| task.work).collect()
    };
    let mut roomy = crowd();
    let call = roomy.take(NOW, &eight, at("a", 700), &RULES, no_makers);
    assert_eq!(works(&call), [1, 1, 1, 2, 2, 2], "one place of seven stays empty");
    assert_eq!(call.bound, Bound::Places);
    let mut narrow = crowd();
    let call = narrow.take(NOW, &eight, at("a", 500), &RULES, no_makers);
    assert_eq!(works(&call), [1, 1, 1, 2, 2], "two of five would stay empty");
    let mut split = crowd();
    let rules = DecideSettings { whole_works: false, ..RULES };
    let call = split.take(NOW, &eight, at("a", 700), &rules, no_makers);
    assert_eq!(works(&call), [1, 1, 1, 2, 2, 2, 3]);
}

#[test]
fn a_call_says_what_ended_its_filling() {
    let bound = |room_bytes, works: u64| {
        let mut queue = queue((1..=works).map(|work| task(work, 900)));
        queue.take(NOW, &shape(), at("a", room_bytes), &RULES, no_makers).bound
    };
    assert_eq!(bound(10_000, 3), Bound::Empty);
    assert_eq!(bound(10_000, 9), Bound::Places);
    assert_eq!(bound(200, 9), Bound::Room);
    let far = Task { near: Some("b".into()), ..task(1, 900) };
    let there = |_: &str| Some(Makers { count: 1, free_at: NOW });
    let call = queue([far]).take(NOW, &shape(), at("a", 10_000), &RULES, there);
    assert_eq!(call.bound, Bound::Domain);
}

/// Replays a crowd that doesn't thin out: a piece has missed its due time, and as many pieces come as can be
/// made. It would be kept, with the results that it needs, until its deadline.
#[test]
fn a_late_piece_is_given_up_when_nothing_is_left_for_it() {
    let crowded = Backlog { arrivals_per_s: coming(20.0), ..idle() };
    let expired = |backlog: &Backlog, rules: &DecideSettings| -> Vec<u64> {
        let mut queue = queue([task(1, 0), task(2, 900)]);
        queue.take_expired(NOW, &shape(), backlog, rules).iter().map(|task| task.work).collect()
    };
    assert_eq!(expired(&crowded, &RULES), [1]);
    assert_eq!(expired(&idle(), &RULES), [0; 0]);
    assert_eq!(expired(&crowded, &DecideSettings { give_up: false, ..RULES }), [0; 0]);
}

/// The same crowd: 30 pieces are late, and a quarter of the pace is left for them.
#[test]
fn late_pieces_are_kept_for_as_long_as_what_is_left_will_reach_them() {
    let backlog = Backlog { arrivals_per_s: coming(15.0), late: 30, ..idle() };
    let deadline = |work| Task { deadline_at: NOW + Duration::from_secs(4), ..task(work, 0) };
    let mut queue = queue((1..=30).map(deadline));
    let gone = queue.take_expired(NOW, &shape(), &backlog, &RULES);
    assert_eq!((queue.len(), gone.len()), (19, 11), "five a second, less the last call");
}

#[test]
fn waiting_pieces_are_counted_by_rank_and_late_ones_apart() {
    let low = Task { priority: 2, ..task(2, 900) };
    let queue = queue([task(1, 900), low.clone(), low, task(3, 0)]);
    let (in_time, late) = queue.counts(NOW, &shape());
    assert_eq!(in_time[..3], [1, 0, 2]);
    assert_eq!(late, 1);
}

/// Replays the calm of a large service: dozens of pieces wait at any moment, since dozens of makers are at work.
#[test]
fn what_counts_as_a_crowd_grows_with_the_makers() {
    let near_b = |work| Task { near: Some("b".into()), ..task(work, 60_000) };
    let waiting = 3 * shape().pieces_max as u64;
    let makers_in = |_: &str| Some(Makers { count: 8, free_at: NOW });
    let taken_far = |makers| {
        let mut queue = queue((0..waiting).map(near_b));
        queue
            .take(NOW, &shape(), Taker { makers, ..at("a", 1_000_000) }, &RULES, makers_in)
            .tasks
            .len()
    };
    assert_eq!(taken_far(41), 0, "makers near the readers have time for all");
    assert!(taken_far(5) > 0, "five makers have three calls' worth before them");
}

/// A maker ended under a call with pieces of three requests. Sent again together, they would end the next one, and nobody
/// would learn under which; so each goes into a call of its own.
#[test]
fn pieces_that_are_to_be_apart_go_into_calls_of_their_own() {
    let apart = |work, number| {
        let mut task = Task { is_apart: true, ..task(work, 1_000 + work) };
        task.piece.number = number;
        task
    };
    let mut queue = queue([apart(1, 0), apart(1, 1), apart(2, 0), task(3, 1_003), apart(4, 0)]);
    assert_eq!(take(&mut queue, 10_000), [1, 1], "both of one request");
    assert_eq!(take(&mut queue, 10_000), [2]);
    let batch = queue.take(NOW, &shape(), at("a", 10_000), &RULES, no_makers);
    assert_eq!(batch.tasks.iter().map(|task| task.work).collect::<Vec<_>>(), [3]);
    assert_eq!(batch.bound, Bound::Apart);
    assert_eq!(take(&mut queue, 10_000), [4]);
}

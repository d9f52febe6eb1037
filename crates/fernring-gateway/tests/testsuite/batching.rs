//! Selection of the pieces of a call.

use {
    fernring_gateway::{
        backlog::{Backlog, RANKS},
        batching::{BatchLimit, BatchQueue, QueuedPiece, TargetWorker},
        domain_preference::DomainWorkers,
        fingerprint::Fingerprint,
        model::{BatchConfig, Piece, PieceInput},
        residency::Residency,
        settings::DecideSettings,
    },
    std::{net::SocketAddr, time::Duration},
};

const NOW: Duration = Duration::from_secs(100);
const DECIDE_SETTINGS: DecideSettings = DecideSettings::ALL;

/// The backlog of a service with idle workers.
fn idle() -> Backlog {
    Backlog { rate_per_s: 20.0, ..Backlog::default() }
}

/// Arrivals in pieces per second, all of the first rank.
fn arrivals(per_s: f64) -> [f64; RANKS] {
    let mut ranks = [0.0; RANKS];
    ranks[0] = per_s;
    ranks
}

fn batch_config() -> BatchConfig {
    BatchConfig {
        pieces_max: 4,
        call_time: Duration::from_millis(150),
        piece_time: Duration::from_millis(10),
        result_capacity_bytes: 10_000,
        result_lifetime: Duration::from_secs(4),
    }
}

fn piece(work: u64, due_ms: u64) -> QueuedPiece {
    QueuedPiece {
        work,
        fingerprint: Fingerprint::of(None, &work.to_string(), b""),
        is_isolated: false,
        piece: Piece {
            request_id: work.to_string().into(),
            stage: 0,
            number: 0,
            input: PieceInput::Key("k".into()),
            remaining: Duration::ZERO,
        },
        due_at: NOW + Duration::from_millis(due_ms),
        consumer_domain: None,
        deadline_at: NOW + Duration::from_secs(10),
        priority: 0,
        result_bytes: 100,
        residency: Residency::default(),
        requester: SocketAddr::from(([10, 0, 0, 1], 1)),
        calls: 0,
    }
}

/// The only worker of a service.
fn worker_in(failure_domain: &str, free_bytes: u64) -> TargetWorker<'_> {
    TargetWorker { failure_domain, free_bytes, workers: 1, slowdown: None }
}

fn queue(pieces: impl IntoIterator<Item = QueuedPiece>) -> BatchQueue {
    let mut queue = BatchQueue::default();
    pieces.into_iter().for_each(|piece| queue.push(piece));
    queue
}

fn no_workers(_: &str) -> Option<DomainWorkers> {
    None
}

fn take(queue: &mut BatchQueue, free_bytes: u64) -> Vec<u64> {
    let taken = queue.take_batch(
        NOW,
        &batch_config(),
        worker_in("a", free_bytes),
        &DECIDE_SETTINGS,
        no_workers,
    );
    taken.pieces.iter().map(|piece| piece.work).collect()
}

#[test]
fn earliest_due_pieces_fill_a_call_first() {
    let mut queue = queue((1..=6).map(|work| piece(work, 5_000 - work * 100)));
    assert_eq!(take(&mut queue, 10_000).len(), 4);
    assert_eq!(queue.len(), 2);
    let mut left = take(&mut queue, 10_000);
    left.sort_unstable();
    assert_eq!(left, [1, 2], "the pieces due last");
}

#[test]
fn pieces_in_time_go_before_late_ones() {
    let mut queue = queue([piece(1, 50), piece(2, 900)]);
    let taken = queue.take_batch(
        NOW,
        &BatchConfig { pieces_max: 1, ..batch_config() },
        worker_in("a", 10_000),
        &DECIDE_SETTINGS,
        no_workers,
    );
    assert_eq!(taken.pieces[0].work, 2);
}

#[test]
fn higher_rank_goes_first_at_equal_due_time() {
    let low = QueuedPiece { priority: 2, ..piece(1, 900) };
    let mut queue = queue([low, piece(2, 900)]);
    let taken = queue.take_batch(
        NOW,
        &BatchConfig { pieces_max: 1, ..batch_config() },
        worker_in("a", 10_000),
        &DECIDE_SETTINGS,
        no_workers,
    );
    assert_eq!(taken.pieces[0].work, 2);
}

#[test]
fn started_work_is_finished_before_others_start() {
    let started = (0..6).map(|_| piece(1, 50));
    let mut queue = queue(started);
    assert_eq!(take(&mut queue, 10_000), [1; 4]);
    queue.push(piece(2, 900));
    let taken = take(&mut queue, 10_000);
    assert_eq!(taken[..2], [1, 1], "otherwise the results of the first half would stay unused");
}

#[test]
fn free_bytes_are_never_exceeded() {
    let mut queue = queue((1..=4).map(|work| piece(work, 900)));
    assert_eq!(take(&mut queue, 250).len(), 2);
    assert_eq!(take(&mut queue, 50).len(), 0);
    assert_eq!(queue.len(), 2);
}

#[test]
fn remote_result_is_left_to_its_consumer_domain_while_in_time() {
    let remote = |due_ms| QueuedPiece { consumer_domain: Some("b".into()), ..piece(1, due_ms) };
    let workers = |domain: &str| {
        (domain == "b")
            .then_some(DomainWorkers { count: 1, free_at: NOW + Duration::from_millis(100) })
    };
    let mut patient = queue([remote(900)]);
    assert!(
        patient
            .take_batch(NOW, &batch_config(), worker_in("a", 10_000), &DECIDE_SETTINGS, workers)
            .pieces
            .is_empty()
    );
    assert_eq!(
        patient
            .take_batch(NOW, &batch_config(), worker_in("b", 10_000), &DECIDE_SETTINGS, workers)
            .pieces
            .len(),
        1
    );
    let mut urgent = queue([remote(200)]);
    assert_eq!(
        urgent
            .take_batch(NOW, &batch_config(), worker_in("a", 10_000), &DECIDE_SETTINGS, workers)
            .pieces
            .len(),
        1
    );
    let mut alone = queue([remote(900)]);
    assert_eq!(
        alone
            .take_batch(NOW, &batch_config(), worker_in("a", 10_000), &DECIDE_SETTINGS, no_workers)
            .pieces
            .len(),
        1,
        "there are no workers in the consumer domain"
    );
}

#[test]
fn cancelled_and_expired_pieces_are_dropped() {
    let expired = QueuedPiece { deadline_at: NOW + Duration::from_millis(100), ..piece(1, 900) };
    let mut queue = queue([expired, piece(2, 900), piece(3, 900)]);
    queue.cancel(2);
    let expired_works: Vec<_> = queue
        .take_expired(NOW, &batch_config(), &idle(), 0, &DECIDE_SETTINGS)
        .iter()
        .map(|piece| piece.work)
        .collect();
    assert_eq!(expired_works, [1]);
    assert_eq!(take(&mut queue, 10_000), [3]);
    assert!(queue.is_empty());
}

#[test]
fn worker_prefers_pieces_read_in_its_domain() {
    let read_in = |work, domain: &str, due_ms| QueuedPiece {
        consumer_domain: Some(domain.into()),
        ..piece(work, due_ms)
    };
    let one = BatchConfig { pieces_max: 1, ..batch_config() };
    let mut local_queue = queue([read_in(1, "b", 900), read_in(2, "a", 1_050)]);
    assert_eq!(
        local_queue
            .take_batch(NOW, &one, worker_in("a", 10_000), &DECIDE_SETTINGS, no_workers)
            .pieces[0]
            .work,
        2
    );
    let mut urgent = queue([read_in(1, "b", 900), read_in(2, "a", 3_000)]);
    assert_eq!(
        urgent.take_batch(NOW, &one, worker_in("a", 10_000), &DECIDE_SETTINGS, no_workers).pieces
            [0]
        .work,
        1,
        "unless the other piece is more urgent"
    );
}

#[test]
fn removed_piece_is_not_taken() {
    let piece = |number| {
        let mut piece = piece(1, 900);
        piece.piece.number = number;
        piece
    };
    let mut queue = queue([piece(0), piece(1)]);
    queue.remove_piece(1, 0);
    let left = queue.take_batch(
        NOW,
        &batch_config(),
        worker_in("a", 10_000),
        &DECIDE_SETTINGS,
        no_workers,
    );
    assert_eq!(left.pieces.iter().map(|piece| piece.piece.number).collect::<Vec<_>>(), [1]);
}

/// Replays a burst: works of three pieces are queued while workers have free bytes for seven
/// results, over and over. The results of a work that is split over calls would take space until
/// its last piece is completed.
#[test]
fn work_is_split_only_to_fill_a_call() {
    let eight = BatchConfig { pieces_max: 8, ..batch_config() };
    let burst =
        || queue((1..=4).flat_map(|work| (0..3).map(move |_| piece(work, 900 + work * 10))));
    let works = |batch: &fernring_gateway::batching::Batch| -> Vec<u64> {
        batch.pieces.iter().map(|piece| piece.work).collect()
    };
    let mut roomy = burst();
    let call = roomy.take_batch(NOW, &eight, worker_in("a", 700), &DECIDE_SETTINGS, no_workers);
    assert_eq!(works(&call), [1, 1, 1, 2, 2, 2], "one slot of seven stays empty");
    assert_eq!(call.limit, BatchLimit::Slots);
    let mut small = burst();
    let call = small.take_batch(NOW, &eight, worker_in("a", 500), &DECIDE_SETTINGS, no_workers);
    assert_eq!(works(&call), [1, 1, 1, 2, 2], "two of five would stay empty");
    let mut splitting = burst();
    let decide_settings = DecideSettings { whole_works: false, ..DECIDE_SETTINGS };
    let call = splitting.take_batch(NOW, &eight, worker_in("a", 700), &decide_settings, no_workers);
    assert_eq!(works(&call), [1, 1, 1, 2, 2, 2, 3]);
}

#[test]
fn batch_reports_its_limit() {
    let limit = |free_bytes, works: u64| {
        let mut queue = queue((1..=works).map(|work| piece(work, 900)));
        queue
            .take_batch(
                NOW,
                &batch_config(),
                worker_in("a", free_bytes),
                &DECIDE_SETTINGS,
                no_workers,
            )
            .limit
    };
    assert_eq!(limit(10_000, 3), BatchLimit::Empty);
    assert_eq!(limit(10_000, 9), BatchLimit::Slots);
    assert_eq!(limit(200, 9), BatchLimit::FreeBytes);
    let remote = QueuedPiece { consumer_domain: Some("b".into()), ..piece(1, 900) };
    let workers_in = |_: &str| Some(DomainWorkers { count: 1, free_at: NOW });
    let call = queue([remote]).take_batch(
        NOW,
        &batch_config(),
        worker_in("a", 10_000),
        &DECIDE_SETTINGS,
        workers_in,
    );
    assert_eq!(call.limit, BatchLimit::ConsumerDomain);
}

/// Replays a burst that doesn't end: a piece has missed its due time, and pieces arrive as fast as
/// they are completed. It would be kept, with the results that it needs, until its deadline.
#[test]
fn late_piece_is_dropped_without_remaining_rate() {
    let overloaded = Backlog { arrivals_per_s: arrivals(20.0), ..idle() };
    let expired = |backlog: &Backlog, decide_settings: &DecideSettings| -> Vec<u64> {
        let mut queue = queue([piece(1, 0), piece(2, 900)]);
        queue
            .take_expired(NOW, &batch_config(), backlog, 0, decide_settings)
            .iter()
            .map(|piece| piece.work)
            .collect()
    };
    assert_eq!(expired(&overloaded, &DECIDE_SETTINGS), [1]);
    assert_eq!(expired(&idle(), &DECIDE_SETTINGS), [0; 0]);
    assert_eq!(expired(&overloaded, &DecideSettings { give_up: false, ..DECIDE_SETTINGS }), [0; 0]);
}

/// The same burst: 30 pieces are late, and a quarter of the rate is left for them.
#[test]
fn late_pieces_are_kept_while_remaining_rate_reaches_them() {
    let backlog = Backlog { arrivals_per_s: arrivals(15.0), late: 30, ..idle() };
    let piece_with_deadline =
        |work| QueuedPiece { deadline_at: NOW + Duration::from_secs(4), ..piece(work, 0) };
    let mut queue = queue((1..=30).map(piece_with_deadline));
    let expired_works = queue.take_expired(NOW, &batch_config(), &backlog, 0, &DECIDE_SETTINGS);
    assert_eq!((queue.len(), expired_works.len()), (19, 11), "five per second, less the last call");
}

/// The same burst leaves no rate for late pieces, but a worker is free.
#[test]
fn late_pieces_are_kept_for_a_free_worker() {
    let backlog = Backlog { arrivals_per_s: arrivals(20.0), late: 6, ..idle() };
    let piece_with_deadline =
        |work| QueuedPiece { deadline_at: NOW + Duration::from_secs(4), ..piece(work, 0) };
    let mut queue = queue((1..=6).map(piece_with_deadline));
    let free_slots = batch_config().pieces_max;
    let expired = queue.take_expired(NOW, &batch_config(), &backlog, free_slots, &DECIDE_SETTINGS);
    assert_eq!((queue.len(), expired.len()), (4, 2), "the call that can start now holds four");
}

#[test]
fn pieces_are_counted_by_rank_and_late_ones_separately() {
    let low = QueuedPiece { priority: 2, ..piece(2, 900) };
    let queue = queue([piece(1, 900), low.clone(), low, piece(3, 0)]);
    let (in_time, late) = queue.count_waiting(NOW, &batch_config());
    assert_eq!(in_time[..3], [1, 0, 2]);
    assert_eq!(late, 1);
}

/// Replays a large service at low load: dozens of pieces are queued at any moment, since dozens of
/// workers are busy.
#[test]
fn overload_threshold_grows_with_workers() {
    let read_in_b = |work| QueuedPiece { consumer_domain: Some("b".into()), ..piece(work, 60_000) };
    let waiting = 3 * batch_config().pieces_max as u64;
    let workers_in = |_: &str| Some(DomainWorkers { count: 8, free_at: NOW });
    let taken_in_a = |workers| {
        let mut queue = queue((0..waiting).map(read_in_b));
        queue
            .take_batch(
                NOW,
                &batch_config(),
                TargetWorker { workers, ..worker_in("a", 1_000_000) },
                &DECIDE_SETTINGS,
                workers_in,
            )
            .pieces
            .len()
    };
    assert_eq!(taken_in_a(41), 0, "workers in the consumer domain can complete all in time");
    assert!(taken_in_a(5) > 0, "five workers are overloaded by three calls' worth");
}

/// A worker crashed under a call with pieces of three requests. Sent together again, they would
/// crash the next worker, and the responsible request would stay unknown; so each goes into a call
/// of its own.
#[test]
fn isolated_requests_get_calls_of_their_own() {
    let isolated = |work, number| {
        let mut piece = QueuedPiece { is_isolated: true, ..piece(work, 1_000 + work) };
        piece.piece.number = number;
        piece
    };
    let mut queue =
        queue([isolated(1, 0), isolated(1, 1), isolated(2, 0), piece(3, 1_003), isolated(4, 0)]);
    assert_eq!(take(&mut queue, 10_000), [1, 1], "both pieces of one request");
    assert_eq!(take(&mut queue, 10_000), [2]);
    let batch = queue.take_batch(
        NOW,
        &batch_config(),
        worker_in("a", 10_000),
        &DECIDE_SETTINGS,
        no_workers,
    );
    assert_eq!(batch.pieces.iter().map(|piece| piece.work).collect::<Vec<_>>(), [3]);
    assert_eq!(batch.limit, BatchLimit::Isolation);
    assert_eq!(take(&mut queue, 10_000), [4]);
}

//! The workers of a stage service: their free bytes, and slow workers.

use {
    fernring_gateway::{
        model::{BatchConfig, UpstreamKey},
        worker_speeds::Slowdown,
        workers::{StoredResult, WorkerSet, expected_call_time, overdue_after},
    },
    slotmap::SlotMap,
    std::{fs, time::Duration},
};

const NOW: Duration = Duration::from_secs(100);
const CALL: Duration = Duration::from_millis(200);
const BATCH_CONFIG: BatchConfig = BatchConfig {
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

fn free_keys(set: &mut WorkerSet, now: Duration, keys: &[UpstreamKey]) -> Vec<UpstreamKey> {
    set.free_workers(now, keys, &BATCH_CONFIG, true).into_iter().map(|(key, _)| key).collect()
}

fn result(bytes: u64, port: u16) -> StoredResult {
    StoredResult { bytes, produced_at: NOW, requester: ([10, 0, 0, 1], port).into() }
}

#[test]
fn worker_has_one_call_at_a_time() {
    let keys = keys(2);
    let mut set = WorkerSet::default();
    set.get_or_create(keys[0]).unwrap().record_call_start(NOW + CALL, 100);
    assert_eq!(free_keys(&mut set, NOW, &keys), [keys[1]]);
    set.get_mut(keys[0]).unwrap().record_call_end(100);
    assert_eq!(free_keys(&mut set, NOW, &keys), keys);
}

#[test]
fn results_take_bytes_until_released_or_expired() {
    let keys = keys(1);
    let mut set = WorkerSet::default();
    let free_bytes =
        |set: &mut WorkerSet, now| set.free_workers(now, &keys, &BATCH_CONFIG, true)[0].1;
    assert_eq!(free_bytes(&mut set, NOW), 1_000);
    let worker = set.get_or_create(keys[0]).unwrap();
    worker.add_result("h/1".into(), result(300, 1));
    worker.add_result("h/2".into(), result(200, 2));
    assert_eq!(worker.results_requested_by(([10, 0, 0, 1], 1).into()).count(), 1);
    assert_eq!(free_bytes(&mut set, NOW), 500);
    set.get_mut(keys[0]).unwrap().remove_result("h/1");
    assert_eq!(free_bytes(&mut set, NOW), 800);
    assert_eq!(free_bytes(&mut set, NOW + BATCH_CONFIG.result_lifetime), 1_000);
}

/// Replays the time after the loss of all nodes: unknown results fill a worker and expire
/// gradually.
#[test]
fn unknown_bytes_are_assumed_free_step_by_step() {
    let keys = keys(1);
    let mut set = WorkerSet::default();
    let worker = set.get_or_create(keys[0]).unwrap();
    assert!(worker.record_capacity_refusal(NOW, &BATCH_CONFIG));
    assert!(!worker.record_capacity_refusal(NOW, &BATCH_CONFIG), "reported as new only once");
    let step = CALL.mul_f64(1.25);
    let mut free_bytes_after =
        |steps: u32| set.free_workers(NOW + step * steps, &keys, &BATCH_CONFIG, true)[0].1;
    assert_eq!([0, 1, 2, 3].map(&mut free_bytes_after), [0, 500, 750, 875]);
    let worker = set.get_mut(keys[0]).unwrap();
    assert!(
        worker.record_capacity_refusal(NOW + step * 3, &BATCH_CONFIG),
        "the bytes assumed free are taken after all"
    );
    let mut free_bytes_after =
        |steps: u32| set.free_workers(NOW + step * steps, &keys, &BATCH_CONFIG, true)[0].1;
    assert_eq!([3, 4, 5, 6, 7, 8].map(&mut free_bytes_after), [0, 500, 750, 875, 938, 1_000]);
}

#[test]
fn worker_is_left_out_after_two_slow_calls() {
    let keys = keys(2);
    let mut set = WorkerSet::default();
    let record_calls = |set: &mut WorkerSet, times: u32| {
        set.get_or_create(keys[0]).unwrap().record_call_time(
            NOW,
            CALL * times,
            CALL,
            &BATCH_CONFIG,
        );
    };
    record_calls(&mut set, 5);
    assert_eq!(free_keys(&mut set, NOW, &keys), keys, "one slow call is not enough");
    record_calls(&mut set, 5);
    assert_eq!(free_keys(&mut set, NOW, &keys), [keys[1]]);
    assert_eq!(free_keys(&mut set, NOW, &keys[..1]), keys[..1], "unless there is no other worker");
    assert_eq!(
        free_keys(&mut set, NOW + Duration::from_secs(2), &keys),
        keys,
        "after a while it is tried again"
    );
    record_calls(&mut set, 1);
    assert_eq!(free_keys(&mut set, NOW, &keys), keys);
}

#[test]
fn call_queued_behind_another_is_not_overdue() {
    for pieces in 1..=8 {
        assert!(
            overdue_after(&BATCH_CONFIG, pieces, Slowdown::NONE)
                > expected_call_time(&BATCH_CONFIG, pieces) * 2,
            "{pieces}"
        );
        assert!(
            overdue_after(&BATCH_CONFIG, pieces, Slowdown::NONE)
                < expected_call_time(&BATCH_CONFIG, pieces) * 3,
            "{pieces}"
        );
    }
}

/// Returns the processor time that this thread has used, in steps of a scheduler tick.
fn processor_time() -> Duration {
    let stat = fs::read_to_string("/proc/thread-self/schedstat").expect("the kernel counts it");
    let nanos = stat.split(' ').next().and_then(|nanos| nanos.parse().ok());
    Duration::from_nanos(nanos.expect("the first field is a number"))
}

/// An owner at 7,000 results a second looked through those of the last 30 s for each submitted stage
/// and each finished call, until it had no processor time left.
#[test]
fn owner_runs_out_of_processor_time_after_many_results() {
    const WORKERS: usize = 42;
    const RESULTS_PER_S: usize = 7_000;
    const STORED_S: f64 = 0.5;
    const GIVEN_S: usize = 29;
    const ROUNDS_PER_S: usize = 700;
    /// Processor time per second of the smallest VMs.
    const BUDGET: Duration = Duration::from_millis(120);
    let keys = keys(WORKERS);
    let mut set = WorkerSet::default();
    let stored_from = RESULTS_PER_S * GIVEN_S - (RESULTS_PER_S as f64 * STORED_S) as usize;
    for number in 0..RESULTS_PER_S * GIVEN_S {
        let at = NOW + Duration::from_secs_f64(number as f64 / RESULTS_PER_S as f64);
        let handle = format!("10.2.0.48:8503/{number}").into();
        let worker = set.get_or_create(keys[number % WORKERS]).unwrap();
        assert!(worker.record_handles(at, &[&handle]));
        if number >= stored_from {
            worker.add_result(handle, StoredResult { produced_at: at, ..result(1, 1) });
        }
    }
    let now = NOW + Duration::from_secs(GIVEN_S as u64);
    let before = processor_time();
    for _ in 0..ROUNDS_PER_S {
        assert_eq!(free_keys(&mut set, now, &keys).len(), WORKERS);
    }
    let took = processor_time() - before;
    assert!(took < BUDGET, "{ROUNDS_PER_S} rounds took {took:?}");
}

/// A response that repeats a handle is recognised for 30 s after the last one that held it.
#[test]
fn given_handles_are_remembered_since_they_were_last_seen() {
    let keys = keys(1);
    let mut set = WorkerSet::default();
    let handle = "10.2.0.48:8503/1".into();
    let is_new_after = |set: &mut WorkerSet, s: u64| {
        let now = NOW + Duration::from_secs(s);
        set.free_workers(now, &keys, &BATCH_CONFIG, true);
        set.get_or_create(keys[0]).unwrap().record_handles(now, &[&handle])
    };
    assert_eq!([0, 29, 58, 88].map(|s| is_new_after(&mut set, s)), [true, false, false, true]);
}

#[test]
fn result_that_is_added_again_takes_its_bytes_once() {
    let keys = keys(1);
    let mut set = WorkerSet::default();
    let worker = set.get_or_create(keys[0]).unwrap();
    worker.add_result("h/1".into(), result(300, 1));
    worker.add_result("h/1".into(), result(200, 1));
    assert_eq!(worker.used_bytes(), 200);
    worker.remove_result("h/1");
    worker.remove_result("h/1");
    assert_eq!(worker.used_bytes(), 0);
    let expires_at = NOW + BATCH_CONFIG.result_lifetime;
    assert_eq!(set.free_workers(expires_at, &keys, &BATCH_CONFIG, true), [(keys[0], 1_000)]);
}

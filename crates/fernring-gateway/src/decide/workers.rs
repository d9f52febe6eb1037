//! State that the owner of a stage service keeps of its workers, the upstreams that work on pieces.
//! No I/O.

use {
    crate::{
        expiring_map::ExpiringMap,
        model::{BatchConfig, UpstreamKey},
        worker_speeds::{CallTimes, Slowdown},
    },
    slotmap::SecondaryMap,
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// Number of calls' time after which half of the bytes taken by unknown results are assumed to be
/// free again. After the loss of all nodes, earlier results occupy a worker for their whole
/// lifetime; a worker that is filled up again and again makes calls for only a few pieces.
const UNKNOWN_HALF_LIFE_CALLS: f64 = 1.25;
/// Unknown bytes below a worker's capacity divided by this are ignored.
const UNKNOWN_DIVISOR: u64 = 16;
/// Factor of a call's expected time beyond which its pieces are given to another worker as well.
/// A call that is queued behind the call of another owner takes twice its time, and the pieces of
/// some stages take longer than configured; neither is a reason for a second call.
const OVERDUE_FACTOR: f64 = 2.2;
/// Additional time before a call is overdue: connecting, and fetching inputs.
const OVERDUE_GRACE: Duration = Duration::from_millis(100);
/// Factor of a call's expected time beyond which the call counts as slow.
const SLOW_FACTOR: f64 = 2.5;
/// Number of consecutive slow calls after which a worker counts as slow: a single slow call may
/// have waited for the call of another owner, or for inputs.
const SLOW_CALLS_MIN: u32 = 2;
/// How long a slow worker is left out before it is tried again.
const SLOW_TIME: Duration = Duration::from_millis(1_500);

/// How long a handle is remembered, by which a late repetition of a response is recognised: longer
/// than connections are kept open while they are idle.
const GIVEN_HANDLE_LIFETIME: Duration = Duration::from_secs(30);

/// A result that is stored at its worker.
#[derive(Debug)]
pub struct StoredResult {
    /// Size in bytes.
    pub bytes: u64,
    /// Time at which it was produced.
    pub produced_at: Duration,
    /// The node that requested it.
    pub requester: SocketAddr,
}

/// One worker.
#[derive(Debug, Default)]
pub struct Worker {
    /// Estimated end of the call in flight; `None` without one.
    busy_until: Option<Duration>,
    /// The results stored there, by handle.
    results: ExpiringMap<StoredResult>,
    /// Invariant: the sum of the bytes of `results`.
    stored_bytes: u64,
    /// The handles that it has given lately.
    given_handles: ExpiringMap<()>,
    /// Bytes of results that are being produced.
    bytes_in_progress: u64,
    /// Bytes taken by unknown results, as shown by a refusal for lack of space, and the time until
    /// which this is assumed.
    unknown_bytes: Option<(u64, Duration)>,
    /// Number of consecutive slow calls.
    slow_calls: u32,
    /// Times of the latest calls.
    call_times: CallTimes,
    /// Time at which the last call ended.
    last_call_at: Duration,
}

impl Worker {
    /// Returns the estimated end of the call in flight; `None` without one.
    pub fn busy_until(&self) -> Option<Duration> {
        self.busy_until
    }

    /// Returns the bytes in use for results.
    pub fn used_bytes(&self) -> u64 {
        let unknown_bytes = self.unknown_bytes.map_or(0, |(bytes, _)| bytes);
        self.stored_bytes + self.bytes_in_progress + unknown_bytes
    }

    /// Lists the results that a node requested.
    pub fn results_requested_by(&self, requester: SocketAddr) -> impl Iterator<Item = &Arc<str>> {
        let requested =
            self.results.iter().filter(move |(_, result)| result.requester == requester);
        requested.map(|(handle, _)| handle)
    }

    /// Records the start of a call that should end at `ends_at` and produce `bytes`.
    pub fn record_call_start(&mut self, ends_at: Duration, bytes: u64) {
        self.busy_until = Some(ends_at);
        self.bytes_in_progress += bytes;
    }

    /// Records the end of the call.
    pub fn record_call_end(&mut self, bytes: u64) {
        self.busy_until = None;
        self.bytes_in_progress = self.bytes_in_progress.saturating_sub(bytes);
    }

    /// Returns the times of its latest calls.
    pub fn call_times(&self) -> &CallTimes {
        &self.call_times
    }

    /// Records how long a call took that the configuration expects to take `expected`.
    pub fn record_call_time(
        &mut self,
        now: Duration,
        time: Duration,
        expected: Duration,
        batch_config: &BatchConfig,
    ) {
        self.call_times.record(now, time, expected, batch_config);
        let is_slow = time > expected.mul_f64(SLOW_FACTOR);
        self.slow_calls = if is_slow { self.slow_calls + 1 } else { 0 };
        self.last_call_at = now;
    }

    fn is_slow(&self, now: Duration) -> bool {
        self.slow_calls >= SLOW_CALLS_MIN && now < self.last_call_at + SLOW_TIME
    }

    /// Records a result that is stored there.
    pub fn add_result(&mut self, handle: Arc<str>, result: StoredResult) {
        self.stored_bytes += result.bytes;
        let replaced = self.results.insert(result.produced_at, handle, result);
        self.stored_bytes -= replaced.map_or(0, |replaced| replaced.bytes);
    }

    /// Records the handles in a response to a call; returns whether all of them are new. A response
    /// with a known handle belongs to an earlier call.
    pub fn record_handles(&mut self, now: Duration, handles: &[&Arc<str>]) -> bool {
        let mut are_new = true;
        for handle in handles {
            are_new &= self.given_handles.insert(now, (*handle).clone(), ()).is_none();
        }
        are_new
    }

    /// Removes a result that was released.
    pub fn remove_result(&mut self, handle: &str) {
        let removed = self.results.remove(handle);
        self.stored_bytes -= removed.map_or(0, |removed| removed.bytes);
    }

    /// Records that the worker refused a piece for lack of space though some should be free;
    /// returns whether that is new.
    pub fn record_capacity_refusal(&mut self, now: Duration, batch_config: &BatchConfig) -> bool {
        let before = self.unknown_bytes.map_or(0, |(bytes, _)| bytes);
        let found = batch_config.result_capacity_bytes.saturating_sub(self.used_bytes());
        self.unknown_bytes = Some((before + found, now + unknown_half_life(batch_config)));
        found > 0
    }

    fn expire(&mut self, now: Duration, batch_config: &BatchConfig) {
        while let Some(expired) = self.results.pop_expired(now, batch_config.result_lifetime) {
            self.stored_bytes -= expired.bytes;
        }
        while self.given_handles.pop_expired(now, GIVEN_HANDLE_LIFETIME).is_some() {}
        self.unknown_bytes = match self.unknown_bytes {
            Some((bytes, until)) if now >= until => {
                let is_significant = bytes > batch_config.result_capacity_bytes / UNKNOWN_DIVISOR;
                is_significant.then_some((bytes / 2, now + unknown_half_life(batch_config)))
            }
            other => other,
        };
    }
}

/// Returns how long bytes of unknown results are assumed to be in use before half are assumed free.
fn unknown_half_life(batch_config: &BatchConfig) -> Duration {
    batch_config.call_time.mul_f64(UNKNOWN_HALF_LIFE_CALLS)
}

/// Returns the expected time of a call, by its configuration.
pub fn expected_call_time(batch_config: &BatchConfig, pieces: usize) -> Duration {
    batch_config.call_time + batch_config.piece_time * pieces as u32
}

/// Returns the time after which a call to a worker with some slowdown is overdue.
pub fn overdue_after(batch_config: &BatchConfig, pieces: usize, slowdown: Slowdown) -> Duration {
    let expected = slowdown.lengthen(expected_call_time(batch_config, pieces));
    expected.mul_f64(OVERDUE_FACTOR) + OVERDUE_GRACE
}

/// All workers that were given work.
#[derive(Debug, Default)]
pub struct WorkerSet {
    workers: SecondaryMap<UpstreamKey, Worker>,
}

impl WorkerSet {
    /// Returns a worker, if it was given work before.
    pub fn get(&self, key: UpstreamKey) -> Option<&Worker> {
        self.workers.get(key)
    }

    /// Returns a worker, if it was given work before.
    pub fn get_mut(&mut self, key: UpstreamKey) -> Option<&mut Worker> {
        self.workers.get_mut(key)
    }

    /// Returns a worker, created if needed; `None` if its key is no longer in use.
    pub fn get_or_create(&mut self, key: UpstreamKey) -> Option<&mut Worker> {
        Some(self.workers.entry(key)?.or_default())
    }

    /// Lists all workers.
    pub fn iter(&self) -> impl Iterator<Item = (UpstreamKey, &Worker)> {
        self.workers.iter()
    }

    /// Lists the given workers that can start a call, in the given order, with the free bytes of
    /// each. If `leaves_out_slow`, slow workers are left out for a while, unless all are slow.
    pub fn free_workers(
        &mut self,
        now: Duration,
        keys: &[UpstreamKey],
        batch_config: &BatchConfig,
        leaves_out_slow: bool,
    ) -> Vec<(UpstreamKey, u64)> {
        for key in keys {
            if let Some(worker) = self.workers.get_mut(*key) {
                worker.expire(now, batch_config);
            }
        }
        let is_slow =
            |key: &UpstreamKey| self.workers.get(*key).is_some_and(|worker| worker.is_slow(now));
        let any_fast = leaves_out_slow && keys.iter().any(|key| !is_slow(key));
        let is_free = |key: &&UpstreamKey| {
            let is_busy = self.workers.get(**key).is_some_and(|worker| worker.busy_until.is_some());
            !is_busy && (!any_fast || !is_slow(key))
        };
        let free_bytes = |key: &UpstreamKey| {
            let used_bytes = self.workers.get(*key).map_or(0, Worker::used_bytes);
            (*key, batch_config.result_capacity_bytes.saturating_sub(used_bytes))
        };
        keys.iter().filter(is_free).map(free_bytes).collect()
    }
}

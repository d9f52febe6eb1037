//! Arrival and completion rates of the pieces of a stage service, as its owner measures them. No
//! I/O.
//!
//! Handles workers that become slow, are lost or added, or have little free space, so that their
//! real rate is far from the configured one for full calls.

use {
    crate::{
        backlog::{Backlog, RANKS},
        batching::BatchQueue,
        model::BatchConfig,
        workers::expected_call_time,
    },
    std::time::Duration,
};

/// Time over which arrivals are counted: long enough for a few calls of a worker, short enough to
/// notice a burst that lasts for seconds.
const ARRIVALS_WINDOW: Duration = Duration::from_secs(1);
/// Weight of one call in a worker's learned throughput: about ten calls count, which is a second of
/// a few workers.
const THROUGHPUT_WEIGHT: f64 = 0.1;

/// Arrival and completion rates of one service.
#[derive(Debug, Default)]
pub struct ServiceThroughput {
    /// By rank.
    arrivals: [ArrivalRate; RANKS],
    throughput: WorkerThroughput,
}

impl ServiceThroughput {
    /// Records arrivals of pieces of a rank that can be in time.
    pub fn record_arrivals(&mut self, now: Duration, rank: usize, pieces: u32) {
        self.arrivals[rank].add(now, pieces);
    }

    /// Records a call that left pieces queued for lack of slots or free bytes.
    pub fn record_saturated_call(
        &mut self,
        batch_config: &BatchConfig,
        pieces: usize,
        took: Duration,
    ) {
        self.throughput.record_saturated_call(pieces, took, configured_throughput(batch_config));
    }

    /// Returns the backlog of the service, for `workers` that accept work; the number may be
    /// fractional.
    pub fn backlog(
        &self,
        now: Duration,
        batch_config: &BatchConfig,
        workers: f64,
        queue: Option<&BatchQueue>,
    ) -> Backlog {
        let (waiting, late) =
            queue.map(|queue| queue.count_waiting(now, batch_config)).unwrap_or_default();
        Backlog {
            rate_per_s: self.throughput.per_s(configured_throughput(batch_config)) * workers,
            arrivals_per_s: self.arrivals.each_ref().map(|arrivals| arrivals.per_s(now)),
            waiting,
            late,
        }
    }
}

/// Returns the configured throughput of one worker in full calls, in pieces per second.
fn configured_throughput(batch_config: &BatchConfig) -> f64 {
    batch_config.pieces_max as f64
        / expected_call_time(batch_config, batch_config.pieces_max).as_secs_f64()
}

/// Arrival rate over an exponentially decaying window.
#[derive(Debug, Default)]
pub struct ArrivalRate {
    count: f64,
    counted_at: Duration,
}

impl ArrivalRate {
    /// Counts arrived pieces.
    pub fn add(&mut self, now: Duration, pieces: u32) {
        self.count = self.decayed(now) + f64::from(pieces);
        self.counted_at = now;
    }

    /// Returns the recent arrivals in pieces per second.
    pub fn per_s(&self, now: Duration) -> f64 {
        self.decayed(now) / ARRIVALS_WINDOW.as_secs_f64()
    }

    fn decayed(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.counted_at).as_secs_f64();
        self.count * (-age / ARRIVALS_WINDOW.as_secs_f64()).exp()
    }
}

/// Throughput of one worker while more pieces are queued than it can take, in pieces per second,
/// learned from the calls of its service.
#[derive(Debug, Default)]
pub struct WorkerThroughput {
    learned: Option<f64>,
}

impl WorkerThroughput {
    /// Records a call that left pieces queued for lack of slots or free bytes.
    pub fn record_saturated_call(&mut self, pieces: usize, took: Duration, configured: f64) {
        let observed = pieces as f64 / took.as_secs_f64().max(0.001);
        let before = self.learned.unwrap_or(configured);
        self.learned = Some(before + THROUGHPUT_WEIGHT * (observed - before));
    }

    /// Returns the throughput; `configured` is the configured one for full calls.
    pub fn per_s(&self, configured: f64) -> f64 {
        self.learned.unwrap_or(configured)
    }
}

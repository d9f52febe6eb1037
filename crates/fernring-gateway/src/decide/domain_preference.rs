//! Leaves queued pieces to workers in the failure domain where their results are read. No I/O.
//!
//! Handles large results, whose traffic between failure domains costs more than a short wait.
//! A piece is left only while the workers there complete it in time, and not while the service is
//! short of capacity: a slot that stays empty then delays all pieces behind it.
//!
//! Inputs: the queue and the calls in flight of the owner itself, without delay.

use {
    crate::{batching::QueuedPiece, model::BatchConfig, workers::expected_call_time},
    std::{collections::HashMap, sync::Arc, time::Duration},
};

/// Number of calls' worth of queued pieces beyond which every worker takes any queued piece.
/// Lateness costs callers more than traffic between failure domains.
const OVERLOAD_CALLS: f64 = 2.0;
/// The same per worker, for larger services: with dozens of workers, more than that is queued even
/// at low load.
const OVERLOAD_CALLS_PER_WORKER: f64 = OVERLOAD_CALLS / 5.0;

/// The workers of a service in one failure domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DomainWorkers {
    /// Number of workers.
    pub count: usize,
    /// Time at which the first of them will be free.
    pub free_at: Duration,
}

impl DomainWorkers {
    /// Estimates when the last of `pieces` is completed if the workers process them in order.
    fn done_at(&self, now: Duration, pieces: usize, batch_config: &BatchConfig) -> Duration {
        let full_call = expected_call_time(batch_config, batch_config.pieces_max);
        let usual_call = expected_call_time(batch_config, batch_config.pieces_max / 2);
        let calls_before = pieces.saturating_sub(1) / (batch_config.pieces_max * self.count.max(1));
        self.free_at.max(now) + full_call * calls_before as u32 + usual_call
    }
}

/// Returns whether more pieces are queued than a service should leave to workers in certain
/// domains.
pub fn is_overloaded(queued: usize, workers: usize, batch_config: &BatchConfig) -> bool {
    let overload_calls = OVERLOAD_CALLS.max(OVERLOAD_CALLS_PER_WORKER * workers as f64);
    queued as f64 > overload_calls * batch_config.pieces_max as f64
}

/// The pieces that one worker leaves to workers in other domains.
#[derive(Debug)]
pub struct DomainPreference<'a, F> {
    /// Time of the decision.
    pub now: Duration,
    /// How the workers run calls.
    pub batch_config: &'a BatchConfig,
    /// Failure domain of the worker.
    pub failure_domain: &'a str,
    /// Whether every worker takes any piece.
    pub is_overloaded: bool,
    /// Returns the workers in a failure domain.
    pub workers_in: F,
    /// Pieces whose results are read in each domain, among those examined so far.
    pub ahead: HashMap<Arc<str>, usize>,
}

impl<F: Fn(&str) -> Option<DomainWorkers>> DomainPreference<'_, F> {
    /// Returns whether a piece is left to the workers in the domain that reads its result.
    pub fn leaves(&mut self, piece: &QueuedPiece) -> bool {
        let Some(consumer_domain) = &piece.consumer_domain else {
            return false;
        };
        let ahead = self.ahead.entry(consumer_domain.clone()).or_default();
        *ahead += 1;
        if self.is_overloaded || **consumer_domain == *self.failure_domain {
            return false;
        }
        (self.workers_in)(consumer_domain).is_some_and(|workers| {
            workers.done_at(self.now, *ahead, self.batch_config) <= piece.due_at
        })
    }
}

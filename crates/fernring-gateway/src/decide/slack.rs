//! Mean slack of the requests of a rank at a stage service: how long they can wait in queues and
//! still be answered when they are due. No I/O.
//!
//! Handles crowds of requests with different slack: of different sizes, or of pipelines with
//! different objectives. If each request were admitted by its own slack, the queue would grow until
//! it is as long as the largest slack, and requests with less would hardly ever be admitted. All
//! requests of a rank are therefore admitted by their mean slack at the service that they wait for
//! longest. The queue serves those with less slack first, so that a queue as long as the mean slack
//! lets nearly all of them be in time.
//!
//! Inputs: the slack of each request that arrives at this node, refused ones included, weighted by
//! its pieces.

use std::{cell::RefCell, collections::HashMap, sync::Arc, time::Duration};

/// Weight of the latest request in a mean; about twenty requests count.
const REQUEST_WEIGHT: f64 = 0.05;
/// Largest number of means; the one that was updated least recently is forgotten.
const MEANS_MAX: usize = 1_024;

/// The requests that share a mean: those of a rank that need a service.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct QueueKey {
    /// The stage service.
    pub service: Arc<str>,
    /// Rank, as an index.
    pub rank: usize,
}

/// Exponentially weighted sums over requests.
#[derive(Debug, Default)]
struct WeightedSlack {
    pieces: f64,
    /// Slack times pieces, in seconds.
    slack_s: f64,
    updated_at: Duration,
}

/// Mean slack of the requests that a node receives, by service and rank.
#[derive(Debug, Default)]
pub struct MeanSlacks(RefCell<HashMap<QueueKey, WeightedSlack>>);

impl MeanSlacks {
    /// Records the slack of a request that has `pieces` for a service.
    pub fn record(&self, now: Duration, key: QueueKey, pieces: u32, slack: Duration) {
        let mut means = self.0.borrow_mut();
        if means.len() >= MEANS_MAX && !means.contains_key(&key) {
            let oldest = means.iter().min_by_key(|(_, mean)| mean.updated_at);
            if let Some(oldest) = oldest.map(|(key, _)| key.clone()) {
                means.remove(&oldest);
            }
        }
        let mean = means.entry(key).or_default();
        let pieces = f64::from(pieces);
        mean.pieces += pieces - REQUEST_WEIGHT * mean.pieces;
        mean.slack_s += slack.as_secs_f64() * pieces - REQUEST_WEIGHT * mean.slack_s;
        mean.updated_at = now;
    }

    /// Returns the mean slack at a service; `None` before the first request.
    pub fn mean(&self, key: &QueueKey) -> Option<Duration> {
        let means = self.0.borrow();
        let mean = means.get(key).filter(|mean| mean.pieces > 0.0)?;
        Some(Duration::from_secs_f64((mean.slack_s / mean.pieces).max(0.0)))
    }
}

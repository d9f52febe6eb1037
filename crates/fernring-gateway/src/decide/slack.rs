//! Slack of the requests of a pipeline: how long they can wait in queues and still be answered when
//! they are due. No I/O.
//!
//! Handles crowds of requests of different sizes. If each request were admitted by its own slack,
//! the queue would grow until it is as long as the slack of those that need the least time
//! themselves, and larger ones would hardly ever be admitted. All requests of a pipeline are
//! therefore admitted by their mean slack. The queue serves those with less slack first, so that a
//! queue as long as the mean slack lets nearly all of them be in time.
//!
//! Inputs: the slack of each request that arrives at this node, refused ones included.

use std::{cell::RefCell, collections::HashMap, sync::Arc, time::Duration};

/// Weight of the latest request in a mean. About twenty requests count, which even a node with one
/// request in some seconds sees within a minute.
const REQUEST_WEIGHT: f64 = 0.05;
/// Largest number of pipelines with a mean; the one that was used least recently is forgotten.
const PIPELINES_MAX: usize = 1_024;

#[derive(Debug)]
struct MeanSlack {
    mean_s: f64,
    requests: u32,
    updated_at: Duration,
}

/// Mean slack of the requests that a node receives, by pipeline.
#[derive(Debug, Default)]
pub struct PipelineSlacks(RefCell<HashMap<Arc<str>, MeanSlack>>);

impl PipelineSlacks {
    /// Records the slack of a request and returns the mean of its pipeline.
    pub fn record(&self, now: Duration, pipeline: &Arc<str>, slack: Duration) -> Duration {
        let mut means = self.0.borrow_mut();
        if means.len() >= PIPELINES_MAX && !means.contains_key(pipeline) {
            let oldest = means.iter().min_by_key(|(_, mean)| mean.updated_at);
            if let Some(oldest) = oldest.map(|(name, _)| name.clone()) {
                means.remove(&oldest);
            }
        }
        let mean = means.entry(pipeline.clone()).or_insert(MeanSlack {
            mean_s: 0.0,
            requests: 0,
            updated_at: now,
        });
        mean.requests = mean.requests.saturating_add(1);
        let weight = REQUEST_WEIGHT.max(1.0 / f64::from(mean.requests));
        mean.mean_s += weight * (slack.as_secs_f64() - mean.mean_s);
        mean.updated_at = now;
        Duration::from_secs_f64(mean.mean_s.max(0.0))
    }
}

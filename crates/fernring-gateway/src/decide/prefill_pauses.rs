//! Learns how long streams pause while prompts are prefilled at their engine.
//!
//! Load: engines prefill prompts in chunks between the tokens of running streams. With small chunks
//! a long prompt hardly delays them, with large ones it stops them until it is prefilled. Engines
//! don't tell which.
//!
//! Inputs: the longest pauses of this node's streams, as if their engines had average speed.
//!
//! Limits: of `LONGER_PART` of the streams the longest pause is above the learned one, since about
//! that many may miss what their callers accept.

use std::{cell::RefCell, collections::HashMap, sync::Arc, time::Duration};

/// Assumed pause before the first observation: a few steps with a chunk each. The first dozens of
/// streams replace it.
const INITIAL_PAUSE: Duration = Duration::from_millis(100);
/// Part of the streams with a longer pause.
const LONGER_PART: f64 = 0.02;
/// Relative change by one stream.
const STEP_PART: f64 = 0.1;
/// Range of learned pauses.
const PAUSE_MIN: Duration = Duration::from_millis(1);
const PAUSE_MAX: Duration = Duration::from_secs(10);

/// The longest pauses of nearly all streams at engines of average speed, by service.
#[derive(Debug, Default)]
pub struct PrefillPauses(RefCell<HashMap<Arc<str>, Duration>>);

impl PrefillPauses {
    /// Returns the pause that nearly all streams of a service stay below.
    pub fn for_service(&self, service: &str) -> Duration {
        self.0.borrow().get(service).copied().unwrap_or(INITIAL_PAUSE)
    }

    /// Records the longest pause of a stream at an engine with a speed relative to the average.
    pub fn record_stream(&self, service: &Arc<str>, longest_pause: Duration, relative_speed: f64) {
        let mut pauses = self.0.borrow_mut();
        let learned = pauses.entry(service.clone()).or_insert(INITIAL_PAUSE);
        let is_longer = longest_pause.mul_f64(relative_speed) > *learned;
        let step = if is_longer { 1.0 - LONGER_PART } else { -LONGER_PART };
        *learned = learned.mul_f64(1.0 + step * STEP_PART).clamp(PAUSE_MIN, PAUSE_MAX);
    }
}

//! How fast the engines of a model service read prompts, learned from their answers. No I/O.

use std::{cell::RefCell, collections::HashMap, sync::Arc, time::Duration};

/// Speed that is assumed before anything was seen, in tokens a millisecond: about that of a large model on one
/// of today's accelerators. The first dozens of answers replace it.
const SPEED_FIRST: f64 = 40.0;
/// Part of the answers that come at a lower speed than the learned one. Most had to wait for other
/// prompts, or were read with less of them cached than was thought; a few found more cached.
const SLOWER_PART: f64 = 0.8;
/// How far one answer moves the speed, as a part of it.
const STEP_PART: f64 = 0.1;
/// Fewest tokens that tell of the speed; below, the time is that of the first step.
const TOKENS_MIN: f64 = 500.0;

/// The speed at which a model service's engines read, in tokens a millisecond.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PrefillSpeed(f64);

impl Default for PrefillSpeed {
    fn default() -> Self {
        Self(SPEED_FIRST)
    }
}

impl PrefillSpeed {
    /// Returns the time in which an engine that does nothing else reads some tokens.
    pub fn time_for(self, tokens: f64) -> Duration {
        Duration::from_secs_f64(tokens / self.0 / 1_000.0)
    }

    /// Returns the tokens that an engine reads in some time.
    pub fn tokens_in(self, time: Duration) -> f64 {
        time.as_secs_f64() * 1_000.0 * self.0
    }

    /// Takes in that the first event came `took` after a request was sent that had `tokens` to read.
    pub fn record_prefill(&mut self, tokens: f64, took: Duration) {
        if tokens < TOKENS_MIN || took.is_zero() {
            return;
        }
        let seen = tokens / (took.as_secs_f64() * 1_000.0);
        let step = if seen > self.0 { SLOWER_PART } else { SLOWER_PART - 1.0 };
        self.0 *= 1.0 + step * STEP_PART;
    }
}

/// The speeds of all model services that a node has sent to, by name.
#[derive(Debug, Default)]
pub struct PrefillSpeeds(RefCell<HashMap<Arc<str>, PrefillSpeed>>);

impl PrefillSpeeds {
    /// Returns the speed of a service's engines.
    pub fn for_service(&self, service: &str) -> PrefillSpeed {
        self.0.borrow().get(service).copied().unwrap_or_default()
    }

    /// Takes in that an engine's first event came `took` after it was sent a request with `tokens` to read.
    pub fn record_prefill(&self, service: &Arc<str>, tokens: f64, took: Duration) {
        self.0.borrow_mut().entry(service.clone()).or_default().record_prefill(tokens, took);
    }
}

//! Prefill speed of the engines of a model service, learned from their responses. No I/O.

use std::{cell::RefCell, collections::HashMap, sync::Arc, time::Duration};

/// Assumed speed before the first observation, in tokens per millisecond: about that of a large
/// model on one of today's accelerators. The first dozens of responses replace it.
const INITIAL_SPEED: f64 = 40.0;
/// Part of the responses with a lower speed than the learned one. Most of these waited for other
/// prompts, or had less of their prompt cached than expected; a few responses found more cached.
const SLOWER_PART: f64 = 0.8;
/// Relative change of the speed by one response.
const STEP_PART: f64 = 0.1;
/// Minimum number of tokens for a measurement; with fewer, the time is that of the first step.
const TOKENS_MIN: f64 = 500.0;

/// Prefill speed of a model service's engines, in tokens per millisecond.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PrefillSpeed(f64);

impl Default for PrefillSpeed {
    fn default() -> Self {
        Self(INITIAL_SPEED)
    }
}

impl PrefillSpeed {
    /// Returns the time in which an otherwise idle engine prefills a number of tokens.
    pub fn time_for(self, tokens: f64) -> Duration {
        Duration::from_secs_f64(tokens / self.0 / 1_000.0)
    }

    /// Returns the number of tokens that an engine prefills in some time.
    pub fn tokens_in(self, time: Duration) -> f64 {
        time.as_secs_f64() * 1_000.0 * self.0
    }

    /// Records that the first event came `took` after a request was sent that had `tokens` to
    /// prefill.
    pub fn record_prefill(&mut self, tokens: f64, took: Duration) {
        if tokens < TOKENS_MIN || took.is_zero() {
            return;
        }
        let observed = tokens / (took.as_secs_f64() * 1_000.0);
        let step = if observed > self.0 { SLOWER_PART } else { SLOWER_PART - 1.0 };
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

    /// Records that an engine's first event came `took` after it was sent a request with `tokens`
    /// to prefill.
    pub fn record_prefill(&self, service: &Arc<str>, tokens: f64, took: Duration) {
        self.0.borrow_mut().entry(service.clone()).or_default().record_prefill(tokens, took);
    }
}

//! How many attempts an upstream is given at once.

use std::time::Duration;

/// A latency above this multiple of the usual one is a sign of overload.
const OVERLOAD_RATIO: f64 = 2.5;
/// What is left of the limit after a sign of overload.
const DECREASE: f64 = 0.85;
/// How fast the usual latency follows slower answers; faster ones are followed at once.
const USUAL_DRIFT: f64 = 0.01;
/// How fast the usual latency follows faster answers.
const USUAL_DROP: f64 = 0.2;
/// Share of the limit that must be in use for it to grow.
const GROW_ABOVE_USE: f64 = 0.7;
/// Part of the declared concurrency below which the limit never falls.
const FLOOR_SHARE: f64 = 0.25;

/// A concurrency limit that shrinks when latency rises well above the usual.
#[derive(Debug, Clone)]
pub struct AdaptiveLimit {
    declared: f64,
    limit: f64,
    usual_ms: Option<f64>,
    decreased_at: Duration,
}

impl AdaptiveLimit {
    /// Starts at the declared concurrency, which is also the most it reaches.
    pub fn new(declared: u32) -> Self {
        let declared = f64::from(declared);
        Self { declared, limit: declared, usual_ms: None, decreased_at: Duration::ZERO }
    }

    /// Returns the number of attempts allowed at once; at least 1.
    pub fn allowed(&self) -> u32 {
        self.limit.max(1.0) as u32
    }

    /// Takes in one answer's latency, with the number of attempts that were under way.
    pub fn record(&mut self, now: Duration, latency_ms: f64, in_flight: u32) {
        let usual_ms = *self.usual_ms.get_or_insert(latency_ms);
        if latency_ms > usual_ms * OVERLOAD_RATIO {
            self.decrease(now, usual_ms);
        } else if f64::from(in_flight) >= self.limit * GROW_ABOVE_USE {
            self.limit = (self.limit + 1.0 / self.limit.max(1.0)).min(self.declared);
        }
        let rate = if latency_ms < usual_ms { USUAL_DROP } else { USUAL_DRIFT };
        self.usual_ms = Some(usual_ms + (latency_ms - usual_ms) * rate);
    }

    /// Shrinks once in each usual latency, so that one slow moment counts once.
    fn decrease(&mut self, now: Duration, usual_ms: f64) {
        let pause = Duration::from_secs_f64(usual_ms.max(1.0) / 1_000.0);
        if now < self.decreased_at + pause {
            return;
        }
        self.decreased_at = now;
        let floor = (self.declared * FLOOR_SHARE).max(1.0);
        self.limit = (self.limit * DECREASE).max(floor);
    }
}

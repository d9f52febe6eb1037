//! When a refused caller should retry. No I/O.
//!
//! Handles crowds in which many callers are refused within a second, and each retries once. If all
//! retried after the same pause, they would collide again, and a refused retry costs its caller the
//! same again. Their retries are therefore placed where the present backlog should be processed,
//! the more urgent first, and spread out.

use std::time::Duration;

/// Callers follow a pause of up to this part of their remaining time, by the platform's protocol;
/// they would shorten a longer one.
pub(crate) const PAUSE_PART_MAX: f64 = 1.0 / 3.0;
/// Part of the pause that the most urgent rank gets; the rest is spread over the ranks.
const FIRST_RANK_PART: f64 = 0.6;
/// Ranks that retry one after the other; all less urgent ones retry with the last.
const SPREAD_RANKS: usize = 4;

/// What is known of when a retry may be served.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum RetryForecast {
    /// Nothing.
    #[default]
    Unknown,
    /// The present backlog is processed after this time.
    DrainedAfter(Duration),
    /// No upstream takes requests before this time has passed.
    NotBefore(Duration),
    /// The retry was scheduled (see [`crate::retry_schedule`]) after this time.
    Scheduled(Duration),
}

/// Returns the pause for a caller of a rank that has `time_left`; `draw` is between 0 and 1 and
/// spreads the callers of a rank.
pub fn retry_after(
    forecast: RetryForecast,
    time_left: Duration,
    rank: usize,
    draw: f64,
) -> Duration {
    let latest = time_left.mul_f64(PAUSE_PART_MAX);
    let offset = (rank.min(SPREAD_RANKS - 1) as f64 + draw) / SPREAD_RANKS as f64;
    let spread = (1.0 - FIRST_RANK_PART) * offset;
    match forecast {
        RetryForecast::Unknown => latest.mul_f64(FIRST_RANK_PART + spread),
        RetryForecast::DrainedAfter(time) => time.min(latest).mul_f64(FIRST_RANK_PART + spread),
        RetryForecast::NotBefore(time) => time.mul_f64(1.0 + spread),
        RetryForecast::Scheduled(time) => time.min(latest),
    }
}

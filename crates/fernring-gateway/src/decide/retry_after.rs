//! When a caller that is turned away should come back. No I/O.
//!
//! The load that this answers: in a crowd many are turned away within a second, and each repeats once.
//! If all come back after the same pause, they meet again, and a repeat that is refused costs its caller
//! as much again. So they come back when what waits now should be done, the more urgent first, and spread.

use std::time::Duration;

/// Callers follow a pause up to this part of the time that they have left, by the platform's protocol; they
/// would shorten a longer one.
const FOLLOWED_PART: f64 = 1.0 / 3.0;
/// Part of the pause that the most urgent rank is told; the rest is spread over the ranks.
const FIRST_PART: f64 = 0.6;
/// Ranks that come back one after the other; all below come with the last.
const RANKS_APART: usize = 4;

/// Returns the pause for a caller of a rank that has `time_left`. `drained_after` is when what waits now
/// should be done, if that can be said; `draw` lies between 0 and 1 and spreads callers of a rank.
pub fn retry_after(
    drained_after: Option<Duration>,
    time_left: Duration,
    rank: usize,
    draw: f64,
) -> Duration {
    let latest = time_left.mul_f64(FOLLOWED_PART);
    let pause = drained_after.unwrap_or(latest).min(latest);
    let place = (rank.min(RANKS_APART - 1) as f64 + draw) / RANKS_APART as f64;
    pause.mul_f64(FIRST_PART + (1.0 - FIRST_PART) * place)
}

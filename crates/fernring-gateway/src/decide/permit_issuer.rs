//! Who may send to an upstream that names a limit: one node counts for all, and is asked before each send. No I/O.
//!
//! The load that this answers: an upstream in need takes a few requests a second from all nodes together, while tens or
//! hundreds of nodes want to send there. Shares of each node leave the limit unused where few of them have requests, and break
//! it where each is at least one. A node that counts grants what the limit allows, in the order of the questions. Cuts make
//! several nodes count; so each grants by the part of the nodes that it hears, and together no more than [`OVERSIZE`] of the limit.

use {crate::throughput::ArrivalRate, std::time::Duration};

/// What the parts of a fleet that don't hear each other may grant together, as a multiple of the limit. Half of the limit is
/// allowed besides; the rest of it is for what was granted before a cut was noticed, and for requests held up on the way.
const OVERSIZE: f64 = 1.25;
/// Grants that may be saved up whatever the limit is.
const SAVED_MIN: f64 = 2.0;
/// Grants that may be saved up besides, as the time in which the limit allows so many.
const SAVED_TIME: Duration = Duration::from_millis(250);
/// Ranks for which saved grants are kept: what is less urgent leaves more of them to what is more urgent.
const RANKS_APART: usize = 3;
/// Grants a second of an upstream that takes less, or nothing: whether that still holds is only heard in an answer.
const ASK_ABOUT_PER_S: f64 = 0.1;
/// Longest time after a denial until the next question.
const ASK_AGAIN_MAX: Duration = Duration::from_secs(1);
/// Shortest such time.
const ASK_AGAIN_MIN: Duration = Duration::from_millis(10);
/// Shortest time in which an upstream can do what is asked for.
const DRAINED_MIN: Duration = Duration::from_millis(10);
/// Longest time that is told until what is asked for now can be done.
const DRAINED_MAX: Duration = Duration::from_secs(60);

/// That a send may not go now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PermitDenied {
    /// When the same node may ask again for a request of this rank.
    pub ask_again_after: Duration,
    /// When as many requests should be done as are asked for in a second now.
    pub drained_after: Duration,
}

/// Returns the part of a limit that a node grants which hears `heard` of `most` nodes, itself included.
pub fn limit_share(heard: usize, most: usize) -> f64 {
    let part = heard.max(1) as f64 / most.max(1) as f64;
    (part * OVERSIZE).min(1.0)
}

/// Returns when several upstreams together should have done what is asked for that each would have done alone after some time:
/// nearly every request was asked for at each of them. `None` if there are none.
pub fn combined_drain_time(alone: &[Duration]) -> Option<Duration> {
    let per_s = |time: &Duration| 1.0 / (*time).max(DRAINED_MIN).as_secs_f64();
    (!alone.is_empty()).then(|| seconds(1.0 / alone.iter().map(per_s).sum::<f64>()))
}

/// What a node has granted at one upstream.
#[derive(Debug)]
pub struct PermitIssuer {
    saved: f64,
    counted_at: Duration,
    asked: ArrivalRate,
}

impl PermitIssuer {
    /// Starts to count with nothing saved up: whoever counted before may have granted everything just now. A part of a
    /// fleet waits for up to a grant more, by `draw` between 0 and 1, so that many small parts don't begin at once.
    pub fn new(now: Duration, part: f64, draw: f64) -> Self {
        Self { saved: -draw * (1.0 - part), counted_at: now, asked: ArrivalRate::default() }
    }

    /// Grants a send to an upstream that takes `limit_per_s`, or not; `draw` between 0 and 1 spreads the next questions.
    ///
    /// # Errors
    /// If it may not go now.
    pub fn request(
        &mut self,
        now: Duration,
        limit_per_s: f64,
        part: f64,
        rank: usize,
        draw: f64,
    ) -> Result<(), PermitDenied> {
        let rate = limit_per_s.max(ASK_ABOUT_PER_S) * part;
        let most = SAVED_MIN + rate * SAVED_TIME.as_secs_f64();
        let passed = now.saturating_sub(self.counted_at).as_secs_f64();
        self.saved = (self.saved + rate * passed).min(most);
        self.counted_at = now;
        self.asked.add(now, 1);
        let kept_for_others = (most - 1.0) * rank.min(RANKS_APART) as f64 / RANKS_APART as f64;
        // A hair less, so that rounding doesn't keep the last rank from a full store.
        let missing = 1.0 + kept_for_others - self.saved - 1e-6;
        if missing <= 0.0 {
            self.saved -= 1.0;
            return Ok(());
        }
        let wait = missing / rate;
        let drained = (self.asked.per_s(now) / rate).max(wait);
        Err(PermitDenied {
            ask_again_after: seconds(wait * (1.0 + draw)).clamp(ASK_AGAIN_MIN, ASK_AGAIN_MAX),
            drained_after: seconds(drained).min(DRAINED_MAX),
        })
    }
}

fn seconds(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or(DRAINED_MAX)
}

//! How the pieces of a stage service come and go, as its owner sees it. No I/O.
//!
//! The load that this answers: makers turn slow, are lost or added, or have little room, and what the
//! configuration says of full calls is then far from what they do.

use {
    crate::{
        backlog::{Backlog, RANKS},
        batching::BatchQueue,
        makers::usual_time,
        model::BatchConfig,
    },
    std::time::Duration,
};

/// Time over which arrivals are counted: long enough for a few calls of a maker, short enough to
/// see a burst that lasts for seconds.
const ARRIVALS_WINDOW: Duration = Duration::from_secs(1);
/// Weight of one call in what was learned of a maker's pace: about ten calls count, a second of a few
/// makers.
const PACE_WEIGHT: f64 = 0.1;

/// How the pieces of one service come and go.
#[derive(Debug, Default)]
pub struct Flow {
    /// By rank.
    arrivals: [Arrivals; RANKS],
    pace: Pace,
}

impl Flow {
    /// Takes in that pieces of a rank came that can be in time.
    pub fn came(&mut self, now: Duration, rank: usize, pieces: u32) {
        self.arrivals[rank].add(now, pieces);
    }

    /// Takes in a call that left pieces behind for want of places or room.
    pub fn called(&mut self, shape: &BatchConfig, pieces: usize, took: Duration) {
        self.pace.called(pieces, took, said_pace(shape));
    }

    /// Returns the backlog of the service, of which a number of whole makers take work.
    pub fn backlog(
        &self,
        now: Duration,
        shape: &BatchConfig,
        makers: f64,
        queue: Option<&BatchQueue>,
    ) -> Backlog {
        let (waiting, late) = queue.map(|queue| queue.counts(now, shape)).unwrap_or_default();
        Backlog {
            rate_per_s: self.pace.per_s(said_pace(shape)) * makers,
            arrivals_per_s: self.arrivals.each_ref().map(|arrivals| arrivals.per_s(now)),
            waiting,
            late,
        }
    }
}

/// Pieces a second of one maker in full calls, by what is said of it.
fn said_pace(shape: &BatchConfig) -> f64 {
    shape.pieces_max as f64 / usual_time(shape, shape.pieces_max).as_secs_f64()
}

/// Counts arrivals with a memory that fades.
#[derive(Debug, Default)]
pub struct Arrivals {
    count: f64,
    counted_at: Duration,
}

impl Arrivals {
    /// Counts pieces that came.
    pub fn add(&mut self, now: Duration, pieces: u32) {
        self.count = self.fading(now) + f64::from(pieces);
        self.counted_at = now;
    }

    /// Returns the pieces that came in a second, of late.
    pub fn per_s(&self, now: Duration) -> f64 {
        self.fading(now) / ARRIVALS_WINDOW.as_secs_f64()
    }

    fn fading(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.counted_at).as_secs_f64();
        self.count * (-age / ARRIVALS_WINDOW.as_secs_f64()).exp()
    }
}

/// Pieces a second of one maker while more wait than it can take, as learned from its service's calls.
#[derive(Debug, Default)]
pub struct Pace {
    learned: Option<f64>,
}

impl Pace {
    /// Takes in a call that left pieces behind for want of places or room.
    pub fn called(&mut self, pieces: usize, took: Duration, said: f64) {
        let seen = pieces as f64 / took.as_secs_f64().max(0.001);
        let before = self.learned.unwrap_or(said);
        self.learned = Some(before + PACE_WEIGHT * (seen - before));
    }

    /// Returns the pace; `said` is what the configuration says of full calls.
    pub fn per_s(&self, said: f64) -> f64 {
        self.learned.unwrap_or(said)
    }
}

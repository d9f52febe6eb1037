//! Backlog of a stage service and its processing rate. The owner of the service publishes it to all
//! nodes, so that each node can forecast at arrival. No I/O.

use std::time::Duration;

/// Number of distinct ranks; all less urgent ones share the last.
pub const RANKS: usize = 8;

/// Returns the index of a request's rank.
pub fn rank_index(priority: u32) -> usize {
    (priority as usize).min(RANKS - 1)
}

/// Number of pieces by the rank of their requests.
pub type PiecesByRank = [u32; RANKS];

/// Backlog of a service's workers at one moment.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Backlog {
    /// Pieces per second that all workers complete together while more are queued than they can
    /// take.
    pub rate_per_s: f64,
    /// Recent arrivals in pieces per second, by rank, without pieces that were already late when
    /// they arrived.
    pub arrivals_per_s: [f64; RANKS],
    /// Queued pieces that can still be in time.
    pub waiting: PiecesByRank,
    /// Queued pieces that can no longer be in time; they go last.
    pub late: u32,
}

impl Backlog {
    /// Returns the backlog expected after `age`, if pieces arrive and complete at the same rates.
    pub fn extrapolate(mut self, age: Duration) -> Self {
        let arrivals = self.arrivals_per_s.iter().sum::<f64>();
        let change = (arrivals - self.rate_per_s) * age.as_secs_f64();
        let total: u32 = self.waiting.iter().sum();
        if total == 0 {
            return self;
        }
        let factor = (1.0 + change / f64::from(total)).max(0.0);
        for pieces in &mut self.waiting {
            *pieces = (f64::from(*pieces) * factor).round() as u32;
        }
        self
    }

    /// Adds pieces that are reserved but not queued yet.
    pub fn add_reserved(&mut self, reserved: &PiecesByRank) {
        for (waiting, reserved) in self.waiting.iter_mut().zip(reserved) {
            *waiting += reserved;
        }
    }

    /// Returns the time until a piece of a rank that can still be in time enters a call; `None` if
    /// more urgent pieces arrive as fast as pieces are completed.
    pub fn wait_for_rank(&self, rank: usize) -> Option<Duration> {
        let ahead = self.waiting[..=rank].iter().sum::<u32>() + self.late;
        match ahead {
            0 => (self.rate_per_s > 0.0).then_some(Duration::ZERO),
            _ => processing_time(f64::from(ahead), self.remaining_rate(rank)),
        }
    }

    /// Returns the time until the queued pieces of a rank and of more urgent ones are processed, if
    /// no more arrive; `None` if no pieces are completed.
    pub fn wait_behind_queue(&self, rank: usize) -> Option<Duration> {
        let ahead = self.waiting[..=rank].iter().sum::<u32>();
        processing_time(f64::from(ahead), self.rate_per_s)
    }

    /// Returns the time until a late piece enters a call, which is after all others; `None` if
    /// pieces arrive faster than they are completed.
    pub fn wait_for_late(&self) -> Option<Duration> {
        let ahead = self.waiting.iter().sum::<u32>() + self.late;
        match ahead {
            0 => Some(Duration::ZERO),
            _ => self.time_to_process(ahead),
        }
    }

    /// Returns the time until `pieces` late pieces are completed while new arrivals go first;
    /// `None` if pieces arrive as fast as they are completed.
    pub fn time_to_process(&self, pieces: u32) -> Option<Duration> {
        processing_time(f64::from(pieces), self.remaining_rate(RANKS))
    }

    /// Returns the rate, in pieces per second, that arrivals of more urgent ranks leave over.
    fn remaining_rate(&self, rank: usize) -> f64 {
        self.rate_per_s - self.arrivals_per_s[..rank].iter().sum::<f64>()
    }
}

fn processing_time(pieces: f64, rate_per_s: f64) -> Option<Duration> {
    (rate_per_s > 0.0).then(|| Duration::from_secs_f64((pieces / rate_per_s).min(3_600.0)))
}

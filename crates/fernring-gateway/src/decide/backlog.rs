//! What waits for the makers of a stage service, and how fast it goes: what the owner of the
//! service tells all nodes, so that each can forecast at arrival. No I/O.

use std::time::Duration;

/// Ranks that are told apart; all below are alike.
pub const RANKS: usize = 8;

/// Returns a request's rank as an index.
pub fn rank_index(priority: u32) -> usize {
    (priority as usize).min(RANKS - 1)
}

/// Pieces by the rank of their requests.
pub type PiecesByRank = [u32; RANKS];

/// What waits for the makers of a service, at one moment.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Backlog {
    /// Pieces a second that all makers finish together while more wait than they can take.
    pub rate_per_s: f64,
    /// Pieces a second that came of late, by rank; those that were late already are left out.
    pub arrivals_per_s: [f64; RANKS],
    /// Pieces that wait and can still be in time.
    pub waiting: PiecesByRank,
    /// Pieces that wait and can't be in time any more; they go last.
    pub late: u32,
}

impl Backlog {
    /// Returns the backlog as it should be `age` later, if pieces go on to come and go as they did.
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

    /// Adds pieces that are promised and haven't come yet.
    pub fn add_reserved(&mut self, promised: &PiecesByRank) {
        for (waiting, promised) in self.waiting.iter_mut().zip(promised) {
            *waiting += promised;
        }
    }

    /// Returns the time until a piece of a rank has its turn that can still be in time; `None` if as many
    /// more urgent ones come as can be made.
    pub fn wait_for_rank(&self, rank: usize) -> Option<Duration> {
        let ahead = self.waiting[..=rank].iter().sum::<u32>() + self.late;
        match ahead {
            0 => (self.rate_per_s > 0.0).then_some(Duration::ZERO),
            _ => time_for(f64::from(ahead), self.rate_left(rank)),
        }
    }

    /// Returns the time until a late piece has its turn, which is when all others are done; `None` if
    /// more come than can be made.
    pub fn wait_for_late(&self) -> Option<Duration> {
        let ahead = self.waiting.iter().sum::<u32>() + self.late;
        match ahead {
            0 => Some(Duration::ZERO),
            _ => self.time_to_process(ahead),
        }
    }

    /// Returns the time until a number of pieces is made while those that come go first; `None` if as
    /// many come as can be made.
    pub fn time_to_process(&self, pieces: u32) -> Option<Duration> {
        time_for(f64::from(pieces), self.rate_left(RANKS))
    }

    /// Returns the pieces a second that are left by those that come of more urgent ranks.
    fn rate_left(&self, rank: usize) -> f64 {
        self.rate_per_s - self.arrivals_per_s[..rank].iter().sum::<f64>()
    }
}

fn time_for(pieces: f64, rate_per_s: f64) -> Option<Duration> {
    (rate_per_s > 0.0).then(|| Duration::from_secs_f64((pieces / rate_per_s).min(3_600.0)))
}

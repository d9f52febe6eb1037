//! Shares of the requests of each rank that nodes admit, determined by the owner of a stage service.
//! No I/O.
//!
//! Handles crowds in which, for seconds, more requests arrive at all nodes than the workers of a
//! service can process. If each node decided by the queue alone, which it knows some tenths of a
//! second late, all nodes would admit everything until the queue is too long, and nothing until it
//! is empty. The owner therefore divides capacity by demand, and the queue only corrects the result
//! slowly.
//!
//! Inputs: the capacity and the queue, which are current, and the demand of all nodes, which is up
//! to three heartbeats old. Ranks are served in strict order: while a more urgent rank demands all
//! capacity, less urgent ones get none. The shares have no lower limit, since a caller is better
//! refused at once than served late.

use {
    crate::{
        backlog::{PiecesByRank, RANKS},
        demand::{RATE_WINDOW, RatesByRank, ServiceDemand},
    },
    std::time::Duration,
};

/// Shares by rank, from 0 to 1.
pub type SharesByRank = [f64; RANKS];

/// Queue at which capacity isn't corrected, in full calls: short against the time that callers
/// wait, long enough that calls stay full while the demand varies within a report's age.
const TARGET_QUEUE_CALLS: f64 = 0.4;
/// Time in which the surplus or shortage of the queue is made up for. Twice the second that passes
/// between a change of shares and the arrival of the pieces at the last stage of a request, so that
/// corrections don't overshoot.
const CORRECTION_TIME: Duration = Duration::from_secs(2);
/// Limits of the correction, as factors of the capacity.
const CORRECTION_MIN: f64 = 0.6;
const CORRECTION_MAX: f64 = 1.5;
/// Share above which a rank that isn't limited yet stays so, since any demand varies.
const LIMITED_BELOW: f64 = 0.9;
/// Part of what is available to a rank from which on the rank is taken to use all of it. If it
/// admits less, another service of its requests limits it.
const USES_ALL_FROM: f64 = 0.8;
/// Time over which a limited rank's highest admitted rate fades. A queue that is too long stops a
/// rank for about a second; less urgent ranks must not take its capacity meanwhile.
const ADMITTED_FADE_TIME: Duration = Duration::from_secs(2);
/// Time for which an owner's shares don't exceed those of the previous owner: it knows the demand of
/// all nodes only after their reports.
const TAKEOVER_TIME: Duration = Duration::from_millis(600);
/// Shortest time between updates.
const UPDATE_INTERVAL: Duration = Duration::from_millis(50);

/// The load of a service, as its owner knows it.
#[derive(Debug, Clone, Copy)]
pub struct ServiceLoad {
    /// Pieces per second that all workers complete while they are never idle.
    pub capacity_per_s: f64,
    /// Queued pieces that can still be in time.
    pub waiting: PiecesByRank,
    /// Number of pieces of a full call.
    pub full_call_pieces: usize,
    /// Duration of a full call.
    pub full_call_time: Duration,
    /// Demand of all nodes.
    pub demand: ServiceDemand,
}

/// What is available to each rank.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Availability {
    /// Pieces per second that are available to each rank.
    pub available_per_s: RatesByRank,
    /// Share of the offered requests that is admitted.
    pub shares: SharesByRank,
}

impl Default for Availability {
    fn default() -> Self {
        Self { available_per_s: RatesByRank::default(), shares: [1.0; RANKS] }
    }
}

/// Determines the shares of one service.
#[derive(Debug, Default)]
pub struct ShareController {
    current: Availability,
    updated_at: Option<Duration>,
    /// Highest rates admitted lately, in pieces per second; 0 for ranks that aren't limited.
    peak_admitted_per_s: RatesByRank,
    /// Shares of the previous owner, and until when they aren't exceeded.
    previous_owner: Option<(SharesByRank, Duration)>,
}

impl ShareController {
    /// Creates the controller of a node that becomes the owner and knows the shares of the previous
    /// one.
    pub fn taking_over(now: Duration, shares: SharesByRank) -> Self {
        Self { previous_owner: Some((shares, now + TAKEOVER_TIME)), ..Self::default() }
    }

    /// Returns the shares that were last determined.
    pub fn current(&self) -> &Availability {
        &self.current
    }

    /// Determines the shares anew, unless that was done a moment ago.
    pub fn update(&mut self, now: Duration, load: &ServiceLoad) -> &Availability {
        if self.updated_at.is_none_or(|at| now >= at + UPDATE_INTERVAL) {
            self.fade_peaks(now);
            self.updated_at = Some(now);
            self.current = self.next_availability(load);
            self.limit_to_previous_owner(now);
        }
        &self.current
    }

    fn fade_peaks(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.updated_at.unwrap_or(now));
        let factor = (-elapsed.div_duration_f64(ADMITTED_FADE_TIME)).exp();
        self.peak_admitted_per_s.iter_mut().for_each(|peak| *peak *= factor);
    }

    fn next_availability(&mut self, load: &ServiceLoad) -> Availability {
        let mut next = Availability::default();
        let mut taken_per_s = 0.0;
        let mut ahead = 0;
        for rank in 0..RANKS {
            ahead += load.waiting[rank];
            let usable_per_s = load.capacity_per_s * correction(load, ahead);
            let available_per_s = (usable_per_s - taken_per_s).max(0.0);
            let offered_per_s = load.demand.offered_per_s[rank];
            let was_limited = self.current.shares[rank] < 1.0;
            let is_limited = was_limited || is_short(load, available_per_s, offered_per_s);
            next.available_per_s[rank] = available_per_s;
            if is_limited && offered_per_s > available_per_s {
                next.shares[rank] = available_per_s / offered_per_s;
            }
            let is_limited = next.shares[rank] < 1.0;
            let admitted_per_s = load.demand.admitted_per_s[rank];
            taken_per_s += self.taken_by(rank, is_limited, available_per_s, admitted_per_s);
        }
        next
    }

    /// Returns what a rank takes from less urgent ones. A rank that is limited here will use all
    /// that is available to it, unless it has admitted less for some time.
    fn taken_by(
        &mut self,
        rank: usize,
        is_limited: bool,
        available_per_s: f64,
        admitted_per_s: f64,
    ) -> f64 {
        let peak = &mut self.peak_admitted_per_s[rank];
        *peak = if is_limited { peak.max(admitted_per_s) } else { 0.0 };
        let demanded_per_s = peak.max(admitted_per_s);
        if is_limited && demanded_per_s >= available_per_s * USES_ALL_FROM {
            return available_per_s;
        }
        demanded_per_s.min(available_per_s)
    }

    fn limit_to_previous_owner(&mut self, now: Duration) {
        let Some((shares, _)) = self.previous_owner.filter(|(_, until)| now < *until) else {
            return;
        };
        for (share, previous) in self.current.shares.iter_mut().zip(shares) {
            *share = share.min(previous);
        }
    }
}

/// Returns the factor on the capacity for ranks with `ahead` pieces in the queue up to their own.
fn correction(load: &ServiceLoad, ahead: u32) -> f64 {
    let queue_s = f64::from(ahead) / load.capacity_per_s.max(f64::MIN_POSITIVE);
    let target_s = load.full_call_time.as_secs_f64() * TARGET_QUEUE_CALLS;
    let correction = 1.0 + (target_s - queue_s) / CORRECTION_TIME.as_secs_f64();
    correction.clamp(CORRECTION_MIN, CORRECTION_MAX)
}

/// Returns whether a rank is offered clearly more than is available to it. A few requests that
/// arrive together aren't: the surplus must exceed what one more call would take.
fn is_short(load: &ServiceLoad, available_per_s: f64, offered_per_s: f64) -> bool {
    let surplus = (offered_per_s - available_per_s) * RATE_WINDOW.as_secs_f64();
    surplus > load.full_call_pieces as f64 && available_per_s < offered_per_s * LIMITED_BELOW
}

//! When refused callers should retry, so that their retries fit what becomes available. No I/O.
//!
//! Handles crowds that many nodes refuse within a second. If each node named the time at which the
//! service has capacity again, all callers would retry at that time. Each node therefore hands out
//! its own part of the capacity that becomes available, in order of time: it remembers how much of
//! each tenth of a second it has given to callers of each rank. A caller's retry takes the first
//! capacity that is left, and is told a moment that is drawn within it, so that nodes that start at
//! the same time don't name the same moments.
//!
//! What becomes available for retries is what new requests leave: what is offered, without the
//! callers that were told to come at present. If new requests alone exceed what is available, next
//! to nothing is given out, since nobody can foresee the end of a crowd.
//!
//! The inputs are rates that are some tenths of a second old. Nothing is reserved: every retry is
//! admitted like a new request, so a caller that retries early, often or never changes nothing for
//! others, and what was given to it expires with its tenth of a second.
//!
//! Callers shorten long pauses, by the platform's protocol. If no capacity is left until the latest
//! moment that a caller follows, nothing is promised to it. It is still told a time, since it would
//! retry at once without one: a late one, spread over the last part of what it follows.

use {
    crate::{backlog::RANKS, retry_after::PAUSE_PART_MAX},
    std::{collections::VecDeque, time::Duration},
};

/// Length of a slot.
const SLOT: Duration = Duration::from_millis(100);
/// Number of slots. Retries later than this are not promised.
const SLOTS_MAX: u64 = 64;
/// Smallest part of what is available to a rank that is given to retries. While new requests alone
/// exceed what is available, most retries are refused again, which costs their callers more than a
/// late time that may be after the crowd.
const RETRY_PART_MIN: f64 = 0.05;
/// Number of past slots that are kept: those whose retries count as offered at present.
const PAST_SLOTS: u64 = 5;
/// Factor on the highest capacity of any rank up to which a slot is given out. More urgent callers
/// don't count what less urgent ones were given before. Below 2, so that the retries of a slot
/// rarely exceed twice what is available.
const OVERCOMMIT_MAX: f64 = 1.5;
/// Part of the longest pause over which callers are spread to whom nothing is promised.
const LAST_PART: f64 = 1.0 / 3.0;

/// What becomes available for retries at one service, by rank.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RetryCapacity {
    /// Pieces per second for retries of each rank at this node.
    per_s: [f64; RANKS],
}

/// Rates of one service and rank, as the owner and the delegates report them.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RankRates {
    /// Pieces per second that are available to the rank after the demand of more urgent ones.
    pub available_per_s: f64,
    /// Pieces per second that are offered to all nodes.
    pub offered_per_s: f64,
    /// Pieces per second that are offered to this node.
    pub own_offered_per_s: f64,
    /// Pieces per second that this node told to retry at present (see
    /// [`RetrySchedule::returning_per_s`]). They return to any node; the nodes' parts are alike.
    pub own_returning_per_s: f64,
}

impl RankRates {
    /// Returns what is available for retries at this node: its part of what is available, in
    /// proportion to its part of what is offered, without what new requests take.
    fn retries_per_s(&self) -> f64 {
        if self.offered_per_s <= 0.0 {
            return 0.0;
        }
        let own_part = (self.own_offered_per_s / self.offered_per_s).clamp(0.0, 1.0);
        let own_available_per_s = self.available_per_s.max(0.0) * own_part;
        let own_new_per_s = (self.own_offered_per_s - self.own_returning_per_s).max(0.0);
        (own_available_per_s - own_new_per_s).max(RETRY_PART_MIN * own_available_per_s)
    }
}

impl RetryCapacity {
    /// Returns this node's capacity for retries.
    pub fn new(rates: &[RankRates; RANKS]) -> Self {
        Self { per_s: rates.each_ref().map(RankRates::retries_per_s) }
    }

    /// Returns the pieces per second for retries of a rank at this node.
    pub fn per_s(&self, rank: usize) -> f64 {
        self.per_s[rank]
    }

    fn in_slot(&self, rank: usize) -> f64 {
        self.per_s[rank] * SLOT.as_secs_f64()
    }

    fn total_max_in_slot(&self) -> f64 {
        let highest_per_s = self.per_s.iter().copied().fold(0.0, f64::max);
        OVERCOMMIT_MAX * highest_per_s * SLOT.as_secs_f64()
    }
}

/// A refused request whose caller may retry.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RefusedRequest {
    /// Index of its rank.
    pub rank: usize,
    /// Pieces that it needs of the service.
    pub pieces: u32,
    /// Time left until its caller gives up.
    pub time_left: Duration,
}

/// When a caller is told to retry.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ScheduledRetry {
    /// Pause until the retry.
    pub after: Duration,
    /// Number of callers of this rank, with this one, that were told to retry in the same slot.
    /// `None` if nothing is promised.
    pub told_in_slot: Option<u32>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Slot {
    /// Pieces given out, by rank.
    given: [f64; RANKS],
    /// Callers that were promised something in this slot, by rank.
    told: [u32; RANKS],
    /// Pieces of all callers that were told to retry in this slot, by rank.
    returning: [f64; RANKS],
}

impl Slot {
    /// Returns what is left for a rank: less urgent ones don't count, up to the overcommitment.
    fn left(&self, rank: usize, capacity: &RetryCapacity) -> f64 {
        let given_before: f64 = self.given[..=rank].iter().sum();
        let given: f64 = self.given.iter().sum();
        let left = capacity.in_slot(rank) - given_before;
        left.min(capacity.total_max_in_slot() - given).max(0.0)
    }
}

/// Retries of one service that this node has given out.
#[derive(Debug, Default)]
pub struct RetrySchedule {
    /// Number of the first slot in `slots`, counted from the clock's zero.
    first_slot: u64,
    /// The past slots that are kept, the current one, and those to come. Invariant: at most
    /// [`PAST_SLOTS`] and [`SLOTS_MAX`] slots.
    slots: VecDeque<Slot>,
}

impl RetrySchedule {
    /// Schedules the retry of a refused request; `draw` is between 0 and 1.
    ///
    /// The request takes the first capacity that is left, until that covers its pieces. If there is
    /// less until the latest moment, it is promised something with the probability that the part
    /// covers, and the part is used up in any case: on average, no more is promised than available.
    pub fn schedule(
        &mut self,
        now: Duration,
        request: &RefusedRequest,
        capacity: &RetryCapacity,
        draw: f64,
    ) -> ScheduledRetry {
        self.expire(now);
        let current = slot_number(now).max(self.first_slot);
        let latest = request.time_left.mul_f64(PAUSE_PART_MAX);
        let needed = f64::from(request.pieces);
        let mut missing = needed;
        // Decreases by what is taken, and so becomes negative at the drawn moment.
        let mut point = draw * needed;
        let mut scheduled = None;
        // Nothing changes for retries within the current slot: reports are older than that.
        for number in current + 1..current + SLOTS_MAX {
            let window = SlotWindow::new(number, now + latest);
            if missing <= 0.0 || window.is_empty() {
                break;
            }
            let slot = self.slot_mut(number);
            let left = slot.left(request.rank, capacity) * window.part();
            let taken = left.min(missing);
            slot.given[request.rank] += taken;
            missing -= taken;
            if (0.0..taken).contains(&point) {
                slot.told[request.rank] += 1;
                scheduled = Some(ScheduledRetry {
                    after: window.at(point / left).saturating_sub(now),
                    told_in_slot: Some(slot.told[request.rank]),
                });
            }
            point -= taken;
        }
        let scheduled = scheduled.unwrap_or_else(|| unpromised(latest, point / missing));
        let returns_at = slot_number(now + scheduled.after).min(current + SLOTS_MAX - 1);
        self.slot_mut(returns_at).returning[request.rank] += needed;
        scheduled
    }

    /// Returns the pieces per second of the callers of each rank that were told to retry within the
    /// last half second.
    pub fn returning_per_s(&mut self, now: Duration) -> [f64; RANKS] {
        self.expire(now);
        let past = slot_number(now).saturating_sub(self.first_slot) as usize;
        let window_s = (SLOT * PAST_SLOTS as u32).as_secs_f64();
        std::array::from_fn(|rank| {
            let pieces: f64 = self.slots.iter().take(past).map(|slot| slot.returning[rank]).sum();
            pieces / window_s
        })
    }

    /// Drops the slots that are no longer kept.
    fn expire(&mut self, now: Duration) {
        let first = slot_number(now).saturating_sub(PAST_SLOTS).max(self.first_slot);
        let dropped = (first - self.first_slot).min(self.slots.len() as u64);
        self.slots.drain(..dropped as usize);
        self.first_slot = first;
    }

    fn slot_mut(&mut self, number: u64) -> &mut Slot {
        let index = (number - self.first_slot) as usize;
        if index >= self.slots.len() {
            self.slots.resize(index + 1, Slot::default());
        }
        &mut self.slots[index]
    }
}

/// Returns a late moment for a caller to whom nothing is promised.
fn unpromised(latest: Duration, draw: f64) -> ScheduledRetry {
    let after = latest.mul_f64(1.0 - LAST_PART * draw.clamp(0.0, 1.0));
    ScheduledRetry { after, told_in_slot: None }
}

/// The part of a slot before the latest moment of a retry.
#[derive(Debug, Clone, Copy)]
struct SlotWindow {
    start: Duration,
    end: Duration,
}

impl SlotWindow {
    fn new(number: u64, latest_at: Duration) -> Self {
        let start = SLOT * u32::try_from(number).unwrap_or(u32::MAX);
        Self { start, end: (start + SLOT).min(latest_at) }
    }

    fn is_empty(&self) -> bool {
        self.end <= self.start
    }

    /// Returns the part of the slot that the window covers.
    fn part(&self) -> f64 {
        self.end.saturating_sub(self.start).as_secs_f64() / SLOT.as_secs_f64()
    }

    fn at(&self, part: f64) -> Duration {
        self.start + self.end.saturating_sub(self.start).mul_f64(part.clamp(0.0, 1.0))
    }
}

fn slot_number(now: Duration) -> u64 {
    (now.as_millis() / SLOT.as_millis()) as u64
}

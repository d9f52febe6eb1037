//! Which pieces go into the next call to an upstream of a stage service, and which are given up. No I/O.
//!
//! The load that this answers: more pieces wait than the next calls hold. A call costs its fixed time whatever it
//! holds, results take room until they are read, and a piece that is made too late is made for little.

use {
    crate::{
        backlog::{Backlog, PiecesByRank, RANKS, rank},
        content::ContentKey,
        makers::usual_time,
        model::{BatchConfig, Piece},
        residency::Residency,
        settings::DecideSettings,
    },
    std::{
        collections::{HashMap, HashSet},
        net::SocketAddr,
        sync::Arc,
        time::Duration,
    },
};

/// Most calls that a piece is put into before its stage fails.
pub const CALLS_MAX: u32 = 3;

/// Head start of each rank over the next, in full calls: more than a wait that can be made good by
/// another maker, less than one that a whole rank would starve in. Measured against 1 and 7.
const RANK_CALLS: f64 = 2.0;
/// Calls' worth of waiting pieces from which on every maker takes whatever waits. Lateness costs
/// most of a request's worth, what crosses between domains a few hundredths. Measured against 1 and 3, with five makers.
const CROWDED_CALLS: f64 = 2.0;
/// The same for each maker, where there are more: with 41, two calls' worth wait in calm, and all large results were
/// made far from their readers (35 of 36 GB).
const CROWDED_CALLS_A_MAKER: f64 = CROWDED_CALLS / 5.0;
/// Head start of pieces whose results are read in the maker's own domain, in full calls: what another maker
/// would have to be waited for.
const FAR_CALLS: f64 = 1.0;
/// A work isn't split over calls if that leaves no more than one of so many places empty.
const LEFT_PLACES: usize = 5;

/// A piece that waits for its call.
#[derive(Debug, Clone, PartialEq)]
pub struct Task {
    /// The work that it belongs to.
    pub work: u64,
    /// What its request asks.
    pub content: ContentKey,
    /// Whether a maker ended under a call that it was in with pieces of other requests: it goes into calls of its own, so that
    /// the request shows that ends makers, and the others go on.
    pub is_apart: bool,
    /// The piece. Its `remaining` is set when its call is sent.
    pub piece: Piece,
    /// When its result is due for its request to be on time.
    pub due_at: Duration,
    /// Failure domain in which its result will be read; `None` if that doesn't matter.
    pub near: Option<Arc<str>>,
    /// When its result is of no more use.
    pub deadline_at: Duration,
    /// Rank of its request; 0 goes first.
    pub priority: u32,
    /// Size of its result, in bytes.
    pub result_bytes: u64,
    /// Where its request may be served.
    pub residency: Residency,
    /// The node that asked for it.
    pub asker: SocketAddr,
    /// Calls that it was put into.
    pub calls: u32,
}

/// The makers of a service in one failure domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Makers {
    /// Their number.
    pub count: usize,
    /// When the first of them will be free.
    pub free_at: Duration,
}

impl Makers {
    /// Estimates when the last of `pieces` is made that they work on in order.
    fn done_at(&self, now: Duration, pieces: usize, shape: &BatchConfig) -> Duration {
        let full_call = usual_time(shape, shape.pieces_max);
        let usual_call = usual_time(shape, shape.pieces_max / 2);
        let calls_before = pieces.saturating_sub(1) / (shape.pieces_max * self.count.max(1));
        self.free_at.max(now) + full_call * calls_before as u32 + usual_call
    }
}

/// The maker that a call is filled for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Taker<'a> {
    /// Its failure domain.
    pub failure_domain: &'a str,
    /// Bytes of results that it has room for.
    pub room_bytes: u64,
    /// Makers of its service that take work, itself included.
    pub makers: usize,
}

/// What ended the filling of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Bound {
    /// Nothing waits any more.
    Empty,
    /// The call holds as many pieces as it may.
    Places,
    /// The maker has no room for the results of what waits.
    Room,
    /// What waits is left to makers in the failure domain that reads its results.
    Domain,
    /// A request's pieces go into a call of their own.
    Apart,
}

impl Bound {
    /// Returns the name used in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::Empty => "empty",
            Self::Places => "places",
            Self::Room => "room",
            Self::Domain => "domain",
            Self::Apart => "apart",
        }
    }
}

/// The pieces of one call.
#[derive(Debug)]
pub struct Batch {
    /// The pieces.
    pub tasks: Vec<Task>,
    /// Why there are no more: the first that kept one out, or that all places are taken.
    pub bound: Bound,
}

/// The pieces that wait for one service.
#[derive(Debug, Default)]
pub struct BatchQueue {
    tasks: Vec<Task>,
    /// Works of which some pieces were taken. The others go first: until they are made, the
    /// results of the first ones take room for nothing.
    begun: HashSet<u64>,
}

impl BatchQueue {
    /// Adds a piece.
    pub fn push(&mut self, task: Task) {
        self.tasks.push(task);
    }

    /// Tells whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.tasks.is_empty()
    }

    /// Returns the number of pieces that wait.
    pub fn len(&self) -> usize {
        self.tasks.len()
    }

    /// Lists the works of which pieces wait.
    pub fn works(&self) -> HashSet<u64> {
        self.tasks.iter().map(|task| task.work).collect()
    }

    /// Counts the pieces that wait: those that can be in time, by rank, and the others.
    pub fn counts(&self, now: Duration, shape: &BatchConfig) -> (PiecesByRank, u32) {
        let mut in_time = [0; RANKS];
        let mut late = 0;
        for task in &self.tasks {
            match misses(task, now, shape) {
                true => late += 1,
                false => in_time[rank(task.priority)] += 1,
            }
        }
        (in_time, late)
    }

    /// Drops the pieces of a work that nobody waits for any more.
    pub fn cancel(&mut self, work: u64) {
        self.tasks.retain(|task| task.work != work);
        self.begun.remove(&work);
    }

    /// Drops a piece that was made meanwhile.
    pub fn drop_piece(&mut self, work: u64, number: u32) {
        self.tasks.retain(|task| task.work != work || task.piece.number != number);
    }

    /// Takes out the pieces whose time would be over before a call could end.
    ///
    /// Those that can't be in time any more have their turn once `backlog` is done; where that would be too late
    /// they are taken out now, not when their time is over.
    pub fn take_expired(
        &mut self,
        now: Duration,
        shape: &BatchConfig,
        backlog: &Backlog,
        rules: &DecideSettings,
    ) -> Vec<Task> {
        let begun = &self.begun;
        let in_time = backlog.waiting.iter().sum::<u32>();
        let mut late = 0;
        if rules.give_up && backlog.late > 0 {
            // Late ones are numbered in their order.
            self.tasks.sort_by_cached_key(|task| (urgency(task, shape, rules), task.work));
        }
        let expired = |task: &mut Task| {
            if !rules.give_up || begun.contains(&task.work) || !misses(task, now, shape) {
                return task.deadline_at <= now + shape.call_time;
            }
            late += 1;
            let wait = backlog.time_for_late(in_time + late);
            wait.is_none_or(|wait| task.deadline_at <= now + wait + shape.call_time)
        };
        self.tasks.extract_if(.., expired).collect()
    }

    /// Takes out the pieces of the next call of a maker: the most urgent that
    /// fit into a call and into its room. Those that can still be in time go before those that
    /// can't, and the rest of what was begun before all. A result that will be read in another
    /// domain is left to the makers there if they can make it in time; `makers_in` tells of them.
    pub fn take(
        &mut self,
        now: Duration,
        shape: &BatchConfig,
        taker: Taker<'_>,
        rules: &DecideSettings,
        makers_in: impl Fn(&str) -> Option<Makers>,
    ) -> Batch {
        let Taker { failure_domain, mut room_bytes, makers } = taker;
        let full_call = usual_time(shape, shape.pieces_max);
        let begun = &self.begun;
        let far = |task: &Task| task.near.as_ref().is_some_and(|near| **near != *failure_domain);
        let order = |task: &Task| {
            let behind = if far(task) { full_call.mul_f64(FAR_CALLS) } else { Duration::ZERO };
            let turn = urgency(task, shape, rules) + behind;
            (!begun.contains(&task.work), misses(task, now, shape), turn, task.work)
        };
        self.tasks.sort_by_cached_key(order);
        let crowded_calls = CROWDED_CALLS.max(CROWDED_CALLS_A_MAKER * makers as f64);
        let is_crowded = self.tasks.len() as f64 > crowded_calls * shape.pieces_max as f64;
        // Pieces that will be read in each domain, among those looked at so far.
        let mut ahead: HashMap<Arc<str>, usize> = HashMap::new();
        let mut sizes: HashMap<u64, usize> = HashMap::new();
        for task in &self.tasks {
            *sizes.entry(task.work).or_default() += 1;
        }
        // The work that was looked at last, and whether it is left whole to another call.
        let mut looked_at = None;
        // The first piece's request, and whether it keeps others out.
        let mut company: Option<(ContentKey, bool)> = None;
        let mut is_left_whole = false;
        let mut taken = 0;
        let mut bound = Bound::Empty;
        let fits = |task: &mut Task| {
            let left_to_others = task.near.as_ref().is_some_and(|near| {
                let ahead = ahead.entry(near.clone()).or_default();
                *ahead += 1;
                !is_crowded
                    && **near != *failure_domain
                    && !begun.contains(&task.work)
                    && makers_in(near)
                        .is_some_and(|there| there.done_at(now, *ahead, shape) <= task.due_at)
            });
            if looked_at != Some(task.work) {
                let pieces = sizes[&task.work];
                let by_room = (room_bytes / task.result_bytes.max(1)) as usize;
                let places = by_room.min(shape.pieces_max - taken);
                looked_at = Some(task.work);
                is_left_whole = rules.whole_works
                    && pieces > places
                    && places * LEFT_PLACES <= taken + places
                    && !begun.contains(&task.work);
            }
            let is_kept_apart = company.is_some_and(|(content, is_apart)| {
                content != task.content && (is_apart || task.is_apart)
            });
            let kept_out = match () {
                () if is_kept_apart => Bound::Apart,
                () if taken == shape.pieces_max => Bound::Places,
                () if left_to_others => Bound::Domain,
                () if task.result_bytes > room_bytes => Bound::Room,
                () if is_left_whole => Bound::Places,
                () => {
                    company.get_or_insert((task.content, task.is_apart));
                    taken += 1;
                    room_bytes -= task.result_bytes;
                    return true;
                }
            };
            if bound == Bound::Empty || kept_out == Bound::Places {
                bound = kept_out;
            }
            false
        };
        let taken: Vec<_> = self.tasks.extract_if(.., fits).collect();
        self.begun.extend(taken.iter().map(|task| task.work));
        let open: HashSet<_> = self.tasks.iter().map(|task| task.work).collect();
        self.begun.retain(|work| open.contains(work));
        Batch { tasks: taken, bound }
    }
}

/// Tells whether a piece can't be in time any more.
fn misses(task: &Task, now: Duration, shape: &BatchConfig) -> bool {
    task.due_at < now + usual_time(shape, shape.pieces_max)
}

/// The order among pieces that are in time, or among those that are not: by due time, with a head
/// start for requests of higher rank.
fn urgency(task: &Task, shape: &BatchConfig, rules: &DecideSettings) -> Duration {
    let step = usual_time(shape, shape.pieces_max).mul_f64(RANK_CALLS);
    task.due_at + if rules.ranks { step * rank(task.priority) as u32 } else { Duration::ZERO }
}

//! Which pieces go into the next call to an upstream of a stage service.

use {
    crate::{
        makers::usual_time,
        model::{BatchShape, Piece},
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

/// Head start of each rank over the next: about two calls. Measured against 300 and 2,000 ms.
const RANK_STEP: Duration = Duration::from_millis(700);
/// Calls' worth of waiting pieces from which on every maker takes whatever waits. Lateness costs
/// most of a request's worth, what crosses between domains a few hundredths. Measured against 1 and 3.
const CROWDED_CALLS: usize = 2;
/// Head start of pieces whose results are read in the maker's own domain: about one call, which is what
/// another maker would have to be waited for.
const FAR_STEP: Duration = Duration::from_millis(300);
/// Ranks that count; all below are alike.
const RANKS_MAX: u32 = 8;

/// A piece that waits for its call.
#[derive(Debug, Clone, PartialEq)]
pub struct Task {
    /// The work that it belongs to.
    pub work: u64,
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
    fn done_at(&self, now: Duration, pieces: usize, shape: &BatchShape) -> Duration {
        let full_call = usual_time(shape, shape.pieces_max);
        let usual_call = usual_time(shape, shape.pieces_max / 2);
        let calls_before = pieces.saturating_sub(1) / (shape.pieces_max * self.count.max(1));
        self.free_at.max(now) + full_call * calls_before as u32 + usual_call
    }
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
    pub fn take_expired(&mut self, now: Duration, shape: &BatchShape) -> Vec<Task> {
        let earliest_end = now + shape.call_time;
        let expired = |task: &mut Task| task.deadline_at <= earliest_end;
        self.tasks.extract_if(.., expired).collect()
    }

    /// Takes out the pieces of the next call of a maker in `failure_domain`: the most urgent that
    /// fit into a call and into `room_bytes`. Those that can still be in time go before those that
    /// can't, and the rest of what was begun before all. A result that will be read in another
    /// domain is left to the makers there if they can make it in time; `makers_in` tells of them.
    pub fn take(
        &mut self,
        now: Duration,
        shape: &BatchShape,
        room_bytes: u64,
        failure_domain: &str,
        makers_in: impl Fn(&str) -> Option<Makers>,
    ) -> Vec<Task> {
        let full_call = usual_time(shape, shape.pieces_max);
        let misses = |task: &Task| task.due_at < now + full_call;
        let begun = &self.begun;
        let far = |task: &Task| task.near.as_ref().is_some_and(|near| **near != *failure_domain);
        let order = |task: &Task| {
            let turn = urgency(task) + if far(task) { FAR_STEP } else { Duration::ZERO };
            (!begun.contains(&task.work), misses(task), turn, task.work)
        };
        self.tasks.sort_by_cached_key(order);
        let is_crowded = self.tasks.len() > CROWDED_CALLS * shape.pieces_max;
        // Pieces that will be read in each domain, among those looked at so far.
        let mut ahead: HashMap<Arc<str>, usize> = HashMap::new();
        let mut room_bytes = room_bytes;
        let mut taken = 0;
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
            let fits =
                taken < shape.pieces_max && task.result_bytes <= room_bytes && !left_to_others;
            if fits {
                taken += 1;
                room_bytes -= task.result_bytes;
            }
            fits
        };
        let taken: Vec<_> = self.tasks.extract_if(.., fits).collect();
        self.begun.extend(taken.iter().map(|task| task.work));
        let open: HashSet<_> = self.tasks.iter().map(|task| task.work).collect();
        self.begun.retain(|work| open.contains(work));
        taken
    }
}

/// The order among pieces that are in time, or among those that are not: by due time, with a head
/// start for requests of higher rank.
fn urgency(task: &Task) -> Duration {
    task.due_at + RANK_STEP * task.priority.min(RANKS_MAX)
}

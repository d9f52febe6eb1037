//! Selects the pieces of the next call to an upstream of a stage service, and drops expired ones.
//! No I/O.
//!
//! Handles the load in which more pieces are queued than the next calls hold. A call costs its
//! fixed time however few pieces it holds, results take space until they are read, and a piece that
//! is completed too late is of little value.

use {
    crate::{
        backlog::{Backlog, PiecesByRank, RANKS, rank_index},
        call_filling::CallFill,
        domain_preference::DomainWorkers,
        fingerprint::Fingerprint,
        model::{BatchConfig, Piece},
        residency::Residency,
        settings::DecideSettings,
        worker_speeds::Slowdown,
        workers::expected_call_time,
    },
    std::{collections::HashSet, net::SocketAddr, sync::Arc, time::Duration},
};

/// Maximum number of calls that a piece is put into before its stage fails.
pub const CALLS_PER_PIECE_MAX: u32 = 3;

/// Head start of each rank over the next, in full calls: longer than a wait that another worker can
/// make up for, shorter than one that starves a whole rank.
const RANK_HEAD_START_CALLS: f64 = 2.0;
/// Head start of pieces whose results are read in the worker's own domain, in full calls: the time
/// to wait for another worker.
const LOCAL_HEAD_START_CALLS: f64 = 1.0;

/// A piece that is queued for a call.
#[derive(Debug, Clone, PartialEq)]
pub struct QueuedPiece {
    /// The work that the piece belongs to.
    pub work: u64,
    /// Fingerprint of its request.
    pub fingerprint: Fingerprint,
    /// Whether a worker crashed under a call that held this piece and pieces of other requests. Its
    /// request then gets calls of its own, so that the request that crashes workers is found and
    /// the others go on.
    pub is_isolated: bool,
    /// The piece. Its `remaining` is set when the call is sent.
    pub piece: Piece,
    /// Time at which its result is due for the request to be on time.
    pub due_at: Duration,
    /// Failure domain in which its result will be read; `None` if that doesn't matter.
    pub consumer_domain: Option<Arc<str>>,
    /// Time from which its result is useless.
    pub deadline_at: Duration,
    /// Rank of its request; 0 goes first.
    pub priority: u32,
    /// Size of its result in bytes.
    pub result_bytes: u64,
    /// Regions in which its request may be served.
    pub residency: Residency,
    /// The node that requested it.
    pub requester: SocketAddr,
    /// Number of calls that it was put into.
    pub calls: u32,
}

impl QueuedPiece {
    /// Returns whether it may go into a further call if its present one fails.
    pub fn may_be_called_again(&self) -> bool {
        self.calls + 1 < CALLS_PER_PIECE_MAX
    }
}

/// The worker that a call is filled for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TargetWorker<'a> {
    /// Its failure domain.
    pub failure_domain: &'a str,
    /// Free bytes for results.
    pub free_bytes: u64,
    /// Number of active workers of its service, including itself.
    pub workers: usize,
    /// Its slowdown; `None` if calls aren't filled by the speed of workers.
    pub slowdown: Option<Slowdown>,
}

/// What limited the pieces of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BatchLimit {
    /// No more pieces were queued.
    Empty,
    /// The call holds the maximum number of pieces.
    Slots,
    /// The worker has too few free bytes for the results of the queued pieces.
    FreeBytes,
    /// The queued pieces are left to workers in the failure domain that reads their results.
    ConsumerDomain,
    /// The queued pieces are left to faster workers.
    Speed,
    /// The pieces of one request go into a call of their own.
    Isolation,
}

impl BatchLimit {
    /// Returns the name used in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::Empty => "empty",
            Self::Slots => "places",
            Self::FreeBytes => "room",
            Self::ConsumerDomain => "domain",
            Self::Speed => "speed",
            Self::Isolation => "apart",
        }
    }
}

/// The pieces of one call.
#[derive(Debug)]
pub struct Batch {
    /// The pieces.
    pub pieces: Vec<QueuedPiece>,
    /// Why there are no more pieces: the first limit that kept one out, or that all slots are
    /// taken.
    pub limit: BatchLimit,
}

/// The queued pieces of one service.
#[derive(Debug, Default)]
pub struct BatchQueue {
    pieces: Vec<QueuedPiece>,
    /// Works of which some pieces were taken. Their other pieces go first: until these are
    /// completed, the results of the first ones take space without use.
    started: HashSet<u64>,
}

impl BatchQueue {
    /// Adds a piece.
    pub fn push(&mut self, piece: QueuedPiece) {
        self.pieces.push(piece);
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.pieces.is_empty()
    }

    /// Returns the number of queued pieces.
    pub fn len(&self) -> usize {
        self.pieces.len()
    }

    /// Lists the works that have queued pieces.
    pub fn works(&self) -> HashSet<u64> {
        self.pieces.iter().map(|piece| piece.work).collect()
    }

    /// Counts the queued pieces: those that can be in time, by rank, and the late ones.
    pub fn count_waiting(&self, now: Duration, batch_config: &BatchConfig) -> (PiecesByRank, u32) {
        let mut in_time = [0; RANKS];
        let mut late = 0;
        for piece in &self.pieces {
            match is_late(piece, now, batch_config) {
                true => late += 1,
                false => in_time[rank_index(piece.priority)] += 1,
            }
        }
        (in_time, late)
    }

    /// Removes the pieces of a cancelled work.
    pub fn cancel(&mut self, work: u64) {
        self.pieces.retain(|piece| piece.work != work);
        self.started.remove(&work);
    }

    /// Removes a piece that was completed elsewhere.
    pub fn remove_piece(&mut self, work: u64, number: u32) {
        self.pieces.retain(|piece| piece.work != work || piece.piece.number != number);
    }

    /// Takes out the pieces whose deadline would pass before a call could end.
    ///
    /// Late pieces enter calls only after `backlog` is processed, but for those that fit into the
    /// `free_slots` of calls that can start now. Those for which that would be too late are taken out
    /// now rather than at their deadline.
    pub fn take_expired(
        &mut self,
        now: Duration,
        batch_config: &BatchConfig,
        backlog: &Backlog,
        free_slots: usize,
        decide_settings: &DecideSettings,
    ) -> Vec<QueuedPiece> {
        let started = &self.started;
        let in_time = backlog.waiting.iter().sum::<u32>();
        let mut late = 0;
        if decide_settings.give_up && backlog.late > 0 {
            // Late pieces are counted in their order.
            self.pieces.sort_by_cached_key(|piece| {
                (urgency(piece, batch_config, decide_settings), piece.work)
            });
        }
        let expired = |piece: &mut QueuedPiece| {
            if !decide_settings.give_up
                || started.contains(&piece.work)
                || !is_late(piece, now, batch_config)
            {
                return piece.deadline_at <= now + batch_config.call_time;
            }
            late += 1;
            let ahead = in_time + late;
            let wait = match ahead as usize <= free_slots {
                true => Some(Duration::ZERO),
                false => backlog.time_to_process(ahead),
            };
            wait.is_none_or(|wait| piece.deadline_at <= now + wait + batch_config.call_time)
        };
        self.pieces.extract_if(.., expired).collect()
    }

    /// Takes out the pieces of a worker's next call: the most urgent ones that fit into the call
    /// and into the worker's free bytes. The rest of started works goes before all others, and
    /// pieces that can still be in time go before late ones. A piece whose result will be read in
    /// another domain is left to the workers there if they can complete it in time; `workers_in`
    /// returns them. A piece that others complete earlier than a slower worker is left to them.
    pub fn take_batch(
        &mut self,
        now: Duration,
        batch_config: &BatchConfig,
        worker: TargetWorker<'_>,
        decide_settings: &DecideSettings,
        workers_in: impl Fn(&str) -> Option<DomainWorkers>,
    ) -> Batch {
        self.sort(now, batch_config, worker.failure_domain, decide_settings);
        let mut call = CallFill::new(
            now,
            batch_config,
            worker,
            decide_settings,
            &self.started,
            &self.pieces,
            workers_in,
        );
        let taken: Vec<_> = self.pieces.extract_if(.., |piece| call.take(piece)).collect();
        let limit = call.limit();
        self.started.extend(taken.iter().map(|piece| piece.work));
        let remaining: HashSet<_> = self.pieces.iter().map(|piece| piece.work).collect();
        self.started.retain(|work| remaining.contains(work));
        Batch { pieces: taken, limit }
    }

    /// Sorts the pieces in the order in which a worker in a failure domain takes them.
    fn sort(
        &mut self,
        now: Duration,
        batch_config: &BatchConfig,
        failure_domain: &str,
        decide_settings: &DecideSettings,
    ) {
        let full_call = expected_call_time(batch_config, batch_config.pieces_max);
        let started = &self.started;
        let is_remote = |piece: &QueuedPiece| {
            piece
                .consumer_domain
                .as_ref()
                .is_some_and(|consumer_domain| **consumer_domain != *failure_domain)
        };
        let order = |piece: &QueuedPiece| {
            let delay = if is_remote(piece) {
                full_call.mul_f64(LOCAL_HEAD_START_CALLS)
            } else {
                Duration::ZERO
            };
            let priority = urgency(piece, batch_config, decide_settings) + delay;
            (
                !started.contains(&piece.work),
                is_late(piece, now, batch_config),
                priority,
                piece.work,
            )
        };
        self.pieces.sort_by_cached_key(order);
    }
}

/// Returns whether a piece can no longer be in time.
pub(crate) fn is_late(piece: &QueuedPiece, now: Duration, batch_config: &BatchConfig) -> bool {
    piece.due_at < now + expected_call_time(batch_config, batch_config.pieces_max)
}

/// Sort key among the pieces that are in time, or among the late ones: by due time, with a head
/// start for requests of higher rank.
fn urgency(
    piece: &QueuedPiece,
    batch_config: &BatchConfig,
    decide_settings: &DecideSettings,
) -> Duration {
    let step =
        expected_call_time(batch_config, batch_config.pieces_max).mul_f64(RANK_HEAD_START_CALLS);
    piece.due_at
        + if decide_settings.ranks {
            step * rank_index(piece.priority) as u32
        } else {
            Duration::ZERO
        }
}

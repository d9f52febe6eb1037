//! Fills one call to a worker from the queued pieces, in their order. No I/O.
//!
//! Handles workers whose slots, free bytes, failure domain or speed keep some pieces out of a call.
//! Its inputs are the owner's own state, without delay.

use {
    crate::{
        batching::{BatchLimit, QueuedPiece, TargetWorker, is_late},
        domain_preference::{DomainPreference, DomainWorkers, is_overloaded},
        fingerprint::Fingerprint,
        model::BatchConfig,
        settings::DecideSettings,
        workers::expected_call_time,
    },
    std::{
        collections::{HashMap, HashSet},
        time::Duration,
    },
};

/// A work isn't split over calls if keeping it together leaves at most one in this many slots
/// empty.
const EMPTY_SLOT_DIVISOR: usize = 5;

/// A call that is being filled.
pub(crate) struct CallFill<'a, F> {
    now: Duration,
    batch_config: &'a BatchConfig,
    worker: TargetWorker<'a>,
    /// Works of which some pieces are in earlier calls.
    started: &'a HashSet<u64>,
    /// Number of queued pieces of each work.
    sizes: HashMap<u64, usize>,
    keeps_works_together: bool,
    preference: DomainPreference<'a, F>,
    /// Number of the next pieces that are left to faster workers.
    left_to_faster: usize,
    /// The work examined last, and whether all of it is left to another call.
    examined: Option<(u64, bool)>,
    /// The request of the first piece, and whether it excludes others.
    first: Option<(Fingerprint, bool)>,
    count: usize,
    free_bytes: u64,
    limit: BatchLimit,
}

impl<'a, F: Fn(&str) -> Option<DomainWorkers>> CallFill<'a, F> {
    pub(crate) fn new(
        now: Duration,
        batch_config: &'a BatchConfig,
        worker: TargetWorker<'a>,
        decide_settings: &DecideSettings,
        started: &'a HashSet<u64>,
        pieces: &[QueuedPiece],
        workers_in: F,
    ) -> Self {
        let TargetWorker { failure_domain, free_bytes, workers, slowdown } = worker;
        let mut sizes: HashMap<u64, usize> = HashMap::new();
        for piece in pieces {
            *sizes.entry(piece.work).or_default() += 1;
        }
        let queued = pieces.len();
        // The next calls of all workers are full, so a slot that is left empty is lost.
        let fills_every_slot = slowdown.is_some() && queued > workers * batch_config.pieces_max;
        let left_to_faster = slowdown.map_or(0, |slowdown| {
            slowdown.pieces_left_to_others(workers.saturating_sub(1), batch_config)
        });
        let preference = DomainPreference {
            now,
            batch_config,
            failure_domain,
            is_overloaded: is_overloaded(queued, workers, batch_config),
            workers_in,
            ahead: HashMap::new(),
        };
        Self {
            now,
            batch_config,
            worker,
            started,
            sizes,
            keeps_works_together: decide_settings.whole_works && !fills_every_slot,
            preference,
            left_to_faster,
            examined: None,
            first: None,
            count: 0,
            free_bytes,
            limit: BatchLimit::Empty,
        }
    }

    /// Takes the next queued piece, or leaves it; returns whether it is taken.
    pub(crate) fn take(&mut self, piece: &QueuedPiece) -> bool {
        match self.find_exclusion(piece) {
            None => {
                self.first.get_or_insert((piece.fingerprint, piece.is_isolated));
                self.count += 1;
                self.free_bytes -= piece.result_bytes;
                true
            }
            Some(exclusion) => {
                if self.limit == BatchLimit::Empty || exclusion == BatchLimit::Slots {
                    self.limit = exclusion;
                }
                false
            }
        }
    }

    /// Returns why there are no more pieces in the call.
    pub(crate) fn limit(&self) -> BatchLimit {
        self.limit
    }

    /// Returns why a piece doesn't go into the call; `None` if it does.
    fn find_exclusion(&mut self, piece: &QueuedPiece) -> Option<BatchLimit> {
        let is_started = self.started.contains(&piece.work);
        let is_left_to_domain = self.preference.leaves(piece) && !is_started;
        let is_left_to_faster = self.leaves_to_faster(piece);
        let is_left_together = !is_started && self.leaves_whole_work(piece);
        match () {
            () if self.excludes_request(piece) => Some(BatchLimit::Isolation),
            () if self.count == self.batch_config.pieces_max => Some(BatchLimit::Slots),
            () if is_left_to_faster => Some(BatchLimit::Speed),
            () if is_left_to_domain => Some(BatchLimit::ConsumerDomain),
            () if piece.result_bytes > self.free_bytes => Some(BatchLimit::FreeBytes),
            () if is_left_together => Some(BatchLimit::Slots),
            () => None,
        }
    }

    /// Returns whether the pieces of one request have to stay alone in a call.
    fn excludes_request(&self, piece: &QueuedPiece) -> bool {
        self.first.is_some_and(|(fingerprint, is_isolated)| {
            fingerprint != piece.fingerprint && (is_isolated || piece.is_isolated)
        })
    }

    /// Returns whether the other workers complete a piece earlier, or only they complete it in
    /// time.
    fn leaves_to_faster(&mut self, piece: &QueuedPiece) -> bool {
        let Some(slowdown) = self.worker.slowdown else {
            return false;
        };
        if self.left_to_faster > 0 {
            self.left_to_faster -= 1;
            return true;
        }
        let full_call = expected_call_time(self.batch_config, self.batch_config.pieces_max);
        let would_be_late = piece.due_at < self.now + slowdown.lengthen(full_call);
        would_be_late && !is_late(piece, self.now, self.batch_config)
    }

    /// Returns whether a work that doesn't fit into the call is left to another one as a whole.
    fn leaves_whole_work(&mut self, piece: &QueuedPiece) -> bool {
        if let Some((work, is_left)) = self.examined
            && work == piece.work
        {
            return is_left;
        }
        let by_bytes = (self.free_bytes / piece.result_bytes.max(1)) as usize;
        let slots = by_bytes.min(self.batch_config.pieces_max - self.count);
        let is_left = self.keeps_works_together
            && self.sizes[&piece.work] > slots
            && slots * EMPTY_SLOT_DIVISOR <= self.count + slots;
        self.examined = Some((piece.work, is_left));
        is_left
    }
}

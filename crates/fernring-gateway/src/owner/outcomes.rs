//! Handles the outcomes of calls and of their pieces.

use {
    super::{Owner, WorkOutcome, call_failure::CallFailure, send_reply},
    crate::{
        batching::{CALLS_PER_PIECE_MAX, QueuedPiece},
        eligibility::Ineligible,
        log,
        model::PieceOutcome,
        upstreams::Target,
        worker_pools::WorkerPool,
        workers::StoredResult,
    },
    fernring_core::text::LogLine,
    std::sync::Arc,
};

impl Owner {
    pub(super) fn handle_call_end(
        &self,
        pool: &WorkerPool,
        target: &Target,
        pieces: Vec<QueuedPiece>,
        result: Result<Vec<PieceOutcome>, CallFailure>,
        was_overdue: bool,
        has_crashed: bool,
    ) {
        let now = self.now();
        // Another copy of such a piece waits already or is in a call.
        let has_copy = |piece: &QueuedPiece| was_overdue && piece.may_be_called_again();
        let outcomes = match result {
            Ok(outcomes) => {
                self.upstreams.record_success(target.key);
                outcomes
            }
            Err(failure) => {
                match &failure {
                    CallFailure::Refused => self.upstreams.record_full(now, target.key),
                    CallFailure::Ineligible(_) => {}
                    CallFailure::NotSent(_) => self.upstreams.record_unreachable(now, target.key),
                    CallFailure::Failed(_) | CallFailure::Broken(_) => {
                        self.upstreams.record_failure(now, target.key);
                    }
                }
                let line = LogLine::event("stage_call_failed")
                    .with("service", &pool.service)
                    .with("upstream", &target.instance)
                    .with("pieces", pieces.len())
                    .with("error", &failure);
                log::warn(line);
                if matches!(failure, CallFailure::Ineligible(Ineligible::OutsideRegions)) {
                    // The region of this failure domain has changed since the pieces were
                    // submitted: their requester must choose another one.
                    pieces
                        .iter()
                        .for_each(|piece| self.finish_work(piece.work, WorkOutcome::NoWorkers));
                    return;
                }
                let first = pieces.first().map(|piece| piece.fingerprint);
                let has_other_requests =
                    pieces.iter().any(|piece| Some(piece.fingerprint) != first);
                let is_crash_of_several = has_crashed && has_other_requests;
                // A crash that another request may have caused doesn't count as a failed call of a
                // piece.
                let was_sent =
                    !matches!(failure, CallFailure::NotSent(_) | CallFailure::Ineligible(_));
                let is_counted = was_sent && !is_crash_of_several;
                for piece in pieces.into_iter().filter(|piece| !has_copy(piece)) {
                    let is_isolated = piece.is_isolated || is_crash_of_several;
                    self.retry(pool, QueuedPiece { is_isolated, ..piece }, is_counted);
                }
                return;
            }
        };
        for (piece, outcome) in pieces.into_iter().zip(outcomes) {
            let is_retried = matches!(outcome, PieceOutcome::NoCapacity | PieceOutcome::Failed);
            if !(is_retried && has_copy(&piece)) {
                self.handle_piece_outcome(pool, target, piece, outcome);
            }
        }
    }

    fn handle_piece_outcome(
        &self,
        pool: &WorkerPool,
        target: &Target,
        piece: QueuedPiece,
        outcome: PieceOutcome,
    ) {
        match outcome {
            PieceOutcome::Completed(handle) => self.complete_piece(pool, target, &piece, handle),
            PieceOutcome::Late => self.finish_work(piece.work, WorkOutcome::Late),
            PieceOutcome::InputGone => self.finish_work(piece.work, WorkOutcome::InputGone),
            PieceOutcome::NoCapacity => {
                self.record_full_worker(pool, target, &piece);
                self.requeue(pool, piece);
            }
            PieceOutcome::Failed => self.retry(pool, piece, true),
        }
    }

    fn complete_piece(
        &self,
        pool: &WorkerPool,
        target: &Target,
        piece: &QueuedPiece,
        handle: Arc<str>,
    ) {
        if let Some(worker) = self.workers.borrow_mut().get_mut(target.key) {
            let stored = StoredResult {
                bytes: piece.result_bytes,
                produced_at: self.now(),
                requester: piece.requester,
            };
            worker.add_result(handle.clone(), stored);
        }
        let mut works = self.works.borrow_mut();
        let Some(work) = works.get_mut(&piece.work) else {
            drop(works);
            self.release(&pool.service, [handle]);
            return;
        };
        let slot = &mut work.handles[piece.piece.number as usize];
        if slot.is_some() {
            // A copy of the piece was completed earlier by another worker.
            drop(works);
            self.release(&pool.service, [handle]);
            return;
        }
        *slot = Some(handle);
        if let Some(queue) = self.queues.borrow_mut().get_mut(pool) {
            queue.remove_piece(piece.work, piece.piece.number);
        }
        if work.handles.iter().any(Option::is_none) {
            return;
        }
        if let Some(work) = works.remove(&piece.work) {
            drop(works);
            let handles = work.handles.into_iter().flatten().collect();
            if let Err(WorkOutcome::Completed(handles)) =
                work.reply.send(WorkOutcome::Completed(handles))
            {
                self.release(&pool.service, handles);
            }
        }
    }

    /// Records that a worker has less capacity than this owner knows: it holds results of another
    /// owner, or results are larger than announced.
    fn record_full_worker(&self, pool: &WorkerPool, target: &Target, piece: &QueuedPiece) {
        let Some((_, batch_config)) = self.service(&pool.service) else {
            return;
        };
        let mut workers = self.workers.borrow_mut();
        let Some(worker) = workers.get_mut(target.key) else {
            return;
        };
        let kept_bytes = worker.used_bytes();
        if worker.record_capacity_refusal(self.now(), &batch_config) {
            let line = LogLine::event("maker_full").with("upstream", &target.instance);
            let line = line.with("service", &pool.service).with("kept_bytes", kept_bytes);
            log::info(line.with("result_bytes", piece.result_bytes));
        }
    }

    /// Queues a piece again whose call failed, or fails its work after [`CALLS_PER_PIECE_MAX`]
    /// calls. `is_counted` says whether the failed call counts as one of these.
    fn retry(&self, pool: &WorkerPool, mut piece: QueuedPiece, is_counted: bool) {
        if self.is_done(&piece) {
            return;
        }
        piece.calls += u32::from(is_counted);
        match piece.calls < CALLS_PER_PIECE_MAX {
            true => self.requeue(pool, piece),
            false => self.finish_work(piece.work, WorkOutcome::Failed),
        }
    }

    pub(super) fn requeue(&self, pool: &WorkerPool, piece: QueuedPiece) {
        if !self.is_done(&piece) {
            self.queues.borrow_mut().entry(pool.clone()).or_default().push(piece);
        }
    }

    /// Returns whether a piece is completed or its result isn't needed any more.
    fn is_done(&self, piece: &QueuedPiece) -> bool {
        let works = self.works.borrow();
        let work = works.get(&piece.work);
        work.is_none_or(|work| work.handles[piece.piece.number as usize].is_some())
    }

    pub(super) fn finish_work(&self, work: u64, outcome: WorkOutcome) {
        let Some(pending) = self.works.borrow_mut().remove(&work) else {
            return;
        };
        if let Some(queue) = self.queues.borrow_mut().get_mut(&pending.pool) {
            queue.cancel(work);
        }
        let line = LogLine::event("work_ended").with("service", &pending.pool.service);
        log::info(line.with("outcome", outcome.name()));
        self.release(&pending.pool.service, pending.handles.into_iter().flatten());
        send_reply(pending.reply, outcome);
    }
}

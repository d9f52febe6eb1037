//! What becomes of pieces when their calls have ended.

use {
    super::{Owner, WorkEnd, calls::CallFailure, reply},
    crate::{
        barred::Barred,
        batching::{CALLS_MAX, Task},
        log,
        makers::Kept,
        model::PieceOutcome,
        pools::MakerPool,
        upstreams::Target,
    },
    fernring_core::text::LogLine,
    std::sync::Arc,
};

impl Owner {
    pub(super) fn call_ended(
        &self,
        pool: &MakerPool,
        target: &Target,
        tasks: Vec<Task>,
        end: Result<Vec<PieceOutcome>, CallFailure>,
        was_overdue: bool,
        has_ended: bool,
    ) {
        let now = self.now();
        // Of these, another copy waits or is in a call already.
        let goes_on = |task: &Task| was_overdue && has_further_call(task);
        let outcomes = match end {
            Ok(outcomes) => {
                self.upstreams.succeeded(target.key);
                outcomes
            }
            Err(failure) => {
                match &failure {
                    CallFailure::Refused => self.upstreams.was_full(now, target.key),
                    CallFailure::Barred(_) => {}
                    CallFailure::NotSent(_) => self.upstreams.was_unreachable(now, target.key),
                    CallFailure::Failed(_) | CallFailure::Broken(_) => {
                        self.upstreams.failed(now, target.key);
                    }
                }
                let line = LogLine::event("stage_call_failed")
                    .with("service", &pool.service)
                    .with("upstream", &target.instance)
                    .with("pieces", tasks.len())
                    .with("error", &failure);
                log::warn(line);
                if matches!(failure, CallFailure::Barred(Barred::OutsideRegions)) {
                    // The region of this failure domain has changed since they were handed in: who asked chooses anew.
                    tasks.iter().for_each(|task| self.end_work(task.work, WorkEnd::NoMakers));
                    return;
                }
                let first = tasks.first().map(|task| task.content);
                let has_company = tasks.iter().any(|task| Some(task.content) != first);
                let is_company_ended = has_ended && has_company;
                // What another request did to the maker doesn't count among the calls of a piece.
                let was_sent = !matches!(failure, CallFailure::NotSent(_) | CallFailure::Barred(_));
                let counts = was_sent && !is_company_ended;
                for task in tasks.into_iter().filter(|task| !goes_on(task)) {
                    let is_apart = task.is_apart || is_company_ended;
                    self.retry(pool, Task { is_apart, ..task }, counts);
                }
                return;
            }
        };
        for (task, outcome) in tasks.into_iter().zip(outcomes) {
            let is_repeated = matches!(outcome, PieceOutcome::NoCapacity | PieceOutcome::Failed);
            if !(is_repeated && goes_on(&task)) {
                self.piece_ended(pool, target, task, outcome);
            }
        }
    }

    fn piece_ended(&self, pool: &MakerPool, target: &Target, task: Task, outcome: PieceOutcome) {
        match outcome {
            PieceOutcome::Completed(handle) => self.piece_made(pool, target, &task, handle),
            PieceOutcome::Late => self.end_work(task.work, WorkEnd::Late),
            PieceOutcome::InputGone => self.end_work(task.work, WorkEnd::InputGone),
            PieceOutcome::NoCapacity => {
                self.had_no_room(pool, target, &task);
                self.put_back(pool, task);
            }
            PieceOutcome::Failed => self.retry(pool, task, true),
        }
    }

    fn piece_made(&self, pool: &MakerPool, target: &Target, task: &Task, handle: Arc<str>) {
        if let Some(maker) = self.makers.borrow_mut().get_mut(target.key) {
            let kept = Kept { bytes: task.result_bytes, made_at: self.now(), asker: task.asker };
            maker.keep(handle.clone(), kept);
        }
        let mut works = self.works.borrow_mut();
        let Some(work) = works.get_mut(&task.work) else {
            drop(works);
            self.release(&pool.service, [handle]);
            return;
        };
        let place = &mut work.handles[task.piece.number as usize];
        if place.is_some() {
            // Another maker was given the piece as well and was faster.
            drop(works);
            self.release(&pool.service, [handle]);
            return;
        }
        *place = Some(handle);
        if let Some(queue) = self.queues.borrow_mut().get_mut(pool) {
            queue.drop_piece(task.work, task.piece.number);
        }
        if work.handles.iter().any(Option::is_none) {
            return;
        }
        if let Some(work) = works.remove(&task.work) {
            drop(works);
            let handles = work.handles.into_iter().flatten().collect();
            if let Err(WorkEnd::Made(handles)) = work.reply.send(WorkEnd::Made(handles)) {
                self.release(&pool.service, handles);
            }
        }
    }

    /// Takes in that a maker has less room than is known here: another owner's results lie there,
    /// or results are larger than they were said to be.
    fn had_no_room(&self, pool: &MakerPool, target: &Target, task: &Task) {
        let Some((_, shape)) = self.service(&pool.service) else {
            return;
        };
        let mut makers = self.makers.borrow_mut();
        let Some(maker) = makers.get_mut(target.key) else {
            return;
        };
        let known = maker.kept_bytes();
        if maker.had_no_room(self.now(), &shape) {
            let line = LogLine::event("maker_full").with("upstream", &target.instance);
            let line = line.with("service", &pool.service).with("kept_bytes", known);
            log::info(line.with("result_bytes", task.result_bytes));
        }
    }

    /// Puts a piece back whose call failed, or fails its work. `was_sent` says whether the
    /// upstream may have worked on it.
    fn retry(&self, pool: &MakerPool, mut task: Task, was_sent: bool) {
        if self.is_made(&task) {
            return;
        }
        task.calls += u32::from(was_sent);
        match task.calls < CALLS_MAX {
            true => self.put_back(pool, task),
            false => self.end_work(task.work, WorkEnd::Failed),
        }
    }

    pub(super) fn put_back(&self, pool: &MakerPool, task: Task) {
        if !self.is_made(&task) {
            self.queues.borrow_mut().entry(pool.clone()).or_default().push(task);
        }
    }

    /// Tells whether a piece's result is there, or not needed any more.
    fn is_made(&self, task: &Task) -> bool {
        let works = self.works.borrow();
        let work = works.get(&task.work);
        work.is_none_or(|work| work.handles[task.piece.number as usize].is_some())
    }

    pub(super) fn end_work(&self, work: u64, end: WorkEnd) {
        let Some(open) = self.works.borrow_mut().remove(&work) else {
            return;
        };
        if let Some(queue) = self.queues.borrow_mut().get_mut(&open.pool) {
            queue.cancel(work);
        }
        let line = LogLine::event("work_ended").with("service", &open.pool.service);
        log::info(line.with("outcome", end.name()));
        self.release(&open.pool.service, open.handles.into_iter().flatten());
        reply(open.reply, end);
    }
}

/// Tells whether a piece may go into a further call.
pub(super) fn has_further_call(task: &Task) -> bool {
    task.calls + 1 < CALLS_MAX
}

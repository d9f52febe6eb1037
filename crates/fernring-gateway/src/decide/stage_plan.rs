//! The order in which a request's stages run, and the results that each needs.

use {
    crate::model::StageSpec,
    std::{sync::Arc, time::Duration},
};

#[derive(Debug, Clone, PartialEq, Eq)]
enum Progress {
    Waiting,
    Running,
    Done(Vec<Arc<str>>),
}

/// The stages of one request.
#[derive(Debug)]
pub struct StagePlan {
    stages: Vec<StageSpec>,
    counts: Vec<u32>,
    progress: Vec<Progress>,
}

impl StagePlan {
    /// Plans the stages of a request that has `counts` pieces in each; a stage without an entry in
    /// `counts` has one piece. A stage without pieces is done at once.
    pub fn new(stages: &[StageSpec], counts: &[u32]) -> Self {
        let counts: Vec<_> =
            (0..stages.len()).map(|stage| counts.get(stage).copied().unwrap_or(1)).collect();
        let start = |count: &u32| match count {
            0 => Progress::Done(Vec::new()),
            _ => Progress::Waiting,
        };
        Self { progress: counts.iter().map(start).collect(), stages: stages.to_vec(), counts }
    }

    /// Returns the stages that can start now, and marks them as running.
    ///
    /// A stage with more time than the longest chain of the others waits until that chain has come
    /// within `lead` stages of it, so that its results don't take space while nothing reads them.
    pub fn start_ready(&mut self, lead: usize) -> Vec<usize> {
        let done = |stage: &usize| matches!(self.progress[*stage], Progress::Done(_));
        let unfinished = (0..self.stages.len()).filter(|stage| !done(stage));
        let longest = unfinished.map(|stage| self.chain_length(stage)).max().unwrap_or(0);
        let ready = |stage: &usize| {
            self.progress[*stage] == Progress::Waiting
                && self.stages[*stage].depends_on.iter().all(done)
                && self.chain_length(*stage) + lead >= longest
        };
        let ready: Vec<_> = (0..self.stages.len()).filter(ready).collect();
        for stage in &ready {
            self.progress[*stage] = Progress::Running;
        }
        ready
    }

    /// Returns the number of stages in the longest chain that begins with a stage, including that
    /// stage.
    fn chain_length(&self, stage: usize) -> usize {
        let dependents = self.dependents(stage);
        1 + dependents.map(|dependent| self.chain_length(dependent)).max().unwrap_or(0)
    }

    /// Returns the time from a stage's results to those of the last stage that depends on them,
    /// where `time_of` estimates the duration of a stage with a number of pieces.
    pub fn time_after(
        &self,
        stage: usize,
        time_of: &impl Fn(&StageSpec, u32) -> Duration,
    ) -> Duration {
        let after = |dependent: usize| {
            time_of(&self.stages[dependent], self.counts[dependent])
                + self.time_after(dependent, time_of)
        };
        self.dependents(stage).map(after).max().unwrap_or_default()
    }

    fn dependents(&self, stage: usize) -> impl Iterator<Item = usize> {
        (0..self.stages.len()).filter(move |other| {
            self.counts[*other] > 0 && self.stages[*other].depends_on.contains(&stage)
        })
    }

    /// Records the handles of a stage's results and marks the stage as done.
    pub fn finish(&mut self, stage: usize, handles: Vec<Arc<str>>) {
        self.progress[stage] = Progress::Done(handles);
    }

    /// Returns whether results that were produced have been released.
    pub fn has_released_results(&self) -> bool {
        let has_no_results =
            |progress: &Progress| matches!(progress, Progress::Done(h) if h.is_empty());
        self.counts
            .iter()
            .zip(&self.progress)
            .any(|(count, progress)| *count > 0 && has_no_results(progress))
    }

    /// Returns whether every stage is done.
    pub fn is_done(&self) -> bool {
        self.progress.iter().all(|progress| matches!(progress, Progress::Done(_)))
    }

    /// Returns whether any stage produces results of at least `bytes`.
    pub fn produces_large_results(&self, bytes: u64) -> bool {
        let large = |(spec, count): (&StageSpec, &u32)| *count > 0 && spec.result_bytes >= bytes;
        self.stages.iter().zip(&self.counts).any(large)
    }

    /// Returns the number of pieces of a stage.
    pub fn piece_count(&self, stage: usize) -> u32 {
        self.counts[stage]
    }

    /// Returns the specification of a stage.
    pub fn spec(&self, stage: usize) -> &StageSpec {
        &self.stages[stage]
    }

    /// Returns the handles that a stage needs, or `None` for a stage that depends on no other.
    pub fn input_handles(&self, stage: usize) -> Option<Vec<Arc<str>>> {
        let after = &self.stages[stage].depends_on;
        (!after.is_empty()).then(|| after.iter().flat_map(|s| self.handles(*s)).cloned().collect())
    }

    /// Returns, for each stage that a stage depends on, the size of one result and the handles.
    pub fn inputs_by_stage(&self, stage: usize) -> Vec<(u64, &[Arc<str>])> {
        let after = self.stages[stage].depends_on.iter();
        after.map(|s| (self.stages[*s].result_bytes, self.handles(*s))).collect()
    }

    /// Returns the handles that the request itself needs: those of all stages that no other stage
    /// depends on.
    pub fn final_handles(&self) -> Vec<Arc<str>> {
        let final_stages = (0..self.stages.len()).filter(|stage| !self.has_dependents(*stage));
        final_stages.flat_map(|stage| self.handles(stage)).cloned().collect()
    }

    /// Takes out the results that nothing needs any more: those of a stage on which others depend,
    /// once all of these are done. Each result is returned once.
    pub fn take_consumed(&mut self) -> Vec<(usize, Vec<Arc<str>>)> {
        let mut consumed = Vec::new();
        for stage in 0..self.stages.len() {
            let dependents =
                (0..self.stages.len()).filter(|s| self.stages[*s].depends_on.contains(&stage));
            let all_done =
                dependents.clone().all(|s| matches!(self.progress[s], Progress::Done(_)));
            if dependents.count() == 0 || !all_done {
                continue;
            }
            if let Progress::Done(handles) = &mut self.progress[stage]
                && !handles.is_empty()
            {
                consumed.push((stage, std::mem::take(handles)));
            }
        }
        consumed
    }

    /// Takes out all handles that were produced and not yet released, with their stages.
    pub fn take_remaining(&mut self) -> Vec<(usize, Vec<Arc<str>>)> {
        let mut all = Vec::new();
        for (stage, progress) in self.progress.iter_mut().enumerate() {
            if let Progress::Done(handles) = progress
                && !handles.is_empty()
            {
                all.push((stage, std::mem::take(handles)));
            }
        }
        all
    }

    fn has_dependents(&self, stage: usize) -> bool {
        self.stages.iter().any(|other| other.depends_on.contains(&stage))
    }

    fn handles(&self, stage: usize) -> &[Arc<str>] {
        match &self.progress[stage] {
            Progress::Done(handles) => handles,
            Progress::Waiting | Progress::Running => &[],
        }
    }
}

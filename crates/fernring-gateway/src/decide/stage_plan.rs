//! The order in which a request's stages run, and which results each needs.

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
    /// Plans the stages of a request that has `counts` pieces in each; a stage that `counts`
    /// doesn't name has one. A stage without pieces is done at once.
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
    /// A stage that has more time than the longest chain of the others waits until that chain has
    /// come within `lead` stages of it, so that its results don't take room while nothing reads them.
    pub fn start_ready(&mut self, lead: usize) -> Vec<usize> {
        let done = |stage: &usize| matches!(self.progress[*stage], Progress::Done(_));
        let open = (0..self.stages.len()).filter(|stage| !done(stage));
        let longest = open.map(|stage| self.chain_length(stage)).max().unwrap_or(0);
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

    /// Returns the number of stages from one to the end of the longest chain that begins with it.
    fn chain_length(&self, stage: usize) -> usize {
        let followers = self.followers(stage);
        1 + followers.map(|follower| self.chain_length(follower)).max().unwrap_or(0)
    }

    /// Returns the time from a stage's results to those of the last stage that needs them, where
    /// `time_of` estimates a stage with a number of pieces.
    pub fn time_after(
        &self,
        stage: usize,
        time_of: &impl Fn(&StageSpec, u32) -> Duration,
    ) -> Duration {
        let after = |follower: usize| {
            time_of(&self.stages[follower], self.counts[follower])
                + self.time_after(follower, time_of)
        };
        self.followers(stage).map(after).max().unwrap_or_default()
    }

    fn followers(&self, stage: usize) -> impl Iterator<Item = usize> {
        (0..self.stages.len()).filter(move |other| {
            self.counts[*other] > 0 && self.stages[*other].depends_on.contains(&stage)
        })
    }

    /// Takes in the handles of a stage's results.
    pub fn finish(&mut self, stage: usize, handles: Vec<Arc<str>>) {
        self.progress[stage] = Progress::Done(handles);
    }

    /// Tells whether results that were made have been given up.
    pub fn is_released(&self) -> bool {
        let made_none = |progress: &Progress| matches!(progress, Progress::Done(h) if h.is_empty());
        self.counts.iter().zip(&self.progress).any(|(count, p)| *count > 0 && made_none(p))
    }

    /// Tells whether every stage is done.
    pub fn is_done(&self) -> bool {
        self.progress.iter().all(|progress| matches!(progress, Progress::Done(_)))
    }

    /// Tells whether a stage makes results of `bytes` or more.
    pub fn makes_any(&self, bytes: u64) -> bool {
        let large = |(spec, count): (&StageSpec, &u32)| *count > 0 && spec.result_bytes >= bytes;
        self.stages.iter().zip(&self.counts).any(large)
    }

    /// Returns the number of pieces of a stage.
    pub fn count(&self, stage: usize) -> u32 {
        self.counts[stage]
    }

    /// Returns a stage.
    pub fn spec(&self, stage: usize) -> &StageSpec {
        &self.stages[stage]
    }

    /// Returns the handles that a stage needs, or `None` for a stage that follows none.
    pub fn inputs(&self, stage: usize) -> Option<Vec<Arc<str>>> {
        let after = &self.stages[stage].depends_on;
        (!after.is_empty()).then(|| after.iter().flat_map(|s| self.handles(*s)).cloned().collect())
    }

    /// Returns the size of one result and the handles of each stage that a stage needs.
    pub fn inputs_by_stage(&self, stage: usize) -> Vec<(u64, &[Arc<str>])> {
        let after = self.stages[stage].depends_on.iter();
        after.map(|s| (self.stages[*s].result_bytes, self.handles(*s))).collect()
    }

    /// Returns the handles that the request itself needs: those of all stages that no other
    /// stage follows.
    pub fn final_handles(&self) -> Vec<Arc<str>> {
        let last = (0..self.stages.len()).filter(|stage| !self.is_followed(*stage));
        last.flat_map(|stage| self.handles(stage)).cloned().collect()
    }

    /// Returns the stages whose results nothing needs any more: those that a stage follows, once
    /// all stages that follow it are done. Each is returned once.
    pub fn take_spent(&mut self) -> Vec<(usize, Vec<Arc<str>>)> {
        let mut spent = Vec::new();
        for stage in 0..self.stages.len() {
            let followers =
                (0..self.stages.len()).filter(|s| self.stages[*s].depends_on.contains(&stage));
            let all_done = followers.clone().all(|s| matches!(self.progress[s], Progress::Done(_)));
            if followers.count() == 0 || !all_done {
                continue;
            }
            if let Progress::Done(handles) = &mut self.progress[stage]
                && !handles.is_empty()
            {
                spent.push((stage, std::mem::take(handles)));
            }
        }
        spent
    }

    /// Returns all handles that were made and not yet given up, with their stages.
    pub fn take_all(&mut self) -> Vec<(usize, Vec<Arc<str>>)> {
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

    fn is_followed(&self, stage: usize) -> bool {
        self.stages.iter().any(|other| other.depends_on.contains(&stage))
    }

    fn handles(&self, stage: usize) -> &[Arc<str>] {
        match &self.progress[stage] {
            Progress::Done(handles) => handles,
            Progress::Waiting | Progress::Running => &[],
        }
    }
}

//! Entries of the ledger and their attempts.

use {
    super::predict::Requester,
    crate::{assembly::ResponseAssembly, event::Submission, queue::QueuePosition},
    fernring_core::{
        catalog::{Pipeline, Stage},
        ids::{AttemptRef, ScopedKey, UpstreamId, WaiterId},
    },
    std::{sync::Arc, time::Duration},
};

/// Where an entry stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Phase {
    /// It waits for an upstream of its stage's pool.
    Queued(QueuePosition),
    /// It waits to be told that its key is its own.
    AwaitingClaim,
    /// At least one attempt of its stage is under way.
    Running,
    /// Its key belongs to another incarnation, whose word it waits for.
    Relaying,
}

/// Whether the side effects of an entry may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ClaimState {
    /// It has none.
    NotNeeded,
    /// The log has not decided.
    Pending,
    /// They may run here, once.
    Won,
}

/// Somebody who waits for an entry's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Waiter {
    pub(crate) id: WaiterId,
    pub(crate) streaming: bool,
    /// Parts of the last stage's answer that were passed on.
    pub(crate) delivered: usize,
}

/// Time of a stage whose result was taken over.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct StageTime {
    pub(crate) stage: u16,
    pub(crate) busy_ms: f64,
}

/// One accepted request.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) submission: Submission,
    pub(crate) pipeline_name: Arc<str>,
    pub(crate) pipeline: Arc<Pipeline>,
    pub(crate) weight: u32,
    pub(crate) key: Option<ScopedKey>,
    pub(crate) fingerprint: u64,
    pub(crate) prefix: u64,
    pub(crate) received: Duration,
    pub(crate) deadline: Duration,
    pub(crate) phase: Phase,
    /// Stage that it has reached. Invariant: only grows.
    pub(crate) stage: u16,
    /// First stage that no attempt was sent for yet; counted by the forecast from there on.
    pub(crate) pending_from: u16,
    /// Input of the stage it has reached.
    pub(crate) input: Arc<str>,
    /// Attempts of the stage that have not ended.
    pub(crate) live: Vec<AttemptRef>,
    /// Upstreams that the stage was tried at.
    pub(crate) tried: Vec<UpstreamId>,
    pub(crate) stage_attempts: u32,
    pub(crate) hedged: bool,
    /// Whether the last attempt ended before anything ran.
    pub(crate) unsent: bool,
    /// Attempts of all stages that may have reached an upstream.
    pub(crate) attempts_made: u32,
    pub(crate) claim: ClaimState,
    /// Whether the side effect of the stage was sent. Invariant: never sent while set.
    pub(crate) effect_sent: bool,
    /// Whether the side effect of an earlier stage, or of this one, is known to have happened.
    pub(crate) effect_done: bool,
    /// The attempt whose parts streaming waiters were given.
    pub(crate) pinned: Option<AttemptRef>,
    pub(crate) waiters: Vec<Waiter>,
    pub(crate) times: Vec<StageTime>,
}

impl Entry {
    pub(crate) fn requester(&self) -> Requester<'_> {
        Requester { workspace: &self.submission.workspace, weight: self.weight }
    }

    pub(crate) fn current_stage(&self) -> &Stage {
        &self.pipeline.stages[usize::from(self.stage)]
    }

    /// Tells whether a stage may be sent only once: it has a side effect, or the caller marked
    /// the request as non-idempotent and no stage is declared to be the one that matters.
    pub(crate) fn is_effect(&self, stage: u16) -> bool {
        let declared = self.pipeline.stages[usize::from(stage)].effect;
        declared || (self.submission.non_idempotent && !self.pipeline.has_effect())
    }

    pub(crate) fn is_last_stage(&self) -> bool {
        usize::from(self.stage) + 1 == self.pipeline.stages.len()
    }

    /// Tells whether a side effect was sent and its outcome is not known.
    pub(crate) fn effect_in_doubt(&self) -> bool {
        self.effect_sent && self.is_effect(self.stage)
    }

    /// Tells whether any attempt of the stage is under way.
    pub(crate) fn has_live(&self, attempt: AttemptRef) -> bool {
        self.live.contains(&attempt)
    }

    /// Takes over the output of the stage and moves on to the next.
    pub(crate) fn enter_next_stage(&mut self, output: Arc<str>) {
        self.stage += 1;
        self.input = output;
        self.live.clear();
        self.tried.clear();
        self.stage_attempts = 0;
        self.hedged = false;
        self.unsent = false;
        self.effect_sent = false;
        self.pinned = None;
    }
}

/// What an attempt is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AttemptKind {
    First,
    Retry,
    /// After an attempt that ran nothing.
    Resend,
    Hedge,
}

impl AttemptKind {
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::First => "first",
            Self::Retry => "retry",
            Self::Resend => "resend",
            Self::Hedge => "hedge",
        }
    }
}

/// One attempt that has not ended.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) reference: AttemptRef,
    pub(crate) uid: uuid::Uuid,
    pub(crate) upstream: UpstreamId,
    pub(crate) started: Duration,
    pub(crate) effect: bool,
    pub(crate) pipeline_name: Arc<str>,
    pub(crate) workspace: Arc<str>,
    pub(crate) stage_name: Arc<str>,
    pub(crate) pool: String,
    pub(crate) assembly: ResponseAssembly,
    /// Whether a part contradicted the answer; then the attempt can't succeed.
    pub(crate) invalid: bool,
    /// Whether its twin's result was used instead.
    pub(crate) superseded: bool,
}

impl Attempt {
    pub(crate) fn new(
        entry: &Entry,
        reference: AttemptRef,
        upstream: UpstreamId,
        started: Duration,
    ) -> Self {
        let stage = entry.current_stage();
        Self {
            reference,
            uid: entry.submission.uid,
            upstream,
            started,
            effect: entry.is_effect(reference.stage),
            pipeline_name: entry.pipeline_name.clone(),
            workspace: entry.submission.workspace.clone(),
            stage_name: stage.name.as_str().into(),
            pool: stage.pool.clone(),
            assembly: ResponseAssembly::default(),
            invalid: false,
            superseded: false,
        }
    }
}

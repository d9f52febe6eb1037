//! Ledger entries, one for each accepted request, and their attempts.

use {
    super::forecast::Requester,
    crate::{assembly::ResponseAssembly, event::Submission, queue::QueuePosition},
    fernring_core::{
        catalog::{Pipeline, Stage},
        ids::{AttemptRef, ScopedKey, UpstreamId, WaiterId},
    },
    std::{sync::Arc, time::Duration},
};

/// The phase of a ledger entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The request waits in the queue of its stage's pool for an upstream.
    Queued(QueuePosition),
    /// The next stage has a side effect, and the claim of the key is not decided yet.
    AwaitingClaim,
    /// At least one attempt of the current stage is in flight.
    Running,
    /// The key belongs to another incarnation, whose answer the request waits for.
    AwaitingOwner,
}

/// Whether the side effects of an entry may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ClaimState {
    /// The request has no side effects.
    NotNeeded,
    /// The claim stream has not decided who owns the key.
    Pending,
    /// This node owns the key: the side effects may run here, once.
    Won,
}

/// A caller or peer node that waits for the answer of an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Waiter {
    pub(crate) id: WaiterId,
    pub(crate) streaming: bool,
    /// Number of parts of the last stage's output that the waiter was sent.
    pub(crate) delivered_parts: usize,
}

/// Upstream time of a completed stage.
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
    pub(crate) received_at: Duration,
    pub(crate) deadline: Duration,
    pub(crate) phase: Phase,
    /// Index of the current stage. Invariant: only grows.
    pub(crate) stage: u16,
    /// First stage without an attempt; the forecast counts the stages from this one on as pending.
    pub(crate) pending_from_stage: u16,
    /// Input of the current stage.
    pub(crate) input: Arc<str>,
    /// Attempts of the current stage that are in flight and whose result is still wanted.
    pub(crate) live_attempts: Vec<AttemptRef>,
    /// Upstreams to which an attempt of the current stage was sent.
    pub(crate) tried_upstreams: Vec<UpstreamId>,
    pub(crate) stage_attempts: u32,
    pub(crate) hedged: bool,
    /// Whether the last failed attempt ended before its upstream ran anything.
    pub(crate) last_attempt_not_run: bool,
    /// Number of attempts, over all stages, that may have reached an upstream.
    pub(crate) attempts_made: u32,
    pub(crate) claim: ClaimState,
    /// Whether the side effect of the current stage was sent. Invariant: it is not sent again while
    /// this is set.
    pub(crate) effect_sent: bool,
    /// Whether a side effect of this or an earlier stage is known to have run.
    pub(crate) effect_done: bool,
    /// The attempt whose parts are streamed to waiters; once set, no other attempt is.
    pub(crate) pinned: Option<AttemptRef>,
    pub(crate) waiters: Vec<Waiter>,
    pub(crate) stage_times: Vec<StageTime>,
}

impl Entry {
    pub(crate) fn requester(&self) -> Requester<'_> {
        Requester { workspace: &self.submission.workspace, weight: self.weight }
    }

    pub(crate) fn current_stage(&self) -> &Stage {
        &self.pipeline.stages[usize::from(self.stage)]
    }

    /// Returns whether a stage may be sent only once: the stage is declared to have a side effect,
    /// or the caller marked the request as non-idempotent and the pipeline declares no stage with
    /// a side effect.
    pub(crate) fn is_effect_stage(&self, stage: u16) -> bool {
        let declared = self.pipeline.stages[usize::from(stage)].effect;
        declared || (self.submission.non_idempotent && !self.pipeline.has_effect())
    }

    pub(crate) fn is_last_stage(&self) -> bool {
        usize::from(self.stage) + 1 == self.pipeline.stages.len()
    }

    /// Returns whether the side effect of the current stage was sent and its outcome is unknown.
    pub(crate) fn effect_in_doubt(&self) -> bool {
        self.effect_sent && self.is_effect_stage(self.stage)
    }

    /// Returns whether the attempt is in flight and its result is still wanted.
    pub(crate) fn is_live(&self, attempt: AttemptRef) -> bool {
        self.live_attempts.contains(&attempt)
    }

    /// Moves on to the next stage, whose input is the output of the completed one.
    pub(crate) fn advance_to_next_stage(&mut self, output: Arc<str>) {
        self.stage += 1;
        self.input = output;
        self.live_attempts.clear();
        self.tried_upstreams.clear();
        self.stage_attempts = 0;
        self.hedged = false;
        self.last_attempt_not_run = false;
        self.effect_sent = false;
        self.pinned = None;
    }
}

/// The reason why an attempt is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AttemptKind {
    First,
    /// Follows a failed attempt.
    Retry,
    /// Follows an attempt that ran nothing.
    Resend,
    /// Runs beside a straggling attempt.
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

/// An attempt that has not ended.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) reference: AttemptRef,
    pub(crate) uid: uuid::Uuid,
    pub(crate) upstream: UpstreamId,
    pub(crate) started_at: Duration,
    pub(crate) effect: bool,
    pub(crate) pipeline_name: Arc<str>,
    pub(crate) workspace: Arc<str>,
    pub(crate) stage_name: Arc<str>,
    pub(crate) pool: String,
    pub(crate) assembly: ResponseAssembly,
    /// Whether an invalid part arrived; then the attempt can't succeed.
    pub(crate) invalid: bool,
    /// Whether the result of the other attempt of the same stage is used instead.
    pub(crate) superseded: bool,
}

impl Attempt {
    pub(crate) fn new(
        entry: &Entry,
        reference: AttemptRef,
        upstream: UpstreamId,
        started_at: Duration,
    ) -> Self {
        let stage = entry.current_stage();
        Self {
            reference,
            uid: entry.submission.uid,
            upstream,
            started_at,
            effect: entry.is_effect_stage(reference.stage),
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

//! Admission of requests, decided at arrival. No I/O.
//!
//! Handles bursts in which, for some seconds, more requests arrive than the stage services can
//! process. Queueing all of them would serve each one too late, and the results produced for
//! requests that are abandoned in the end would be lost. The whole path is therefore forecast at
//! arrival, and a request is refused at once unless its answer will come while it is still of use.
//! An admitted request is not refused later.
//!
//! The state of the queues is up to one heartbeat old; the arrival and completion rates extrapolate
//! it to the present. What is limited is the wait. Requests that can be in time may wait as long as
//! the requests of their rank can on average, whatever their own size, since the queue serves those
//! first that are due first. The others wait behind all of these, at most as long as their
//! callers do.

use {crate::backlog::Backlog, std::time::Duration};

/// Factor on the waits of requests whose rank is short: in a crowd a queue grows while the report
/// of it is under way.
const SHORT_WAIT_MARGIN: f64 = 1.1;

/// One stage of a request, as the forecast needs it.
#[derive(Debug, Clone, PartialEq)]
pub struct StageDemand {
    /// Indexes of the stages whose results it needs. Invariant: all are below its own index.
    pub depends_on: Vec<usize>,
    /// Number of pieces; 0 if the request leaves the stage out.
    pub pieces: u32,
    /// Backlog of its service; `None` if unknown.
    pub backlog: Option<Backlog>,
    /// Duration of a call that holds this request's pieces and other queued pieces, up to a full
    /// call.
    pub call_time: Duration,
    /// Duration of a full call.
    pub full_call_time: Duration,
}

/// A request to be admitted or refused.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestDemand {
    /// Rank of the request, as an index.
    pub rank: usize,
    /// Stages of the request.
    pub stages: Vec<StageDemand>,
    /// Time from the results of the last stage to the first event of the answer.
    pub prefill_time: Duration,
    /// Time left until the answer loses value.
    pub objective_left: Duration,
    /// Time left until the answer is worthless.
    pub time_left: Duration,
}

impl RequestDemand {
    /// Returns the time until the first event if no piece had to wait.
    pub fn processing_time(&self) -> Duration {
        let no_wait = |_: &Backlog| Some(Duration::ZERO);
        path_time(self, |stage| stage.call_time, no_wait).unwrap_or(Duration::MAX)
    }

    /// Returns the time until the first event if the request waits as its rank does; `None` if the
    /// event would never come.
    pub fn time_in_rank(&self) -> Option<Duration> {
        let wait = |backlog: &Backlog| backlog.wait_for_rank(self.rank);
        path_time(self, |stage| stage.call_time, wait)
    }

    /// Returns the time until the first event is due: the objective, or the time that full calls
    /// take if that leaves less than the wait for a call in progress. A request that can hardly meet
    /// its objective would otherwise be late from the start, behind all others.
    pub fn due_time(&self) -> Duration {
        let no_wait = |_: &Backlog| Some(Duration::ZERO);
        let full_calls = path_time(self, |stage| stage.full_call_time, no_wait);
        let least = full_calls.unwrap_or(Duration::MAX).saturating_add(self.longest_call_time());
        self.objective_left.max(least).min(self.time_left)
    }

    /// Returns how long the request can wait and still be answered when it is due.
    pub fn slack(&self) -> Duration {
        self.due_time().saturating_sub(self.processing_time())
    }

    /// Returns the index of the stage whose service the request waits for longest; `None` if it has
    /// no pieces.
    pub fn longest_wait_stage(&self) -> Option<usize> {
        let used = (0..self.stages.len()).filter(|stage| self.stages[*stage].pieces > 0);
        let wait = |stage: &usize| {
            let backlog = self.stages[*stage].backlog.as_ref();
            backlog.map_or(Duration::ZERO, |backlog| {
                backlog.wait_for_rank(self.rank).unwrap_or(Duration::MAX)
            })
        };
        used.max_by_key(wait)
    }

    fn longest_call_time(&self) -> Duration {
        let used = self.stages.iter().filter(|stage| stage.pieces > 0);
        used.map(|stage| stage.full_call_time).max().unwrap_or_default()
    }

    /// Returns whether the caller still waits when the answer comes, if the request waits for
    /// `wait` or, since requests with less time go first, for a call in progress.
    fn is_awaited_after(&self, wait: Duration) -> bool {
        self.processing_time() + wait.min(self.longest_call_time()) <= self.time_left
    }
}

/// The decision about a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// Admitted; the answer is expected when it is due. The duration is the expected one without
    /// regard to how much earlier or later than others the request is due.
    InTime(Duration),
    /// Admitted, though the answer will come late, after the given duration.
    Late(Duration),
    /// Refused. A retry has a better chance after the given duration, if one is known.
    Refused(Option<Duration>),
}

/// Decides whether a request is admitted. `mean_slack` is that of its rank at the service that it
/// waits for longest.
pub fn decide(demand: &RequestDemand, mean_slack: Duration) -> AdmissionDecision {
    let in_time = demand.time_in_rank().filter(|time| is_in_time(demand, *time, mean_slack));
    if let Some(time) = in_time {
        return AdmissionDecision::InTime(time);
    }
    let late = path_time(demand, |stage| stage.call_time, Backlog::wait_for_late);
    match late {
        Some(time) if time <= demand.time_left => AdmissionDecision::Late(time),
        _ => AdmissionDecision::Refused(drained_after(demand)),
    }
}

/// Decides about a request whose rank is short of a service. `is_admitted` says whether the share
/// of the rank admits it. The forecast then only refuses what would be late; since the share leaves
/// the capacity that more urgent ranks need, the request waits for the pieces queued ahead of it.
pub fn decide_limited(
    demand: &RequestDemand,
    mean_slack: Duration,
    is_admitted: bool,
) -> AdmissionDecision {
    let wait = |backlog: &Backlog| {
        let wait = backlog.wait_behind_queue(demand.rank)?;
        Some(wait.mul_f64(SHORT_WAIT_MARGIN))
    };
    let time = path_time(demand, |stage| stage.call_time, wait);
    match time.filter(|time| is_admitted && is_in_time(demand, *time, mean_slack)) {
        Some(time) => AdmissionDecision::InTime(time),
        None => AdmissionDecision::Refused(None),
    }
}

/// Returns whether a request that would take `time` waits no longer than requests of its rank can
/// on average.
fn is_in_time(demand: &RequestDemand, time: Duration, mean_slack: Duration) -> bool {
    let wait = time.saturating_sub(demand.processing_time());
    wait <= mean_slack && demand.is_awaited_after(wait)
}

/// Returns the time until the first event, where `call_time_of` is the duration of a stage's calls
/// and `wait_of` estimates how long a piece waits before it enters one; `None` if the event would
/// never come.
fn path_time(
    demand: &RequestDemand,
    call_time_of: impl Fn(&StageDemand) -> Duration,
    wait_of: impl Fn(&Backlog) -> Option<Duration>,
) -> Option<Duration> {
    let mut completed_at: Vec<Duration> = Vec::with_capacity(demand.stages.len());
    for stage in &demand.stages {
        let ready_at = stage.depends_on.iter().map(|s| completed_at[*s]).max().unwrap_or_default();
        let completes_at = match (stage.pieces, &stage.backlog) {
            (0, _) => ready_at,
            (_, None) => ready_at + call_time_of(stage),
            // The queue ahead shrinks while earlier stages run.
            (_, Some(backlog)) => ready_at.max(wait_of(backlog)?) + call_time_of(stage),
        };
        completed_at.push(completes_at);
    }
    let stages_done_at = completed_at.into_iter().max().unwrap_or_default();
    Some(stages_done_at + demand.prefill_time)
}

/// Returns the time until the present backlogs of all services are processed.
fn drained_after(demand: &RequestDemand) -> Option<Duration> {
    let used = demand.stages.iter().filter(|stage| stage.pieces > 0);
    let waits = used.filter_map(|stage| stage.backlog.as_ref()).map(Backlog::wait_for_late);
    waits.collect::<Option<Vec<_>>>()?.into_iter().max()
}

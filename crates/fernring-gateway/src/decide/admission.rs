//! Whether a request is taken on, decided when it arrives. No I/O.
//!
//! The load that this answers: for some seconds more requests come than the stage services can
//! make pieces for. Whoever queues them all serves each too late, and what was made for those that
//! are given up in the end is lost. So the whole path is forecast at arrival, and a request is
//! turned away at once unless its answer will come while it is of use. One that is taken on is
//! kept.
//!
//! What is known of the queues is up to a heartbeat old, and is carried on by what came and went until then. The limits are the
//! caller's own: the objective for those that can be in time, its patience for the others. There is no limit on
//! a queue's length, since a queue that can be served in time is as long as it may be.

use {crate::backlog::Backlog, std::time::Duration};

/// One stage of a request, as its forecast needs it.
#[derive(Debug, Clone, PartialEq)]
pub struct StageDemand {
    /// Indexes of the stages whose results it needs. Invariant: all below its own.
    pub after: Vec<usize>,
    /// Its pieces; none if the request leaves it out.
    pub pieces: u32,
    /// What waits for its service; `None` if nothing is known.
    pub backlog: Option<Backlog>,
    /// Time of a call that holds this request's pieces and whatever else waits, up to a full one.
    pub call_time: Duration,
}

/// A request that asks to be taken on.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestDemand {
    /// Its rank, as an index.
    pub rank: usize,
    /// Its stages.
    pub stages: Vec<StageDemand>,
    /// Time from the results of the last stage to the first event.
    pub prefill_time: Duration,
    /// Time left until its answer is worth less.
    pub objective_left: Duration,
    /// Time left until its answer is worth nothing.
    pub time_left: Duration,
}

/// What becomes of a request that asks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// It is taken on and should be answered in time, after the time said.
    InTime(Duration),
    /// It is taken on though its answer will come late, after the time said.
    Late(Duration),
    /// It can't be served. A repeat has a better chance after the time said, if any has.
    Refused(Option<Duration>),
}

/// Decides on a request.
pub fn decide(need: &RequestDemand) -> AdmissionDecision {
    let in_time = path_time(need, |backlog| backlog.wait_for_rank(need.rank));
    if let Some(time) = in_time.filter(|time| *time <= need.objective_left) {
        return AdmissionDecision::InTime(time);
    }
    let late = path_time(need, Backlog::wait_for_late);
    match late {
        Some(time) if time <= need.time_left => AdmissionDecision::Late(time),
        _ => AdmissionDecision::Refused(drained_after(need)),
    }
}

/// Returns the time until the first event, where `wait_of` tells how long a piece waits for its
/// turn; `None` if it never comes.
fn path_time(need: &RequestDemand, wait_of: impl Fn(&Backlog) -> Option<Duration>) -> Option<Duration> {
    let mut ends: Vec<Duration> = Vec::with_capacity(need.stages.len());
    for stage in &need.stages {
        let ready_at = stage.after.iter().map(|s| ends[*s]).max().unwrap_or_default();
        let end = match (stage.pieces, &stage.backlog) {
            (0, _) => ready_at,
            (_, None) => ready_at + stage.call_time,
            // What is ahead goes on while the stages before are made.
            (_, Some(backlog)) => ready_at.max(wait_of(backlog)?) + stage.call_time,
        };
        ends.push(end);
    }
    let staged = ends.into_iter().max().unwrap_or_default();
    Some(staged + need.prefill_time)
}

/// Returns the time until what waits now is done at all services.
fn drained_after(need: &RequestDemand) -> Option<Duration> {
    let used = need.stages.iter().filter(|stage| stage.pieces > 0);
    let waits = used.filter_map(|stage| stage.backlog.as_ref()).map(Backlog::wait_for_late);
    waits.collect::<Option<Vec<_>>>()?.into_iter().max()
}

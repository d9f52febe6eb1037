//! Messages between the nodes that submit the pieces of stages and the pieces' owners.

use {
    crate::{
        fingerprint::Fingerprint,
        model::PieceInput,
        owner::{Work, WorkOutcome},
        residency::Residency,
        worker_pools::WorkerPool,
    },
    bytes::Bytes,
    fernring_protocol::gateway::{StageDone, StageWork},
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// Encodes the pieces of a stage for their owner.
pub(crate) fn encode_work(now: Duration, ticket: u64, work: &Work) -> StageWork {
    let (key, inputs) = match &work.input {
        PieceInput::Key(key) => (Some(key.to_string()), Vec::new()),
        PieceInput::Results(handles) => {
            (None, handles.iter().map(|handle| handle.to_string()).collect())
        }
    };
    let due_ms = work.due_at.as_millis() as i64 - i64::try_from(now.as_millis()).unwrap_or(0);
    StageWork {
        ticket,
        service: work.pool.service.to_string(),
        worker_domain: work.pool.failure_domain.as_deref().unwrap_or_default().to_owned(),
        request_id: work.request_id.to_string(),
        stage: work.stage,
        pieces: work.pieces,
        key,
        inputs,
        remaining_ms: work.deadline_at.saturating_sub(now).as_millis() as u32,
        due_ms: due_ms as i32,
        priority: work.priority,
        result_bytes: work.result_bytes,
        consumer_domain: work.consumer_domain.as_deref().unwrap_or_default().to_owned(),
        fingerprint: Bytes::copy_from_slice(work.fingerprint.bytes()),
        allowed_regions: work.residency.regions().map(|region| region.to_string()).collect(),
        is_resubmitted: work.is_resubmitted,
    }
}

/// Decodes the pieces of a stage that a peer submits.
pub(crate) fn decode_work(now: Duration, sender: SocketAddr, message: StageWork) -> Work {
    let input = match message.key {
        Some(key) => PieceInput::Key(key.into()),
        None => PieceInput::Results(message.inputs.iter().map(|h| Arc::from(h.as_str())).collect()),
    };
    let due_ms = now.as_millis() as i64 + i64::from(message.due_ms);
    Work {
        pool: WorkerPool {
            service: message.service.into(),
            failure_domain: (!message.worker_domain.is_empty())
                .then(|| message.worker_domain.into()),
        },
        request_id: message.request_id.as_str().into(),
        stage: message.stage,
        pieces: message.pieces,
        input,
        due_at: Duration::from_millis(due_ms.max(0) as u64),
        deadline_at: now + Duration::from_millis(u64::from(message.remaining_ms)),
        priority: message.priority,
        result_bytes: message.result_bytes,
        residency: decode_residency(message.allowed_regions),
        requester: sender,
        is_resubmitted: message.is_resubmitted,
        // Nodes of a former version send no fingerprint. The request then gets one that no
        // other request shares.
        fingerprint: Fingerprint::from_bytes(&message.fingerprint)
            .unwrap_or_else(|| Fingerprint::of(None, "", message.request_id.as_bytes())),
        consumer_domain: (!message.consumer_domain.is_empty())
            .then(|| message.consumer_domain.into()),
    }
}

/// Decodes the regions of a peer's request. Peers submit nothing that may be served nowhere, so an
/// empty list stands for any region.
fn decode_residency(regions: Vec<String>) -> Residency {
    if regions.is_empty() { Residency::default() } else { Residency::within(regions) }
}

/// Encodes the outcome of a peer's pieces.
pub(crate) fn encode_done(ticket: u64, outcome: WorkOutcome) -> StageDone {
    let (outcome, handles) = match outcome {
        WorkOutcome::Completed(handles) => (0, handles),
        WorkOutcome::Late => (1, Vec::new()),
        WorkOutcome::InputGone => (2, Vec::new()),
        WorkOutcome::Failed | WorkOutcome::OwnerLost => (3, Vec::new()),
        WorkOutcome::Quarantined => (4, Vec::new()),
        WorkOutcome::NoWorkers => (5, Vec::new()),
    };
    StageDone { ticket, outcome, handles: handles.iter().map(|h| h.to_string()).collect() }
}

/// Decodes the outcome of pieces that were submitted to a peer.
pub(crate) fn decode_outcome(done: &StageDone) -> WorkOutcome {
    let handles = done.handles.iter().map(|handle| Arc::from(handle.as_str())).collect();
    match done.outcome {
        0 => WorkOutcome::Completed(handles),
        1 => WorkOutcome::Late,
        2 => WorkOutcome::InputGone,
        4 => WorkOutcome::Quarantined,
        5 => WorkOutcome::NoWorkers,
        _ => WorkOutcome::Failed,
    }
}

//! Executes the actions that the dispatcher returns.

use {
    super::{
        claim_loop,
        state::{Node, WaiterEvent, lock},
    },
    crate::peer::{PeerError, forward_message},
    fernring_core::{code::ResultCode, ids::WaiterId},
    fernring_policy::event::{Action, AttemptEnd, Dispatch, Event, Forward, OwnerAnswer},
    fernring_protocol::messages::{SubmissionAnswer, frame::Body},
    std::{sync::Arc, time::Duration},
    tokio::{sync::oneshot, time::timeout},
};

/// Added to the request's window when a request is forwarded to its owner, so that the owner's own
/// answer arrives before this node stops waiting.
const OWNER_GRACE: Duration = Duration::from_millis(500);

impl Node {
    /// Executes one action. Called under the dispatcher's lock, so nothing here may block.
    pub(super) fn execute(self: &Arc<Self>, action: Action) {
        match action {
            Action::Dispatch(dispatch) => self.dispatch(dispatch),
            Action::Cancel(attempt) => {
                if let Some(cancel) = lock(&self.cancel_senders).remove(&attempt.attempt) {
                    let _ = cancel.send(());
                }
            }
            Action::Deliver { waiter, text } => self.send_event(waiter, WaiterEvent::Part(text)),
            Action::Finish { waiter, answer } => {
                self.send_event(waiter, WaiterEvent::Final(answer));
                lock(&self.waiters).remove(&waiter);
            }
            Action::AppendClaims(batch) => {
                tokio::spawn(claim_loop::append(self.clone(), batch));
            }
            Action::Forward(forward) => {
                tokio::spawn(forward_to_owner(self.clone(), *forward));
            }
            Action::Log(line) => spdlog::debug!("{line}"),
        }
    }

    fn send_event(&self, waiter: WaiterId, event: WaiterEvent) {
        if let Some(sender) = lock(&self.waiters).get(&waiter) {
            // Nobody receives for a waiter that has left; the request's answer is kept under its key.
            let _ = sender.send(event);
        }
    }

    fn dispatch(self: &Arc<Self>, dispatch: Dispatch) {
        let (cancel, cancelled) = oneshot::channel();
        lock(&self.cancel_senders).insert(dispatch.attempt.attempt, cancel);
        tokio::spawn(run_attempt(self.clone(), dispatch, cancelled));
    }
}

async fn run_attempt(node: Arc<Node>, dispatch: Dispatch, cancelled: oneshot::Receiver<()>) {
    let attempt = dispatch.attempt;
    let mut sink = |parts| node.handle(Event::Parts { attempt, parts });
    let grace_ms = if dispatch.effect { node.settings.limits.effect_grace_ms } else { 0 };
    let time_limit = Duration::from_millis(dispatch.remaining_ms + grace_ms);
    // The runtime's timer is only a last resort: the dispatcher ends a request by its own clock and then cancels this
    // attempt.
    let run = timeout(time_limit, node.upstream.run_stage(&dispatch, &mut sink));
    let end = tokio::select! {
    end = run => end.unwrap_or(AttemptEnd::Failed),
    Ok(()) = cancelled => AttemptEnd::Cancelled,
    };
    lock(&node.cancel_senders).remove(&attempt.attempt);
    node.handle(Event::AttemptEnded { attempt, end });
}

async fn forward_to_owner(node: Arc<Node>, forward: Forward) {
    let waiter = forward.waiter;
    let window_ms = forward.submission.window_ms.unwrap_or(fernring_core::catalog::WINDOW_MAX_MS);
    let response_timeout = Duration::from_millis(window_ms) + OWNER_GRACE;
    let response = match forward_message(forward.incarnation, &forward.submission) {
        Some(message) => {
            node.peer.request(forward.address, Body::Forward(message), response_timeout).await
        }
        None => Err(PeerError::Malformed),
    };
    let answer = match response {
        Ok(Body::Answer(answer)) => decode_owner_answer(answer),
        _ => None,
    };
    node.handle(Event::OwnerAnswered { waiter, answer });
}

fn decode_owner_answer(answer: SubmissionAnswer) -> Option<OwnerAnswer> {
    let code = ResultCode::from_number(u16::try_from(answer.code).ok()?)?;
    let output = answer.output.map(Arc::from);
    Some(OwnerAnswer { code, output, retry_after_ms: answer.retry_after_ms })
}

//! Carrying out what the dispatcher asks for.

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

/// Added to a waiter's window when its owner is asked, so that the owner's own word comes first.
const OWNER_GRACE: Duration = Duration::from_millis(500);

impl Node {
    /// Carries out one action. Called under the dispatcher's lock: nothing here blocks.
    pub(super) fn execute(self: &Arc<Self>, action: Action) {
        match action {
            Action::Dispatch(dispatch) => self.dispatch(dispatch),
            Action::Cancel(attempt) => {
                if let Some(cancel) = lock(&self.cancels).remove(&attempt.attempt) {
                    let _ = cancel.send(());
                }
            }
            Action::Deliver { waiter, text } => self.tell(waiter, WaiterEvent::Part(text)),
            Action::Finish { waiter, answer } => {
                self.tell(waiter, WaiterEvent::Final(answer));
                lock(&self.waiters).remove(&waiter);
            }
            Action::AppendClaims(batch) => {
                tokio::spawn(claim_loop::append(self.clone(), batch));
            }
            Action::Forward(forward) => {
                tokio::spawn(ask_owner(self.clone(), *forward));
            }
            Action::Log(line) => spdlog::debug!("{line}"),
        }
    }

    fn tell(&self, waiter: WaiterId, event: WaiterEvent) {
        if let Some(sender) = lock(&self.waiters).get(&waiter) {
            // A waiter that has gone needs nothing: the request's word is kept under its key.
            let _ = sender.send(event);
        }
    }

    fn dispatch(self: &Arc<Self>, dispatch: Dispatch) {
        let (cancel, cancelled) = oneshot::channel();
        lock(&self.cancels).insert(dispatch.attempt.attempt, cancel);
        tokio::spawn(run_attempt(self.clone(), dispatch, cancelled));
    }
}

async fn run_attempt(node: Arc<Node>, dispatch: Dispatch, cancelled: oneshot::Receiver<()>) {
    let attempt = dispatch.attempt;
    let mut sink = |parts| node.handle(Event::Parts { attempt, parts });
    let grace_ms = if dispatch.effect { node.settings.limits.effect_grace_ms } else { 0 };
    let longest = Duration::from_millis(dispatch.remaining_ms + grace_ms);
    // The steady timer is the last resort only: the dispatcher ends a request by its own clock, which cancels this.
    let run = timeout(longest, node.upstream.run(&dispatch, &mut sink));
    let end = tokio::select! {
        end = run => end.unwrap_or(AttemptEnd::Failed),
        Ok(()) = cancelled => AttemptEnd::Cancelled,
    };
    lock(&node.cancels).remove(&attempt.attempt);
    node.handle(Event::AttemptEnded { attempt, end });
}

async fn ask_owner(node: Arc<Node>, forward: Forward) {
    let waiter = forward.waiter;
    let window_ms = forward.submission.window_ms.unwrap_or(fernring_core::catalog::WINDOW_MAX_MS);
    let patience = Duration::from_millis(window_ms) + OWNER_GRACE;
    let answer = match forward_message(forward.incarnation, &forward.submission) {
        Some(message) => node.peer.ask(forward.address, Body::Forward(message), patience).await,
        None => Err(PeerError::Malformed),
    };
    let answer = match answer {
        Ok(Body::Answer(answer)) => owner_word(answer),
        _ => None,
    };
    node.handle(Event::OwnerAnswered { waiter, answer });
}

fn owner_word(answer: SubmissionAnswer) -> Option<OwnerAnswer> {
    let code = ResultCode::from_number(u16::try_from(answer.code).ok()?)?;
    let output = answer.output.map(Arc::from);
    Some(OwnerAnswer { code, output, retry_after_ms: answer.retry_after_ms })
}

//! The end of a node that shuts down, as its requests see it.

use {
    crate::deadline_timer::DeadlineTimer,
    std::{future::pending, time::Duration},
    tokio::sync::watch,
};

/// When a node that shuts down has to have answered its requests.
#[derive(Debug, Default)]
pub struct Shutdown {
    /// `None` while the node doesn't shut down.
    answers_due_at: watch::Sender<Option<Duration>>,
}

impl Shutdown {
    /// Begins the shutdown: requests without an answer are answered at `answers_due_at`.
    pub fn begin(&self, answers_due_at: Duration) {
        self.answers_due_at.send_replace(Some(answers_due_at));
    }

    /// Returns when requests are answered at the latest; `None` while the node doesn't shut down.
    pub fn answers_due_at(&self) -> Option<Duration> {
        *self.answers_due_at.borrow()
    }

    /// Waits until requests have to be answered.
    pub async fn wait_until_due(&self, timer: &DeadlineTimer) {
        let mut answers_due_at = self.answers_due_at.subscribe();
        let due_at = answers_due_at.wait_for(Option::is_some).await.ok().and_then(|due_at| *due_at);
        match due_at {
            Some(due_at) => timer.sleep_until(due_at).await,
            None => pending().await,
        }
    }
}

//! How often a request may be sent, and what may be claimed about one that wasn't served.
//!
//! A request that must not be repeated is sent again only with a [`NotRun`]. Only this module
//! creates one: from an upstream's own statement, or from a send of which no byte left this node.

use crate::model::RetryPolicy;

/// Proof that no part of a request has run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NotRun(());

impl NotRun {
    /// Returns the proof for a request that is refused before its [`Attempts`] exist.
    pub(crate) fn never_sent() -> Self {
        Self(())
    }
}

/// How a send to an upstream ended without a response to pass on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendOutcome {
    /// No byte left this node.
    NotSent,
    /// The upstream was ineligible for new requests; no byte left this node.
    Ineligible,
    /// There was no time left before the first byte left this node.
    GivenUp,
    /// The upstream states that it has not run the request.
    Refused,
    /// The intended instance is no longer at that address; the request has not run there.
    WrongInstance,
    /// Any other outcome: the request may have run.
    Unknown,
}

impl SendOutcome {
    /// Returns the name used in log lines and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NotSent => "not_sent",
            Self::Ineligible => "barred",
            Self::GivenUp => "given_up",
            Self::Refused => "refused",
            Self::WrongInstance => "wrong_instance",
            Self::Unknown => "unknown",
        }
    }
}

/// Sends of one request.
#[derive(Debug, Clone)]
pub struct Attempts {
    retry_policy: RetryPolicy,
    sends_max: u32,
    /// Sends so far, without those that reached a different instance than intended.
    sends: u32,
    may_have_run: bool,
}

impl Attempts {
    /// Creates the state of a request that was not sent yet.
    pub fn new(retry_policy: RetryPolicy, sends_max: u32) -> Self {
        Self { retry_policy, sends_max: sends_max.max(1), sends: 0, may_have_run: false }
    }

    /// Records a send that ended without a response to pass on.
    pub fn record_failure(&mut self, outcome: SendOutcome) {
        match outcome {
            SendOutcome::NotSent
            | SendOutcome::Ineligible
            | SendOutcome::GivenUp
            | SendOutcome::WrongInstance => {}
            SendOutcome::Refused => self.sends += 1,
            SendOutcome::Unknown => {
                self.sends += 1;
                self.may_have_run = true;
            }
        }
    }

    /// Returns whether the request may be sent to another upstream.
    pub fn may_send(&self) -> bool {
        let repeatable = self.retry_policy != RetryPolicy::Never;
        self.sends < self.sends_max && (repeatable || !self.may_have_run)
    }

    /// Returns how many more sends are allowed, if the request may be repeated.
    pub fn left(&self) -> u32 {
        self.sends_max.saturating_sub(self.sends)
    }

    /// Returns whether the next send would be beyond the first one.
    pub fn next_is_extra(&self) -> bool {
        self.sends > 0
    }

    /// Returns the proof that nothing has run, if nothing has.
    pub fn not_run(&self) -> Option<NotRun> {
        (!self.may_have_run).then_some(NotRun(()))
    }
}

//! How often a request may be sent, and what may be said when it wasn't served.
//!
//! A request that may not be repeated is sent again only with a [`NotRun`] in hand, and only
//! this module makes one: from an upstream's own statement, or from a send of which no byte left.

use crate::model::RetryPolicy;

/// Proof that nothing of a request has run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NotRun(());

impl NotRun {
    /// Returns the proof for a request that is refused before any account of sends exists for it.
    pub(crate) fn never_sent() -> Self {
        Self(())
    }
}

/// How one send to an upstream ended without an answer to pass on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendEnd {
    /// No byte of it left this node.
    NotSent,
    /// The upstream may get nothing new; no byte left this node.
    Barred,
    /// The upstream states that it has not run it.
    Refused,
    /// The instance that was meant is not at that address any more; it has not run there.
    WrongInstance,
    /// Anything else: it may have run.
    Unknown,
}

impl SendEnd {
    /// Returns the name used in log lines and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NotSent => "not_sent",
            Self::Barred => "barred",
            Self::Refused => "refused",
            Self::WrongInstance => "wrong_instance",
            Self::Unknown => "unknown",
        }
    }
}

/// The sends of one request.
#[derive(Debug, Clone)]
pub struct Attempts {
    repeat: RetryPolicy,
    sends_max: u32,
    /// Upstreams that it was sent to, but for those that were not the instance meant.
    sends: u32,
    may_have_run: bool,
}

impl Attempts {
    /// Starts the account of a request.
    pub fn new(repeat: RetryPolicy, sends_max: u32) -> Self {
        Self { repeat, sends_max: sends_max.max(1), sends: 0, may_have_run: false }
    }

    /// Takes in how a send ended.
    pub fn ended(&mut self, end: SendEnd) {
        match end {
            SendEnd::NotSent | SendEnd::Barred | SendEnd::WrongInstance => {}
            SendEnd::Refused => self.sends += 1,
            SendEnd::Unknown => {
                self.sends += 1;
                self.may_have_run = true;
            }
        }
    }

    /// Tells whether it may be sent to another upstream.
    pub fn may_send(&self) -> bool {
        let repeatable = self.repeat != RetryPolicy::Never;
        self.sends < self.sends_max && (repeatable || !self.may_have_run)
    }

    /// Tells whether the next send would be one more than the first.
    pub fn next_is_extra(&self) -> bool {
        self.sends > 0
    }

    /// Returns the proof that nothing has run, if that is so.
    pub fn not_run(&self) -> Option<NotRun> {
        (!self.may_have_run).then_some(NotRun(()))
    }
}

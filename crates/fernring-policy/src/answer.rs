//! Final answers, and the proof that NOT_RUN needs.

use {
    fernring_core::code::{Advice, Class, ResultCode},
    std::sync::Arc,
};

/// Proof that no attempt was ever made for a submission. Only this module's callers inside the
/// crate that look at the attempts can make one, and NOT_RUN can't be said without it.
#[derive(Debug)]
pub struct Unattempted(());

impl Unattempted {
    /// Proof for a submission that never became a ledger entry.
    pub(crate) fn never_accepted() -> Self {
        Self(())
    }

    /// Proof for an entry that has made this many attempts: none if it made any.
    pub(crate) fn from_attempts(made: u32) -> Option<Self> {
        (made == 0).then_some(Self(()))
    }
}

/// The one final answer to a submission.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    code: ResultCode,
    output: Option<Arc<str>>,
    retry_after_ms: Option<u64>,
}

impl Answer {
    /// The whole answer.
    pub fn complete(output: Arc<str>) -> Self {
        Self { code: ResultCode::Ok, output: Some(output), retry_after_ms: None }
    }

    /// A refusal: nothing of the submission reached an upstream.
    ///
    /// # Panics
    /// If the code is not of class NOT_RUN.
    pub fn not_run(_proof: Unattempted, code: ResultCode, retry_after_ms: u64) -> Self {
        assert_eq!(code.class(), Class::NotRun, "{code:?} does not say NOT_RUN");
        Self { code, output: None, retry_after_ms: Some(retry_after_ms) }
    }

    /// A failure of a submission that ran, or may have run.
    ///
    /// # Panics
    /// If the code says ANSWERED or NOT_RUN.
    pub fn failure(code: ResultCode, retry_after_ms: u64) -> Self {
        let class = code.class();
        assert!(!matches!(class, Class::Answered | Class::NotRun), "{code:?} needs proof");
        Self { code, output: None, retry_after_ms: Some(retry_after_ms) }
    }

    /// The word of the key's owner, passed on by a node that made `attempts` attempts itself.
    ///
    /// A node that has run stages can't pass NOT_RUN on: for its submission that is not true.
    pub fn relayed(
        code: ResultCode,
        output: Option<Arc<str>>,
        retry_after_ms: Option<u64>,
        attempts: u32,
    ) -> Self {
        let untrue = code.class() == Class::NotRun && attempts > 0;
        let code = if untrue { ResultCode::KeyEnded } else { code };
        let broken = code == ResultCode::Ok && output.is_none();
        let code = if broken { ResultCode::AnswerNotKept } else { code };
        Self { code, output, retry_after_ms }
    }

    /// Returns the result code.
    pub fn code(&self) -> ResultCode {
        self.code
    }

    /// Returns the whole output; `None` unless the code is [`ResultCode::Ok`].
    pub fn output(&self) -> Option<&Arc<str>> {
        self.output.as_ref()
    }

    /// Returns when to come back, in milliseconds from now; `None` after a whole answer.
    pub fn retry_after_ms(&self) -> Option<u64> {
        self.retry_after_ms
    }

    /// Returns what the caller should do next.
    pub fn advice(&self) -> Option<Advice> {
        self.code.advice()
    }

    /// Drops the output, keeping the word.
    pub(crate) fn without_output(self) -> Self {
        let code = match self.code {
            ResultCode::Ok => ResultCode::AnswerNotKept,
            code => code,
        };
        Self { code, output: None, retry_after_ms: Some(0) }
    }
}

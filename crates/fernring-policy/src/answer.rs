//! Final answers to callers, and the proof required for the class NOT_RUN.

use {
    fernring_core::code::{Advice, Class, ResultCode},
    std::sync::Arc,
};

/// Proof that no attempt was made for a submission. Only code of this crate that checks the
/// attempts can create it, and an answer of class NOT_RUN can't be created without it.
#[derive(Debug)]
pub struct Unattempted(());

impl Unattempted {
    /// Returns the proof for a submission that never became a ledger entry.
    pub(crate) fn never_accepted() -> Self {
        Self(())
    }

    /// Returns the proof for an entry with this number of attempts; `None` unless it is 0.
    pub(crate) fn from_attempts(attempts_made: u32) -> Option<Self> {
        (attempts_made == 0).then_some(Self(()))
    }
}

/// The final answer to a submission. Each submission gets exactly one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    code: ResultCode,
    output: Option<Arc<str>>,
    retry_after_ms: Option<u64>,
}

impl Answer {
    /// Creates a complete answer.
    pub fn complete(output: Arc<str>) -> Self {
        Self { code: ResultCode::Ok, output: Some(output), retry_after_ms: None }
    }

    /// Creates a refusal: nothing of the submission reached an upstream.
    ///
    /// # Panics
    /// If the code is not of class NOT_RUN.
    pub fn not_run(_proof: Unattempted, code: ResultCode, retry_after_ms: u64) -> Self {
        assert_eq!(code.class(), Class::NotRun, "{code:?} is not of class NOT_RUN");
        Self { code, output: None, retry_after_ms: Some(retry_after_ms) }
    }

    /// Creates the answer to a failed submission that ran or may have run.
    ///
    /// # Panics
    /// If the code says ANSWERED or NOT_RUN.
    pub fn failure(code: ResultCode, retry_after_ms: u64) -> Self {
        let class = code.class();
        assert!(
            !matches!(class, Class::Answered | Class::NotRun),
            "{code:?} is of class ANSWERED or NOT_RUN"
        );
        Self { code, output: None, retry_after_ms: Some(retry_after_ms) }
    }

    /// Creates an answer from the answer of the key's owner, for a node that made `attempts`
    /// attempts itself.
    ///
    /// A node that has run stages does not relay NOT_RUN, which would be false for its submission.
    pub fn relayed(
        code: ResultCode,
        output: Option<Arc<str>>,
        retry_after_ms: Option<u64>,
        attempts: u32,
    ) -> Self {
        let contradicts_attempts = code.class() == Class::NotRun && attempts > 0;
        let code = if contradicts_attempts { ResultCode::KeyEnded } else { code };
        let is_output_missing = code == ResultCode::Ok && output.is_none();
        let code = if is_output_missing { ResultCode::AnswerNotKept } else { code };
        Self { code, output, retry_after_ms }
    }

    /// Returns the result code.
    pub fn code(&self) -> ResultCode {
        self.code
    }

    /// Returns the complete output; `None` unless the code is [`ResultCode::Ok`].
    pub fn output(&self) -> Option<&Arc<str>> {
        self.output.as_ref()
    }

    /// Returns the retry-after time, in milliseconds from now; `None` for a complete answer.
    pub fn retry_after_ms(&self) -> Option<u64> {
        self.retry_after_ms
    }

    /// Returns the advice to the caller for its next step.
    pub fn advice(&self) -> Option<Advice> {
        self.code.advice()
    }

    /// Removes the output from the answer. The code of a complete answer changes to
    /// [`ResultCode::AnswerNotKept`].
    pub(crate) fn without_output(self) -> Self {
        let code = match self.code {
            ResultCode::Ok => ResultCode::AnswerNotKept,
            code => code,
        };
        Self { code, output: None, retry_after_ms: Some(0) }
    }
}

//! Why a command did not do what it was asked to.

use {std::process::ExitCode, thiserror::Error};

/// Why a command failed, by exit code.
#[derive(Debug, Error)]
pub(crate) enum Failure {
    /// Something did not answer, or the outcome is not known. Exit code 1.
    #[error("{0:#}")]
    Failed(anyhow::Error),
    /// The arguments or a file are not usable. Exit code 2.
    #[error("{0:#}")]
    BadInput(anyhow::Error),
    /// Something else changed first, or the plan was edited. Exit code 3.
    #[error("refused: {0}")]
    Refused(String),
}

impl Failure {
    /// Returns the exit code.
    pub(crate) fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            Self::Failed(_) => 1,
            Self::BadInput(_) => 2,
            Self::Refused(_) => 3,
        })
    }

    /// Wraps an error about the input.
    pub(crate) fn bad_input(error: impl Into<anyhow::Error>) -> Self {
        Self::BadInput(error.into())
    }

    /// Wraps any other error.
    pub(crate) fn failed(error: impl Into<anyhow::Error>) -> Self {
        Self::Failed(error.into())
    }
}

//! Errors of commands, by exit code.

use {std::process::ExitCode, thiserror::Error};

/// Error of a command. The variant determines the exit code.
#[derive(Debug, Error)]
pub(crate) enum Failure {
    /// A service did not respond, or the outcome is not known. Exit code 1.
    #[error("{0:#}")]
    Failed(anyhow::Error),
    /// An argument or an input file is invalid. Exit code 2.
    #[error("{0:#}")]
    BadInput(anyhow::Error),
    /// Another change was accepted first, or the plan file was edited. Exit code 3.
    #[error("refused: {0}")]
    Refused(String),
}

impl Failure {
    /// Returns the exit code of the process.
    pub(crate) fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            Self::Failed(_) => 1,
            Self::BadInput(_) => 2,
            Self::Refused(_) => 3,
        })
    }

    /// Wraps an error in the arguments or input files.
    pub(crate) fn bad_input(error: impl Into<anyhow::Error>) -> Self {
        Self::BadInput(error.into())
    }

    /// Wraps any other error.
    pub(crate) fn failed(error: impl Into<anyhow::Error>) -> Self {
        Self::Failed(error.into())
    }
}

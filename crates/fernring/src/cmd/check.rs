//! The subcommand `fernring check`: checks a settings file without starting anything.

use {super::load, clap::Args, std::path::PathBuf, std::process::ExitCode};

/// Check a settings file and report the first problem: file, key, value and allowed values.
#[derive(Debug, Args)]
pub struct CheckArgs {
    /// Settings file, in TOML
    pub file: PathBuf,
}

impl CheckArgs {
    /// Runs the subcommand.
    pub fn execute(self) -> ExitCode {
        match load(&self.file) {
            Ok(_) => {
                println!("{}: all settings are allowed", self.file.display());
                ExitCode::SUCCESS
            }
            Err(code) => code,
        }
    }
}

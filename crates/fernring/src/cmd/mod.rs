//! The subcommands, one module each: the arguments, and `execute` to run the subcommand.

pub mod check;
pub mod gateway;
pub mod serve;
pub mod settings;

use {crate::settings::Settings, std::process::ExitCode};

/// Exit code of a subcommand that failed while running.
const EXIT_FAILED: u8 = 1;
/// Exit code of bad arguments or settings; the argument parser uses the same.
const EXIT_BAD_INPUT: u8 = 2;

/// Loads settings, or prints the error and returns the exit code for it.
fn load(path: &std::path::Path) -> Result<Settings, ExitCode> {
    crate::settings::load(path).map_err(|error| {
        eprintln!("fernring: {error}");
        ExitCode::from(EXIT_BAD_INPUT)
    })
}

//! The subcommand `fernring settings`: prints the settings that result from a file.

use {
    super::{EXIT_FAILED, load},
    clap::{Args, ValueEnum},
    std::{path::PathBuf, process::ExitCode},
};

/// Form of the output.
#[derive(Debug, Clone, Copy, ValueEnum)]
pub enum Output {
    /// TOML, as a settings file is written
    Toml,
    /// JSON, for scripts
    Json,
}

/// Print the settings that result from a file, including defaults of omitted keys.
#[derive(Debug, Args)]
pub struct SettingsArgs {
    /// Settings file, in TOML
    pub file: PathBuf,
    /// Form of the output
    #[arg(long, value_enum, default_value = "toml")]
    pub output: Output,
}

impl SettingsArgs {
    /// Runs the subcommand.
    pub fn execute(self) -> ExitCode {
        let settings = match load(&self.file) {
            Ok(settings) => settings,
            Err(code) => return code,
        };
        let text = match self.output {
            Output::Toml => toml::to_string(&settings).map_err(anyhow::Error::from),
            Output::Json => serde_json::to_string_pretty(&settings).map_err(anyhow::Error::from),
        };
        match text {
            Ok(text) => {
                println!("{}", text.trim_end());
                ExitCode::SUCCESS
            }
            Err(error) => {
                eprintln!("fernring: {error:#}");
                ExitCode::from(EXIT_FAILED)
            }
        }
    }
}

//! The `fernring` command: runs and checks a node.

use {
    clap::{Parser, Subcommand},
    fernring::cmd::{
        check::CheckArgs, gateway::GatewayArgs, serve::ServeArgs, settings::SettingsArgs,
    },
    std::process::ExitCode,
};

/// Serves multi-stage model pipelines from an entry VM.
///
/// Exit codes: 0 done; 1 failed while running; 2 bad arguments or settings.
#[derive(Debug, Parser)]
#[command(name = "fernring", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    Serve(ServeArgs),
    Gateway(GatewayArgs),
    Check(CheckArgs),
    Settings(SettingsArgs),
}

fn main() -> ExitCode {
    match Cli::parse().command {
        Command::Serve(args) => args.execute(),
        Command::Gateway(args) => args.execute(),
        Command::Check(args) => args.execute(),
        Command::Settings(args) => args.execute(),
    }
}

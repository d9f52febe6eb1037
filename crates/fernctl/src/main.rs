//! The `fernctl` command-line tool, with which operators configure and inspect fernring.

mod cmd;
mod failure;
mod node;
mod stream;

use {
    clap::{Parser, Subcommand},
    cmd::{
        confirm::ConfirmArgs, drain::DrainArgs, explain::ExplainArgs, pipelines::PipelinesArgs,
        plan::PlanArgs, publish::PublishArgs, status::StatusArgs,
    },
    std::process::ExitCode,
};

/// Declares what fernring serves: plan an event, confirm the plan, look at what happens.
///
/// Nothing changes until a plan is confirmed or a configuration is published, and each is
/// accepted only if nothing else changed since it was made.
///
/// Exit codes: 0 done; 1 failed, or the outcome is not known; 2 bad arguments or input; 3 refused
/// because something else changed first or the plan was edited.
#[derive(Debug, Parser)]
#[command(name = "fernctl", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    Plan(PlanArgs),
    Confirm(ConfirmArgs),
    Publish(PublishArgs),
    Pipelines(PipelinesArgs),
    Drain(DrainArgs),
    Status(StatusArgs),
    Explain(ExplainArgs),
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let result = match Cli::parse().command {
        Command::Plan(args) => args.execute().await,
        Command::Confirm(args) => args.execute().await,
        Command::Publish(args) => args.execute().await,
        Command::Pipelines(args) => args.execute().await,
        Command::Drain(args) => args.execute().await,
        Command::Status(args) => args.execute().await,
        Command::Explain(args) => args.execute().await,
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("fernctl: {failure}");
            failure.exit_code()
        }
    }
}

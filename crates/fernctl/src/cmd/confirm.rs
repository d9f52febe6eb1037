//! `fernctl confirm`: puts a plan in force.

use {
    super::{Output, OutputArgs, author, print_json, read_file},
    crate::{
        failure::Failure,
        stream::{ConfigStream, LogArgs},
    },
    anyhow::Context,
    clap::Args,
    fernring_policy::plan::Plan,
    serde_json::json,
    std::path::PathBuf,
};

/// Put a plan in force, unless something else changed since it was made.
///
/// Says accepted only after the configuration stream shows it. Running it again is harmless.
#[derive(Debug, Args)]
pub(crate) struct ConfirmArgs {
    /// Plan file, as written by `fernctl plan`
    plan: PathBuf,
    #[command(flatten)]
    log: LogArgs,
    #[command(flatten)]
    output: OutputArgs,
}

impl ConfirmArgs {
    pub(crate) async fn execute(self) -> Result<(), Failure> {
        let text = read_file(&self.plan)?;
        let parsed: Result<Plan, _> = serde_json::from_str(&text);
        let plan = parsed.with_context(|| format!("{}: not a plan", self.plan.display()));
        let plan = plan.map_err(Failure::BadInput)?;
        let change =
            plan.confirm(&author()).map_err(|error| Failure::Refused(error.to_string()))?;
        let mut stream = ConfigStream::open(&self.log).await?;
        let version = stream.submit(change).await?;
        match self.output.output {
            Output::Json => print_json(&json!({ "event": plan.name, "version": version })),
            Output::Text => {
                println!("accepted: event {} is in force from version {version} on", plan.name);
                Ok(())
            }
        }
    }
}

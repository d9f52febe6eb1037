//! `fernctl drain`: stops or resumes sending new work to an upstream.

use {
    super::{Output, OutputArgs, author, print_json},
    crate::{
        failure::Failure,
        stream::{ConfigStream, LogArgs},
    },
    clap::Args,
    fernring_core::change::{Change, Operation},
    serde_json::json,
    uuid::Uuid,
};

/// Give an upstream no new work; what it has under way is finished.
#[derive(Debug, Args)]
pub(crate) struct DrainArgs {
    /// Name of the upstream
    upstream: String,
    /// Give it work again
    #[arg(long)]
    undo: bool,
    #[command(flatten)]
    log: LogArgs,
    #[command(flatten)]
    output: OutputArgs,
}

impl DrainArgs {
    pub(crate) async fn execute(self) -> Result<(), Failure> {
        let mut stream = ConfigStream::open(&self.log).await?;
        let base = stream.fold().version();
        let name = self.upstream.clone();
        let operations = vec![Operation::DrainUpstream { name, draining: !self.undo }];
        let change = Change { base, id: Uuid::now_v7(), author: author(), operations };
        let version = stream.submit(change).await?;
        let (upstream, draining) = (&self.upstream, !self.undo);
        match self.output.output {
            Output::Json => print_json(
                &json!({ "upstream": upstream, "draining": draining, "version": version }),
            ),
            Output::Text => {
                let state = if draining { "gets no new work" } else { "gets work again" };
                println!("accepted: {upstream} {state} from version {version} on");
                Ok(())
            }
        }
    }
}

//! `fernctl publish`: declare pipelines, workspaces and upstreams.

use {
    super::{Output, OutputArgs, author, print_json, read_file},
    crate::{
        failure::Failure,
        stream::{ConfigStream, LogArgs},
    },
    anyhow::{Context, anyhow},
    clap::Args,
    fernring_core::{
        catalog::Catalog,
        change::{Change, Operation},
    },
    serde_json::json,
    std::path::PathBuf,
    uuid::Uuid,
};

/// Declare pipelines, workspaces and upstreams from a file kept under version control.
///
/// Entries that differ are replaced; entries that the file lacks stay unless --prune is given.
/// Events are not declared here: plan and confirm them.
#[derive(Debug, Args)]
pub(crate) struct PublishArgs {
    /// Declarations, in TOML
    file: PathBuf,
    /// Also remove what the file lacks (events stay)
    #[arg(long)]
    prune: bool,
    /// Only say what would change
    #[arg(long)]
    dry_run: bool,
    #[command(flatten)]
    log: LogArgs,
    #[command(flatten)]
    output: OutputArgs,
}

impl PublishArgs {
    pub(crate) async fn execute(self) -> Result<(), Failure> {
        let text = read_file(&self.file)?;
        let parsed: Result<Catalog, _> = toml::from_str(&text);
        let wanted = parsed.with_context(|| self.file.display().to_string());
        let wanted = wanted.map_err(Failure::BadInput)?;
        if !wanted.events.is_empty() {
            let file = self.file.display();
            let why = anyhow!("{file}: events: declare events with `fernctl plan` and `confirm`");
            return Err(Failure::BadInput(why));
        }
        let mut stream = ConfigStream::open(&self.log).await?;
        let operations = operations(stream.fold().catalog(), &wanted, self.prune);
        let base = stream.fold().version();
        let count = operations.len();
        if count == 0 || self.dry_run {
            return self.report(count, base, false);
        }
        let id = Uuid::now_v7();
        let change = Change { base, id, author: author(), operations };
        let version = stream.submit(change).await?;
        self.report(count, version, true)
    }

    fn report(&self, operations: usize, version: u64, accepted: bool) -> Result<(), Failure> {
        match self.output.output {
            Output::Json => print_json(
                &json!({ "operations": operations, "version": version, "accepted": accepted }),
            ),
            Output::Text => {
                match accepted {
                    true => println!("accepted: {operations} operations, version {version}"),
                    false => println!("unchanged: {operations} operations from version {version}"),
                }
                Ok(())
            }
        }
    }
}

fn operations(now: &Catalog, wanted: &Catalog, prune: bool) -> Vec<Operation> {
    let mut list = Vec::new();
    for (name, pipeline) in &wanted.pipelines {
        if now.pipelines.get(name) != Some(pipeline) {
            let (name, pipeline) = (name.clone(), pipeline.clone());
            list.push(Operation::PutPipeline { name, pipeline });
        }
    }
    for (name, workspace) in &wanted.workspaces {
        if now.workspaces.get(name) != Some(workspace) {
            let (name, workspace) = (name.clone(), workspace.clone());
            list.push(Operation::PutWorkspace { name, workspace });
        }
    }
    for (name, upstream) in &wanted.upstreams {
        if now.upstreams.get(name) != Some(upstream) {
            let (name, upstream) = (name.clone(), upstream.clone());
            list.push(Operation::PutUpstream { name, upstream });
        }
    }
    if prune {
        list.extend(removals(now, wanted));
    }
    list
}

fn removals(now: &Catalog, wanted: &Catalog) -> Vec<Operation> {
    let workspaces = now.workspaces.keys().filter(|name| !wanted.workspaces.contains_key(*name));
    let upstreams = now.upstreams.keys().filter(|name| !wanted.upstreams.contains_key(*name));
    let pipelines = now.pipelines.keys().filter(|name| !wanted.pipelines.contains_key(*name));
    let workspaces = workspaces.map(|name| Operation::RemoveWorkspace { name: name.clone() });
    let upstreams = upstreams.map(|name| Operation::RemoveUpstream { name: name.clone() });
    let pipelines = pipelines.map(|name| Operation::RemovePipeline { name: name.clone() });
    workspaces.chain(upstreams).chain(pipelines).collect()
}

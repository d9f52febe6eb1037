//! `fernctl publish`: publishes declarations of pipelines, workspaces and upstreams.

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
        let declared = parsed.with_context(|| self.file.display().to_string());
        let declared = declared.map_err(Failure::BadInput)?;
        if !declared.events.is_empty() {
            let file = self.file.display();
            let error = anyhow!("{file}: events: declare events with `fernctl plan` and `confirm`");
            return Err(Failure::BadInput(error));
        }
        let mut stream = ConfigStream::open(&self.log).await?;
        let operations = diff_operations(stream.fold().catalog(), &declared, self.prune);
        let base = stream.fold().version();
        let count = operations.len();
        if count == 0 || self.dry_run {
            return self.print_result(count, base, false);
        }
        let id = Uuid::now_v7();
        let change = Change { base, id, author: author(), operations };
        let version = stream.submit(change).await?;
        self.print_result(count, version, true)
    }

    fn print_result(&self, operations: usize, version: u64, accepted: bool) -> Result<(), Failure> {
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

/// Returns the operations that put and replace entries so that `current` matches `declared`; with
/// `prune` also those that remove the entries that `declared` lacks.
fn diff_operations(current: &Catalog, declared: &Catalog, prune: bool) -> Vec<Operation> {
    let mut operations = Vec::new();
    for (name, pipeline) in &declared.pipelines {
        if current.pipelines.get(name) != Some(pipeline) {
            let (name, pipeline) = (name.clone(), pipeline.clone());
            operations.push(Operation::PutPipeline { name, pipeline });
        }
    }
    for (name, workspace) in &declared.workspaces {
        if current.workspaces.get(name) != Some(workspace) {
            let (name, workspace) = (name.clone(), workspace.clone());
            operations.push(Operation::PutWorkspace { name, workspace });
        }
    }
    for (name, upstream) in &declared.upstreams {
        if current.upstreams.get(name) != Some(upstream) {
            let (name, upstream) = (name.clone(), upstream.clone());
            operations.push(Operation::PutUpstream { name, upstream });
        }
    }
    if prune {
        operations.extend(removals(current, declared));
    }
    operations
}

/// Returns the operations that remove the entries that `declared` lacks, except events.
fn removals(current: &Catalog, declared: &Catalog) -> Vec<Operation> {
    let workspaces =
        current.workspaces.keys().filter(|name| !declared.workspaces.contains_key(*name));
    let upstreams = current.upstreams.keys().filter(|name| !declared.upstreams.contains_key(*name));
    let pipelines = current.pipelines.keys().filter(|name| !declared.pipelines.contains_key(*name));
    let workspaces = workspaces.map(|name| Operation::RemoveWorkspace { name: name.clone() });
    let upstreams = upstreams.map(|name| Operation::RemoveUpstream { name: name.clone() });
    let pipelines = pipelines.map(|name| Operation::RemovePipeline { name: name.clone() });
    workspaces.chain(upstreams).chain(pipelines).collect()
}

//! The records of the configuration stream.

use {
    crate::catalog::{Catalog, CatalogError, Event, Pipeline, Upstream, Workspace},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
    thiserror::Error,
    uuid::Uuid,
};

/// Name of the configuration stream on the log service.
pub const CONFIG_STREAM: &str = "fernring-config";

/// A version of the configuration: one more than the offset of the last accepted record, 0 before
/// the first. It only grows.
pub type Version = u64;

/// A record of the configuration stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum ConfigRecord {
    /// Operations that apply together or not at all.
    Change(Change),
    /// The whole catalog as it was at a version.
    Snapshot(Snapshot),
}

/// A change to the configuration. It is accepted only if `base` is the version it meets.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Version that the author saw.
    pub base: Version,
    /// Identity of this change, so that its author can find it among others.
    pub id: Uuid,
    /// Who made it.
    pub author: String,
    /// What it does, in order.
    pub operations: Vec<Operation>,
}

/// The catalog as of a version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Snapshot {
    /// Version that the catalog is the fold of.
    pub version: Version,
    /// Offset up to which the stream was folded when the snapshot was taken. Invariant: no
    /// record in `version..folded_to` was accepted.
    pub folded_to: u64,
    /// The catalog at that version.
    pub catalog: Catalog,
}

/// One step of a change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "do", rename_all = "snake_case", deny_unknown_fields)]
pub enum Operation {
    /// Declares or replaces a pipeline.
    PutPipeline {
        /// Name of the pipeline.
        name: String,
        /// Its declaration.
        pipeline: Arc<Pipeline>,
    },
    /// Removes a pipeline.
    RemovePipeline {
        /// Name of the pipeline.
        name: String,
    },
    /// Declares or replaces a workspace.
    PutWorkspace {
        /// Name of the workspace.
        name: String,
        /// Its declaration.
        workspace: Arc<Workspace>,
    },
    /// Removes a workspace.
    RemoveWorkspace {
        /// Name of the workspace.
        name: String,
    },
    /// Declares or replaces an upstream.
    PutUpstream {
        /// Name of the upstream.
        name: String,
        /// Its declaration.
        upstream: Arc<Upstream>,
    },
    /// Removes an upstream.
    RemoveUpstream {
        /// Name of the upstream.
        name: String,
    },
    /// Stops or resumes giving new work to an upstream.
    DrainUpstream {
        /// Name of the upstream.
        name: String,
        /// Whether it gets no new work.
        draining: bool,
    },
    /// Confirms or replaces an event.
    PutEvent {
        /// Name of the event.
        name: String,
        /// Its declaration with the plan's placements and shares.
        event: Arc<Event>,
    },
    /// Removes an event.
    RemoveEvent {
        /// Name of the event.
        name: String,
    },
}

/// Why a change can't be applied.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ChangeError {
    /// It was based on another version.
    #[error("it is based on version {base}, but version {found} is in force; plan again")]
    Conflict {
        /// Version that the author saw.
        base: Version,
        /// Version that it met.
        found: Version,
    },
    /// It names an entry that does not exist.
    #[error("{0} does not exist")]
    Missing(String),
    /// The result would not be allowed.
    #[error(transparent)]
    NotAllowed(#[from] CatalogError),
}

/// Applies a change to a catalog that stands at `version`.
///
/// # Errors
/// Returns why the change is not accepted; the catalog given is never modified.
pub fn apply(catalog: &Catalog, version: Version, change: &Change) -> Result<Catalog, ChangeError> {
    if change.base != version {
        return Err(ChangeError::Conflict { base: change.base, found: version });
    }
    let mut next = catalog.clone();
    for operation in &change.operations {
        apply_operation(&mut next, operation)?;
    }
    next.check()?;
    Ok(next)
}

fn apply_operation(catalog: &mut Catalog, operation: &Operation) -> Result<(), ChangeError> {
    let missing = |kind: &str, name: &str| ChangeError::Missing(format!("{kind}.{name}"));
    match operation {
        Operation::PutPipeline { name, pipeline } => {
            catalog.pipelines.insert(name.clone(), pipeline.clone());
        }
        Operation::PutWorkspace { name, workspace } => {
            catalog.workspaces.insert(name.clone(), workspace.clone());
        }
        Operation::PutUpstream { name, upstream } => {
            catalog.upstreams.insert(name.clone(), upstream.clone());
        }
        Operation::PutEvent { name, event } => {
            catalog.events.insert(name.clone(), event.clone());
        }
        Operation::RemovePipeline { name } => {
            catalog.pipelines.remove(name).ok_or_else(|| missing("pipelines", name))?;
        }
        Operation::RemoveWorkspace { name } => {
            catalog.workspaces.remove(name).ok_or_else(|| missing("workspaces", name))?;
        }
        Operation::RemoveUpstream { name } => {
            catalog.upstreams.remove(name).ok_or_else(|| missing("upstreams", name))?;
        }
        Operation::RemoveEvent { name } => {
            catalog.events.remove(name).ok_or_else(|| missing("events", name))?;
        }
        Operation::DrainUpstream { name, draining } => {
            let found = catalog.upstreams.get_mut(name);
            let upstream = found.ok_or_else(|| missing("upstreams", name))?;
            Arc::make_mut(upstream).draining = *draining;
        }
    }
    Ok(())
}

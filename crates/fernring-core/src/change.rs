//! The records of the configuration stream, and how a change is applied to the catalog.

use {
    crate::catalog::{Catalog, CatalogError, Event, Pipeline, Upstream, Workspace},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
    thiserror::Error,
    uuid::Uuid,
};

/// Name of the configuration stream on the log service.
pub const CONFIG_STREAM: &str = "fernring-config";

/// A version of the configuration: the offset of the last accepted record plus 1, or 0 before the
/// first record is accepted. Versions only increase.
pub type Version = u64;

/// A record of the configuration stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum ConfigRecord {
    /// Operations that are applied atomically.
    Change(Change),
    /// The complete catalog at a version.
    Snapshot(Snapshot),
}

/// A change to the configuration. It is accepted only if `base` is the version in force.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Version that the change was made against.
    pub base: Version,
    /// Identity of the change, by which its author finds it in the stream.
    pub id: Uuid,
    /// Name of the author.
    pub author: String,
    /// Operations, in the order in which they are applied.
    pub operations: Vec<Operation>,
}

/// The catalog at a version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Snapshot {
    /// Version of the catalog.
    pub version: Version,
    /// Offset up to which the stream had been applied when the snapshot was taken. Invariant: no
    /// record in `version..folded_to` was accepted.
    pub folded_to: u64,
    /// The catalog.
    pub catalog: Catalog,
}

/// One operation of a change.
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
    /// Stops or resumes sending new work to an upstream.
    DrainUpstream {
        /// Name of the upstream.
        name: String,
        /// `true` to stop new work, `false` to resume it.
        draining: bool,
    },
    /// Adds or replaces a confirmed event.
    PutEvent {
        /// Name of the event.
        name: String,
        /// Its declaration, with the placements and shares of its plan.
        event: Arc<Event>,
    },
    /// Removes an event.
    RemoveEvent {
        /// Name of the event.
        name: String,
    },
}

/// The reason why a change is not accepted.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ChangeError {
    /// The change was made against another version.
    #[error("it is based on version {base}, but version {found} is in force; plan again")]
    Conflict {
        /// Version that the change was made against.
        base: Version,
        /// Version in force.
        found: Version,
    },
    /// An operation names an entry that does not exist.
    #[error("{0} does not exist")]
    Missing(String),
    /// The resulting catalog would be invalid.
    #[error(transparent)]
    NotAllowed(#[from] CatalogError),
}

/// Applies a change to a catalog of version `version` and returns the new catalog.
///
/// # Errors
/// Returns the reason why the change is not accepted. `catalog` is never modified.
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
            let existing = catalog.upstreams.get_mut(name);
            let upstream = existing.ok_or_else(|| missing("upstreams", name))?;
            Arc::make_mut(upstream).draining = *draining;
        }
    }
    Ok(())
}

//! The single check before anything new is sent to an upstream: is it eligible now? No I/O.
//!
//! The check is made twice: when the upstreams to choose from are listed, and again right before
//! the first byte leaves. First sends, retries, streams that continue elsewhere, calls on pieces
//! and their second workers all make it in the same place, [`crate::upstreams::Upstreams::send`].
//! Releasing results is not new work: only announced limits and requested pauses delay it.

/// Why an upstream may get nothing new at present.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Ineligible {
    /// It is no longer known.
    #[error("the upstream is gone")]
    Gone,
    /// It has announced that it is leaving, in its record or in a response: see [`crate::leaving`].
    #[error("the upstream is leaving")]
    Leaving,
    /// Its failure domain is evacuated.
    #[error("the failure domain is evacuated")]
    Evacuated,
    /// Its version gets no requests: see [`crate::rollout`].
    #[error("the upstream's version gets no requests")]
    Version,
    /// It lies outside the regions in which the request may be served: see [`crate::residency`].
    #[error("the upstream lies outside the request's regions")]
    OutsideRegions,
    /// It is cold, and this node has no permit for it now: see [`crate::cold`].
    #[error("the upstream is cold")]
    Cold,
    /// It announces a limit, and the permits of all nodes are used up: see [`crate::limits`].
    #[error("the upstream takes no more now")]
    Limited,
    /// This node may open no further connection to it, and no peer lends one.
    #[error("no connection to the upstream is left")]
    NoConnection,
    /// Neither this node nor a peer reaches any upstream: see [`crate::reachability`].
    #[error("no path to any upstream")]
    NoPath,
    /// It is overloaded and requested a pause from this node: see [`crate::backoff`].
    #[error("the upstream requested a pause")]
    BackingOff,
}

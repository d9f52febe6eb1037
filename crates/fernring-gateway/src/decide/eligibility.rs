//! The one question before anything new goes to an upstream: may it be sent to now? No I/O.
//!
//! It is asked twice: when upstreams are listed to choose from, and again at the moment at which the first byte would
//! leave. First sends, retries, streams that go on elsewhere, calls on pieces and their second makers ask it in the same
//! place, [`crate::upstreams::Upstreams::send`]. Giving results up is no work and doesn't ask.

/// Why an upstream may get nothing new now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Ineligible {
    /// It is not known any more.
    #[error("the upstream is gone")]
    Gone,
    /// It has said that it leaves.
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
    /// It is cold, and this node has no turn at it now: see [`crate::cold`].
    #[error("the upstream is cold")]
    Cold,
    /// It names a limit, and what that allows from all nodes is used up: see [`crate::limits`].
    #[error("the upstream takes no more now")]
    Limited,
}

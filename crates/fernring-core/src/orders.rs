//! Orders to model engines, and the grants under which they are sent.

use {
    crate::ids::Incarnation,
    serde::{Deserialize, Serialize},
};

/// Name of the order stream on the log service, which holds the grants.
pub const ORDER_STREAM: &str = "fernring-orders";

/// A record of the order stream: gives one incarnation the right to send orders to a failure
/// domain's upstreams.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Grant {
    /// The failure domain of the upstreams.
    pub failure_domain: String,
    /// The incarnation that holds the grant.
    pub incarnation: Incarnation,
    /// Validity of the grant from the log time of its record, in milliseconds.
    pub valid_ms: u64,
}

/// An order to an engine: the complete state that it must reach. Orders are idempotent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Order {
    /// Fencing number: the log offset of the grant under which the order is sent.
    pub fence: u64,
    /// The exact set of models that the engine must have loaded.
    pub models: Vec<String>,
}

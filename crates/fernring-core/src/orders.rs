//! Orders to model engines, and the grants they are sent under.

use {
    crate::ids::Incarnation,
    serde::{Deserialize, Serialize},
};

/// Name of the stream of grants on the log service.
pub const ORDER_STREAM: &str = "fernring-orders";

/// A record of the order stream: an incarnation takes charge of a failure domain's orders.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Grant {
    /// The failure domain whose upstreams are ordered.
    pub failure_domain: String,
    /// The incarnation that takes charge.
    pub incarnation: Incarnation,
    /// How long the grant holds from the record's own log time, in milliseconds.
    pub valid_ms: u64,
}

/// An order to an engine: the absolute state it is to reach. Sending it again changes nothing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Order {
    /// The fencing number: the log offset of the grant under which the order is sent.
    pub fence: u64,
    /// The models that the engine is to hold, and no others.
    pub models: Vec<String>,
}

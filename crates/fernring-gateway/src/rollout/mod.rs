//! Roll-outs: an operator orders that the requests to a service move to another version of its
//! upstreams, the destination.
//!
//! Nodes coordinate without an election. Each node counts its sends to the destination version and
//! to the others, and reports these counts to the service's controller, the node that rendezvous
//! hashing names. The controller announces the share of the requests that the destination gets. A
//! share that isn't announced again in time expires, so a node that is cut off from the others
//! sends nothing to a version that may have been rolled back. The state of a roll-out lies in the
//! store: it is written on the condition that nobody else has written since it was read, and a
//! controller that takes over continues from it.
//!
//! [`orders`] holds what this node knows of the orders, [`sampler`] chooses the requests for the
//! destination version, [`counts`] counts requests and responses, [`reports`] keeps the nodes' last
//! reports, [`comparison`] compares the two sides, and [`controller`] is the state machine; none of
//! these does I/O. [`coordinator`] connects them with the store and the peers.
//!
//! ```
//! use fernring_gateway::rollout::sampler::ShareSampler;
//!
//! let mut sampler = ShareSampler::new(0.0);
//! let exposed = (0..100).filter(|_| sampler.sample(0.05)).count();
//! assert_eq!(exposed, 5);
//! ```

pub mod comparison;
pub mod controller;
pub mod coordinator;
pub mod counts;
pub mod orders;
pub mod reports;
pub mod sampler;

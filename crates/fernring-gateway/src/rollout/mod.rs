//! Roll-outs: an operator orders that a service's requests move to another version of its upstreams.
//!
//! Nodes coordinate without an election. Each counts what it sends to either version and tells the service's decider, the node
//! that rendezvous hashing names; the decider says which share of the requests the ordered version gets. A share that hasn't
//! been said again for a while is none, so a node that is cut off sends nothing to a version that may have been rolled back.
//! The state lies in the store: it is written under the condition that nobody else wrote since it was read, and a
//! decider that takes over goes on from it.
//!
//! [`orders`] holds what is known of the orders, [`meter`] draws requests for the ordered version, [`counts`] what came of them,
//! [`verdict`] compares the two versions, [`decider`] is the state machine; none of these does I/O. [`shell`] connects them.
//!
//! ```
//! use fernring_gateway::rollout::meter::Meter;
//!
//! let mut meter = Meter::new(0.0);
//! let exposed = (0..100).filter(|_| meter.take(0.05)).count();
//! assert_eq!(exposed, 5);
//! ```

pub mod counts;
pub mod controller;
pub mod sampler;
pub mod orders;
pub mod coordinator;
pub mod comparison;

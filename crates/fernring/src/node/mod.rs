//! A running node: the shared state, the execution of actions, and the background loops.
//!
//! - `state`: what a loop or a handler may ask of the node;
//! - `actions`: carries out what the dispatcher asks for;
//! - `claim_loop`, `config_loop`, `order_loop`: the three streams on the log service;
//! - `peer_loop`: heartbeats and questions of other nodes;
//! - `report_loop`: reports of upstreams and the VM list;
//! - `codec`: claim records as bytes.

mod actions;
mod claim_loop;
mod codec;
mod config_loop;
mod order_loop;
mod peer_loop;
mod report_loop;
mod state;

pub use state::{Node, NodeStatus, OpenResponse, UpstreamStatus, WaiterEvent};

//! A running node: the shared state, the execution of actions, and the background loops.
//!
//! - `state`: the state shared by the loops and the HTTP handlers;
//! - `actions`: executes the actions that the dispatcher returns;
//! - `claim_loop`, `config_loop`, `order_loop`: read and append to the three streams on the log service;
//! - `peer_loop`: exchanges heartbeats with other nodes and handles their requests;
//! - `report_loop`: polls reports of upstreams and the VM list;
//! - `codec`: encodes and decodes claim records.

mod actions;
mod claim_loop;
mod codec;
mod config_loop;
mod order_loop;
mod peer_loop;
mod report_loop;
mod state;

pub use state::{Node, NodeStatus, OpenResponse, UpstreamStatus, WaiterEvent};

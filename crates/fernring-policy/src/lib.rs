//! The decisions of a fernring node, as pure state machines.
//!
//! This crate reads no clock, no socket and no random source. Its inputs are typed events and the
//! time, its outputs are typed actions, so that a node, randomised test runs, the model checker and
//! a test bench all run the same code.
//!
//! - [`dispatcher`]: the lifecycle of every request on a node: admission, queues, routing,
//!   attempts, retries, hedges and the final answer. It owns the queues, upstream table, claim
//!   view, budgets and limits of the node.
//! - [`claims`]: decides which incarnation may run the side effects of a key, from the claim
//!   stream.
//! - [`fold`]: the configuration in force, from the configuration stream.
//! - [`membership`]: detects the live nodes of a failure domain by heartbeats.
//! - [`placement`]: decides which node sends orders to the engines of a failure domain, and which
//!   orders.
//! - [`plan`]: makes a plan from an operator's intent.
//!
//! ```
//! use {
//!     fernring_core::{catalog::Catalog, clock::{Clock, ManualClock}, ids::Incarnation},
//!     fernring_policy::{
//!         dispatcher::{Dispatcher, Identity},
//!         event::{Action, Event},
//!         settings::PolicySettings,
//!     },
//!     std::sync::Arc,
//!     uuid::Uuid,
//! };
//!
//! let identity = Identity {
//!     incarnation: Incarnation(Uuid::nil()),
//!     address: "127.0.0.1:7000".parse().unwrap(),
//!     failure_domain: "a".into(),
//! };
//! let clock = ManualClock::at_unix_ms(1_800_000_000_000);
//! let mut dispatcher = Dispatcher::new(identity, PolicySettings::default(), 1);
//! let actions = dispatcher.handle(clock.now(), Event::Configured(Arc::new(Catalog::default())));
//! assert!(actions.iter().all(|action| matches!(action, Action::Log(_))));
//! ```

pub mod answer;
pub mod assembly;
pub mod budget;
pub mod claims;
pub mod cost;
pub mod dispatcher;
pub mod event;
pub mod fold;
pub mod membership;
pub mod placement;
pub mod plan;
pub mod queue;
pub mod service_time;
pub mod settings;
pub mod upstreams;
pub mod workspace_limits;

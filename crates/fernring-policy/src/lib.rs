//! The decisions of a fernring node, as pure state machines.
//!
//! Nothing here reads a clock, a socket or a random source. Typed events and the time go in,
//! typed actions come out, so that a node, the randomised runs, the model checker and a test
//! bench all drive the same code.
//!
//! - [`dispatcher`]: the life of every request on a node: admission, queues, routing, attempts,
//!   retries, hedges and the one final answer. It owns the machines below it.
//! - [`claims`]: who may run a key's side effects, folded from the claim stream.
//! - [`fold`]: the configuration in force, folded from the configuration stream.
//! - [`membership`]: the live nodes of a failure domain, by heartbeats.
//! - [`placement`]: which node orders the engines of a failure domain, and what it orders.
//! - [`plan`]: from an operator's intent to a plan.
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
pub mod service_time;
pub mod event;
pub mod fold;
pub mod membership;
pub mod placement;
pub mod plan;
pub mod queue;
pub mod settings;
pub mod workspace_limits;
pub mod upstreams;

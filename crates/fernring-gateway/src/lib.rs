//! The serving path of fernring between callers and upstreams.
//!
//! A caller's request enters at [`ingress`], is checked and routed by [`serve`], gets the results of
//! its stages from their owners ([`stages`], [`owner`]), and is sent to an upstream by
//! [`exchange`]; streams are passed on by [`relay`].
//!
//! What a node decides stands in [`decide`], without I/O; who is there in [`members`]; what the store holds in [`store`]; a
//! request's way in [`serving`]. [`blame`] gathers the signs of upstreams that end. A platform's formats and calls are behind the
//! traits of [`wire`]. Everything runs on one thread.
//!
//! ```
//! use fernring_gateway::{attempts::{Attempts, SendEnd}, model::Repeat};
//!
//! let mut attempts = Attempts::new(Repeat::Never, 2);
//! attempts.ended(SendEnd::Refused);
//! assert!(attempts.may_send(), "a refused request has not run");
//! attempts.ended(SendEnd::Unknown);
//! assert!(!attempts.may_send() && attempts.not_run().is_none());
//! ```

pub mod blame;
pub mod config;
pub mod connections;
pub mod decide;
pub mod log;
mod telemetry;
pub mod members;
pub mod model;
pub mod node;
pub mod owner;
pub mod retries;
pub mod rollout;
pub mod serving;
pub mod settings;
pub mod stages;
pub mod store;
pub mod upstreams;
pub mod wire;

// The rooms are for readers; who uses a module names it alone.
pub(crate) use store::records;
pub use {
    decide::{
        admission, attempts, backlog, backlogs, barred, batching, budget, cold, come_back, endings,
        flow, limits, makers, pools, reading, residency, rounds, selection, stage_plan, suspects,
        turns_granted,
    },
    members::{delegates, peers, stillness},
    serving::{
        alarm, caller_body, content, context, events, exchange, ingress, refusal, relay, serve,
    },
    store::{directory, evacuations, following, freshness, position, starting, store_loops, whole},
};

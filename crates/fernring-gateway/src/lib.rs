//! The serving path of fernring between callers and upstreams.
//!
//! A caller's request arrives at [`ingress`] and is checked and routed by [`serve`]. The results
//! that its stages produce come from the stages' owners ([`stages`], [`owner`]). The request is then
//! sent to an upstream by [`exchange`]; streams of events are forwarded by [`relay`].
//!
//! [`decide`] contains the node's decisions, without I/O. [`members`] tracks the other nodes,
//! [`store`] reads and writes the platform's store, and [`serving`] handles single requests.
//! `crash_attribution` finds the requests under which upstreams crash. The traits in [`wire`]
//! separate the gateway from a platform's formats and calls. Everything runs on one thread.
//!
//! ```
//! use fernring_gateway::{attempts::{Attempts, SendEnd}, model::RetryPolicy};
//!
//! let mut attempts = Attempts::new(RetryPolicy::Never, 2);
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
mod telemetry;
pub mod upstreams;
pub mod wire;

// The folders only group the modules; paths name a module directly under the crate.
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

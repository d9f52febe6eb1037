//! The serving path of fernring between callers and upstreams.
//!
//! A caller's request arrives at [`ingress`] and is checked and routed by [`serve`]. The results
//! that its stages produce come from the stages' owners ([`stages`], [`owner`]). The request is
//! then sent to an upstream by [`exchange`]; streams of events are forwarded by [`relay`].
//!
//! [`decide`] contains the node's decisions, without I/O. [`members`] tracks the other nodes,
//! [`store`] reads and writes the platform's store, and [`serving`] handles single requests.
//! [`crash_attribution`] finds the requests under which upstreams crash. The traits in [`wire`]
//! separate the gateway from a platform's formats and calls. Everything runs on one thread.
//!
//! ```
//! use fernring_gateway::{attempts::{Attempts, SendOutcome}, model::RetryPolicy};
//!
//! let mut attempts = Attempts::new(RetryPolicy::Never, 2);
//! attempts.record_failure(SendOutcome::Refused);
//! assert!(attempts.may_send(), "a refused request has not run");
//! attempts.record_failure(SendOutcome::Unknown);
//! assert!(!attempts.may_send() && attempts.not_run().is_none());
//! ```

pub mod config;
pub mod connections;
pub mod connector;
pub mod crash_attribution;
pub mod decide;
pub mod framing;
pub mod log;
pub mod members;
pub mod model;
pub mod node;
pub mod owner;
pub mod paced_retries;
pub mod retries;
pub mod rollout;
pub mod serving;
pub mod settings;
mod stage_messages;
pub mod stage_shares;
pub mod stages;
pub mod store;
pub mod stream_origins;
mod telemetry;
pub mod tunnels;
pub mod upstreams;
pub mod wire;
pub mod workspace_sharing;

// The folders only group the modules; paths name a module directly under the crate.
pub(crate) use {decide::call_filling, store::records};
pub use {
    decide::{
        admission, admission_gate, admission_shares, attempts, backlog, backlogs, backoff,
        batching, budget, cold, crash_detection, demand, dispatch_round, domain_preference,
        eligibility, engine_speeds, expiring_map, handover, held_bodies, leaving, limits, liveness,
        origin_table, part_quarantine, permit_issuer, prefill_budget, prefill_pauses,
        prefill_speed, prefix_demand, quarantine, reachability, rejection_guard, relays,
        request_size, residency, response_progress, retry_after, retry_schedule, selection, slack,
        stage_plan, throughput, worker_pools, worker_speeds, workers, workspace_demands,
        workspace_reports, workspace_shares,
    },
    members::{delegates, pause_detector, peers, tickets},
    serving::{
        caller_body, context, deadline_timer, events, exchange, fingerprint, ingress, refusal,
        relay, serve, shutdown,
    },
    store::{
        bootstrap, directory, evacuations, freshness, full_read, position, store_loops, tailing,
    },
};

//! What a node decides, each in a module without I/O: the clock, randomness and what is known are passed in.
//!
//! | question | decided in |
//! |---|---|
//! | is a request taken on? | [`admission`], from [`backlog`] and [`backlogs`] (what waits where) and [`throughput`] (how fast it goes) |
//! | may it be sent again, and when may its caller come back? | [`attempts`], [`budget`], [`retry_after`] |
//! | may an upstream be sent to now, and which one is? | [`eligibility`], [`cold`], [`limits`] (what upstreams take) and [`permit_issuer`], [`selection`], [`prefill_speed`] |
//! | in which regions may it be served? | [`residency`] |
//! | which pieces go into which call, by whose hand? | [`batching`], [`workers`], [`worker_pools`], [`dispatch_round`], [`stage_plan`] |
//! | has an upstream ended, and under which request? | [`crash_detection`], [`quarantine`] |

pub mod admission;
pub mod attempts;
pub mod backlog;
pub mod backlogs;
pub mod eligibility;
pub mod batching;
pub mod budget;
pub mod cold;
pub mod retry_after;
pub mod crash_detection;
pub mod throughput;
pub mod limits;
pub mod workers;
pub mod worker_pools;
pub mod prefill_speed;
pub mod residency;
pub mod dispatch_round;
pub mod selection;
pub mod stage_plan;
pub mod quarantine;
pub mod permit_issuer;

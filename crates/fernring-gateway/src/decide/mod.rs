//! Decisions of a node. Each module is free of I/O: the clock, randomness and the known state are
//! passed in.
//!
//! | question | decided in |
//! |---|---|
//! | is a request admitted? | [`admission`], by the mean [`slack`] of its rank, counted by [`request_size`], from [`backlog`] and [`backlogs`] (queued pieces) and [`throughput`] (processing rate); [`admission_gate`], by the [`admission_shares`] that owners determine from the [`demand`] of all nodes |
//! | which part of a service may one workspace use? | [`workspace_shares`], from [`workspace_demands`] and [`workspace_reports`] |
//! | may it be sent again, and when may its caller retry? | [`attempts`], [`budget`], [`retry_after`], [`retry_schedule`] |
//! | which upstreams are eligible now, and which one is chosen? | [`eligibility`], [`leaving`], [`backoff`], [`cold`], [`limits`] (limits that upstreams announce) and [`permit_issuer`], [`rejection_guard`], [`selection`], [`prefill_speed`], [`engine_speeds`], [`prefill_budget`], [`prefill_pauses`], [`prefix_demand`] |
//! | at which version may a stream go on? | [`origin_table`] |
//! | in which regions may it be served? | [`residency`] |
//! | which pieces go into which call, and which node sends it? | [`batching`], [`domain_preference`], [`workers`], [`worker_speeds`], [`worker_pools`], [`dispatch_round`], [`expiring_map`], [`stage_plan`] |
//! | has this node lost its direct path to the upstreams, and through which peer does it reach them? | [`reachability`], [`relays`] |
//! | has an upstream crashed, and under which request? | [`crash_detection`], [`quarantine`] (whole requests), [`part_quarantine`] (parts of prompts) |

pub mod admission;
pub mod admission_gate;
pub mod admission_shares;
pub mod attempts;
pub mod backlog;
pub mod backlogs;
pub mod backoff;
pub mod batching;
pub mod budget;
pub(crate) mod call_filling;
pub mod cold;
pub mod crash_detection;
pub mod demand;
pub mod dispatch_round;
pub mod domain_preference;
pub mod eligibility;
pub mod engine_speeds;
pub mod expiring_map;
pub mod handover;
pub mod held_bodies;
pub mod leaving;
pub mod limits;
pub mod liveness;
pub mod origin_table;
pub mod part_quarantine;
pub mod permit_issuer;
pub mod prefill_budget;
pub mod prefill_pauses;
pub mod prefill_speed;
pub mod prefix_demand;
pub mod quarantine;
pub mod reachability;
pub mod rejection_guard;
pub mod relays;
pub mod request_size;
pub mod residency;
pub mod response_progress;
pub mod retry_after;
pub mod retry_schedule;
pub mod selection;
pub mod slack;
pub mod stage_plan;
pub mod throughput;
pub mod worker_pools;
pub mod worker_speeds;
pub mod workers;
pub mod workspace_demands;
pub mod workspace_reports;
pub mod workspace_shares;

//! Tests of the decisions: model checking of two small specifications, randomised runs of the
//! shipped code with its invariants, and focused tests of each machine.

mod claim_model;
mod claim_view;
mod config_fold;
mod config_model;
mod dispatcher;
mod explore;
mod membership;
mod placement;
mod plan;
mod queues;
mod random_run;

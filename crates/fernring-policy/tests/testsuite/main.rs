//! Tests of the decisions: model checking of two small specifications, randomised runs of the
//! production code with its invariants, and focused tests of each state machine.

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

//! Tests of the gateway's decisions, a file a module.

mod attempts;
mod batching;
mod budget;
mod config;
mod directory;
mod events;
mod freshness;
mod makers;
mod members;
mod refusal;
mod selection;
mod settings;
mod stage_plan;
mod upstreams;

//! Tests of the gateway's decisions, a file a module.

mod admission;
mod attempts;
mod backlogs;
mod batching;
mod budget;
mod cold;
mod come_back;
mod config;
mod content;
mod delegates;
mod directory;
mod endings;
mod evacuations;
mod events;
mod fleet;
mod following;
mod freshness;
mod makers;
mod members;
mod reading;
mod refusal;
mod selection;
mod settings;
mod stage_plan;
mod suspects;
mod upstreams;

//! Tests with the real programs: nodes, stand-ins for upstreams and for the platform, each a
//! process of its own. They wait on events, never on the clock.

mod bad_input;
mod builder;
mod cuts;
mod drain;
mod effects;
mod operators;
mod path;
mod soak;
mod tickets;

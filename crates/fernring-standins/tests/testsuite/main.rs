//! Tests with the real programs: nodes and stand-ins for upstreams and the platform run as separate
//! processes. Tests wait for events, never for fixed times.

mod bad_input;
mod builder;
mod drain;
mod effects;
mod operators;
mod partitions;
mod path;
mod ports;
mod soak;
mod tickets;

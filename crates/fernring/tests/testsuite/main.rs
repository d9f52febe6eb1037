//! Tests of parts of a node that need no other process.

mod endless_responses;
mod log_queue;
mod settings;
mod slow_responses;

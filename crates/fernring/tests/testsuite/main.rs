//! Tests of a node's parts that need no other process.

mod large_answers;
mod log_queue;
mod settings;

//! Tests of the shared types.

mod clocks;
mod keys;
mod log_lines;
mod result_codes;

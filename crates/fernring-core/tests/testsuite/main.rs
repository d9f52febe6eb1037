//! Tests of the shared types.

mod keys;
mod log_lines;
mod result_codes;

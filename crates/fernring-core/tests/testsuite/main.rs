//! Tests of the types that the fernring crates share.

mod clocks;
mod keys;
mod log_lines;
mod result_codes;

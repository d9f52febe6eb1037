//! Tests of what goes between nodes, a file a module.

mod frames;
mod compression;

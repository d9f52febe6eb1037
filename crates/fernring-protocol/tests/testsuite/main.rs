//! Tests of the messages between nodes, one file per module.

mod compression;
mod endless_frames;
mod frames;

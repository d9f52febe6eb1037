//! What the platform's store holds, as a node knows it: by its own reading, or from peers that have read.
//!
//! [`store_loops`] reads and writes; [`freshness`] and [`following`] say who has to read and whom else to ask; [`directory`] and
//! [`evacuations`] keep what is known, in the order of [`position`].

pub mod directory;
pub mod evacuations;
pub mod tailing;
pub mod freshness;
mod index;
pub mod position;
pub(crate) mod records;
pub mod bootstrap;
pub mod store_loops;
pub mod full_read;

//! What a node knows of the platform's store, from its own reads or from peers that have read it.
//!
//! [`store_loops`] reads and writes the store. [`freshness`], [`tailing`], [`bootstrap`] and
//! [`full_read`] decide when a node reads and when it asks its peers. [`directory`] and
//! [`evacuations`] hold the records, ordered by [`position`].

pub mod bootstrap;
pub mod directory;
pub mod evacuations;
pub mod freshness;
pub mod full_read;
mod index;
pub mod position;
pub(crate) mod records;
pub mod store_loops;
pub mod tailing;

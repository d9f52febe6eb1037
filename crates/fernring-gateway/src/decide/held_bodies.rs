//! Limits the bytes of response bodies that a node holds at the same time. No I/O.
//!
//! A body that isn't a stream is held until it is whole. Each may hold a share of what is free: bodies
//! without end are given up the earlier the more of them there are, and leave room for others.
//!
//! ```
//! use fernring_gateway::held_bodies::{HELD_BYTES_MAX, HeldBodies};
//!
//! let bodies = HeldBodies::default();
//! let mut large = bodies.begin();
//! assert!(large.add(1 << 20).is_ok());
//! assert!(large.add(HELD_BYTES_MAX / 2).is_err());
//! drop(large);
//! assert_eq!(bodies.bytes(), 0);
//! ```

use {
    std::{cell::Cell, rc::Rc},
    thiserror::Error,
};

/// Most bytes of bodies that a node holds.
pub const HELD_BYTES_MAX: usize = 48 << 20;
/// Part of the free bytes that one body may hold: one over this.
const FREE_SHARE: usize = 4;

/// The error for a body that takes too much of what is free.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the body is too long beside the others that are held: {bytes} bytes, {free} free")]
pub struct NoRoom {
    /// The bytes of the body.
    pub bytes: usize,
    /// The bytes that are free.
    pub free: usize,
}

/// The bodies that a node holds.
#[derive(Debug, Clone, Default)]
pub struct HeldBodies(Rc<Cell<usize>>);

impl HeldBodies {
    /// Begins a body, which holds nothing yet.
    pub fn begin(&self) -> HeldBody {
        HeldBody { total: self.0.clone(), bytes: 0 }
    }

    /// Returns the bytes of all bodies.
    pub fn bytes(&self) -> usize {
        self.0.get()
    }
}

/// The bytes that one body holds until this is dropped.
#[derive(Debug)]
pub struct HeldBody {
    /// Invariant: the sum of the `bytes` of all bodies.
    total: Rc<Cell<usize>>,
    bytes: usize,
}

impl HeldBody {
    /// Adds bytes to the body.
    ///
    /// # Errors
    /// If the body would hold more than its share; nothing is added then.
    pub fn add(&mut self, count: usize) -> Result<(), NoRoom> {
        let (bytes, total) = (self.bytes + count, self.total.get() + count);
        let free = HELD_BYTES_MAX.saturating_sub(total);
        if bytes > free / FREE_SHARE {
            return Err(NoRoom { bytes, free });
        }
        self.bytes = bytes;
        self.total.set(total);
        Ok(())
    }
}

impl Drop for HeldBody {
    fn drop(&mut self) {
        self.total.set(self.total.get() - self.bytes);
    }
}

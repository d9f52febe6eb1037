//! Tickets: numbers by which a node recognises the replies of its peers. No I/O.
//!
//! A node starts again at the same address, and a peer may still reply to its previous incarnation.
//! Tickets therefore start at random.
//!
//! ```
//! use fernring_gateway::tickets::Tickets;
//!
//! let mut tickets = Tickets::default();
//! let first = tickets.issue();
//! assert_eq!(tickets.issue(), first.wrapping_add(1));
//! assert_ne!(Tickets::default().issue(), first);
//! ```

/// Issues the tickets of one incarnation of a node.
#[derive(Debug)]
pub struct Tickets {
    next: u64,
}

impl Default for Tickets {
    fn default() -> Self {
        Self { next: rand::random() }
    }
}

impl Tickets {
    /// Issues a ticket that this incarnation hasn't issued yet.
    pub fn issue(&mut self) -> u64 {
        let ticket = self.next;
        self.next = ticket.wrapping_add(1);
        ticket
    }
}

//! Tracks which failure domains operators have evacuated: nothing new is sent to the upstreams
//! there. No I/O.
//!
//! Handles the evacuation of a failure domain with a third of the upstreams while hundreds of nodes
//! send to it. An operator's order is a record in the topic of the configuration and spreads in the
//! same two ways: nodes that read the store read it, and each heartbeat carries all orders that its
//! sender knows, a few dozen bytes per domain, ahead of the age that confirms them. Of two orders
//! for a domain, the one at the later position applies, regardless of the way it came.
//!
//! ```
//! use fernring_gateway::{evacuations::{EvacuationOrder, Evacuations}, position::Position};
//!
//! let mut evacuations = Evacuations::default();
//! let at = Position::new(0, 7);
//! assert!(evacuations.apply("a".into(), EvacuationOrder { at, is_in_force: true }));
//! assert!(evacuations.is_evacuated("a") && !evacuations.is_evacuated("b"));
//! ```

use {
    crate::position::Position,
    std::{collections::BTreeMap, sync::Arc},
};

/// Most domains with a known order, far more than a deployment has. An order for one more domain
/// replaces the oldest withdrawn order, so that a faulty operator tool can't fill memory and
/// heartbeats.
const DOMAINS_MAX: usize = 256;

/// An operator's newest order for one failure domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EvacuationOrder {
    /// Position of its record in the store.
    pub at: Position,
    /// Whether the domain is evacuated; if not, the evacuation was withdrawn.
    pub is_in_force: bool,
}

/// The operators' orders for failure domains.
#[derive(Debug, Clone, Default)]
pub struct Evacuations {
    /// Invariant: at most [`DOMAINS_MAX`] entries, unless more are evacuated.
    orders: BTreeMap<Arc<str>, EvacuationOrder>,
}

impl Evacuations {
    /// Applies an order; returns whether it changes whether the domain is evacuated.
    pub fn apply(&mut self, failure_domain: Arc<str>, order: EvacuationOrder) -> bool {
        let before = self.orders.get(&failure_domain).copied();
        if before.is_some_and(|before| order.at <= before.at) {
            return false;
        }
        self.orders.insert(failure_domain, order);
        self.drop_oldest_withdrawn();
        before.is_some_and(|before| before.is_in_force) != order.is_in_force
    }

    /// Applies a full read: the store held the orders `present` and no others up to `end`. A known
    /// order of the same era that is missing was withdrawn. One of an earlier era may only be
    /// missing from the backup that the store was restored from, and applies until the operator
    /// gives a new order. Returns the domains that were evacuated or released by this.
    pub fn replace_all(
        &mut self,
        present: Vec<(Arc<str>, Position)>,
        end: Position,
    ) -> Vec<Arc<str>> {
        let names: Vec<_> = present.iter().map(|(domain, _)| domain.clone()).collect();
        let mut changed = Vec::new();
        for (domain, at) in present {
            if self.apply(domain.clone(), EvacuationOrder { at, is_in_force: true }) {
                changed.push(domain);
            }
        }
        for (domain, order) in &mut self.orders {
            let is_of_same_era = order.at.era == end.era && order.at < end;
            if order.is_in_force && is_of_same_era && !names.contains(domain) {
                *order = EvacuationOrder { at: order.at.next(), is_in_force: false };
                changed.push(domain.clone());
            }
        }
        changed
    }

    /// Returns whether a failure domain is evacuated.
    pub fn is_evacuated(&self, failure_domain: &str) -> bool {
        self.orders.get(failure_domain).is_some_and(|order| order.is_in_force)
    }

    /// Returns the newest order for a failure domain.
    pub fn order(&self, failure_domain: &str) -> Option<EvacuationOrder> {
        self.orders.get(failure_domain).copied()
    }

    /// Returns the number of evacuated failure domains.
    pub fn evacuated_count(&self) -> usize {
        self.orders.values().filter(|order| order.is_in_force).count()
    }

    /// Lists all orders, to be passed on to peers.
    pub fn orders(&self) -> impl Iterator<Item = (&Arc<str>, &EvacuationOrder)> {
        self.orders.iter()
    }

    fn drop_oldest_withdrawn(&mut self) {
        if self.orders.len() <= DOMAINS_MAX {
            return;
        }
        let withdrawn = self.orders.iter().filter(|(_, order)| !order.is_in_force);
        let oldest = withdrawn.min_by_key(|(_, order)| order.at).map(|(domain, _)| domain.clone());
        if let Some(oldest) = oldest {
            self.orders.remove(&oldest);
        }
    }
}

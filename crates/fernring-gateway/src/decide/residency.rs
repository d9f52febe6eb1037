//! Data residency: the regions in which a request may be served, and to whose VMs its content may
//! be sent. No I/O.
//!
//! The settings assign a failure domain to a region. A route and a workspace may each name regions;
//! a request is bound by both. An upstream or VM whose region is unknown is outside every
//! restriction.
//!
//! ```
//! use fernring_gateway::residency::{Regions, Residency};
//!
//! let regions = Regions::new([("hall-a", "north"), ("hall-b", "south")]);
//! let route = Residency::within(["north", "south"]);
//! let workspace = Residency::within(["south"]);
//! let both = route.intersect(&workspace);
//! assert!(both.allows(regions.region_of("hall-b")) && !both.allows(regions.region_of("hall-a")));
//! ```

use std::{collections::BTreeMap, sync::Arc};

/// The region of each failure domain.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Regions {
    by_domain: BTreeMap<Arc<str>, Arc<str>>,
}

impl Regions {
    /// Creates the assignment from pairs of a failure domain and its region.
    pub fn new<D, R>(domains: impl IntoIterator<Item = (D, R)>) -> Self
    where
        D: Into<Arc<str>>,
        R: Into<Arc<str>>,
    {
        let pairs = domains.into_iter().map(|(domain, region)| (domain.into(), region.into()));
        Self { by_domain: pairs.collect() }
    }

    /// Returns the region of a failure domain, if known.
    pub fn region_of(&self, failure_domain: &str) -> Option<&Arc<str>> {
        self.by_domain.get(failure_domain)
    }

    /// Returns whether two failure domains are known to lie in the same region. Without any regions,
    /// no request is restricted, and all domains count as one region.
    pub fn are_together(&self, one: &str, other: &str) -> bool {
        one == other
            || self.by_domain.is_empty()
            || self.region_of(one).is_some_and(|region| self.region_of(other) == Some(region))
    }

    /// Returns whether any failure domain belongs to a region.
    pub fn contains(&self, region: &str) -> bool {
        self.by_domain.values().any(|known| **known == *region)
    }
}

/// The regions in which a request may be served.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Residency {
    /// The regions; `None` if any region is allowed. Invariant: sorted, without duplicates.
    regions: Option<Arc<[Arc<str>]>>,
}

impl Residency {
    /// Restricts to the given regions; an empty list allows none.
    pub fn within<R: Into<Arc<str>>>(regions: impl IntoIterator<Item = R>) -> Self {
        let mut regions: Vec<Arc<str>> = regions.into_iter().map(Into::into).collect();
        regions.sort();
        regions.dedup();
        Self { regions: Some(regions.into()) }
    }

    /// Returns the restriction that allows only what both allow.
    pub fn intersect(&self, other: &Self) -> Self {
        match (&self.regions, &other.regions) {
            (None, _) => other.clone(),
            (_, None) => self.clone(),
            (Some(own), Some(others)) => {
                Self::within(own.iter().filter(|region| others.contains(region)).cloned())
            }
        }
    }

    /// Returns whether any regions are excluded.
    pub fn is_restricted(&self) -> bool {
        self.regions.is_some()
    }

    /// Returns whether a request may be served in a region; `None` stands for an unknown region.
    pub fn allows(&self, region: Option<&Arc<str>>) -> bool {
        match &self.regions {
            None => true,
            Some(regions) => region.is_some_and(|region| regions.contains(region)),
        }
    }

    /// Lists the regions that it names.
    pub fn regions(&self) -> impl Iterator<Item = &Arc<str>> {
        self.regions.iter().flat_map(|regions| regions.iter())
    }
}

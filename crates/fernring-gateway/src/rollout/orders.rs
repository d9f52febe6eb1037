//! Roll-out orders that a node knows, and which versions of a service get requests because of them.
//! No I/O.

use {
    crate::position::Position,
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::Duration,
    },
};

/// Time after which a share expires unless it is announced again: several heartbeats, but well
/// below the time for which a version that is rolled back may still get requests.
pub const SHARE_LIFETIME: Duration = Duration::from_secs(2);
/// Largest number of services whose orders are kept.
const SERVICES_MAX: usize = 256;

/// An operator's order to move a service's requests to a version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutOrder {
    /// The version that is to serve.
    pub destination: Arc<str>,
    /// Time within which the roll-out must end.
    pub duration: Duration,
}

/// Progress of a roll-out.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RolloutProgress {
    /// The order was found in the store, but its state hasn't been read yet.
    Unknown,
    /// The roll-out is under way.
    Running {
        /// Part of the requests that the destination version gets.
        share: f64,
        /// Rises with each announcement of a controller.
        serial: u64,
        /// When the controller announced the share.
        announced_at: Duration,
    },
    /// The destination version serves alone.
    Completed,
    /// The destination version gets nothing.
    RolledBack,
}

impl RolloutProgress {
    /// Progress of an order on which no controller has decided yet.
    pub const INITIAL: Self = Self::Running { share: 0.0, serial: 0, announced_at: Duration::ZERO };

    /// Returns whether the roll-out has ended.
    pub fn is_final(&self) -> bool {
        matches!(self, Self::Completed | Self::RolledBack)
    }

    fn is_newer_than(&self, known: &Self) -> bool {
        match (self, known) {
            (_, known) if known.is_final() => false,
            (own, _) if own.is_final() => true,
            (Self::Running { serial, .. }, Self::Running { serial: known, .. }) => serial > known,
            (Self::Running { .. }, Self::Unknown) => true,
            _ => false,
        }
    }
}

/// The newest known order of a service and its progress.
#[derive(Debug, Clone, PartialEq)]
pub struct KnownOrder {
    /// The order.
    pub order: RolloutOrder,
    /// Position of the order in the store.
    pub at: Position,
    /// When the roll-out must have ended.
    pub deadline_at: Duration,
    /// Progress of the roll-out.
    pub progress: RolloutProgress,
}

/// Versions of a service that get requests.
#[derive(Debug, Clone, PartialEq)]
pub enum AdmittedVersions {
    /// All but the destination.
    Others,
    /// All but the destination, or the destination if the service has upstreams of no other
    /// version.
    OthersFirst,
    /// All; the destination gets this share of the requests.
    Share(f64),
    /// The destination, or others if it doesn't accept a request.
    DestinationFirst,
    /// The destination alone.
    Destination,
}

/// Rule by which upstreams of a service get requests, as the service's order demands.
#[derive(Debug, Clone, PartialEq)]
pub struct VersionRule {
    /// The destination version of the newest order.
    pub destination: Arc<str>,
    /// Versions that get requests.
    pub admitted: AdmittedVersions,
    /// Destinations of earlier orders that weren't completed; they get no requests.
    pub ineligible: BTreeSet<Arc<str>>,
}

impl VersionRule {
    /// Returns whether upstreams of a version may get requests. `has_others` says whether the
    /// service has upstreams of versions other than the destination.
    pub fn admits(&self, version: &str, has_others: bool) -> bool {
        let is_destination = *self.destination == *version;
        if !is_destination && self.ineligible.contains(version) {
            return false;
        }
        match self.admitted {
            AdmittedVersions::Others => !is_destination,
            AdmittedVersions::OthersFirst => !is_destination || !has_others,
            AdmittedVersions::Share(_) | AdmittedVersions::DestinationFirst => true,
            AdmittedVersions::Destination => is_destination,
        }
    }
}

#[derive(Debug, Clone)]
struct ServiceEntry {
    known: KnownOrder,
    /// Destinations of earlier orders that weren't completed.
    ineligible: BTreeSet<Arc<str>>,
    is_withdrawn: bool,
}

/// The newest order of each service.
#[derive(Debug, Clone, Default)]
pub struct RolloutOrders {
    /// Invariant: at most [`SERVICES_MAX`] entries.
    by_service: BTreeMap<Arc<str>, ServiceEntry>,
}

impl RolloutOrders {
    /// Merges an order and its progress, from the store, a peer or this node's controller. Returns
    /// whether anything that is known about the service has changed.
    pub fn update(&mut self, service: &Arc<str>, known: KnownOrder) -> bool {
        let Some(entry) = self.by_service.get_mut(service) else {
            if self.by_service.len() >= SERVICES_MAX {
                return false;
            }
            let entry = ServiceEntry { known, ineligible: BTreeSet::new(), is_withdrawn: false };
            self.by_service.insert(service.clone(), entry);
            return true;
        };
        if known.at < entry.known.at {
            return false;
        }
        if known.at > entry.known.at {
            let previous = std::mem::replace(&mut entry.known, known);
            entry.is_withdrawn = false;
            if previous.progress != RolloutProgress::Completed {
                entry.ineligible.insert(previous.order.destination);
            }
            entry.ineligible.remove(&entry.known.order.destination);
            return true;
        }
        // The node that received the order first knows best when it was given.
        entry.known.deadline_at = entry.known.deadline_at.min(known.deadline_at);
        let is_newer = known.progress.is_newer_than(&entry.known.progress);
        if is_newer {
            entry.known.progress = known.progress;
        }
        is_newer
    }

    /// Records that an order was withdrawn at a position of the store. Returns whether its roll-out
    /// was under way.
    pub fn withdraw(&mut self, service: &str, at: Position) -> bool {
        let Some(entry) = self.by_service.get_mut(service) else {
            return false;
        };
        let is_over = entry.known.progress.is_final() || entry.is_withdrawn;
        if is_over || at <= entry.known.at {
            return false;
        }
        entry.is_withdrawn = true;
        true
    }

    /// Records that up to `end` the store holds orders for the services `present` and for no
    /// others: older orders for other services were withdrawn. Returns the services whose roll-out
    /// was under way.
    pub fn retain(&mut self, present: &[Arc<str>], end: Position) -> Vec<Arc<str>> {
        let is_gone = |(service, entry): &(&Arc<str>, &ServiceEntry)| {
            let is_of_era = entry.known.at.era == end.era && entry.known.at < end;
            is_of_era && !present.contains(service)
        };
        let gone: Vec<_> =
            self.by_service.iter().filter(is_gone).map(|(service, _)| service.clone()).collect();
        gone.into_iter().filter(|service| self.withdraw(service, end)).collect()
    }

    /// Returns the newest order of a service.
    pub fn newest(&self, service: &str) -> Option<&KnownOrder> {
        self.by_service.get(service).map(|entry| &entry.known)
    }

    /// Returns whether a service's newest order was withdrawn while its roll-out was under way.
    pub fn is_withdrawn(&self, service: &str) -> bool {
        self.by_service.get(service).is_some_and(|entry| entry.is_withdrawn)
    }

    /// Lists the newest orders of all services.
    pub fn iter(&self) -> impl Iterator<Item = (&Arc<str>, &KnownOrder)> {
        self.by_service.iter().map(|(service, entry)| (service, &entry.known))
    }

    /// Returns whether no service has an order.
    pub fn is_empty(&self) -> bool {
        self.by_service.is_empty()
    }

    /// Returns the rule that follows now from a service's order; `None` if the service has no
    /// order.
    pub fn rule(&self, now: Duration, service: &str) -> Option<VersionRule> {
        let entry = self.by_service.get(service)?;
        let admitted = match entry.known.progress {
            RolloutProgress::Completed => AdmittedVersions::Destination,
            RolloutProgress::RolledBack => AdmittedVersions::Others,
            RolloutProgress::Unknown => AdmittedVersions::OthersFirst,
            RolloutProgress::Running { .. } if entry.is_withdrawn => AdmittedVersions::Others,
            RolloutProgress::Running { share, announced_at, .. } => {
                let is_fresh = now < announced_at + SHARE_LIFETIME;
                match is_fresh {
                    true if share >= 1.0 => AdmittedVersions::Destination,
                    true if share > 0.0 => AdmittedVersions::Share(share),
                    // The upstreams of the other versions may have been stopped since.
                    false if share >= 1.0 => AdmittedVersions::DestinationFirst,
                    _ => AdmittedVersions::Others,
                }
            }
        };
        let destination = entry.known.order.destination.clone();
        Some(VersionRule { destination, admitted, ineligible: entry.ineligible.clone() })
    }
}

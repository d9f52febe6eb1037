//! What a node knows of the orders to roll out, and what follows for the upstreams of a service. No I/O.

use {
    crate::position::Position,
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::Duration,
    },
};

/// Time for which a share holds that isn't said again: several heartbeats, well below the time in which a version that is
/// rolled back may still get requests.
pub const SHARE_LIFETIME: Duration = Duration::from_secs(2);
/// Services that orders are kept of.
const SERVICES_MAX: usize = 256;

/// An operator's order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutOrder {
    /// The version that is to serve.
    pub destination: Arc<str>,
    /// Time in which it is to be done.
    pub duration: Duration,
}

/// How far a roll-out is.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RolloutProgress {
    /// The order was found in the store, and its state isn't read yet.
    Unknown,
    /// It is under way.
    Running {
        /// Part of the requests that the ordered version gets.
        share: f64,
        /// Rises with each word of a decider.
        serial: u64,
        /// When the decider said so.
        announced_at: Duration,
    },
    /// The ordered version serves alone.
    Completed,
    /// The ordered version gets nothing.
    RolledBack,
}

impl RolloutProgress {
    /// The standing of an order that nobody has decided on.
    pub const INITIAL: Self = Self::Running { share: 0.0, serial: 0, announced_at: Duration::ZERO };

    /// Tells whether it stays so.
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

/// What is known of a service's newest order.
#[derive(Debug, Clone, PartialEq)]
pub struct KnownOrder {
    /// The order.
    pub order: RolloutOrder,
    /// Where it lies in the store.
    pub at: Position,
    /// When it is to be done.
    pub deadline_at: Duration,
    /// How far it is.
    pub progress: RolloutProgress,
}

/// Which versions of a service get requests.
#[derive(Debug, Clone, PartialEq)]
pub enum AdmittedVersions {
    /// All but the ordered one.
    Others,
    /// All but the ordered one; that one if no other is there.
    OthersFirst,
    /// Both: the ordered one this share of the requests.
    Share(f64),
    /// The ordered one; others if it doesn't take a request.
    DestinationFirst,
    /// The ordered one alone.
    Destination,
}

/// What an order makes of the upstreams of its service.
#[derive(Debug, Clone, PartialEq)]
pub struct VersionRule {
    /// The ordered version.
    pub destination: Arc<str>,
    /// Which versions get requests.
    pub admits: AdmittedVersions,
    /// Versions that were ordered before and are over.
    pub barred: BTreeSet<Arc<str>>,
}

impl VersionRule {
    /// Tells whether upstreams of a version may get requests. `has_others` tells whether upstreams of other versions than the
    /// ordered one are there.
    pub fn admits(&self, version: &str, has_others: bool) -> bool {
        let is_destination = *self.destination == *version;
        if !is_destination && self.barred.contains(version) {
            return false;
        }
        match self.admits {
            AdmittedVersions::Others => !is_destination,
            AdmittedVersions::OthersFirst => !is_destination || !has_others,
            AdmittedVersions::Share(_) | AdmittedVersions::DestinationFirst => true,
            AdmittedVersions::Destination => is_destination,
        }
    }
}

#[derive(Debug, Clone)]
struct Known {
    word: KnownOrder,
    /// Versions that were ordered before and are over.
    barred: BTreeSet<Arc<str>>,
    is_withdrawn: bool,
}

/// The newest order of each service.
#[derive(Debug, Clone, Default)]
pub struct RolloutOrders {
    /// Invariant: at most [`SERVICES_MAX`] entries.
    by_service: BTreeMap<Arc<str>, Known>,
}

impl RolloutOrders {
    /// Takes in a word on a service, from anywhere; tells whether it is news.
    pub fn learn(&mut self, service: &Arc<str>, word: KnownOrder) -> bool {
        let Some(known) = self.by_service.get_mut(service) else {
            if self.by_service.len() >= SERVICES_MAX {
                return false;
            }
            let known = Known { word, barred: BTreeSet::new(), is_withdrawn: false };
            self.by_service.insert(service.clone(), known);
            return true;
        };
        if word.at < known.word.at {
            return false;
        }
        if word.at > known.word.at {
            let before = std::mem::replace(&mut known.word, word);
            known.is_withdrawn = false;
            if before.progress != RolloutProgress::Completed {
                known.barred.insert(before.order.destination);
            }
            known.barred.remove(&known.word.order.destination);
            return true;
        }
        // Who heard of it first knows best when it was given.
        known.word.deadline_at = known.word.deadline_at.min(word.deadline_at);
        let is_newer = word.progress.is_newer_than(&known.word.progress);
        if is_newer {
            known.word.progress = word.progress;
        }
        is_newer
    }

    /// Takes in that an order was taken back at a position of the store; tells whether one was under way.
    pub fn withdraw(&mut self, service: &str, at: Position) -> bool {
        let Some(known) = self.by_service.get_mut(service) else {
            return false;
        };
        let is_over = known.word.progress.is_final() || known.is_withdrawn;
        if is_over || at <= known.word.at {
            return false;
        }
        known.is_withdrawn = true;
        true
    }

    /// Takes in that the store held orders for the services `present` and no others up to `end`. Returns the services whose
    /// orders were taken back.
    pub fn retain(&mut self, present: &[Arc<str>], end: Position) -> Vec<Arc<str>> {
        let is_gone = |(service, known): &(&Arc<str>, &Known)| {
            let is_of_era = known.word.at.era == end.era && known.word.at < end;
            is_of_era && !present.contains(service)
        };
        let gone: Vec<_> =
            self.by_service.iter().filter(is_gone).map(|(service, _)| service.clone()).collect();
        gone.into_iter().filter(|service| self.withdraw(service, end)).collect()
    }

    /// Returns what is known of a service's order.
    pub fn word(&self, service: &str) -> Option<&KnownOrder> {
        self.by_service.get(service).map(|known| &known.word)
    }

    /// Tells whether a service's order was taken back while it was under way.
    pub fn is_withdrawn(&self, service: &str) -> bool {
        self.by_service.get(service).is_some_and(|known| known.is_withdrawn)
    }

    /// Lists all words.
    pub fn words(&self) -> impl Iterator<Item = (&Arc<str>, &KnownOrder)> {
        self.by_service.iter().map(|(service, known)| (service, &known.word))
    }

    /// Tells whether there is no order at all.
    pub fn is_empty(&self) -> bool {
        self.by_service.is_empty()
    }

    /// Returns what a service's order makes of its upstreams now.
    pub fn rule(&self, now: Duration, service: &str) -> Option<VersionRule> {
        let known = self.by_service.get(service)?;
        let admits = match known.word.progress {
            RolloutProgress::Completed => AdmittedVersions::Destination,
            RolloutProgress::RolledBack => AdmittedVersions::Others,
            RolloutProgress::Unknown => AdmittedVersions::OthersFirst,
            RolloutProgress::Running { .. } if known.is_withdrawn => AdmittedVersions::Others,
            RolloutProgress::Running { share, announced_at: said_at, .. } => {
                let is_fresh = now < said_at + SHARE_LIFETIME;
                match is_fresh {
                    true if share >= 1.0 => AdmittedVersions::Destination,
                    true if share > 0.0 => AdmittedVersions::Share(share),
                    // The others may have been stopped since.
                    false if share >= 1.0 => AdmittedVersions::DestinationFirst,
                    _ => AdmittedVersions::Others,
                }
            }
        };
        let destination = known.word.order.destination.clone();
        Some(VersionRule { destination, admits, barred: known.barred.clone() })
    }
}

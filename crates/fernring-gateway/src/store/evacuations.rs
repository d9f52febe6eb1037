//! Which failure domains operators have evacuated: nothing new is sent to the upstreams there. No I/O.
//!
//! The load that this answers: a failure domain of a third of the upstreams is emptied while hundreds of nodes send
//! there. An operator's word is a record of the topic that holds the configuration, and is known the same ways: whoever
//! reads the store reads it, and each heartbeat holds all words that its sender knows, a few dozen bytes a domain, before
//! it confirms how old that knowledge is. Of two words on a domain the one at the later position holds, whichever
//! way it came.
//!
//! ```
//! use fernring_gateway::{evacuations::{Evacuations, Word}, position::Position};
//!
//! let mut evacuations = Evacuations::default();
//! let at = Position::new(0, 7);
//! assert!(evacuations.learn("a".into(), Word { at, is_in_force: true }));
//! assert!(evacuations.covers("a") && !evacuations.covers("b"));
//! ```

use {
    crate::position::Position,
    std::{collections::BTreeMap, sync::Arc},
};

/// Domains that words are kept of: far more than a deployment has. A word on a further one takes the place of the oldest
/// that was taken back, so that a faulty operator's tool can't fill memory and heartbeats.
const DOMAINS_MAX: usize = 256;

/// The newest word on one failure domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EvacuationOrder {
    /// Where it lies in the store.
    pub at: Position,
    /// Whether the domain is evacuated; if not, that was taken back.
    pub is_in_force: bool,
}

/// The words of operators on failure domains.
#[derive(Debug, Clone, Default)]
pub struct Evacuations {
    /// Invariant: at most [`DOMAINS_MAX`] entries, unless more are evacuated.
    words: BTreeMap<Arc<str>, EvacuationOrder>,
}

impl Evacuations {
    /// Takes in a word; tells whether a domain is evacuated or given back by it.
    pub fn apply(&mut self, failure_domain: Arc<str>, word: EvacuationOrder) -> bool {
        let before = self.words.get(&failure_domain).copied();
        if before.is_some_and(|before| word.at <= before.at) {
            return false;
        }
        self.words.insert(failure_domain, word);
        self.drop_oldest_withdrawn();
        before.is_some_and(|before| before.is_in_force) != word.is_in_force
    }

    /// Takes in that the store held the words `present` and no others up to `end`. One of the same era that is missing was
    /// taken back; one of an earlier era may be missing from the copy that the store came back from, and holds until the
    /// operator says something new. Returns the domains for which that changes something.
    pub fn replace_all(&mut self, present: Vec<(Arc<str>, Position)>, end: Position) -> Vec<Arc<str>> {
        let names: Vec<_> = present.iter().map(|(domain, _)| domain.clone()).collect();
        let mut changed = Vec::new();
        for (domain, at) in present {
            if self.apply(domain.clone(), EvacuationOrder { at, is_in_force: true }) {
                changed.push(domain);
            }
        }
        for (domain, word) in &mut self.words {
            let is_of_era = word.at.era == end.era && word.at < end;
            if word.is_in_force && is_of_era && !names.contains(domain) {
                *word = EvacuationOrder { at: word.at.next(), is_in_force: false };
                changed.push(domain.clone());
            }
        }
        changed
    }

    /// Tells whether a failure domain is evacuated.
    pub fn is_evacuated(&self, failure_domain: &str) -> bool {
        self.words.get(failure_domain).is_some_and(|word| word.is_in_force)
    }

    /// Returns the newest word on a failure domain.
    pub fn order(&self, failure_domain: &str) -> Option<EvacuationOrder> {
        self.words.get(failure_domain).copied()
    }

    /// Returns the number of evacuated failure domains.
    pub fn evacuated_count(&self) -> usize {
        self.words.values().filter(|word| word.is_in_force).count()
    }

    /// Lists all words, to be passed on.
    pub fn orders(&self) -> impl Iterator<Item = (&Arc<str>, &EvacuationOrder)> {
        self.words.iter()
    }

    fn drop_oldest_withdrawn(&mut self) {
        if self.words.len() <= DOMAINS_MAX {
            return;
        }
        let taken_back = self.words.iter().filter(|(_, word)| !word.is_in_force);
        let oldest = taken_back.min_by_key(|(_, word)| word.at).map(|(domain, _)| domain.clone());
        if let Some(oldest) = oldest {
            self.words.remove(&oldest);
        }
    }
}

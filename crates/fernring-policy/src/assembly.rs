//! Putting the parts of a stage's answer back in order.

use std::{collections::BTreeMap, sync::Arc};

/// One part of an answer, as an upstream sent it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResponsePart {
    /// Position of the part, from 0.
    pub sequence: u32,
    /// Its text.
    pub text: Arc<str>,
    /// Whether no part follows it.
    pub last: bool,
}

/// What became of a part that was added.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AddOutcome {
    /// It is part of the answer.
    Accepted,
    /// It was there before; the copy is dropped.
    Duplicate,
    /// It contradicts what is known of the answer, or the answer is too large.
    Invalid,
}

/// The parts of one attempt's answer.
///
/// Invariant: `ordered` holds the texts of the sequence numbers `0..next`, each once; `ahead`
/// holds only numbers above `next`; no number is beyond `last`.
#[derive(Debug, Default)]
pub struct ResponseAssembly {
    ordered: Vec<Arc<str>>,
    ahead: BTreeMap<u32, Arc<str>>,
    last: Option<u32>,
    bytes: usize,
}

impl ResponseAssembly {
    /// Adds a part; `bytes_max` bounds the whole answer.
    pub fn add(&mut self, part: ResponsePart, bytes_max: usize) -> AddOutcome {
        let next = self.ordered.len() as u32;
        if part.sequence < next || self.ahead.contains_key(&part.sequence) {
            return AddOutcome::Duplicate;
        }
        if !self.fits(&part, bytes_max) {
            return AddOutcome::Invalid;
        }
        self.bytes += part.text.len();
        if part.last {
            self.last = Some(part.sequence);
        }
        self.ahead.insert(part.sequence, part.text);
        self.advance();
        AddOutcome::Accepted
    }

    /// Returns the texts that are in order so far.
    pub fn ordered(&self) -> &[Arc<str>] {
        &self.ordered
    }

    /// Tells whether no part has arrived.
    pub fn is_empty(&self) -> bool {
        self.ordered.is_empty() && self.ahead.is_empty()
    }

    /// Tells whether every part up to the last one is there.
    pub fn is_complete(&self) -> bool {
        self.last.is_some_and(|last| self.ordered.len() as u64 == u64::from(last) + 1)
    }

    /// Returns the whole text; `None` while a part is missing.
    pub fn complete_text(&self) -> Option<Arc<str>> {
        self.is_complete().then(|| self.ordered.concat().into())
    }

    fn fits(&self, part: &ResponsePart, bytes_max: usize) -> bool {
        let beyond_last = self.last.is_some_and(|last| part.last || part.sequence > last);
        let highest = self.ahead.keys().next_back();
        let ends_too_early = part.last && highest.is_some_and(|&known| known > part.sequence);
        // Each part counts for at least one byte, so that empty parts are bounded too.
        let fits_size = self.bytes + part.text.len().max(1) <= bytes_max;
        let fits_count = (part.sequence as usize) < bytes_max;
        !beyond_last && !ends_too_early && fits_size && fits_count
    }

    fn advance(&mut self) {
        while let Some(text) = self.ahead.remove(&(self.ordered.len() as u32)) {
            self.ordered.push(text);
        }
    }
}

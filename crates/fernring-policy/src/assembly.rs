//! Reassembly of a stage's response from parts that may arrive out of order.

use std::{collections::BTreeMap, sync::Arc};

/// One part of a response, as an upstream sent it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResponsePart {
    /// Position of the part, from 0.
    pub sequence: u32,
    /// Text of the part.
    pub text: Arc<str>,
    /// Whether this is the last part of the response.
    pub last: bool,
}

/// Outcome of adding a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AddOutcome {
    /// The part was added to the response.
    Accepted,
    /// The part had already arrived; the copy is dropped.
    Duplicate,
    /// The part contradicts the parts that have arrived, or the response is too large.
    Invalid,
}

/// The parts of one attempt's response.
///
/// Invariant: `ordered` holds the texts of the sequence numbers `0..next`, each once;
/// `out_of_order` holds only numbers above `next`; no number is beyond `last`.
#[derive(Debug, Default)]
pub struct ResponseAssembly {
    ordered: Vec<Arc<str>>,
    out_of_order: BTreeMap<u32, Arc<str>>,
    last: Option<u32>,
    bytes: usize,
}

impl ResponseAssembly {
    /// Adds a part; `bytes_max` bounds the size of the complete response.
    pub fn add(&mut self, part: ResponsePart, bytes_max: usize) -> AddOutcome {
        let next = self.ordered.len() as u32;
        if part.sequence < next || self.out_of_order.contains_key(&part.sequence) {
            return AddOutcome::Duplicate;
        }
        if !self.fits(&part, bytes_max) {
            return AddOutcome::Invalid;
        }
        self.bytes += part.text.len();
        if part.last {
            self.last = Some(part.sequence);
        }
        self.out_of_order.insert(part.sequence, part.text);
        self.move_to_ordered();
        AddOutcome::Accepted
    }

    /// Returns the texts of the first parts, up to the first one that is missing.
    pub fn ordered(&self) -> &[Arc<str>] {
        &self.ordered
    }

    /// Returns whether no part has arrived.
    pub fn is_empty(&self) -> bool {
        self.ordered.is_empty() && self.out_of_order.is_empty()
    }

    /// Returns whether all parts, including the last one, have arrived.
    pub fn is_complete(&self) -> bool {
        self.last.is_some_and(|last| self.ordered.len() as u64 == u64::from(last) + 1)
    }

    /// Returns the complete text; `None` while a part is missing.
    pub fn complete_text(&self) -> Option<Arc<str>> {
        self.is_complete().then(|| self.ordered.concat().into())
    }

    fn fits(&self, part: &ResponsePart, bytes_max: usize) -> bool {
        let beyond_last = self.last.is_some_and(|last| part.last || part.sequence > last);
        let highest = self.out_of_order.keys().next_back();
        let ends_too_early = part.last && highest.is_some_and(|&known| known > part.sequence);
        // Each part counts as at least one byte, so that the number of empty parts is bounded too.
        let fits_size = self.bytes + part.text.len().max(1) <= bytes_max;
        let fits_count = (part.sequence as usize) < bytes_max;
        !beyond_last && !ends_too_early && fits_size && fits_count
    }

    fn move_to_ordered(&mut self) {
        while let Some(text) = self.out_of_order.remove(&(self.ordered.len() as u32)) {
            self.ordered.push(text);
        }
    }
}

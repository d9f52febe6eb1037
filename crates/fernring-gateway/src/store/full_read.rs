//! The newest records of a topic, page by page. No I/O.
//!
//! A page that fails is asked for again and those before it are kept: if all were read anew, a store that answers nine calls in ten
//! would hardly ever have twenty pages read in a row, and what it does answer would be thrown away.

use {
    crate::wire::{NewestPage, Page, StoreError},
    std::sync::Arc,
};

/// The pages that were read so far.
#[derive(Debug, Clone, Default)]
pub struct FullRead {
    pages: Option<Page>,
    next: Option<Arc<str>>,
}

impl FullRead {
    /// Tells whether a page was read.
    pub fn has_started(&self) -> bool {
        self.pages.is_some()
    }

    /// Returns the key after which the next page begins; `None` for the first.
    pub fn page_token(&self) -> Option<&str> {
        self.next.as_deref()
    }

    /// Returns the pages so far.
    pub fn pages(&self) -> Option<&Page> {
        self.pages.as_ref()
    }

    /// Takes in the next page; returns all records if it was the last.
    ///
    /// # Errors
    /// If the store came back from a copy between two pages ([`StoreError::Expired`]).
    pub fn add_page(&mut self, newest: NewestPage) -> Result<Option<Page>, StoreError> {
        let NewestPage { page, next } = newest;
        let pages = match self.pages.take() {
            None => page,
            Some(before) if before.era != page.era => {
                self.next = None;
                return Err(StoreError::Expired);
            }
            Some(mut before) => {
                before.records.extend(page.records);
                // Pages are no snapshot: what came after the first page was asked for is read again.
                before.end = before.end.min(page.end);
                before.took += page.took;
                before
            }
        };
        self.next = next;
        if self.next.is_none() {
            return Ok(Some(pages));
        }
        self.pages = Some(pages);
        Ok(None)
    }
}

//! Reads the newest records of a topic page by page. No I/O.
//!
//! Only the page that failed is requested again. Starting over at each failure would rarely finish:
//! a store that responds to nine calls in ten would hardly ever return twenty pages in a row.

use {
    crate::wire::{NewestPage, Page, StoreError},
    std::sync::Arc,
};

/// Collects the pages of a full read of a topic.
#[derive(Debug, Clone, Default)]
pub struct FullRead {
    pages: Option<Page>,
    next: Option<Arc<str>>,
}

impl FullRead {
    /// Returns whether at least one page was read.
    pub fn has_started(&self) -> bool {
        self.pages.is_some()
    }

    /// Returns the key after which the next page starts; `None` for the first page.
    pub fn page_token(&self) -> Option<&str> {
        self.next.as_deref()
    }

    /// Returns the records of the pages read so far, merged into one page.
    pub fn pages(&self) -> Option<&Page> {
        self.pages.as_ref()
    }

    /// Adds the next page; returns all records if it was the last one.
    ///
    /// # Errors
    /// If the store was restored from a backup between two pages ([`StoreError::Expired`]).
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
                // The pages are no snapshot: records written after the first page was requested are
                // read again later.
                before.end = before.end.min(page.end);
                before.took += page.took;
                before.has_more = true;
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

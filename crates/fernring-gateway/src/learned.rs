//! What a node learns from what came true: by model service, how fast prompts are read.

use {
    crate::reading::ReadingSpeed,
    std::{cell::RefCell, collections::HashMap, sync::Arc, time::Duration},
};

/// What a node has learned. It starts anew with the process.
#[derive(Debug, Default)]
pub struct Learned {
    /// By the name of the service.
    reading: RefCell<HashMap<Arc<str>, ReadingSpeed>>,
}

impl Learned {
    /// Returns the speed at which the engines of a service read.
    pub fn reading(&self, service: &str) -> ReadingSpeed {
        self.reading.borrow().get(service).copied().unwrap_or_default()
    }

    /// Takes in that an engine's first event came `took` after it was sent a request with `tokens` to read.
    pub fn read(&self, service: &Arc<str>, tokens: f64, took: Duration) {
        self.reading.borrow_mut().entry(service.clone()).or_default().read(tokens, took);
    }
}

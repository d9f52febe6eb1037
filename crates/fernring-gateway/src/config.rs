//! The configuration in force. Its version only rises while the process runs, regardless of where
//! configurations come from.

use {
    crate::{
        model::{ColdStart, ServingConfig},
        position::Position,
    },
    bytes::Bytes,
    std::rc::Rc,
};

/// A configuration, with the record that it was decoded from; the record is sent to peers that
/// request it.
#[derive(Debug)]
pub struct ActiveConfig {
    /// The decoded configuration.
    pub config: ServingConfig,
    /// Its record from the store, compressed.
    pub compressed: Bytes,
    /// Position in the store after that record; the first position if unknown.
    pub end: Position,
}

/// The configuration in force on a node.
#[derive(Debug, Default)]
pub struct ConfigState {
    active: Option<Rc<ActiveConfig>>,
}

impl ConfigState {
    /// Returns the configuration in force; `None` if there is none yet.
    pub fn current(&self) -> Option<Rc<ActiveConfig>> {
        self.active.clone()
    }

    /// Returns the version in force; 0 if there is none yet.
    pub fn version(&self) -> u64 {
        self.active.as_ref().map_or(0, |active| active.config.version)
    }

    /// Returns the store's position after the record of the configuration in force; the first
    /// position if there is none yet.
    pub fn end(&self) -> Position {
        self.active.as_ref().map_or_else(Position::default, |active| active.end)
    }

    /// Returns the number of connections that an upstream of a service accepts from all nodes; 1 if
    /// the service is unknown.
    pub fn connections_max(&self, service: &str) -> u32 {
        let service = self.active.as_ref().and_then(|active| active.config.services.get(service));
        service.map_or(1, |service| service.connections_max)
    }

    /// Returns the limits of a service's cold upstreams, if it has any.
    pub fn cold_start(&self, service: &str) -> Option<ColdStart> {
        self.active.as_ref()?.config.services.get(service)?.cold
    }

    /// Puts a configuration in force if its version is higher than the current one; returns whether
    /// it did. `compressed` is its record, `end` the store's position after that.
    pub fn apply_if_newer(
        &mut self,
        config: ServingConfig,
        compressed: Bytes,
        end: Position,
    ) -> bool {
        if self.active.is_some() && config.version <= self.version() {
            return false;
        }
        self.active = Some(Rc::new(ActiveConfig { config, compressed, end }));
        true
    }
}

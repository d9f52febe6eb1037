//! The configuration in force. It only rises within a run of the process, whoever brings it.

use {
    crate::{
        model::{ColdStart, ServingConfig},
        position::Position,
    },
    bytes::Bytes,
    std::rc::Rc,
};

/// A configuration with the record that it was decoded from, for nodes that ask for it.
#[derive(Debug)]
pub struct ActiveConfig {
    /// The configuration.
    pub config: ServingConfig,
    /// The record it came in, packed.
    pub compressed: Bytes,
    /// The store's position after that record; the first if it isn't known.
    pub end: Position,
}

/// The configuration in force on a node.
#[derive(Debug, Default)]
pub struct ConfigState {
    active: Option<Rc<ActiveConfig>>,
}

impl ConfigState {
    /// Returns the configuration in force; `None` before the first.
    pub fn current(&self) -> Option<Rc<ActiveConfig>> {
        self.active.clone()
    }

    /// Returns its version; 0 before the first.
    pub fn version(&self) -> u64 {
        self.active.as_ref().map_or(0, |held| held.config.version)
    }

    /// Returns the store's position after its record; the first before there is one.
    pub fn end(&self) -> Position {
        self.active.as_ref().map_or_else(Position::default, |held| held.end)
    }

    /// Returns the connections that an upstream of a service takes from all nodes; one if the
    /// service is not known.
    pub fn connections_max(&self, service: &str) -> u32 {
        let service = self.active.as_ref().and_then(|held| held.config.services.get(service));
        service.map_or(1, |service| service.connections_max)
    }

    /// Returns what is said of cold upstreams of a service, if they bear little.
    pub fn cold_start(&self, service: &str) -> Option<ColdStart> {
        self.active.as_ref()?.config.services.get(service)?.cold
    }

    /// Puts a configuration in force unless it is no newer than the one that is; tells whether it
    /// did. `packed` is the record it came in, `end` the store's position after that.
    pub fn apply_if_newer(&mut self, config: ServingConfig, packed: Bytes, end: Position) -> bool {
        if self.active.is_some() && config.version <= self.version() {
            return false;
        }
        self.active = Some(Rc::new(ActiveConfig { config, compressed: packed, end }));
        true
    }
}

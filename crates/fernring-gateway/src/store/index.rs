//! Ways to find upstreams without looking through all of them. No I/O.

use {
    crate::model::{UpstreamKey, UpstreamRecord},
    std::{collections::HashMap, hash::Hash, net::SocketAddr, sync::Arc},
};

/// The upstreams by what their records say.
#[derive(Debug, Default)]
pub(super) struct Index {
    by_service: HashMap<Arc<str>, Vec<UpstreamKey>>,
    by_address: HashMap<SocketAddr, Vec<UpstreamKey>>,
    by_run: HashMap<u32, Vec<UpstreamKey>>,
}

impl Index {
    /// Adds an upstream with this record.
    pub(super) fn add(&mut self, key: UpstreamKey, record: &UpstreamRecord) {
        self.by_service.entry(record.service.clone()).or_default().push(key);
        self.by_address.entry(record.address).or_default().push(key);
        self.by_run.entry(record.incarnation_hash()).or_default().push(key);
    }

    /// Removes an upstream that was added with this record.
    pub(super) fn remove(&mut self, key: UpstreamKey, record: &UpstreamRecord) {
        remove(&mut self.by_service, &record.service, key);
        remove(&mut self.by_address, &record.address, key);
        remove(&mut self.by_run, &record.incarnation_hash(), key);
    }

    /// Lists the upstreams of a service.
    pub(super) fn of_service(&self, service: &str) -> &[UpstreamKey] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Lists the upstreams at an address.
    pub(super) fn at(&self, address: SocketAddr) -> &[UpstreamKey] {
        self.by_address.get(&address).map_or(&[], Vec::as_slice)
    }

    /// Lists the upstreams whose starts have a short hash.
    pub(super) fn of_run(&self, run_hash: u32) -> &[UpstreamKey] {
        self.by_run.get(&run_hash).map_or(&[], Vec::as_slice)
    }
}

fn remove<K: Hash + Eq>(map: &mut HashMap<K, Vec<UpstreamKey>>, place: &K, key: UpstreamKey) {
    if let Some(keys) = map.get_mut(place) {
        keys.retain(|other| *other != key);
        if keys.is_empty() {
            map.remove(place);
        }
    }
}

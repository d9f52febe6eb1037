//! Finds upstreams by a field of their records without a scan over all upstreams. No I/O.

use {
    crate::model::{UpstreamKey, UpstreamRecord},
    std::{collections::HashMap, hash::Hash, net::SocketAddr, sync::Arc},
};

/// The keys of the upstreams by service, address and incarnation.
#[derive(Debug, Default)]
pub(super) struct Index {
    by_service: HashMap<Arc<str>, Vec<UpstreamKey>>,
    by_address: HashMap<SocketAddr, Vec<UpstreamKey>>,
    by_incarnation: HashMap<u32, Vec<UpstreamKey>>,
    /// Number of upstreams of each version, by service.
    versions: HashMap<Arc<str>, HashMap<Arc<str>, usize>>,
}

impl Index {
    /// Adds an upstream under the fields of this record.
    pub(super) fn add(&mut self, key: UpstreamKey, record: &UpstreamRecord) {
        self.by_service.entry(record.service.clone()).or_default().push(key);
        self.by_address.entry(record.address).or_default().push(key);
        self.by_incarnation.entry(record.incarnation_hash()).or_default().push(key);
        let versions = self.versions.entry(record.service.clone()).or_default();
        *versions.entry(record.version.clone()).or_default() += 1;
    }

    /// Removes an upstream that was added with this record.
    pub(super) fn remove(&mut self, key: UpstreamKey, record: &UpstreamRecord) {
        remove(&mut self.by_service, &record.service, key);
        remove(&mut self.by_address, &record.address, key);
        remove(&mut self.by_incarnation, &record.incarnation_hash(), key);
        let Some(versions) = self.versions.get_mut(&record.service) else {
            return;
        };
        if let Some(count) = versions.get_mut(&record.version) {
            *count -= 1;
        }
        versions.retain(|_, count| *count > 0);
        if versions.is_empty() {
            self.versions.remove(&record.service);
        }
    }

    /// Lists the upstreams of a service.
    pub(super) fn of_service(&self, service: &str) -> &[UpstreamKey] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Lists the versions of the upstreams of each service.
    pub(super) fn versions(
        &self,
    ) -> impl Iterator<Item = (&Arc<str>, impl Iterator<Item = &Arc<str>>)> {
        self.versions.iter().map(|(service, versions)| (service, versions.keys()))
    }

    /// Returns the versions of the upstreams of a service, if it has any.
    pub(super) fn versions_of(
        &self,
        service: &str,
    ) -> Option<(&Arc<str>, impl Iterator<Item = &Arc<str>>)> {
        let (service, versions) = self.versions.get_key_value(service)?;
        Some((service, versions.keys()))
    }

    /// Lists the upstreams at an address.
    pub(super) fn with_address(&self, address: SocketAddr) -> &[UpstreamKey] {
        self.by_address.get(&address).map_or(&[], Vec::as_slice)
    }

    /// Lists the upstreams whose incarnations have this short hash.
    pub(super) fn with_incarnation(&self, incarnation_hash: u32) -> &[UpstreamKey] {
        self.by_incarnation.get(&incarnation_hash).map_or(&[], Vec::as_slice)
    }
}

fn remove<K: Hash + Eq>(map: &mut HashMap<K, Vec<UpstreamKey>>, value: &K, key: UpstreamKey) {
    if let Some(keys) = map.get_mut(value) {
        keys.retain(|other| *other != key);
        if keys.is_empty() {
            map.remove(value);
        }
    }
}

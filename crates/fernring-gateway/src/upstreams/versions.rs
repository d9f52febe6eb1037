//! Which versions of a service get requests, as roll-outs say.

use {
    super::Upstreams,
    crate::{
        model::UpstreamKey,
        rollout::orders::{Admits, Rule},
    },
    std::{collections::HashMap, sync::Arc},
};

/// The rules of the services that have orders.
#[derive(Debug, Default)]
pub(super) struct VersionRules {
    by_service: HashMap<Arc<str>, Held>,
}

#[derive(Debug)]
struct Held {
    rule: Rule,
    /// Whether upstreams of other versions than the ordered one are there.
    has_others: bool,
}

impl Upstreams {
    /// Sets which versions of the services that have orders get requests.
    pub fn set_version_rules(&self, rules: HashMap<Arc<str>, Rule>) {
        let directory = self.directory.borrow();
        let held = |(service, rule): (Arc<str>, Rule)| {
            let mut upstreams = directory.of_service(&service);
            let has_others = upstreams.any(|(_, u)| u.record.version != rule.destination);
            drop(upstreams);
            (service, Held { rule, has_others })
        };
        self.versions.borrow_mut().by_service = rules.into_iter().map(held).collect();
    }

    /// Returns which versions of a service get requests, if it has an order.
    pub fn admits(&self, service: &str) -> Option<Admits> {
        let rules = self.versions.borrow();
        rules.by_service.get(service).map(|held| held.rule.admits.clone())
    }

    /// Tells whether a version of a service gets requests.
    pub(super) fn admits_version(&self, service: &str, version: &str) -> bool {
        let rules = self.versions.borrow();
        let held = rules.by_service.get(service);
        held.is_none_or(|held| held.rule.admits(version, held.has_others))
    }

    /// Tells whether a version of a service is the one that is being rolled out.
    pub(super) fn is_ordered(&self, service: &str, version: &str) -> bool {
        let rules = self.versions.borrow();
        rules.by_service.get(service).is_some_and(|held| *held.rule.destination == *version)
    }

    /// Tells whether this node has a request in hand at an upstream of a service that runs another version.
    pub fn has_load_on_other_versions(&self, service: &str, version: &str) -> bool {
        let directory = self.directory.borrow();
        let loads = self.own_loads.borrow();
        let mut others =
            directory.of_service(service).filter(|(_, u)| *u.record.version != *version);
        others.any(|(key, _)| loads.get(key).is_some_and(|load| *load > 0.01))
    }

    /// Tells whether an upstream is cold, as its record says.
    pub fn is_cold(&self, key: UpstreamKey) -> bool {
        let now = self.clock.now().monotonic;
        self.directory.borrow().get(key).is_some_and(|upstream| upstream.is_cold(now))
    }
}

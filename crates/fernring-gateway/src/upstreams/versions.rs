//! Which versions of a service get requests during roll-outs.

use {
    super::{Target, Upstreams},
    crate::{
        eligibility::Ineligible,
        model::UpstreamKey,
        rollout::orders::{AdmittedVersions, VersionRule},
    },
    std::{collections::HashMap, sync::Arc},
};

/// The rules of the services that have roll-out orders.
#[derive(Debug, Default)]
pub(super) struct VersionRules {
    by_service: HashMap<Arc<str>, ServiceRule>,
}

#[derive(Debug)]
struct ServiceRule {
    rule: VersionRule,
    /// Whether there are upstreams of versions other than the destination.
    has_other_versions: bool,
}

impl Upstreams {
    /// Sets which versions of the services that have roll-out orders get requests.
    pub fn set_version_rules(&self, rules: HashMap<Arc<str>, VersionRule>) {
        let directory = self.directory.borrow();
        let service_rule = |(service, rule): (Arc<str>, VersionRule)| {
            let mut upstreams = directory.of_service(&service);
            let has_other_versions =
                upstreams.any(|(_, upstream)| upstream.record.version != rule.destination);
            drop(upstreams);
            (service, ServiceRule { rule, has_other_versions })
        };
        self.versions.borrow_mut().by_service = rules.into_iter().map(service_rule).collect();
    }

    /// Returns which versions of a service get requests, if it has a roll-out order.
    pub fn admits(&self, service: &str) -> Option<AdmittedVersions> {
        let rules = self.versions.borrow();
        rules.by_service.get(service).map(|service_rule| service_rule.rule.admitted.clone())
    }

    /// Returns whether a version of a service gets requests.
    pub(super) fn admits_version(&self, service: &str, version: &str) -> bool {
        let rules = self.versions.borrow();
        let service_rule = rules.by_service.get(service);
        service_rule.is_none_or(|service_rule| {
            service_rule.rule.admits(version, service_rule.has_other_versions)
        })
    }

    /// Returns whether a version of a service is the one that is being rolled out.
    pub(super) fn is_destination_version(&self, service: &str, version: &str) -> bool {
        let rules = self.versions.borrow();
        rules
            .by_service
            .get(service)
            .is_some_and(|service_rule| *service_rule.rule.destination == *version)
    }

    /// Returns whether an upstream of a service has a version and may get new work.
    pub fn has_version(&self, service: &str, version: &str) -> bool {
        let directory = self.directory.borrow();
        let mut of_version =
            directory.of_service(service).filter(|(_, u)| *u.record.version == *version);
        of_version.any(|(key, upstream)| self.check_upstream(key, upstream, None).is_ok())
    }

    /// Checks that an upstream has a version, if one is required.
    pub(super) fn check_version(
        &self,
        key: UpstreamKey,
        required: Option<&str>,
    ) -> Result<(), Ineligible> {
        let directory = self.directory.borrow();
        let upstream = directory.get(key).ok_or(Ineligible::Gone)?;
        match required.is_none_or(|required| required == &*upstream.record.version) {
            true => Ok(()),
            false => Err(Ineligible::Version),
        }
    }

    /// Returns whether the instance that was chosen for a send has another version by now, so that
    /// it may have had it at the send.
    pub fn has_other_version_since(&self, target: &Target) -> bool {
        let directory = self.directory.borrow();
        let upstream = directory.of_instance(&target.instance);
        upstream.is_some_and(|upstream| upstream.record.version != target.version)
    }

    /// Returns whether this node has a request in flight at an upstream of a service that runs
    /// another version.
    pub fn has_load_on_other_versions(&self, service: &str, version: &str) -> bool {
        let directory = self.directory.borrow();
        let loads = self.own_loads.borrow();
        let mut other_versions = directory
            .of_service(service)
            .filter(|(_, upstream)| *upstream.record.version != *version);
        other_versions.any(|(key, _)| loads.get(key).is_some_and(|load| *load > 0.01))
    }

    /// Returns whether an upstream is cold, as its record says.
    pub fn is_cold(&self, key: UpstreamKey) -> bool {
        let now = self.clock.now().monotonic;
        self.directory.borrow().get(key).is_some_and(|upstream| upstream.is_cold(now))
    }
}

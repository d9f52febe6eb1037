//! Which sends to an upstream are allowed now: evacuations, regions, versions, and this node's
//! permits for cold upstreams.

use {
    super::Upstreams,
    crate::{
        cold::{ColdPermits, PeakNodeCount, PermitScope, RefusedConnection, STARTUP_TIME},
        connections::SendFailure,
        directory::Upstream,
        eligibility::Ineligible,
        evacuations::Evacuations,
        model::{ColdRateLimit, ColdStart, UpstreamKey, UpstreamRecord},
        residency::{Regions, Residency},
        settings::ColdSettings,
    },
    slotmap::SecondaryMap,
    std::{
        cell::{Ref, RefCell},
        time::Duration,
    },
};

/// The rank that goes before all others.
const MOST_URGENT_RANK: usize = 0;

/// Cold upstreams, and this node's permits for them.
#[derive(Debug)]
pub(super) struct ColdState {
    pub(super) settings: ColdSettings,
    /// Identity of this node.
    pub(super) node: u64,
    pub(super) started_at: Duration,
    pub(super) peak_nodes: PeakNodeCount,
    pub(super) has_read_nodes: bool,
    pub(super) permits: SecondaryMap<UpstreamKey, ColdPermits>,
    pub(super) no_listener: SecondaryMap<UpstreamKey, RefusedConnection>,
}

impl ColdState {
    fn permit_scope(&self, upstream: &Upstream) -> PermitScope {
        let upstream = u64::from(upstream.record.incarnation_hash());
        PermitScope { node: self.node, upstream, nodes: self.peak_nodes.peak() }
    }
}

impl Upstreams {
    /// Sets how many nodes have a record in the store. That many nodes may exist, even if some of
    /// them are unreachable.
    pub fn set_recorded_nodes(&self, nodes: usize) {
        let mut cold = self.cold.borrow_mut();
        cold.peak_nodes.record(self.clock.now().monotonic, nodes);
        cold.has_read_nodes = true;
    }

    /// Returns the largest recent number of nodes; `None` if neither the store nor enough time has
    /// told yet.
    pub fn peak_nodes(&self) -> Option<usize> {
        let cold = self.cold.borrow();
        let is_known =
            cold.has_read_nodes || self.clock.now().monotonic >= cold.started_at + STARTUP_TIME;
        is_known.then(|| cold.peak_nodes.peak())
    }

    /// Sets the limits on sends to cold upstreams that apply in addition to the configuration.
    pub fn set_cold_settings(&self, settings: ColdSettings) {
        self.cold.borrow_mut().settings = settings;
    }

    /// Sets the region of each failure domain.
    pub fn set_regions(&self, regions: Regions) {
        *self.regions.borrow_mut() = regions;
    }

    /// Gives access to the region of each failure domain.
    pub fn regions(&self) -> Ref<'_, Regions> {
        self.regions.borrow()
    }

    /// Returns whether a request with this residency may be served in a failure domain.
    pub fn allows_domain(&self, residency: &Residency, failure_domain: &str) -> bool {
        !residency.is_restricted() || residency.allows(self.regions().region_of(failure_domain))
    }

    /// Returns whether a service has upstreams that accept work, but none of them lies in an
    /// allowed region.
    pub fn is_outside_regions(&self, service: &str, residency: &Residency) -> bool {
        if !residency.is_restricted() {
            return false;
        }
        let directory = self.directory.borrow();
        let accepts_work = |(key, upstream): &(UpstreamKey, &Upstream)| {
            self.check_upstream(*key, upstream, None).is_ok()
        };
        let mut domains = directory
            .of_service(service)
            .filter(accepts_work)
            .map(|(_, upstream)| &upstream.record.failure_domain)
            .peekable();
        domains.peek().is_some() && !domains.any(|domain| self.allows_domain(residency, domain))
    }

    /// Checks that an upstream lies in a region that is allowed for a request.
    pub(super) fn check_region(
        &self,
        key: UpstreamKey,
        residency: &Residency,
    ) -> Result<(), Ineligible> {
        let directory = self.directory.borrow();
        let upstream = directory.get(key).ok_or(Ineligible::Gone)?;
        match self.allows_domain(residency, &upstream.record.failure_domain) {
            true => Ok(()),
            false => Err(Ineligible::OutsideRegions),
        }
    }

    /// Returns the operators' evacuation orders for failure domains.
    pub fn evacuations(&self) -> &RefCell<Evacuations> {
        &self.evacuations
    }

    /// Returns whether new work may be sent to an upstream now. The reasons against it are listed
    /// in [`crate::eligibility`].
    ///
    /// # Errors
    /// Returns the reason if nothing may be sent.
    pub fn may_send(&self, key: UpstreamKey) -> Result<(), Ineligible> {
        self.check_eligibility(key)?;
        let directory = self.directory.borrow();
        let upstream = directory.get(key).ok_or(Ineligible::Gone)?;
        let now = self.clock.now().monotonic;
        self.check_throttling(now, &upstream.record, MOST_URGENT_RANK)
    }

    /// Checks that an upstream takes requests of a rank from this node now: it hasn't requested a
    /// pause, and the permits for its announced limit aren't known to be used up.
    pub(super) fn check_throttling(
        &self,
        now: Duration,
        record: &UpstreamRecord,
        rank: usize,
    ) -> Result<(), Ineligible> {
        if self.backoff_remaining(now, || record.incarnation_id()).is_some() {
            return Err(Ineligible::BackingOff);
        }
        if self.brittle_closed_for(now, record).is_some() {
            return Err(Ineligible::Limited);
        }
        match self.is_limit_exhausted(now, record, rank) {
            true => Err(Ineligible::Limited),
            false => Ok(()),
        }
    }

    pub(super) fn check_eligibility(
        &self,
        key: UpstreamKey,
    ) -> Result<Option<ColdRateLimit>, Ineligible> {
        let directory = self.directory.borrow();
        let upstream = directory.get(key).ok_or(Ineligible::Gone)?;
        self.check_upstream(key, upstream, self.cold_start(&upstream.record.service))
    }

    pub(super) fn cold_start(&self, service: &str) -> Option<ColdStart> {
        self.config.borrow().cold_start(service)
    }

    /// Checks whether an upstream may be sent new work, its announced limit and the pauses that it
    /// requests aside. Returns the rate limit that applies if it is cold.
    pub(super) fn check_upstream(
        &self,
        key: UpstreamKey,
        upstream: &Upstream,
        cold_start: Option<ColdStart>,
    ) -> Result<Option<ColdRateLimit>, Ineligible> {
        if !self.accepts_work(upstream) {
            return Err(Ineligible::Leaving);
        }
        if self.evacuations.borrow().is_evacuated(&upstream.record.failure_domain) {
            return Err(Ineligible::Evacuated);
        }
        if !self.admits_version(&upstream.record.service, &upstream.record.version) {
            return Err(Ineligible::Version);
        }
        let limit = cold_start.and_then(|start| self.cold_rate_limit(key, upstream, start));
        let Some(limit) = limit else {
            return Ok(None);
        };
        let cold = self.cold.borrow();
        let permits = cold.permits.get(key).copied().unwrap_or_default();
        let now = self.clock.now().monotonic;
        let has_permit = now >= cold.started_at + STARTUP_TIME
            && permits.has_permit(now, &limit, cold.permit_scope(upstream));
        if has_permit { Ok(Some(limit)) } else { Err(Ineligible::Cold) }
    }

    /// Returns the rate limit on sends to an upstream if it is cold.
    pub(super) fn cold_rate_limit(
        &self,
        key: UpstreamKey,
        upstream: &Upstream,
        start: ColdStart,
    ) -> Option<ColdRateLimit> {
        let cold = self.cold.borrow();
        let now = self.clock.now().monotonic;
        let no_listener = cold.no_listener.get(key);
        let record_position = upstream.at;
        let is_suspected = no_listener
            .is_some_and(|refused| refused.is_cold(now, record_position, start.duration));
        let ColdSettings { overage, slack } = cold.settings;
        let limit = ColdRateLimit { per_s: start.per_s, overage, slack };
        (is_suspected || upstream.is_cold(now)).then_some(limit)
    }

    /// Acquires one of this node's permits for an upstream if it is cold.
    pub(super) fn acquire_permit(&self, key: UpstreamKey) -> Result<(), Ineligible> {
        let Some(limit) = self.check_eligibility(key)? else {
            return Ok(());
        };
        let directory = self.directory.borrow();
        let upstream = directory.get(key).ok_or(Ineligible::Gone)?;
        let mut cold = self.cold.borrow_mut();
        let permit_scope = cold.permit_scope(upstream);
        let entry = cold.permits.entry(key).ok_or(Ineligible::Gone)?;
        let now = self.clock.now().monotonic;
        if entry.or_default().try_acquire(now, &limit, permit_scope) {
            Ok(())
        } else {
            Err(Ineligible::Cold)
        }
    }

    /// Returns whether a service has upstreams that could accept work, and all of them lie in
    /// evacuated failure domains.
    pub fn is_evacuated(&self, service: &str) -> bool {
        let directory = self.directory.borrow();
        let results = directory
            .of_service(service)
            .map(|(key, upstream)| self.check_upstream(key, upstream, None));
        let mut any_evacuated = false;
        for result in results {
            match result {
                Err(Ineligible::Evacuated) => any_evacuated = true,
                Err(_) => {}
                Ok(_) => return false,
            }
        }
        any_evacuated
    }

    /// Returns an error if an upstream for which this node holds a permit became ineligible since
    /// the permit was acquired.
    pub(super) fn ineligible_since(&self, key: UpstreamKey) -> Result<(), Ineligible> {
        match self.may_send(key) {
            Err(Ineligible::Cold | Ineligible::Limited) => Ok(()),
            other => other,
        }
    }

    /// Records whether a connection to an upstream's address was accepted, or refused because
    /// nothing listens there.
    pub(super) fn record_connect_result(&self, key: UpstreamKey, failure: Option<&SendFailure>) {
        let directory = self.directory.borrow();
        let Some(upstream) = directory.get(key) else {
            return;
        };
        let now = self.clock.now().monotonic;
        let mut cold = self.cold.borrow_mut();
        match failure {
            Some(SendFailure::ConnectionRefused(_)) => {
                let record_position = upstream.at;
                cold.no_listener.insert(key, RefusedConnection::new(now, record_position));
            }
            None => {
                if let Some(no_listener) = cold.no_listener.get_mut(key) {
                    no_listener.record_response(now);
                }
            }
            Some(_) => {}
        }
    }
}

//! What may be sent to an upstream now: evacuations, and this node's turns at cold ones.

use {
    super::Upstreams,
    crate::{
        barred::Barred,
        cold::{Asker, MostNodes, NoListener, START_TIME, Turns},
        connections::SendFailure,
        directory::Upstream,
        evacuations::Evacuations,
        model::{ColdRateLimit, ColdStart, UpstreamKey},
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
const MOST_URGENT: usize = 0;

/// What is known of cold upstreams, and of this node's turns at them.
#[derive(Debug)]
pub(super) struct Cold {
    pub(super) settings: ColdSettings,
    /// Identity of this node.
    pub(super) node: u64,
    pub(super) started_at: Duration,
    pub(super) nodes: MostNodes,
    pub(super) turns: SecondaryMap<UpstreamKey, Turns>,
    pub(super) no_listener: SecondaryMap<UpstreamKey, NoListener>,
}

impl Cold {
    fn asker(&self, upstream: &Upstream) -> Asker {
        let upstream = u64::from(upstream.record.incarnation_hash());
        Asker { node: self.node, upstream, nodes: self.nodes.most() }
    }
}

impl Upstreams {
    /// Says how many nodes have a record in the store: there may be so many, whether they are heard or not.
    pub fn nodes_recorded(&self, nodes: usize) {
        self.cold.borrow_mut().nodes.saw(self.clock.now().monotonic, nodes);
    }

    /// Sets what cold upstreams may be sent beside what the configuration says.
    pub fn set_cold_bounds(&self, settings: ColdSettings) {
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

    /// Tells whether what may be served in some regions only may be served in a failure domain.
    pub fn allows(&self, residency: &Residency, failure_domain: &str) -> bool {
        !residency.is_restricted() || residency.allows(self.regions().of(failure_domain))
    }

    /// Tells whether a service has upstreams that take work, and none of them in regions that are allowed.
    pub fn is_outside(&self, service: &str, residency: &Residency) -> bool {
        if !residency.is_restricted() {
            return false;
        }
        let directory = self.directory.borrow();
        let takes_work = |(key, upstream): &(UpstreamKey, &Upstream)| {
            self.may_send_to(*key, upstream, None).is_ok()
        };
        let mut domains = directory
            .of_service(service)
            .filter(takes_work)
            .map(|(_, upstream)| &upstream.record.failure_domain)
            .peekable();
        domains.peek().is_some() && !domains.any(|domain| self.allows(residency, domain))
    }

    /// Tells whether an upstream may be sent something of a request that is restricted to regions.
    pub(super) fn check_region(
        &self,
        key: UpstreamKey,
        residency: &Residency,
    ) -> Result<(), Barred> {
        let directory = self.directory.borrow();
        let upstream = directory.get(key).ok_or(Barred::Gone)?;
        match self.allows(residency, &upstream.record.failure_domain) {
            true => Ok(()),
            false => Err(Barred::OutsideRegions),
        }
    }

    /// Returns the operators' words on failure domains.
    pub fn evacuations(&self) -> &RefCell<Evacuations> {
        &self.evacuations
    }

    /// Tells whether an upstream may be sent something new now: see [`crate::barred`].
    ///
    /// # Errors
    /// With the reason if it may not.
    pub fn may_send(&self, key: UpstreamKey) -> Result<(), Barred> {
        self.asked(key)?;
        let directory = self.directory.borrow();
        let upstream = directory.get(key).ok_or(Barred::Gone)?;
        let now = self.clock.now().monotonic;
        match self.takes_no_more(now, &upstream.record, MOST_URGENT) {
            true => Err(Barred::Limited),
            false => Ok(()),
        }
    }

    pub(super) fn asked(&self, key: UpstreamKey) -> Result<Option<ColdRateLimit>, Barred> {
        let directory = self.directory.borrow();
        let upstream = directory.get(key).ok_or(Barred::Gone)?;
        self.may_send_to(key, upstream, self.cold_start(&upstream.record.service))
    }

    pub(super) fn cold_start(&self, service: &str) -> Option<ColdStart> {
        self.config.borrow().cold_start(service)
    }

    /// Tells whether an upstream may be sent to; with what it bears if it is cold.
    pub(super) fn may_send_to(
        &self,
        key: UpstreamKey,
        upstream: &Upstream,
        cold_start: Option<ColdStart>,
    ) -> Result<Option<ColdRateLimit>, Barred> {
        if !upstream.takes_work() {
            return Err(Barred::Leaving);
        }
        if self.evacuations.borrow().covers(&upstream.record.failure_domain) {
            return Err(Barred::Evacuated);
        }
        if !self.admits_version(&upstream.record.service, &upstream.record.version) {
            return Err(Barred::Version);
        }
        let bounds = cold_start.and_then(|start| self.cold_bounds(key, upstream, start));
        let Some(bounds) = bounds else {
            return Ok(None);
        };
        let cold = self.cold.borrow();
        let turns = cold.turns.get(key).copied().unwrap_or_default();
        let now = self.clock.now().monotonic;
        let has_turn = now >= cold.started_at + START_TIME
            && turns.has_turn(now, &bounds, cold.asker(upstream));
        if has_turn { Ok(Some(bounds)) } else { Err(Barred::Cold) }
    }

    /// Returns what an upstream bears, if it is cold.
    pub(super) fn cold_bounds(
        &self,
        key: UpstreamKey,
        upstream: &Upstream,
        start: ColdStart,
    ) -> Option<ColdRateLimit> {
        let cold = self.cold.borrow();
        let now = self.clock.now().monotonic;
        let no_listener = cold.no_listener.get(key);
        let record_at = upstream.at;
        let is_suspected = no_listener.is_some_and(|no| no.is_cold(now, record_at, start.duration));
        let ColdSettings { overage, slack } = cold.settings;
        let bounds = ColdRateLimit { per_s: start.per_s, overage, slack };
        (is_suspected || upstream.is_cold(now)).then_some(bounds)
    }

    /// Takes this node's turn at an upstream if it is cold.
    pub(super) fn take_turn(&self, key: UpstreamKey) -> Result<(), Barred> {
        let Some(bounds) = self.asked(key)? else {
            return Ok(());
        };
        let directory = self.directory.borrow();
        let upstream = directory.get(key).ok_or(Barred::Gone)?;
        let mut cold = self.cold.borrow_mut();
        let asker = cold.asker(upstream);
        let entry = cold.turns.entry(key).ok_or(Barred::Gone)?;
        let now = self.clock.now().monotonic;
        if entry.or_default().take(now, &bounds, asker) { Ok(()) } else { Err(Barred::Cold) }
    }

    /// Tells whether a service has upstreams that could take work, and all of them lie in evacuated failure domains.
    pub fn is_evacuated(&self, service: &str) -> bool {
        let directory = self.directory.borrow();
        let asked = directory
            .of_service(service)
            .map(|(key, upstream)| self.may_send_to(key, upstream, None));
        let mut any_evacuated = false;
        for asked in asked {
            match asked {
                Err(Barred::Evacuated) => any_evacuated = true,
                Err(_) => {}
                Ok(_) => return false,
            }
        }
        any_evacuated
    }

    /// Tells whether an upstream at which this node has taken a turn may get nothing new any more.
    pub(super) fn barred_since(&self, key: UpstreamKey) -> Result<(), Barred> {
        match self.may_send(key) {
            Err(Barred::Cold | Barred::Limited) => Ok(()),
            other => other,
        }
    }

    /// Takes in whether somebody listened at an upstream's address.
    pub(super) fn note_listener(&self, key: UpstreamKey, failure: Option<&SendFailure>) {
        let directory = self.directory.borrow();
        let Some(upstream) = directory.get(key) else {
            return;
        };
        let now = self.clock.now().monotonic;
        let mut cold = self.cold.borrow_mut();
        match failure {
            Some(SendFailure::ConnectionRefused(_)) => {
                let record_at = upstream.at;
                cold.no_listener.insert(key, NoListener::new(now, record_at));
            }
            None => {
                if let Some(no_listener) = cold.no_listener.get_mut(key) {
                    no_listener.answered(now);
                }
            }
            Some(_) => {}
        }
    }
}

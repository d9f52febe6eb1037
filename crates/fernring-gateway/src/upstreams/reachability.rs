//! Reports which services this node reaches.

use {
    super::Upstreams,
    crate::{connector::Connector, log, telemetry},
    fernring_core::text::LogLine,
    std::{collections::BTreeMap, rc::Rc, sync::Arc},
};

/// Whether this node reaches the upstreams of a service that it connected to recently.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ServiceReachability {
    All,
    Some,
    None,
}

impl ServiceReachability {
    fn new(counts: ServiceCounts) -> Self {
        match counts {
            ServiceCounts { unreached: 0, .. } => Self::All,
            ServiceCounts { reached: 0, .. } => Self::None,
            _ => Self::Some,
        }
    }

    fn name(self) -> &'static str {
        match self {
            Self::All => "all",
            Self::Some => "some",
            Self::None => "none",
        }
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct ServiceCounts {
    reached: usize,
    unreached: usize,
}

impl Upstreams {
    /// Returns the connector of this node.
    pub fn connector(&self) -> &Rc<Connector> {
        &self.connector
    }

    /// Counts the upstreams that were and weren't reached recently, by service.
    fn reachability_by_service(&self) -> BTreeMap<Arc<str>, ServiceCounts> {
        let directory = self.directory.borrow();
        let reachability = self.connector.reachability();
        let mut services: BTreeMap<Arc<str>, ServiceCounts> = BTreeMap::new();
        for (address, is_reached) in reachability.results() {
            for (_, upstream) in directory.at_address(address) {
                let counts = services.entry(upstream.record.service.clone()).or_default();
                match is_reached {
                    true => counts.reached += 1,
                    false => counts.unreached += 1,
                }
            }
        }
        services
    }

    /// Logs changes of the services that this node reaches.
    pub(super) fn log_reachability(&self) {
        let mut logged = self.logged_reachability.borrow_mut();
        for (service, counts) in self.reachability_by_service() {
            let reachability = ServiceReachability::new(counts);
            let before = logged.insert(service.clone(), reachability);
            if before.unwrap_or(ServiceReachability::All) != reachability {
                let line = LogLine::event("service_reachability").with("service", service);
                let line = line.with("reached", reachability.name());
                let line = line.with("upstreams", counts.reached);
                log::warn(line.with("unreached", counts.unreached));
            }
        }
    }

    /// Sets the gauges of the services that this node reaches.
    pub(crate) fn set_reachability_gauges(&self) {
        for (service, counts) in self.reachability_by_service() {
            telemetry::set_service_reachability(&service, counts.reached, counts.unreached);
        }
    }
}

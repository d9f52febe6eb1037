//! What upstreams announce in their responses: that they are leaving, that they want a pause, how
//! loaded they are, and which requests a second they take ([`super::announced_limits`]).
//!
//! All responses of upstreams pass through [`Upstreams::record_response`].

use {
    super::{Target, Upstreams, rotate},
    crate::{
        backoff::Backoffs,
        directory::Upstream,
        eligibility::Ineligible,
        leaving::LeavingUpstreams,
        log,
        model::{
            BackoffHeader, LeavingHeader, LoadHeader, ReportedLoad, ResponseFields, UpstreamKey,
        },
        telemetry,
        wire::Wire,
    },
    fernring_core::text::LogLine,
    http::{HeaderMap, HeaderName},
    slotmap::SecondaryMap,
    std::{
        collections::{HashMap, HashSet, hash_map::Entry},
        time::Duration,
    },
};

/// Most names of unknown headers that are logged and counted.
const UNKNOWN_HEADERS_MAX: usize = 64;
/// Most incarnations in a heartbeat: 400 bytes. Further ones follow in the next heartbeats.
const PUBLISHED_MAX: usize = 50;
/// How long an unreadable header of an incarnation isn't logged again.
const UNREADABLE_LOG_INTERVAL: Duration = Duration::from_secs(60);

/// The load that an upstream reported last.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadReport {
    /// The load.
    pub load: ReportedLoad,
    /// When it was received.
    pub received_at: Duration,
}

/// What upstreams announced in their responses, except limits.
#[derive(Debug, Default)]
pub(super) struct Announcements {
    leaving: LeavingUpstreams,
    backoffs: Backoffs,
    /// When each incarnation last sent a header that can't be decoded. Logged once, not for each
    /// response.
    unreadable: HashMap<(u64, &'static str), Duration>,
    unknown_headers: HashSet<HeaderName>,
    /// Invariant: only of upstreams in the directory.
    loads: SecondaryMap<UpstreamKey, LoadReport>,
    /// Announcements published so far; selects the ones for the next heartbeat.
    published_count: usize,
}

impl Announcements {
    fn log_unreadable(&mut self, now: Duration, target: &Target, what: &'static str) {
        if let Entry::Vacant(entry) = self.unreadable.entry((target.incarnation_id(), what)) {
            entry.insert(now);
            let line = LogLine::event("upstream_header_refused").with("upstream", &target.instance);
            log::warn(line.with("header", what));
        }
    }
}

impl Upstreams {
    /// Records what a response of an upstream announces. `sent_at` is when its request was sent;
    /// `is_for_request` says whether it is the response to that request. A connection may still
    /// deliver the response to an earlier one, whose limit may be outdated.
    pub(super) fn record_response(
        &self,
        target: &Target,
        sent_at: Duration,
        fields: &ResponseFields,
        is_for_request: bool,
    ) {
        if fields.wrong_instance {
            return;
        }
        self.record_leaving(target, fields.leaving);
        self.record_backoff(target, fields.backoff);
        if is_for_request {
            self.record_announced_limit(target, sent_at, fields.limit);
            self.record_brittle(target, sent_at, fields.brittle);
            self.record_load(target, fields.load);
        }
    }

    fn record_load(&self, target: &Target, reported: LoadHeader) {
        let received_at = self.clock.now().monotonic;
        let mut announcements = self.announcements.borrow_mut();
        match reported {
            LoadHeader::None => {}
            LoadHeader::Unreadable => announcements.log_unreadable(received_at, target, "load"),
            LoadHeader::Reported(load) => {
                if self.directory.borrow().get(target.key).is_some() {
                    announcements.loads.insert(target.key, LoadReport { load, received_at });
                }
            }
        }
    }

    /// Returns the load that an upstream reported last; `None` if it reported none.
    pub fn reported_load(&self, key: UpstreamKey) -> Option<LoadReport> {
        self.announcements.borrow().loads.get(key).copied()
    }

    pub(super) fn forget_load(&self, key: UpstreamKey) {
        self.announcements.borrow_mut().loads.remove(key);
    }

    fn record_leaving(&self, target: &Target, announced: LeavingHeader) {
        let now = self.clock.now().monotonic;
        let mut announcements = self.announcements.borrow_mut();
        match announced {
            LeavingHeader::None => {}
            LeavingHeader::Unreadable => announcements.log_unreadable(now, target, "leaving"),
            LeavingHeader::Leaving => {
                if announcements.leaving.record(now, target.incarnation_id()) {
                    let line =
                        LogLine::event("upstream_leaving").with("upstream", &target.instance);
                    log::warn(line.with("from", "response"));
                }
            }
        }
    }

    fn record_backoff(&self, target: &Target, requested: BackoffHeader) {
        let now = self.clock.now().monotonic;
        let mut announcements = self.announcements.borrow_mut();
        match requested {
            BackoffHeader::None => {}
            BackoffHeader::Unreadable => announcements.log_unreadable(now, target, "backoff"),
            BackoffHeader::For(pause) => {
                telemetry::record_backoff();
                let (incarnation_id, draw) = (target.incarnation_id(), rand::random());
                if announcements.backoffs.record(now, incarnation_id, pause, draw) {
                    let line =
                        LogLine::event("upstream_backoff").with("upstream", &target.instance);
                    log::info(line.with("pause_ms", pause.as_millis()));
                }
            }
        }
    }

    /// Counts the headers of a response that neither the platform's formats nor HTTP define, and
    /// logs each name once.
    pub(super) fn record_unknown_headers(
        &self,
        wire: &dyn Wire,
        target: &Target,
        headers: &HeaderMap,
    ) {
        for name in headers.keys().filter(|name| !wire.is_known_response_header(name)) {
            let mut announcements = self.announcements.borrow_mut();
            let unknown_headers = &mut announcements.unknown_headers;
            if !unknown_headers.contains(name) {
                if unknown_headers.len() >= UNKNOWN_HEADERS_MAX {
                    continue;
                }
                unknown_headers.insert(name.clone());
                let line = LogLine::event("unknown_response_header").with("name", name);
                log::info(line.with("upstream", &target.instance));
            }
            telemetry::record_unknown_header(name.as_str());
        }
    }

    /// Returns whether an upstream accepts new work: neither its record nor a response has said that
    /// it is leaving.
    pub fn accepts_work(&self, upstream: &Upstream) -> bool {
        let leaving = &self.announcements.borrow().leaving;
        upstream.accepts_work()
            && (leaving.is_empty() || !leaving.contains(upstream.record.incarnation_id()))
    }

    /// Returns whether the targeted incarnation has announced that it is leaving, even if its record
    /// is gone by now.
    pub fn is_leaving(&self, target: &Target) -> bool {
        let directory = self.directory.borrow();
        let is_draining =
            directory.get(target.key).is_some_and(|upstream| !upstream.accepts_work());
        is_draining || self.announcements.borrow().leaving.contains(target.incarnation_id())
    }

    /// Lists incarnations that announced that they are leaving for the next heartbeat. Those whose
    /// records are gone, or say so themselves, are left out: peers know of them from the store, and
    /// nodes that published them would remind each other forever.
    pub fn leaving_to_publish(&self) -> Vec<u64> {
        let mut announcements = self.announcements.borrow_mut();
        let Announcements { leaving, published_count, .. } = &mut *announcements;
        let directory = self.directory.borrow();
        let is_ready = |incarnation_id: &u64| {
            directory.find_incarnation(*incarnation_id).is_some_and(Upstream::accepts_work)
        };
        let mut unknown: Vec<_> = leaving.iter().filter(is_ready).collect();
        unknown.sort_unstable();
        rotate(&unknown, PUBLISHED_MAX, published_count)
    }

    /// Records incarnations that announced to peers that they are leaving.
    pub fn apply_peer_leaving(&self, incarnation_ids: &[u64]) {
        let now = self.clock.now().monotonic;
        let mut announcements = self.announcements.borrow_mut();
        for incarnation_id in incarnation_ids {
            if announcements.leaving.record(now, *incarnation_id) {
                let line = LogLine::event("upstream_leaving").with("from", "peer");
                log::info(line.with("run", format_args!("{incarnation_id:016x}")));
            }
        }
    }

    /// Returns the number of recorded upstreams that announced in a response that they are leaving.
    pub fn announced_leaving_count(&self) -> usize {
        let directory = self.directory.borrow();
        let is_recorded =
            |incarnation_id: &u64| directory.find_incarnation(*incarnation_id).is_some();
        self.announcements.borrow().leaving.iter().filter(is_recorded).count()
    }

    /// Returns how long an incarnation still wants no requests from this node; `None` if it takes
    /// some.
    pub(super) fn backoff_remaining(
        &self,
        now: Duration,
        incarnation_id: impl FnOnce() -> u64,
    ) -> Option<Duration> {
        let backoffs = &self.announcements.borrow().backoffs;
        if backoffs.is_empty() {
            return None;
        }
        backoffs.remaining(now, incarnation_id())
    }

    /// Returns an error if a targeted incarnation wants no requests from this node now.
    pub(super) fn check_backoff(&self, target: &Target) -> Result<(), Ineligible> {
        let now = self.clock.now().monotonic;
        match self.backoff_remaining(now, || target.incarnation_id()) {
            Some(_) => Err(Ineligible::BackingOff),
            None => Ok(()),
        }
    }

    /// Returns the number of upstreams that want no requests from this node at present.
    pub fn backoff_count(&self) -> usize {
        self.announcements.borrow().backoffs.active_count(self.clock.now().monotonic)
    }

    pub(super) fn expire_announcements(&self, now: Duration) {
        let mut announcements = self.announcements.borrow_mut();
        let Announcements { leaving, backoffs, unreadable, .. } = &mut *announcements;
        backoffs.expire(now);
        unreadable.retain(|_, logged_at| now < *logged_at + UNREADABLE_LOG_INTERVAL);
        let directory = self.directory.borrow();
        leaving.expire(now, |incarnation_id| directory.find_incarnation(incarnation_id).is_some());
    }
}

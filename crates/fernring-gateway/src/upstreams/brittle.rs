//! Brittle upstreams, which announce how many requests they may reject within a second before they
//! crash, and the permit for each send to them.
//!
//! [`crate::rejection_guard`] decides on permits. All nodes request the permits of an upstream from
//! the same node, which is told when a send has ended and whether it was rejected.

use {
    super::{
        PermitTransport, Target, Upstreams,
        announced_limits::{RESPONSE_TIMEOUT, age_ms},
        rotate,
    },
    crate::{
        eligibility::Ineligible,
        limits::{AnnouncedLimit, AnnouncedLimits},
        log,
        model::{LimitHeader, UpstreamRecord, short_hash},
        permit_issuer::{PermitDenied, limit_share},
        rejection_guard::RejectionGuard,
        telemetry,
        tickets::Tickets,
    },
    fernring_core::{clock::Clock, text::LogLine},
    fernring_protocol::gateway::{LimitReport, PermitRequest, PermitResponse, PermitReturn},
    std::{
        cell::{Cell, RefCell},
        collections::{HashMap, HashSet},
        net::SocketAddr,
        rc::Rc,
        sync::Arc,
        time::Duration,
    },
    tokio::{sync::oneshot, time::timeout},
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// How long a service counts as brittle after one of its upstreams announced it: an upstream that
/// has started just now hasn't responded yet.
const SERVICE_LIFETIME: Duration = Duration::from_secs(10);
/// How long a node requests no permits after one request got no response.
const UNANSWERED_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Most announcements in a heartbeat: 400 bytes. Further ones follow in the next heartbeats.
const PUBLISHED_MAX: usize = 24;

#[derive(Default)]
struct State {
    /// Rejections within a second that upstreams announce, by incarnation.
    announced: AnnouncedLimits,
    /// The smallest recent announcement of each service, by its short hash, and when it was made.
    services: HashMap<u32, (f64, Duration)>,
    /// Incarnations that get nothing now, and until when.
    closed_until: HashMap<u64, Duration>,
    /// The guards of the upstreams for which this node issues permits.
    guards: HashMap<u64, RejectionGuard>,
    pending: HashMap<u64, oneshot::Sender<PermitResponse>>,
    unreadable: HashSet<u64>,
    tickets: Tickets,
    published_count: usize,
    transport: Option<Rc<dyn PermitTransport>>,
}

/// State of the brittle upstreams.
pub(super) struct BrittleUpstreams {
    clock: Rc<dyn Clock>,
    state: RefCell<State>,
}

impl std::fmt::Debug for BrittleUpstreams {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("BrittleUpstreams").finish_non_exhaustive()
    }
}

/// A permit for a send to a brittle upstream, which is returned when it is dropped.
#[derive(Debug)]
pub(super) struct BrittlePermit {
    upstreams: Rc<BrittleUpstreams>,
    incarnation_id: u64,
    ticket: u64,
    /// The node that issued it; `None` for this one.
    issuer: Option<SocketAddr>,
    was_rejected: Cell<bool>,
}

impl BrittlePermit {
    /// Records that the upstream rejected the request.
    pub(super) fn record_rejection(&self) {
        self.was_rejected.set(true);
    }
}

impl Drop for BrittlePermit {
    fn drop(&mut self) {
        let returned = PermitReturn {
            ticket: self.ticket,
            incarnation_id: self.incarnation_id,
            was_rejected: self.was_rejected.get(),
        };
        if returned.was_rejected {
            telemetry::record_brittle_rejection();
        }
        match self.issuer {
            None => self.upstreams.finish(None, &returned),
            Some(issuer) => {
                let transport = self.upstreams.state.borrow().transport.clone();
                if let Some(transport) = transport {
                    transport.send_return(issuer, returned);
                }
            }
        }
    }
}

/// Returns the number of a send at the node that issues its permit.
fn send_id(requester: Option<SocketAddr>, ticket: u64) -> u64 {
    let requester = requester.map_or_else(String::new, |requester| requester.to_string());
    xxh3_64_with_seed(requester.as_bytes(), ticket)
}

impl BrittleUpstreams {
    pub(super) fn new(clock: Rc<dyn Clock>) -> Rc<Self> {
        Rc::new(Self { clock, state: RefCell::default() })
    }

    fn now(&self) -> Duration {
        self.clock.now().monotonic
    }

    /// Returns whether no upstream is known to be brittle.
    fn is_empty(&self) -> bool {
        let state = self.state.borrow();
        state.announced.is_empty() && state.services.is_empty()
    }

    /// Returns how many requests an upstream may reject within a second, if that is bounded.
    fn rejections_max(&self, incarnation_id: u64, service: &str) -> Option<f64> {
        let state = self.state.borrow();
        match state.announced.announcement(incarnation_id) {
            Some(announced) => announced.per_s,
            None => state.services.get(&short_hash(service)).map(|(rejections, _)| *rejections),
        }
    }

    fn record_service(&self, service: &str, rejections: f64, at: Duration) {
        let mut state = self.state.borrow_mut();
        let entry = state.services.entry(short_hash(service)).or_insert((rejections, at));
        let is_outdated = at >= entry.1 + SERVICE_LIFETIME;
        entry.0 = if is_outdated { rejections } else { entry.0.min(rejections) };
        entry.1 = entry.1.max(at);
    }

    fn finish(&self, requester: Option<SocketAddr>, returned: &PermitReturn) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        if let Some(guard) = state.guards.get_mut(&returned.incarnation_id) {
            guard.finish(now, send_id(requester, returned.ticket), returned.was_rejected);
        }
    }

    fn close(&self, incarnation_id: u64, until: Duration) {
        self.state.borrow_mut().closed_until.insert(incarnation_id, until);
    }
}

impl Upstreams {
    /// Records how many rejections a response of an upstream allows. The request was sent at
    /// `sent_at`.
    pub(super) fn record_brittle(
        &self,
        target: &Target,
        sent_at: Duration,
        announced: LimitHeader,
    ) {
        let (now, incarnation_id) = (self.clock.now().monotonic, target.incarnation_id());
        let mut state = self.brittle.state.borrow_mut();
        if announced == LimitHeader::Unreadable {
            if state.unreadable.insert(incarnation_id) {
                let line = LogLine::event("upstream_header_refused");
                let line = line.with("upstream", &target.instance);
                log::warn(line.with("header", "brittle"));
            }
            return;
        }
        let change = state.announced.record_response(now, incarnation_id, sent_at, announced);
        drop(state);
        if let Some(change) = change {
            let line = LogLine::event("upstream_brittle").with("upstream", &target.instance);
            log::warn(line.with_some("rejections_max", change.now));
        }
        if let LimitHeader::PerSecond(rejections) = announced
            && let Some(upstream) = self.directory.borrow().get(target.key)
        {
            self.brittle.record_service(&upstream.record.service, rejections, now);
        }
    }

    /// Applies what peers report of brittle upstreams.
    pub fn apply_peer_brittle(&self, reports: &[LimitReport]) {
        let now = self.clock.now().monotonic;
        for report in reports {
            if report.per_s.is_some_and(|rejections| !(rejections.is_finite() && rejections >= 0.0))
            {
                continue;
            }
            let at = now.saturating_sub(Duration::from_millis(report.age_ms.into()));
            let announced = AnnouncedLimit { per_s: report.per_s, at };
            let mut state = self.brittle.state.borrow_mut();
            state.announced.record_peer_report(report.incarnation_id, announced);
            drop(state);
            let directory = self.directory.borrow();
            if let (Some(rejections), Some(upstream)) =
                (report.per_s, directory.find_incarnation(report.incarnation_id))
            {
                self.brittle.record_service(&upstream.record.service, rejections, at);
            }
        }
    }

    /// Lists announcements of brittle upstreams for the next heartbeat.
    pub fn brittle_to_publish(&self) -> Vec<LimitReport> {
        let now = self.clock.now().monotonic;
        let mut state = self.brittle.state.borrow_mut();
        let mut reports: Vec<_> = state
            .announced
            .to_publish(now)
            .map(|(incarnation_id, announced)| LimitReport {
                incarnation_id,
                per_s: announced.per_s,
                age_ms: age_ms(now, announced.at),
            })
            .collect();
        reports.sort_unstable_by_key(|report| report.incarnation_id);
        rotate(&reports, PUBLISHED_MAX, &mut state.published_count)
    }

    /// Returns how long an upstream gets nothing more, since it is brittle and has no capacity.
    pub(super) fn brittle_closed_for(
        &self,
        now: Duration,
        record: &UpstreamRecord,
    ) -> Option<Duration> {
        let state = self.brittle.state.borrow();
        if state.closed_until.is_empty() {
            return None;
        }
        let until = *state.closed_until.get(&record.incarnation_id())?;
        (now < until).then(|| until - now)
    }

    /// Acquires a permit for a send to an upstream if it is brittle.
    pub(super) async fn acquire_brittle_permit(
        &self,
        target: &Target,
    ) -> Result<Option<BrittlePermit>, Ineligible> {
        if self.brittle.is_empty() {
            return Ok(None);
        }
        let incarnation_id = target.incarnation_id();
        let (service, slots) = self.service_and_slots(incarnation_id).ok_or(Ineligible::Gone)?;
        let Some(rejections) = self.brittle.rejections_max(incarnation_id, &service) else {
            return Ok(None);
        };
        let (ticket, transport) = {
            let mut state = self.brittle.state.borrow_mut();
            (state.tickets.issue(), state.transport.clone())
        };
        let issuer = transport.as_ref().and_then(|transport| transport.issuer(incarnation_id));
        let permit = match (&transport, issuer) {
            (Some(transport), Some(issuer)) => {
                let limit =
                    LimitReport { incarnation_id, per_s: Some(rejections), age_ms: u32::MAX };
                let request = PermitRequest { ticket, limit, rank: 0, is_for_brittle: true };
                self.request_brittle_permit(&**transport, issuer, request).await
            }
            _ => self.issue_brittle_permit(None, ticket, incarnation_id, rejections, slots),
        };
        let now = self.clock.now().monotonic;
        match permit {
            Ok(()) => Ok(Some(BrittlePermit {
                upstreams: self.brittle.clone(),
                incarnation_id,
                ticket,
                issuer,
                was_rejected: Cell::new(false),
            })),
            Err(denied) => {
                self.brittle.close(incarnation_id, now + denied.retry_after);
                Err(Ineligible::Limited)
            }
        }
    }

    fn service_and_slots(&self, incarnation_id: u64) -> Option<(Arc<str>, u32)> {
        let directory = self.directory.borrow();
        let record = &directory.find_incarnation(incarnation_id)?.record;
        Some((record.service.clone(), record.slots))
    }

    async fn request_brittle_permit(
        &self,
        transport: &dyn PermitTransport,
        issuer: SocketAddr,
        request: PermitRequest,
    ) -> Result<(), PermitDenied> {
        let (sender, receiver) = oneshot::channel();
        {
            let mut state = self.brittle.state.borrow_mut();
            state.pending.retain(|_, waiter| !waiter.is_closed());
            state.pending.insert(request.ticket, sender);
        }
        transport.send_request(issuer, request);
        let denied_for = |retry_after| PermitDenied { retry_after, drained_after: retry_after };
        match timeout(RESPONSE_TIMEOUT, receiver).await {
            Ok(Ok(response)) if response.is_granted => Ok(()),
            Ok(Ok(response)) => {
                Err(denied_for(Duration::from_millis(response.retry_after_ms.into())))
            }
            _ => Err(denied_for(UNANSWERED_RETRY_DELAY)),
        }
    }

    fn issue_brittle_permit(
        &self,
        requester: Option<SocketAddr>,
        ticket: u64,
        incarnation_id: u64,
        rejections: f64,
        slots: u32,
    ) -> Result<(), PermitDenied> {
        let now = self.clock.now().monotonic;
        let peak_nodes = self.cold.borrow().peak_nodes.peak();
        let mut state = self.brittle.state.borrow_mut();
        let nodes = state.transport.as_ref().map_or(1, |transport| transport.node_count());
        let rejections = rejections * limit_share(nodes, peak_nodes);
        let guard =
            state.guards.entry(incarnation_id).or_insert_with(|| RejectionGuard::new(slots));
        guard.request(now, send_id(requester, ticket), rejections, rand::random())
    }

    /// Handles a peer's request for a permit to send to a brittle upstream.
    pub(super) fn handle_brittle_request(&self, requester: SocketAddr, request: PermitRequest) {
        let PermitRequest { ticket, limit, .. } = request;
        let incarnation_id = limit.incarnation_id;
        let (service, slots) =
            self.service_and_slots(incarnation_id).unwrap_or_else(|| ("".into(), 0));
        let rejections = self.brittle.rejections_max(incarnation_id, &service);
        let rejections = rejections.or(limit.per_s).unwrap_or(0.0);
        let permit =
            self.issue_brittle_permit(Some(requester), ticket, incarnation_id, rejections, slots);
        let retry_after = permit.err().map_or(Duration::ZERO, |denied| denied.retry_after);
        let retry_after_ms = retry_after.as_millis() as u32;
        let transport = self.brittle.state.borrow().transport.clone();
        if let Some(transport) = transport {
            let response = PermitResponse {
                ticket,
                limit,
                is_granted: permit.is_ok(),
                retry_after_ms,
                drained_after_ms: retry_after_ms,
                is_for_brittle: true,
            };
            transport.send_response(requester, response);
        }
    }

    pub(super) fn handle_brittle_response(&self, response: PermitResponse) {
        let waiter = self.brittle.state.borrow_mut().pending.remove(&response.ticket);
        // The requester may have stopped waiting; its permit expires then.
        let _unused = waiter.map(|waiter| waiter.send(response));
    }

    /// Handles a peer's return of a permit.
    pub fn handle_permit_return(&self, requester: SocketAddr, returned: &PermitReturn) {
        self.brittle.finish(Some(requester), returned);
    }

    pub(super) fn set_brittle_transport(&self, transport: Rc<dyn PermitTransport>) {
        self.brittle.state.borrow_mut().transport = Some(transport);
    }

    pub(super) fn expire_brittle(&self, now: Duration) {
        let directory = self.directory.borrow();
        let is_recorded = |incarnation_id| directory.find_incarnation(incarnation_id).is_some();
        let mut state = self.brittle.state.borrow_mut();
        state.announced.retain(now, is_recorded);
        state.services.retain(|_, (_, at)| now < *at + SERVICE_LIFETIME);
        state.closed_until.retain(|_, until| now < *until);
        state.guards.retain(|incarnation_id, _| is_recorded(*incarnation_id));
        state.unreadable.retain(|incarnation_id| is_recorded(*incarnation_id));
    }
}

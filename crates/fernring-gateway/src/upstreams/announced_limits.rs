//! Limits that upstreams announce for the requests of all nodes together, and the permit for each
//! send to such an upstream.
//!
//! [`crate::limits`] keeps the newest announced limits, [`crate::permit_issuer`] decides on
//! permits. All nodes request the permits of an upstream from the same node, as far as they see the
//! same members. Limits are passed on in heartbeats, in permit requests and in their responses.

use {
    super::{Target, Upstreams, rotate},
    crate::{
        backlog::RANKS,
        eligibility::Ineligible,
        limits::{AnnouncedLimit, AnnouncedLimits, LimitChange},
        log,
        model::{LimitHeader, UpstreamKey, UpstreamRecord},
        permit_issuer::{PermitDenied, PermitIssuer, combined_drain_time, limit_share},
        retry_after::RetryForecast,
        telemetry,
        tickets::Tickets,
    },
    fernring_core::text::LogLine,
    fernring_protocol::gateway::{self, PermitRequest, PermitResponse, PermitReturn},
    std::{
        collections::{HashMap, HashSet},
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
    tokio::{
        sync::oneshot,
        time::{sleep, timeout},
    },
};

/// Longest wait for a permit response: some round trips between failure domains. A request that
/// gets none is sent to another upstream.
pub(super) const RESPONSE_TIMEOUT: Duration = Duration::from_millis(100);
/// How long a node requests no permits after one request got no response: by then it knows which
/// node is the issuer.
const UNANSWERED_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Time after its start in which a node issues no permits: it may be the issuer only because it
/// doesn't know the other nodes yet.
const STARTUP_TIME: Duration = Duration::from_secs(1);
/// Pause between two checks whether this node has caught up, and the most checks it makes.
const CATCH_UP_POLL_INTERVAL: Duration = Duration::from_millis(5);
const CATCH_UP_POLLS_MAX: usize = 80;
/// Most limits in a heartbeat: 400 bytes. Further ones follow in the next heartbeats.
const PUBLISHED_LIMITS_MAX: usize = 24;

/// Finds the nodes that issue permits, and carries requests and responses.
pub trait PermitTransport {
    /// Returns the node that issues the permits for an incarnation of an upstream; `None` if it is
    /// this node.
    fn issuer(&self, incarnation_id: u64) -> Option<SocketAddr>;

    /// Returns the number of reachable nodes, including this one.
    fn node_count(&self) -> usize;

    /// Returns whether peers may have reported a limit that this node hasn't read yet.
    fn is_catching_up(&self) -> bool;

    /// Sends a permit request.
    fn send_request(&self, issuer: SocketAddr, request: PermitRequest);

    /// Sends a permit response.
    fn send_response(&self, requester: SocketAddr, response: PermitResponse);

    /// Returns a permit to send to a brittle upstream.
    fn send_return(&self, issuer: SocketAddr, returned: PermitReturn);
}

/// The permits of an upstream are used up for some time, as a denial said.
#[derive(Debug, Clone, Copy, Default)]
struct Exhaustion {
    /// When to request permits again, by rank. Invariant: no rank retries sooner than a more urgent
    /// one.
    retry_at: [Duration; RANKS],
    /// When the current demand should have drained.
    drained_at: Duration,
}

/// State of the upstreams that announce limits.
#[derive(Default)]
pub(super) struct LimitedUpstreams {
    limits: AnnouncedLimits,
    exhausted: HashMap<u64, Exhaustion>,
    /// The permits that this node issues.
    permit_issuers: HashMap<u64, PermitIssuer>,
    /// Permit requests that wait for their responses.
    pending: HashMap<u64, oneshot::Sender<PermitResponse>>,
    /// Incarnations whose last response announced an unreadable limit. Logged once, not for each
    /// response.
    unreadable: HashSet<u64>,
    tickets: Tickets,
    /// Limits published so far; selects the ones for the next heartbeat.
    published_count: usize,
    permit_transport: Option<Rc<dyn PermitTransport>>,
}

impl std::fmt::Debug for LimitedUpstreams {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("LimitedUpstreams").field("limits", &self.limits).finish_non_exhaustive()
    }
}

impl LimitedUpstreams {
    fn mark_exhausted(
        &mut self,
        now: Duration,
        incarnation_id: u64,
        rank: usize,
        denied: PermitDenied,
    ) {
        let exhausted = self.exhausted.entry(incarnation_id).or_default();
        exhausted.drained_at = now + denied.drained_after;
        for retry_at in exhausted.retry_at.iter_mut().skip(rank) {
            *retry_at = (*retry_at).max(now + denied.retry_after);
        }
    }

    fn is_exhausted(&self, now: Duration, incarnation_id: u64, rank: usize) -> bool {
        let retry_at = self
            .exhausted
            .get(&incarnation_id)
            .map(|exhausted| exhausted.retry_at[rank.min(RANKS - 1)]);
        self.limits.limit_per_s(incarnation_id).is_some()
            && retry_at.is_some_and(|retry_at| now < retry_at)
    }

    fn limit_report(&self, now: Duration, incarnation_id: u64) -> gateway::LimitReport {
        let announced = self.limits.announcement(incarnation_id);
        gateway::LimitReport {
            incarnation_id,
            per_s: announced.and_then(|limit| limit.per_s),
            age_ms: announced.map_or(u32::MAX, |limit| age_ms(now, limit.at)),
        }
    }
}

impl Upstreams {
    /// Sets the transport of permit requests. Without it, this node issues all permits itself.
    pub fn set_permit_transport(&self, permit_transport: Rc<dyn PermitTransport>) {
        self.set_brittle_transport(permit_transport.clone());
        self.limited_upstreams.borrow_mut().permit_transport = Some(permit_transport);
    }

    /// Records the limit that a response of an upstream announces. The request was sent at
    /// `sent_at`.
    pub(super) fn record_announced_limit(
        &self,
        target: &Target,
        sent_at: Duration,
        announced: LimitHeader,
    ) {
        let (now, incarnation_id) = (self.clock.now().monotonic, target.incarnation_id());
        let mut limited_upstreams = self.limited_upstreams.borrow_mut();
        if announced == LimitHeader::Unreadable {
            // The known limit stays in force.
            if limited_upstreams.unreadable.insert(incarnation_id) {
                let line = LogLine::event("upstream_limit_refused");
                log::warn(line.with("upstream", &target.instance));
            }
            return;
        }
        limited_upstreams.unreadable.remove(&incarnation_id);
        if let Some(change) =
            limited_upstreams.limits.record_response(now, incarnation_id, sent_at, announced)
        {
            log_limit(incarnation_id, change, &target.instance);
        }
    }

    /// Applies the limits that a peer reports.
    pub fn apply_peer_limits(&self, reports: &[gateway::LimitReport]) {
        let now = self.clock.now().monotonic;
        for report in reports {
            let at = now.saturating_sub(Duration::from_millis(report.age_ms.into()));
            if report.per_s.is_some_and(|per_s| !(per_s.is_finite() && per_s >= 0.0)) {
                continue;
            }
            let limit = AnnouncedLimit { per_s: report.per_s, at };
            let change = self
                .limited_upstreams
                .borrow_mut()
                .limits
                .record_peer_report(report.incarnation_id, limit);
            if let Some(change) = change {
                log_limit(report.incarnation_id, change, "peer");
            }
        }
    }

    /// Lists the limits for the next heartbeat.
    pub fn limits_to_publish(&self) -> Vec<gateway::LimitReport> {
        let now = self.clock.now().monotonic;
        let mut limited_upstreams = self.limited_upstreams.borrow_mut();
        let mut incarnation_ids: Vec<_> = limited_upstreams
            .limits
            .to_publish(now)
            .map(|(incarnation_id, _)| incarnation_id)
            .collect();
        incarnation_ids.sort_unstable();
        let published_count = &mut limited_upstreams.published_count;
        rotate(&incarnation_ids, PUBLISHED_LIMITS_MAX, published_count)
            .into_iter()
            .map(|incarnation_id| limited_upstreams.limit_report(now, incarnation_id))
            .collect()
    }

    /// Returns the number of upstreams that announce a limit.
    pub fn limited_count(&self) -> usize {
        self.limited_upstreams.borrow().limits.active_count()
    }

    /// Returns the limit that an upstream announces for all nodes, in requests a second.
    pub fn limit_of(&self, record: &UpstreamRecord) -> Option<f64> {
        self.limited_upstreams.borrow().limits.limit_per_s(record.incarnation_id())
    }

    /// Returns whether the permits of an upstream are known to be used up for a rank.
    pub(super) fn is_limit_exhausted(
        &self,
        now: Duration,
        record: &UpstreamRecord,
        rank: usize,
    ) -> bool {
        let limited_upstreams = self.limited_upstreams.borrow();
        !limited_upstreams.exhausted.is_empty()
            && limited_upstreams.is_exhausted(now, record.incarnation_id(), rank)
    }

    /// Returns whether an upstream accepts no releases of results now, because it requested a pause
    /// or its permits are used up.
    pub fn refuses_release(&self, key: UpstreamKey) -> bool {
        let now = self.clock.now().monotonic;
        let directory = self.directory.borrow();
        directory.get(key).is_some_and(|upstream| {
            self.check_throttling(now, &upstream.record, RANKS - 1).is_err()
        })
    }

    /// Returns when a service accepts requests of a rank again, if each of its eligible upstreams
    /// has requested a pause or has no permits left for that rank; otherwise `None`.
    pub fn throttled_until(&self, service: &str, rank: usize) -> Option<RetryForecast> {
        let now = self.clock.now().monotonic;
        let directory = self.directory.borrow();
        let limited_upstreams = self.limited_upstreams.borrow();
        let cold_start = self.cold_start(service);
        let eligible = directory
            .of_service(service)
            .filter(|(key, upstream)| self.check_upstream(*key, upstream, cold_start).is_ok());
        let mut drain_times = Vec::new();
        let mut first_pause_end = None;
        for (_, upstream) in eligible {
            let incarnation_id = upstream.record.incarnation_id();
            let paused = self.backoff_remaining(now, || incarnation_id);
            if let Some(remaining) = paused.or(self.brittle_closed_for(now, &upstream.record)) {
                first_pause_end = first_pause_end.into_iter().chain([remaining]).min();
                continue;
            }
            if !limited_upstreams.is_exhausted(now, incarnation_id, rank) {
                return None;
            }
            let drained_at = limited_upstreams
                .exhausted
                .get(&incarnation_id)
                .map(|exhausted| exhausted.drained_at)?;
            drain_times.push(drained_at.saturating_sub(now));
        }
        match (combined_drain_time(&drain_times), first_pause_end) {
            (Some(drained_after), _) => Some(RetryForecast::DrainedAfter(drained_after)),
            (None, Some(end)) => Some(RetryForecast::NotBefore(end)),
            (None, None) => None,
        }
    }

    /// Acquires a permit for a send to an upstream if it announces a limit.
    pub(super) async fn acquire_limit_permit(
        &self,
        target: &Target,
        rank: usize,
    ) -> Result<(), Ineligible> {
        let incarnation_id = target.incarnation_id();
        self.catch_up(incarnation_id).await;
        let now = self.clock.now().monotonic;
        let permit_transport = {
            let limited_upstreams = self.limited_upstreams.borrow();
            if limited_upstreams.limits.limit_per_s(incarnation_id).is_none() {
                return Ok(());
            }
            if limited_upstreams.is_exhausted(now, incarnation_id, rank) {
                return Err(Ineligible::Limited);
            }
            limited_upstreams.permit_transport.clone()
        };
        let remote_issuer = permit_transport
            .as_ref()
            .and_then(|transport| Some((transport, transport.issuer(incarnation_id)?)));
        let permit = match remote_issuer {
            None => self.issue_permit(incarnation_id, rank),
            Some((permit_transport, issuer)) => {
                self.request_permit(&**permit_transport, issuer, incarnation_id, rank).await
            }
        };
        telemetry::record_permit(permit.is_ok());
        let now = self.clock.now().monotonic;
        permit.map_err(|denied| {
            self.limited_upstreams.borrow_mut().mark_exhausted(now, incarnation_id, rank, denied);
            Ineligible::Limited
        })
    }

    /// Waits until this node has read what peers sent while it was paused, unless a limit of the
    /// upstream is known. Without this, all requests that arrived during the pause are sent when
    /// the process resumes, regardless of the limit.
    async fn catch_up(&self, incarnation_id: u64) {
        for _ in 0..CATCH_UP_POLLS_MAX {
            if !self.may_lack_limit(incarnation_id) {
                return;
            }
            sleep(CATCH_UP_POLL_INTERVAL).await;
        }
    }

    fn may_lack_limit(&self, incarnation_id: u64) -> bool {
        let limited_upstreams = self.limited_upstreams.borrow();
        let is_catching_up = || {
            limited_upstreams
                .permit_transport
                .as_ref()
                .is_some_and(|permit_transport| permit_transport.is_catching_up())
        };
        limited_upstreams.limits.limit_per_s(incarnation_id).is_none() && is_catching_up()
    }

    async fn request_permit(
        &self,
        permit_transport: &dyn PermitTransport,
        issuer: SocketAddr,
        incarnation_id: u64,
        rank: usize,
    ) -> Result<(), PermitDenied> {
        let now = self.clock.now().monotonic;
        let (sender, receiver) = oneshot::channel();
        let request = {
            let mut limited_upstreams = self.limited_upstreams.borrow_mut();
            let ticket = limited_upstreams.tickets.issue();
            limited_upstreams.pending.retain(|_, waiter| !waiter.is_closed());
            limited_upstreams.pending.insert(ticket, sender);
            PermitRequest {
                ticket,
                limit: limited_upstreams.limit_report(now, incarnation_id),
                rank: rank as u32,
                is_for_brittle: false,
            }
        };
        permit_transport.send_request(issuer, request);
        let Ok(Ok(response)) = timeout(RESPONSE_TIMEOUT, receiver).await else {
            log::info(LogLine::event("turn_unanswered").with("counter", issuer));
            return Err(PermitDenied {
                retry_after: UNANSWERED_RETRY_DELAY,
                drained_after: UNANSWERED_RETRY_DELAY,
            });
        };
        self.apply_peer_limits(&[response.limit]);
        match response.is_granted {
            true => Ok(()),
            false => Err(PermitDenied {
                retry_after: Duration::from_millis(response.retry_after_ms.into()),
                drained_after: Duration::from_millis(response.drained_after_ms.into()),
            }),
        }
    }

    /// Issues a permit from this node's own count, or denies it.
    fn issue_permit(&self, incarnation_id: u64, rank: usize) -> Result<(), PermitDenied> {
        let now = self.clock.now().monotonic;
        let (started_at, peak_nodes) = {
            let cold = self.cold.borrow();
            (cold.started_at, cold.peak_nodes.peak())
        };
        let mut limited_upstreams = self.limited_upstreams.borrow_mut();
        let Some(limit) = limited_upstreams.limits.limit_per_s(incarnation_id) else {
            return Ok(());
        };
        if now < started_at + STARTUP_TIME {
            let remaining = started_at + STARTUP_TIME - now;
            return Err(PermitDenied { retry_after: remaining, drained_after: remaining });
        }
        let node_count = limited_upstreams
            .permit_transport
            .as_ref()
            .map_or(1, |permit_transport| permit_transport.node_count());
        let share = limit_share(node_count, peak_nodes);
        let permit_issuer = limited_upstreams
            .permit_issuers
            .entry(incarnation_id)
            .or_insert_with(|| PermitIssuer::new(now, share, rand::random()));
        permit_issuer.request(now, limit, share, rank, rand::random())
    }

    /// Handles a peer's permit request and responds to it.
    pub fn handle_permit_request(&self, requester: SocketAddr, request: PermitRequest) {
        if request.is_for_brittle {
            self.handle_brittle_request(requester, request);
            return;
        }
        self.apply_peer_limits(&[request.limit]);
        let incarnation_id = request.limit.incarnation_id;
        let permit = self.issue_permit(incarnation_id, request.rank as usize);
        let denied = permit.err();
        let ms = |time: Duration| time.as_millis().min(u32::MAX.into()) as u32;
        let limited_upstreams = self.limited_upstreams.borrow();
        let response = PermitResponse {
            ticket: request.ticket,
            limit: limited_upstreams.limit_report(self.clock.now().monotonic, incarnation_id),
            is_granted: denied.is_none(),
            retry_after_ms: denied.map_or(0, |denied| ms(denied.retry_after)),
            drained_after_ms: denied.map_or(0, |denied| ms(denied.drained_after)),
            is_for_brittle: false,
        };
        if let Some(permit_transport) = &limited_upstreams.permit_transport {
            permit_transport.send_response(requester, response);
        }
    }

    /// Handles the response to a permit request.
    pub fn handle_permit_response(&self, response: PermitResponse) {
        if response.is_for_brittle {
            self.handle_brittle_response(response);
            return;
        }
        let waiter = self.limited_upstreams.borrow_mut().pending.remove(&response.ticket);
        // The requester may have stopped waiting; its permit is lost then.
        let _unused = waiter.map(|waiter| waiter.send(response));
    }

    pub(super) fn expire_limits(&self, now: Duration) {
        let mut limited_upstreams = self.limited_upstreams.borrow_mut();
        if limited_upstreams.limits.is_empty() && limited_upstreams.unreadable.is_empty() {
            return;
        }
        let directory = self.directory.borrow();
        let is_recorded = |incarnation_id| directory.find_incarnation(incarnation_id).is_some();
        let LimitedUpstreams { limits, exhausted, permit_issuers, unreadable, .. } =
            &mut *limited_upstreams;
        unreadable.retain(|incarnation_id| is_recorded(*incarnation_id));
        limits.retain(now, is_recorded);
        exhausted.retain(|incarnation_id, _| limits.limit_per_s(*incarnation_id).is_some());
        permit_issuers.retain(|incarnation_id, _| limits.limit_per_s(*incarnation_id).is_some());
    }
}

pub(super) fn age_ms(now: Duration, at: Duration) -> u32 {
    now.saturating_sub(at).as_millis().min(u32::MAX.into()) as u32
}

fn log_limit(incarnation_id: u64, change: LimitChange, from: &str) {
    let line = LogLine::event("upstream_limit").with("run", format_args!("{incarnation_id:016x}"));
    let line = line.with("from", from).with_some("before_per_s", change.before);
    log::warn(line.with_some("per_s", change.now));
}

//! Coordinates the roll-outs of a node: counts its sends to each version, reports them to the
//! controllers, and runs the controllers of the orders for which this node is responsible.

use {
    super::{
        controller::{
            ExposureBudget, ExposureSpent, Observation, Phase, RolloutController, UpstreamCounts,
        },
        counts::RolloutCounts,
        orders::{AdmittedVersions, KnownOrder, RolloutOrder, RolloutOrders, RolloutProgress},
        reports::{NodeReport, NodeReports},
        sampler::ShareSampler,
    },
    crate::{
        config::ConfigState,
        log,
        model::RolloutState,
        peers::Peers,
        position::Position,
        records::{
            decode_rollout_counts, decode_rollout_order, encode_rollout_order,
            encode_rollout_report,
        },
        settings::RolloutSettings,
        upstreams::{Target, Upstreams},
        wire::{RolloutRecord, RolloutStatus, Store, StoreError, Topic, Wire},
    },
    fernring_core::{
        clock::{Clock, saturating_ms},
        text::LogLine,
    },
    fernring_protocol::gateway::{GatewayBody, RolloutOrderMessage, RolloutReport},
    std::{
        cell::{Cell, RefCell},
        collections::BTreeMap,
        net::SocketAddr,
        rc::Rc,
        sync::Arc,
        time::Duration,
    },
    tokio::{task::spawn_local, time::sleep},
};

/// Pause between two rounds. In a round a node reports, and controllers decide.
const ROUND_INTERVAL: Duration = Duration::from_millis(200);
/// Time for which a node that is no longer live still counts as having requests in flight, since it
/// may be partitioned only for a moment.
const SILENT_NODE_GRACE: Duration = Duration::from_secs(5);
/// Latency that is recorded for a call on pieces that takes exactly as long as expected.
const NOMINAL_CALL_LATENCY: Duration = Duration::from_millis(100);
/// Name of the route under which calls on pieces are counted.
const CALLS_ROUTE: &str = "";

/// Counts of this node for one order.
struct OwnCounts {
    at: Position,
    sampler: ShareSampler,
    counts: RolloutCounts,
}

/// An order whose roll-out this node controls.
struct ControlledOrder {
    at: Position,
    controller: RolloutController,
    reports: NodeReports,
    /// Whether the state was read from the store.
    is_state_read: bool,
    /// Number that the next record of the topic gets; `None` if the topic must be read again.
    next_offset: Option<u64>,
    /// The state and the exposure that the store holds.
    written: Option<(RolloutState, ExposureSpent)>,
    /// Whether the state is being read or written.
    is_store_busy: bool,
}

/// The roll-outs that a node takes part in.
pub struct Rollouts {
    clock: Rc<dyn Clock>,
    wire: Rc<dyn Wire>,
    store: Rc<dyn Store>,
    config: Rc<RefCell<ConfigState>>,
    upstreams: Rc<Upstreams>,
    peers: Rc<Peers>,
    settings: Cell<RolloutSettings>,
    orders: RefCell<RolloutOrders>,
    own_counts: RefCell<BTreeMap<Arc<str>, OwnCounts>>,
    controlled: RefCell<BTreeMap<Arc<str>, ControlledOrder>>,
}

/// A send to a service with an order under way; counts as in flight until it is dropped.
pub struct TrackedSend {
    rollouts: Rc<Rollouts>,
    service: Arc<str>,
    at: Position,
    route: Arc<str>,
    is_destination: bool,
    /// Whether the latency counts; that of a cold upstream doesn't.
    counts_latency: bool,
    started_at: Duration,
    outcome: Cell<RecordedOutcome>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum RecordedOutcome {
    Pending,
    Succeeded,
    Failed,
}

impl std::fmt::Debug for TrackedSend {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("TrackedSend")
            .field("is_ordered", &self.is_destination)
            .finish_non_exhaustive()
    }
}

impl TrackedSend {
    /// Records that the response is good so far.
    pub fn record_success(&self) {
        let latency = self.rollouts.now().saturating_sub(self.started_at);
        self.record(RecordedOutcome::Succeeded, Some(latency));
    }

    /// Records that a call on pieces succeeded after `elapsed`, where `expected` was expected.
    pub fn record_call_success(&self, elapsed: Duration, expected: Duration) {
        let factor = elapsed.as_secs_f64() / expected.as_secs_f64().max(1e-3);
        self.record(
            RecordedOutcome::Succeeded,
            Some(NOMINAL_CALL_LATENCY.mul_f64(factor.min(1_000.0))),
        );
    }

    /// Records that the send failed. A failure may follow a recorded success, but not the other way
    /// round.
    pub fn record_failure(&self) {
        self.record(RecordedOutcome::Failed, None);
    }

    fn record(&self, outcome: RecordedOutcome, latency: Option<Duration>) {
        if outcome <= self.outcome.get() {
            return;
        }
        self.outcome.set(outcome);
        if latency.is_some() && !self.counts_latency {
            return;
        }
        self.rollouts.with_own_counts(&self.service, self.at, |own| {
            let stats = own.counts.routes.entry(self.route.clone()).or_default();
            let stats =
                if self.is_destination { &mut stats.destination } else { &mut stats.others };
            stats.record(latency);
        });
    }
}

impl Drop for TrackedSend {
    fn drop(&mut self) {
        if !self.is_destination {
            self.rollouts.with_own_counts(&self.service, self.at, |own| {
                own.counts.in_flight_at_others = own.counts.in_flight_at_others.saturating_sub(1);
            });
        }
    }
}

impl Rollouts {
    /// Creates the state of a node that knows of no orders yet.
    pub fn new(
        clock: Rc<dyn Clock>,
        wire: Rc<dyn Wire>,
        store: Rc<dyn Store>,
        config: Rc<RefCell<ConfigState>>,
        upstreams: Rc<Upstreams>,
        peers: Rc<Peers>,
        settings: RolloutSettings,
    ) -> Self {
        Self {
            clock,
            wire,
            store,
            config,
            upstreams,
            peers,
            settings: Cell::new(settings),
            orders: RefCell::default(),
            own_counts: RefCell::default(),
            controlled: RefCell::default(),
        }
    }

    /// Sets the exposure budget of the controllers that are created from now on.
    pub fn set_settings(&self, settings: RolloutSettings) {
        self.settings.set(settings);
    }

    /// Returns the progress of the newest order of a service; `None` if it has none.
    pub fn progress(&self, service: &str) -> Option<RolloutProgress> {
        self.orders.borrow().newest(service).map(|known| known.progress)
    }

    /// Applies the operators' orders of a page of records. `is_full_read` says whether there are no
    /// others up to `end`.
    pub fn apply_records(
        &self,
        records: Vec<(Position, RolloutRecord)>,
        is_full_read: bool,
        end: Position,
    ) {
        let present: Vec<_> = records.iter().map(|(_, record)| record.service.clone()).collect();
        for (at, RolloutRecord { service, order }) in records {
            match order {
                Ok(Some(order)) => self.apply_order(&service, order, at, is_full_read),
                Ok(None) => self.withdraw(&service, at),
                Err(error) => {
                    let line = LogLine::event("rollout_refused").with("service", &service);
                    log::warn(line.with("record", at).with("error", error));
                }
            }
        }
        if is_full_read {
            let withdrawn = self.orders.borrow_mut().retain(&present, end);
            withdrawn.iter().for_each(|service| self.log_withdrawn(service));
        }
        self.apply_rules();
    }

    fn apply_order(
        &self,
        service: &Arc<str>,
        order: RolloutOrder,
        at: Position,
        is_full_read: bool,
    ) {
        // An order that is found by a full read may have ended long ago.
        let progress =
            if is_full_read { RolloutProgress::Unknown } else { RolloutProgress::INITIAL };
        let line = LogLine::event("rollout_ordered").with("service", service);
        let line = line.with("destination", &order.destination).with("record", at);
        let line = line.with("duration_ms", order.duration.as_millis());
        let deadline_at = self.now() + order.duration;
        let known = KnownOrder { order, at, deadline_at, progress };
        if self.orders.borrow_mut().update(service, known) {
            log::info(line);
        }
    }

    fn withdraw(&self, service: &Arc<str>, at: Position) {
        if self.orders.borrow_mut().withdraw(service, at) {
            self.log_withdrawn(service);
        }
    }

    fn log_withdrawn(&self, service: &Arc<str>) {
        log::info(LogLine::event("rollout_withdrawn").with("service", service));
    }

    /// Handles the orders and their progress that a peer sends.
    pub fn handle_messages(&self, messages: &[RolloutOrderMessage]) {
        if messages.is_empty() {
            return;
        }
        let now = self.now();
        for message in messages {
            let (service, known) = decode_rollout_order(now, message);
            let before = self.progress(&service);
            let (progress, at) = (known.progress, known.at);
            if self.orders.borrow_mut().update(&service, known) {
                self.log_progress(&service, before, progress);
            }
            if message.is_withdrawn {
                self.withdraw(&service, at.next());
            }
        }
        self.apply_rules();
    }

    fn log_progress(
        &self,
        service: &Arc<str>,
        before: Option<RolloutProgress>,
        progress: RolloutProgress,
    ) {
        let share = |progress| match progress {
            RolloutProgress::Running { share, .. } => share,
            RolloutProgress::Completed => 1.0,
            RolloutProgress::Unknown | RolloutProgress::RolledBack => 0.0,
        };
        if before.is_some_and(|before| share(before) == share(progress)) && !progress.is_final() {
            return;
        }
        let line = LogLine::event("rollout_taken").with("service", service);
        let line = line.with("share", share(progress)).with("is_final", progress.is_final());
        log::info(line);
    }

    /// Returns the messages that publish the known orders to peers.
    pub fn messages(&self) -> Vec<RolloutOrderMessage> {
        let now = self.now();
        let orders = self.orders.borrow();
        let message = |(service, known): (&Arc<str>, &KnownOrder)| {
            encode_rollout_order(now, service, known, orders.is_withdrawn(service))
        };
        orders.iter().map(message).collect()
    }

    /// Puts the version rules that follow from the known orders in force.
    fn apply_rules(&self) {
        let orders = self.orders.borrow();
        if orders.is_empty() {
            return;
        }
        let now = self.now();
        let rules = orders.iter().filter_map(|(service, _)| {
            let rule = orders.rule(now, service)?;
            Some((service.clone(), rule))
        });
        self.upstreams.set_version_rules(rules.collect());
    }

    /// Counts a new request to a service and returns whether it goes to the destination version.
    pub fn sample_destination(&self, service: &Arc<str>) -> bool {
        match self.upstreams.admits(service) {
            Some(AdmittedVersions::Share(share)) => {
                self.with_sampler(service, |sampler| sampler.sample(share))
            }
            _ => false,
        }
    }

    /// Returns whether a call on pieces may go to an upstream now.
    pub fn admits_call(&self, service: &Arc<str>, target: &Target) -> bool {
        match self.upstreams.admits(service) {
            Some(AdmittedVersions::Share(_)) if self.is_destination(service, target) => {
                self.with_sampler(service, |sampler| sampler.has_credit())
            }
            _ => true,
        }
    }

    /// Counts a call on pieces towards the share of the destination version.
    pub fn count_call(&self, service: &Arc<str>, target: &Target) {
        if let Some(AdmittedVersions::Share(share)) = self.upstreams.admits(service) {
            let is_destination = self.is_destination(service, target);
            self.with_sampler(service, |sampler| {
                sampler.add_credit(share);
                is_destination && sampler.spend()
            });
        }
    }

    fn with_sampler(
        &self,
        service: &Arc<str>,
        change: impl FnOnce(&mut ShareSampler) -> bool,
    ) -> bool {
        let Some(at) = self.orders.borrow().newest(service).map(|known| known.at) else {
            return false;
        };
        let mut result = false;
        self.with_own_counts(service, at, |own| result = change(&mut own.sampler));
        result
    }

    fn is_destination(&self, service: &str, target: &Target) -> bool {
        let orders = self.orders.borrow();
        orders.newest(service).is_some_and(|known| known.order.destination == target.version)
    }

    /// Counts a send to a service; `None` if the service has no order under way. `is_first` says
    /// whether this is the first send of its request.
    pub fn track_send(
        self: &Rc<Self>,
        service: &Arc<str>,
        target: &Target,
        route: &Arc<str>,
        is_first: bool,
    ) -> Option<TrackedSend> {
        let orders = self.orders.borrow();
        let known = orders.newest(service).filter(|known| !known.progress.is_final())?;
        let (at, is_destination) = (known.at, known.order.destination == target.version);
        drop(orders);
        self.with_own_counts(service, at, |own| {
            own.counts.requests += u64::from(is_first);
            own.counts.exposed += u64::from(is_destination);
            own.counts.in_flight_at_others += u64::from(!is_destination);
        });
        Some(TrackedSend {
            rollouts: self.clone(),
            service: service.clone(),
            at,
            route: route.clone(),
            is_destination,
            counts_latency: !self.upstreams.is_cold(target.key),
            started_at: self.now(),
            outcome: Cell::new(RecordedOutcome::Pending),
        })
    }

    /// Counts a call on pieces as one request; `None` if the service has no order under way.
    pub fn track_call(self: &Rc<Self>, service: &Arc<str>, target: &Target) -> Option<TrackedSend> {
        if self.orders.borrow().is_empty() {
            return None;
        }
        self.track_send(service, target, &CALLS_ROUTE.into(), true)
    }

    /// Changes what this node counts for the order at a position, unless a newer order has replaced
    /// it.
    fn with_own_counts(
        &self,
        service: &Arc<str>,
        at: Position,
        change: impl FnOnce(&mut OwnCounts),
    ) {
        let mut own = self.own_counts.borrow_mut();
        let new = || OwnCounts {
            at,
            sampler: ShareSampler::new(rand::random()),
            counts: RolloutCounts::default(),
        };
        let own = own.entry(service.clone()).or_insert_with(new);
        if own.at < at {
            *own = new();
        }
        if own.at == at {
            change(own);
        }
    }

    /// Sends reports and runs this node's controllers, for as long as the process runs.
    pub async fn run(self: Rc<Self>) {
        loop {
            sleep(ROUND_INTERVAL).await;
            if !self.orders.borrow().is_empty() {
                self.run_round();
            }
        }
    }

    fn run_round(self: &Rc<Self>) {
        let open: Vec<_> = {
            let orders = self.orders.borrow();
            let open = orders.iter().filter(|(_, known)| !known.progress.is_final());
            open.map(|(service, known)| (service.clone(), known.clone())).collect()
        };
        let is_open = |service: &Arc<str>, controlled: &mut ControlledOrder| {
            open.iter().any(|(other, known)| other == service && known.at == controlled.at)
        };
        self.controlled.borrow_mut().retain(is_open);
        for (service, known) in &open {
            let controller = self.peers.owner(&format!("rollout {service}"));
            let report = self.own_report(service, known);
            if controller == self.peers.address() {
                self.handle_report(controller, report);
                self.run_controller(service, known);
            } else {
                self.controlled.borrow_mut().remove(service);
                self.peers.send(controller, GatewayBody::RolloutReport(report));
            }
        }
        self.apply_rules();
    }

    fn own_report(&self, service: &Arc<str>, known: &KnownOrder) -> RolloutReport {
        let mut report = None;
        let serves_alone =
            matches!(known.progress, RolloutProgress::Running { share, .. } if share >= 1.0);
        // The order's counts don't contain requests from before the order.
        let is_idle = serves_alone
            && !self.upstreams.has_load_on_other_versions(service, &known.order.destination);
        self.with_own_counts(service, known.at, |own| {
            let is_drained = is_idle && own.counts.in_flight_at_others == 0;
            report = Some(encode_rollout_report(service, known.at, &own.counts, is_drained));
        });
        let incarnation = self.peers.incarnation();
        RolloutReport { incarnation, ..report.unwrap_or_default() }
    }

    /// Handles the report of a node to the controller of an order.
    pub fn handle_report(&self, sender: SocketAddr, report: RolloutReport) {
        let service: Arc<str> = report.service.as_str().into();
        let at = Position::new(report.era, report.offset);
        let known = self.orders.borrow().newest(&service).cloned();
        let Some(known) = known.filter(|known| known.at == at) else {
            return;
        };
        let now = self.now();
        let mut controlled = self.controlled.borrow_mut();
        let new = || self.new_controlled(&known);
        let controlled = controlled.entry(service).or_insert_with(new);
        if controlled.at != at {
            *controlled = new();
        }
        let (incarnation, is_drained) = (report.incarnation, report.is_drained);
        let counts = decode_rollout_counts(report);
        let report = NodeReport { counts, incarnation, is_drained, received_at: now };
        controlled.reports.record(sender, report);
    }

    fn new_controlled(&self, known: &KnownOrder) -> ControlledOrder {
        let RolloutSettings { share, slack } = self.settings.get();
        let budget = ExposureBudget { share, slack };
        let duration = known.order.duration;
        ControlledOrder {
            at: known.at,
            controller: RolloutController::new(
                budget,
                known.deadline_at,
                duration,
                ExposureSpent::default(),
            ),
            reports: NodeReports::default(),
            is_state_read: false,
            next_offset: None,
            written: None,
            is_store_busy: false,
        }
    }

    fn run_controller(self: &Rc<Self>, service: &Arc<str>, known: &KnownOrder) {
        let now = self.now();
        let mut all = self.controlled.borrow_mut();
        let Some(controlled) = all.get_mut(service) else {
            return;
        };
        if controlled.next_offset.is_none() && !controlled.is_store_busy {
            controlled.is_store_busy = true;
            spawn_local(self.clone().read_state(service.clone(), known.clone()));
        }
        if !controlled.is_state_read {
            // The previous controller may have written its progress.
            return;
        }
        let counts = controlled.reports.sum();
        let observed = Observation {
            counts: &counts,
            upstreams: self.upstream_counts(service, &known.order.destination),
            is_complete: self.is_complete(controlled),
            is_drained: self.is_drained(now, controlled),
            longest_request: self.longest_request(service),
            is_withdrawn: self.orders.borrow().is_withdrawn(service),
        };
        let before = controlled.controller.phase();
        let share = controlled.controller.step(now, observed);
        let phase = controlled.controller.phase();
        let spent = controlled.controller.spent(&counts);
        if phase != before {
            let line = LogLine::event("rollout_step").with("service", service);
            let line = line.with("destination", &known.order.destination);
            let line = line.with("phase", phase.name()).with("share", share);
            let line = line.with("requests", spent.requests).with("exposed", spent.exposed);
            let reason = match phase {
                Phase::RolledBack(reason) => Some(reason.name()),
                _ => None,
            };
            log::info(line.with_some("reason", reason));
        }
        let is_over = matches!(phase, Phase::Completed | Phase::RolledBack(_));
        if !controlled.is_store_busy && (is_over || controlled.has_progress(spent)) {
            self.write_state(service, known, controlled, spent);
        }
        drop(all);
        // The end counts only once the store holds it: another controller may have written the
        // opposite end.
        let progress =
            RolloutProgress::Running { share, serial: next_serial(known), announced_at: now };
        self.orders.borrow_mut().update(service, KnownOrder { progress, ..known.clone() });
    }

    fn write_state(
        self: &Rc<Self>,
        service: &Arc<str>,
        known: &KnownOrder,
        controlled: &mut ControlledOrder,
        spent: ExposureSpent,
    ) {
        let state = controlled.state();
        let Some(next_offset) = controlled.next_offset else {
            return;
        };
        controlled.is_store_busy = true;
        let status = RolloutStatus {
            state,
            destination: known.order.destination.clone(),
            order_at: known.at,
            deadline_ms: self.wall_ms_of(known.deadline_at),
            requests: spent.requests,
            exposed: spent.exposed,
        };
        spawn_local(self.clone().write(service.clone(), known.clone(), status, spent, next_offset));
    }

    async fn write(
        self: Rc<Self>,
        service: Arc<str>,
        known: KnownOrder,
        status: RolloutStatus,
        spent: ExposureSpent,
        next_offset: u64,
    ) {
        let (key, value) = self.wire.encode_rollout_status(&service, &status);
        let written = self.store.write_if(Topic::Rollouts, &key, &value, next_offset).await;
        let state = status.state;
        {
            let mut all = self.controlled.borrow_mut();
            let Some(controlled) = all.get_mut(&service).filter(|c| c.at == known.at) else {
                return;
            };
            controlled.is_store_busy = false;
            match &written {
                Ok(()) => {
                    controlled.next_offset = Some(next_offset + 1);
                    controlled.written = Some((state, spent));
                }
                // The state is read again before anything else is written: another controller may
                // have ended the roll-out, and a write that got no response may have taken effect.
                Err(_) => controlled.next_offset = None,
            }
        }
        match written {
            Ok(()) => {
                if let Some(progress) = final_progress(state) {
                    self.record_end(&service, KnownOrder { progress, ..known }, state);
                }
            }
            Err(error) => {
                let line = LogLine::event("rollout_not_written").with("service", &service);
                log::warn(line.with("error", error));
            }
        }
    }

    fn record_end(&self, service: &Arc<str>, known: KnownOrder, state: RolloutState) {
        let line = LogLine::event("rollout_ended").with("service", service);
        let line = line.with("destination", &known.order.destination);
        log::info(line.with("state", state.name()));
        self.orders.borrow_mut().update(service, known);
        self.apply_rules();
    }

    /// Reads the state that a previous controller may have written, and continues from it.
    async fn read_state(self: Rc<Self>, service: Arc<str>, known: KnownOrder) {
        let page = self.store.read_newest(Topic::Rollouts, None).await;
        let page = page.map(|newest| newest.page);
        let status = page.as_ref().ok().and_then(|page| {
            let of_service = |record| {
                let (named, status) = self.wire.decode_rollout_status(record)?;
                (named == service && status.order_at == known.at).then_some(status)
            };
            page.records.iter().find_map(of_service)
        });
        let mut all = self.controlled.borrow_mut();
        let Some(controlled) = all.get_mut(&service).filter(|c| c.at == known.at) else {
            return;
        };
        controlled.is_store_busy = false;
        match page {
            Ok(page) => {
                controlled.next_offset = Some(page.end);
                controlled.is_state_read = true;
            }
            Err(error) => return log_unread(&service, &error),
        }
        let Some(status) = status else {
            return;
        };
        let spent = ExposureSpent { requests: status.requests, exposed: status.exposed };
        controlled.written = Some((status.state, spent));
        if let Some(progress) = final_progress(status.state) {
            drop(all);
            self.record_end(&service, KnownOrder { progress, ..known }, status.state);
        } else if controlled.controller.phase() == Phase::Waiting {
            let left_ms = status.deadline_ms.saturating_sub(self.clock.now().wall_ms());
            let deadline_at = self.now() + Duration::from_millis(left_ms);
            let deadline_at = deadline_at.min(known.deadline_at);
            let RolloutSettings { share, slack } = self.settings.get();
            let budget = ExposureBudget { share, slack };
            controlled.controller =
                RolloutController::new(budget, deadline_at, known.order.duration, spent);
            drop(all);
            self.orders.borrow_mut().update(&service, KnownOrder { deadline_at, ..known });
        }
    }

    fn upstream_counts(&self, service: &str, destination: &Arc<str>) -> UpstreamCounts {
        let now = self.now();
        let directory = self.upstreams.directory();
        let mut counts = UpstreamCounts::default();
        for (_, upstream) in directory.of_service(service) {
            if !self.upstreams.accepts_work(upstream) || upstream.is_cold(now) {
                continue;
            }
            match upstream.record.version == *destination {
                true => counts.destination += 1,
                false => counts.others += 1,
            }
        }
        counts
    }

    /// Returns whether all live nodes have reported.
    fn is_complete(&self, controlled: &ControlledOrder) -> bool {
        self.peers.live_peers().iter().all(|peer| controlled.reports.contains(*peer))
    }

    fn is_drained(&self, now: Duration, controlled: &ControlledOrder) -> bool {
        let live = self.peers.live_peers();
        let counts = |address: &SocketAddr, report: &NodeReport| {
            live.contains(address) || now < report.received_at + SILENT_NODE_GRACE
        };
        let mut counted =
            controlled.reports.iter().filter(|(address, report)| counts(address, report));
        self.is_complete(controlled) && counted.all(|(_, report)| report.is_drained)
    }

    fn longest_request(&self, service: &str) -> Duration {
        let current = self.config.borrow().current();
        let routes = current.iter().flat_map(|current| &current.config.routes);
        let to_service =
            routes.filter(|route| route.traffic_split.iter().any(|s| &*s.service == service));
        to_service.map(|route| route.timeout).max().unwrap_or_default()
    }

    fn wall_ms_of(&self, at: Duration) -> u64 {
        let now = self.clock.now();
        now.wall_ms() + saturating_ms(at.saturating_sub(now.monotonic))
    }

    fn now(&self) -> Duration {
        self.clock.now().monotonic
    }
}

impl ControlledOrder {
    fn state(&self) -> RolloutState {
        match self.controller.phase() {
            Phase::Completed => RolloutState::Completed,
            Phase::RolledBack(_) => RolloutState::RolledBack,
            _ => RolloutState::Running,
        }
    }

    /// Returns whether the exposure has grown so much since the last record that it must be written
    /// for the next controller.
    fn has_progress(&self, spent: ExposureSpent) -> bool {
        self.written.is_none_or(|(_, written)| spent.exposed >= written.exposed.max(8) * 2)
    }
}

fn next_serial(known: &KnownOrder) -> u64 {
    match known.progress {
        RolloutProgress::Running { serial, .. } => serial + 1,
        _ => 1,
    }
}

fn final_progress(state: RolloutState) -> Option<RolloutProgress> {
    match state {
        RolloutState::Running => None,
        RolloutState::Completed => Some(RolloutProgress::Completed),
        RolloutState::RolledBack => Some(RolloutProgress::RolledBack),
    }
}

fn log_unread(service: &Arc<str>, error: &StoreError) {
    let line = LogLine::event("rollout_not_read").with("service", service);
    log::warn(line.with("error", error));
}

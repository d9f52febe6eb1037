//! The roll-outs of a node: what it sends to either version, what it tells the deciders, and the ones it decides.

use {
    super::{
        counts::Counts,
        decider::{Bounds, Decider, Engines, Phase, Seen, Spent},
        meter::Meter,
        orders::{Admits, Order, Orders, Standing, Word},
    },
    crate::{
        config::ConfigState,
        log,
        model::RolloutState,
        peers::Peers,
        position::Position,
        records::{rollout_counts, rollout_report, rollout_word, rollout_word_from},
        settings::RolloutSettings,
        upstreams::{Target, Upstreams},
        wire::{RolloutRecord, RolloutStatus, Store, StoreError, Topic, Wire},
    },
    fernring_core::{
        clock::{Clock, saturating_ms},
        text::LogLine,
    },
    fernring_protocol::gateway::{GatewayBody, RolloutReport, RolloutOrderMessage},
    std::{
        cell::{Cell, RefCell},
        collections::{BTreeMap, HashMap},
        net::SocketAddr,
        rc::Rc,
        sync::Arc,
        time::Duration,
    },
    tokio::{task::spawn_local, time::sleep},
};

/// Pause between two rounds, in which nodes report and deciders decide.
const ROUND: Duration = Duration::from_millis(200);
/// Time for which a node that has fallen silent still counts as having requests in hand: it may be cut off for a moment.
const SILENT_TIME: Duration = Duration::from_secs(5);
/// What the time of a call on pieces is told as, for one that takes as long as is usual.
const USUAL_CALL: Duration = Duration::from_millis(100);
/// Route that calls on pieces are counted under.
const CALLS: &str = "";

/// What this node counts of one order.
struct Own {
    at: Position,
    meter: Meter,
    counts: Counts,
}

/// The last report of a node.
struct Reported {
    counts: Counts,
    incarnation: u64,
    is_drained: bool,
    heard_at: Duration,
}

/// An order that this node decides.
struct Deciding {
    at: Position,
    decider: Decider,
    reports: HashMap<SocketAddr, Reported>,
    /// What nodes had counted that have started again since.
    before_restarts: Counts,
    /// Whether the state in the store was read.
    is_read: bool,
    /// Number that the next record of the state gets; `None` if that is to be read again.
    end: Option<u64>,
    /// What of the state is in the store.
    written: Option<(RolloutState, Spent)>,
    is_busy: bool,
}

/// The roll-outs of a node.
pub struct Rollouts {
    clock: Rc<dyn Clock>,
    wire: Rc<dyn Wire>,
    store: Rc<dyn Store>,
    config: Rc<RefCell<ConfigState>>,
    upstreams: Rc<Upstreams>,
    peers: Rc<Peers>,
    settings: Cell<RolloutSettings>,
    orders: RefCell<Orders>,
    own: RefCell<BTreeMap<Arc<str>, Own>>,
    deciding: RefCell<BTreeMap<Arc<str>, Deciding>>,
}

/// A send to a service that has an order, until its end.
pub struct Trial {
    rollouts: Rc<Rollouts>,
    service: Arc<str>,
    at: Position,
    route: Arc<str>,
    is_ordered: bool,
    /// Whether times say something: those of a cold upstream don't.
    is_timed: bool,
    began_at: Duration,
    judged: Cell<Judged>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Judged {
    Open,
    Whole,
    Failed,
}

impl std::fmt::Debug for Trial {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Trial").field("is_ordered", &self.is_ordered).finish_non_exhaustive()
    }
}

impl Trial {
    /// Takes in that the answer is good so far.
    pub fn whole(&self) {
        let took = self.rollouts.now().saturating_sub(self.began_at);
        self.judge(Judged::Whole, Some(took));
    }

    /// Takes in that a call on pieces ended well, after `took` where `usual` is expected.
    pub fn call_whole(&self, took: Duration, usual: Duration) {
        let factor = took.as_secs_f64() / usual.as_secs_f64().max(1e-3);
        self.judge(Judged::Whole, Some(USUAL_CALL.mul_f64(factor.min(1_000.0))));
    }

    /// Takes in that it failed.
    pub fn failed(&self) {
        self.judge(Judged::Failed, None);
    }

    fn judge(&self, judged: Judged, took: Option<Duration>) {
        if judged <= self.judged.get() {
            return;
        }
        self.judged.set(judged);
        if took.is_some() && !self.is_timed {
            return;
        }
        self.rollouts.with_own(&self.service, self.at, |own| {
            let answers = own.counts.routes.entry(self.route.clone()).or_default();
            let answers = if self.is_ordered { &mut answers.ordered } else { &mut answers.others };
            answers.add(took);
        });
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        if !self.is_ordered {
            self.rollouts.with_own(&self.service, self.at, |own| {
                own.counts.at_others = own.counts.at_others.saturating_sub(1);
            });
        }
    }
}

impl Rollouts {
    /// Creates the roll-outs of a node, none so far.
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
            own: RefCell::default(),
            deciding: RefCell::default(),
        }
    }

    /// Sets what an ordered version may get if it is bad; for the orders that begin from now on.
    pub fn set_settings(&self, settings: RolloutSettings) {
        self.settings.set(settings);
    }

    /// Returns how far the newest order of a service is, if it has one.
    pub fn standing(&self, service: &str) -> Option<Standing> {
        self.orders.borrow().word(service).map(|word| word.standing)
    }

    /// Takes in the operators' orders of a page of records. `is_whole` tells whether there are no others up to `end`.
    pub fn take_records(
        &self,
        records: Vec<(Position, RolloutRecord)>,
        is_whole: bool,
        end: Position,
    ) {
        let present: Vec<_> = records.iter().map(|(_, record)| record.service.clone()).collect();
        for (at, RolloutRecord { service, order }) in records {
            match order {
                Ok(Some(order)) => self.take_order(&service, order, at, is_whole),
                Ok(None) => self.withdraw(&service, at),
                Err(error) => {
                    let line = LogLine::event("rollout_refused").with("service", &service);
                    log::warn(line.with("record", at).with("error", error));
                }
            }
        }
        if is_whole {
            let withdrawn = self.orders.borrow_mut().retain(&present, end);
            withdrawn.iter().for_each(|service| self.log_withdrawn(service));
        }
        self.apply();
    }

    fn take_order(&self, service: &Arc<str>, order: Order, at: Position, is_whole: bool) {
        // One among all records may be long done.
        let standing = if is_whole { Standing::Unknown } else { Standing::ORDERED };
        let line = LogLine::event("rollout_ordered").with("service", service);
        let line = line.with("destination", &order.destination).with("record", at);
        let line = line.with("duration_ms", order.duration.as_millis());
        let deadline_at = self.now() + order.duration;
        let word = Word { order, at, deadline_at, standing };
        if self.orders.borrow_mut().learn(service, word) {
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

    /// Takes in what a peer says of orders.
    pub fn told(&self, words: &[RolloutOrderMessage]) {
        if words.is_empty() {
            return;
        }
        let now = self.now();
        for told in words {
            let (service, word) = rollout_word_from(now, told);
            let before = self.standing(&service);
            let (standing, at) = (word.standing, word.at);
            if self.orders.borrow_mut().learn(&service, word) {
                self.log_standing(&service, before, standing);
            }
            if told.is_withdrawn {
                self.withdraw(&service, at.next());
            }
        }
        self.apply();
    }

    fn log_standing(&self, service: &Arc<str>, before: Option<Standing>, standing: Standing) {
        let share = |standing| match standing {
            Standing::Running { share, .. } => share,
            Standing::Completed => 1.0,
            Standing::Unknown | Standing::RolledBack => 0.0,
        };
        if before.is_some_and(|before| share(before) == share(standing)) && !standing.is_final() {
            return;
        }
        let line = LogLine::event("rollout_taken").with("service", service);
        let line = line.with("share", share(standing)).with("is_final", standing.is_final());
        log::info(line);
    }

    /// Returns what is to be told to peers.
    pub fn words(&self) -> Vec<RolloutOrderMessage> {
        let now = self.now();
        let orders = self.orders.borrow();
        let word = |(service, word): (&Arc<str>, &Word)| {
            rollout_word(now, service, word, orders.is_withdrawn(service))
        };
        orders.words().map(word).collect()
    }

    /// Puts what is known in force.
    fn apply(&self) {
        let orders = self.orders.borrow();
        if orders.is_empty() {
            return;
        }
        let now = self.now();
        let rules = orders.words().filter_map(|(service, _)| {
            let rule = orders.rule(now, service)?;
            Some((service.clone(), rule))
        });
        self.upstreams.set_version_rules(rules.collect());
    }

    /// Tells whether a new request to a service goes to the ordered version, and counts it.
    pub fn takes_ordered(&self, service: &Arc<str>) -> bool {
        match self.upstreams.admits(service) {
            Some(Admits::Share(share)) => self.with_meter(service, |meter| meter.take(share)),
            _ => false,
        }
    }

    /// Tells whether a call on pieces may go to an upstream now.
    pub fn admits_call(&self, service: &Arc<str>, target: &Target) -> bool {
        match self.upstreams.admits(service) {
            Some(Admits::Share(_)) if self.is_ordered(service, target) => {
                self.with_meter(service, |meter| meter.has_turn())
            }
            _ => true,
        }
    }

    /// Counts a call on pieces.
    pub fn count_call(&self, service: &Arc<str>, target: &Target) {
        if let Some(Admits::Share(share)) = self.upstreams.admits(service) {
            let is_ordered = self.is_ordered(service, target);
            self.with_meter(service, |meter| {
                meter.count(share);
                is_ordered && meter.spend()
            });
        }
    }

    fn with_meter(&self, service: &Arc<str>, change: impl FnOnce(&mut Meter) -> bool) -> bool {
        let Some(at) = self.orders.borrow().word(service).map(|word| word.at) else {
            return false;
        };
        let mut answer = false;
        self.with_own(service, at, |own| answer = change(&mut own.meter));
        answer
    }

    fn is_ordered(&self, service: &str, target: &Target) -> bool {
        let orders = self.orders.borrow();
        orders.word(service).is_some_and(|word| word.order.destination == target.version)
    }

    /// Counts a send to a service, if it has an order under way. `is_first` tells whether the request was sent before.
    pub fn began(
        self: &Rc<Self>,
        service: &Arc<str>,
        target: &Target,
        route: &Arc<str>,
        is_first: bool,
    ) -> Option<Trial> {
        let orders = self.orders.borrow();
        let word = orders.word(service).filter(|word| !word.standing.is_final())?;
        let (at, is_ordered) = (word.at, word.order.destination == target.version);
        drop(orders);
        self.with_own(service, at, |own| {
            own.counts.requests += u64::from(is_first);
            own.counts.exposed += u64::from(is_ordered);
            own.counts.at_others += u64::from(!is_ordered);
        });
        Some(Trial {
            rollouts: self.clone(),
            service: service.clone(),
            at,
            route: route.clone(),
            is_ordered,
            is_timed: !self.upstreams.is_cold(target.key),
            began_at: self.now(),
            judged: Cell::new(Judged::Open),
        })
    }

    /// Counts a call on pieces like a request.
    pub fn began_call(self: &Rc<Self>, service: &Arc<str>, target: &Target) -> Option<Trial> {
        if self.orders.borrow().is_empty() {
            return None;
        }
        self.began(service, target, &CALLS.into(), true)
    }

    /// Changes what is counted of an order, unless that is over.
    fn with_own(&self, service: &Arc<str>, at: Position, change: impl FnOnce(&mut Own)) {
        let mut own = self.own.borrow_mut();
        let new = || Own { at, meter: Meter::new(rand::random()), counts: Counts::default() };
        let own = own.entry(service.clone()).or_insert_with(new);
        if own.at < at {
            *own = new();
        }
        if own.at == at {
            change(own);
        }
    }

    /// Reports and decides, for as long as the process runs.
    pub async fn run(self: Rc<Self>) {
        loop {
            sleep(ROUND).await;
            if !self.orders.borrow().is_empty() {
                self.round();
            }
        }
    }

    fn round(self: &Rc<Self>) {
        let open: Vec<_> = {
            let orders = self.orders.borrow();
            let open = orders.words().filter(|(_, word)| !word.standing.is_final());
            open.map(|(service, word)| (service.clone(), word.clone())).collect()
        };
        let is_open = |service: &Arc<str>, deciding: &mut Deciding| {
            open.iter().any(|(other, word)| other == service && word.at == deciding.at)
        };
        self.deciding.borrow_mut().retain(is_open);
        for (service, word) in &open {
            let decider = self.peers.owner(&format!("rollout {service}"));
            let report = self.report(service, word);
            if decider == self.peers.address() {
                self.reported(decider, report);
                self.decide(service, word);
            } else {
                self.deciding.borrow_mut().remove(service);
                self.peers.send(decider, GatewayBody::RolloutReport(report));
            }
        }
        self.apply();
    }

    fn report(&self, service: &Arc<str>, word: &Word) -> RolloutReport {
        let mut report = None;
        let serves_alone = matches!(word.standing, Standing::Running { share, .. } if share >= 1.0);
        // Requests from before the order aren't counted with it.
        let is_idle =
            serves_alone && !self.upstreams.has_work_at_others(service, &word.order.destination);
        self.with_own(service, word.at, |own| {
            let is_drained = is_idle && own.counts.at_others == 0;
            report = Some(rollout_report(service, word.at, &own.counts, is_drained));
        });
        let incarnation = self.peers.incarnation();
        RolloutReport { incarnation, ..report.unwrap_or_default() }
    }

    /// Takes in a node's report.
    pub fn reported(&self, sender: SocketAddr, report: RolloutReport) {
        let service: Arc<str> = report.service.as_str().into();
        let at = Position::new(report.era, report.offset);
        let word = self.orders.borrow().word(&service).cloned();
        let Some(word) = word.filter(|word| word.at == at) else {
            return;
        };
        let now = self.now();
        let mut deciding = self.deciding.borrow_mut();
        let new = || self.start_deciding(&word);
        let deciding = deciding.entry(service).or_insert_with(new);
        if deciding.at != at {
            *deciding = new();
        }
        let (incarnation, is_drained) = (report.incarnation, report.is_drained);
        let counts = rollout_counts(report);
        let reported = Reported { counts, incarnation, is_drained, heard_at: now };
        if let Some(before) = deciding.reports.insert(sender, reported)
            && before.incarnation != incarnation
        {
            deciding.before_restarts += &Counts { at_others: 0, ..before.counts };
        }
    }

    fn start_deciding(&self, word: &Word) -> Deciding {
        let RolloutSettings { share, slack } = self.settings.get();
        let bounds = Bounds { share, slack };
        let duration = word.order.duration;
        Deciding {
            at: word.at,
            decider: Decider::new(bounds, word.deadline_at, duration, Spent::default()),
            reports: HashMap::new(),
            before_restarts: Counts::default(),
            is_read: false,
            end: None,
            written: None,
            is_busy: false,
        }
    }

    fn decide(self: &Rc<Self>, service: &Arc<str>, word: &Word) {
        let now = self.now();
        let mut all = self.deciding.borrow_mut();
        let Some(deciding) = all.get_mut(service) else {
            return;
        };
        if deciding.end.is_none() && !deciding.is_busy {
            deciding.is_busy = true;
            spawn_local(self.clone().read_state(service.clone(), word.clone()));
        }
        if !deciding.is_read {
            // A decider of before may have written how far it is.
            return;
        }
        let counts = deciding.sum();
        let seen = Seen {
            counts: &counts,
            engines: self.engines(service, &word.order.destination),
            is_complete: self.is_complete(deciding),
            is_drained: self.is_drained(now, deciding),
            longest_request: self.longest_request(service),
            is_withdrawn: self.orders.borrow().is_withdrawn(service),
        };
        let before = deciding.decider.phase();
        let share = deciding.decider.step(now, seen);
        let phase = deciding.decider.phase();
        let spent = deciding.decider.spent(&counts);
        if phase != before {
            let line = LogLine::event("rollout_step").with("service", service);
            let line = line.with("destination", &word.order.destination);
            let line = line.with("phase", phase.name()).with("share", share);
            let line = line.with("requests", spent.requests).with("exposed", spent.exposed);
            let reason = match phase {
                Phase::RolledBack(reason) => Some(reason.name()),
                _ => None,
            };
            log::info(line.with_some("reason", reason));
        }
        let is_over = matches!(phase, Phase::Completed | Phase::RolledBack(_));
        if !deciding.is_busy && (is_over || deciding.has_progress(spent)) {
            self.write_state(service, word, deciding, spent);
        }
        drop(all);
        // An end is one when the store holds it: another decider may have written the other.
        let standing = Standing::Running { share, serial: next_serial(word), said_at: now };
        self.orders.borrow_mut().learn(service, Word { standing, ..word.clone() });
    }

    fn write_state(
        self: &Rc<Self>,
        service: &Arc<str>,
        word: &Word,
        deciding: &mut Deciding,
        spent: Spent,
    ) {
        let state = deciding.state();
        let Some(end) = deciding.end else {
            return;
        };
        deciding.is_busy = true;
        let status = RolloutStatus {
            state,
            destination: word.order.destination.clone(),
            order_at: word.at,
            deadline_ms: self.wall_ms_of(word.deadline_at),
            requests: spent.requests,
            exposed: spent.exposed,
        };
        spawn_local(self.clone().write(service.clone(), word.clone(), status, spent, end));
    }

    async fn write(
        self: Rc<Self>,
        service: Arc<str>,
        word: Word,
        status: RolloutStatus,
        spent: Spent,
        end: u64,
    ) {
        let (key, value) = self.wire.encode_rollout_status(&service, &status);
        let written = self.store.write_if(Topic::Rollouts, &key, &value, end).await;
        let state = status.state;
        {
            let mut all = self.deciding.borrow_mut();
            let Some(deciding) = all.get_mut(&service).filter(|d| d.at == word.at) else {
                return;
            };
            deciding.is_busy = false;
            match &written {
                Ok(()) => {
                    deciding.end = Some(end + 1);
                    deciding.written = Some((state, spent));
                }
                // It is read again before anything else is written: another decider may have ended it, and a write without an
                // answer may have taken effect.
                Err(_) => deciding.end = None,
            }
        }
        match written {
            Ok(()) => {
                if let Some(standing) = final_standing(state) {
                    self.ended(&service, Word { standing, ..word }, state);
                }
            }
            Err(error) => {
                let line = LogLine::event("rollout_not_written").with("service", &service);
                log::warn(line.with("error", error));
            }
        }
    }

    fn ended(&self, service: &Arc<str>, word: Word, state: RolloutState) {
        let line = LogLine::event("rollout_ended").with("service", service);
        let line = line.with("destination", &word.order.destination);
        log::info(line.with("state", state.name()));
        self.orders.borrow_mut().learn(service, word);
        self.apply();
    }

    /// Reads how far a decider of before came.
    async fn read_state(self: Rc<Self>, service: Arc<str>, word: Word) {
        let page = self.store.read_newest(Topic::Rollouts, None).await;
        let page = page.map(|newest| newest.page);
        let status = page.as_ref().ok().and_then(|page| {
            let of_service = |record| {
                let (named, status) = self.wire.decode_rollout_status(record)?;
                (named == service && status.order_at == word.at).then_some(status)
            };
            page.records.iter().find_map(of_service)
        });
        let mut all = self.deciding.borrow_mut();
        let Some(deciding) = all.get_mut(&service).filter(|d| d.at == word.at) else {
            return;
        };
        deciding.is_busy = false;
        match page {
            Ok(page) => {
                deciding.end = Some(page.end);
                deciding.is_read = true;
            }
            Err(error) => return log_unread(&service, &error),
        }
        let Some(status) = status else {
            return;
        };
        let spent = Spent { requests: status.requests, exposed: status.exposed };
        deciding.written = Some((status.state, spent));
        if let Some(standing) = final_standing(status.state) {
            drop(all);
            self.ended(&service, Word { standing, ..word }, status.state);
        } else if deciding.decider.phase() == Phase::Waiting {
            let left_ms = status.deadline_ms.saturating_sub(self.clock.now().wall_ms());
            let deadline_at = self.now() + Duration::from_millis(left_ms);
            let deadline_at = deadline_at.min(word.deadline_at);
            let RolloutSettings { share, slack } = self.settings.get();
            let bounds = Bounds { share, slack };
            deciding.decider = Decider::new(bounds, deadline_at, word.order.duration, spent);
            drop(all);
            self.orders.borrow_mut().learn(&service, Word { deadline_at, ..word });
        }
    }

    fn engines(&self, service: &str, destination: &Arc<str>) -> Engines {
        let now = self.now();
        let directory = self.upstreams.directory();
        let mut engines = Engines::default();
        for (_, upstream) in directory.of_service(service) {
            if !upstream.takes_work() || upstream.is_cold(now) {
                continue;
            }
            match upstream.record.version == *destination {
                true => engines.ordered += 1,
                false => engines.others += 1,
            }
        }
        engines
    }

    /// Tells whether all live nodes have reported.
    fn is_complete(&self, deciding: &Deciding) -> bool {
        self.peers.live().iter().all(|peer| deciding.reports.contains_key(peer))
    }

    fn is_drained(&self, now: Duration, deciding: &Deciding) -> bool {
        let live = self.peers.live();
        let counts = |address: &SocketAddr, reported: &Reported| {
            live.contains(address) || now < reported.heard_at + SILENT_TIME
        };
        let mut counted =
            deciding.reports.iter().filter(|(address, reported)| counts(address, reported));
        self.is_complete(deciding) && counted.all(|(_, reported)| reported.is_drained)
    }

    fn longest_request(&self, service: &str) -> Duration {
        let held = self.config.borrow().current();
        let routes = held.iter().flat_map(|held| &held.config.routes);
        let to_service = routes.filter(|route| route.traffic_split.iter().any(|s| &*s.service == service));
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

impl Deciding {
    fn sum(&self) -> Counts {
        let mut sum = self.before_restarts.clone();
        self.reports.values().for_each(|reported| sum += &reported.counts);
        sum
    }

    fn state(&self) -> RolloutState {
        match self.decider.phase() {
            Phase::Completed => RolloutState::Completed,
            Phase::RolledBack(_) => RolloutState::RolledBack,
            _ => RolloutState::Running,
        }
    }

    /// Tells whether so much was spent since the last record that another decider has to know.
    fn has_progress(&self, spent: Spent) -> bool {
        self.written.is_none_or(|(_, written)| spent.exposed >= written.exposed.max(8) * 2)
    }
}

fn next_serial(word: &Word) -> u64 {
    match word.standing {
        Standing::Running { serial, .. } => serial + 1,
        _ => 1,
    }
}

fn final_standing(state: RolloutState) -> Option<Standing> {
    match state {
        RolloutState::Running => None,
        RolloutState::Completed => Some(Standing::Completed),
        RolloutState::RolledBack => Some(Standing::RolledBack),
    }
}

fn log_unread(service: &Arc<str>, error: &StoreError) {
    let line = LogLine::event("rollout_not_read").with("service", service);
    log::warn(line.with("error", error));
}

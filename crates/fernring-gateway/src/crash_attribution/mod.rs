//! Attributes crashes of upstreams to the requests that were in flight there.
//!
//! Collects the signs of a crash, probes addresses, exchanges crash reports with the other nodes,
//! and keeps quarantined requests in the store. [`crate::crash_detection`] decides whether
//! an upstream has crashed, [`crate::quarantine`] which requests are quarantined for it.

mod parts;
mod persistence;

use {
    crate::{
        attempts::NotRun,
        connector::{Connect, dial::ConnectFailure},
        crash_detection::{Crash, CrashDetector, Disconnect, Incarnation, ProbeResult},
        directory::Effect,
        fingerprint::{Fingerprint, PartKey, RequestTraits},
        log,
        model::UpstreamKey,
        part_quarantine::{PartClearance, PartCrashRecord, PartQuarantine},
        peers::Peers,
        quarantine::{
            ATTRIBUTION_LIFETIME, ClearanceRecord, CrashRecord, Quarantine, QuarantineChange,
        },
        refusal::Refusal,
        settings::DecideSettings,
        telemetry,
        upstreams::{Target, Upstreams},
        wire::Store,
    },
    bytes::Bytes,
    fernring_core::{clock::Clock, text::LogLine},
    fernring_protocol::gateway::{
        ClearanceReport, CrashReport, CrashReports, GatewayBody, PartClearanceReport,
    },
    std::{
        cell::{Cell, RefCell},
        collections::{BTreeMap, HashMap},
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
    tokio::{
        sync::Notify,
        task::spawn_local,
        time::{sleep, timeout},
    },
};

/// Pauses before the probes of an address: a process that exits closes its connections before or
/// after its listening socket.
const PROBE_PAUSES: [Duration; 2] = [Duration::from_millis(20), Duration::from_millis(280)];
/// Longest wait until it is known whether an upstream has crashed: the first probe, and one round
/// trip between regions.
const VERDICT_TIMEOUT: Duration = Duration::from_millis(100);
/// Pause between two checks whether a quarantine is still ambiguous.
const AMBIGUITY_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// How long reports are collected before they are sent to all peers. With a failure domain hundreds
/// of upstreams crash at once, and each node reports all that it had in flight there in one
/// message.
const BATCH_DELAY: Duration = Duration::from_millis(20);
/// Interval at which the most important reports are sent again to one random peer, so that reports
/// lost in transit arrive within seconds.
const GOSSIP_INTERVAL: Duration = Duration::from_secs(1);
/// Suspects in a repeated report: 10 KB at most, a third of what a node may spend on control
/// messages.
const GOSSIP_SUSPECTS_MAX: usize = 96;
/// Suspects in the report to a peer that has just joined: 50 KB at most, once.
const JOIN_SYNC_SUSPECTS_MAX: usize = 512;

/// Requests in flight at one upstream.
struct InFlight {
    target: Target,
    /// How many sends of each request are in flight.
    requests: BTreeMap<RequestTraits, usize>,
}

/// What a node tells its peers.
enum Observation {
    Crash {
        incarnation: Incarnation,
        at: Duration,
        fingerprints: Vec<Fingerprint>,
        /// The requests whose prompts have shared parts.
        requests: Vec<RequestTraits>,
    },
    Clearance(ClearanceRecord),
    PartClearance(PartClearance),
}

/// Counts a request as in flight at an upstream until the guard is dropped.
#[derive(Debug)]
pub struct InFlightGuard {
    crash_attribution: Rc<CrashAttribution>,
    key: UpstreamKey,
    request: RequestTraits,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.crash_attribution.release(self.key, &self.request);
    }
}

/// Upstreams that crashed, and the requests that were in flight there.
pub struct CrashAttribution {
    started_at: Duration,
    clock: Rc<dyn Clock>,
    store: Rc<dyn Store>,
    upstreams: Rc<Upstreams>,
    peers: Rc<Peers>,
    decide_settings: Rc<Cell<DecideSettings>>,
    in_flight: RefCell<HashMap<UpstreamKey, InFlight>>,
    crash_detector: RefCell<CrashDetector>,
    quarantine: RefCell<Quarantine>,
    part_quarantine: RefCell<PartQuarantine>,
    /// Reports that wait for [`BATCH_DELAY`] before they go to all peers.
    pending_reports: RefCell<Vec<Observation>>,
    /// Notified when a probe has finished.
    probe_finished: Notify,
    /// Notified when another request or part is quarantined.
    quarantine_changed: Notify,
    persisted: RefCell<persistence::PersistedKeys>,
}

impl std::fmt::Debug for CrashAttribution {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Blame").field("suspects", &self.quarantine).finish_non_exhaustive()
    }
}

impl CrashAttribution {
    /// Creates the state of a node that knows of no crash.
    pub fn new(
        clock: Rc<dyn Clock>,
        store: Rc<dyn Store>,
        upstreams: Rc<Upstreams>,
        peers: Rc<Peers>,
        decide_settings: Rc<Cell<DecideSettings>>,
    ) -> Self {
        Self {
            started_at: clock.now().monotonic,
            clock,
            store,
            upstreams,
            peers,
            decide_settings,
            in_flight: RefCell::default(),
            crash_detector: RefCell::default(),
            quarantine: RefCell::default(),
            part_quarantine: RefCell::default(),
            pending_reports: RefCell::default(),
            probe_finished: Notify::new(),
            quarantine_changed: Notify::new(),
            persisted: RefCell::default(),
        }
    }

    /// Returns whether a request is quarantined, as a whole or for a part of its prompt. Checked
    /// right before each send.
    pub fn is_quarantined(&self, request: &RequestTraits) -> bool {
        self.is_whole_quarantined(request.fingerprint)
            || self.decide_settings.get().turn_away
                && self.part_quarantine.borrow().culprit(&request.parts).is_some()
    }

    /// Returns whether a request is quarantined as a whole.
    pub fn is_whole_quarantined(&self, fingerprint: Fingerprint) -> bool {
        self.decide_settings.get().turn_away
            && self.quarantine.borrow().is_quarantined(fingerprint)
            && !self.may_be_explained(fingerprint)
    }

    /// Returns whether an upstream has crashed under a request since its last complete answer.
    pub fn is_suspect(&self, fingerprint: Fingerprint) -> bool {
        self.quarantine.borrow().is_suspect(fingerprint)
    }

    /// Returns whether any request is quarantined as a whole.
    pub fn has_quarantined(&self) -> bool {
        let quarantine = self.quarantine.borrow();
        self.decide_settings.get().turn_away && quarantine.quarantined().next().is_some()
    }

    /// Waits until a request is quarantined.
    pub async fn wait_until_quarantined(&self, request: &RequestTraits) {
        loop {
            let changed = self.quarantine_changed.notified();
            if self.is_quarantined(request) {
                return;
            }
            changed.await;
        }
    }

    /// Waits while the quarantine of a request is ambiguous: an answer that is in progress on
    /// another node may clear it.
    pub async fn wait_until_settled(&self, fingerprint: Fingerprint) {
        while self.is_whole_quarantined(fingerprint)
            && self.quarantine.borrow().is_ambiguous(self.now(), fingerprint)
        {
            sleep(AMBIGUITY_POLL_INTERVAL).await;
        }
    }

    /// Returns the final answer for a quarantined request that has not run.
    pub fn refusal(&self, not_run: NotRun, request: &RequestTraits) -> Refusal {
        Refusal::quarantined(not_run, self.quarantine_reason(request))
    }

    /// Returns the reason for a quarantine: the incarnations that crashed while the request, or
    /// others with a part of its prompt, were in flight there.
    pub fn quarantine_reason(&self, request: &RequestTraits) -> String {
        let part_quarantine = self.part_quarantine.borrow();
        match part_quarantine.culprit(&request.parts) {
            Some(part) => {
                let crashes = part_quarantine.crashes_of(part).iter();
                let ended: Vec<_> = crashes.map(|crash| crash.incarnation.clone()).collect();
                format!("upstreams ended under part {part}: {}", join_names(&ended))
            }
            None => {
                let ended = self.quarantine.borrow().crashes_of(request.fingerprint);
                format!("upstreams ended under it: {}", join_names(&ended))
            }
        }
    }

    /// Counts a request as in flight at an upstream until the returned guard is dropped.
    pub fn track_in_flight(
        self: &Rc<Self>,
        target: &Target,
        request: &RequestTraits,
    ) -> InFlightGuard {
        let mut in_flight = self.in_flight.borrow_mut();
        let entry = in_flight
            .entry(target.key)
            .or_insert_with(|| InFlight { target: target.clone(), requests: BTreeMap::new() });
        *entry.requests.entry(request.clone()).or_default() += 1;
        InFlightGuard { crash_attribution: self.clone(), key: target.key, request: request.clone() }
    }

    fn release(&self, key: UpstreamKey, request: &RequestTraits) {
        let mut in_flight = self.in_flight.borrow_mut();
        let Some(entry) = in_flight.get_mut(&key) else {
            return;
        };
        if let Some(count) = entry.requests.get_mut(request) {
            *count -= 1;
            if *count == 0 {
                entry.requests.remove(request);
            }
        }
        if entry.requests.is_empty() {
            in_flight.remove(&key);
        }
    }

    /// Records that a send broke off. If the upstream has crashed, the crash is attributed to
    /// `request`. A call with pieces of several requests attributes it to none of them: each of
    /// these requests is tested by itself in the calls that follow.
    pub fn record_broken_send(
        self: &Rc<Self>,
        target: &Target,
        disconnect: Disconnect,
        request: Option<&RequestTraits>,
    ) {
        if self.upstreams.is_leaving(target) {
            return;
        }
        let (now, incarnation) = (self.now(), target.incarnation());
        let crash = self.crash_detector.borrow_mut().record_disconnect(
            now,
            endpoint(target),
            &incarnation,
            disconnect,
            request,
        );
        self.report_crash(crash);
        self.probe_if_due(target);
    }

    /// Waits until it is known whether an upstream at which a send broke off has crashed. Returns
    /// `false` if that isn't known within `VERDICT_TIMEOUT`.
    pub async fn has_upstream_crashed(&self, key: UpstreamKey) -> bool {
        let verdict = async {
            loop {
                let probe_finished = self.probe_finished.notified();
                if let Some(verdict) = self.crash_detector.borrow().has_crashed(key) {
                    return verdict;
                }
                probe_finished.await;
            }
        };
        timeout(VERDICT_TIMEOUT, verdict).await.unwrap_or(false)
    }

    /// Records that a request got a complete answer.
    pub fn record_answer(self: &Rc<Self>, fingerprint: Fingerprint) {
        let now = self.now();
        if !self.quarantine.borrow_mut().record_answer(fingerprint, now) {
            return;
        }
        log::info(LogLine::event("suspect_cleared").with("content", fingerprint));
        self.publish(Observation::Clearance(ClearanceRecord { fingerprint, at: now }));
    }

    /// Handles upstreams that appeared, restarted, began to drain or are gone.
    pub fn handle_upstream_changes(self: &Rc<Self>, effects: &[Effect]) {
        let now = self.now();
        for effect in effects {
            match effect {
                Effect::Draining(key) => self.crash_detector.borrow_mut().record_leaving(now, *key),
                Effect::Gone(key) => self.handle_gone(*key),
                Effect::Appeared(key) => self.handle_appeared(*key),
                Effect::Restarted { old, .. } => {
                    let crash = self.crash_detector.borrow_mut().record_restart(now, *old);
                    self.report_crash(crash);
                }
                _ => {}
            }
        }
    }

    fn handle_appeared(self: &Rc<Self>, key: UpstreamKey) {
        let Some(target) = self.upstreams.target(key) else {
            return;
        };
        let crash =
            self.crash_detector.borrow_mut().record_new_upstream(self.now(), key, target.address);
        crash.into_iter().for_each(|crash| self.report_crash(Some(crash)));
    }

    /// Records that another instance than the expected one responds at an upstream's address.
    pub fn handle_replaced(self: &Rc<Self>, key: UpstreamKey) {
        let crash = self.crash_detector.borrow_mut().record_restart(self.now(), key);
        self.report_crash(crash);
    }

    /// Handles the removal of an upstream's record: the requests in flight there may be lost, or
    /// the upstream may still finish them.
    fn handle_gone(self: &Rc<Self>, key: UpstreamKey) {
        let now = self.now();
        let entry = self.in_flight.borrow().get(&key).map(|entry| {
            (entry.target.clone(), entry.requests.keys().cloned().collect::<Vec<_>>())
        });
        let entry = entry.filter(|(target, _)| !self.upstreams.is_leaving(target));
        let mut crash_detector = self.crash_detector.borrow_mut();
        if let Some((target, requests)) = &entry {
            for request in requests {
                crash_detector.record_disconnect(
                    now,
                    endpoint(target),
                    &target.incarnation(),
                    Disconnect::Silent,
                    Some(request),
                );
            }
        }
        let crash = crash_detector.record_removal(now, key);
        drop(crash_detector);
        self.report_crash(crash);
        if let Some((target, _)) = entry {
            self.probe_if_due(&target);
        }
    }

    /// Starts a probe of the address where a send broke off, if the cause is still unknown.
    fn probe_if_due(self: &Rc<Self>, target: &Target) {
        if self.crash_detector.borrow_mut().start_probe(self.now(), target.key) {
            spawn_local(self.clone().probe(target.clone()));
        }
    }

    async fn probe(self: Rc<Self>, target: Target) {
        for pause in PROBE_PAUSES {
            sleep(pause).await;
            let Some(result) = self.probe_address(target.address).await else {
                continue;
            };
            let line = LogLine::event("upstream_probed").with("upstream", target.incarnation());
            log::info(line.with("address", target.address).with("found", result.name()));
            let crash = self.crash_detector.borrow_mut().record_probe(target.key, result);
            self.report_crash(crash);
            self.probe_finished.notify_waiters();
            if result != ProbeResult::Accepted {
                return;
            }
        }
    }

    /// Probes whether an address accepts connections; `None` if this node has no path to it.
    async fn probe_address(&self, address: SocketAddr) -> Option<ProbeResult> {
        match self.upstreams.connector().connect(address).await {
            Ok(_) | Err(ConnectFailure::Reset) => Some(ProbeResult::Accepted),
            Err(ConnectFailure::Refused) => Some(ProbeResult::Refused),
            Err(ConnectFailure::TimedOut | ConnectFailure::Failed(_)) => Some(ProbeResult::Silent),
            Err(ConnectFailure::NoPath) => None,
        }
    }

    fn report_crash(self: &Rc<Self>, crash: Option<Crash>) {
        let Some(Crash { incarnation, requests }) = crash else {
            return;
        };
        for request in &requests {
            let line = LogLine::event("upstream_ended").with("upstream", &incarnation);
            let line = line.with("content", request.fingerprint);
            log::warn(line.with_some("parts", join_parts(&request.parts)));
        }
        telemetry::record_upstream_crash();
        let at = self.now();
        let fingerprints = requests.iter().map(|request| request.fingerprint).collect();
        let record = CrashRecord { incarnation: incarnation.clone(), at, fingerprints };
        self.attribute(&record);
        let requests = self.suspects_of(&requests, at);
        let part_record = PartCrashRecord { incarnation, at, requests };
        self.attribute_to_parts(&part_record);
        let CrashRecord { incarnation, fingerprints, .. } = record;
        let requests = part_record.requests;
        self.publish(Observation::Crash { incarnation, at, fingerprints, requests });
    }

    /// Reports what this node has observed to all peers, after [`BATCH_DELAY`].
    fn publish(self: &Rc<Self>, observation: Observation) {
        let mut pending_reports = self.pending_reports.borrow_mut();
        pending_reports.push(observation);
        if pending_reports.len() > 1 {
            return;
        }
        let crash_attribution = self.clone();
        spawn_local(async move {
            sleep(BATCH_DELAY).await;
            let observations = std::mem::take(&mut *crash_attribution.pending_reports.borrow_mut());
            let reports = crash_attribution.encode_reports(&observations);
            crash_attribution.peers.send_to_live_peers(GatewayBody::Crashes(reports));
        });
    }

    fn attribute(&self, record: &CrashRecord) -> bool {
        let mut quarantine = self.quarantine.borrow_mut();
        let QuarantineChange { is_new, newly_quarantined } = quarantine.record_crash(
            self.now(),
            &record.incarnation,
            record.at,
            &record.fingerprints,
        );
        for fingerprint in &newly_quarantined {
            let line = LogLine::event("request_turned_away").with("content", fingerprint);
            log::warn(line.with("ended", join_names(&quarantine.crashes_of(*fingerprint))));
        }
        drop(quarantine);
        if !newly_quarantined.is_empty() {
            self.quarantine_changed.notify_waiters();
        }
        is_new
    }

    /// Handles a peer's reports of crashes and answers, and forwards those that are new to the
    /// followers of this node. A peer that attributes crashes to a request that got a complete
    /// answer here gets that answer reported back.
    pub fn handle_reports(self: &Rc<Self>, sender: SocketAddr, received: CrashReports) {
        let now = self.now();
        let at = |age_ms: u32| now.saturating_sub(Duration::from_millis(age_ms.into()));
        let fingerprint_of = |bytes: &Bytes| Fingerprint::from_bytes(bytes);
        let mut new_reports = CrashReports::default();
        let mut covering_answers = Vec::new();
        for report in received.cleared {
            let clearance = fingerprint_of(&report.fingerprint)
                .map(|c| ClearanceRecord { fingerprint: c, at: at(report.age_ms) });
            if clearance.is_some_and(|clearance| {
                self.quarantine.borrow_mut().record_clearance(now, clearance)
            }) {
                new_reports.cleared.push(report);
            }
        }
        new_reports.cleared_parts =
            self.handle_part_clearances(received.cleared_parts, received.is_reply);
        for report in received.crashes {
            let incarnation = Incarnation {
                instance: report.instance.as_str().into(),
                started_ms: report.started_ms,
            };
            let fingerprints: Vec<_> =
                report.fingerprints.iter().filter_map(fingerprint_of).collect();
            let crashed_at = at(report.age_ms);
            let part_record = parts::decode_crash(&report, &incarnation, crashed_at);
            let quarantine = self.quarantine.borrow();
            let answers = fingerprints
                .iter()
                .filter_map(|fingerprint| quarantine.covering_answer(*fingerprint, crashed_at));
            covering_answers.extend(answers.map(Observation::Clearance));
            drop(quarantine);
            let part_answers = self.covering_part_answers(&part_record);
            covering_answers.extend(part_answers.into_iter().map(Observation::PartClearance));
            let is_new_for_parts = self.attribute_to_parts(&part_record);
            let record = CrashRecord { incarnation, at: crashed_at, fingerprints };
            if self.attribute(&record) || is_new_for_parts {
                new_reports.crashes.push(report);
            }
        }
        if !covering_answers.is_empty() {
            let reply = CrashReports { is_reply: true, ..self.encode_reports(&covering_answers) };
            self.peers.send(sender, GatewayBody::Crashes(reply));
        }
        if new_reports != CrashReports::default() {
            self.peers.send_to_followers(GatewayBody::Crashes(new_reports));
        }
    }

    /// Sends the most important reports to a peer that has just joined.
    pub fn handle_peer_joined(&self, peer: SocketAddr) {
        self.send_known(peer, JOIN_SYNC_SUSPECTS_MAX);
    }

    fn send_known(&self, peer: SocketAddr, limit: usize) {
        let (crashes, cleared) = self.quarantine.borrow().records(limit);
        let crashes = crashes.into_iter().map(|record| {
            let CrashRecord { incarnation, at, fingerprints } = record;
            Observation::Crash { incarnation, at, fingerprints, requests: Vec::new() }
        });
        let part_crashes = self.part_quarantine.borrow().records(limit);
        let part_crashes = part_crashes.into_iter().map(|record| {
            let PartCrashRecord { incarnation, at, requests } = record;
            Observation::Crash { incarnation, at, fingerprints: Vec::new(), requests }
        });
        let cleared = cleared.into_iter().map(Observation::Clearance);
        let observations: Vec<_> = crashes.chain(part_crashes).chain(cleared).collect();
        if !observations.is_empty() {
            let reports = self.encode_reports(&observations);
            self.peers.send(peer, GatewayBody::Crashes(reports));
        }
    }

    /// Repeats the most important reports to random peers and expires old entries, for as long as
    /// the process runs.
    pub async fn run(self: Rc<Self>) {
        loop {
            sleep(GOSSIP_INTERVAL).await;
            self.crash_detector.borrow_mut().expire(self.now());
            for fingerprint in self.quarantine.borrow_mut().expire(self.now()) {
                log::info(LogLine::event("suspect_forgotten").with("content", fingerprint));
            }
            for part in self.part_quarantine.borrow_mut().expire(self.now()) {
                log::info(LogLine::event("part_forgotten").with("part", part));
            }
            if let Some(peer) = self.peers.random_peer() {
                self.send_known(peer, GOSSIP_SUSPECTS_MAX);
            }
            self.persist().await;
        }
    }

    fn encode_reports(&self, observations: &[Observation]) -> CrashReports {
        let now = self.now();
        let age_ms = |at: &Duration| now.saturating_sub(*at).as_millis() as u32;
        let bytes = |fingerprint: &Fingerprint| Bytes::copy_from_slice(fingerprint.bytes());
        let mut reports = CrashReports::default();
        for observation in observations {
            match observation {
                Observation::Crash { incarnation, at, fingerprints, requests } => {
                    reports.crashes.push(CrashReport {
                        instance: incarnation.instance.to_string(),
                        started_ms: incarnation.started_ms,
                        age_ms: age_ms(at),
                        fingerprints: fingerprints.iter().map(bytes).collect(),
                        requests: parts::encode_requests(requests),
                    });
                }
                Observation::Clearance(ClearanceRecord { fingerprint, at }) => {
                    let report =
                        ClearanceReport { fingerprint: bytes(fingerprint), age_ms: age_ms(at) };
                    reports.cleared.push(report);
                }
                Observation::PartClearance(PartClearance { part, at }) => {
                    reports.cleared_parts.push(PartClearanceReport {
                        service: part.service.to_string(),
                        part: part.id,
                        age_ms: age_ms(at),
                    });
                }
            }
        }
        reports
    }

    /// Returns the number of quarantined requests and parts of prompts.
    pub fn quarantined_count(&self) -> usize {
        let parts = self.part_quarantine.borrow().quarantined().count();
        self.quarantine.borrow().quarantined().count() + parts
    }

    /// Returns the time on a clock that started long before the process, so that older events have
    /// an age.
    fn now(&self) -> Duration {
        ATTRIBUTION_LIFETIME * 2 + self.clock.now().monotonic
    }
}

fn endpoint(target: &Target) -> (UpstreamKey, SocketAddr) {
    (target.key, target.address)
}

fn join_names(incarnations: &[Incarnation]) -> String {
    let names: Vec<_> = incarnations.iter().map(Incarnation::to_string).collect();
    names.join(",")
}

fn join_parts(parts: &[PartKey]) -> Option<String> {
    let names: Vec<_> = parts.iter().map(PartKey::to_string).collect();
    (!names.is_empty()).then(|| names.join(","))
}

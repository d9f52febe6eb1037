//! Records what callers and upstreams observed and checks it against the gateway's guarantees.

use {
    crate::upstreams::{FEED_SERVICE, ROLLOUT_SERVICE},
    std::{
        collections::{BTreeMap, HashMap},
        ops::Range,
        sync::{Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
};

/// Time after an upstream is listed as leaving in which requests may still reach it: the 2 s that
/// the gateway guarantees, plus 0.5 s for a busy machine.
const LEAVING_GRACE: Duration = Duration::from_millis(2_500);

/// Time within which every undisturbed node must know of the third crash caused by a request.
const CRASH_KNOWN_WITHIN: Duration = Duration::from_secs(3);
/// Crashes that undisturbed nodes may still cause after that time.
const LATE_CRASHES_MAX: usize = 3;

/// Time after the first request to an upstream that announces a limit until all nodes must know it.
const LIMIT_KNOWN_WITHIN: Duration = Duration::from_millis(1_500);
/// Length of the sliding window in which requests to such an upstream are counted.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// Requests allowed in a window: the limit times this factor, plus a fixed number.
const LIMIT_OVERAGE: f64 = 1.5;
const LIMIT_SLACK: f64 = 5.0;

/// Time after a rejection in which requests that were on their way may still arrive.
const PAUSE_KNOWN_WITHIN: Duration = Duration::from_millis(500);

/// Requests that a bad version may get until its deadline: a share of the requests to its service,
/// plus a fixed number.
const EXPOSURE_SHARE: f64 = 0.1;
const EXPOSURE_SLACK: f64 = 50.0;
/// Time after a roll-back in which the version may still get requests, for example from nodes that
/// were paused.
const ROLLBACK_GRACE: Duration = Duration::from_secs(5);

/// Longest time for which an upstream may work on a stream that goes on at another one.
const CONCURRENT_RUNS_MAX: Duration = Duration::from_millis(400);

/// Kind of a request: how often it may run and how its answer is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) enum RequestKind {
    /// May run any number of times.
    Safe,
    /// Runs at most once.
    Once,
    /// A stream that runs at most once.
    Stream,
    /// A stream that can be resumed on another upstream.
    Resume,
    /// A resumable stream after two stages.
    Staged,
    /// A resumable stream of a service whose versions change.
    Feed,
}

impl RequestKind {
    /// The kinds that the load is drawn from.
    pub(crate) const ALL: [Self; 5] =
        [Self::Safe, Self::Once, Self::Stream, Self::Resume, Self::Staged];

    /// Returns the name of the kind, which is also the first segment of its path.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Safe => "safe",
            Self::Once => "once",
            Self::Stream => "stream",
            Self::Resume => "resume",
            Self::Staged => "staged",
            Self::Feed => FEED_SERVICE,
        }
    }

    /// Returns whether a request of this kind may run at most once.
    pub(crate) fn runs_once(self) -> bool {
        matches!(self, Self::Once | Self::Stream)
    }
}

/// How a request ended for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// With a complete answer.
    Served,
    /// With a status that says that it has not run.
    NotRun(u16),
    /// With another error status.
    Failed(u16),
    /// Without a complete answer.
    Broken,
    /// The caller could not connect.
    NotConnected,
}

/// What is known of one request.
#[derive(Debug)]
struct RequestRecord {
    kind: RequestKind,
    sent_at: Instant,
    ended_at: Option<Instant>,
    /// The node that it was sent to.
    node: usize,
    /// The node that it was sent to, if it is a deadly request.
    deadly_node: Option<usize>,
    outcome: Option<Outcome>,
    runs: Vec<String>,
    /// Whether an upstream broke off its response.
    is_broken_off: bool,
    /// The runs of its stream.
    stream_runs: Vec<StreamRun>,
}

impl RequestRecord {
    /// Returns the two runs of its stream that an upstream worked on at the same time, if any.
    fn concurrent_runs(&self) -> Option<(&StreamRun, &StreamRun)> {
        let pairs = self.stream_runs.windows(2).map(|pair| (&pair[0], &pair[1]));
        pairs
            .into_iter()
            .find(|(before, next)| before.worked_at > next.started_at + CONCURRENT_RUNS_MAX)
    }
}

/// A run of a stream at an upstream.
#[derive(Debug)]
struct StreamRun {
    instance: String,
    started_at: Instant,
    /// When the upstream last worked on it.
    worked_at: Instant,
}

/// A limit that an upstream announced for some time.
#[derive(Debug)]
struct AnnouncedLimit {
    per_s: f64,
    is_withdrawn: bool,
    /// When requests arrived while it was in force.
    arrivals: Vec<Instant>,
}

impl AnnouncedLimit {
    /// Returns how many requests one window may hold.
    fn max_requests(&self) -> usize {
        (self.per_s * LIMIT_OVERAGE * LIMIT_WINDOW.as_secs_f64() + LIMIT_SLACK) as usize
    }

    /// Returns the most requests in any window that starts when all nodes must know the limit.
    fn peak_in_window(&self) -> usize {
        let Some(first) = self.arrivals.first() else {
            return 0;
        };
        let known_at = *first + LIMIT_KNOWN_WITHIN;
        let known = &self.arrivals[self.arrivals.partition_point(|at| *at < known_at)..];
        let within = |(index, from): (usize, &Instant)| {
            known[index..].partition_point(|at| *at < *from + LIMIT_WINDOW)
        };
        known.iter().enumerate().map(within).max().unwrap_or(0)
    }
}

/// A pause that an overloaded upstream requested.
#[derive(Debug)]
struct RequestedPause {
    instance: String,
    /// The node that it was requested from, if known.
    node: Option<usize>,
    at: Instant,
    time: Duration,
}

/// An ordered roll-out of a version.
#[derive(Debug)]
struct RolloutOrder {
    version: String,
    at: Instant,
    duration: Duration,
    is_bad: bool,
    /// When the store reported that it ended, and whether the version was completed.
    ended: Option<(Instant, bool)>,
}

impl RolloutOrder {
    /// Counts the requests that arrived until the deadline: at the service, and at this version.
    fn request_counts(&self, arrivals: &[(Instant, String)]) -> (usize, usize) {
        let is_within = |at: &Instant| (self.at..self.at + self.duration).contains(at);
        let all = arrivals.iter().filter(|(at, _)| is_within(at));
        let own = all.clone().filter(|(_, version)| *version == self.version);
        (all.count(), own.count())
    }

    /// Returns the violations of the rules for roll-outs.
    fn violations(&self, arrivals: &[(Instant, String)]) -> Vec<String> {
        let version = &self.version;
        let mut violations = Vec::new();
        let (all, own) = self.request_counts(arrivals);
        let allowed = (all as f64 * EXPOSURE_SHARE + EXPOSURE_SLACK) as usize;
        if self.is_bad && own > allowed {
            violations.push(format!("{version} is bad and got {own} requests, of {allowed}"));
        }
        if self.is_bad && self.ended.is_some_and(|(_, is_completed)| is_completed) {
            violations.push(format!("{version} is bad and was completed"));
        }
        if let Some((ended_at, false)) = self.ended {
            let is_late =
                |(at, of): &&(Instant, String)| of == version && *at > ended_at + ROLLBACK_GRACE;
            let late = arrivals.iter().filter(is_late).count();
            if late > 0 {
                violations.push(format!("{version} was rolled back and got {late} requests later"));
            }
        }
        violations
    }

    fn summary(&self, arrivals: &[(Instant, String)]) -> String {
        let (all, own) = self.request_counts(arrivals);
        let end = match self.ended {
            Some((at, true)) => format!("completed after {:?}", at.duration_since(self.at)),
            Some((at, false)) => format!("rolled back after {:?}", at.duration_since(self.at)),
            None => "open".to_owned(),
        };
        let (version, duration, bad) =
            (&self.version, self.duration, if self.is_bad { " bad" } else { "" });
        format!("version  {version}{bad} in {duration:?}: {own} of {all} requests, {end}\n")
    }
}

#[derive(Debug, Default)]
struct Inner {
    requests: HashMap<String, RequestRecord>,
    /// When each upstream was listed as leaving, by instance.
    leaving: HashMap<String, Instant>,
    violations: Vec<String>,
    faults: BTreeMap<String, u32>,
    /// When the last outage of the store ended; in the future if it still lasts.
    outage_until: Option<Instant>,
    /// From when all nodes were killed at once until they were ready again.
    downtimes: Vec<Range<Instant>>,
    /// When upstreams crashed while running a deadly request, and the node that the request was
    /// sent to, by the name of what is deadly.
    crashes: BTreeMap<String, Vec<(Instant, usize)>>,
    /// Number of crashes after which nodes must know what is deadly, by its name.
    crash_limits: HashMap<String, usize>,
    /// Ordered roll-outs, oldest first.
    ordered: Vec<RolloutOrder>,
    /// Versions of the upstreams of the service that is rolled out, by instance.
    versions: HashMap<String, String>,
    /// When requests arrived at these upstreams, and the version that each arrived at.
    arrivals: Vec<(Instant, String)>,
    /// Limits that each upstream announced, the newest last.
    limits: BTreeMap<String, Vec<AnnouncedLimit>>,
    /// Pauses that overloaded upstreams requested.
    pauses: Vec<RequestedPause>,
    /// When callers' requests arrived, by upstream and the node that each was sent to.
    arrivals_from: HashMap<(String, usize), Vec<Instant>>,
    /// Results that a stage has produced: the piece by handle, by request and stage.
    results: HashMap<(String, u32), HashMap<String, u32>>,
}

/// Records everything observed during a run of the soak.
#[derive(Debug, Default)]
pub(crate) struct Ledger(Mutex<Inner>);

/// Result of a run of the soak.
#[derive(Debug)]
pub(crate) struct Report {
    /// Counts of requests by kind and outcome, and of faults by kind.
    pub(crate) summary: String,
    /// Guarantees that were violated.
    pub(crate) violations: Vec<String>,
    served: usize,
    requests: usize,
}

impl Report {
    /// Returns the share of the requests that got a complete answer, of those sent and ended while
    /// nodes were up.
    pub(crate) fn served_share(&self) -> f64 {
        self.served as f64 / self.requests.max(1) as f64
    }
}

impl Ledger {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a caller sends a request.
    pub(crate) fn record_request(&self, id: &str, kind: RequestKind, node: usize) {
        self.insert_request(id, kind, node, None);
    }

    /// Records that a deadly request is sent to a node.
    pub(crate) fn record_deadly_request(&self, id: &str, kind: RequestKind, node: usize) {
        self.insert_request(id, kind, node, Some(node));
    }

    fn insert_request(&self, id: &str, kind: RequestKind, node: usize, deadly_node: Option<usize>) {
        let record = RequestRecord {
            kind,
            sent_at: Instant::now(),
            ended_at: None,
            node,
            deadly_node,
            outcome: None,
            runs: Vec::new(),
            is_broken_off: false,
            stream_runs: Vec::new(),
        };
        self.lock().requests.insert(id.to_owned(), record);
    }

    /// Sets the number of crashes after which nodes must know what is deadly.
    pub(crate) fn limit_crashes(&self, name: &str, limit: usize) {
        self.lock().crash_limits.insert(name.to_owned(), limit);
    }

    /// Records that an upstream crashes because it began to run a deadly request.
    pub(crate) fn record_crash(&self, name: &str, id: &str) {
        let mut inner = self.lock();
        if let Some(node) = inner.requests.get(id).and_then(|record| record.deadly_node) {
            inner.crashes.entry(name.to_owned()).or_default().push((Instant::now(), node));
        }
    }

    /// Records that an upstream breaks off its response to a request.
    pub(crate) fn record_break(&self, id: &str) {
        if let Some(record) = self.lock().requests.get_mut(id) {
            record.is_broken_off = true;
        }
    }

    /// Returns whether an upstream broke off its response to a request.
    pub(crate) fn was_broken_off(&self, id: &str) -> bool {
        self.lock().requests.get(id).is_some_and(|record| record.is_broken_off)
    }

    /// Records that an upstream starts to work on a stream. Returns the number of the run.
    pub(crate) fn record_stream_start(&self, id: &str, instance: &str) -> usize {
        let now = Instant::now();
        let run = StreamRun { instance: instance.to_owned(), started_at: now, worked_at: now };
        let mut inner = self.lock();
        let Some(record) = inner.requests.get_mut(id) else { return 0 };
        record.stream_runs.push(run);
        record.stream_runs.len() - 1
    }

    /// Records that an upstream works on a run of a stream.
    pub(crate) fn record_stream_work(&self, id: &str, run: usize) {
        let mut inner = self.lock();
        let record = inner.requests.get_mut(id);
        if let Some(run) = record.and_then(|record| record.stream_runs.get_mut(run)) {
            run.worked_at = Instant::now();
        }
    }

    /// Records how a request ended for its caller.
    pub(crate) fn record_outcome(&self, id: &str, outcome: Outcome) {
        if let Some(record) = self.lock().requests.get_mut(id) {
            record.outcome = Some(outcome);
            record.ended_at = Some(Instant::now());
        }
    }

    /// Records that a guarantee was violated.
    pub(crate) fn record_violation(&self, violation: String) {
        self.lock().violations.push(violation);
    }

    /// Records that a fault was injected.
    pub(crate) fn record_fault(&self, fault: &str) {
        *self.lock().faults.entry(fault.to_owned()).or_default() += 1;
    }

    /// Records that the store is unavailable for `time`.
    pub(crate) fn record_outage(&self, time: Duration) {
        let mut inner = self.lock();
        inner.outage_until = inner.outage_until.max(Some(Instant::now() + time));
    }

    /// Records that all nodes were killed at once and are ready again.
    pub(crate) fn record_downtime(&self, since: Instant) {
        self.lock().downtimes.push(since..Instant::now());
    }

    /// Returns whether the store was unavailable at some time since `since`.
    pub(crate) fn had_outage_since(&self, since: Instant) -> bool {
        self.lock().outage_until.is_some_and(|until| until > since)
    }

    /// Records that an upstream is listed as leaving.
    pub(crate) fn record_leaving(&self, instance: &str) {
        self.lock().leaving.insert(instance.to_owned(), Instant::now());
    }

    /// Records that an upstream announces a limit, or withdraws it.
    pub(crate) fn record_limit(&self, instance: &str, per_s: Option<f64>) {
        let mut inner = self.lock();
        let named = inner.limits.entry(instance.to_owned()).or_default();
        named.iter_mut().for_each(|limit| limit.is_withdrawn = true);
        let new = |per_s| AnnouncedLimit { per_s, is_withdrawn: false, arrivals: Vec::new() };
        named.extend(per_s.map(new));
    }

    /// Records that an overloaded upstream rejects a request and requests a pause. Calls with pieces
    /// have no id: the node that sent them is unknown.
    pub(crate) fn record_pause(&self, instance: &str, id: &str, time: Duration) {
        let mut inner = self.lock();
        let node = inner.requests.get(id).map(|record| record.node);
        let at = Instant::now();
        inner.pauses.push(RequestedPause { instance: instance.to_owned(), node, at, time });
    }

    /// Records that an upstream starts.
    pub(crate) fn record_start(&self, instance: &str, service: &str, version: &str) {
        if service == ROLLOUT_SERVICE {
            self.lock().versions.insert(instance.to_owned(), version.to_owned());
        }
    }

    /// Records that the roll-out of a version is ordered.
    pub(crate) fn record_order(&self, version: &str, duration: Duration, is_bad: bool) {
        let (version, at) = (version.to_owned(), Instant::now());
        self.lock().ordered.push(RolloutOrder { version, at, duration, is_bad, ended: None });
    }

    /// Records that the newest order has ended.
    pub(crate) fn record_rollout_end(&self, version: &str, is_completed: bool) {
        let mut inner = self.lock();
        if let Some(ordered) = inner.ordered.last_mut().filter(|o| o.version == version) {
            ordered.ended = Some((Instant::now(), is_completed));
        }
    }

    /// Records that a request of any kind has arrived at the upstream that it was meant for.
    pub(crate) fn record_arrival(&self, instance: &str, id: &str) {
        let mut inner = self.lock();
        if let Some(node) = inner.requests.get(id).map(|record| record.node) {
            let arrivals = inner.arrivals_from.entry((instance.to_owned(), node)).or_default();
            arrivals.push(Instant::now());
        }
        if let Some(version) = inner.versions.get(instance).cloned() {
            inner.arrivals.push((Instant::now(), version));
        }
        let named = inner.limits.get_mut(instance).and_then(|named| named.last_mut());
        if let Some(limit) = named.filter(|limit| !limit.is_withdrawn) {
            limit.arrivals.push(Instant::now());
        }
    }

    /// Records that an upstream runs a request.
    pub(crate) fn record_run(&self, id: &str, path: &str, instance: &str) {
        let mut inner = self.lock();
        let leaving_for = inner.leaving.get(instance).map(Instant::elapsed);
        if leaving_for.is_some_and(|elapsed| elapsed > LEAVING_GRACE) {
            inner.violations.push(format!("{instance} left {leaving_for:?} ago and runs {id}"));
        }
        let Some(record) = inner.requests.get_mut(id) else {
            inner.violations.push(format!("{instance} runs {id}, which nobody asked for"));
            return;
        };
        record.runs.push(instance.to_owned());
        let expected = format!("/{}/x", record.kind.name());
        if path != expected {
            inner.violations.push(format!("{instance} runs {id} on {path}, not {expected}"));
        }
    }

    /// Returns whether a request has run.
    pub(crate) fn has_run(&self, id: &str) -> bool {
        self.lock().requests.get(id).is_some_and(|record| !record.runs.is_empty())
    }

    /// Records the result of a piece.
    pub(crate) fn record_result(&self, id: &str, stage: u32, piece: u32, handle: &str) {
        let mut inner = self.lock();
        if inner.requests.get(id).is_none_or(|record| record.kind != RequestKind::Staged) {
            inner
                .violations
                .push(format!("piece {piece} of stage {stage} of {id}: nobody asked for it"));
        }
        let results = inner.results.entry((id.to_owned(), stage)).or_default();
        results.insert(handle.to_owned(), piece);
    }

    /// Checks that the handles name exactly one result for each of the `count` pieces of a
    /// request's stage.
    pub(crate) fn check_inputs(&self, id: &str, stage: u32, handles: &[String], count: u32) {
        let mut inner = self.lock();
        let results = inner.results.get(&(id.to_owned(), stage));
        let mut pieces: Vec<_> =
            handles.iter().map(|handle| results.and_then(|made| made.get(handle))).collect();
        pieces.sort();
        let expected: Vec<_> = (0..count).collect();
        if pieces != expected.iter().map(Some).collect::<Vec<_>>() {
            inner.violations.push(format!("{id} was given {handles:?} of stage {stage}"));
        }
    }

    /// Checks everything recorded against the guarantees. `was_undisturbed` returns whether a node
    /// has been undisturbed since a moment; only then must it know of a crash by now.
    pub(crate) fn check(&self, was_undisturbed: impl Fn(usize, Instant) -> bool) -> Report {
        let inner = self.lock();
        let mut violations = inner.violations.clone();
        for (name, crashes) in &inner.crashes {
            let limit = inner.crash_limits[name];
            let Some((last_at, _)) = crashes.get(limit - 1) else { continue };
            let late = crashes.iter().filter(|(at, node)| {
                *at > *last_at + CRASH_KNOWN_WITHIN
                    && was_undisturbed(*node, *at - CRASH_KNOWN_WITHIN)
            });
            if late.count() > LATE_CRASHES_MAX {
                violations.push(format!("{name} ended {} upstreams", crashes.len()));
            }
        }
        let named =
            || inner.limits.iter().flat_map(|(of, named)| named.iter().map(move |l| (of, l)));
        for (instance, limit) in named() {
            let (most, allowed) = (limit.peak_in_window(), limit.max_requests());
            if most > allowed {
                let per_s = limit.per_s;
                violations.push(format!(
                    "{instance} takes {per_s} a second and got {most} in 4 s, of {allowed}"
                ));
            }
        }
        for pause in &inner.pauses {
            let Some(node) = pause.node.filter(|node| was_undisturbed(*node, pause.at)) else {
                continue;
            };
            let instance = &pause.instance;
            let arrivals = inner.arrivals_from.get(&(instance.clone(), node));
            let within = |at: &&Instant| {
                (pause.at + PAUSE_KNOWN_WITHIN..pause.at + pause.time).contains(*at)
            };
            let count = arrivals.into_iter().flatten().filter(within).count();
            if count > 0 {
                let time = pause.time;
                violations
                    .push(format!("{instance} got {count} requests of node {node} in {time:?}"));
            }
        }
        for ordered in &inner.ordered {
            violations.extend(ordered.violations(&inner.arrivals));
        }
        let mut counts: BTreeMap<(RequestKind, String), usize> = BTreeMap::new();
        for (id, record) in &inner.requests {
            if record.kind.runs_once() && record.runs.len() > 1 {
                violations.push(format!("{id} ({}) ran at {:?}", record.kind.name(), record.runs));
            }
            if record.deadly_node.is_none() && record.outcome == Some(Outcome::NotRun(429)) {
                violations.push(format!("{id} ended no upstream and was turned away"));
            }
            if let Some(Outcome::NotRun(status)) = record.outcome
                && !record.runs.is_empty()
            {
                violations.push(format!("{id} was answered {status} and ran at {:?}", record.runs));
            }
            if let Some((before, next)) = record.concurrent_runs()
                && was_undisturbed(record.node, before.started_at)
            {
                let (before, next) = (&before.instance, &next.instance);
                violations.push(format!("{id} ran on at {before} while it ran at {next}"));
            }
            let outcome_text =
                record.outcome.as_ref().map_or("open".to_owned(), |outcome| format!("{outcome:?}"));
            let is_deadly = if record.deadly_node.is_some() { " deadly" } else { "" };
            *counts.entry((record.kind, outcome_text + is_deadly)).or_default() += 1;
        }
        // Take-ups may be refused, and are checked by themselves.
        let is_counted = |record: &&RequestRecord| {
            let is_within = |span: &Range<Instant>| {
                record.sent_at < span.end && record.ended_at.is_none_or(|at| at > span.start)
            };
            let is_up = !inner.downtimes.iter().any(is_within);
            record.deadly_node.is_none() && record.kind != RequestKind::Feed && is_up
        };
        let counted = || inner.requests.values().filter(is_counted);
        let served = counted().filter(|record| record.outcome == Some(Outcome::Served)).count();
        let requests = counted().count();
        let mut summary = String::new();
        for ((kind, outcome), count) in counts {
            summary.push_str(&format!("{:8} {outcome:14} {count}\n", kind.name()));
        }
        for (fault, count) in &inner.faults {
            summary.push_str(&format!("fault    {fault:14} {count}\n"));
        }
        let limits: Vec<_> = named()
            .map(|(_, limit)| (limit.per_s, limit.peak_in_window(), limit.max_requests()))
            .collect();
        summary.push_str(&format!("limits   {limits:?} (a second, most in 4 s, allowed)\n"));
        summary.push_str(&format!("pauses   {}\n", inner.pauses.len()));
        for ordered in &inner.ordered {
            summary.push_str(&ordered.summary(&inner.arrivals));
        }
        let crashes: Vec<_> = inner.crashes.values().map(Vec::len).collect();
        summary.push_str(&format!("ends     {crashes:?}\nasked {requests} served {served}"));
        Report { summary, violations, served, requests }
    }
}

//! Who ends upstreams: gathers the signs, looks, tells the other nodes and keeps in the store who is turned away.
//!
//! [`crate::endings`] decides whether an upstream has ended, [`crate::suspects`] who is turned away for it.

mod keeping;

use {
    crate::{
        attempts::NotRun,
        connections::connect,
        content::ContentKey,
        directory::Effect,
        endings::{Break, Ended, Endings, Probe, Run},
        log, telemetry,
        model::UpstreamKey,
        peers::Peers,
        refusal::Refusal,
        settings::DecideSettings,
        suspects::{ClearFact, EndFact, LIFETIME, News, Suspects},
        upstreams::{Target, Upstreams},
        wire::Store,
    },
    bytes::Bytes,
    fernring_core::{clock::Clock, text::LogLine},
    fernring_protocol::gateway::{ClearanceReport, CrashReport, CrashReports, GatewayBody},
    std::{
        cell::{Cell, RefCell},
        collections::{BTreeMap, HashMap},
        io::ErrorKind,
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

/// Pauses before the looks at an address: a process that ends closes its connections before or after what it listens on.
const PROBE_PAUSES: [Duration; 2] = [Duration::from_millis(20), Duration::from_millis(280)];
/// Longest wait for a connection while looking. A refusal takes a round trip, a few milliseconds.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest wait for a word on whether an upstream has ended: the first look, and a round trip between regions.
const VERDICT_WAIT: Duration = Duration::from_millis(100);
/// Pause between two looks whether a doubt is over.
const DOUBT_LOOK: Duration = Duration::from_millis(20);
/// How long what is to be told to all gathers: with a failure domain hundreds of upstreams end within a moment, and each node tells
/// of all that it had in hand there in one message.
const GATHER_TIME: Duration = Duration::from_millis(20);
/// How often one peer, drawn at random, is told again what matters most: what got lost on the way is known within seconds.
const TELL_INTERVAL: Duration = Duration::from_secs(1);
/// Accounts that are told again: some 10 KB at most, a third of what a node may spend on control.
const TOLD_AGAIN: usize = 96;
/// Accounts that a peer is told that has just come: some 50 KB at most, once.
const TOLD_FIRST: usize = 512;

/// What is in hand at one upstream.
struct InHand {
    target: Target,
    /// How often each is in hand.
    contents: BTreeMap<ContentKey, usize>,
}

/// Says that a request is in hand at an upstream, until it is dropped.
#[derive(Debug)]
pub struct Held {
    blame: Rc<Blame>,
    key: UpstreamKey,
    content: ContentKey,
}

impl Drop for Held {
    fn drop(&mut self) {
        self.blame.let_go(self.key, self.content);
    }
}

/// The upstreams that ended, and what ran there.
pub struct Blame {
    clock: Rc<dyn Clock>,
    store: Rc<dyn Store>,
    upstreams: Rc<Upstreams>,
    peers: Rc<Peers>,
    rules: Rc<Cell<DecideSettings>>,
    in_hand: RefCell<HashMap<UpstreamKey, InHand>>,
    endings: RefCell<Endings>,
    suspects: RefCell<Suspects>,
    /// What all peers are to be told, once it has gathered.
    news: RefCell<(Vec<EndFact>, Vec<ClearFact>)>,
    /// Told when a look at an upstream has found something.
    probed: Notify,
    /// Told when another request is turned away.
    turned_away: Notify,
    kept: RefCell<keeping::Kept>,
}

impl std::fmt::Debug for Blame {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Blame").field("suspects", &self.suspects).finish_non_exhaustive()
    }
}

impl Blame {
    /// Starts with nothing known.
    pub fn new(
        clock: Rc<dyn Clock>,
        store: Rc<dyn Store>,
        upstreams: Rc<Upstreams>,
        peers: Rc<Peers>,
        rules: Rc<Cell<DecideSettings>>,
    ) -> Self {
        Self {
            clock,
            store,
            upstreams,
            peers,
            rules,
            in_hand: RefCell::default(),
            endings: RefCell::default(),
            suspects: RefCell::default(),
            news: RefCell::default(),
            probed: Notify::new(),
            turned_away: Notify::new(),
            kept: RefCell::default(),
        }
    }

    /// Tells whether a request is turned away: asked just before each send.
    pub fn is_turned_away(&self, content: ContentKey) -> bool {
        self.rules.get().turn_away && self.suspects.borrow().is_turned_away(content)
    }

    /// Tells whether an upstream has ended under a request since it last got a whole answer.
    pub fn is_suspect(&self, content: ContentKey) -> bool {
        self.suspects.borrow().is_suspect(content)
    }

    /// Tells whether any request is turned away.
    pub fn turns_any_away(&self) -> bool {
        let suspects = self.suspects.borrow();
        self.rules.get().turn_away && suspects.turned_away().next().is_some()
    }

    /// Waits until a request is turned away.
    pub async fn until_turned_away(&self, content: ContentKey) {
        loop {
            let changed = self.turned_away.notified();
            if self.is_turned_away(content) {
                return;
            }
            changed.await;
        }
    }

    /// Waits while a request is turned away but in doubt: an answer that is being given elsewhere may clear it.
    pub async fn until_settled(&self, content: ContentKey) {
        while self.is_turned_away(content)
            && self.suspects.borrow().is_in_doubt(self.now(), content)
        {
            sleep(DOUBT_LOOK).await;
        }
    }

    /// Returns the final answer for a request that is turned away and has not run.
    pub fn refusal(&self, not_run: NotRun, content: ContentKey) -> Refusal {
        Refusal::turned_away(not_run, self.reason(content))
    }

    /// Says under which starts a request was in hand when they ended.
    pub fn reason(&self, content: ContentKey) -> String {
        format!("upstreams ended under it: {}", names(&self.suspects.borrow().ends_of(content)))
    }

    /// Says that a request is in hand at an upstream.
    pub fn hold(self: &Rc<Self>, target: &Target, content: ContentKey) -> Held {
        let mut in_hand = self.in_hand.borrow_mut();
        let there = in_hand
            .entry(target.key)
            .or_insert_with(|| InHand { target: target.clone(), contents: BTreeMap::new() });
        *there.contents.entry(content).or_default() += 1;
        Held { blame: self.clone(), key: target.key, content }
    }

    fn let_go(&self, key: UpstreamKey, content: ContentKey) {
        let mut in_hand = self.in_hand.borrow_mut();
        let Some(there) = in_hand.get_mut(&key) else {
            return;
        };
        if let Some(count) = there.contents.get_mut(&content) {
            *count -= 1;
            if *count == 0 {
                there.contents.remove(&content);
            }
        }
        if there.contents.is_empty() {
            in_hand.remove(&key);
        }
    }

    /// Takes in that a send broke off. `content` is charged if the upstream has ended; a call with pieces of several
    /// requests charges none, since each shows by itself in the calls that follow.
    pub fn broke(self: &Rc<Self>, target: &Target, how: Break, content: Option<ContentKey>) {
        if self.upstreams.is_leaving(target.key) {
            return;
        }
        let (now, run) = (self.now(), target.run());
        let ended = self.endings.borrow_mut().broke(now, place(target), &run, how, content);
        self.has_ended(ended);
        self.look(target);
    }

    /// Waits for a word on whether an upstream has ended at which a send broke off; without one in time it counts as
    /// one that lives on.
    pub async fn has_upstream_ended(&self, key: UpstreamKey) -> bool {
        let verdict = async {
            loop {
                let probed = self.probed.notified();
                if let Some(verdict) = self.endings.borrow().verdict(key) {
                    return verdict;
                }
                probed.await;
            }
        };
        timeout(VERDICT_WAIT, verdict).await.unwrap_or(false)
    }

    /// Takes in that a request got a whole answer.
    pub fn answered(self: &Rc<Self>, content: ContentKey) {
        let now = self.now();
        if !self.suspects.borrow_mut().answered(content, now) {
            return;
        }
        log::info(LogLine::event("suspect_cleared").with("content", content));
        self.tell_all(None, Some(ClearFact { content, at: now }));
    }

    /// Takes in that upstreams came or went.
    pub fn upstreams_changed(self: &Rc<Self>, effects: &[Effect]) {
        let now = self.now();
        for effect in effects {
            match effect {
                Effect::Draining(key) => self.endings.borrow_mut().leaving(now, *key),
                Effect::Gone(key) => self.went(*key),
                Effect::Appeared(key) => self.appeared(*key),
                Effect::Restarted { old, .. } => {
                    let ended = self.endings.borrow_mut().restarted(now, *old);
                    self.has_ended(ended);
                }
                _ => {}
            }
        }
    }

    fn appeared(self: &Rc<Self>, key: UpstreamKey) {
        let Some(target) = self.upstreams.target(key) else {
            return;
        };
        let ended = self.endings.borrow_mut().appeared(self.now(), key, target.address);
        ended.into_iter().for_each(|ended| self.has_ended(Some(ended)));
    }

    /// Takes in that another instance than was meant answers at an upstream's address.
    pub fn replaced(self: &Rc<Self>, key: UpstreamKey) {
        let ended = self.endings.borrow_mut().restarted(self.now(), key);
        self.has_ended(ended);
    }

    /// Takes in that an upstream's record is gone: what it has in hand may be lost, or served on.
    fn went(self: &Rc<Self>, key: UpstreamKey) {
        let now = self.now();
        let there = self.in_hand.borrow().get(&key).map(|there| {
            (there.target.clone(), there.contents.keys().copied().collect::<Vec<_>>())
        });
        let mut endings = self.endings.borrow_mut();
        if let Some((target, contents)) = &there {
            for content in contents {
                endings.broke(now, place(target), &target.run(), Break::Silent, Some(*content));
            }
        }
        let ended = endings.removed(now, key);
        drop(endings);
        self.has_ended(ended);
        if let Some((target, _)) = there {
            self.look(&target);
        }
    }

    /// Looks whether anybody is there where a send broke off, if that is still to be found out.
    fn look(self: &Rc<Self>, target: &Target) {
        if self.endings.borrow_mut().shall_probe(self.now(), target.key) {
            spawn_local(self.clone().probe(target.clone()));
        }
    }

    async fn probe(self: Rc<Self>, target: Target) {
        for pause in PROBE_PAUSES {
            sleep(pause).await;
            let found = probe(target.address).await;
            let line = LogLine::event("upstream_probed").with("upstream", target.run());
            log::info(line.with("address", target.address).with("found", found.name()));
            let ended = self.endings.borrow_mut().probed(target.key, found);
            self.has_ended(ended);
            self.probed.notify_waiters();
            if found != Probe::Accepted {
                return;
            }
        }
    }

    fn has_ended(self: &Rc<Self>, ended: Option<Ended>) {
        let Some(Ended { run, contents }) = ended else {
            return;
        };
        for content in &contents {
            let line = LogLine::event("upstream_ended").with("upstream", &run);
            log::warn(line.with("content", content));
        }
        telemetry::record_upstream_crash();
        let fact = EndFact { run, at: self.now(), contents };
        self.charge(&fact);
        self.tell_all(Some(fact), None);
    }

    /// Tells all peers what this node has seen.
    fn tell_all(self: &Rc<Self>, end: Option<EndFact>, cleared: Option<ClearFact>) {
        let mut news = self.news.borrow_mut();
        let was_empty = news.0.is_empty() && news.1.is_empty();
        news.0.extend(end);
        news.1.extend(cleared);
        if !was_empty {
            return;
        }
        let blame = self.clone();
        spawn_local(async move {
            sleep(GATHER_TIME).await;
            let (ends, cleared) = std::mem::take(&mut *blame.news.borrow_mut());
            blame.peers.send_all(blame.reports(ends, cleared));
        });
    }

    fn charge(&self, fact: &EndFact) -> bool {
        let mut suspects = self.suspects.borrow_mut();
        let News { is_new, turned_away } =
            suspects.ended(self.now(), &fact.run, fact.at, &fact.contents);
        for content in &turned_away {
            let line = LogLine::event("request_turned_away").with("content", content);
            log::warn(line.with("ended", names(&suspects.ends_of(*content))));
        }
        drop(suspects);
        if !turned_away.is_empty() {
            self.turned_away.notify_waiters();
        }
        is_new
    }

    /// Takes in what a peer tells of ends and answers, and passes on what is new to those that depend on this node. A peer
    /// that charges what was answered here is told so.
    pub fn told(&self, sender: SocketAddr, told: CrashReports) {
        let now = self.now();
        let at = |age_ms: u32| now.saturating_sub(Duration::from_millis(age_ms.into()));
        let key = |bytes: &Bytes| ContentKey::from_bytes(bytes);
        let mut news = CrashReports::default();
        let mut covering = Vec::new();
        for report in told.cleared {
            let fact =
                key(&report.fingerprint).map(|c| ClearFact { content: c, at: at(report.age_ms) });
            if fact.is_some_and(|fact| self.suspects.borrow_mut().cleared(now, fact)) {
                news.cleared.push(report);
            }
        }
        for report in told.crashes {
            let run =
                Run { instance: report.instance.as_str().into(), started_ms: report.started_ms };
            let contents: Vec<_> = report.fingerprints.iter().filter_map(key).collect();
            let ended_at = at(report.age_ms);
            let suspects = self.suspects.borrow();
            covering.extend(contents.iter().filter_map(|c| suspects.covering(*c, ended_at)));
            drop(suspects);
            if self.charge(&EndFact { run, at: ended_at, contents }) {
                news.crashes.push(report);
            }
        }
        if !covering.is_empty() {
            self.peers.send(sender, self.reports(Vec::new(), covering));
        }
        if news != CrashReports::default() {
            self.peers.send_on(GatewayBody::Crashes(news));
        }
    }

    /// Tells a peer that has just come all that matters.
    pub fn joined(&self, peer: SocketAddr) {
        self.tell(peer, TOLD_FIRST);
    }

    fn tell(&self, peer: SocketAddr, most: usize) {
        let (ends, cleared) = self.suspects.borrow().facts(most);
        if !ends.is_empty() || !cleared.is_empty() {
            self.peers.send(peer, self.reports(ends, cleared));
        }
    }

    /// Tells one peer after the other again what matters most, for as long as the process runs.
    pub async fn run(self: Rc<Self>) {
        loop {
            sleep(TELL_INTERVAL).await;
            self.endings.borrow_mut().expire(self.now());
            for content in self.suspects.borrow_mut().expire(self.now()) {
                log::info(LogLine::event("suspect_forgotten").with("content", content));
            }
            if let Some(peer) = self.peers.any_peer() {
                self.tell(peer, TOLD_AGAIN);
            }
            self.keep().await;
        }
    }

    fn reports(&self, ends: Vec<EndFact>, cleared: Vec<ClearFact>) -> GatewayBody {
        let now = self.now();
        let age_ms = |at: Duration| now.saturating_sub(at).as_millis() as u32;
        let bytes = |content: &ContentKey| Bytes::copy_from_slice(content.bytes());
        let ends = ends.into_iter().map(|fact| CrashReport {
            instance: fact.run.instance.to_string(),
            started_ms: fact.run.started_ms,
            age_ms: age_ms(fact.at),
            fingerprints: fact.contents.iter().map(bytes).collect(),
        });
        let cleared = cleared
            .into_iter()
            .map(|fact| ClearanceReport { fingerprint: bytes(&fact.content), age_ms: age_ms(fact.at) });
        GatewayBody::Crashes(CrashReports { crashes: ends.collect(), cleared: cleared.collect() })
    }

    /// Returns the number of requests that are turned away.
    pub fn turned_away(&self) -> usize {
        self.suspects.borrow().turned_away().count()
    }

    /// Time that counts from long before the process started, so that what is older than it has an age.
    fn now(&self) -> Duration {
        LIFETIME * 2 + self.clock.now().monotonic
    }
}

fn place(target: &Target) -> (UpstreamKey, SocketAddr) {
    (target.key, target.address)
}

fn names(runs: &[Run]) -> String {
    let names: Vec<_> = runs.iter().map(Run::to_string).collect();
    names.join(",")
}

/// Looks whether anybody takes connections at an address.
async fn probe(address: SocketAddr) -> Probe {
    match timeout(PROBE_TIMEOUT, connect(address)).await {
        Ok(Ok(_)) => Probe::Accepted,
        Ok(Err(error)) => match error.kind() {
            ErrorKind::ConnectionRefused => Probe::Refused,
            ErrorKind::ConnectionReset | ErrorKind::ConnectionAborted => Probe::Accepted,
            _ => Probe::Silent,
        },
        Err(_) => Probe::Silent,
    }
}

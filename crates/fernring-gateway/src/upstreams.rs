//! The upstreams of a node: who they are, their connections, their load and their failures.

use {
    crate::{
        barred::Barred,
        cold::{Asker, MostNodes, NoListener, START_TIME, Turns},
        config::ConfigState,
        connections::{Answer, Pool, SendFailure},
        directory::{Change, Directory, Effect, Upstream},
        endings::Run,
        evacuations::Evacuations,
        model::{ColdBounds, ColdStart, UpstreamKey},
        position::Position,
        selection::Candidate,
        settings::ColdSettings,
    },
    bytes::Bytes,
    fernring_core::clock::Clock,
    http::Request,
    http_body_util::Full,
    slotmap::SecondaryMap,
    std::{
        cell::{Cell, RefCell},
        collections::HashMap,
        net::SocketAddr,
        rc::Rc,
        sync::Arc,
        time::Duration,
    },
    xxhash_rust::xxh3::xxh3_64,
};

/// How long an upstream is avoided after its first failure in a row; doubled with each further.
const AVOID_FIRST: Duration = Duration::from_millis(200);
/// Longest time that an upstream is avoided before it is tried again.
const AVOID_MAX: Duration = Duration::from_secs(3);
/// How long an upstream is avoided that took no connection: nothing runs there, and whoever runs
/// there next takes longer to start. Its lack of load would else attract what is urgent.
const AVOID_UNREACHABLE: Duration = Duration::from_secs(1);
/// How long a full upstream is avoided: about the time in which a slot comes free.
const AVOID_FULL: Duration = Duration::from_millis(60);
/// Age from which on the sums of a failure domain are of no use: the requests that they counted have ended.
const DOMAIN_LOADS_MAX: Duration = Duration::from_secs(2);
/// How long a delegate tells on which upstreams took no connection of a node of its domain: a few heartbeats.
const TOLD_ON_TIME: Duration = Duration::from_millis(600);
/// Part of an upstream's connection limit that all nodes together use. The rest is for nodes
/// that are not counted at the moment.
const CONNECTIONS_PART: f64 = 0.7;

#[derive(Debug, Default)]
struct Health {
    failures: u32,
    avoid_until: Duration,
    /// Until when this node tells its peers that the upstream takes no connection.
    unreachable_until: Duration,
    /// Until when it tells on what another node of its domain has found, if it is a delegate.
    told_on_until: Duration,
}

/// Whose load was told.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum LoadSource {
    /// One peer's own.
    Peer(SocketAddr),
    /// That of all nodes of a failure domain.
    Domain(Arc<str>),
}

#[derive(Debug, Default)]
struct PeerLoads {
    by_source: HashMap<LoadSource, Told>,
    /// Invariant: the sums of `by_source`.
    totals: HashMap<u32, f64>,
    /// What this node told its domain's delegates last.
    told: HashMap<u32, f64>,
}

#[derive(Debug)]
struct Told {
    at: Duration,
    loads: Vec<(u32, f64)>,
}

impl PeerLoads {
    fn replace(&mut self, source: LoadSource, told: Option<Told>) {
        let before = self.by_source.remove(&source);
        if before.is_none() && told.is_none() {
            return;
        }
        for (upstream, load) in before.into_iter().flat_map(|before| before.loads) {
            if let Some(total) = self.totals.get_mut(&upstream) {
                *total -= load;
            }
        }
        for (upstream, load) in told.iter().flat_map(|told| &told.loads) {
            *self.totals.entry(*upstream).or_default() += load;
        }
        self.totals.retain(|_, total| *total > 0.01);
        if let Some(told) = told {
            self.by_source.insert(source, told);
        }
    }
}

/// Returns the address of the maker of a result, which its handle begins with.
pub fn maker_address(handle: &str) -> Option<SocketAddr> {
    handle.split('/').next()?.parse().ok()
}

impl Target {
    /// Returns the start that is meant.
    pub fn run(&self) -> Run {
        Run { instance: self.instance.clone(), started_ms: self.started_ms }
    }
}

/// The upstreams of a node.
#[derive(Debug)]
pub struct Upstreams {
    failure_domain: Arc<str>,
    clock: Rc<dyn Clock>,
    directory: RefCell<Directory>,
    evacuations: RefCell<Evacuations>,
    pools: RefCell<SecondaryMap<UpstreamKey, Pool>>,
    health: RefCell<SecondaryMap<UpstreamKey, Health>>,
    own_loads: RefCell<SecondaryMap<UpstreamKey, f64>>,
    peer_loads: RefCell<PeerLoads>,
    nodes: Cell<usize>,
    config: Rc<RefCell<ConfigState>>,
    cold: RefCell<Cold>,
    /// When records were last read from the store.
    read_at: Cell<Duration>,
}

/// What is known of cold upstreams, and of this node's turns at them.
#[derive(Debug)]
struct Cold {
    settings: ColdSettings,
    /// Identity of this node.
    node: u64,
    started_at: Duration,
    nodes: MostNodes,
    turns: SecondaryMap<UpstreamKey, Turns>,
    no_listener: SecondaryMap<UpstreamKey, NoListener>,
}

/// Work that an upstream has in hand; taken off its load when dropped.
#[derive(Debug)]
pub struct LoadGuard {
    upstreams: Rc<Upstreams>,
    key: UpstreamKey,
    weight: f64,
}

impl LoadGuard {
    /// Takes part of the work off: `weight` is left.
    pub fn reduce_to(&mut self, weight: f64) {
        if let Some(load) = self.upstreams.own_loads.borrow_mut().get_mut(self.key) {
            *load -= self.weight - weight;
        }
        self.weight = weight;
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        if let Some(load) = self.upstreams.own_loads.borrow_mut().get_mut(self.key) {
            *load -= self.weight;
        }
    }
}

/// What a send needs to know of its upstream.
#[derive(Debug, Clone)]
pub struct Target {
    /// The upstream.
    pub key: UpstreamKey,
    /// Its identity; `key` tells its runs apart.
    pub instance: Arc<str>,
    /// When its process started, in Unix milliseconds, if that is known.
    pub started_ms: Option<u64>,
    /// Its address.
    pub address: SocketAddr,
    /// Its failure domain.
    pub failure_domain: Arc<str>,
    /// Position of its record in the store.
    pub record_at: Position,
}

impl Cold {
    fn asker(&self, upstream: &Upstream) -> Asker {
        let upstream = u64::from(upstream.record.run_hash());
        Asker { node: self.node, upstream, nodes: self.nodes.most() }
    }
}

impl Upstreams {
    /// Creates the upstreams of a node of a failure domain, none so far.
    pub fn new(
        failure_domain: Arc<str>,
        clock: Rc<dyn Clock>,
        config: Rc<RefCell<ConfigState>>,
        cold: ColdSettings,
    ) -> Self {
        let cold = Cold {
            settings: cold,
            node: rand::random(),
            started_at: clock.now().monotonic,
            nodes: MostNodes::default(),
            turns: SecondaryMap::new(),
            no_listener: SecondaryMap::new(),
        };
        Self {
            failure_domain,
            clock,
            config,
            cold: RefCell::new(cold),
            directory: RefCell::default(),
            evacuations: RefCell::default(),
            pools: RefCell::default(),
            health: RefCell::default(),
            own_loads: RefCell::default(),
            peer_loads: RefCell::default(),
            nodes: Cell::new(1),
            read_at: Cell::default(),
        }
    }

    /// Says how many nodes share the upstreams.
    pub fn set_nodes(&self, nodes: usize) {
        self.nodes.set(nodes.max(1));
        self.cold.borrow_mut().nodes.saw(self.clock.now().monotonic, nodes);
    }

    /// Says how many nodes have a record in the store: there may be so many, whether they are heard or not.
    pub fn nodes_recorded(&self, nodes: usize) {
        self.cold.borrow_mut().nodes.saw(self.clock.now().monotonic, nodes);
    }

    /// Sets what cold upstreams may be sent beside what the configuration says.
    pub fn set_cold_bounds(&self, settings: ColdSettings) {
        self.cold.borrow_mut().settings = settings;
    }

    /// Says that records were read from the store.
    pub fn records_read(&self, now: Duration) {
        self.read_at.set(now.max(self.read_at.get()));
    }

    /// Returns the time since records were last read from the store.
    pub fn record_age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.read_at.get())
    }

    /// Returns the number of connections to all upstreams.
    pub fn open_connections(&self) -> usize {
        self.pools.borrow().values().map(Pool::open).sum()
    }

    /// Gives access to the directory.
    pub fn directory(&self) -> std::cell::Ref<'_, Directory> {
        self.directory.borrow()
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
        self.asked(key).map(drop)
    }

    fn asked(&self, key: UpstreamKey) -> Result<Option<ColdBounds>, Barred> {
        let directory = self.directory.borrow();
        let upstream = directory.get(key).ok_or(Barred::Gone)?;
        self.may_send_to(key, upstream, self.cold_start(&upstream.record.service))
    }

    fn cold_start(&self, service: &str) -> Option<ColdStart> {
        self.config.borrow().cold_start(service)
    }

    /// Tells whether an upstream may be sent to; with what it bears if it is cold.
    fn may_send_to(
        &self,
        key: UpstreamKey,
        upstream: &Upstream,
        cold_start: Option<ColdStart>,
    ) -> Result<Option<ColdBounds>, Barred> {
        if !upstream.takes_work() {
            return Err(Barred::Leaving);
        }
        if self.evacuations.borrow().covers(&upstream.record.failure_domain) {
            return Err(Barred::Evacuated);
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
    fn cold_bounds(
        &self,
        key: UpstreamKey,
        upstream: &Upstream,
        start: ColdStart,
    ) -> Option<ColdBounds> {
        let cold = self.cold.borrow();
        let now = self.clock.now().monotonic;
        let no_listener = cold.no_listener.get(key);
        let record_at = upstream.at;
        let is_suspected = no_listener.is_some_and(|no| no.is_cold(now, record_at, start.time));
        let ColdSettings { overage, slack } = cold.settings;
        let bounds = ColdBounds { per_s: start.per_s, overage, slack };
        (is_suspected || upstream.is_cold(now)).then_some(bounds)
    }

    /// Takes this node's turn at an upstream if it is cold.
    fn take_turn(&self, key: UpstreamKey) -> Result<(), Barred> {
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

    /// Takes in changes and returns their effects.
    pub fn apply(&self, now: Duration, changes: Vec<Change>) -> Vec<Effect> {
        let mut directory = self.directory.borrow_mut();
        let effects = changes.into_iter().map(|change| directory.apply(now, change)).collect();
        drop(directory);
        self.settle(effects)
    }

    /// Takes in all records at once.
    pub fn replace(&self, now: Duration, records: Vec<Change>, end: Position) -> Vec<Effect> {
        let effects = self.directory.borrow_mut().replace(now, records, end);
        self.settle(effects)
    }

    /// Says that everything before a position was taken in.
    pub fn advance(&self, end: Position) {
        self.directory.borrow_mut().advance(end);
    }

    /// Says that removals may be lapses for some time, as a peer has found.
    pub fn lapses_known(&self, now: Duration, time: Duration) {
        self.directory.borrow_mut().lapses_known(now, time);
    }

    /// Says that the store did not answer until now.
    pub fn store_was_out(&self, now: Duration) {
        self.directory.borrow_mut().store_was_out(now);
    }

    /// Lets time pass: upstreams that did not come back go, idle connections are closed.
    pub fn expire(&self, now: Duration) -> Vec<Effect> {
        for (_, pool) in self.pools.borrow().iter() {
            pool.expire();
        }
        self.forget_old_loads(now);
        let effects = self.directory.borrow_mut().expire(now);
        self.settle(effects)
    }

    /// Drops what is kept of upstreams that are gone. What one that has started again had in hand ends now, as lost:
    /// behind a cut nothing else says so before the timeouts of seconds.
    fn settle(&self, effects: Vec<Effect>) -> Vec<Effect> {
        for effect in &effects {
            match effect {
                Effect::Gone(key) => drop(self.forget(*key)),
                Effect::Restarted { old, .. } => {
                    if let Some(pool) = self.forget(*old) {
                        pool.close();
                    }
                }
                _ => {}
            }
        }
        effects
    }

    /// Forgets all that is kept of an upstream and returns its connections.
    fn forget(&self, key: UpstreamKey) -> Option<Pool> {
        self.health.borrow_mut().remove(key);
        let mut cold = self.cold.borrow_mut();
        cold.turns.remove(key);
        cold.no_listener.remove(key);
        drop(cold);
        self.own_loads.borrow_mut().remove(key);
        self.pools.borrow_mut().remove(key)
    }

    /// Lists the upstreams of a service that may get new work. `is_silent` tells whether a
    /// failure domain can't be reached.
    pub fn candidates(
        &self,
        now: Duration,
        service: &str,
        is_silent: impl Fn(&str) -> bool,
    ) -> Vec<Candidate> {
        let directory = self.directory.borrow();
        let health = self.health.borrow();
        let own_loads = self.own_loads.borrow();
        let totals = &self.peer_loads.borrow().totals;
        let cold_start = self.cold_start(service);
        let candidate = |(key, upstream): (UpstreamKey, &Upstream)| {
            let record = &upstream.record;
            let cold = self.may_send_to(key, upstream, cold_start).ok()?;
            let failed = health.get(key).is_some_and(|health| now < health.avoid_until);
            let peers = totals.get(&record.run_hash()).copied().unwrap_or(0.0);
            Some(Candidate {
                key,
                identity: xxh3_64(record.instance.as_bytes()),
                load: own_loads.get(key).copied().unwrap_or(0.0) + peers,
                slots: record.slots,
                is_near: record.failure_domain == self.failure_domain,
                is_avoided: failed || upstream.is_doubtful() || is_silent(&record.failure_domain),
                is_cold: cold.is_some(),
            })
        };
        directory.of_service(service).filter_map(candidate).collect()
    }

    /// Returns what a send needs to know of an upstream, unless it is gone.
    pub fn target(&self, key: UpstreamKey) -> Option<Target> {
        let directory = self.directory.borrow();
        let upstream = directory.get(key)?;
        let record = &upstream.record;
        Some(Target {
            key,
            instance: record.instance.clone(),
            started_ms: record.started_ms,
            address: record.address,
            failure_domain: record.failure_domain.clone(),
            record_at: upstream.at,
        })
    }

    /// Tells whether an upstream has said that it leaves.
    pub fn is_leaving(&self, key: UpstreamKey) -> bool {
        let directory = self.directory.borrow();
        directory.get(key).is_some_and(|upstream| !upstream.takes_work())
    }

    /// Returns the failure domain where most of some results lie, by their handles.
    pub fn domain_of(&self, handles: &[Arc<str>]) -> Option<Arc<str>> {
        let directory = self.directory.borrow();
        let mut counts: HashMap<Arc<str>, usize> = HashMap::new();
        for address in handles.iter().filter_map(|handle| maker_address(handle)) {
            let maker = directory.iter().find(|(_, upstream)| upstream.record.address == address);
            if let Some((_, upstream)) = maker {
                *counts.entry(upstream.record.failure_domain.clone()).or_default() += 1;
            }
        }
        counts.into_iter().max_by_key(|(_, count)| *count).map(|(domain, _)| domain)
    }

    /// Counts work on an upstream until the guard is dropped.
    pub fn load(self: &Rc<Self>, key: UpstreamKey, weight: f64) -> LoadGuard {
        if let Some(entry) = self.own_loads.borrow_mut().entry(key) {
            *entry.or_default() += weight;
        }
        LoadGuard { upstreams: self.clone(), key, weight }
    }

    /// Lists the work of this node on upstreams for its domain's delegates, by the hashes of their starts.
    pub fn told_loads(&self) -> Vec<(u32, u32)> {
        let loads = self.own_loads();
        let told = loads.iter().map(|(upstream, load)| (*upstream, f64::from(*load)));
        self.peer_loads.borrow_mut().told = told.collect();
        loads
    }

    /// Lists the work of all nodes of the failure domain, of which this one is a delegate.
    pub fn domain_loads(&self) -> Vec<(u32, u32)> {
        let mut sums: HashMap<u32, f64> =
            self.own_loads().into_iter().map(|(upstream, load)| (upstream, load.into())).collect();
        let all = self.peer_loads.borrow();
        let near = all.by_source.iter().filter(|(source, _)| matches!(source, LoadSource::Peer(_)));
        for (upstream, load) in near.flat_map(|(_, told)| &told.loads) {
            *sums.entry(*upstream).or_default() += load;
        }
        sums.into_iter().map(|(upstream, load)| (upstream, load.round() as u32)).collect()
    }

    /// Lists the work of this node on upstreams, by the hashes of their starts.
    fn own_loads(&self) -> Vec<(u32, u32)> {
        let directory = self.directory.borrow();
        let loads = self.own_loads.borrow();
        let named = loads.iter().filter(|(_, load)| **load >= 0.5).filter_map(|(key, load)| {
            let upstream = directory.get(key)?;
            Some((upstream.record.run_hash(), *load as u32))
        });
        named.collect()
    }

    /// Takes in the work of a peer on upstreams; an empty list forgets the peer.
    pub fn set_peer_loads(&self, peer: SocketAddr, loads: Vec<(u32, f64)>) {
        let told = (!loads.is_empty()).then_some(Told { at: Duration::ZERO, loads });
        self.peer_loads.borrow_mut().replace(LoadSource::Peer(peer), told);
    }

    /// Takes in the work of all nodes of a failure domain. That of this node's own domain contains what it has told
    /// itself, which is taken off.
    pub fn set_domain_loads(&self, now: Duration, domain: &Arc<str>, mut loads: Vec<(u32, f64)>) {
        let mut all = self.peer_loads.borrow_mut();
        if *domain == self.failure_domain {
            for (upstream, load) in &mut loads {
                let own = all.told.get(upstream).copied().unwrap_or(0.0);
                *load = (*load - own).max(0.0);
            }
        }
        all.replace(LoadSource::Domain(domain.clone()), Some(Told { at: now, loads }));
    }

    /// Forgets what was told of failure domains too long ago: nobody there tells it any more.
    fn forget_old_loads(&self, now: Duration) {
        let mut all = self.peer_loads.borrow_mut();
        let is_old = |source: &LoadSource, told: &Told| {
            matches!(source, LoadSource::Domain(_)) && now > told.at + DOMAIN_LOADS_MAX
        };
        let old = all.by_source.iter().filter(|(source, told)| is_old(source, told));
        let old: Vec<_> = old.map(|(source, _)| source.clone()).collect();
        for source in old {
            all.replace(source, None);
        }
    }

    /// Sends something new to an upstream that takes `connections_max` connections from all nodes, if it may be sent to
    /// at the moment at which the first byte would leave.
    ///
    /// # Errors
    /// If no answer came.
    pub async fn send(
        &self,
        target: &Target,
        connections_max: u32,
        request: Request<Full<Bytes>>,
    ) -> Result<Answer, SendFailure> {
        let share = f64::from(connections_max) * CONNECTIONS_PART / self.nodes.get() as f64;
        let pool = self.pool(target)?;
        let has_turn = Cell::new(false);
        let check = || {
            if !has_turn.get() {
                self.take_turn(target.key)?;
                has_turn.set(true);
            }
            self.barred_since(target.key)
        };
        let sent = pool.send_if(request, share as usize, check).await;
        self.note_listener(target.key, sent.as_ref().err());
        sent
    }

    /// Tells whether an upstream at which this node has taken a turn may get nothing new any more.
    fn barred_since(&self, key: UpstreamKey) -> Result<(), Barred> {
        match self.may_send(key) {
            Err(Barred::Cold) => Ok(()),
            other => other,
        }
    }

    /// Takes in whether somebody listened at an upstream's address.
    fn note_listener(&self, key: UpstreamKey, failure: Option<&SendFailure>) {
        let directory = self.directory.borrow();
        let Some(upstream) = directory.get(key) else {
            return;
        };
        let now = self.clock.now().monotonic;
        let mut cold = self.cold.borrow_mut();
        match failure {
            Some(SendFailure::NoListener(_)) => {
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

    /// Sends what is no new work: results that are given up, whatever becomes of the upstream.
    ///
    /// # Errors
    /// If no answer came.
    pub async fn send_release(
        &self,
        target: &Target,
        connections_max: u32,
        request: Request<Full<Bytes>>,
    ) -> Result<Answer, SendFailure> {
        let share = f64::from(connections_max) * CONNECTIONS_PART / self.nodes.get() as f64;
        let pool = self.pool(target)?;
        pool.send(request, share as usize).await
    }

    /// Takes in that an upstream failed, so that none of its idle connections is trusted any more; tells how
    /// long it is avoided now.
    pub fn failed(&self, now: Duration, key: UpstreamKey) -> Duration {
        if let Some(pool) = self.pools.borrow().get(key) {
            pool.forget_idle();
        }
        let mut health = self.health.borrow_mut();
        let Some(entry) = health.entry(key) else {
            return Duration::ZERO;
        };
        let entry = entry.or_default();
        let avoid = (AVOID_FIRST * 2u32.saturating_pow(entry.failures.min(8))).min(AVOID_MAX);
        entry.failures += 1;
        entry.avoid_until = entry.avoid_until.max(now + avoid);
        avoid
    }

    /// Takes in that an upstream took no connection.
    pub fn was_unreachable(&self, now: Duration, key: UpstreamKey) {
        self.failed(now, key);
        if let Some(health) = self.health.borrow_mut().get_mut(key) {
            let until = now + AVOID_UNREACHABLE;
            health.avoid_until = health.avoid_until.max(until);
            health.unreachable_until = until;
        }
    }

    /// Lists the upstreams that took no connection of late, by their short hashes.
    pub fn unreachable(&self, now: Duration) -> Vec<u32> {
        let directory = self.directory.borrow();
        let health = self.health.borrow();
        let until = |health: &Health| health.unreachable_until.max(health.told_on_until);
        let named = health.iter().filter(|(_, health)| now < until(health));
        let instances = named.filter_map(|(key, _)| directory.get(key));
        instances.map(|upstream| upstream.record.run_hash()).collect()
    }

    /// Takes in the upstreams that took no connection of a peer in the same failure domain. `tells_on` says whether
    /// others don't hear that peer and depend on this node.
    pub fn peer_found_unreachable(&self, now: Duration, upstreams: &[u32], tells_on: bool) {
        if upstreams.is_empty() {
            return;
        }
        let directory = self.directory.borrow();
        let mut health = self.health.borrow_mut();
        for (key, upstream) in directory.iter() {
            let is_named = upstreams.contains(&upstream.record.run_hash());
            if is_named && let Some(entry) = health.entry(key) {
                let entry = entry.or_default();
                entry.avoid_until = entry.avoid_until.max(now + AVOID_FIRST * 2);
                if tells_on {
                    entry.told_on_until = now + TOLD_ON_TIME;
                }
            }
        }
    }

    /// Takes in that an upstream is full.
    pub fn was_full(&self, now: Duration, key: UpstreamKey) {
        if let Some(entry) = self.health.borrow_mut().entry(key) {
            let entry = entry.or_default();
            entry.avoid_until = entry.avoid_until.max(now + AVOID_FULL);
        }
    }

    /// Takes in that an upstream answered as it should.
    pub fn succeeded(&self, key: UpstreamKey) {
        if let Some(entry) = self.health.borrow_mut().get_mut(key) {
            *entry = Health::default();
        }
    }

    fn pool(&self, target: &Target) -> Result<Pool, SendFailure> {
        if self.directory.borrow().get(target.key).is_none() {
            return Err(SendFailure::NotSent("the upstream is gone".to_owned()));
        }
        let mut pools = self.pools.borrow_mut();
        let entry = pools.entry(target.key);
        let entry = entry.ok_or_else(|| SendFailure::NotSent("the upstream is gone".to_owned()))?;
        let pool = entry.or_insert_with(|| Pool::new(target.address, self.clock.clone()));
        if pool.address() != target.address {
            // Its record names another address now; what runs at the old one may end.
            *pool = Pool::new(target.address, self.clock.clone());
        }
        Ok(pool.clone())
    }
}

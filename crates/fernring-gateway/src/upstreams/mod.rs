//! The upstreams of a node: who they are, their connections, and whom to choose from.
//!
//! `access` says what may be sent to one now, `limited` what they say that they take, `loads` what all nodes have in hand there, `health` who is avoided,
//! `versions` which versions get requests.

mod access;
mod health;
mod limited;
mod loads;
mod versions;

pub use {limited::Counters, loads::LoadGuard};

use {
    self::{
        access::Cold, health::Health, limited::Limited, loads::PeerLoads, versions::VersionRules,
    },
    crate::{
        cold::MostNodes,
        config::ConfigState,
        connections::{UpstreamResponse, ConnectionPool, SendFailure},
        directory::{Change, Directory, Effect, Upstream},
        endings::Run,
        evacuations::Evacuations,
        model::{UpstreamKey, incarnation_id},
        position::Position,
        residency::{Regions, Residency},
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

/// Part of an upstream's connection limit that all nodes together use. The rest is for nodes
/// that are not counted at the moment.
const CONNECTIONS_PART: f64 = 0.7;

/// Returns the address of the maker of a result, which its handle begins with.
pub fn maker_address(handle: &str) -> Option<SocketAddr> {
    handle.split('/').next()?.parse().ok()
}

impl Target {
    /// Returns a hash of the start that is meant, like [`crate::model::UpstreamRecord::incarnation_id`].
    pub fn run_id(&self) -> u64 {
        incarnation_id(&self.instance, self.started_ms)
    }

    /// Returns the start that is meant.
    pub fn run(&self) -> Run {
        Run { instance: self.instance.clone(), started_ms: self.started_ms }
    }
}

/// Asks a question about a failure domain once, whichever number of upstreams lie there.
fn for_each_domain(ask: impl Fn(&str) -> bool) -> impl FnMut(&Arc<str>) -> bool {
    let mut answers: Vec<(Arc<str>, bool)> = Vec::new();
    move |domain| {
        if let Some((_, answer)) = answers.iter().find(|(known, _)| known == domain) {
            return *answer;
        }
        let answer = ask(domain);
        answers.push((domain.clone(), answer));
        answer
    }
}

/// The upstreams of a node.
#[derive(Debug)]
pub struct Upstreams {
    failure_domain: Arc<str>,
    clock: Rc<dyn Clock>,
    directory: RefCell<Directory>,
    evacuations: RefCell<Evacuations>,
    regions: RefCell<Regions>,
    versions: RefCell<VersionRules>,
    pools: RefCell<SecondaryMap<UpstreamKey, ConnectionPool>>,
    health: RefCell<SecondaryMap<UpstreamKey, Health>>,
    own_loads: RefCell<SecondaryMap<UpstreamKey, f64>>,
    peer_loads: RefCell<PeerLoads>,
    nodes: Cell<usize>,
    config: Rc<RefCell<ConfigState>>,
    cold: RefCell<Cold>,
    limited: RefCell<Limited>,
    /// When records were last read from the store.
    read_at: Cell<Duration>,
}

/// Something new for an upstream.
#[derive(Debug)]
pub struct Sending {
    /// The request.
    pub request: Request<Full<Bytes>>,
    /// Its rank, as an index; 0 goes first.
    pub rank: usize,
    /// Where it may be served.
    pub residency: Residency,
    /// Connections that the upstream takes from all nodes.
    pub connections_max: u32,
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
    /// Version of its software.
    pub version: Arc<str>,
    /// Position of its record in the store.
    pub record_at: Position,
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
            limited: RefCell::default(),
            directory: RefCell::default(),
            evacuations: RefCell::default(),
            regions: RefCell::default(),
            versions: RefCell::default(),
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
        self.pools.borrow().values().map(ConnectionPool::open_count).sum()
    }

    /// Gives access to the directory.
    pub fn directory(&self) -> std::cell::Ref<'_, Directory> {
        self.directory.borrow()
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

    /// Takes in some of the records before all are known.
    pub fn preview(&self, now: Duration, records: Vec<Change>) -> Vec<Effect> {
        let effects = self.directory.borrow_mut().preview(now, records);
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
        self.forget_old_limits(now);
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
    fn forget(&self, key: UpstreamKey) -> Option<ConnectionPool> {
        self.health.borrow_mut().remove(key);
        let mut cold = self.cold.borrow_mut();
        cold.turns.remove(key);
        cold.no_listener.remove(key);
        drop(cold);
        self.own_loads.borrow_mut().remove(key);
        self.pools.borrow_mut().remove(key)
    }

    /// Lists the upstreams of a service that may get new work of a rank and a residency. `is_silent` tells whether a
    /// failure domain can't be reached.
    pub fn candidates(
        &self,
        now: Duration,
        service: &str,
        rank: usize,
        residency: &Residency,
        is_silent: impl Fn(&str) -> bool,
    ) -> Vec<Candidate> {
        let directory = self.directory.borrow();
        let health = self.health.borrow();
        let own_loads = self.own_loads.borrow();
        let totals = &self.peer_loads.borrow().totals;
        let cold_start = self.cold_start(service);
        let mut is_silent = for_each_domain(is_silent);
        let candidate = |(key, upstream): (UpstreamKey, &Upstream)| {
            let record = &upstream.record;
            if !self.allows(residency, &record.failure_domain) {
                return None;
            }
            let cold = self.may_send_to(key, upstream, cold_start).ok()?;
            if self.takes_no_more(now, &upstream.record, rank) {
                return None;
            }
            let failed = health.get(key).is_some_and(|health| now < health.avoid_until);
            let peers = totals.get(&record.incarnation_hash()).copied().unwrap_or(0.0);
            Some(Candidate {
                key,
                identity: xxh3_64(record.instance.as_bytes()),
                load: own_loads.get(key).copied().unwrap_or(0.0) + peers,
                slots: record.slots,
                is_near: record.failure_domain == self.failure_domain,
                is_avoided: failed || upstream.is_doubtful() || is_silent(&record.failure_domain),
                is_cold: cold.is_some(),
                is_ordered: self.is_ordered(service, &record.version),
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
            version: record.version.clone(),
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
            if let Some((_, upstream)) = directory.at_address(address).next() {
                *counts.entry(upstream.record.failure_domain.clone()).or_default() += 1;
            }
        }
        counts.into_iter().max_by_key(|(_, count)| *count).map(|(domain, _)| domain)
    }

    /// Sends something new to an upstream, if it may be sent to at the moment at which the first byte would leave.
    ///
    /// # Errors
    /// If no answer came.
    pub async fn send(&self, target: &Target, sending: Sending) -> Result<UpstreamResponse, SendFailure> {
        let Sending { request, rank, residency, connections_max } = sending;
        let pool = self.pool(target)?;
        let has_turn = Cell::new(false);
        let check = async || {
            self.check_region(target.key, &residency)?;
            if !has_turn.get() {
                self.take_turn(target.key)?;
                self.take_limited_turn(target, rank).await?;
                has_turn.set(true);
            }
            self.barred_since(target.key)
        };
        let sent = pool.send_if(request, self.connections_share(connections_max), check).await;
        self.note_listener(target.key, sent.as_ref().err());
        sent
    }

    /// Sends what is no new work: results that are given up, whatever becomes of the upstream. It counts where the upstream
    /// names a limit.
    ///
    /// # Errors
    /// If no answer came.
    pub async fn send_release(
        &self,
        target: &Target,
        sending: Sending,
    ) -> Result<UpstreamResponse, SendFailure> {
        let Sending { request, rank, connections_max, .. } = sending;
        let has_turn = Cell::new(false);
        let check = async || {
            if !has_turn.get() {
                self.take_limited_turn(target, rank).await?;
                has_turn.set(true);
            }
            Ok(())
        };
        let share = self.connections_share(connections_max);
        self.pool(target)?.send_if(request, share, check).await
    }

    /// Returns how many connections this node may open to an upstream that takes `connections_max` from all.
    fn connections_share(&self, connections_max: u32) -> usize {
        (f64::from(connections_max) * CONNECTIONS_PART / self.nodes.get() as f64) as usize
    }

    fn pool(&self, target: &Target) -> Result<ConnectionPool, SendFailure> {
        if self.directory.borrow().get(target.key).is_none() {
            return Err(SendFailure::NotSent("the upstream is gone".to_owned()));
        }
        let mut pools = self.pools.borrow_mut();
        let entry = pools.entry(target.key);
        let entry = entry.ok_or_else(|| SendFailure::NotSent("the upstream is gone".to_owned()))?;
        let pool = entry.or_insert_with(|| ConnectionPool::new(target.address, self.clock.clone()));
        if pool.address() != target.address {
            // Its record names another address now; what runs at the old one may end.
            *pool = ConnectionPool::new(target.address, self.clock.clone());
        }
        Ok(pool.clone())
    }
}

//! The upstreams of a node: their records, their connections, and the candidates for a request.
//!
//! The module `access` checks which sends to an upstream are allowed now, `announcements`
//! handles what upstreams announce in their responses, `announced_limits` the limits among it,
//! `loads` adds up the work of all nodes in flight there, `engine_speeds` the estimates of their
//! speeds, `health` decides which upstreams are
//! avoided, `versions` which versions get requests.

mod access;
mod announced_limits;
mod announcements;
mod brittle;
mod engine_speeds;
mod health;
mod loads;
mod reachability;
mod versions;

pub use {announced_limits::PermitTransport, announcements::LoadReport, loads::LoadGuard};

use {
    self::{
        access::ColdState, announced_limits::LimitedUpstreams, announcements::Announcements,
        brittle::BrittleUpstreams, engine_speeds::EngineSpeeds, health::Health, loads::PeerLoads,
        reachability::ServiceReachability, versions::VersionRules,
    },
    crate::{
        cold::PeakNodeCount,
        config::ConfigState,
        connections::{
            ConnectionPool, LentConnection, ResponseBody, SendFailure, UpstreamResponse,
        },
        connector::{Connector, Path},
        crash_detection::Incarnation,
        directory::{Change, Directory, Effect, Upstream},
        evacuations::Evacuations,
        model::{ResponseFields, UpstreamKey, incarnation_id},
        position::Position,
        residency::{Regions, Residency},
        selection::Candidate,
        settings::ColdSettings,
        telemetry,
        wire::Wire,
    },
    bytes::Bytes,
    fernring_core::clock::Clock,
    http::{Request, response::Parts},
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

/// Ratio of an upstream's connection limit that all nodes together use. The rest is for nodes that
/// are missing from the node count at the moment.
const SHARED_CONNECTIONS_RATIO: f64 = 0.7;

/// Returns the address of the worker that stores a result. The handle of the result begins with it.
pub fn worker_address(handle: &str) -> Option<SocketAddr> {
    handle.split('/').next()?.parse().ok()
}

impl Target {
    /// Returns a hash of the targeted incarnation, equal to that of its record in
    /// [`crate::model::UpstreamRecord`].
    pub fn incarnation_id(&self) -> u64 {
        incarnation_id(&self.instance, self.started_ms)
    }

    /// Returns the targeted incarnation.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation { instance: self.instance.clone(), started_ms: self.started_ms }
    }
}

/// Selects at most `max` items, continuing where the previous selection ended. `selected_count` is
/// the number of items selected so far, modulo the number of items.
fn rotate<T: Copy>(items: &[T], max: usize, selected_count: &mut usize) -> Vec<T> {
    let count = items.len().min(max);
    let first = *selected_count % items.len().max(1);
    *selected_count = first + count;
    items.iter().cycle().skip(first).take(count).copied().collect()
}

/// Wraps a predicate on failure domains so that it is computed once for each domain, regardless of
/// the number of upstreams there.
fn cached_by_domain(compute: impl Fn(&str) -> bool) -> impl FnMut(&Arc<str>) -> bool {
    let mut cache: Vec<(Arc<str>, bool)> = Vec::new();
    move |domain| {
        if let Some((_, result)) = cache.iter().find(|(cached_domain, _)| cached_domain == domain) {
            return *result;
        }
        let result = compute(domain);
        cache.push((domain.clone(), result));
        result
    }
}

/// The upstreams of a node.
#[derive(Debug)]
pub struct Upstreams {
    failure_domain: Arc<str>,
    clock: Rc<dyn Clock>,
    connector: Rc<Connector>,
    /// The reachability of each service that was logged last.
    logged_reachability: RefCell<HashMap<Arc<str>, ServiceReachability>>,
    /// Upstreams that peers don't reach directly, by peer and short hash, and until when that counts.
    peer_unreached: RefCell<HashMap<(SocketAddr, u32), Duration>>,
    /// Unreached upstreams published so far; selects the ones for the next heartbeat.
    unreached_published_count: Cell<usize>,
    directory: RefCell<Directory>,
    evacuations: RefCell<Evacuations>,
    regions: RefCell<Regions>,
    versions: RefCell<VersionRules>,
    pools: RefCell<SecondaryMap<UpstreamKey, ConnectionPool>>,
    health: RefCell<SecondaryMap<UpstreamKey, Health>>,
    own_loads: RefCell<SecondaryMap<UpstreamKey, f64>>,
    peer_loads: RefCell<PeerLoads>,
    engine_speeds: RefCell<EngineSpeeds>,
    node_count: Cell<usize>,
    config: Rc<RefCell<ConfigState>>,
    cold: RefCell<ColdState>,
    limited_upstreams: RefCell<LimitedUpstreams>,
    brittle: Rc<BrittleUpstreams>,
    announcements: RefCell<Announcements>,
    /// When records were last read from the store.
    records_read_at: Cell<Duration>,
    /// A time at which the records were the newest for certain; `None` before the first read.
    records_proved_at: Cell<Option<Duration>>,
}

/// A send of new work to an upstream.
#[derive(Debug)]
pub struct UpstreamSend {
    /// The request.
    pub request: Request<Full<Bytes>>,
    /// Its rank, as an index; 0 is the most urgent.
    pub rank: usize,
    /// Regions in which it may be served.
    pub residency: Residency,
    /// The version that the upstream must have, if not any.
    pub version: Option<Arc<str>>,
    /// Connections that the upstream accepts from all nodes together.
    pub connections_max: u32,
    /// Identifier that the response has to carry; `None` if responses to this request carry none.
    pub request_id: Option<Arc<str>>,
    /// Set before the first byte is written.
    pub has_begun: Rc<Cell<bool>>,
}

/// A response of an upstream whose body is still to be read.
#[derive(Debug)]
pub struct DecodedResponse {
    /// Status and headers.
    pub head: Parts,
    /// Body of the response.
    pub body: ResponseBody,
    /// The way that the response took.
    pub path: Path,
    /// The gateway's own fields in the headers.
    pub fields: ResponseFields,
    /// Whether it is the response to the request that was sent, by its identifier.
    pub is_for_request: bool,
}

/// The upstream that a send goes to, as it was when the upstream was chosen.
#[derive(Debug, Clone)]
pub struct Target {
    /// The upstream.
    pub key: UpstreamKey,
    /// Identity of the upstream; `key` differs between its incarnations.
    pub instance: Arc<str>,
    /// When its process started, in Unix milliseconds, if known.
    pub started_ms: Option<u64>,
    /// Its address.
    pub address: SocketAddr,
    /// Its failure domain.
    pub failure_domain: Arc<str>,
    /// Version of its software.
    pub version: Arc<str>,
    /// Position of its record in the store.
    pub record_position: Position,
}

impl Upstreams {
    /// Creates the state of a node in a failure domain that knows no upstreams yet.
    pub fn new(
        failure_domain: Arc<str>,
        clock: Rc<dyn Clock>,
        config: Rc<RefCell<ConfigState>>,
        cold: ColdSettings,
        connector: Rc<Connector>,
    ) -> Self {
        let cold = ColdState {
            settings: cold,
            node: rand::random(),
            started_at: clock.now().monotonic,
            peak_nodes: PeakNodeCount::default(),
            has_read_nodes: false,
            permits: SecondaryMap::new(),
            no_listener: SecondaryMap::new(),
        };
        Self {
            failure_domain,
            brittle: BrittleUpstreams::new(clock.clone()),
            clock,
            connector,
            logged_reachability: RefCell::default(),
            peer_unreached: RefCell::default(),
            unreached_published_count: Cell::default(),
            config,
            cold: RefCell::new(cold),
            limited_upstreams: RefCell::default(),
            announcements: RefCell::default(),
            directory: RefCell::default(),
            evacuations: RefCell::default(),
            regions: RefCell::default(),
            versions: RefCell::default(),
            pools: RefCell::default(),
            health: RefCell::default(),
            own_loads: RefCell::default(),
            peer_loads: RefCell::default(),
            engine_speeds: RefCell::default(),
            node_count: Cell::new(1),
            records_read_at: Cell::default(),
            records_proved_at: Cell::default(),
        }
    }

    /// Sets the number of nodes that share the upstreams.
    pub fn set_node_count(&self, node_count: usize) {
        self.node_count.set(node_count.max(1));
        self.cold.borrow_mut().peak_nodes.record(self.clock.now().monotonic, node_count);
    }

    /// Records that records were read from the store.
    pub fn mark_records_read(&self, now: Duration) {
        self.records_read_at.set(now.max(self.records_read_at.get()));
    }

    /// Returns the time since records were last read from the store.
    pub fn records_age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.records_read_at.get())
    }

    /// Records that the records were the newest at `at`. Unlike [`Self::mark_records_read`], neither
    /// a delay of the response nor a pause of this process makes `at` later than it was.
    pub fn mark_records_proved(&self, at: Duration) {
        self.records_proved_at.set(self.records_proved_at.get().max(Some(at)));
    }

    /// Returns the longest time for which the store may have had newer records, by this node's own
    /// reads; `None` if it hasn't read any.
    pub fn proved_records_age(&self, now: Duration) -> Option<Duration> {
        self.records_proved_at.get().map(|at| now.saturating_sub(at))
    }

    /// Returns the number of open connections to all upstreams.
    pub fn open_connections(&self) -> usize {
        self.pools.borrow().values().map(ConnectionPool::open_count).sum()
    }

    /// Gives access to the directory.
    pub fn directory(&self) -> std::cell::Ref<'_, Directory> {
        self.directory.borrow()
    }

    /// Applies changes of records and returns their effects.
    pub fn apply(&self, now: Duration, changes: Vec<Change>) -> Vec<Effect> {
        let mut directory = self.directory.borrow_mut();
        let effects = changes.into_iter().map(|change| directory.apply(now, change)).collect();
        drop(directory);
        self.drop_gone(effects)
    }

    /// Replaces all records and returns the effects.
    pub fn replace(&self, now: Duration, records: Vec<Change>, end: Position) -> Vec<Effect> {
        let effects = self.directory.borrow_mut().replace(now, records, end);
        self.drop_gone(effects)
    }

    /// Applies some of the records before the full read is complete.
    pub fn preview(&self, now: Duration, records: Vec<Change>) -> Vec<Effect> {
        let effects = self.directory.borrow_mut().preview(now, records);
        self.drop_gone(effects)
    }

    /// Records that all changes before a position were applied.
    pub fn advance(&self, end: Position) {
        self.directory.borrow_mut().advance(end);
    }

    /// Extends the time in which missing records count as possible lapses of the store, as a peer
    /// reported.
    pub fn extend_lapse_window(&self, now: Duration, time: Duration) {
        self.directory.borrow_mut().extend_lapse_window(now, time);
    }

    /// Records that the store didn't respond until now.
    pub fn record_store_outage(&self, now: Duration) {
        self.directory.borrow_mut().record_store_outage(now);
    }

    /// Expires what has become too old: removes upstreams that didn't come back, and closes idle
    /// connections.
    pub fn expire(&self, now: Duration) -> Vec<Effect> {
        for (_, pool) in self.pools.borrow().iter() {
            pool.expire();
        }
        self.expire_loads(now);
        self.engine_speeds.borrow_mut().expire(now);
        self.expire_limits(now);
        self.expire_brittle(now);
        self.expire_announcements(now);
        self.connector.expire();
        self.expire_peer_unreached(now);
        self.log_reachability();
        let effects = self.directory.borrow_mut().expire(now);
        self.drop_gone(effects)
    }

    /// Drops the state of upstreams that are gone. Requests in flight at an upstream that has
    /// restarted fail at once: behind a network partition, only timeouts of several seconds would
    /// end them.
    fn drop_gone(&self, effects: Vec<Effect>) -> Vec<Effect> {
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

    /// Drops all state of an upstream and returns its connections.
    fn forget(&self, key: UpstreamKey) -> Option<ConnectionPool> {
        self.health.borrow_mut().remove(key);
        self.forget_load(key);
        let mut cold = self.cold.borrow_mut();
        cold.permits.remove(key);
        cold.no_listener.remove(key);
        drop(cold);
        self.own_loads.borrow_mut().remove(key);
        self.pools.borrow_mut().remove(key)
    }

    /// Lists the upstreams of a service that may get new work of a rank and a residency.
    /// `is_unreachable` returns whether a failure domain is unreachable.
    pub fn candidates(
        &self,
        now: Duration,
        service: &str,
        rank: usize,
        residency: &Residency,
        is_unreachable: impl Fn(&str) -> bool,
    ) -> Vec<Candidate> {
        let directory = self.directory.borrow();
        let health = self.health.borrow();
        let own_loads = self.own_loads.borrow();
        let totals = &self.peer_loads.borrow().totals;
        let cold_start = self.cold_start(service);
        let mut is_unreachable = cached_by_domain(is_unreachable);
        let candidate = |(key, upstream): (UpstreamKey, &Upstream)| {
            let record = &upstream.record;
            if !self.allows_domain(residency, &record.failure_domain) {
                return None;
            }
            let cold = self.check_upstream(key, upstream, cold_start).ok()?;
            self.check_throttling(now, record, rank).ok()?;
            let has_failed = health.get(key).is_some_and(|health| now < health.avoid_until);
            let peer_load = totals.get(&record.incarnation_hash()).copied().unwrap_or(0.0);
            Some(Candidate {
                key,
                identity: xxh3_64(record.instance.as_bytes()),
                load: own_loads.get(key).copied().unwrap_or(0.0) + peer_load,
                relative_speed: 1.0,
                slots: record.slots,
                is_same_domain: record.failure_domain == self.failure_domain,
                is_avoided: has_failed
                    || upstream.has_lapsed()
                    || is_unreachable(&record.failure_domain),
                is_cold: cold.is_some(),
                is_rollout_target: self.is_destination_version(service, &record.version),
            })
        };
        directory.of_service(service).filter_map(candidate).collect()
    }

    /// Returns the target for sends to an upstream, unless the upstream is gone.
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
            record_position: upstream.at,
        })
    }

    /// Returns the failure domain that stores most of some results, by their handles.
    pub fn domain_with_most_results(&self, handles: &[Arc<str>]) -> Option<Arc<str>> {
        let directory = self.directory.borrow();
        let mut counts: HashMap<Arc<str>, usize> = HashMap::new();
        for address in handles.iter().filter_map(|handle| worker_address(handle)) {
            if let Some((_, upstream)) = directory.at_address(address).next() {
                *counts.entry(upstream.record.failure_domain.clone()).or_default() += 1;
            }
        }
        counts.into_iter().max_by_key(|(_, count)| *count).map(|(domain, _)| domain)
    }

    /// Sends new work to an upstream, if that is allowed at the moment at which the first byte
    /// would leave.
    ///
    /// # Errors
    /// Returns an error if no response arrived.
    pub async fn send(
        &self,
        wire: &dyn Wire,
        target: &Target,
        send: UpstreamSend,
    ) -> Result<DecodedResponse, SendFailure> {
        let UpstreamSend {
            request,
            rank,
            residency,
            version,
            connections_max,
            request_id,
            has_begun,
        } = send;
        let pool = self.pool(target)?;
        let has_permit = Cell::new(false);
        let brittle_permit = RefCell::new(None);
        let check = async || {
            self.check_region(target.key, &residency)?;
            self.check_version(target.key, version.as_deref())?;
            if !has_permit.get() {
                self.acquire_permit(target.key)?;
                self.acquire_limit_permit(target, rank).await?;
                let permit = self.acquire_brittle_permit(target).await?;
                brittle_permit.replace(permit);
                has_permit.set(true);
            }
            self.ineligible_since(target.key)?;
            has_begun.set(true);
            Ok(())
        };
        let sent_at = self.clock.now().monotonic;
        let sent = pool.send_if(request, self.connections_share(connections_max), check).await;
        self.record_connect_result(target.key, sent.as_ref().err());
        let mut response = self.decode(wire, target, sent_at, request_id.as_deref(), sent?);
        if let Some(permit) = brittle_permit.into_inner() {
            if response.fields.not_run {
                permit.record_rejection();
            } else {
                response.body.keep_until_end(permit);
            }
        }
        Ok(response)
    }

    /// Sends a release of results, which is no new work and doesn't depend on the state of the
    /// upstream. It counts against the limit of an upstream that announces one, and isn't sent within
    /// a pause that the upstream requested.
    ///
    /// # Errors
    /// Returns an error if no response arrived.
    pub async fn send_release(
        &self,
        wire: &dyn Wire,
        target: &Target,
        send: UpstreamSend,
    ) -> Result<DecodedResponse, SendFailure> {
        let UpstreamSend { request, rank, connections_max, request_id, .. } = send;
        let has_permit = Cell::new(false);
        let check = async || {
            if !has_permit.get() {
                self.acquire_limit_permit(target, rank).await?;
                has_permit.set(true);
            }
            self.check_backoff(target)
        };
        let share = self.connections_share(connections_max);
        let sent_at = self.clock.now().monotonic;
        let response = self.pool(target)?.send_if(request, share, check).await?;
        Ok(self.decode(wire, target, sent_at, request_id.as_deref(), response))
    }

    fn decode(
        &self,
        wire: &dyn Wire,
        target: &Target,
        sent_at: Duration,
        request_id: Option<&str>,
        response: UpstreamResponse,
    ) -> DecodedResponse {
        let UpstreamResponse { head, body, path } = response;
        let fields = wire.decode_response(head.status, &head.headers);
        let is_for_request = request_id.is_none() || fields.request_id.as_deref() == request_id;
        if let Some(upstream) = self.directory.borrow().get(target.key) {
            telemetry::record_response_path(&upstream.record.service, path.name());
        }
        self.record_response(target, sent_at, &fields, is_for_request);
        self.record_unknown_headers(wire, target, &head.headers);
        DecodedResponse { head, body, path, fields, is_for_request }
    }

    /// Returns how many connections this node may open to an upstream that accepts
    /// `connections_max` from all nodes together.
    fn connections_share(&self, connections_max: u32) -> usize {
        (f64::from(connections_max) * SHARED_CONNECTIONS_RATIO / self.node_count.get() as f64)
            as usize
    }

    /// Counts a connection of a peer to an upstream as one of those that this node may open; `None`
    /// if none is left.
    pub fn lend_connection(&self, address: SocketAddr) -> Option<LentConnection> {
        let (key, connections_max) = {
            let directory = self.directory.borrow();
            let (key, upstream) = directory.at_address(address).next()?;
            (key, self.config.borrow().connections_max(&upstream.record.service))
        };
        self.pool(&self.target(key)?).ok()?.lend(self.connections_share(connections_max).max(1))
    }

    fn pool(&self, target: &Target) -> Result<ConnectionPool, SendFailure> {
        if self.directory.borrow().get(target.key).is_none() {
            return Err(SendFailure::NotSent("the upstream is gone".to_owned()));
        }
        let mut pools = self.pools.borrow_mut();
        let entry = pools.entry(target.key);
        let entry = entry.ok_or_else(|| SendFailure::NotSent("the upstream is gone".to_owned()))?;
        let pool = entry.or_insert_with(|| self.new_pool(target.address));
        if pool.address() != target.address {
            // Its record has a new address; requests in flight at the old one may finish.
            *pool = self.new_pool(target.address);
        }
        Ok(pool.clone())
    }

    fn new_pool(&self, address: SocketAddr) -> ConnectionPool {
        ConnectionPool::new(address, self.clock.clone(), self.connector.clone())
    }
}

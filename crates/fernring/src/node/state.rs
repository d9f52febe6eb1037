//! The shared state of a node.

use {
    super::{claim_loop, config_loop, order_loop, peer_loop, report_loop},
    crate::{
        peer::{Peer, TcpPeer},
        settings::Settings,
        upstream::{HttpUpstream, Upstream},
    },
    anyhow::Context,
    fernring_core::{
        change::Version,
        clock::{Clock, Now, SystemClock, saturating_ms},
        ids::{Incarnation, RequestKey, ScopedKey, WaiterId},
        text::LogLine,
    },
    fernring_platform::{HttpLog, HttpVmList, LogService, VmList},
    fernring_policy::{
        answer::Answer,
        cost::{Cost, CostKey},
        dispatcher::{Dispatcher, Identity},
        event::{Action, Counters, Event, KeyStatus, Submission},
        fold::ConfigFold,
        membership::{Heartbeat, Membership, ReportDigest, upstream_hash},
        placement::{GrantHolder, PlacementController},
    },
    spdlog::{debug, info},
    std::{
        collections::{BTreeMap, HashMap},
        net::SocketAddr,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{
        net::TcpListener,
        sync::{Notify, mpsc, oneshot},
    },
    uuid::Uuid,
};

/// Longest sleep until a timer before the clock is read again: the clock counts the time for which the VM was
/// suspended, the runtime's timers don't.
const TIMER_SLEEP_MAX: Duration = Duration::from_millis(200);

/// An event for the caller that waits for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WaiterEvent {
    /// The next part of the last stage's answer.
    Part(Arc<str>),
    /// The final answer. Nothing follows it.
    Final(Answer),
}

/// The shared state of a node, each part behind its own lock.
///
/// Lock order: `dispatcher` before `waiters` and `cancel_senders`; `fold` and `membership` are never
/// held together with another lock.
pub struct Node {
    pub(super) settings: Settings,
    pub(super) identity: Identity,
    bound_address: SocketAddr,
    pub(super) clock: Arc<dyn Clock>,
    pub(super) log: Arc<dyn LogService>,
    pub(super) vm_list: Arc<dyn VmList>,
    pub(super) upstream: Arc<dyn Upstream>,
    pub(super) peer: Arc<dyn Peer>,
    pub(super) dispatcher: Mutex<Dispatcher>,
    pub(super) fold: Mutex<ConfigFold>,
    pub(super) membership: Mutex<Membership>,
    pub(super) placement: Mutex<PlacementController>,
    /// Models that each upstream holds, from its last report to this node.
    pub(super) models_by_upstream: Mutex<BTreeMap<String, Vec<String>>>,
    /// Names of the failure domain's upstreams by their short hash, to resolve reports sent by other nodes.
    pub(super) names_by_hash: Mutex<Arc<HashMap<u32, String>>>,
    /// Reports of the upstreams that this node polls, sent with its heartbeats.
    pub(super) own_reports: Mutex<BTreeMap<u32, ReportDigest>>,
    pub(super) waiters: Mutex<HashMap<WaiterId, mpsc::UnboundedSender<WaiterEvent>>>,
    pub(super) cancel_senders: Mutex<HashMap<u64, oneshot::Sender<()>>>,
    pub(super) timer_changed: Notify,
    pub(super) draining: AtomicBool,
    next_waiter: AtomicU64,
    open_responses: AtomicU64,
    /// Monotonic time of the last successful read of the configuration stream, in milliseconds.
    pub(super) config_read_at_ms: AtomicU64,
    pub(super) leaving_vms: Mutex<Vec<String>>,
}

/// Held while a response is being written, so that a drain waits for it.
pub struct OpenResponse(Arc<Node>);

impl Drop for OpenResponse {
    fn drop(&mut self) {
        self.0.open_responses.fetch_sub(1, Ordering::SeqCst);
    }
}

/// The status of a node, as shown to operators.
#[derive(Debug, Clone)]
pub struct NodeStatus {
    /// Identity of the node.
    pub identity: Identity,
    /// Version of the configuration in force.
    pub config_version: Version,
    /// Time since the configuration stream was last read, in milliseconds.
    pub config_age_ms: u64,
    /// Highest configuration version that a peer has in force.
    pub highest_peer_version: Version,
    /// Whether the node missed records of the configuration stream.
    pub config_gap: bool,
    /// Whether the node accepts requests.
    pub ready: bool,
    /// Whether the node is shutting down.
    pub draining: bool,
    /// Live nodes of the failure domain that accept requests, this one included.
    pub live_nodes: u32,
    /// Counters of requests and attempts.
    pub counters: Counters,
    /// Number of keys known from the claim stream.
    pub claims_known: usize,
    /// Costs of each stage.
    pub costs: Vec<(CostKey, Cost)>,
    /// Holder of the grant to order the failure domain's engines.
    pub order_holder: Option<GrantHolder>,
}

/// The status of an upstream, as known to a node.
#[derive(Debug, Clone)]
pub struct UpstreamStatus {
    /// Name of the upstream.
    pub name: String,
    /// Models that the upstream reported.
    pub models: Vec<String>,
}

pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Node {
    /// Starts a node: its peer listener and background loops. The node accepts requests once it
    /// knows a configuration.
    ///
    /// # Errors
    /// If the peer address can't be listened on or the HTTP library can't be set up.
    pub async fn start(settings: Settings) -> anyhow::Result<Arc<Self>> {
        let peer_address = settings.node.peer_address;
        let listener = TcpListener::bind(peer_address)
            .await
            .with_context(|| format!("could not listen on node.peer_address = {peer_address}"))?;
        let bound_address =
            listener.local_addr().context("could not read the bound peer address")?;
        let node = Arc::new(Self::new(settings, bound_address)?);
        tokio::spawn(peer_loop::serve(node.clone(), listener));
        tokio::spawn(peer_loop::exchange_heartbeats(node.clone()));
        tokio::spawn(config_loop::run(node.clone()));
        tokio::spawn(config_loop::append_snapshots(node.clone()));
        tokio::spawn(claim_loop::run(node.clone()));
        tokio::spawn(order_loop::run(node.clone()));
        tokio::spawn(report_loop::poll_upstreams(node.clone()));
        tokio::spawn(report_loop::read_vm_list(node.clone()));
        tokio::spawn(node.clone().run_timers());
        Ok(node)
    }

    fn new(settings: Settings, bound_address: SocketAddr) -> anyhow::Result<Self> {
        let address = settings.node.peer_advertised.unwrap_or(bound_address);
        let source = Some(bound_address.ip()).filter(|ip| !ip.is_unspecified());
        let incarnation = Incarnation(Uuid::now_v7());
        let failure_domain: Arc<str> = settings.node.failure_domain.as_str().into();
        let identity = Identity { incarnation, address, failure_domain: failure_domain.clone() };
        let timeout = Duration::from_millis(settings.platform.timeout_ms);
        let connect_timeout = Duration::from_millis(settings.limits.connect_timeout_ms);
        let upstream = HttpUpstream::new(connect_timeout, source);
        let seed = incarnation.0.as_u128() as u64;
        let dispatcher = Dispatcher::new(identity.clone(), settings.policy.clone(), seed);
        let heartbeat = Duration::from_millis(settings.peers.heartbeat_ms);
        let mut membership =
            Membership::new(incarnation, address, failure_domain.clone(), heartbeat);
        membership.set_hints(settings.peers.seeds.iter().map(Into::into));
        let grant_validity = Duration::from_millis(settings.peers.grant_valid_ms);
        Ok(Self {
            log: Arc::new(HttpLog::new(settings.platform.log_address, timeout, source)),
            vm_list: Arc::new(HttpVmList::new(settings.platform.vm_list_address, timeout, source)),
            upstream: Arc::new(upstream),
            peer: Arc::new(TcpPeer::new(bound_address.ip())),
            clock: Arc::new(SystemClock::new()),
            dispatcher: Mutex::new(dispatcher),
            fold: Mutex::new(ConfigFold::new()),
            membership: Mutex::new(membership),
            placement: Mutex::new(PlacementController::new(
                incarnation,
                failure_domain,
                grant_validity,
            )),
            models_by_upstream: Mutex::default(),
            names_by_hash: Mutex::default(),
            own_reports: Mutex::default(),
            waiters: Mutex::default(),
            cancel_senders: Mutex::default(),
            timer_changed: Notify::new(),
            draining: AtomicBool::new(false),
            next_waiter: AtomicU64::new(1),
            open_responses: AtomicU64::new(0),
            config_read_at_ms: AtomicU64::new(0),
            leaving_vms: Mutex::default(),
            settings,
            identity,
            bound_address,
        })
    }

    /// Returns the settings of the node.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns the identity of the node.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// Returns the address on which the node accepts connections of other nodes.
    pub fn bound_address(&self) -> SocketAddr {
        self.bound_address
    }

    /// Reads the clock.
    pub fn now(&self) -> Now {
        self.clock.now()
    }

    /// Passes an event to the dispatcher and executes the actions that it returns.
    pub fn handle(self: &Arc<Self>, event: Event) {
        let mut lines = Vec::new();
        {
            let mut dispatcher = lock(&self.dispatcher);
            let before = dispatcher.next_timer();
            let actions = dispatcher.handle(self.now(), event);
            if dispatcher.next_timer() != before {
                self.timer_changed.notify_one();
            }
            // Parts must reach their waiters in the order in which the dispatcher returned them, so
            // every action except log lines is executed under the lock; none of them blocks.
            for action in actions {
                match action {
                    Action::Log(line) => lines.push(line),
                    action => self.execute(action),
                }
            }
        }
        for line in lines {
            debug!("{line}");
        }
    }

    /// Submits a request; returns its waiter and the channel on which its events arrive.
    pub fn submit(
        self: &Arc<Self>,
        build: impl FnOnce(WaiterId) -> Submission,
    ) -> (WaiterId, mpsc::UnboundedReceiver<WaiterEvent>) {
        let waiter = WaiterId(self.next_waiter.fetch_add(1, Ordering::Relaxed));
        let (sender, receiver) = mpsc::unbounded_channel();
        lock(&self.waiters).insert(waiter, sender);
        self.handle(Event::Submit(build(waiter)));
        (waiter, receiver)
    }

    /// Removes a waiter whose caller has left, and informs the dispatcher.
    pub fn remove_waiter(self: &Arc<Self>, waiter: WaiterId) {
        if lock(&self.waiters).remove(&waiter).is_some() {
            self.handle(Event::WaiterLeft(waiter));
        }
    }

    /// Mints tickets.
    ///
    /// # Errors
    /// Returns the refusals of [`Dispatcher::mint_tickets`].
    pub fn mint_tickets(&self, count: u64) -> Result<Vec<RequestKey>, Answer> {
        lock(&self.dispatcher).mint_tickets(self.now(), count)
    }

    /// Returns the status of a key as known to this node.
    pub fn key_status(&self, key: &ScopedKey) -> KeyStatus {
        lock(&self.dispatcher).key_status(key)
    }

    /// Returns the client for requests to other nodes.
    pub fn peer(&self) -> &Arc<dyn Peer> {
        &self.peer
    }

    /// Returns whether the node accepts requests.
    pub fn is_ready(&self) -> bool {
        !self.is_draining() && lock(&self.fold).is_ready()
    }

    /// Returns whether the node knows a configuration.
    pub fn is_configured(&self) -> bool {
        lock(&self.fold).is_ready()
    }

    /// Returns whether the node is shutting down.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Stops accepting new requests.
    pub fn drain(self: &Arc<Self>) {
        if !self.draining.swap(true, Ordering::SeqCst) {
            self.handle(Event::Drain);
            info!("{}", LogLine::event("drain").with("in_flight", self.counters().in_flight));
        }
    }

    /// Returns whether nothing is in flight and no response is being written.
    pub fn is_idle(&self) -> bool {
        let dispatcher = lock(&self.dispatcher);
        let idle = dispatcher.counters().in_flight == 0
            && dispatcher.relays_in_flight() == 0
            && dispatcher.attempts_in_flight() == 0;
        idle && self.open_responses.load(Ordering::SeqCst) == 0
    }

    /// Counts a response as being written until the returned guard is dropped.
    pub fn open_response(self: &Arc<Self>) -> OpenResponse {
        self.open_responses.fetch_add(1, Ordering::SeqCst);
        OpenResponse(self.clone())
    }

    /// Returns whether more callers are being served than `limits.callers_max` allows.
    pub fn is_full(&self) -> bool {
        self.open_responses.load(Ordering::SeqCst) > self.settings.limits.callers_max
    }

    /// Returns the counters of requests and attempts.
    pub fn counters(&self) -> Counters {
        lock(&self.dispatcher).counters()
    }

    /// Returns the status of the node, as shown to operators.
    pub fn status(&self) -> NodeStatus {
        let now = self.now();
        let (live_nodes, highest_peer_version) = {
            let membership = lock(&self.membership);
            (membership.live_nodes(now.monotonic), membership.highest_version())
        };
        let (config_version, config_gap) = {
            let fold = lock(&self.fold);
            (fold.version(), fold.has_gap())
        };
        let order_holder = lock(&self.placement).holder();
        let ready = self.is_ready();
        let dispatcher = lock(&self.dispatcher);
        let costs = dispatcher.costs().rows().map(|(key, cost)| (key.clone(), *cost)).collect();
        let read_at_ms = self.config_read_at_ms.load(Ordering::Relaxed);
        NodeStatus {
            identity: self.identity.clone(),
            config_version,
            config_age_ms: saturating_ms(now.monotonic).saturating_sub(read_at_ms),
            highest_peer_version,
            config_gap,
            ready,
            draining: self.is_draining(),
            live_nodes,
            counters: dispatcher.counters(),
            claims_known: dispatcher.claim_view().len(),
            costs,
            order_holder,
        }
    }

    /// Lists the upstreams and the models that they reported.
    pub fn upstreams(&self) -> Vec<UpstreamStatus> {
        let models = lock(&self.models_by_upstream).clone();
        let fold = lock(&self.fold);
        let names = fold.catalog().upstreams.keys();
        let status = |name: &String| UpstreamStatus {
            name: name.clone(),
            models: models.get(name).cloned().unwrap_or_default(),
        };
        names.map(status).collect()
    }

    /// Applies the folded configuration if it changed.
    pub(super) fn apply_config(self: &Arc<Self>, changed: bool) {
        if !changed {
            return;
        }
        let (catalog, version) = {
            let fold = lock(&self.fold);
            (fold.catalog().clone(), fold.version())
        };
        info!("{}", LogLine::event("configured").with("version", version));
        let domain = self.identity.failure_domain.as_ref();
        let in_domain = catalog.upstreams_in_domain(domain);
        let names = in_domain.map(|(name, _)| (upstream_hash(name), name.to_owned())).collect();
        *lock(&self.names_by_hash) = Arc::new(names);
        self.handle(Event::Configured(catalog));
    }

    /// Returns the heartbeat of this node, without reports of upstreams.
    pub(super) fn heartbeat(&self) -> Heartbeat {
        let config_version = lock(&self.fold).version();
        let mut dispatcher = lock(&self.dispatcher);
        Heartbeat {
            incarnation: self.identity.incarnation,
            address: self.identity.address,
            failure_domain: self.identity.failure_domain.clone(),
            config_version,
            in_flight: dispatcher.counters().in_flight,
            draining: self.is_draining(),
            demand: dispatcher.demand(self.now()),
            reports: Vec::new(),
        }
    }

    async fn run_timers(self: Arc<Self>) {
        loop {
            let next = lock(&self.dispatcher).next_timer();
            let now = self.now().monotonic;
            match next {
                Some(at) if at <= now => self.handle(Event::Tick),
                Some(at) => {
                    tokio::select! {
                    () = tokio::time::sleep((at - now).min(TIMER_SLEEP_MAX)) => {}
                    () = self.timer_changed.notified() => {}
                    }
                }
                None => self.timer_changed.notified().await,
            }
        }
    }
}

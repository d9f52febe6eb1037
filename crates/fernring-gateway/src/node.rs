//! A gateway node: puts the parts together and carries them through start, reload and shutdown.

use {
    crate::{
        alarm::Alarm,
        blame::Blame,
        config::ConfigState,
        context::Serving,
        following::{Following, Reply},
        ingress::{Ingress, Phase},
        log,
        telemetry::{self, GaugeValues},
        members::Member,
        owner::{Owner, Parts},
        peers::{PeerHandler, Peers},
        position::Position,
        reading::ReadingSpeeds,
        records::{change_from, directory_record, evacuation_from, evacuation_word},
        retries::Retries,
        rollout::{orders::Standing, shell::Rollouts},
        settings::{NodeSettings, Settings, load},
        stages::Stages,
        store_loops::{Followed, PeerRecords, StoreLoops},
        upstreams::{Counters, Upstreams},
        wire::{Store, Wire},
    },
    anyhow::Context,
    bytes::Bytes,
    fernring_core::{clock::Clock, text::LogLine},
    fernring_protocol::{
        gateway::{
            CompressedConfig, DirectoryList, DirectoryRecords, DirectoryRequest, GatewayBody,
            GatewayHeartbeat, LoadScope, Empty, PermitResponse, PermitRequest,
        },
        compression::{compress, decompress},
    },
    http::{Request, Response, StatusCode},
    http_body_util::Full,
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::TokioIo,
    prost::Message,
    std::{
        cell::{Cell, RefCell},
        convert::Infallible,
        net::SocketAddr,
        path::{Path, PathBuf},
        rc::Rc,
        sync::Arc,
        time::{Duration, SystemTime},
    },
    tokio::{
        net::{TcpListener, TcpStream},
        signal::unix::{SignalKind, signal},
        task::spawn_local,
        time::sleep,
    },
};

/// Path of the metrics on the ready address.
const METRICS_PATH: &str = "/metrics";
/// Records up to which they are passed on as they are.
const UNCOMPRESSED_RECORDS_MAX: usize = 500;
/// How long packed records are passed on: what they say of cold upstreams is that old.
const COMPRESSED_LIFETIME: Duration = Duration::from_secs(1);
/// How often the settings file is looked at for a change that no signal announced.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Time before the end of the grace at which the process ends, whatever is still open.
const GRACE_MARGIN: Duration = Duration::from_millis(400);
/// How often a shutting-down node looks whether everything is done.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A gateway node.
pub struct Node {
    settings: RefCell<Settings>,
    wire: Rc<dyn Wire>,
    config: Rc<RefCell<ConfigState>>,
    upstreams: Rc<Upstreams>,
    peers: Rc<Peers>,
    stages: Rc<Stages>,
    retries: Rc<Retries>,
    ingress: Rc<Ingress>,
    serving: Rc<Serving>,
    loops: Rc<StoreLoops>,
    compressed: RefCell<Option<CompressedDirectory>>,
    render: Box<dyn Fn() -> String>,
}

/// All upstreams' records, as they were packed for a peer.
struct CompressedDirectory {
    end: Position,
    at: Duration,
    bytes: Bytes,
}

/// What a node is built on.
pub struct NodeDependencies {
    /// The clock.
    pub clock: Rc<dyn Clock>,
    /// The platform's formats.
    pub wire: Rc<dyn Wire>,
    /// The platform's store.
    pub store: Rc<dyn Store>,
    /// Renders the metrics that were recorded.
    pub render_metrics: Box<dyn Fn() -> String>,
}

/// The sockets that a node listens on.
#[derive(Debug)]
pub struct Listeners {
    /// For callers.
    pub callers: TcpListener,
    /// For the balancer.
    pub ready: TcpListener,
    /// For other nodes.
    pub peers: TcpListener,
}

impl Listeners {
    /// Binds the addresses of the settings, and writes into these what ports were given where
    /// they name none.
    ///
    /// # Errors
    /// If an address can't be bound.
    pub async fn bind(node: &mut NodeSettings) -> anyhow::Result<Self> {
        async fn bind(address: &mut SocketAddr) -> anyhow::Result<TcpListener> {
            let listener = TcpListener::bind(*address).await;
            let listener = listener.with_context(|| format!("can't listen on {address}"))?;
            *address = listener.local_addr()?;
            Ok(listener)
        }
        Ok(Self {
            callers: bind(&mut node.caller_address).await?,
            ready: bind(&mut node.ready_address).await?,
            peers: bind(&mut node.peer_address).await?,
        })
    }
}

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
/// If signals can't be received.
pub fn stop_signal() -> anyhow::Result<impl Future<Output = ()>> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    Ok(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    })
}

impl Node {
    /// Puts a node together.
    pub fn new(settings: Settings, foundation: NodeDependencies) -> Rc<Self> {
        let NodeDependencies { clock, wire, store, render_metrics: render } = foundation;
        let failure_domain: Arc<str> = settings.node.failure_domain.as_str().into();
        let me = Member {
            incarnation: rand::random(),
            ..Member::new(settings.node.peer_address, failure_domain.clone())
        };
        let config = Rc::new(RefCell::new(ConfigState::default()));
        let upstreams =
            Rc::new(Upstreams::new(failure_domain, clock.clone(), config.clone(), settings.cold));
        let peers = Rc::new(Peers::new(me, clock.clone()));
        let retries = Rc::new(Retries::new(settings.retries.allowance(), peers.clone()));
        let rules = Rc::new(Cell::new(settings.decide));
        let blame = Rc::new(Blame::new(
            clock.clone(),
            store.clone(),
            upstreams.clone(),
            peers.clone(),
            rules.clone(),
        ));
        let rollouts = Rc::new(Rollouts::new(
            clock.clone(),
            wire.clone(),
            store.clone(),
            config.clone(),
            upstreams.clone(),
            peers.clone(),
            settings.rollout,
        ));
        let owner = Rc::new(Owner::new(Parts {
            clock: clock.clone(),
            wire: wire.clone(),
            config: config.clone(),
            upstreams: upstreams.clone(),
            peers: peers.clone(),
            blame: blame.clone(),
            rollouts: rollouts.clone(),
            rules: rules.clone(),
        }));
        let stages =
            Rc::new(Stages::new(clock.clone(), peers.clone(), owner.clone(), upstreams.clone()));
        let alarm = Rc::new(Alarm::new(clock.clone()));
        let serving = Rc::new(Serving {
            clock: clock.clone(),
            alarm: alarm.clone(),
            wire: wire.clone(),
            config: config.clone(),
            upstreams: upstreams.clone(),
            peers: peers.clone(),
            stages: stages.clone(),
            reading: ReadingSpeeds::default(),
            rules,
            retries: retries.clone(),
            rollouts: rollouts.clone(),
            blame: blame.clone(),
            in_flight: Cell::new(0),
        });
        let ingress = Rc::new(Ingress::new(serving.clone(), config.clone()));
        let started_at = clock.now().monotonic;
        let loops = Rc::new(StoreLoops {
            clock,
            alarm,
            wire: wire.clone(),
            store,
            config: config.clone(),
            upstreams: upstreams.clone(),
            owner: owner.clone(),
            blame: blame.clone(),
            rollouts: rollouts.clone(),
            peers: peers.clone(),
            following: [(); 2].map(|()| RefCell::new(Following::new(rand::random()))),
            started_at,
            store_answers: Cell::new(true),
            word_bound: Cell::new(settings.evacuation.within()),
            is_unheard: Cell::default(),
            joined_in: Cell::default(),
        });
        spawn_local(owner.clone().run());
        spawn_local(owner.run_releases());
        spawn_local(blame.run());
        spawn_local(rollouts.run());
        let settings = RefCell::new(settings);
        let node = Rc::new(Self {
            settings,
            wire,
            config,
            upstreams,
            peers: peers.clone(),
            stages,
            retries,
            ingress,
            serving,
            loops,
            compressed: RefCell::default(),
            render,
        });
        peers.set_handler(node.clone());
        node.upstreams.set_counters(Rc::new(PeerCounters(peers)));
        node.apply_link_bandwidth();
        node.apply_regions();
        node
    }

    /// Sets what may be passed on to peers, by the settings.
    fn apply_link_bandwidth(&self) {
        let link = self.settings.borrow().node.link_bytes_per_s();
        for what in [Followed::Config, Followed::Upstreams] {
            self.loops.following(what).borrow_mut().set_link(link);
        }
        self.peers.set_link(self.settings.borrow().node.link_mbps.round() as u32);
    }

    /// Sets the region of each failure domain, by the settings.
    fn apply_regions(&self) {
        self.upstreams.set_regions(self.settings.borrow().regions());
    }

    /// Runs the node until `stop` is done, then finishes everything in flight; `settings_path` is
    /// read again when it changes.
    pub async fn run(
        self: Rc<Self>,
        listeners: Listeners,
        settings_path: PathBuf,
        stop: impl Future<Output = ()>,
    ) {
        let node = self.settings.borrow().node.clone();
        let line = LogLine::event("started").with("node", &node.name);
        log::info(line.with("failure_domain", &node.failure_domain));
        self.peers.suggest(node.seeds);
        spawn_local(self.ingress.clone().listen(listeners.callers));
        spawn_local(self.clone().listen_ready(listeners.ready));
        spawn_local(self.peers.clone().listen(listeners.peers));
        spawn_local(self.peers.clone().run_heartbeats());
        spawn_local(self.loops.clone().follow_config());
        spawn_local(self.loops.clone().follow_upstreams());
        spawn_local(self.loops.clone().join());
        spawn_local(self.loops.clone().expire());
        spawn_local(self.clone().watch_settings(settings_path));
        stop.await;
        self.shut_down().await;
    }

    /// Returns the upstreams that the node knows.
    pub fn upstreams(&self) -> &Upstreams {
        &self.upstreams
    }

    /// Returns the number of live nodes that this one knows, itself included.
    pub fn peer_count(&self) -> usize {
        self.peers.nodes()
    }

    /// Returns the version of the configuration in force.
    pub fn config_version(&self) -> u64 {
        self.config.borrow().version()
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> isize {
        self.serving.in_flight.get()
    }

    /// Returns how far the newest order to roll out a version of a service is, if it has one.
    pub fn rollout_progress(&self, service: &str) -> Option<Standing> {
        self.serving.rollouts.standing(service)
    }

    /// Returns the number of contents that are turned away, since upstreams ended under them.
    pub fn quarantined_count(&self) -> usize {
        self.serving.blame.turned_away()
    }

    /// Finishes everything in flight, then returns.
    async fn shut_down(&self) {
        let shutdown = self.settings.borrow().shutdown;
        let started = self.serving.now();
        let end = started + Duration::from_secs_f64(shutdown.grace_s).saturating_sub(GRACE_MARGIN);
        log::info(LogLine::event("stopping").with("in_flight", self.serving.in_flight.get()));
        self.ingress.set_phase(Phase::Leaving);
        self.peers.set_draining();
        self.loops.leave().await;
        let leave = Duration::from_secs_f64(shutdown.leave_s);
        self.serving.alarm.until(started + leave).await;
        self.ingress.set_phase(Phase::Closing);
        while self.ingress.open() > 0 && self.serving.now() < end {
            sleep(DRAIN_POLL_INTERVAL).await;
        }
        log::info(LogLine::event("stopped").with("in_flight", self.serving.in_flight.get()));
    }

    async fn watch_settings(self: Rc<Self>, path: PathBuf) {
        let mut hangup = match signal(SignalKind::hangup()) {
            Ok(hangup) => hangup,
            Err(error) => {
                log::warn(LogLine::event("signal_failed").with("error", error));
                return;
            }
        };
        let mut seen = modified_at(&path);
        loop {
            let is_signal = tokio::select! {
                _ = hangup.recv() => true,
                () = sleep(SETTINGS_POLL_INTERVAL) => false,
            };
            let modified = modified_at(&path);
            if is_signal || modified != seen {
                seen = modified;
                self.reload(&path);
            }
        }
    }

    /// Puts changed settings in force; bad ones are refused and the old ones stay.
    fn reload(&self, path: &Path) {
        let settings = match load(path) {
            Ok(settings) => settings,
            Err(error) => {
                log::warn(LogLine::event("settings_refused").with("error", error));
                return;
            }
        };
        self.retries.set_allowance(settings.retries.allowance());
        self.serving.rules.set(settings.decide);
        self.upstreams.set_cold_bounds(settings.cold);
        self.serving.rollouts.set_settings(settings.rollout);
        self.loops.word_bound.set(settings.evacuation.within());
        self.peers.suggest(settings.node.seeds.iter().copied());
        *self.settings.borrow_mut() = settings;
        self.apply_link_bandwidth();
        self.apply_regions();
        log::info(LogLine::event("settings_taken"));
    }

    async fn listen_ready(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    spawn_local(self.clone().serve_ready(stream));
                }
                Err(error) => {
                    log::warn(LogLine::event("accept_failed").with("error", error));
                    sleep(DRAIN_POLL_INTERVAL).await;
                }
            }
        }
    }

    async fn serve_ready(self: Rc<Self>, stream: TcpStream) {
        let service = service_fn(|request: Request<Incoming>| {
            let response = self.ready_response(request.uri().path());
            async move { Ok::<_, Infallible>(response) }
        });
        let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        if let Err(error) = served {
            log::info(LogLine::event("connection_broken").with("error", error));
        }
    }

    fn ready_response(&self, path: &str) -> Response<Full<Bytes>> {
        if path == METRICS_PATH {
            return Response::new(self.render_metrics().into());
        }
        let mut response = Response::new(Full::default());
        *response.status_mut() = match path == self.wire.readiness_path() {
            true if self.is_ready() => StatusCode::OK,
            true => StatusCode::SERVICE_UNAVAILABLE,
            false => StatusCode::NOT_FOUND,
        };
        response
    }

    fn render_metrics(&self) -> String {
        let directory = self.upstreams.directory();
        telemetry::set_reachable_nodes(&self.peers.heard_by_domain());
        telemetry::set_gauges(GaugeValues {
            config_version: self.config.borrow().version(),
            config_age: self.loops.age(Followed::Config),
            nodes: self.peers.nodes(),
            is_delegate: self.peers.is_delegate(),
            upstreams: directory
                .iter()
                .filter(|(key, _)| self.upstreams.may_send(*key).is_ok())
                .count(),
            in_flight: self.serving.in_flight.get(),
            quarantined: self.serving.blame.turned_away(),
            caller_connections: self.ingress.open(),
            upstream_connections: self.upstreams.open_connections(),
            cold_upstreams: directory.iter().filter(|(_, u)| u.is_cold(self.serving.now())).count(),
            limited_upstreams: self.upstreams.limited(),
            evacuated_domains: self.upstreams.evacuations().borrow().in_force(),
            store_answers: self.loops.store_answers.get(),
        });
        (self.render)()
    }

    fn is_ready(&self) -> bool {
        let has_config = self.config.borrow().current().is_some();
        has_config && self.ingress.phase() == Phase::Serving
    }

    fn request_records(&self, peer: SocketAddr, what: Followed) {
        let since = self.upstreams.directory().end();
        let body = match what {
            Followed::Config => GatewayBody::ConfigRequest(Empty {}),
            Followed::Upstreams => GatewayBody::DirectoryRequest(DirectoryRequest {
                since: since.offset,
                era: since.era,
            }),
        };
        self.peers.send(peer, body);
    }

    /// Passes the configuration on, unless too much of it was sent just now.
    fn send_config(&self, peer: SocketAddr) {
        let Some(held) = self.config.borrow().current() else {
            return;
        };
        let config =
            CompressedConfig { compressed: held.compressed.clone(), end: held.end.offset, era: held.end.era };
        let bytes = held.compressed.len();
        self.send_or_defer(peer, Followed::Config, bytes, GatewayBody::Config(config));
    }

    fn send_directory(&self, peer: SocketAddr, since: Position) {
        let directory = self.upstreams.directory();
        let now = self.serving.now();
        let changes = directory.changes_since(now, since);
        let is_whole = changes.is_none();
        let is_packed = is_whole && directory.len() > UNCOMPRESSED_RECORDS_MAX;
        let records = match changes {
            _ if is_packed => Vec::new(),
            Some(changes) => changes.iter().map(directory_record).collect(),
            None => directory.all_changes(now).iter().map(directory_record).collect(),
        };
        let records = DirectoryRecords {
            end: directory.end().offset,
            era: directory.end().era,
            records,
            is_full: is_whole,
            lapse_window_ms: directory.lapses_for(now).as_millis() as u32,
            age_ms: self.age_ms(Followed::Upstreams),
            compressed: if is_packed { self.compressed_directory(now) } else { Bytes::new() },
        };
        let bytes = records.encoded_len();
        self.send_or_defer(peer, Followed::Upstreams, bytes, GatewayBody::Directory(records));
    }

    /// Returns all upstreams' records, packed. At the start of a fleet hundreds of peers ask for them within a second.
    fn compressed_directory(&self, now: Duration) -> Bytes {
        let directory = self.upstreams.directory();
        let end = directory.end();
        let mut held = self.compressed.borrow_mut();
        if let Some(held) = &*held
            && held.end == end
            && now < held.at + COMPRESSED_LIFETIME
        {
            return held.bytes.clone();
        }
        let records = directory.all_changes(now).iter().map(directory_record).collect();
        let bytes = compress(&DirectoryList { records }.encode_to_vec());
        *held = Some(CompressedDirectory { end, at: now, bytes: bytes.clone() });
        bytes
    }

    /// Answers a peer's question with a record, or puts it off.
    fn send_or_defer(&self, peer: SocketAddr, what: Followed, bytes: usize, record: GatewayBody) {
        let reply = self.loops.following(what).borrow_mut().asked(self.serving.now(), bytes);
        match (reply, what) {
            (Reply::Record, _) => self.peers.send_record(peer, record),
            (Reply::PutOff, Followed::Config) => {
                self.peers.send(peer, GatewayBody::ConfigDeferred(Empty {}));
            }
            (Reply::PutOff, Followed::Upstreams) => {
                self.peers.send(peer, GatewayBody::DirectoryDeferred(Empty {}));
            }
        }
    }

    fn mark_deferred(&self, what: Followed) {
        let mut following = self.loops.following(what).borrow_mut();
        following.put_off(self.serving.now(), rand::random());
    }

    fn handle_directory(&self, mut records: DirectoryRecords) {
        if !records.compressed.is_empty() {
            let list = decompress(&records.compressed).map_err(anyhow::Error::from);
            match list.and_then(|list| Ok(DirectoryList::decode(list)?)) {
                Ok(list) => records.records = list.records,
                Err(error) => {
                    let line = LogLine::event("peer_frame_malformed").with("error", error);
                    return log::warn(line);
                }
            }
        }
        self.loops.take_peer_upstreams(PeerRecords {
            end: Position::new(records.era, records.end),
            changes: records.records.into_iter().filter_map(change_from).collect(),
            is_whole: records.is_full,
            lapses_for: Duration::from_millis(records.lapse_window_ms.into()),
            age: records.age_ms.map(duration_from_ms),
        });
    }

    fn age_ms(&self, what: Followed) -> Option<u32> {
        let age = self.loops.following(what).borrow().told_age(self.serving.now())?;
        Some(u32::try_from(age.as_millis()).unwrap_or(u32::MAX))
    }
}

fn duration_from_ms(ms: u32) -> Duration {
    Duration::from_millis(ms.into())
}

impl PeerHandler for Node {
    fn message(&self, sender: SocketAddr, body: GatewayBody) {
        match body {
            // Taken in by `Peers` itself.
            GatewayBody::Heartbeat(_) => {}
            GatewayBody::ConfigRequest(_) => self.send_config(sender),
            GatewayBody::Config(config) => {
                let end = Position::new(config.era, config.end);
                self.loops.take_peer_config(config.compressed, end);
            }
            GatewayBody::ConfigDeferred(_) => self.mark_deferred(Followed::Config),
            GatewayBody::DirectoryDeferred(_) => self.mark_deferred(Followed::Upstreams),
            GatewayBody::DirectoryRequest(request) => {
                self.send_directory(sender, Position::new(request.era, request.since));
            }
            GatewayBody::Directory(records) => self.handle_directory(records),
            GatewayBody::Work(work) => self.stages.handle_work(sender, work),
            GatewayBody::WorkDone(done) => self.stages.handle_done(sender, done),
            GatewayBody::WorkCancel(ticket) => self.stages.handle_cancel(sender, ticket.ticket),
            GatewayBody::Release(release) => self.stages.handle_release(release),
            GatewayBody::Crashes(reports) => self.serving.blame.told(sender, reports),
            GatewayBody::PermitRequest(question) => self.upstreams.turn_asked(sender, question),
            GatewayBody::PermitResponse(answer) => self.upstreams.turn_answered(answer),
            GatewayBody::RolloutReport(report) => self.serving.rollouts.reported(sender, report),
        }
    }

    fn heartbeat(&self, sender: SocketAddr, heartbeat: &GatewayHeartbeat) {
        let loads = heartbeat.load_upstreams.iter().zip(&heartbeat.load_weights);
        let loads = loads.map(|(upstream, weight)| (*upstream, f64::from(*weight))).collect();
        let now = self.serving.now();
        let is_near = *heartbeat.failure_domain == *self.settings.borrow().node.failure_domain;
        let tells_on = self.peers.tells_on();
        // Delegates hear the nodes of their domain themselves.
        let loads_of = match heartbeat.load_scope() {
            LoadScope::Domain if is_near && tells_on => LoadScope::Omitted,
            loads_of => loads_of,
        };
        match loads_of {
            LoadScope::Sender => self.upstreams.set_peer_loads(sender, loads),
            LoadScope::Domain => {
                self.upstreams.set_peer_loads(sender, Vec::new());
                let domain = heartbeat.failure_domain.as_str().into();
                self.upstreams.set_domain_loads(now, &domain, loads);
            }
            LoadScope::Omitted => self.upstreams.set_peer_loads(sender, Vec::new()),
        }
        let contains_own = loads_of == LoadScope::Domain && is_near;
        self.stages.handle_peer_loads(sender, &heartbeat.stage_loads, loads_of, contains_own);
        // What another domain can't reach may well be reachable here.
        if is_near {
            let tells_on = tells_on && heartbeat.is_follower;
            self.upstreams.peer_found_unreachable(now, &heartbeat.unreachable, tells_on);
        }
        self.loops.hear_era(heartbeat.store_era);
        let directory_end = Position::new(heartbeat.directory_era, heartbeat.directory_end);
        // Before the age confirms that nothing else is in force.
        for word in &heartbeat.evacuations {
            let (failure_domain, word) = evacuation_from(word);
            self.loops.take_evacuation(failure_domain, word, "peer");
        }
        self.serving.rollouts.told(&heartbeat.rollouts);
        self.upstreams.told_limits(&heartbeat.limits);
        heartbeat.sharded_services.iter().for_each(|service| self.stages.mark_sharded(*service));
        let known = [
            (Followed::Config, heartbeat.config_version.into(), heartbeat.config_age_ms),
            (Followed::Upstreams, directory_end, heartbeat.directory_age_ms),
        ];
        for (what, mark, age_ms) in known {
            if self.loops.heard(what, mark, age_ms.map(duration_from_ms)) {
                self.request_records(sender, what);
            }
        }
    }

    fn describe(&self, heartbeat: &mut GatewayHeartbeat, loads_of: LoadScope) {
        heartbeat.config_version = self.config.borrow().version();
        let directory_end = self.upstreams.directory().end();
        (heartbeat.directory_era, heartbeat.directory_end) =
            (directory_end.era, directory_end.offset);
        heartbeat.store_era = self.loops.store.era();
        heartbeat.config_age_ms = self.age_ms(Followed::Config);
        heartbeat.directory_age_ms = self.age_ms(Followed::Upstreams);
        heartbeat.unreachable = self.upstreams.unreachable(self.serving.now());
        let evacuations = self.upstreams.evacuations().borrow();
        heartbeat.evacuations = evacuations.words().map(evacuation_word).collect();
        heartbeat.limits = self.upstreams.limits_to_tell();
        heartbeat.rollouts = self.serving.rollouts.words();
        let link = self.settings.borrow().node.link_bytes_per_s();
        heartbeat.sharded_services = self.stages.services_to_shard(link);
        heartbeat.stage_loads = self.stages.stage_loads(loads_of);
        let loads = match loads_of {
            LoadScope::Sender => self.upstreams.told_loads(),
            LoadScope::Domain => self.upstreams.domain_loads(),
            LoadScope::Omitted => Vec::new(),
        };
        (heartbeat.load_upstreams, heartbeat.load_weights) = loads.into_iter().unzip();
    }

    fn joined(&self, peer: SocketAddr) {
        self.serving.blame.joined(peer);
    }

    fn unfollowed(&self, peer: SocketAddr) {
        self.upstreams.set_peer_loads(peer, Vec::new());
        self.stages.handle_unfollowed(peer);
    }

    fn lost(&self, peer: SocketAddr) {
        self.upstreams.set_peer_loads(peer, Vec::new());
        self.stages.handle_peer_lost(peer);
    }
}

/// The nodes that count at upstreams that name a limit, found like the owners of services.
struct PeerCounters(Rc<Peers>);

impl Counters for PeerCounters {
    fn counter(&self, run: u64) -> Option<SocketAddr> {
        let owner = self.0.owner(&format!("limit {run:016x}"));
        (owner != self.0.address()).then_some(owner)
    }

    fn heard(&self) -> usize {
        self.0.nodes()
    }

    fn is_behind(&self) -> bool {
        self.0.is_behind()
    }

    fn ask(&self, counter: SocketAddr, question: PermitRequest) {
        self.0.send(counter, GatewayBody::PermitRequest(question));
    }

    fn answer(&self, asker: SocketAddr, answer: PermitResponse) {
        self.0.send(asker, GatewayBody::PermitResponse(answer));
    }
}

fn modified_at(path: &Path) -> Option<SystemTime> {
    // A file that is gone for a moment counts as unchanged until it is back.
    std::fs::metadata(path).and_then(|data| data.modified()).ok()
}

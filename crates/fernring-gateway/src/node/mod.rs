//! A gateway node: creates its parts and runs them through start, reload of the settings and
//! shutdown. `readiness` responds to the balancer, `peer_messages` handles the messages of
//! peers, `peer_records` passes records of the store on to them.

mod peer_messages;
mod peer_records;
mod readiness;
mod tunnels;

use {
    self::tunnels::PeerTunnels,
    crate::{
        config::ConfigState,
        connector::{Connector, dial::Dial},
        context::ServingContext,
        crash_attribution::CrashAttribution,
        deadline_timer::DeadlineTimer,
        held_bodies::HeldBodies,
        ingress::{Ingress, Phase},
        log,
        members::Member,
        owner::{Owner, OwnerDependencies},
        peers::Peers,
        prefill_pauses::PrefillPauses,
        prefill_speed::PrefillSpeeds,
        retries::Retries,
        rollout::{coordinator::Rollouts, orders::RolloutProgress},
        settings::{NodeSettings, Settings, load},
        shutdown::Shutdown,
        slack::MeanSlacks,
        stages::Stages,
        store_loops::{StoreLoops, TailedTopic},
        stream_origins::StreamOrigins,
        tailing::Tailing,
        tunnels::Tunnels,
        upstreams::Upstreams,
        wire::{Store, Wire},
    },
    anyhow::Context,
    fernring_core::{clock::Clock, text::LogLine},
    peer_messages::PeerPermitTransport,
    peer_records::CompressedDirectory,
    std::{
        cell::{Cell, RefCell},
        net::SocketAddr,
        path::{Path, PathBuf},
        rc::Rc,
        sync::Arc,
        time::{Duration, SystemTime},
    },
    tokio::{
        net::TcpListener,
        signal::unix::{SignalKind, signal},
        task::spawn_local,
        time::sleep,
    },
};

/// Interval at which the settings file is checked for changes that no signal announced.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Time before the end of the grace period at which the process stops, even if connections are
/// still open.
const GRACE_MARGIN: Duration = Duration::from_millis(400);
/// Time before the end of the process by which requests are answered that have no answer yet, so that
/// callers receive it.
const ANSWER_MARGIN: Duration = Duration::from_millis(400);
/// The largest share of the grace period that [`ANSWER_MARGIN`] may take.
const ANSWER_MARGIN_SHARE_MAX: f64 = 0.25;
/// Interval at which a node that shuts down checks whether all connections are closed.
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
    serving: Rc<ServingContext>,
    loops: Rc<StoreLoops>,
    compressed: RefCell<Option<CompressedDirectory>>,
    tunnels: Rc<Tunnels>,
    render: Box<dyn Fn() -> String>,
}

/// The interfaces that a node is created with.
pub struct NodeDependencies {
    /// The clock.
    pub clock: Rc<dyn Clock>,
    /// The platform's formats.
    pub wire: Rc<dyn Wire>,
    /// The platform's store.
    pub store: Rc<dyn Store>,
    /// Opens connections to upstreams.
    pub dialer: Rc<dyn Dial>,
    /// Renders the recorded metrics as text.
    pub render: Box<dyn Fn() -> String>,
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
    /// Binds the addresses of the settings. Where an address leaves the port open, the assigned
    /// port is written back into the settings.
    ///
    /// # Errors
    /// Returns an error if an address can't be bound.
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

/// Returns a future that completes on SIGTERM or SIGINT.
///
/// # Errors
/// Returns an error if the signal handlers can't be installed.
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
    /// Creates a node and starts the background tasks of its parts.
    pub fn new(settings: Settings, dependencies: NodeDependencies) -> Rc<Self> {
        let NodeDependencies { clock, wire, store, dialer, render } = dependencies;
        let failure_domain: Arc<str> = settings.node.failure_domain.as_str().into();
        let member = Member {
            incarnation: rand::random(),
            ..Member::new(settings.node.peer_address, failure_domain.clone())
        };
        let config = Rc::new(RefCell::new(ConfigState::default()));
        let upstreams = Rc::new(Upstreams::new(
            failure_domain.clone(),
            clock.clone(),
            config.clone(),
            settings.cold,
            Rc::new(Connector::new(clock.clone(), dialer)),
        ));
        let peers = Rc::new(Peers::new(member, clock.clone()));
        let retries = Rc::new(Retries::new(
            settings.retries.allowance(),
            clock.now().monotonic,
            upstreams.clone(),
        ));
        let decide_settings = Rc::new(Cell::new(settings.decide));
        let crash_attribution = Rc::new(CrashAttribution::new(
            clock.clone(),
            store.clone(),
            upstreams.clone(),
            peers.clone(),
            decide_settings.clone(),
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
        let owner = Rc::new(Owner::new(OwnerDependencies {
            clock: clock.clone(),
            wire: wire.clone(),
            config: config.clone(),
            upstreams: upstreams.clone(),
            peers: peers.clone(),
            crash_attribution: crash_attribution.clone(),
            rollouts: rollouts.clone(),
            decide_settings: decide_settings.clone(),
        }));
        let stages = Rc::new(Stages::new(
            clock.clone(),
            peers.clone(),
            owner.clone(),
            upstreams.clone(),
            decide_settings.clone(),
        ));
        let stream_origins = Rc::new(StreamOrigins::new(
            clock.clone(),
            store.clone(),
            peers.clone(),
            upstreams.clone(),
            failure_domain.clone(),
        ));
        let deadline_timer = Rc::new(DeadlineTimer::new(clock.clone()));
        let tailing = [(); 2].map(|()| Rc::new(RefCell::new(Tailing::new(rand::random()))));
        let serving = Rc::new(ServingContext {
            clock: clock.clone(),
            deadline_timer: deadline_timer.clone(),
            wire: wire.clone(),
            config: config.clone(),
            config_tailing: tailing[TailedTopic::Config as usize].clone(),
            propagation_bound: Cell::new(settings.configuration.within()),
            upstreams: upstreams.clone(),
            peers: peers.clone(),
            stages: stages.clone(),
            prefill_speeds: PrefillSpeeds::default(),
            mean_slacks: MeanSlacks::default(),
            prefill_pauses: PrefillPauses::default(),
            prefix_demands: RefCell::default(),
            decide_settings,
            retries: retries.clone(),
            rollouts: rollouts.clone(),
            stream_origins: stream_origins.clone(),
            crash_attribution: crash_attribution.clone(),
            held_bodies: HeldBodies::default(),
            shutdown: Shutdown::default(),
            in_flight: Cell::new(0),
        });
        let ingress = Rc::new(Ingress::new(serving.clone(), config.clone()));
        let started_at = clock.now().monotonic;
        let loops = Rc::new(StoreLoops {
            clock,
            deadline_timer,
            wire: wire.clone(),
            store,
            config: config.clone(),
            upstreams: upstreams.clone(),
            owner: owner.clone(),
            crash_attribution: crash_attribution.clone(),
            stream_origins: stream_origins.clone(),
            rollouts: rollouts.clone(),
            peers: peers.clone(),
            tailing,
            started_at,
            store_answers: Cell::new(true),
            evacuation_bound: Cell::new(settings.evacuation.within()),
            has_unconfirmed_orders: Cell::default(),
            registered_era: Cell::default(),
        });
        spawn_local(stages.clone().run_queries());
        spawn_local(stream_origins.clone().run_version_records());
        spawn_local(stream_origins.clone().run_origin_log());
        spawn_local(stream_origins.run());
        spawn_local(owner.clone().run());
        spawn_local(owner.run_releases());
        spawn_local(crash_attribution.run());
        spawn_local(rollouts.run());
        let settings = RefCell::new(settings);
        let node = Rc::new(Self {
            settings,
            wire,
            config,
            upstreams: upstreams.clone(),
            peers: peers.clone(),
            stages,
            retries,
            ingress,
            serving,
            loops,
            compressed: RefCell::default(),
            tunnels: Rc::new(Tunnels::new(upstreams.clone())),
            render,
        });
        peers.set_handler(node.clone());
        upstreams.connector().set_tunnel_transport(Rc::new(PeerTunnels {
            peers: peers.clone(),
            upstreams: upstreams.clone(),
            failure_domain,
        }));
        spawn_local(upstreams.clone().run_path_probes());
        upstreams.set_permit_transport(Rc::new(PeerPermitTransport(peers)));
        node.apply_link_bandwidth();
        node.apply_regions();
        node
    }

    /// Applies the link's bandwidth from the settings.
    fn apply_link_bandwidth(&self) {
        let bytes_per_s = self.settings.borrow().node.link_bytes_per_s();
        for topic in [TailedTopic::Config, TailedTopic::Upstreams] {
            self.loops.tailing(topic).borrow_mut().set_link(bytes_per_s);
        }
        self.peers.set_link_mbps(self.settings.borrow().node.link_mbps.round() as u32);
    }

    /// Applies the region of each failure domain from the settings.
    fn apply_regions(&self) {
        self.upstreams.set_regions(self.settings.borrow().regions());
    }

    /// Runs the node until `stop` completes, then finishes the requests in flight. Reloads the
    /// settings when the file at `settings_path` changes.
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
        spawn_local(self.loops.clone().tail_config());
        spawn_local(self.loops.clone().tail_upstreams());
        spawn_local(self.loops.clone().join());
        spawn_local(self.loops.clone().expire());
        spawn_local(self.clone().watch_settings(settings_path));
        stop.await;
        self.shut_down().await;
    }

    /// Returns the known upstreams.
    pub fn upstreams(&self) -> &Upstreams {
        &self.upstreams
    }

    /// Returns the number of known live nodes, including this one.
    pub fn peer_count(&self) -> usize {
        self.peers.node_count()
    }

    /// Returns the version of the configuration in force.
    pub fn config_version(&self) -> u64 {
        self.config.borrow().version()
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> isize {
        self.serving.in_flight.get()
    }

    /// Returns the bytes of response bodies that are collected or wait to be sent.
    pub fn held_body_bytes(&self) -> usize {
        self.serving.held_bodies.bytes()
    }

    /// Returns the progress of the newest order to roll out a version of a service; `None` if there
    /// is no order.
    pub fn rollout_progress(&self, service: &str) -> Option<RolloutProgress> {
        self.serving.rollouts.progress(service)
    }

    /// Returns the number of quarantined fingerprints, whose requests are rejected because
    /// upstreams crashed under them.
    pub fn quarantined_count(&self) -> usize {
        self.serving.crash_attribution.quarantined_count()
    }

    /// Finishes the requests in flight and waits until all connections are closed or the grace
    /// period ends. Requests that have no answer shortly before are given one.
    async fn shut_down(&self) {
        let shutdown = self.settings.borrow().shutdown;
        let started = self.serving.now();
        let time = Duration::from_secs_f64(shutdown.grace_s).saturating_sub(GRACE_MARGIN);
        let end = started + time;
        let answer_margin = ANSWER_MARGIN.min(time.mul_f64(ANSWER_MARGIN_SHARE_MAX));
        self.serving.shutdown.begin(end - answer_margin);
        log::info(LogLine::event("stopping").with("in_flight", self.serving.in_flight.get()));
        self.ingress.set_phase(Phase::Leaving);
        self.peers.set_draining();
        self.loops.remove_own_record().await;
        let leave = Duration::from_secs_f64(shutdown.leave_s);
        self.serving.deadline_timer.sleep_until(started + leave).await;
        self.ingress.set_phase(Phase::Closing);
        let is_busy = || self.ingress.open_connections() + self.tunnels.open_count() > 0;
        while is_busy() && self.serving.now() < end {
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
        let mut last_modified = modified_at(&path);
        loop {
            let is_signal = tokio::select! {
            _ = hangup.recv() => true,
            () = sleep(SETTINGS_POLL_INTERVAL) => false,
            };
            let modified = modified_at(&path);
            if is_signal || modified != last_modified {
                last_modified = modified;
                self.reload(&path);
            }
        }
    }

    /// Applies changed settings. Invalid ones are rejected, and the current ones stay in force.
    fn reload(&self, path: &Path) {
        let settings = match load(path) {
            Ok(settings) => settings,
            Err(error) => {
                log::warn(LogLine::event("settings_refused").with("error", error));
                return;
            }
        };
        self.retries.set_allowance(settings.retries.allowance());
        self.serving.decide_settings.set(settings.decide);
        self.upstreams.set_cold_settings(settings.cold);
        self.serving.rollouts.set_settings(settings.rollout);
        self.serving.propagation_bound.set(settings.configuration.within());
        self.loops.evacuation_bound.set(settings.evacuation.within());
        self.peers.suggest(settings.node.seeds.iter().copied());
        *self.settings.borrow_mut() = settings;
        self.apply_link_bandwidth();
        self.apply_regions();
        log::info(LogLine::event("settings_taken"));
    }
}

fn modified_at(path: &Path) -> Option<SystemTime> {
    // A file that is missing for a moment counts as unchanged until it is back.
    std::fs::metadata(path).and_then(|data| data.modified()).ok()
}

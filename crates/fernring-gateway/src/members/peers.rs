//! Links to the other nodes: framed messages, each link in one direction, and the heartbeat loop.

use {
    crate::{
        connector::dial::{CONNECT_TIMEOUT, TCP_USER_TIMEOUT, connect},
        delegates::{DelegateRole, HeartbeatRate},
        log,
        members::{HEARTBEAT_INTERVAL, Member, Members, ReaderRole},
        pause_detector::PauseDetector,
        tunnels::FramedLink,
    },
    bytes::{Buf, Bytes, BytesMut},
    fernring_core::{clock::Clock, text::LogLine},
    fernring_protocol::{
        FRAME_TIME_MAX, codec,
        gateway::{GatewayBody, GatewayFrame, GatewayHeartbeat, LoadScope, TunnelRequest},
        next_frame,
    },
    prost::Message,
    rand::seq::IteratorRandom,
    std::{
        cell::{Cell, RefCell},
        collections::{BTreeMap, HashMap},
        net::SocketAddr,
        rc::Rc,
        sync::Arc,
        time::Duration,
    },
    tokio::{
        io::AsyncWriteExt,
        net::{TcpListener, TcpStream},
        sync::mpsc,
        task::spawn_local,
        time::timeout,
    },
    tokio_util::codec::{Encoder, Framed},
};

/// Size from which a record is sent on a separate connection, in bytes: 13 ms over 10 Mbit/s. On
/// the link it would delay heartbeats: 530 KB took longer than a peer may be silent, and 21 nodes
/// took their peers for lost.
const SEPARATE_CONNECTION_MIN_BYTES: usize = 16 << 10;
/// Messages that may wait for a link: more than a second of the heaviest traffic. A peer that
/// accepts none of them is about to become silent.
const LINK_QUEUE_MAX: usize = 1_024;
/// How long an unused link is kept. A peer that gets a heartbeat once a second keeps its link.
const LINK_IDLE_MAX: Duration = Duration::from_secs(5);
/// Addresses of peers that the heartbeats of one round name. Two of eight, five times a second,
/// make all nodes known to each other within one or two seconds.
const PEERS_PER_HEARTBEAT: usize = 2;
/// The same for a delegate in a large fleet: fifteen delegates name 295 nodes within a second.
const PEERS_PER_DELEGATE_HEARTBEAT: usize = 4;
/// Rounds of heartbeats between two reports of a delegate on the loads of its domain.
const DOMAIN_LOADS_INTERVAL_ROUNDS: u64 = 2;
/// Addresses that a heartbeat names to a peer that hasn't sent one yet.
const PEERS_PER_FIRST_HEARTBEAT: usize = 16;

/// Handler of a node for the messages of its peers.
pub trait PeerHandler {
    /// Handles a message other than a heartbeat.
    fn handle_message(&self, sender: SocketAddr, body: GatewayBody);

    /// Handles the fields of a heartbeat that [`Peers`] doesn't use itself.
    fn handle_heartbeat(&self, sender: SocketAddr, heartbeat: &GatewayHeartbeat);

    /// Fills in what the node reports, with the loads of `load_scope`. Its identity is set already.
    fn fill_heartbeat(&self, heartbeat: &mut GatewayHeartbeat, load_scope: LoadScope);

    /// Handles the first heartbeat of a peer that was silent before.
    fn handle_peer_joined(&self, peer: SocketAddr);

    /// Handles that a peer sends this node no further heartbeats, since delegates add up its
    /// reports.
    fn handle_peer_unfollowed(&self, peer: SocketAddr);

    /// Handles that a peer became silent or unreachable: work requested from it has to be requested
    /// elsewhere.
    fn handle_peer_lost(&self, peer: SocketAddr);

    /// Handles the request of a tunnel, whose bytes follow on the same connection.
    fn handle_tunnel(&self, request: TunnelRequest, link: FramedLink);

    /// Returns whether this node has lost its direct path to the upstreams.
    fn is_cut_off(&self) -> bool;
}

type Link = mpsc::Sender<Bytes>;

/// The properties in which heartbeats of one round differ.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct HeartbeatKind {
    rate: HeartbeatRate,
    /// Whether no heartbeat of the peer was received yet.
    is_first: bool,
    load_scope: LoadScope,
}

/// The heartbeats of one round, encoded.
#[derive(Debug, Default)]
struct HeartbeatRound {
    /// Whether this node reports the loads of its domain in this round.
    includes_domain_loads: bool,
    encoded: Vec<(HeartbeatKind, Bytes)>,
}

/// The other nodes.
pub struct Peers {
    me: RefCell<Member>,
    role: RefCell<DelegateRole>,
    /// Rounds of heartbeats so far.
    round_count: Cell<u64>,
    pause_detector: Cell<PauseDetector>,
    members: RefCell<Members>,
    links: RefCell<HashMap<SocketAddr, Link>>,
    handler: RefCell<Option<Rc<dyn PeerHandler>>>,
    clock: Rc<dyn Clock>,
}

impl Peers {
    /// Creates the peers of a node, without any links.
    pub fn new(me: Member, clock: Rc<dyn Clock>) -> Self {
        Self {
            me: RefCell::new(me),
            role: RefCell::new(DelegateRole::new(rand::random())),
            round_count: Cell::new(0),
            pause_detector: Cell::new(PauseDetector::new(clock.now().monotonic)),
            members: RefCell::default(),
            links: RefCell::default(),
            handler: RefCell::default(),
            clock,
        }
    }

    /// Sets the handler of messages; called once, before anything runs.
    pub fn set_handler(&self, handler: Rc<dyn PeerHandler>) {
        *self.handler.borrow_mut() = Some(handler);
    }

    /// Returns this node's own address.
    pub fn address(&self) -> SocketAddr {
        self.me.borrow().address
    }

    /// Marks this node as shutting down, and reports that to its peers at once.
    pub fn set_draining(self: &Rc<Self>) {
        self.me.borrow_mut().is_draining = true;
        self.send_heartbeats();
    }

    /// Adds addresses at which there may be peers.
    pub fn suggest(&self, addresses: impl IntoIterator<Item = SocketAddr>) {
        let me = self.address();
        let others = addresses.into_iter().filter(|address| *address != me);
        self.members.borrow_mut().suggest(self.now(), others);
    }

    /// Returns the incarnation of this node's process.
    pub fn incarnation(&self) -> u64 {
        self.me.borrow().incarnation
    }

    /// Lists the live peers that open tunnels to upstreams.
    pub fn relays(&self) -> Vec<Member> {
        let members = self.members.borrow();
        members.live(self.now()).filter(|peer| peer.is_relay()).cloned().collect()
    }

    /// Returns whether a peer is live and opens tunnels to upstreams.
    pub fn is_relay(&self, peer: SocketAddr) -> bool {
        let members = self.members.borrow();
        members.live(self.now()).any(|member| member.address == peer && member.is_relay())
    }

    /// Lists the live peers that are reachable from here.
    pub fn live_peers(&self) -> Vec<SocketAddr> {
        self.members.borrow().live(self.now()).map(|peer| peer.address).collect()
    }

    /// Returns the owner of `key`: this node or a live peer.
    pub fn owner(&self, key: &str) -> SocketAddr {
        self.members.borrow().owner(self.now(), &self.me.borrow(), key)
    }

    /// Returns the owner of `key` among the live nodes of some failure domains; `None` if there are
    /// none.
    pub fn owner_among(
        &self,
        key: &str,
        includes_domain: impl Fn(&str) -> bool,
    ) -> Option<SocketAddr> {
        let me = self.me.borrow();
        self.members.borrow().owner_among(self.now(), &me, key, includes_domain)
    }

    /// Chooses peers that hold state about `key`, as [`Members::holders`] does.
    pub fn holders(&self, key: &str, own_domain: usize, other_domain: usize) -> Vec<SocketAddr> {
        let me = self.me.borrow();
        self.members.borrow().holders(self.now(), &me, key, own_domain, other_domain)
    }

    /// Returns the peer that reads the store for all; `None` if this node does.
    pub fn store_reader(&self) -> Option<SocketAddr> {
        let me = self.me.borrow();
        let reader = self.members.borrow().store_reader(self.now(), &me);
        reader.filter(|reader| *reader != me.address)
    }

    /// Sets the capacity of this node's network link, in Mbit/s.
    pub fn set_link_mbps(&self, link_mbps: u32) {
        self.me.borrow_mut().link_mbps = link_mbps;
    }

    /// Returns the number of live nodes, including this one.
    pub fn node_count(&self) -> usize {
        let members = self.members.borrow();
        match self.role.borrow().is_mesh() {
            true => members.reachable_node_count(self.now()),
            false => members.node_count(self.now()),
        }
    }

    /// Returns the number of live peers that are reachable from here, by failure domain.
    pub fn reachable_by_domain(&self) -> BTreeMap<Arc<str>, usize> {
        let mut counts = BTreeMap::new();
        for peer in self.members.borrow().live(self.now()) {
            *counts.entry(peer.failure_domain.clone()).or_default() += 1;
        }
        counts
    }

    /// Returns whether this node is a delegate of its failure domain.
    pub fn is_delegate(&self) -> bool {
        self.role.borrow().is_delegate()
    }

    /// Returns whether this node is a delegate in a large fleet, so that followers in its domain
    /// depend on the reports that it forwards.
    pub fn has_followers(&self) -> bool {
        let role = self.role.borrow();
        role.is_delegate() && !role.is_mesh()
    }

    /// Returns whether peers may have sent something binding that this node hasn't read yet.
    pub fn is_catching_up(&self) -> bool {
        self.pause_detector.get().is_catching_up(self.now())
    }

    /// Returns whether all delegates of another failure domain are silent.
    pub fn is_domain_unreachable(&self, failure_domain: &str) -> bool {
        let is_own_domain = *self.me.borrow().failure_domain == *failure_domain;
        !is_own_domain && self.members.borrow().is_domain_unreachable(self.now(), failure_domain)
    }

    /// Returns this node's role in reading the store for the others.
    pub fn reader_role(&self) -> ReaderRole {
        self.members.borrow().reader_role(self.now(), &self.me.borrow())
    }

    /// Sends a message. A link that fails reports the peer as lost.
    pub fn send(self: &Rc<Self>, peer: SocketAddr, body: GatewayBody) {
        let frame = GatewayFrame { sender: self.address().to_string(), body: Some(body) };
        self.send_bytes(peer, frame.encode_to_vec().into());
    }

    /// Sends a message to all peers that are reachable from here: in a small fleet all nodes, in a
    /// large one the node's delegates.
    pub fn send_to_live_peers(self: &Rc<Self>, body: GatewayBody) {
        self.send_to(&self.live_peers(), body);
    }

    /// Forwards a message to the followers of this node, if there are any.
    pub fn send_to_followers(self: &Rc<Self>, body: GatewayBody) {
        let (role, me) = (self.role.borrow(), self.me.borrow());
        let followers = role.followers(self.now(), &me, &self.members.borrow());
        drop((role, me));
        self.send_to(&followers, body);
    }

    fn send_to(self: &Rc<Self>, peers: &[SocketAddr], body: GatewayBody) {
        let frame = GatewayFrame { sender: self.address().to_string(), body: Some(body) };
        let bytes: Bytes = frame.encode_to_vec().into();
        for peer in peers {
            self.send_bytes(*peer, bytes.clone());
        }
    }

    /// Returns a random live peer.
    pub fn random_peer(&self) -> Option<SocketAddr> {
        let members = self.members.borrow();
        members.live(self.now()).choose(&mut rand::rng()).map(|peer| peer.address)
    }

    /// Sends a record, which may be large. The receiver requests it again if it is lost.
    pub fn send_record(self: &Rc<Self>, peer: SocketAddr, body: GatewayBody) {
        let frame = GatewayFrame { sender: self.address().to_string(), body: Some(body) };
        let bytes: Bytes = frame.encode_to_vec().into();
        if bytes.len() < SEPARATE_CONNECTION_MIN_BYTES {
            self.send_bytes(peer, bytes);
            return;
        }
        spawn_local(async move {
            let size = bytes.len();
            if let Err(error) = send_on_separate_connection(peer, bytes).await {
                let line = LogLine::event("peer_record_failed").with("peer", peer);
                log::warn(line.with("bytes", size).with("error", error));
            }
        });
    }

    fn send_bytes(self: &Rc<Self>, peer: SocketAddr, bytes: Bytes) {
        let mut links = self.links.borrow_mut();
        let link = links.entry(peer).or_insert_with(|| self.open_link(peer));
        if link.try_send(bytes).is_err() {
            links.remove(&peer);
            drop(links);
            self.link_failed(peer, "its queue is full or closed");
        }
    }

    fn open_link(self: &Rc<Self>, peer: SocketAddr) -> Link {
        let (sender, receiver) = mpsc::channel(LINK_QUEUE_MAX);
        let peers = self.clone();
        spawn_local(async move {
            match run_link(peer, receiver).await {
                Ok(LinkEnd::Dropped) => {}
                // Nothing was queued in the meantime: there is no await in between.
                Ok(LinkEnd::Idle) => drop(peers.links.borrow_mut().remove(&peer)),
                Err(reason) => {
                    peers.links.borrow_mut().remove(&peer);
                    peers.link_failed(peer, &reason.to_string());
                }
            }
        });
        sender
    }

    fn link_failed(&self, peer: SocketAddr, reason: &str) {
        let was_live = self.members.borrow_mut().mark_unreachable(self.now(), peer);
        if !was_live {
            return;
        }
        let line = LogLine::event("peer_lost").with("peer", peer).with("reason", reason);
        log::warn(line);
        self.notify_lost(peer);
    }

    fn notify_lost(&self, peer: SocketAddr) {
        if let Some(handler) = self.handler() {
            handler.handle_peer_lost(peer);
        }
    }

    /// Accepts connections of peers for as long as the process runs.
    pub async fn listen(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    spawn_local(self.clone().read_link(stream));
                }
                Err(error) => {
                    log::warn(LogLine::event("peer_accept_failed").with("error", error));
                    tokio::time::sleep(HEARTBEAT_INTERVAL).await;
                }
            }
        }
    }

    async fn read_link(self: Rc<Self>, stream: TcpStream) {
        let mut framed = Framed::new(stream, codec());
        while let Some(read) = next_frame(&mut framed, FRAME_TIME_MAX).await {
            let bytes = match read {
                Ok(bytes) => bytes,
                Err(error) => {
                    log::warn(LogLine::event("peer_link_broken").with("error", error));
                    return;
                }
            };
            match GatewayFrame::decode(bytes) {
                Ok(GatewayFrame { body: Some(GatewayBody::TunnelRequest(request)), .. }) => {
                    if let Some(handler) = self.handler() {
                        handler.handle_tunnel(request, framed);
                    }
                    return;
                }
                Ok(frame) => {
                    let Ok(sender) = frame.sender.parse() else {
                        let line = LogLine::event("peer_frame_malformed");
                        log::warn(line.with("sender", frame.sender));
                        return;
                    };
                    self.handle_frame(sender, frame.body);
                }
                Err(error) => {
                    log::warn(LogLine::event("peer_frame_malformed").with("error", error));
                    return;
                }
            }
        }
    }

    fn handle_frame(self: &Rc<Self>, sender: SocketAddr, body: Option<GatewayBody>) {
        let Some(body) = body else {
            log::warn(LogLine::event("peer_frame_malformed").with("sender", sender));
            return;
        };
        let may_be_stale = self.pause_detector.get().may_receive_stale(self.now());
        match body {
            GatewayBody::Heartbeat(mut heartbeat) => {
                if may_be_stale {
                    // These ages would confirm state that may have changed while this process was
                    // paused.
                    (heartbeat.config_age_ms, heartbeat.directory_age_ms) = (None, None);
                    // A lifted limit may have been reported before the limit was set; a limit that
                    // has ended is lifted by the upstream's next response.
                    heartbeat.limits.retain(|limit| limit.per_s.is_some());
                }
                self.handle_heartbeat(sender, &heartbeat);
            }
            mut body => {
                if let GatewayBody::Directory(records) = &mut body
                    && may_be_stale
                {
                    records.age_ms = None;
                }
                if let Some(handler) = self.handler() {
                    handler.handle_message(sender, body);
                }
            }
        }
    }

    fn handle_heartbeat(self: &Rc<Self>, sender: SocketAddr, heartbeat: &GatewayHeartbeat) {
        let interval = match heartbeat.interval_ms {
            0 => HEARTBEAT_INTERVAL,
            ms => Duration::from_millis(ms.into()),
        };
        let member = Member {
            incarnation: heartbeat.incarnation,
            address: sender,
            failure_domain: Arc::from(heartbeat.failure_domain.as_str()),
            is_draining: heartbeat.is_draining,
            is_cut_off: heartbeat.is_cut_off,
            opens_tunnels: heartbeat.opens_tunnels,
            is_delegate: !heartbeat.is_follower,
            link_mbps: heartbeat.link_mbps,
            known_nodes: heartbeat.nodes as usize,
            interval,
        };
        let has_joined = self.members.borrow_mut().record_heartbeat(self.now(), member);
        self.suggest(heartbeat.peers.iter().filter_map(|peer| peer.parse().ok()));
        if has_joined {
            log::info(LogLine::event("peer_joined").with("peer", sender));
            let is_delegate = !heartbeat.is_follower;
            let domain = &heartbeat.failure_domain;
            let rate = self.role.borrow().reply_rate(&self.me.borrow(), is_delegate, domain);
            if let Some(rate) = rate {
                self.send_heartbeat(&mut HeartbeatRound::default(), sender, rate);
            }
        }
        if let Some(handler) = self.handler() {
            if has_joined {
                handler.handle_peer_joined(sender);
            }
            handler.handle_heartbeat(sender, heartbeat);
        }
        let mut pause_detector = self.pause_detector.get();
        pause_detector.record_heartbeat();
        self.pause_detector.set(pause_detector);
    }

    /// Sends heartbeats for as long as the process runs.
    pub async fn run_heartbeats(self: Rc<Self>) {
        let mut previous_at = self.now();
        loop {
            let round_at = self.now();
            self.detect_pause(round_at);
            self.send_heartbeats();
            tokio::time::sleep(HEARTBEAT_INTERVAL).await;
            let now = self.now();
            let lost_peers = self.members.borrow_mut().expire(previous_at, now);
            previous_at = now;
            for silent_peer in lost_peers {
                let line = LogLine::event("peer_lost").with("peer", silent_peer.address);
                let line = line
                    .with("reason", "silent")
                    .with("silent_ms", silent_peer.silent_for.as_millis());
                let line = line.with("is_delegate", silent_peer.is_delegate);
                // A node that was paused itself finds many peers silent at once.
                log::warn(line.with("round_ms", (now - round_at).as_millis()));
                self.notify_lost(silent_peer.address);
            }
        }
    }

    fn detect_pause(&self, now: Duration) {
        let mut pause_detector = self.pause_detector.get();
        if let Some(gap) = pause_detector.record_round(now) {
            log::warn(LogLine::event("stood_still").with("for_ms", gap.as_millis()));
        }
        self.pause_detector.set(pause_detector);
    }

    fn send_heartbeats(self: &Rc<Self>) {
        self.round_count.set(self.round_count.get() + 1);
        let role_changed = self.update_role();
        let now = self.now();
        let me = self.me.borrow().clone();
        let members = self.members.borrow();
        let targets = match role_changed && !me.is_delegate {
            // A node that stops being a delegate reports that to all peers at once.
            true => {
                members.contacts().into_iter().map(|peer| (peer, HeartbeatRate::Slow)).collect()
            }
            false => {
                self.role.borrow().heartbeat_targets(now, &me, &members, self.round_count.get())
            }
        };
        drop(members);
        let is_due = self.round_count.get().is_multiple_of(DOMAIN_LOADS_INTERVAL_ROUNDS);
        let includes_domain_loads = is_due && self.members.borrow().is_load_reporter(now, &me);
        let mut round = HeartbeatRound { includes_domain_loads, ..HeartbeatRound::default() };
        for (peer, rate) in targets {
            self.send_heartbeat(&mut round, peer, rate);
        }
    }

    /// Updates this node's role from the current members. Returns whether the role changed.
    fn update_role(&self) -> bool {
        let now = self.now();
        let mut me = self.me.borrow_mut();
        let role_changed = self.role.borrow_mut().update(now, &me, &self.members.borrow());
        me.is_delegate = self.role.borrow().is_delegate();
        me.is_cut_off = self.handler().is_some_and(|handler| handler.is_cut_off());
        me.known_nodes = self.members.borrow().reachable_node_count(now);
        let is_delegate = me.is_delegate;
        drop(me);
        if role_changed {
            let line = LogLine::event("delegate_changed").with("is_delegate", is_delegate);
            log::info(line.with("nodes", self.node_count()));
        }
        if !is_delegate {
            let followers = self.members.borrow_mut().drop_followers(now);
            for peer in followers {
                if let Some(handler) = self.handler() {
                    handler.handle_peer_unfollowed(peer);
                }
            }
        }
        role_changed
    }

    /// Sends a heartbeat. Heartbeats of one round with equal content are encoded once.
    fn send_heartbeat(
        self: &Rc<Self>,
        round: &mut HeartbeatRound,
        peer: SocketAddr,
        rate: HeartbeatRate,
    ) {
        let is_first = !self.members.borrow().is_live(self.now(), peer);
        let load_scope = self.load_scope_for(peer, rate, round.includes_domain_loads);
        let kind = HeartbeatKind { rate, is_first, load_scope };
        let bytes = match round.encoded.iter().find(|(encoded, _)| *encoded == kind) {
            Some((_, bytes)) => bytes.clone(),
            None => {
                let body = Some(GatewayBody::Heartbeat(Box::new(self.heartbeat(kind))));
                let frame = GatewayFrame { sender: self.address().to_string(), body };
                let bytes: Bytes = frame.encode_to_vec().into();
                round.encoded.push((kind, bytes.clone()));
                bytes
            }
        };
        self.send_bytes(peer, bytes);
    }

    /// Returns whose loads a peer gets. The first delegate of a domain reports the loads of the
    /// whole domain to all peers except the domain's other delegates, which receive heartbeats of
    /// its nodes themselves.
    fn load_scope_for(
        &self,
        peer: SocketAddr,
        rate: HeartbeatRate,
        includes_domain_loads: bool,
    ) -> LoadScope {
        let role = self.role.borrow();
        if role.is_mesh() || (!role.is_delegate() && rate == HeartbeatRate::Fast) {
            return LoadScope::Sender;
        }
        if !role.is_delegate() {
            return LoadScope::Omitted;
        }
        if self.members.borrow().is_delegate_of(peer, &self.me.borrow().failure_domain) {
            return LoadScope::Sender;
        }
        if includes_domain_loads { LoadScope::Domain } else { LoadScope::Omitted }
    }

    fn heartbeat(&self, kind: HeartbeatKind) -> GatewayHeartbeat {
        let is_mesh = self.role.borrow().is_mesh();
        let named_count = match (kind.is_first, is_mesh) {
            (true, _) => PEERS_PER_FIRST_HEARTBEAT,
            (false, true) => PEERS_PER_HEARTBEAT,
            (false, false) => PEERS_PER_DELEGATE_HEARTBEAT,
        };
        let mut heartbeat = {
            let me = self.me.borrow();
            let members = self.members.borrow();
            let others = members.live(self.now()).sample(&mut rand::rng(), named_count);
            GatewayHeartbeat {
                incarnation: me.incarnation,
                failure_domain: me.failure_domain.to_string(),
                is_draining: me.is_draining,
                is_cut_off: me.is_cut_off,
                opens_tunnels: me.opens_tunnels,
                peers: others.iter().map(|member| member.address.to_string()).collect(),
                is_follower: !me.is_delegate,
                link_mbps: me.link_mbps,
                nodes: me.known_nodes as u32,
                interval_ms: kind.rate.interval().as_millis() as u32,
                load_scope: kind.load_scope.into(),
                ..GatewayHeartbeat::default()
            }
        };
        if let Some(handler) = self.handler() {
            handler.fill_heartbeat(&mut heartbeat, kind.load_scope);
        }
        heartbeat
    }

    fn handler(&self) -> Option<Rc<dyn PeerHandler>> {
        self.handler.borrow().clone()
    }

    fn now(&self) -> Duration {
        self.clock.now().monotonic
    }
}

/// Why a link ended without a failure.
enum LinkEnd {
    /// Its sender was dropped.
    Dropped,
    /// Nothing was sent for [`LINK_IDLE_MAX`].
    Idle,
}

/// Writes the messages of a link until it fails, is idle or its sender is dropped.
async fn run_link(peer: SocketAddr, mut queue: mpsc::Receiver<Bytes>) -> std::io::Result<LinkEnd> {
    let mut stream = timeout(CONNECT_TIMEOUT, connect(peer)).await??;
    let mut codec = codec();
    let mut written = BytesMut::new();
    loop {
        let bytes = match timeout(LINK_IDLE_MAX, queue.recv()).await {
            Ok(Some(bytes)) => bytes,
            Ok(None) => return Ok(LinkEnd::Dropped),
            Err(_) => return Ok(LinkEnd::Idle),
        };
        codec.encode(bytes, &mut written)?;
        while let Ok(bytes) = queue.try_recv() {
            codec.encode(bytes, &mut written)?;
        }
        write_all(&mut stream, &mut written).await?;
    }
}

/// Sends one message on a separate connection.
async fn send_on_separate_connection(peer: SocketAddr, bytes: Bytes) -> std::io::Result<()> {
    let mut stream = timeout(CONNECT_TIMEOUT, connect(peer)).await??;
    let mut written = BytesMut::new();
    codec().encode(bytes, &mut written)?;
    write_all(&mut stream, &mut written).await?;
    stream.shutdown().await
}

/// Writes all bytes, however long that takes, as long as the peer goes on receiving them.
async fn write_all(stream: &mut TcpStream, bytes: &mut BytesMut) -> std::io::Result<()> {
    while bytes.has_remaining() {
        let written = timeout(TCP_USER_TIMEOUT, stream.write(bytes)).await??;
        if written == 0 {
            return Err(std::io::ErrorKind::WriteZero.into());
        }
        bytes.advance(written);
    }
    Ok(())
}

//! Links to the other nodes: framed messages, each one way, and the heartbeat loop.

use {
    crate::{
        connections::{CONNECT_TIMEOUT, TCP_USER_TIMEOUT, connect},
        delegates::{Pace, Role},
        log,
        members::{HEARTBEAT_INTERVAL, Member, Members, ReaderPart},
        stillness::Stillness,
    },
    bytes::{Buf, Bytes, BytesMut},
    fernring_core::{clock::Clock, text::LogLine},
    fernring_protocol::{
        codec,
        gateway::{GatewayBody, GatewayFrame, GatewayHeartbeat, LoadScope},
    },
    futures_util::StreamExt,
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

/// Size from which on a record goes over a connection of its own, in bytes: 13 ms over 10 Mbit/s. On the link
/// it would hold up heartbeats; 530 KB took longer than a peer may be silent, and 21 nodes took their peers for lost.
const APART_BYTES: usize = 16 << 10;
/// Messages that wait for a link. More than a second of the heaviest traffic; a peer that takes
/// none of them is about to be found silent.
const LINK_QUEUE: usize = 1_024;
/// How long a link is kept that carries nothing. A peer that is told once a second keeps its own.
const LINK_IDLE_MAX: Duration = Duration::from_secs(5);
/// Addresses of peers that the heartbeats of one round name. Two of eight, five times a second, tell everybody of
/// everybody within a second or two.
const NAMED_PEERS: usize = 2;
/// The same for a delegate among many: fifteen of them name 295 nodes within a second.
const NAMED_PEERS_MANY: usize = 4;
/// Rounds of heartbeats after which a delegate tells the loads of its domain again.
const DOMAIN_LOADS_ROUNDS: u64 = 2;
/// Addresses that a heartbeat names to a peer that hasn't been heard yet.
const NAMED_PEERS_FIRST: usize = 16;

/// What the rest of a node does with messages of peers.
pub trait PeerHandler {
    /// Takes in a message other than a heartbeat.
    fn message(&self, sender: SocketAddr, body: GatewayBody);

    /// Takes in the rest of a heartbeat.
    fn heartbeat(&self, sender: SocketAddr, heartbeat: &GatewayHeartbeat);

    /// Adds what the node says of itself besides who it is, with the loads that are to be told.
    fn describe(&self, heartbeat: &mut GatewayHeartbeat, loads_of: LoadScope);

    /// Says that a peer is heard that was silent before.
    fn joined(&self, peer: SocketAddr);

    /// Says that a peer isn't heard from now on, since delegates add up what it says.
    fn unfollowed(&self, peer: SocketAddr);

    /// Says that a peer is silent or unreachable: what it was asked for is to be asked elsewhere.
    fn lost(&self, peer: SocketAddr);
}

type Link = mpsc::Sender<Bytes>;

/// What heartbeats of one round differ in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct HeartbeatKind {
    pace: Pace,
    /// Whether the peer hasn't been heard yet.
    is_first: bool,
    loads_of: LoadScope,
}

/// The heartbeats of one round, encoded.
#[derive(Debug, Default)]
struct Round {
    /// Whether this node tells the loads of its domain in this round.
    tells_domain: bool,
    encoded: Vec<(HeartbeatKind, Bytes)>,
}

/// The other nodes.
pub struct Peers {
    me: RefCell<Member>,
    role: RefCell<Role>,
    /// Rounds of heartbeats so far.
    rounds: Cell<u64>,
    stillness: Cell<Stillness>,
    members: RefCell<Members>,
    links: RefCell<HashMap<SocketAddr, Link>>,
    handler: RefCell<Option<Rc<dyn PeerHandler>>>,
    clock: Rc<dyn Clock>,
}

impl Peers {
    /// Creates the links of a node, none so far.
    pub fn new(me: Member, clock: Rc<dyn Clock>) -> Self {
        Self {
            me: RefCell::new(me),
            role: RefCell::new(Role::new(rand::random())),
            rounds: Cell::new(0),
            stillness: Cell::new(Stillness::new(clock.now().monotonic)),
            members: RefCell::default(),
            links: RefCell::default(),
            handler: RefCell::default(),
            clock,
        }
    }

    /// Sets who takes messages in; done once, before anything runs.
    pub fn set_handler(&self, handler: Rc<dyn PeerHandler>) {
        *self.handler.borrow_mut() = Some(handler);
    }

    /// Returns this node's own address.
    pub fn address(&self) -> SocketAddr {
        self.me.borrow().address
    }

    /// Says that this node is shutting down; peers are told at once.
    pub fn set_draining(self: &Rc<Self>) {
        self.me.borrow_mut().is_draining = true;
        self.send_heartbeats();
    }

    /// Takes in addresses where there may be peers.
    pub fn suggest(&self, addresses: impl IntoIterator<Item = SocketAddr>) {
        let me = self.address();
        let others = addresses.into_iter().filter(|address| *address != me);
        self.members.borrow_mut().suggest(self.now(), others);
    }

    /// Returns this run of the process.
    pub fn incarnation(&self) -> u64 {
        self.me.borrow().incarnation
    }

    /// Lists the live peers that are heard here.
    pub fn live(&self) -> Vec<SocketAddr> {
        self.members.borrow().live(self.now()).map(|peer| peer.address).collect()
    }

    /// Returns the owner of something: this node or a live peer.
    pub fn owner(&self, what: &str) -> SocketAddr {
        self.members.borrow().owner(self.now(), &self.me.borrow(), what)
    }

    /// Returns the owner of something among the live nodes of some failure domains; `None` if there are none.
    pub fn owner_among(&self, what: &str, is_there: impl Fn(&str) -> bool) -> Option<SocketAddr> {
        let me = self.me.borrow();
        self.members.borrow().owner_among(self.now(), &me, what, is_there)
    }

    /// Sets what this node's link carries, in Mbit/s.
    pub fn set_link(&self, link_mbps: u32) {
        self.me.borrow_mut().link_mbps = link_mbps;
    }

    /// Returns the number of live nodes, this one included.
    pub fn nodes(&self) -> usize {
        let members = self.members.borrow();
        match self.role.borrow().is_mesh() {
            true => members.heard_nodes(self.now()),
            false => members.nodes(self.now()),
        }
    }

    /// Returns the number of live peers that are heard here, by failure domain.
    pub fn heard_by_domain(&self) -> BTreeMap<Arc<str>, usize> {
        let mut counts = BTreeMap::new();
        for peer in self.members.borrow().live(self.now()) {
            *counts.entry(peer.failure_domain.clone()).or_default() += 1;
        }
        counts
    }

    /// Tells whether this node is a delegate of its failure domain.
    pub fn is_delegate(&self) -> bool {
        self.role.borrow().is_delegate()
    }

    /// Tells whether this node is a delegate among many nodes, whose domain depends on what it tells on.
    pub fn tells_on(&self) -> bool {
        let role = self.role.borrow();
        role.is_delegate() && !role.is_mesh()
    }

    /// Tells whether peers may have said something that binds this node and that it hasn't read yet.
    pub fn is_behind(&self) -> bool {
        self.stillness.get().is_behind(self.now())
    }

    /// Tells whether all peers of another failure domain are silent.
    pub fn is_silent(&self, failure_domain: &str) -> bool {
        let own = *self.me.borrow().failure_domain == *failure_domain;
        !own && self.members.borrow().is_silent(self.now(), failure_domain)
    }

    /// Returns this node's part in reading the store for the others.
    pub fn reader_part(&self) -> ReaderPart {
        self.members.borrow().reader_part(self.now(), &self.me.borrow())
    }

    /// Sends a message. A link that fails reports the peer as lost.
    pub fn send(self: &Rc<Self>, peer: SocketAddr, body: GatewayBody) {
        let frame = GatewayFrame { sender: self.address().to_string(), body: Some(body) };
        self.send_bytes(peer, frame.encode_to_vec().into());
    }

    /// Sends a message to all peers that are heard here: among few nodes all, among many each node's delegates.
    pub fn send_all(self: &Rc<Self>, body: GatewayBody) {
        self.send_to(&self.live(), body);
    }

    /// Sends a message on to the nodes that depend on this one, if any do.
    pub fn send_on(self: &Rc<Self>, body: GatewayBody) {
        let (role, me) = (self.role.borrow(), self.me.borrow());
        let dependents = role.dependents(self.now(), &me, &self.members.borrow());
        drop((role, me));
        self.send_to(&dependents, body);
    }

    fn send_to(self: &Rc<Self>, peers: &[SocketAddr], body: GatewayBody) {
        let frame = GatewayFrame { sender: self.address().to_string(), body: Some(body) };
        let bytes: Bytes = frame.encode_to_vec().into();
        for peer in peers {
            self.send_bytes(*peer, bytes.clone());
        }
    }

    /// Returns one of the live peers, drawn at random.
    pub fn any_peer(&self) -> Option<SocketAddr> {
        let members = self.members.borrow();
        members.live(self.now()).choose(&mut rand::rng()).map(|peer| peer.address)
    }

    /// Sends a record, which may be large and is asked for again if it is lost.
    pub fn send_record(self: &Rc<Self>, peer: SocketAddr, body: GatewayBody) {
        let frame = GatewayFrame { sender: self.address().to_string(), body: Some(body) };
        let bytes: Bytes = frame.encode_to_vec().into();
        if bytes.len() < APART_BYTES {
            self.send_bytes(peer, bytes);
            return;
        }
        spawn_local(async move {
            let size = bytes.len();
            if let Err(error) = send_apart(peer, bytes).await {
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
        let (sender, receiver) = mpsc::channel(LINK_QUEUE);
        let peers = self.clone();
        spawn_local(async move {
            match run_link(peer, receiver).await {
                Ok(LinkEnd::Dropped) => {}
                // Nothing was queued since: there is no await in between.
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
        let was_live = self.members.borrow_mut().silence(self.now(), peer);
        if !was_live {
            return;
        }
        let line = LogLine::event("peer_lost").with("peer", peer).with("reason", reason);
        log::warn(line);
        self.lost(peer);
    }

    fn lost(&self, peer: SocketAddr) {
        if let Some(handler) = self.handler() {
            handler.lost(peer);
        }
    }

    /// Takes connections of peers for as long as the process runs.
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
        while let Some(Ok(bytes)) = framed.next().await {
            match GatewayFrame::decode(bytes) {
                Ok(frame) => self.take(frame),
                Err(error) => {
                    log::warn(LogLine::event("peer_frame_malformed").with("error", error));
                    return;
                }
            }
        }
    }

    fn take(self: &Rc<Self>, frame: GatewayFrame) {
        let (Ok(sender), Some(body)) = (frame.sender.parse(), frame.body) else {
            log::warn(LogLine::event("peer_frame_malformed").with("sender", frame.sender));
            return;
        };
        let is_leftover = self.stillness.get().hears_leftovers(self.now());
        match body {
            GatewayBody::Heartbeat(mut heartbeat) => {
                if is_leftover {
                    // It would confirm what may have changed while this process stood still.
                    (heartbeat.config_age_ms, heartbeat.directory_age_ms) = (None, None);
                    // That one is over may have been said before it was named; a limit that is over is lifted by the next answer.
                    heartbeat.limits.retain(|word| word.per_s.is_some());
                }
                self.heard(sender, &heartbeat);
            }
            mut body => {
                if let GatewayBody::Directory(records) = &mut body
                    && is_leftover
                {
                    records.age_ms = None;
                }
                if let Some(handler) = self.handler() {
                    handler.message(sender, body);
                }
            }
        }
    }

    fn heard(self: &Rc<Self>, sender: SocketAddr, heartbeat: &GatewayHeartbeat) {
        let interval = match heartbeat.interval_ms {
            0 => HEARTBEAT_INTERVAL,
            ms => Duration::from_millis(ms.into()),
        };
        let member = Member {
            incarnation: heartbeat.incarnation,
            address: sender,
            failure_domain: Arc::from(heartbeat.failure_domain.as_str()),
            is_draining: heartbeat.is_draining,
            is_delegate: !heartbeat.is_follower,
            link_mbps: heartbeat.link_mbps,
            nodes: heartbeat.nodes as usize,
            interval,
        };
        let is_new = self.members.borrow_mut().heard(self.now(), member);
        self.suggest(heartbeat.peers.iter().filter_map(|peer| peer.parse().ok()));
        if is_new {
            log::info(LogLine::event("peer_joined").with("peer", sender));
            let is_delegate = !heartbeat.is_follower;
            let domain = &heartbeat.failure_domain;
            let pace = self.role.borrow().answer(&self.me.borrow(), is_delegate, domain);
            if let Some(pace) = pace {
                self.send_heartbeat(&mut Round::default(), sender, pace);
            }
        }
        if let Some(handler) = self.handler() {
            if is_new {
                handler.joined(sender);
            }
            handler.heartbeat(sender, heartbeat);
        }
        let mut stillness = self.stillness.get();
        stillness.heard();
        self.stillness.set(stillness);
    }

    /// Sends heartbeats for as long as the process runs.
    pub async fn run_heartbeats(self: Rc<Self>) {
        let mut before = self.now();
        loop {
            let round_at = self.now();
            self.note_stillness(round_at);
            self.send_heartbeats();
            tokio::time::sleep(HEARTBEAT_INTERVAL).await;
            let now = self.now();
            let lost = self.members.borrow_mut().expire(before, now);
            before = now;
            for silent in lost {
                let line = LogLine::event("peer_lost").with("peer", silent.address);
                let line =
                    line.with("reason", "silent").with("silent_ms", silent.silent_for.as_millis());
                let line = line.with("is_delegate", silent.is_delegate);
                // A node that stood still itself finds many silent at once.
                log::warn(line.with("round_ms", (now - round_at).as_millis()));
                self.lost(silent.address);
            }
        }
    }

    fn note_stillness(&self, now: Duration) {
        let mut stillness = self.stillness.get();
        if let Some(gap) = stillness.round(now) {
            log::warn(LogLine::event("stood_still").with("for_ms", gap.as_millis()));
        }
        self.stillness.set(stillness);
    }

    fn send_heartbeats(self: &Rc<Self>) {
        self.rounds.set(self.rounds.get() + 1);
        let has_changed = self.update_role();
        let now = self.now();
        let me = self.me.borrow().clone();
        let members = self.members.borrow();
        let audience = match has_changed && !me.is_delegate {
            // Nobody is to wait for the next heartbeat of a node that is no delegate any more.
            true => members.contacts().into_iter().map(|peer| (peer, Pace::Far)).collect(),
            false => self.role.borrow().audience(now, &me, &members, self.rounds.get()),
        };
        drop(members);
        let is_due = self.rounds.get().is_multiple_of(DOMAIN_LOADS_ROUNDS);
        let tells_domain = is_due && self.members.borrow().is_first_delegate(now, &me);
        let mut round = Round { tells_domain, ..Round::default() };
        for (peer, pace) in audience {
            self.send_heartbeat(&mut round, peer, pace);
        }
    }

    /// Takes in who is there now, and what follows for this node's own part; tells whether that has changed.
    fn update_role(&self) -> bool {
        let now = self.now();
        let mut me = self.me.borrow_mut();
        let changed = self.role.borrow_mut().update(now, &me, &self.members.borrow());
        me.is_delegate = self.role.borrow().is_delegate();
        me.nodes = self.members.borrow().heard_nodes(now);
        let is_delegate = me.is_delegate;
        drop(me);
        if changed {
            let line = LogLine::event("delegate_changed").with("is_delegate", is_delegate);
            log::info(line.with("nodes", self.nodes()));
        }
        if !is_delegate {
            let unfollowed = self.members.borrow_mut().unfollow(now);
            for peer in unfollowed {
                if let Some(handler) = self.handler() {
                    handler.unfollowed(peer);
                }
            }
        }
        changed
    }

    /// Sends a heartbeat; those of one round that say the same are encoded once for all who get them.
    fn send_heartbeat(self: &Rc<Self>, round: &mut Round, peer: SocketAddr, pace: Pace) {
        let is_first = !self.members.borrow().is_live(self.now(), peer);
        let loads_of = self.loads_for(peer, pace, round.tells_domain);
        let kind = HeartbeatKind { pace, is_first, loads_of };
        let bytes = match round.encoded.iter().find(|(encoded, _)| *encoded == kind) {
            Some((_, bytes)) => bytes.clone(),
            None => {
                let body = Some(GatewayBody::Heartbeat(self.heartbeat(kind)));
                let frame = GatewayFrame { sender: self.address().to_string(), body };
                let bytes: Bytes = frame.encode_to_vec().into();
                round.encoded.push((kind, bytes.clone()));
                bytes
            }
        };
        self.send_bytes(peer, bytes);
    }

    /// Returns whose loads a peer is told of. The first delegate of a domain tells those of the domain to all but the
    /// domain's other delegates, which hear its nodes themselves.
    fn loads_for(&self, peer: SocketAddr, pace: Pace, tells_domain: bool) -> LoadScope {
        let role = self.role.borrow();
        if role.is_mesh() || (!role.is_delegate() && pace == Pace::Near) {
            return LoadScope::Sender;
        }
        if !role.is_delegate() {
            return LoadScope::Omitted;
        }
        if self.members.borrow().is_delegate_of(peer, &self.me.borrow().failure_domain) {
            return LoadScope::Sender;
        }
        if tells_domain { LoadScope::Domain } else { LoadScope::Omitted }
    }

    fn heartbeat(&self, kind: HeartbeatKind) -> GatewayHeartbeat {
        let is_mesh = self.role.borrow().is_mesh();
        let named = match (kind.is_first, is_mesh) {
            (true, _) => NAMED_PEERS_FIRST,
            (false, true) => NAMED_PEERS,
            (false, false) => NAMED_PEERS_MANY,
        };
        let mut heartbeat = {
            let me = self.me.borrow();
            let members = self.members.borrow();
            let others = members.live(self.now()).sample(&mut rand::rng(), named);
            GatewayHeartbeat {
                incarnation: me.incarnation,
                failure_domain: me.failure_domain.to_string(),
                is_draining: me.is_draining,
                peers: others.iter().map(|member| member.address.to_string()).collect(),
                is_follower: !me.is_delegate,
                link_mbps: me.link_mbps,
                nodes: me.nodes as u32,
                interval_ms: kind.pace.interval().as_millis() as u32,
                load_scope: kind.loads_of.into(),
                ..GatewayHeartbeat::default()
            }
        };
        if let Some(handler) = self.handler() {
            handler.describe(&mut heartbeat, kind.loads_of);
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

/// Why a link ended that didn't fail.
enum LinkEnd {
    /// Nobody sends on it any more.
    Dropped,
    /// Nothing was sent for a while.
    Idle,
}

/// Writes the messages of a link until it fails, is idle or nobody sends any more.
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

/// Sends one message over a connection of its own.
async fn send_apart(peer: SocketAddr, bytes: Bytes) -> std::io::Result<()> {
    let mut stream = timeout(CONNECT_TIMEOUT, connect(peer)).await??;
    let mut written = BytesMut::new();
    codec().encode(bytes, &mut written)?;
    write_all(&mut stream, &mut written).await?;
    stream.shutdown().await
}

/// Writes all bytes to a peer that goes on taking them, however long that takes.
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

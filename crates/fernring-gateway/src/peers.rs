//! Links to the other nodes: framed messages, each one way, and the heartbeat loop.

use {
    crate::{
        connections::{CONNECT_TIMEOUT, UNACKNOWLEDGED_MAX, connect},
        log,
        members::{HEARTBEAT_INTERVAL, Member, Members, ReaderPart},
    },
    bytes::{Buf, Bytes, BytesMut},
    fernring_core::{clock::Clock, text::LogLine},
    fernring_protocol::{
        codec,
        gateway::{GatewayBody, GatewayFrame, GatewayHeartbeat},
    },
    futures_util::StreamExt,
    prost::Message,
    rand::seq::IteratorRandom,
    std::{
        cell::RefCell, collections::HashMap, net::SocketAddr, rc::Rc, sync::Arc, time::Duration,
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
/// Addresses of peers that one heartbeat names, drawn anew for each. Two of eight, five times a
/// second, tell everybody of everybody within a second or two.
const NAMED_PEERS: usize = 2;
/// Addresses that a heartbeat names to a peer that hasn't been heard yet.
const NAMED_PEERS_FIRST: usize = 16;

/// What the rest of a node does with messages of peers.
pub trait PeerHandler {
    /// Takes in a message other than a heartbeat.
    fn message(&self, sender: SocketAddr, body: GatewayBody);

    /// Takes in the rest of a heartbeat.
    fn heartbeat(&self, sender: SocketAddr, heartbeat: &GatewayHeartbeat);

    /// Adds what the node says of itself besides who it is.
    fn describe(&self, heartbeat: &mut GatewayHeartbeat);

    /// Says that a peer is silent or unreachable: what it was asked for is to be asked elsewhere.
    fn lost(&self, peer: SocketAddr);
}

type Link = mpsc::Sender<Bytes>;

/// The other nodes.
pub struct Peers {
    me: RefCell<Member>,
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

    /// Returns the owner of something: this node or a live peer.
    pub fn owner(&self, what: &str) -> SocketAddr {
        self.members.borrow().owner(self.now(), &self.me.borrow(), what)
    }

    /// Returns the number of live nodes, this one included.
    pub fn nodes(&self) -> usize {
        self.members.borrow().live(self.now()).count() + 1
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
            let reason = match run_link(peer, receiver).await {
                Ok(()) => return,
                Err(reason) => reason,
            };
            peers.links.borrow_mut().remove(&peer);
            peers.link_failed(peer, &reason.to_string());
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
        match body {
            GatewayBody::Heartbeat(heartbeat) => self.heard(sender, &heartbeat),
            body => {
                if let Some(handler) = self.handler() {
                    handler.message(sender, body);
                }
            }
        }
    }

    fn heard(self: &Rc<Self>, sender: SocketAddr, heartbeat: &GatewayHeartbeat) {
        let member = Member {
            incarnation: heartbeat.incarnation,
            address: sender,
            failure_domain: Arc::from(heartbeat.failure_domain.as_str()),
            is_draining: heartbeat.is_draining,
        };
        let is_new = self.members.borrow_mut().heard(self.now(), member);
        self.suggest(heartbeat.peers.iter().filter_map(|peer| peer.parse().ok()));
        if is_new {
            log::info(LogLine::event("peer_joined").with("peer", sender));
            self.send_heartbeat(sender);
        }
        if let Some(handler) = self.handler() {
            handler.heartbeat(sender, heartbeat);
        }
    }

    /// Sends heartbeats for as long as the process runs.
    pub async fn run_heartbeats(self: Rc<Self>) {
        let mut before = self.now();
        loop {
            self.send_heartbeats();
            tokio::time::sleep(HEARTBEAT_INTERVAL).await;
            let now = self.now();
            let lost = self.members.borrow_mut().expire(before, now);
            before = now;
            for peer in lost {
                let line = LogLine::event("peer_lost").with("peer", peer).with("reason", "silent");
                log::warn(line);
                self.lost(peer);
            }
        }
    }

    fn send_heartbeats(self: &Rc<Self>) {
        let contacts = self.members.borrow().contacts();
        for contact in contacts {
            self.send_heartbeat(contact);
        }
    }

    fn send_heartbeat(self: &Rc<Self>, peer: SocketAddr) {
        let now = self.now();
        let mut heartbeat = {
            let me = self.me.borrow();
            let members = self.members.borrow();
            let named = if members.is_live(now, peer) { NAMED_PEERS } else { NAMED_PEERS_FIRST };
            let others = members.live(now).filter(|member| member.address != peer);
            let others = others.sample(&mut rand::rng(), named);
            GatewayHeartbeat {
                incarnation: me.incarnation,
                failure_domain: me.failure_domain.to_string(),
                is_draining: me.is_draining,
                peers: others.iter().map(|member| member.address.to_string()).collect(),
                ..GatewayHeartbeat::default()
            }
        };
        if let Some(handler) = self.handler() {
            handler.describe(&mut heartbeat);
        }
        self.send(peer, GatewayBody::Heartbeat(heartbeat));
    }

    fn handler(&self) -> Option<Rc<dyn PeerHandler>> {
        self.handler.borrow().clone()
    }

    fn now(&self) -> Duration {
        self.clock.now().monotonic
    }
}

/// Writes the messages of a link until it fails or nobody sends any more.
async fn run_link(peer: SocketAddr, mut queue: mpsc::Receiver<Bytes>) -> std::io::Result<()> {
    let mut stream = timeout(CONNECT_TIMEOUT, connect(peer)).await??;
    let mut codec = codec();
    let mut written = BytesMut::new();
    while let Some(bytes) = queue.recv().await {
        codec.encode(bytes, &mut written)?;
        while let Ok(bytes) = queue.try_recv() {
            codec.encode(bytes, &mut written)?;
        }
        write_all(&mut stream, &mut written).await?;
    }
    Ok(())
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
        let written = timeout(UNACKNOWLEDGED_MAX, stream.write(bytes)).await??;
        if written == 0 {
            return Err(std::io::ErrorKind::WriteZero.into());
        }
        bytes.advance(written);
    }
    Ok(())
}

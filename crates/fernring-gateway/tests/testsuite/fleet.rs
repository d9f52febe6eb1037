//! Simulates many nodes that tail a topic through each other, in virtual time: heartbeats, requests
//! and records have transit times, records also on the links. All decisions are made by
//! [`Tailing`].

use {
    fernring_gateway::{
        members::{HEARTBEAT_INTERVAL, ReaderRole},
        tailing::{Reply, Tailing},
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{cmp::Reverse, collections::BinaryHeap, ops::Range, time::Duration},
};

/// Nodes of the deployment.
pub(crate) const NODES: usize = 78;
/// The first of them read the store for their failure domains; node 0 is the primary reader.
const READERS: usize = 4;
/// A link of 10 Mbit/s, in bytes a second.
const LINK_BYTES_PER_S: f64 = 1_250_000.0;
/// Time from the send of a small message until it was handled, on nodes with an eighth of a core.
const TRANSIT_TIME: Range<Duration> = Duration::from_millis(1)..Duration::from_millis(8);
/// Time between two reads of the primary reader.
const READ_INTERVAL: Duration = Duration::from_millis(700);
/// How often a node checks whether it has to read the store itself.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Which nodes can read the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StoreAccess {
    /// Only the readers; requests of the other nodes get no response.
    Readers,
    /// All nodes.
    All,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    HeartbeatDue { node: usize },
    CheckDue { node: usize },
    ReadDue,
    StoreResponse { node: usize },
    Heartbeat { from: usize, to: usize, version: u64, age_ms: Option<u64> },
    RecordRequest { from: usize, to: usize },
    Deferred { to: usize },
    Record { to: usize, version: u64 },
}

#[derive(Debug)]
struct Node {
    tailing: Tailing,
    version: u64,
    is_reading: bool,
    sending_until: Duration,
    receiving_until: Duration,
    /// When the node first tried to read the store although it is no reader.
    doubted_at: Option<Duration>,
    transfers: usize,
}

/// The nodes, all with version 1 known and confirmed.
pub(crate) struct Fleet {
    pub(crate) now: Duration,
    nodes: Vec<Node>,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    event_sequence: u64,
    random: StdRng,
    store_version: u64,
    store_access: StoreAccess,
    record_bytes: usize,
    /// Whether the store responds to the readers.
    pub(crate) store_responds: bool,
    /// Reads of the store by nodes that are no readers.
    pub(crate) stand_in_reads: usize,
}

impl Fleet {
    pub(crate) fn new(seed: u64, store_access: StoreAccess, record_bytes: usize) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let node = |_| {
            let mut tailing = Tailing::new(random.random());
            tailing.record_read(Duration::ZERO, ReaderRole::None);
            tailing.record_caught_up(record_bytes);
            Node {
                tailing,
                version: 1,
                is_reading: false,
                sending_until: Duration::ZERO,
                receiving_until: Duration::ZERO,
                doubted_at: None,
                transfers: 0,
            }
        };
        let nodes = (0..NODES).map(node).collect();
        let mut fleet = Self {
            now: Duration::ZERO,
            nodes,
            events: BinaryHeap::new(),
            event_sequence: 0,
            random,
            store_version: 1,
            store_access,
            record_bytes,
            store_responds: true,
            stand_in_reads: 0,
        };
        for node in 0..NODES {
            let phase = fleet.random.random_range(Duration::ZERO..HEARTBEAT_INTERVAL);
            fleet.schedule(phase, Event::HeartbeatDue { node });
            fleet.schedule(phase, Event::CheckDue { node });
        }
        fleet.schedule(Duration::ZERO, Event::ReadDue);
        fleet
    }

    /// Writes a newer record to the store, which all readers get at once.
    pub(crate) fn publish(&mut self) {
        self.store_version += 1;
        for node in 0..READERS {
            self.handle_store_response(node);
        }
    }

    /// Advances the virtual time.
    pub(crate) fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.events.peek().is_some_and(|Reverse((at, ..))| *at <= end) {
            let Some(Reverse((at, _, event))) = self.events.pop() else {
                break;
            };
            self.now = at;
            self.handle(event);
        }
        self.now = end;
    }

    /// Returns when the last of the other nodes began to doubt its records; `None` if one of them
    /// hasn't.
    pub(crate) fn last_doubted_at(&self) -> Option<Duration> {
        let followers = self.nodes[READERS..].iter();
        followers.map(|node| node.doubted_at).max_by_key(|at| at.unwrap_or(Duration::MAX))?
    }

    /// Returns the number of nodes that have the newest record.
    pub(crate) fn up_to_date_count(&self) -> usize {
        self.nodes.iter().filter(|node| node.version == self.store_version).count()
    }

    /// Returns the number of records that were sent over links between nodes.
    pub(crate) fn transfers(&self) -> usize {
        self.nodes.iter().map(|node| node.transfers).sum()
    }

    fn schedule(&mut self, pause: Duration, event: Event) {
        self.event_sequence += 1;
        self.events.push(Reverse((self.now + pause, self.event_sequence, event)));
    }

    fn send(&mut self, event: Event) {
        let transit = self.random.random_range(TRANSIT_TIME);
        self.schedule(transit, event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::HeartbeatDue { node } => self.send_heartbeats(node),
            Event::CheckDue { node } => self.check_read(node),
            Event::ReadDue => self.read_as_reader(),
            Event::StoreResponse { node } => self.handle_store_response(node),
            Event::Heartbeat { from, to, version, age_ms } => {
                let age = age_ms.map(Duration::from_millis);
                let receiver = &mut self.nodes[to];
                if receiver.tailing.handle_peer_mark(self.now, receiver.version, version, age) {
                    self.send(Event::RecordRequest { from: to, to: from });
                }
            }
            Event::RecordRequest { from, to } => self.handle_record_request(from, to),
            Event::Deferred { to } => {
                let draw = self.random.random();
                self.nodes[to].tailing.handle_deferral(self.now, draw);
            }
            Event::Record { to, version } => {
                self.nodes[to].transfers += 1;
                self.apply_record(to, version);
            }
        }
    }

    fn send_heartbeats(&mut self, from: usize) {
        let version = self.nodes[from].version;
        let age_ms = self.reported_age_ms(from);
        for to in (0..NODES).filter(|to| *to != from) {
            self.send(Event::Heartbeat { from, to, version, age_ms });
        }
        self.schedule(HEARTBEAT_INTERVAL, Event::HeartbeatDue { node: from });
    }

    fn reported_age_ms(&self, node: usize) -> Option<u64> {
        let age = self.nodes[node].tailing.reported_age(self.now)?;
        Some(age.as_millis() as u64)
    }

    fn check_read(&mut self, node: usize) {
        self.schedule(CHECK_INTERVAL, Event::CheckDue { node });
        let now = self.now;
        let checked = &mut self.nodes[node];
        let is_reader = node < READERS;
        if is_reader || checked.is_reading || !checked.tailing.should_read(now, ReaderRole::None) {
            return;
        }
        checked.doubted_at.get_or_insert(now);
        if self.store_access == StoreAccess::All {
            checked.is_reading = true;
            self.stand_in_reads += 1;
            let responded_at = self.transfer(None, node);
            self.schedule(responded_at - now, Event::StoreResponse { node });
        }
    }

    /// Moves a record over the links of its sender and its receiver; returns the time of its
    /// arrival.
    fn transfer(&mut self, from: Option<usize>, to: usize) -> Duration {
        let time = Duration::from_secs_f64(self.record_bytes as f64 / LINK_BYTES_PER_S);
        let mut sent_at = self.now + time;
        if let Some(from) = from {
            let sender = &mut self.nodes[from];
            sent_at = sender.sending_until.max(self.now) + time;
            sender.sending_until = sent_at;
        }
        let receiver = &mut self.nodes[to];
        receiver.receiving_until = sent_at.max(receiver.receiving_until.max(self.now) + time);
        receiver.receiving_until
    }

    fn read_as_reader(&mut self) {
        if self.store_responds {
            self.nodes[0].tailing.record_read(self.now, ReaderRole::Primary);
        }
        self.schedule(READ_INTERVAL, Event::ReadDue);
    }

    fn handle_store_response(&mut self, node: usize) {
        let role = match node {
            0 => ReaderRole::Primary,
            node if node < READERS => ReaderRole::Domain,
            _ => ReaderRole::None,
        };
        let reader = &mut self.nodes[node];
        reader.is_reading = false;
        reader.tailing.record_read(self.now, role);
        self.apply_record(node, self.store_version);
    }

    fn handle_record_request(&mut self, from: usize, to: usize) {
        let bytes = self.record_bytes;
        match self.nodes[to].tailing.handle_request(self.now, bytes) {
            Reply::Record => {
                let version = self.nodes[to].version;
                let arrives_at = self.transfer(Some(to), from);
                self.schedule(arrives_at - self.now, Event::Record { to: from, version });
            }
            Reply::Deferred => self.send(Event::Deferred { to: from }),
        }
    }

    fn apply_record(&mut self, node: usize, version: u64) {
        let bytes = self.record_bytes;
        let node = &mut self.nodes[node];
        if version > node.version {
            node.version = version;
            node.tailing.record_caught_up(bytes);
        }
    }
}

//! Many nodes that follow a topic through each other, under virtual time: their heartbeats, questions and
//! records take time on the way, records also on the links. Nothing but [`Tailing`] decides.

use {
    fernring_gateway::{
        tailing::{Tailing, Reply},
        members::{HEARTBEAT_INTERVAL, ReaderPart},
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{cmp::Reverse, collections::BinaryHeap, ops::Range, time::Duration},
};

/// Nodes of the deployment.
pub(crate) const NODES: usize = 78;
/// The first of them read the store for their failure domains; node 0 is the first reader.
const READERS: usize = 4;
/// A link of 10 Mbit/s, in bytes a second.
const LINK_BYTES_PER_S: f64 = 1_250_000.0;
/// Time from the writing of a small message until it has been taken in, on nodes with an eighth of a core.
const TRANSIT: Range<Duration> = Duration::from_millis(1)..Duration::from_millis(8);
/// Time between two reads of the first reader.
const READ_INTERVAL: Duration = Duration::from_millis(700);
/// How often a node looks whether it has to read the store itself.
const WATCH_INTERVAL: Duration = Duration::from_millis(100);

/// Who may read the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StoreFor {
    /// Nobody but the readers; the others ask in vain.
    Readers,
    /// Everybody.
    All,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Beat { node: usize },
    Watch { node: usize },
    ReaderReads,
    StoreAnswers { node: usize },
    Heartbeat { from: usize, to: usize, version: u64, age_ms: Option<u64> },
    Question { from: usize, to: usize },
    PutOff { to: usize },
    Record { to: usize, version: u64 },
}

#[derive(Debug)]
struct Node {
    following: Tailing,
    version: u64,
    reads: bool,
    sends_until: Duration,
    receives_until: Duration,
    /// When it first tried to read the store although it is no reader.
    doubted_at: Option<Duration>,
    copies: usize,
}

/// The nodes, all with version 1 known and confirmed.
pub(crate) struct Fleet {
    pub(crate) now: Duration,
    nodes: Vec<Node>,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    number: u64,
    random: StdRng,
    store_version: u64,
    store_for: StoreFor,
    record_bytes: usize,
    /// Whether the store answers the readers.
    pub(crate) store_answers: bool,
    /// Reads of the store by nodes that are no readers.
    pub(crate) stand_ins: usize,
}

impl Fleet {
    pub(crate) fn new(seed: u64, store_for: StoreFor, record_bytes: usize) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let node = |_| {
            let mut following = Tailing::new(random.random());
            following.record_read(Duration::ZERO, ReaderPart::None);
            following.record_caught_up(record_bytes);
            Node {
                following,
                version: 1,
                reads: false,
                sends_until: Duration::ZERO,
                receives_until: Duration::ZERO,
                doubted_at: None,
                copies: 0,
            }
        };
        let nodes = (0..NODES).map(node).collect();
        let mut fleet = Self {
            now: Duration::ZERO,
            nodes,
            events: BinaryHeap::new(),
            number: 0,
            random,
            store_version: 1,
            store_for,
            record_bytes,
            store_answers: true,
            stand_ins: 0,
        };
        for node in 0..NODES {
            let phase = fleet.random.random_range(Duration::ZERO..HEARTBEAT_INTERVAL);
            fleet.after(phase, Event::Beat { node });
            fleet.after(phase, Event::Watch { node });
        }
        fleet.after(Duration::ZERO, Event::ReaderReads);
        fleet
    }

    /// Writes a newer record to the store, which all readers get at once.
    pub(crate) fn publish(&mut self) {
        self.store_version += 1;
        for node in 0..READERS {
            self.store_answers(node);
        }
    }

    /// Lets time pass.
    pub(crate) fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.events.peek().is_some_and(|Reverse((at, ..))| *at <= end) {
            let Some(Reverse((at, _, event))) = self.events.pop() else {
                break;
            };
            self.now = at;
            self.happen(event);
        }
        self.now = end;
    }

    /// Returns when the last node but the readers began to doubt what it knows; `None` if one hasn't.
    pub(crate) fn last_doubted_at(&self) -> Option<Duration> {
        let followers = self.nodes[READERS..].iter();
        followers.map(|node| node.doubted_at).max_by_key(|at| at.unwrap_or(Duration::MAX))?
    }

    /// Returns the number of nodes that have the newest record.
    pub(crate) fn up_to_date(&self) -> usize {
        self.nodes.iter().filter(|node| node.version == self.store_version).count()
    }

    /// Returns how many records came over links between nodes.
    pub(crate) fn copies(&self) -> usize {
        self.nodes.iter().map(|node| node.copies).sum()
    }

    fn after(&mut self, pause: Duration, event: Event) {
        self.number += 1;
        self.events.push(Reverse((self.now + pause, self.number, event)));
    }

    fn send(&mut self, event: Event) {
        let transit = self.random.random_range(TRANSIT);
        self.after(transit, event);
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Beat { node } => self.beat(node),
            Event::Watch { node } => self.watch(node),
            Event::ReaderReads => self.reader_reads(),
            Event::StoreAnswers { node } => self.store_answers(node),
            Event::Heartbeat { from, to, version, age_ms } => {
                let age = age_ms.map(Duration::from_millis);
                let hearer = &mut self.nodes[to];
                if hearer.following.handle_peer_mark(self.now, hearer.version, version, age) {
                    self.send(Event::Question { from: to, to: from });
                }
            }
            Event::Question { from, to } => self.question(from, to),
            Event::PutOff { to } => {
                let draw = self.random.random();
                self.nodes[to].following.handle_deferral(self.now, draw);
            }
            Event::Record { to, version } => {
                self.nodes[to].copies += 1;
                self.take(to, version);
            }
        }
    }

    fn beat(&mut self, from: usize) {
        let version = self.nodes[from].version;
        let age_ms = self.told_age_ms(from);
        for to in (0..NODES).filter(|to| *to != from) {
            self.send(Event::Heartbeat { from, to, version, age_ms });
        }
        self.after(HEARTBEAT_INTERVAL, Event::Beat { node: from });
    }

    fn told_age_ms(&self, node: usize) -> Option<u64> {
        let age = self.nodes[node].following.reported_age(self.now)?;
        Some(age.as_millis() as u64)
    }

    fn watch(&mut self, node: usize) {
        self.after(WATCH_INTERVAL, Event::Watch { node });
        let now = self.now;
        let watched = &mut self.nodes[node];
        let is_reader = node < READERS;
        if is_reader || watched.reads || !watched.following.should_read(now, ReaderPart::None) {
            return;
        }
        watched.doubted_at.get_or_insert(now);
        if self.store_for == StoreFor::All {
            watched.reads = true;
            self.stand_ins += 1;
            let answered_at = self.over_link(None, node);
            self.after(answered_at - now, Event::StoreAnswers { node });
        }
    }

    /// Moves a record over the links of its sender and its receiver; returns when it is there.
    fn over_link(&mut self, from: Option<usize>, to: usize) -> Duration {
        let time = Duration::from_secs_f64(self.record_bytes as f64 / LINK_BYTES_PER_S);
        let mut sent_at = self.now + time;
        if let Some(from) = from {
            let sender = &mut self.nodes[from];
            sent_at = sender.sends_until.max(self.now) + time;
            sender.sends_until = sent_at;
        }
        let receiver = &mut self.nodes[to];
        receiver.receives_until = sent_at.max(receiver.receives_until.max(self.now) + time);
        receiver.receives_until
    }

    fn reader_reads(&mut self) {
        if self.store_answers {
            self.nodes[0].following.record_read(self.now, ReaderPart::First);
        }
        self.after(READ_INTERVAL, Event::ReaderReads);
    }

    fn store_answers(&mut self, node: usize) {
        let part = match node {
            0 => ReaderPart::First,
            node if node < READERS => ReaderPart::OfDomain,
            _ => ReaderPart::None,
        };
        let reader = &mut self.nodes[node];
        reader.reads = false;
        reader.following.record_read(self.now, part);
        self.take(node, self.store_version);
    }

    fn question(&mut self, from: usize, to: usize) {
        let bytes = self.record_bytes;
        match self.nodes[to].following.handle_request(self.now, bytes) {
            Reply::Record => {
                let version = self.nodes[to].version;
                let there_at = self.over_link(Some(to), from);
                self.after(there_at - self.now, Event::Record { to: from, version });
            }
            Reply::Deferred => self.send(Event::PutOff { to: from }),
        }
    }

    fn take(&mut self, node: usize, version: u64) {
        let bytes = self.record_bytes;
        let node = &mut self.nodes[node];
        if version > node.version {
            node.version = version;
            node.following.record_caught_up(bytes);
        }
    }
}

//! Simulates, in virtual time, the simultaneous start of all nodes of a fleet with thousands of
//! upstreams. All decisions are made by [`Bootstrap`], [`FullRead`] and [`Tailing`]; the store has
//! the limits that users stated.
//!
//! Guards against an overload of the store at the start. 986 nodes with 10,003 upstreams made
//! 54,310 calls: each node read all 21 pages, and started over when a page failed. After a crash of
//! all processes no node knew an upstream for the rest of the day: 661 of 774 requests of 106 nodes
//! ended with 3004, and the store refused 100 to 317 of their calls per second.

use {
    fernring_gateway::{
        bootstrap::Bootstrap,
        full_read::FullRead,
        members::{HEARTBEAT_INTERVAL, ReaderRole},
        position::Position,
        tailing::{Reply, Tailing},
        wire::{KeyedRecord, NewestPage, Page, StoreError},
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{cmp::Reverse, collections::BinaryHeap, sync::Arc, time::Duration},
};

/// Records of a page, and the size of a page in bytes.
const PAGE_RECORDS: usize = 500;
const PAGE_BYTES: f64 = 150_000.0;
/// Size of a compressed record that nodes pass on, in bytes.
const RECORD_BYTES: usize = 40;
/// The store's limits.
const READS_PER_S: u32 = 16_000;
const STORE_BYTES_PER_S: f64 = 500e6;
const RESPONSE_TIME: Duration = Duration::from_millis(6);
/// Longest wait of a node for a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(800);
/// One in this many nodes has a large link.
const LARGE_ONE_IN: usize = 20;
const LARGE_BYTES_PER_S: f64 = 125e6;
const SMALL_BYTES_PER_S: f64 = 2.5e6;
/// Number of delegates, whose heartbeats all nodes receive once they know them.
const DELEGATES: usize = 15;
/// Time until a node knows its delegates.
const PEER_DISCOVERY_TIME: Duration = Duration::from_millis(800);
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
const TRANSIT_TIME: Duration = Duration::from_millis(4);

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    ReadPage { node: usize },
    PageReceived { node: usize, is_good: bool },
    Heartbeat { node: usize },
    Request { from: usize, to: usize },
    Deferral { to: usize },
    RecordReceived { to: usize },
}

struct Node {
    started_at: Duration,
    link: f64,
    tailing: Tailing,
    bootstrap: Option<Bootstrap>,
    pages: usize,
    receives_until: Duration,
    sends_until: Duration,
    first_page_at: Option<Duration>,
    complete_at: Option<Duration>,
}

struct Fleet {
    now: Duration,
    nodes: Vec<Node>,
    pages: usize,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    number: u64,
    random: StdRng,
    calls: usize,
    refused: usize,
    second: (u64, u32),
    store_sends_until: Duration,
    /// Whether nodes wait for peers after their first page; if not, each node reads all pages.
    waits_for_peers: bool,
}

impl Fleet {
    fn start(seed: u64, nodes: usize, upstreams: usize, waits_for_peers: bool) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let mut fleet = Self {
            now: Duration::ZERO,
            nodes: Vec::new(),
            pages: upstreams.div_ceil(PAGE_RECORDS),
            events: BinaryHeap::new(),
            number: 0,
            random: StdRng::seed_from_u64(seed + 1),
            calls: 0,
            refused: 0,
            second: (0, 0),
            store_sends_until: Duration::ZERO,
            waits_for_peers,
        };
        for node in 0..nodes {
            let started_at = random.random_range(Duration::ZERO..Duration::from_millis(300));
            let is_large = node % LARGE_ONE_IN == 0;
            let link = if is_large { LARGE_BYTES_PER_S } else { SMALL_BYTES_PER_S };
            let mut tailing = Tailing::new(random.random());
            tailing.set_link(link);
            fleet.nodes.push(Node {
                started_at,
                link,
                tailing,
                bootstrap: None,
                pages: 0,
                receives_until: Duration::ZERO,
                sends_until: Duration::ZERO,
                first_page_at: None,
                complete_at: None,
            });
            fleet.schedule_at(started_at, Event::ReadPage { node });
            // Delegates have the largest links.
            if is_large && node / LARGE_ONE_IN < DELEGATES {
                fleet.schedule_at(started_at + PEER_DISCOVERY_TIME, Event::Heartbeat { node });
            }
        }
        fleet
    }

    fn schedule_at(&mut self, at: Duration, event: Event) {
        self.number += 1;
        self.events.push(Reverse((at, self.number, event)));
    }

    fn schedule_after(&mut self, pause: Duration, event: Event) {
        self.schedule_at(self.now + pause, event);
    }

    /// Runs the simulation until all nodes know all upstreams, for at most `most`.
    fn run(&mut self, most: Duration) {
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = at;
            if at > most || self.nodes.iter().all(|node| node.complete_at.is_some()) {
                return;
            }
            match event {
                Event::ReadPage { node } => self.read_page(node),
                Event::PageReceived { node, is_good } => self.handle_page(node, is_good),
                Event::Heartbeat { node } => self.send_heartbeat(node),
                Event::Request { from, to } => self.handle_request(from, to),
                Event::Deferral { to } => {
                    let draw = self.random.random();
                    self.nodes[to].tailing.handle_deferral(self.now, draw);
                }
                Event::RecordReceived { to } => self.mark_complete(to, false),
            }
        }
    }

    fn read_page(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        if node.complete_at.is_some() {
            return;
        }
        if node.pages > 0 && self.waits_for_peers {
            let draw = self.random.random();
            let (now, link) = (self.now, node.link);
            let bootstrap = node.bootstrap.get_or_insert_with(|| Bootstrap::new(now, link, draw));
            if !bootstrap.should_read_on(now, node.tailing.lag().peer_ahead_at()) {
                return self.schedule_after(CHECK_INTERVAL, Event::ReadPage { node: index });
            }
        }
        self.calls += 1;
        let second = self.now.as_secs();
        if self.second.0 != second {
            self.second = (second, 0);
        }
        self.second.1 += 1;
        if self.second.1 > READS_PER_S {
            self.refused += 1;
            return self.schedule_after(
                RESPONSE_TIME,
                Event::PageReceived { node: index, is_good: false },
            );
        }
        let time = |bytes_per_s: f64| Duration::from_secs_f64(PAGE_BYTES / bytes_per_s);
        self.store_sends_until = self.store_sends_until.max(self.now) + time(STORE_BYTES_PER_S);
        let store_sent_at = self.store_sends_until + RESPONSE_TIME;
        let node = &mut self.nodes[index];
        let received_at = store_sent_at.max(node.receives_until) + time(node.link);
        if store_sent_at > self.now + RESPONSE_TIMEOUT {
            // The node abandons the call, but the store sends the page nevertheless.
            return self.schedule_after(
                RESPONSE_TIMEOUT,
                Event::PageReceived { node: index, is_good: false },
            );
        }
        node.receives_until = received_at;
        self.schedule_at(received_at, Event::PageReceived { node: index, is_good: true });
    }

    fn handle_page(&mut self, index: usize, is_good: bool) {
        if !is_good {
            let pause = Duration::from_millis(self.random.random_range(125..700));
            return self.schedule_after(pause, Event::ReadPage { node: index });
        }
        let node = &mut self.nodes[index];
        node.pages += 1;
        node.first_page_at.get_or_insert(self.now);
        node.tailing.expect_bytes(self.pages * PAGE_RECORDS * RECORD_BYTES);
        if node.pages == self.pages {
            return self.mark_complete(index, true);
        }
        self.schedule_after(Duration::ZERO, Event::ReadPage { node: index });
    }

    fn mark_complete(&mut self, index: usize, from_store: bool) {
        let node = &mut self.nodes[index];
        if node.complete_at.is_none() {
            node.complete_at = Some(self.now);
            node.tailing.record_caught_up(0);
            if from_store {
                node.tailing.record_read(self.now, ReaderRole::None);
            }
        }
    }

    fn send_heartbeat(&mut self, from: usize) {
        self.schedule_after(HEARTBEAT_INTERVAL, Event::Heartbeat { node: from });
        let age = self.nodes[from].tailing.reported_age(self.now);
        let mark = u64::from(self.nodes[from].complete_at.is_some());
        let now = self.now + TRANSIT_TIME;
        for to in 0..self.nodes.len() {
            let node = &mut self.nodes[to];
            if to == from || now < node.started_at + PEER_DISCOVERY_TIME {
                continue;
            }
            let own = u64::from(node.complete_at.is_some());
            if node.tailing.handle_peer_mark(now, own, mark, age) {
                self.schedule_at(now + TRANSIT_TIME, Event::Request { from: to, to: from });
            }
        }
    }

    fn handle_request(&mut self, from: usize, to: usize) {
        let bytes = self.pages * PAGE_RECORDS * RECORD_BYTES;
        match self.nodes[to].tailing.handle_request(self.now, bytes) {
            Reply::Record => {
                let time = |link: f64| Duration::from_secs_f64(bytes as f64 / link);
                let sender = &mut self.nodes[to];
                sender.sends_until = sender.sends_until.max(self.now) + time(sender.link);
                let sent_at = sender.sends_until;
                let receiver = &mut self.nodes[from];
                receiver.receives_until =
                    sent_at.max(receiver.receives_until.max(self.now) + time(receiver.link));
                let received_at = receiver.receives_until;
                self.schedule_at(received_at, Event::RecordReceived { to: from });
            }
            Reply::Deferred => self.schedule_after(TRANSIT_TIME, Event::Deferral { to: from }),
        }
    }

    fn readers(&self) -> usize {
        self.nodes.iter().filter(|node| node.pages == self.pages).count()
    }

    /// Returns the longest time from a node's start to the moment that `at` returns; `None` if a
    /// node has none.
    fn slowest(&self, at: impl Fn(&Node) -> Option<Duration>) -> Option<Duration> {
        let times = self.nodes.iter().map(|node| Some(at(node)?.saturating_sub(node.started_at)));
        times.collect::<Option<Vec<_>>>()?.into_iter().max()
    }
}

/// With ten upstreams per node, each node serves with the first page within a second of its start,
/// the store refuses no call, and all nodes know all upstreams within the users' time for a
/// recovery.
#[test]
fn fleet_serves_within_a_second_without_refused_reads() {
    for seed in 1..=3 {
        for nodes in [1_000, 2_000] {
            let mut fleet = Fleet::start(seed, nodes, nodes * 10, true);
            fleet.run(Duration::from_secs(18));
            let first =
                fleet.slowest(|node| node.first_page_at).expect("all nodes have a first page");
            assert!(first <= Duration::from_secs(1), "{nodes} nodes, seed {seed}: {first:?}");
            let known = fleet.slowest(|node| node.complete_at);
            assert!(
                known.is_some(),
                "{nodes} nodes, seed {seed}: not all nodes know all upstreams"
            );
            println!(
                "{nodes} nodes, seed {seed}: first page {first:?}, all upstreams known {known:?}, {} calls, {} refused, {} readers",
                fleet.calls,
                fleet.refused,
                fleet.readers()
            );
            assert_eq!(fleet.refused, 0, "{nodes} nodes, seed {seed}: the store refuses nothing");
        }
    }
}

#[test]
fn node_without_reachable_peers_reads_on() {
    let link = SMALL_BYTES_PER_S;
    for draw in [0.0, 0.5, 1.0] {
        let bootstrap = Bootstrap::new(Duration::ZERO, link, draw);
        assert!(bootstrap.should_read_on(Duration::from_secs(6), None), "{draw}");
        // A node that knows of a peer that is ahead waits for it, but not longer than the transfer
        // may take.
        let peer_ahead_at = Some(Duration::from_millis(5_500));
        assert!(!bootstrap.should_read_on(Duration::from_secs(6), peer_ahead_at));
        assert!(bootstrap.should_read_on(Duration::from_millis(7_500), peer_ahead_at));
        // Nor does it wait on for a peer that defers its requests again and again.
        let now = Duration::from_secs(10);
        assert!(bootstrap.should_read_on(now, Some(now)));
    }
    let large = Bootstrap::new(Duration::ZERO, LARGE_BYTES_PER_S, 1.0);
    assert!(
        large.should_read_on(Duration::from_millis(1_100), None),
        "a node with a large link waits less"
    );
}

fn page(keys: &[&str], end: u64, era: u64) -> Page {
    let record = |key: &&str| KeyedRecord { key: (*key).into(), value: None, offset: 0 };
    let records = keys.iter().map(record).collect();
    Page { records, era, end, took: Duration::from_millis(3), unreadable: 0, has_more: false }
}

#[test]
fn failed_page_is_read_again_earlier_pages_kept() {
    let mut full_read = FullRead::default();
    assert!(!full_read.has_started() && full_read.page_token().is_none());
    let next = |key: &str| Some(Arc::from(key));
    let first = NewestPage { page: page(&["a", "b"], 7, 0), next: next("b") };
    assert_eq!(full_read.add_page(first).unwrap(), None);
    // A failed call changes nothing: the page after "b" is requested again.
    assert_eq!((full_read.page_token(), full_read.pages().unwrap().records.len()), (Some("b"), 2));
    let last = NewestPage { page: page(&["c"], 9, 0), next: None };
    let all_records = full_read.add_page(last).unwrap().expect("it was the last page");
    assert_eq!((all_records.records.len(), all_records.end_position()), (3, Position::new(0, 7)));
    assert_eq!(all_records.took, Duration::from_millis(6));
    assert!(all_records.has_more, "records may have been written after the first page was read");
    // The store was restored from a backup between two pages: the pages read before are invalid.
    let first = NewestPage { page: page(&["a", "b"], 7, 0), next: next("b") };
    full_read.add_page(first).unwrap();
    let other = NewestPage { page: page(&["c"], 5, 1), next: None };
    assert!(matches!(full_read.add_page(other), Err(StoreError::Expired)));
    assert!(!full_read.has_started() && full_read.page_token().is_none());
}

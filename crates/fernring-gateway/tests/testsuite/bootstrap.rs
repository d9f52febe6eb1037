//! All nodes of a fleet start at once before thousands of upstreams, under virtual time. Nothing but [`Starting`],
//! [`FullRead`] and [`Following`] decides; the store has the users' bounds.
//!
//! 986 nodes before 10,003 upstreams made 54,310 calls to the store at a start: each read all records, 21 pages, and when one
//! failed, all of them again. After an end of all processes none knew an upstream for the rest of the day: 661 of
//! 774 requests of 106 nodes ended with 3004, and the store refused 100 to 317 of their calls a second.

use {
    fernring_gateway::{
        bootstrap::Bootstrap,
        full_read::FullRead,
        members::{HEARTBEAT_INTERVAL, ReaderPart},
        position::Position,
        tailing::{Reply, Tailing},
        wire::{KeyedRecord, NewestPage, Page, StoreError},
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{cmp::Reverse, collections::BinaryHeap, sync::Arc, time::Duration},
};

/// Records of a page, and its size.
const PAGE_RECORDS: usize = 500;
const PAGE_BYTES: f64 = 150_000.0;
/// Size of a record that nodes pass on, packed.
const RECORD_BYTES: usize = 40;
/// The store's bounds.
const READS_PER_S: u32 = 16_000;
const STORE_BYTES_PER_S: f64 = 500e6;
const ANSWER_TIME: Duration = Duration::from_millis(6);
/// Longest wait of a node for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(800);
/// One in so many has a large link.
const LARGE_ONE_IN: usize = 20;
const LARGE_BYTES_PER_S: f64 = 125e6;
const SMALL_BYTES_PER_S: f64 = 2.5e6;
/// The nodes that everybody hears once it knows them.
const DELEGATES: usize = 15;
/// Time until a node knows its delegates.
const MEETING: Duration = Duration::from_millis(800);
const CHECK: Duration = Duration::from_millis(20);
const TRANSIT: Duration = Duration::from_millis(4);

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Reads { node: usize },
    PageThere { node: usize, is_good: bool },
    Beat { node: usize },
    Question { from: usize, to: usize },
    PutOff { to: usize },
    Record { to: usize },
}

struct Node {
    started_at: Duration,
    link: f64,
    following: Tailing,
    starting: Option<Bootstrap>,
    pages: usize,
    receives_until: Duration,
    sends_until: Duration,
    first_page_at: Option<Duration>,
    knows_at: Option<Duration>,
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
    /// Whether nodes wait after their first page; without it each reads all.
    waits: bool,
}

impl Fleet {
    fn start(seed: u64, nodes: usize, upstreams: usize, waits: bool) -> Self {
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
            waits,
        };
        for node in 0..nodes {
            let started_at = random.random_range(Duration::ZERO..Duration::from_millis(300));
            let is_large = node % LARGE_ONE_IN == 0;
            let link = if is_large { LARGE_BYTES_PER_S } else { SMALL_BYTES_PER_S };
            let mut following = Tailing::new(random.random());
            following.set_link(link);
            fleet.nodes.push(Node {
                started_at,
                link,
                following,
                starting: None,
                pages: 0,
                receives_until: Duration::ZERO,
                sends_until: Duration::ZERO,
                first_page_at: None,
                knows_at: None,
            });
            fleet.at(started_at, Event::Reads { node });
            // Delegates have the largest links.
            if is_large && node / LARGE_ONE_IN < DELEGATES {
                fleet.at(started_at + MEETING, Event::Beat { node });
            }
        }
        fleet
    }

    fn at(&mut self, at: Duration, event: Event) {
        self.number += 1;
        self.events.push(Reverse((at, self.number, event)));
    }

    fn after(&mut self, pause: Duration, event: Event) {
        self.at(self.now + pause, event);
    }

    /// Lets time pass until all nodes know all upstreams.
    fn run(&mut self, most: Duration) {
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = at;
            if at > most || self.nodes.iter().all(|node| node.knows_at.is_some()) {
                return;
            }
            match event {
                Event::Reads { node } => self.reads(node),
                Event::PageThere { node, is_good } => self.page_there(node, is_good),
                Event::Beat { node } => self.beat(node),
                Event::Question { from, to } => self.question(from, to),
                Event::PutOff { to } => {
                    let draw = self.random.random();
                    self.nodes[to].following.handle_deferral(self.now, draw);
                }
                Event::Record { to } => self.knows(to, false),
            }
        }
    }

    fn reads(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        if node.knows_at.is_some() {
            return;
        }
        if node.pages > 0 && self.waits {
            let draw = self.random.random();
            let (now, link) = (self.now, node.link);
            let starting = node.starting.get_or_insert_with(|| Bootstrap::new(now, link, draw));
            if !starting.should_read_on(now, node.following.lag().peer_ahead_at()) {
                return self.after(CHECK, Event::Reads { node: index });
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
            return self.after(ANSWER_TIME, Event::PageThere { node: index, is_good: false });
        }
        let time = |bytes_per_s: f64| Duration::from_secs_f64(PAGE_BYTES / bytes_per_s);
        self.store_sends_until = self.store_sends_until.max(self.now) + time(STORE_BYTES_PER_S);
        let begun_at = self.store_sends_until + ANSWER_TIME;
        let node = &mut self.nodes[index];
        let there_at = begun_at.max(node.receives_until) + time(node.link);
        if begun_at > self.now + ANSWER_TIMEOUT {
            // It gives up; the store has sent it all the same.
            return self.after(ANSWER_TIMEOUT, Event::PageThere { node: index, is_good: false });
        }
        node.receives_until = there_at;
        self.at(there_at, Event::PageThere { node: index, is_good: true });
    }

    fn page_there(&mut self, index: usize, is_good: bool) {
        if !is_good {
            let pause = Duration::from_millis(self.random.random_range(125..700));
            return self.after(pause, Event::Reads { node: index });
        }
        let node = &mut self.nodes[index];
        node.pages += 1;
        node.first_page_at.get_or_insert(self.now);
        node.following.expect_bytes(self.pages * PAGE_RECORDS * RECORD_BYTES);
        if node.pages == self.pages {
            return self.knows(index, true);
        }
        self.after(Duration::ZERO, Event::Reads { node: index });
    }

    fn knows(&mut self, index: usize, has_read: bool) {
        let node = &mut self.nodes[index];
        if node.knows_at.is_none() {
            node.knows_at = Some(self.now);
            node.following.record_caught_up(0);
            if has_read {
                node.following.record_read(self.now, ReaderPart::None);
            }
        }
    }

    fn beat(&mut self, from: usize) {
        self.after(HEARTBEAT_INTERVAL, Event::Beat { node: from });
        let age = self.nodes[from].following.reported_age(self.now);
        let mark = u64::from(self.nodes[from].knows_at.is_some());
        let now = self.now + TRANSIT;
        for to in 0..self.nodes.len() {
            let node = &mut self.nodes[to];
            if to == from || now < node.started_at + MEETING {
                continue;
            }
            let own = u64::from(node.knows_at.is_some());
            if node.following.handle_peer_mark(now, own, mark, age) {
                self.at(now + TRANSIT, Event::Question { from: to, to: from });
            }
        }
    }

    fn question(&mut self, from: usize, to: usize) {
        let bytes = self.pages * PAGE_RECORDS * RECORD_BYTES;
        match self.nodes[to].following.handle_request(self.now, bytes) {
            Reply::Record => {
                let time = |link: f64| Duration::from_secs_f64(bytes as f64 / link);
                let sender = &mut self.nodes[to];
                sender.sends_until = sender.sends_until.max(self.now) + time(sender.link);
                let sent_at = sender.sends_until;
                let receiver = &mut self.nodes[from];
                receiver.receives_until =
                    sent_at.max(receiver.receives_until.max(self.now) + time(receiver.link));
                let there_at = receiver.receives_until;
                self.at(there_at, Event::Record { to: from });
            }
            Reply::Deferred => self.after(TRANSIT, Event::PutOff { to: from }),
        }
    }

    fn readers(&self) -> usize {
        self.nodes.iter().filter(|node| node.pages == self.pages).count()
    }

    /// Returns the longest time of a node from its start.
    fn slowest(&self, at: impl Fn(&Node) -> Option<Duration>) -> Option<Duration> {
        let times = self.nodes.iter().map(|node| Some(at(node)?.saturating_sub(node.started_at)));
        times.collect::<Option<Vec<_>>>()?.into_iter().max()
    }
}

/// Ten upstreams for each node: a node serves with the first page within a second of its start, the store is asked for no more
/// than it gives, and all nodes know all upstreams within the users' time for a recovery.
#[test]
fn all_nodes_serve_within_a_second_and_the_store_refuses_nothing() {
    for seed in 1..=3 {
        for nodes in [1_000, 2_000] {
            let mut fleet = Fleet::start(seed, nodes, nodes * 10, true);
            fleet.run(Duration::from_secs(18));
            let first = fleet.slowest(|node| node.first_page_at).expect("all have a first page");
            assert!(first <= Duration::from_secs(1), "{nodes} nodes, seed {seed}: {first:?}");
            let known = fleet.slowest(|node| node.knows_at);
            assert!(known.is_some(), "{nodes} nodes, seed {seed}: not all know all");
            println!(
                "{nodes} nodes, seed {seed}: first page {first:?}, all known {known:?}, {} calls, {} refused, {} readers",
                fleet.calls,
                fleet.refused,
                fleet.readers()
            );
            assert_eq!(fleet.refused, 0, "{nodes} nodes, seed {seed}: the store refuses nothing");
        }
    }
}

#[test]
fn a_node_that_hears_nobody_reads_on() {
    let link = SMALL_BYTES_PER_S;
    for draw in [0.0, 0.5, 1.0] {
        let starting = Bootstrap::new(Duration::ZERO, link, draw);
        assert!(starting.should_read_on(Duration::from_secs(6), None), "{draw}");
        // One that hears of a peer waits for that; a peer that doesn't pass it on is not waited for longer.
        let heard_at = Some(Duration::from_millis(5_500));
        assert!(!starting.should_read_on(Duration::from_secs(6), heard_at));
        assert!(starting.should_read_on(Duration::from_millis(7_500), heard_at));
        // Nor is one that puts it off again and again.
        let now = Duration::from_secs(10);
        assert!(starting.should_read_on(now, Some(now)));
    }
    let large = Bootstrap::new(Duration::ZERO, LARGE_BYTES_PER_S, 1.0);
    assert!(large.should_read_on(Duration::from_millis(1_100), None), "it can serve many others");
}

fn page(keys: &[&str], end: u64, era: u64) -> Page {
    let record = |key: &&str| KeyedRecord { key: (*key).into(), value: None, offset: 0 };
    let records = keys.iter().map(record).collect();
    Page { records, era, end, took: Duration::from_millis(3), unreadable: 0 }
}

#[test]
fn a_page_that_fails_is_read_again_and_those_before_are_kept() {
    let mut reading = FullRead::default();
    assert!(!reading.has_started() && reading.page_token().is_none());
    let next = |key: &str| Some(Arc::from(key));
    let first = NewestPage { page: page(&["a", "b"], 7, 0), next: next("b") };
    assert_eq!(reading.add_page(first).unwrap(), None);
    // A failure changes nothing: the page after "b" is asked for once more.
    assert_eq!((reading.page_token(), reading.pages().unwrap().records.len()), (Some("b"), 2));
    let last = NewestPage { page: page(&["c"], 9, 0), next: None };
    let whole = reading.add_page(last).unwrap().expect("it was the last");
    assert_eq!((whole.records.len(), whole.end_position()), (3, Position::new(0, 7)));
    assert_eq!(whole.took, Duration::from_millis(6));
    // Between two pages the store came back from a copy: what was read says nothing of it.
    let first = NewestPage { page: page(&["a", "b"], 7, 0), next: next("b") };
    reading.add_page(first).unwrap();
    let other = NewestPage { page: page(&["c"], 5, 1), next: None };
    assert!(matches!(reading.add_page(other), Err(StoreError::Expired)));
    assert!(!reading.has_started() && reading.page_token().is_none());
}

//! Hundreds of nodes that keep each other in view through delegates, under virtual time. Nothing but [`Role`] and
//! [`Members`] decides; heartbeats take time on the way, and some of them long.

use {
    fernring_gateway::{
        delegates::{DELEGATES_PER_DOMAIN, MESH_MAX, HeartbeatRate, DelegateRole},
        members::{HEARTBEAT_INTERVAL, Member, Members, ReaderRole, SILENCE_MAX},
    },
    rand::{RngExt, SeedableRng, rngs::StdRng, seq::IteratorRandom},
    std::{
        cmp::Reverse,
        collections::{BTreeSet, BinaryHeap, HashMap},
        net::SocketAddr,
        ops::Range,
        time::Duration,
    },
};

const DOMAINS: [&str; 5] = ["a", "b", "c", "d", "e"];
/// Nodes with a large link in each domain.
const LARGE: usize = 3;
const TRANSIT: Range<Duration> = Duration::from_millis(1)..Duration::from_millis(8);
/// One frame in so many is sent again by TCP.
const RESENT_ONE_IN: u32 = 40;
const RESENT_AFTER: Duration = Duration::from_millis(220);
const SERVICES: [&str; 4] = ["s1", "s2", "s3", "s4"];
const SECOND: Duration = Duration::from_secs(1);

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Round { node: usize },
    Heartbeat { from: usize, to: usize, frame: Box<Frame> },
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Frame {
    is_delegate: bool,
    link_mbps: u32,
    nodes: usize,
    interval: Duration,
    named: Vec<usize>,
    /// Whether it tells a word that the sender knows.
    tells: bool,
}

struct Node {
    me: Member,
    role: DelegateRole,
    members: Members,
    rounds: u64,
    before: Duration,
    is_up: bool,
    frozen_until: Duration,
    /// Live peers that it has taken for lost.
    wrongly_lost: usize,
    frames: usize,
    /// Whether it knows a word that heartbeats tell.
    knows: bool,
}

struct Fleet {
    now: Duration,
    nodes: Vec<Node>,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    number: u64,
    random: StdRng,
    /// When the last frame of each link is there.
    links: HashMap<(usize, usize), Duration>,
    /// A domain that hears only itself.
    cut: Option<&'static str>,
}

fn address(node: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (node / 250) as u8, (node % 250) as u8], 7_000))
}

fn number(address: SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else { panic!("all are IPv4") };
    let [.., high, low] = address.ip().octets();
    usize::from(high) * 250 + usize::from(low)
}

fn domain(node: usize) -> &'static str {
    DOMAINS[node % DOMAINS.len()]
}

impl Fleet {
    /// Starts all nodes within 0.3 s; each knows three seeds and who started before it.
    fn start(seed: u64, count: usize) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let mut events = BinaryHeap::new();
        let nodes = (0..count).map(|node| {
            let at = random.random_range(Duration::ZERO..Duration::from_millis(300));
            events.push(Reverse((at, node as u64, Event::Round { node })));
            let link_mbps = if node < LARGE * DOMAINS.len() { 200 } else { 20 };
            let mut members = Members::default();
            let seeds = [0, 1, 2].into_iter().filter(|seed| *seed != node);
            members.suggest(Duration::ZERO, seeds.map(address));
            members.suggest(Duration::ZERO, (0..node).map(address));
            Node {
                me: Member { link_mbps, ..Member::new(address(node), domain(node).into()) },
                role: DelegateRole::new(random.random()),
                members,
                rounds: 0,
                before: Duration::ZERO,
                is_up: true,
                frozen_until: Duration::ZERO,
                wrongly_lost: 0,
                frames: 0,
                knows: false,
            }
        });
        let nodes = nodes.collect();
        Self {
            now: Duration::ZERO,
            nodes,
            events,
            number: 1 << 32,
            random,
            links: HashMap::new(),
            cut: None,
        }
    }

    fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.events.peek().is_some_and(|Reverse((at, ..))| *at <= end) {
            let Some(Reverse((at, _, event))) = self.events.pop() else {
                break;
            };
            self.now = at;
            match event {
                Event::Round { node } => self.round(node),
                Event::Heartbeat { from, to, frame } => self.heard(from, to, &frame),
            }
        }
        self.now = end;
    }

    fn after(&mut self, pause: Duration, event: Event) {
        self.number += 1;
        self.events.push(Reverse((self.now + pause, self.number, event)));
    }

    fn round(&mut self, node: usize) {
        let now = self.now;
        if !self.nodes[node].is_up {
            return;
        }
        if now < self.nodes[node].frozen_until {
            let rest = self.nodes[node].frozen_until - now;
            return self.after(rest, Event::Round { node });
        }
        let before = self.nodes[node].before;
        let lost = self.nodes[node].members.expire(before, now);
        let is_there = |other: &usize| self.nodes[*other].is_up && self.reaches(*other, node);
        let wrongly = lost.into_iter().map(|silent| number(silent.address)).filter(is_there);
        let wrongly = wrongly.filter(|other| self.nodes[*other].frozen_until + SECOND < now);
        let wrongly = wrongly.count();
        let this = &mut self.nodes[node];
        this.wrongly_lost += wrongly;
        (this.before, this.rounds) = (now, this.rounds + 1);
        let has_changed = this.role.update(now, &this.me, &this.members);
        this.me.is_delegate = this.role.is_delegate();
        this.me.known_nodes = this.members.reachable_node_count(now);
        if !this.me.is_delegate {
            this.members.drop_followers(now);
        }
        let audience = match has_changed && !this.me.is_delegate {
            true => this.members.contacts().into_iter().map(|peer| (peer, HeartbeatRate::Slow)).collect(),
            false => this.role.heartbeat_targets(now, &this.me, &this.members, this.rounds),
        };
        for (peer, pace) in audience {
            self.send(node, number(peer), pace);
        }
        self.after(HEARTBEAT_INTERVAL, Event::Round { node });
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let is_cut = |node| self.cut == Some(domain(node));
        is_cut(from) == is_cut(to)
    }

    fn send(&mut self, from: usize, to: usize, pace: HeartbeatRate) {
        let (now, count) = (self.now, self.nodes.len());
        self.nodes[from].frames += 1;
        if to >= count || !self.reaches(from, to) {
            return;
        }
        let sender = &self.nodes[from];
        let named = sender.members.live(now).map(|member| number(member.address));
        let frame = Frame {
            is_delegate: sender.me.is_delegate,
            link_mbps: sender.me.link_mbps,
            nodes: sender.me.known_nodes,
            interval: pace.interval(),
            named: named.sample(&mut self.random, 4),
            tells: sender.knows,
        };
        let mut transit = self.random.random_range(TRANSIT);
        if self.random.random_ratio(1, RESENT_ONE_IN) {
            transit += RESENT_AFTER;
        }
        // TCP keeps the order of a link.
        let there_at = self.links.entry((from, to)).or_default();
        *there_at = (*there_at).max(self.now + transit);
        let pause = *there_at - self.now;
        self.after(pause, Event::Heartbeat { from, to, frame: Box::new(frame) });
    }

    fn heard(&mut self, from: usize, to: usize, frame: &Frame) {
        let now = self.now;
        if !self.nodes[to].is_up || !self.reaches(from, to) {
            return;
        }
        if now < self.nodes[to].frozen_until {
            let rest = self.nodes[to].frozen_until - now;
            let frame = Box::new(frame.clone());
            return self.after(rest, Event::Heartbeat { from, to, frame });
        }
        let hearer = &mut self.nodes[to];
        let member = Member {
            is_delegate: frame.is_delegate,
            link_mbps: frame.link_mbps,
            known_nodes: frame.nodes,
            interval: frame.interval,
            ..Member::new(address(from), domain(from).into())
        };
        let is_new = hearer.members.record_heartbeat(now, member);
        hearer.knows |= frame.tells;
        let others = frame.named.iter().filter(|other| **other != to);
        hearer.members.suggest(now, others.map(|other| address(*other)));
        if !is_new {
            return;
        }
        if let Some(pace) = hearer.role.reply_rate(&hearer.me, frame.is_delegate, domain(from)) {
            self.send(to, from, pace);
        }
    }

    fn up(&self) -> impl Iterator<Item = &Node> {
        self.nodes.iter().filter(|node| node.is_up && node.frozen_until <= self.now)
    }

    fn delegates(&self, of: &str) -> BTreeSet<usize> {
        let theirs = self.up().filter(|node| node.me.is_delegate && *node.me.failure_domain == *of);
        theirs.map(|node| number(node.me.address)).collect()
    }

    /// The owners that some nodes name for a service.
    fn owners<'a>(&self, nodes: impl Iterator<Item = &'a Node>, service: &str) -> BTreeSet<usize> {
        nodes.map(|node| number(node.members.owner(self.now, &node.me, service))).collect()
    }

    fn settled(seed: u64, count: usize) -> Self {
        let mut fleet = Self::start(seed, count);
        fleet.run_for(SECOND * 5);
        fleet
    }

    /// Runs on until all nodes that are up name one owner of each service that is up; returns how long that took.
    fn until_agreed(&mut self) -> Duration {
        let start = self.now;
        let agreed = |fleet: &Self| {
            SERVICES.iter().all(|service| {
                let owners = fleet.owners(fleet.up(), service);
                owners.len() == 1 && owners.iter().all(|owner| fleet.nodes[*owner].is_up)
            })
        };
        while !agreed(self) {
            assert!(self.now < start + SECOND * 20, "nodes agree at last");
            self.run_for(Duration::from_millis(50));
        }
        self.now - start
    }
}

#[test]
fn among_few_nodes_all_are_delegates() {
    let fleet = Fleet::settled(1, 40);
    assert!(fleet.nodes.iter().all(|node| node.me.is_delegate && node.role.is_mesh()));
    assert!(fleet.nodes.iter().all(|node| node.members.reachable_node_count(fleet.now) == 40));
}

#[test]
fn hundreds_that_start_at_once_agree_on_few_delegates_with_large_links() {
    for (seed, count) in [(1, 300), (2, 500)] {
        let mut fleet = Fleet::settled(seed, count);
        for domain in DOMAINS {
            let delegates = fleet.delegates(domain);
            assert_eq!(delegates.len(), DELEGATES_PER_DOMAIN, "{domain} of {count}");
            assert!(delegates.iter().all(|node| fleet.nodes[*node].me.link_mbps == 200));
        }
        assert!(fleet.nodes.iter().all(|node| node.members.node_count(fleet.now) == count));
        assert!(fleet.until_agreed().is_zero());
        let first = fleet.nodes.iter().map(|node| node.members.reader_role(fleet.now, &node.me));
        assert_eq!(first.filter(|part| *part == ReaderRole::Primary).count(), 1);
    }
}

/// What heartbeats cost: in a mesh 300 nodes sent 1,495 frames a second each, and each further node one in
/// [`HEARTBEAT_INTERVAL`] more.
#[test]
fn a_node_that_is_no_delegate_sends_as_much_however_many_there_are() {
    for (seed, count) in [(3, 300), (4, 500)] {
        let mut fleet = Fleet::settled(seed, count);
        fleet.nodes.iter_mut().for_each(|node| node.frames = 0);
        fleet.run_for(SECOND * 4);
        let per_s = |node: &Node| node.frames as f64 / 4.0;
        let followers = fleet.nodes.iter().filter(|node| !node.me.is_delegate);
        let most = followers.map(per_s).fold(0.0, f64::max);
        assert!(most <= 30.0, "{most} frames a second of {count}");
        let all = fleet.nodes.iter().map(per_s).sum::<f64>() / count as f64;
        assert!(all <= 15.0 * 5.0 + 30.0, "{all} frames a second on average of {count}");
    }
}

#[test]
fn a_lost_owner_is_replaced_at_all_nodes_within_a_second() {
    for seed in 0..4 {
        let mut fleet = Fleet::settled(10 + seed, 300);
        for service in SERVICES {
            let owner = *fleet.owners(fleet.up(), service).first().unwrap();
            fleet.nodes[owner].is_up = false;
            fleet.run_for(SILENCE_MAX + RESENT_AFTER + TRANSIT.end);
            let named = fleet.owners(fleet.up(), service);
            assert!(!named.contains(&owner), "{service}: somebody still asks the lost one");
            // Whoever stands in for it may own something from then on.
            let took = fleet.until_agreed();
            assert!(took <= SECOND, "{took:?} for {service}");
        }
    }
}

#[test]
fn a_domain_that_loses_all_its_delegates_has_others_soon() {
    for seed in 0..4 {
        let mut fleet = Fleet::settled(20 + seed, 300);
        for node in fleet.delegates("b") {
            fleet.nodes[node].is_up = false;
        }
        fleet.run_for(SILENCE_MAX + SECOND);
        let delegates = fleet.delegates("b");
        assert!(!delegates.is_empty());
        assert!(fleet.up().all(|node| !node.members.is_domain_unreachable(fleet.now, "b")));
        fleet.run_for(SECOND * 3);
        assert_eq!(fleet.delegates("b").len(), DELEGATES_PER_DOMAIN);
        assert!(fleet.until_agreed().is_zero());
    }
}

#[test]
fn the_loss_of_more_than_half_of_all_nodes_at_once_is_overcome() {
    for seed in 0..4 {
        let mut fleet = Fleet::settled(30 + seed, 300);
        for node in 0..300 {
            if fleet.random.random_ratio(55, 100) {
                fleet.nodes[node].is_up = false;
            }
        }
        let took = fleet.until_agreed();
        assert!(took <= SECOND * 3, "{took:?}");
        fleet.run_for(SECOND * 6);
        let there = fleet.up().count();
        let seen: BTreeSet<_> = fleet.up().map(|node| node.members.node_count(fleet.now)).collect();
        assert_eq!(seen, BTreeSet::from([there]));
    }
}

#[test]
fn a_domain_that_is_cut_off_goes_on_alone_and_finds_the_others_again() {
    let mut fleet = Fleet::settled(40, 300);
    fleet.cut = Some("c");
    fleet.run_for(SILENCE_MAX + HEARTBEAT_INTERVAL * 2);
    let (inside, outside): (Vec<_>, Vec<_>) =
        fleet.up().partition(|node| *node.me.failure_domain == *"c");
    assert!(outside.iter().all(|node| node.members.is_domain_unreachable(fleet.now, "c")));
    for service in SERVICES {
        let owners = fleet.owners(inside.iter().copied(), service);
        assert!(owners.len() == 1 && owners.iter().all(|owner| domain(*owner) == "c"));
        let owners = fleet.owners(outside.iter().copied(), service);
        assert!(owners.len() == 1 && owners.iter().all(|owner| domain(*owner) != "c"));
    }
    fleet.run_for(SECOND * 6);
    fleet.cut = None;
    let took = fleet.until_agreed();
    assert!(took <= SECOND * 2, "{took:?}");
    assert!(fleet.up().all(|node| !node.members.is_domain_unreachable(fleet.now, "c")));
}

#[test]
fn a_frozen_node_is_the_only_one_that_is_taken_for_lost() {
    let mut fleet = Fleet::settled(50, 300);
    let owner = *fleet.owners(fleet.up(), "s1").first().unwrap();
    let follower = (15..300).find(|node| !fleet.nodes[*node].me.is_delegate).unwrap();
    fleet.nodes.iter_mut().for_each(|node| node.wrongly_lost = 0);
    for node in [owner, follower] {
        fleet.nodes[node].frozen_until = fleet.now + SECOND * 3;
    }
    fleet.run_for(SECOND);
    assert!(fleet.until_agreed() <= SECOND, "the others have an owner meanwhile");
    fleet.run_for(SECOND * 4);
    assert!(fleet.until_agreed().is_zero());
    let wrongly =
        |node: &Node| number(node.me.address) != owner && number(node.me.address) != follower;
    let others = fleet.nodes.iter().filter(|node| wrongly(node));
    assert_eq!(others.map(|node| node.wrongly_lost).sum::<usize>(), 0);
}

#[test]
fn a_node_that_joins_many_is_followed_and_follows_the_delegates() {
    let mut fleet = Fleet::settled(60, 300);
    assert!(fleet.nodes.len() > MESH_MAX);
    let node = 299;
    let me = fleet.nodes[node].me.clone();
    fleet.nodes[node].members = Members::default();
    fleet.nodes[node].members.suggest(fleet.now, (0..299).map(address));
    fleet.nodes[node].role = DelegateRole::new(0.5);
    fleet.nodes[node].me = Member { is_delegate: true, ..me };
    fleet.run_for(SECOND * 2);
    assert!(!fleet.nodes[node].me.is_delegate && !fleet.nodes[node].role.is_mesh());
    assert!(fleet.until_agreed().is_zero());
}

impl Fleet {
    /// Tells news from a node to all its live peers, and on from whoever has dependents; returns who has it, and the
    /// most messages that one node sent.
    fn spread(&self, from: usize) -> (BTreeSet<usize>, usize) {
        let now = self.now;
        let first = self.nodes[from].members.live(now).map(|peer| number(peer.address));
        let heard: BTreeSet<_> = first.filter(|to| self.reaches(from, *to)).collect();
        let mut sent_most = heard.len();
        let mut reached = heard.clone();
        reached.insert(from);
        for hearer in heard.iter().filter(|hearer| self.nodes[**hearer].is_up) {
            let node = &self.nodes[*hearer];
            let on = node.role.followers(now, &node.me, &node.members);
            sent_most = sent_most.max(on.len());
            reached.extend(on.into_iter().map(number).filter(|to| self.reaches(*hearer, *to)));
        }
        (reached, sent_most)
    }
}

/// What a node has seen of a request that ends upstreams has to be everywhere well before its next repeats: two hops, whichever
/// node tells it, and also right after more than half of all nodes are gone.
#[test]
fn news_of_any_node_are_everywhere_in_two_hops() {
    for (seed, count) in [(21, 30), (22, 300), (23, 500)] {
        let mut fleet = Fleet::settled(seed, count);
        for from in 0..count {
            let (reached, sent_most) = fleet.spread(from);
            assert_eq!(reached.len(), count, "of {count}, from {from}");
            assert!(sent_most < count, "one message for each node at most");
        }
        for node in (0..count).filter(|node| node % 9 < 5) {
            fleet.nodes[node].is_up = false;
        }
        fleet.until_agreed();
        fleet.run_for(SECOND * 3);
        let up: BTreeSet<_> = fleet.up().map(|node| number(node.me.address)).collect();
        for from in &up {
            let (reached, _) = fleet.spread(*from);
            assert!(up.is_subset(&reached), "of {count}, from {from}, after the loss");
        }
    }
}

/// What an upstream says of how much it takes rides on heartbeats. All nodes have to know it well before the three seconds from
/// which on it binds, whichever node has heard it first, and also right after more than half of all nodes are gone.
#[test]
fn a_word_in_heartbeats_is_everywhere_within_a_second_and_a_half() {
    let bound = Duration::from_millis(1_500);
    for (seed, count) in [(31, 9), (32, 89), (33, 300)] {
        let mut fleet = Fleet::settled(seed, count);
        let mut longest = Duration::ZERO;
        for (turn, from) in [count - 1, count / 2, 0].into_iter().enumerate() {
            if turn == 2 {
                (0..count)
                    .filter(|node| node % 9 < 5)
                    .for_each(|node| fleet.nodes[node].is_up = false);
                fleet.until_agreed();
                fleet.run_for(SECOND * 3);
            }
            let from = (from..count).find(|node| fleet.nodes[*node].is_up).unwrap();
            fleet.nodes.iter_mut().for_each(|node| node.knows = false);
            // What is still on the way is of the turn before.
            fleet.events.retain(|Reverse((.., event))| !matches!(event, Event::Heartbeat { frame, .. } if frame.tells));
            fleet.nodes[from].knows = true;
            let start = fleet.now;
            while !fleet.up().all(|node| node.knows) {
                fleet.run_for(Duration::from_millis(50));
                assert!(fleet.now <= start + bound, "{count} nodes, from {from}");
            }
            longest = longest.max(fleet.now - start);
        }
        println!("{count} nodes: {longest:?}");
    }
}

//! Simulates fleets of hundreds of nodes in virtual time. All decisions are made by
//! [`DelegateRole`] and [`Members`]; heartbeats have a transit time, and some of them a long one.

use {
    fernring_gateway::{
        delegates::{DELEGATES_PER_DOMAIN, DelegateRole, HeartbeatRate, MESH_MAX},
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
/// Nodes with a large network link in each domain.
const LARGE_LINKS_PER_DOMAIN: usize = 3;
const TRANSIT_TIME: Range<Duration> = Duration::from_millis(1)..Duration::from_millis(8);
/// One frame in this many is retransmitted by TCP.
const RETRANSMIT_ONE_IN: u32 = 40;
const RETRANSMIT_DELAY: Duration = Duration::from_millis(220);
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
    peers: Vec<usize>,
    /// Whether the frame carries the report that the sender has.
    carries_report: bool,
}

struct Node {
    me: Member,
    role: DelegateRole,
    members: Members,
    rounds: u64,
    previous_round_at: Duration,
    is_running: bool,
    paused_until: Duration,
    /// Live peers that the node took for lost.
    false_losses: usize,
    frames: usize,
    /// Whether the node has the report that heartbeats carry.
    has_report: bool,
}

struct Fleet {
    now: Duration,
    nodes: Vec<Node>,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    event_sequence: u64,
    random: StdRng,
    /// Arrival time of the last frame on each link.
    last_arrivals: HashMap<(usize, usize), Duration>,
    /// A domain whose nodes receive only each other's heartbeats.
    partitioned_domain: Option<&'static str>,
}

fn address(node: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (node / 250) as u8, (node % 250) as u8], 7_000))
}

fn node_index(address: SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else { panic!("all addresses are IPv4") };
    let [.., high, low] = address.ip().octets();
    usize::from(high) * 250 + usize::from(low)
}

fn domain(node: usize) -> &'static str {
    DOMAINS[node % DOMAINS.len()]
}

impl Fleet {
    /// Starts all nodes within 0.3 s. Each knows three seeds and the nodes that started before it.
    fn start(seed: u64, count: usize) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let mut events = BinaryHeap::new();
        let nodes = (0..count).map(|node| {
            let at = random.random_range(Duration::ZERO..Duration::from_millis(300));
            events.push(Reverse((at, node as u64, Event::Round { node })));
            let link_mbps = if node < LARGE_LINKS_PER_DOMAIN * DOMAINS.len() { 200 } else { 20 };
            let mut members = Members::default();
            let seeds = [0, 1, 2].into_iter().filter(|seed| *seed != node);
            members.suggest(Duration::ZERO, seeds.map(address));
            members.suggest(Duration::ZERO, (0..node).map(address));
            Node {
                me: Member { link_mbps, ..Member::new(address(node), domain(node).into()) },
                role: DelegateRole::new(random.random()),
                members,
                rounds: 0,
                previous_round_at: Duration::ZERO,
                is_running: true,
                paused_until: Duration::ZERO,
                false_losses: 0,
                frames: 0,
                has_report: false,
            }
        });
        let nodes = nodes.collect();
        Self {
            now: Duration::ZERO,
            nodes,
            events,
            event_sequence: 1 << 32,
            random,
            last_arrivals: HashMap::new(),
            partitioned_domain: None,
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
                Event::Heartbeat { from, to, frame } => self.receive(from, to, &frame),
            }
        }
        self.now = end;
    }

    fn schedule(&mut self, pause: Duration, event: Event) {
        self.event_sequence += 1;
        self.events.push(Reverse((self.now + pause, self.event_sequence, event)));
    }

    fn round(&mut self, node: usize) {
        let now = self.now;
        if !self.nodes[node].is_running {
            return;
        }
        if now < self.nodes[node].paused_until {
            let rest = self.nodes[node].paused_until - now;
            return self.schedule(rest, Event::Round { node });
        }
        let previous_round_at = self.nodes[node].previous_round_at;
        let lost = self.nodes[node].members.expire(previous_round_at, now);
        let is_false_loss =
            |other: &usize| self.nodes[*other].is_running && self.can_reach(*other, node);
        let false_losses =
            lost.into_iter().map(|silent| node_index(silent.address)).filter(is_false_loss);
        let false_losses =
            false_losses.filter(|other| self.nodes[*other].paused_until + SECOND < now);
        let false_losses = false_losses.count();
        let node_state = &mut self.nodes[node];
        node_state.false_losses += false_losses;
        (node_state.previous_round_at, node_state.rounds) = (now, node_state.rounds + 1);
        let role_changed = node_state.role.update(now, &node_state.me, &node_state.members);
        node_state.me.is_delegate = node_state.role.is_delegate();
        node_state.me.known_nodes = node_state.members.reachable_node_count(now);
        if !node_state.me.is_delegate {
            node_state.members.drop_followers(now);
        }
        let targets = match role_changed && !node_state.me.is_delegate {
            true => node_state
                .members
                .contacts()
                .into_iter()
                .map(|peer| (peer, HeartbeatRate::Slow))
                .collect(),
            false => node_state.role.heartbeat_targets(
                now,
                &node_state.me,
                &node_state.members,
                node_state.rounds,
            ),
        };
        for (peer, rate) in targets {
            self.send(node, node_index(peer), rate);
        }
        self.schedule(HEARTBEAT_INTERVAL, Event::Round { node });
    }

    fn can_reach(&self, from: usize, to: usize) -> bool {
        let is_partitioned = |node| self.partitioned_domain == Some(domain(node));
        is_partitioned(from) == is_partitioned(to)
    }

    fn send(&mut self, from: usize, to: usize, rate: HeartbeatRate) {
        let (now, count) = (self.now, self.nodes.len());
        self.nodes[from].frames += 1;
        if to >= count || !self.can_reach(from, to) {
            return;
        }
        let sender = &self.nodes[from];
        let peers = sender.members.live(now).map(|member| node_index(member.address));
        let frame = Frame {
            is_delegate: sender.me.is_delegate,
            link_mbps: sender.me.link_mbps,
            nodes: sender.me.known_nodes,
            interval: rate.interval(),
            peers: peers.sample(&mut self.random, 4),
            carries_report: sender.has_report,
        };
        let mut transit = self.random.random_range(TRANSIT_TIME);
        if self.random.random_ratio(1, RETRANSMIT_ONE_IN) {
            transit += RETRANSMIT_DELAY;
        }
        // TCP keeps the frames of a link in order.
        let arrives_at = self.last_arrivals.entry((from, to)).or_default();
        *arrives_at = (*arrives_at).max(self.now + transit);
        let pause = *arrives_at - self.now;
        self.schedule(pause, Event::Heartbeat { from, to, frame: Box::new(frame) });
    }

    fn receive(&mut self, from: usize, to: usize, frame: &Frame) {
        let now = self.now;
        if !self.nodes[to].is_running || !self.can_reach(from, to) {
            return;
        }
        if now < self.nodes[to].paused_until {
            let rest = self.nodes[to].paused_until - now;
            let frame = Box::new(frame.clone());
            return self.schedule(rest, Event::Heartbeat { from, to, frame });
        }
        let receiver = &mut self.nodes[to];
        let member = Member {
            is_delegate: frame.is_delegate,
            link_mbps: frame.link_mbps,
            known_nodes: frame.nodes,
            interval: frame.interval,
            ..Member::new(address(from), domain(from).into())
        };
        let has_joined = receiver.members.record_heartbeat(now, member);
        receiver.has_report |= frame.carries_report;
        let others = frame.peers.iter().filter(|other| **other != to);
        receiver.members.suggest(now, others.map(|other| address(*other)));
        if !has_joined {
            return;
        }
        if let Some(rate) = receiver.role.reply_rate(&receiver.me, frame.is_delegate, domain(from))
        {
            self.send(to, from, rate);
        }
    }

    fn running(&self) -> impl Iterator<Item = &Node> {
        self.nodes.iter().filter(|node| node.is_running && node.paused_until <= self.now)
    }

    fn delegates(&self, of: &str) -> BTreeSet<usize> {
        let domain_delegates =
            self.running().filter(|node| node.me.is_delegate && *node.me.failure_domain == *of);
        domain_delegates.map(|node| node_index(node.me.address)).collect()
    }

    /// The owners that some nodes choose for a service.
    fn owners<'a>(&self, nodes: impl Iterator<Item = &'a Node>, service: &str) -> BTreeSet<usize> {
        nodes.map(|node| node_index(node.members.owner(self.now, &node.me, service))).collect()
    }

    fn start_settled(seed: u64, count: usize) -> Self {
        let mut fleet = Self::start(seed, count);
        fleet.run_for(SECOND * 5);
        fleet
    }

    /// Runs until all running nodes choose the same running owner for each service. Returns how
    /// long that took.
    fn run_until_agreed(&mut self) -> Duration {
        let start = self.now;
        let agreed = |fleet: &Self| {
            SERVICES.iter().all(|service| {
                let owners = fleet.owners(fleet.running(), service);
                owners.len() == 1 && owners.iter().all(|owner| fleet.nodes[*owner].is_running)
            })
        };
        while !agreed(self) {
            assert!(self.now < start + SECOND * 20, "nodes agree on owners within 20 s");
            self.run_for(Duration::from_millis(50));
        }
        self.now - start
    }
}

#[test]
fn small_fleet_has_only_delegates() {
    let fleet = Fleet::start_settled(1, 40);
    assert!(fleet.nodes.iter().all(|node| node.me.is_delegate && node.role.is_mesh()));
    assert!(fleet.nodes.iter().all(|node| node.members.reachable_node_count(fleet.now) == 40));
}

#[test]
fn simultaneous_start_elects_large_link_delegates() {
    for (seed, count) in [(1, 300), (2, 500)] {
        let mut fleet = Fleet::start_settled(seed, count);
        for domain in DOMAINS {
            let delegates = fleet.delegates(domain);
            assert_eq!(delegates.len(), DELEGATES_PER_DOMAIN, "{domain}, {count} nodes");
            assert!(delegates.iter().all(|node| fleet.nodes[*node].me.link_mbps == 200));
        }
        assert!(fleet.nodes.iter().all(|node| node.members.node_count(fleet.now) == count));
        assert!(fleet.run_until_agreed().is_zero());
        let reader_roles =
            fleet.nodes.iter().map(|node| node.members.reader_role(fleet.now, &node.me));
        assert_eq!(reader_roles.filter(|role| *role == ReaderRole::Primary).count(), 1);
    }
}

/// Guards the cost of heartbeats: in a mesh 300 nodes sent 1,495 frames a second each, and with
/// each further node one more per [`HEARTBEAT_INTERVAL`].
#[test]
fn follower_frame_rate_is_independent_of_fleet_size() {
    for (seed, count) in [(3, 300), (4, 500)] {
        let mut fleet = Fleet::start_settled(seed, count);
        fleet.nodes.iter_mut().for_each(|node| node.frames = 0);
        fleet.run_for(SECOND * 4);
        let per_s = |node: &Node| node.frames as f64 / 4.0;
        let followers = fleet.nodes.iter().filter(|node| !node.me.is_delegate);
        let most = followers.map(per_s).fold(0.0, f64::max);
        assert!(most <= 30.0, "{most} frames per second with {count} nodes");
        let all = fleet.nodes.iter().map(per_s).sum::<f64>() / count as f64;
        assert!(all <= 15.0 * 5.0 + 30.0, "{all} frames per second on average with {count} nodes");
    }
}

#[test]
fn lost_owner_is_replaced_within_a_second() {
    for seed in 0..4 {
        let mut fleet = Fleet::start_settled(10 + seed, 300);
        for service in SERVICES {
            let owner = *fleet.owners(fleet.running(), service).first().unwrap();
            fleet.nodes[owner].is_running = false;
            fleet.run_for(SILENCE_MAX + RETRANSMIT_DELAY + TRANSIT_TIME.end);
            let owners = fleet.owners(fleet.running(), service);
            assert!(!owners.contains(&owner), "{service}: a node still names the lost owner");
            // The delegate elected in its place may own services from then on.
            let elapsed = fleet.run_until_agreed();
            assert!(elapsed <= SECOND, "{elapsed:?} for {service}");
        }
    }
}

#[test]
fn domain_that_lost_all_delegates_elects_new_ones() {
    for seed in 0..4 {
        let mut fleet = Fleet::start_settled(20 + seed, 300);
        for node in fleet.delegates("b") {
            fleet.nodes[node].is_running = false;
        }
        fleet.run_for(SILENCE_MAX + SECOND);
        let delegates = fleet.delegates("b");
        assert!(!delegates.is_empty());
        assert!(fleet.running().all(|node| !node.members.is_domain_unreachable(fleet.now, "b")));
        fleet.run_for(SECOND * 3);
        assert_eq!(fleet.delegates("b").len(), DELEGATES_PER_DOMAIN);
        assert!(fleet.run_until_agreed().is_zero());
    }
}

/// Guards against delegates with small links while larger ones are there. A domain of 174 nodes, ten of
/// them with large links, took its delegates for lost; ten nodes with small links were the first to
/// take their place, and were taken for lost in turn.
#[test]
fn lost_delegates_are_replaced_by_nodes_with_large_links() {
    for seed in 0..4 {
        let mut fleet = Fleet::start(70 + seed, 300);
        for node in 0..LARGE_LINKS_PER_DOMAIN * DOMAINS.len() * 3 {
            fleet.nodes[node].me.link_mbps = 200;
        }
        fleet.run_for(SECOND * 5);
        for node in fleet.delegates("b") {
            fleet.nodes[node].is_running = false;
        }
        for _ in 0..60 {
            fleet.run_for(Duration::from_millis(50));
            let delegates = fleet.delegates("b");
            let has_small_link = |node: &&usize| fleet.nodes[**node].me.link_mbps < 200;
            assert_eq!(delegates.iter().filter(has_small_link).count(), 0, "seed {seed}");
        }
        assert_eq!(fleet.delegates("b").len(), DELEGATES_PER_DOMAIN);
    }
}

#[test]
fn fleet_recovers_from_loss_of_most_nodes() {
    for seed in 0..4 {
        let mut fleet = Fleet::start_settled(30 + seed, 300);
        for node in 0..300 {
            if fleet.random.random_ratio(55, 100) {
                fleet.nodes[node].is_running = false;
            }
        }
        let elapsed = fleet.run_until_agreed();
        assert!(elapsed <= SECOND * 3, "{elapsed:?}");
        fleet.run_for(SECOND * 6);
        let running_count = fleet.running().count();
        let node_counts: BTreeSet<_> =
            fleet.running().map(|node| node.members.node_count(fleet.now)).collect();
        assert_eq!(node_counts, BTreeSet::from([running_count]));
    }
}

#[test]
fn partitioned_domain_works_alone_and_rejoins() {
    let mut fleet = Fleet::start_settled(40, 300);
    fleet.partitioned_domain = Some("c");
    fleet.run_for(SILENCE_MAX + HEARTBEAT_INTERVAL * 2);
    let (inside, outside): (Vec<_>, Vec<_>) =
        fleet.running().partition(|node| *node.me.failure_domain == *"c");
    assert!(outside.iter().all(|node| node.members.is_domain_unreachable(fleet.now, "c")));
    for service in SERVICES {
        let owners = fleet.owners(inside.iter().copied(), service);
        assert!(owners.len() == 1 && owners.iter().all(|owner| domain(*owner) == "c"));
        let owners = fleet.owners(outside.iter().copied(), service);
        assert!(owners.len() == 1 && owners.iter().all(|owner| domain(*owner) != "c"));
    }
    fleet.run_for(SECOND * 6);
    fleet.partitioned_domain = None;
    let elapsed = fleet.run_until_agreed();
    assert!(elapsed <= SECOND * 2, "{elapsed:?}");
    assert!(fleet.running().all(|node| !node.members.is_domain_unreachable(fleet.now, "c")));
}

#[test]
fn paused_node_causes_no_other_losses() {
    let mut fleet = Fleet::start_settled(50, 300);
    let owner = *fleet.owners(fleet.running(), "s1").first().unwrap();
    let follower = (15..300).find(|node| !fleet.nodes[*node].me.is_delegate).unwrap();
    fleet.nodes.iter_mut().for_each(|node| node.false_losses = 0);
    for node in [owner, follower] {
        fleet.nodes[node].paused_until = fleet.now + SECOND * 3;
    }
    fleet.run_for(SECOND);
    assert!(
        fleet.run_until_agreed() <= SECOND,
        "the other nodes agree on an owner during the pause"
    );
    fleet.run_for(SECOND * 4);
    assert!(fleet.run_until_agreed().is_zero());
    let is_other_node = |node: &Node| {
        node_index(node.me.address) != owner && node_index(node.me.address) != follower
    };
    let others = fleet.nodes.iter().filter(|node| is_other_node(node));
    assert_eq!(others.map(|node| node.false_losses).sum::<usize>(), 0);
}

#[test]
fn node_joining_large_fleet_becomes_follower() {
    let mut fleet = Fleet::start_settled(60, 300);
    assert!(fleet.nodes.len() > MESH_MAX);
    let node = 299;
    let me = fleet.nodes[node].me.clone();
    fleet.nodes[node].members = Members::default();
    fleet.nodes[node].members.suggest(fleet.now, (0..299).map(address));
    fleet.nodes[node].role = DelegateRole::new(0.5);
    fleet.nodes[node].me = Member { is_delegate: true, ..me };
    fleet.run_for(SECOND * 2);
    assert!(!fleet.nodes[node].me.is_delegate && !fleet.nodes[node].role.is_mesh());
    assert!(fleet.run_until_agreed().is_zero());
}

impl Fleet {
    /// Sends a report from a node to all its live peers, and from these to their followers. Returns
    /// the nodes that have it, and the most messages that one node sent.
    fn forward_report(&self, from: usize) -> (BTreeSet<usize>, usize) {
        let now = self.now;
        let first = self.nodes[from].members.live(now).map(|peer| node_index(peer.address));
        let receivers: BTreeSet<_> = first.filter(|to| self.can_reach(from, *to)).collect();
        let mut most_sent = receivers.len();
        let mut reached = receivers.clone();
        reached.insert(from);
        for receiver in receivers.iter().filter(|receiver| self.nodes[**receiver].is_running) {
            let node = &self.nodes[*receiver];
            let followers = node.role.followers(now, &node.me, &node.members);
            most_sent = most_sent.max(followers.len());
            reached.extend(
                followers.into_iter().map(node_index).filter(|to| self.can_reach(*receiver, *to)),
            );
        }
        (reached, most_sent)
    }
}

/// A report of a request that crashes upstreams has to reach all nodes well before the request is
/// repeated: within two hops from any node, and also right after more than half of all nodes were
/// lost.
#[test]
fn reports_reach_all_nodes_in_two_hops() {
    for (seed, count) in [(21, 30), (22, 300), (23, 500)] {
        let mut fleet = Fleet::start_settled(seed, count);
        for from in 0..count {
            let (reached, most_sent) = fleet.forward_report(from);
            assert_eq!(reached.len(), count, "{count} nodes, from {from}");
            assert!(most_sent < count, "each node sends fewer messages than there are nodes");
        }
        for node in (0..count).filter(|node| node % 9 < 5) {
            fleet.nodes[node].is_running = false;
        }
        fleet.run_until_agreed();
        fleet.run_for(SECOND * 3);
        let running: BTreeSet<_> =
            fleet.running().map(|node| node_index(node.me.address)).collect();
        for from in &running {
            let (reached, _) = fleet.forward_report(*from);
            assert!(running.is_subset(&reached), "{count} nodes, from {from}, after the loss");
        }
    }
}

/// Limits that upstreams announce are carried by heartbeats. All nodes have to know a limit well
/// before the three seconds after which it is binding, regardless of the node that received it
/// first, and also right after more than half of all nodes were lost.
#[test]
fn heartbeat_reports_reach_all_nodes_within_1500_ms() {
    let bound = Duration::from_millis(1_500);
    for (seed, count) in [(31, 9), (32, 89), (33, 300)] {
        let mut fleet = Fleet::start_settled(seed, count);
        let mut longest = Duration::ZERO;
        for (round_index, from) in [count - 1, count / 2, 0].into_iter().enumerate() {
            if round_index == 2 {
                (0..count)
                    .filter(|node| node % 9 < 5)
                    .for_each(|node| fleet.nodes[node].is_running = false);
                fleet.run_until_agreed();
                fleet.run_for(SECOND * 3);
            }
            let from = (from..count).find(|node| fleet.nodes[*node].is_running).unwrap();
            fleet.nodes.iter_mut().for_each(|node| node.has_report = false);
            // Frames in transit still carry the report of the previous round.
            fleet.events.retain(|Reverse((.., event))| !matches!(event, Event::Heartbeat { frame, .. } if frame.carries_report));
            fleet.nodes[from].has_report = true;
            let start = fleet.now;
            while !fleet.running().all(|node| node.has_report) {
                fleet.run_for(Duration::from_millis(50));
                assert!(fleet.now <= start + bound, "{count} nodes, from {from}");
            }
            longest = longest.max(fleet.now - start);
        }
        println!("{count} nodes: {longest:?}");
    }
}

//! A fleet that admits requests for a pipeline of three services by shares, in virtual time.

use {
    fernring_gateway::{
        admission::{AdmissionDecision, RequestDemand, StageDemand, decide, decide_limited},
        backlog::{Backlog, PiecesByRank},
        backlogs::{Backlogs, Reservation},
        settings::DecideSettings,
        stage_shares::{OwnedPool, PoolPieces, StageShares},
        worker_pools::WorkerPool,
        workspace_demands::WorkspaceRank,
    },
    fernring_protocol::gateway::{LoadScope, StageLoad},
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration},
};

const MS: fn(u64) -> Duration = Duration::from_millis;
const STEP_MS: u64 = 5;
pub(crate) const CALL: Duration = Duration::from_millis(250);
const OBJECTIVE: Duration = Duration::from_millis(2_000);
const REPORT_MS: u64 = 200;
const STAGES: usize = 3;
/// Pieces of a request at each stage, by rank; the second rank needs the first service only.
const PIECES: [[u32; STAGES]; 3] = [[1, 8, 16], [2, 0, 0], [1, 8, 16]];
/// Workers and pieces per call of each service.
const WORKERS: [(usize, usize); STAGES] = [(16, 10), (16, 50), (16, 84)];

/// A request under way.
struct Request {
    rank: usize,
    arrived_at: Duration,
    reservations: Vec<Option<Reservation>>,
}

/// A stage service: pieces of one request stay together, the more urgent go first.
#[derive(Default)]
struct Service {
    /// Request numbers by rank.
    queues: [std::collections::VecDeque<usize>; 3],
    /// Completion times and requests of the calls.
    calls: Vec<(Duration, Vec<usize>)>,
}

struct Node {
    backlogs: Rc<Backlogs>,
    shares: StageShares,
}

pub(crate) struct Fleet {
    nodes: Vec<Node>,
    pools: [WorkerPool; STAGES],
    services: [Service; STAGES],
    /// Usable part of the workers.
    pub(crate) capacity: f64,
    /// The node that owns the services and adds up the loads.
    owner: usize,
    /// Whether reports arrive.
    pub(crate) is_connected: bool,
    requests: Vec<Request>,
    now: Duration,
    /// Time that a report is under way; from a node to the others it passes the owner.
    hop_time: Duration,
    in_flight: Vec<(Duration, usize, usize, LoadScope, Vec<StageLoad>)>,
    /// By rank and 250 ms: offered, admitted, admitted in time.
    outcomes: Vec<[[u32; 3]; 3]>,
    rng: SmallRng,
}

impl Fleet {
    pub(crate) fn new(nodes: usize, report_age_ms: u64) -> Self {
        let mut settings = DecideSettings::ALL;
        settings.load_control.shares = true;
        let node = |_| Node {
            backlogs: Rc::default(),
            shares: StageShares::new(Rc::new(Cell::new(settings))),
        };
        Self {
            nodes: (0..nodes).map(node).collect(),
            pools: ["first", "second", "third"].map(|name| WorkerPool::unsharded(name.into())),
            services: Default::default(),
            capacity: 1.0,
            owner: 0,
            is_connected: true,
            requests: Vec::new(),
            now: Duration::ZERO,
            hop_time: MS(report_age_ms) / 2,
            in_flight: Vec::new(),
            outcomes: Vec::new(),
            rng: SmallRng::seed_from_u64(601),
        }
    }

    fn address(node: usize) -> SocketAddr {
        SocketAddr::from(([10, 0, (node >> 8) as u8, node as u8], 1))
    }

    fn workers(&self, stage: usize) -> usize {
        (WORKERS[stage].0 as f64 * self.capacity) as usize
    }

    fn rate(&self, stage: usize) -> f64 {
        (self.workers(stage) * WORKERS[stage].1) as f64 / CALL.as_secs_f64()
    }

    /// Requests per second of rank 0 that the services complete.
    pub(crate) fn requests_per_s(&self) -> f64 {
        (0..STAGES).map(|s| self.rate(s) / f64::from(PIECES[0][s])).fold(f64::MAX, f64::min)
    }

    fn backlog(&self, stage: usize) -> Backlog {
        let mut waiting = PiecesByRank::default();
        for (rank, queue) in self.services[stage].queues.iter().enumerate() {
            waiting[rank] = queue.len() as u32 * PIECES[rank][stage];
        }
        Backlog { rate_per_s: self.rate(stage), waiting, ..Backlog::default() }
    }

    fn owned(&self, stage: usize) -> OwnedPool {
        let (pool, backlog) = (self.pools[stage].clone(), self.backlog(stage));
        OwnedPool { pool, backlog, full_call_pieces: WORKERS[stage].1, full_call_time: CALL }
    }

    /// Lets requests of each rank arrive at random nodes, and time pass.
    pub(crate) fn run(&mut self, seconds: f64, requests_per_s: [f64; 3]) {
        let end = self.now + Duration::from_secs_f64(seconds);
        self.outcomes.resize((end.as_millis() / 250) as usize + 1, Default::default());
        while self.now < end {
            for (rank, per_s) in requests_per_s.into_iter().enumerate() {
                let mean = per_s * MS(STEP_MS).as_secs_f64();
                let draws = mean.ceil().max(1.0);
                for _ in 0..draws as usize {
                    if self.rng.random_bool(mean / draws) {
                        let node = self.rng.random_range(0..self.nodes.len());
                        self.arrive(node, rank);
                    }
                }
            }
            self.report();
            (0..STAGES).for_each(|stage| self.serve(stage));
            self.now += MS(STEP_MS);
        }
    }

    fn arrive(&mut self, number: usize, rank: usize) {
        let slot = (self.now.as_millis() / 250) as usize;
        self.outcomes[slot][rank][0] += 1;
        let used = (0..STAGES).filter(|stage| PIECES[rank][*stage] > 0);
        let path: Vec<_> = used
            .map(|s| PoolPieces { pool: self.pools[s].clone(), pieces: PIECES[rank][s] })
            .collect();
        if number == self.owner {
            (0..STAGES).for_each(|stage| {
                self.nodes[number].shares.update_owned(self.now, &self.owned(stage));
            });
        }
        let draw = self.rng.random_range(0.0..1.0);
        let node = &self.nodes[number];
        let workspace = WorkspaceRank { workspace_hash: 0, rank };
        let limit = node.shares.limit_request(self.now, &"route".into(), workspace, &path, draw);
        let stages = (0..STAGES).map(|stage| {
            let own = (number == self.owner).then(|| self.backlog(stage));
            StageDemand {
                depends_on: stage.checked_sub(1).into_iter().collect(),
                pieces: PIECES[rank][stage],
                backlog: node.backlogs.estimate(self.now, &self.pools[stage], own),
                call_time: CALL,
                full_call_time: CALL,
            }
        });
        let demand = RequestDemand {
            rank,
            stages: stages.collect(),
            prefill_time: Duration::ZERO,
            objective_left: OBJECTIVE,
            time_left: OBJECTIVE,
        };
        let decision = match limit {
            Some(limit) => decide_limited(&demand, demand.slack(), limit.is_admitted),
            None => decide(&demand, demand.slack()),
        };
        let is_admitted = matches!(decision, AdmissionDecision::InTime(_));
        node.shares.record_decision(self.now, rank, &path, is_admitted);
        if is_admitted {
            self.outcomes[slot][rank][1] += 1;
            let reserve = |stage: usize| {
                let pieces = PIECES[rank][stage];
                (pieces > 0).then(|| node.backlogs.reserve(&self.pools[stage], rank, pieces))
            };
            let reservations = (0..STAGES).map(reserve).collect();
            self.requests.push(Request { rank, arrived_at: self.now, reservations });
            self.enqueue(self.requests.len() - 1, 0);
        }
    }

    fn enqueue(&mut self, request: usize, stage: usize) {
        self.requests[request].reservations[stage] = None;
        self.services[stage].queues[self.requests[request].rank].push_back(request);
    }

    /// Ends calls that are due, and starts others on free workers.
    fn serve(&mut self, stage: usize) {
        let now = self.now;
        let ended: Vec<_> =
            self.services[stage].calls.extract_if(.., |(ends_at, _)| *ends_at <= now).collect();
        for request in ended.into_iter().flat_map(|(_, requests)| requests) {
            let Request { rank, arrived_at, .. } = self.requests[request];
            if stage + 1 < STAGES && PIECES[rank][stage + 1] > 0 {
                self.enqueue(request, stage + 1);
            } else if now <= arrived_at + OBJECTIVE {
                self.outcomes[(arrived_at.as_millis() / 250) as usize][rank][2] += 1;
            }
        }
        let workers = self.workers(stage);
        // Late work is given up.
        for (rank, queue) in self.services[stage].queues.iter_mut().enumerate() {
            let left = (stage..STAGES).filter(|left| PIECES[rank][*left] > 0).count();
            let done_at = now + CALL * left as u32;
            queue.retain(|request| done_at <= self.requests[*request].arrived_at + OBJECTIVE);
        }
        let Service { queues, calls } = &mut self.services[stage];
        while calls.len() < workers && queues.iter().any(|queue| !queue.is_empty()) {
            let (mut left, mut call) = (WORKERS[stage].1, Vec::new());
            for (rank, queue) in queues.iter_mut().enumerate() {
                let pieces = PIECES[rank][stage].max(1) as usize;
                while left >= pieces && !queue.is_empty() {
                    call.extend(queue.pop_front());
                    left -= pieces;
                }
            }
            calls.push((now + CALL, call));
        }
    }

    /// Sends the reports of all nodes to the owner, and the owner's to all; delivers those that are
    /// due.
    fn report(&mut self) {
        let (now, owner) = (self.now, self.owner);
        for number in 0..self.nodes.len() {
            let phase = number as u64 * 7 % REPORT_MS / STEP_MS * STEP_MS;
            if now.as_millis() as u64 % REPORT_MS != phase || !self.is_connected {
                continue;
            }
            let (scope, owned) = match number == owner {
                true => (LoadScope::Domain, (0..STAGES).map(|s| self.owned(s)).collect()),
                false => (LoadScope::Sender, Vec::new()),
            };
            let backlogs =
                owned.iter().map(|owned: &OwnedPool| (owned.pool.clone(), owned.backlog)).collect();
            let node = &self.nodes[number];
            let mut loads = node.backlogs.stage_loads(now, backlogs, scope);
            node.shares.fill_loads(now, &owned, scope, &mut loads);
            let targets = match number == owner {
                true => (0..self.nodes.len()).filter(|target| *target != owner).collect(),
                false => vec![owner],
            };
            let arrives_at = now + self.hop_time;
            let sent = targets.into_iter().map(|to| (arrives_at, number, to, scope, loads.clone()));
            self.in_flight.extend(sent);
        }
        for (_, from, to, scope, loads) in
            self.in_flight.extract_if(.., |(arrives_at, ..)| *arrives_at <= now)
        {
            let (node, peer) = (&self.nodes[to], Self::address(from));
            let contains_own = scope == LoadScope::Domain;
            node.backlogs.handle_loads(now, peer, &loads, scope, contains_own);
            node.shares.handle_loads(now, peer, &loads, scope, contains_own);
        }
    }

    /// Replaces the owner after `after_s` without any report, in which the crowd goes on.
    pub(crate) fn lose_owner(&mut self, after_s: f64, requests_per_s: [f64; 3]) {
        self.is_connected = false;
        self.run(after_s, requests_per_s);
        let lost = Self::address(self.owner);
        self.owner = 1;
        self.is_connected = true;
        for node in &self.nodes {
            node.backlogs.remove_peer(lost);
            node.shares.remove_peer(lost);
        }
    }

    /// Sums of offered, admitted and in time of a rank between two times in seconds.
    pub(crate) fn totals(&self, rank: usize, from_s: f64, to_s: f64) -> [f64; 3] {
        let slots = &self.outcomes[(from_s * 4.0) as usize..(to_s * 4.0) as usize];
        [0, 1, 2].map(|count| slots.iter().map(|slot| f64::from(slot[rank][count])).sum())
    }

    pub(crate) fn assert_kept(&self, from_s: f64, to_s: f64) {
        for rank in 0..3 {
            let [_, admitted, kept] = self.totals(rank, from_s, to_s);
            assert!(
                kept >= 0.95 * admitted,
                "rank {rank}: {kept} of {admitted} in time: {:?}",
                self.outcomes.iter().map(|slot| slot[rank]).collect::<Vec<_>>()
            );
        }
    }

    pub(crate) fn assert_no_swing(&self, rank: usize, from_s: f64, to_s: f64) {
        let mean = self.totals(rank, from_s, to_s)[1] / (to_s - from_s) / 4.0;
        for slot in (from_s * 4.0) as usize..(to_s * 4.0) as usize {
            let admitted = f64::from(self.outcomes[slot][rank][1]);
            let at_s = slot as f64 / 4.0;
            assert!(
                (mean / 2.0..=mean * 2.0).contains(&admitted),
                "{admitted} admitted at {at_s} s, {mean} in the mean: {:?}",
                self.outcomes.iter().map(|slot| slot[rank]).collect::<Vec<_>>()
            );
        }
    }
}

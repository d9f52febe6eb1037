//! Two stage services and one node, which admits requests of one rank and batches their pieces, in
//! virtual time.

use {
    fernring_gateway::{
        admission::{AdmissionDecision, RequestDemand, StageDemand, decide},
        backlog::Backlog,
        backlogs::{Backlogs, Reservation},
        batching::{BatchQueue, QueuedPiece, TargetWorker},
        fingerprint::Fingerprint,
        model::{BatchConfig, Piece, PieceInput},
        residency::Residency,
        settings::DecideSettings,
        slack::{MeanSlacks, QueueKey},
        throughput::ServiceThroughput,
        worker_pools::WorkerPool,
        workers::expected_call_time,
    },
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::{collections::HashMap, net::SocketAddr, ops::Range, rc::Rc, time::Duration},
};

const MS: fn(u64) -> Duration = Duration::from_millis;
const STEP: Duration = Duration::from_millis(5);
const PATIENCE: Duration = Duration::from_secs(10);
const RANK: usize = 1;
const STAGES: usize = 2;
/// Pieces of a request at each stage.
const PIECES: [u32; STAGES] = [1, 6];
/// Workers of each service. The first is the bottleneck.
const WORKERS: [usize; STAGES] = [3, 20];
/// Expected wait at each later stage.
const LATER_WAIT: Duration = Duration::from_millis(75);

fn batch_config(stage: usize) -> BatchConfig {
    let (pieces_max, piece_time) = [(8, MS(16)), (10, MS(13))][stage];
    BatchConfig {
        pieces_max,
        call_time: MS(150),
        piece_time,
        result_capacity_bytes: u64::MAX,
        result_lifetime: Duration::from_secs(4),
    }
}

/// Requests of equally frequent sorts.
pub(crate) struct Crowd {
    /// Requests, relative to what the first service completes.
    pub(crate) load: f64,
    /// The sorts.
    pub(crate) sorts: Vec<Sort>,
}

/// A sort of request.
#[derive(Clone, Copy)]
pub(crate) struct Sort {
    pub(crate) objective: Duration,
    pub(crate) prefill_time: Duration,
}

struct Request {
    /// Index of its sort.
    number: usize,
    sort: Sort,
    arrived_at: Duration,
    due_at: Duration,
    /// Pieces that are not completed, by stage.
    missing: [u32; STAGES],
    reservation: Option<Reservation>,
}

#[derive(Default)]
struct Service {
    queue: BatchQueue,
    throughput: ServiceThroughput,
    /// End of each call, its duration, its pieces, and whether it left pieces queued.
    calls: Vec<(Duration, Duration, Vec<QueuedPiece>, bool)>,
}

/// Numbers of requests of one sort.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Outcome {
    pub(crate) offered: u32,
    pub(crate) refused: u32,
    pub(crate) in_time: u32,
    pub(crate) late: u32,
    pub(crate) expired: u32,
    /// Longest time for which a request was held that expired.
    pub(crate) held_max: Duration,
}

pub(crate) struct StageSimulation {
    now: Duration,
    services: [Service; STAGES],
    pools: [WorkerPool; STAGES],
    backlogs: Rc<Backlogs>,
    slacks: MeanSlacks,
    requests: HashMap<u64, Request>,
    next_request: u64,
    /// By sort.
    pub(crate) outcomes: Vec<Outcome>,
    rng: SmallRng,
}

impl StageSimulation {
    pub(crate) fn new() -> Self {
        Self {
            now: Duration::from_secs(100),
            services: Default::default(),
            pools: ["first", "second"].map(|name| WorkerPool::unsharded(name.into())),
            backlogs: Rc::default(),
            slacks: MeanSlacks::default(),
            requests: HashMap::new(),
            next_request: 0,
            outcomes: Vec::new(),
            rng: SmallRng::seed_from_u64(15),
        }
    }

    /// Lets requests arrive for some seconds, and ends those that are under way.
    pub(crate) fn run(&mut self, crowd: &Crowd, seconds: f64) {
        self.outcomes.resize(crowd.sorts.len(), Outcome::default());
        let config = batch_config(0);
        let per_s = (WORKERS[0] * config.pieces_max) as f64
            / expected_call_time(&config, config.pieces_max).as_secs_f64()
            / f64::from(PIECES[0]);
        let ends_at = self.now + Duration::from_secs_f64(seconds);
        while self.now < ends_at || !self.requests.is_empty() {
            let chance = crowd.load * per_s * STEP.as_secs_f64();
            for _ in 0..if self.now < ends_at { 4 } else { 0 } {
                if self.rng.random_bool(chance / 4.0) {
                    let number = self.rng.random_range(0..crowd.sorts.len());
                    self.arrive(number, crowd.sorts[number]);
                }
            }
            (0..STAGES).for_each(|stage| self.serve(stage));
            self.now += STEP;
        }
    }

    /// Share of the requests of some sorts that were answered, in time or late.
    pub(crate) fn answered_share(&self, sorts: Range<usize>) -> f64 {
        let outcomes = &self.outcomes[sorts];
        let offered: u32 = outcomes.iter().map(|outcome| outcome.offered).sum();
        let answered: u32 = outcomes.iter().map(|outcome| outcome.in_time + outcome.late).sum();
        f64::from(answered) / f64::from(offered)
    }

    fn backlog(&self, stage: usize) -> Backlog {
        let service = &self.services[stage];
        let workers = WORKERS[stage] as f64;
        service.throughput.backlog(self.now, &batch_config(stage), workers, Some(&service.queue))
    }

    fn demand(&self, sort: Sort) -> RequestDemand {
        let stage_demand = |stage: usize| {
            let own = Some(self.backlog(stage));
            let backlog = self.backlogs.estimate(self.now, &self.pools[stage], own);
            let waiting = backlog.map_or(0, |backlog| backlog.waiting.iter().sum());
            let config = batch_config(stage);
            let pieces = config.pieces_max.min((PIECES[stage] + waiting) as usize);
            StageDemand {
                depends_on: stage.checked_sub(1).into_iter().collect(),
                pieces: PIECES[stage],
                backlog,
                call_time: expected_call_time(&config, pieces),
                full_call_time: expected_call_time(&config, config.pieces_max),
            }
        };
        RequestDemand {
            rank: RANK,
            stages: (0..STAGES).map(stage_demand).collect(),
            prefill_time: sort.prefill_time,
            objective_left: sort.objective,
            time_left: PATIENCE,
        }
    }

    fn arrive(&mut self, number: usize, sort: Sort) {
        let demand = self.demand(sort);
        self.outcomes[number].offered += 1;
        let key =
            |stage: usize| QueueKey { service: self.pools[stage].service.clone(), rank: RANK };
        let binding = demand.longest_wait_stage().expect("it has pieces");
        let mean_slack = self.slacks.mean(&key(binding)).unwrap_or(demand.slack());
        for (stage, pieces) in PIECES.into_iter().enumerate() {
            self.slacks.record(self.now, key(stage), pieces, demand.slack());
        }
        if matches!(decide(&demand, mean_slack), AdmissionDecision::Refused(_)) {
            self.outcomes[number].refused += 1;
            return;
        }
        let id = self.next_request;
        self.next_request += 1;
        let reservation = Some(self.backlogs.reserve(&self.pools[1], RANK, PIECES[1]));
        let arrived_at = self.now;
        let due_at = arrived_at + demand.due_time();
        let missing = PIECES;
        let request = Request { number, sort, arrived_at, due_at, missing, reservation };
        self.requests.insert(id, request);
        self.enqueue(id, 0);
    }

    /// Time of the stages after a stage.
    fn time_after(stage: usize) -> Duration {
        let later = stage + 1..STAGES;
        let time_of = |s: usize| expected_call_time(&batch_config(s), PIECES[s] as usize);
        later.map(|stage| time_of(stage) + LATER_WAIT).sum()
    }

    fn enqueue(&mut self, id: u64, stage: usize) {
        let request = self.requests.get_mut(&id).expect("the request is under way");
        if stage > 0 {
            request.reservation = None;
        }
        let after = Self::time_after(stage) + request.sort.prefill_time;
        let due_at = request.due_at.saturating_sub(after);
        let deadline_at = request.arrived_at + PATIENCE - after;
        let service = &mut self.services[stage];
        if due_at > self.now {
            service.throughput.record_arrivals(self.now, RANK, PIECES[stage]);
        }
        for number in 0..PIECES[stage] {
            service.queue.push(QueuedPiece {
                work: id,
                fingerprint: Fingerprint::of(None, &id.to_string(), b""),
                is_isolated: false,
                piece: Piece {
                    request_id: id.to_string().into(),
                    stage: stage as u32,
                    number,
                    input: PieceInput::Key("key".into()),
                    remaining: Duration::ZERO,
                },
                due_at,
                consumer_domain: None,
                deadline_at,
                priority: RANK as u32,
                result_bytes: 1,
                residency: Residency::default(),
                requester: SocketAddr::from(([10, 0, 0, 1], 1)),
                calls: 0,
            });
        }
    }

    fn serve(&mut self, stage: usize) {
        self.end_calls(stage);
        let config = batch_config(stage);
        let backlog = self.backlog(stage);
        let service = &mut self.services[stage];
        let free_slots = (WORKERS[stage] - service.calls.len()) * config.pieces_max;
        let settings = DecideSettings::ALL;
        let expired =
            service.queue.take_expired(self.now, &config, &backlog, free_slots, &settings);
        for piece in expired {
            self.expire(piece.work);
        }
        let service = &mut self.services[stage];
        while service.calls.len() < WORKERS[stage] && !service.queue.is_empty() {
            let worker = TargetWorker {
                failure_domain: "a",
                free_bytes: u64::MAX,
                workers: WORKERS[stage],
                slowdown: None,
            };
            let batch = service.queue.take_batch(self.now, &config, worker, &settings, |_| None);
            let took = expected_call_time(&config, batch.pieces.len());
            let is_saturated = !service.queue.is_empty();
            service.calls.push((self.now + took, took, batch.pieces, is_saturated));
        }
    }

    fn end_calls(&mut self, stage: usize) {
        let now = self.now;
        let service = &mut self.services[stage];
        let ended: Vec<_> = service.calls.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, took, pieces, is_saturated) in ended {
            if is_saturated {
                let throughput = &mut self.services[stage].throughput;
                throughput.record_saturated_call(&batch_config(stage), pieces.len(), took);
            }
            for piece in pieces {
                self.complete(piece.work, stage);
            }
        }
    }

    fn complete(&mut self, id: u64, stage: usize) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.missing[stage] -= 1;
        if request.missing[stage] > 0 {
            return;
        }
        if stage + 1 < STAGES {
            return self.enqueue(id, stage + 1);
        }
        let took = self.now + request.sort.prefill_time - request.arrived_at;
        let outcome = &mut self.outcomes[request.number];
        match took <= request.sort.objective {
            true => outcome.in_time += 1,
            false => outcome.late += 1,
        }
        self.requests.remove(&id);
    }

    fn expire(&mut self, id: u64) {
        let Some(request) = self.requests.remove(&id) else {
            return;
        };
        let outcome = &mut self.outcomes[request.number];
        outcome.expired += 1;
        outcome.held_max = outcome.held_max.max(self.now - request.arrived_at);
        self.services.iter_mut().for_each(|service| service.queue.cancel(id));
    }
}

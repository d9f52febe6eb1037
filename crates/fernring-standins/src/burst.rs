//! An open-loop load driver. Arrivals follow a seeded schedule, and latency is measured from the
//! intended arrival, so that a slow system can't reduce the load that it is measured with.

use {
    crate::{
        caller::{Answer, Call, Caller},
        cluster::{Cluster, CostRow, NodeStatus},
        deployment::{Deployment, PipelineSpec, WorkspaceSpec},
    },
    hdrhistogram::Histogram,
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    serde::Serialize,
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
    tokio::{sync::mpsc, task::JoinSet},
    uuid::Uuid,
};

/// Upper bound of recorded latencies, in microseconds.
const LATENCY_MAX_US: u64 = 120_000_000;
/// Share of the peak rate that arrives before the event starts.
const EARLY_RATE_SHARE: f64 = 0.2;
/// Share of the run before the event starts.
const CROWD_START: f64 = 0.2;
/// Share of the run after which the rate decreases.
const CROWD_END: f64 = 0.8;
/// Share of the peak rate that arrives after the decrease.
const LATE_RATE_SHARE: f64 = 0.4;
/// Class of a request that got no answer.
pub const NO_ANSWER: &str = "NO_ANSWER";

/// Description of a burst.
#[derive(Debug, Clone)]
pub struct BurstSpec {
    /// Rate at the peak, in requests per second.
    pub peak_per_s: f64,
    /// Length of the run.
    pub length: Duration,
    /// Seed of the schedule.
    pub seed: u64,
    /// A workspace that sends more than usual.
    pub flood: Option<Flood>,
}

/// A workspace whose traffic is multiplied.
#[derive(Debug, Clone)]
pub struct Flood {
    /// Its name.
    pub workspace: String,
    /// Multiple of its usual traffic.
    pub multiple: f64,
}

/// One scheduled request.
#[derive(Debug, Clone)]
struct Arrival {
    at: Duration,
    pipeline: &'static str,
    workspace: &'static str,
    window_ms: u64,
    keyed: bool,
    node_draw: usize,
}

/// Outcomes of a group of requests.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Outcomes {
    /// Number of requests sent.
    pub sent: u64,
    /// Number of complete answers within the window, measured from the intended arrival.
    pub attained: u64,
    /// Number of answers by class.
    pub classes: BTreeMap<String, u64>,
}

impl Outcomes {
    /// Returns the share of requests with a complete answer within the window.
    pub fn attainment(&self) -> f64 {
        if self.sent == 0 { 0.0 } else { self.attained as f64 / self.sent as f64 }
    }

    fn add(&mut self, class: &str, attained: bool) {
        self.sent += 1;
        self.attained += u64::from(attained);
        *self.classes.entry(class.to_owned()).or_default() += 1;
    }
}

/// Upstream time of a stage, by what became of its result.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct StageCost {
    /// Time of attempts whose result was used, in milliseconds.
    pub useful_ms: f64,
    /// Time of attempts that failed, in milliseconds.
    pub failed_ms: f64,
    /// Time of attempts that lost against their hedge or original, in milliseconds.
    pub hedged_ms: f64,
    /// Time of attempts whose request had ended, in milliseconds.
    pub abandoned_ms: f64,
}

impl StageCost {
    /// Returns the time whose result was not used, in milliseconds.
    pub fn wasted_ms(&self) -> f64 {
        self.failed_ms + self.hedged_ms + self.abandoned_ms
    }

    fn add(&mut self, row: &CostRow) {
        self.useful_ms += row.useful_ms;
        self.failed_ms += row.failed_ms;
        self.hedged_ms += row.hedged_ms;
        self.abandoned_ms += row.abandoned_ms;
    }
}

/// Result of a burst.
#[derive(Debug, Clone, Serialize)]
pub struct BurstReport {
    /// All requests.
    pub total: Outcomes,
    /// Requests by workspace.
    pub workspaces: BTreeMap<String, Outcomes>,
    /// Requests by pipeline.
    pub pipelines: BTreeMap<String, Outcomes>,
    /// Median time from the intended arrival to a complete answer, in milliseconds.
    pub median_ms: f64,
    /// 99th percentile of that time, in milliseconds.
    pub p99_ms: f64,
    /// 99th percentile of the time to a refusal, in milliseconds.
    pub refusal_p99_ms: f64,
    /// Complete answers within the window per second at the peak rate.
    pub goodput_per_s: f64,
    /// Retries and hedges as a percentage of first attempts.
    pub extra_percent: f64,
    /// Costs by stage.
    pub stages: BTreeMap<String, StageCost>,
}

#[derive(Debug)]
struct Outcome {
    arrival: Arrival,
    class: String,
    latency: Duration,
}

/// Draws the schedule. Two runs with the same seed send the same requests at the same times.
fn schedule(deployment: &Deployment, spec: &BurstSpec) -> Vec<Arrival> {
    let mut rng = SmallRng::seed_from_u64(spec.seed);
    let length_s = spec.length.as_secs_f64();
    let multiple = |workspace: &WorkspaceSpec| match &spec.flood {
        Some(flood) if flood.workspace == workspace.name => flood.multiple,
        _ => 1.0,
    };
    let usual_traffic: f64 = deployment.workspaces.iter().map(|w| f64::from(w.traffic)).sum();
    let weighted = |w: &WorkspaceSpec| f64::from(w.traffic) * multiple(w);
    let actual_traffic: f64 = deployment.workspaces.iter().map(weighted).sum();
    let peak_per_s = spec.peak_per_s * actual_traffic / usual_traffic;
    let mut list = Vec::new();
    let mut at_s = 0.0;
    loop {
        let progress = at_s / length_s;
        let share = match progress {
            p if p < CROWD_START => EARLY_RATE_SHARE,
            p if p < CROWD_END => 1.0,
            _ => LATE_RATE_SHARE,
        };
        let draw: f64 = rng.random_range(f64::EPSILON..1.0);
        at_s -= draw.ln() / (peak_per_s * share);
        if at_s >= length_s {
            return list;
        }
        let pipeline =
            pick_weighted(&deployment.pipelines, |p: &PipelineSpec| f64::from(p.traffic), &mut rng);
        let workspace = pick_weighted(&deployment.workspaces, weighted, &mut rng);
        list.push(Arrival {
            at: Duration::from_secs_f64(at_s),
            pipeline: pipeline.name,
            workspace: workspace.name,
            window_ms: pipeline.pipeline.default_window_ms,
            keyed: pipeline.pipeline.has_effect(),
            node_draw: rng.random_range(0..usize::MAX),
        });
    }
}

fn pick_weighted<'a, T>(list: &'a [T], weight: impl Fn(&T) -> f64, rng: &mut SmallRng) -> &'a T {
    let total: f64 = list.iter().map(&weight).sum();
    let mut remaining = rng.random_range(0.0..total);
    for item in list {
        remaining -= weight(item);
        if remaining < 0.0 {
            return item;
        }
    }
    &list[list.len() - 1]
}

/// Sends a burst to the nodes of a cluster. `alive` returns the nodes that the balancer uses at a
/// time since the start of the run.
pub async fn run(
    cluster: &Cluster,
    deployment: &Deployment,
    spec: &BurstSpec,
    alive: impl Fn(Duration) -> Vec<SocketAddr>,
) -> BurstReport {
    let arrivals = schedule(deployment, spec);
    let before = node_statuses(cluster).await;
    let (sender, mut receiver) = mpsc::unbounded_channel();
    let start = Instant::now();
    let mut tasks = JoinSet::new();
    for arrival in arrivals {
        tokio::time::sleep_until((start + arrival.at).into()).await;
        let nodes = alive(arrival.at);
        let node = nodes[arrival.node_draw % nodes.len()];
        let (caller, sender) = (cluster.caller.clone(), sender.clone());
        tasks.spawn(async move {
            let _ = sender.send(send(caller, node, arrival, start).await);
        });
    }
    drop(sender);
    while tasks.join_next().await.is_some() {}
    let mut outcomes = Vec::new();
    while let Some(outcome) = receiver.recv().await {
        outcomes.push(outcome);
    }
    let after = node_statuses(cluster).await;
    report(spec, &outcomes, &before, &after)
}

async fn send(caller: Caller, node: SocketAddr, arrival: Arrival, start: Instant) -> Outcome {
    let input = format!("{} of {} at {:?}", arrival.pipeline, arrival.workspace, arrival.at);
    let key = arrival.keyed.then(|| new_key().to_string());
    let call = Call { workspace: arrival.workspace.to_owned(), key, input, ..Call::default() };
    let answer: anyhow::Result<Answer> = caller.call(node, arrival.pipeline, &call).await;
    let latency = start.elapsed().saturating_sub(arrival.at);
    let class = answer.map_or_else(|_| NO_ANSWER.to_owned(), |answer| answer.class);
    Outcome { arrival, class, latency }
}

fn new_key() -> Uuid {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let at = uuid::Timestamp::from_unix(uuid::NoContext, now.as_secs(), now.subsec_nanos());
    Uuid::new_v7(at)
}

async fn node_statuses(cluster: &Cluster) -> Vec<Option<NodeStatus>> {
    let mut list = Vec::new();
    for index in 0..cluster.nodes.len() {
        list.push(cluster.status(index).await.ok());
    }
    list
}

fn report(
    spec: &BurstSpec,
    outcomes: &[Outcome],
    before: &[Option<NodeStatus>],
    after: &[Option<NodeStatus>],
) -> BurstReport {
    let new_histogram = || Histogram::<u64>::new_with_max(LATENCY_MAX_US, 3).expect("valid bounds");
    let (mut answered, mut refused) = (new_histogram(), new_histogram());
    let mut total = Outcomes::default();
    let mut workspaces: BTreeMap<String, Outcomes> = BTreeMap::new();
    let mut pipelines: BTreeMap<String, Outcomes> = BTreeMap::new();
    let crowd_s = spec.length.as_secs_f64();
    let mut in_crowd = 0;
    for Outcome { arrival, class, latency } in outcomes {
        let in_time = latency.as_millis() <= u128::from(arrival.window_ms);
        let attained = class == "ANSWERED" && in_time;
        total.add(class, attained);
        workspaces.entry(arrival.workspace.to_owned()).or_default().add(class, attained);
        pipelines.entry(arrival.pipeline.to_owned()).or_default().add(class, attained);
        let us = latency.as_micros() as u64;
        match class.as_str() {
            "ANSWERED" => answered.saturating_record(us),
            "NOT_RUN" => refused.saturating_record(us),
            _ => {}
        }
        let progress = arrival.at.as_secs_f64() / crowd_s;
        in_crowd += u64::from(attained && (CROWD_START..CROWD_END).contains(&progress));
    }
    let ms =
        |histogram: &Histogram<u64>, share| histogram.value_at_quantile(share) as f64 / 1_000.0;
    BurstReport {
        total,
        workspaces,
        pipelines,
        median_ms: ms(&answered, 0.5),
        p99_ms: ms(&answered, 0.99),
        refusal_p99_ms: ms(&refused, 0.99),
        goodput_per_s: in_crowd as f64 / (crowd_s * (CROWD_END - CROWD_START)),
        extra_percent: extra_percent(before, after),
        stages: stage_costs(before, after),
    }
}

/// Returns pairs of statuses of the nodes that responded both before and after the run.
fn pairs<'a>(
    before: &'a [Option<NodeStatus>],
    after: &'a [Option<NodeStatus>],
) -> impl Iterator<Item = (&'a NodeStatus, &'a NodeStatus)> {
    before.iter().zip(after).filter_map(|(before, after)| before.as_ref().zip(after.as_ref()))
}

fn extra_percent(before: &[Option<NodeStatus>], after: &[Option<NodeStatus>]) -> f64 {
    let (mut first, mut extra) = (0, 0);
    for (before, after) in pairs(before, after) {
        let increase = |name: &str| after.counters[name] - before.counters[name];
        first += increase("first_attempts");
        extra += increase("retries") + increase("hedges");
    }
    extra as f64 * 100.0 / first.max(1) as f64
}

fn stage_costs(
    before: &[Option<NodeStatus>],
    after: &[Option<NodeStatus>],
) -> BTreeMap<String, StageCost> {
    let mut stages: BTreeMap<String, StageCost> = BTreeMap::new();
    for (before, after) in pairs(before, after) {
        for row in &after.costs {
            stages.entry(row.stage.clone()).or_default().add(row);
        }
        for row in &before.costs {
            let negative = CostRow {
                useful_ms: -row.useful_ms,
                failed_ms: -row.failed_ms,
                hedged_ms: -row.hedged_ms,
                abandoned_ms: -row.abandoned_ms,
                ..row.clone()
            };
            stages.entry(row.stage.clone()).or_default().add(&negative);
        }
    }
    stages
}

//! Measures what must always hold, with real processes: how soon a configuration is in force, how
//! soon an upstream that leaves gets its last request, letters through an outage of the log, the
//! appends that letters cost, and a long run under random faults in which the records of
//! upstreams, callers and nodes must agree.

use {
    anyhow::{Context, ensure},
    clap::{Parser, Subcommand},
    fernring_core::change::Operation,
    fernring_platform::VmState,
    fernring_standins::{
        caller::{Answer, Call, Caller},
        cluster::{Cluster, ClusterSpec, NodeSpec, domain_ip, nodes_per_domain},
        deployment::{
            DOMAINS, Deployment, PipelineSpec, PoolSpec, WorkspaceSpec, effect, pipeline, stage,
            workspace,
        },
        platform::{AppendFault, Control, StreamCount},
        upstream::{Behaviour, output_of},
    },
    nix::sys::signal::Signal,
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    serde::Deserialize,
    serde_json::json,
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
        time::{Duration, Instant},
    },
    tokio::task::JoinSet,
    uuid::Uuid,
};

/// Pause between two looks at something that is measured.
const LOOK_EVERY: Duration = Duration::from_millis(5);
/// Times that a caller sends a letter before it leaves it at what it was told.
const SENDS_MAX: u32 = 8;
/// Window of a letter in the long run, in milliseconds.
const LETTER_WINDOW_MS: u64 = 3_000;

/// Measure what must always hold.
#[derive(Debug, Parser)]
struct Args {
    #[command(subcommand)]
    what: What,
}

#[derive(Debug, Subcommand)]
enum What {
    /// Seconds until a configuration is in force on all nodes, healthy and after a cut heals
    Config {
        /// Changes to publish
        #[arg(long, default_value_t = 20)]
        changes: u32,
    },
    /// Milliseconds until an upstream that leaves gets its last new request
    Leaving,
    /// Letters answered during an outage of the log, with claims only and with tickets
    Outage,
    /// Appends that letters cost, at several rates
    Appends,
    /// A long run under random faults
    Faults {
        /// Length, in seconds
        #[arg(long, default_value_t = 30)]
        seconds: u64,
        /// Seed of the faults
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Letters a second
        #[arg(long, default_value_t = 40.0)]
        rate: f64,
    },
}

fn deployment() -> Deployment {
    let behaviour = Behaviour { service_ms: 10.0, concurrency: 32, ..Behaviour::default() };
    let engine = Behaviour { engine: true, parts: 4, service_ms: 40.0, ..behaviour.clone() };
    let pool =
        |pool, behaviour: &Behaviour| PoolSpec { pool, count: 6, behaviour: behaviour.clone() };
    Deployment {
        name: "promises",
        pools: vec![
            pool("retrievers", &behaviour),
            pool("engines", &engine),
            pool("letters", &behaviour),
        ],
        pipelines: vec![
            PipelineSpec {
                name: "answer",
                traffic: 1,
                pipeline: pipeline(
                    vec![
                        stage("retrieve", "retrievers", 10, 1),
                        stage("generate", "engines", 40, 1),
                    ],
                    LETTER_WINDOW_MS,
                ),
            },
            PipelineSpec {
                name: "letter",
                traffic: 1,
                pipeline: pipeline(
                    vec![
                        stage("retrieve", "retrievers", 10, 1),
                        stage("generate", "engines", 40, 1),
                        effect("dispatch", "letters", 10),
                    ],
                    LETTER_WINDOW_MS,
                ),
            },
        ],
        workspaces: vec![WorkspaceSpec { name: "members", workspace: workspace(1), traffic: 1 }],
    }
}

async fn start() -> anyhow::Result<Cluster> {
    Cluster::start(ClusterSpec {
        deployment: deployment(),
        nodes: nodes_per_domain(3),
        extra_settings: "[log]\nlevel = \"info\"\n[drain]\nlinger_ms = 100\n".to_owned(),
        process_per_upstream: false,
    })
    .await
}

fn letter(key: String, text: &str) -> Call {
    Call {
        workspace: "members".to_owned(),
        key: Some(key),
        input: text.to_owned(),
        ..Call::default()
    }
}

fn whole_letter(text: &str) -> String {
    let stages = ["retrieve", "generate", "dispatch"];
    stages.iter().fold(text.to_owned(), |text, stage| output_of(stage, &text))
}

/// Waits until nodes have the cluster's version in force and returns how long that took.
async fn in_force(cluster: &Cluster, nodes: &[usize]) -> Duration {
    let begin = Instant::now();
    for node in nodes {
        loop {
            let view = cluster.view(*node).await;
            if view.is_ok_and(|view| view.config_version >= cluster.version) {
                break;
            }
            tokio::time::sleep(LOOK_EVERY).await;
        }
    }
    begin.elapsed()
}

fn any_change(number: u32) -> Vec<Operation> {
    let name = format!("customer-{number}");
    vec![Operation::PutWorkspace { name, workspace: Arc::new(workspace(1)) }]
}

async fn config(changes: u32) -> anyhow::Result<()> {
    let mut cluster = start().await?;
    let all: Vec<usize> = (0..cluster.nodes.len()).collect();
    let mut healthy = Vec::new();
    for number in 0..changes {
        cluster.publish(any_change(number)).await?;
        healthy.push(in_force(&cluster, &all).await);
    }
    healthy.sort();
    println!(
        "healthy, {changes} changes, {} nodes: in force everywhere after {:?} (median), {:?} (most)",
        all.len(),
        healthy[healthy.len() / 2],
        healthy[healthy.len() - 1]
    );
    for other in &DOMAINS[1..] {
        cluster.cuts.cut(domain_ip("a"), domain_ip(other));
    }
    let cut = Control { cut: vec![domain_ip("a")], ..Control::default() };
    cluster.control_platform(&cut).await?;
    cluster.publish(any_change(changes)).await?;
    let others = in_force(&cluster, &all[3..]).await;
    // Long enough that every read of the cut nodes has run into its timeout.
    tokio::time::sleep(Duration::from_secs(3)).await;
    cluster.cuts.heal();
    cluster.control_platform(&Control::default()).await?;
    let healed = in_force(&cluster, &all[..3]).await;
    println!("domain a cut off: in force in the others after {others:?}, in a {healed:?} after");
    Ok(())
}

/// Sends pure requests without pause until `end`, through all nodes in turn.
async fn keep_sending(
    caller: Caller,
    nodes: Vec<SocketAddr>,
    end: Instant,
) -> BTreeMap<String, u64> {
    let mut tasks = JoinSet::new();
    for offset in 0..16 {
        let (caller, nodes) = (caller.clone(), nodes.clone());
        tasks.spawn(async move {
            let mut classes: BTreeMap<String, u64> = BTreeMap::new();
            let mut number = offset;
            while Instant::now() < end {
                let call = Call {
                    workspace: "members".to_owned(),
                    input: format!("request {number}"),
                    ..Call::default()
                };
                let answer = caller.call(nodes[number % nodes.len()], "answer", &call).await;
                let class = answer.map_or("NO_ANSWER".to_owned(), |answer| answer.class);
                *classes.entry(class).or_default() += 1;
                number += 1;
            }
            classes
        });
    }
    let mut all: BTreeMap<String, u64> = BTreeMap::new();
    for classes in tasks.join_all().await {
        for (class, count) in classes {
            *all.entry(class).or_default() += count;
        }
    }
    all
}

/// Watches an upstream for a while and returns when its last new request came.
async fn last_request(cluster: &Cluster, name: &str, begin: Instant) -> anyhow::Result<Duration> {
    let mut last = Duration::ZERO;
    let mut known = cluster.runs(name).await?.len();
    while begin.elapsed() < Duration::from_secs(4) {
        let now = cluster.runs(name).await?.len();
        if now > known {
            known = now;
            last = begin.elapsed();
        }
        tokio::time::sleep(LOOK_EVERY).await;
    }
    Ok(last)
}

async fn leaving() -> anyhow::Result<()> {
    let mut cluster = start().await?;
    let nodes: Vec<_> = cluster.nodes.iter().map(|node| node.caller_address).collect();
    for (way, name) in [
        ("own report", "retrievers-0"),
        ("VM list", "retrievers-1"),
        ("own answer", "retrievers-2"),
    ] {
        let end = Instant::now() + Duration::from_secs(6);
        let load = tokio::spawn(keep_sending(cluster.caller.clone(), nodes.clone(), end));
        tokio::time::sleep(Duration::from_secs(1)).await;
        let begin = Instant::now();
        let usual = cluster.upstreams[name].spec.behaviour.clone();
        match way {
            "VM list" => cluster.list_upstream(name, VmState::Leaving).await?,
            // The report tells; the stand-in still takes what it is given.
            "own report" => {
                let tells = Behaviour { leaving_report: true, ..usual };
                cluster.control_upstream(name, &tells).await?;
            }
            _ => {
                let refuses = Behaviour { leaving: true, silent: true, ..usual };
                cluster.control_upstream(name, &refuses).await?;
            }
        }
        let last = last_request(&cluster, name, begin).await?;
        println!("{way}: last new request after {last:?}; answers {:?}", load.await?);
    }
    Ok(())
}

#[derive(Debug, Deserialize)]
struct Tickets {
    tickets: Vec<String>,
}

async fn send_letters(cluster: &Cluster, keys: Vec<String>, per_s: f64) -> BTreeMap<String, u64> {
    let begin = Instant::now();
    let mut tasks = JoinSet::new();
    for (number, key) in keys.into_iter().enumerate() {
        let at = begin + Duration::from_secs_f64(number as f64 / per_s);
        tokio::time::sleep_until(at.into()).await;
        let caller = cluster.caller.clone();
        let node = cluster.nodes[number % cluster.nodes.len()].caller_address;
        let letter = letter(key, &format!("letter {number}"));
        tasks.spawn(async move {
            let answer = caller.call(node, "letter", &letter).await;
            answer.map_or("NO_ANSWER".to_owned(), |answer| answer.class)
        });
    }
    let mut classes = BTreeMap::new();
    for class in tasks.join_all().await {
        *classes.entry(class).or_default() += 1;
    }
    classes
}

fn fresh_keys(count: usize) -> Vec<String> {
    (0..count).map(|_| Uuid::now_v7().to_string()).collect()
}

async fn outage() -> anyhow::Result<()> {
    let cluster = start().await?;
    let mut tickets = Vec::new();
    for node in &cluster.nodes {
        let body = json!({ "count": 25 });
        let response = cluster.caller.post(node.caller_address, "/v1/tickets", &body).await?;
        tickets.extend(response.json::<Tickets>().await?.tickets);
    }
    let down = Control { log_down: true, ..Control::default() };
    cluster.control_platform(&down).await?;
    let claims = send_letters(&cluster, fresh_keys(200), 20.0).await;
    println!("log down for 10 s, 200 letters with claims only: {claims:?}");
    tickets.truncate(200);
    let with_tickets = send_letters(&cluster, tickets, 20.0).await;
    println!("log down for 10 s, 200 letters with tickets: {with_tickets:?}");
    let run = cluster.pool_runs("letters").await?.len();
    println!("letters that upstreams ran: {run}");
    Ok(())
}

async fn appends() -> anyhow::Result<()> {
    for per_s in [10.0, 50.0, 150.0, 300.0] {
        let cluster = start().await?;
        let count = (per_s * 5.0) as usize;
        let classes = send_letters(&cluster, fresh_keys(count), per_s).await;
        let counts: Vec<StreamCount> =
            cluster.caller.get(cluster.platform, "/control/appends").await?;
        let claims = counts.iter().find(|count| count.stream == "fernring-claims");
        let appends = claims.map_or(0, |count| count.appends);
        println!(
            "{per_s} letters/s over 9 nodes: {appends} appends for {count} letters, {:.2} a letter, \
             {:.0} a second; answers {classes:?}",
            appends as f64 / count as f64,
            appends as f64 / 5.0
        );
    }
    Ok(())
}

/// Addresses of the nodes that the balancer knows.
type Nodes = Arc<Mutex<Vec<SocketAddr>>>;

/// What a caller was told of a letter in the end.
#[derive(Debug)]
struct Told {
    text: String,
    answer: Option<Answer>,
    sends: u32,
    /// Whether every submission was answered with a word that leaves nothing open, and no
    /// duplicate was sent: then NOT_RUN of the last submission speaks for all of them.
    clean: bool,
}

/// Sends a letter as a caller does who follows the advice: again under the same key, or under a
/// new one if told so; and now and then twice at once.
async fn send_until_told(caller: Caller, nodes: Nodes, text: String, seed: u64) -> Told {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut key = Uuid::now_v7().to_string();
    let mut last = None;
    let mut sends = 0;
    let mut clean = true;
    while sends < SENDS_MAX {
        sends += 1;
        let call = letter(key.clone(), &text);
        let pick = |rng: &mut SmallRng| {
            let nodes = nodes.lock().unwrap_or_else(PoisonError::into_inner);
            nodes[rng.random_range(0..nodes.len())]
        };
        let (first, second) = (pick(&mut rng), pick(&mut rng));
        if rng.random_bool(0.2) {
            // A delayed duplicate, whose answer nobody reads.
            clean = false;
            let (caller, call) = (caller.clone(), call.clone());
            let delay = Duration::from_millis(rng.random_range(0..2_000));
            tokio::spawn(async move {
                tokio::time::sleep(delay).await;
                let _ = caller.call(second, "letter", &call).await;
            });
        }
        let answer = caller.call(first, "letter", &call).await.ok();
        let advice = answer.as_ref().and_then(|answer| answer.advice.clone());
        let wait_ms = answer.as_ref().and_then(|answer| answer.retry_after_ms).unwrap_or(200);
        let done = answer.as_ref().is_some_and(|answer| answer.class == "ANSWERED");
        clean &= answer.as_ref().is_some_and(|answer| answer.class != "UNKNOWN");
        last = answer.or(last);
        if done {
            break;
        }
        if advice.as_deref() == Some("new_key") {
            key = Uuid::now_v7().to_string();
        }
        tokio::time::sleep(Duration::from_millis(wait_ms.clamp(50, 1_000))).await;
    }
    Told { text, answer: last, sends, clean }
}

/// Does one random thing to the cluster and undoes what can be undone.
async fn break_something(
    cluster: &mut Cluster,
    nodes: &Nodes,
    rng: &mut SmallRng,
) -> anyhow::Result<&'static str> {
    // Nodes that were replaced stand behind those that the balancer knows.
    let known = nodes.lock().unwrap_or_else(PoisonError::into_inner).len();
    let victim = rng.random_range(0..known);
    let pause = Duration::from_millis(rng.random_range(200..2_000));
    let what = match rng.random_range(0..8) {
        0 => {
            cluster.nodes[victim].process.kill();
            replace(cluster, nodes, victim).await?;
            "kill"
        }
        1 => {
            cluster.nodes[victim].process.signal(Signal::SIGTERM)?;
            replace(cluster, nodes, victim).await?;
            "replace"
        }
        2 | 3 => {
            cluster.nodes[victim].process.signal(Signal::SIGSTOP)?;
            tokio::time::sleep(pause).await;
            cluster.nodes[victim].process.signal(Signal::SIGCONT)?;
            "freeze"
        }
        4 => {
            cluster.control_platform(&Control { log_down: true, ..Control::default() }).await?;
            tokio::time::sleep(pause).await;
            "log down"
        }
        5 => {
            let faults = [AppendFault::AnswerLost, AppendFault::Dropped, AppendFault::Late];
            let fault = Control {
                append_fault: faults[rng.random_range(0..faults.len())],
                append_fault_count: rng.random_range(1..10),
                delay_ms: rng.random_range(0..1_500),
                ..Control::default()
            };
            cluster.control_platform(&fault).await?;
            tokio::time::sleep(pause).await;
            "append faults"
        }
        6 => {
            let domain = DOMAINS[rng.random_range(0..DOMAINS.len())];
            for other in DOMAINS.iter().filter(|other| **other != domain) {
                cluster.cuts.cut(domain_ip(domain), domain_ip(other));
            }
            let cut = Control { cut: vec![domain_ip(domain)], ..Control::default() };
            cluster.control_platform(&cut).await?;
            tokio::time::sleep(pause).await;
            cluster.cuts.heal();
            "cut"
        }
        _ => {
            let names: Vec<String> = cluster.upstreams.keys().cloned().collect();
            let name = &names[rng.random_range(0..names.len())];
            let usual = cluster.upstreams[name].spec.behaviour.clone();
            let failing = Behaviour { fail_share: 0.5, fail_after_run: true, ..usual.clone() };
            cluster.control_upstream(name, &failing).await?;
            tokio::time::sleep(pause).await;
            cluster.control_upstream(name, &usual).await?;
            "failing upstream"
        }
    };
    cluster.control_platform(&Control::default()).await?;
    Ok(what)
}

/// Starts a node in place of one that is gone.
async fn replace(cluster: &mut Cluster, nodes: &Nodes, victim: usize) -> anyhow::Result<()> {
    let failure_domain = cluster.nodes[victim].failure_domain;
    let old = cluster.nodes[victim].caller_address;
    let fresh = cluster.start_node(NodeSpec { failure_domain }).await?;
    let new = cluster.nodes[fresh].caller_address;
    let mut nodes = nodes.lock().unwrap_or_else(PoisonError::into_inner);
    for address in nodes.iter_mut().filter(|address| **address == old) {
        *address = new;
    }
    drop(nodes);
    cluster.nodes.swap(victim, fresh);
    // The old process is left to end by itself, if it was told to, and is killed with the rest.
    Ok(())
}

async fn faults(seconds: u64, seed: u64, rate: f64) -> anyhow::Result<()> {
    let mut cluster = start().await?;
    let first = cluster.nodes.iter().map(|node| node.caller_address).collect();
    let nodes: Nodes = Arc::new(Mutex::new(first));
    let begin = Instant::now();
    let end = begin + Duration::from_secs(seconds);
    let (caller, known) = (cluster.caller.clone(), nodes.clone());
    let load = tokio::spawn(async move {
        let mut tasks = JoinSet::new();
        let mut number = 0_u64;
        while Instant::now() < end {
            let at = begin + Duration::from_secs_f64(number as f64 / rate);
            tokio::time::sleep_until(at.into()).await;
            let text = format!("letter {number}");
            tasks.spawn(send_until_told(caller.clone(), known.clone(), text, seed ^ number));
            number += 1;
        }
        tasks.join_all().await
    });
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut done: BTreeMap<&str, u32> = BTreeMap::new();
    while Instant::now() < end {
        let what = break_something(&mut cluster, &nodes, &mut rng).await?;
        *done.entry(what).or_default() += 1;
        tokio::time::sleep(Duration::from_millis(rng.random_range(100..600))).await;
    }
    let told = load.await.context("the load failed")?;
    println!("seed {seed}, {seconds} s, faults {done:?}");
    compare(&cluster, &told).await
}

/// Compares what callers were told with what upstreams ran.
async fn compare(cluster: &Cluster, told: &[Told]) -> anyhow::Result<()> {
    let mut runs: BTreeMap<String, u32> = BTreeMap::new();
    for run in cluster.pool_runs("letters").await? {
        *runs.entry(run.input).or_default() += 1;
    }
    let doubled = runs.values().filter(|count| **count > 1).count();
    let mut classes: BTreeMap<String, u64> = BTreeMap::new();
    let (mut lost, mut wrong, mut untrue, mut sends) = (0, 0, 0, 0);
    for Told { text, answer, sends: times, clean } in told {
        sends += times;
        let whole = whole_letter(text);
        let input = whole.strip_prefix("dispatch(").and_then(|rest| rest.strip_suffix(')'));
        let count = runs.get(input.unwrap_or_default()).copied().unwrap_or(0);
        let class = answer.as_ref().map_or("NO_ANSWER", |answer| answer.class.as_str());
        *classes.entry(class.to_owned()).or_default() += 1;
        match class {
            "ANSWERED" => {
                lost += u32::from(count == 0);
                let output = answer.as_ref().and_then(|answer| answer.output.as_deref());
                wrong += u32::from(output != Some(whole.as_str()));
            }
            _ => {
                let advice = answer.as_ref().and_then(|answer| answer.advice.as_deref());
                let not_run = class == "NOT_RUN" && *clean;
                untrue += u32::from(count > 0 && (not_run || advice == Some("new_key")));
            }
        }
    }
    let texts: BTreeSet<_> = told.iter().map(|told| &told.text).collect();
    println!(
        "{} letters sent {sends} times, {} run; told in the end: {classes:?}",
        texts.len(),
        runs.len()
    );
    println!("doubled {doubled}, lost {lost}, misdelivered {wrong}, untrue words {untrue}");
    ensure!(doubled + (lost + wrong + untrue) as usize == 0, "a promise is broken");
    Ok(())
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    match Args::parse().what {
        What::Config { changes } => config(changes).await,
        What::Leaving => leaving().await,
        What::Outage => outage().await,
        What::Appends => appends().await,
        What::Faults { seconds, seed, rate } => faults(seconds, seed, rate).await,
    }
}

//! A long run under random faults, after which the records of upstreams and callers must agree.

use {
    crate::{letter, start_cluster},
    anyhow::{Context, ensure},
    fernring_standins::{
        caller::{Answer, Caller},
        cluster::{Cluster, NodeSpec, domain_ip},
        deployment::DOMAINS,
        platform::{AppendFault, Control},
        upstream::{Behaviour, output_of},
    },
    nix::sys::signal::Signal,
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
        time::{Duration, Instant},
    },
    tokio::task::JoinSet,
    uuid::Uuid,
};

/// Times that a caller sends a letter before it accepts the last answer.
const SENDS_MAX: u32 = 8;

fn expected_letter(text: &str) -> String {
    let stages = ["retrieve", "generate", "dispatch"];
    stages.iter().fold(text.to_owned(), |text, stage| output_of(stage, &text))
}

/// Addresses of the nodes that the balancer knows.
type Nodes = Arc<Mutex<Vec<SocketAddr>>>;

/// Final result of a letter for its caller.
#[derive(Debug)]
struct LetterResult {
    text: String,
    answer: Option<Answer>,
    sends: u32,
    /// Whether every submission got a definite answer and no duplicate was sent: then NOT_RUN for
    /// the last submission holds for all of them.
    is_settled: bool,
}

/// Sends a letter like a caller that follows the advice: retries with the same key, or with a new
/// one if the answer advises that. Sometimes the letter is sent twice, the second time as a
/// duplicate after a delay.
async fn send_until_answered(
    caller: Caller,
    nodes: Nodes,
    text: String,
    seed: u64,
) -> LetterResult {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut key = Uuid::now_v7().to_string();
    let mut last = None;
    let mut sends = 0;
    let mut is_settled = true;
    while sends < SENDS_MAX {
        sends += 1;
        let call = letter(key.clone(), &text);
        let pick = |rng: &mut SmallRng| {
            let nodes = nodes.lock().unwrap_or_else(PoisonError::into_inner);
            nodes[rng.random_range(0..nodes.len())]
        };
        let (first, second) = (pick(&mut rng), pick(&mut rng));
        if rng.random_bool(0.2) {
            // A delayed duplicate; its answer is ignored.
            is_settled = false;
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
        let is_done = answer.as_ref().is_some_and(|answer| answer.class == "ANSWERED");
        is_settled &= answer.as_ref().is_some_and(|answer| answer.class != "UNKNOWN");
        last = answer.or(last);
        if is_done {
            break;
        }
        if advice.as_deref() == Some("new_key") {
            key = Uuid::now_v7().to_string();
        }
        tokio::time::sleep(Duration::from_millis(wait_ms.clamp(50, 1_000))).await;
    }
    LetterResult { text, answer: last, sends, is_settled }
}

/// Injects one random fault into the cluster and reverts it where possible.
async fn inject_fault(
    cluster: &mut Cluster,
    nodes: &Nodes,
    rng: &mut SmallRng,
) -> anyhow::Result<&'static str> {
    // The nodes that the balancer knows come first; replaced ones follow.
    let known = nodes.lock().unwrap_or_else(PoisonError::into_inner).len();
    let victim = rng.random_range(0..known);
    let pause = Duration::from_millis(rng.random_range(200..2_000));
    let what = match rng.random_range(0..8) {
        0 => {
            cluster.nodes[victim].process.kill();
            replace_node(cluster, nodes, victim).await?;
            "kill"
        }
        1 => {
            cluster.nodes[victim].process.signal(Signal::SIGTERM)?;
            replace_node(cluster, nodes, victim).await?;
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
                cluster.partitions.partition(domain_ip(domain), domain_ip(other));
            }
            let cut = Control { cut: vec![domain_ip(domain)], ..Control::default() };
            cluster.control_platform(&cut).await?;
            tokio::time::sleep(pause).await;
            cluster.partitions.heal();
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

/// Starts a node in place of one that was killed or stopped.
async fn replace_node(cluster: &mut Cluster, nodes: &Nodes, victim: usize) -> anyhow::Result<()> {
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
    // The old process may still be draining; it is killed at the end of the run like all others.
    Ok(())
}

pub(crate) async fn measure(seconds: u64, seed: u64, rate: f64) -> anyhow::Result<()> {
    let mut cluster = start_cluster().await?;
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
            tasks.spawn(send_until_answered(caller.clone(), known.clone(), text, seed ^ number));
            number += 1;
        }
        tasks.join_all().await
    });
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut faults: BTreeMap<&str, u32> = BTreeMap::new();
    while Instant::now() < end {
        let what = inject_fault(&mut cluster, &nodes, &mut rng).await?;
        *faults.entry(what).or_default() += 1;
        tokio::time::sleep(Duration::from_millis(rng.random_range(100..600))).await;
    }
    let results = load.await.context("the load failed")?;
    println!("seed {seed}, {seconds} s, faults {faults:?}");
    compare(&cluster, &results).await
}

/// Compares the answers to callers with the runs of upstreams.
async fn compare(cluster: &Cluster, results: &[LetterResult]) -> anyhow::Result<()> {
    let mut runs: BTreeMap<String, u32> = BTreeMap::new();
    for run in cluster.pool_runs("letters").await? {
        *runs.entry(run.input).or_default() += 1;
    }
    let doubled = runs.values().filter(|count| **count > 1).count();
    let mut classes: BTreeMap<String, u64> = BTreeMap::new();
    let (mut lost, mut wrong, mut untrue, mut sends) = (0, 0, 0, 0);
    for LetterResult { text, answer, sends: times, is_settled } in results {
        sends += times;
        let expected = expected_letter(text);
        let input = expected.strip_prefix("dispatch(").and_then(|rest| rest.strip_suffix(')'));
        let count = runs.get(input.unwrap_or_default()).copied().unwrap_or(0);
        let class = answer.as_ref().map_or("NO_ANSWER", |answer| answer.class.as_str());
        *classes.entry(class.to_owned()).or_default() += 1;
        match class {
            "ANSWERED" => {
                lost += u32::from(count == 0);
                let output = answer.as_ref().and_then(|answer| answer.output.as_deref());
                wrong += u32::from(output != Some(expected.as_str()));
            }
            _ => {
                let advice = answer.as_ref().and_then(|answer| answer.advice.as_deref());
                let not_run = class == "NOT_RUN" && *is_settled;
                untrue += u32::from(count > 0 && (not_run || advice == Some("new_key")));
            }
        }
    }
    let texts: BTreeSet<_> = results.iter().map(|result| &result.text).collect();
    println!(
        "{} letters sent {sends} times, {} run; told in the end: {classes:?}",
        texts.len(),
        runs.len()
    );
    println!("doubled {doubled}, lost {lost}, misdelivered {wrong}, untrue words {untrue}");
    ensure!(doubled + (lost + wrong + untrue) as usize == 0, "a promise is broken");
    Ok(())
}

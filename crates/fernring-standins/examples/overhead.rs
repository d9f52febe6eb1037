//! Measures the latency that a node adds to a request of four stages, compared with direct calls to
//! the stand-ins in the same run; requests per second per core; resident memory idle and under
//! load.

use {
    clap::Parser,
    fernring::upstream::{RunPart, RunRequest},
    fernring_standins::{
        caller::Call,
        cluster::{Cluster, ClusterSpec, NodeSpec},
        deployment::{
            Deployment, PipelineSpec, PoolSpec, WorkspaceSpec, pipeline, stage, workspace,
        },
        upstream::Behaviour,
    },
    hdrhistogram::Histogram,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::task::JoinSet,
    uuid::Uuid,
};

const STAGES: [&str; 4] = ["encode", "retrieve", "rerank", "generate"];

/// Measure what a node adds to a request of four stages.
#[derive(Debug, Parser)]
struct Args {
    /// Requests of each kind, one after the other and in turn
    #[arg(long, default_value_t = 2_000)]
    requests: u32,
    /// Callers at once under load
    #[arg(long, default_value_t = 32)]
    callers: u32,
    /// Length of the load, in seconds
    #[arg(long, default_value_t = 5)]
    seconds: u64,
}

fn deployment() -> Deployment {
    let behaviour =
        Behaviour { service_ms: 0.0, spread: 0.0, concurrency: 64, ..Behaviour::default() };
    let pool = |pool| PoolSpec { pool, count: 3, behaviour: behaviour.clone() };
    let stages = STAGES.iter().map(|name| stage(name, name, 1, 0)).collect();
    Deployment {
        name: "overhead",
        pools: STAGES.into_iter().map(pool).collect(),
        pipelines: vec![PipelineSpec {
            name: "four",
            pipeline: pipeline(stages, 30_000),
            traffic: 1,
        }],
        workspaces: vec![WorkspaceSpec { name: "members", workspace: workspace(1), traffic: 1 }],
    }
}

async fn call_directly(client: &reqwest::Client, stages: &[SocketAddr]) -> anyhow::Result<()> {
    let mut input = "x".to_owned();
    for (index, address) in stages.iter().enumerate() {
        let body = RunRequest {
            request: Uuid::now_v7(),
            stage: STAGES[index].to_owned(),
            stage_index: index as u16,
            attempt: 1,
            prefix: 1,
            remaining_ms: 30_000,
            input: input.as_str().into(),
        };
        let request = client.post(format!("http://{address}/v1/run")).json(&body);
        let part: RunPart = request.send().await?.json().await?;
        input = part.text.to_string();
    }
    Ok(())
}

fn quantile_us(histogram: &Histogram<u64>, share: f64) -> u64 {
    histogram.value_at_quantile(share)
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let args = Args::parse();
    let cluster = Cluster::start(ClusterSpec {
        deployment: deployment(),
        nodes: vec![NodeSpec { failure_domain: "a" }],
        extra_settings: "[log]\nlevel = \"decision\"\n".to_owned(),
        process_per_upstream: false,
    })
    .await?;
    let node = &cluster.nodes[0];
    let stages: Vec<SocketAddr> =
        STAGES.iter().map(|name| cluster.upstreams[&format!("{name}-0")].address).collect();
    let call = Call { workspace: "members".into(), input: "x".into(), ..Call::default() };
    let client = reqwest::Client::builder().no_proxy().build()?;
    let idle = node.process.usage();
    let mut via_node = Histogram::<u64>::new(3)?;
    let mut direct = Histogram::<u64>::new(3)?;
    for _ in 0..args.requests {
        let begin = Instant::now();
        call_directly(&client, &stages).await?;
        direct.record(begin.elapsed().as_micros() as u64)?;
        let begin = Instant::now();
        cluster.caller.call(node.caller_address, "four", &call).await?;
        via_node.record(begin.elapsed().as_micros() as u64)?;
    }
    println!("one at a time, {} requests of four stages each way:", args.requests);
    println!(
        "  direct     median {} us, p99 {} us",
        quantile_us(&direct, 0.5),
        quantile_us(&direct, 0.99)
    );
    println!(
        "  fernring   median {} us, p99 {} us",
        quantile_us(&via_node, 0.5),
        quantile_us(&via_node, 0.99)
    );
    println!(
        "  added      median {} us, p99 {} us",
        quantile_us(&via_node, 0.5).saturating_sub(quantile_us(&direct, 0.5)),
        quantile_us(&via_node, 0.99).saturating_sub(quantile_us(&direct, 0.99))
    );

    let before = node.process.usage();
    let begin = Instant::now();
    let end = begin + Duration::from_secs(args.seconds);
    let mut tasks = JoinSet::new();
    for _ in 0..args.callers {
        let (caller, call, address) = (cluster.caller.clone(), call.clone(), node.caller_address);
        tasks.spawn(async move {
            let mut answered = 0_u64;
            while Instant::now() < end {
                let answer = caller.call(address, "four", &call).await;
                answered += u64::from(answer.is_ok_and(|answer| answer.code == 1000));
            }
            answered
        });
    }
    let answered: u64 = tasks.join_all().await.into_iter().sum();
    let elapsed_s = begin.elapsed().as_secs_f64();
    let after = node.process.usage();
    if let (Some(idle), Some(before), Some(after)) = (idle, before, after) {
        let cpu_s = (after.cpu_ms - before.cpu_ms) as f64 / 1_000.0;
        println!("under load, {} callers for {elapsed_s:.1} s:", args.callers);
        println!(
            "  {:.0} requests/s, {:.2} cores, {:.0} requests/s per core",
            answered as f64 / elapsed_s,
            cpu_s / elapsed_s,
            answered as f64 / cpu_s
        );
        println!(
            "  resident memory: {} kB idle, {} kB under load",
            idle.resident_kb, after.resident_kb
        );
    }
    Ok(())
}

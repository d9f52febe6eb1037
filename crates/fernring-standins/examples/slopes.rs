//! Measures the slopes in docs/CAPACITY.md: the cost of a node's control work as the number of
//! nodes in its failure domain, upstreams, workspaces, configuration changes or claims grows, one
//! at a time. Processor time and memory are those of the node, as read from `/proc`.

use {
    clap::{Parser, ValueEnum},
    fernring_core::{
        catalog::{Catalog, Workspace},
        change::{Change, Operation, Snapshot, apply},
    },
    fernring_standins::{
        caller::Call,
        cluster::{Cluster, ClusterSpec, NodeSpec},
        deployment::{
            Deployment, PipelineSpec, PoolSpec, WorkspaceSpec, effect, pipeline, stage, workspace,
        },
        process::Usage,
        upstream::Behaviour,
    },
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::task::JoinSet,
    uuid::Uuid,
};

/// The quantity that is varied.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
enum Axis {
    /// Nodes of the failure domain
    Nodes,
    /// Upstreams of the failure domain, with one node
    Upstreams,
    /// Upstreams of the failure domain, with eight nodes that split the asking
    SharedUpstreams,
    /// Workspaces in the configuration
    Workspaces,
    /// Configuration changes a second
    Changes,
    /// Claims a second, all from this node
    Claims,
}

/// Measure the slopes of a node's control work.
#[derive(Debug, Parser)]
struct Args {
    /// What to vary; all if none is given
    #[arg(long, value_enum)]
    axis: Option<Axis>,
    /// Time over which each point is measured, in seconds
    #[arg(long, default_value_t = 5)]
    seconds: u64,
}

fn deployment(upstreams: usize) -> Deployment {
    let behaviour =
        Behaviour { service_ms: 1.0, spread: 0.0, concurrency: 64, ..Behaviour::default() };
    Deployment {
        name: "slopes",
        pools: vec![PoolSpec { pool: "letters", count: upstreams, behaviour }],
        pipelines: vec![PipelineSpec {
            name: "letter",
            pipeline: pipeline(vec![effect("post", "letters", 1)], 30_000),
            traffic: 1,
        }],
        workspaces: vec![WorkspaceSpec { name: "members", workspace: workspace(1), traffic: 1 }],
    }
}

async fn cluster(nodes: usize, upstreams: usize) -> anyhow::Result<Cluster> {
    Cluster::start(ClusterSpec {
        deployment: deployment(upstreams),
        nodes: vec![NodeSpec { failure_domain: "a" }; nodes],
        extra_settings: "[log]\nlevel = \"info\"\n".to_owned(),
        process_per_upstream: false,
    })
    .await
}

/// Measures the first node for `seconds`, or longer if `work` takes longer, and prints one row.
async fn measure_row(
    cluster: &Cluster,
    axis: &str,
    value: f64,
    seconds: u64,
    work: impl Future<Output = anyhow::Result<u64>>,
) -> anyhow::Result<()> {
    let usage = cluster.nodes[0].process.usage();
    let begin = Instant::now();
    let wait = tokio::time::sleep(Duration::from_secs(seconds));
    let (count, ()) = tokio::join!(work, wait);
    print_row(cluster, axis, value, usage, begin, count?);
    Ok(())
}

fn print_row(
    cluster: &Cluster,
    axis: &str,
    value: f64,
    before: Option<Usage>,
    begin: Instant,
    count: u64,
) {
    let elapsed_s = begin.elapsed().as_secs_f64();
    if let (Some(before), Some(after)) = (before, cluster.nodes[0].process.usage()) {
        let cpu = (after.cpu_ms - before.cpu_ms) as f64 / (elapsed_s * 10.0);
        println!(
            "{axis:<11} {value:>8.2}  {cpu:>6.2} % of a core  {:>8} kB  {:>8.1} done/s",
            after.resident_kb,
            count as f64 / elapsed_s
        );
    }
}

async fn no_work() -> anyhow::Result<u64> {
    Ok(0)
}

async fn measure(axis: Axis, seconds: u64) -> anyhow::Result<()> {
    match axis {
        Axis::Nodes => {
            for nodes in [1, 4, 8, 16, 24] {
                let cluster = cluster(nodes, 3).await?;
                tokio::time::sleep(Duration::from_secs(1)).await;
                measure_row(&cluster, "nodes", nodes as f64, seconds, no_work()).await?;
            }
        }
        Axis::Upstreams => {
            for upstreams in [3, 30, 90, 180, 360] {
                // A third of the upstreams is in the failure domain of the node.
                let cluster = cluster(1, upstreams).await?;
                measure_row(&cluster, "upstreams", (upstreams / 3) as f64, seconds, no_work())
                    .await?;
            }
        }
        Axis::SharedUpstreams => {
            for upstreams in [3, 90, 180, 360] {
                let cluster = cluster(8, upstreams).await?;
                tokio::time::sleep(Duration::from_secs(2)).await;
                measure_row(&cluster, "shared", (upstreams / 3) as f64, seconds, no_work()).await?;
            }
        }
        Axis::Workspaces => {
            for workspaces in [10, 1_000, 4_000, 14_000] {
                let mut cluster = cluster(1, 3).await?;
                cluster.publish(new_workspaces(workspaces)).await?;
                cluster.settle().await?;
                measure_row(&cluster, "workspaces", workspaces as f64, seconds, no_work()).await?;
            }
        }
        Axis::Changes => {
            let mut cluster = cluster(1, 3).await?;
            cluster.publish(new_workspaces(14_000)).await?;
            cluster.settle().await?;
            for per_s in [0.25, 1.0, 4.0, 16.0] {
                let usage = cluster.nodes[0].process.usage();
                let begin = Instant::now();
                let count = publish_changes(&mut cluster, per_s, seconds).await?;
                cluster.settle().await?;
                print_row(&cluster, "changes/s", per_s, usage, begin, count);
            }
        }
        Axis::Claims => {
            for per_s in [10.0, 50.0, 200.0, 500.0] {
                let cluster = cluster(1, 3).await?;
                let work = send_letters(&cluster, per_s, seconds);
                measure_row(&cluster, "claims/s", per_s, seconds, work).await?;
                let appends: Vec<fernring_standins::platform::StreamCount> =
                    cluster.caller.get(cluster.platform, "/control/appends").await?;
                println!("            {appends:?}");
            }
        }
    }
    Ok(())
}

fn new_workspaces(count: usize) -> Vec<Operation> {
    let put = |index| Operation::PutWorkspace {
        name: format!("customer-{index:05}"),
        workspace: Arc::new(Workspace { weight: 1, limit_per_s: 0, pipelines: Vec::new() }),
    };
    (0..count).map(put).collect()
}

async fn publish_changes(cluster: &mut Cluster, per_s: f64, seconds: u64) -> anyhow::Result<u64> {
    let begin = Instant::now();
    let count = (per_s * seconds as f64).max(1.0) as u64;
    for number in 0..count {
        let at = begin + Duration::from_secs_f64(number as f64 / per_s);
        tokio::time::sleep_until(at.into()).await;
        let weight = 2 + number as u32;
        let workspace = Arc::new(Workspace { weight, limit_per_s: 0, pipelines: Vec::new() });
        let name = format!("customer-{:05}", number % 14_000);
        cluster.publish(vec![Operation::PutWorkspace { name, workspace }]).await?;
    }
    tokio::time::sleep_until((begin + Duration::from_secs(seconds)).into()).await;
    Ok(count)
}

async fn send_letters(cluster: &Cluster, per_s: f64, seconds: u64) -> anyhow::Result<u64> {
    let begin = Instant::now();
    let mut tasks = JoinSet::new();
    for number in 0..(per_s * seconds as f64) as u64 {
        let at = begin + Duration::from_secs_f64(number as f64 / per_s);
        tokio::time::sleep_until(at.into()).await;
        let (caller, address) = (cluster.caller.clone(), cluster.nodes[0].caller_address);
        let key = Some(Uuid::now_v7().to_string());
        let input = format!("letter {number}");
        let call = Call { workspace: "members".into(), key, input, ..Call::default() };
        tasks.spawn(async move {
            let answer = caller.call(address, "letter", &call).await;
            u64::from(answer.is_ok_and(|answer| answer.code == 1000))
        });
    }
    Ok(tasks.join_all().await.into_iter().sum())
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let args = Args::parse();
    let axes = [
        Axis::Nodes,
        Axis::Upstreams,
        Axis::SharedUpstreams,
        Axis::Workspaces,
        Axis::Changes,
        Axis::Claims,
    ];
    for axis in axes.into_iter().filter(|axis| args.axis.is_none_or(|only| only == *axis)) {
        measure(axis, args.seconds).await?;
    }
    print_sizes()
}

/// Prints the encoded sizes of configuration records with 14,000 workspaces, and of single
/// declarations.
fn print_sizes() -> anyhow::Result<()> {
    let operations = new_workspaces(14_000);
    let change = Change { base: 0, id: Uuid::nil(), author: "size".into(), operations };
    let catalog = apply(&Catalog::default(), 0, &change)?;
    let snapshot = Snapshot { version: 1, folded_to: 1, catalog };
    println!("snapshot of 14,000 workspaces: {} bytes", serde_json::to_vec(&snapshot)?.len());
    let single = Change { operations: new_workspaces(1), ..change };
    println!("change of one workspace: {} bytes", serde_json::to_vec(&single)?.len());
    let stage = stage("generate", "engines", 1, 1);
    println!("a stage's declaration: {} bytes", serde_json::to_vec(&stage)?.len());
    Ok(())
}

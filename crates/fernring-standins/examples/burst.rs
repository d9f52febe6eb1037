//! Measures the policy: sends a burst to real nodes with stand-ins, once with the baseline policy
//! and once with the full policy, or with other settings.

use {
    anyhow::Context,
    clap::{Parser, ValueEnum},
    fernring_standins::{
        burst::{BurstReport, BurstSpec, Flood, run},
        cluster::{Cluster, ClusterSpec, domain_ip, nodes_per_domain},
        deployment::{Deployment, qazyna, teifi},
        platform::Control,
        upstream::Behaviour,
    },
    serde::Serialize,
    std::{collections::BTreeMap, fs, net::SocketAddr, path::PathBuf, time::Duration},
};

/// Share of the run after which the fault begins.
const FAULT_AT: f64 = 0.4;

/// Shape of the deployment.
#[derive(Debug, Clone, Copy, ValueEnum)]
enum Shape {
    Qazyna,
    Teifi,
}

/// Fault that is injected during the peak.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
enum Fault {
    None,
    /// The upstreams of the first plain pool take ten times as long
    SlowStage,
    /// One engine takes attempts and never ends them
    StallOne,
    /// A third of the engines dies
    ThirdGone,
    /// Reports of load no longer change
    FrozenReports,
    /// One failure domain is cut off from the platform and the other domains
    DomainCut,
    /// One node is killed
    NodeKilled,
    /// The largest workspace sends five times its traffic
    Flood,
}

/// Measure the policy against the plain baseline.
#[derive(Debug, Parser)]
struct Args {
    /// Shape of the deployment
    #[arg(long, value_enum, default_value = "teifi")]
    shape: Shape,
    /// What goes wrong
    #[arg(long, value_enum, default_value = "none")]
    fault: Fault,
    /// Peak rate, in requests a second
    #[arg(long, default_value_t = 60.0)]
    peak: f64,
    /// Length of each run, in seconds
    #[arg(long, default_value_t = 10)]
    seconds: u64,
    /// Seed of the schedule
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Nodes in each failure domain
    #[arg(long, default_value_t = 3)]
    nodes: usize,
    /// Policies to compare, each as NAME=SETTINGS with settings of table [policy] split by commas
    #[arg(long, default_values = ["baseline=mode='baseline'", "full=mode='full'"])]
    policy: Vec<String>,
    /// File for the results, in JSON
    #[arg(long)]
    json: Option<PathBuf>,
}

#[derive(Debug, Serialize)]
struct Results {
    shape: String,
    fault: String,
    peak_per_s: f64,
    seconds: u64,
    seed: u64,
    runs: BTreeMap<String, BurstReport>,
}

fn deployment(args: &Args) -> Deployment {
    match args.shape {
        Shape::Qazyna => qazyna(),
        Shape::Teifi => teifi(),
    }
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let args = Args::parse();
    let mut runs = BTreeMap::new();
    for policy in &args.policy {
        let (name, settings) = policy.split_once('=').context("--policy must be NAME=SETTINGS")?;
        let report = measure(&args, settings).await?;
        print_report(name, &report);
        runs.insert(name.to_owned(), report);
    }
    let results = Results {
        shape: format!("{:?}", args.shape).to_lowercase(),
        fault: format!("{:?}", args.fault),
        peak_per_s: args.peak,
        seconds: args.seconds,
        seed: args.seed,
        runs,
    };
    if let Some(path) = &args.json {
        fs::write(path, serde_json::to_string_pretty(&results)?)?;
    }
    Ok(())
}

async fn measure(args: &Args, policy: &str) -> anyhow::Result<BurstReport> {
    let deployment = deployment(args);
    let extra_settings = format!(
        "[log]\nlevel = \"info\"\n[policy]\n{}\n",
        policy.replace(',', "\n").replace('\'', "\"")
    );
    let mut cluster = Cluster::start(ClusterSpec {
        deployment: deployment.clone(),
        nodes: nodes_per_domain(args.nodes),
        extra_settings,
        process_per_upstream: args.fault == Fault::ThirdGone,
    })
    .await?;
    let flood = (args.fault == Fault::Flood)
        .then(|| Flood { workspace: deployment.workspaces[0].name.to_owned(), multiple: 5.0 });
    let length = Duration::from_secs(args.seconds);
    let spec = BurstSpec { peak_per_s: args.peak, length, seed: args.seed, flood };
    let fault_at = length.mul_f64(FAULT_AT);
    let all: Vec<SocketAddr> = cluster.nodes.iter().map(|node| node.caller_address).collect();
    // The balancer notices a killed node after 1 s.
    let noticed_at = fault_at + Duration::from_secs(1);
    let kills_node = args.fault == Fault::NodeKilled;
    let alive = |at: Duration| match kills_node && at > noticed_at {
        true => all[1..].to_vec(),
        false => all.clone(),
    };
    let mut victims = Victims::default();
    if kills_node {
        victims.node = Some(cluster.nodes[0].process.killer());
    }
    if args.fault == Fault::ThirdGone {
        victims.engines = cluster.take_processes("engines", 3);
    }
    let (report, fault) = tokio::join!(run(&cluster, &deployment, &spec, alive), async {
        tokio::time::sleep(fault_at).await;
        inject_fault(args.fault, &cluster, &deployment, victims).await
    });
    fault?;
    Ok(report)
}

/// Processes that a fault kills.
#[derive(Default)]
struct Victims {
    node: Option<fernring_standins::process::Killer>,
    engines: Vec<fernring_standins::process::Process>,
}

async fn inject_fault(
    fault: Fault,
    cluster: &Cluster,
    deployment: &Deployment,
    victims: Victims,
) -> anyhow::Result<()> {
    let change_pool = |pool: &'static str, change: fn(Behaviour) -> Behaviour| async move {
        for (name, handle) in &cluster.upstreams {
            if handle.spec.pool == pool {
                cluster.control_upstream(name, &change(handle.spec.behaviour.clone())).await?;
            }
        }
        anyhow::Ok(())
    };
    match fault {
        Fault::None | Fault::Flood => Ok(()),
        Fault::SlowStage => {
            let plain_pool = deployment.pools.iter().find(|pool| !pool.behaviour.engine);
            let pool = plain_pool.context("no plain pool")?.pool;
            change_pool(pool, |b| Behaviour { service_ms: b.service_ms * 10.0, ..b }).await
        }
        Fault::StallOne => {
            let handle = &cluster.upstreams["engines-0"];
            let stalled = Behaviour { stall: true, ..handle.spec.behaviour.clone() };
            cluster.control_upstream("engines-0", &stalled).await
        }
        Fault::ThirdGone => {
            drop(victims.engines);
            Ok(())
        }
        Fault::FrozenReports => {
            change_pool("engines", |b| Behaviour { report_lag_ms: u64::MAX / 2, ..b }).await
        }
        Fault::DomainCut => {
            for other in ["b", "c"] {
                cluster.partitions.partition(domain_ip("a"), domain_ip(other));
            }
            let cut = Control { cut: vec![domain_ip("a")], ..Control::default() };
            cluster.control_platform(&cut).await
        }
        Fault::NodeKilled => {
            victims.node.context("no node")?.kill();
            Ok(())
        }
    }
}

fn print_report(name: &str, report: &BurstReport) {
    let percent = |share: f64| share * 100.0;
    println!(
        "{name:<14} attainment {:5.1}%  goodput {:6.1}/s  median {:6.0} ms  p99 {:6.0} ms  \
         refused in {:4.0} ms  extra {:4.1}%",
        percent(report.total.attainment()),
        report.goodput_per_s,
        report.median_ms,
        report.p99_ms,
        report.refusal_p99_ms,
        report.extra_percent
    );
    println!("{:14} {:?}", "", report.total.classes);
    let line = |groups: &BTreeMap<String, fernring_standins::burst::Outcomes>| {
        let shares =
            groups.iter().map(|(name, o)| format!("{name} {:.1}%", percent(o.attainment())));
        shares.collect::<Vec<_>>().join(", ")
    };
    println!("{:14} by workspace: {}", "", line(&report.workspaces));
    println!("{:14} by pipeline: {}", "", line(&report.pipelines));
    let costs = report.stages.iter().map(|(stage, cost)| {
        let all = (cost.useful_ms + cost.wasted_ms()).max(1.0);
        format!("{stage} {:.0} s ({:.1}% wasted)", all / 1_000.0, percent(cost.wasted_ms() / all))
    });
    println!("{:14} cost by stage: {}", "", costs.collect::<Vec<_>>().join(", "));
}

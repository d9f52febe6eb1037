//! A tour of the main use case: starts a stand-in platform, upstreams and nodes in three failure
//! domains, plans and confirms an event, serves its crowd, prints a summary and ends all processes.

use {
    anyhow::{Context, ensure},
    fernring_standins::{
        burst::{BurstReport, BurstSpec, run},
        caller::Call,
        cluster::{Cluster, ClusterSpec, nodes_per_domain},
        deployment::teifi,
        process::find_program,
    },
    std::{fs, net::SocketAddr, path::Path, process::Command, time::Duration},
    tempfile::TempDir,
};

/// Peak rate of the event, in requests per second.
const PEAK_PER_S: f64 = 30.0;
/// Duration of the load.
const LENGTH: Duration = Duration::from_secs(5);

const EVENT: &str = "name = \"morning-shift\"\npipeline = \"round-plan\"\n\
                     start = 2100-01-01T05:30:00Z\nduration_s = 600\ncrowd = 6000\n\
                     deadline_ms = 2000\nmodel = \"rounds-v2\"\n";

fn fernctl(platform: SocketAddr, directory: &Path, args: &[&str]) -> anyhow::Result<()> {
    println!("\n$ fernctl {}", args.join(" "));
    let mut command = Command::new(find_program("fernctl")?);
    command.args(args).current_dir(directory).env("FERNRING_LOG", platform.to_string());
    let status = command.status().context("could not start fernctl")?;
    ensure!(status.success(), "fernctl ended with {status}");
    Ok(())
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let deployment = teifi();
    println!("starting the platform, {} upstreams and 3 nodes", deployment.upstreams().len());
    let cluster = Cluster::start(ClusterSpec {
        deployment: deployment.clone(),
        nodes: nodes_per_domain(1),
        extra_settings: "[log]\nlevel = \"info\"\n".to_owned(),
        process_per_upstream: false,
    })
    .await?;

    let directory = TempDir::new()?;
    fs::write(directory.path().join("event.toml"), EVENT)?;
    fernctl(cluster.platform, directory.path(), &["plan", "event.toml"])?;
    fernctl(cluster.platform, directory.path(), &["confirm", "plan.json"])?;

    let nodes: Vec<SocketAddr> = cluster.nodes.iter().map(|node| node.caller_address).collect();
    let call = Call {
        workspace: "drivers-day".to_owned(),
        input: "the farms of Dyffryn Teifi".to_owned(),
        ..Call::default()
    };
    println!("\none request, its answer streamed:");
    let streamed = cluster.caller.stream(nodes[0], "round-plan", &call).await?;
    println!("  {} parts: {}", streamed.parts.len(), streamed.parts.join("|"));

    println!("\nthe crowd: {PEAK_PER_S} requests a second at the peak, for {LENGTH:?}");
    let spec = BurstSpec { peak_per_s: PEAK_PER_S, length: LENGTH, seed: 1, flood: None };
    let report = run(&cluster, &deployment, &spec, |_| nodes.clone()).await;
    print_summary(&report);
    fernctl(cluster.platform, directory.path(), &["status", &nodes[0].to_string()])?;
    drop(cluster);
    println!("\nevery process has been ended");
    ensure!(report.total.attainment() > 0.9, "the crowd was not served");
    Ok(())
}

fn print_summary(report: &BurstReport) {
    let percent = report.total.attainment() * 100.0;
    println!("  attainment {percent:.1}% of {} requests", report.total.sent);
    println!("  median {:.0} ms, 99th percentile {:.0} ms", report.median_ms, report.p99_ms);
    println!("  cost by stage:");
    for (stage, cost) in &report.stages {
        let wasted = cost.wasted_ms();
        println!("    {stage:<10} {:8.0} ms useful, {wasted:6.0} ms wasted", cost.useful_ms);
    }
}

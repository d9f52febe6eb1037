//! A soak test of the gateway under random faults: real `fernring gateway` processes, with
//! stand-ins for the store and the upstreams that speak the platform's protocol. Faults are
//! injected from outside, and guarantees are checked only from what callers and upstreams observed.
//!
//! ```text
//! cargo build --release --workspace --all-targets
//! target/release/examples/soak --seconds 60 --seed 1
//! ```
//!
//! Exits with status 1 and keeps the nodes' logs if a guarantee was violated.

mod callers;
mod faults;
mod ledger;
mod nodes;
mod rollouts;
mod upstreams;
mod versions;

use {
    anyhow::{Context, bail},
    clap::Parser,
    fernring_standins::store::StandinStore,
    ledger::Ledger,
    rand::{SeedableRng, rngs::StdRng},
    std::{sync::Arc, time::Duration},
};

/// Time to wait after the last request for everything in flight: a request's deadline plus 1.5 s.
const SETTLE_TIME: Duration = Duration::from_millis(callers::DEADLINE_MS + 1_500);
/// Minimum share of requests that must be served, so that a gateway that refuses everything fails.
const SERVED_SHARE_MIN: f64 = 0.6;

/// Run nodes under faults and check what callers and upstreams saw.
#[derive(Debug, Parser)]
struct Args {
    /// Length, in seconds
    #[arg(long, default_value_t = 30)]
    seconds: u64,
    /// Seed of the faults and of the requests
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Requests a second
    #[arg(long, default_value_t = 80.0)]
    rate: f64,
    /// Nodes, spread over three failure domains
    #[arg(long, default_value_t = 6)]
    nodes: usize,
    /// Only this kind of fault; all if none is named
    #[arg(long)]
    only: Option<faults::FaultKind>,
    /// Inject all faults but changes of versions with an end of all nodes.
    #[arg(long, conflicts_with = "only")]
    without_versions: bool,
    /// Keep the nodes' logs also if no guarantee was violated
    #[arg(long)]
    keep_logs: bool,
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let args = Args::parse();
    let ledger = Arc::new(Ledger::default());
    let store = StandinStore::start().await?;
    let upstreams = upstreams::Upstreams::start(store.clone(), ledger.clone()).await?;
    store.put_config(1);
    let nodes = Arc::new(nodes::Nodes::start(args.nodes, store.address)?);
    nodes.wait_until_ready().await.context("the nodes did not get ready")?;
    let end = tokio::time::Instant::now() + Duration::from_secs(args.seconds);
    let system =
        faults::SystemUnderTest { store, upstreams, nodes: nodes.clone(), ledger: ledger.clone() };
    let has_limits = args.only.is_none_or(|kind| kind == faults::FaultKind::Limit);
    let limits = async {
        if has_limits {
            faults::announce_limits(system.clone(), StdRng::seed_from_u64(!args.seed), end).await;
        }
    };
    let has_overload = args.only.is_none_or(|kind| kind == faults::FaultKind::Overload);
    let overload = async {
        if has_overload {
            let random = StdRng::seed_from_u64(!args.seed.rotate_left(1));
            faults::overload_upstreams(system.clone(), random, end).await;
        }
    };
    let faults =
        faults::inject_faults(system.clone(), StdRng::seed_from_u64(args.seed), args.only, end);
    let checks_streams = args.only == Some(faults::FaultKind::Silence);
    let (seed, rate) = (args.seed, args.rate);
    let load =
        callers::generate_load(nodes.clone(), ledger.clone(), seed, rate, checks_streams, end);
    let has_rollouts = args.only.is_none_or(|kind| kind == faults::FaultKind::Rollout);
    let rollouts = async {
        match has_rollouts {
            true => {
                let random = StdRng::seed_from_u64(args.seed.rotate_left(1));
                rollouts::order_rollouts(system.clone(), random, end).await
            }
            false => Ok(()),
        }
    };
    let has_versions =
        !args.without_versions && args.only.is_none_or(|kind| kind == faults::FaultKind::Versions);
    let streams = Arc::new(versions::Streams::default());
    let versions = async {
        match has_versions {
            true => {
                versions::change_versions(system.clone(), streams.clone(), args.seed, end).await
            }
            false => Ok(()),
        }
    };
    let (faults, (), (), rollouts, versions, ()) =
        tokio::join!(faults, limits, overload, rollouts, versions, load);
    faults.and(rollouts).and(versions)?;
    tokio::time::sleep(SETTLE_TIME).await;
    let mut report = ledger
        .check(|node, since| !nodes.was_disturbed(node, since) && !nodes.was_stopping(node, since));
    report.violations.extend(nodes.take_unexpected_ends()?);
    let (lines, lost) = streams.check();
    report.violations.extend(lost);
    println!("{}\n{}", report.summary, lines.join("\n"));
    report.violations.iter().for_each(|violation| println!("BROKEN {violation}"));
    let mut failures = Vec::new();
    if !report.violations.is_empty() {
        failures.push(format!("{} promises broken", report.violations.len()));
    }
    if report.served_share() < SERVED_SHARE_MIN {
        failures.push(format!("only {:.2} of the requests were served", report.served_share()));
    }
    if !failures.is_empty() {
        bail!("{}; logs in {}", failures.join(", "), nodes.keep_logs().display());
    }
    if args.keep_logs {
        println!("logs in {}", nodes.keep_logs().display());
    }
    Ok(())
}

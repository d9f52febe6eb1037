//! Measures the guarantees with real processes: the time until a configuration is in force, the
//! time until a leaving upstream gets its last request, letters during an outage of the log, the
//! appends per letter, and a long run under random faults in which the records of upstreams and
//! callers must agree.

mod config;
mod faults;
mod leaving;
mod outage;

use {
    clap::{Parser, Subcommand},
    fernring_standins::{
        caller::Call,
        cluster::{Cluster, ClusterSpec, nodes_per_domain},
        deployment::letters,
        upstream::Behaviour,
    },
    std::time::Duration,
};

/// Pause between two polls of a measured condition.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Window of a letter, in milliseconds.
const LETTER_WINDOW_MS: u64 = 3_000;

/// Measure what must always hold.
#[derive(Debug, Parser)]
struct Args {
    #[command(subcommand)]
    what: Measurement,
}

#[derive(Debug, Subcommand)]
enum Measurement {
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

async fn start_cluster() -> anyhow::Result<Cluster> {
    let plain = Behaviour { service_ms: 10.0, concurrency: 32, ..Behaviour::default() };
    let engine = Behaviour { engine: true, parts: 4, service_ms: 40.0, ..plain.clone() };
    Cluster::start(ClusterSpec {
        deployment: letters(6, plain, engine, LETTER_WINDOW_MS),
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

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    match Args::parse().what {
        Measurement::Config { changes } => config::measure(changes).await,
        Measurement::Leaving => leaving::measure().await,
        Measurement::Outage => outage::measure().await,
        Measurement::Appends => outage::measure_appends().await,
        Measurement::Faults { seconds, seed, rate } => faults::measure(seconds, seed, rate).await,
    }
}

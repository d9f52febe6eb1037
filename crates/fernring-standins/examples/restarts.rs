//! Starts many real `fernring gateway` processes at the same moment beside a stand-in store, each
//! other and busy cores, and ends each by a signal at a random moment.
//!
//! ```text
//! cargo build --release --workspace --all-targets
//! target/release/examples/restarts --nodes 60 --rounds 50 --seed 1
//! ```
//!
//! Exits with status 1 if a process ended in another way than by its signal or with code 0.

use {
    anyhow::{Context, bail},
    clap::Parser,
    fernring_standins::{ports::free_addresses, process::Process, store::StandinStore},
    nix::sys::signal::Signal,
    rand::{RngExt, SeedableRng, rngs::StdRng, seq::IndexedRandom},
    std::{
        collections::BTreeMap,
        hint::black_box,
        io::{Read, Write},
        net::{SocketAddr, TcpStream},
        os::unix::process::ExitStatusExt,
        path::Path,
        process::ExitStatus,
        sync::{
            Arc, Barrier,
            atomic::{AtomicBool, Ordering},
        },
        thread::sleep,
        time::{Duration, Instant},
    },
    tempfile::TempDir,
};

/// Longest time from a signal to the end: the grace period of the settings and the end of a process
/// on busy cores.
const END_MAX: Duration = Duration::from_secs(20);
/// Interval at which a process is checked for its end.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Longest wait for a response to a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);
/// Log lines that are shown of a process that ended unexpectedly.
const SHOWN_LINES: usize = 20;

/// Start and end many nodes at once.
#[derive(Debug, Parser)]
struct Args {
    /// Nodes that start at the same moment
    #[arg(long, default_value_t = 60)]
    nodes: usize,
    /// Times that all nodes start
    #[arg(long, default_value_t = 10)]
    rounds: usize,
    /// Threads that keep cores busy
    #[arg(long, default_value_t = 6)]
    busy: usize,
    /// Latest moment of a signal after the start, in milliseconds
    #[arg(long, default_value_t = 1_000)]
    latest_ms: u64,
    /// Seed of the moments and signals
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// No round starts after this time, in seconds
    #[arg(long, default_value_t = 300)]
    seconds: u64,
}

/// A node's settings file and the addresses that are probed.
struct Node {
    name: String,
    settings: String,
    probed: [SocketAddr; 2],
}

/// One start of a node: the signal that ends it, and how it ended.
struct End {
    name: String,
    round: usize,
    signal: Signal,
    delay: Duration,
    /// `None` if it had to be killed after [`END_MAX`].
    status: Option<ExitStatus>,
    /// Whether it had ended before the signal was sent.
    is_early: bool,
    lines: Vec<String>,
}

impl End {
    /// Returns whether it ended by its signal or, after a signal that it handles, with code 0.
    fn is_expected(&self) -> bool {
        let Some(status) = self.status else {
            return false;
        };
        let is_stopped = self.signal != Signal::SIGKILL && status.code() == Some(0);
        !self.is_early && (is_stopped || status.signal() == Some(self.signal as i32))
    }

    fn describe(&self) -> String {
        let Self { name, round, signal, delay, status, is_early, lines } = self;
        let shown = lines.len().saturating_sub(SHOWN_LINES);
        format!(
            "UNEXPECTED {name} round={round} signal={signal} delay_ms={} early={is_early} \
             status={status:?}\n{}",
            delay.as_millis(),
            lines[shown..].join("\n")
        )
    }
}

fn write_settings(directory: &Path, count: usize, store: SocketAddr) -> anyhow::Result<Vec<Node>> {
    let free = free_addresses(count * 3)?;
    let seeds: Vec<String> =
        free.iter().skip(2).step_by(3).take(3).map(|seed| format!("\"{seed}\"")).collect();
    let seeds = seeds.join(", ");
    let node = |number: usize| {
        let [caller, ready, peer] = free[number * 3..][..3] else { unreachable!("three") };
        let name = format!("node-{number}");
        let domain = ["a", "b", "c"][number % 3];
        let text = format!(
            "[node]\nname = \"{name}\"\nfailure_domain = \"{domain}\"\n\
             caller_address = \"{caller}\"\nready_address = \"{ready}\"\n\
             peer_address = \"{peer}\"\nseeds = [{seeds}]\n\n[store]\naddress = \"{store}\"\n\n\
             [shutdown]\ngrace_s = 2\nleave_s = 1\n"
        );
        let path = directory.join(format!("{name}.toml"));
        std::fs::write(&path, text)?;
        let settings = path.to_str().context("the directory's name")?.to_owned();
        Ok(Node { name, settings, probed: [caller, ready] })
    };
    (0..count).map(node).collect()
}

/// Requests the metrics, or an unknown route, and ignores whether there is a response.
fn probe(address: SocketAddr) {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, PROBE_TIMEOUT) else {
        return;
    };
    let _ = stream.set_read_timeout(Some(PROBE_TIMEOUT));
    let _ = stream.write_all(b"GET /metrics HTTP/1.1\r\nHost: node.example\r\n\r\n");
    let _ = stream.read(&mut [0; 4096]);
}

/// Starts a node, sends it a signal at a random moment and waits for its end.
fn run_once(node: &Node, round: usize, latest: Duration, random: &mut StdRng) -> End {
    let signals = [Signal::SIGKILL, Signal::SIGTERM, Signal::SIGTERM, Signal::SIGINT];
    let signal = *signals.choose(random).unwrap_or(&Signal::SIGKILL);
    let delay = latest.mul_f64(random.random());
    let arguments = ["gateway", node.settings.as_str()];
    let mut process =
        Process::start(&node.name, "fernring", &arguments).expect("could not start a node");
    let end = Instant::now() + delay;
    while Instant::now() < end {
        if random.random_bool(0.2) {
            probe(*node.probed.choose(random).unwrap_or(&node.probed[0]));
        }
        sleep(Duration::from_millis(20).min(end.saturating_duration_since(Instant::now())));
    }
    let is_early = process.has_ended().unwrap_or(true);
    // An error is ignored: a process that has ended is reported as early.
    let _ = process.signal(signal);
    let status = wait_for_end(&mut process);
    process.kill();
    let lines = process.lines();
    End { name: node.name.clone(), round, signal, delay, status, is_early, lines }
}

fn wait_for_end(process: &mut Process) -> Option<ExitStatus> {
    let end = Instant::now() + END_MAX;
    while Instant::now() < end {
        if let Ok(Some(status)) = process.status() {
            return Some(status);
        }
        sleep(POLL_INTERVAL);
    }
    None
}

/// Runs all rounds of all nodes, each node in a thread of its own.
fn run_rounds(args: &Args, nodes: &[Node]) -> Vec<End> {
    let barrier = Barrier::new(nodes.len());
    let is_over = AtomicBool::new(false);
    let stop_at = Instant::now() + Duration::from_secs(args.seconds);
    let latest = Duration::from_millis(args.latest_ms);
    let run_node = |index: usize, node: &Node| {
        let mut random = StdRng::seed_from_u64(args.seed.rotate_left(32) ^ index as u64);
        let mut ends = Vec::new();
        for round in 0..args.rounds {
            let is_leader = barrier.wait().is_leader();
            if is_leader {
                is_over.store(Instant::now() > stop_at, Ordering::SeqCst);
            }
            barrier.wait();
            if is_over.load(Ordering::SeqCst) {
                break;
            }
            ends.push(run_once(node, round, latest, &mut random));
        }
        ends
    };
    std::thread::scope(|scope| {
        let run_node = &run_node;
        let threads: Vec<_> = nodes
            .iter()
            .enumerate()
            .map(|(index, node)| scope.spawn(move || run_node(index, node)))
            .collect();
        threads.into_iter().flat_map(|thread| thread.join().expect("a node's thread")).collect()
    })
}

/// Keeps cores busy until the flag is set.
fn start_busy_threads(count: usize) -> Arc<AtomicBool> {
    let is_done = Arc::new(AtomicBool::new(false));
    for _ in 0..count {
        let is_done = is_done.clone();
        std::thread::spawn(move || {
            let mut value = 0u64;
            while !is_done.load(Ordering::Relaxed) {
                value = black_box(value.wrapping_mul(3).wrapping_add(1));
            }
        });
    }
    is_done
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let args = Args::parse();
    let store = StandinStore::start().await?;
    store.put_config(1);
    let directory = TempDir::new()?;
    let nodes = write_settings(directory.path(), args.nodes, store.address)?;
    let is_done = start_busy_threads(args.busy);
    let ends = tokio::task::spawn_blocking(move || run_rounds(&args, &nodes)).await?;
    is_done.store(true, Ordering::Relaxed);
    let mut counts = BTreeMap::new();
    for end in &ends {
        *counts.entry((end.signal.as_str(), format!("{:?}", end.status))).or_insert(0u32) += 1;
    }
    for ((signal, status), count) in counts {
        println!("{signal:8} {status:40} {count}");
    }
    let unexpected: Vec<&End> = ends.iter().filter(|end| !end.is_expected()).collect();
    unexpected.iter().for_each(|end| println!("{}", end.describe()));
    println!("starts={} unexpected={}", ends.len(), unexpected.len());
    if !unexpected.is_empty() {
        bail!("{} of {} processes ended unexpectedly", unexpected.len(), ends.len());
    }
    Ok(())
}

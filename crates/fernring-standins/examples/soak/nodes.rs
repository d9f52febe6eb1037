//! The nodes: real processes, each with its own settings file, and the faults injected into them.

use {
    anyhow::Context,
    fernring_standins::{ports::free_addresses, process::Process},
    nix::sys::signal::Signal,
    std::{
        net::SocketAddr,
        os::unix::process::ExitStatusExt,
        path::PathBuf,
        process::ExitStatus,
        sync::{Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
    tempfile::TempDir,
};

/// Longest duration of a planned stop: the grace period and the start after it.
const STOP_MAX: Duration = Duration::from_secs(15);
/// Longest wait until all nodes are ready.
const READY_MAX: Duration = Duration::from_secs(30);
/// Time after a disturbance in which a node may still be affected by it.
const SETTLE_TIME: Duration = Duration::from_secs(4);

/// Pause between two rewrites of a settings file.
const REWRITE_PAUSE: Duration = Duration::from_millis(60);

/// One node.
struct Node {
    name: String,
    settings: String,
    process: Process,
    /// When its last disturbance ended; in the future if it still lasts.
    disturbed_until: Option<Instant>,
    /// Whether a fault is being injected into it; only one is allowed at a time.
    is_reserved: bool,
    /// When its last planned stop ended; in the future if it still lasts.
    stopping_until: Option<Instant>,
    /// Log lines of its earlier processes.
    earlier_lines: Vec<String>,
}

/// Addresses of a node.
#[derive(Debug, Clone, Copy)]
struct Addresses {
    caller: SocketAddr,
    ready: SocketAddr,
}

/// All nodes.
pub(crate) struct Nodes {
    nodes: Vec<Mutex<Node>>,
    addresses: Vec<Addresses>,
    /// Nodes that ended in another way than by the signal that they were sent.
    unexpected_ends: Mutex<Vec<String>>,
    directory: TempDir,
}

/// Returns whether a process ended by a signal, or handled it and ended with code 0.
fn is_end_by(status: ExitStatus, signal: Signal) -> bool {
    let is_stopped = signal == Signal::SIGTERM && status.code() == Some(0);
    is_stopped || status.signal() == Some(signal as i32)
}

impl Nodes {
    /// Starts nodes that use a store.
    pub(crate) fn start(count: usize, store: SocketAddr) -> anyhow::Result<Self> {
        let directory = tempfile::tempdir()?;
        let mut nodes = Vec::new();
        let mut addresses = Vec::new();
        // Found all at once: separate searches could find the same port for two nodes before the
        // first one has bound it.
        let free = free_addresses(count * 3)?;
        for number in 0..count {
            let [caller, ready, peer] = free[number * 3..][..3] else { unreachable!("three") };
            let name = format!("node-{number}");
            let domain = ["a", "b", "c"][number % 3];
            let settings_text = format!(
                "[node]\nname = \"{name}\"\nfailure_domain = \"{domain}\"\ncaller_address = \"{caller}\"\n\
                 ready_address = \"{ready}\"\npeer_address = \"{peer}\"\n\n[store]\naddress = \"{store}\"\n\n\
                 [retries]\nratio = 0.2\nslack = 50\nwindow_s = 10\n\n[rollout]\nshare = 0.1\nslack = 50\n\n[shutdown]\ngrace_s = 8\nleave_s = 1\n"
            );
            let path = directory.path().join(format!("{name}.toml"));
            std::fs::write(&path, settings_text)?;
            let settings = path.to_str().context("the directory's name")?.to_owned();
            let process = Process::start(&name, "fernring", &["gateway", &settings])?;
            nodes.push(Mutex::new(Node {
                name,
                settings,
                process,
                disturbed_until: None,
                is_reserved: false,
                stopping_until: None,
                earlier_lines: Vec::new(),
            }));
            addresses.push(Addresses { caller, ready });
        }
        Ok(Self { nodes, addresses, unexpected_ends: Mutex::default(), directory })
    }

    /// Returns the number of nodes.
    pub(crate) fn count(&self) -> usize {
        self.nodes.len()
    }

    /// Returns the address at which callers connect to a node.
    pub(crate) fn caller_address(&self, number: usize) -> SocketAddr {
        self.addresses[number].caller
    }

    /// Waits until all nodes are ready.
    pub(crate) async fn wait_until_ready(&self) -> anyhow::Result<()> {
        let end = Instant::now() + READY_MAX;
        for addresses in &self.addresses {
            let url = format!("http://{}/fernring/readiness", addresses.ready);
            loop {
                let answer = reqwest::get(&url).await;
                if answer.is_ok_and(|answer| answer.status().is_success()) {
                    break;
                }
                anyhow::ensure!(Instant::now() < end, "{} is not ready", addresses.ready);
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
        Ok(())
    }

    /// Returns whether a node was disturbed since `since`, by anything but a planned stop.
    pub(crate) fn was_disturbed(&self, number: usize, since: Instant) -> bool {
        let until = self.lock(number).disturbed_until;
        until.is_some_and(|until| until + SETTLE_TIME > since)
    }

    /// Marks a node as disturbed from now on for `time`.
    pub(crate) fn mark_disturbed(&self, number: usize, time: Duration) {
        let until = Instant::now() + time;
        let mut node = self.lock(number);
        node.disturbed_until = node.disturbed_until.max(Some(until));
    }

    /// Reserves a node for a fault until [`Nodes::release`]. Returns `false` if it is already
    /// reserved.
    pub(crate) fn reserve(&self, number: usize) -> bool {
        !std::mem::replace(&mut self.lock(number).is_reserved, true)
    }

    /// Ends the reservation of a node when its fault is over.
    pub(crate) fn release(&self, number: usize) {
        self.lock(number).is_reserved = false;
    }

    /// Rewrites a node's settings file unchanged, changed, invalid and unchanged again, and sends a
    /// SIGHUP after each write.
    pub(crate) async fn rewrite_settings(&self, number: usize) -> anyhow::Result<()> {
        let path = self.lock(number).settings.clone();
        let text = std::fs::read_to_string(&path)?;
        let changed = text.replace("slack = 50\nwindow_s", "slack = 51\nwindow_s");
        let broken = text.replace("[node]", "[node");
        for text in [&text, &changed, &broken, &text] {
            std::fs::write(&path, text)?;
            // An error is ignored: the node may be down. One that ended on its own is reported.
            let _ = self.signal(number, Signal::SIGHUP);
            tokio::time::sleep(REWRITE_PAUSE).await;
        }
        Ok(())
    }

    /// Sends a signal to a node.
    pub(crate) fn signal(&self, number: usize, signal: Signal) -> anyhow::Result<()> {
        self.lock(number).process.signal(signal)
    }

    /// Stops a node with SIGTERM and starts it again.
    pub(crate) async fn stop(&self, number: usize) -> anyhow::Result<()> {
        self.lock(number).stopping_until = Some(Instant::now() + STOP_MAX);
        self.restart_after(number, Signal::SIGTERM).await?;
        self.lock(number).stopping_until = Some(Instant::now());
        Ok(())
    }

    /// Kills a node with SIGKILL and starts it again.
    pub(crate) async fn kill(&self, number: usize) -> anyhow::Result<()> {
        self.restart_after(number, Signal::SIGKILL).await
    }

    /// Returns whether a planned stop of a node was in progress at some time since `since`.
    pub(crate) fn was_stopping(&self, number: usize, since: Instant) -> bool {
        self.lock(number).stopping_until.is_some_and(|until| until > since)
    }

    /// Kills nodes with SIGKILL at once, and starts them again when all have ended and `while_down`
    /// is done.
    pub(crate) async fn kill_together(
        &self,
        numbers: &[usize],
        while_down: impl Future<Output = anyhow::Result<()>>,
    ) -> anyhow::Result<()> {
        let ends = numbers.iter().map(|number| self.end(*number, Signal::SIGKILL));
        futures_util::future::try_join_all(ends).await?;
        while_down.await?;
        numbers.iter().try_for_each(|number| self.start_again(*number))
    }

    async fn restart_after(&self, number: usize, signal: Signal) -> anyhow::Result<()> {
        self.end(number, signal).await?;
        self.start_again(number)
    }

    /// Ends a node with a signal and checks how it ended.
    async fn end(&self, number: usize, signal: Signal) -> anyhow::Result<()> {
        // The process may have ended on its own before.
        let sent = self.signal(number, signal);
        let status = loop {
            if let Some(status) = self.lock(number).process.status()? {
                break status;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        };
        if sent.is_err() || !is_end_by(status, signal) {
            let name = &self.lock(number).name;
            let violation = format!("{name} ended with {status} instead of {signal}");
            self.unexpected_ends().push(violation);
        }
        Ok(())
    }

    fn start_again(&self, number: usize) -> anyhow::Result<()> {
        let mut node = self.lock(number);
        let process = Process::start(&node.name, "fernring", &["gateway", &node.settings])?;
        let earlier = std::mem::replace(&mut node.process, process);
        node.earlier_lines.extend(earlier.lines());
        Ok(())
    }

    /// Returns the nodes that ended in another way than by the signal that they were sent.
    pub(crate) fn take_unexpected_ends(&self) -> anyhow::Result<Vec<String>> {
        let mut ends = std::mem::take(&mut *self.unexpected_ends());
        for number in 0..self.count() {
            let mut node = self.lock(number);
            if let Some(status) = node.process.status()? {
                ends.push(format!("{} ended on its own with {status}", node.name));
            }
        }
        Ok(ends)
    }

    fn unexpected_ends(&self) -> MutexGuard<'_, Vec<String>> {
        self.unexpected_ends.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes the nodes' logs to a directory that is not removed, and returns its path.
    pub(crate) fn keep_logs(&self) -> PathBuf {
        let directory = std::env::temp_dir().join(format!("fernring-soak-{}", std::process::id()));
        // Errors are ignored: a log that can't be written is missing from the directory.
        let _ = std::fs::create_dir_all(&directory);
        for number in 0..self.count() {
            let node = self.lock(number);
            let lines = [node.earlier_lines.as_slice(), &node.process.lines()].concat();
            let _ = std::fs::write(directory.join(format!("{}.log", node.name)), lines.join("\n"));
        }
        directory
    }

    fn lock(&self, number: usize) -> MutexGuard<'_, Node> {
        self.nodes[number].lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl std::fmt::Debug for Nodes {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Nodes").field("directory", &self.directory).finish_non_exhaustive()
    }
}

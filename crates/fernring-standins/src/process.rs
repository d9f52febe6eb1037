//! Starting the real programs, reading their log lines and sending them signals.

use {
    anyhow::{Context, bail},
    nix::{
        sys::signal::{Signal, kill},
        unistd::Pid,
    },
    std::{
        io::{BufRead, BufReader},
        path::PathBuf,
        process::{Child, Command, ExitStatus, Stdio},
        sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
};

/// Longest wait for an event that must come; far above what any takes, so that only a fault
/// reaches it.
pub const PATIENCE: Duration = Duration::from_secs(60);
/// Lines shown when an awaited one does not come.
const SHOWN_LINES: usize = 15;

#[derive(Debug, Default)]
struct Output {
    lines: Vec<String>,
    ended: bool,
}

#[derive(Debug, Default)]
struct Shared {
    output: Mutex<Output>,
    grown: Condvar,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Output> {
        self.output.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A program that was started here. It is killed when this is dropped.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
    shared: Arc<Shared>,
}

/// Finds a program of this workspace next to the running one, which may be a test, an example or
/// a program itself.
///
/// # Errors
/// If it was not built.
pub fn find(program: &str) -> anyhow::Result<PathBuf> {
    let own = std::env::current_exe().context("could not learn the own path")?;
    for folder in own.ancestors().skip(1).take(3) {
        for candidate in [folder.join(program), folder.join("examples").join(program)] {
            if candidate.is_file() {
                return Ok(candidate);
            }
        }
    }
    bail!("{program} was not found beside {}; build the workspace with its examples", own.display())
}

/// Returns the value of a key in a log line.
pub fn value_of<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    let pairs = line.split(' ').filter_map(|pair| pair.split_once('='));
    pairs.into_iter().find(|(name, _)| *name == key).map(|(_, value)| value)
}

impl Process {
    /// Starts a program of this workspace.
    ///
    /// # Errors
    /// If it was not built or can't be started.
    pub fn start(name: &str, program: &str, args: &[&str]) -> anyhow::Result<Self> {
        let path = find(program)?;
        let mut command = Command::new(&path);
        command.args(args).stdin(Stdio::null()).stdout(Stdio::piped());
        let mut child =
            command.spawn().with_context(|| format!("could not start {}", path.display()))?;
        let stdout = child.stdout.take().context("no standard output")?;
        let shared = Arc::new(Shared::default());
        let writer = shared.clone();
        std::thread::spawn(move || {
            for line in BufReader::new(stdout).lines().map_while(Result::ok) {
                writer.lock().lines.push(line);
                writer.grown.notify_all();
            }
            writer.lock().ended = true;
            writer.grown.notify_all();
        });
        Ok(Self { name: name.to_owned(), child, shared })
    }

    /// Returns the process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Returns the log lines so far.
    pub fn lines(&self) -> Vec<String> {
        self.shared.lock().lines.clone()
    }

    /// Returns the log lines of an event so far.
    pub fn events(&self, event: &str) -> Vec<String> {
        let wanted = |line: &String| value_of(line, "event") == Some(event);
        self.shared.lock().lines.iter().filter(|line| wanted(line)).cloned().collect()
    }

    /// Waits for the first line, from the start on, that `wanted` accepts.
    ///
    /// # Panics
    /// If the program ends without it, or it does not come within [`PATIENCE`].
    pub fn wait_line(&self, what: &str, wanted: impl Fn(&str) -> bool) -> String {
        let end = Instant::now() + PATIENCE;
        let mut output = self.shared.lock();
        let mut looked_at = 0;
        loop {
            let fresh = output.lines[looked_at..].iter().find(|line| wanted(line));
            if let Some(line) = fresh {
                return line.clone();
            }
            looked_at = output.lines.len();
            let now = Instant::now();
            if output.ended || now >= end {
                let tail = output.lines.iter().rev().take(SHOWN_LINES).rev().cloned();
                let tail = tail.collect::<Vec<_>>().join("\n");
                panic!("{}: {what} did not come; last lines:\n{tail}", self.name);
            }
            let waited = self.shared.grown.wait_timeout(output, end - now);
            output = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    /// Waits for the first line of an event.
    ///
    /// # Panics
    /// As [`Process::wait_line`] does.
    pub fn wait_event(&self, event: &str) -> String {
        self.wait_line(event, |line| value_of(line, "event") == Some(event))
    }

    /// Sends a signal to this process and no other.
    ///
    /// # Errors
    /// If the process is gone.
    pub fn signal(&self, signal: Signal) -> anyhow::Result<()> {
        let pid = Pid::from_raw(i32::try_from(self.pid()).context("process id")?);
        kill(pid, signal).with_context(|| format!("could not signal {}", self.name))
    }

    /// Returns something that kills this process while it is borrowed elsewhere.
    pub fn take_killer(&self) -> Killer {
        Killer { pid: self.pid() }
    }

    /// Tells whether the program has ended.
    ///
    /// # Errors
    /// If that can't be learnt.
    pub fn has_ended(&mut self) -> anyhow::Result<bool> {
        let status = self.child.try_wait();
        Ok(status.with_context(|| format!("could not look at {}", self.name))?.is_some())
    }

    /// Waits for the program to end.
    ///
    /// # Errors
    /// If waiting fails.
    pub fn wait(&mut self) -> anyhow::Result<ExitStatus> {
        self.child.wait().with_context(|| format!("could not wait for {}", self.name))
    }

    /// Kills the program at once and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Returns the processor time used so far, in milliseconds, and the resident memory, in
    /// kilobytes, from the proc file system.
    pub fn usage(&self) -> Option<Usage> {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.pid())).ok()?;
        let after_name = stat.rsplit_once(')')?.1;
        let fields: Vec<&str> = after_name.split_whitespace().collect();
        // Fields 14 and 15 of the whole line: user and system time in hundredths of a second.
        let ticks: u64 =
            fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?;
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid())).ok()?;
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        let resident_kb = resident.split_whitespace().next()?.parse().ok()?;
        Some(Usage { cpu_ms: ticks * 10, resident_kb })
    }
}

/// Kills one process that was started here.
#[derive(Debug)]
pub struct Killer {
    pid: u32,
}

impl Killer {
    /// Kills it at once.
    pub fn kill(self) {
        if let Ok(pid) = i32::try_from(self.pid) {
            // It may have ended by itself.
            let _ = kill(Pid::from_raw(pid), Signal::SIGKILL);
        }
    }
}

/// What a process has used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Usage {
    /// Processor time, in milliseconds.
    pub cpu_ms: u64,
    /// Resident memory, in kilobytes.
    pub resident_kb: u64,
}

impl Drop for Process {
    fn drop(&mut self) {
        // A stopped process is killed all the same.
        self.kill();
    }
}

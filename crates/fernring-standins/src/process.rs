//! Starts the real programs, reads their log lines and sends them signals.

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

/// Longest wait for an expected event. It is far longer than any event takes, so that only a fault
/// reaches it.
pub const EVENT_TIMEOUT: Duration = Duration::from_secs(60);
/// Most log lines shown when an expected line is missing.
const SHOWN_LINES_MAX: usize = 15;

#[derive(Debug, Default)]
struct Output {
    lines: Vec<String>,
    is_closed: bool,
}

#[derive(Debug, Default)]
struct Shared {
    output: Mutex<Output>,
    changed: Condvar,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Output> {
        self.output.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A running program. It is killed when this is dropped.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
    shared: Arc<Shared>,
}

/// Finds a program of this workspace next to the running one, which may be a test, an example or
/// another program.
///
/// # Errors
/// If it was not built.
pub fn find_program(program: &str) -> anyhow::Result<PathBuf> {
    let own = std::env::current_exe().context("could not get the path of the running program")?;
    for directory in own.ancestors().skip(1).take(3) {
        for candidate in [directory.join(program), directory.join("examples").join(program)] {
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
        let path = find_program(program)?;
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
                writer.changed.notify_all();
            }
            writer.lock().is_closed = true;
            writer.changed.notify_all();
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
        let is_wanted = |line: &String| value_of(line, "event") == Some(event);
        self.shared.lock().lines.iter().filter(|line| is_wanted(line)).cloned().collect()
    }

    /// Waits for the first log line since the start that `is_wanted` accepts.
    ///
    /// # Panics
    /// If the program ends without such a line, or none is logged within [`EVENT_TIMEOUT`].
    pub fn wait_line(&self, what: &str, is_wanted: impl Fn(&str) -> bool) -> String {
        let end = Instant::now() + EVENT_TIMEOUT;
        let mut output = self.shared.lock();
        let mut checked = 0;
        loop {
            let found = output.lines[checked..].iter().find(|line| is_wanted(line));
            if let Some(line) = found {
                return line.clone();
            }
            checked = output.lines.len();
            let now = Instant::now();
            if output.is_closed || now >= end {
                let tail = output.lines.iter().rev().take(SHOWN_LINES_MAX).rev().cloned();
                let tail = tail.collect::<Vec<_>>().join("\n");
                panic!("{}: no line for {what}; last lines:\n{tail}", self.name);
            }
            let waited = self.shared.changed.wait_timeout(output, end - now);
            output = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    /// Waits for the first log line of an event.
    ///
    /// # Panics
    /// In the same cases as [`Process::wait_line`].
    pub fn wait_event(&self, event: &str) -> String {
        self.wait_line(event, |line| value_of(line, "event") == Some(event))
    }

    /// Sends a signal to this process only.
    ///
    /// # Errors
    /// If the process has ended.
    pub fn signal(&self, signal: Signal) -> anyhow::Result<()> {
        let pid = Pid::from_raw(i32::try_from(self.pid()).context("process id")?);
        kill(pid, signal).with_context(|| format!("could not signal {}", self.name))
    }

    /// Returns a handle that can kill this process while it is borrowed elsewhere.
    pub fn killer(&self) -> Killer {
        Killer { pid: self.pid() }
    }

    /// Returns whether the program has ended.
    ///
    /// # Errors
    /// If its status can't be read.
    pub fn has_ended(&mut self) -> anyhow::Result<bool> {
        Ok(self.status()?.is_some())
    }

    /// Returns the program's status if it has ended.
    ///
    /// # Errors
    /// If its status can't be read.
    pub fn status(&mut self) -> anyhow::Result<Option<ExitStatus>> {
        let status = self.child.try_wait();
        status.with_context(|| format!("could not read the status of {}", self.name))
    }

    /// Waits for the program to end.
    ///
    /// # Errors
    /// If waiting fails.
    pub fn wait(&mut self) -> anyhow::Result<ExitStatus> {
        self.child.wait().with_context(|| format!("could not wait for {}", self.name))
    }

    /// Kills the program with SIGKILL and waits until it has ended.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Returns the processor time used so far, in milliseconds, and the resident memory, in
    /// kilobytes, as read from `/proc`.
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

/// Handle that kills one process.
#[derive(Debug)]
pub struct Killer {
    pid: u32,
}

impl Killer {
    /// Kills the process with SIGKILL.
    pub fn kill(self) {
        if let Ok(pid) = i32::try_from(self.pid) {
            // An error is ignored: the process may have ended already.
            let _ = kill(Pid::from_raw(pid), Signal::SIGKILL);
        }
    }
}

/// Resource usage of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Usage {
    /// Processor time, in milliseconds.
    pub cpu_ms: u64,
    /// Resident memory, in kilobytes.
    pub resident_kb: u64,
}

impl Drop for Process {
    fn drop(&mut self) {
        // SIGKILL also ends a process that is paused.
        self.kill();
    }
}

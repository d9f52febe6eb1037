//! Log lines on their way to standard output: bounded, and never in anybody's way.
//!
//! Whoever logs appends to a buffer; a thread writes it out a few times a second. While more comes than the
//! budget allows, lines about requests are sampled by the request's identity, so that of a sampled
//! request all lines are there and of any other none; warnings and lines of the node's own always
//! stay. What is left out is counted, and a line says how much it was.

use {
    std::{
        io::Write,
        sync::{Arc, Condvar, Mutex, PoisonError},
        time::Duration,
    },
    xxhash_rust::xxh3::xxh3_64,
};

/// How long lines gather before they are written together. A wake-up each quarter of a second is
/// cheap, and nobody reads a log sooner.
const GATHER: Duration = Duration::from_millis(250);
/// Most bytes that wait to be written. What comes while standard output is stuck is left out.
const WAITING_BYTES_MAX: usize = 1 << 20;
/// Most halvings of the share of requests that are kept: one in 1,024.
const HALVINGS_MAX: u32 = 10;

#[derive(Debug, Default)]
struct Waiting {
    bytes: Vec<u8>,
    left_out: u64,
    /// Of the requests, one in two to the power of this is kept.
    halvings: u32,
}

/// The lines that wait to be written.
#[derive(Debug)]
pub struct LineQueue {
    waiting: Mutex<Waiting>,
    arrived: Condvar,
    /// Bytes for each writing.
    budget: usize,
}

impl LineQueue {
    /// Creates an empty queue that lets through `bytes_per_s` on average.
    pub fn new(bytes_per_s: u32) -> Self {
        let budget = (f64::from(bytes_per_s) * GATHER.as_secs_f64()) as usize;
        Self { waiting: Mutex::default(), arrived: Condvar::new(), budget }
    }

    /// Appends a line, or leaves it out. Never waits for the writing.
    pub fn push(&self, line: &[u8]) {
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        let is_sampled_out = is_sampled_out(line, waiting.halvings);
        if is_sampled_out || waiting.bytes.len() + line.len() > WAITING_BYTES_MAX {
            waiting.left_out += 1;
            return;
        }
        let was_empty = waiting.bytes.is_empty();
        waiting.bytes.extend_from_slice(line);
        if was_empty {
            self.arrived.notify_one();
        }
    }

    /// Takes out what is to be written, with a line that says what was left out, and sets the
    /// sampling for what comes next.
    pub fn take_pending(&self) -> Vec<u8> {
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        let kept = waiting.bytes.len();
        if kept > self.budget {
            waiting.halvings = (waiting.halvings + 1).min(HALVINGS_MAX);
        } else if kept < self.budget / 2 {
            waiting.halvings = waiting.halvings.saturating_sub(1);
        }
        let left_out = std::mem::take(&mut waiting.left_out);
        let one_in = 1u32 << waiting.halvings;
        let mut bytes = std::mem::take(&mut waiting.bytes);
        if left_out > 0 {
            let line =
                format!("level=warn event=lines_left_out count={left_out} one_in={one_in}\n");
            bytes.extend_from_slice(line.as_bytes());
        }
        bytes
    }

    /// Writes lines for as long as the process runs.
    pub fn run(&self, out: &mut impl Write) {
        loop {
            self.wait();
            // Output that is gone leaves nowhere to say so.
            let _ = out.write_all(&self.take_pending());
            let _ = out.flush();
            std::thread::sleep(GATHER);
        }
    }

    fn wait(&self) {
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        while waiting.bytes.is_empty() {
            waiting = self.arrived.wait(waiting).unwrap_or_else(PoisonError::into_inner);
        }
    }
}

/// Tells whether a line is of a request that is not among those kept. Warnings always are.
fn is_sampled_out(line: &[u8], halvings: u32) -> bool {
    if halvings == 0 || find(line, b"level=warn ").is_some() {
        return false;
    }
    let Some(start) = find(line, b" request=") else {
        return false;
    };
    let id = &line[start + b" request=".len()..];
    let id = id.split(|byte| byte.is_ascii_whitespace()).next().unwrap_or_default();
    xxh3_64(id) & ((1 << halvings) - 1) != 0
}

fn find(line: &[u8], part: &[u8]) -> Option<usize> {
    line.windows(part.len()).position(|window| window == part)
}

/// Where the logger writes.
pub(crate) struct QueueWriter(Arc<LineQueue>);

impl QueueWriter {
    pub(crate) fn new(queue: Arc<LineQueue>) -> Self {
        Self(queue)
    }
}

impl Write for QueueWriter {
    fn write(&mut self, line: &[u8]) -> std::io::Result<usize> {
        self.0.push(line);
        Ok(line.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

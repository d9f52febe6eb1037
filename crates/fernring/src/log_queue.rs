//! A bounded queue of log lines for standard output, which never blocks the code that logs.
//!
//! The logger appends lines to a buffer, and a thread writes the buffer out a few times a second. While more lines
//! arrive than the budget allows, lines about requests are sampled by the request's identity: all lines of a sampled
//! request are kept, and none of any other. Warnings and lines that are not about a request are never sampled out.
//! Dropped lines are counted, and a log line reports their number.

use {
    std::{
        io::Write,
        sync::{Arc, Condvar, Mutex, PoisonError},
        time::Duration,
    },
    xxhash_rust::xxh3::xxh3_64,
};

/// Pause between two writes, in which lines accumulate. Waking up each quarter of a second is cheap, and nobody reads
/// a log sooner.
const FLUSH_INTERVAL: Duration = Duration::from_millis(250);
/// Most bytes that wait to be written. While standard output is blocked, lines beyond this are dropped.
const PENDING_BYTES_MAX: usize = 1 << 20;
/// Most times that the share of sampled requests is halved: at least one in 1,024 is kept.
const HALVINGS_MAX: u32 = 10;

#[derive(Debug, Default)]
struct Pending {
    bytes: Vec<u8>,
    dropped: u64,
    /// How often the share of sampled requests is halved: one request in two to the power of this is kept.
    halvings: u32,
}

/// The queue of lines that wait to be written.
#[derive(Debug)]
pub struct LineQueue {
    pending: Mutex<Pending>,
    line_added: Condvar,
    /// Bytes that may be written in each interval.
    budget_bytes: usize,
}

impl LineQueue {
    /// Creates an empty queue that adjusts its sampling to write about `bytes_per_s` on average.
    pub fn new(bytes_per_s: u32) -> Self {
        let budget_bytes = (f64::from(bytes_per_s) * FLUSH_INTERVAL.as_secs_f64()) as usize;
        Self { pending: Mutex::default(), line_added: Condvar::new(), budget_bytes }
    }

    /// Appends a line, or drops it. Never waits for a write.
    pub fn push(&self, line: &[u8]) {
        let mut pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        let is_sampled_out = is_sampled_out(line, pending.halvings);
        if is_sampled_out || pending.bytes.len() + line.len() > PENDING_BYTES_MAX {
            pending.dropped += 1;
            return;
        }
        let was_empty = pending.bytes.is_empty();
        pending.bytes.extend_from_slice(line);
        if was_empty {
            self.line_added.notify_one();
        }
    }

    /// Takes the pending lines out of the queue, followed by a line with the number of dropped lines if there are any,
    /// and adjusts the sampling of the lines that follow.
    pub fn take_pending(&self) -> Vec<u8> {
        let mut pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        let pending_bytes = pending.bytes.len();
        if pending_bytes > self.budget_bytes {
            pending.halvings = (pending.halvings + 1).min(HALVINGS_MAX);
        } else if pending_bytes < self.budget_bytes / 2 {
            pending.halvings = pending.halvings.saturating_sub(1);
        }
        let dropped = std::mem::take(&mut pending.dropped);
        let one_in = 1u32 << pending.halvings;
        let mut bytes = std::mem::take(&mut pending.bytes);
        if dropped > 0 {
            let line = format!("level=warn event=lines_left_out count={dropped} one_in={one_in}\n");
            bytes.extend_from_slice(line.as_bytes());
        }
        bytes
    }

    /// Writes the pending lines to `out` for as long as the process runs.
    pub fn run(&self, out: &mut impl Write) {
        loop {
            self.wait_for_lines();
            // A failed write is ignored: without the output there is nowhere to report it.
            let _ = out.write_all(&self.take_pending());
            let _ = out.flush();
            std::thread::sleep(FLUSH_INTERVAL);
        }
    }

    fn wait_for_lines(&self) {
        let mut pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        while pending.bytes.is_empty() {
            pending = self.line_added.wait(pending).unwrap_or_else(PoisonError::into_inner);
        }
    }
}

/// Returns whether a line is about a request that is not sampled. Warnings are never sampled out.
fn is_sampled_out(line: &[u8], halvings: u32) -> bool {
    if halvings == 0 || find_bytes(line, b"level=warn ").is_some() {
        return false;
    }
    let Some(start) = find_bytes(line, b" request=") else {
        return false;
    };
    let id = &line[start + b" request=".len()..];
    let id = id.split(|byte| byte.is_ascii_whitespace()).next().unwrap_or_default();
    xxh3_64(id) & ((1 << halvings) - 1) != 0
}

fn find_bytes(line: &[u8], part: &[u8]) -> Option<usize> {
    line.windows(part.len()).position(|window| window == part)
}

/// Writer for the logger that appends each line to the queue.
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

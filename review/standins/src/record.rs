//! The record of a run: what was sent, answered and run, with the time since the start.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

/// A record that all threads write to.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    /// Creates the file.
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self { file: Arc::new(Mutex::new(File::create(path)?)), started: Instant::now() })
    }

    /// Writes a line with the time.
    pub fn line(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let line = format!("{at:8.3} s  {text}\n");
        let mut file = self.file.lock().unwrap();
        file.write_all(line.as_bytes()).unwrap();
        print!("{line}");
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }
}

//! Clocks, and the readings that are passed to decisions.

use {
    nix::time::{ClockId, clock_gettime},
    std::{
        fmt,
        sync::{Mutex, PoisonError},
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
};

/// A reading of a process's monotonic clock and of the calendar clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Now {
    /// Time since the process started, including time for which its VM was suspended. Never goes
    /// backwards; used for all ages and deadlines.
    pub monotonic: Duration,
    /// Calendar time. May jump; used only for the age of keys and the start of events.
    pub wall: SystemTime,
}

impl Now {
    /// Returns the calendar time in milliseconds since the Unix epoch, or 0 if it is before the
    /// epoch.
    pub fn wall_ms(&self) -> u64 {
        unix_ms(self.wall)
    }
}

/// Converts a calendar time to milliseconds since the Unix epoch; earlier times become 0.
pub fn unix_ms(time: SystemTime) -> u64 {
    let since_epoch = time.duration_since(UNIX_EPOCH).unwrap_or_default();
    saturating_ms(since_epoch)
}

/// Converts a duration to whole milliseconds, saturating at `u64::MAX`.
pub fn saturating_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// A source of time. Decision code never holds one: the I/O layer reads it and passes in [`Now`].
pub trait Clock: fmt::Debug + Send + Sync {
    /// Reads both clocks.
    fn now(&self) -> Now;
}

/// The clocks of the operating system.
///
/// Monotonic time is read from `CLOCK_BOOTTIME`. The clock behind `Instant` stops while the VM is
/// suspended, so ages measured with it would be too low by the length of the suspension.
#[derive(Debug)]
pub struct SystemClock {
    origin: ClockReading,
}

/// A reading of `CLOCK_BOOTTIME`, which counts time in suspension, or of the clock behind `Instant`
/// on systems without it.
#[derive(Debug, Clone, Copy)]
enum ClockReading {
    BootTime(Duration),
    Monotonic(Instant),
}

impl ClockReading {
    fn now() -> Self {
        match clock_gettime(ClockId::CLOCK_BOOTTIME) {
            Ok(time) => Self::BootTime(time.into()),
            // Ages will be too low after a suspension, but no better clock is available.
            Err(_) => Self::Monotonic(Instant::now()),
        }
    }

    /// Returns the time elapsed since this reading, by the same clock.
    fn elapsed(self) -> Duration {
        match (self, Self::now()) {
            (Self::BootTime(then), Self::BootTime(now)) => now.saturating_sub(then),
            (Self::Monotonic(then), _) => then.elapsed(),
            // Unreachable in practice: a boot-time clock that was once available stays available.
            (Self::BootTime(_), Self::Monotonic(_)) => Duration::ZERO,
        }
    }
}

impl SystemClock {
    /// Creates a clock whose monotonic time is zero at the moment of creation.
    pub fn new() -> Self {
        Self { origin: ClockReading::now() }
    }
}

impl Default for SystemClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for SystemClock {
    fn now(&self) -> Now {
        Now { monotonic: self.origin.elapsed(), wall: SystemTime::now() }
    }
}

/// A clock that advances only by calls of [`advance`](Self::advance), for tests and randomised
/// simulations.
#[derive(Debug)]
pub struct ManualClock {
    now: Mutex<Now>,
}

impl ManualClock {
    /// Creates a clock at the given calendar time, in milliseconds since the Unix epoch.
    pub fn at_unix_ms(wall_ms: u64) -> Self {
        let wall = UNIX_EPOCH + Duration::from_millis(wall_ms);
        Self { now: Mutex::new(Now { monotonic: Duration::ZERO, wall }) }
    }

    /// Advances the monotonic and the calendar time.
    pub fn advance(&self, by: Duration) {
        let mut now = self.now.lock().unwrap_or_else(PoisonError::into_inner);
        now.monotonic += by;
        now.wall += by;
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Now {
        *self.now.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

//! The time that decisions are given.

use {
    nix::time::{ClockId, clock_gettime},
    std::{
        fmt,
        sync::{Mutex, PoisonError},
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
};

/// One reading of both clocks of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Now {
    /// Time since the process started, with what its VM was suspended. Never goes backwards; used for every age and
    /// deadline.
    pub monotonic: Duration,
    /// Calendar time. May jump; used only to judge the age of keys and the start of events.
    pub wall: SystemTime,
}

impl Now {
    /// Returns the calendar time in milliseconds since the Unix epoch, 0 before it.
    pub fn wall_ms(&self) -> u64 {
        unix_ms(self.wall)
    }
}

/// Converts a calendar time to milliseconds since the Unix epoch; times before it become 0.
pub fn unix_ms(time: SystemTime) -> u64 {
    let since_epoch = time.duration_since(UNIX_EPOCH).unwrap_or_default();
    saturating_ms(since_epoch)
}

/// Converts a duration to whole milliseconds, saturating at `u64::MAX`.
pub fn saturating_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// A source of time. Decisions never hold one: the shell reads it and passes [`Now`] in.
pub trait Clock: fmt::Debug + Send + Sync {
    /// Reads both clocks.
    fn now(&self) -> Now;
}

/// The clocks of the operating system.
///
/// The monotonic one is that of the time since boot: the steady clock that `Instant` reads stands still while a VM is
/// suspended, and whatever is kept would be that much younger than it is.
#[derive(Debug)]
pub struct SystemClock {
    started: Reading,
}

/// A reading of the clock that counts suspensions, or of the steady one where a system has no other.
#[derive(Debug, Clone, Copy)]
enum Reading {
    SinceBoot(Duration),
    Steady(Instant),
}

impl Reading {
    fn take() -> Self {
        match clock_gettime(ClockId::CLOCK_BOOTTIME) {
            Ok(time) => Self::SinceBoot(time.into()),
            // Ages are then too low after a suspension; there is no clock that says more.
            Err(_) => Self::Steady(Instant::now()),
        }
    }

    /// Returns the time since this reading, by the same clock.
    fn elapsed(self) -> Duration {
        match (self, Self::take()) {
            (Self::SinceBoot(then), Self::SinceBoot(now)) => now.saturating_sub(then),
            (Self::Steady(then), _) => then.elapsed(),
            // The clock was there once and is there always.
            (Self::SinceBoot(_), Self::Steady(_)) => Duration::ZERO,
        }
    }
}

impl SystemClock {
    /// Creates a clock whose monotonic time starts at zero now.
    pub fn new() -> Self {
        Self { started: Reading::take() }
    }
}

impl Default for SystemClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for SystemClock {
    fn now(&self) -> Now {
        Now { monotonic: self.started.elapsed(), wall: SystemTime::now() }
    }
}

/// A clock that moves only when told to, for tests and randomised runs.
#[derive(Debug)]
pub struct ManualClock {
    now: Mutex<Now>,
}

impl ManualClock {
    /// Creates a clock that stands at the given calendar time, in milliseconds since the epoch.
    pub fn at_unix_ms(wall_ms: u64) -> Self {
        let wall = UNIX_EPOCH + Duration::from_millis(wall_ms);
        Self { now: Mutex::new(Now { monotonic: Duration::ZERO, wall }) }
    }

    /// Moves both clocks forward.
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

//! Waiting for points of the clock that counts what a VM was suspended.
//!
//! The runtime's timers run on the steady clock, which stands still meanwhile: a wait of ten seconds that begins before a suspension
//! of eight ends eight late. A wait for a deadline is therefore asked again when the clock is found to have jumped. Waits of two
//! seconds at most that are repeated anyway (pauses of loops, of a connection or of a call to the store) stay on the timers: on
//! waking they last no longer than they were meant to.

use {
    crate::log,
    fernring_core::{clock::Clock, text::LogLine},
    std::{cell::Cell, rc::Rc, time::Duration},
    tokio::{
        sync::Notify,
        time::{Instant, sleep},
    },
};

/// How much the clock may run ahead of the timers between two looks: more than their readings differ by.
const SUSPENSION_MIN: Duration = Duration::from_millis(50);

/// What wakes those who wait for a deadline.
pub struct DeadlineTimer {
    clock: Rc<dyn Clock>,
    /// Readings of the clock and of the timers' clock at the same moment.
    last_check: Cell<(Duration, Instant)>,
    resumed: Notify,
}

impl DeadlineTimer {
    /// Creates an alarm on a clock.
    pub fn new(clock: Rc<dyn Clock>) -> Self {
        let looked_at = Cell::new((clock.now().monotonic, Instant::now()));
        Self { clock, last_check: looked_at, resumed: Notify::new() }
    }

    /// Looks whether the VM was suspended since the last look.
    pub fn check_for_suspension(&self) {
        let (now, timers_now) = (self.clock.now().monotonic, Instant::now());
        let (before, timers_before) = self.last_check.replace((now, timers_now));
        let ahead = now.saturating_sub(before).saturating_sub(timers_now - timers_before);
        if ahead >= SUSPENSION_MIN {
            let line = LogLine::event("vm_suspended").with("suspended_ms", ahead.as_millis());
            log::warn(line);
            self.resumed.notify_waiters();
        }
    }

    /// Waits until a point of the clock.
    pub async fn sleep_until(&self, at: Duration) {
        loop {
            let woke = self.resumed.notified();
            let left = at.saturating_sub(self.clock.now().monotonic);
            if left.is_zero() {
                return;
            }
            tokio::select! {
                () = sleep(left) => {}
                () = woke => {}
            }
        }
    }

    /// Waits for work until a point of the clock; `None` if it isn't done by then.
    pub async fn complete_by<T>(&self, at: Duration, work: impl Future<Output = T>) -> Option<T> {
        tokio::select! {
            biased;
            done = work => Some(done),
            () = self.sleep_until(at) => None,
        }
    }
}

//! Waits until a deadline on the clock that includes the time for which the VM was suspended.
//!
//! The runtime's timers run on the steady clock, which stops during a suspension: a wait of ten
//! seconds that starts before a suspension of eight seconds ends eight seconds late. Therefore each
//! wait for a deadline is restarted when the clock has jumped. Waits of at most two seconds that
//! are repeated anyway (pauses of loops, of a connection or of a call to the store) use the
//! runtime's timers: after a suspension they last no longer than intended.

use {
    crate::log,
    fernring_core::{clock::Clock, text::LogLine},
    std::{cell::Cell, rc::Rc, time::Duration},
    tokio::{
        sync::Notify,
        time::{Instant, sleep},
    },
};

/// Smallest lead of the clock over the timers between two checks that counts as a suspension;
/// larger than the difference between their readings.
const SUSPENSION_MIN: Duration = Duration::from_millis(50);

/// Wakes tasks at their deadlines, also after a suspension of the VM.
pub struct DeadlineTimer {
    clock: Rc<dyn Clock>,
    /// Readings of the clock and of the timers' clock at the last check.
    last_check: Cell<(Duration, Instant)>,
    resumed: Notify,
}

impl DeadlineTimer {
    /// Creates a timer on a clock.
    pub fn new(clock: Rc<dyn Clock>) -> Self {
        let last_check = Cell::new((clock.now().monotonic, Instant::now()));
        Self { clock, last_check, resumed: Notify::new() }
    }

    /// Checks whether the VM was suspended since the last check; if so, restarts all waits.
    pub fn check_for_suspension(&self) {
        let (now, timers_now) = (self.clock.now().monotonic, Instant::now());
        let (before, timers_last) = self.last_check.replace((now, timers_now));
        let suspended_for = now.saturating_sub(before).saturating_sub(timers_now - timers_last);
        if suspended_for >= SUSPENSION_MIN {
            let line =
                LogLine::event("vm_suspended").with("suspended_ms", suspended_for.as_millis());
            log::warn(line);
            self.resumed.notify_waiters();
        }
    }

    /// Waits until a deadline.
    pub async fn sleep_until(&self, deadline: Duration) {
        loop {
            let resumed = self.resumed.notified();
            let left = deadline.saturating_sub(self.clock.now().monotonic);
            if left.is_zero() {
                return;
            }
            tokio::select! {
                () = sleep(left) => {}
                () = resumed => {}
            }
        }
    }

    /// Runs `work` until a deadline; returns `None` if it isn't done by then.
    pub async fn complete_by<T>(
        &self,
        deadline: Duration,
        work: impl Future<Output = T>,
    ) -> Option<T> {
        tokio::select! {
            biased;
            done = work => Some(done),
            () = self.sleep_until(deadline) => None,
        }
    }
}

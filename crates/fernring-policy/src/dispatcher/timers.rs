//! Timers of the dispatcher.

use {
    fernring_core::ids::{AttemptRef, RequestId, WaiterId},
    std::{
        cmp::Reverse,
        collections::{BTreeSet, BinaryHeap},
        time::Duration,
    },
};

/// The purpose of a timer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum TimerKind {
    /// The window of a request ends.
    WindowEnd(RequestId),
    /// An attempt has become a straggler and may be hedged.
    HedgeDue(AttemptRef),
    /// The window of a waiter whose submission joined a request or was relayed ends.
    WaiterWindowEnd(WaiterId),
    /// Queued requests may be dispatchable, because an ejection ended, or a claim append is due.
    QueueCheck,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Due {
    at: Duration,
    kind: TimerKind,
}

/// Timers ordered by due time. Timers are never cancelled: one that no longer applies is ignored
/// when it fires.
#[derive(Debug, Default)]
pub(crate) struct Timers {
    heap: BinaryHeap<Reverse<Due>>,
    queue_checks: BTreeSet<Duration>,
}

impl Timers {
    pub(crate) fn set(&mut self, at: Duration, kind: TimerKind) {
        self.heap.push(Reverse(Due { at, kind }));
    }

    /// Schedules a queue check unless one is already scheduled at that time or earlier.
    pub(crate) fn set_queue_check(&mut self, at: Duration) {
        if self.queue_checks.first().is_some_and(|first| *first <= at) {
            return;
        }
        self.queue_checks.insert(at);
        self.set(at, TimerKind::QueueCheck);
    }

    /// Removes and returns the earliest timer if it is due.
    pub(crate) fn pop_due(&mut self, now: Duration) -> Option<TimerKind> {
        let Reverse(due) = self.heap.peek().copied()?;
        if due.at > now {
            return None;
        }
        self.heap.pop();
        if due.kind == TimerKind::QueueCheck {
            self.queue_checks.remove(&due.at);
        }
        Some(due.kind)
    }

    /// Returns the due time of the earliest timer.
    pub(crate) fn next(&self) -> Option<Duration> {
        self.heap.peek().map(|Reverse(due)| due.at)
    }
}

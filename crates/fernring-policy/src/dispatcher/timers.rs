//! Timers of the dispatcher.

use {
    fernring_core::ids::{AttemptRef, RequestId, WaiterId},
    std::{
        cmp::Reverse,
        collections::{BTreeSet, BinaryHeap},
        time::Duration,
    },
};

/// What a timer is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum TimerKind {
    /// The window of a request ends.
    WindowEnd(RequestId),
    /// An attempt has become a straggler.
    Hedge(AttemptRef),
    /// The window of a waiter that joined or was passed on ends.
    WaiterWindow(WaiterId),
    /// Queues may move: an ejection ended, or an append may be tried again.
    Pump,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Due {
    at: Duration,
    kind: TimerKind,
}

/// Timers by due time. Timers are never taken out: one that no longer applies is ignored when it
/// fires.
#[derive(Debug, Default)]
pub(crate) struct Timers {
    heap: BinaryHeap<Reverse<Due>>,
    pumps: BTreeSet<Duration>,
}

impl Timers {
    pub(crate) fn set(&mut self, at: Duration, kind: TimerKind) {
        self.heap.push(Reverse(Due { at, kind }));
    }

    /// Sets a pump unless an earlier or equal one is set.
    pub(crate) fn set_pump(&mut self, at: Duration) {
        if self.pumps.first().is_some_and(|first| *first <= at) {
            return;
        }
        self.pumps.insert(at);
        self.set(at, TimerKind::Pump);
    }

    pub(crate) fn pop_due(&mut self, now: Duration) -> Option<TimerKind> {
        let Reverse(due) = self.heap.peek().copied()?;
        if due.at > now {
            return None;
        }
        self.heap.pop();
        if due.kind == TimerKind::Pump {
            self.pumps.remove(&due.at);
        }
        Some(due.kind)
    }

    pub(crate) fn next(&self) -> Option<Duration> {
        self.heap.peek().map(|Reverse(due)| due.at)
    }
}

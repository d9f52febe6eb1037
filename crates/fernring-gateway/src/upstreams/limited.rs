//! What upstreams say of how much they take from all nodes together.

use {
    super::Upstreams,
    crate::{limits::LimitChange, log, model::SaidLimit, upstreams::Target},
    fernring_core::text::LogLine,
    std::{collections::HashSet, time::Duration},
};

impl Upstreams {
    /// Takes in what an answer of an upstream says of how much it takes, whose request left at `sent_at`.
    pub fn said_limit(&self, target: &Target, sent_at: Duration, said: SaidLimit) {
        if said == SaidLimit::Unreadable {
            // What was known stays.
            log::warn(LogLine::event("upstream_limit_refused").with("upstream", &target.instance));
            return;
        }
        let directory = self.directory.borrow();
        let Some(upstream) = directory.get(target.key) else {
            return;
        };
        let now = self.clock.now().monotonic;
        let run = upstream.record.run_id();
        let change = self.limits.borrow_mut().heard(now, run, sent_at, said);
        if let Some(change) = change {
            log_limit(&target.instance, change, "answer");
        }
    }

    /// Returns the number of upstreams that name a limit.
    pub fn limited(&self) -> usize {
        self.limits.borrow().in_force()
    }

    pub(super) fn forget_old_limits(&self, now: Duration) {
        let mut limits = self.limits.borrow_mut();
        if limits.is_empty() {
            return;
        }
        let directory = self.directory.borrow();
        let runs: HashSet<_> = directory.iter().map(|(_, u)| u.record.run_id()).collect();
        limits.retain(now, |run| runs.contains(&run));
    }
}

fn log_limit(instance: &str, change: LimitChange, from: &'static str) {
    let line = LogLine::event("upstream_limit").with("upstream", instance).with("from", from);
    let line = line.with_some("before_per_s", change.before);
    log::warn(line.with_some("per_s", change.now));
}

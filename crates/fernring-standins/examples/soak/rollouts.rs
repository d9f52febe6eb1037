//! Orders roll-outs of versions and ends the upstreams of the version that lost, as the platform
//! does.

use {
    crate::{faults::SystemUnderTest, upstreams::ROLLOUT_SERVICE},
    fernring_standins::store::Mode,
    rand::{RngExt, rngs::StdRng},
    std::time::Duration,
    tokio::time::{Instant, sleep},
};

/// Number of upstreams that are started for an ordered version.
const ROLLED_OUT_UPSTREAMS: usize = 3;
/// Time after the deadline of an order within which its end must be reported. Time in which the
/// store is unavailable does not count.
const ROLLOUT_GRACE: Duration = Duration::from_secs(4);
/// Interval at which the state of an order is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Orders roll-outs of versions until `end`, one after the other, in parallel to all other faults.
/// Every second version is bad.
///
/// # Errors
/// If an upstream can't be started.
pub(crate) async fn order_rollouts(
    system: SystemUnderTest,
    mut random: StdRng,
    end: Instant,
) -> anyhow::Result<()> {
    let mut number = 1;
    loop {
        let time = Duration::from_millis(random.random_range(5_000..9_000));
        if Instant::now() + time + ROLLOUT_GRACE > end {
            return Ok(());
        }
        number += 1;
        let is_bad = number % 2 == 1;
        system.ledger.record_fault(if is_bad { "Rollout bad" } else { "Rollout good" });
        system.roll_out(&format!("v{number}"), time, is_bad, end).await?;
        sleep(Duration::from_millis(random.random_range(500..2_000))).await;
    }
}

impl SystemUnderTest {
    /// Orders a version and, once the order has ended, ends the upstreams of the version that lost,
    /// as the platform does.
    async fn roll_out(
        &self,
        version: &str,
        time: Duration,
        is_bad: bool,
        end: Instant,
    ) -> anyhow::Result<()> {
        self.store.order_rollout(ROLLOUT_SERVICE, version, time);
        self.ledger.record_order(version, time, is_bad);
        self.upstreams.set_trial(Some(version));
        for _ in 0..ROLLED_OUT_UPSTREAMS {
            self.upstreams.add_version(ROLLOUT_SERVICE, version.to_owned(), is_bad).await?;
        }
        let Some(is_completed) = self.wait_for_end(version, time, end).await else {
            // Which version gets the requests is unknown, so no upstream is ended.
            return Ok(());
        };
        self.ledger.record_rollout_end(version, is_completed);
        if is_completed {
            self.upstreams.set_version(version);
        }
        self.upstreams.set_trial(None);
        for upstream in self.upstreams.take_version(ROLLOUT_SERVICE, version, !is_completed) {
            if is_completed {
                // The platform stops upstreams of the old version without draining them.
                upstream.crash();
                self.store.put_upstream_version(
                    &upstream.version,
                    &upstream.instance,
                    ROLLOUT_SERVICE,
                    upstream.address,
                    None,
                );
            } else {
                let system = self.clone();
                tokio::spawn(async move { system.retire(&upstream, true).await });
            }
        }
        Ok(())
    }

    /// Waits until the store holds the end of an order, and returns whether the version was
    /// completed; `None` if there is no end in time.
    async fn wait_for_end(&self, version: &str, time: Duration, end: Instant) -> Option<bool> {
        let mut available = Duration::ZERO;
        let mut checked_at = Instant::now();
        while Instant::now() < end {
            match self.store.rollout_state(ROLLOUT_SERVICE, version).as_deref() {
                Some("completed") => return Some(true),
                Some("rolled_back") => return Some(false),
                _ => sleep(POLL_INTERVAL).await,
            }
            let now = Instant::now();
            if *self.store.mode.borrow() == Mode::Up {
                available += now - checked_at;
            }
            checked_at = now;
            if available > time + ROLLOUT_GRACE {
                self.ledger.record_violation(format!(
                    "{version} has no end after {available:?} with the store available, of {time:?}"
                ));
                return None;
            }
        }
        self.ledger.record_fault(&format!("Rollout {version} open at the end of the run"));
        None
    }
}

//! Tests of the system clock.

use {
    fernring_core::clock::{Clock, SystemClock},
    nix::time::{ClockId, clock_gettime},
    std::time::Duration,
};

/// A clock that stops while the VM is suspended makes all ages too low after resumption. A test
/// can't suspend its machine, so this checks that the clock read is `CLOCK_BOOTTIME`.
#[test]
fn monotonic_time_follows_boot_time_clock() {
    let boot_time = || Duration::from(clock_gettime(ClockId::CLOCK_BOOTTIME).unwrap());
    let before = boot_time();
    let clock = SystemClock::new();
    let created = boot_time();
    let lower = boot_time() - created;
    let monotonic = clock.now().monotonic;
    let upper = boot_time() - before;
    assert!(
        lower <= monotonic && monotonic <= upper,
        "monotonic time {monotonic:?} is not in {lower:?}..={upper:?}"
    );
}

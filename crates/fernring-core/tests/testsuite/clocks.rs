//! The clocks of the operating system.

use {
    fernring_core::clock::{Clock, SystemClock},
    nix::time::{ClockId, clock_gettime},
    std::time::Duration,
};

/// The steady clock stands still while a VM is suspended, so that all that had an age was too young on waking. Nothing on one
/// machine can suspend it; what can be shown is which clock is read.
#[test]
fn monotonic_time_is_that_since_boot() {
    let since_boot = || Duration::from(clock_gettime(ClockId::CLOCK_BOOTTIME).unwrap());
    let before = since_boot();
    let clock = SystemClock::new();
    let created = since_boot();
    let lower = since_boot() - created;
    let read = clock.now().monotonic;
    let upper = since_boot() - before;
    assert!(lower <= read && read <= upper, "{lower:?} {read:?} {upper:?}");
}

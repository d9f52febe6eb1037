//! Dispatching calls to a thousand workers.

use {
    fernring_gateway::{
        dispatch_round::{UnservedCapacity, WorkersByDomain},
        domain_preference::DomainWorkers,
    },
    std::{cell::Cell, time::Duration},
};

/// Owners of services with thousands of workers counted them anew for each piece.
#[test]
fn workers_of_a_domain_are_counted_once_per_round() {
    let count_calls = Cell::new(0);
    let mut cached = WorkersByDomain::default();
    let count = || {
        count_calls.set(count_calls.get() + 1);
        Some(DomainWorkers { count: 3, free_at: Duration::ZERO })
    };
    for _ in 0..1_000 {
        for domain in ["a", "b"] {
            assert_eq!(cached.get_or_count(domain, count).map(|workers| workers.count), Some(3));
        }
        assert_eq!(cached.get_or_count("none", || None), None);
    }
    assert_eq!(count_calls.get(), 2);
    // A call has started there: another worker may now be the first to be free.
    cached.invalidate("a");
    cached.get_or_count("a", count);
    cached.get_or_count("b", count);
    assert_eq!(count_calls.get(), 3);
}

#[test]
fn workers_with_no_more_free_bytes_stay_unserved() {
    let mut unserved = UnservedCapacity::default();
    assert!(!unserved.is_unserved("a", 0));
    unserved.record_unserved("a".into(), 500);
    assert!(
        unserved.is_unserved("a", 500)
            && unserved.is_unserved("a", 20)
            && !unserved.is_unserved("a", 501)
    );
    assert!(!unserved.is_unserved("b", 20), "the queued pieces may be left to that domain");
    unserved.record_unserved("a".into(), 100);
    assert!(unserved.is_unserved("a", 500));
}

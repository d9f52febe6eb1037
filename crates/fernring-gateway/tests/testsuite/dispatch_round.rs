//! Handing out calls to a thousand makers.

use {
    fernring_gateway::{
        batching::DomainWorkers,
        dispatch_round::{UnservedCapacity, WorkersByDomain},
    },
    std::{cell::Cell, time::Duration},
};

/// A few pieces that wait near a thousand idle makers: the makers of each failure domain are counted once, not for each piece and
/// maker. 45,206 of 122,963 results came too late to be used before 4,108 makers, whose owners had no time left.
#[test]
fn the_makers_of_a_domain_are_counted_once_in_a_round() {
    let counted = Cell::new(0);
    let mut known = WorkersByDomain::default();
    let count = || {
        counted.set(counted.get() + 1);
        Some(DomainWorkers { count: 3, free_at: Duration::ZERO })
    };
    for _ in 0..1_000 {
        for domain in ["a", "b"] {
            assert_eq!(known.get_or_count(domain, count).map(|makers| makers.count), Some(3));
        }
        assert_eq!(known.get_or_count("none", || None), None);
    }
    assert_eq!(counted.get(), 2);
    // A call has begun there: another one may be the first that is free.
    known.invalidate("a");
    known.get_or_count("a", count);
    known.get_or_count("b", count);
    assert_eq!(counted.get(), 3);
}

#[test]
fn a_maker_like_one_that_got_nothing_is_left_alone_and_one_with_more_room_is_not() {
    let mut left = UnservedCapacity::default();
    assert!(!left.is_unserved("a", 0));
    left.record_unserved("a".into(), 500);
    assert!(left.is_unserved("a", 500) && left.is_unserved("a", 20) && !left.is_unserved("a", 501));
    assert!(!left.is_unserved("b", 20), "what waits may be left to that domain");
    left.record_unserved("a".into(), 100);
    assert!(left.is_unserved("a", 500));
}

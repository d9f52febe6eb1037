//! How often a request may be sent, and what may be said of it.

use {
    fernring_gateway::{
        attempts::{Attempts, SendOutcome},
        model::Repeat,
    },
    proptest::prelude::*,
};

#[test]
fn a_request_that_may_run_once_is_not_sent_again_after_it_may_have_run() {
    let mut attempts = Attempts::new(Repeat::Never, 5);
    attempts.record_failure(SendOutcome::Unknown);
    assert!(!attempts.may_send());
    assert!(attempts.not_run().is_none());
}

#[test]
fn a_refusal_that_says_so_allows_another_send_and_the_promise() {
    let mut attempts = Attempts::new(Repeat::Never, 2);
    attempts.record_failure(SendOutcome::Refused);
    assert!(attempts.may_send() && attempts.next_is_extra());
    assert!(attempts.not_run().is_some());
}

#[test]
fn sends_that_reached_nobody_do_not_count() {
    let mut attempts = Attempts::new(Repeat::Never, 1);
    for _ in 0..10 {
        attempts.record_failure(SendOutcome::NotSent);
        attempts.record_failure(SendOutcome::WrongInstance);
    }
    assert!(attempts.may_send() && !attempts.next_is_extra());
}

#[test]
fn no_more_upstreams_than_allowed_are_sent_to() {
    let mut attempts = Attempts::new(Repeat::Always, 2);
    attempts.record_failure(SendOutcome::Unknown);
    assert!(attempts.may_send());
    attempts.record_failure(SendOutcome::Refused);
    assert!(!attempts.may_send());
}

fn any_end() -> impl Strategy<Value = SendOutcome> {
    prop_oneof![
        Just(SendOutcome::NotSent),
        Just(SendOutcome::Refused),
        Just(SendOutcome::WrongInstance),
        Just(SendOutcome::Unknown),
    ]
}

proptest! {
    /// However sends end, a request that may not be repeated never has two sends that may have
    /// run, and the promise is never made after one.
    #[test]
    fn at_most_once_and_true_promises(
        ends in prop::collection::vec(any_end(), 0..20),
        sends_max in 1u32..5,
    ) {
        let mut attempts = Attempts::new(Repeat::Never, sends_max);
        let mut may_have_run = 0;
        for end in ends {
            if !attempts.may_send() {
                break;
            }
            attempts.record_failure(end);
            may_have_run += u32::from(end == SendOutcome::Unknown);
        }
        prop_assert!(may_have_run <= 1);
        prop_assert_eq!(attempts.not_run().is_some(), may_have_run == 0);
    }
}

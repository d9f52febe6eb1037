//! How often a request may be sent, and what may be said of it.

use {
    fernring_gateway::{
        attempts::{Attempts, SendEnd},
        model::RetryPolicy,
    },
    proptest::prelude::*,
};

#[test]
fn a_request_that_may_run_once_is_not_sent_again_after_it_may_have_run() {
    let mut attempts = Attempts::new(RetryPolicy::Never, 5);
    attempts.ended(SendEnd::Unknown);
    assert!(!attempts.may_send());
    assert!(attempts.not_run().is_none());
}

#[test]
fn a_refusal_that_says_so_allows_another_send_and_the_promise() {
    let mut attempts = Attempts::new(RetryPolicy::Never, 2);
    attempts.ended(SendEnd::Refused);
    assert!(attempts.may_send() && attempts.next_is_extra());
    assert!(attempts.not_run().is_some());
}

#[test]
fn sends_that_reached_nobody_do_not_count() {
    let mut attempts = Attempts::new(RetryPolicy::Never, 1);
    for _ in 0..10 {
        attempts.ended(SendEnd::NotSent);
        attempts.ended(SendEnd::WrongInstance);
    }
    assert!(attempts.may_send() && !attempts.next_is_extra());
}

#[test]
fn no_more_upstreams_than_allowed_are_sent_to() {
    let mut attempts = Attempts::new(RetryPolicy::Always, 2);
    attempts.ended(SendEnd::Unknown);
    assert!(attempts.may_send());
    attempts.ended(SendEnd::Refused);
    assert!(!attempts.may_send());
}

fn any_end() -> impl Strategy<Value = SendEnd> {
    prop_oneof![
        Just(SendEnd::NotSent),
        Just(SendEnd::Refused),
        Just(SendEnd::WrongInstance),
        Just(SendEnd::Unknown),
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
        let mut attempts = Attempts::new(RetryPolicy::Never, sends_max);
        let mut may_have_run = 0;
        for end in ends {
            if !attempts.may_send() {
                break;
            }
            attempts.ended(end);
            may_have_run += u32::from(end == SendEnd::Unknown);
        }
        prop_assert!(may_have_run <= 1);
        prop_assert_eq!(attempts.not_run().is_some(), may_have_run == 0);
    }
}

//! How often a request may be sent, and when it counts as not run.

use {
    fernring_gateway::{
        attempts::{Attempts, SendOutcome},
        model::RetryPolicy,
    },
    proptest::prelude::*,
};

#[test]
fn unrepeatable_request_is_not_resent_after_possible_run() {
    let mut attempts = Attempts::new(RetryPolicy::Never, 5);
    attempts.record_failure(SendOutcome::Unknown);
    assert!(!attempts.may_send());
    assert!(attempts.not_run().is_none());
}

#[test]
fn refusal_allows_another_send_and_proves_not_run() {
    let mut attempts = Attempts::new(RetryPolicy::Never, 2);
    attempts.record_failure(SendOutcome::Refused);
    assert!(attempts.may_send() && attempts.next_is_extra());
    assert!(attempts.not_run().is_some());
}

#[test]
fn sends_that_reached_no_upstream_do_not_count() {
    let mut attempts = Attempts::new(RetryPolicy::Never, 1);
    for _ in 0..10 {
        attempts.record_failure(SendOutcome::NotSent);
        attempts.record_failure(SendOutcome::WrongInstance);
    }
    assert!(attempts.may_send() && !attempts.next_is_extra());
}

#[test]
fn sends_stop_at_the_maximum() {
    let mut attempts = Attempts::new(RetryPolicy::Always, 2);
    attempts.record_failure(SendOutcome::Unknown);
    assert!(attempts.may_send());
    attempts.record_failure(SendOutcome::Refused);
    assert!(!attempts.may_send());
}

fn any_outcome() -> impl Strategy<Value = SendOutcome> {
    prop_oneof![
        Just(SendOutcome::NotSent),
        Just(SendOutcome::GivenUp),
        Just(SendOutcome::Refused),
        Just(SendOutcome::WrongInstance),
        Just(SendOutcome::Unknown),
    ]
}

proptest! {
/// For any sequence of send outcomes, a request that may not be repeated never has two sends
/// that may have run, and the proof that nothing has run is never given after one.
#[test]
fn unrepeatable_request_runs_at_most_once(
outcomes in prop::collection::vec(any_outcome(), 0..20),
sends_max in 1u32..5,
) {
let mut attempts = Attempts::new(RetryPolicy::Never, sends_max);
let mut may_have_run = 0;
for outcome in outcomes {
if !attempts.may_send() {
break;
}
attempts.record_failure(outcome);
may_have_run += u32::from(outcome == SendOutcome::Unknown);
}
prop_assert!(may_have_run <= 1);
prop_assert_eq!(attempts.not_run().is_some(), may_have_run == 0);
}
}

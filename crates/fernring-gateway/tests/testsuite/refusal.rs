//! Statuses that promise something.

use {
    fernring_core::code::ResultCode,
    fernring_gateway::{
        attempts::{Attempts, SendEnd},
        model::RetryPolicy,
        refusal::{RETRY_AFTER_NOT_READY, Refusal},
    },
    http::StatusCode,
};

#[test]
fn only_a_request_that_has_not_run_is_refused_with_the_promise() {
    let mut attempts = Attempts::new(RetryPolicy::Never, 1);
    let not_run = attempts.not_run().expect("nothing was sent");
    let refusal = Refusal::not_run(not_run, ResultCode::NoUpstream, RETRY_AFTER_NOT_READY, "");
    assert_eq!(refusal.status(), StatusCode::SERVICE_UNAVAILABLE);
    attempts.ended(SendEnd::Unknown);
    assert!(attempts.not_run().is_none());
    for code in [ResultCode::WindowEnded, ResultCode::StageFailed] {
        let status = Refusal::may_have_run(code, "").status();
        let promising = [
            StatusCode::SERVICE_UNAVAILABLE,
            StatusCode::TOO_MANY_REQUESTS,
            StatusCode::REQUEST_TIMEOUT,
            StatusCode::MISDIRECTED_REQUEST,
        ];
        assert!(!promising.contains(&status), "{status}");
    }
}

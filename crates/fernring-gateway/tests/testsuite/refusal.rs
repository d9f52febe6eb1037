//! Tests of the statuses that guarantee that a request has not run.

use {
    fernring_core::code::ResultCode,
    fernring_gateway::{
        attempts::{Attempts, SendOutcome},
        model::RetryPolicy,
        refusal::{RETRY_AFTER_NOT_READY, Refusal},
    },
    http::StatusCode,
};

#[test]
fn only_unrun_requests_get_not_run_statuses() {
    let mut attempts = Attempts::new(RetryPolicy::Never, 1);
    let not_run = attempts.not_run().expect("nothing was sent");
    let refusal = Refusal::not_run(not_run, ResultCode::NoUpstream, RETRY_AFTER_NOT_READY, "");
    assert_eq!(refusal.status(), StatusCode::SERVICE_UNAVAILABLE);
    attempts.record_failure(SendOutcome::Unknown);
    assert!(attempts.not_run().is_none());
    for code in [ResultCode::WindowEnded, ResultCode::StageFailed] {
        let status = Refusal::may_have_run(code, "").status();
        let not_run_statuses = [
            StatusCode::SERVICE_UNAVAILABLE,
            StatusCode::TOO_MANY_REQUESTS,
            StatusCode::REQUEST_TIMEOUT,
            StatusCode::MISDIRECTED_REQUEST,
        ];
        assert!(!not_run_statuses.contains(&status), "{status}");
    }
}

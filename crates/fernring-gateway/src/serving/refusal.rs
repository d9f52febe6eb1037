//! Answers that the gateway generates itself.
//!
//! A status that guarantees that the request has not run is built only from [`NotRun`], or before
//! anything was sent.

use {
    crate::{attempts::NotRun, wire::Wire},
    bytes::Bytes,
    fernring_core::code::ResultCode,
    http::{HeaderMap, HeaderValue, Response, StatusCode, header::CONNECTION},
    http_body_util::Full,
    std::time::Duration,
};

/// Retry-after of a node that isn't ready; the retry reaches another node.
pub const RETRY_AFTER_NOT_READY: Duration = Duration::from_millis(100);

/// A final answer to a caller that the gateway generates itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// The reason.
    pub code: ResultCode,
    /// Details for the log.
    pub detail: String,
    status: StatusCode,
    retry_after: Option<Duration>,
    closes_connection: bool,
}

impl Refusal {
    /// Refuses a request that the caller has to correct. `code` must be a caller's error.
    pub fn invalid_request(code: ResultCode, detail: impl Into<String>) -> Self {
        let status = StatusCode::from_u16(code.http_status()).unwrap_or(StatusCode::BAD_REQUEST);
        let closes_connection = matches!(code, ResultCode::BadRequest | ResultCode::BodyTooLarge);
        Self { code, detail: detail.into(), status, retry_after: None, closes_connection }
    }

    /// Refuses a request in place of `refusal`, which depends on a configuration that may be
    /// outdated: another node decides, or this one after the time `after`.
    pub fn outdated(_: NotRun, after: Duration, refusal: Self) -> Self {
        Self {
            code: ResultCode::NotReady,
            detail: format!("{}, but the configuration may be outdated", refusal.detail),
            status: StatusCode::SERVICE_UNAVAILABLE,
            retry_after: Some(after),
            closes_connection: refusal.closes_connection,
        }
    }

    /// Refuses a request whose body was not received in time. It has not run, since it was
    /// incomplete.
    pub fn slow_body() -> Self {
        Self {
            code: ResultCode::BodyTooSlow,
            detail: "the body was not received in time".to_owned(),
            status: StatusCode::REQUEST_TIMEOUT,
            retry_after: None,
            closes_connection: true,
        }
    }

    /// Refuses a request that has not run.
    pub fn not_run(
        _: NotRun,
        code: ResultCode,
        after: Duration,
        detail: impl Into<String>,
    ) -> Self {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        Self {
            code,
            detail: detail.into(),
            status,
            retry_after: Some(after),
            closes_connection: false,
        }
    }

    /// Refuses a quarantined request, which crashes upstreams and has not run. There is no
    /// retry-after, since the request would be refused again.
    pub fn quarantined(_: NotRun, detail: impl Into<String>) -> Self {
        let code = ResultCode::EndsUpstreams;
        let status = StatusCode::TOO_MANY_REQUESTS;
        Self { code, detail: detail.into(), status, retry_after: None, closes_connection: false }
    }

    /// Abandons a request that may have run.
    pub fn may_have_run(code: ResultCode, detail: impl Into<String>) -> Self {
        let status = match code {
            ResultCode::WindowEnded | ResultCode::EffectUnknown => StatusCode::GATEWAY_TIMEOUT,
            _ => StatusCode::BAD_GATEWAY,
        };
        Self { code, detail: detail.into(), status, retry_after: None, closes_connection: false }
    }

    /// Returns the status.
    pub fn status(&self) -> StatusCode {
        self.status
    }

    /// Builds the HTTP response.
    pub fn response(&self, wire: &dyn Wire) -> Response<Full<Bytes>> {
        let mut response = Response::new(Full::default());
        *response.status_mut() = self.status;
        let headers: &mut HeaderMap = response.headers_mut();
        if let Some(after) = self.retry_after {
            wire.encode_retry_after(headers, after);
        }
        if self.closes_connection {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}

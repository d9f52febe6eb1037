//! Answers of the gateway's own.
//!
//! A status that promises "not run" is built only from [`NotRun`], or before anything was sent.

use {
    crate::{attempts::NotRun, wire::Wire},
    bytes::Bytes,
    fernring_core::code::ResultCode,
    http::{HeaderMap, HeaderValue, Response, StatusCode, header::CONNECTION},
    http_body_util::Full,
    std::time::Duration,
};

/// When to come back to a node that isn't ready; the retry reaches another one.
pub const RETRY_AFTER_NOT_READY: Duration = Duration::from_millis(100);

/// A final answer of the gateway's own.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// What happened.
    pub code: ResultCode,
    /// More, for the log.
    pub detail: String,
    status: StatusCode,
    retry_after: Option<Duration>,
    closes_connection: bool,
}

impl Refusal {
    /// Refuses a request that the caller has to correct. `code` must be of that kind.
    pub fn invalid_request(code: ResultCode, detail: impl Into<String>) -> Self {
        let status = StatusCode::from_u16(code.http_status()).unwrap_or(StatusCode::BAD_REQUEST);
        let closes = matches!(code, ResultCode::BadRequest | ResultCode::BodyTooLarge);
        Self { code, detail: detail.into(), status, retry_after: None, closes_connection: closes }
    }

    /// Refuses a request whose body did not come in time. It has not run: it wasn't whole.
    pub fn slow_body() -> Self {
        Self {
            code: ResultCode::BodyTooSlow,
            detail: "the body did not come in time".to_owned(),
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

    /// Turns away a request that has not run and that upstreams end under. There is no time to come back at: it would be
    /// refused again.
    pub fn quarantined(_: NotRun, detail: impl Into<String>) -> Self {
        let code = ResultCode::EndsUpstreams;
        let status = StatusCode::TOO_MANY_REQUESTS;
        Self { code, detail: detail.into(), status, retry_after: None, closes_connection: false }
    }

    /// Gives up a request that may have run.
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

    /// Builds the answer.
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

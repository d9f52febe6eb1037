//! Replies of the HTTP interface.

use {
    super::body::AnswerBody,
    fernring_core::code::ResultCode,
    futures_util::stream::BoxStream,
    rocket::{
        Request, Response, catch,
        http::{ContentType, Status},
        response::{
            Responder,
            stream::{Event, EventStream},
        },
    },
    serde::Serialize,
};

/// A reply with a JSON body, a status and, for refusals, the time to retry after.
pub(super) struct JsonReply {
    status: Status,
    retry_after_ms: Option<u64>,
    text: String,
    /// Held until the response is built.
    _open_response: Option<crate::node::OpenResponse>,
}

impl JsonReply {
    pub(super) fn new(status: u16, body: &impl Serialize) -> Self {
        let status = Status::from_code(status).unwrap_or(Status::InternalServerError);
        let text = serde_json::to_string(body).unwrap_or_else(|_| "{}".to_owned());
        Self { status, retry_after_ms: None, text, _open_response: None }
    }

    pub(super) fn answer(body: &AnswerBody) -> Self {
        let status = ResultCode::from_number(body.code).map_or(500, ResultCode::http_status);
        Self { retry_after_ms: body.retry_after_ms, ..Self::new(status, body) }
    }

    pub(super) fn refusal(code: ResultCode) -> Self {
        Self::answer(&AnswerBody::from_code(code, Some(0)))
    }

    pub(super) fn with_open_response(self, open: crate::node::OpenResponse) -> Self {
        Self { _open_response: Some(open), ..self }
    }
}

impl<'r> Responder<'r, 'static> for JsonReply {
    fn respond_to(self, _: &'r Request<'_>) -> rocket::response::Result<'static> {
        let mut response = Response::build();
        response.status(self.status).header(ContentType::JSON);
        if let Some(ms) = self.retry_after_ms {
            // The header is in whole seconds; rounding down would make callers retry too early.
            response.raw_header("Retry-After", ms.div_ceil(1_000).to_string());
        }
        response.sized_body(self.text.len(), std::io::Cursor::new(self.text)).ok()
    }
}

/// The reply to a submitted request: the final answer as JSON, or a stream of its parts as they arrive.
pub(super) enum Reply {
    Json(JsonReply),
    Stream(EventStream<BoxStream<'static, Event>>),
}

impl<'r> Responder<'r, 'r> for Reply {
    fn respond_to(self, request: &'r Request<'_>) -> rocket::response::Result<'r> {
        match self {
            Self::Json(reply) => reply.respond_to(request),
            Self::Stream(stream) => stream.respond_to(request),
        }
    }
}

#[catch(404)]
pub(super) fn not_found() -> JsonReply {
    JsonReply { status: Status::NotFound, ..JsonReply::refusal(ResultCode::BadRequest) }
}

#[catch(default)]
pub(super) fn bad_request(status: Status, _request: &Request<'_>) -> JsonReply {
    JsonReply { status, ..JsonReply::refusal(ResultCode::BadRequest) }
}

/// Replies to an error inside the node. The code says that the effect of the request is unknown.
#[catch(500)]
pub(super) fn internal_error() -> JsonReply {
    JsonReply {
        status: Status::InternalServerError,
        ..JsonReply::refusal(ResultCode::EffectUnknown)
    }
}

//! Bodies of the caller interface.

use {
    fernring_core::code::ResultCode,
    fernring_policy::answer::Answer,
    rocket::{
        Data,
        data::{ByteUnit, ToByteUnit},
    },
    serde::{Deserialize, Serialize},
};

/// Body of `POST /v1/pipelines/{name}/requests`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RequestBody {
    /// Name of the workspace.
    pub(super) workspace: String,
    /// Key by which a repeat is recognised.
    pub(super) key: Option<String>,
    /// Window, in milliseconds.
    pub(super) window_ms: Option<u64>,
    /// Input of the first stage.
    pub(super) input: String,
    /// What requests with a common prompt prefix have in common.
    pub(super) prefix: Option<String>,
    /// Whether nothing of the request may run twice.
    #[serde(default)]
    pub(super) non_idempotent: bool,
    /// Whether the answer's parts are wanted as they come.
    #[serde(default)]
    pub(super) stream: bool,
}

/// Body of `POST /v1/tickets`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct TicketsBody {
    /// Number of tickets.
    pub(super) count: u64,
}

/// A final answer.
#[derive(Debug, Serialize)]
pub(super) struct AnswerBody {
    pub(super) code: u16,
    pub(super) name: &'static str,
    pub(super) class: &'static str,
    pub(super) meaning: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) key: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) output: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) advice: Option<fernring_core::code::Advice>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) retry_after_ms: Option<u64>,
}

impl AnswerBody {
    pub(super) fn new(answer: &Answer, key: Option<String>) -> Self {
        let output = answer.output().map(ToString::to_string);
        Self { output, key, ..Self::of_code(answer.code(), answer.retry_after_ms()) }
    }

    pub(super) fn of_code(code: ResultCode, retry_after_ms: Option<u64>) -> Self {
        Self {
            code: code.number(),
            name: code.name(),
            class: code.class().name(),
            meaning: code.meaning(),
            key: None,
            output: None,
            advice: code.advice(),
            retry_after_ms,
        }
    }
}

/// Reads a JSON body.
///
/// # Errors
/// Returns the code of a body that is too large or not what is taken, with the reason.
pub(super) async fn read_json<T: for<'de> Deserialize<'de>>(
    data: Data<'_>,
    max_bytes: u64,
) -> Result<T, ResultCode> {
    let limit: ByteUnit = max_bytes.bytes();
    let read = data.open(limit).into_bytes().await;
    let bytes = read.map_err(|_| ResultCode::BadBody)?;
    if !bytes.is_complete() {
        return Err(ResultCode::BodyTooLarge);
    }
    serde_json::from_slice(&bytes).map_err(|_| ResultCode::BadBody)
}

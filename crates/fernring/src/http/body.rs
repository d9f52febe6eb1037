//! Bodies of the caller interface.

use {
    crate::settings::LimitSettings,
    fernring_core::code::ResultCode,
    fernring_policy::answer::Answer,
    rocket::{Data, data::ToByteUnit},
    serde::{Deserialize, Serialize},
    std::time::Duration,
    tokio::{
        io::{AsyncReadExt, sink},
        time::timeout,
    },
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
        Self { output, key, ..Self::from_code(answer.code(), answer.retry_after_ms()) }
    }

    pub(super) fn from_code(code: ResultCode, retry_after_ms: Option<u64>) -> Self {
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

/// How much of a body that is too large is read on, so that its sender sees the answer: closing a
/// connection with unread bytes resets it.
const DISCARD_BYTES_MAX: u64 = 64 << 20;
/// How long that is done.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// Reads a JSON body within the limits of the settings.
///
/// # Errors
/// Returns the code of a body that is too large or not what is taken.
pub(super) async fn read_json<T: for<'de> Deserialize<'de>>(
    data: Data<'_>,
    limits: &LimitSettings,
) -> Result<T, ResultCode> {
    let max_bytes = limits.body_max_bytes;
    let mut stream = data.open((max_bytes + DISCARD_BYTES_MAX).bytes());
    let mut bytes = Vec::new();
    let mut limited = (&mut stream).take(max_bytes + 1);
    limited.read_to_end(&mut bytes).await.map_err(|_| ResultCode::BadBody)?;
    if bytes.len() as u64 > max_bytes {
        // Whether it ended or not, the answer is the same.
        drop(timeout(DISCARD_TIMEOUT, tokio::io::copy(&mut stream, &mut sink())).await);
        return Err(ResultCode::BodyTooLarge);
    }
    serde_json::from_slice(&bytes).map_err(|_| ResultCode::BadBody)
}

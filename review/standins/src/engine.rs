//! What the stand-ins for model engines have in common.

use crate::http::{Message, response};

/// Returns the answer of an engine that isn't the expected one; `None` if it is.
pub fn refuse_unexpected(own: &str, request: &Message) -> Option<Vec<u8>> {
    let expected = request.header("expect-instance").unwrap_or_default();
    if expected == own {
        return None;
    }
    let name = request.header("request-id").unwrap_or_default();
    let head = format!("Request-Id: {name}\r\nInstance-Id: {own}\r\nNot-Run: 1\r\n");
    Some(response("421 Misdirected Request", &head, b""))
}

/// Encodes the head of a stream of events in chunks.
pub fn stream_head(own: &str, request: &Message) -> Vec<u8> {
    let name = request.header("request-id").unwrap_or_default();
    format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {name}\r\nServer-Stamp: {own}.{name}\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    .into_bytes()
}

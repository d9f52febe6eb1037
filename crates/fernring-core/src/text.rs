//! Log lines with escaped values, and the rule for names.

use std::fmt::{self, Write};

/// Maximum length of the name of a pipeline, stage, workspace, upstream, pool or event, in bytes.
pub const NAME_MAX_BYTES: usize = 64;
/// Maximum length of a value in a log line, in characters; longer values are truncated.
const LOG_VALUE_MAX_CHARS: usize = 200;

/// Returns whether a text is a valid name of a pipeline, stage, workspace, upstream, pool or event:
/// 1 to [`NAME_MAX_BYTES`] lower-case letters, digits, `-`, `_` and `.`, starting with a letter or
/// digit.
pub fn is_name(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "-_.".contains(c);
    let valid_start = text.starts_with(|c: char| c.is_ascii_lowercase() || c.is_ascii_digit());
    valid_start && text.len() <= NAME_MAX_BYTES && text.chars().all(allowed)
}

/// Builder of a log line of `key=value` pairs. Values are quoted and escaped where needed, so that
/// untrusted text can neither add a line nor forge a pair.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LogLine(String);

impl LogLine {
    /// Creates a line that starts with `event=name`.
    pub fn event(name: &'static str) -> Self {
        Self(format!("event={name}"))
    }

    /// Appends a pair.
    #[must_use]
    pub fn with(mut self, key: &'static str, value: impl fmt::Display) -> Self {
        let text = value.to_string();
        let _ = write!(self.0, " {key}=");
        push_escaped(&mut self.0, &text);
        self
    }

    /// Appends a pair if `value` is `Some`.
    #[must_use]
    pub fn with_some(self, key: &'static str, value: Option<impl fmt::Display>) -> Self {
        match value {
            Some(value) => self.with(key, value),
            None => self,
        }
    }
}

impl fmt::Display for LogLine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

fn push_escaped(line: &mut String, text: &str) {
    let plain = |c: char| c.is_ascii_graphic() && c != '"' && c != '=' && c != '\\';
    if !text.is_empty() && text.len() <= LOG_VALUE_MAX_CHARS && text.chars().all(plain) {
        line.push_str(text);
        return;
    }
    line.push('"');
    for c in text.chars().take(LOG_VALUE_MAX_CHARS) {
        line.extend(c.escape_default());
    }
    line.push('"');
}

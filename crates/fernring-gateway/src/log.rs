//! Output of the gateway's log lines.

use fernring_core::text::LogLine;

/// Writes the line of a decision or of an event in the node.
pub fn info(line: LogLine) {
    spdlog::info!("{line}");
}

/// Writes a line that an operator should look at.
pub fn warn(line: LogLine) {
    spdlog::warn!("{line}");
}

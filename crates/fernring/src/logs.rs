//! Log lines: one line of key=value pairs an event, on standard output.

use {
    anyhow::Context,
    serde::{Deserialize, Serialize},
    spdlog::{
        LevelFilter,
        formatter::{PatternFormatter, pattern},
    },
    std::sync::Arc,
};

/// Which log lines are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Default)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Only what an operator should look at.
    Warn,
    /// Also what happens to the node itself.
    Info,
    /// Also every decision about a request.
    #[default]
    Decision,
}

/// Sends log lines to standard output.
///
/// # Errors
/// If standard output can't be used.
pub fn start(level: LogLevel) -> anyhow::Result<()> {
    let formatter = PatternFormatter::new(pattern!(
        "time={date}T{time}.{millisecond} level={level} {payload}{eol}"
    ));
    let sink = spdlog::sink::StdStreamSink::builder()
        .std_stream(spdlog::sink::StdStream::Stdout)
        .formatter(formatter)
        .build()
        .context("could not open standard output for log lines")?;
    let filter = match level {
        LogLevel::Warn => LevelFilter::MoreSevereEqual(spdlog::Level::Warn),
        LogLevel::Info => LevelFilter::MoreSevereEqual(spdlog::Level::Info),
        LogLevel::Decision => LevelFilter::MoreSevereEqual(spdlog::Level::Debug),
    };
    let logger = spdlog::Logger::builder()
        .sink(Arc::new(sink))
        .level_filter(filter)
        .flush_level_filter(LevelFilter::All)
        .build()
        .context("could not set up logging")?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

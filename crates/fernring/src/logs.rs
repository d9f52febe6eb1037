//! Logging: each event is one line of key=value pairs on standard output.

use {
    crate::log_queue::{LineQueue, QueueWriter},
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
    /// Only events that an operator should look at.
    Warn,
    /// Also events of the node itself.
    Info,
    /// Also each decision about a request.
    #[default]
    Decision,
}

/// Sets up logging to standard output; each line is written by the thread that logs it.
///
/// # Errors
/// If standard output can't be opened or the logger can't be set up.
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

/// Sets up logging through a bounded queue, which a separate thread writes to standard output at about `bytes_per_s`
/// at most; see [`crate::log_queue`]. With `decisions` false, only warnings are logged.
///
/// # Errors
/// If the thread can't be started or the logger can't be set up.
pub fn start_bounded(decisions: bool, bytes_per_s: u32) -> anyhow::Result<()> {
    let queue = Arc::new(LineQueue::new(bytes_per_s));
    let writer = queue.clone();
    std::thread::Builder::new()
        .name("logs".to_owned())
        .spawn(move || writer.run(&mut std::io::stdout()))
        .context("could not start the thread that writes log lines")?;
    let formatter = PatternFormatter::new(pattern!(
        "time={date}T{time}.{millisecond} level={level} {payload}{eol}"
    ));
    let sink = spdlog::sink::WriteSink::builder()
        .target(QueueWriter::new(queue))
        .formatter(formatter)
        .build()
        .context("could not set up the queue of log lines")?;
    let filter = match decisions {
        true => LevelFilter::All,
        false => LevelFilter::MoreSevereEqual(spdlog::Level::Warn),
    };
    let logger = spdlog::Logger::builder()
        .sink(Arc::new(sink))
        .level_filter(filter)
        .build()
        .context("could not set up logging")?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

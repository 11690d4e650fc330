//! The log: one line of key=value pairs for each event.

use std::fmt::{Display, Write};
use std::sync::Arc;

use spdlog::formatter::{PatternFormatter, pattern};
use spdlog::sink::{Sink, SinkPropAccess, StdStreamSink};
use spdlog::{Level, LevelFilter, Logger};

use crate::errors::{Error, Result};
use crate::log_sink::BoundedSink;

/// Where a node's events go.
pub type EventLog = Arc<Logger>;

/// A log that writes lines to standard error, from a level on.
pub fn stderr_log(level: LevelFilter) -> Result<EventLog> {
    let formatter = PatternFormatter::new(pattern!(
        "time={date}T{time}.{millisecond} level={level} {payload}{eol}"
    ));
    let sink = StdStreamSink::builder()
        .stderr()
        .build()
        .map_err(log_error)?;
    sink.set_formatter(Box::new(formatter));
    sink_log(Arc::new(sink), level)
}

/// A log that writes lines to standard output without ever waiting for its reader.
pub fn stdout_log(level: LevelFilter) -> Result<EventLog> {
    let sink = BoundedSink::start(std::io::stdout())?;
    sink_log(Arc::new(sink), level)
}

/// A log that gives its lines to a sink.
pub fn sink_log(sink: Arc<dyn Sink>, level: LevelFilter) -> Result<EventLog> {
    let mut builder = Logger::builder();
    builder
        .sink(sink)
        .level_filter(level)
        .flush_level_filter(LevelFilter::All);
    builder.build_arc().map_err(log_error)
}

fn log_error(error: impl Display) -> Error {
    Error::Log(error.to_string())
}

/// One event, built up pair by pair.
#[derive(Clone, Debug)]
pub struct LogLine {
    text: String,
}

impl LogLine {
    /// A line for an event.
    pub fn new(event: &str) -> Self {
        Self {
            text: format!("event={event}"),
        }
    }

    /// The same with one more pair; values with spaces or quotes are quoted.
    pub fn with(mut self, key: &str, value: impl Display) -> Self {
        let value = value.to_string();
        let plain = !value.is_empty() && !value.contains([' ', '"', '=', '\n']);
        let written = if plain {
            write!(self.text, " {key}={value}")
        } else {
            write!(self.text, " {key}={value:?}")
        };
        debug_assert!(written.is_ok(), "writing to a string does not fail");
        self
    }

    /// The same with one more pair, where there is a value.
    pub fn with_some(self, key: &str, value: Option<impl Display>) -> Self {
        match value {
            Some(value) => self.with(key, value),
            None => self,
        }
    }

    /// The line as text of a page for operators.
    pub fn text(self) -> String {
        self.text + "\n"
    }

    /// Writes the line as an ordinary event.
    pub fn info(self, log: &EventLog) {
        self.write(log, Level::Info);
    }

    /// Writes the line as an event that an operator should look at.
    pub fn warn(self, log: &EventLog) {
        self.write(log, Level::Warn);
    }

    /// Writes the line as a detail.
    pub fn debug(self, log: &EventLog) {
        self.write(log, Level::Debug);
    }

    fn write(self, log: &EventLog, level: Level) {
        spdlog::log!(logger: log, level, "{}", self.text);
    }
}

//! Event log: one line of `key=value` pairs for each event.

use std::fmt::{Display, Write};
use std::sync::Arc;

use spdlog::formatter::{PatternFormatter, pattern};
use spdlog::sink::{Sink, SinkPropAccess, StdStreamSink};
use spdlog::{Level, LevelFilter, Logger};

use crate::errors::{Error, Result};
use crate::log_sink::BoundedSink;

/// Handle to the log of a node's events.
pub type EventLog = Arc<Logger>;

/// Creates a log that writes events of a level or above to standard error.
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

/// Creates a log that writes to standard output and never blocks on its reader.
pub fn stdout_log(level: LevelFilter) -> Result<EventLog> {
    let sink = BoundedSink::start(std::io::stdout())?;
    sink_log(Arc::new(sink), level)
}

/// Creates a log that writes events of a level or above to a sink.
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

/// Builder of the line for one event.
#[derive(Clone, Debug)]
pub struct LogLine {
    text: String,
}

impl LogLine {
    /// Starts a line with the name of the event.
    pub fn new(event: &str) -> Self {
        Self {
            text: format!("event={event}"),
        }
    }

    /// Appends a pair. A value is quoted, with escapes, if it is empty or has a space, a quote, `=` or a control
    /// character.
    pub fn with(mut self, key: &str, value: impl Display) -> Self {
        let value = value.to_string();
        let plain = !value.is_empty() && value.chars().all(is_plain);
        let written = if plain {
            write!(self.text, " {key}={value}")
        } else {
            write!(self.text, " {key}={value:?}")
        };
        debug_assert!(written.is_ok(), "writing to a string does not fail");
        self
    }

    /// Appends a pair if there is a value.
    pub fn with_some(self, key: &str, value: Option<impl Display>) -> Self {
        match value {
            Some(value) => self.with(key, value),
            None => self,
        }
    }

    /// Returns the line with a line break, for the text pages that operators read.
    pub fn text(self) -> String {
        self.text + "\n"
    }

    /// Logs the line at level info.
    pub fn info(self, log: &EventLog) {
        self.write(log, Level::Info);
    }

    /// Logs the line at level warn, for events that need an operator's attention.
    pub fn warn(self, log: &EventLog) {
        self.write(log, Level::Warn);
    }

    /// Logs the line at level debug.
    pub fn debug(self, log: &EventLog) {
        self.write(log, Level::Debug);
    }

    fn write(self, log: &EventLog, level: Level) {
        spdlog::log!(logger: log, level, "{}", self.text);
    }
}

fn is_plain(character: char) -> bool {
    !character.is_whitespace() && !character.is_control() && !matches!(character, '"' | '=')
}

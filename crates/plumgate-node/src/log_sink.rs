//! A sink of log lines that neither blocks nor floods: a thread of its own writes them, and what
//! is too much is counted and summed up in a line of its own.

use std::fmt::Write as _;
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use async_channel::{Receiver, Sender, TrySendError};
use spdlog::formatter::Formatter;
use spdlog::sink::{Sink, SinkPropAccess};
use spdlog::{ErrorHandler, Level, LevelFilter, Record};

use crate::errors::{Error, Result};

/// Lines that wait for the writer: about a second of full load.
const LINES_WAITING: usize = 1024;
/// Span over which the volume is bounded.
const VOLUME_SPAN: Duration = Duration::from_secs(1);
/// Lines of ordinary events in a span: about two for each of some 200 requests. Warnings are
/// written beyond it.
const LINES_MOST: u32 = 500;
/// Bytes that are written in one call at most.
const BATCH_BYTES: usize = 32 * 1024;

/// What was written in the present span.
struct VolumeSpan {
    started: Instant,
    lines: u32,
    left_out: u64,
}

/// A sink that hands its lines to a thread.
pub struct BoundedSink {
    lines: Sender<String>,
    span: Mutex<VolumeSpan>,
    overflowed: AtomicU64,
}

impl BoundedSink {
    /// A sink that writes to a writer, which may stall for as long as it likes.
    pub fn start<W: Write + Send + 'static>(writer: W) -> Result<Self> {
        let (lines, waiting) = async_channel::bounded(LINES_WAITING);
        std::thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(writer, &waiting))
            .map_err(Error::Thread)?;
        Ok(Self {
            lines,
            span: Mutex::new(VolumeSpan {
                started: Instant::now(),
                lines: 0,
                left_out: 0,
            }),
            overflowed: AtomicU64::new(0),
        })
    }

    /// Whether one more ordinary line may be written now; sums up what was left out before.
    fn admit(&self, level: Level) -> bool {
        let now = Instant::now();
        let mut span = self.span.lock().unwrap_or_else(PoisonError::into_inner);
        if now.saturating_duration_since(span.started) >= VOLUME_SPAN {
            let left_out = span.left_out + self.overflowed.swap(0, Ordering::Relaxed);
            if left_out > 0 {
                self.send(format!(
                    "{} level=warn event=log_left_out lines={left_out}\n",
                    time_field()
                ));
            }
            *span = VolumeSpan {
                started: now,
                lines: 0,
                left_out: 0,
            };
        }
        span.lines += 1;
        if span.lines <= LINES_MOST || LevelFilter::MoreSevereEqual(Level::Warn).test(level) {
            return true;
        }
        span.left_out += 1;
        false
    }

    fn send(&self, line: String) {
        if let Err(TrySendError::Full(_)) = self.lines.try_send(line) {
            self.overflowed.fetch_add(1, Ordering::Relaxed);
        }
    }
}

fn time_field() -> String {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    format!("time={}.{:03}", since.as_secs(), since.subsec_millis())
}

impl SinkPropAccess for BoundedSink {
    fn level_filter(&self) -> LevelFilter {
        LevelFilter::All
    }

    /// The logger filters; the sink takes whatever it is given.
    fn set_level_filter(&self, _: LevelFilter) {}

    /// The form of a line is fixed.
    fn set_formatter(&self, _: Box<dyn Formatter>) {}

    /// Nothing here reports errors: a line that can't be written is counted.
    fn set_error_handler(&self, _: ErrorHandler) {}
}

impl Sink for BoundedSink {
    fn log(&self, record: &Record) -> spdlog::Result<()> {
        if !self.admit(record.level()) {
            return Ok(());
        }
        let mut line = time_field();
        let level = record.level().as_str();
        let written = writeln!(line, " level={level} {}", record.payload());
        debug_assert!(written.is_ok(), "writing to a string does not fail");
        self.send(line);
        Ok(())
    }

    fn flush(&self) -> spdlog::Result<()> {
        Ok(())
    }
}

fn write_lines<W: Write>(mut writer: W, waiting: &Receiver<String>) {
    while let Ok(first) = waiting.recv_blocking() {
        let mut batch = first;
        while batch.len() < BATCH_BYTES {
            let Ok(line) = waiting.try_recv() else { break };
            batch.push_str(&line);
        }
        // Whoever read the log is gone; there is nobody to tell.
        let _ = writer.write_all(batch.as_bytes());
        let _ = writer.flush();
    }
}

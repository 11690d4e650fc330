//! Log sink that never blocks its callers and limits the volume: a separate thread writes the lines, and lines
//! beyond the limits are dropped, counted, and reported in one summary line.

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

/// Capacity of the queue to the writer thread in lines: about one second of full load.
const QUEUE_CAPACITY: usize = 1024;
/// Period over which the number of lines is limited.
const RATE_PERIOD: Duration = Duration::from_secs(1);
/// Limit of lines in a period: about two for each of some 200 requests. Lines of level warn and above count
/// towards it, but are written beyond it.
const MAX_PERIOD_LINES: u32 = 500;
/// Size in bytes at which a batch is written without adding further lines.
const MAX_BATCH_BYTES: usize = 32 * 1024;

/// Counters of the current rate period.
struct RatePeriod {
    started: Instant,
    lines: u32,
    dropped: u64,
}

/// Log sink that passes its lines to a writer thread through a bounded queue.
pub struct BoundedSink {
    lines: Sender<String>,
    period: Mutex<RatePeriod>,
    overflowed: AtomicU64,
}

impl BoundedSink {
    /// Starts the writer thread. The writer may block for any length of time. Returns an error if the
    /// thread can't be started.
    pub fn start<W: Write + Send + 'static>(writer: W) -> Result<Self> {
        let (lines, queue) = async_channel::bounded(QUEUE_CAPACITY);
        std::thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(writer, &queue))
            .map_err(Error::Thread)?;
        Ok(Self {
            lines,
            period: Mutex::new(RatePeriod {
                started: Instant::now(),
                lines: 0,
                dropped: 0,
            }),
            overflowed: AtomicU64::new(0),
        })
    }

    /// Counts a line and returns whether to write it. At the start of a period it first reports the lines that
    /// were dropped before.
    fn admit(&self, level: Level) -> bool {
        let now = Instant::now();
        let mut period = self.period.lock().unwrap_or_else(PoisonError::into_inner);
        if now.saturating_duration_since(period.started) >= RATE_PERIOD {
            let dropped = period.dropped + self.overflowed.swap(0, Ordering::Relaxed);
            if dropped > 0 {
                self.send(format!(
                    "{} level=warn event=log_left_out lines={dropped}\n",
                    time_field()
                ));
            }
            *period = RatePeriod {
                started: now,
                lines: 0,
                dropped: 0,
            };
        }
        period.lines += 1;
        if period.lines <= MAX_PERIOD_LINES || LevelFilter::MoreSevereEqual(Level::Warn).test(level)
        {
            return true;
        }
        period.dropped += 1;
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

    /// Does nothing: the logger filters by level, and the sink writes all lines that it receives.
    fn set_level_filter(&self, _: LevelFilter) {}

    /// Does nothing: the format of a line is fixed.
    fn set_formatter(&self, _: Box<dyn Formatter>) {}

    /// Does nothing: a line that can't be queued is counted instead of being reported as an error.
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

fn write_lines<W: Write>(mut writer: W, queue: &Receiver<String>) {
    while let Ok(first) = queue.recv_blocking() {
        let mut batch = first;
        while batch.len() < MAX_BATCH_BYTES {
            let Ok(line) = queue.try_recv() else { break };
            batch.push_str(&line);
        }
        // An error means that the log's reader has closed its end, so there is nowhere to report it.
        let _ = writer.write_all(batch.as_bytes());
        let _ = writer.flush();
    }
}

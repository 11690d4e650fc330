//! Tests of the log sink: a flood of lines, and a reader that stalls.

use std::io::{self, Write};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use plumgate_node::log::{LogLine, sink_log};
use plumgate_node::log_sink::BoundedSink;
use spdlog::LevelFilter;

/// Writer that stores what is written, for inspection. Clones share their contents.
#[derive(Clone, Default)]
struct CapturingWriter(Arc<Mutex<Vec<u8>>>);

impl CapturingWriter {
    fn text(&self) -> String {
        let bytes = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        String::from_utf8_lossy(&bytes).into_owned()
    }
}

impl Write for CapturingWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut written = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        written.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writer whose writes never complete.
struct StalledWriter;

impl Write for StalledWriter {
    fn write(&mut self, _: &[u8]) -> io::Result<usize> {
        loop {
            std::thread::sleep(Duration::from_secs(3_600));
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

// Guards against requests that block on the log. The reader of the log has stalled and its pipe is full; the
// sink must drop lines instead of blocking the threads that log them.
#[test]
fn stalled_reader_does_not_block_logging() {
    let sink = BoundedSink::start(StalledWriter).expect("a sink");
    let log = sink_log(Arc::new(sink), LevelFilter::All).expect("a log");
    let start = Instant::now();
    for number in 0..20_000 {
        LogLine::new("request").with("number", number).warn(&log);
    }
    assert!(
        start.elapsed() < Duration::from_secs(2),
        "{:?}",
        start.elapsed()
    );
}

// Guards against lines that are dropped without a trace: to an operator, a request without a line looks like
// one that never arrived. After a flood the log must report the number of dropped lines and still contain the
// warnings.
#[test]
fn log_flood_is_limited_and_dropped_lines_are_reported() {
    let writer = CapturingWriter::default();
    let sink = BoundedSink::start(writer.clone()).expect("a sink");
    let log = sink_log(Arc::new(sink), LevelFilter::All).expect("a log");
    for number in 0..3_000 {
        LogLine::new("request").with("number", number).info(&log);
    }
    LogLine::new("source_lost").warn(&log);
    std::thread::sleep(Duration::from_millis(1_100));
    LogLine::new("request").with("number", "last").info(&log);
    std::thread::sleep(Duration::from_millis(200));
    let text = writer.text();
    let lines = text.matches("event=request").count();
    assert!(lines <= 501, "{lines} lines");
    assert!(text.contains("event=source_lost"));
    assert!(text.contains("event=log_left_out lines=25"), "{text}");
    assert!(
        text.contains("number=last"),
        "lines are written again in the next period"
    );
}

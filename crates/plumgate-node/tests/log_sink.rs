//! The log under load and before a reader that stalls.

use std::io::{self, Write};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use plumgate_node::log::{LogLine, sink_log};
use plumgate_node::log_sink::BoundedSink;
use spdlog::LevelFilter;

/// Keeps what was written.
#[derive(Clone, Default)]
struct KeptWriter(Arc<Mutex<Vec<u8>>>);

impl KeptWriter {
    fn text(&self) -> String {
        let bytes = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        String::from_utf8_lossy(&bytes).into_owned()
    }
}

impl Write for KeptWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut kept = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        kept.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Never gets to the end of a write.
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

// Requests must not wait for whoever reads the log. The reader stalls and its pipe is full; lines
// are dropped then, and nobody who writes one notices.
#[test]
fn stalled_reader_stops_nobody() {
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

// An operator looks for a request that has no line. The log says how many lines it left out, and
// warnings are still there: silence would look like a request that never came.
#[test]
fn flood_is_bounded_and_what_is_left_out_is_told() {
    let writer = KeptWriter::default();
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
    assert!(text.contains("number=last"), "it goes on afterwards");
}

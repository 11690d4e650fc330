//! Splitter of a stream into complete events, so that another server can continue the stream if it breaks.

use bytes::{Buf, Bytes, BytesMut};

/// Maximum size in bytes of an event that is buffered until it is complete.
const MAX_EVENT_BYTES: usize = 1024 * 1024;
/// Prefix of the line that holds the number of an event.
const ID_FIELD: &[u8] = b"id:";

/// Splitter that buffers the beginning of an event until the event is complete.
///
/// A server may stop in the middle of an event. The bytes sent to the caller must end with a complete event, so
/// that the events of another server can follow.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Bytes of the buffer that were searched for the end of an event.
    scanned: usize,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// Creates a splitter for a stream. `last_id` is the number of the last event that the caller has received.
    pub fn new(last_id: Option<u64>) -> Self {
        Self {
            last_id,
            ..Self::default()
        }
    }

    /// Adds bytes of the stream and returns the events that are complete now, if any.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        self.buffer.extend_from_slice(bytes);
        let end = self.last_event_end()?;
        let events = self.buffer.split_to(end).freeze();
        self.scanned = 0;
        self.record_id(&events);
        Some(events)
    }

    /// Returns the buffered bytes, which don't form a complete event yet.
    pub fn partial(&self) -> &[u8] {
        &self.buffer
    }

    /// Drops the buffered beginning of an event whose end will not be received.
    pub fn drop_partial(&mut self) {
        let buffer = self.buffer.len();
        self.buffer.advance(buffer);
        self.scanned = 0;
    }

    /// Returns whether the buffered event is larger than an event may be.
    pub fn is_overlong(&self) -> bool {
        self.buffer.len() > MAX_EVENT_BYTES
    }

    /// Returns the number of the last complete event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    fn last_event_end(&mut self) -> Option<usize> {
        // An event ends with an empty line, whose line ends may arrive in separate pieces.
        let from = self.scanned.saturating_sub(3);
        let mut end = None;
        for at in from..self.buffer.len() {
            let seen = &self.buffer[..=at];
            if seen.ends_with(b"\n\n") || seen.ends_with(b"\r\n\r\n") {
                end = Some(at + 1);
            }
        }
        self.scanned = self.buffer.len();
        end
    }

    fn record_id(&mut self, events: &[u8]) {
        let lines = events.split(|byte| *byte == b'\n');
        let ids = lines.filter_map(|line| line.strip_prefix(ID_FIELD));
        let mut numbers = ids.filter_map(|id| std::str::from_utf8(id).ok()?.trim().parse().ok());
        self.last_id = numbers.next_back().or(self.last_id);
    }
}

//! Splitter of a stream into complete events, so that another server can continue the stream if it breaks.

use bytes::{Bytes, BytesMut};

use super::answer_end::ContentEnd;

/// Maximum size in bytes of an event that is buffered until it is complete.
const MAX_EVENT_BYTES: usize = 1024 * 1024;
/// Prefix of the line that holds the number of an event.
const ID_FIELD: &[u8] = b"id:";
/// Bytes that may precede the first line of a stream.
const BYTE_ORDER_MARK: &[u8] = "\u{feff}".as_bytes();

/// End of a line. A stream may mix them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LineEnd {
    /// Line feed.
    Lf,
    /// Carriage return and line feed.
    CrLf,
    /// Carriage return.
    Cr,
}

/// Current line, as far as it was received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum LineState {
    /// Nothing of the line was received.
    #[default]
    Empty,
    /// A comment.
    Comment,
    /// A field of an event.
    Field,
    /// An empty line that ended with a carriage return, after a line that ended with both: a line feed is due.
    AwaitsLineFeed,
}

/// What ended with the last byte, if that was a carriage return: a line feed right after it belongs to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CarriageReturn {
    /// A line.
    Line,
    /// An event.
    Event,
}

/// Effect of a byte on the current event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ByteEffect {
    /// The event goes on.
    None,
    /// The event ends with this byte.
    EndsEvent,
    /// The event ended before this byte.
    EndedEvent,
}

/// Position in the syntax of a source's events.
#[derive(Clone, Copy, Debug, Default)]
struct SyntaxState {
    line: LineState,
    /// Whether the current event has a field.
    has_fields: bool,
    /// Whether an event has ended.
    has_events: bool,
    /// End of the last line.
    last_end: Option<LineEnd>,
    /// What ended with the last byte, if that was a carriage return.
    carriage_return: Option<CarriageReturn>,
}

impl SyntaxState {
    /// Adds a byte of the stream.
    fn push(&mut self, byte: u8) -> ByteEffect {
        let carriage_return = self.carriage_return.take();
        if byte == b'\n'
            && let Some(ended) = carriage_return
        {
            return self.push_line_feed(ended);
        }
        let awaited = self.line == LineState::AwaitsLineFeed;
        if awaited {
            self.end_event();
        }
        let effect = self.push_in_line(byte);
        if awaited && effect == ByteEffect::None {
            return ByteEffect::EndedEvent;
        }
        effect
    }

    /// Adds a line feed that belongs to the carriage return before it.
    fn push_line_feed(&mut self, ended: CarriageReturn) -> ByteEffect {
        self.last_end = Some(LineEnd::CrLf);
        if self.line == LineState::AwaitsLineFeed {
            self.end_event();
            return ByteEffect::EndsEvent;
        }
        match ended {
            CarriageReturn::Line => ByteEffect::None,
            CarriageReturn::Event => ByteEffect::EndsEvent,
        }
    }

    fn push_in_line(&mut self, byte: u8) -> ByteEffect {
        if matches!(byte, b'\r' | b'\n') {
            return self.end_line(byte);
        }
        if self.line == LineState::Empty {
            let is_comment = byte == b':';
            self.has_fields |= !is_comment;
            self.line = if is_comment {
                LineState::Comment
            } else {
                LineState::Field
            };
        }
        ByteEffect::None
    }

    fn end_line(&mut self, byte: u8) -> ByteEffect {
        let is_blank = self.line == LineState::Empty;
        let is_carriage_return = byte == b'\r';
        if is_blank && is_carriage_return && self.last_end == Some(LineEnd::CrLf) {
            // The stream's line ends have a line feed; without it, this one is incomplete.
            self.line = LineState::AwaitsLineFeed;
            self.carriage_return = Some(CarriageReturn::Line);
            return ByteEffect::None;
        }
        if is_carriage_return {
            self.carriage_return = Some(if is_blank {
                CarriageReturn::Event
            } else {
                CarriageReturn::Line
            });
        }
        if is_blank {
            self.end_event();
            return ByteEffect::EndsEvent;
        }
        self.line = LineState::Empty;
        self.last_end = Some(if is_carriage_return {
            LineEnd::Cr
        } else {
            LineEnd::Lf
        });
        ByteEffect::None
    }

    fn end_event(&mut self) {
        self.has_events |= self.has_fields;
        self.has_fields = false;
        self.line = LineState::Empty;
    }

    /// Returns where an end of the stream would be.
    fn content_end(&self) -> ContentEnd {
        match self.line {
            LineState::AwaitsLineFeed => ContentEnd::InsideLine,
            _ if self.has_fields => ContentEnd::InsideEvent,
            LineState::Comment => ContentEnd::InsideLine,
            _ if self.has_events => ContentEnd::AfterEvent,
            _ => ContentEnd::BeforeEvent,
        }
    }
}

/// Splitter that buffers the beginning of an event until the event is complete.
///
/// A server may stop in the middle of an event. The bytes sent to the caller must end with a complete event, so
/// that the events of another server can follow.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Bytes of the buffer that were added to the syntax state.
    scanned: usize,
    syntax: SyntaxState,
    /// Whether the current source has sent its first line.
    has_started: bool,
    /// Whether the events of an earlier source precede those of the current one.
    is_continued: bool,
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
        if !self.has_started && !self.skip_byte_order_mark() {
            return None;
        }
        let end = self.last_event_end()?;
        let events = self.buffer.split_to(end).freeze();
        self.scanned -= end;
        self.record_id(&events);
        Some(events)
    }

    /// Returns the buffered bytes, which don't form a complete event yet.
    pub fn partial(&self) -> &[u8] {
        &self.buffer
    }

    /// Returns where an end of the stream would be now.
    pub fn content_end(&self) -> ContentEnd {
        if !self.has_started && !self.buffer.is_empty() {
            return ContentEnd::InsideLine;
        }
        self.syntax.content_end()
    }

    /// Continues with the events of another source, which follow the last complete event. The buffered beginning of
    /// an event is dropped.
    pub fn begin_source(&mut self) {
        self.buffer.clear();
        self.scanned = 0;
        self.syntax = SyntaxState::default();
        self.has_started = false;
        self.is_continued = true;
    }

    /// Returns whether the buffered event is larger than an event may be.
    pub fn is_overlong(&self) -> bool {
        self.buffer.len() > MAX_EVENT_BYTES
    }

    /// Returns whether the current source has sent a complete event.
    pub fn has_events(&self) -> bool {
        self.syntax.has_events
    }

    /// Returns the number of the last complete event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Passes over a byte order mark at the start of a source. Returns whether enough bytes were received to know.
    fn skip_byte_order_mark(&mut self) -> bool {
        let length = BYTE_ORDER_MARK.len().min(self.buffer.len());
        if self.buffer[..length] != BYTE_ORDER_MARK[..length] {
            self.has_started = true;
        } else if length == BYTE_ORDER_MARK.len() {
            self.has_started = true;
            if self.is_continued {
                // Within a stream it would be a part of the first field's name.
                let _ = self.buffer.split_to(length);
            } else {
                self.scanned = length;
            }
        }
        self.has_started
    }

    fn last_event_end(&mut self) -> Option<usize> {
        let mut end = None;
        for at in self.scanned..self.buffer.len() {
            match self.syntax.push(self.buffer[at]) {
                ByteEffect::None => {}
                ByteEffect::EndsEvent => end = Some(at + 1),
                ByteEffect::EndedEvent => end = Some(at),
            }
        }
        self.scanned = self.buffer.len();
        end
    }

    fn record_id(&mut self, events: &[u8]) {
        let lines = events.split(|byte| matches!(byte, b'\n' | b'\r'));
        let ids = lines.filter_map(|line| line.strip_prefix(ID_FIELD));
        let mut numbers = ids.filter_map(|id| std::str::from_utf8(id).ok()?.trim().parse().ok());
        self.last_id = numbers.next_back().or(self.last_id);
    }
}

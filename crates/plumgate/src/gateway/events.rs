//! Cuts a stream into whole events, so that a broken one can be continued elsewhere.

use bytes::{Buf, Bytes, BytesMut};

/// Largest event that is held back until it is whole, in bytes.
const LARGEST_EVENT: usize = 1024 * 1024;
/// Field that numbers an event.
const ID_FIELD: &[u8] = b"id:";

/// Holds back the beginning of an event until its end has come.
///
/// A server may stop in the middle of an event. What the caller has must end with a whole one,
/// or another server's events could not follow it.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    held: BytesMut,
    scanned: usize,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// A splitter at the beginning of a stream, or after an event that the caller has already.
    pub fn new(last_id: Option<u64>) -> Self {
        Self {
            last_id,
            ..Self::default()
        }
    }

    /// Takes in bytes and gives back the whole events among all that came.
    pub fn take(&mut self, bytes: &[u8]) -> Option<Bytes> {
        self.held.extend_from_slice(bytes);
        let end = self.last_event_end()?;
        let whole = self.held.split_to(end).freeze();
        self.scanned = 0;
        self.note_id(&whole);
        Some(whole)
    }

    /// The rest that is no whole event.
    pub fn rest(&self) -> &[u8] {
        &self.held
    }

    /// Drops the beginning of an event whose end will not come.
    pub fn drop_rest(&mut self) {
        let held = self.held.len();
        self.held.advance(held);
        self.scanned = 0;
    }

    /// Whether more is held back than an event may have.
    pub fn is_overlong(&self) -> bool {
        self.held.len() > LARGEST_EVENT
    }

    /// The number of the last whole event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    fn last_event_end(&mut self) -> Option<usize> {
        // An event ends with an empty line; its two line ends may have come in two pieces.
        let from = self.scanned.saturating_sub(3);
        let mut end = None;
        for at in from..self.held.len() {
            let seen = &self.held[..=at];
            if seen.ends_with(b"\n\n") || seen.ends_with(b"\r\n\r\n") {
                end = Some(at + 1);
            }
        }
        self.scanned = self.held.len();
        end
    }

    fn note_id(&mut self, whole: &[u8]) {
        let lines = whole.split(|byte| *byte == b'\n');
        let ids = lines.filter_map(|line| line.strip_prefix(ID_FIELD));
        let mut numbers = ids.filter_map(|id| std::str::from_utf8(id).ok()?.trim().parse().ok());
        self.last_id = numbers.next_back().or(self.last_id);
    }
}

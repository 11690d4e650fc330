//! Bytes that are held for callers that read slowly, by stream and workspace, and the choice of the streams that are
//! read ahead.
//!
//! A stream, and a workspace, may hold a share of the bytes that are still free. As the free bytes get fewer, the
//! slowest readers, which hold the most, are the first that are not read further; the total is never exceeded.

use std::collections::HashMap;

use crate::ids::WorkspaceId;

/// Share of the free bytes that one stream may hold.
const STREAM_SHARE: f64 = 0.25;

/// Number of a stream that is read ahead.
pub type StreamNumber = u64;

/// Bounds on the bytes that are held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadAheadBounds {
    /// Maximum for all streams together.
    pub total_bytes: usize,
    /// Maximum for one stream.
    pub stream_bytes: usize,
}

impl ReadAheadBounds {
    /// Creates bounds with a total. A stream may hold an eighth of it, and a mebibyte at most: answers are rarely longer.
    pub fn new(total_bytes: usize) -> Self {
        Self {
            total_bytes,
            stream_bytes: (total_bytes / 8).min(1024 * 1024),
        }
    }
}

/// Bytes and streams of a table.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReadAheadUse {
    /// Bytes that are held.
    pub bytes: usize,
    /// Streams for which bytes are held.
    pub streams: usize,
    /// Those of them that are not read further.
    pub denied_streams: usize,
}

#[derive(Clone, Debug, Default)]
struct HeldStream {
    workspace: Option<WorkspaceId>,
    bytes: usize,
    is_denied: bool,
}

/// Bytes that a node holds for callers that read slowly.
#[derive(Clone, Debug)]
pub struct ReadAheadTable {
    bounds: ReadAheadBounds,
    bytes: usize,
    denied: usize,
    streams: HashMap<StreamNumber, HeldStream>,
    /// Bytes by workspace, without those that hold nothing. Requests without a key share one entry.
    workspaces: HashMap<Option<WorkspaceId>, usize>,
    last: StreamNumber,
}

impl ReadAheadTable {
    /// Creates an empty table.
    pub fn new(bounds: ReadAheadBounds) -> Self {
        Self {
            bounds,
            bytes: 0,
            denied: 0,
            streams: HashMap::new(),
            workspaces: HashMap::new(),
            last: 0,
        }
    }

    /// Adds a stream whose caller does not keep up.
    pub fn open(&mut self, workspace: Option<WorkspaceId>) -> StreamNumber {
        self.last += 1;
        let stream = HeldStream {
            workspace,
            ..HeldStream::default()
        };
        self.streams.insert(self.last, stream);
        self.last
    }

    /// Returns whether up to `bytes` more may be read of a stream. They count once they are held.
    pub fn allows(&mut self, number: StreamNumber, bytes: usize) -> bool {
        let free = self.bounds.total_bytes.saturating_sub(self.bytes);
        let Some(stream) = self.streams.get_mut(&number) else {
            return false;
        };
        let max_stream = (free as f64 * STREAM_SHARE) as usize;
        let of_workspace = self.workspaces.get(&stream.workspace).copied();
        let is_allowed = bytes <= free
            && stream.bytes + bytes <= max_stream.min(self.bounds.stream_bytes)
            && of_workspace.unwrap_or(0) + bytes <= free;
        if stream.is_denied == is_allowed {
            stream.is_denied = !is_allowed;
            self.denied = if is_allowed {
                self.denied.saturating_sub(1)
            } else {
                self.denied + 1
            };
        }
        is_allowed
    }

    /// Records bytes that were read of a stream before its caller takes them.
    pub fn hold(&mut self, number: StreamNumber, bytes: usize) {
        if let Some(stream) = self.streams.get_mut(&number) {
            stream.bytes += bytes;
            self.bytes += bytes;
            *self.workspaces.entry(stream.workspace.clone()).or_default() += bytes;
        }
    }

    /// Records bytes that were passed on to the caller.
    pub fn release(&mut self, number: StreamNumber, bytes: usize) {
        let Some(stream) = self.streams.get_mut(&number) else {
            return;
        };
        let bytes = bytes.min(stream.bytes);
        stream.bytes -= bytes;
        self.bytes -= bytes;
        if let Some(of_workspace) = self.workspaces.get_mut(&stream.workspace) {
            *of_workspace = of_workspace.saturating_sub(bytes);
            if *of_workspace == 0 {
                self.workspaces.remove(&stream.workspace);
            }
        }
    }

    /// Removes a stream with all that is held for it.
    pub fn close(&mut self, number: StreamNumber) {
        self.release(number, usize::MAX);
        if let Some(stream) = self.streams.remove(&number) {
            self.denied -= usize::from(stream.is_denied);
        }
    }

    /// Returns what is held.
    pub fn held(&self) -> ReadAheadUse {
        ReadAheadUse {
            bytes: self.bytes,
            streams: self.streams.len(),
            denied_streams: self.denied,
        }
    }
}

//! Reads bodies of requests within the memory of the node.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use event_listener::Event;
use futures_lite::future;
use http_body_util::BodyExt;
use hyper::StatusCode;
use hyper::body::{Body, Incoming};
use plumgate::callers::{BodyId, BodyTable};
use plumgate::gateway::{MemoryAccount, MemoryHold};

use crate::caller_error::CallerError;
use crate::clock::{Clock, until};

/// Bytes of a body that must arrive within its progress timeout, unless it is complete.
const MIN_PROGRESS: usize = 1024;
/// First size of the buffer of a body without an announced length, in bytes.
const FIRST_CAPACITY: usize = 4 * 1024;
/// Pieces that any body may have.
const FREE_PIECES: usize = 16 * 1024;
/// Bytes that each further piece of a body without an announced length has on average at least.
const MIN_PIECE: usize = 64;
/// Pieces after which other tasks get their turn.
const PIECES_PER_TURN: usize = 64;
/// Retry delay while this node has no memory for a request: most of those that hold some end within it.
const MEMORY_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Time for which a body waits for the memory of others that gave it up.
const MAX_MEMORY_WAIT: Duration = Duration::from_millis(200);

/// Limits on the body of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BodyLimits {
    /// Maximum size in bytes.
    pub(crate) max_bytes: usize,
    /// Time within which a body must make progress.
    pub(crate) progress_timeout: Duration,
}

/// Why a body was not read to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyError {
    /// It is larger than allowed.
    TooLarge,
    /// There is no memory for it.
    NoMemory,
    /// It gave up its memory to others that arrive faster.
    Revoked,
    /// It did not make progress in time.
    Stalled,
    /// It arrives in far more chunks than its size needs.
    TooManyChunks,
    /// The connection broke, or the framing is invalid.
    Broken,
}

impl BodyError {
    /// Returns the answer to the caller. The request did not run.
    pub(crate) fn to_caller_error(self, limits: BodyLimits) -> CallerError {
        let (status, kind, message) = match self {
            Self::TooLarge => {
                let message = format!("the body is larger than {} bytes", limits.max_bytes);
                let status = StatusCode::PAYLOAD_TOO_LARGE;
                return CallerError::invalid(status, "too_large", message);
            }
            Self::NoMemory | Self::Revoked => {
                return CallerError::not_run(
                    StatusCode::SERVICE_UNAVAILABLE,
                    "no_memory",
                    "this node has no memory for the body now; the request was not run",
                    MEMORY_RETRY_DELAY,
                );
            }
            Self::Stalled => (
                StatusCode::REQUEST_TIMEOUT,
                "body_timeout",
                "the body did not come in time",
            ),
            Self::TooManyChunks => (
                StatusCode::BAD_REQUEST,
                "too_many_chunks",
                "the body consists of too many small chunks",
            ),
            Self::Broken => (
                StatusCode::BAD_REQUEST,
                "bad_body",
                "the body could not be read",
            ),
        };
        CallerError::invalid(status, kind, message)
    }
}

/// Bodies that are being received, and the memory that they share with other parts of requests.
#[derive(Debug)]
pub(crate) struct BodyReader {
    account: Arc<MemoryAccount>,
    state: Mutex<ReaderState>,
    /// Notified when a body has released its memory.
    released: Event,
}

#[derive(Debug, Default)]
struct ReaderState {
    table: BodyTable,
    /// Events by which bodies learn that they give up their memory.
    revocations: HashMap<BodyId, Arc<Event>>,
    /// Number of bodies that have not released their memory yet, although they give it up.
    revoked: usize,
}

impl BodyReader {
    /// Creates a reader that takes memory from an account.
    pub(crate) fn new(account: Arc<MemoryAccount>) -> Self {
        Self {
            account,
            state: Mutex::default(),
            released: Event::new(),
        }
    }

    /// Reads a body to its end. Calls `on_bytes` with each piece of it.
    pub(crate) async fn read<C: Clock>(
        &self,
        clock: &C,
        limits: BodyLimits,
        body: &mut Incoming,
        on_bytes: impl FnMut(&[u8]),
    ) -> Result<(Bytes, MemoryHold), BodyError> {
        if body.is_end_stream() {
            return Ok((Bytes::new(), MemoryHold::new(self.account.clone())));
        }
        let (entry, revocation) = self.begin(clock.now());
        let mut open_body = OpenBody {
            reader: self,
            clock,
            limits,
            memory: MemoryHold::new(self.account.clone()),
            buffer: Vec::new(),
            entry,
        };
        let reading = open_body.collect(body, on_bytes);
        let revoked = async {
            revocation.wait().await;
            Err(BodyError::Revoked)
        };
        future::or(revoked, reading).await?;
        Ok(open_body.into_parts())
    }

    fn begin(&self, now: Instant) -> (BodyEntry<'_>, Revocation<'_>) {
        let mut state = self.state();
        let id = state.table.begin(now);
        let revoked = Arc::new(Event::new());
        state.revocations.insert(id, revoked.clone());
        let entry = BodyEntry { reader: self, id };
        let revocation = Revocation {
            reader: self,
            id,
            revoked,
        };
        (entry, revocation)
    }

    /// Lets bodies that arrive slowly give up memory. Returns whether some are about to release it.
    fn revoke(&self, wanted: usize, needed_by: BodyId, now: Instant) -> bool {
        let mut state = self.state();
        if state.revoked == 0 {
            let revoked = state.table.revoke(wanted, needed_by, now);
            state.revoked = revoked.len();
            for id in &revoked {
                if let Some(revocation) = state.revocations.remove(id) {
                    revocation.notify(usize::MAX);
                }
            }
        }
        state.revoked > 0
    }

    fn state(&self) -> MutexGuard<'_, ReaderState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Entry of a body in the reader's table, removed when it is dropped.
struct BodyEntry<'a> {
    reader: &'a BodyReader,
    id: BodyId,
}

impl Drop for BodyEntry<'_> {
    fn drop(&mut self) {
        let mut state = self.reader.state();
        if !state.table.remove(self.id) {
            state.revoked -= 1;
        }
        state.revocations.remove(&self.id);
        drop(state);
        self.reader.released.notify(usize::MAX);
    }
}

/// Tells a body that it gives up its memory.
struct Revocation<'a> {
    reader: &'a BodyReader,
    id: BodyId,
    revoked: Arc<Event>,
}

impl Revocation<'_> {
    async fn wait(&self) {
        loop {
            let revoked = self.revoked.listen();
            if !self.reader.state().revocations.contains_key(&self.id) {
                return;
            }
            revoked.await;
        }
    }
}

/// Body that is being received.
struct OpenBody<'a, C> {
    reader: &'a BodyReader,
    clock: &'a C,
    limits: BodyLimits,
    memory: MemoryHold,
    buffer: Vec<u8>,
    /// Dropped last: it reports that the memory was released.
    entry: BodyEntry<'a>,
}

impl<C: Clock> OpenBody<'_, C> {
    /// Reads the body to its end. An announced length is checked and held before anything is read.
    async fn collect(
        &mut self,
        body: &mut Incoming,
        mut on_bytes: impl FnMut(&[u8]),
    ) -> Result<(), BodyError> {
        let announced = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
        let is_announced = body.size_hint().exact().is_some();
        self.reserve(announced).await?;
        let mut pieces = 0;
        let mut progress_at = self.buffer.len();
        let mut deadline = self.clock.now() + self.limits.progress_timeout;
        loop {
            let frame = until(self.clock, deadline, body.frame()).await;
            let Some(frame) = frame.ok_or(BodyError::Stalled)? else {
                break;
            };
            let frame = frame.map_err(|_| BodyError::Broken)?;
            let Ok(bytes) = frame.into_data() else {
                continue;
            };
            pieces += 1;
            if !is_announced && pieces > FREE_PIECES + self.buffer.len() / MIN_PIECE {
                return Err(BodyError::TooManyChunks);
            }
            let length = self.buffer.len() + bytes.len();
            self.reserve(length).await?;
            on_bytes(&bytes);
            // Copied, as a piece keeps the connection's whole read buffer alive.
            self.buffer.extend_from_slice(&bytes);
            if length >= progress_at + MIN_PROGRESS {
                progress_at = length;
                deadline = self.clock.now() + self.limits.progress_timeout;
            }
            self.record();
            if pieces % PIECES_PER_TURN == 0 {
                future::yield_now().await;
            }
        }
        self.buffer.shrink_to_fit();
        // Fewer bytes are always granted.
        self.memory.resize(self.buffer.capacity());
        Ok(())
    }

    /// Makes room for this many bytes in all, and holds the memory for it.
    async fn reserve(&mut self, length: usize) -> Result<(), BodyError> {
        if length > self.limits.max_bytes {
            return Err(BodyError::TooLarge);
        }
        if length <= self.buffer.capacity() {
            return Ok(());
        }
        let doubled = (2 * self.buffer.capacity()).max(FIRST_CAPACITY);
        let capacity = match self.buffer.capacity() {
            0 => length,
            _ => length.max(doubled.min(self.limits.max_bytes)),
        };
        self.hold(capacity).await?;
        self.buffer.reserve_exact(capacity - self.buffer.len());
        self.record();
        Ok(())
    }

    /// Holds memory, which bodies that arrive slowly give up if there is too little.
    async fn hold(&mut self, bytes: usize) -> Result<(), BodyError> {
        let deadline = self.clock.now() + MAX_MEMORY_WAIT;
        while !self.memory.resize(bytes) {
            let released = self.reader.released.listen();
            let wanted = self.memory.missing_bytes(bytes);
            let wanted = wanted.ok_or(BodyError::NoMemory)?;
            let now = self.clock.now();
            if !self.reader.revoke(wanted, self.entry.id, now) {
                return Err(BodyError::NoMemory);
            }
            let released = until(self.clock, deadline, released).await;
            released.ok_or(BodyError::NoMemory)?;
        }
        Ok(())
    }

    fn record(&self) {
        let mut state = self.reader.state();
        let (received, held) = (self.buffer.len(), self.buffer.capacity());
        state.table.record(self.entry.id, received, held);
    }

    fn into_parts(self) -> (Bytes, MemoryHold) {
        (self.buffer.into(), self.memory)
    }
}

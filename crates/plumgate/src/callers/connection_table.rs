//! Open connections of callers, and which of them closes if there are too many.

use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

/// Id of a connection within its node.
pub type ConnectionId = u64;

/// Time by which a connection that receives the head of a request counts as newer than an idle one.
const HEAD_CREDIT: Duration = Duration::from_secs(1);
/// Time by which a connection that receives the body of a request counts as newer than an idle one.
const BODY_CREDIT: Duration = Duration::from_secs(3);

/// What a connection does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionPhase {
    /// Waits for a request.
    Idle,
    /// Receives the head of a request.
    Head,
    /// Receives the body of a request.
    Body,
    /// Answers a request that was received completely.
    Answering,
    /// Closes, to make room for others.
    Closing,
}

impl ConnectionPhase {
    /// Returns the time that is added to the start of the phase in the order in which connections close; `None` if the
    /// connection must stay open.
    fn credit(self) -> Option<Duration> {
        match self {
            Self::Idle => Some(Duration::ZERO),
            Self::Head => Some(HEAD_CREDIT),
            Self::Body => Some(BODY_CREDIT),
            Self::Answering | Self::Closing => None,
        }
    }
}

/// Phase of an open connection.
#[derive(Clone, Copy, Debug)]
struct OpenConnection {
    phase: ConnectionPhase,
    since: Instant,
}

impl OpenConnection {
    /// Returns the place in the order in which connections close.
    fn rank(self, id: ConnectionId) -> Option<(Instant, ConnectionId)> {
        let credit = self.phase.credit()?;
        Some((self.since + credit, id))
    }
}

/// Open connections of callers.
///
/// A connection whose request is being answered never closes to make room for another one.
#[derive(Clone, Debug)]
pub struct ConnectionTable {
    max_connections: usize,
    next_id: ConnectionId,
    connections: HashMap<ConnectionId, OpenConnection>,
    /// Connections that may be closed, the first one first.
    closable: BTreeSet<(Instant, ConnectionId)>,
    closing: usize,
}

impl ConnectionTable {
    /// Creates a table of at most this many connections.
    pub fn new(max_connections: usize) -> Self {
        Self {
            max_connections,
            next_id: 0,
            connections: HashMap::new(),
            closable: BTreeSet::new(),
            closing: 0,
        }
    }

    /// Sets the maximum number of connections. Those beyond it close as new ones arrive.
    pub fn set_max_connections(&mut self, max_connections: usize) {
        self.max_connections = max_connections;
    }

    /// Returns the number of connections, those included that are closing.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Returns whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Returns the number of connections that are closing to make room.
    pub fn closing(&self) -> usize {
        self.closing
    }

    /// Adds a connection; `None` if there is no room.
    pub fn open(&mut self, now: Instant) -> Option<ConnectionId> {
        if self.connections.len() >= self.max_connections {
            return None;
        }
        let id = self.next_id;
        self.next_id += 1;
        self.insert(id, ConnectionPhase::Idle, now);
        Some(id)
    }

    /// Chooses a connection that closes to make room: the one that has been idle for longest, or has been sending its
    /// request for longest. `None` if all are answering.
    pub fn close_one(&mut self, now: Instant) -> Option<ConnectionId> {
        let (_, id) = self.closable.first().copied()?;
        self.set_phase(id, ConnectionPhase::Closing, now);
        Some(id)
    }

    /// Records what a connection does now. One that was to close and has received a request stays open.
    pub fn set_phase(&mut self, id: ConnectionId, phase: ConnectionPhase, now: Instant) {
        if self.remove(id) {
            self.insert(id, phase, now);
        }
    }

    /// Returns whether a connection was chosen to close, and has not received a request since.
    pub fn is_closing(&self, id: ConnectionId) -> bool {
        let connection = self.connections.get(&id);
        connection.is_some_and(|connection| connection.phase == ConnectionPhase::Closing)
    }

    /// Removes a connection. Returns whether it was open.
    pub fn remove(&mut self, id: ConnectionId) -> bool {
        let Some(connection) = self.connections.remove(&id) else {
            return false;
        };
        if let Some(rank) = connection.rank(id) {
            self.closable.remove(&rank);
        }
        self.closing -= usize::from(connection.phase == ConnectionPhase::Closing);
        true
    }

    fn insert(&mut self, id: ConnectionId, phase: ConnectionPhase, since: Instant) {
        let connection = OpenConnection { phase, since };
        self.closable.extend(connection.rank(id));
        self.closing += usize::from(phase == ConnectionPhase::Closing);
        self.connections.insert(id, connection);
    }
}

//! Room for callers' connections: admits them, and closes some if there are too many.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use event_listener::Event;
use plumgate::callers::{ConnectionId, ConnectionPhase, ConnectionTable};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use crate::clock::Clock;
use crate::log::{EventLog, LogLine};

/// Shortest time between two log lines about connections that were closed or refused.
const LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of connections of the balancer's probes and of operators.
const MAX_OPERATORS: usize = 64;

/// Metrics of callers' connections.
#[derive(Clone, Debug, Default)]
pub(crate) struct ConnectionMetrics {
    /// Connections that are open.
    open: Gauge,
    /// Maximum number of connections.
    max: Gauge,
    /// Connections that were closed to make room for others.
    displaced: Counter,
    /// Connections that were closed unread, as all others were answering.
    refused: Counter,
}

impl ConnectionMetrics {
    /// Registers the metrics.
    pub(crate) fn register(&self, registry: &mut Registry) {
        registry.register(
            "caller_connections",
            "Connections of callers that are open",
            self.open.clone(),
        );
        registry.register(
            "caller_connections_max",
            "Maximum number of connections of callers",
            self.max.clone(),
        );
        registry.register(
            "caller_connections_displaced",
            "Connections of callers that were closed to make room for others",
            self.displaced.clone(),
        );
        registry.register(
            "caller_connections_refused",
            "Connections of callers that were closed unread, as all others were answering",
            self.refused.clone(),
        );
    }
}

/// Connections of callers that a node holds.
#[derive(Debug)]
pub(crate) struct CallerConnections<C> {
    clock: C,
    log: EventLog,
    metrics: ConnectionMetrics,
    /// Name of the limit, for logs.
    limit: &'static str,
    state: Mutex<ConnectionsState>,
    /// Notified when a connection has closed, or one that was to close stays open.
    changed: Event,
}

#[derive(Debug)]
struct ConnectionsState {
    table: ConnectionTable,
    /// Events by which connections learn that they are to close.
    closings: HashMap<ConnectionId, Arc<Event>>,
    logged_at: Option<Instant>,
    displaced: u64,
    refused: u64,
}

/// Result of an attempt to admit a connection.
enum Admission<C: Clock> {
    Open(ConnectionSlot<C>),
    /// Another connection is about to close.
    Wait,
    /// All connections are answering.
    Full,
}

impl<C: Clock> CallerConnections<C> {
    /// Creates room for at most this many connections.
    pub(crate) fn new(
        max_connections: usize,
        clock: C,
        log: EventLog,
        metrics: ConnectionMetrics,
    ) -> Self {
        metrics.max.set(max_connections as i64);
        Self {
            clock,
            log,
            metrics,
            limit: "caller_connections",
            state: Mutex::new(ConnectionsState {
                table: ConnectionTable::new(max_connections),
                closings: HashMap::new(),
                logged_at: None,
                displaced: 0,
                refused: 0,
            }),
            changed: Event::new(),
        }
    }

    /// Creates room for the connections of the balancer's probes and of operators.
    pub(crate) fn for_operators(clock: C, log: EventLog) -> Self {
        Self {
            limit: "operator_connections",
            ..Self::new(MAX_OPERATORS, clock, log, ConnectionMetrics::default())
        }
    }

    /// Sets the maximum number of connections.
    pub(crate) fn set_max_connections(&self, max_connections: usize) {
        self.state().table.set_max_connections(max_connections);
        self.metrics.max.set(max_connections as i64);
    }

    /// Admits a connection, for which another one closes if there are too many; `None` if all are answering.
    pub(crate) async fn admit(self: &Arc<Self>) -> Option<ConnectionSlot<C>> {
        loop {
            let changed = self.changed.listen();
            match self.try_admit() {
                Admission::Open(slot) => return Some(slot),
                Admission::Wait => changed.await,
                Admission::Full => {
                    self.metrics.refused.inc();
                    self.report(|state| state.refused += 1);
                    return None;
                }
            }
        }
    }

    /// Closes a connection that is not answering, if there is one.
    pub(crate) fn make_room(&self) {
        let mut state = self.state();
        if state.table.closing() == 0 {
            self.close_one(&mut state);
        }
    }

    fn try_admit(self: &Arc<Self>) -> Admission<C> {
        let mut state = self.state();
        if let Some(id) = state.table.open(self.clock.now()) {
            let closing = Arc::new(Event::new());
            state.closings.insert(id, closing.clone());
            self.metrics.open.set(state.table.len() as i64);
            return Admission::Open(ConnectionSlot {
                connections: self.clone(),
                id,
                closing,
            });
        }
        if state.table.closing() > 0 || self.close_one(&mut state) {
            return Admission::Wait;
        }
        Admission::Full
    }

    /// Lets one connection close. Returns whether there is one.
    fn close_one(&self, state: &mut ConnectionsState) -> bool {
        let Some(id) = state.table.close_one(self.clock.now()) else {
            return false;
        };
        if let Some(closing) = state.closings.get(&id) {
            closing.notify(usize::MAX);
        }
        true
    }

    /// Counts an event, and logs the counts unless that was done a moment ago.
    fn report(&self, count: impl FnOnce(&mut ConnectionsState)) {
        let now = self.clock.now();
        let mut state = self.state();
        count(&mut state);
        let is_recent = |at: Instant| now.saturating_duration_since(at) < LOG_INTERVAL;
        if state.logged_at.is_some_and(is_recent) {
            return;
        }
        state.logged_at = Some(now);
        LogLine::new("connections_limited")
            .with("limit", self.limit)
            .with("open", state.table.len())
            .with("displaced", std::mem::take(&mut state.displaced))
            .with("refused", std::mem::take(&mut state.refused))
            .warn(&self.log);
    }

    fn state(&self) -> MutexGuard<'_, ConnectionsState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Room of one connection, released when it is dropped.
#[derive(Debug)]
pub(crate) struct ConnectionSlot<C: Clock> {
    connections: Arc<CallerConnections<C>>,
    id: ConnectionId,
    closing: Arc<Event>,
}

impl<C: Clock> ConnectionSlot<C> {
    /// Records what the connection does now. If it was to close, it stays open.
    pub(crate) fn set_phase(&self, phase: ConnectionPhase) {
        let now = self.connections.clock.now();
        let was_closing = {
            let mut state = self.connections.state();
            let was_closing = state.table.is_closing(self.id);
            state.table.set_phase(self.id, phase, now);
            was_closing
        };
        if was_closing {
            self.connections.changed.notify(usize::MAX);
        }
    }

    /// Completes when the connection must close to make room for another one. It must be dropped before anything else
    /// is done on it.
    pub(crate) async fn displaced(&self) {
        loop {
            let closing = self.closing.listen();
            if self.connections.state().table.is_closing(self.id) {
                self.connections.metrics.displaced.inc();
                self.connections.report(|state| state.displaced += 1);
                return;
            }
            closing.await;
        }
    }
}

impl<C: Clock> Drop for ConnectionSlot<C> {
    fn drop(&mut self) {
        let mut state = self.connections.state();
        state.table.remove(self.id);
        state.closings.remove(&self.id);
        self.connections.metrics.open.set(state.table.len() as i64);
        drop(state);
        self.connections.changed.notify(usize::MAX);
    }
}

//! Pending requests for snapshots of state that this node lacks and another one holds.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use event_listener::Event;
use plumgate::gateway::SourceTopic;

/// Time for which the store is not called while a snapshot is requested from another node: the longest time
/// that the request may take.
const SNAPSHOT_WAIT: Duration = Duration::from_millis(1_100);
/// Time without new requests for a topic after a snapshot could not be fetched. Messages report ten times a
/// second which node holds the state, and each could start another request; the store is called instead.
const SNAPSHOT_RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Request for a snapshot from a node that holds what this one lacks.
#[derive(Clone, Copy, Debug)]
struct SnapshotRequest {
    from: SocketAddr,
    /// Time until which the store is not called because of the request.
    until: Instant,
    /// Whether the request was sent.
    is_sent: bool,
}

/// State of one topic.
#[derive(Clone, Copy, Debug, Default)]
struct TopicState {
    pending: Option<SnapshotRequest>,
    /// Time until which no snapshot is requested.
    pause_until: Option<Instant>,
}

/// Requests for snapshots, at most one for each topic.
#[derive(Debug, Default)]
pub(crate) struct SnapshotRequests {
    config: RefCell<TopicState>,
    servers: RefCell<TopicState>,
    requested: Event,
}

impl SnapshotRequests {
    /// Adds a request to a node that holds state of a topic that this node lacks. It is ignored during the
    /// pause after a failure and while another request for the topic is pending.
    pub(crate) fn add(&self, topic: SourceTopic, from: SocketAddr, now: Instant) {
        let mut state = self.state(topic).borrow_mut();
        let is_paused = state.pause_until.is_some_and(|until| now < until);
        if is_paused || state.pending.is_some() {
            return;
        }
        state.pending = Some(SnapshotRequest {
            from,
            until: now + SNAPSHOT_WAIT,
            is_sent: false,
        });
        drop(state);
        self.requested.notify(usize::MAX);
    }

    /// Returns how long the store should not be called because a snapshot is pending.
    pub(crate) fn remaining(&self, topic: SourceTopic, now: Instant) -> Option<Duration> {
        let pending = self.state(topic).borrow().pending?;
        let remaining = pending.until.saturating_duration_since(now);
        (!remaining.is_zero()).then_some(remaining)
    }

    /// Waits for the next request, and returns the node to send it to.
    pub(crate) async fn next(&self, topic: SourceTopic) -> SocketAddr {
        loop {
            let requested = self.requested.listen();
            if let Some(pending) = &mut self.state(topic).borrow_mut().pending
                && !pending.is_sent
            {
                pending.is_sent = true;
                return pending.from;
            }
            requested.await;
        }
    }

    /// Ends the request of a topic, whether or not a snapshot was received.
    pub(crate) fn complete(&self, topic: SourceTopic, is_received: bool, now: Instant) {
        let mut state = self.state(topic).borrow_mut();
        state.pending = None;
        state.pause_until = (!is_received).then(|| now + SNAPSHOT_RETRY_PAUSE);
    }

    fn state(&self, topic: SourceTopic) -> &RefCell<TopicState> {
        match topic {
            SourceTopic::Config => &self.config,
            SourceTopic::Servers => &self.servers,
        }
    }
}

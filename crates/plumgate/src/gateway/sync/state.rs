//! State of the store as one node knows it, and its synchronization with other nodes.
//!
//! One node of the fleet, the watcher, watches the store. The collectors of the other data centres send it
//! requests, and all other nodes send requests to their collector: which configuration is in force, as of when,
//! and which servers were added or removed since. A node that gets no recent response reads the store itself, so
//! that neither a network partition nor a failed watcher leaves it with old state for long. Calls to the store
//! thus grow with the number of changes, not with the number of nodes.
//!
//! A response carries the nonce of its request. The requester counts the age of the response from the moment
//! of the request, so that no delay on the way, in a queue or in a suspended machine makes the state look newer
//! than it is.

use std::collections::VecDeque;
use std::time::Duration;

use super::change_log::{ChangeLog, LogDelta};
use super::messages::{
    ConfigFreshness, LogPosition, ServerUpdate, ServersDelta, SyncRequest, SyncResponse,
};
use super::snapshots::{ServersSnapshot, ServersState};
use crate::gateway::servers::ServerTable;
use crate::ids::ConfigVersion;
use crate::store_version::StoreVersion;

/// Maximum number of requests to which a response is still accepted. Responses to older ones are too old to extend
/// the trust in keys.
const MAX_PENDING_REQUESTS: usize = 16;
/// Age up to which a collector relies on received state and makes no calls to the store, as a share of the
/// longest age of keys. State of a watcher is up to two wait times of its watch old, which is a share of
/// 0.24, and takes two rounds to arrive.
const COLLECTOR_AGE_SHARE: f64 = 0.36;
/// Age up to which all other nodes rely on received state and make no calls to the store, as a share of the
/// longest age of keys. It is longer, so that when the watcher fails, their collector calls the store first
/// and they need not.
const FOLLOWER_AGE_SHARE: f64 = 0.54;
/// Age of a collector's state from which on it can't serve others, as a share of the longest age of keys. It
/// has called the store without success since 0.36, and its followers must learn of another collector
/// before they call the store themselves.
const BEHIND_AGE_SHARE: f64 = 0.4;
/// Time after the last request for which a node counts as having followers: many rounds, so that lost
/// messages do no harm.
const FOLLOWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Effects of a response on the requester.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SyncOutcome {
    /// Moment at which the configuration in force on this node was last known to be the newest.
    pub config_known_at: Option<Duration>,
    /// Changes of servers, in the order in which they apply.
    pub changes: Vec<ServerUpdate>,
    /// Whether the store has to be called for state that the response lacks.
    pub must_query: bool,
    /// Topics whose state the other node holds and this one lacks. A snapshot from that node saves a call
    /// to the store.
    pub missing: Vec<SourceTopic>,
}

/// Kind of state that the store holds for the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SourceTopic {
    /// The configuration of the gateway.
    Config,
    /// The backend servers.
    Servers,
}

impl SourceTopic {
    /// Returns the name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Config => "config",
            Self::Servers => "servers",
        }
    }
}

/// Freshness of one topic.
#[derive(Clone, Copy, Debug, Default)]
struct TopicState {
    /// When the state was last known to be the newest, by an own read or a response of the node that this one
    /// follows.
    known_at: Option<Duration>,
    /// When the state was last known to be the newest by a response of the node that this one follows.
    reported_at: Option<Duration>,
    /// Whether state is missing that only a full read of the store or a snapshot can supply.
    must_read: bool,
    /// When the last failed call to the store was made.
    failed_at: Option<Duration>,
}

/// Request whose response is still accepted.
#[derive(Clone, Copy, Debug)]
struct PendingRequest {
    request: SyncRequest,
    requested_at: Duration,
}

/// State of the store as one node knows it, with its age by topic.
///
/// Decides when the node has to call the store itself. Moments are times since the VM started, time of
/// suspension included.
#[derive(Debug)]
pub struct SyncState {
    max_age: Duration,
    rng: fastrand::Rng,
    pending: VecDeque<PendingRequest>,
    /// When the last request of another node was received.
    last_request_at: Option<Duration>,
    config_version: ConfigVersion,
    config: TopicState,
    servers: TopicState,
    servers_version: Option<StoreVersion>,
    /// When the known entries of the servers were last complete.
    servers_complete_at: Option<Duration>,
    /// Whether a watch of the servers is running, which returns the same changes.
    is_watching: bool,
    /// Epoch of the log that this node follows.
    followed_epoch: Option<u32>,
    /// Log from which this node serves others.
    log: ChangeLog,
}

impl SyncState {
    /// Creates an empty state. `max_age` is the time for which keys are trusted at most.
    pub fn new(max_age: Duration, seed: u64) -> Self {
        Self {
            max_age,
            rng: fastrand::Rng::with_seed(seed),
            pending: VecDeque::new(),
            last_request_at: None,
            config_version: 0,
            config: TopicState::default(),
            servers: TopicState::default(),
            servers_version: None,
            servers_complete_at: None,
            is_watching: false,
            followed_epoch: None,
            log: ChangeLog::default(),
        }
    }

    /// Changes the time for which keys are trusted at most.
    pub fn set_max_age(&mut self, max_age: Duration) {
        self.max_age = max_age;
    }

    /// Sets the version of the configuration that is in force on this node.
    pub fn set_config(&mut self, version: ConfigVersion) {
        self.config_version = version;
    }

    /// Records that the state of a topic on this node was the newest at `known_at`, by the store or a snapshot.
    pub fn record_read(&mut self, topic: SourceTopic, known_at: Duration) {
        let state = self.state(topic);
        state.known_at = state.known_at.max(Some(known_at));
        state.must_read = false;
        if topic == SourceTopic::Servers {
            self.record_complete(known_at);
        }
    }

    fn record_complete(&mut self, known_at: Duration) {
        self.servers_complete_at = self.servers_complete_at.max(Some(known_at));
    }

    /// Returns when the known entries of the servers were last complete: later changes may not have been received.
    pub fn servers_complete_at(&self) -> Option<Duration> {
        self.servers_complete_at
    }

    /// Records that the store did not answer a call for a topic that was made at `requested_at`.
    pub fn record_failure(&mut self, topic: SourceTopic, requested_at: Duration) {
        self.state(topic).failed_at = Some(requested_at);
    }

    /// Returns whether the last failed call to the store for a topic is newer than the known state.
    ///
    /// State received from others during an outage is as old as the outage, and does not end it.
    pub fn is_failing(&self, topic: SourceTopic) -> bool {
        let state = match topic {
            SourceTopic::Config => &self.config,
            SourceTopic::Servers => &self.servers,
        };
        state.failed_at > state.known_at
    }

    /// Returns whether this node has not called the store for a topic since it was last told its state by others.
    pub fn is_unprobed(&self, topic: SourceTopic) -> bool {
        let state = match topic {
            SourceTopic::Config => &self.config,
            SourceTopic::Servers => &self.servers,
        };
        state.known_at <= state.reported_at && state.failed_at <= state.reported_at
    }

    /// Restarts the log after all servers were read as of a version of the store.
    ///
    /// Changes may have been missed before, also by the followers of this node. The new epoch makes them
    /// read all servers again as well.
    pub fn restart_log(&mut self, version: impl Into<StoreVersion>) {
        let version = version.into();
        self.servers_version = Some(version);
        self.followed_epoch = None;
        self.log.restart(version, self.rng.u32(1..));
    }

    /// Appends changes of servers that the store returned, up to a version.
    pub fn extend_log(&mut self, version: impl Into<StoreVersion>, changes: Vec<ServerUpdate>) {
        let version = version.into();
        self.servers_version = Some(version);
        self.followed_epoch = None;
        self.log.push(version, changes);
    }

    /// Sets whether a watch of the servers is running.
    pub fn set_watching(&mut self, is_watching: bool) {
        self.is_watching = is_watching;
    }

    /// Returns the version from which a watch of the servers continues; `None` before the first read.
    pub fn servers_version(&self) -> Option<StoreVersion> {
        self.servers_version
    }

    /// Returns whether a topic has to be read in full, as no node has the changes.
    pub fn must_read(&self, topic: SourceTopic) -> bool {
        match topic {
            SourceTopic::Config => self.config.must_read,
            SourceTopic::Servers => self.servers.must_read,
        }
    }

    /// Returns until when this node may rely on received state of a topic; `None` if it has to call the
    /// store.
    pub fn fresh_until(&self, topic: SourceTopic, is_collector: bool) -> Option<Duration> {
        let state = match topic {
            SourceTopic::Config => &self.config,
            SourceTopic::Servers => &self.servers,
        };
        let share = if is_collector {
            COLLECTOR_AGE_SHARE
        } else {
            FOLLOWER_AGE_SHARE
        };
        let reported_at = state.reported_at.filter(|_| !state.must_read)?;
        Some(reported_at + self.max_age.mul_f64(share))
    }

    /// Returns when the state of a topic was last known to be the newest, by an own read or a response.
    pub fn known_at(&self, topic: SourceTopic) -> Option<Duration> {
        match topic {
            SourceTopic::Config => self.config.known_at,
            SourceTopic::Servers => self.servers.known_at,
        }
    }

    /// Returns whether this node's state of the servers is too old for others to follow it.
    pub fn is_behind(&self, now: Duration) -> bool {
        let age = self.servers.known_at.map(|known| now.saturating_sub(known));
        age.is_some_and(|age| age > self.max_age.mul_f64(BEHIND_AGE_SHARE))
    }

    /// Returns whether other nodes sent requests lately, so that this node's reads serve them too.
    pub fn has_followers(&self, now: Duration) -> bool {
        self.last_request_at
            .is_some_and(|sent| now.saturating_sub(sent) < FOLLOWER_TIMEOUT)
    }

    /// Creates the request of this round.
    pub fn create_request(&mut self, now: Duration) -> SyncRequest {
        let position = self.servers_version.map(|version| LogPosition {
            version,
            epoch: self.followed_epoch,
        });
        let request = SyncRequest {
            nonce: self.rng.u32(..),
            servers: position,
        };
        self.pending.push_back(PendingRequest {
            request,
            requested_at: now,
        });
        if self.pending.len() > MAX_PENDING_REQUESTS {
            self.pending.pop_front();
        }
        request
    }

    /// Responds to a request that was received at `received_at`.
    pub fn respond(&mut self, request: &SyncRequest, received_at: Duration) -> SyncResponse {
        self.last_request_at = Some(received_at);
        let age = |state: &TopicState| {
            let known_at = state.known_at?;
            u32::try_from(received_at.saturating_sub(known_at).as_millis()).ok()
        };
        let config = age(&self.config).map(|age_ms| ConfigFreshness {
            version: self.config_version,
            // Rounds up a fraction of a millisecond.
            age_ms: age_ms.saturating_add(1),
        });
        let mut response = SyncResponse {
            nonce: request.nonce,
            config,
            servers: None,
            is_partial: false,
        };
        if let (Some(position), Some(age_ms)) = (request.servers, age(&self.servers)) {
            self.add_servers(&mut response, position, age_ms.saturating_add(1));
        }
        response
    }

    /// Adds to a response what happened to the servers after a position.
    fn add_servers(&self, response: &mut SyncResponse, position: LogPosition, age_ms: u32) {
        let Some(version) = self.servers_version else {
            return;
        };
        let delta = self.log.after(position, version);
        response.is_partial = matches!(delta, LogDelta::FirstChanges(..));
        response.servers = Some(match delta {
            LogDelta::Changes(position, changes) | LogDelta::FirstChanges(position, changes) => {
                ServersDelta::Changes {
                    age_ms,
                    position,
                    changes,
                }
            }
            LogDelta::ResyncRequired => ServersDelta::ResyncRequired,
            LogDelta::OutOfRange => ServersDelta::OutOfRange,
        });
    }

    /// Returns a snapshot of all servers; `None` if this node does not know them yet.
    pub fn servers_snapshot(
        &self,
        servers: &ServerTable,
        now: Duration,
    ) -> Option<ServersSnapshot> {
        let known_at = self.servers.known_at?;
        let state = ServersState {
            position: self.log.position(self.servers_version?)?,
            entries: servers.entries().cloned().collect(),
            unconfirmed: servers.unconfirmed().cloned().collect(),
            history: None,
        };
        Some(ServersSnapshot::new(state, now.saturating_sub(known_at)))
    }

    /// Continues from a snapshot of all servers that was requested at `requested_at`. Returns whether the caller
    /// may use it.
    ///
    /// A snapshot that is older than this node's state would bring back servers that have left. So would a
    /// running watch that ends after the snapshot and returns changes from before it.
    pub fn apply_servers_snapshot(
        &mut self,
        snapshot: &ServersSnapshot,
        requested_at: Duration,
    ) -> bool {
        let position = snapshot.state().position;
        let is_older = self
            .servers_version
            .is_some_and(|version| position.version < version);
        let Some(known_at) = snapshot.known_at(requested_at) else {
            return false;
        };
        if is_older || self.is_watching {
            return false;
        }
        self.restart_log(position.version);
        self.followed_epoch = position.epoch;
        self.servers.must_read = false;
        record_response(&mut self.servers, known_at);
        self.record_complete(known_at);
        true
    }

    /// Applies a response.
    ///
    /// The response makes reads by this node unnecessary, and is passed on, only if it comes from the node that
    /// this one follows (`is_followed`): if two nodes relied on each other, neither would read the store. A
    /// response of any other node still confirms that the configuration of this node is in force.
    pub fn apply(&mut self, response: SyncResponse, is_followed: bool) -> SyncOutcome {
        let mut outcome = SyncOutcome::default();
        let mut pending = self.pending.iter();
        let Some(sent) = pending.find(|sent| sent.request.nonce == response.nonce) else {
            return outcome;
        };
        let sent = *sent;
        if let Some(config) = response.config {
            if config.version > self.config_version {
                self.config.must_read = true;
                outcome.must_query = true;
                outcome.missing.push(SourceTopic::Config);
            } else if let Some(known_at) = sent.known_at(config.age_ms) {
                if is_followed {
                    record_response(&mut self.config, known_at);
                }
                outcome.config_known_at = Some(known_at);
            }
        }
        if is_followed && let Some(servers) = response.servers {
            self.apply_servers(servers, response.is_partial, &sent, &mut outcome);
        }
        outcome
    }

    fn apply_servers(
        &mut self,
        delta: ServersDelta,
        is_partial: bool,
        sent: &PendingRequest,
        outcome: &mut SyncOutcome,
    ) {
        let position = sent.request.servers.map(|position| position.version);
        if position != self.servers_version {
            // The request was made before an earlier response was applied: its changes would apply twice, and
            // undo later ones. The next response starts from the current version.
            return;
        }
        match delta {
            ServersDelta::ResyncRequired => {
                self.servers.must_read = true;
                outcome.must_query = true;
                outcome.missing.push(SourceTopic::Servers);
            }
            ServersDelta::OutOfRange => {
                outcome.must_query = self.servers.reported_at.take().is_some();
                outcome.missing.push(SourceTopic::Servers);
            }
            ServersDelta::Changes {
                age_ms,
                position,
                changes,
            } => {
                let Some(known_at) = sent.known_at(age_ms) else {
                    return;
                };
                if self.is_watching {
                    // The running watch returns the same changes.
                    self.servers.reported_at = self.servers.reported_at.max(Some(known_at));
                    return;
                }
                record_response(&mut self.servers, known_at);
                if !is_partial {
                    self.record_complete(known_at);
                }
                self.servers_version = Some(position.version);
                self.followed_epoch = position.epoch;
                self.log.push(position.version, changes.clone());
                outcome.changes = changes;
            }
        }
    }

    fn state(&mut self, topic: SourceTopic) -> &mut TopicState {
        match topic {
            SourceTopic::Config => &mut self.config,
            SourceTopic::Servers => &mut self.servers,
        }
    }
}

impl PendingRequest {
    /// Returns when the state in a response with this age was last known to be the newest.
    fn known_at(&self, age_ms: u32) -> Option<Duration> {
        let age = Duration::from_millis(age_ms.into());
        self.requested_at.checked_sub(age)
    }
}

fn record_response(state: &mut TopicState, known_at: Duration) {
    state.known_at = state.known_at.max(Some(known_at));
    state.reported_at = state.reported_at.max(Some(known_at));
}

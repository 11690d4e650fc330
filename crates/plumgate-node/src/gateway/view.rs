//! State of the fleet as one gateway node knows it: configuration and servers, read from the store or
//! received from other nodes.

use std::cell::{Cell, RefCell, RefMut};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use event_listener::Event;
use plumgate::gateway::{
    GatewayConfig, PolicyPart, RepeatKind, ServerTable, ServerUpdate, SourceTopic, SyncOutcome,
    SyncState,
};
use plumgate::{FindingList, StoreEra, StoreVersion};

use super::ports::{SourceChange, SourceEvent};
use super::shared::GatewayShared;
use super::snapshot_requests::SnapshotRequests;
use super::source_calls::record_rows_left_out;
use crate::clock::{Clock, until};
use crate::log::LogLine;

/// Time after a failed call to the source within which missing entries are attributed to the outage. It covers
/// the longest pause before the next call of each topic and the time of that call.
const OUTAGE_WINDOW: Duration = Duration::from_millis(1_000);
/// Time for which the outcome of the first call for the configuration is awaited before the servers are read.
const FIRST_PROBE_TIME: Duration = Duration::from_millis(400);
/// Time by which the moments at which the two topics are due differ at most: one answer of another node renews both.
const DUE_SPREAD: Duration = Duration::from_millis(50);
/// Time for which a server stays in use after its entry went missing in an outage. A running server has
/// renewed its entry by then.
pub(super) const UNCONFIRMED_GRACE_PERIOD: Duration = Duration::from_millis(1_800);

/// State of the fleet as the node knows it; it stays on the control thread.
pub(crate) struct FleetView<C, W> {
    pub(super) shared: Arc<GatewayShared<C, W>>,
    pub(super) servers: RefCell<ServerTable>,
    sync_state: RefCell<SyncState>,
    /// Event by which the tasks that follow the store are notified that they may have to call it.
    pub(super) sync_changed: Event,
    is_collector: Cell<bool>,
    /// Requests for snapshots of state that this node lacks and other nodes hold.
    pub(super) snapshot_requests: SnapshotRequests,
    /// Time of the last failed call to the source.
    failed_at: Cell<Option<Instant>>,
    /// Newest known era of the store.
    era: Cell<StoreEra>,
    era_changed: Event,
}

impl<C: Clock, W: Send + Sync + 'static> FleetView<C, W> {
    /// Creates a view without any state.
    pub(crate) fn new(shared: Arc<GatewayShared<C, W>>) -> Self {
        let max_key_age = shared.bounds.load().max_key_age;
        let sync_state = SyncState::new(max_key_age, shared.options.seed);
        Self {
            shared,
            servers: RefCell::new(ServerTable::new()),
            sync_state: RefCell::new(sync_state),
            sync_changed: Event::new(),
            is_collector: Cell::new(false),
            snapshot_requests: SnapshotRequests::default(),
            failed_at: Cell::new(None),
            era: Cell::new(0),
            era_changed: Event::new(),
        }
    }

    /// Returns the state of the synchronization with other nodes.
    pub(crate) fn sync_state(&self) -> RefMut<'_, SyncState> {
        self.sync_state.borrow_mut()
    }

    /// Sets whether this node is the collector of its data centre.
    pub(crate) fn set_collector(&self, is_collector: bool) {
        if self.is_collector.replace(is_collector) != is_collector {
            // A collector relies on received state for a shorter time than the nodes that it serves.
            self.sync_changed.notify(usize::MAX);
        }
    }

    /// Returns the newest known era of the store.
    pub(crate) fn era(&self) -> StoreEra {
        self.era.get()
    }

    /// Waits until the era is later than `era`, and returns it.
    pub(crate) async fn era_after(&self, era: StoreEra) -> StoreEra {
        loop {
            let changed = self.era_changed.listen();
            if self.era.get() > era {
                return self.era.get();
            }
            changed.await;
        }
    }

    /// Handles the era of an answer of the store; a later one means that the store was restored from an old
    /// backup. It may contain entries of servers that have left, and lacks those of servers that were added until
    /// these servers write them again.
    pub(crate) fn set_era(&self, era: StoreEra) {
        if era <= self.era.get() {
            return;
        }
        let is_first =
            self.sync_state().servers_version().is_none() && self.shared.config.load().is_none();
        self.era.set(era);
        if !is_first {
            self.record_source_failure();
            let boot_time = self.shared.clock.boot_time();
            self.shared
                .change_history("era", |history| history.restart(boot_time));
            self.servers
                .borrow_mut()
                .on_store_restored(self.shared.clock.now());
            self.era_changed.notify(usize::MAX);
        }
    }

    /// Records that a call to the source failed.
    pub(crate) fn record_source_failure(&self) {
        self.failed_at.set(Some(self.shared.clock.now()));
    }

    /// Returns whether this node relies on its collector to detect that an unavailable store answers again: the
    /// collector is another node, and messages of other nodes arrive.
    pub(crate) fn relies_on_collector(&self) -> bool {
        let has_recent_peers = self.shared.has_recent_peers();
        self.shared.options.switches.has(PolicyPart::StateSync)
            && has_recent_peers
            && !self.is_collector.get()
    }

    /// Returns the time for which the store need not be called for a topic, because other nodes send its
    /// state or a snapshot is pending.
    pub(crate) fn fresh_for(&self, topic: SourceTopic) -> Option<Duration> {
        if !self.shared.options.switches.has(PolicyPart::StateSync) {
            return None;
        }
        let snapshot_wait = self
            .snapshot_requests
            .remaining(topic, self.shared.clock.now());
        snapshot_wait.or_else(|| self.synced_for(topic))
    }

    fn synced_for(&self, topic: SourceTopic) -> Option<Duration> {
        let until = self
            .sync_state()
            .fresh_until(topic, self.is_collector.get())?;
        let left = until.saturating_sub(self.shared.clock.boot_time());
        (!left.is_zero()).then_some(left)
    }

    /// Returns whether this node becomes due to call the store for the configuration at this moment, and the outcome
    /// of that call is not known yet.
    pub(crate) fn awaits_first_probe(&self) -> bool {
        let topic = SourceTopic::Config;
        let is_collector = self.is_collector.get();
        let sync_state = self.sync_state();
        let Some(due_at) = sync_state.fresh_until(topic, is_collector) else {
            return false;
        };
        let now = self.shared.clock.boot_time();
        let is_due = now + DUE_SPREAD >= due_at && now < due_at + FIRST_PROBE_TIME;
        is_due && sync_state.is_unprobed(topic)
    }

    /// Waits until the store may have to be called, for `max_wait` at most.
    pub(crate) async fn wait_for_sync_change(&self, max_wait: Duration) {
        let changed = self.sync_changed.listen();
        let deadline = self.shared.clock.now() + max_wait;
        // In either case the caller checks again whether a call is due.
        let _ = until(&self.shared.clock, deadline, changed).await;
    }

    /// Publishes as of when the entries of the servers are known.
    pub(crate) fn publish_age(&self) {
        if let Some(known_at) = self.sync_state().servers_complete_at() {
            self.shared.set_servers_known_at(known_at);
        }
    }

    /// Applies the outcome of another node's response.
    pub(crate) fn apply_sync(&self, outcome: SyncOutcome, from: SocketAddr) {
        if let Some(known_at) = outcome.config_known_at {
            self.shared.lease().renew(known_at);
        }
        let now = self.shared.clock.now();
        for topic in outcome.missing {
            self.snapshot_requests.add(topic, from, now);
        }
        for update in outcome.changes {
            match update {
                ServerUpdate::Entry(entry) => self.put_servers(vec![entry], "told"),
                ServerUpdate::Removed { id, unconfirmed } => {
                    let grace_period = self
                        .grace_period(now)
                        .or(unconfirmed.then_some(UNCONFIRMED_GRACE_PERIOD));
                    self.observe_removal(&id);
                    self.remove_server(&id, grace_period, "told");
                }
                ServerUpdate::Unusable(id) => self.remove_server(&id, None, "told"),
            }
        }
        if outcome.must_query {
            self.sync_changed.notify(usize::MAX);
        }
    }

    /// Applies an answer of the source to a call that was sent at `requested_at`. Returns whether a new
    /// configuration came into force.
    pub(crate) fn apply(
        &self,
        topic: SourceTopic,
        change: SourceChange,
        is_full_read: bool,
        requested_at: Duration,
    ) -> bool {
        self.set_era(change.version.era);
        record_rows_left_out(&self.shared, topic, change.left_out);
        let has_new_config = match topic {
            SourceTopic::Config => self.apply_configs(change),
            SourceTopic::Servers => {
                self.apply_servers(change, is_full_read);
                false
            }
        };
        self.sync_state().record_read(topic, requested_at);
        if topic == SourceTopic::Servers && is_full_read {
            self.shared
                .change_history("read", |history| history.restart(requested_at));
        }
        self.publish_age();
        if topic == SourceTopic::Config {
            self.shared.lease().renew(requested_at);
            // The servers may be read at once.
            self.sync_changed.notify(usize::MAX);
        }
        has_new_config
    }

    fn apply_configs(&self, change: SourceChange) -> bool {
        let mut has_new_config = false;
        for event in change.events {
            match event {
                SourceEvent::Config(config) => {
                    has_new_config |= self.apply_config(config, "read", change.version);
                }
                SourceEvent::InvalidConfig(findings) => {
                    self.log_findings(SourceTopic::Config, &findings);
                }
                SourceEvent::Server(_)
                | SourceEvent::InvalidServer(..)
                | SourceEvent::ServerRemoved(_) => {}
            }
        }
        has_new_config
    }

    /// Returns the time for which a server whose entry is missing now stays in use as unconfirmed.
    ///
    /// Entries expire while the store is unavailable, and are missing from its first answers after the outage.
    /// Entries that disappear later were removed on purpose: with a grace period, requests would still be sent to
    /// a server that has left and stopped.
    pub(super) fn grace_period(&self, now: Instant) -> Option<Duration> {
        if !self
            .shared
            .options
            .switches
            .has(PolicyPart::UnconfirmedServers)
        {
            return None;
        }
        let failed_at = self.failed_at.get()?;
        (now.saturating_duration_since(failed_at) < OUTAGE_WINDOW)
            .then_some(UNCONFIRMED_GRACE_PERIOD)
    }

    pub(super) fn apply_config(
        &self,
        config: Arc<GatewayConfig>,
        source: &str,
        source_version: StoreVersion,
    ) -> bool {
        let current = self.shared.config.load_full();
        let current_version = current.as_ref().map_or(0, |current| current.version);
        // A source that was unavailable may answer with old state. An older version would restore routes and keys
        // whose removal callers have already noticed.
        if current.is_some() && config.version <= current_version {
            return false;
        }
        LogLine::new("config")
            .with("version", config.version)
            .with("source", source)
            .with("before", current_version)
            .with("source_version", source_version)
            .with("routes", config.route_count())
            .with("keys", config.key_count())
            .info(&self.shared.log);
        let version = i64::try_from(config.version).unwrap_or(i64::MAX);
        self.shared.metrics.config.version.set(version);
        self.sync_state().set_config(config.version);
        self.shared.quarantine().set_config(&config);
        self.shared.statements().set_config(&config);
        self.shared.tunnel_gate().set_config(&config);
        let workspaces = config.workspaces().len();
        self.shared.shares().set_workspaces(workspaces);
        self.shared.loads().set_engines(&config);
        self.observe_routes(&config);
        self.shared.config.store(Some(config));
        true
    }

    /// Records the pools of routes whose streams may be resumed.
    fn observe_routes(&self, config: &GatewayConfig) {
        let now = self.shared.clock.boot_time();
        let mut origins = self.shared.origins();
        let routes = config.routes();
        for route in routes.filter(|route| route.kind == RepeatKind::ResumableStream) {
            let pools = route.pools.iter().map(|split| split.pool.clone());
            let name = format!("{}{}", route.host, route.prefix);
            origins.history().observe_route(&name, pools.collect(), now);
        }
    }

    pub(super) fn log_findings(&self, topic: SourceTopic, findings: &FindingList) {
        for finding in findings.sorted() {
            LogLine::new("finding")
                .with("topic", topic.as_str())
                .with("finding", &finding)
                .warn(&self.shared.log);
        }
    }
}

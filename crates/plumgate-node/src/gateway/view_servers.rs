//! Applies changes of servers from the source and from other nodes, and publishes them to the traffic thread.

use std::time::{Duration, Instant};

use plumgate::gateway::servers::ServerChange;
use plumgate::gateway::{CrashSign, LoadTable, ServerEntry, ServerState, ServerUpdate};
use plumgate::ids::ServerId;

use super::ports::{SourceChange, SourceEvent, SourceTopic};
use super::view::FleetView;
use crate::clock::Clock;
use crate::log::LogLine;

/// Time by which the clock of a server may be ahead of this node's.
const MAX_CLOCK_LEAD: Duration = Duration::from_secs(60);

impl<C: Clock, W: Send + Sync + 'static> FleetView<C, W> {
    /// Applies the source's changes of servers.
    pub(super) fn apply_servers(&self, change: SourceChange, is_full_read: bool) {
        let grace_period = self.grace_period(self.shared.clock.now());
        let events = change.events.into_iter();
        let updates: Vec<ServerUpdate> = events
            .filter_map(|event| self.server_update(event, grace_period.is_some()))
            .collect();
        if is_full_read && !change.left_out.is_partial {
            self.replace_servers(updates, grace_period);
            self.sync_state().restart_log(change.version);
            return;
        }
        for update in &updates {
            match update {
                ServerUpdate::Entry(entry) => self.put_servers(vec![entry.clone()], "watched"),
                ServerUpdate::Removed { id, .. } => {
                    self.observe_removal(id);
                    self.remove_server(id, grace_period, "watched");
                }
                ServerUpdate::Unusable(id) => self.remove_server(id, None, "watched"),
            }
        }
        if is_full_read {
            self.sync_state().restart_log(change.version);
        } else {
            self.sync_state().extend_log(change.version, updates);
        }
    }

    /// Returns whether an entry states a start time that no server can have yet.
    fn starts_in_future(&self, entry: &ServerEntry) -> bool {
        let latest = self.shared.clock.unix_ms() + MAX_CLOCK_LEAD.as_millis() as u64;
        entry.start_time.is_some_and(|start| start > latest)
    }

    /// Logs why the entry of a server is not used.
    fn unusable(&self, id: ServerId, finding: &'static str) -> ServerUpdate {
        LogLine::new("finding")
            .with("topic", SourceTopic::Servers.as_str())
            .with("server", &id)
            .with("finding", finding)
            .warn(&self.shared.log);
        ServerUpdate::Unusable(id)
    }

    /// Converts an event of the source to an update of a server.
    fn server_update(&self, event: SourceEvent, unconfirmed: bool) -> Option<ServerUpdate> {
        match event {
            SourceEvent::Server(entry) if self.servers.borrow().is_foreign(&entry) => {
                let finding = "the entry lacks the start time that it had before";
                Some(self.unusable(entry.id, finding))
            }
            SourceEvent::Server(entry) if self.starts_in_future(&entry) => {
                Some(self.unusable(entry.id, "its start time lies in the future"))
            }
            SourceEvent::Server(entry) => Some(ServerUpdate::Entry(entry)),
            SourceEvent::ServerRemoved(id) => Some(ServerUpdate::Removed { id, unconfirmed }),
            SourceEvent::InvalidServer(id, findings) => {
                self.log_findings(SourceTopic::Servers, &findings);
                Some(ServerUpdate::Unusable(id))
            }
            SourceEvent::Config(_) | SourceEvent::InvalidConfig(_) => None,
        }
    }

    /// Replaces all servers by entries that were read at one moment.
    fn replace_servers(&self, updates: Vec<ServerUpdate>, grace_period: Option<Duration>) {
        let mut entries = Vec::with_capacity(updates.len());
        let mut unusable = Vec::new();
        for update in updates {
            match update {
                ServerUpdate::Entry(entry) => entries.push(entry),
                ServerUpdate::Unusable(id) => unusable.push(id),
                ServerUpdate::Removed { .. } => {}
            }
        }
        let now = self.shared.clock.now();
        let mut servers = self.servers.borrow_mut();
        let changes = servers.replace(entries, &unusable, grace_period, now);
        drop(servers);
        self.publish(&changes, "read");
    }

    pub(super) fn put_servers(&self, entries: Vec<ServerEntry>, source: &str) {
        let changes: Vec<ServerChange> = entries
            .into_iter()
            .filter_map(|entry| self.servers.borrow_mut().put(entry))
            .collect();
        self.publish(&changes, source);
    }

    /// Records in the history of versions that the entry of a server was removed, which may never have been known.
    pub(super) fn observe_removal(&self, id: &ServerId) {
        let now = self.shared.clock.boot_time();
        self.shared.change_history("unseen_server", |history| {
            history.observe_removal(id, now);
        });
    }

    pub(super) fn remove_server(
        &self,
        id: &ServerId,
        grace_period: Option<Duration>,
        source: &str,
    ) {
        let now = self.shared.clock.now();
        let change = self.servers.borrow_mut().remove(id, grace_period, now);
        self.publish(change.as_slice(), source);
    }

    /// Removes the unconfirmed servers whose grace period is over.
    pub(crate) fn tick(&self, now: Instant) {
        let expired = self.servers.borrow_mut().tick(now);
        self.publish(&expired, "lapsed");
    }

    /// Reports a server to the quarantine that restarted or whose entry was removed without draining: it may have
    /// crashed while it ran a request.
    fn check_for_crash(&self, loads: &LoadTable, change: &ServerChange, now: Instant) {
        let (id, sign) = match change {
            ServerChange::Removed(id) => (id, CrashSign::Lapsed),
            ServerChange::Restarted(entry) => (&entry.id, CrashSign::Restarted),
            ServerChange::Changed(entry) => {
                if loads.entry(&entry.id).is_none() {
                    self.shared.quarantine().on_server_listed(entry);
                }
                return;
            }
            ServerChange::Unconfirmed(_) => return,
        };
        let previous = loads.entry(id);
        let was_ready = |entry: &&ServerEntry| {
            let leaves = self.shared.statements().notices.leaving_since(entry);
            entry.state == ServerState::Ready && leaves.is_none()
        };
        if let Some(previous) = previous.filter(was_ready) {
            let identities = self
                .shared
                .quarantine()
                .on_server_crashed(previous, sign, now);
            self.shared.record_crashes(&identities, previous, sign);
        }
    }

    /// Records the versions of servers, and doubts the origins of streams that began at a server whose version was known
    /// too late.
    fn observe_versions(&self, loads: &LoadTable, change: &ServerChange) {
        let now = self.shared.clock.boot_time();
        let mut origins = self.shared.origins();
        match change {
            ServerChange::Changed(entry) | ServerChange::Restarted(entry) => {
                let previous = loads.entry(&entry.id);
                if previous.is_some_and(|previous| previous.version != entry.version) {
                    let since = now.saturating_sub(self.shared.max_entry_age());
                    origins.doubt(&entry.id, since);
                }
                origins.history().observe(entry, now);
            }
            ServerChange::Removed(id) => origins.history().remove(id, now),
            ServerChange::Unconfirmed(_) => {}
        }
    }

    /// Publishes changes of servers to the traffic thread.
    pub(super) fn publish(&self, changes: &[ServerChange], source: &str) {
        if changes.is_empty() {
            return;
        }
        let now = self.shared.clock.now();
        let mut loads = self.shared.loads();
        for change in changes {
            self.check_for_crash(&loads, change, now);
            self.observe_versions(&loads, change);
            loads.apply(change, now);
            if let ServerChange::Changed(entry) | ServerChange::Restarted(entry) = change {
                let boot_time = self.shared.clock.boot_time();
                let statements = self.shared.statements();
                let availability = statements
                    .notices
                    .availability(entry.incarnation_id(), boot_time);
                loads.set_availability(entry, availability, now);
            }
            let line = LogLine::new("server").with("source", source);
            let line = match change {
                ServerChange::Changed(entry) | ServerChange::Restarted(entry) => line
                    .with("server", &entry.id)
                    .with_some("born", entry.start_time)
                    .with("reborn", matches!(change, ServerChange::Restarted(_)))
                    .with("state", format!("{:?}", entry.state).to_lowercase())
                    .with("pool", &entry.pool)
                    .with_some("version", entry.version.as_ref())
                    .with("address", entry.address)
                    .with("data_centre", &entry.data_centre),
                ServerChange::Removed(id) => line.with("server", id).with("state", "gone"),
                ServerChange::Unconfirmed(id) => line.with("server", id).with("state", "doubted"),
            };
            line.info(&self.shared.log);
            match change {
                ServerChange::Removed(id) => {
                    self.shared.links.clear(id);
                    self.shared.incarnations.forget(id);
                }
                ServerChange::Restarted(entry) => {
                    self.shared.links.clear(&entry.id);
                    self.shared.incarnations.end(&entry.id);
                }
                ServerChange::Changed(_) | ServerChange::Unconfirmed(_) => {}
            }
        }
        let count = i64::try_from(self.servers.borrow().len()).unwrap_or(i64::MAX);
        self.shared.metrics.fleet.servers.set(count);
    }
}

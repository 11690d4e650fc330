//! The servers as the source and other nodes tell of them, made known to the traffic thread.

use std::time::{Duration, Instant};

use plumgate::gateway::servers::ServerChange;
use plumgate::gateway::{CrashSign, LoadTable, ServerEntry, ServerState, ServerUpdate};
use plumgate::ids::ServerId;

use super::ports::{SourceChange, SourceEvent, SourceTopic};
use super::view::FleetView;
use crate::clock::Clock;
use crate::log::LogLine;

impl<C: Clock, W: Send + Sync + 'static> FleetView<C, W> {
    /// Takes over what the source told of servers.
    pub(super) fn apply_servers(&self, change: SourceChange, is_whole: bool) {
        let doubt = self.doubt(self.shared.clock.now());
        let events = change.events.into_iter();
        let news: Vec<ServerUpdate> = events
            .filter_map(|event| self.server_news(event, doubt.is_some()))
            .collect();
        if is_whole {
            self.replace_servers(news, doubt);
            self.news().restart_log(change.version);
            return;
        }
        for news in &news {
            match news {
                ServerUpdate::Entry(entry) => self.put_servers(vec![entry.clone()], "watched"),
                ServerUpdate::Gone { id, .. } => self.remove_server(id, doubt, "watched"),
                ServerUpdate::Unusable(id) => self.remove_server(id, None, "watched"),
            }
        }
        self.news().extend_log(change.version, news);
    }

    /// What an event of the source says of a server.
    fn server_news(&self, event: SourceEvent, unconfirmed: bool) -> Option<ServerUpdate> {
        match event {
            SourceEvent::Server(entry) if self.servers.borrow().is_foreign(&entry) => {
                LogLine::new("finding")
                    .with("topic", SourceTopic::Servers.as_str())
                    .with("server", &entry.id)
                    .with("finding", "the entry lacks the time of birth that it had")
                    .warn(&self.shared.log);
                Some(ServerUpdate::Unusable(entry.id))
            }
            SourceEvent::Server(entry) => Some(ServerUpdate::Entry(entry)),
            SourceEvent::ServerGone(id) => Some(ServerUpdate::Gone { id, unconfirmed }),
            SourceEvent::BadServer(id, findings) => {
                self.log_findings(SourceTopic::Servers, &findings);
                Some(ServerUpdate::Unusable(id))
            }
            SourceEvent::Config(_) | SourceEvent::BadConfig(_) => None,
        }
    }

    /// All servers were read at one moment.
    fn replace_servers(&self, news: Vec<ServerUpdate>, doubt: Option<Duration>) {
        let mut entries = Vec::with_capacity(news.len());
        let mut unusable = Vec::new();
        for news in news {
            match news {
                ServerUpdate::Entry(entry) => entries.push(entry),
                ServerUpdate::Unusable(id) => unusable.push(id),
                ServerUpdate::Gone { .. } => {}
            }
        }
        let now = self.shared.clock.now();
        let mut servers = self.servers.borrow_mut();
        let changes = servers.replace(entries, &unusable, doubt, now);
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

    pub(super) fn remove_server(&self, id: &ServerId, doubt: Option<Duration>, source: &str) {
        let now = self.shared.clock.now();
        let change = self.servers.borrow_mut().remove(id, doubt, now);
        self.publish(change.as_slice(), source);
    }

    /// Drops the doubted servers whose time is over.
    pub(crate) fn tick(&self, now: Instant) {
        let over = self.servers.borrow_mut().tick(now);
        self.publish(&over, "lapsed");
    }

    /// Takes note of a server that went without having drained, or that started again: it may have
    /// ended under a request.
    fn note_server_end(&self, loads: &LoadTable, change: &ServerChange, now: Instant) {
        let (id, sign) = match change {
            ServerChange::Gone(id) => (id, CrashSign::Lapsed),
            ServerChange::Restarted(entry) => (&entry.id, CrashSign::Restarted),
            ServerChange::Changed(entry) => {
                if loads.entry(&entry.id).is_none() {
                    self.shared.quarantine().on_server_back(entry);
                }
                return;
            }
            ServerChange::Unconfirmed(_) => return,
        };
        let before = loads.entry(id);
        let stayed = |entry: &&ServerEntry| {
            let leaves = self.shared.statements().notices.leaving_since(entry);
            entry.state == ServerState::Ready && leaves.is_none()
        };
        if let Some(before) = before.filter(stayed) {
            let ended = self.shared.quarantine().on_server_gone(before, sign, now);
            self.shared.note_server_end(&ended, before, sign);
        }
    }

    /// Makes changes of servers known to the traffic thread.
    pub(super) fn publish(&self, changes: &[ServerChange], source: &str) {
        if changes.is_empty() {
            return;
        }
        let now = self.shared.clock.now();
        let mut loads = self.shared.loads();
        for change in changes {
            self.note_server_end(&loads, change, now);
            loads.apply(change, now);
            if let ServerChange::Changed(entry) | ServerChange::Restarted(entry) = change {
                let boot = self.shared.clock.boot_time();
                let statements = self.shared.statements();
                let availability = statements
                    .notices
                    .availability(entry.incarnation_id(), boot);
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
                    .with("address", entry.address)
                    .with("data_centre", &entry.data_centre),
                ServerChange::Gone(id) => line.with("server", id).with("state", "gone"),
                ServerChange::Unconfirmed(id) => line.with("server", id).with("state", "doubted"),
            };
            line.info(&self.shared.log);
            match change {
                ServerChange::Gone(id) => {
                    self.shared.links.clear(id);
                    self.shared.lives.forget(id);
                }
                ServerChange::Restarted(entry) => {
                    self.shared.links.clear(&entry.id);
                    self.shared.lives.end(&entry.id);
                }
                ServerChange::Changed(_) | ServerChange::Unconfirmed(_) => {}
            }
        }
        let count = i64::try_from(self.servers.borrow().len()).unwrap_or(i64::MAX);
        self.shared.metrics.servers.set(count);
    }
}

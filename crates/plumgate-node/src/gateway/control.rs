//! The control thread of a gateway node: follows the source, keeps the life of the node.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_channel::Receiver;
use async_executor::LocalExecutor;
use futures_lite::future;
use plumgate::FindingList;
use plumgate::gateway::servers::ServerChange;
use plumgate::gateway::{GatewayConfig, NodeEntry, ServerEntry, ServerTable};
use plumgate::ids::{DataCentreId, ServerId};
use plumgate::retry::BackoffPause;

use super::attempt::CONNECT_TIMEOUT;
use super::exchange::PeerExchange;
use super::life::GatewayLife;
use super::metrics::CallLabels;
use super::options::GatewayBounds;
use super::ports::{FleetSource, SourceChange, SourceError, SourceEvent, SourceTopic};
use super::shared::GatewayShared;
use crate::clock::{Clock, until};
use crate::http::open_stream;
use crate::log::LogLine;

/// How long one watch of the configuration waits for changes.
///
/// Its answer renews the trust in keys, but only as of the moment when it was asked for: what is
/// known is between one and two waits old. A longer wait saves calls, and ends the trust sooner
/// after the store was lost: at 1.5 s keys were refused from 1.4 s on, at 1.3 s from 1.8 s, at 1 s
/// from 2.4 s. Below 1.3 s the calls of 64 nodes cost more than the refusals that they save.
const CONFIG_PAUSE: Duration = Duration::from_millis(1_300);
/// How long one watch of the servers waits for changes. A connection that lost its way is found at
/// the end of the wait at the latest, as what lies between may answer the system's probes: until
/// then the node sends requests to servers that have left. At 8 s it did so for 13 s.
const SERVERS_PAUSE: Duration = Duration::from_millis(3_000);
/// Pause after news of servers before the next watch. Servers come and go in numbers; without a
/// pause each of them costs each node of the fleet a call of its own.
const SERVERS_BATCH: Duration = Duration::from_millis(500);
/// First pause after a call without an answer.
const FIRST_RETRY: Duration = Duration::from_millis(40);
/// Longest pause after calls without an answer: a fraction of the time within which a change
/// must be in force.
const LONGEST_RETRY: Duration = Duration::from_millis(800);
/// How long after a failed call a missing entry is put down to it: until the next call of each topic
/// is answered, the longest pause between two and the time of a call.
const TROUBLE_TAIL: Duration = Duration::from_millis(1_000);
/// How long a server stays in use whose entry is missing in such a time. A server that lives has
/// renewed its entry by then.
const DOUBT: Duration = Duration::from_millis(1_800);
/// Time between two looks at all that may be due.
const TICK: Duration = Duration::from_millis(100);
/// How long a node that stops waits for its row to be removed.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(200);

/// What the control thread is told from outside.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum GatewaySignal {
    /// The process was asked to stop.
    Stop,
    /// The operators' bounds were read again.
    Reload(GatewayBounds),
}

/// The state of the control thread.
pub(crate) struct GatewayControl<C, W> {
    shared: Arc<GatewayShared<C, W>>,
    servers: RefCell<ServerTable>,
    cut_centres: RefCell<Vec<DataCentreId>>,
    /// When a call to the source last failed.
    trouble_at: RefCell<Option<Instant>>,
    life: RefCell<GatewayLife>,
}

impl<C: Clock, W: Send + Sync + 'static> GatewayControl<C, W> {
    /// A control thread that knows nothing yet.
    pub(crate) fn new(shared: Arc<GatewayShared<C, W>>) -> Self {
        Self {
            shared,
            servers: RefCell::new(ServerTable::new()),
            cut_centres: RefCell::default(),
            trouble_at: RefCell::new(None),
            life: RefCell::new(GatewayLife::new()),
        }
    }

    /// Runs until the node has stopped.
    pub(crate) fn run<S: FleetSource>(self, source: S, signals: Receiver<GatewaySignal>) {
        let control = Rc::new(self);
        let executor = LocalExecutor::new();
        for (topic, pause) in [
            (SourceTopic::Config, CONFIG_PAUSE),
            (SourceTopic::Servers, SERVERS_PAUSE),
        ] {
            let control = control.clone();
            let source = source.clone();
            let following = async move { control.follow(source, topic, pause).await };
            executor.spawn(following).detach();
        }
        let own = PeerExchange::new(control.shared.clone())
            .map(|exchange| exchange.spawn(&executor, source.clone()));
        let living = async {
            control.live(signals).await;
            if let Some(own) = own {
                control.leave(source, &own).await;
            }
        };
        async_io::block_on(executor.run(living));
    }

    /// Takes the node out of the register, if that goes quickly: a row that stays behind does no
    /// harm but to the others' share of the retries.
    async fn leave<S: FleetSource>(&self, mut source: S, own: &NodeEntry) {
        let deadline = self.shared.clock.now() + LEAVE_TIMEOUT;
        let leaving = source.unregister(own);
        let left = until(&self.shared.clock, deadline, leaving).await;
        LogLine::new("unregister")
            .with("done", matches!(left, Some(Ok(()))))
            .info(&self.shared.log);
    }

    /// Keeps the life of the node until it ends.
    async fn live(&self, signals: Receiver<GatewaySignal>) {
        while !self.life.borrow().is_over() {
            let tick = async {
                self.shared.clock.sleep(TICK).await;
                None
            };
            let signal = async {
                match signals.recv().await {
                    Ok(signal) => Some(signal),
                    Err(_) => future::pending().await,
                }
            };
            match future::or(signal, tick).await {
                Some(GatewaySignal::Stop) => self.life.borrow_mut().stop(&self.shared),
                Some(GatewaySignal::Reload(bounds)) => self.reload(bounds),
                None => self.tick(),
            }
        }
    }

    fn tick(&self) {
        let now = self.shared.clock.now();
        let over = self.servers.borrow_mut().tick(now);
        self.apply_servers(over, "lapsed");
        self.shared.links.sweep(now);
        if let Some(age) = self.shared.key_age_ms() {
            let age = i64::try_from(age).unwrap_or(i64::MAX);
            self.shared.metrics.key_age.set(age);
        }
        self.probe_centres(now);
        self.life.borrow_mut().tick(&self.shared);
    }

    /// Tries bare connections into the data centres that seem cut off.
    fn probe_centres(&self, now: Instant) {
        let (probes, cut) = {
            let mut loads = self.shared.loads();
            (loads.probes(now), loads.cut_centres())
        };
        self.note_cut_centres(cut);
        for server in probes {
            let shared = self.shared.clone();
            let probing = async move {
                let deadline = shared.clock.now() + CONNECT_TIMEOUT;
                let opening = open_stream(server.address);
                let reached = until(&shared.clock, deadline, opening).await.is_some();
                LogLine::new("centre_probe")
                    .with("data_centre", &server.data_centre)
                    .with("server", &server.id)
                    .with("reached", reached)
                    .info(&shared.log);
                if reached {
                    shared.loads().note_reached(&server);
                }
            };
            self.shared.executor.spawn(probing).detach();
        }
    }

    fn note_cut_centres(&self, cut: Vec<DataCentreId>) {
        let known = self.cut_centres.replace(cut.clone());
        for centre in cut.iter().filter(|centre| !known.contains(centre)) {
            LogLine::new("centre_lost")
                .with("data_centre", centre)
                .warn(&self.shared.log);
        }
        for centre in known.iter().filter(|centre| !cut.contains(centre)) {
            LogLine::new("centre_regained")
                .with("data_centre", centre)
                .info(&self.shared.log);
        }
    }

    /// Reads a topic and follows its changes for as long as the node runs.
    async fn follow<S: FleetSource>(&self, mut source: S, topic: SourceTopic, pause: Duration) {
        let mut rng = fastrand::Rng::with_seed(self.shared.options.seed);
        let mut backoff = BackoffPause::new(FIRST_RETRY, LONGEST_RETRY);
        let mut since = None;
        let mut is_lost = false;
        loop {
            let asked_at = self.shared.clock.boot_time();
            let answer = match since {
                None => source.read(topic).await,
                Some(version) => source.watch(topic, version, pause).await,
            };
            self.count_call(topic, answer.is_ok());
            match answer {
                Ok(change) => {
                    if is_lost {
                        self.log_regained(topic, change.version);
                        is_lost = false;
                    }
                    backoff.reset();
                    let is_whole = since.is_none();
                    let has_news = !change.events.is_empty();
                    since = Some(change.version);
                    self.apply(topic, change, is_whole);
                    if topic == SourceTopic::Config {
                        self.shared.lease().renew(asked_at);
                    }
                    if topic == SourceTopic::Servers && has_news {
                        self.shared.clock.sleep(SERVERS_BATCH).await;
                    }
                }
                Err(error) => {
                    since = since.filter(|_| error.keeps_place());
                    self.note_failure(topic, &error, &mut is_lost);
                    if error != SourceError::HistoryLost {
                        self.shared.clock.sleep(backoff.next(&mut rng)).await;
                    }
                }
            }
        }
    }

    fn count_call(&self, topic: SourceTopic, is_ok: bool) {
        let labels = CallLabels {
            topic: topic.as_str(),
            result: if is_ok { "ok" } else { "failed" },
        };
        self.shared
            .metrics
            .source_calls
            .get_or_create(&labels)
            .inc();
    }

    fn log_regained(&self, topic: SourceTopic, version: u64) {
        LogLine::new("source_regained")
            .with("topic", topic.as_str())
            .with("source_version", version)
            .info(&self.shared.log);
    }

    fn note_failure(&self, topic: SourceTopic, error: &SourceError, is_lost: &mut bool) {
        if *error == SourceError::HistoryLost {
            LogLine::new("source_history_lost")
                .with("topic", topic.as_str())
                .warn(&self.shared.log);
            return;
        }
        *self.trouble_at.borrow_mut() = Some(self.shared.clock.now());
        if !*is_lost {
            LogLine::new("source_lost")
                .with("topic", topic.as_str())
                .with("error", error)
                .with_some("key_age_ms", self.shared.key_age_ms())
                .warn(&self.shared.log);
            *is_lost = true;
        }
    }

    fn apply(&self, topic: SourceTopic, change: SourceChange, is_whole: bool) {
        let doubt = self.doubt(self.shared.clock.now());
        let mut entries = Vec::new();
        for event in change.events {
            match event {
                SourceEvent::Config(config) => self.apply_config(config, change.version),
                SourceEvent::BadConfig(findings) | SourceEvent::BadServer(findings) => {
                    self.log_findings(topic, &findings);
                }
                SourceEvent::Server(entry) => entries.push(entry),
                SourceEvent::ServerGone(id) => {
                    self.apply_entries(std::mem::take(&mut entries));
                    self.remove_server(&id, doubt);
                }
            }
        }
        if topic == SourceTopic::Servers && is_whole {
            let now = self.shared.clock.now();
            let changes = self.servers.borrow_mut().replace(entries, doubt, now);
            self.apply_servers(changes, "read");
        } else {
            self.apply_entries(entries);
        }
    }

    fn apply_entries(&self, entries: Vec<ServerEntry>) {
        let changes: Vec<ServerChange> = entries
            .into_iter()
            .filter_map(|entry| self.servers.borrow_mut().put(entry))
            .collect();
        self.apply_servers(changes, "watched");
    }

    fn remove_server(&self, id: &ServerId, doubt: Option<Duration>) {
        let now = self.shared.clock.now();
        let change = self.servers.borrow_mut().remove(id, doubt, now);
        self.apply_servers(change.into_iter().collect(), "watched");
    }

    /// How long an entry that is missing now is doubted.
    ///
    /// Entries lapse while the store is away, and the first answers after it show it. What goes
    /// later goes for good: doubted too, a server that has left would get work for longer than it
    /// stays.
    fn doubt(&self, now: Instant) -> Option<Duration> {
        let trouble_at = (*self.trouble_at.borrow())?;
        (now.saturating_duration_since(trouble_at) < TROUBLE_TAIL).then_some(DOUBT)
    }

    fn apply_config(&self, config: Arc<GatewayConfig>, source_version: u64) {
        let held = self.shared.config.load_full();
        let held_version = held.as_ref().map_or(0, |held| held.version);
        // Answers of a source that was away may be old. Going back would bring back routes and
        // keys that callers have seen go.
        if held.is_some() && config.version <= held_version {
            return;
        }
        LogLine::new("config")
            .with("version", config.version)
            .with("before", held_version)
            .with("source_version", source_version)
            .with("routes", config.route_count())
            .with("keys", config.key_count())
            .info(&self.shared.log);
        let version = i64::try_from(config.version).unwrap_or(i64::MAX);
        self.shared.metrics.config_version.set(version);
        self.shared.config.store(Some(config));
        self.life.borrow_mut().configured(&self.shared);
    }

    fn log_findings(&self, topic: SourceTopic, findings: &FindingList) {
        for finding in findings.sorted() {
            LogLine::new("finding")
                .with("topic", topic.as_str())
                .with("finding", &finding)
                .warn(&self.shared.log);
        }
    }

    fn apply_servers(&self, changes: Vec<ServerChange>, source: &str) {
        if changes.is_empty() {
            return;
        }
        let now = self.shared.clock.now();
        let mut loads = self.shared.loads();
        for change in &changes {
            loads.apply(change, now);
            let line = LogLine::new("server").with("source", source);
            let line = match change {
                ServerChange::Changed(entry) => line
                    .with("server", &entry.id)
                    .with("state", format!("{:?}", entry.state).to_lowercase())
                    .with("pool", &entry.pool)
                    .with("address", entry.address)
                    .with("data_centre", &entry.data_centre),
                ServerChange::Gone(id) => line.with("server", id).with("state", "gone"),
                ServerChange::Doubted(id) => line.with("server", id).with("state", "doubted"),
            };
            line.info(&self.shared.log);
            if let ServerChange::Gone(id) = change {
                self.shared.links.clear(id);
            }
        }
        let count = i64::try_from(self.servers.borrow().len()).unwrap_or(i64::MAX);
        self.shared.metrics.servers.set(count);
    }

    fn reload(&self, bounds: GatewayBounds) {
        LogLine::new("reload")
            .with("changed", **self.shared.bounds.load() != bounds)
            .with("key_age_ms", bounds.key_age.as_millis())
            .with("grace_ms", bounds.grace.as_millis())
            .with("retry_ratio", bounds.retry_ratio)
            .with("retry_extra", bounds.retry_extra)
            .info(&self.shared.log);
        self.shared.set_bounds(bounds);
    }
}

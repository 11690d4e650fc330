//! What a gateway node believes of the fleet: configuration and servers, by reading the store or by
//! being told.

use std::cell::{Cell, RefCell, RefMut};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use event_listener::Event;
use plumgate::gateway::{
    GatewayConfig, PolicyPart, ServerTable, ServerUpdate, SourceTopic, SyncOutcome, SyncState,
};
use plumgate::{FindingList, StoreEra, StoreVersion};

use super::copy_wishes::CopyWishes;
use super::ports::{SourceChange, SourceEvent};
use super::shared::GatewayShared;
use crate::clock::{Clock, until};
use crate::log::LogLine;

/// How long after a failed call a missing entry is put down to it: until the next call of each topic
/// is answered, the longest pause between two and the time of a call.
const TROUBLE_TAIL: Duration = Duration::from_millis(1_000);
/// How long a server stays in use whose entry is missing in such a time. A server that lives has
/// renewed its entry by then.
pub(super) const DOUBT: Duration = Duration::from_millis(1_800);
/// What the node believes, kept on the control thread.
pub(crate) struct FleetView<C, W> {
    pub(super) shared: Arc<GatewayShared<C, W>>,
    pub(super) servers: RefCell<ServerTable>,
    news: RefCell<SyncState>,
    /// Tells the readers of the store that somebody else could not tell them something.
    pub(super) news_missing: Event,
    is_collector: Cell<bool>,
    /// What this node lacks and others hold.
    pub(super) wishes: CopyWishes,
    /// When a call to the source last failed.
    trouble_at: Cell<Option<Instant>>,
    /// The newest era of the store that was heard of.
    era: Cell<StoreEra>,
    era_risen: Event,
}

impl<C: Clock, W: Send + Sync + 'static> FleetView<C, W> {
    /// A node that knows nothing yet.
    pub(crate) fn new(shared: Arc<GatewayShared<C, W>>) -> Self {
        let key_age = shared.bounds.load().key_age;
        let news = SyncState::new(key_age, shared.options.seed);
        Self {
            shared,
            servers: RefCell::new(ServerTable::new()),
            news: RefCell::new(news),
            news_missing: Event::new(),
            is_collector: Cell::new(false),
            wishes: CopyWishes::default(),
            trouble_at: Cell::new(None),
            era: Cell::new(0),
            era_risen: Event::new(),
        }
    }

    /// What is passed on to other nodes, and what they passed on.
    pub(crate) fn news(&self) -> RefMut<'_, SyncState> {
        self.news.borrow_mut()
    }

    /// Takes over whether this node collects for its data centre.
    pub(crate) fn set_collector(&self, is_collector: bool) {
        if self.is_collector.replace(is_collector) != is_collector {
            // A collector must not rest for as long as those that it tells of what it reads.
            self.news_missing.notify(usize::MAX);
        }
    }

    /// The newest era of the store that was heard of.
    pub(crate) fn era(&self) -> StoreEra {
        self.era.get()
    }

    /// Completes with the era once it is later than one.
    pub(crate) async fn era_after(&self, era: StoreEra) -> StoreEra {
        loop {
            let risen = self.era_risen.listen();
            if self.era.get() > era {
                return self.era.get();
            }
            risen.await;
        }
    }

    /// The store came back from an old copy: entries of servers that have left may be in it again, and those of
    /// servers that came are missing until these write again.
    pub(crate) fn note_era(&self, era: StoreEra) {
        if era <= self.era.get() {
            return;
        }
        let is_first =
            self.news().servers_version().is_none() && self.shared.config.load().is_none();
        self.era.set(era);
        if !is_first {
            self.note_trouble();
            self.servers
                .borrow_mut()
                .on_store_restored(self.shared.clock.now());
            self.era_risen.notify(usize::MAX);
        }
    }

    /// A call to the source failed.
    pub(crate) fn note_trouble(&self) {
        self.trouble_at.set(Some(self.shared.clock.now()));
    }

    /// Whether this node may leave it to its collector to find out that a lost store is back: the
    /// collector is another node, and others are heard.
    pub(crate) fn leaves_retries(&self) -> bool {
        let hears_others = self.shared.hears_others();
        self.shared.options.switches.has(PolicyPart::StateSync)
            && hears_others
            && !self.is_collector.get()
    }

    /// How long the store need not be asked for a topic, as others tell of it or give it.
    pub(crate) fn rest(&self, topic: SourceTopic) -> Option<Duration> {
        if !self.shared.options.switches.has(PolicyPart::StateSync) {
            return None;
        }
        let copied = self.wishes.left(topic, self.shared.clock.now());
        copied.or_else(|| self.told(topic))
    }

    fn told(&self, topic: SourceTopic) -> Option<Duration> {
        let until = self.news().fresh_until(topic, self.is_collector.get())?;
        let left = until.saturating_sub(self.shared.clock.boot_time());
        (!left.is_zero()).then_some(left)
    }

    /// Waits while others tell of a topic, for a time at most.
    pub(crate) async fn wait_for_news(&self, most: Duration) {
        let missing = self.news_missing.listen();
        let deadline = self.shared.clock.now() + most;
        // Either way the caller looks at the desk again.
        let _ = until(&self.shared.clock, deadline, missing).await;
    }

    /// Takes over what another node told.
    pub(crate) fn take_news(&self, taken: SyncOutcome, from: SocketAddr) {
        if let Some(known_at) = taken.config_known_at {
            self.shared.lease().renew(known_at);
        }
        let now = self.shared.clock.now();
        for topic in taken.missing {
            self.wishes.wish(topic, from, now);
        }
        for news in taken.changes {
            match news {
                ServerUpdate::Entry(entry) => self.put_servers(vec![entry], "told"),
                ServerUpdate::Gone { id, unconfirmed } => {
                    let doubt = self.doubt(now).or(unconfirmed.then_some(DOUBT));
                    self.remove_server(&id, doubt, "told");
                }
                ServerUpdate::Unusable(id) => self.remove_server(&id, None, "told"),
            }
        }
        if taken.must_query {
            self.news_missing.notify(usize::MAX);
        }
    }

    /// Takes over an answer of the source that was asked for at a moment. Tells whether another
    /// configuration is in force.
    pub(crate) fn apply(
        &self,
        topic: SourceTopic,
        change: SourceChange,
        is_whole: bool,
        asked_at: Duration,
    ) -> bool {
        self.note_era(change.version.era);
        let has_config = match topic {
            SourceTopic::Config => self.apply_configs(change),
            SourceTopic::Servers => {
                self.apply_servers(change, is_whole);
                false
            }
        };
        self.news().record_read(topic, asked_at);
        if topic == SourceTopic::Config {
            self.shared.lease().renew(asked_at);
        }
        has_config
    }

    fn apply_configs(&self, change: SourceChange) -> bool {
        let mut has_config = false;
        for event in change.events {
            match event {
                SourceEvent::Config(config) => {
                    has_config |= self.apply_config(config, "read", change.version);
                }
                SourceEvent::BadConfig(findings) => {
                    self.log_findings(SourceTopic::Config, &findings);
                }
                SourceEvent::Server(_)
                | SourceEvent::BadServer(..)
                | SourceEvent::ServerGone(_) => {}
            }
        }
        has_config
    }

    /// How long an entry that is missing now is doubted.
    ///
    /// Entries lapse while the store is away, and the first answers after it show it. What goes
    /// later goes for good: doubted too, a server that has left would get work for longer than it
    /// stays.
    pub(super) fn doubt(&self, now: Instant) -> Option<Duration> {
        if !self
            .shared
            .options
            .switches
            .has(PolicyPart::UnconfirmedServers)
        {
            return None;
        }
        let trouble_at = self.trouble_at.get()?;
        (now.saturating_duration_since(trouble_at) < TROUBLE_TAIL).then_some(DOUBT)
    }

    pub(super) fn apply_config(
        &self,
        config: Arc<GatewayConfig>,
        source: &str,
        source_version: StoreVersion,
    ) -> bool {
        let held = self.shared.config.load_full();
        let held_version = held.as_ref().map_or(0, |held| held.version);
        // Answers of a source that was away may be old. Going back would bring back routes and
        // keys that callers have seen go.
        if held.is_some() && config.version <= held_version {
            return false;
        }
        LogLine::new("config")
            .with("version", config.version)
            .with("source", source)
            .with("before", held_version)
            .with("source_version", source_version)
            .with("routes", config.route_count())
            .with("keys", config.key_count())
            .info(&self.shared.log);
        let version = i64::try_from(config.version).unwrap_or(i64::MAX);
        self.shared.metrics.config_version.set(version);
        self.news().set_config(config.version);
        self.shared.quarantine().set_config(&config);
        self.shared.statements().set_config(&config);
        self.shared.config.store(Some(config));
        true
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

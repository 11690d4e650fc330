//! Follows the source by the node's own calls, or by updates and snapshots of other nodes.

use std::time::Duration;

use plumgate::StoreVersion;
use plumgate::retry::BackoffPause;

use super::control::{GatewayControl, TICK};
use super::ports::{FleetSource, SourceChange, SourceError, SourceTopic};
use super::source_calls::{CallCause, CallTopic, record_source_call};
use crate::clock::Clock;
use crate::log::LogLine;

/// Time for which a watch of the configuration waits for changes if it serves this node alone, as a share of
/// the maximum age of keys: 1.3 s of 5 s.
///
/// Its answer renews the trust in keys only as of the moment at which the watch was sent, so the state is
/// between one and two waits old. A longer wait saves calls, but ends the trust sooner after the store becomes
/// unavailable: with 1.5 s keys were refused from 1.4 s on, with 1.3 s from 1.8 s, with 1 s from 2.4 s.
const CONFIG_WATCH_SHARE: f64 = 0.26;
/// Time for which one watch of the servers waits for changes. A store that is no longer reachable may be detected
/// only at the end of the wait, as a middlebox may answer the system's keep-alive probes; until then the node
/// sends requests to servers that have left. With 8 s it did so for 13 s.
const SERVERS_WATCH_TIME: Duration = Duration::from_millis(3_000);
/// Time for which a watch waits if its answers serve other nodes, as a share of the maximum age of keys.
/// State that is passed on is up to two waits old. All nodes together call the store less often this way than
/// if each node waited ten times as long.
const WATCHER_SHARE: f64 = 0.12;
/// Pause after changes of servers before the next watch. Servers often change in groups; without a pause each
/// change costs a call.
const SERVERS_BATCH_PAUSE: Duration = Duration::from_millis(250);
/// Pause after a full read before the store is called again. Nodes that received a newer state must not call
/// a store that answers with an old one ten times a second.
const REREAD_PAUSE: Duration = Duration::from_millis(200);
/// First pause after a failed call.
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(40);
/// Longest pause after failed calls: a fraction of the time within which a change must be in force.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(800);
/// Pause after a failed call on a node whose collector is another node. It is long compared with the
/// collector's own retries. If the store refuses the collector only, other nodes receive no state from it; the
/// pause is short enough that they read the store before they have to refuse callers with keys.
const FOLLOWER_RETRY_PAUSE: Duration = Duration::from_millis(1_600);
/// Pause after the first full read. Nodes that start together know each other after 0.7 s, and one of them
/// sends its state to all others from then on. Without the pause, each of 195 nodes called the store itself to
/// follow servers that started one after another.
const START_PAUSE: Duration = Duration::from_millis(1_500);

impl<C: Clock, W: Send + Sync + 'static> GatewayControl<C, W> {
    /// Reads a topic and follows its changes for as long as the node runs. While other nodes send its state,
    /// the store is not called.
    pub(super) async fn follow<S: FleetSource>(&self, mut source: S, topic: SourceTopic) {
        let mut rng = fastrand::Rng::with_seed(self.shared.options.node_seed());
        let mut backoff = BackoffPause::new(MIN_RETRY_PAUSE, MAX_RETRY_PAUSE);
        let mut since = None;
        let mut is_unavailable = false;
        let mut cause = CallCause::Start;
        loop {
            (since, cause) = self.wait_until_query_due(topic, since, cause).await;
            let requested_at = self.shared.clock.boot_time();
            let answer = self.query(&mut source, topic, since, cause).await;
            let call_topic = CallTopic::Followed(topic);
            record_source_call(&self.shared, call_topic, cause, answer.is_ok());
            match answer {
                Ok(change)
                    if since.is_some_and(|since: StoreVersion| since.era < change.version.era) =>
                {
                    // The store was restored from an old backup. Its changes after a version of another era
                    // don't include what differs between the two, so the topic is read in full again.
                    self.on_new_era(topic, change.version);
                    since = None;
                    cause = CallCause::Change;
                }
                Ok(change) => {
                    if is_unavailable {
                        self.log_recovery(topic, change.version);
                        is_unavailable = false;
                    }
                    backoff.reset();
                    let is_full_read = since.is_none();
                    let has_changes = !change.events.is_empty();
                    let pause = self.pause_after(topic, cause, is_full_read, has_changes);
                    since = Some(change.version);
                    if !(is_full_read && cause == CallCause::Start) {
                        cause = CallCause::Watch;
                    }
                    if self.view.apply(topic, change, is_full_read, requested_at) {
                        self.lifecycle.borrow_mut().configured(&self.shared);
                    }
                    self.shared.clock.sleep(pause).await;
                }
                Err(error) => {
                    since = since.filter(|_| error.can_resume_watch());
                    cause = CallCause::Outage;
                    self.view.sync_state().record_failure(topic, requested_at);
                    self.on_failure(topic, &error, &mut is_unavailable);
                    if error != SourceError::HistoryLost {
                        let own_pause = backoff.next(&mut rng);
                        self.shared
                            .clock
                            .sleep(self.retry_pause(topic, own_pause))
                            .await;
                    }
                }
            }
        }
    }

    /// Fetches from other nodes the state of a topic that this node lacks.
    ///
    /// It does not wait for a call to the store to end: a call without an answer takes seconds, and callers
    /// with new keys would be refused for that time.
    pub(super) async fn fetch_snapshots(&self, topic: SourceTopic) {
        loop {
            if self.view.fetch_next_snapshot(topic).await {
                self.lifecycle.borrow_mut().configured(&self.shared);
            }
        }
    }

    /// Waits while other nodes send the state of a topic. Returns the version after which the store's changes
    /// are needed, or `None` if the whole topic has to be read, and the cause of the call.
    async fn wait_until_query_due(
        &self,
        topic: SourceTopic,
        since: Option<StoreVersion>,
        cause: CallCause,
    ) -> (Option<StoreVersion>, CallCause) {
        if since.is_none() {
            return (None, cause);
        }
        let mut has_waited = false;
        while let Some(max_wait) = self.pause_before_query(topic) {
            if !has_waited {
                LogLine::new("source_told")
                    .with("topic", topic.as_str())
                    .info(&self.shared.log);
            }
            has_waited = true;
            self.view.wait_for_sync_change(max_wait).await;
        }
        let must_read = self.view.sync_state().must_read(topic);
        if has_waited {
            LogLine::new("source_asked")
                .with("topic", topic.as_str())
                .with("reason", if must_read { "missing" } else { "untold" })
                .info(&self.shared.log);
        }
        if must_read {
            return (None, CallCause::Change);
        }
        let cause = if has_waited { CallCause::Outage } else { cause };
        let position = match topic {
            // The store's version of the configuration is not part of what nodes send each other.
            SourceTopic::Config => since.filter(|_| !has_waited),
            SourceTopic::Servers => self.view.sync_state().servers_version(),
        };
        (position, cause)
    }

    /// Returns how long the store is not called for a topic.
    ///
    /// While the store is unavailable, each node of a large fleet would retry both topics. One is enough to detect
    /// that it answers again.
    fn pause_before_query(&self, topic: SourceTopic) -> Option<Duration> {
        let is_unanswered = || {
            let is_failing = self.view.sync_state().is_failing(SourceTopic::Config);
            is_failing || self.view.awaits_first_probe()
        };
        let waits_for_collector =
            topic == SourceTopic::Servers && self.view.relies_on_collector() && is_unanswered();
        self.view
            .fresh_for(topic)
            .or(waits_for_collector.then_some(TICK))
    }

    async fn query<S: FleetSource>(
        &self,
        source: &mut S,
        topic: SourceTopic,
        since: Option<StoreVersion>,
        cause: CallCause,
    ) -> Result<SourceChange, SourceError> {
        let is_servers = topic == SourceTopic::Servers;
        // A node without recent state, and the nodes that follow it, need an answer at once. The answer to a
        // watch that waits for a change would arrive after these nodes have called the store themselves.
        let max_wait = match cause {
            CallCause::Start | CallCause::Outage => Duration::ZERO,
            _ => self.watch_time(topic),
        };
        if is_servers {
            self.view.sync_state().set_watching(true);
        }
        let answer = match since {
            None => source.read(topic).await,
            Some(version) => source.watch(topic, version, max_wait).await,
        };
        if is_servers {
            self.view.sync_state().set_watching(false);
        }
        answer
    }

    /// Returns how long a watch waits for changes: less if its answers also serve other nodes.
    fn watch_time(&self, topic: SourceTopic) -> Duration {
        let now = self.shared.clock.boot_time();
        let max_key_age = self.shared.bounds.load().max_key_age;
        if self.view.sync_state().has_followers(now) {
            return max_key_age.mul_f64(WATCHER_SHARE);
        }
        match topic {
            SourceTopic::Config => max_key_age.mul_f64(CONFIG_WATCH_SHARE),
            SourceTopic::Servers => SERVERS_WATCH_TIME,
        }
    }

    /// Returns the pause after an answer of the source before the next call.
    fn pause_after(
        &self,
        topic: SourceTopic,
        cause: CallCause,
        is_full_read: bool,
        has_changes: bool,
    ) -> Duration {
        let is_first = is_full_read && cause == CallCause::Start;
        if is_first && self.shared.options.peer_listen.is_some() {
            return START_PAUSE;
        }
        if is_full_read {
            return REREAD_PAUSE;
        }
        if topic == SourceTopic::Servers && has_changes {
            return SERVERS_BATCH_PAUSE;
        }
        Duration::ZERO
    }

    /// Returns the pause after a failed call, given the node's own backoff pause.
    ///
    /// The collector keeps retrying, and reports within two rounds that the store answers again. Eight nodes made
    /// 184 calls in 6 s of an outage without this, and less than 75 with it (`platform/tests/peer_sync.rs`).
    fn retry_pause(&self, topic: SourceTopic, own_pause: Duration) -> Duration {
        let is_known = self.view.sync_state().known_at(topic).is_some();
        if !is_known || !self.view.relies_on_collector() {
            return own_pause;
        }
        FOLLOWER_RETRY_PAUSE.mul_f64(0.5 + self.shared.random_share())
    }

    fn on_new_era(&self, topic: SourceTopic, version: StoreVersion) {
        LogLine::new("source_era")
            .with("topic", topic.as_str())
            .with("source_version", version)
            .warn(&self.shared.log);
        self.view.set_era(version.era);
    }

    fn log_recovery(&self, topic: SourceTopic, version: StoreVersion) {
        LogLine::new("source_regained")
            .with("topic", topic.as_str())
            .with("source_version", version)
            .info(&self.shared.log);
    }

    fn on_failure(&self, topic: SourceTopic, error: &SourceError, is_unavailable: &mut bool) {
        if *error == SourceError::HistoryLost {
            LogLine::new("source_history_lost")
                .with("topic", topic.as_str())
                .warn(&self.shared.log);
            return;
        }
        self.view.record_source_failure();
        if !*is_unavailable {
            LogLine::new("source_lost")
                .with("topic", topic.as_str())
                .with("error", error)
                .with_some("key_age_ms", self.shared.key_age_ms())
                .warn(&self.shared.log);
            *is_unavailable = true;
        }
    }
}

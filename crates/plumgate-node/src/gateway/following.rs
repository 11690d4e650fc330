//! Follows the source: by calls of the node's own, or by what others tell and give.

use std::time::Duration;

use plumgate::StoreVersion;
use plumgate::retry::BackoffPause;

use super::control::{GatewayControl, TICK};
use super::ports::{FleetSource, SourceChange, SourceError, SourceTopic};
use super::source_calls::{CallCause, CallTopic, note_source_call};
use crate::clock::Clock;
use crate::log::LogLine;

/// How long a watch of the configuration waits for changes where it serves this node alone, as a share
/// of the longest age of keys: 1.3 s of 5 s.
///
/// Its answer renews the trust in keys, but only as of the moment when it was asked for: what is
/// known is between one and two waits old. A longer wait saves calls, and ends the trust sooner
/// after the store was lost: at 1.5 s keys were refused from 1.4 s on, at 1.3 s from 1.8 s, at 1 s
/// from 2.4 s.
const CONFIG_SHARE: f64 = 0.26;
/// How long one watch of the servers waits for changes. A connection that lost its way is found at
/// the end of the wait at the latest, as what lies between may answer the system's probes: until
/// then the node sends requests to servers that have left. At 8 s it did so for 13 s.
const SERVERS_PAUSE: Duration = Duration::from_millis(3_000);
/// How long a watch waits where its answers serve other nodes, as a share of the longest age of
/// keys. What is passed on is up to two waits old. All nodes together ask less often by it than if
/// each waited ten times as long.
const READER_SHARE: f64 = 0.12;
/// Pause after news of servers before the next watch. Servers come and go in numbers; without a
/// pause each of them costs a call of its own.
const SERVERS_BATCH: Duration = Duration::from_millis(250);
/// Pause after all was read before the store is asked again: one that answers with an old state must
/// not be asked ten times a second by nodes that were told of a newer one.
const REREAD_PAUSE: Duration = Duration::from_millis(200);
/// First pause after a call without an answer.
const FIRST_RETRY: Duration = Duration::from_millis(40);
/// Longest pause after calls without an answer: a fraction of the time within which a change
/// must be in force.
const LONGEST_RETRY: Duration = Duration::from_millis(800);
/// Pause after a call without an answer of a node whose collector is another one: long against the
/// collector's own retries, and short enough that a node that is told nothing, as its collector alone
/// is turned away, reads the store before callers with keys are refused.
const FOLLOWER_RETRY: Duration = Duration::from_millis(1_600);
/// How long a node that has read all at its start leaves the store alone. Nodes that start together know
/// each other after 0.7 s, and one of them tells all others from then on. Without it each of 195 nodes
/// followed servers that started one after another by calls of its own.
const START_PAUSE: Duration = Duration::from_millis(1_500);

impl<C: Clock, W: Send + Sync + 'static> GatewayControl<C, W> {
    /// Reads a topic and follows its changes for as long as the node runs. While others tell of
    /// it, the store is left alone.
    pub(super) async fn follow<S: FleetSource>(&self, mut source: S, topic: SourceTopic) {
        let mut rng = fastrand::Rng::with_seed(self.shared.options.seed);
        let mut backoff = BackoffPause::new(FIRST_RETRY, LONGEST_RETRY);
        let mut since = None;
        let mut is_lost = false;
        let mut cause = CallCause::Start;
        loop {
            (since, cause) = self.rest(topic, since, cause).await;
            let asked_at = self.shared.clock.boot_time();
            let answer = self.ask(&mut source, topic, since, cause).await;
            let call_topic = CallTopic::Followed(topic);
            note_source_call(&self.shared, call_topic, cause, answer.is_ok());
            match answer {
                Ok(change)
                    if since.is_some_and(|since: StoreVersion| since.era < change.version.era) =>
                {
                    // The store came back from an old copy. What it tells after a version of another era says
                    // nothing of what lies between: all is read anew.
                    self.note_era(topic, change.version);
                    since = None;
                    cause = CallCause::Change;
                }
                Ok(change) => {
                    if is_lost {
                        self.log_regained(topic, change.version);
                        is_lost = false;
                    }
                    backoff.reset();
                    let is_whole = since.is_none();
                    let has_news = !change.events.is_empty();
                    let pause = self.pause_after(topic, cause, is_whole, has_news);
                    since = Some(change.version);
                    if !(is_whole && cause == CallCause::Start) {
                        cause = CallCause::Watch;
                    }
                    if self.view.apply(topic, change, is_whole, asked_at) {
                        self.life.borrow_mut().configured(&self.shared);
                    }
                    self.shared.clock.sleep(pause).await;
                }
                Err(error) => {
                    since = since.filter(|_| error.keeps_place());
                    cause = CallCause::Outage;
                    self.view.news().record_failure(topic, asked_at);
                    self.note_failure(topic, &error, &mut is_lost);
                    if error != SourceError::HistoryLost {
                        let next = backoff.next(&mut rng);
                        self.shared.clock.sleep(self.retry_pause(topic, next)).await;
                    }
                }
            }
        }
    }

    /// Takes from other nodes what this one lacks of a topic.
    ///
    /// It does not wait for a call to the store to end: one that gets no answer at all takes seconds, and
    /// callers with new keys would be refused for as long.
    pub(super) async fn follow_nodes(&self, topic: SourceTopic) {
        loop {
            if self.view.take_next_copy(topic).await {
                self.life.borrow_mut().configured(&self.shared);
            }
        }
    }

    /// Waits while others tell of a topic. Gives back from where on the store is to be asked, none
    /// where all has to be read, and what makes that necessary.
    async fn rest(
        &self,
        topic: SourceTopic,
        since: Option<StoreVersion>,
        cause: CallCause,
    ) -> (Option<StoreVersion>, CallCause) {
        if since.is_none() {
            return (None, cause);
        }
        let mut rested = false;
        while let Some(most) = self.pause_before(topic) {
            if !rested {
                LogLine::new("source_told")
                    .with("topic", topic.as_str())
                    .info(&self.shared.log);
            }
            rested = true;
            self.view.wait_for_news(most).await;
        }
        let must_read = self.view.news().must_read(topic);
        if rested {
            LogLine::new("source_asked")
                .with("topic", topic.as_str())
                .with("reason", if must_read { "missing" } else { "untold" })
                .info(&self.shared.log);
        }
        if must_read {
            return (None, CallCause::Change);
        }
        let cause = if rested { CallCause::Outage } else { cause };
        let place = match topic {
            // Its place in the store's history is not passed on.
            SourceTopic::Config => since.filter(|_| !rested),
            SourceTopic::Servers => self.view.news().servers_version(),
        };
        (place, cause)
    }

    /// How long the store is left alone for a topic.
    ///
    /// While it answers nobody, each node of a large fleet would try both topics again and again. One is
    /// enough to find out that it is back.
    fn pause_before(&self, topic: SourceTopic) -> Option<Duration> {
        let waits = topic == SourceTopic::Servers
            && self.view.news().is_failing(SourceTopic::Config)
            && self.view.leaves_retries();
        self.view.rest(topic).or(waits.then_some(TICK))
    }

    async fn ask<S: FleetSource>(
        &self,
        source: &mut S,
        topic: SourceTopic,
        since: Option<StoreVersion>,
        cause: CallCause,
    ) -> Result<SourceChange, SourceError> {
        let is_servers = topic == SourceTopic::Servers;
        // Whoever was left without news needs an answer at once, and so do those who follow it: one that
        // waits for a change comes after they have given up and asked by themselves.
        let pause = match cause {
            CallCause::Start | CallCause::Outage => Duration::ZERO,
            _ => self.watch_pause(topic),
        };
        if is_servers {
            self.view.news().set_watching(true);
        }
        let answer = match since {
            None => source.read(topic).await,
            Some(version) => source.watch(topic, version, pause).await,
        };
        if is_servers {
            self.view.news().set_watching(false);
        }
        answer
    }

    /// How long a watch waits for changes: shorter where its answers serve other nodes too.
    fn watch_pause(&self, topic: SourceTopic) -> Duration {
        let now = self.shared.clock.boot_time();
        let key_age = self.shared.bounds.load().key_age;
        if self.view.news().has_followers(now) {
            return key_age.mul_f64(READER_SHARE);
        }
        match topic {
            SourceTopic::Config => key_age.mul_f64(CONFIG_SHARE),
            SourceTopic::Servers => SERVERS_PAUSE,
        }
    }

    /// Pause after an answer of the source before it is asked again.
    fn pause_after(
        &self,
        topic: SourceTopic,
        cause: CallCause,
        is_whole: bool,
        has_news: bool,
    ) -> Duration {
        let is_first = is_whole && cause == CallCause::Start;
        if is_first && self.shared.options.peer_listen.is_some() {
            return START_PAUSE;
        }
        if is_whole {
            return REREAD_PAUSE;
        }
        if topic == SourceTopic::Servers && has_news {
            return SERVERS_BATCH;
        }
        Duration::ZERO
    }

    /// Pause after a call that failed, given the next one of a node by itself.
    ///
    /// The collector goes on trying, and tells within two rounds that the store is back. Eight nodes made
    /// 184 calls in 6 s of an outage without this, less than 75 with it (`platform/tests/told.rs`).
    fn retry_pause(&self, topic: SourceTopic, own: Duration) -> Duration {
        let is_known = self.view.news().known_at(topic).is_some();
        if !is_known || !self.view.leaves_retries() {
            return own;
        }
        FOLLOWER_RETRY.mul_f64(0.5 + self.shared.random_share())
    }

    fn note_era(&self, topic: SourceTopic, version: StoreVersion) {
        LogLine::new("source_era")
            .with("topic", topic.as_str())
            .with("source_version", version)
            .warn(&self.shared.log);
        self.view.note_era(version.era);
    }

    fn log_regained(&self, topic: SourceTopic, version: StoreVersion) {
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
        self.view.note_trouble();
        if !*is_lost {
            LogLine::new("source_lost")
                .with("topic", topic.as_str())
                .with("error", error)
                .with_some("key_age_ms", self.shared.key_age_ms())
                .warn(&self.shared.log);
            *is_lost = true;
        }
    }
}

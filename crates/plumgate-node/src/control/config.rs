//! Activates the newest configuration and distributes it to peers.

use std::sync::Arc;

use plumgate::config::FleetConfig;
use plumgate::config_follower::FollowAction;
use plumgate::wire::{PeerMessage, TextPatch};

use super::{ControlLoop, TaskResult};
use crate::clock::Clock;
use crate::log::LogLine;
use crate::platform::{CONFIG_HEAD, CONFIG_TABLE};

impl<C: Clock> ControlLoop<C> {
    pub(super) fn run_optional_action(&mut self, action: Option<FollowAction>) {
        if let Some(action) = action {
            self.run_action(action);
        }
    }

    pub(super) fn run_action(&mut self, action: FollowAction) {
        match action {
            FollowAction::ReadHead => self.spawn(|platform| async move {
                TaskResult::Head(platform.read_row(CONFIG_TABLE, CONFIG_HEAD).await)
            }),
            FollowAction::ReadBundle(head) => self.spawn(|platform| async move {
                let bytes = platform.read_object(&head.digest).await.ok().flatten();
                let text = bytes.and_then(|bytes| String::from_utf8(bytes.to_vec()).ok());
                TaskResult::Bundle(head, text)
            }),
            FollowAction::RequestFromPeer(node) => {
                let address = self
                    .members
                    .peer(&node)
                    .map(|digest| digest.address.clone());
                let known_version = self.follower.version();
                let addresses: Vec<String> = address.into_iter().collect();
                self.send(&addresses, PeerMessage::ConfigRequest { known_version });
            }
            FollowAction::Activate { config, patch } => self.activate(config, patch),
            FollowAction::Reject { version, reason } => {
                LogLine::new("config_rejected")
                    .with("version", version)
                    .with("reason", reason)
                    .warn(&self.shared.log);
            }
        }
    }

    pub(super) fn activate(&mut self, config: Arc<FleetConfig>, patch: Option<(u64, TextPatch)>) {
        let version = config.version;
        let actions = {
            let mut dispatcher = self.shared.dispatcher();
            // Traffic threads log the configuration version of each routing decision, so the
            // configuration and the dispatcher change under one lock.
            self.shared.config.store(Some(config.clone()));
            dispatcher.set_config(config, self.shared.clock.now())
        };
        self.shared.apply_actions(actions);
        self.shared.metrics.config.set(version as i64);
        LogLine::new("config")
            .with("version", version)
            .info(&self.shared.log);
        self.lifecycle.configured(&self.shared);
        self.last_patch = patch.map(|(from, patch)| (from, version, patch));
        self.announce_config();
    }

    /// Sends a new version to peers at once; each peer that applies it sends it on to others.
    pub(super) fn announce_config(&mut self) {
        let addresses = self.members.gossip_targets();
        let digest = self.follower.active().map(|active| active.digest.clone());
        if let (Some((from, version, patch)), Some(digest)) = (self.last_patch.clone(), digest) {
            self.send(
                &addresses,
                PeerMessage::ConfigPatch {
                    from,
                    version,
                    patch,
                    digest,
                },
            );
        } else {
            self.members.expedite_round();
        }
    }

    pub(super) fn send_config(&mut self, node: &str, known_version: u64) {
        let Some(active) = self
            .follower
            .active()
            .filter(|active| active.version > known_version)
        else {
            return;
        };
        let message = match &self.last_patch {
            Some((from, version, patch))
                if *from == known_version && *version == active.version =>
            {
                let (from, version, patch) = (*from, *version, patch.clone());
                PeerMessage::ConfigPatch {
                    from,
                    version,
                    patch,
                    digest: active.digest.clone(),
                }
            }
            _ => PeerMessage::Config {
                version: active.version,
                bundle: active.text.clone(),
            },
        };
        let address = self.members.peer(node).map(|digest| digest.address.clone());
        let addresses: Vec<String> = address.into_iter().collect();
        self.send(&addresses, message);
    }
}

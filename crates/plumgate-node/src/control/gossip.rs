//! Gossip: sends this node's digests to peers and applies the messages of peers.

use std::collections::BTreeSet;
use std::time::Instant;

use plumgate::ids::{PoolId, ServerId, TierRank, WorkspaceId};
use plumgate::route::{LeavingSource, PeerServerLoad};
use plumgate::wire::{
    NodeDigest, PeerEnvelope, PeerMessage, ServerRequests, max_digest_servers,
    max_digest_workspaces,
};

use super::{ControlLoop, MAX_PREEMPT_PEERS, PREEMPT_REQUEST_INTERVAL};
use crate::clock::Clock;
use crate::log::LogLine;
use crate::metrics::ReasonLabels;

impl<C: Clock> ControlLoop<C> {
    pub(super) fn gossip(&mut self, now: Instant) {
        if self.members.next_round().is_some_and(|due| now < due) {
            return;
        }
        self.update_own_digest(now);
        let Some(round) = self.members.gossip(now) else {
            return;
        };
        let message = PeerMessage::Digests(round.digests.clone());
        let sent = self.send(&round.addresses, message);
        self.members.record_sent(sent, &round, now);
    }

    /// Sends a message to the addresses and returns the number of bytes sent.
    pub(super) fn send(&mut self, addresses: &[String], message: PeerMessage) -> u64 {
        let sent_ms = self.shared.clock.unix_ms();
        let now = self.shared.clock.now();
        self.links
            .send(addresses, message, sent_ms, now, &self.shared.metrics)
    }

    pub(super) fn update_own_digest(&mut self, now: Instant) {
        let nodes = self.members.live_count();
        let (pools, servers, demand) = {
            let mut dispatcher = self.shared.dispatcher();
            let servers =
                busiest_servers(dispatcher.routes().own_loads(), max_digest_servers(nodes));
            (
                dispatcher.pool_requests(),
                servers,
                dispatcher.limits_mut().demand(now),
            )
        };
        let leaving = self.leaving_to_announce();
        let own = self.members.own_mut();
        own.config = self.follower.version();
        own.stopping = self.lifecycle.is_stopping();
        own.pools = pools;
        own.servers = servers;
        own.demand = largest_demand(demand, max_digest_workspaces(nodes));
        own.leaving = leaving;
    }

    /// Returns the servers that the platform or the servers themselves report as leaving. Marks
    /// reported only by peers are not forwarded: they would continue to circulate after their
    /// source has removed them.
    pub(super) fn leaving_to_announce(&self) -> Vec<String> {
        let now = self.shared.clock.now();
        let dispatcher = self.shared.dispatcher();
        let is_first_hand = |sources: &Vec<LeavingSource>| {
            sources
                .iter()
                .any(|source| matches!(source, LeavingSource::Platform | LeavingSource::Server))
        };
        let leaving = dispatcher.routes().leaving(now).into_iter();
        leaving
            .filter(|(_, sources)| is_first_hand(sources))
            .map(|(server, _)| server.to_string())
            .collect()
    }

    pub(super) fn apply_bytes(&mut self, bytes: &[u8]) {
        self.shared
            .metrics
            .peer_bytes_received
            .inc_by(bytes.len() as u64);
        let now_ms = self.shared.clock.unix_ms();
        let opened = self.links.open(bytes);
        let checked =
            opened.and_then(|envelope| self.guard.check(&envelope, now_ms).map(|()| envelope));
        match checked {
            Ok(envelope) => self.apply_message(envelope),
            Err(error) => {
                let labels = ReasonLabels {
                    reason: refusal_label(&error),
                };
                self.shared
                    .metrics
                    .peer_refused
                    .get_or_create(&labels)
                    .inc();
                LogLine::new("peer_refused")
                    .with("reason", error)
                    .debug(&self.shared.log);
            }
        }
    }

    pub(super) fn apply_message(&mut self, envelope: PeerEnvelope) {
        let now = self.shared.clock.now();
        match envelope.message {
            PeerMessage::Digests(digests) => {
                self.send_known_digests(&envelope.sender, &digests, now);
                self.apply_digests(digests, now);
            }
            PeerMessage::ConfigRequest { known_version } => {
                self.send_config(&envelope.sender, known_version)
            }
            PeerMessage::Config { version, bundle } => {
                let action = self.follower.apply_bundle(version, bundle, None);
                self.run_optional_action(action);
            }
            PeerMessage::ConfigPatch {
                from,
                version,
                patch,
                digest,
            } => {
                let sender = &envelope.sender;
                let action = self
                    .follower
                    .apply_patch(sender, from, version, &patch, &digest);
                self.run_optional_action(action);
            }
            PeerMessage::PreemptRequest { pool, rank } => {
                self.on_preempt_request(&envelope.sender, pool, rank)
            }
            PeerMessage::Permits(message) => self.apply_permit_message(&envelope.sender, message),
        }
    }

    /// Sends all known digests to a node that has just joined.
    pub(super) fn send_known_digests(
        &mut self,
        sender: &str,
        digests: &[NodeDigest],
        now: Instant,
    ) {
        let Some(own) = digests.iter().find(|digest| digest.node == sender) else {
            return;
        };
        if let Some(known) = self.members.known_digests(sender, now) {
            let address = own.address.clone();
            self.send(&[address], PeerMessage::Digests(known));
        }
    }

    pub(super) fn apply_digests(&mut self, digests: Vec<NodeDigest>, now: Instant) {
        for digest in self.members.apply(digests, now) {
            let loads: Vec<PeerServerLoad> = digest.servers.iter().map(peer_load).collect();
            let demand = digest
                .demand
                .iter()
                .map(|(id, demand)| (id.as_str().into(), *demand))
                .collect();
            {
                let mut dispatcher = self.shared.dispatcher();
                dispatcher
                    .routes_mut()
                    .apply_peer(&digest.node.as_str().into(), &loads, now);
                dispatcher
                    .limits_mut()
                    .apply_demand(digest.node.as_str().into(), demand, now);
            }
            let action = self
                .follower
                .apply_peer_version(&digest.node, digest.config, now);
            self.run_optional_action(action);
        }
        let leaving = self.members.live().flat_map(|digest| &digest.leaving);
        let leaving: BTreeSet<ServerId> = leaving.map(|server| server.as_str().into()).collect();
        self.set_leaving(LeavingSource::Peer, &leaving);
    }

    /// Preempts a request for a peer and schedules a digest to that peer, which reports the free
    /// slot: the next gossip round may be too late for the request that waits there.
    pub(super) fn on_preempt_request(&mut self, sender: &str, pool: String, rank: TierRank) {
        let action = self
            .shared
            .dispatcher()
            .preempt_for_peer(&pool.into(), rank);
        let Some(action) = action else { return };
        self.shared.apply_actions(vec![action]);
        let address = self
            .members
            .peer(sender)
            .map(|digest| digest.address.clone());
        self.awaiting_digest.extend(address);
    }

    /// Sends this node's digest to the peers for which one is scheduled.
    pub(super) fn send_awaited_digests(&mut self, now: Instant) {
        if self.awaiting_digest.is_empty() {
            return;
        }
        let addresses: Vec<String> = std::mem::take(&mut self.awaiting_digest)
            .into_iter()
            .collect();
        self.update_own_digest(now);
        let digest = self.members.next_digest();
        self.send(&addresses, PeerMessage::Digests(vec![digest]));
    }

    pub(super) fn request_peer_preemption(&mut self, pool: &PoolId, rank: TierRank) {
        let now = self.shared.clock.now();
        if self
            .last_preempt_requests
            .get(pool)
            .is_some_and(|sent_at| now < *sent_at + PREEMPT_REQUEST_INTERVAL)
        {
            return;
        }
        self.last_preempt_requests.insert(pool.clone(), now);
        let runs_lower_rank = |digest: &&NodeDigest| {
            let loads = digest.pools.iter().filter(|load| *load.pool == **pool);
            loads
                .flat_map(|load| &load.running)
                .any(|(running_rank, count)| *running_rank > rank && *count > 0)
        };
        let candidates = self
            .members
            .live()
            .filter(runs_lower_rank)
            .map(|digest| digest.address.clone());
        let addresses: Vec<String> = candidates.take(MAX_PREEMPT_PEERS).collect();
        LogLine::new("ask_for_room")
            .with("pool", pool)
            .with("tier", rank)
            .with("peers", addresses.len())
            .info(&self.shared.log);
        let pool = pool.to_string();
        self.send(&addresses, PeerMessage::PreemptRequest { pool, rank });
    }
}

fn busiest_servers(mut loads: Vec<PeerServerLoad>, limit: usize) -> Vec<ServerRequests> {
    let total = |load: &PeerServerLoad| load.counts.iter().map(|(_, count)| *count).sum::<u32>();
    loads.sort_by_key(|load| std::cmp::Reverse(total(load)));
    loads.truncate(limit);
    let loads = loads.into_iter();
    loads
        .map(|load| ServerRequests {
            server: load.server.to_string(),
            counts: load.counts,
        })
        .collect()
}

fn largest_demand(mut demand: Vec<(WorkspaceId, f32)>, limit: usize) -> Vec<(String, f32)> {
    demand.sort_by(|a, b| b.1.total_cmp(&a.1));
    demand.truncate(limit);
    demand
        .into_iter()
        .map(|(workspace, demand)| (workspace.to_string(), demand))
        .collect()
}

fn peer_load(load: &ServerRequests) -> PeerServerLoad {
    PeerServerLoad {
        server: load.server.as_str().into(),
        counts: load.counts.clone(),
    }
}

fn refusal_label(error: &plumgate::Error) -> &'static str {
    match error {
        plumgate::Error::OversizedMessage(..) => "oversized",
        plumgate::Error::ForgedMessage => "forged",
        plumgate::Error::StaleMessage(_) => "stale",
        plumgate::Error::ReplayedMessage => "replayed",
        plumgate::Error::UnknownProtocol(_) => "protocol",
        _ => "malformed",
    }
}

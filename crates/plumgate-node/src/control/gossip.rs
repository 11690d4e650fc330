//! Tells peers what this node knows, and takes in what they tell.

use std::collections::BTreeSet;
use std::time::Instant;

use plumgate::ids::{PoolId, ServerId, TierRank, WorkspaceId};
use plumgate::route::{LeavingSource, PeerServerLoad};
use plumgate::wire::{
    NodeDigest, PeerEnvelope, PeerMessage, ServerLoad, servers_told, workspaces_told,
};

use super::{ControlLoop, ROOM_PAUSE, ROOM_PEERS};
use crate::clock::Clock;
use crate::log::LogLine;
use crate::metrics::ReasonLabels;

impl<C: Clock> ControlLoop<C> {
    pub(super) fn gossip(&mut self, now: Instant) {
        if self.members.next_round().is_some_and(|due| now < due) {
            return;
        }
        self.fill_digest(now);
        let Some(round) = self.members.gossip(now) else {
            return;
        };
        let message = PeerMessage::Digests(round.digests.clone());
        let sent = self.send(&round.addresses, message);
        self.members.note_sent(sent, &round, now);
    }

    /// Sends a message; how many bytes went out.
    pub(super) fn send(&mut self, addresses: &[String], message: PeerMessage) -> u64 {
        let sent_ms = self.shared.clock.unix_ms();
        let now = self.shared.clock.now();
        self.links
            .send(addresses, message, sent_ms, now, &self.shared.metrics)
    }

    pub(super) fn fill_digest(&mut self, now: Instant) {
        let nodes = self.members.live_count();
        let (pools, servers, demand) = {
            let mut dispatcher = self.shared.dispatcher();
            let servers = busiest_servers(dispatcher.routes().own_loads(), servers_told(nodes));
            (
                dispatcher.pool_loads(),
                servers,
                dispatcher.limits_mut().demand(now),
            )
        };
        let leaving = self.leaving_to_tell();
        let own = self.members.own_mut();
        own.config = self.follower.version();
        own.stopping = self.life.is_stopping();
        own.pools = pools;
        own.servers = servers;
        own.demand = largest_demand(demand, workspaces_told(nodes));
        own.leaving = leaving;
    }

    /// Leaving marks of the platform and of servers themselves. Marks that only peers told are
    /// not told on, or a mark would outlive its source by going round.
    pub(super) fn leaving_to_tell(&self) -> Vec<String> {
        let now = self.shared.clock.now();
        let dispatcher = self.shared.dispatcher();
        let own = |sources: &Vec<LeavingSource>| {
            sources
                .iter()
                .any(|source| matches!(source, LeavingSource::Platform | LeavingSource::Server))
        };
        let leaving = dispatcher.routes().leaving(now).into_iter();
        leaving
            .filter(|(_, sources)| own(sources))
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
                    reason: refusal_word(&error),
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
                self.greet(&envelope.sender, &digests, now);
                self.apply_digests(digests, now);
            }
            PeerMessage::AskConfig { have } => self.answer_config(&envelope.sender, have),
            PeerMessage::Config { version, bundle } => {
                let action = self.follower.apply_body(version, bundle, None);
                self.follow_some(action);
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
                self.follow_some(action);
            }
            PeerMessage::MakeRoom { pool, rank } => self.make_room(&envelope.sender, pool, rank),
        }
    }

    /// Tells a new node all that is known of the others.
    pub(super) fn greet(&mut self, sender: &str, digests: &[NodeDigest], now: Instant) {
        let Some(first) = digests.iter().find(|digest| digest.node == sender) else {
            return;
        };
        if let Some(known) = self.members.greeting(sender, now) {
            let address = first.address.clone();
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
            self.follow_some(action);
        }
        let told = self.members.live().flat_map(|digest| &digest.leaving);
        let leaving: BTreeSet<ServerId> = told.map(|server| server.as_str().into()).collect();
        self.set_leaving(LeavingSource::Peer, &leaving);
    }

    /// Lets a request give way for a peer, and tells that peer soon that the slot is free: the
    /// next round of gossip may come too late for a request that waits there.
    pub(super) fn make_room(&mut self, sender: &str, pool: String, rank: TierRank) {
        let action = self.shared.dispatcher().give_way(&pool.into(), rank);
        let Some(action) = action else { return };
        self.shared.carry_out(vec![action]);
        let address = self
            .members
            .peer(sender)
            .map(|digest| digest.address.clone());
        self.tell_soon.extend(address);
    }

    /// Tells this node's state to peers that wait for it.
    pub(super) fn tell_waiting(&mut self, now: Instant) {
        if self.tell_soon.is_empty() {
            return;
        }
        let addresses: Vec<String> = std::mem::take(&mut self.tell_soon).into_iter().collect();
        self.fill_digest(now);
        let digest = self.members.next_digest();
        self.send(&addresses, PeerMessage::Digests(vec![digest]));
    }

    pub(super) fn ask_for_room(&mut self, pool: &PoolId, rank: TierRank) {
        let now = self.shared.clock.now();
        if self
            .asked_room
            .get(pool)
            .is_some_and(|asked| now < *asked + ROOM_PAUSE)
        {
            return;
        }
        self.asked_room.insert(pool.clone(), now);
        let holds = |digest: &&NodeDigest| {
            let loads = digest.pools.iter().filter(|load| *load.pool == **pool);
            loads
                .flat_map(|load| &load.running)
                .any(|(held, count)| *held > rank && *count > 0)
        };
        let holders = self
            .members
            .live()
            .filter(holds)
            .map(|digest| digest.address.clone());
        let addresses: Vec<String> = holders.take(ROOM_PEERS).collect();
        LogLine::new("ask_for_room")
            .with("pool", pool)
            .with("tier", rank)
            .with("peers", addresses.len())
            .info(&self.shared.log);
        let pool = pool.to_string();
        self.send(&addresses, PeerMessage::MakeRoom { pool, rank });
    }
}

fn busiest_servers(mut loads: Vec<PeerServerLoad>, most: usize) -> Vec<ServerLoad> {
    let total = |load: &PeerServerLoad| load.counts.iter().map(|(_, count)| *count).sum::<u32>();
    loads.sort_by_key(|load| std::cmp::Reverse(total(load)));
    loads.truncate(most);
    let told = loads.into_iter();
    told.map(|load| ServerLoad {
        server: load.server.to_string(),
        counts: load.counts,
    })
    .collect()
}

fn largest_demand(mut demand: Vec<(WorkspaceId, f32)>, most: usize) -> Vec<(String, f32)> {
    demand.sort_by(|a, b| b.1.total_cmp(&a.1));
    demand.truncate(most);
    demand
        .into_iter()
        .map(|(workspace, demand)| (workspace.to_string(), demand))
        .collect()
}

fn peer_load(load: &ServerLoad) -> PeerServerLoad {
    PeerServerLoad {
        server: load.server.as_str().into(),
        counts: load.counts.clone(),
    }
}

fn refusal_word(error: &plumgate::Error) -> &'static str {
    match error {
        plumgate::Error::OversizedMessage(..) => "oversized",
        plumgate::Error::ForgedMessage => "forged",
        plumgate::Error::StaleMessage(_) => "stale",
        plumgate::Error::ReplayedMessage => "replayed",
        plumgate::Error::UnknownProtocol(_) => "protocol",
        _ => "malformed",
    }
}

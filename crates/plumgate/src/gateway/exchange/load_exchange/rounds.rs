//! Rounds of the exchange: reports to the collector, and sums of a collector.

use std::collections::HashMap;
use std::time::Instant;

use super::{ExchangeMoment, ExchangePacket, LoadExchange};
use crate::gateway::exchange::messages::{ExchangeBody, ServerKey, server_key};
use crate::gateway::servers::ServerEntry;
use crate::gateway::sync::SyncState;
use crate::gateway::sync::messages::SyncRequest;
use crate::gateway::work::ServerWork;
use crate::ids::NodeId;

/// Interval, in rounds, at which the nodes that may become collectors next in other data centres get the sums too:
/// often enough that these have not expired when one of them takes over. Sent to them in each round, the sums were
/// half of the bytes that collectors send to other data centres.
const STANDBY_ROUNDS: u32 = 4;

impl LoadExchange {
    /// Runs one round and returns the messages to send, given the work that this node has in flight.
    pub fn tick<'a>(
        &mut self,
        work: impl Iterator<Item = (&'a ServerEntry, ServerWork)>,
        sync: &mut SyncState,
        moment: ExchangeMoment,
    ) -> Vec<ExchangePacket> {
        let now = moment.now;
        self.peers.set_now(now);
        let sync_request = sync.create_request(moment.boot);
        let previous: Vec<ServerKey> = self.own_reported.keys().copied().collect();
        self.own_reported = work
            .map(|(server, work)| (server_key(server), work))
            .collect();
        self.check_collector(now);
        self.check_store_access(sync, moment);
        self.locations.begin_round();
        if self.handover_rounds > 0 {
            self.handover_rounds -= 1;
            return self.collect(sync, sync_request, now);
        }
        let Some(collector) = self.peers.collector().cloned() else {
            return self.collect(sync, sync_request, now);
        };
        let mut packets = self.usage_packets(std::slice::from_ref(&collector));
        let reports = self.sums.take_reports(None, now);
        packets.extend(self.sum_packets(&reports.to_collector, std::slice::from_ref(&collector)));
        // Work that has ended must be reported once as zero, or it would count until it expires.
        let mut entries = self.own_reported.clone();
        for key in previous {
            entries.entry(key).or_default();
        }
        packets.extend(self.packets(
            &entries,
            ExchangeBody::Own,
            &[collector],
            sync,
            Some(sync_request),
            now,
        ));
        packets
    }

    /// Adds up the work of the data centre and sends it to its nodes and the other data centres.
    fn collect(
        &mut self,
        sync: &mut SyncState,
        sync_request: SyncRequest,
        now: Instant,
    ) -> Vec<ExchangePacket> {
        let mut sum: HashMap<ServerKey, ServerWork> = self.own_reported.clone();
        for peer in self.peers.own_data_centre_peers() {
            peer.reported.add_to(&mut sum, now);
        }
        let mut total = sum.clone();
        for (data_centre, reported) in &self.data_centre_work {
            if *data_centre != self.peers.own().data_centre {
                reported.add_to(&mut total, now);
            }
        }
        self.total.replace(&total, now);
        self.peers.check_foreign_collectors(now);
        let members = self.peers.own_data_centre_peers();
        let nodes: Vec<NodeId> = members.map(|peer| peer.entry.node.clone()).collect();
        // A collector that the store refuses can still learn from what its nodes read by themselves.
        let without_servers = sync_request.without_servers();
        let mut packets = self.packets(
            &total,
            ExchangeBody::Total,
            &nodes,
            sync,
            Some(without_servers),
            now,
        );
        self.rounds += 1;
        let collectors = if self.rounds.is_multiple_of(STANDBY_ROUNDS) {
            self.peers.next_foreign_collectors()
        } else {
            self.peers.foreign_collectors()
        };
        let collectors: Vec<NodeId> = collectors.into_iter().collect();
        packets.extend(self.usage_packets(&collectors));
        let data_centre = self.peers.own().data_centre.clone();
        let reports = self.sums.take_reports(Some(&data_centre), now);
        packets.extend(self.sum_packets(&reports.to_members, &nodes));
        packets.extend(self.sum_packets(&reports.to_data_centres, &collectors));
        packets.extend(self.packets(
            &sum,
            ExchangeBody::DataCentre,
            &collectors,
            sync,
            Some(sync_request),
            now,
        ));
        packets
    }
}

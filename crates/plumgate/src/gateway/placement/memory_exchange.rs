//! Memory of engines in the table of servers: forecasts for the choice, and the exchange with other nodes.

use std::collections::HashMap;
use std::time::Instant;

use super::choice::PlacementRequest;
use super::engine_memory::{MemoryDemand, MemoryForecast, MemoryRound, PoolMemoryUse};
use super::load::LoadTable;
use super::server_load::{CostPrediction, ServerLoad};
use crate::gateway::config::GatewayConfig;
use crate::gateway::exchange::{LoadExchange, SumKey, SumRow, SumTopic};
use crate::gateway::switches::PolicyPart;

/// Share of the shorter of two waits, for earlier prompts and for memory, that adds to the longer one: memory becomes
/// free while prompts are prefilled, and requests that get it are prefilled in turn. Long prompts in time in a fleet of
/// 10 engines with short and with rather full memory (`tests/engine_memory.rs`): 0.59 and 0.94 with none of it, 0.64
/// and 0.91 with all, 0.66 and 0.92 with half.
const OVERLAP_SHARE: f64 = 0.5;

impl LoadTable {
    /// Applies the limits of engines that a configuration names.
    pub fn set_engines(&mut self, config: &GatewayConfig) {
        if self.has(PolicyPart::EngineMemory) {
            self.memory.set_limits(config.engines());
        }
    }

    /// Predicts whether a request fits into the memory of a server.
    pub(super) fn memory_forecast(
        &self,
        request: &PlacementRequest<'_>,
        load: &ServerLoad,
        now: Instant,
    ) -> MemoryForecast {
        let Some(demand) = request.memory_demand() else {
            return MemoryForecast::default();
        };
        self.memory
            .forecast(&demand, &load.memory, &load.parts, &load.peers, now)
    }

    /// Applies what the other nodes reported of the servers' memory, and queues what this node reports.
    pub(super) fn exchange_memory(&mut self, exchange: &mut LoadExchange, now: Instant) {
        if self.memory.pools().next().is_none() {
            exchange.sums().set_rows(SumTopic::ServerMemory, []);
            return;
        }
        let counts_peers = self.has(PolicyPart::Exchange);
        let reported = if counts_peers {
            exchange.sums().peer_rows(SumTopic::ServerMemory, now)
        } else {
            Vec::new()
        };
        let by_key: HashMap<SumKey, &SumRow> = reported.iter().map(|row| (row.key, row)).collect();
        let mut rows = Vec::new();
        for load in self.servers.values_mut() {
            let key = load.entry.incarnation_key();
            let round = MemoryRound {
                key,
                row: by_key.get(&key).copied(),
                work: &load.peers,
                now,
            };
            let parts = &load.parts;
            let pool = &load.entry.pool;
            let row = self
                .memory
                .exchange(pool, &mut load.memory, &round, || parts.len());
            rows.extend(row);
        }
        if !counts_peers {
            rows.clear();
        }
        exchange.sums().set_rows(SumTopic::ServerMemory, rows);
    }

    /// Returns the predicted memory use of each pool with known limits.
    pub fn memory_use(&self, now: Instant) -> Vec<PoolMemoryUse> {
        let pools = self.memory.pools();
        let uses = pools.map(|pool| {
            let mut sum = PoolMemoryUse {
                pool: pool.clone(),
                used_tokens: 0,
                capacity_tokens: 0,
                reported_servers: 0,
            };
            let loads = self.servers.values();
            for load in loads.filter(|load| load.entry.pool == *pool) {
                let used = self.memory.server_use(pool, &load.memory, &load.peers, now);
                let (used, capacity) = used.unwrap_or_default();
                sum.used_tokens += used;
                sum.capacity_tokens += capacity;
                sum.reported_servers += usize::from(load.memory.is_reported());
            }
            sum
        });
        uses.collect()
    }
}

impl CostPrediction {
    /// Adds what the memory of the server means for the request.
    pub(super) fn with_memory(mut self, memory: &MemoryForecast) -> Self {
        let queue = self.queue;
        self.queue = queue.max(memory.queue) + queue.min(memory.queue) * OVERLAP_SHARE;
        self.wait += self.queue - queue;
        self.cost += (memory.cost - queue).max(0.0);
        self
    }
}

impl PlacementRequest<'_> {
    /// Returns what the request needs of a server's memory, if it has a prompt.
    pub(super) fn memory_demand(&self) -> Option<MemoryDemand<'_>> {
        Some(MemoryDemand {
            pool: self.pool,
            prompt: self.prompt?,
            urgency: self.urgency,
            output_hint: self.output_hint,
        })
    }
}

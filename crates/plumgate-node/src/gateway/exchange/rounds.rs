//! Rounds of the exchange, and what a node updates after each.

use std::time::{Duration, Instant};

use plumgate::gateway::{ExchangeMoment, ExchangePacket, LoadExchange, LoadTable};

use super::PeerExchange;
use crate::clock::Clock;
use crate::log::LogLine;

/// Time between two rounds of the exchange.
const ROUND_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two full updates of the servers' availability in placement. New statements of servers are
/// applied at once; this update accounts for time in suspension, which the clock of placement does not count.
const AVAILABILITY_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two reports of the memory of engines to operators.
const MEMORY_INTERVAL: Duration = Duration::from_secs(1);

impl<C: Clock, W: Send + Sync + 'static> PeerExchange<C, W> {
    /// Runs the rounds of the exchange.
    pub(super) async fn run_rounds(&self) {
        loop {
            self.shared.clock.sleep(ROUND_INTERVAL).await;
            let packets = self.run_round(self.moment());
            self.shared.wake_waiting();
            self.shared.log_suspects();
            self.shared.update_limit_metrics();
            self.shared.update_notice_metrics();
            self.shared.report_profiles();
            self.shared.report_groups();
            self.update_collector();
            self.update_tunnel_peers();
            self.update_node_count();
            self.send_all(packets).await;
        }
    }

    /// Runs one round, and returns the messages to send.
    fn run_round(&self, moment: ExchangeMoment) -> Vec<ExchangePacket> {
        let mut loads = self.shared.loads();
        let mut exchange = self.exchange.borrow_mut();
        loads.exchange_with(&mut exchange, moment.now);
        if let Some(change) = loads.take_rank_change() {
            self.shared.log_rank_change(change);
        }
        self.report_memory(&loads, moment.now);
        self.exchange_quarantine(&mut exchange, moment.now);
        if let Some(duties) = &self.duties {
            duties.exchange_with(&mut exchange);
        }
        self.shared.run_share_round(exchange.sums(), moment);
        self.shared.exchange_returns(&mut exchange, moment);
        self.record_dropped_rows(exchange.sums().take_dropped());
        let mut packets = exchange.tick(loads.own_work(), &mut self.view.sync_state(), moment);
        packets.extend(self.run_statement_round(&mut loads, &exchange, moment));
        self.run_origin_round(&exchange);
        packets
    }

    /// Exchanges evidence and verdicts about requests that may crash servers.
    fn exchange_quarantine(&self, exchange: &mut LoadExchange, now: Instant) {
        let unix_ms = self.shared.clock.unix_ms();
        let mut quarantine = self.shared.quarantine();
        let refused = quarantine.exchange_with(exchange, now, unix_ms);
        self.shared.metrics.fleet.peer_refused.inc_by(refused);
        let changes = quarantine.take_changes();
        drop(quarantine);
        self.verdicts.queue_changes(changes);
    }

    /// Runs one round of the statements of servers, and applies them to placement.
    fn run_statement_round(
        &self,
        loads: &mut LoadTable,
        exchange: &LoadExchange,
        moment: ExchangeMoment,
    ) -> Vec<ExchangePacket> {
        let mut statements = self.shared.statements();
        let had_limits = !statements.limits.is_empty();
        let mut packets = statements.run_round(exchange, self.message_time());
        if moment.now >= self.availability_due.get() && !statements.notices.is_empty() {
            self.availability_due
                .set(moment.now + AVAILABILITY_INTERVAL);
            loads.set_availabilities(&statements.notices, moment.boot, moment.now);
        }
        let is_known = |id| loads.entries().any(|entry| entry.incarnation_id() == id);
        statements.notices.remove_expired(moment.boot, is_known);
        if !statements.brittle.is_empty() || loads.has_brittle() {
            statements.brittle.remove_expired(moment.boot);
            loads.set_all_brittle(&statements.brittle, moment.boot, moment.now);
        }
        let nodes = exchange.other_nodes().map(|entry| &entry.node);
        let round = loads.run_place_round(nodes, moment.now);
        self.shared.log_expired_loans(&round.expired);
        let time = self.message_time();
        packets.extend(statements.place_packets(exchange, round.messages, time));
        if had_limits {
            loads.set_limits(&statements.limits);
        }
        packets
    }

    /// Publishes the predicted memory use of each pool once a second, and logs when a pool begins or ceases to have
    /// servers whose memory is largely in use.
    fn report_memory(&self, loads: &LoadTable, now: Instant) {
        if now < self.memory_due.get() {
            return;
        }
        self.memory_due.set(now + MEMORY_INTERVAL);
        let mut short_pools = self.short_pools.borrow_mut();
        for memory in loads.memory_use(now) {
            self.shared.metrics.memory.set_use(&memory);
            let is_changed = if memory.reported_servers > 0 {
                short_pools.insert(memory.pool.clone())
            } else {
                short_pools.remove(&memory.pool)
            };
            if is_changed {
                LogLine::new("engine_memory")
                    .with("pool", &memory.pool)
                    .with("used_tokens", memory.used_tokens)
                    .with("capacity_tokens", memory.capacity_tokens)
                    .with("reported_servers", memory.reported_servers)
                    .info(&self.shared.log);
            }
        }
    }

    /// Counts and logs rows of sums over all nodes that were dropped because there were too many.
    fn record_dropped_rows(&self, count: u64) {
        self.shared.metrics.fleet.sum_rows_dropped.inc_by(count);
        if count > 0 {
            LogLine::new("sum_rows_dropped")
                .with("count", count)
                .info(&self.shared.log);
        }
    }

    /// Updates which node is the collector.
    fn update_collector(&self) {
        let collector = self.exchange.borrow().collector().cloned();
        self.view.set_collector(collector.is_none());
        let collector = collector.unwrap_or_else(|| self.own_entry.node.clone());
        let known = self.collector.replace(Some(collector.clone()));
        if known.as_ref() != Some(&collector) {
            LogLine::new("collector")
                .with("node", &collector)
                .with_some("before", known)
                .with("handed_over", self.exchange.borrow().has_handed_over())
                .info(&self.shared.log);
        }
    }

    /// Updates the nodes that may be asked for tunnels.
    fn update_tunnel_peers(&self) {
        let exchange = self.exchange.borrow();
        let nodes = exchange.other_nodes().cloned();
        self.shared.tunnel_peers().set_nodes(nodes);
    }

    /// Divides the fleet's retries among the nodes, with a reserve for nodes that are not known yet.
    fn update_node_count(&self) {
        let count = self.exchange.borrow().node_count();
        let is_collector = self.exchange.borrow().is_collector();
        if !self.has_register.get() {
            // The extra retries are not used until the size of the fleet is known.
            return;
        }
        let gauge = i64::try_from(count).unwrap_or(i64::MAX);
        if self.shared.metrics.fleet.nodes.set(gauge) != gauge {
            let nodes = u32::try_from(count).unwrap_or(u32::MAX);
            let now = self.shared.clock.boot_time();
            let mut budget = self.shared.budget();
            budget.set_nodes(nodes, now);
            let divisor = budget.divisor();
            drop(budget);
            LogLine::new("nodes")
                .with("count", count)
                .with("collector", is_collector)
                .with_some("retries_divided_by", divisor)
                .info(&self.shared.log);
        }
    }
}

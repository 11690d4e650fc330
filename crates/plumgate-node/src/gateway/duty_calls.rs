//! Outgoing calls of the duties: to the store for the lease, and to the duty API for usage reports and orders of
//! servers.

use std::rc::Rc;
use std::time::{Duration, Instant};

use plumgate::duty::{
    CapacityType, DutyAnswer, DutyCall, LoadScaling, LoadScalingOptions, PoolScaling, ScaleOrder,
    ScalePolicy, ScaleSubject,
};
use plumgate::gateway::PolicyPart;
use plumgate::ids::{DataCentreId, PoolId};

use super::duties::{CALL_TIMEOUT, DutyState};
use super::metrics::DutyCallLabels;
use super::ports::{DutyApi, DutyApiError, FleetSource, SourceError};
use super::source_calls::{CallCause, CallTopic, record_source_call};
use crate::clock::Clock;
use crate::log::LogLine;

/// Interval between two checks for calls that are due.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between two evaluations of the scaling policies.
const SCALE_INTERVAL: Duration = Duration::from_millis(400);
/// Interval between two updates of the operators' page.
const PAGE_INTERVAL: Duration = Duration::from_secs(1);
/// Pause after a failed call to the duty API.
const API_RETRY_PAUSE: Duration = Duration::from_millis(300);

impl<C: Clock, W> DutyState<C, W> {
    /// Acquires and renews the lease of the duties while this node should hold them; runs as long as the node.
    pub(crate) async fn maintain_lease<S: FleetSource>(self: Rc<Self>, mut source: S) {
        loop {
            self.shared.clock.sleep(CHECK_INTERVAL).await;
            if self.shared.options.peer_listen.is_none() {
                self.update_without_peers();
            }
            let Some(moment) = self.moment().filter(|_| self.should_hold()) else {
                continue;
            };
            let counts = |window| self.counts(window);
            let call = self.coordinator.borrow_mut().tick(counts, moment);
            let Some(call) = call else {
                self.log_windows();
                continue;
            };
            let answer = source.duty(&call).await;
            let cause = match call {
                DutyCall::Read => CallCause::Watch,
                DutyCall::Write(_) => CallCause::Change,
            };
            record_source_call(&self.shared, CallTopic::Duties, cause, answer.is_ok());
            let answer = self.resolve_answer(answer);
            let now = self.shared.clock.boot_time();
            let events = self.coordinator.borrow_mut().apply(answer, now);
            self.log_events(&events);
        }
    }

    fn resolve_answer(&self, answer: Result<DutyAnswer, SourceError>) -> DutyAnswer {
        match answer {
            Ok(answer) => answer,
            Err(error) => {
                LogLine::new("duty_store_failed")
                    .with("error", &error)
                    .warn(&self.shared.log);
                match error {
                    SourceError::Refused(_) => DutyAnswer::Refused,
                    _ => DutyAnswer::Unanswered,
                }
            }
        }
    }

    fn log_windows(&self) {
        for outcome in self.coordinator.borrow_mut().reporter_mut().take_outcomes() {
            LogLine::new("usage_window")
                .with("window", outcome.window)
                .with("result", outcome.result)
                .info(&self.shared.log);
        }
    }

    /// Sends due reports and orders to the duty API; runs as long as the node.
    pub(crate) async fn call_duty_api<P: DutyApi>(self: Rc<Self>, mut api: P) {
        let mut scale_at = self.shared.clock.now();
        let mut page_at = scale_at;
        loop {
            self.shared.clock.sleep(CHECK_INTERVAL).await;
            if self.shared.clock.now() >= page_at {
                page_at = self.shared.clock.now() + PAGE_INTERVAL;
                self.publish_page();
            }
            if !self.should_hold() {
                self.observe_pools();
                continue;
            }
            if self.options.reports_usage && !self.send_report(&mut api).await {
                self.shared.clock.sleep(API_RETRY_PAUSE).await;
            }
            let now = self.shared.clock.now();
            if self.orders_servers() && now >= scale_at {
                scale_at = now + SCALE_INTERVAL;
                self.send_orders(&mut api).await;
            }
        }
    }

    /// Sends the next usage report, if one is due. Returns `false` if the call failed.
    async fn send_report<P: DutyApi>(&self, api: &mut P) -> bool {
        let next = || {
            let moment = self.moment()?;
            self.coordinator.borrow().next_report(moment)
        };
        if next().is_none() {
            return true;
        }
        if let Err(error) = api.connect(CALL_TIMEOUT).await {
            self.log_failed_call("report", &error);
            return false;
        }
        // Checks the lease again right before the call: connecting may have taken longer than the lease lasts.
        let Some((credential, report)) = next() else {
            return true;
        };
        let sent = api.report(&credential, &report, CALL_TIMEOUT).await;
        let total: u64 = report.counts.values().sum();
        LogLine::new("usage_report")
            .with("window", report.window)
            .with("number", credential.number)
            .with("workspaces", report.counts.len())
            .with("requests", total)
            .with("result", result_text(&sent))
            .info(&self.shared.log);
        self.count_call("report", &sent);
        match sent {
            Ok(()) => {
                if let Some(moment) = self.moment() {
                    let mut coordinator = self.coordinator.borrow_mut();
                    coordinator.record_sent(report.window, moment.unix);
                }
                true
            }
            Err(_) => false,
        }
    }

    /// Sends an order for each pool, data centre and kind of server whose wanted number differs from the last
    /// order.
    async fn send_orders<P: DutyApi>(&self, api: &mut P) {
        for order in self.due_orders() {
            if let Err(error) = api.connect(CALL_TIMEOUT).await {
                self.log_failed_call("order", &error);
                return;
            }
            let now = self.shared.clock.boot_time();
            let credential = self.coordinator.borrow().credential(now);
            let Some(credential) = credential.filter(|_| self.should_hold()) else {
                return;
            };
            let sent = api.order(&credential, &order, CALL_TIMEOUT).await;
            LogLine::new("scale_order")
                .with("pool", &order.subject.pool)
                .with("data_centre", &order.subject.data_centre)
                .with("kind", order.subject.kind.as_str())
                .with("count", order.count)
                .with("number", credential.number)
                .with("result", result_text(&sent))
                .info(&self.shared.log);
            self.count_call("order", &sent);
            let now = self.shared.clock.now();
            match sent {
                Ok(()) => self.orders.borrow_mut().record_ordered(&order, now),
                Err(DutyApiError::NoneAvailable) => {
                    self.orders
                        .borrow_mut()
                        .record_unavailable(&order.subject, now);
                }
                Err(_) => return,
            }
        }
    }

    /// Returns the orders that are due. Increases come first, so that no server is released before its replacement
    /// is ordered.
    fn due_orders(&self) -> Vec<ScaleOrder> {
        let now = self.shared.clock.now();
        let boot = self.shared.clock.boot_time();
        let config = self.shared.config.load();
        let Some(config) = config.as_ref() else {
            return Vec::new();
        };
        // A node without a current view of the load must not order servers: some may have left or filled up
        // unnoticed.
        if self.coordinator.borrow().credential(boot).is_none() || !self.shared.allows_ready() {
            return Vec::new();
        }
        let mut orders = Vec::new();
        for (pool, scaling) in config.scaling() {
            orders.extend(self.pool_orders(pool, scaling, now));
        }
        orders.sort_by_key(|(is_decrease, _)| *is_decrease);
        orders.into_iter().map(|(_, order)| order).collect()
    }

    fn orders_servers(&self) -> bool {
        let switches = self.shared.options.switches;
        self.options.orders_servers && switches.has(PolicyPart::Scaling)
    }

    /// Creates a pool's scaling policy; without `ScaleByLoad` it has no headroom.
    fn new_policy(&self) -> LoadScaling {
        if self.shared.options.switches.has(PolicyPart::ScaleByLoad) {
            return LoadScaling::default();
        }
        let options = LoadScalingOptions {
            headroom: 0.0,
            lasting_headroom: 0.0,
            ..LoadScalingOptions::default()
        };
        LoadScaling::new(options)
    }

    /// Feeds the load to the scaling policies while another node holds the duties, so that they are up to date
    /// when this node takes over.
    fn observe_pools(&self) {
        let config = self.shared.config.load();
        let Some(config) = config.as_ref().filter(|_| self.orders_servers()) else {
            return;
        };
        let now = self.shared.clock.now();
        for (pool, _) in config.scaling() {
            let mut policies = self.policies.borrow_mut();
            let policy = policies
                .entry(pool.clone())
                .or_insert_with(|| self.new_policy());
            if !policy.is_observed(now) {
                let load = self.shared.loads().pool_load(pool, 0, now);
                policy.observe(&load, now);
            }
        }
    }

    /// Returns a pool's orders that are due, each with whether it decreases the number of servers.
    fn pool_orders(
        &self,
        pool: &PoolId,
        scaling: &PoolScaling,
        now: Instant,
    ) -> Vec<(bool, ScaleOrder)> {
        let demand = self.demand.borrow();
        let rate = demand.iter().find(|(name, _)| name == pool);
        let rate = rate.map_or(0, |(_, rate)| *rate);
        let load = self.shared.loads().pool_load(pool, rate, now);
        let subject = |data_centre: &DataCentreId, kind| ScaleSubject {
            pool: pool.clone(),
            data_centre: data_centre.clone(),
            kind,
        };
        let mut tracker = self.orders.borrow_mut();
        let last_orders = tracker.clone();
        let is_unavailable = |data_centre: &DataCentreId, kind| {
            last_orders.is_unavailable(&subject(data_centre, kind))
        };
        let mut policies = self.policies.borrow_mut();
        let policy = policies
            .entry(pool.clone())
            .or_insert_with(|| self.new_policy());
        let wanted = policy.wanted(scaling, &load, &is_unavailable, now);
        let mut orders = Vec::new();
        for ((data_centre, kind), count) in wanted {
            let counts = load
                .data_centres
                .get(&data_centre)
                .copied()
                .unwrap_or_default();
            let present = match kind {
                CapacityType::Lasting => counts.lasting,
                CapacityType::Reclaimable => counts.reclaimable,
            };
            let subject = subject(&data_centre, kind);
            if let Some(order) = tracker.next(&subject, count, present, scaling.boot, now) {
                orders.push((count < present, order));
            }
        }
        if !orders.is_empty() {
            // Logs the input from which these orders were computed.
            LogLine::new("pool_load")
                .with("pool", pool)
                .with("tokens_per_second", load.tokens_per_second as u64)
                .with("unread_tokens", load.pending_prefill_tokens as u64)
                .with("server_speed", load.server_speed as u64)
                .with("need", format!("{:.1}", policy.mean_need(now)))
                .with("peak_need", format!("{:.1}", policy.peak_need()))
                .with("servers", load.servers())
                .with("limited", format!("{:.1}", load.unused_limited_servers))
                .info(&self.shared.log);
        }
        orders
    }

    fn log_failed_call(&self, call: &'static str, error: &DutyApiError) {
        LogLine::new("party_unreached")
            .with("call", call)
            .with("error", error)
            .warn(&self.shared.log);
        self.count_call(call, &Err(error.clone()));
    }

    fn count_call(&self, call: &'static str, result: &Result<(), DutyApiError>) {
        let labels = DutyCallLabels {
            call,
            result: if result.is_ok() { "ok" } else { "failed" },
        };
        self.shared.metrics.duty_calls.get_or_create(&labels).inc();
    }
}

fn result_text(result: &Result<(), DutyApiError>) -> String {
    match result {
        Ok(()) => "ok".to_owned(),
        Err(error) => error.to_string(),
    }
}

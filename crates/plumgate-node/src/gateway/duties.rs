//! Duties (usage reports, orders of servers) that one node of the fleet performs, and the state that every node
//! maintains for them.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use plumgate::duty::{
    AgreedClock, CoordinatorOptions, DutyCoordinator, DutyIdentity, DutyMoment, DutyTimes,
    HolderEvent, LoadScaling, OrderTracker, ReportTimes, UsageCounts, UsageTable, WindowId,
};
use plumgate::gateway::{ClockScope, LoadExchange};
use plumgate::ids::{DataCentreId, PoolId};

use super::options::DutyOptions;
use super::shared::GatewayShared;
use crate::clock::Clock;
use crate::log::LogLine;

/// Timeout of a call to the duty API. A new holder waits for as long before its first call: by then the last call
/// of the previous holder has ended.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// Path of the operators' page on the state of the duties.
pub const DUTIES_PATH: &str = "/duties";

/// State of a node for the duties; it stays on the control thread.
pub(crate) struct DutyState<C, W> {
    pub(super) shared: Arc<GatewayShared<C, W>>,
    pub(super) options: DutyOptions,
    pub(super) coordinator: RefCell<DutyCoordinator>,
    pub(super) orders: RefCell<OrderTracker>,
    /// Scaling policy of each pool, which determines how many servers the pool should have.
    pub(super) policies: RefCell<BTreeMap<PoolId, LoadScaling>>,
    clock: RefCell<AgreedClock>,
    usage_table: RefCell<UsageTable>,
    /// Data centres whose usage a report has to contain.
    data_centres: RefCell<Vec<DataCentreId>>,
    /// Whether this node should hold the duties.
    should_hold: Cell<bool>,
    /// Prompt tokens per second that arrive in requests of the whole fleet, by pool.
    pub(super) demand: RefCell<Vec<(PoolId, u64)>>,
}

impl<C: Clock, W> DutyState<C, W> {
    /// Creates the state of a node that does not hold the duties; `None` where no duty API is configured.
    pub(crate) fn new(shared: Arc<GatewayShared<C, W>>) -> Option<Self> {
        let options = shared.options.duties?;
        let reports = ReportTimes {
            window: options.window,
            late: options.late,
        };
        let incarnation = fastrand::u64(..);
        let own = DutyIdentity {
            node: shared.options.node.clone(),
            incarnation,
        };
        let coordinator = DutyCoordinator::new(CoordinatorOptions {
            own,
            lease: DutyTimes::new(options.lease, CALL_TIMEOUT),
            reports,
        });
        let data_centre = shared.options.data_centre.clone();
        Some(Self {
            coordinator: RefCell::new(coordinator),
            orders: RefCell::new(OrderTracker::new()),
            policies: RefCell::default(),
            clock: RefCell::new(AgreedClock::new()),
            usage_table: RefCell::new(UsageTable::new(data_centre.clone(), incarnation, reports)),
            data_centres: RefCell::new(vec![data_centre]),
            // Without peers no other node can hold the duties.
            should_hold: Cell::new(shared.options.peer_listen.is_none()),
            demand: RefCell::default(),
            shared,
            options,
        })
    }

    /// Returns the current time on the clocks that duties use; `None` before the time of day is known.
    pub(crate) fn moment(&self) -> Option<DutyMoment> {
        let boot = self.shared.clock.boot_time();
        let unix = self.clock.borrow().now(boot)?;
        Some(DutyMoment { boot, unix })
    }

    /// Returns whether this node should hold the duties now.
    pub(crate) fn should_hold(&self) -> bool {
        self.should_hold.get()
    }

    /// Records this node's time of day and updates the shared offset; called once a round.
    pub(crate) fn update_clock(&self) {
        let boot = self.shared.clock.boot_time();
        let mut clock = self.clock.borrow_mut();
        clock.record_own(self.shared.clock.unix_ms(), boot);
        if let Some(offset) = clock.offset() {
            self.shared.unix_offset_ms.store(offset, Ordering::Relaxed);
        }
    }

    /// Applies the clock and usage reports received from other nodes and sets those to send; called once for each
    /// round of the exchange between nodes.
    pub(crate) fn exchange_with(&self, exchange: &mut LoadExchange) {
        let now = self.shared.clock.now();
        let boot = self.shared.clock.boot_time();
        let is_collector = exchange.is_collector();
        self.apply_clocks(exchange, is_collector, boot);
        self.update_clock();
        exchange
            .duty_messages()
            .set_clock(self.clock.borrow().report(boot));
        for message in exchange.duty_messages().take_usage() {
            let mut usage_table = self.usage_table.borrow_mut();
            usage_table.receive(&message.node, message.report, message.received_at);
        }
        self.update_usage(exchange, is_collector);
        self.should_hold.set(exchange.should_hold_duties(now));
        if self.should_hold.get() {
            *self.data_centres.borrow_mut() = exchange.data_centres();
            self.update_demand(exchange);
        }
    }

    fn apply_clocks(&self, exchange: &mut LoadExchange, is_collector: bool, boot: Duration) {
        let mut clock = self.clock.borrow_mut();
        for message in exchange.duty_messages().take_clocks() {
            match message.scope {
                ClockScope::Member => {
                    clock.receive(&message.node, &message.report, message.received_at)
                }
                ClockScope::DataCentre(nodes) => {
                    clock.receive_data_centre(
                        &message.node,
                        &message.report,
                        nodes,
                        message.received_at,
                    );
                }
                ClockScope::Collector if !is_collector => {
                    clock.apply_agreed(&message.report, message.received_at);
                }
                ClockScope::Collector => {}
            }
        }
        if is_collector {
            clock.update_agreed(boot);
        }
    }

    fn update_usage(&self, exchange: &mut LoadExchange, is_collector: bool) {
        let Some(moment) = self.moment() else {
            return;
        };
        let mut tally = self.shared.usage();
        let mut usage_table = self.usage_table.borrow_mut();
        usage_table.tick(&mut tally, moment.unix);
        if exchange.duty_messages().take_receiver_change() {
            usage_table.resend_all();
        }
        let updates = if is_collector {
            usage_table.update_sums(&tally, moment.unix, moment.boot);
            usage_table.data_centre_updates(moment.boot)
        } else {
            usage_table.own_updates(&tally, moment.unix, moment.boot)
        };
        exchange.duty_messages().set_usage(updates);
    }

    fn update_demand(&self, exchange: &mut LoadExchange) {
        let now = self.shared.clock.now();
        let config = self.shared.config.load();
        let Some(config) = config.as_ref() else {
            return;
        };
        let pools = config.scaling().map(|(pool, _)| pool.clone());
        let demand = pools.map(|pool| {
            let rate = exchange.duty_messages().demand(&pool, now);
            (pool, rate)
        });
        *self.demand.borrow_mut() = demand.collect();
    }

    /// Updates the clock and the usage sums of a node without peers from its own counts.
    pub(crate) fn update_without_peers(&self) {
        self.update_clock();
        if let Some(moment) = self.moment() {
            let mut tally = self.shared.usage();
            let mut usage_table = self.usage_table.borrow_mut();
            usage_table.tick(&mut tally, moment.unix);
            usage_table.update_sums(&tally, moment.unix, moment.boot);
        }
    }

    /// Returns the counts of a window, and whether they are complete.
    pub(super) fn counts(&self, window: WindowId) -> (UsageCounts, bool) {
        let config = self.shared.config.load();
        let names = config.as_ref().map(|config| config.workspaces());
        let names = names.iter().flatten().map(|name| name.as_ref());
        let data_centres = self.data_centres.borrow();
        self.usage_table
            .borrow()
            .counts(window, names, &data_centres)
    }

    /// Renders the operators' page on the duties from this node's view and publishes it.
    pub(super) fn publish_page(&self) {
        let page = self.page();
        self.shared.duties_page.store(Arc::new(page));
    }

    fn page(&self) -> String {
        let coordinator = self.coordinator.borrow();
        let holder = coordinator.holder();
        let now = self.shared.clock.boot_time();
        let row = holder.seen_row();
        let mut page = LogLine::new("duties")
            .with("here", holder.is_holder())
            .with("wanted", self.should_hold())
            .with_some("holder", row.map(|row| &row.holder.node))
            .with_some(
                "number",
                coordinator
                    .credential(now)
                    .map(|credential| credential.number),
            )
            .with("era", holder.era())
            .text();
        for outcome in coordinator.reporter().outcomes() {
            let line = LogLine::new("window").with("window", outcome.window);
            page += &line.with("result", outcome.result).text();
        }
        for (window, state) in coordinator.reporter().open_windows() {
            let line = LogLine::new("window").with("window", window);
            page += &line.with("result", state.as_str()).text();
        }
        for (subject, count) in self.orders.borrow().ordered() {
            page += &LogLine::new("ordered")
                .with("pool", &subject.pool)
                .with("data_centre", &subject.data_centre)
                .with("kind", subject.kind.as_str())
                .with("count", count)
                .text();
        }
        page
    }

    /// Logs changes of the lease and updates its metrics.
    pub(super) fn log_events(&self, events: &[HolderEvent]) {
        for event in events {
            match event {
                HolderEvent::Acquired {
                    number,
                    era,
                    previous_holder,
                    is_continued,
                } => {
                    if !is_continued {
                        // Orders that other holders sent in the meantime are unknown here.
                        *self.orders.borrow_mut() = OrderTracker::new();
                    }
                    let previous_node = previous_holder.as_ref().map(|holder| holder.node.clone());
                    LogLine::new("duty_taken")
                        .with("number", number)
                        .with("era", era)
                        .with_some("before", previous_node)
                        .with("continued", is_continued)
                        .with(
                            "passed",
                            self.coordinator.borrow().reporter().contents().passed,
                        )
                        .info(&self.shared.log);
                    self.shared.metrics.duties.number.set(gauge(*number));
                }
                HolderEvent::Renewed => {
                    self.shared.metrics.duties.renewals.inc();
                }
                HolderEvent::Lost { reason } => {
                    LogLine::new("duty_lost")
                        .with("reason", reason)
                        .warn(&self.shared.log);
                    self.shared.metrics.duties.number.set(0);
                }
            }
        }
    }
}

fn gauge(number: u64) -> i64 {
    i64::try_from(number).unwrap_or(i64::MAX)
}

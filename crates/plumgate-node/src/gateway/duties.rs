//! The duties of a gateway node: what it knows for them, and how it comes to do them.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use plumgate::duty::{
    AgreedClock, DutyIdentity, DutySeat, DutyTimes, FollowLoad, HolderEvent, OrderBook,
    ReportTimes, SeatMoment, SeatOptions, UsageBook, UsageCounts, WindowId,
};
use plumgate::gateway::{ClockScope, LoadExchange};
use plumgate::ids::{DataCentreId, PoolId};

use super::options::DutyOptions;
use super::shared::GatewayShared;
use crate::clock::Clock;
use crate::log::LogLine;

/// Longest call to the party: a new holder waits for as long before its first one.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// The path under which operators see how the duties stand.
pub const DUTIES_PATH: &str = "/duties";

/// What a node knows for the duties, kept on the control thread.
pub(crate) struct DutyState<C, W> {
    pub(super) shared: Arc<GatewayShared<C, W>>,
    pub(super) options: DutyOptions,
    pub(super) seat: RefCell<DutySeat>,
    pub(super) orders: RefCell<OrderBook>,
    /// How many servers each pool should have.
    pub(super) policies: RefCell<BTreeMap<PoolId, FollowLoad>>,
    clock: RefCell<AgreedClock>,
    book: RefCell<UsageBook>,
    centres: RefCell<Vec<DataCentreId>>,
    /// Whether this node should hold the duties.
    wanted: Cell<bool>,
    /// Prompt tokens a second by pool that the fleet's requests bring.
    pub(super) demand: RefCell<Vec<(PoolId, u64)>>,
}

impl<C: Clock, W> DutyState<C, W> {
    /// A node that holds no duty; none where no party is set.
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
        let seat = DutySeat::new(SeatOptions {
            own,
            lease: DutyTimes::new(options.lease, CALL_TIMEOUT),
            reports,
        });
        let centre = shared.options.data_centre.clone();
        Some(Self {
            seat: RefCell::new(seat),
            orders: RefCell::new(OrderBook::new()),
            policies: RefCell::default(),
            clock: RefCell::new(AgreedClock::new()),
            book: RefCell::new(UsageBook::new(centre.clone(), incarnation, reports)),
            centres: RefCell::new(vec![centre]),
            // A node that knows no other is the only one.
            wanted: Cell::new(shared.options.peer_listen.is_none()),
            demand: RefCell::default(),
            shared,
            options,
        })
    }

    /// The moment on the clocks that duties go by; none before the time of day is known.
    pub(crate) fn moment(&self) -> Option<SeatMoment> {
        let boot = self.shared.clock.boot_time();
        let unix = self.clock.borrow().now(boot)?;
        Some(SeatMoment { boot, unix })
    }

    /// Whether this node should hold the duties now.
    pub(crate) fn is_wanted(&self) -> bool {
        self.wanted.get()
    }

    /// Looks at the time of day; for each round.
    pub(crate) fn note_time(&self) {
        let boot = self.shared.clock.boot_time();
        let mut clock = self.clock.borrow_mut();
        clock.note_own(self.shared.clock.unix_ms(), boot);
        if let Some(offset) = clock.offset() {
            self.shared.day_offset_ms.store(offset, Ordering::Relaxed);
        }
    }

    /// Takes over what others told, and tells what they should know; for each round of the nodes' talk.
    pub(crate) fn sync_with(&self, exchange: &mut LoadExchange) {
        let now = self.shared.clock.now();
        let boot = self.shared.clock.boot_time();
        let is_collector = exchange.is_collector();
        self.hear_clocks(exchange, is_collector, boot);
        self.note_time();
        exchange
            .duty_messages()
            .set_clock(self.clock.borrow().news(boot));
        for heard in exchange.duty_messages().take_usage() {
            let mut book = self.book.borrow_mut();
            book.hear(&heard.node, heard.report, heard.received_at);
        }
        self.tell_usage(exchange, is_collector);
        self.wanted.set(exchange.should_hold_duties(now));
        if self.wanted.get() {
            *self.centres.borrow_mut() = exchange.data_centres();
            self.note_demand(exchange);
        }
    }

    fn hear_clocks(&self, exchange: &mut LoadExchange, is_collector: bool, boot: Duration) {
        let mut clock = self.clock.borrow_mut();
        for heard in exchange.duty_messages().take_clocks() {
            match heard.scope {
                ClockScope::Member => clock.hear(&heard.node, &heard.report, heard.received_at),
                ClockScope::DataCentre(nodes) => {
                    clock.hear_centre(&heard.node, &heard.report, nodes, heard.received_at);
                }
                ClockScope::Collector if !is_collector => {
                    clock.follow(&heard.report, heard.received_at);
                }
                ClockScope::Collector => {}
            }
        }
        if is_collector {
            clock.agree(boot);
        }
    }

    fn tell_usage(&self, exchange: &mut LoadExchange, is_collector: bool) {
        let Some(moment) = self.moment() else {
            return;
        };
        let mut tally = self.shared.usage();
        let mut book = self.book.borrow_mut();
        book.tick(&mut tally, moment.unix);
        if exchange.duty_messages().take_has_new_receiver() {
            book.tell_all();
        }
        let news = if is_collector {
            book.add_up(&tally, moment.unix, moment.boot);
            book.centre_news(moment.boot)
        } else {
            book.own_news(&tally, moment.unix, moment.boot)
        };
        exchange.duty_messages().set_usage(news);
    }

    fn note_demand(&self, exchange: &mut LoadExchange) {
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

    /// Adds up what this node counted itself; where it knows no other.
    pub(crate) fn tick_alone(&self) {
        self.note_time();
        if let Some(moment) = self.moment() {
            let mut tally = self.shared.usage();
            let mut book = self.book.borrow_mut();
            book.tick(&mut tally, moment.unix);
            book.add_up(&tally, moment.unix, moment.boot);
        }
    }

    /// The counts of a window, and whether they are whole.
    pub(super) fn counts(&self, window: WindowId) -> (UsageCounts, bool) {
        let config = self.shared.config.load();
        let names = config.as_ref().map(|config| config.workspaces());
        let names = names.iter().flatten().map(|name| name.as_ref());
        let centres = self.centres.borrow();
        self.book.borrow().counts(window, names, &centres)
    }

    /// Tells operators how the duties stand, as far as this node sees.
    pub(super) fn publish_page(&self) {
        let page = self.page();
        self.shared.duties_page.store(Arc::new(page));
    }

    fn page(&self) -> String {
        let seat = self.seat.borrow();
        let holder = seat.holder();
        let now = self.shared.clock.boot_time();
        let row = holder.seen_row();
        let mut page = LogLine::new("duties")
            .with("here", holder.is_holder())
            .with("wanted", self.is_wanted())
            .with_some("holder", row.map(|row| &row.holder.node))
            .with_some("number", seat.credential(now).map(|held| held.number))
            .with("era", holder.era())
            .text();
        for end in seat.desk().ends() {
            let line = LogLine::new("window").with("window", end.window);
            page += &line.with("result", end.result).text();
        }
        for (window, state) in seat.desk().open_windows() {
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

    /// Logs what became of the lease.
    pub(super) fn log_events(&self, events: &[HolderEvent]) {
        for event in events {
            match event {
                HolderEvent::Taken {
                    number,
                    era,
                    before,
                    is_continued,
                } => {
                    if !is_continued {
                        // What was ordered meanwhile is not known here.
                        *self.orders.borrow_mut() = OrderBook::new();
                    }
                    let before = before.as_ref().map(|before| before.node.clone());
                    LogLine::new("duty_taken")
                        .with("number", number)
                        .with("era", era)
                        .with_some("before", before)
                        .with("continued", is_continued)
                        .with("passed", self.seat.borrow().desk().contents().passed)
                        .info(&self.shared.log);
                    self.shared.metrics.duty_number.set(gauge(*number));
                }
                HolderEvent::Renewed => {
                    self.shared.metrics.duty_renewals.inc();
                }
                HolderEvent::Lost { reason } => {
                    LogLine::new("duty_lost")
                        .with("reason", reason)
                        .warn(&self.shared.log);
                    self.shared.metrics.duty_number.set(0);
                }
            }
        }
    }
}

fn gauge(number: u64) -> i64 {
    i64::try_from(number).unwrap_or(i64::MAX)
}

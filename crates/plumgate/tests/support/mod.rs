//! Small fleet and helpers for the tests of configuration, dispatch, placement and routes.
#![allow(dead_code, reason = "each test file uses its own part")]

use std::sync::Arc;
use std::time::{Duration, Instant};

use plumgate::config::{ConfigBundle, FleetConfig};
use plumgate::dispatch::{
    AttemptOutcome, DispatchAction, DispatchOptions, Dispatcher, RefusalReason, RequestTicket,
};
use plumgate::ids::{RequestId, TierRank};
use plumgate::route::RouteOptions;

/// Rules with three tiers and one class in each.
pub(crate) const RULES: &str = r#"
default_class = "caption"
queue_length = 6
longest_wait_ms = 60000
[tiers.doorstep]
rank = 1
[tiers.courier]
rank = 2
floor = 0.1
[tiers.overnight]
rank = 3
floor = 0.1
[classes.caption]
tier = "doorstep"
target_ms = 1200
patience_ms = 5000
[classes.note]
tier = "courier"
target_ms = 5000
patience_ms = 30000
[classes.dossier]
tier = "overnight"
target_ms = 30000
patience_ms = 60000
[classes.receipt]
tier = "doorstep"
target_ms = 1200
idempotent = false
"#;

/// Returns an inventory of some servers with some slots each, and two workspaces.
pub(crate) fn inventory(servers: usize, slots: u32) -> String {
    let mut text =
        String::from("[data_centres.here]\nregion = \"r\"\n[data_centres.there]\nregion = \"r\"\n");
    for number in 1..=servers {
        let data_centre = if number % 2 == 1 { "here" } else { "there" };
        text.push_str(&format!(
            "[servers.s{number}]\ndata_centre = \"{data_centre}\"\nmodel = \"m\"\naddress = \"127.0.0.1:{}\"\nslots = {slots}\n",
            1000 + number
        ));
    }
    for name in ["norte", "azuay"] {
        text.push_str(&format!(
            "[workspaces.{name}]\ntier = \"doorstep\"\nconcurrency = 1000\nrequests_per_second = 1000\n"
        ));
    }
    text
}

/// Returns the configuration of a small fleet.
pub(crate) fn config(servers: usize, slots: u32) -> Arc<FleetConfig> {
    let bundle = ConfigBundle::new(inventory(servers, slots), RULES);
    Arc::new(
        bundle
            .read(1)
            .expect("the test's configuration has no findings"),
    )
}

/// Dispatcher in the data centre "here", with its clock.
pub(crate) struct DispatchBench {
    /// Dispatcher under test.
    pub(crate) dispatcher: Dispatcher,
    /// Simulated time.
    pub(crate) now: Instant,
    ticket_count: u32,
}

impl DispatchBench {
    /// Creates a dispatcher for a small fleet.
    pub(crate) fn new(servers: usize, slots: u32) -> Self {
        Self::with_config(config(servers, slots))
    }

    /// Creates a dispatcher for a configuration.
    pub(crate) fn with_config(config: Arc<FleetConfig>) -> Self {
        let now = Instant::now();
        let mut dispatcher =
            Dispatcher::new(DispatchOptions::new(RouteOptions::new("here").with_seed(7)));
        dispatcher.set_config(config, now);
        Self {
            dispatcher,
            now,
            ticket_count: 0,
        }
    }

    /// Advances the clock and runs a tick.
    pub(crate) fn advance(&mut self, milliseconds: u64) -> Vec<DispatchAction> {
        self.now += Duration::from_millis(milliseconds);
        self.dispatcher.tick(self.now)
    }

    /// Creates a ticket for a class of [`RULES`].
    pub(crate) fn ticket(&mut self, class: &str) -> RequestTicket {
        self.ticket_count += 1;
        let (rank, target, patience) = match class {
            "caption" | "receipt" => (1, 1200, 5000),
            "note" => (2, 5000, 30000),
            _ => (3, 30000, 60000),
        };
        RequestTicket {
            id: format!("{class}-{}", self.ticket_count).into(),
            workspace: "norte".into(),
            class: class.into(),
            rank,
            pool: "m".into(),
            idempotent: class != "receipt",
            arrived: self.now,
            due: self.now + Duration::from_millis(target),
            expires_at: self.now + Duration::from_millis(patience),
            expected_tokens: 10,
            prefix: None,
            avoid: Vec::new(),
        }
    }

    /// Submits a request of a class.
    pub(crate) fn submit(&mut self, class: &str) -> (RequestId, Vec<DispatchAction>) {
        let ticket = self.ticket(class);
        let id = ticket.id.clone();
        (id, self.dispatcher.submit(ticket, self.now))
    }

    /// Ends a request with an answer after it held its slot for a second.
    pub(crate) fn answer(&mut self, id: &RequestId) -> Vec<DispatchAction> {
        let end = AttemptOutcome::Answered {
            to_first: Duration::from_millis(50),
            to_end: Duration::from_millis(1000),
            tokens: 10,
        };
        self.dispatcher.finish(id, end, self.now)
    }
}

/// Returns the requests that were started, with their ranks.
pub(crate) fn started(actions: &[DispatchAction]) -> Vec<(RequestId, TierRank)> {
    actions
        .iter()
        .filter_map(|action| match action {
            DispatchAction::Start(order) => Some((order.ticket.id.clone(), order.ticket.rank)),
            _ => None,
        })
        .collect()
}

/// Returns the requests that were refused, and why.
pub(crate) fn refused(actions: &[DispatchAction]) -> Vec<(RequestId, RefusalReason)> {
    actions
        .iter()
        .filter_map(|action| match action {
            DispatchAction::Refuse {
                request, reason, ..
            } => Some((request.clone(), *reason)),
            _ => None,
        })
        .collect()
}

/// Returns the requests that are to be preempted.
pub(crate) fn preempted(actions: &[DispatchAction]) -> Vec<RequestId> {
    actions
        .iter()
        .filter_map(|action| match action {
            DispatchAction::Preempt { request, .. } => Some(request.clone()),
            _ => None,
        })
        .collect()
}

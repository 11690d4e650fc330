//! Simulated nodes that share the limits of one workspace, without a network.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use plumgate::config::{ConfigBundle, FleetConfig};
use plumgate::dispatch::{
    AttemptOutcome, DispatchAction, DispatchOptions, Dispatcher, RequestTicket,
};
use plumgate::ids::{RequestId, WorkspaceId};
use plumgate::limits::{PERMIT_LIFETIME, PermitGrant, SlotDemand};
use plumgate::membership::{NodeGroup, SharingNodes};
use plumgate::route::RouteOptions;

use crate::support::{RULES, inventory};

/// Time that a message between two nodes takes.
const MESSAGE_TIME: Duration = Duration::from_millis(2);
/// Interval at which the nodes run their periodic work.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Limits of the workspace, and how long its requests run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FleetLimits {
    pub(crate) requests_per_second: u32,
    pub(crate) concurrency: u32,
    pub(crate) run_time: Duration,
}

impl FleetLimits {
    fn config(self) -> Arc<FleetConfig> {
        let rate = format!("requests_per_second = {}\n", self.requests_per_second);
        let concurrency = format!("concurrency = {}\n", self.concurrency);
        let inventory = inventory(20, 500)
            .replace("requests_per_second = 1000\n", &rate)
            .replace("concurrency = 1000\n", &concurrency);
        let bundle = ConfigBundle::new(inventory, RULES);
        Arc::new(bundle.read(1).expect("a valid configuration"))
    }
}

/// An event of the simulation.
enum FleetEvent {
    PermitRequest {
        from: usize,
        workspace: WorkspaceId,
        count: u32,
        sent_at: Instant,
    },
    PermitResponse {
        to: usize,
        workspace: WorkspaceId,
        grant: PermitGrant,
        expires_at: Instant,
    },
    SlotRequest {
        from: usize,
        workspace: WorkspaceId,
        demand: SlotDemand,
        sent_at: Instant,
    },
    SlotResponse {
        to: usize,
        workspace: WorkspaceId,
        wanted: u32,
        slots: u32,
        sent_at: Instant,
    },
    /// A request ends at its server.
    End(usize, RequestId),
    /// A node's periodic work.
    Tick(usize),
}

/// Nodes that share the limits, and what happened to the requests.
pub(crate) struct PermitFleet {
    pub(crate) nodes: Vec<Dispatcher>,
    pub(crate) now: Instant,
    pub(crate) start: Instant,
    limits: FleetLimits,
    issuer: usize,
    events: BTreeMap<(Instant, u64), FleetEvent>,
    event_count: u64,
    pub(crate) admitted: Vec<Instant>,
    pub(crate) refused: Vec<Duration>,
    running: usize,
    pub(crate) most_running: usize,
    request_count: u64,
}

impl PermitFleet {
    pub(crate) fn new(nodes: usize, limits: FleetLimits) -> Self {
        let config = limits.config();
        let names: BTreeSet<_> = (0..nodes).map(|index| format!("n{index}").into()).collect();
        let group = NodeGroup {
            nodes: names,
            has_unresponsive: false,
        };
        let groups = SharingNodes::from([("here".into(), group)]);
        let now = Instant::now() + Duration::from_secs(100);
        let dispatchers = (0..nodes).map(|index| {
            let options = RouteOptions::new("here").with_seed(index as u64);
            let mut dispatcher = Dispatcher::new(DispatchOptions::new(options));
            dispatcher.set_config(config.clone(), now);
            dispatcher.set_nodes(groups.clone(), Duration::from_secs(60));
            dispatcher
        });
        let mut fleet = Self {
            nodes: dispatchers.collect(),
            now,
            start: now,
            limits,
            issuer: 0,
            events: BTreeMap::new(),
            event_count: 0,
            admitted: Vec::new(),
            refused: Vec::new(),
            running: 0,
            most_running: 0,
            request_count: 0,
        };
        for node in 0..nodes {
            let offset = TICK_INTERVAL * node as u32 / nodes as u32;
            fleet.schedule(offset, FleetEvent::Tick(node));
        }
        fleet
    }

    pub(crate) fn call(&mut self, node: usize) {
        self.request_count += 1;
        let ticket = RequestTicket {
            id: format!("r{}", self.request_count).into(),
            workspace: "norte".into(),
            class: "caption".into(),
            rank: 1,
            pool: "m".into(),
            idempotent: true,
            arrived: self.now,
            due: self.now + Duration::from_secs(1),
            expires_at: self.now + Duration::from_secs(5),
            expected_tokens: 10,
            prefix: None,
            avoid: Vec::new(),
        };
        let actions = self.nodes[node].submit(ticket, self.now);
        self.apply(node, actions);
    }

    fn apply(&mut self, node: usize, actions: Vec<DispatchAction>) {
        let sent_at = self.now;
        for action in actions {
            match action {
                DispatchAction::Start(order) => {
                    self.admitted.push(self.now);
                    self.running += 1;
                    self.most_running = self.most_running.max(self.running);
                    let end = FleetEvent::End(node, order.ticket.id.clone());
                    self.schedule(self.limits.run_time, end);
                }
                DispatchAction::Refuse { retry_after, .. } => self.refused.push(retry_after),
                DispatchAction::RequestPermits { workspace, count } => {
                    let request = FleetEvent::PermitRequest {
                        from: node,
                        workspace,
                        count,
                        sent_at,
                    };
                    self.schedule(MESSAGE_TIME, request);
                }
                DispatchAction::RequestSlots { workspace, demand } => {
                    let request = FleetEvent::SlotRequest {
                        from: node,
                        workspace,
                        demand,
                        sent_at,
                    };
                    self.schedule(MESSAGE_TIME, request);
                }
                _ => {}
            }
        }
    }

    fn schedule(&mut self, delay: Duration, event: FleetEvent) {
        self.event_count += 1;
        self.events
            .insert((self.now + delay, self.event_count), event);
    }

    pub(crate) fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > end {
                break;
            }
            self.now = entry.key().0;
            let event = entry.remove();
            self.handle(event);
        }
        self.now = end;
    }

    fn handle(&mut self, event: FleetEvent) {
        let now = self.now;
        match event {
            FleetEvent::PermitRequest {
                from,
                workspace,
                count,
                sent_at,
            } => {
                let issuer = &mut self.nodes[self.issuer];
                let grant = issuer.issue_permits(&workspace, 1.0, count, now);
                let response = FleetEvent::PermitResponse {
                    to: from,
                    workspace,
                    grant,
                    expires_at: sent_at + PERMIT_LIFETIME,
                };
                self.schedule(MESSAGE_TIME, response);
            }
            FleetEvent::PermitResponse {
                to,
                workspace,
                grant,
                expires_at,
            } => {
                let actions = self.nodes[to].apply_permits(&workspace, grant, expires_at, now);
                self.apply(to, actions);
            }
            FleetEvent::SlotRequest {
                from,
                workspace,
                demand,
                sent_at,
            } => {
                let issuer = &mut self.nodes[self.issuer];
                let node = format!("n{from}").into();
                let slots = issuer.issue_slots(&workspace, &node, 1.0, demand, now);
                let response = FleetEvent::SlotResponse {
                    to: from,
                    workspace,
                    wanted: demand.wanted,
                    slots,
                    sent_at,
                };
                self.schedule(MESSAGE_TIME, response);
            }
            FleetEvent::SlotResponse {
                to,
                workspace,
                wanted,
                slots,
                sent_at,
            } => {
                let actions = self.nodes[to].apply_slots(&workspace, wanted, slots, sent_at, now);
                self.apply(to, actions);
            }
            FleetEvent::End(node, request) => {
                self.running -= 1;
                let outcome = AttemptOutcome::Abandoned;
                let actions = self.nodes[node].finish(&request, outcome, now);
                self.apply(node, actions);
            }
            FleetEvent::Tick(node) => {
                let actions = self.nodes[node].tick(now);
                self.apply(node, actions);
                self.schedule(TICK_INTERVAL, FleetEvent::Tick(node));
            }
        }
    }

    pub(crate) fn change_issuer(&mut self, issuer: usize) {
        self.issuer = issuer;
        for node in &mut self.nodes {
            node.record_issuer_change(self.now);
        }
    }

    /// Sends requests at `rate` per second to random nodes.
    pub(crate) fn run(&mut self, time: Duration, rate: f64, rng: &mut fastrand::Rng) {
        let end = self.now + time;
        while self.now < end {
            let pause = -(1.0 - rng.f64()).ln() / rate;
            self.advance(Duration::from_secs_f64(pause));
            self.call(rng.usize(..self.nodes.len()));
        }
        self.advance(Duration::from_millis(100));
    }

    /// Returns the largest number of admitted requests within any period of this length.
    pub(crate) fn most_admitted(&self, period: Duration) -> usize {
        let counts = self.admitted.iter().enumerate().map(|(index, first)| {
            let later = &self.admitted[index..];
            later.iter().take_while(|at| **at < *first + period).count()
        });
        counts.max().unwrap_or(0)
    }
}

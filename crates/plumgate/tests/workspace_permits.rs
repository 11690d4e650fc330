//! Workspace limits that are too small to be split: permits between the nodes of a simulated fleet.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use plumgate::config::{ConfigBundle, FleetConfig};
use plumgate::dispatch::{
    AttemptOutcome, DispatchAction, DispatchOptions, Dispatcher, RequestTicket,
};
use plumgate::ids::{RequestId, WorkspaceId};
use plumgate::limits::{PERMIT_LIFETIME, PermitGrant};
use plumgate::membership::{NodeGroup, SharingNodes};
use plumgate::route::RouteOptions;

use support::{RULES, inventory};

/// Time that a message between two nodes takes.
const MESSAGE_TIME: Duration = Duration::from_millis(2);
/// Limit of the workspace in requests per second.
const LIMIT: u32 = 10;

fn limited_config() -> Arc<FleetConfig> {
    let limit = format!("requests_per_second = {LIMIT}\n");
    let inventory = inventory(20, 500).replace("requests_per_second = 1000\n", &limit);
    let bundle = ConfigBundle::new(inventory, RULES);
    Arc::new(bundle.read(1).expect("a valid configuration"))
}

/// Message between two nodes.
enum PermitMessage {
    Request {
        from: usize,
        workspace: WorkspaceId,
        count: u32,
        sent_at: Instant,
    },
    Response {
        to: usize,
        workspace: WorkspaceId,
        grant: PermitGrant,
        expires_at: Instant,
    },
}

/// Nodes that share one limit, and the requests that they admitted.
struct PermitFleet {
    nodes: Vec<Dispatcher>,
    now: Instant,
    start: Instant,
    issuer: usize,
    messages: BTreeMap<(Instant, u64), PermitMessage>,
    message_count: u64,
    admitted: Vec<Instant>,
    refused: Vec<Duration>,
    request_count: u64,
}

impl PermitFleet {
    fn new(nodes: usize) -> Self {
        let config = limited_config();
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
        Self {
            nodes: dispatchers.collect(),
            now,
            start: now,
            issuer: 0,
            messages: BTreeMap::new(),
            message_count: 0,
            admitted: Vec::new(),
            refused: Vec::new(),
            request_count: 0,
        }
    }

    fn call(&mut self, node: usize) {
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
        for action in actions {
            match action {
                DispatchAction::Start(order) => {
                    self.admitted.push(self.now);
                    self.end(node, &order.ticket.id);
                }
                DispatchAction::Refuse { retry_after, .. } => self.refused.push(retry_after),
                DispatchAction::RequestPermits { workspace, count } => {
                    let sent_at = self.now;
                    self.send(PermitMessage::Request {
                        from: node,
                        workspace,
                        count,
                        sent_at,
                    });
                }
                _ => {}
            }
        }
    }

    /// Ends an admitted request at once: only its admission matters here.
    fn end(&mut self, node: usize, request: &RequestId) {
        let actions = self.nodes[node].finish(request, AttemptOutcome::Abandoned, self.now);
        self.apply(node, actions);
    }

    fn send(&mut self, message: PermitMessage) {
        self.message_count += 1;
        let key = (self.now + MESSAGE_TIME, self.message_count);
        self.messages.insert(key, message);
    }

    fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(entry) = self.messages.first_entry() {
            if entry.key().0 > end {
                break;
            }
            self.now = entry.key().0;
            let message = entry.remove();
            self.deliver(message);
        }
        self.now = end;
    }

    fn deliver(&mut self, message: PermitMessage) {
        match message {
            PermitMessage::Request {
                from,
                workspace,
                count,
                sent_at,
            } => {
                let issuer = &mut self.nodes[self.issuer];
                let grant = issuer.issue_permits(&workspace, 1.0, count, self.now);
                self.send(PermitMessage::Response {
                    to: from,
                    workspace,
                    grant,
                    expires_at: sent_at + PERMIT_LIFETIME,
                });
            }
            PermitMessage::Response {
                to,
                workspace,
                grant,
                expires_at,
            } => {
                let actions = self.nodes[to].apply_permits(&workspace, grant, expires_at, self.now);
                self.apply(to, actions);
            }
        }
    }

    fn change_issuer(&mut self, issuer: usize) {
        self.issuer = issuer;
        for node in &mut self.nodes {
            node.record_issuer_change(self.now);
        }
    }

    /// Sends requests at `rate` per second to random nodes.
    fn run(&mut self, time: Duration, rate: f64, rng: &mut fastrand::Rng) {
        let end = self.now + time;
        while self.now < end {
            let pause = -(1.0 - rng.f64()).ln() / rate;
            self.advance(Duration::from_secs_f64(pause));
            self.call(rng.usize(..self.nodes.len()));
        }
        self.advance(Duration::from_millis(100));
    }

    /// Returns the largest number of admitted requests within any period of this length.
    fn most_admitted(&self, period: Duration) -> usize {
        let counts = self.admitted.iter().enumerate().map(|(index, first)| {
            let later = &self.admitted[index..];
            later.iter().take_while(|at| **at < *first + period).count()
        });
        counts.max().unwrap_or(0)
    }
}

/// Guards against a burst at each of many nodes, whose bursts add up to many times the limit.
#[test]
fn nodes_with_permits_admit_one_burst_together() {
    let mut fleet = PermitFleet::new(64);
    for node in 0..64 {
        for _ in 0..10 {
            fleet.call(node);
        }
    }
    fleet.advance(Duration::from_millis(100));
    let admitted = fleet.admitted.len();
    assert!((30..=40).contains(&admitted), "{admitted} of 640");
    assert_eq!(admitted + fleet.refused.len(), 640);
}

/// Guards against refusing a workspace that stays below its limit, whose requests reach a node each.
#[test]
fn arrivals_below_the_limit_get_permits_at_every_node() {
    for seed in 0..20 {
        let mut fleet = PermitFleet::new(64);
        let rng = &mut fastrand::Rng::with_seed(seed);
        fleet.run(Duration::from_secs(60), 5.0, rng);
        assert_eq!(fleet.refused, [], "seed {seed}");
    }
}

/// Guards against permits that add up to more than the limit over time, and against unused ones.
#[test]
fn limit_is_kept_and_used_while_demand_exceeds_it() {
    for (seed, rate) in [(1, 15.0), (2, 60.0), (3, 600.0)] {
        let mut fleet = PermitFleet::new(64);
        let rng = &mut fastrand::Rng::with_seed(seed);
        fleet.run(Duration::from_secs(60), rate, rng);
        let burst = 3 * LIMIT as usize;
        let admitted = fleet.admitted.len();
        assert!(admitted <= 601 + burst, "{admitted} at {rate} a second");
        assert!(admitted >= 540, "{admitted} at {rate} a second");
        // What is used within a second was issued in that second or within the lifetime of a permit before.
        let most = fleet.most_admitted(Duration::from_secs(1));
        assert!(most <= burst + 2 * LIMIT as usize, "{most} in a second");
    }
}

/// Guards against a whole new burst from each node that becomes the issuer.
#[test]
fn new_issuers_grant_no_more_than_a_second_of_the_limit_at_once() {
    let mut fleet = PermitFleet::new(64);
    let rng = &mut fastrand::Rng::with_seed(4);
    for change in 0..20 {
        fleet.change_issuer(change);
        fleet.run(Duration::from_secs(2), 60.0, rng);
    }
    let limit = LIMIT as usize;
    let elapsed = (fleet.now - fleet.start).as_secs() as usize + 1;
    let admitted = fleet.admitted.len();
    let allowed = elapsed * limit + 20 * limit;
    assert!(admitted <= allowed, "{admitted} in {elapsed} s");
}

/// Guards against a request without any answer when the node stops or its caller leaves while it waits.
#[test]
fn waiting_request_is_refused_on_stop_and_forgotten_on_withdrawal() {
    let mut fleet = PermitFleet::new(64);
    fleet.call(1);
    fleet.call(1);
    assert!(!fleet.nodes[1].is_idle());
    assert!(fleet.nodes[1].withdraw(&"r1".into()).is_some());
    let actions = fleet.nodes[1].stop();
    assert!(
        matches!(&actions[..], [DispatchAction::Refuse { request, .. }] if **request == *"r2"),
        "{actions:?}"
    );
    fleet.advance(Duration::from_millis(100));
    assert_eq!(fleet.admitted.len(), 0);
    assert!(fleet.nodes[1].is_idle());
}

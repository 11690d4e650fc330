//! Fair shares of workspaces: drawn loads on a pool with a fluid queue, served by nodes that exchange reports.

mod entries;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use plumgate::gateway::{
    AdmissionContext, AdmissionDecision, AdmissionPolicy, ExchangeMoment, LoadExchange, PolicyPart,
    PolicySwitches, QueuePrediction, ShareAssessment, ShareCounts, ShareHolder, ShareStanding,
    SumTopic, SyncState, WorkOutcome, WorkspaceShares,
};
use plumgate::ids::{PoolId, WorkspaceId};

use entries::node_entries;

/// Time of a step, in which the queues that nodes know don't change.
const STEP: f64 = 0.1;
/// Mean work of a request in seconds of a server.
const WORK: f64 = 0.1;
const TARGET: Duration = Duration::from_secs(2);

/// Load of one workspace.
#[derive(Clone, Debug)]
struct Tenant {
    name: WorkspaceId,
    tier: u8,
    /// Work that it asks for, in servers.
    demand: f64,
    asked: f64,
    given: f64,
}

fn tenant(index: usize, tier: u8, demand: f64) -> Tenant {
    Tenant {
        name: format!("workspace-{index}").into(),
        tier,
        demand,
        asked: 0.0,
        given: 0.0,
    }
}

struct ShareNode {
    exchange: LoadExchange,
    sync: SyncState,
    shares: WorkspaceShares,
    /// Whether it neither sends nor receives reports.
    is_cut_off: bool,
}

struct ShareFleet {
    nodes: BTreeMap<SocketAddr, ShareNode>,
    pool: PoolId,
    servers: f64,
    /// Queued work by tier.
    backlog: [f64; 3],
    /// Work done, and work that could have been done.
    done: f64,
    tenants: Vec<Tenant>,
    loss: f64,
    sent: usize,
    rng: fastrand::Rng,
    start: Instant,
    elapsed: f64,
}

impl ShareFleet {
    fn new(nodes: usize, servers: f64, tenants: Vec<Tenant>, switches: PolicySwitches) -> Self {
        let data_centres = if nodes >= 4 { 4 } else { 1 };
        let entries = node_entries(data_centres, nodes / data_centres);
        let nodes = entries.iter().map(|own| {
            let mut exchange = LoadExchange::new(own.clone());
            exchange.set_nodes(entries.clone());
            let mut shares = WorkspaceShares::new(switches);
            shares.set_workspaces(tenants.len());
            let node = ShareNode {
                exchange,
                sync: SyncState::new(Duration::from_secs(5), own.address.port().into()),
                shares,
                is_cut_off: false,
            };
            (own.address, node)
        });
        Self {
            nodes: nodes.collect(),
            pool: "models".into(),
            servers,
            backlog: [0.0; 3],
            done: 0.0,
            tenants,
            loss: 0.0,
            sent: 0,
            rng: fastrand::Rng::with_seed(11),
            start: Instant::now(),
            elapsed: 1.0,
        }
    }

    fn moment(&self) -> ExchangeMoment {
        let elapsed = Duration::from_secs_f64(self.elapsed);
        ExchangeMoment {
            now: self.start + elapsed,
            boot: elapsed,
        }
    }

    fn run(&mut self, seconds: f64) {
        let end = self.elapsed + seconds;
        while self.elapsed < end {
            self.elapsed += STEP;
            self.exchange();
            self.serve();
            self.arrive();
        }
    }

    fn exchange(&mut self) {
        let moment = self.moment();
        let mut packets = Vec::new();
        for (from, node) in &mut self.nodes {
            node.shares.run_round(node.exchange.sums(), moment);
            let own = node
                .exchange
                .tick(std::iter::empty(), &mut node.sync, moment);
            if !node.is_cut_off {
                packets.extend(own.into_iter().map(|(to, bytes)| (*from, to, bytes)));
            }
        }
        for (from, to, bytes) in packets {
            self.sent += bytes.len();
            let node = self.nodes.get_mut(&to).expect("a node");
            if node.is_cut_off || self.rng.f64() < self.loss {
                continue;
            }
            let received = node.exchange.receive(&bytes, from, &mut node.sync, moment);
            received.expect("a valid message");
        }
    }

    fn serve(&mut self) {
        let mut left = self.servers * STEP;
        for backlog in &mut self.backlog {
            let done = left.min(*backlog);
            *backlog -= done;
            left -= done;
            self.done += done;
        }
    }

    fn prediction(&self, tier: u8) -> QueuePrediction {
        let ahead: f64 = self.backlog[..=usize::from(tier)].iter().sum();
        let queue = Duration::from_secs_f64(ahead / self.servers);
        QueuePrediction {
            queue,
            wait: queue,
            target_left: TARGET,
            left: TARGET * 5,
        }
    }

    fn arrive(&mut self) {
        let mut arrivals = Vec::new();
        for (index, tenant) in self.tenants.iter().enumerate() {
            let mut due = tenant.demand * STEP;
            while due > 0.0 {
                let work = (-(1.0 - self.rng.f64()).ln() * WORK).clamp(0.01, 0.6);
                // The last request of a step arrives with the probability that keeps the mean.
                if due < work && self.rng.f64() > due / work {
                    break;
                }
                due -= work;
                arrivals.push((index, work));
            }
        }
        self.rng.shuffle(&mut arrivals);
        for (index, work) in arrivals {
            self.send(index, work);
        }
    }

    fn send(&mut self, index: usize, work: f64) {
        let now = self.moment().boot;
        let tenant = &mut self.tenants[index];
        let tier = tenant.tier;
        tenant.asked += work;
        let holder = ShareHolder::new(&self.pool, tier, Some(&tenant.name));
        let prediction = self.prediction(tier);
        let node = self.rng.usize(0..self.nodes.len());
        let node = self.nodes.values_mut().nth(node).expect("a node");
        let assessment = node.shares.assess(holder, &prediction, now);
        let prefill = Duration::from_secs_f64(work);
        let tenant = &mut self.tenants[index];
        match AdmissionPolicy::new().decide(&prediction, &context(&assessment), 0.5) {
            AdmissionDecision::Refuse { .. } => {
                node.shares.record_refusal(holder, prefill, now);
            }
            _ => {
                let ticket = node.shares.begin(holder, Some(prefill), 64, now);
                if let Some(ticket) = ticket {
                    let outcome = WorkOutcome::Answered;
                    node.shares.finish(ticket, true, outcome, now);
                }
                tenant.given += work;
                self.backlog[usize::from(tier)] += work;
            }
        }
    }

    /// Counts from now on only.
    fn reset_counts(&mut self) {
        self.done = 0.0;
        for tenant in &mut self.tenants {
            (tenant.asked, tenant.given) = (0.0, 0.0);
        }
    }

    /// Returns the share of its demand that each workspace was given.
    fn served(&self) -> Vec<f64> {
        let tenants = self.tenants.iter();
        tenants.map(|tenant| tenant.given / tenant.asked).collect()
    }

    fn counts(&self) -> Vec<ShareCounts> {
        let nodes = self.nodes.values();
        nodes.map(|node| node.shares.counts()).collect()
    }
}

fn context(assessment: &ShareAssessment) -> AdmissionContext {
    AdmissionContext {
        share: assessment.standing,
        urgent_share: assessment.urgent,
        ..AdmissionContext::default()
    }
}

/// Returns 24 workspaces in the least urgent tier, of which the first asks for 30 times as much as usual. The others
/// ask for this share of the servers.
fn hot_tenants(servers: f64, share: f64) -> Vec<Tenant> {
    let mut rng = fastrand::Rng::with_seed(3);
    let sizes: Vec<f64> = (0..24).map(|_| 0.3 + rng.f64()).collect();
    let sum: f64 = sizes[1..].iter().sum();
    let unit = servers * share / sum;
    let tenants = sizes.iter().enumerate().map(|(index, size)| {
        let times = if index == 0 { 30.0 } else { 1.0 };
        tenant(index, 2, size * unit * times)
    });
    tenants.collect()
}

/// Guards against a hot workspace that displaces others, also where it is the largest in quiet times, and against
/// servers that idle while requests are refused. Bounds: nine tenths of what each gets alone, and nearly all capacity.
#[test]
fn a_hot_workspace_takes_only_what_the_others_leave() {
    for (nodes, servers, loss) in [
        (8, 20.0, 0.0),
        (8, 20.0, 0.2),
        (72, 90.0, 0.2),
        (300, 90.0, 0.0),
    ] {
        let mut fleet = ShareFleet::new(
            nodes,
            servers,
            hot_tenants(servers, 0.7),
            PolicySwitches::new(),
        );
        fleet.loss = loss;
        fleet.run(8.0);
        fleet.reset_counts();
        fleet.run(10.0);
        let served = fleet.served();
        assert!(
            served[1..].iter().all(|served| *served >= 0.9),
            "{nodes} nodes: {served:?}"
        );
        assert!(
            fleet.done >= 0.97 * servers * 10.0,
            "{nodes} nodes: {} done",
            fleet.done
        );
        let without = PolicySwitches::new().without(PolicyPart::WorkspaceShares);
        let mut fleet = ShareFleet::new(nodes, servers, hot_tenants(servers, 0.7), without);
        fleet.run(18.0);
        let served = fleet.served();
        let without = served[1..].iter().sum::<f64>() / 23.0;
        assert!(without < 0.8, "{nodes} nodes: the others get {without}");
    }
}

/// Guards against refusals and messages where there is room. Bound: none at all, however unequal the workspaces.
#[test]
fn nothing_is_refused_or_sent_while_there_is_room() {
    let sent = [
        PolicySwitches::new(),
        PolicySwitches::new().without(PolicyPart::WorkspaceShares),
    ]
    .map(|switches| {
        let mut fleet = ShareFleet::new(8, 60.0, hot_tenants(20.0, 0.7), switches);
        fleet.run(10.0);
        assert!(fleet.served().iter().all(|served| *served == 1.0));
        fleet.sent
    });
    assert_eq!(sent[0], sent[1]);
}

/// Guards against choices that swing after a step. Bound: from 5 s after the step on, the hot workspace is given
/// within a fifth of its mean in each second. The fleet is so large that the drawn demand of the others alone varies
/// by a third of that.
#[test]
fn the_division_settles_after_a_step() {
    let mut tenants = hot_tenants(400.0, 0.7);
    let demand = std::mem::replace(&mut tenants[0].demand, 1.0);
    let mut fleet = ShareFleet::new(8, 400.0, tenants, PolicySwitches::new());
    fleet.run(5.0);
    fleet.tenants[0].demand = demand;
    fleet.run(5.0);
    let given = (0..10).map(|_| {
        fleet.reset_counts();
        fleet.run(1.0);
        fleet.tenants[0].given
    });
    let given: Vec<f64> = given.collect();
    let mean = given.iter().sum::<f64>() / 10.0;
    assert!(
        given.iter().all(|given| (given / mean - 1.0).abs() <= 0.2),
        "{given:?}"
    );
}

/// Guards against state and messages that grow with the number of workspaces, and against a hot workspace among so
/// many. Bounds: the rows of the specification, and nine tenths for the others together.
#[test]
fn ten_thousand_workspaces_are_bounded() {
    let mut tenants: Vec<Tenant> = (0..10_000).map(|index| tenant(index, 2, 0.0015)).collect();
    tenants[0].demand = 30.0;
    let mut fleet = ShareFleet::new(8, 20.0, tenants, PolicySwitches::new());
    fleet.run(10.0);
    fleet.reset_counts();
    fleet.run(8.0);
    let others = &fleet.tenants[1..];
    let sum = |value: fn(&Tenant) -> f64| others.iter().map(value).sum::<f64>();
    let served = sum(|tenant| tenant.given) / sum(|tenant| tenant.asked);
    assert!(served >= 0.9, "{served}");
    assert!(
        fleet
            .counts()
            .iter()
            .all(|counts| counts.tracked <= 4_096 && counts.unlisted > 0)
    );
    let now = fleet.moment().now;
    for node in fleet.nodes.values_mut() {
        assert!(
            node.exchange
                .sums()
                .peer_rows(SumTopic::WorkspaceUse, now)
                .len()
                <= 257
        );
    }
}

/// Guards against shares that refuse an urgent request while a less urgent one is sent: at each prediction that refuses
/// a limited workspace of an urgent tier, the tiers below, whose queues are no shorter, are refused too.
#[test]
fn urgent_tiers_come_first() {
    let mut tenants = hot_tenants(20.0, 0.6);
    for tenant in &mut tenants {
        tenant.tier = 0;
    }
    tenants.extend((24..30).map(|index| tenant(index, 2, 1.0)));
    let mut fleet = ShareFleet::new(8, 20.0, tenants, PolicySwitches::new());
    fleet.run(8.0);
    fleet.reset_counts();
    fleet.run(10.0);
    let served = fleet.served();
    assert!(
        served[1..24].iter().all(|served| *served >= 0.9),
        "{served:?}"
    );
    let least = served[0];
    assert!(
        served[24..].iter().all(|served| *served <= least),
        "{served:?}"
    );
    let names = [0, 24].map(|index: usize| fleet.tenants[index].name.clone());
    let now = fleet.moment().boot;
    for node in fleet.nodes.values_mut() {
        for queue in (0..40).map(|step| TARGET * step / 40) {
            let prediction = QueuePrediction {
                queue,
                wait: queue,
                target_left: TARGET,
                left: TARGET * 5,
            };
            let mut decide = |tier: u8, name: &WorkspaceId| {
                let holder = ShareHolder::new(&"models".into(), tier, Some(name));
                let assessment = node.shares.assess(holder, &prediction, now);
                AdmissionPolicy::new().decide(&prediction, &context(&assessment), 0.5)
            };
            let is_sent = decide(0, &names[0]) == AdmissionDecision::Send;
            assert!(is_sent || decide(2, &names[1]) != AdmissionDecision::Send);
        }
    }
}

/// Guards against a cut-off node that refuses by old reports, and one that starves its small workspaces. Bounds: nine
/// tenths for the others over the whole fleet, with two of eight nodes cut off.
#[test]
fn cut_off_nodes_use_their_own_counts() {
    let mut fleet = ShareFleet::new(8, 20.0, hot_tenants(20.0, 0.6), PolicySwitches::new());
    fleet.run(8.0);
    for node in fleet.nodes.values_mut().take(2) {
        node.is_cut_off = true;
    }
    fleet.run(4.0);
    fleet.reset_counts();
    fleet.run(10.0);
    let served = fleet.served();
    assert!(
        served[1..].iter().all(|served| *served >= 0.9),
        "{served:?}"
    );
}

/// Guards against a node that limits workspaces by what it believed before it started or was suspended. Bounds: no
/// refusal without a total of after that or 2 s.
#[test]
fn a_node_that_starts_or_resumes_limits_nobody_at_first() {
    let mut fleet = ShareFleet::new(8, 20.0, hot_tenants(20.0, 0.6), PolicySwitches::new());
    fleet.run(10.0);
    let holder = ShareHolder::new(&"models".into(), 2, Some(&"workspace-0".into()));
    let queue = TARGET.mul_f64(0.4);
    let prediction = QueuePrediction {
        queue,
        wait: queue,
        target_left: TARGET,
        left: TARGET * 5,
    };
    let now = fleet.moment().boot;
    let node = fleet.nodes.values_mut().last().expect("a node");
    let standing =
        |shares: &mut WorkspaceShares, now| shares.assess(holder, &prediction, now).standing;
    assert_ne!(standing(&mut node.shares, now), ShareStanding::Within);
    let resumed = now + Duration::from_secs(4);
    assert_eq!(standing(&mut node.shares, resumed), ShareStanding::Within);
    let mut started = WorkspaceShares::new(PolicySwitches::new());
    started.set_workspaces(24);
    let other = ShareHolder::new(&"models".into(), 2, Some(&"workspace-1".into()));
    for step in 0..40 {
        let now = now + Duration::from_millis(100) * step;
        started.begin(holder, Some(Duration::from_millis(400)), 64, now);
        started.begin(other, Some(Duration::from_millis(10)), 64, now);
        started.record_refusal(holder, Duration::from_millis(400), now);
        started.record_refusal(other, Duration::from_millis(400), now);
        let expected = if step < 20 {
            ShareStanding::Within
        } else {
            ShareStanding::Exceeded
        };
        if !(18..24).contains(&step) {
            assert_eq!(standing(&mut started, now), expected, "step {step}");
        } else {
            standing(&mut started, now);
        }
    }
}

/// Guards against a hot API key that starves the other keys of its workspace: a key that asks for little is within its
/// share although its workspace is not.
#[test]
fn a_hot_key_leaves_room_for_the_other_keys() {
    let mut shares = WorkspaceShares::new(PolicySwitches::new());
    shares.set_workspaces(2);
    let holder = |name: &str| ShareHolder::new(&"models".into(), 2, Some(&name.into()));
    let hot = holder("large").with_api_key("hot");
    let quiet = holder("large").with_api_key("quiet");
    let queue = TARGET.mul_f64(0.6);
    let prediction = QueuePrediction {
        queue,
        wait: queue,
        target_left: TARGET,
        left: TARGET * 5,
    };
    let mut standings = [ShareStanding::Within; 2];
    for step in 0..60 {
        let now = Duration::from_millis(100) * step;
        for (holder, milliseconds) in [(hot, 90), (quiet, 5), (holder("small"), 30)] {
            shares.begin(holder, Some(Duration::from_millis(milliseconds)), 64, now);
        }
        shares.record_refusal(hot, Duration::from_millis(90), now);
        shares.record_refusal(holder("small"), Duration::from_millis(30), now);
        standings = [hot, quiet].map(|holder| shares.assess(holder, &prediction, now).standing);
    }
    assert_eq!(standings, [ShareStanding::Exceeded, ShareStanding::Within]);
}

//! Fair shares of workspaces: drawn loads on a pool with a fluid queue, served by nodes that exchange reports.

mod entries;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use plumgate::gateway::{
    AdmissionContext, AdmissionDecision, AdmissionPolicy, ExchangeMoment, LoadExchange, PolicyPart,
    PolicySwitches, QueuePrediction, ShareHolder, ShareStanding, ShareTicket, SumTopic, SyncState,
    WorkOutcome, WorkspaceShares,
};

use entries::node_entries;

/// Time of a step, in which no server finishes work.
const STEP: f64 = 0.1;
/// Mean work of a request in seconds of a server.
const WORK: f64 = 0.1;
const TARGET: Duration = Duration::from_secs(2);

/// Tier of a workspace, and the work that it asks for, in servers.
type Tenant = (u8, f64);

/// Returns 24 workspaces, of which the first asks for 30 times as much as usual. The others together ask for this many
/// servers.
fn hot_tenants(servers: f64, tier: u8) -> Vec<Tenant> {
    let mut rng = fastrand::Rng::with_seed(3);
    let mut sizes: Vec<f64> = (0..24).map(|_| 0.3 + rng.f64()).collect();
    let unit = servers / sizes[1..].iter().sum::<f64>();
    sizes[0] *= 30.0;
    sizes.iter().map(|size| (tier, size * unit)).collect()
}

fn holder(tier: u8, index: usize) -> ShareHolder {
    let workspace = format!("workspace-{index}").as_str().into();
    ShareHolder::new(&"pool".into(), tier, Some(&workspace))
}

fn milliseconds(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Returns the prediction for a queue that takes this share of the target.
fn prediction(share: f64) -> QueuePrediction {
    QueuePrediction {
        queue: TARGET.mul_f64(share),
        wait: TARGET.mul_f64(share),
        target_left: TARGET,
        left: TARGET * 5,
    }
}

struct ShareNode {
    exchange: LoadExchange,
    sync: SyncState,
    shares: WorkspaceShares,
    /// Whether it neither sends nor receives reports.
    is_cut_off: bool,
}

impl ShareNode {
    /// Returns whether a request is sent into a queue that takes this share of the target.
    fn sends(&mut self, holder: ShareHolder, queue: f64, is_plain: bool, now: Duration) -> bool {
        let prediction = prediction(queue);
        let share = self.shares.assess(holder, &prediction, now);
        let context = AdmissionContext {
            share: share.standing,
            urgent_share: share.urgent,
            ..AdmissionContext::default()
        };
        let policy = AdmissionPolicy::new();
        let decision = match is_plain {
            true => policy.decide_plain(&prediction, &context, 0.5),
            false => policy.decide(&prediction, &context, 0.5),
        };
        decision == AdmissionDecision::Send
    }
}

struct ShareFleet {
    nodes: BTreeMap<SocketAddr, ShareNode>,
    servers: f64,
    is_plain: bool,
    /// Queued work by tier.
    backlog: [f64; 3],
    done: f64,
    tenants: Vec<Tenant>,
    /// Work that each workspace asked for and was given.
    counts: Vec<(f64, f64)>,
    /// Requests in flight, with the times of their ends.
    running: Vec<(f64, SocketAddr, ShareTicket)>,
    /// Share of messages that are lost, and the most seconds that one may take.
    link: (f64, f64),
    messages: Vec<(f64, SocketAddr, SocketAddr, Vec<u8>)>,
    sent: usize,
    rng: fastrand::Rng,
    start: Instant,
    elapsed: f64,
}

impl ShareFleet {
    fn new(nodes: usize, servers: f64, tenants: Vec<Tenant>, switches: PolicySwitches) -> Self {
        let entries = node_entries(4, nodes / 4);
        let nodes = entries.iter().map(|own| {
            let mut node = ShareNode {
                exchange: LoadExchange::new(own.clone()),
                sync: SyncState::new(Duration::from_secs(5), own.address.port().into()),
                shares: WorkspaceShares::new(switches),
                is_cut_off: false,
            };
            node.exchange.set_nodes(entries.clone());
            node.shares.set_workspaces(tenants.len());
            (own.address, node)
        });
        Self {
            nodes: nodes.collect(),
            servers,
            is_plain: false,
            backlog: [0.0; 3],
            done: 0.0,
            tenants,
            counts: Vec::new(),
            running: Vec::new(),
            link: (0.0, 0.0),
            messages: Vec::new(),
            sent: 0,
            rng: fastrand::Rng::with_seed(11),
            start: Instant::now(),
            elapsed: 1.0,
        }
    }

    fn boot(&self) -> Duration {
        Duration::from_secs_f64(self.elapsed)
    }

    /// Runs for some seconds, and returns the share of its demand that each workspace was given in this time.
    fn run(&mut self, seconds: f64) -> Vec<f64> {
        self.done = 0.0;
        self.counts = vec![(0.0, 0.0); self.tenants.len()];
        for _ in 0..(seconds / STEP) as usize {
            self.elapsed += STEP;
            self.exchange();
            self.serve();
            self.arrive();
        }
        let counts = self.counts.iter();
        counts.map(|(asked, given)| given / asked).collect()
    }

    fn exchange(&mut self) {
        let (now, boot, elapsed) = (self.start + self.boot(), self.boot(), self.elapsed);
        let moment = ExchangeMoment { now, boot };
        for (from, node) in &mut self.nodes {
            node.shares.run_round(node.exchange.sums(), moment);
            let packets = node.exchange.tick([].into_iter(), &mut node.sync, moment);
            for (to, bytes) in packets.into_iter().filter(|_| !node.is_cut_off) {
                self.sent += bytes.len();
                if self.rng.f64() >= self.link.0 {
                    let at = elapsed + self.rng.f64() * self.link.1;
                    self.messages.push((at, *from, to, bytes));
                }
            }
        }
        for (_, from, to, bytes) in self.messages.extract_if(.., |(at, ..)| *at <= elapsed) {
            let node = self.nodes.get_mut(&to).expect("a node");
            if !node.is_cut_off {
                let received = node.exchange.receive(&bytes, from, &mut node.sync, moment);
                received.expect("a valid message");
            }
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
        let elapsed = self.elapsed;
        for (at, node, ticket) in self.running.extract_if(.., |(at, ..)| *at <= elapsed) {
            let node = self.nodes.get_mut(&node).expect("a node");
            let at = Duration::from_secs_f64(at);
            node.shares.finish(ticket, true, WorkOutcome::Answered, at);
        }
    }

    fn arrive(&mut self) {
        let mut arrivals = Vec::new();
        for (index, (_, demand)) in self.tenants.iter().enumerate() {
            let count = demand * STEP / WORK + self.rng.f64();
            arrivals.extend(std::iter::repeat_n(index, count as usize));
        }
        self.rng.shuffle(&mut arrivals);
        for index in arrivals {
            // The sizes of prompts follow an exponential distribution.
            let size = (-(1.0 - self.rng.f64()).ln()).min(6.0);
            self.send(index, if self.is_plain { WORK } else { WORK * size });
        }
    }

    fn send(&mut self, index: usize, work: f64) {
        let now = self.boot();
        let tier = self.tenants[index].0;
        let holder = holder(tier, index);
        let wait = self.backlog[..=usize::from(tier)].iter().sum::<f64>() / self.servers;
        let chosen = self.rng.usize(0..self.nodes.len());
        let (address, node) = self.nodes.iter_mut().nth(chosen).expect("a node");
        let prefill = (!self.is_plain).then(|| Duration::from_secs_f64(work));
        self.counts[index].0 += work;
        if !node.sends(holder, wait / TARGET.as_secs_f64(), self.is_plain, now) {
            let prefill = prefill.unwrap_or_default();
            node.shares.record_refusal(holder, prefill, now);
            return;
        }
        // A server runs six requests at once.
        if let Some(ticket) = node.shares.begin(holder, prefill, 6, now) {
            let end = self.elapsed + wait + work * 6.0;
            self.running.push((end, *address, ticket));
        }
        self.counts[index].1 += work;
        self.backlog[usize::from(tier)] += work;
    }
}

fn least(served: &[f64]) -> f64 {
    served.iter().copied().fold(f64::INFINITY, f64::min)
}

fn switches(is_on: bool) -> PolicySwitches {
    match is_on {
        true => PolicySwitches::new(),
        false => PolicySwitches::new().without(PolicyPart::WorkspaceShares),
    }
}

/// Guards against a hot workspace that displaces others, also where it is the largest and where reports are late and
/// lost, and against servers that idle while requests are refused. Bounds: nine tenths for each of the others, which
/// would be given all alone, and nearly all capacity.
#[test]
fn a_hot_workspace_takes_only_what_the_others_leave() {
    for (nodes, servers, link) in [
        (8, 20.0, (0.0, 0.0)),
        (72, 90.0, (0.2, 1.9)),
        (300, 90.0, (0.2, 0.1)),
    ] {
        let [(served, done), (without, _)] = [true, false].map(|is_on| {
            let tenants = hot_tenants(servers * 0.7, 2);
            let mut fleet = ShareFleet::new(nodes, servers, tenants, switches(is_on));
            fleet.link = link;
            fleet.run(8.0);
            (fleet.run(10.0), fleet.done)
        });
        assert!(least(&served[1..]) >= 0.9, "{nodes} nodes: {served:?}");
        assert!(done >= 9.7 * servers, "{nodes} nodes: {done}");
        let without = without[1..].iter().sum::<f64>() / 23.0;
        assert!(without < 0.8, "{nodes} nodes: the others get {without}");
    }
}

/// Guards against plain services whose queue a hot workspace fills. Bounds: nine tenths for each of the others, a queue
/// of 0.8 of the target, and nearly all capacity.
#[test]
fn a_hot_workspace_goes_last_at_a_plain_service() {
    for is_on in [true, false] {
        let mut fleet = ShareFleet::new(8, 20.0, hot_tenants(12.0, 1), switches(is_on));
        fleet.is_plain = true;
        fleet.run(8.0);
        let served = fleet.run(10.0);
        assert!(least(&served[1..]) >= 0.9, "{served:?}");
        assert!(fleet.done >= 9.7 * 20.0, "{}", fleet.done);
        let queue = fleet.backlog[1] / 20.0 / TARGET.as_secs_f64();
        assert_eq!(queue <= 0.8, is_on, "{queue}");
    }
}

/// Guards against refusals and messages where there is room. Bound: none at all, however unequal the workspaces.
#[test]
fn nothing_is_refused_or_sent_while_there_is_room() {
    let sent = [true, false].map(|is_on| {
        let mut fleet = ShareFleet::new(8, 60.0, hot_tenants(14.0, 2), switches(is_on));
        assert_eq!(least(&fleet.run(10.0)), 1.0);
        fleet.sent
    });
    assert_eq!(sent[0], sent[1]);
}

/// Guards against choices that swing after a step. Bound: from 5 s after the step on, the hot workspace is given
/// within a fifth of its mean in each second. The fleet is so large that the drawn demand of the others alone varies
/// by less.
#[test]
fn the_division_settles_after_a_step() {
    let mut tenants = hot_tenants(280.0, 2);
    let demand = std::mem::replace(&mut tenants[0].1, 1.0);
    let mut fleet = ShareFleet::new(8, 400.0, tenants, switches(true));
    fleet.run(5.0);
    fleet.tenants[0].1 = demand;
    fleet.run(5.0);
    let seconds = (0..10).map(|_| fleet.run(1.0)[0]);
    let served: Vec<f64> = seconds.collect();
    let mean = served.iter().sum::<f64>() / 10.0;
    let differences = served.iter().map(|served| (served / mean - 1.0).abs());
    assert!(differences.fold(0.0, f64::max) <= 0.2, "{served:?}");
}

/// Guards against state and messages that grow with the number of workspaces, and against a hot workspace among so
/// many. Bounds: the rows of the specification, and nine tenths for the others together.
#[test]
fn ten_thousand_workspaces_are_bounded() {
    let mut tenants = vec![(2, 0.0015); 10_000];
    tenants[0].1 = 30.0;
    let mut fleet = ShareFleet::new(8, 20.0, tenants, switches(true));
    fleet.run(10.0);
    fleet.run(8.0);
    let asked: f64 = fleet.counts[1..].iter().map(|(asked, _)| asked).sum();
    let given: f64 = fleet.counts[1..].iter().map(|(_, given)| given).sum();
    assert!(given >= 0.9 * asked, "{given} of {asked}");
    let now = fleet.start + fleet.boot();
    for node in fleet.nodes.values_mut() {
        let counts = node.shares.counts();
        assert!(counts.tracked <= 4_096 && counts.unlisted > 0, "{counts:?}");
        let rows = node.exchange.sums().peer_rows(SumTopic::WorkspaceUse, now);
        assert!(rows.len() <= 257);
    }
}

/// Guards against shares that refuse an urgent request while a less urgent one is sent: at each prediction that refuses
/// a limited workspace of an urgent tier, the tiers below, whose queues are no shorter, are refused too.
#[test]
fn urgent_tiers_come_first() {
    let mut tenants = hot_tenants(12.0, 0);
    tenants.extend([(2, 1.0); 6]);
    let mut fleet = ShareFleet::new(8, 20.0, tenants, switches(true));
    fleet.run(8.0);
    let served = fleet.run(10.0);
    assert!(least(&served[1..24]) >= 0.9, "{served:?}");
    let most_below = served[24..].iter().copied().fold(0.0, f64::max);
    assert!(most_below <= served[0], "{served:?}");
    let now = fleet.boot();
    for node in fleet.nodes.values_mut() {
        for queue in (0..40).map(|step| f64::from(step) / 40.0) {
            let is_sent = node.sends(holder(0, 0), queue, false, now);
            assert!(is_sent || !node.sends(holder(2, 24), queue, false, now));
        }
    }
}

/// Guards against nodes that starve small workspaces once their reports end: two of eight nodes, which collect for their
/// data centres, are cut off. Bound: nine tenths for each of the others.
#[test]
fn cut_off_nodes_use_their_own_counts() {
    let mut fleet = ShareFleet::new(8, 20.0, hot_tenants(12.0, 2), switches(true));
    fleet.run(8.0);
    let collectors = fleet.nodes.values_mut().take(2);
    collectors.for_each(|node| node.is_cut_off = true);
    let served = fleet.run(14.0);
    assert!(least(&served[1..]) >= 0.9, "{served:?}");
}

/// Guards against a node that limits workspaces by what it believed before it started or was suspended. Bound: no limit
/// without a total of after that, or 2 s.
#[test]
fn a_node_that_starts_or_resumes_limits_nobody_at_first() {
    let mut fleet = ShareFleet::new(8, 20.0, hot_tenants(12.0, 2), switches(true));
    fleet.run(10.0);
    let now = fleet.boot();
    let node = fleet.nodes.values_mut().last().expect("a node");
    assert!(!node.sends(holder(2, 0), 0.6, false, now));
    assert!(node.sends(holder(2, 0), 0.6, false, now + milliseconds(4_000)));
    node.shares = WorkspaceShares::new(switches(true));
    node.shares.set_workspaces(24);
    for step in 0..40 {
        let now = now + milliseconds(100) * step;
        for (index, work) in [(0, 400), (1, 10)] {
            let (holder, work) = (holder(2, index), milliseconds(work));
            node.shares.begin(holder, Some(work), 64, now);
            node.shares.record_refusal(holder, milliseconds(400), now);
        }
        let is_sent = node.sends(holder(2, 0), 0.6, false, now);
        assert!(is_sent == (step < 20) || (18..24).contains(&step));
    }
}

/// Guards against a hot API key that starves the other keys of its workspace: a key that asks for little is within its
/// share although its workspace is not.
#[test]
fn a_hot_key_leaves_room_for_the_other_keys() {
    let mut shares = WorkspaceShares::new(switches(true));
    shares.set_workspaces(2);
    let (hot, small) = (holder(2, 0).with_api_key("hot"), holder(2, 1));
    let quiet = holder(2, 0).with_api_key("quiet");
    let mut standings = [ShareStanding::Within; 2];
    for now in (0..60).map(|step| milliseconds(100) * step) {
        for (holder, work) in [(hot, 90), (quiet, 5), (small, 30)] {
            shares.begin(holder, Some(milliseconds(work)), 64, now);
        }
        shares.record_refusal(hot, milliseconds(90), now);
        shares.record_refusal(small, milliseconds(30), now);
        standings = [hot, quiet].map(|key| shares.assess(key, &prediction(0.6), now).standing);
    }
    let expected = [ShareStanding::Exceeded, ShareStanding::Within];
    assert_eq!(standings, expected);
}

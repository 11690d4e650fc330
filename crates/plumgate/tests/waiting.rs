//! Requests that wait for room at a node, and refused callers that return, over drawn loads without a network.

mod entries;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use plumgate::gateway::{
    AdmissionContext, AdmissionDecision, AdmissionPolicy, ExchangeMoment, LoadExchange,
    PlaceBounds, PolicyPart, PolicySwitches, PoolRoom, QueuePrediction, ReturnOffer,
    ReturnPromises, SumRow, SyncState, WaitQueue, WaitRequest,
};

use entries::node_entries;

const ROUND: Duration = Duration::from_millis(100);
/// Work of one request, and the room of a pool in which a tenth of it is used by 28 returns a second.
const WORK: Duration = Duration::from_millis(50);
const ROOM: PoolRoom = PoolRoom {
    servers: 14,
    slots: 224,
};

struct ReturnNode {
    exchange: LoadExchange,
    sync: SyncState,
    promises: ReturnPromises,
}

/// Nodes of one process whose packets may be late or lost.
struct ReturnFleet {
    nodes: BTreeMap<SocketAddr, ReturnNode>,
    down: Vec<SocketAddr>,
    under_way: Vec<(Duration, SocketAddr, SocketAddr, Vec<u8>)>,
    loss: f64,
    max_delay: Duration,
    /// Predicted queue of the best server where requests are refused.
    queue: Duration,
    rng: fastrand::Rng,
    start: Instant,
    now: Duration,
}

impl ReturnFleet {
    fn new(data_centres: usize, nodes_each: usize, seed: u64) -> Self {
        let entries = node_entries(data_centres, nodes_each);
        let nodes = entries.iter().map(|own| {
            let mut exchange = LoadExchange::new(own.clone());
            exchange.set_nodes(entries.clone());
            let node = ReturnNode {
                exchange,
                sync: SyncState::new(Duration::from_secs(5), own.address.port().into()),
                promises: ReturnPromises::new(),
            };
            (own.address, node)
        });
        let mut fleet = Self {
            nodes: nodes.collect(),
            down: Vec::new(),
            under_way: Vec::new(),
            loss: 0.0,
            max_delay: Duration::ZERO,
            queue: Duration::from_millis(1_500),
            rng: fastrand::Rng::with_seed(seed),
            start: Instant::now(),
            now: Duration::from_secs(10),
        };
        fleet.run(2);
        fleet
    }

    fn run(&mut self, rounds: usize) {
        for _ in 0..rounds {
            self.now += ROUND;
            let moment = ExchangeMoment {
                now: self.start + self.now,
                boot: self.now,
            };
            for (from, node) in &mut self.nodes {
                if self.down.contains(from) {
                    continue;
                }
                let (promises, exchange) = (&mut node.promises, &mut node.exchange);
                promises.exchange_with(exchange, moment.boot, moment.now);
                for (to, bytes) in exchange.tick(std::iter::empty(), &mut node.sync, moment) {
                    let delay = self.max_delay.mul_f64(self.rng.f64());
                    if self.rng.f64() >= self.loss {
                        self.under_way.push((self.now + delay, *from, to, bytes));
                    }
                }
            }
            let now = self.now;
            for (_, from, to, bytes) in self.under_way.extract_if(.., |(at, ..)| *at <= now) {
                let node = self.nodes.get_mut(&to).expect("a node");
                if !self.down.contains(&to) {
                    let received = node.exchange.receive(&bytes, from, &mut node.sync, moment);
                    received.expect("a valid message");
                }
            }
        }
    }

    fn any_node(&mut self) -> SocketAddr {
        let up = self.nodes.keys().filter(|node| !self.down.contains(node));
        let up: Vec<SocketAddr> = up.copied().collect();
        *self.rng.choice(&up).expect("a node")
    }

    /// Refuses a request at a node, and returns the moment of the promised return.
    fn refuse(&mut self, node: SocketAddr, key: u32, urgency: u8) -> Option<Duration> {
        let offer = ReturnOffer {
            key,
            pool: "models".into(),
            urgency,
            queue: self.queue,
            target: Duration::from_secs(2),
            work: WORK,
            room: ROOM,
            left: Duration::from_secs(12),
        };
        let (now, spread) = (self.now, self.rng.f64());
        let promises = &mut self.nodes.get_mut(&node).expect("a node").promises;
        promises.record_refusal(&offer.pool, now);
        let delay = promises.promise(&offer, now, spread);
        delay.map(|delay| now + delay)
    }

    /// Returns whether any node but one recognizes a return now.
    fn recognizes_elsewhere(&mut self, but: SocketAddr, key: u32) -> bool {
        let now = self.now;
        let mut others = self.nodes.iter_mut().filter(|(node, _)| **node != but);
        let (_, node) = others.nth(3).expect("another node");
        node.promises.take_return(key, now).is_some()
    }
}

/// Guards against refused callers that all return in the same moment, at one node and at many.
#[test]
fn callers_refused_in_the_same_second_return_at_different_times() {
    for (data_centres, nodes_each, used) in [(2, 4, 1), (2, 4, 8), (3, 100, 300)] {
        let mut fleet = ReturnFleet::new(data_centres, nodes_each, 3);
        let nodes: Vec<SocketAddr> = fleet.nodes.keys().copied().take(used).collect();
        let mut times = Vec::new();
        for caller in 0..100 {
            if caller % 10 == 0 {
                fleet.run(1);
            }
            let node = *fleet.rng.choice(&nodes).expect("a node");
            times.extend(fleet.refuse(node, caller, 2));
        }
        times.sort();
        // 28 returns a second have room; each node may begin its part anywhere, so that twice as many may meet.
        let window = Duration::from_millis(500);
        let of_window = |from: Duration| {
            let within = times.iter().filter(|at| (from..from + window).contains(at));
            within.count()
        };
        let most = times.iter().map(|at| of_window(*at)).max().unwrap_or(0);
        println!(
            "{used} nodes: {} of 100 promised, {most} in half a second",
            times.len()
        );
        assert!(times.len() >= 20 && most <= 28, "{most} of {}", times.len());
        let latest = fleet.now + Duration::from_secs(3);
        assert!(times.iter().all(|at| *at <= latest));
    }
}

/// Guards against returns that only the promising node knows, where reports are lost, late or come from a node that
/// has ended.
#[test]
fn returns_are_recognized_at_other_nodes() {
    // Of on-time reports, nearly all must be known; a lost or late one may make a caller new, but not most of them if
    // its return is promised for later than its report can arrive.
    let cases = [
        (2, 4, 0.0, 0, 0.9),
        (3, 100, 0.0, 0, 0.9),
        (2, 4, 0.2, 0, 0.6),
        (2, 4, 0.2, 700, 0.4),
    ];
    for (data_centres, nodes_each, loss, delay_ms, least) in cases {
        let mut fleet = ReturnFleet::new(data_centres, nodes_each, 5);
        (fleet.loss, fleet.max_delay) = (loss, Duration::from_millis(delay_ms));
        fleet.queue += 3 * fleet.max_delay;
        let (mut promised, mut known) = (0, 0);
        for caller in 0..30 {
            let node = fleet.any_node();
            let Some(at) = fleet.refuse(node, 1_000 + caller, 2) else {
                fleet.run(10);
                continue;
            };
            promised += 1;
            while fleet.now < at {
                fleet.run(1);
            }
            known += u32::from(fleet.recognizes_elsewhere(node, 1_000 + caller));
        }
        println!(
            "{data_centres} x {nodes_each}, loss {loss}, delay {delay_ms}: {known} of {promised}"
        );
        assert!(
            f64::from(known) >= least * f64::from(promised),
            "{known} of {promised}"
        );
    }
    let mut fleet = ReturnFleet::new(2, 4, 6);
    let node = *fleet.nodes.keys().next_back().expect("a node");
    let at = fleet.refuse(node, 7, 2).expect("room");
    fleet.run(4);
    fleet.down.push(node);
    while fleet.now < at {
        fleet.run(1);
    }
    assert!(fleet.recognizes_elsewhere(node, 7), "its node has ended");
    fleet.run(2);
    assert!(!fleet.recognizes_elsewhere(node, 7), "it returned once");
    // The last report goes on being passed on until it expires, and must not prolong the promise.
    fleet.run(25);
    let first = *fleet.nodes.keys().next().expect("a node");
    let now = fleet.now;
    let node = fleet.nodes.get_mut(&first).expect("a node");
    assert_eq!(node.promises.take_return(7, now), None);
}

/// Guards against a suspended node that keeps promises whose time has passed, and against rows that are sent for
/// ever after a step of load.
#[test]
fn promises_end_with_their_time() {
    let mut fleet = ReturnFleet::new(2, 4, 8);
    let node = *fleet.nodes.keys().next().expect("a node");
    for caller in 0..20 {
        fleet.refuse(node, caller, 2);
    }
    let state = fleet.nodes.get_mut(&node).expect("a node");
    assert!(!state.promises.rows(fleet.now).is_empty());
    let resumed = fleet.now + Duration::from_secs(6);
    assert!((0..20).all(|caller| state.promises.take_return(caller, resumed).is_none()));
    fleet.run(120);
    let now = fleet.now;
    for state in fleet.nodes.values_mut() {
        assert!(state.promises.rows(now).is_empty() && state.promises.is_empty());
    }
}

/// Guards against false reports that make all requests go first, and against invalid rows.
#[test]
fn false_reports_make_few_callers_count_as_returning() {
    let mut promises = ReturnPromises::new();
    let now = Duration::from_secs(20);
    let row = |key, values: [u32; 3]| SumRow {
        key,
        values: values.to_vec(),
    };
    let rows = (0..500).map(|key| row(key, [1_500, 1, 0]));
    promises.apply_reports(rows.collect(), 8, now);
    let returning = (0..400).filter(|key| promises.take_return(*key, now).is_some());
    assert!(returning.count() <= 208);
    let invalid = [[600_000, 1, 0], [900, 1_000, 0]];
    let mut promises = ReturnPromises::new();
    promises.apply_reports(invalid.map(|values| row(1, values)).into(), 8, now);
    assert_eq!(promises.take_return(1, now), None);
    assert_eq!(promises.take_dropped(), 2);
}

/// Guards against room that a less urgent tier takes from a more urgent one.
#[test]
fn returns_of_a_more_urgent_tier_go_first() {
    let mut fleet = ReturnFleet::new(2, 4, 9);
    let node = *fleet.nodes.keys().next().expect("a node");
    let less_urgent: Vec<_> = (0..60)
        .filter_map(|key| fleet.refuse(node, key, 2))
        .collect();
    let urgent = fleet.refuse(node, 100, 0).expect("room");
    let earlier = less_urgent.iter().filter(|at| **at < urgent).count();
    assert!(
        earlier * 2 < less_urgent.len(),
        "{earlier} of {}",
        less_urgent.len()
    );
}

fn drawn_context(rng: &mut fastrand::Rng) -> (QueuePrediction, AdmissionContext) {
    let target = rng.u64(200..2_500);
    let queue = rng.u64(0..2 * target);
    let prediction = QueuePrediction {
        queue: Duration::from_millis(queue),
        wait: Duration::from_millis(queue + rng.u64(0..400)),
        target_left: Duration::from_millis(target),
        left: Duration::from_millis(rng.u64(1..12_000)),
    };
    // A route's own target may be shorter than the one by which it is refused.
    let context = AdmissionContext {
        target: Duration::from_millis(rng.u64(target / 2..=target)),
        is_returning: rng.bool(),
        has_place: rng.bool(),
        is_behind: rng.bool(),
        ..AdmissionContext::default()
    };
    (prediction, context)
}

/// Guards against waits beyond their bound, decisions without time passing between them, callers that are refused
/// twice in time, leniency beside a more urgent request, and requests that were sent at once before.
#[test]
fn no_request_waits_beyond_its_bound() {
    let mut rng = fastrand::Rng::with_seed(17);
    let policy = AdmissionPolicy::new();
    let without = PolicySwitches::new().without(PolicyPart::WaitQueue);
    let before = AdmissionPolicy::new().with_switches(without);
    let mut waits = 0;
    for _ in 0..20_000 {
        let (mut prediction, mut context) = drawn_context(&mut rng);
        let target = context.target;
        let usual = before.decide(&prediction, &AdmissionContext::default(), 0.5);
        let first = policy.decide(&prediction, &context, 0.5);
        if usual == AdmissionDecision::Send || context.is_behind && !context.has_place {
            assert_eq!(
                first == AdmissionDecision::Send,
                usual == AdmissionDecision::Send
            );
        }
        let mut decisions = 0;
        while let AdmissionDecision::Wait { pause, .. } = policy.decide(&prediction, &context, 0.5)
        {
            assert!(!pause.is_zero());
            decisions += 1;
            context.waited += pause;
            prediction.target_left = prediction.target_left.saturating_sub(pause);
            prediction.left = prediction.left.saturating_sub(pause);
            // The queue moves by up to twice the time that has passed, in both directions.
            let queue = prediction.queue + pause.mul_f64(2.0 * rng.f64());
            let queue = queue.saturating_sub(pause.mul_f64(2.0 * rng.f64()));
            prediction.wait = prediction.wait - prediction.queue + queue;
            prediction.queue = queue;
        }
        waits += u32::from(decisions > 0);
        assert!(context.waited <= target.mul_f64(0.3) + Duration::from_micros(1));
        assert!(decisions <= 40, "{decisions}");
        let last = policy.decide(&prediction, &context, 0.5);
        if let AdmissionDecision::Refuse { retry_after, .. } = last {
            let is_over = prediction.wait > prediction.left.mul_f64(0.9);
            assert!(!context.is_returning || context.is_behind || is_over);
            assert!(retry_after <= prediction.left.mul_f64(0.3));
        }
    }
    assert!(waits > 200, "{waits} of the drawn requests wait");
}

/// Guards against a queue without bounds, and against a more urgent request that waits behind a less urgent one or
/// is refused for its sake.
#[test]
fn waiting_requests_are_bounded_and_ordered_by_urgency() {
    let mut rng = fastrand::Rng::with_seed(23);
    let start = Instant::now();
    let bounds = PlaceBounds::new(ROOM, 4);
    let mut queue: WaitQueue<(u8, u32)> = WaitQueue::new();
    let mut waiting = BTreeMap::new();
    for number in 0..5_000 {
        let request = WaitRequest {
            pool: "models".into(),
            urgency: rng.u8(0..3),
            is_returning: rng.bool(),
            target_at: start + Duration::from_millis(rng.u64(0..2_000)),
            size: rng.u64(0..20_000),
            bytes: rng.u64(0..2_000_000),
        };
        let (urgency, returning) = (request.urgency, request.is_returning);
        let entered = queue.enter(request, bounds, (urgency, number));
        let waits_behind = waiting.values().any(|(other, _, _)| *other < urgency);
        assert_eq!(queue.is_behind(&"models".into(), urgency), waits_behind);
        match entered {
            Some(claimed) => {
                waiting.insert(number, (urgency, returning, claimed.id));
                if let Some((displaced, of)) = claimed.displaced {
                    waiting.remove(&of);
                    assert!(displaced >= urgency);
                }
            }
            None => assert!(!waiting.is_empty()),
        }
        assert!(queue.len() == waiting.len() && queue.len() <= 64);
        assert!(queue.bytes() <= 4 * 1024 * 1024);
        let first = queue.begin_pass();
        let most_urgent = waiting
            .values()
            .map(|(urgency, returning, _)| (*urgency, !returning));
        let holder = waiting[&first[0].1];
        assert_eq!(Some((holder.0, !holder.1)), most_urgent.min());
        // The turn moves down the queue, and ends after eight decisions.
        let (mut turns, mut turn) = (1, first[0]);
        while let Some(next) = queue.pass_turn(waiting[&turn.1].2) {
            assert!(next.0 >= turn.0);
            (turns, turn) = (turns + 1, next);
        }
        assert_eq!(turns, waiting.len().min(8));
        if rng.f64() < 0.5 {
            let (left, _) = waiting
                .pop_first()
                .map(|(n, (_, _, id))| (id, n))
                .expect("one");
            queue.leave(left);
        }
    }
}

//! A simulated fleet of nodes that send to one server, which states limits: messages are late, lost, repeated
//! or reordered, and nodes stop, restart, are suspended or are cut off.
#![allow(dead_code, reason = "each test file uses its own part")]

mod faults;
mod limit_checker;
mod node;
mod notice_checker;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use plumgate::gateway::{LeaveStatement, NodeEntry, RequestRate, RestStatement, ServerEntry};

pub(crate) use limit_checker::LimitChecker;
use node::{FleetAnswer, FleetNode};
pub(crate) use notice_checker::NoticeChecker;

use super::entries::{node_entries, server_entry};

/// A time of the simulation, in microseconds since its start.
pub(crate) type Micros = u64;

/// Time between two rounds of a node.
const ROUND: Micros = 100_000;
/// Milliseconds of the Unix epoch at the start.
const UNIX_START_MS: u64 = 1_767_225_600_000;

/// Size of the fleet, demand, and faults of its network.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FleetShape {
    pub(crate) data_centres: usize,
    pub(crate) nodes_each: usize,
    /// Requests a second that callers send to all nodes together.
    pub(crate) demand: f64,
    /// Share of messages that are lost.
    pub(crate) lost: f64,
    /// Share of messages that arrive twice.
    pub(crate) repeated: f64,
    /// Share of messages that arrive up to two seconds late.
    pub(crate) late: f64,
    pub(crate) seed: u64,
}

impl FleetShape {
    pub(crate) fn new(data_centres: usize, nodes_each: usize, demand: f64) -> Self {
        Self {
            data_centres,
            nodes_each,
            demand,
            lost: 0.0,
            repeated: 0.0,
            late: 0.0,
            seed: 1,
        }
    }
}

/// Conditions that the server states in its answers.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StatedConditions {
    pub(crate) limit: Option<f64>,
    pub(crate) is_leaving: bool,
    /// The rest that the server asks for when it refuses requests; none while it accepts them.
    pub(crate) rest: Option<Duration>,
}

/// An event of the simulation.
#[derive(Clone, Debug)]
enum FleetEvent {
    /// A node's round.
    Round(usize),
    /// A message arrives; its sender and receiver come first.
    Packet(SocketAddr, SocketAddr, Vec<u8>),
    /// A caller's request arrives at some node.
    Caller,
    /// A node sends a request, if that is still allowed.
    Send(usize, u32, node::PermittedRequest),
    /// An answer arrives at the node that sent the request.
    Answer(usize, u32, FleetAnswer),
    /// A node learns of another incarnation of the server.
    Restarted(usize, u64),
    /// A permit request is sent again.
    ResendPermitRequest(usize, u32, u64),
    /// The time to wait for a permit is over.
    PermitTimeout(usize, u32, u64),
    /// A suspended node resumes.
    Resume(usize),
    /// A stopped node starts again.
    Start(usize),
}

/// The simulated fleet.
pub(crate) struct LimitFleet {
    pub(crate) shape: FleetShape,
    pub(crate) now: Micros,
    pub(crate) limit_checker: LimitChecker,
    pub(crate) server: ServerEntry,
    pub(crate) notice_checker: NoticeChecker,
    /// Conditions that the server currently states.
    pub(crate) stated: StatedConditions,
    /// Bytes of all messages that nodes sent.
    pub(crate) bytes: u64,
    nodes: Vec<FleetNode>,
    /// Pairs of sender and receiver between which messages are dropped.
    dropped_pairs: BTreeSet<(usize, usize)>,
    entries: Vec<NodeEntry>,
    indexes: BTreeMap<SocketAddr, usize>,
    events: BinaryHeap<Reverse<(Micros, u64, UnorderedEvent)>>,
    event_count: u64,
    start: Instant,
    rng: fastrand::Rng,
}

/// An event that is ignored when queue entries are compared.
#[derive(Debug)]
struct UnorderedEvent(FleetEvent);

impl PartialEq for UnorderedEvent {
    fn eq(&self, _: &Self) -> bool {
        true
    }
}

impl Eq for UnorderedEvent {}

impl PartialOrd for UnorderedEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for UnorderedEvent {
    fn cmp(&self, _: &Self) -> std::cmp::Ordering {
        std::cmp::Ordering::Equal
    }
}

impl LimitFleet {
    pub(crate) fn new(shape: FleetShape) -> Self {
        let entries = node_entries(shape.data_centres, shape.nodes_each);
        let start = Instant::now() + Duration::from_secs(1_000);
        let mut server = server_entry("limited");
        server.data_centre = "hall-0".into();
        server.start_time = Some(1);
        let mut rng = fastrand::Rng::with_seed(shape.seed);
        let nodes = entries.iter().map(|own| {
            let offset = Duration::from_secs(rng.u64(100..10_000));
            FleetNode::new(own, &entries, &server, offset, rng.u64(..))
        });
        let nodes = nodes.collect();
        let indexes = entries.iter().enumerate();
        let indexes = indexes
            .map(|(index, entry)| (entry.address, index))
            .collect();
        let mut fleet = Self {
            shape,
            now: 0,
            limit_checker: LimitChecker::default(),
            server,
            notice_checker: NoticeChecker::default(),
            stated: StatedConditions::default(),
            bytes: 0,
            nodes,
            dropped_pairs: BTreeSet::new(),
            entries,
            indexes,
            events: BinaryHeap::new(),
            event_count: 0,
            start,
            rng,
        };
        for index in 0..fleet.nodes.len() {
            let at = fleet.rng.u64(0..ROUND);
            fleet.schedule(at, FleetEvent::Round(index));
        }
        fleet.schedule_caller();
        fleet
    }

    pub(crate) fn node_count(&self) -> usize {
        self.nodes.len()
    }

    /// Advances the simulated time.
    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + micros(time);
        while let Some(Reverse((at, _, _))) = self.events.peek() {
            if *at > end {
                break;
            }
            let Some(Reverse((at, _, UnorderedEvent(event)))) = self.events.pop() else {
                break;
            };
            self.now = at;
            self.handle(event);
        }
        self.now = end;
    }

    /// Makes the server state a limit, or none.
    pub(crate) fn set_limit(&mut self, limit: Option<f64>) {
        self.stated.limit = limit;
        self.limit_checker.record_limit(limit, self.now);
    }

    /// Returns whether a node applies a limit of the server.
    pub(crate) fn knows_limit(&self, index: usize) -> bool {
        self.nodes[index]
            .statements
            .limits
            .rate(&self.server)
            .is_some()
    }

    /// Returns whether a node knows that the server leaves.
    pub(crate) fn knows_leaving(&self, index: usize) -> bool {
        let node = &self.nodes[index];
        let notices = &node.statements.notices;
        notices.leaving_since(&self.server).is_some()
    }

    /// Returns the nodes that issue permits.
    pub(crate) fn issuers(&self) -> Vec<usize> {
        let now = self.now;
        let nodes = self.nodes.iter().enumerate();
        let issuing = nodes
            .filter(|(_, node)| !node.is_down && node.statements.limits.issues(node.boot(now)));
        issuing.map(|(index, _)| index).collect()
    }

    fn schedule(&mut self, at: Micros, event: FleetEvent) {
        self.event_count += 1;
        self.events
            .push(Reverse((at, self.event_count, UnorderedEvent(event))));
    }

    /// Schedules the next request of a caller.
    fn schedule_caller(&mut self) {
        if self.shape.demand <= 0.0 {
            return;
        }
        let pause = -(1.0 - self.rng.f64()).ln() / self.shape.demand;
        let at = self.now + (pause * 1e6) as Micros + 1;
        self.schedule(at, FleetEvent::Caller);
    }

    fn handle(&mut self, event: FleetEvent) {
        let target = match &event {
            FleetEvent::Caller
            | FleetEvent::Resume(_)
            | FleetEvent::Start(_)
            | FleetEvent::Restarted(..) => None,
            FleetEvent::Packet(_, to, _) => self.indexes.get(to).copied(),
            FleetEvent::Round(index)
            | FleetEvent::Send(index, ..)
            | FleetEvent::Answer(index, ..)
            | FleetEvent::ResendPermitRequest(index, ..)
            | FleetEvent::PermitTimeout(index, ..) => Some(*index),
        };
        if let Some(index) = target
            && self.nodes[index].is_suspended
        {
            self.nodes[index].deferred_events.push(event);
            return;
        }
        match event {
            FleetEvent::Round(index) => self.round(index),
            FleetEvent::Packet(from, to, bytes) => self.receive(from, to, &bytes),
            FleetEvent::Caller => {
                let index = self.rng.usize(0..self.nodes.len());
                self.schedule_caller();
                self.on_call(index);
            }
            FleetEvent::Send(index, incarnation, request) => self.send(index, incarnation, request),
            FleetEvent::Answer(index, incarnation, answer) => {
                self.on_answer(index, incarnation, &answer)
            }
            FleetEvent::Restarted(index, start_time) => {
                self.nodes[index].server.start_time = Some(start_time)
            }
            FleetEvent::ResendPermitRequest(index, incarnation, request_id) => {
                if self.nodes[index].incarnation == incarnation {
                    self.nodes[index]
                        .statements
                        .limits
                        .resend_request(request_id);
                    let now = self.now;
                    let packets = self.nodes[index].take_requests(now);
                    self.send_all(index, packets);
                }
            }
            FleetEvent::PermitTimeout(index, incarnation, request_id) => {
                self.give_up(index, incarnation, request_id)
            }
            FleetEvent::Resume(index) => self.resume(index),
            FleetEvent::Start(index) => self.restart_node(index),
        }
    }

    fn round(&mut self, index: usize) {
        if self.nodes[index].is_down {
            return;
        }
        let (start, now) = (self.start, self.now);
        let packets = self.nodes[index].round(start, now);
        self.send_all(index, packets);
        self.schedule(now + ROUND, FleetEvent::Round(index));
    }

    fn send_all(&mut self, index: usize, packets: Vec<(SocketAddr, Vec<u8>)>) {
        let from = self.entries[index].address;
        for (to, bytes) in packets {
            self.bytes += bytes.len() as u64;
            if self.rng.f64() < self.shape.lost {
                continue;
            }
            let copies = 1 + usize::from(self.rng.f64() < self.shape.repeated);
            for _ in 0..copies {
                let late = if self.rng.f64() < self.shape.late {
                    self.rng.u64(0..2_000_000)
                } else {
                    0
                };
                let at = self.now + self.rng.u64(300..3_000) + late;
                self.schedule(at, FleetEvent::Packet(from, to, bytes.clone()));
            }
        }
    }

    fn receive(&mut self, from: SocketAddr, to: SocketAddr, bytes: &[u8]) {
        let (Some(sender), Some(index)) = (self.indexes.get(&from), self.indexes.get(&to)) else {
            return;
        };
        let (sender, index) = (*sender, *index);
        let is_cut_off = self.nodes[sender].is_cut_off != self.nodes[index].is_cut_off;
        let is_dropped = self.dropped_pairs.contains(&(sender, index));
        if is_cut_off || is_dropped || self.nodes[index].is_down {
            return;
        }
        let (start, now) = (self.start, self.now);
        let (packets, is_answer) = self.nodes[index].receive(bytes, from, start, now);
        self.send_all(index, packets);
        if is_answer {
            for request in self.nodes[index].take_permitted(now) {
                self.connect(index, request);
            }
        }
    }

    /// Handles a caller's request.
    fn on_call(&mut self, index: usize) {
        if self.nodes[index].is_down || self.nodes[index].is_suspended {
            return;
        }
        self.limit_checker.record_demand(self.now);
        let now = self.now;
        match self.nodes[index].request_permit(now) {
            node::RequestDecision::Send(request) => self.connect(index, request),
            node::RequestDecision::Wait(request_id) => {
                let packets = self.nodes[index].take_requests(now);
                self.send_all(index, packets);
                let incarnation = self.nodes[index].incarnation;
                for delay in [35_000, 70_000] {
                    self.schedule(
                        now + delay,
                        FleetEvent::ResendPermitRequest(index, incarnation, request_id),
                    );
                }
                self.schedule(
                    now + 100_000,
                    FleetEvent::PermitTimeout(index, incarnation, request_id),
                );
            }
            node::RequestDecision::Refused => {}
        }
    }

    /// Opens a connection, over which the request is then sent.
    fn connect(&mut self, index: usize, request: node::PermittedRequest) {
        let pause = if self.rng.f64() < 0.1 {
            self.rng.u64(1_000..200_000)
        } else {
            self.rng.u64(300..3_000)
        };
        let incarnation = self.nodes[index].incarnation;
        self.schedule(
            self.now + pause,
            FleetEvent::Send(index, incarnation, request),
        );
    }

    fn send(&mut self, index: usize, incarnation: u32, request: node::PermittedRequest) {
        let now = self.now;
        if self.nodes[index].incarnation != incarnation || self.nodes[index].is_down {
            return;
        }
        if !self.nodes[index].may_send(request, now) {
            return;
        }
        let sent = self.nodes[index].boot(now);
        let server = self.nodes[index].server.clone();
        self.limit_checker
            .record_arrival(self.nodes[index].started, now);
        if server.start_time == self.server.start_time {
            self.notice_checker
                .check_arrival(index, server.start_time, now);
        }
        let stated = self.stated;
        let answer = FleetAnswer {
            server,
            sent,
            rate: stated.limit.and_then(RequestRate::new),
            leaving: if stated.is_leaving {
                LeaveStatement::Leaves
            } else {
                LeaveStatement::Stays
            },
            rest: stated.rest.map_or(RestStatement::None, RestStatement::For),
        };
        let pause = if self.rng.f64() < 0.1 {
            self.rng.u64(2_000..1_500_000)
        } else {
            self.rng.u64(2_000..50_000)
        };
        self.schedule(now + pause, FleetEvent::Answer(index, incarnation, answer));
    }

    fn on_answer(&mut self, index: usize, incarnation: u32, answer: &FleetAnswer) {
        let now = self.now;
        if self.nodes[index].incarnation != incarnation || self.nodes[index].is_down {
            return;
        }
        self.nodes[index].on_answer(answer, now);
        self.notice_checker.record_answer(index, answer, now);
    }

    fn give_up(&mut self, index: usize, incarnation: u32, request_id: u64) {
        let now = self.now;
        if self.nodes[index].incarnation == incarnation {
            self.nodes[index].give_up(request_id, now);
        }
    }
}

/// Converts a duration to microseconds.
pub(crate) fn micros(time: Duration) -> Micros {
    u64::try_from(time.as_micros()).expect("a short duration")
}

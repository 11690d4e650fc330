//! A fleet of decision states before one server that names limits, under messages that are late, lost, repeated
//! or reordered, and nodes that end, start again, stand still or are cut off.
#![allow(dead_code, reason = "each test file uses its own part")]

mod faults;
mod judge;
mod node;
mod notice_judge;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use plumgate::gateway::{LeaveStatement, NodeEntry, RequestRate, RestStatement, ServerEntry};

pub(crate) use judge::LimitJudge;
use node::{FleetAnswer, FleetNode};
pub(crate) use notice_judge::NoticeJudge;

use super::entries::{node_entries, server_entry};

/// A moment of the model, in microseconds since its start.
pub(crate) type Micros = u64;

/// Time between two rounds of a node.
const ROUND: Micros = 100_000;
/// Milliseconds of the Unix epoch at the start.
const UNIX_START_MS: u64 = 1_767_225_600_000;

/// How the nodes and their network are.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FleetShape {
    pub(crate) centres: usize,
    pub(crate) nodes_each: usize,
    /// Requests a second that callers bring to all nodes together.
    pub(crate) demand: f64,
    /// Share of messages that are lost, and that come twice.
    pub(crate) lost: f64,
    pub(crate) repeated: f64,
    /// Share of messages that come up to two seconds late.
    pub(crate) late: f64,
    pub(crate) seed: u64,
}

impl FleetShape {
    pub(crate) fn new(centres: usize, nodes_each: usize, demand: f64) -> Self {
        Self {
            centres,
            nodes_each,
            demand,
            lost: 0.0,
            repeated: 0.0,
            late: 0.0,
            seed: 1,
        }
    }
}

/// What the server says in its answers.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ServerWords {
    pub(crate) limit: Option<f64>,
    pub(crate) is_leaving: bool,
    /// The rest that it asks for as it turns requests away; none where it takes them.
    pub(crate) rest: Option<Duration>,
}

/// What happens at some moment.
#[derive(Clone, Debug)]
enum FleetEvent {
    /// A node's round.
    Round(usize),
    /// A message arrives.
    Packet(SocketAddr, SocketAddr, Vec<u8>),
    /// A caller's request comes to some node.
    Caller,
    /// A node sends a request, if it still may.
    Send(usize, u32, node::Sending),
    /// An answer arrives at the node that sent the request.
    Answer(usize, u32, FleetAnswer),
    /// A node learns of another life of the server.
    Restarted(usize, u64),
    /// An ask is sent again.
    AskAgain(usize, u32, u64),
    /// The time of an ask is over.
    AskOver(usize, u32, u64),
    /// A node goes on that stood still.
    Resume(usize),
    /// A node starts again.
    Start(usize),
}

/// The fleet.
pub(crate) struct LimitFleet {
    pub(crate) shape: FleetShape,
    pub(crate) now: Micros,
    pub(crate) judge: LimitJudge,
    pub(crate) server: ServerEntry,
    pub(crate) notices: NoticeJudge,
    /// What the server says of itself.
    pub(crate) words: ServerWords,
    /// Bytes that nodes sent about limits and all else.
    pub(crate) bytes: u64,
    nodes: Vec<FleetNode>,
    /// Nodes whose messages do not reach another one, by sender and receiver.
    deaf_pairs: BTreeSet<(usize, usize)>,
    entries: Vec<NodeEntry>,
    places: BTreeMap<SocketAddr, usize>,
    events: BinaryHeap<Reverse<(Micros, u64, EventBox)>>,
    count: u64,
    start: Instant,
    rng: fastrand::Rng,
}

/// An event that takes no part in the order.
#[derive(Debug)]
struct EventBox(FleetEvent);

impl PartialEq for EventBox {
    fn eq(&self, _: &Self) -> bool {
        true
    }
}

impl Eq for EventBox {}

impl PartialOrd for EventBox {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for EventBox {
    fn cmp(&self, _: &Self) -> std::cmp::Ordering {
        std::cmp::Ordering::Equal
    }
}

impl LimitFleet {
    pub(crate) fn new(shape: FleetShape) -> Self {
        let entries = node_entries(shape.centres, shape.nodes_each);
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
        let places = entries.iter().enumerate();
        let places = places
            .map(|(index, entry)| (entry.address, index))
            .collect();
        let mut fleet = Self {
            shape,
            now: 0,
            judge: LimitJudge::default(),
            server,
            notices: NoticeJudge::default(),
            words: ServerWords::default(),
            bytes: 0,
            nodes,
            deaf_pairs: BTreeSet::new(),
            entries,
            places,
            events: BinaryHeap::new(),
            count: 0,
            start,
            rng,
        };
        for index in 0..fleet.nodes.len() {
            let at = fleet.rng.u64(0..ROUND);
            fleet.at(at, FleetEvent::Round(index));
        }
        fleet.next_caller();
        fleet
    }

    pub(crate) fn node_count(&self) -> usize {
        self.nodes.len()
    }

    /// Lets time go on.
    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + micros(time);
        while let Some(Reverse((at, _, _))) = self.events.peek() {
            if *at > end {
                break;
            }
            let Some(Reverse((at, _, EventBox(event)))) = self.events.pop() else {
                break;
            };
            self.now = at;
            self.happen(event);
        }
        self.now = end;
    }

    /// The server names a limit, or none any more.
    pub(crate) fn set_limit(&mut self, limit: Option<f64>) {
        self.words.limit = limit;
        self.judge.note_limit(limit, self.now);
    }

    /// Whether a node believes that the server is limited.
    pub(crate) fn believes_limited(&self, index: usize) -> bool {
        self.nodes[index]
            .statements
            .limits
            .rate(&self.server)
            .is_some()
    }

    /// Whether a node knows that the server leaves.
    pub(crate) fn knows_leaving(&self, index: usize) -> bool {
        let node = &self.nodes[index];
        let notices = &node.statements.notices;
        notices.leaving_since(&self.server).is_some()
    }

    /// The nodes that issue permits.
    pub(crate) fn issuers(&self) -> Vec<usize> {
        let now = self.now;
        let nodes = self.nodes.iter().enumerate();
        let issuing = nodes
            .filter(|(_, node)| !node.is_down && node.statements.limits.issues(node.boot(now)));
        issuing.map(|(index, _)| index).collect()
    }

    fn at(&mut self, at: Micros, event: FleetEvent) {
        self.count += 1;
        self.events.push(Reverse((at, self.count, EventBox(event))));
    }

    fn next_caller(&mut self) {
        if self.shape.demand <= 0.0 {
            return;
        }
        let pause = -(1.0 - self.rng.f64()).ln() / self.shape.demand;
        let at = self.now + (pause * 1e6) as Micros + 1;
        self.at(at, FleetEvent::Caller);
    }

    fn happen(&mut self, event: FleetEvent) {
        let held = match &event {
            FleetEvent::Caller
            | FleetEvent::Resume(_)
            | FleetEvent::Start(_)
            | FleetEvent::Restarted(..) => None,
            FleetEvent::Packet(_, to, _) => self.places.get(to).copied(),
            FleetEvent::Round(index)
            | FleetEvent::Send(index, ..)
            | FleetEvent::Answer(index, ..)
            | FleetEvent::AskAgain(index, ..)
            | FleetEvent::AskOver(index, ..) => Some(*index),
        };
        if let Some(index) = held
            && self.nodes[index].stands_still
        {
            self.nodes[index].waiting.push(event);
            return;
        }
        match event {
            FleetEvent::Round(index) => self.round(index),
            FleetEvent::Packet(from, to, bytes) => self.receive(from, to, &bytes),
            FleetEvent::Caller => {
                let index = self.rng.usize(0..self.nodes.len());
                self.next_caller();
                self.call(index);
            }
            FleetEvent::Send(index, life, sending) => self.send(index, life, sending),
            FleetEvent::Answer(index, life, answer) => self.answer(index, life, &answer),
            FleetEvent::Restarted(index, start_time) => {
                self.nodes[index].server.start_time = Some(start_time)
            }
            FleetEvent::AskAgain(index, life, ask) => {
                if self.nodes[index].life == life {
                    self.nodes[index].statements.limits.resend_request(ask);
                    let now = self.now;
                    let packets = self.nodes[index].take_requests(now);
                    self.post_all(index, packets);
                }
            }
            FleetEvent::AskOver(index, life, ask) => self.give_up(index, life, ask),
            FleetEvent::Resume(index) => self.resume(index),
            FleetEvent::Start(index) => self.start_again(index),
        }
    }

    fn round(&mut self, index: usize) {
        if self.nodes[index].is_down {
            return;
        }
        let (start, now) = (self.start, self.now);
        let packets = self.nodes[index].round(start, now);
        self.post_all(index, packets);
        self.at(now + ROUND, FleetEvent::Round(index));
    }

    fn post_all(&mut self, index: usize, packets: Vec<(SocketAddr, Vec<u8>)>) {
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
                self.at(at, FleetEvent::Packet(from, to, bytes.clone()));
            }
        }
    }

    fn receive(&mut self, from: SocketAddr, to: SocketAddr, bytes: &[u8]) {
        let (Some(sender), Some(index)) = (self.places.get(&from), self.places.get(&to)) else {
            return;
        };
        let (sender, index) = (*sender, *index);
        let is_cut = self.nodes[sender].is_cut != self.nodes[index].is_cut;
        let is_deaf = self.deaf_pairs.contains(&(sender, index));
        if is_cut || is_deaf || self.nodes[index].is_down {
            return;
        }
        let (start, now) = (self.start, self.now);
        let (packets, is_answer) = self.nodes[index].receive(bytes, from, start, now);
        self.post_all(index, packets);
        if is_answer {
            for sending in self.nodes[index].take_answered(now) {
                self.begin(index, sending);
            }
        }
    }

    /// A caller's request.
    fn call(&mut self, index: usize) {
        if self.nodes[index].is_down || self.nodes[index].stands_still {
            return;
        }
        self.judge.note_demand(self.now);
        let now = self.now;
        match self.nodes[index].claim(now) {
            node::Claimed::Send(sending) => self.begin(index, sending),
            node::Claimed::Wait(ask) => {
                let packets = self.nodes[index].take_requests(now);
                self.post_all(index, packets);
                let life = self.nodes[index].life;
                for again in [35_000, 70_000] {
                    self.at(now + again, FleetEvent::AskAgain(index, life, ask));
                }
                self.at(now + 100_000, FleetEvent::AskOver(index, life, ask));
            }
            node::Claimed::Refused => {}
        }
    }

    /// A connection is opened, and the request is sent then.
    fn begin(&mut self, index: usize, sending: node::Sending) {
        let pause = if self.rng.f64() < 0.1 {
            self.rng.u64(1_000..200_000)
        } else {
            self.rng.u64(300..3_000)
        };
        let life = self.nodes[index].life;
        self.at(self.now + pause, FleetEvent::Send(index, life, sending));
    }

    fn send(&mut self, index: usize, life: u32, sending: node::Sending) {
        let now = self.now;
        if self.nodes[index].life != life || self.nodes[index].is_down {
            return;
        }
        if !self.nodes[index].may_send(sending, now) {
            return;
        }
        let sent = self.nodes[index].boot(now);
        let server = self.nodes[index].server.clone();
        self.judge.note_arrival(self.nodes[index].started, now);
        if server.start_time == self.server.start_time {
            self.notices.note_arrival(index, server.start_time, now);
        }
        let words = self.words;
        let answer = FleetAnswer {
            server,
            sent,
            rate: words.limit.and_then(RequestRate::new),
            leaving: if words.is_leaving {
                LeaveStatement::Leaves
            } else {
                LeaveStatement::Stays
            },
            rest: words.rest.map_or(RestStatement::None, RestStatement::For),
        };
        let pause = if self.rng.f64() < 0.1 {
            self.rng.u64(2_000..1_500_000)
        } else {
            self.rng.u64(2_000..50_000)
        };
        self.at(now + pause, FleetEvent::Answer(index, life, answer));
    }

    fn answer(&mut self, index: usize, life: u32, answer: &FleetAnswer) {
        let now = self.now;
        if self.nodes[index].life != life || self.nodes[index].is_down {
            return;
        }
        self.nodes[index].answered(answer, now);
        self.notices.note_answer(index, answer, now);
    }

    fn give_up(&mut self, index: usize, life: u32, ask: u64) {
        let now = self.now;
        if self.nodes[index].life == life {
            self.nodes[index].give_up(ask, now);
        }
    }
}

/// A time in microseconds.
pub(crate) fn micros(time: Duration) -> Micros {
    u64::try_from(time.as_micros()).expect("a short time")
}

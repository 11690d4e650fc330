//! What the nodes tell each other of their work at the servers.
//!
//! Each node tells one collector of its data centre what it has in flight. The collector adds up
//! its data centre, swaps sums with the other data centres' collectors, and tells its nodes the
//! total. So a node sends and reads a constant number of messages, and only a collector's grow
//! with the nodes of its data centre. Messages may be lost: each stands for itself, and what is
//! not renewed is forgotten. Long prompts answered in time in a model fleet of 20 nodes: 0.35 with
//! own knowledge alone, 0.73 with the exchange (`tests/gateway_load.rs`).

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::duty_talk::{CENTRE_SILENCE, ClockSpeaker, DutyTalk};
use super::messages::{ExchangeBody, ExchangeMessage, PartPlace, ServerKey, WorkEntry, server_key};
use super::nodes::NodeEntry;
use super::peer_view::{HeardMail, PeerView};
use super::peers::{COLLECTOR_SILENCE, PeerTable};
use super::places::PlaceQueue;
use super::told::ToldWork;
use crate::errors::{Error, Result};
use crate::gateway::news::messages::NewsQuestion;
use crate::gateway::news::{NewsDesk, NewsTaken};
use crate::gateway::servers::ServerEntry;
use crate::gateway::work::ServerWork;
use crate::ids::{DataCentreId, NodeId};

/// Time in which a node that has just become the collector reads the store for the first time.
const FIRST_READING: Duration = Duration::from_millis(500);
/// Rounds after which those that may collect next in other data centres are told too: often enough that
/// what they were told still counts when they take over. Told each round, they made half of the bytes
/// that collectors send to other data centres.
const STANDBY_ROUNDS: u32 = 4;
/// Rounds in which a collector that handed over tells so: enough that one message arrives. Those that
/// don't hear of it wait for it as for a silent one, and follow the store by themselves meanwhile.
const FAREWELL_ROUNDS: u32 = 3;
/// Servers in one message, so that it fits into one packet of the network.
const ENTRIES_MOST: usize = 100;

/// Notices that are kept until they are taken: two of each node of a large data centre in a round.
const NOTICES_MOST: usize = 256;

/// Messages about limits that are kept until they are taken: those of a round in which all nodes of a large
/// data centre ask.
const MAIL_MOST: usize = 1_024;

/// One moment on both clocks.
#[derive(Clone, Copy, Debug)]
pub struct TalkMoment {
    /// The clock by which rounds are timed.
    pub now: Instant,
    /// Time since the VM started, suspension included, by which news of the store are dated.
    pub boot: Duration,
}

/// A sealed notice of another node.
#[derive(Clone, Debug)]
pub struct HeardNotice {
    /// What came.
    pub sealed: Vec<u8>,
    /// When it came. It is opened a round later at most, and told by ages: taken as of then, runs at two
    /// nodes would shift against each other.
    pub came_at: Instant,
}

/// A message and where it goes.
pub type ExchangePacket = (SocketAddr, Vec<u8>);

/// One node's part in the exchange.
#[derive(Debug)]
pub struct LoadExchange {
    peers: PeerTable,
    centres: BTreeMap<DataCentreId, ToldWork>,
    total: ToldWork,
    /// What this node told of itself last.
    own_told: HashMap<ServerKey, ServerWork>,
    places: PlaceQueue,
    /// Sealed notices that this round tells.
    notices: Vec<Vec<u8>>,
    /// Sealed notices that came since they were taken last.
    heard_notices: Vec<HeardNotice>,
    collector: Option<NodeId>,
    collector_heard: Option<Instant>,
    /// Rounds in which this node collected.
    rounds: u32,
    /// Rounds in which this node still tells its data centre that another one collects.
    farewells: u32,
    /// Since when this node collects.
    collecting_since: Option<Instant>,
    /// What goes with the messages for the duties.
    duty_talk: DutyTalk,
    /// Sealed messages about what servers said of themselves that came since they were taken last.
    heard_mail: Vec<HeardMail>,
}

impl LoadExchange {
    /// A node that knows of no other.
    pub fn new(own: NodeEntry) -> Self {
        Self {
            peers: PeerTable::new(own),
            centres: BTreeMap::new(),
            total: ToldWork::default(),
            own_told: HashMap::new(),
            places: PlaceQueue::default(),
            notices: Vec::new(),
            heard_notices: Vec::new(),
            collector: None,
            collector_heard: None,
            rounds: 0,
            farewells: 0,
            collecting_since: None,
            duty_talk: DutyTalk::default(),
            heard_mail: Vec::new(),
        }
    }

    /// Takes over the nodes that have registered.
    pub fn set_nodes(&mut self, entries: Vec<NodeEntry>) {
        self.peers.set_nodes(entries);
    }

    /// How many nodes are known, this one included.
    pub fn node_count(&self) -> usize {
        self.peers.count()
    }

    /// Whether this node collects for its data centre.
    pub fn is_collector(&self) -> bool {
        self.peers.collector().is_none()
    }

    /// The node that collects for this data centre; none where this one does.
    pub fn collector(&self) -> Option<&NodeId> {
        self.peers.collector()
    }

    /// Whether this node let another one collect, as it can't read the store.
    pub fn has_handed_over(&self) -> bool {
        self.peers.is_behind()
    }

    /// What the other nodes have in flight at a server, as far as they told lately.
    pub fn peer_work(&self, server: &ServerEntry, now: Instant) -> ServerWork {
        let key = server_key(server);
        let total = self.total.fresh(key, now);
        let own = self.own_told.get(&key).copied().unwrap_or_default();
        total.minus(&own)
    }

    /// Places of parts that other nodes told of since the last call.
    pub fn take_places(&mut self) -> Vec<PartPlace> {
        self.places.take_news()
    }

    /// This node had a part read by a server that is not its home.
    pub fn tell_places(&mut self, places: impl IntoIterator<Item = PartPlace>) {
        self.places.tell(places);
    }

    /// Sealed notices that the next round tells.
    pub fn tell_notices(&mut self, notices: Vec<Vec<u8>>) {
        self.notices = notices;
    }

    /// The sealed notices that the next round tells.
    pub fn telling(&self) -> &[Vec<u8>] {
        &self.notices
    }

    /// Sealed notices came.
    pub fn hear_notices(&mut self, notices: impl IntoIterator<Item = Vec<u8>>, now: Instant) {
        let room = NOTICES_MOST.saturating_sub(self.heard_notices.len());
        let heard = notices.into_iter().take(room);
        let heard = heard.map(|sealed| HeardNotice {
            sealed,
            came_at: now,
        });
        self.heard_notices.extend(heard);
    }

    /// Sealed notices that came since the last call.
    pub fn take_notices(&mut self) -> Vec<HeardNotice> {
        std::mem::take(&mut self.heard_notices)
    }

    /// This node.
    pub(crate) fn own(&self) -> &NodeEntry {
        self.peers.own()
    }

    /// The other nodes as they are seen now.
    pub(crate) fn peer_view(&self) -> PeerView {
        self.peers.view(self.collecting_since)
    }

    /// Sealed messages about what servers said of themselves that came since the last call.
    pub fn take_mail(&mut self) -> Vec<HeardMail> {
        std::mem::take(&mut self.heard_mail)
    }

    /// Puts a sealed message of that kind into a packet; none where nothing is sealed.
    pub(crate) fn mail_packet(
        &self,
        to: SocketAddr,
        sealed: Vec<Vec<u8>>,
    ) -> Option<ExchangePacket> {
        if sealed.is_empty() {
            return None;
        }
        let message = self.message(ExchangeBody::Limits(sealed));
        let bytes = postcard::to_stdvec(&message).ok()?;
        Some((to, bytes))
    }

    /// What goes with the messages for the duties.
    pub fn duty_talk(&mut self) -> &mut DutyTalk {
        &mut self.duty_talk
    }

    /// Whether this node should hold the fleet's duties: it collects for the data centre whose name comes first
    /// among those that are heard. The reader of the store is the same node, so that no other has to see all.
    pub fn leads(&self, now: Instant) -> bool {
        let own = &self.peers.own().data_centre;
        let is_settled = self
            .collecting_since
            .is_some_and(|since| now.saturating_duration_since(since) > CENTRE_SILENCE);
        is_settled && !self.duty_talk.hears_before(own, now)
    }

    /// The data centres whose nodes are known, this node's own among them.
    pub fn data_centres(&self) -> Vec<DataCentreId> {
        self.peers.data_centres()
    }

    /// How many nodes come before this one in an order that a seed names and all agree on.
    pub fn turn(&self, seed: u64) -> usize {
        self.peers.turn(seed)
    }

    /// One round: what is to be sent, given what this node has in flight.
    pub fn tick<'a>(
        &mut self,
        work: impl Iterator<Item = (&'a ServerEntry, ServerWork)>,
        news: &mut NewsDesk,
        moment: TalkMoment,
    ) -> Vec<ExchangePacket> {
        let now = moment.now;
        self.peers.set_now(now);
        let question = news.ask(moment.boot);
        let gone: Vec<ServerKey> = self.own_told.keys().copied().collect();
        self.own_told = work
            .map(|(server, work)| (server_key(server), work))
            .collect();
        self.watch_collector(now);
        self.watch_reading(news, moment);
        self.places.begin_round();
        if self.farewells > 0 {
            self.farewells -= 1;
            return self.collect(news, question, now);
        }
        let Some(collector) = self.peers.collector().cloned() else {
            return self.collect(news, question, now);
        };
        let mut packets = self.usage_packets(std::slice::from_ref(&collector));
        // What this node no longer has must be told once, or it would count until it lapses.
        let mut entries = self.own_told.clone();
        for key in gone {
            entries.entry(key).or_default();
        }
        packets.extend(self.packets(
            &entries,
            ExchangeBody::Own,
            &[collector],
            news,
            Some(question),
            now,
        ));
        packets
    }

    /// The messages that tell of usage.
    fn usage_packets(&mut self, to: &[NodeId]) -> Vec<ExchangePacket> {
        let mut packets = Vec::new();
        for news in self.duty_talk.take_told_usage() {
            let message = self.message(ExchangeBody::Usage(news));
            let Ok(bytes) = postcard::to_stdvec(&message) else {
                continue;
            };
            for node in to {
                if let Some(member) = self.peers.member_mut(node) {
                    packets.push((member.entry.address, bytes.clone()));
                }
            }
        }
        packets
    }

    /// A message of this node with a body and nothing beside it.
    fn message(&self, body: ExchangeBody) -> ExchangeMessage {
        let own = self.peers.own();
        ExchangeMessage {
            node: own.node.to_string(),
            data_centre: own.data_centre.to_string(),
            capacity: own.capacity,
            is_behind: self.peers.is_behind(),
            body,
            nodes: 0,
            places: Vec::new(),
            notices: Vec::new(),
            demand: Vec::new(),
            clock: None,
            question: None,
            answer: None,
        }
    }

    /// Takes in a message.
    pub fn receive(
        &mut self,
        bytes: &[u8],
        from: SocketAddr,
        news: &mut NewsDesk,
        moment: TalkMoment,
    ) -> Result<NewsTaken> {
        let now = moment.now;
        self.peers.set_now(now);
        let message: ExchangeMessage =
            postcard::from_bytes(bytes).map_err(|_| Error::MalformedMessage)?;
        let node: NodeId = message.node.as_str().into();
        if node == self.peers.own().node {
            return Ok(NewsTaken::default());
        }
        let data_centre: DataCentreId = message.data_centre.as_str().into();
        // A node that came after the last look at the register makes itself known.
        self.peers.meet(NodeEntry {
            node: node.clone(),
            data_centre: data_centre.clone(),
            address: from,
            capacity: message.capacity,
        });
        let collects = self.is_collector();
        let in_charge = self.is_in_charge(&node);
        self.peers.note_heard(&node, message.is_behind);
        let Some(member) = self.peers.member_mut(&node) else {
            return Ok(NewsTaken::default());
        };
        if let Some(question) = message.question {
            member.question = Some((question, moment.boot));
        }
        if let ExchangeBody::Own(entries) = &message.body {
            member.told.tell(entries, now);
        }
        if let Some(clock) = message.clock {
            let is_collector = self.collector.as_ref() == Some(&node);
            let speaker = match &message.body {
                ExchangeBody::Own(_) if collects => Some(ClockSpeaker::Member),
                ExchangeBody::Centre(_) => Some(ClockSpeaker::Centre(
                    usize::try_from(message.nodes).unwrap_or(usize::MAX),
                )),
                ExchangeBody::Total(_) if is_collector => Some(ClockSpeaker::Collector),
                _ => None,
            };
            if let Some(speaker) = speaker {
                self.duty_talk.hear_clock(&node, speaker, clock, moment);
            }
        }
        let passes_on = collects && !matches!(message.body, ExchangeBody::Total(_));
        self.places.hear(message.places, passes_on);
        self.hear_notices(message.notices, now);
        let count = usize::try_from(message.nodes).unwrap_or(usize::MAX);
        match message.body {
            ExchangeBody::Own(_) => {
                self.duty_talk.hear_member_demand(node, message.demand, now);
            }
            ExchangeBody::Usage(news) => {
                self.duty_talk.hear_usage(node, news, moment);
            }
            ExchangeBody::Limits(sealed) => {
                if self.heard_mail.len() < MAIL_MOST {
                    self.heard_mail.push(HeardMail {
                        node,
                        data_centre,
                        sealed,
                    });
                }
            }
            ExchangeBody::Centre(entries) => {
                self.duty_talk
                    .hear_centre(&data_centre, node, message.demand, now);
                let told = self.centres.entry(data_centre.clone()).or_default();
                told.tell(&entries, now);
                self.peers.note_count(data_centre, count);
            }
            ExchangeBody::Total(entries) => {
                if self.collector.as_ref() == Some(&node) {
                    self.collector_heard = Some(now);
                    self.total.tell(&entries, now);
                    self.peers.note_fleet(count);
                }
            }
        }
        let answer = message.answer.map(|answer| news.take(answer, in_charge));
        Ok(answer.unwrap_or_default())
    }

    /// Whether a node reads the store for this one: the collector for its data centre, and one of them
    /// for all collectors.
    fn is_in_charge(&self, node: &NodeId) -> bool {
        if self.is_collector() {
            return self.peers.is_reader(node);
        }
        self.collector.as_ref() == Some(node)
    }

    /// Passes over a collector that has gone silent, until it is heard again.
    fn watch_collector(&mut self, now: Instant) {
        let chosen = self.peers.collector().cloned();
        if chosen != self.collector {
            self.duty_talk.note_collector();
            self.collector = chosen;
            self.collector_heard = Some(now);
            return;
        }
        let is_silent = self
            .collector_heard
            .is_some_and(|heard| now.saturating_duration_since(heard) > COLLECTOR_SILENCE);
        if let Some(collector) = self.collector.clone().filter(|_| is_silent) {
            self.duty_talk.note_collector();
            self.peers.pass_over(&collector);
            self.collector = self.peers.collector().cloned();
            self.collector_heard = Some(now);
        }
    }

    /// Hands over where this node collects and can't read the store.
    ///
    /// A store may turn single nodes away. A collector among them would leave each node of its data
    /// centre to follow the store by itself: 28 nodes made up to 112 calls a second then.
    fn watch_reading(&mut self, news: &NewsDesk, moment: TalkMoment) {
        if !self.is_collector() {
            self.collecting_since = None;
            return;
        }
        let since = *self.collecting_since.get_or_insert(moment.now);
        let collects_for = moment.now.saturating_duration_since(since);
        if collects_for > FIRST_READING && news.is_behind(moment.boot) && !self.peers.is_behind() {
            self.peers.hand_over();
            self.farewells = FAREWELL_ROUNDS;
        }
    }

    /// Adds up the data centre and tells its nodes and the other data centres.
    fn collect(
        &mut self,
        news: &mut NewsDesk,
        question: NewsQuestion,
        now: Instant,
    ) -> Vec<ExchangePacket> {
        let mut sum: HashMap<ServerKey, ServerWork> = self.own_told.clone();
        for member in self.peers.own_centre() {
            member.told.add_to(&mut sum, now);
        }
        let mut total = sum.clone();
        for (centre, told) in &self.centres {
            if *centre != self.peers.own().data_centre {
                told.add_to(&mut total, now);
            }
        }
        self.total.replace(&total, now);
        self.peers.watch_foreign(now);
        let members = self.peers.own_centre();
        let nodes: Vec<NodeId> = members.map(|member| member.entry.node.clone()).collect();
        // A collector that the store turns away lives on what its nodes read by themselves then.
        let asked = question.without_servers();
        let mut packets = self.packets(&total, ExchangeBody::Total, &nodes, news, Some(asked), now);
        self.rounds += 1;
        let collectors = if self.rounds.is_multiple_of(STANDBY_ROUNDS) {
            self.peers.next_foreign_collectors()
        } else {
            self.peers.foreign_collectors()
        };
        let collectors: Vec<NodeId> = collectors.into_iter().collect();
        packets.extend(self.usage_packets(&collectors));
        packets.extend(self.packets(
            &sum,
            ExchangeBody::Centre,
            &collectors,
            news,
            Some(question),
            now,
        ));
        packets
    }

    /// The messages of a round to some nodes. Each gets the answer to its own question, once.
    fn packets(
        &mut self,
        work: &HashMap<ServerKey, ServerWork>,
        body: fn(Vec<WorkEntry>) -> ExchangeBody,
        to: &[NodeId],
        news: &mut NewsDesk,
        question: Option<NewsQuestion>,
        now: Instant,
    ) -> Vec<ExchangePacket> {
        let entries: Vec<WorkEntry> = work
            .iter()
            .map(|(key, work)| WorkEntry::new(*key, work))
            .collect();
        let mut chunks: Vec<Vec<WorkEntry>> =
            entries.chunks(ENTRIES_MOST).map(<[_]>::to_vec).collect();
        if chunks.is_empty() {
            // An empty message still says that its sender is there.
            chunks.push(Vec::new());
        }
        let chunks = chunks.into_iter();
        let mut messages: Vec<ExchangeMessage> = chunks
            .map(|chunk| ExchangeMessage {
                places: self.places.telling().to_vec(),
                ..self.message(body(chunk))
            })
            .collect();
        for message in &mut messages {
            let count = match message.body {
                ExchangeBody::Own(_) | ExchangeBody::Usage(_) | ExchangeBody::Limits(_) => 1,
                ExchangeBody::Centre(_) => self.peers.centre_count(),
                ExchangeBody::Total(_) => self.peers.count(),
            };
            message.nodes = u32::try_from(count).unwrap_or(u32::MAX);
        }
        messages[0].notices.clone_from(&self.notices);
        messages[0].clock = self.duty_talk.clock();
        messages[0].demand = match messages[0].body {
            ExchangeBody::Own(_) => self.duty_talk.own_demand().to_vec(),
            ExchangeBody::Centre(_) => self.duty_talk.centre_demand(now),
            ExchangeBody::Total(_) | ExchangeBody::Usage(_) | ExchangeBody::Limits(_) => Vec::new(),
        };
        let mut packets = Vec::with_capacity(to.len() * messages.len());
        for node in to {
            let Some(member) = self.peers.member_mut(node) else {
                continue;
            };
            let asked = member.question.take();
            messages[0].question = question;
            messages[0].answer = asked.map(|(asked, came_at)| news.answer(&asked, came_at));
            let encoded = messages.iter().filter_map(|m| postcard::to_stdvec(m).ok());
            packets.extend(encoded.map(|bytes| (member.entry.address, bytes)));
        }
        packets
    }
}

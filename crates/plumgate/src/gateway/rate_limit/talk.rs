//! What nodes tell each other about the limits of servers, round by round and ask by ask.

use std::net::SocketAddr;
use std::time::Duration;

use super::issuer::unelected;
use super::messages::{
    LimitNews, LimitReport, PermitAnswer, PermitAsk, PermitVerdict, StatementMessage,
};
use super::observed::{BootTime, LimitSighting};
use super::table::{LimitEvent, ServerLimits};
use super::votes::VoterName;
use crate::errors::{Error, Result};
use crate::gateway::exchange::{ExchangePacket, HeardMail, LoadExchange, PeerPlace};
use crate::gateway::statements::LeaveReport;
use crate::ids::DataCentreId;

/// Reports in one message, some 20 bytes each: it is sealed twice and fits into one packet.
const REPORTS_MOST: usize = 30;
/// Messages in one round to each node: it is told of a thousand servers a second.
const MESSAGES_MOST: usize = 4;
/// How long a node must have stood still to distrust what it then hears: messages may have waited as long.
const STALL: Duration = Duration::from_millis(700);
/// How long it distrusts what loosens a limit: until what is sent after the stall has come.
const DISTRUST_TIME: Duration = Duration::from_secs(1);

/// What became of a message.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MailOutcome {
    /// Whether an ask of this node was answered.
    pub is_answer: bool,
    /// Messages that were forged, too old or malformed.
    pub refused: u64,
    /// Servers that leave, as other nodes told.
    pub(crate) leaves: Vec<LeaveReport>,
    /// Whether a node asked for those that leave.
    pub(crate) wants_leaves: bool,
}

/// The time on both clocks that messages need.
#[derive(Clone, Copy, Debug)]
pub struct MailMoment {
    /// Time since the VM started, suspension included.
    pub boot: BootTime,
    /// Milliseconds of the Unix epoch.
    pub unix_ms: u64,
}

impl ServerLimits {
    /// One round: what this node tells the others. Nothing while no limit is known.
    pub fn talk(&mut self, exchange: &LoadExchange, moment: MailMoment) -> Vec<ExchangePacket> {
        let now = moment.boot;
        self.note_active(now);
        self.desk.forget_old(now);
        self.issuer.forget_old(now);
        self.book.forget_old(now);
        if self.book.is_empty() {
            self.view = None;
            return Vec::new();
        }
        self.view = Some(exchange.peer_view());
        self.review_votes(now);
        self.tell(exchange, moment)
    }

    /// Messages for the asks since the last call.
    pub fn take_asks(
        &mut self,
        exchange: &LoadExchange,
        moment: MailMoment,
    ) -> Vec<ExchangePacket> {
        let asks: Vec<PermitAsk> = self.outgoing.drain(..).collect();
        let packets = asks.into_iter().filter_map(|ask| {
            let to = self.next_hop(&ask)?;
            self.post(exchange, to, StatementMessage::Ask(ask), moment)
        });
        packets.collect()
    }

    /// Takes in messages, and gives those that answer them or pass them on.
    pub fn hear(
        &mut self,
        exchange: &LoadExchange,
        mail: Vec<HeardMail>,
        moment: MailMoment,
    ) -> (Vec<ExchangePacket>, MailOutcome) {
        let mut outcome = MailOutcome::default();
        let mut packets = Vec::new();
        for heard in mail {
            self.note_active(moment.boot);
            let Ok(message) = self.open(&heard, moment) else {
                outcome.refused += 1;
                continue;
            };
            match message {
                StatementMessage::News(news) => {
                    self.hear_news(exchange, &heard, &news, moment.boot)
                }
                StatementMessage::Ask(ask) => packets.extend(self.hear_ask(exchange, ask, moment)),
                StatementMessage::Leaves(leaves) => outcome.leaves.extend(leaves),
                StatementMessage::LeavesWanted => outcome.wants_leaves = true,
                StatementMessage::Answer(answer) => {
                    outcome.is_answer |= self.hear_answer(&answer, moment.boot);
                }
            }
        }
        (packets, outcome)
    }

    /// A node that stood still finds messages that have waited as long, and takes them for new.
    fn note_active(&mut self, now: BootTime) {
        if now.saturating_sub(self.active_at) > STALL {
            self.distrust_until = now + DISTRUST_TIME;
        }
        self.active_at = now;
    }

    fn tell(&mut self, exchange: &LoadExchange, moment: MailMoment) -> Vec<ExchangePacket> {
        let now = moment.boot;
        let Some(view) = &self.view else {
            return Vec::new();
        };
        let mut outgoing: Vec<(SocketAddr, LimitNews)> = Vec::new();
        let followers = u32::try_from(self.votes.followers()).unwrap_or(u32::MAX);
        let vote = |(node, address): &PeerPlace| {
            let news = LimitNews {
                vote: self.stamps.get(node).copied(),
                followers,
                ..LimitNews::default()
            };
            (*address, news)
        };
        let collects = view.collector.is_none();
        match &view.collector {
            Some(collector) => outgoing.push(vote(collector)),
            None => {
                outgoing.extend(view.foreign.values().flatten().map(vote));
                let members = view.members.iter();
                outgoing.extend(members.map(|(_, address)| (*address, LimitNews::default())));
            }
        }
        if collects {
            let stamp = self.rng.u64(..);
            self.votes.begin_round(stamp, now);
            for (_, news) in &mut outgoing {
                news.stamp = Some(stamp);
            }
        }
        let reports = self.book.tell(REPORTS_MOST * MESSAGES_MOST, collects, now);
        let packets = outgoing
            .into_iter()
            .flat_map(|(to, news)| self.post_news(exchange, to, news, &reports, moment));
        packets.collect()
    }

    /// The messages of a round to one node.
    fn post_news(
        &self,
        exchange: &LoadExchange,
        to: SocketAddr,
        news: LimitNews,
        reports: &[LimitReport],
        moment: MailMoment,
    ) -> Vec<ExchangePacket> {
        let mut parts: Vec<LimitNews> = reports
            .chunks(REPORTS_MOST)
            .map(|reports| LimitNews {
                reports: reports.to_vec(),
                ..LimitNews::default()
            })
            .collect();
        match parts.first_mut() {
            Some(first) => {
                first.stamp = news.stamp;
                first.vote = news.vote;
                first.followers = news.followers;
            }
            None => parts.push(news),
        }
        let messages = parts.into_iter().map(StatementMessage::News);
        let packets = messages.filter_map(|message| self.post(exchange, to, message, moment));
        packets.collect()
    }

    pub(crate) fn post(
        &self,
        exchange: &LoadExchange,
        to: SocketAddr,
        message: StatementMessage,
        moment: MailMoment,
    ) -> Option<ExchangePacket> {
        let sealed = self.keys.seal(message, moment.unix_ms);
        exchange.mail_packet(to, sealed)
    }

    fn open(&self, heard: &HeardMail, moment: MailMoment) -> Result<StatementMessage> {
        let mut opened = Err(Error::MalformedMessage);
        for sealed in &heard.sealed {
            opened = self.keys.open(sealed, moment.unix_ms);
            if opened.is_ok() {
                break;
            }
        }
        opened
    }

    fn hear_news(
        &mut self,
        exchange: &LoadExchange,
        heard: &HeardMail,
        news: &LimitNews,
        now: BootTime,
    ) {
        for report in &news.reports {
            self.hear_report(report, report.told(now), exchange.is_collector(), now);
        }
        if let Some(stamp) = news.stamp {
            self.stamps.insert(heard.node.clone(), stamp);
        }
        if let Some(vote) = news.vote {
            let is_own = heard.data_centre == exchange.own().data_centre;
            let voter = if is_own {
                VoterName::Node(heard.node.clone())
            } else {
                VoterName::Centre(heard.data_centre.clone())
            };
            let weight = if is_own { 1 } else { news.followers };
            self.votes.hear(voter, vote, weight as usize);
        }
    }

    fn hear_report(
        &mut self,
        report: &LimitReport,
        sighting: LimitSighting,
        tells: bool,
        now: BootTime,
    ) {
        let known = self.book.rate(report.server);
        let is_looser = known.is_some_and(|known| sighting.rate.is_none_or(|rate| rate > known));
        if is_looser && now < self.distrust_until {
            return;
        }
        self.apply_report(report, sighting, tells, now);
    }

    fn apply_report(
        &mut self,
        report: &LimitReport,
        sighting: LimitSighting,
        tells: bool,
        now: BootTime,
    ) {
        let change = self.book.apply_report(report, sighting, tells, now);
        let event = change.map(|change| LimitEvent {
            server: report.server,
            change,
            age: now.saturating_sub(sighting.seen),
        });
        self.events.extend(event);
    }

    /// Judges an ask, or passes it on towards the node that does.
    fn hear_ask(
        &mut self,
        exchange: &LoadExchange,
        ask: PermitAsk,
        moment: MailMoment,
    ) -> Option<ExchangePacket> {
        let now = moment.boot;
        self.hear_report(&ask.report, ask.report.told(now), true, now);
        self.view.get_or_insert_with(|| exchange.peer_view());
        let view = self.view.as_ref()?;
        if view.collector.is_some() {
            // The sender follows another collector than this node.
            return self.reply(exchange, &ask, unelected(), moment);
        }
        if *view.own.data_centre != *ask.centre {
            let to = self.next_hop(&ask)?;
            return self.post(exchange, to, StatementMessage::Ask(ask), moment);
        }
        let verdict = self.judge_once(&ask, now);
        self.reply(exchange, &ask, verdict, moment)
    }

    /// Judges an ask that may come more than once.
    fn judge_once(&mut self, ask: &PermitAsk, now: BootTime) -> PermitVerdict {
        if let Some(verdict) = self.issuer.judged(ask.id) {
            return verdict;
        }
        let verdict = self.judge(ask.report.server, ask.urgency, now);
        self.issuer.note_judged(ask.id, verdict, now);
        verdict
    }

    fn reply(
        &self,
        exchange: &LoadExchange,
        ask: &PermitAsk,
        verdict: PermitVerdict,
        moment: MailMoment,
    ) -> Option<ExchangePacket> {
        let key = ask.report.server;
        let limit = self.book.limit(key);
        let answer = PermitAnswer {
            id: ask.id,
            verdict,
            report: limit.map(|limit| LimitReport::new(key, limit, moment.boot)),
        };
        self.post(
            exchange,
            ask.origin,
            StatementMessage::Answer(answer),
            moment,
        )
    }

    /// Takes in the answer to an ask of this node; whether it is one.
    fn hear_answer(&mut self, answer: &PermitAnswer, now: BootTime) -> bool {
        let Some((ask, asked)) = self.desk.unanswered(answer.id) else {
            return false;
        };
        let server = ask.report.server;
        if let Some(report) = answer.report.filter(|report| report.server == server) {
            // The issuer answered after it was asked: nothing that it knows is older than that.
            let sighting = report.between(asked, now);
            self.apply_report(&report, sighting, false, now);
        }
        self.desk.answer(answer, now);
        true
    }

    /// Where an ask goes next: to the issuer where this node knows it, else to this node's collector.
    fn next_hop(&self, ask: &PermitAsk) -> Option<SocketAddr> {
        let view = self.view.as_ref()?;
        if let Some((_, collector)) = &view.collector {
            return Some(*collector);
        }
        let centre = DataCentreId::from(ask.centre.as_str());
        let (_, collector) = view.foreign.get(&centre)?.as_ref()?;
        Some(*collector)
    }
}

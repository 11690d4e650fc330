//! What one node knows of requests that end servers, and what it does with them.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::answers::RecentAnswers;
use super::doubts::{DoubtQueue, DoubtfulRun};
use super::evidence::{EndCount, EndEvidence, EndHistory, EndSign, EvidenceSource};
use super::flights::FlightTable;
use super::identity::RequestIdentity;
use super::life_signs::LifeSigns;
use super::notice::TELL_ROUNDS;
use super::rule::{HOLD_TIME, SuspectState, TURN, has_turn};
use super::verdict::{
    HoldReason, KeepChange, LinkAge, ReleaseReason, RequestHold, RequestVerdict, RunFinding,
    RunTicket, SuspectEvent,
};
use crate::gateway::config::GatewayConfig;
use crate::gateway::exchange::messages::{ServerKey, server_key};
use crate::gateway::notice_keys::NoticeKeys;
use crate::gateway::servers::ServerEntry;
use crate::gateway::work::WorkEnd;

/// Requests that are remembered, some 400 bytes each: those that were cut at a hundred ends.
const RECORDS_MOST: usize = 1_024;
/// Share of them that one workspace may have once all are taken: one part in this many.
const WORKSPACE_PART: usize = 4;
/// How soon after an end an answer of the same server shows that it lives. Later it may come from the next
/// process, as not all entries say when a server was born; none is back sooner.
const ALIVE_SPAN: Duration = Duration::from_millis(1_500);
/// How long a run that goes alone keeps others waiting, where nothing is heard of its end.
const RUN_MOST: Duration = Duration::from_secs(10);
/// Events that wait to be logged.
const EVENTS_MOST: usize = 64;

/// What is known of one request.
#[derive(Debug, Default)]
pub(crate) struct SuspectRecord {
    pub(crate) history: EndHistory,
    pub(crate) state: SuspectState,
    /// Since when this node has it at a server, alone.
    running_since: Option<Instant>,
    /// This node's place in the order of turns; none before the nodes are known.
    pub(crate) place: Option<usize>,
    /// For how many more rounds it is told.
    pub(crate) tell_rounds: u32,
}

/// What one node knows of requests that end servers.
///
/// An ordinary request costs one look into an empty table, and one by its digest where the table is not
/// empty; nothing here grows with the nodes.
#[derive(Debug)]
pub struct QuarantineTable {
    pub(crate) records: HashMap<RequestIdentity, SuspectRecord>,
    /// When the servers ended that anything is believed of.
    ended: HashMap<ServerKey, Instant>,
    flights: FlightTable,
    doubts: DoubtQueue,
    signs: LifeSigns,
    answers: RecentAnswers,
    pub(crate) keys: NoticeKeys,
    /// Whether there may be other nodes, whose turn it may be.
    has_peers: bool,
    /// Nodes among which the turn goes round.
    pub(crate) nodes: usize,
    /// When all that is not free was told last.
    pub(crate) retold_at: Option<Instant>,
    events: Vec<SuspectEvent>,
    /// Changes that the store has not been told of.
    pub(crate) changes: Vec<KeepChange>,
}

impl QuarantineTable {
    /// A table that knows nothing.
    pub fn new(has_peers: bool) -> Self {
        Self {
            records: HashMap::new(),
            ended: HashMap::new(),
            flights: FlightTable::default(),
            doubts: DoubtQueue::default(),
            signs: LifeSigns::default(),
            answers: RecentAnswers::default(),
            keys: NoticeKeys::default(),
            has_peers,
            nodes: 1,
            retold_at: None,
            events: Vec::new(),
            changes: Vec::new(),
        }
    }

    /// A configuration is in force: its keys seal what nodes tell each other.
    pub fn set_config(&mut self, config: &GatewayConfig) {
        self.keys.set_config(config);
    }

    /// What may be done with a request.
    pub fn judge(&self, identity: RequestIdentity, now: Instant) -> RequestVerdict {
        let Some(record) = self.records.get(&identity) else {
            return RequestVerdict::Send;
        };
        match record.state {
            SuspectState::Free => RequestVerdict::Send,
            SuspectState::OneByOne => self.judge_turn(record, now),
            SuspectState::HeldBack => {
                let until = record.history.last_end().map(|end| end + HOLD_TIME);
                let left = until.map(|until| until.saturating_duration_since(now));
                RequestVerdict::Hold(RequestHold {
                    reason: HoldReason::Quarantined,
                    retry_after: left.unwrap_or(HOLD_TIME),
                })
            }
        }
    }

    fn judge_turn(&self, record: &SuspectRecord, now: Instant) -> RequestVerdict {
        let awaits = |pause: Duration| {
            RequestVerdict::Hold(RequestHold {
                reason: HoldReason::AwaitsTurn,
                retry_after: pause,
            })
        };
        let is_running = record
            .running_since
            .is_some_and(|since| now.saturating_duration_since(since) < RUN_MOST);
        if is_running {
            return awaits(TURN);
        }
        let place = record.place.or((!self.has_peers).then_some(0));
        let since_end = record
            .history
            .last_end()
            .map(|end| now.saturating_duration_since(end));
        match place.zip(since_end) {
            Some((place, since)) if has_turn(place, self.nodes, since) => RequestVerdict::SendApart,
            _ => awaits(TURN),
        }
    }

    /// A request is about to be sent to a server, unless it may not.
    pub fn begin(
        &mut self,
        identity: RequestIdentity,
        server: &ServerEntry,
        link: LinkAge,
        now: Instant,
    ) -> std::result::Result<RunTicket, RequestHold> {
        match self.judge(identity, now) {
            RequestVerdict::Send => {}
            RequestVerdict::SendApart => {
                if let Some(record) = self.records.get_mut(&identity) {
                    record.running_since = Some(now);
                }
            }
            RequestVerdict::Hold(hold) => return Err(hold),
        }
        let server = server_key(server);
        let (since, silent_since) = match link {
            LinkAge::Fresh => (Some(now), Some(self.signs.last_before(server, now))),
            LinkAge::Kept { answered } => (answered, answered),
        };
        let ticket = RunTicket {
            identity,
            server,
            began: now,
            since,
            silent_since,
        };
        self.flights.begin(&ticket);
        Ok(ticket)
    }

    /// A request that was sent has ended.
    pub fn finish(&mut self, ticket: RunTicket, end: WorkEnd, now: Instant) -> RunFinding {
        self.flights
            .end(ticket.server, ticket.identity, ticket.began);
        let is_in_doubt = matches!(end, WorkEnd::Broken | WorkEnd::Silent | WorkEnd::Unjudged);
        if let Some(run) = ticket.run(end, now).filter(|_| is_in_doubt) {
            return self.doubt(run, end, now);
        }
        self.note_over(ticket.identity);
        match end {
            WorkEnd::Answered => {
                self.answers.note(ticket.identity, now);
                self.signs.note(ticket.server, now);
                self.note_alive(ticket.server, ticket.began, now);
                self.release(ticket.identity, ReleaseReason::Answered, now);
            }
            WorkEnd::Failed | WorkEnd::Full => {
                self.signs.note(ticket.server, now);
                self.note_alive(ticket.server, ticket.began, now);
            }
            WorkEnd::Restarted => {
                if let Some(run) = ticket.run(end, now) {
                    self.believe(run, EndSign::Restarted, now);
                    return RunFinding::ServerEnded(EndSign::Restarted);
                }
            }
            WorkEnd::Broken
            | WorkEnd::Silent
            | WorkEnd::Unjudged
            | WorkEnd::Unsent
            | WorkEnd::Refused
            | WorkEnd::Unreachable => {}
        }
        RunFinding::Nothing
    }

    fn doubt(&mut self, run: DoubtfulRun, end: WorkEnd, now: Instant) -> RunFinding {
        if let Some(sign) = self.doubts.note_run(run, now) {
            self.believe(run, sign, now);
            return RunFinding::ServerEnded(sign);
        }
        // What only stayed silent may go on for long, and a caller that left says nothing of the server. A
        // server that went dark shows by its entry.
        if end != WorkEnd::Broken {
            self.note_over(run.identity);
            return RunFinding::Nothing;
        }
        if self.doubts.ask(run.server, now) {
            return RunFinding::AskServer;
        }
        RunFinding::Nothing
    }

    /// A request that goes one by one is no longer at a server.
    fn note_over(&mut self, identity: RequestIdentity) {
        if let Some(record) = self.records.get_mut(&identity) {
            record.running_since = None;
        }
    }

    fn believe(&mut self, run: DoubtfulRun, sign: EndSign, now: Instant) {
        self.note_over(run.identity);
        let evidence = EndEvidence {
            server: run.server,
            sign,
            began: run.began,
            ended: run.ended,
            is_refuted: false,
        };
        self.take_evidence(run.identity, evidence, EvidenceSource::Own, now);
    }

    /// A server went without having drained, started again, or its machine refuses connections: what ended there in
    /// doubt was its end, and what is under way may be. Gives back the requests.
    pub fn note_gone(
        &mut self,
        server: &ServerEntry,
        sign: EndSign,
        now: Instant,
    ) -> Vec<RequestIdentity> {
        let key = server_key(server);
        let mut runs = self.doubts.note_gone(key, sign, now);
        if sign == EndSign::Lapsed {
            // Their callers may wait for long. Where the server lives on, their answers take it back.
            runs.extend(self.flights.at(key, now));
        }
        for run in &runs {
            self.believe(*run, sign, now);
        }
        runs.iter().map(|run| run.identity).collect()
    }

    /// A server gave no answer whether it lives; its entry will show.
    pub fn note_unanswered(&mut self, server: &ServerEntry) {
        self.doubts.note_unanswered(server_key(server));
    }

    /// Whether an end is noted of a request: by a connection that was just opened, what comes next shows more.
    pub fn is_noted(&self, identity: RequestIdentity) -> bool {
        self.records.contains_key(&identity)
    }

    /// Whether it will show within moments that one more server ended under a request, so that it should not
    /// be sent on before. Only of a request that something is noted of: any other may be sent on at once.
    pub fn is_asking(&self, identity: RequestIdentity, now: Instant) -> bool {
        self.is_noted(identity) && self.doubts.is_asking(identity, now)
    }

    /// A server's entry is there again that had gone.
    pub fn note_back(&mut self, server: &ServerEntry) {
        self.doubts.note_back(server_key(server));
    }

    /// A server took a connection that was opened at a moment.
    pub fn note_reached(&mut self, server: &ServerEntry, opened: Instant, now: Instant) {
        self.note_alive(server_key(server), opened, now);
    }

    /// A server answered something that was sent at a moment.
    fn note_alive(&mut self, server: ServerKey, began: Instant, now: Instant) {
        for run in self.doubts.note_alive(server, began) {
            self.note_over(run.identity);
        }
        let Some(ended) = self.ended.get(&server).copied() else {
            return;
        };
        let is_proof = began >= ended && now.saturating_duration_since(ended) <= ALIVE_SPAN;
        if !is_proof {
            return;
        }
        self.ended.remove(&server);
        let mut refuted = Vec::new();
        for (identity, record) in &mut self.records {
            if record.history.refute_server(server) {
                record.tell_rounds = TELL_ROUNDS;
                refuted.push(*identity);
            }
        }
        for identity in refuted {
            self.update(identity, ReleaseReason::Refuted, now);
        }
    }

    /// A request does no harm: its ends are none of its doing.
    fn release(&mut self, identity: RequestIdentity, reason: ReleaseReason, now: Instant) {
        let Some(record) = self.records.get_mut(&identity) else {
            return;
        };
        if !record.history.refute_all() {
            return;
        }
        record.tell_rounds = TELL_ROUNDS;
        let before = self.update(identity, reason, now);
        // At its time's end all nodes let it go at once; whoever reads the store next removes it there.
        if before == SuspectState::HeldBack && reason != ReleaseReason::Expired {
            self.note_change(KeepChange::Forget(identity.name()));
        }
    }

    /// An operator lifts what is held against requests, by the text that logs show of them. Tells how many
    /// there were.
    pub fn lift(&mut self, digest: &str, now: Instant) -> usize {
        let named = self.records.keys().copied();
        let named: Vec<RequestIdentity> = named
            .filter(|identity| identity.to_string() == digest)
            .collect();
        for identity in &named {
            self.release(*identity, ReleaseReason::Lifted, now);
        }
        named.len()
    }

    /// Takes in that a server ended, and tells whether it was news.
    pub(crate) fn take_evidence(
        &mut self,
        identity: RequestIdentity,
        mut evidence: EndEvidence,
        source: EvidenceSource,
        now: Instant,
    ) -> bool {
        // It is told as refuted, so that the nodes which did not answer it learn that others did.
        let is_answered = self.answers.speak_for(identity, now);
        let is_objection = is_answered && !evidence.is_refuted;
        evidence.is_refuted |= is_answered;
        if !self.records.contains_key(&identity) {
            self.make_room(identity);
        }
        let record = self.records.entry(identity).or_default();
        if !record.history.add(evidence) {
            return false;
        }
        if is_objection || matches!(source, EvidenceSource::Own | EvidenceSource::ToldOn) {
            record.tell_rounds = TELL_ROUNDS;
        }
        if !evidence.is_refuted {
            let ended = self.ended.entry(evidence.server).or_insert(evidence.ended);
            *ended = (*ended).max(evidence.ended);
        }
        let before = self.update(identity, ReleaseReason::Refuted, now);
        let is_held = self.state(identity) == SuspectState::HeldBack;
        if source == EvidenceSource::Own && is_held && before != SuspectState::HeldBack {
            self.note_change(KeepChange::Keep(identity));
        }
        true
    }

    fn state(&self, identity: RequestIdentity) -> SuspectState {
        let record = self.records.get(&identity);
        record.map(|record| record.state).unwrap_or_default()
    }

    /// Judges a request anew, and gives back the state that it had.
    fn update(
        &mut self,
        identity: RequestIdentity,
        reason: ReleaseReason,
        now: Instant,
    ) -> SuspectState {
        let Some(record) = self.records.get_mut(&identity) else {
            return SuspectState::Free;
        };
        let count = record.history.count();
        let state = SuspectState::judge(count);
        let before = std::mem::replace(&mut record.state, state);
        // The order in which nodes have their turn is drawn anew at each end.
        record.place = None;
        if before == state {
            return before;
        }
        let is_less = (before, state) == (SuspectState::HeldBack, SuspectState::OneByOne)
            || state == SuspectState::Free;
        let evidence = record.history.ends().iter().map(|end| {
            let age = now.saturating_duration_since(end.ended).as_millis();
            (end.server, end.sign, u64::try_from(age).unwrap_or(u64::MAX))
        });
        let event = SuspectEvent {
            identity,
            state,
            release: is_less.then_some(reason),
            count,
            evidence: evidence.collect(),
        };
        if self.events.len() < EVENTS_MOST {
            self.events.push(event);
        }
        before
    }

    /// Makes room for one more request: the workspace that has most of them gives way to itself, so that
    /// nobody's many requests hide another's.
    fn make_room(&mut self, newest: RequestIdentity) {
        if self.records.len() < RECORDS_MOST {
            return;
        }
        let own = self
            .records
            .keys()
            .filter(|held| held.is_of_workspace(&newest));
        let crowds = own.count() * WORKSPACE_PART > RECORDS_MOST;
        let candidates = self.records.iter();
        let candidates = candidates.filter(|(held, _)| !crowds || held.is_of_workspace(&newest));
        let least = candidates.min_by_key(|(_, record)| {
            let is_held = record.state != SuspectState::Free;
            (is_held, record.history.last_change())
        });
        if let Some(identity) = least.map(|(identity, _)| *identity) {
            self.records.remove(&identity);
        }
    }

    /// Time goes on: what is old is forgotten.
    pub(crate) fn tick(&mut self, now: Instant) {
        self.signs.tick(now);
        if self.records.is_empty() {
            return;
        }
        let is_old = |at: Instant| now.saturating_duration_since(at) > HOLD_TIME;
        self.ended.retain(|_, at| !is_old(*at));
        let old = self.records.iter().filter(|(_, record)| {
            let history = &record.history;
            let last = history.last_end().or(history.last_change());
            last.is_none_or(is_old)
        });
        let old: Vec<RequestIdentity> = old.map(|(identity, _)| *identity).collect();
        for identity in old {
            self.release(identity, ReleaseReason::Expired, now);
            self.records.remove(&identity);
        }
    }

    /// What happened since the last call.
    pub fn take_events(&mut self) -> Vec<SuspectEvent> {
        std::mem::take(&mut self.events)
    }

    /// How many requests are held back.
    pub fn held_count(&self) -> usize {
        let held = self.records.values();
        held.filter(|record| record.state == SuspectState::HeldBack)
            .count()
    }

    /// How many requests are remembered.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether nothing is held against any request.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// The requests that are not sent like any other, with what is done with them and what is believed.
    pub fn suspects(&self) -> impl Iterator<Item = (RequestIdentity, SuspectState, EndCount)> {
        let suspects = self.records.iter();
        let suspects = suspects.filter(|(_, record)| record.state != SuspectState::Free);
        suspects.map(|(identity, record)| (*identity, record.state, record.history.count()))
    }
}

//! Table of the suspected requests of one node, and the decisions on them.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::answers::RecentAnswers;
use super::blame::BlameIndex;
use super::evidence::{CrashCount, CrashEvidence, CrashHistory, CrashSign, EvidenceSource};
use super::identity::RequestIdentity;
use super::in_doubt::{InDoubtQueue, InDoubtRun};
use super::in_flight::InFlightTable;
use super::notice::SEND_ROUNDS;
use super::response_times::ResponseTimes;
use super::rule::{BLOCK_DURATION, SuspectState, TURN_DURATION, has_turn};
use super::run_suspects::RunSuspects;
use super::verdict::{
    BlockReason, BlockedRequest, ConnectionKind, ReleaseReason, RequestVerdict, RunFinding,
    RunTicket, SuspectEvent, VerdictChange,
};
use crate::gateway::config::GatewayConfig;
use crate::gateway::exchange::messages::{ServerKey, server_key};
use crate::gateway::notice_keys::NoticeKeys;
use crate::gateway::servers::ServerEntry;
use crate::gateway::work::WorkOutcome;

/// Maximum number of recorded requests, some 400 bytes each: as many as a hundred crashes interrupt.
const MAX_RECORDS: usize = 1_024;
/// Once the table is full, a workspace may hold at most one in this many of its records.
const WORKSPACE_DIVISOR: usize = 4;
/// Time after a crash within which a response of the same server refutes the crash. A later response may come
/// from the restarted process, as not all entries carry a start time; no server restarts sooner than this.
const ALIVE_WINDOW: Duration = Duration::from_millis(1_500);
/// Time for which an isolated run blocks other callers of the request if its end is not reported.
const MAX_ISOLATED_RUN: Duration = Duration::from_secs(10);
/// Maximum number of events that wait to be logged.
const MAX_EVENTS: usize = 64;

/// Record of one request.
#[derive(Debug, Default)]
pub(crate) struct SuspectRecord {
    pub(crate) history: CrashHistory,
    /// State by all of its crashes.
    pub(crate) own: SuspectState,
    /// State by the crashes that no other suspect explains.
    pub(crate) state: SuspectState,
    /// Since when this node has an isolated run of the request in flight.
    isolated_since: Option<Instant>,
    /// Position of this node in the order of turns; none before the nodes are known.
    pub(crate) position: Option<usize>,
    /// Number of rounds in which the record is still to be sent.
    pub(crate) rounds_left: u32,
}

impl SuspectRecord {
    /// Returns whether there are crashes that are not refuted.
    fn has_crashes(&self) -> bool {
        self.history.last_crash().is_some()
    }
}

/// Suspected requests and prompt parts of one node.
///
/// An ordinary request costs one check of an empty map, or one lookup for each of its suspects if the map is not empty.
/// No cost here grows with the number of nodes.
#[derive(Debug)]
pub struct QuarantineTable {
    pub(crate) records: HashMap<RequestIdentity, SuspectRecord>,
    pub(crate) blame: BlameIndex,
    /// Latest crash of each server for which there is evidence.
    crash_times: HashMap<ServerKey, Instant>,
    in_flight: InFlightTable,
    in_doubt: InDoubtQueue,
    responses: ResponseTimes,
    answers: RecentAnswers,
    part_answers: RecentAnswers,
    pub(crate) keys: NoticeKeys,
    /// Whether there may be other nodes, which then have turns too.
    has_peers: bool,
    /// Number of nodes among which turns rotate.
    pub(crate) node_count: usize,
    /// When the evidence on all requests that are not `SuspectState::Free` was last sent again.
    pub(crate) resent_at: Option<Instant>,
    events: Vec<SuspectEvent>,
    /// Changes that are not yet written to the store.
    pub(crate) changes: Vec<VerdictChange>,
}

impl QuarantineTable {
    /// Creates an empty table. With `has_peers`, other nodes may have turns too.
    pub fn new(has_peers: bool) -> Self {
        Self {
            records: HashMap::new(),
            blame: BlameIndex::default(),
            crash_times: HashMap::new(),
            in_flight: InFlightTable::default(),
            in_doubt: InDoubtQueue::default(),
            responses: ResponseTimes::default(),
            answers: RecentAnswers::default(),
            part_answers: RecentAnswers::default(),
            keys: NoticeKeys::default(),
            has_peers,
            node_count: 1,
            resent_at: None,
            events: Vec::new(),
            changes: Vec::new(),
        }
    }

    /// Applies a configuration, whose keys seal the notices between nodes.
    pub fn set_config(&mut self, config: &GatewayConfig) {
        self.keys.set_config(config);
    }

    /// Returns what may be done with a request.
    pub fn verdict(&self, suspects: impl Into<RunSuspects>, now: Instant) -> RequestVerdict {
        let suspects = suspects.into();
        let Some(restriction) = self.restriction(&suspects) else {
            return RequestVerdict::Send;
        };
        let Some(record) = self.records.get(&restriction.identity) else {
            return RequestVerdict::Send;
        };
        match restriction.state {
            SuspectState::Free => RequestVerdict::Send,
            SuspectState::OneByOne => self.check_turn(&suspects, restriction.identity, now),
            SuspectState::Blocked => {
                let until = record.history.last_crash().map(|at| at + BLOCK_DURATION);
                let remaining = until.map(|until| until.saturating_duration_since(now));
                RequestVerdict::Block(BlockedRequest {
                    reason: BlockReason::Quarantined,
                    suspect: restriction.identity,
                    retry_after: remaining.unwrap_or(BLOCK_DURATION),
                })
            }
        }
    }

    fn check_turn(
        &self,
        suspects: &RunSuspects,
        suspect: RequestIdentity,
        now: Instant,
    ) -> RequestVerdict {
        let block = |pause: Duration| {
            RequestVerdict::Block(BlockedRequest {
                reason: BlockReason::AwaitsTurn,
                suspect,
                retry_after: pause,
            })
        };
        let records = suspects
            .iter()
            .filter_map(|identity| self.records.get(&identity));
        let mut isolated = records.filter_map(|record| record.isolated_since);
        if isolated.any(|since| now.saturating_duration_since(since) < MAX_ISOLATED_RUN) {
            return block(TURN_DURATION);
        }
        let record = self.records.get(&suspect);
        let position = record.and_then(|record| record.position);
        let position = position.or((!self.has_peers).then_some(0));
        let last_crash = record.and_then(|record| record.history.last_crash());
        let since_crash = last_crash.map(|at| now.saturating_duration_since(at));
        match position.zip(since_crash) {
            Some((position, since)) if has_turn(position, self.node_count, since) => {
                RequestVerdict::SendIsolated
            }
            _ => block(TURN_DURATION),
        }
    }

    /// Begins a run of a request at a server.
    ///
    /// Fails if the request may not be sent now.
    pub fn begin(
        &mut self,
        suspects: impl Into<RunSuspects>,
        server: &ServerEntry,
        connection: ConnectionKind,
        now: Instant,
    ) -> std::result::Result<RunTicket, BlockedRequest> {
        let suspects = suspects.into();
        match self.verdict(&suspects, now) {
            RequestVerdict::Send => {}
            RequestVerdict::SendIsolated => self.set_isolated_run(&suspects, Some(now)),
            RequestVerdict::Block(blocked) => return Err(blocked),
        }
        let server = server_key(server);
        let (earliest_crash, earliest_silent_crash) = match connection {
            ConnectionKind::New => (
                Some(now),
                Some(self.responses.earliest_silence(server, now)),
            ),
            ConnectionKind::Reused { answered } => (answered, answered),
        };
        let ticket = RunTicket {
            suspects,
            server,
            began: now,
            earliest_crash,
            earliest_silent_crash,
        };
        self.in_flight.insert(&ticket);
        Ok(ticket)
    }

    /// Records that the server has sent nothing for longer than it may; the run goes on.
    pub fn on_silent_run(&mut self, ticket: &RunTicket) {
        self.in_flight.on_silent(ticket);
    }

    /// Ends a run and evaluates its outcome as evidence on the request and the server.
    pub fn finish(&mut self, ticket: RunTicket, outcome: WorkOutcome, now: Instant) -> RunFinding {
        self.in_flight.remove(&ticket);
        let is_unexplained = matches!(
            outcome,
            WorkOutcome::Broken | WorkOutcome::TimedOut | WorkOutcome::Inconclusive
        );
        if let Some(run) = ticket.in_doubt_run(outcome, now).filter(|_| is_unexplained) {
            return self.on_in_doubt_run(run, outcome, now);
        }
        self.set_isolated_run(&ticket.suspects, None);
        match outcome {
            WorkOutcome::Answered => {
                self.responses.record(ticket.server, now);
                self.on_server_alive(ticket.server, ticket.began, now);
                for identity in ticket.suspects.iter() {
                    self.recent_answers(identity).record(identity, now);
                    self.release(identity, ReleaseReason::Answered, now);
                }
            }
            WorkOutcome::Failed | WorkOutcome::Full => {
                self.responses.record(ticket.server, now);
                self.on_server_alive(ticket.server, ticket.began, now);
            }
            WorkOutcome::Restarted => {
                if let Some(run) = ticket.in_doubt_run(outcome, now) {
                    self.record_crash(&run, CrashSign::Restarted, now);
                    return RunFinding::ServerCrashed(CrashSign::Restarted);
                }
            }
            WorkOutcome::Broken
            | WorkOutcome::TimedOut
            | WorkOutcome::Inconclusive
            | WorkOutcome::Unsent
            | WorkOutcome::Refused
            | WorkOutcome::Unreachable => {}
        }
        RunFinding::Nothing
    }

    fn on_in_doubt_run(
        &mut self,
        run: InDoubtRun,
        outcome: WorkOutcome,
        now: Instant,
    ) -> RunFinding {
        if let Some(sign) = self.in_doubt.add_run(run.clone(), now) {
            self.record_crash(&run, sign, now);
            return RunFinding::ServerCrashed(sign);
        }
        // The server may still be working on a silent run, and a caller's disconnect is no evidence about the
        // server. A server that stopped responding is detected by the lapse of its entry.
        if outcome != WorkOutcome::Broken {
            self.set_isolated_run(&run.suspects, None);
            return RunFinding::Nothing;
        }
        if self.in_doubt.start_probe(run.server, now) {
            return RunFinding::ProbeServer;
        }
        RunFinding::Nothing
    }

    /// Records since when an isolated run of a request is in flight; `None` if there is none any more.
    fn set_isolated_run(&mut self, suspects: &RunSuspects, since: Option<Instant>) {
        if self.records.is_empty() {
            return;
        }
        for identity in suspects.iter() {
            if let Some(record) = self.records.get_mut(&identity) {
                record.isolated_since = since;
            }
        }
    }

    fn recent_answers(&mut self, identity: RequestIdentity) -> &mut RecentAnswers {
        if identity.is_prompt_part() {
            &mut self.part_answers
        } else {
            &mut self.answers
        }
    }

    fn record_crash(&mut self, run: &InDoubtRun, sign: CrashSign, now: Instant) {
        self.set_isolated_run(&run.suspects, None);
        let evidence = CrashEvidence {
            server: run.server,
            sign,
            began: run.began,
            ended: run.ended,
            is_refuted: false,
        };
        for identity in run.suspects.iter() {
            self.merge_evidence(identity, evidence, EvidenceSource::Local, now);
        }
    }

    /// Handles a server that was removed without having drained, that restarted, or whose machine refuses
    /// connections. Its in-doubt runs are explained by a crash, and if its entry lapsed, its in-flight runs
    /// too. Returns the requests of these runs.
    pub fn on_server_crashed(
        &mut self,
        server: &ServerEntry,
        sign: CrashSign,
        now: Instant,
    ) -> Vec<RequestIdentity> {
        let key = server_key(server);
        let mut runs = self.in_doubt.on_server_crashed(key, sign, now);
        if sign == CrashSign::Lapsed {
            // Callers may wait for a long time until these runs end. If the server is alive after all, the
            // answers refute the evidence.
            runs.extend(self.in_flight.runs_at(key, now));
        }
        for run in &runs {
            self.record_crash(run, sign, now);
        }
        runs.iter().map(|run| run.suspects.request()).collect()
    }

    /// Returns whether runs at a server are in doubt, so that a sign of its crash would count against their requests.
    pub fn has_in_doubt_runs(&self, server: &ServerEntry) -> bool {
        self.in_doubt.has_runs(server_key(server))
    }

    /// Handles a probe that got no response; whether the server's entry lapses then decides.
    pub fn on_probe_unanswered(&mut self, server: &ServerEntry) {
        self.in_doubt.on_probe_unanswered(server_key(server));
    }

    /// Returns whether there is evidence against a request. Such a request should use a new connection, as
    /// the outcome of its run is then more conclusive.
    pub fn has_evidence(&self, suspects: impl Into<RunSuspects>) -> bool {
        let suspects = suspects.into();
        if self.records.is_empty() {
            return false;
        }
        // Evidence against a popular part is recorded at each crash and refuted by its other requests.
        let is_counted = |part| {
            self.records
                .get(part)
                .is_some_and(SuspectRecord::has_crashes)
        };
        self.records.contains_key(&suspects.request()) || suspects.parts().iter().any(is_counted)
    }

    /// Returns whether a probe is in progress that may add a crash to the evidence against a request, so that a
    /// retry should wait for it. Returns false for a request without evidence, which may be retried at once.
    pub fn is_probing(&self, suspects: impl Into<RunSuspects>, now: Instant) -> bool {
        let suspects = suspects.into();
        self.has_evidence(&suspects) && self.in_doubt.is_probing(suspects.request(), now)
    }

    /// Handles a server whose entry is listed again.
    pub fn on_server_listed(&mut self, server: &ServerEntry) {
        self.in_doubt.on_server_listed(server_key(server));
    }

    /// Handles a connection that was opened at `opened` and accepted by the server's machine, which a hung server's
    /// machine does too.
    pub fn on_server_reached(&mut self, server: &ServerEntry, opened: Instant, now: Instant) {
        let server = server_key(server);
        for run in self.in_doubt.on_server_reached(server, opened) {
            self.set_isolated_run(&run.suspects, None);
        }
        self.refute_crash(server, opened, now);
    }

    /// Handles a response of a server to something sent at `began`.
    fn on_server_alive(&mut self, server: ServerKey, began: Instant, now: Instant) {
        for run in self.in_doubt.on_server_alive(server, began) {
            self.set_isolated_run(&run.suspects, None);
        }
        self.refute_crash(server, began, now);
    }

    /// Refutes the crash of a server that responded to something sent at `began`, if that shows that it runs on.
    fn refute_crash(&mut self, server: ServerKey, began: Instant, now: Instant) {
        let Some(ended) = self.crash_times.get(&server).copied() else {
            return;
        };
        let is_proof = began >= ended && now.saturating_duration_since(ended) <= ALIVE_WINDOW;
        if !is_proof {
            return;
        }
        self.crash_times.remove(&server);
        let mut refuted = Vec::new();
        for (identity, record) in &mut self.records {
            if record.history.refute_server(server) {
                record.rounds_left = SEND_ROUNDS;
                refuted.push(*identity);
            }
        }
        for identity in refuted {
            self.reevaluate(
                identity,
                EvidenceSource::Received,
                ReleaseReason::Refuted,
                now,
            );
        }
    }

    /// Refutes all evidence against a request.
    fn release(&mut self, identity: RequestIdentity, reason: ReleaseReason, now: Instant) {
        let Some(record) = self.records.get_mut(&identity) else {
            return;
        };
        if !record.history.refute_all() {
            return;
        }
        record.rounds_left = SEND_ROUNDS;
        let before = self.reevaluate(identity, EvidenceSource::Local, reason, now);
        // On expiry all nodes release the request at the same time, and the next node that reads the store
        // removes the verdict.
        if before == SuspectState::Blocked && reason != ReleaseReason::Expired {
            self.push_change(VerdictChange::Remove(identity.name()));
        }
    }

    /// Releases, for an operator, the requests with the given digest, written as in logs. Returns their number.
    pub fn lift(&mut self, digest: &str, now: Instant) -> usize {
        let identities = self.records.keys().copied();
        let matching: Vec<RequestIdentity> = identities
            .filter(|identity| identity.to_string() == digest)
            .collect();
        for identity in &matching {
            self.release(*identity, ReleaseReason::Lifted, now);
        }
        matching.len()
    }

    /// Merges evidence of a crash and returns whether it was new.
    pub(crate) fn merge_evidence(
        &mut self,
        identity: RequestIdentity,
        mut evidence: CrashEvidence,
        source: EvidenceSource,
        now: Instant,
    ) -> bool {
        // Evidence against a request that was answered here is sent as refuted, so that nodes that have not
        // answered the request learn that it is harmless.
        let is_answered = self.recent_answers(identity).contains(identity, now);
        let is_contradiction = is_answered && !evidence.is_refuted;
        evidence.is_refuted |= is_answered;
        if !self.records.contains_key(&identity) {
            self.make_room(identity);
        }
        let record = self.records.entry(identity).or_default();
        // A node that sends evidence which is refuted here has missed the refutation.
        if !evidence.is_refuted && record.history.is_refuted(evidence.server) {
            record.rounds_left = record.rounds_left.max(1);
        }
        if !record.history.add(evidence) {
            return false;
        }
        if is_contradiction || matches!(source, EvidenceSource::Local | EvidenceSource::Relayed) {
            record.rounds_left = SEND_ROUNDS;
        }
        if !evidence.is_refuted {
            let ended = self
                .crash_times
                .entry(evidence.server)
                .or_insert(evidence.ended);
            *ended = (*ended).max(evidence.ended);
        }
        self.reevaluate(identity, source, ReleaseReason::Refuted, now);
        true
    }

    pub(crate) fn state(&self, identity: RequestIdentity) -> SuspectState {
        let record = self.records.get(&identity);
        record.map(|record| record.state).unwrap_or_default()
    }

    /// Derives the state of a suspect whose evidence has changed, and of those that share crashes with it. Returns
    /// its previous state.
    fn reevaluate(
        &mut self,
        identity: RequestIdentity,
        source: EvidenceSource,
        reason: ReleaseReason,
        now: Instant,
    ) -> SuspectState {
        let Some(record) = self.records.get_mut(&identity) else {
            return SuspectState::Free;
        };
        let before = record.state;
        let own = SuspectState::from_count(record.history.count(), identity.is_prompt_part());
        let own_before = std::mem::replace(&mut record.own, own);
        // The order of the turns is determined again after each crash.
        record.position = None;
        if (own_before, own, before) == (SuspectState::Free, SuspectState::Free, SuspectState::Free)
        {
            return before;
        }
        for (changed, before) in self.refresh_states() {
            self.push_event(changed, before, reason, now);
            // One node that has the evidence itself writes the verdict.
            let is_blocked = self.state(changed) == SuspectState::Blocked;
            if source == EvidenceSource::Local && is_blocked {
                self.push_change(VerdictChange::Store(changed));
            }
        }
        before
    }

    /// Queues an event about a suspect whose state has changed.
    fn push_event(
        &mut self,
        identity: RequestIdentity,
        before: SuspectState,
        reason: ReleaseReason,
        now: Instant,
    ) {
        let Some(record) = self.records.get(&identity) else {
            return;
        };
        let (count, state) = (record.history.count(), record.state);
        let is_relaxed = (before, state) == (SuspectState::Blocked, SuspectState::OneByOne)
            || state == SuspectState::Free;
        let evidence = record.history.crashes().iter().map(|crash| {
            let age = now.saturating_duration_since(crash.ended).as_millis();
            (
                crash.server,
                crash.sign,
                u64::try_from(age).unwrap_or(u64::MAX),
            )
        });
        let event = SuspectEvent {
            identity,
            state,
            release: is_relaxed.then_some(reason),
            count,
            evidence: evidence.collect(),
        };
        if self.events.len() < MAX_EVENTS {
            self.events.push(event);
        }
    }

    /// Makes room for one more request. A workspace that holds more than its share evicts its own requests,
    /// so that no workspace displaces those of others.
    fn make_room(&mut self, newest: RequestIdentity) {
        if self.records.len() < MAX_RECORDS {
            return;
        }
        let own = self
            .records
            .keys()
            .filter(|known| known.has_same_workspace(&newest));
        let is_over_share = own.count() * WORKSPACE_DIVISOR > MAX_RECORDS;
        let candidates = self.records.iter();
        let candidates =
            candidates.filter(|(known, _)| !is_over_share || known.has_same_workspace(&newest));
        let evicted = candidates.min_by_key(|(_, record)| {
            let is_suspected = record.own != SuspectState::Free;
            (is_suspected, record.history.last_change())
        });
        if let Some(identity) = evicted.map(|(identity, _)| *identity) {
            let removed = self.records.remove(&identity);
            if removed.is_some_and(|record| record.own != SuspectState::Free) {
                self.refresh_states();
            }
        }
    }

    /// Drops records and crashes that are too old.
    pub(crate) fn tick(&mut self, now: Instant) {
        self.responses.tick(now);
        if self.records.is_empty() {
            return;
        }
        let is_old = |at: Instant| now.saturating_duration_since(at) > BLOCK_DURATION;
        self.crash_times.retain(|_, at| !is_old(*at));
        let expired = self.records.iter().filter(|(_, record)| {
            let history = &record.history;
            let last = history.last_crash().or(history.last_change());
            last.is_none_or(is_old)
        });
        let expired: Vec<RequestIdentity> = expired.map(|(identity, _)| *identity).collect();
        for identity in expired {
            self.release(identity, ReleaseReason::Expired, now);
            self.records.remove(&identity);
        }
    }

    /// Drains the events since the last call.
    pub fn take_events(&mut self) -> Vec<SuspectEvent> {
        std::mem::take(&mut self.events)
    }

    /// Returns the number of blocked requests.
    pub fn blocked_count(&self) -> usize {
        let records = self.records.values();
        records
            .filter(|record| record.state == SuspectState::Blocked)
            .count()
    }

    /// Returns the number of recorded requests.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no requests are recorded.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the requests that are not `SuspectState::Free`, with their state and crash totals.
    pub fn suspects(&self) -> impl Iterator<Item = (RequestIdentity, SuspectState, CrashCount)> {
        let suspects = self.records.iter();
        let suspects = suspects.filter(|(_, record)| record.state != SuspectState::Free);
        suspects.map(|(identity, record)| (*identity, record.state, record.history.count()))
    }
}

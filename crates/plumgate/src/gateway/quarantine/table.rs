//! Table of the suspected requests of one node, and the decisions on them.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::answers::RecentAnswers;
use super::blame_index::BlameIndex;
use super::evidence::{CrashCount, CrashEvidence, CrashSign, EvidenceSource};
use super::identity::RequestIdentity;
use super::in_doubt::{InDoubtQueue, InDoubtRun};
use super::in_flight::InFlightTable;
use super::notice::SEND_ROUNDS;
use super::record::SuspectRecord;
use super::response_times::ResponseTimes;
use super::rule::{BLOCK_DURATION, SuspectState};
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

/// Time after a crash within which a response of the same server refutes the crash. A later response may come
/// from the restarted process, as not all entries carry a start time; no server restarts sooner than this.
const ALIVE_WINDOW: Duration = Duration::from_millis(1_500);

/// Suspected requests and prompt parts of one node.
///
/// An ordinary request costs one check of an empty map, or one lookup for each of its suspects if the map is not empty.
/// No cost here grows with the number of nodes.
#[derive(Debug)]
pub struct QuarantineTable {
    pub(crate) records: HashMap<RequestIdentity, SuspectRecord>,
    pub(crate) blame: BlameIndex,
    /// Latest crash of each server for which there is evidence.
    pub(crate) crash_times: HashMap<ServerKey, Instant>,
    in_flight: InFlightTable,
    in_doubt: InDoubtQueue,
    pub(crate) responses: ResponseTimes,
    answers: RecentAnswers,
    part_answers: RecentAnswers,
    pub(crate) keys: NoticeKeys,
    /// Whether there may be other nodes, which then have turns too.
    pub(crate) has_peers: bool,
    /// Number of nodes among which turns rotate.
    pub(crate) node_count: usize,
    /// When the evidence on all requests that are not `SuspectState::Free` was last sent again.
    pub(crate) resent_at: Option<Instant>,
    pub(crate) events: Vec<SuspectEvent>,
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

    pub(crate) fn recent_answers(&mut self, identity: RequestIdentity) -> &mut RecentAnswers {
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

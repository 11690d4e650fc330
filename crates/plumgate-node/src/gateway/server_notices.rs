//! Notices of servers that leave or ask for a rest: recording, logs, metrics and the operators' page.

use std::fmt::Write;

use plumgate::gateway::{
    AnswerTimes, BrittleStatement, ExpiredLoan, IncarnationId, LeaveEvent, LeaveStatement,
    NoticeChange, RankChange, RestStatement, SendRefusal, SendRight, ServerEntry, ServerStatement,
};

use super::metrics::{NoticeLabels, ReasonLabels};
use super::request::RelayRequest;
use super::server_limits::SendCause;
use super::shared::GatewayShared;
use crate::clock::Clock;
use crate::log::LogLine;

/// Path of the operators' page on the statements of servers.
pub const STATEMENTS_PATH: &str = "/statements";
/// Name of a leave notice in logs and metrics.
const LEAVING: &str = "leaving";
/// Name of a rest notice in logs and metrics.
const RESTING: &str = "resting";
/// Name of a statement that a server is brittle, in logs and metrics.
const BRITTLE: &str = "brittle";

impl<C: Clock, W> GatewayShared<C, W> {
    /// Records the leave and rest notices that a server stated in an answer, and updates placement.
    pub(super) fn record_notices(
        &self,
        server: &ServerEntry,
        statement: &ServerStatement,
        times: AnswerTimes,
    ) {
        if statement.leaving == LeaveStatement::Malformed {
            self.record_malformed(LEAVING, server);
        }
        if statement.rest == RestStatement::Malformed {
            self.record_malformed(RESTING, server);
        }
        let changes = self.statements().record_notices(server, statement, times);
        if !changes.is_empty() {
            self.set_availability(server);
        }
        for change in changes {
            self.log_notice(server, change, times);
        }
        self.log_dropped_notices();
    }

    /// Updates a server's availability in placement from its notices.
    fn set_availability(&self, server: &ServerEntry) {
        let now = self.clock.now();
        let boot = self.clock.boot_time();
        let mut loads = self.loads();
        let availability = self
            .statements()
            .notices
            .availability(server.incarnation_id(), boot);
        loads.set_availability(server, availability, now);
    }

    /// Logs and counts a request that was not sent because of a statement of its server.
    pub(crate) fn record_disallowed_send(
        &self,
        request: &RelayRequest,
        server: &ServerEntry,
        refusal: SendRefusal,
    ) {
        // Without this, placement would choose the same server for the request again and again.
        self.set_availability(server);
        let labels = ReasonLabels {
            reason: refusal.as_str(),
        };
        self.metrics
            .notices
            .disallowed_sends
            .get_or_create(&labels)
            .inc();
        LogLine::new("barred_send")
            .with("request", &request.id)
            .with("server", &server.id)
            .with("reason", refusal.as_str())
            .info(&self.log);
    }

    /// Handles leave notices received from other nodes.
    pub(crate) fn on_peer_leaves(&self, leaves: &[LeaveEvent]) {
        if leaves.is_empty() {
            return;
        }
        let now = self.clock.now();
        let boot = self.clock.boot_time();
        let mut loads = self.loads();
        loads.set_availabilities(&self.statements().notices, boot, now);
        drop(loads);
        let labels = NoticeLabels {
            notice: LEAVING,
            source: "peer",
        };
        for event in leaves {
            self.metrics.notices.received.get_or_create(&labels).inc();
            LogLine::new("server_notice")
                .with("life", format!("{:016x}", event.incarnation))
                .with("notice", LEAVING)
                .with("source", "peer")
                .with("age_ms", event.age.as_millis())
                .info(&self.log);
        }
    }

    /// Records what an answer states about whether its server is brittle, and updates placement.
    pub(super) fn record_brittle(
        &self,
        server: &ServerEntry,
        statement: &ServerStatement,
        is_rejection: bool,
        times: AnswerTimes,
    ) {
        if statement.brittle == BrittleStatement::Malformed {
            self.record_malformed(BRITTLE, server);
        }
        let mut statements = self.statements();
        let is_changed = statements.record_brittle(server, statement, is_rejection, times);
        drop(statements);
        let now = self.clock.now();
        if statement.brittle == BrittleStatement::Sound {
            let age = times.seen.saturating_sub(times.sent);
            let sent = now.checked_sub(age).unwrap_or(now);
            self.loads().record_sound(&server.id, sent);
        }
        if !is_changed {
            return;
        }
        let limit = match statement.brittle {
            BrittleStatement::Brittle(limit) => Some(limit),
            BrittleStatement::Sound | BrittleStatement::Malformed => None,
        };
        self.loads().set_brittle(&server.id, limit.is_some(), now);
        LogLine::new("server_notice")
            .with("server", &server.id)
            .with("notice", BRITTLE)
            .with("source", "answer")
            .with("applies", limit.is_some())
            .with_some("max_rejections", limit)
            .info(&self.log);
    }

    /// Logs and counts that a brittle server rejected a request of this node for want of room. `right` is what the
    /// request was sent by.
    pub(super) fn log_rejection(
        &self,
        server: &ServerEntry,
        statement: &ServerStatement,
        right: SendRight,
    ) {
        let places = self.loads().place_use(&server.id, self.clock.now());
        let states_it = matches!(statement.brittle, BrittleStatement::Brittle(_));
        if places.is_none() && !states_it {
            return;
        }
        self.metrics.places.rejections.inc();
        let line = LogLine::new("server_rejection")
            .with("server", &server.id)
            .with("life", format!("{:016x}", server.incarnation_id()))
            .with("source", "answer")
            .with("right", right.as_str());
        let line = match places {
            None => line,
            Some(places) => line
                .with("in_flight", places.in_flight)
                .with("abandoned", places.abandoned)
                .with("own_places", places.own)
                .with("lent", places.lent)
                .with("borrowed", places.borrowed)
                .with("nodes", places.nodes)
                .with("rank", places.rank),
        };
        line.info(&self.log);
    }

    /// Handles other nodes' reports of rejections by brittle servers.
    pub(crate) fn on_peer_rejections(&self, servers: &[IncarnationId]) {
        if servers.is_empty() {
            return;
        }
        let now = self.clock.now();
        self.loads().record_rejections(servers, now);
        for incarnation in servers {
            LogLine::new("server_rejection")
                .with("life", format!("{incarnation:016x}"))
                .with("source", "peer")
                .info(&self.log);
        }
    }

    /// Logs places at brittle servers that were lent to nodes which no longer report them.
    pub(crate) fn log_expired_loans(&self, loans: &[ExpiredLoan]) {
        for loan in loans {
            LogLine::new("place_loan_expired")
                .with("life", format!("{:016x}", loan.server))
                .with("borrower", &loan.borrower)
                .info(&self.log);
        }
    }

    /// Logs this node's rank among those that own places at brittle servers.
    pub(crate) fn log_rank_change(&self, change: RankChange) {
        LogLine::new("place_rank")
            .with("nodes", change.nodes)
            .with("rank", change.rank)
            .with("source", change.source.as_str())
            .info(&self.log);
    }

    fn record_malformed(&self, notice: &'static str, server: &ServerEntry) {
        let labels = NoticeLabels {
            notice,
            source: "malformed",
        };
        self.metrics.notices.received.get_or_create(&labels).inc();
        LogLine::new("server_notice_malformed")
            .with("server", &server.id)
            .with("notice", notice)
            .info(&self.log);
    }

    fn log_notice(&self, server: &ServerEntry, change: NoticeChange, times: AnswerTimes) {
        let notice = match change {
            NoticeChange::Leaves => LEAVING,
            NoticeChange::Rests(_) => RESTING,
        };
        let labels = NoticeLabels {
            notice,
            source: "answer",
        };
        self.metrics.notices.received.get_or_create(&labels).inc();
        let line = LogLine::new("server_notice")
            .with("server", &server.id)
            .with("life", format!("{:016x}", server.incarnation_id()))
            .with("notice", notice)
            .with("source", "answer");
        let line = match change {
            NoticeChange::Leaves => line,
            NoticeChange::Rests(rest) => line
                .with("rest_ms", rest.until.saturating_sub(times.seen).as_millis())
                .with("extended", rest.is_extended),
        };
        line.info(&self.log);
    }

    /// Logs the number of notices that were dropped because the table of notices was full.
    fn log_dropped_notices(&self) {
        let dropped = self.statements().notices.take_dropped();
        if dropped > 0 {
            LogLine::new("server_notice_dropped")
                .with("count", dropped)
                .warn(&self.log);
        }
    }

    /// Logs and counts a request that is sent to a server with a leave or rest notice.
    pub(crate) fn record_noticed_send(
        &self,
        request: &str,
        server: &ServerEntry,
        cause: SendCause,
    ) {
        let now = self.clock.boot_time();
        let statements = self.statements();
        let leaving = statements.notices.leaving_since(server);
        let rest = statements.notices.rest_left(server, now);
        drop(statements);
        let line = LogLine::new("noticed_send")
            .with("request", request)
            .with("server", &server.id)
            .with("cause", cause.as_str());
        let line = match (leaving, rest) {
            (None, None) => return,
            (Some(since), _) => line
                .with("notice", LEAVING)
                .with("since_ms", now.saturating_sub(since).as_millis()),
            (None, Some(left)) => line
                .with("notice", RESTING)
                .with("left_ms", left.as_millis()),
        };
        line.info(&self.log);
        let labels = NoticeLabels {
            notice: if leaving.is_some() { LEAVING } else { RESTING },
            source: cause.as_str(),
        };
        self.metrics
            .notices
            .noticed_sends
            .get_or_create(&labels)
            .inc();
    }

    /// Renders the operators' page: one line per server that has a rate limit or a notice.
    pub(crate) fn statements_page(&self) -> String {
        let now = self.clock.boot_time();
        let clock_now = self.clock.now();
        let loads = self.loads();
        let statements = self.statements();
        let mut page = String::new();
        for server in loads.entries() {
            let rate = statements.limits.rate(server);
            let leaving = statements.notices.leaving_since(server);
            let rest = statements.notices.rest_left(server, now);
            let places = loads.place_use(&server.id, clock_now);
            if rate.is_none() && leaving.is_none() && rest.is_none() && places.is_none() {
                continue;
            }
            // Writing to a string does not fail.
            let _ = write!(
                page,
                "server={} life={:016x} pool={} row={}",
                server.id,
                server.incarnation_id(),
                server.pool,
                format!("{:?}", server.state).to_lowercase(),
            );
            if let Some(rate) = rate {
                let _ = write!(page, " rate={rate}");
            }
            if let Some(since) = leaving {
                let known_for = now.saturating_sub(since);
                let _ = write!(page, " leaving_ms={}", known_for.as_millis());
            }
            if let Some(rest) = rest {
                let _ = write!(page, " rest_ms={}", rest.as_millis());
            }
            if let Some(places) = places {
                let _ = write!(
                    page,
                    " in_flight={} abandoned={} own_places={} lent={} borrowed={} nodes={} rank={}",
                    places.in_flight,
                    places.abandoned,
                    places.own,
                    places.lent,
                    places.borrowed,
                    places.nodes,
                    places.rank
                );
            }
            page.push('\n');
        }
        page
    }

    /// Updates the metrics of leaving and resting servers.
    pub(crate) fn update_notice_metrics(&self) {
        let now = self.clock.boot_time();
        let statements = self.statements();
        let leaving = statements.notices.leaving_count();
        let resting = statements.notices.resting_count(now);
        let brittle = statements.brittle.count();
        drop(statements);
        let (lent, borrowed) = self.loads().loan_counts();
        let gauge = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
        self.metrics
            .request_memory
            .bytes
            .set(gauge(self.memory.held_bytes()));
        self.metrics.places.lent.set(gauge(lent));
        self.metrics.places.borrowed.set(gauge(borrowed));
        self.metrics.places.brittle_servers.set(gauge(brittle));
        self.metrics.notices.leaving_servers.set(gauge(leaving));
        self.metrics.notices.resting_servers.set(gauge(resting));
    }
}

//! Poison requests: crash evidence, the probe of a server, and the operators' page that shows and lifts
//! quarantines.

use std::fmt::Write;
use std::sync::Arc;

use hyper::{Method, Response, StatusCode};
use plumgate::gateway::{CrashSign, RequestIdentity, ServerEntry, SuspectEvent, SuspectState};

use super::connection_cause::{ConnectionCause, ConnectionPurpose};
use super::metrics::ReasonLabels;
use super::server_connection::{CONNECT_TIMEOUT, ConnectFailure, open_server};
use super::shared::GatewayShared;
use crate::body::AnswerBody;
use crate::clock::Clock;
use crate::http::text_response;
use crate::log::LogLine;

/// Path of the operators' page on quarantined requests.
pub(crate) const QUARANTINE_PATH: &str = "/quarantine";
/// Number of other servers of which one has to be reached before a refused connection counts as a crash.
const OTHER_SERVERS: usize = 3;

/// Probes a server with a bare connection after a connection to it broke in the middle of an answer. A node that has
/// lost its own path asks another one before it takes the server for crashed.
///
/// The server's store entry shows a crash only seconds later; until then the request would be sent to the next
/// server.
pub(crate) fn probe_server<C: Clock, W: Send + Sync + 'static>(
    shared: &Arc<GatewayShared<C, W>>,
    server: &ServerEntry,
) {
    let (prober, server) = (shared.clone(), server.clone());
    let task = async move {
        let opened = prober.clock.now();
        let connected = open_server(
            &prober,
            &server,
            ConnectionPurpose::check(ConnectionCause::ServerCheck),
            opened + CONNECT_TIMEOUT,
        )
        .await;
        match &connected {
            Ok(_) => {
                let now = prober.clock.now();
                prober.quarantine().on_server_reached(&server, opened, now);
            }
            Err(ConnectFailure::Refused) => on_connection_refused(&prober, &server).await,
            Err(ConnectFailure::Silent | ConnectFailure::Paused) => {
                prober.quarantine().on_probe_unanswered(&server);
            }
        }
        prober.server_probed.notify(usize::MAX);
        prober.log_suspects();
    };
    shared.spawn_guarded("server_check", task);
}

/// Handles a connection that a server's machine refused to this node and to another one. It is a sign of a crash only
/// where some other server is reached: else the network refuses the connections.
async fn on_connection_refused<C: Clock, W>(
    shared: &Arc<GatewayShared<C, W>>,
    server: &ServerEntry,
) {
    if !reaches_another(shared, server).await {
        shared.quarantine().on_probe_unanswered(server);
        LogLine::new("server_end_doubted")
            .with("server", &server.id)
            .with("reason", "no_server_reached")
            .info(&shared.log);
        return;
    }
    let now = shared.clock.now();
    let crashed = shared
        .quarantine()
        .on_server_crashed(server, CrashSign::Refused, now);
    shared.record_crashes(&crashed, server, CrashSign::Refused);
}

/// Returns whether a connection to one of a few other servers opens, or there is no other server.
async fn reaches_another<C: Clock, W>(
    shared: &Arc<GatewayShared<C, W>>,
    server: &ServerEntry,
) -> bool {
    let others = shared.other_servers(server);
    for other in &others {
        let deadline = shared.clock.now() + CONNECT_TIMEOUT;
        let opened = open_server(
            shared,
            other,
            ConnectionPurpose::check(ConnectionCause::ServerCheck),
            deadline,
        )
        .await;
        if opened.is_ok() {
            return true;
        }
    }
    others.is_empty()
}

/// Checks a refused connection to a server, if runs there are in doubt.
pub(crate) fn check_refusal<C: Clock, W: Send + Sync + 'static>(
    shared: &Arc<GatewayShared<C, W>>,
    server: &ServerEntry,
) {
    if !shared.quarantine().has_in_doubt_runs(server) {
        return;
    }
    let (checker, server) = (shared.clone(), server.clone());
    let task = async move {
        on_connection_refused(&checker, &server).await;
        checker.server_probed.notify(usize::MAX);
        checker.log_suspects();
    };
    shared.spawn_guarded("server_check", task);
}

impl<C: Clock, W> GatewayShared<C, W> {
    /// Chooses a few other servers at random.
    fn other_servers(&self, server: &ServerEntry) -> Vec<ServerEntry> {
        let mut rng = fastrand::Rng::with_seed(self.random_number());
        let loads = self.loads();
        let others = loads.entries().filter(|entry| entry.id != server.id);
        let chosen = rng.choose_multiple(others, OTHER_SERVERS);
        chosen.into_iter().cloned().collect()
    }

    /// Counts and logs a server that is believed to have crashed while it ran requests of this node.
    pub(crate) fn record_crashes(
        &self,
        identities: &[RequestIdentity],
        server: &ServerEntry,
        sign: CrashSign,
    ) {
        let labels = ReasonLabels {
            reason: sign.as_str(),
        };
        for identity in identities {
            self.metrics
                .quarantine
                .server_crashes
                .get_or_create(&labels)
                .inc();
            LogLine::new("server_end")
                .with("digest", identity)
                .with("server", &server.id)
                .with("key", format!("{:08x}", server.incarnation_key()))
                .with("sign", sign.as_str())
                .info(&self.log);
        }
    }

    /// Logs and counts changed verdicts on poison requests.
    pub(crate) fn log_suspects(&self) {
        let mut quarantine = self.quarantine();
        let events = quarantine.take_events();
        if events.is_empty() {
            return;
        }
        let blocked = i64::try_from(quarantine.blocked_count()).unwrap_or(i64::MAX);
        drop(quarantine);
        self.metrics.quarantine.quarantined.set(blocked);
        for event in events {
            self.log_suspect(&event);
        }
    }

    fn log_suspect(&self, event: &SuspectEvent) {
        let reason = match event.release {
            Some(release) => release.as_str(),
            None => event.state.as_str(),
        };
        let labels = ReasonLabels { reason };
        self.metrics
            .quarantine
            .verdicts
            .get_or_create(&labels)
            .inc();
        let mut evidence = String::new();
        for (server, sign, age_ms) in &event.evidence {
            // Writing to a string does not fail.
            let _ = write!(evidence, "{server:08x}:{}:{age_ms};", sign.as_str());
        }
        let line = LogLine::new("suspect")
            .with("digest", event.identity)
            .with("of", event.identity.kind())
            .with("state", event.state.as_str())
            .with_some("released", event.release.map(|release| release.as_str()))
            .with("servers", event.count.servers)
            .with("in_turn", event.count.consecutive)
            .with("evidence", evidence);
        if event.state == SuspectState::Free {
            line.info(&self.log);
        } else {
            line.warn(&self.log);
        }
    }

    /// Serves the operators' page: `GET` lists suspected and blocked requests, `DELETE` of a digest lifts its
    /// quarantine.
    pub(crate) fn serve_quarantine(&self, method: &Method, path: &str) -> Response<AnswerBody> {
        let digest = path.strip_prefix(QUARANTINE_PATH).unwrap_or_default();
        let digest = digest.trim_start_matches('/');
        match (method, digest) {
            (&Method::GET, "") => text_response(StatusCode::OK, self.quarantine_page()),
            (&Method::DELETE, digest) if !digest.is_empty() => self.lift(digest),
            _ => text_response(StatusCode::METHOD_NOT_ALLOWED, "GET, or DELETE a digest\n"),
        }
    }

    fn quarantine_page(&self) -> String {
        let quarantine = self.quarantine();
        let lines = quarantine.suspects().map(|(identity, state, count)| {
            let (servers, consecutive) = (count.servers, count.consecutive);
            let state = state.as_str();
            let kind = identity.kind();
            format!(
                "digest={identity} of={kind} state={state} servers={servers} in_turn={consecutive}\n"
            )
        });
        lines.collect()
    }

    fn lift(&self, digest: &str) -> Response<AnswerBody> {
        let now = self.clock.now();
        let lifted = self.quarantine().lift(digest, now);
        self.log_suspects();
        if lifted == 0 {
            return text_response(StatusCode::NOT_FOUND, "nothing is held against it\n");
        }
        text_response(StatusCode::OK, "lifted\n")
    }
}

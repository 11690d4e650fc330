//! Requests that end servers: what operators see of them, and how they lift what is held against one.

use std::fmt::Write;
use std::sync::Arc;

use hyper::{Method, Response, StatusCode};
use plumgate::gateway::{CrashSign, RequestIdentity, ServerEntry, SuspectEvent, SuspectState};

use super::attempt::CONNECT_TIMEOUT;
use super::metrics::ReasonLabels;
use super::shared::GatewayShared;
use crate::body::AnswerBody;
use crate::clock::{Clock, until};
use crate::http::{open_stream, text_response};
use crate::log::LogLine;

/// The path under which operators find what is held back.
pub(crate) const QUARANTINE_PATH: &str = "/quarantine";

/// Asks a server whether it lives, by a bare connection, as one to it broke in the middle of an answer.
///
/// Its entry would show an end only seconds later; until then the next one would get the request.
pub(crate) fn ask_server<C: Clock, W: Send + Sync + 'static>(
    shared: &Arc<GatewayShared<C, W>>,
    server: &ServerEntry,
) {
    let (asking, server) = (shared.clone(), server.clone());
    let task = async move {
        let opened = asking.clock.now();
        let opening = open_stream(server.address);
        let answer = until(&asking.clock, opened + CONNECT_TIMEOUT, opening).await;
        match &answer {
            Some(Ok(_)) => {
                let now = asking.clock.now();
                asking.quarantine().on_server_reached(&server, opened, now);
            }
            Some(Err(_)) => asking.note_refused(&server),
            None => asking.quarantine().on_probe_unanswered(&server),
        }
        asking.server_asked.notify(usize::MAX);
        asking.log_suspects();
    };
    shared.executor.spawn(task).detach();
}

impl<C: Clock, W> GatewayShared<C, W> {
    /// A server is believed to have ended under requests of this node.
    pub(crate) fn note_server_end(
        &self,
        identities: &[RequestIdentity],
        server: &ServerEntry,
        sign: CrashSign,
    ) {
        let labels = ReasonLabels {
            reason: sign.as_str(),
        };
        for identity in identities {
            self.metrics.server_ends.get_or_create(&labels).inc();
            LogLine::new("server_end")
                .with("digest", identity)
                .with("server", &server.id)
                .with("key", format!("{:08x}", server.incarnation_key()))
                .with("sign", sign.as_str())
                .info(&self.log);
        }
    }

    /// A server's machine refused a connection.
    pub(crate) fn note_refused(&self, server: &ServerEntry) {
        let now = self.clock.now();
        let ended = self
            .quarantine()
            .on_server_gone(server, CrashSign::Refused, now);
        self.note_server_end(&ended, server, CrashSign::Refused);
    }

    /// Logs and counts what has changed of requests that end servers.
    pub(crate) fn log_suspects(&self) {
        let mut quarantine = self.quarantine();
        let events = quarantine.take_events();
        if events.is_empty() {
            return;
        }
        let held = i64::try_from(quarantine.blocked_count()).unwrap_or(i64::MAX);
        drop(quarantine);
        self.metrics.quarantined.set(held);
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
        self.metrics.verdicts.get_or_create(&labels).inc();
        let mut evidence = String::new();
        for (server, sign, age_ms) in &event.evidence {
            // Writing to a string does not fail.
            let _ = write!(evidence, "{server:08x}:{}:{age_ms};", sign.as_str());
        }
        let line = LogLine::new("suspect")
            .with("digest", event.identity)
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

    /// Answers an operator: what is held back, or that one is let go.
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
            format!("digest={identity} state={state} servers={servers} in_turn={consecutive}\n")
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

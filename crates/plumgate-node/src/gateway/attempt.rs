//! One attempt: a request goes to a server, and the head of its answer comes back.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, EXPECT};
use hyper::{Request, Response, Version};
use plumgate::gateway::{ConnectionKind, RepeatKind, WorkOutcome};

use super::answer::drop_connection_headers;
use super::guards::{RunRefusal, WorkGuard};
use super::ports::{AnswerMeaning, AttemptFacts, WireFormat};
use super::request::{AttemptEnd, AttemptOrder, RESTARTED, ServerAnswer};
use super::shared::GatewayShared;
use crate::clock::{Clock, until};
use crate::http::OutgoingRequest;
use crate::link::{HttpLink, LinkError};

/// How long a new connection to a server may take to come about. A first packet that is lost is
/// sent again after a second only; another server answers sooner.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// How long after the end of a request's time the server's own word on it is waited for.
const LAST_WORD: Duration = Duration::from_millis(80);

/// Carries out one attempt up to the head of the answer.
pub(crate) async fn attempt<C: Clock, W: WireFormat>(
    shared: &Arc<GatewayShared<C, W>>,
    order: AttemptOrder<'_>,
    mut work: WorkGuard<C, W>,
) -> AttemptEnd<C, W> {
    let (mut link, age) = match connect(shared, &order).await {
        Ok(opened) => opened,
        Err(failure) => {
            work.judge(failure.work_end());
            return AttemptEnd::NotRun {
                reason: failure.as_str(),
                arrived: false,
            };
        }
    };
    // Another end, or the server's own word, may have come to light while the connection was opened.
    match work.begin_run(order.request.identity, age) {
        Ok(()) => {}
        Err(RunRefusal::Barred(refusal)) => {
            work.judge(WorkOutcome::Unsent);
            return AttemptEnd::Barred(refusal);
        }
        Err(RunRefusal::Held(hold)) => {
            return AttemptEnd::NotRun {
                reason: hold.reason.as_str(),
                arrived: false,
            };
        }
    }
    shared.note_limited_send(&order.request.id, order.server, order.cause);
    shared.note_noticed_send(&order.request.id, order.server, order.cause);
    let request = outgoing(shared, &order);
    let wait_until = order.head_by.min(order.request.due + LAST_WORD);
    let life = work.life();
    let exchange = life.run(link.exchange(request));
    match until(&shared.clock, wait_until, exchange).await {
        Some(None) => {
            work.judge(WorkOutcome::Restarted);
            AttemptEnd::InDoubt(RESTARTED)
        }
        Some(Some(Ok(response))) => judge_answer(shared, &order, response, link, work),
        Some(Some(Err(LinkError::Unsent))) => {
            work.judge(WorkOutcome::Unsent);
            AttemptEnd::NotRun {
                reason: "closed_before_send",
                arrived: false,
            }
        }
        Some(Some(Err(LinkError::Broken(_)))) => {
            work.judge(WorkOutcome::Broken);
            shared.links.clear(&order.server.id);
            AttemptEnd::InDoubt("broken")
        }
        None if shared.clock.now() < order.request.due => {
            work.judge(WorkOutcome::Silent);
            shared.links.clear(&order.server.id);
            AttemptEnd::InDoubt("silent")
        }
        None => AttemptEnd::TimedOut,
    }
}

/// Why no connection came about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectFailure {
    /// The server's machine refused it.
    Refused,
    /// Nothing came back.
    Silent,
}

impl ConnectFailure {
    fn as_str(self) -> &'static str {
        match self {
            Self::Refused => "connect_refused",
            Self::Silent => "connect_silent",
        }
    }

    fn work_end(self) -> WorkOutcome {
        match self {
            Self::Refused => WorkOutcome::Refused,
            Self::Silent => WorkOutcome::Unreachable,
        }
    }
}

async fn connect<C: Clock, W: WireFormat>(
    shared: &Arc<GatewayShared<C, W>>,
    order: &AttemptOrder<'_>,
) -> Result<(HttpLink, ConnectionKind), ConnectFailure> {
    // A server may close an idle connection just as a request leaves, and nobody knows then
    // whether it ran. What may run only once therefore gets a connection of its own.
    let now = shared.clock.now();
    // A request under which a server ended gets one too: it shows that the next one lived.
    if order.request.route.kind == RepeatKind::Idempotent
        && !shared.quarantine().has_evidence(order.request.identity)
        && let Some(link) = shared.links.take(&order.server.id, now).await
    {
        let answered = shared.loads().answered_at(&order.server.id);
        return Ok((link, ConnectionKind::Reused { answered }));
    }
    let deadline = (now + CONNECT_TIMEOUT).min(order.request.due);
    let opening = HttpLink::open(order.server.address);
    match until(&shared.clock, deadline, opening).await {
        Some(Ok(link)) => Ok((link, ConnectionKind::New)),
        Some(Err(_)) => Err(ConnectFailure::Refused),
        None => Err(ConnectFailure::Silent),
    }
}

fn outgoing<C: Clock, W: WireFormat>(
    shared: &GatewayShared<C, W>,
    order: &AttemptOrder<'_>,
) -> OutgoingRequest {
    let request = order.request;
    let mut outgoing = Request::new(Full::new(request.body.clone()));
    *outgoing.method_mut() = request.head.method.clone();
    *outgoing.version_mut() = Version::HTTP_11;
    // Servers take the path alone, whatever form the caller used.
    if let Some(path) = request.head.uri.path_and_query() {
        *outgoing.uri_mut() = path.clone().into();
    }
    let headers = outgoing.headers_mut();
    *headers = request.head.headers.clone();
    drop_connection_headers(headers);
    headers.remove(CONTENT_LENGTH);
    headers.remove(EXPECT);
    if !request.body.is_empty() {
        headers.insert(CONTENT_LENGTH, request.body.len().into());
    }
    let now = shared.clock.now();
    let facts = AttemptFacts {
        server: &order.server.id,
        workspace: request.workspace.as_ref(),
        left: request.due.saturating_duration_since(now),
        urgency: request.facts.prompt.is_some().then_some(request.urgency),
        resume_after: order.resume_after,
        copy_from: order.copy_from,
    };
    shared.wire.write_attempt(headers, &facts);
    outgoing
}

fn judge_answer<C: Clock, W: WireFormat>(
    shared: &GatewayShared<C, W>,
    order: &AttemptOrder<'_>,
    response: Response<Incoming>,
    link: HttpLink,
    mut work: WorkGuard<C, W>,
) -> AttemptEnd<C, W> {
    let (head, body) = response.into_parts();
    let (id, server) = (&order.request.id, &order.server.id);
    let facts = shared
        .wire
        .read_answer(id, server, head.status, &head.headers);
    if let Some(statement) = facts.statement {
        work.note_statement(&statement);
    }
    match facts.meaning {
        AnswerMeaning::Own => {
            work.note_reached();
            AttemptEnd::Answer(Box::new(ServerAnswer {
                head,
                body,
                link,
                work,
                facts,
            }))
        }
        AnswerMeaning::NotRun { misdirected } => {
            // Another server has the address now: the entry is old, and nothing else says so.
            let end = if misdirected {
                WorkOutcome::Refused
            } else {
                WorkOutcome::Full
            };
            work.judge(end);
            let reason = if misdirected { "misdirected" } else { "full" };
            AttemptEnd::NotRun {
                reason,
                arrived: true,
            }
        }
        // An answer to another request, out of step on this connection, must reach nobody.
        AnswerMeaning::Foreign => {
            work.judge(WorkOutcome::Failed);
            AttemptEnd::InDoubt("foreign_answer")
        }
        AnswerMeaning::Untrue => {
            work.judge(WorkOutcome::Failed);
            AttemptEnd::InDoubt("untrue_answer")
        }
    }
}

/// Why a body did not come whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReadFailure {
    /// The connection broke.
    Cut,
    /// It is larger than an answer may be.
    TooLarge,
}

impl ReadFailure {
    /// The name used in logs and metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Cut => "cut",
            Self::TooLarge => "too_large",
        }
    }

    /// What it says of the server.
    pub(crate) fn work_end(self) -> WorkOutcome {
        match self {
            Self::Cut => WorkOutcome::Broken,
            Self::TooLarge => WorkOutcome::Failed,
        }
    }
}

/// Reads a whole body up to a bound.
pub(crate) async fn read_whole(
    link: &mut HttpLink,
    body: &mut Incoming,
    most: usize,
) -> Result<Bytes, ReadFailure> {
    let mut whole = bytes::BytesMut::new();
    while let Some(frame) = link.frame(body).await {
        let frame = frame.map_err(|_| ReadFailure::Cut)?;
        if let Ok(data) = frame.into_data() {
            whole.extend_from_slice(&data);
        }
        if whole.len() > most {
            return Err(ReadFailure::TooLarge);
        }
    }
    Ok(whole.freeze())
}

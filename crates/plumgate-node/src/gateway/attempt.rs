//! One attempt: sends a request to a server and receives the head of the answer.

use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, EXPECT};
use hyper::{Request, Response, Version};
use plumgate::gateway::{ConnectionKind, RepeatKind, WorkOutcome};

use super::answer::remove_connection_headers;
use super::connection_cause::ConnectionPurpose;
use super::guards::{RunRefusal, WorkGuard};
use super::ports::{AnswerMeaning, AttemptMetadata, WireFormat};
use super::request::{
    AttemptEnd, AttemptOrder, AttemptOutcome, PATH_LOST, RESTARTED, ServerAnswer,
};
use super::retry_payment::RetryPayment;
use super::server_body::ServerBody;
use super::server_connection::{ConnectFailure, open_server};
use super::server_limits::SendCause;
use super::shared::GatewayShared;
use crate::clock::{Clock, until};
use crate::http::{OutgoingRequest, RequestBody};
use crate::link::{HttpLink, LinkError};

/// Time after the request's deadline for which the node still waits for the server's own answer.
const ANSWER_GRACE: Duration = Duration::from_millis(80);

/// Carries out one attempt up to the head of the answer. The payment is used up once the request is sent.
pub(crate) async fn attempt<C: Clock, W: WireFormat>(
    shared: Arc<GatewayShared<C, W>>,
    order: AttemptOrder,
    mut work: WorkGuard<C, W>,
    mut payment: Option<RetryPayment<C, W>>,
) -> AttemptEnd<C, W> {
    let outcome = match open(&shared, &order, &mut work).await {
        Ok(link) => {
            order.is_sent.store(true, Ordering::SeqCst);
            if let Some(payment) = payment.take() {
                payment.record_sent();
            }
            exchange(&shared, &order, link, work).await
        }
        Err(outcome) => outcome,
    };
    AttemptEnd { outcome, payment }
}

/// Opens the connection on which the request is about to be sent, or returns why it is not sent.
async fn open<C: Clock, W: WireFormat>(
    shared: &Arc<GatewayShared<C, W>>,
    order: &AttemptOrder,
    work: &mut WorkGuard<C, W>,
) -> Result<HttpLink, AttemptOutcome<C, W>> {
    let not_sent = |reason| AttemptOutcome::NotRun {
        reason,
        arrived: false,
    };
    if let Err(refusal) = work.check(order.origin) {
        work.set_outcome(WorkOutcome::Unsent);
        return Err(AttemptOutcome::Disallowed(refusal));
    }
    let (link, connection) = match connect(shared, order).await {
        Ok(opened) => opened,
        Err(failure) => {
            work.set_outcome(failure.work_outcome());
            return Err(not_sent(failure.as_str()));
        }
    };
    // Another crash, or a statement of the server, may have become known while the connection was opened.
    let due = order.request.due;
    match work.begin_run(&order.request.suspects, order.origin, connection, due) {
        Ok(()) => Ok(link),
        Err(RunRefusal::Disallowed(refusal)) => {
            work.set_outcome(WorkOutcome::Unsent);
            Err(AttemptOutcome::Disallowed(refusal))
        }
        Err(RunRefusal::Blocked(blocked)) => Err(not_sent(blocked.reason.as_str())),
    }
}

/// Sends the request and waits for the head of the answer.
async fn exchange<C: Clock, W: WireFormat>(
    shared: &Arc<GatewayShared<C, W>>,
    order: &AttemptOrder,
    mut link: HttpLink,
    mut work: WorkGuard<C, W>,
) -> AttemptOutcome<C, W> {
    shared.record_limited_send(&order.request.id, &order.server, order.cause);
    shared.record_noticed_send(&order.request.id, &order.server, order.cause);
    let request = build_request(shared, order);
    let wait_until = order.request.due + ANSWER_GRACE;
    let silent_at = order.silent_at.unwrap_or(wait_until).min(wait_until);
    let incarnation = work.incarnation();
    let helper = link.helper().cloned();
    let mut result = {
        let mut exchange = pin!(incarnation.run(link.exchange(request)));
        let mut result = until(&shared.clock, silent_at, &mut exchange).await;
        if result.is_none() && silent_at < wait_until {
            work.on_silence();
            shared.links.clear(&order.server.id);
            if let Some(helper) = &helper {
                shared.record_tunnel_use(order, helper, false);
            }
            result = until(&shared.clock, wait_until, &mut exchange).await;
            work.set_outcome(WorkOutcome::Inconclusive);
        }
        result
    };
    if let (Some(helper), Some(is_answered)) = (&helper, is_answered(&result)) {
        shared.record_tunnel_use(order, helper, is_answered);
    }
    match result.take() {
        Some(None) => {
            work.set_outcome(WorkOutcome::Restarted);
            AttemptOutcome::InDoubt(RESTARTED)
        }
        Some(Some(Ok(response))) => evaluate_answer(shared, order, response, link, work),
        Some(Some(Err(LinkError::Unsent))) => {
            work.set_outcome(WorkOutcome::Unsent);
            AttemptOutcome::NotRun {
                reason: "closed_before_send",
                arrived: false,
            }
        }
        Some(Some(Err(LinkError::Broken(_)))) if link.has_lost_path() => {
            work.set_outcome(WorkOutcome::Inconclusive);
            AttemptOutcome::InDoubt(PATH_LOST)
        }
        Some(Some(Err(LinkError::Broken(_)))) => {
            work.set_outcome(WorkOutcome::Broken);
            shared.links.clear(&order.server.id);
            AttemptOutcome::InDoubt("broken")
        }
        None => AttemptOutcome::TimedOut,
    }
}

/// Returns whether an answer came, or `None` if the result says nothing about the connection: the server has restarted,
/// or the request was not sent. In `result`, the outer `None` is a timeout, the inner one the server's restart.
fn is_answered<A>(result: &Option<Option<Result<A, LinkError>>>) -> Option<bool> {
    match result {
        Some(Some(Ok(_))) => Some(true),
        None | Some(Some(Err(LinkError::Broken(_)))) => Some(false),
        Some(None) | Some(Some(Err(LinkError::Unsent))) => None,
    }
}

async fn connect<C: Clock, W: WireFormat>(
    shared: &Arc<GatewayShared<C, W>>,
    order: &AttemptOrder,
) -> Result<(HttpLink, ConnectionKind), ConnectFailure> {
    // A server may close an idle connection just as a request is sent; it is then unknown whether the request
    // ran. A request that may run only once therefore gets a new connection.
    let now = shared.clock.now();
    // So does a request that an earlier server was running when it crashed: a new connection proves that the next
    // server was up. And so does a retry: idle connections may have died together.
    if order.request.route.kind == RepeatKind::Idempotent
        && order.cause == SendCause::FirstTry
        && !shared.quarantine().has_evidence(&order.request.suspects)
        && let Some(link) = shared.links.take(&order.server.id, now).await
    {
        shared.record_connection(order.connection, "reused");
        let answered = shared.loads().answered_at(&order.server.id);
        return Ok((link, ConnectionKind::Reused { answered }));
    }
    let purpose = ConnectionPurpose::new(order.connection, &order.request.id);
    let link = open_server(shared, &order.server, purpose, order.request.due).await?;
    Ok((link, ConnectionKind::New))
}

fn build_request<C: Clock, W: WireFormat>(
    shared: &GatewayShared<C, W>,
    order: &AttemptOrder,
) -> OutgoingRequest {
    let request = &order.request;
    let mut outgoing = Request::new(RequestBody::new(request.body.clone()));
    *outgoing.method_mut() = request.head.method.clone();
    *outgoing.version_mut() = Version::HTTP_11;
    // Servers accept the path alone, whatever form of the target the caller used.
    if let Some(path) = request.head.uri.path_and_query() {
        *outgoing.uri_mut() = path.clone().into();
    }
    let headers = outgoing.headers_mut();
    *headers = request.head.headers.clone();
    remove_connection_headers(headers);
    headers.remove(CONTENT_LENGTH);
    headers.remove(EXPECT);
    if !request.body.is_empty() {
        headers.insert(CONTENT_LENGTH, request.body.len().into());
    }
    let now = shared.clock.now();
    let metadata = AttemptMetadata {
        server: &order.server.id,
        workspace: request.workspace.as_ref(),
        time_left: request.due.saturating_duration_since(now),
        urgency: request.metadata.prompt.is_some().then_some(request.urgency),
        resume_after: order.resume_after,
        copy_from: order.copy_from,
    };
    shared.wire.write_attempt(headers, &metadata);
    outgoing
}

fn evaluate_answer<C: Clock, W: WireFormat>(
    shared: &GatewayShared<C, W>,
    order: &AttemptOrder,
    response: Response<Incoming>,
    link: HttpLink,
    mut work: WorkGuard<C, W>,
) -> AttemptOutcome<C, W> {
    let (head, body) = ServerBody::new(response, link);
    let (id, server) = (&order.request.id, &order.server.id);
    let metadata = shared
        .wire
        .read_answer(id, server, head.status, &head.headers);
    if let Some(statement) = metadata.statement {
        let is_rejection = metadata.meaning == AnswerMeaning::NotRun { misdirected: false };
        work.on_statement(&statement, is_rejection);
    }
    match metadata.meaning {
        AnswerMeaning::Own => {
            work.on_response_started();
            AttemptOutcome::Answer(Box::new(ServerAnswer {
                head,
                body,
                work,
                metadata,
            }))
        }
        AnswerMeaning::NotRun { misdirected } => {
            // Another server has the address now: the entry is stale, and nothing else shows it.
            let outcome = if misdirected {
                WorkOutcome::Refused
            } else {
                WorkOutcome::Full
            };
            work.set_outcome(outcome);
            let reason = if misdirected { "misdirected" } else { "full" };
            AttemptOutcome::NotRun {
                reason,
                arrived: true,
            }
        }
        // An answer to another request, out of order on this connection, must not reach any caller.
        AnswerMeaning::Mismatched => {
            work.set_outcome(WorkOutcome::Failed);
            AttemptOutcome::InDoubt("foreign_answer")
        }
        AnswerMeaning::Unverified => {
            work.set_outcome(WorkOutcome::Failed);
            AttemptOutcome::InDoubt("untrue_answer")
        }
    }
}

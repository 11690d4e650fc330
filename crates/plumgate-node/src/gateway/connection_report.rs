//! Log line and metric of a caller's connection that ended while something of a request was held.

use std::net::TcpStream;

use super::connection_close::CloseReason;
use super::metrics::ConnectionEndLabels;
use super::shared::GatewayShared;
use crate::caller_stream::AnswerDelivery;
use crate::clock::Clock;
use crate::connection_activity::{CallerEnd, ConnectionActivity};
use crate::log::LogLine;

/// Maximum number of unread bytes that are counted.
const MAX_UNREAD_BYTES: usize = 1024;

/// Side that closed a connection first, and why.
#[derive(Clone, Copy, Debug)]
struct ConnectionEnd {
    closed_by: &'static str,
    reason: &'static str,
}

impl ConnectionEnd {
    fn new<C: Clock>(
        reason: CloseReason,
        activity: &ConnectionActivity<C>,
        delivery: &AnswerDelivery,
        has_unread: bool,
    ) -> Self {
        let record = activity.summary();
        let by_node = |reason| Self {
            closed_by: "node",
            reason,
        };
        match (reason, record.caller_end) {
            _ if delivery.is_truncated() => by_node("truncated"),
            (_, Some(CallerEnd::Closed)) => Self {
                closed_by: "caller",
                reason: "closed",
            },
            (_, Some(CallerEnd::Reset)) => Self {
                closed_by: "caller",
                reason: "reset",
            },
            (CloseReason::Served, None) if record.is_announced => by_node("announced"),
            (CloseReason::Served, None) if has_unread => by_node("unread_body"),
            (CloseReason::Served, None) => by_node("after_answer"),
            (CloseReason::Expired, _) => by_node("expired"),
            (CloseReason::Leaving, _) => by_node("leaving"),
            (CloseReason::Displaced, _) => by_node("displaced"),
        }
    }
}

/// Logs and counts the end of a connection, unless it was idle and nothing was held.
pub(crate) fn report_end<C: Clock, W>(
    shared: &GatewayShared<C, W>,
    reason: CloseReason,
    activity: &ConnectionActivity<C>,
    delivery: &AnswerDelivery,
    stream: &TcpStream,
) {
    let unread = unread_bytes(stream);
    let record = activity.summary();
    let state = activity.state_name();
    let is_told = record.is_announced && reason == CloseReason::Served;
    let is_idle = state == "idle" && unread == 0 && record.received == 0;
    if (is_told || is_idle) && !delivery.has_unsent() && !delivery.is_truncated() {
        return;
    }
    let end = ConnectionEnd::new(reason, activity, delivery, unread > 0);
    let labels = ConnectionEndLabels {
        closed_by: end.closed_by,
        reason: end.reason,
        state,
    };
    let ends = &shared.metrics.requests.connection_ends;
    ends.get_or_create(&labels).inc();
    LogLine::new("connection_end")
        .with_some("request", record.last_request)
        .with("closed_by", end.closed_by)
        .with("reason", end.reason)
        .with("state", state)
        .with("requests", record.requests)
        .with("received_bytes", record.received)
        .with("unread_bytes", unread)
        .with("unsent", delivery.has_unsent())
        .info(&shared.log);
}

/// Returns the number of bytes that were received and not read, up to a maximum.
fn unread_bytes(stream: &TcpStream) -> usize {
    let mut buffer = [0; MAX_UNREAD_BYTES];
    // An error means that nothing is there to read.
    stream.peek(&mut buffer).unwrap_or_default()
}

//! When a caller's connection closes, and what is read of it before that: a close with unread bytes resets the
//! connection, and the caller could lose the answer.

use std::time::Duration;

use futures_lite::future;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::{Body, Incoming};
use hyper::header::CONNECTION;
use plumgate::gateway::CallerLimits;

use super::shared::GatewayShared;
use crate::clock::{Clock, until};
use crate::connection_activity::{ConnectionActivity, ConnectionHold};

/// Smallest size of the read buffer in bytes, however small the limit on heads is; hyper panics below 8 KiB.
const MIN_READ_BUFFER: usize = 16 * 1024;
/// Maximum size of the rest of a rejected request that is read, in bytes.
pub(crate) const MAX_DISCARDED_BYTES: usize = 1024 * 1024;
/// Time for which the rest of a rejected request is read.
const MAX_DISCARD_TIME: Duration = Duration::from_secs(10);
/// Time for which the rest of a rejected request may make no progress.
const MAX_DISCARD_STALL: Duration = Duration::from_secs(2);

/// Reason for which a connection closes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CloseReason {
    /// The connection was closed by the caller, after an answer, or by an error.
    Served,
    /// The connection was idle, received the head of a request, or did not take the rest of an answer, for too long.
    Expired,
    /// The node is leaving.
    Leaving,
    /// The connection made room for another one.
    Displaced,
}

/// Completes when a connection should close: it was idle, or received the head of a request, for too long, or the
/// node is leaving.
pub(crate) async fn wait_for_close<C: Clock, W>(
    shared: &GatewayShared<C, W>,
    activity: &ConnectionActivity<C>,
) -> CloseReason {
    loop {
        let lifecycle_changed = shared.lifecycle_changed.listen();
        let activity_changed = activity.listen();
        let is_leaving = shared.lifecycle.load().closing;
        // The limits are read each time, as they may change while a connection is open.
        let now = shared.clock.now();
        let closes_at = activity.closes_at(limits(shared), is_leaving);
        if closes_at.is_some_and(|at| now >= at) {
            return if is_leaving {
                CloseReason::Leaving
            } else {
                CloseReason::Expired
            };
        }
        let changed = future::or(lifecycle_changed, activity_changed);
        match closes_at {
            Some(at) => {
                let _ = until(&shared.clock, at, changed).await;
            }
            None => changed.await,
        }
    }
}

/// Returns the limits in force on callers' connections.
pub(crate) fn limits<C, W>(shared: &GatewayShared<C, W>) -> CallerLimits {
    shared
        .config
        .load()
        .as_ref()
        .map_or_else(CallerLimits::default, |config| config.limits)
}

/// Returns the size of the read buffer of a connection in bytes.
pub(crate) fn read_buffer(limits: CallerLimits) -> usize {
    limits.head_bytes.max(MIN_READ_BUFFER)
}

/// Returns whether an answer says that the connection closes.
pub(crate) fn is_last<B>(response: &Response<B>) -> bool {
    let connection = response.headers().get(CONNECTION);
    connection.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"))
}

/// Returns whether more is to come of a rejected request than is read of it.
pub(crate) fn is_too_long(body: &Incoming) -> bool {
    usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX) > MAX_DISCARDED_BYTES
}

/// Reads the rest of a rejected request, so that its connection can be used for the next one.
pub(crate) async fn discard_body<C: Clock>(clock: C, mut body: Incoming, _hold: ConnectionHold<C>) {
    let mut left = MAX_DISCARDED_BYTES;
    let deadline = clock.now() + MAX_DISCARD_TIME;
    while let Some(Some(Ok(frame))) = until(
        &clock,
        deadline.min(clock.now() + MAX_DISCARD_STALL),
        body.frame(),
    )
    .await
    {
        let length = frame.data_ref().map_or(0, |bytes| bytes.len());
        match left.checked_sub(length) {
            Some(rest) => left = rest,
            None => return,
        }
    }
}

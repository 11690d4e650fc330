//! Incarnations of backend servers, and the requests that end with them.
//!
//! A server that crashed and restarted under the same id has lost the requests of its previous incarnation. Their
//! connections may stay open without any data, and a caller would wait until its deadline for an answer that is
//! never sent. The entry of the new incarnation proves that no answer will arrive, so requests at the previous one
//! are ended then, as requests that may have run.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use event_listener::Event;
use futures_lite::future;
use plumgate::gateway::{BootTime, FAILURE_WINDOW, FailureEvidence, ServerSign};
use plumgate::ids::ServerId;

use crate::clock::{Clock, until};

/// Incarnation of a server.
#[derive(Debug, Default)]
pub(crate) struct ServerIncarnation {
    has_ended: AtomicBool,
    ended: Event,
    /// Number of requests in flight.
    in_flight: AtomicU64,
    /// Time of the last failure of a request, in microseconds since the VM started; 0 before the first one.
    last_failure_us: AtomicU64,
    failed: Event,
}

impl ServerIncarnation {
    /// Waits for an operation at this incarnation to complete; `None` if the incarnation ended first. An operation
    /// that can complete at once does so even if the incarnation has ended.
    pub(crate) async fn run<T>(&self, work: impl Future<Output = T>) -> Option<T> {
        let work = async { Some(work.await) };
        let ended = async {
            loop {
                let listener = self.ended.listen();
                if self.has_ended() {
                    return None;
                }
                listener.await;
            }
        };
        future::or(work, ended).await
    }

    /// Counts a request that is about to be sent.
    pub(crate) fn begin_request(&self) {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
    }

    /// Counts a request that has ended.
    pub(crate) fn end_request(&self) {
        self.in_flight.fetch_sub(1, Ordering::SeqCst);
    }

    /// Records that a request failed as if the server had failed.
    pub(crate) fn record_failure(&self, now: BootTime) {
        let now = u64::try_from(now.as_micros()).unwrap_or(u64::MAX);
        self.last_failure_us.store(now, Ordering::SeqCst);
        self.failed.notify(usize::MAX);
    }

    /// Waits until it is known whether the server failed when one of its answers ended, which is now.
    pub(crate) async fn failure_sign<C: Clock>(&self, clock: &C) -> ServerSign {
        let ended_at = clock.boot_time();
        let deadline = clock.now() + FAILURE_WINDOW;
        loop {
            let failed = self.failed.listen();
            match self.evidence().sign(ended_at, clock.boot_time()) {
                ServerSign::Awaited => {}
                sign => return sign,
            }
            let _ = until(clock, deadline, failed).await;
        }
    }

    /// Returns whether the server is known to have failed at a time.
    pub(crate) fn has_failed_at(&self, ended_at: BootTime) -> bool {
        self.evidence().sign(ended_at, ended_at) == ServerSign::Failed
    }

    fn evidence(&self) -> FailureEvidence {
        let last_failure = self.last_failure_us.load(Ordering::SeqCst);
        FailureEvidence {
            last_failure: (last_failure != 0).then(|| BootTime::from_micros(last_failure)),
            has_others: self.in_flight.load(Ordering::SeqCst) > 1,
        }
    }

    /// Returns whether the server has restarted since.
    pub(crate) fn has_ended(&self) -> bool {
        self.has_ended.load(Ordering::SeqCst)
    }
}

/// Current incarnations of servers that requests were sent to.
#[derive(Debug, Default)]
pub(crate) struct ServerIncarnations {
    incarnations: Mutex<HashMap<ServerId, Arc<ServerIncarnation>>>,
}

impl ServerIncarnations {
    /// Returns the current incarnation of a server.
    pub(crate) fn current(&self, server: &ServerId) -> Arc<ServerIncarnation> {
        let mut incarnations = self
            .incarnations
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        incarnations.entry(server.clone()).or_default().clone()
    }

    /// Ends the current incarnation of a server after a restart, and the requests that wait for it.
    pub(crate) fn end(&self, server: &ServerId) {
        if let Some(incarnation) = self.remove(server) {
            incarnation.has_ended.store(true, Ordering::SeqCst);
            incarnation.ended.notify(usize::MAX);
        }
    }

    /// Removes a server whose entry was removed; requests that it already runs continue.
    pub(crate) fn forget(&self, server: &ServerId) {
        self.remove(server);
    }

    fn remove(&self, server: &ServerId) -> Option<Arc<ServerIncarnation>> {
        let mut incarnations = self
            .incarnations
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        incarnations.remove(server)
    }
}

//! Incarnations of backend servers, and the requests that end with them.
//!
//! A server that crashed and restarted under the same id has lost the requests of its previous incarnation. Their
//! connections may stay open without any data, and a caller would wait until its deadline for an answer that is
//! never sent. The entry of the new incarnation proves that no answer will arrive, so requests at the previous one
//! are ended then, as requests that may have run.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use event_listener::Event;
use futures_lite::future;
use plumgate::ids::ServerId;

/// Incarnation of a server.
#[derive(Debug, Default)]
pub(crate) struct ServerIncarnation {
    has_ended: AtomicBool,
    ended: Event,
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

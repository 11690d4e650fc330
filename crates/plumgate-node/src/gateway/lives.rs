//! Incarnations of backend servers, and what has to end with them.
//!
//! A server that crashed and started again under its id knows nothing of the requests that its
//! predecessor ran. Their connections may stay silent for good: a caller would wait until its time
//! is over for an answer that nobody makes. The entry of the successor is the proof that no more
//! will come, so what runs at the predecessor ends then, as a request that may have run.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use event_listener::Event;
use futures_lite::future;
use plumgate::ids::ServerId;

/// One incarnation of a server.
#[derive(Debug, Default)]
pub(crate) struct ServerLife {
    is_over: AtomicBool,
    ended: Event,
}

impl ServerLife {
    /// Waits for a piece of work there; `None` where the incarnation ended first. What has come
    /// already is taken before that.
    pub(crate) async fn run<T>(&self, work: impl Future<Output = T>) -> Option<T> {
        let work = async { Some(work.await) };
        let ended = async {
            loop {
                let listener = self.ended.listen();
                if self.is_over() {
                    return None;
                }
                listener.await;
            }
        };
        future::or(work, ended).await
    }

    /// Whether the server has started again since.
    pub(crate) fn is_over(&self) -> bool {
        self.is_over.load(Ordering::SeqCst)
    }
}

/// The incarnations that requests run at.
#[derive(Debug, Default)]
pub(crate) struct ServerLives {
    lives: Mutex<HashMap<ServerId, Arc<ServerLife>>>,
}

impl ServerLives {
    /// The incarnation that has an id now.
    pub(crate) fn current(&self, server: &ServerId) -> Arc<ServerLife> {
        let mut lives = self.lives.lock().unwrap_or_else(PoisonError::into_inner);
        lives.entry(server.clone()).or_default().clone()
    }

    /// The server of an id has started again.
    pub(crate) fn end(&self, server: &ServerId) {
        if let Some(life) = self.remove(server) {
            life.is_over.store(true, Ordering::SeqCst);
            life.ended.notify(usize::MAX);
        }
    }

    /// A server's entry is gone; it goes on with what it has begun.
    pub(crate) fn forget(&self, server: &ServerId) {
        self.remove(server);
    }

    fn remove(&self, server: &ServerId) -> Option<Arc<ServerLife>> {
        let mut lives = self.lives.lock().unwrap_or_else(PoisonError::into_inner);
        lives.remove(server)
    }
}

//! What this node lacks and another one holds.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use event_listener::Event;
use plumgate::gateway::SourceTopic;

/// How long the store is left alone while another node is asked for a copy: the time that one may take.
const COPY_FIRST: Duration = Duration::from_millis(1_100);
/// How long no copy of a topic is asked for after one that did not come: the node that holds it is told
/// of ten times a second, and the store is asked meanwhile.
const COPY_PAUSE: Duration = Duration::from_secs(1);

/// A node that holds what this one lacks.
#[derive(Clone, Copy, Debug)]
struct CopyWish {
    from: SocketAddr,
    /// Until when the store is left alone for it.
    until: Instant,
    /// Whether the node is being asked.
    is_asked: bool,
}

/// The state of one topic.
#[derive(Clone, Copy, Debug, Default)]
struct WishState {
    wish: Option<CopyWish>,
    /// Until when no copy is wished for.
    pause_until: Option<Instant>,
}

/// The copies that are wished for.
#[derive(Debug, Default)]
pub(crate) struct CopyWishes {
    config: RefCell<WishState>,
    servers: RefCell<WishState>,
    wished: Event,
}

impl CopyWishes {
    /// Another node holds what this one lacks of a topic.
    pub(crate) fn wish(&self, topic: SourceTopic, from: SocketAddr, now: Instant) {
        let mut state = self.state(topic).borrow_mut();
        let is_paused = state.pause_until.is_some_and(|until| now < until);
        if is_paused || state.wish.is_some() {
            return;
        }
        state.wish = Some(CopyWish {
            from,
            until: now + COPY_FIRST,
            is_asked: false,
        });
        drop(state);
        self.wished.notify(usize::MAX);
    }

    /// How long the store is to be left alone for a copy that is on its way.
    pub(crate) fn left(&self, topic: SourceTopic, now: Instant) -> Option<Duration> {
        let wish = self.state(topic).borrow().wish?;
        let left = wish.until.saturating_duration_since(now);
        (!left.is_zero()).then_some(left)
    }

    /// Waits until a copy is wished for, and tells whom to ask for it.
    pub(crate) async fn next(&self, topic: SourceTopic) -> SocketAddr {
        loop {
            let wished = self.wished.listen();
            if let Some(wish) = &mut self.state(topic).borrow_mut().wish
                && !wish.is_asked
            {
                wish.is_asked = true;
                return wish.from;
            }
            wished.await;
        }
    }

    /// A copy came, or none did.
    pub(crate) fn settle(&self, topic: SourceTopic, came: bool, now: Instant) {
        let mut state = self.state(topic).borrow_mut();
        state.wish = None;
        state.pause_until = (!came).then(|| now + COPY_PAUSE);
    }

    fn state(&self, topic: SourceTopic) -> &RefCell<WishState> {
        match topic {
            SourceTopic::Config => &self.config,
            SourceTopic::Servers => &self.servers,
        }
    }
}

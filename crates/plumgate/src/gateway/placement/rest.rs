//! The rest that a server asked for, and its return to work.

use std::time::{Duration, Instant};

/// How long a server that comes back gets one request at a time, unless it answers one before.
const RETURN_TIME: Duration = Duration::from_millis(500);
/// Time after which a request that waits for a server's first answer looks again.
const RETURN_CHECK: Duration = Duration::from_millis(25);
/// How much later than asked a server gets requests again at most, as a share of its rest and as a time: not all
/// nodes come back at once.
const SPREAD_SHARE: f64 = 0.1;
const SPREAD_MOST: Duration = Duration::from_millis(300);
/// The farthest end of a rest that is told apart from later ones: clocks can't tell any moment.
const FARTHEST: Duration = Duration::from_secs(365 * 86_400);
/// How far two views of one rest may lie apart, as they are taken at different moments.
const SAME_REST: Duration = Duration::from_millis(20);

/// A rest, from its begin to the first answer after it.
#[derive(Clone, Copy, Debug)]
struct RestSpan {
    /// Its end, as the server asked for it.
    asked: Instant,
    /// Its end, as this node keeps to it.
    until: Instant,
    /// Whether a request is out that shows whether the server takes work again.
    has_probe: bool,
}

/// The rest of one server; none for one that never asked, or has answered since.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ServerRest(Option<RestSpan>);

impl ServerRest {
    /// Takes over how much of a rest is left; `spread` from 0 to 1 tells how much later this node comes back.
    pub(crate) fn set_left(&mut self, left: Option<Duration>, spread: f64, now: Instant) {
        let Some(left) = left else {
            if let Some(span) = &mut self.0 {
                // The time since the VM started says that it is over.
                span.until = span.until.min(now + SPREAD_MOST);
            }
            return;
        };
        let asked = now + left.min(FARTHEST);
        let known = self.0.map(|span| span.asked);
        let distance = known.map(|known| asked.max(known) - asked.min(known));
        if distance.is_some_and(|distance| distance < SAME_REST) {
            return;
        }
        let most = left.mul_f64(SPREAD_SHARE).min(SPREAD_MOST);
        self.0 = Some(RestSpan {
            asked,
            until: asked + most.mul_f64(spread),
            has_probe: false,
        });
    }

    /// Until when the server gets no further request; none where it takes one now.
    pub(crate) fn blocks_until(&self, now: Instant) -> Option<Instant> {
        let span = self.0?;
        if now < span.until {
            return Some(span.until);
        }
        let is_returning = now < span.until + RETURN_TIME;
        (is_returning && span.has_probe).then(|| now + RETURN_CHECK)
    }

    /// A request goes to the server.
    pub(crate) fn note_start(&mut self, now: Instant) {
        if let Some(span) = self.0.as_mut().filter(|span| now >= span.until) {
            span.has_probe = true;
        }
    }

    /// The server answers a request that went there at a moment: it works again, if that was after the rest.
    pub(crate) fn note_answer(&mut self, started: Instant) {
        if self.0.is_some_and(|span| started >= span.until) {
            self.0 = None;
        }
    }

    /// A request that went there at a moment ended.
    pub(crate) fn note_end(&mut self, started: Instant) {
        if let Some(span) = self.0.as_mut().filter(|span| started >= span.until) {
            span.has_probe = false;
        }
    }
}

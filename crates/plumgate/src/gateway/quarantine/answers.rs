//! Requests that were answered lately: they don't end the servers that run them.

use std::time::{Duration, Instant};

use super::identity::RequestIdentity;

/// Requests that are remembered, 48 bytes each. A popular one is noted again and again; which of two that share a
/// place is remembered does not matter, as what is forgotten counts as unknown.
const PLACES: usize = 1_024;
/// How long an answer speaks for a request. A text that ends servers since their last update was perhaps answered
/// before it.
const SPEAKS_FOR: Duration = Duration::from_secs(10);

/// A request and when it was answered last.
type AnswerPlace = Option<(RequestIdentity, Instant)>;

/// Requests that were answered lately.
///
/// A popular read runs wherever servers end, under whatever request, and all that ran there looks the same at the
/// end. Where three servers of a small pool end within a second, no answer comes in between; but there
/// were answers before.
#[derive(Debug, Default)]
pub(crate) struct RecentAnswers {
    places: Vec<AnswerPlace>,
}

impl RecentAnswers {
    /// A request was answered.
    pub(crate) fn note(&mut self, identity: RequestIdentity, now: Instant) {
        if self.places.is_empty() {
            self.places.resize(PLACES, None);
        }
        self.places[place(identity)] = Some((identity, now));
    }

    /// Whether a request was answered lately.
    pub(crate) fn speak_for(&self, identity: RequestIdentity, now: Instant) -> bool {
        let answered = self.places.get(place(identity)).copied().flatten();
        answered.is_some_and(|(held, at)| {
            held == identity && now.saturating_duration_since(at) < SPEAKS_FOR
        })
    }
}

fn place(identity: RequestIdentity) -> usize {
    identity.rank_seed() as usize % PLACES
}

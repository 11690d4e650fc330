//! Recently answered requests, which count as harmless.

use std::time::{Duration, Instant};

use super::identity::RequestIdentity;

/// Number of slots for requests, 48 bytes each. Of two requests that share a slot only the last answered one
/// is remembered. The other counts as unknown; a popular request is soon answered and recorded again.
const SLOT_COUNT: usize = 1_024;
/// Time for which an answer shows that a request is harmless. It is short, as a request that crashes servers
/// only since their last update may have been answered before the update.
const ANSWER_LIFETIME: Duration = Duration::from_secs(10);

/// Request and the time of its last answer.
type AnswerSlot = Option<(RequestIdentity, Instant)>;

/// Recently answered requests.
///
/// A popular request runs on most servers, so crashes that other requests cause interrupt it too, and the
/// evidence is the same for all runs on a crashed server. If three servers of a small pool crash within a
/// second, no answer to a popular request arrives in between to refute this evidence, but earlier answers do.
#[derive(Debug, Default)]
pub(crate) struct RecentAnswers {
    slots: Vec<AnswerSlot>,
}

impl RecentAnswers {
    /// Records that a request was answered.
    pub(crate) fn record(&mut self, identity: RequestIdentity, now: Instant) {
        if self.slots.is_empty() {
            self.slots.resize(SLOT_COUNT, None);
        }
        self.slots[slot_index(identity)] = Some((identity, now));
    }

    /// Returns whether a request was answered recently.
    pub(crate) fn contains(&self, identity: RequestIdentity, now: Instant) -> bool {
        let answered = self.slots.get(slot_index(identity)).copied().flatten();
        answered.is_some_and(|(known, at)| {
            known == identity && now.saturating_duration_since(at) < ANSWER_LIFETIME
        })
    }
}

fn slot_index(identity: RequestIdentity) -> usize {
    identity.rank_seed() as usize % SLOT_COUNT
}

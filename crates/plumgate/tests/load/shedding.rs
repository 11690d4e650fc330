//! Engines that reject requests for some time and ask for rests.

use std::time::Duration;

use plumgate::gateway::{
    AdmissionPolicy, AnswerTimes, RestStatement, ServerEntry, ServerStatement,
};

use super::{LoadRun, PendingRequest, engine_index};

/// Most engines that a request is sent to.
const MAX_TRIES: usize = 4;
/// Seconds until the rejection of an engine arrives.
const REJECTION_SECONDS: f64 = 0.005;
/// Share of its target for which a request waits for a resting engine.
const WAIT_SHARE: f64 = 0.125;
/// Delay of callers when no engine's rest is known.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_millis(400);

/// Handling of a rest that an engine asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RestHandling {
    /// A rejection only means that the engine is full.
    Ignored,
    /// The node whose request was rejected respects the rest.
    OwnNode,
    /// All nodes respect the rest, at once.
    AllNodes,
}

/// Which engines shed load, when, and how nodes handle it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ShedPlan {
    /// Share of the engines that shed, counted from the first one.
    pub(crate) share: f64,
    pub(crate) from: f64,
    pub(crate) to: f64,
    /// Shortest and longest rest that an engine asks for, in seconds.
    pub(crate) rests: (f64, f64),
    pub(crate) handling: RestHandling,
}

impl LoadRun {
    /// Returns whether an engine rejects requests at `now`.
    pub(super) fn is_shedding(&self, engine: usize, now: f64) -> bool {
        self.plan.shedding.is_some_and(|plan| {
            let count = (plan.share * self.engines.len() as f64).round() as usize;
            engine < count && (plan.from..plan.to).contains(&now)
        })
    }

    /// Sends a request that an engine rejected to the next engine, or refuses it after its last try.
    pub(super) fn handle_rejection(
        &mut self,
        mut pending: PendingRequest,
        index: usize,
        server: &ServerEntry,
        now: f64,
    ) {
        self.result.shed += 1;
        let engine = engine_index(&server.id);
        let rests = self.rests.get(&(index, engine));
        self.result.during_rest += u64::from(rests.is_some_and(|until| now < *until));
        self.record_rest(index, server, now);
        pending.tried.push(server.id.clone());
        if pending.tried.len() < MAX_TRIES {
            self.retries.push((now + REJECTION_SECONDS, pending));
            return;
        }
        self.refuse_after(pending, DEFAULT_RETRY_DELAY, now);
    }

    fn record_rest(&mut self, index: usize, server: &ServerEntry, now: f64) {
        let Some(plan) = self.plan.shedding else {
            return;
        };
        let (shortest, longest) = plan.rests;
        let rest = Duration::from_secs_f64(shortest + (longest - shortest) * self.rng.f64());
        let until = now + rest.as_secs_f64();
        self.rests.insert((index, engine_index(&server.id)), until);
        let respecting = match plan.handling {
            RestHandling::Ignored => 0..0,
            RestHandling::OwnNode => index..index + 1,
            RestHandling::AllNodes => 0..self.nodes.len(),
        };
        let at = self.at(now);
        let seen = Duration::from_secs_f64(now);
        let times = AnswerTimes {
            sent: seen,
            seen,
            seen_unix_ms: 0,
        };
        let statement = ServerStatement {
            rest: RestStatement::For(rest),
            ..ServerStatement::default()
        };
        for node in &mut self.nodes[respecting] {
            node.statements.record_notices(server, &statement, times);
            let availability = node
                .statements
                .notices
                .availability(server.incarnation_id(), seen);
            node.table.set_availability(server, availability, at);
        }
    }

    /// Handles a request that no engine accepts now: it waits where an engine will be available soon;
    /// otherwise its caller is refused with a delay.
    pub(super) fn wait_for_engine(
        &mut self,
        pending: PendingRequest,
        deferred_for: Option<Duration>,
        now: f64,
    ) {
        let waited = now - pending.last_sent;
        let patience = self.plan.kinds[pending.kind].target * WAIT_SHARE;
        match deferred_for {
            Some(deferred_for) if waited + deferred_for.as_secs_f64() <= patience => {
                let urgency_delay = 0.002 * f64::from(self.plan.kinds[pending.kind].urgency);
                let available_at = now + deferred_for.as_secs_f64() + urgency_delay;
                self.retries.push((available_at, pending));
            }
            Some(deferred_for) => self.refuse_after(pending, deferred_for, now),
            None => self.refuse_after(pending, DEFAULT_RETRY_DELAY, now),
        }
    }

    fn refuse_after(&mut self, pending: PendingRequest, delay: Duration, now: f64) {
        let left = pending.first_sent + self.plan.kinds[pending.kind].patience - now;
        let left = Duration::from_secs_f64(left.max(0.0));
        let retry_after = AdmissionPolicy::new().retry_delay(delay, left, self.rng.f64());
        self.refuse(pending, retry_after, now);
    }
}

//! Engines that turn requests away for some time and ask for rests.

use std::time::Duration;

use plumgate::gateway::{
    AdmissionPolicy, AnswerTimes, RestStatement, ServerEntry, ServerStatement,
};

use super::{CallerWish, LoadRun, engine_index};

/// Engines that one request is offered to at most.
const TRIES_MOST: usize = 4;
/// Seconds that a refusal takes.
const REFUSAL: f64 = 0.005;
/// Share of its target for which a request waits for an engine that rests.
const WAIT_SHARE: f64 = 0.125;
/// Pause of callers for whom nothing is known of any engine.
const REFUSED_PAUSE: Duration = Duration::from_millis(400);

/// What nodes make of a rest that an engine asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RestWay {
    /// A refusal means that the engine is full.
    Ignored,
    /// The node that was refused keeps to it.
    OwnNode,
    /// So do all others, at once.
    AllNodes,
}

/// Which engines shed, when, and what nodes make of it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ShedPlan {
    /// The share of the engines, the first ones.
    pub(crate) share: f64,
    pub(crate) from: f64,
    pub(crate) to: f64,
    /// The shortest and the longest rest that one asks for, in seconds.
    pub(crate) rests: (f64, f64),
    pub(crate) way: RestWay,
}

impl LoadRun {
    /// Whether an engine turns away what comes now.
    pub(super) fn sheds(&self, engine: usize, now: f64) -> bool {
        self.plan.shedding.is_some_and(|plan| {
            let count = (plan.share * self.engines.len() as f64).round() as usize;
            engine < count && (plan.from..plan.to).contains(&now)
        })
    }

    /// An engine turned a request of a node away: it goes on to the next one.
    pub(super) fn turn_away(
        &mut self,
        mut wish: CallerWish,
        index: usize,
        server: &ServerEntry,
        now: f64,
    ) {
        self.result.shed += 1;
        let engine = engine_index(&server.id);
        let rests = self.rests.get(&(index, engine));
        self.result.in_rest += u64::from(rests.is_some_and(|until| now < *until));
        self.note_rest(index, server, now);
        wish.tried.push(server.id.clone());
        if wish.tried.len() < TRIES_MOST {
            self.returning.push((now + REFUSAL, wish));
            return;
        }
        self.send_back(wish, REFUSED_PAUSE, now);
    }

    fn note_rest(&mut self, index: usize, server: &ServerEntry, now: f64) {
        let Some(plan) = self.plan.shedding else {
            return;
        };
        let (shortest, longest) = plan.rests;
        let rest = Duration::from_secs_f64(shortest + (longest - shortest) * self.rng.f64());
        let until = now + rest.as_secs_f64();
        self.rests.insert((index, engine_index(&server.id)), until);
        let told = match plan.way {
            RestWay::Ignored => 0..0,
            RestWay::OwnNode => index..index + 1,
            RestWay::AllNodes => 0..self.nodes.len(),
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
        for node in &mut self.nodes[told] {
            node.statements.record_notices(server, &statement, times);
            let availability = node
                .statements
                .notices
                .availability(server.incarnation_id(), seen);
            node.table.set_availability(server, availability, at);
        }
    }

    /// No engine takes a request now: it waits where one will be back soon, and its caller is sent back otherwise.
    pub(super) fn await_engine(&mut self, wish: CallerWish, held_for: Option<Duration>, now: f64) {
        let waited = now - wish.sent;
        let patience = self.plan.kinds[wish.kind].target * WAIT_SHARE;
        match held_for {
            Some(held_for) if waited + held_for.as_secs_f64() <= patience => {
                let behind = 0.002 * f64::from(self.plan.kinds[wish.kind].urgency);
                let back = now + held_for.as_secs_f64() + behind;
                self.returning.push((back, wish));
            }
            Some(held_for) => self.send_back(wish, held_for, now),
            None => self.send_back(wish, REFUSED_PAUSE, now),
        }
    }

    fn send_back(&mut self, wish: CallerWish, pause: Duration, now: f64) {
        let left = wish.came + self.plan.kinds[wish.kind].patience - now;
        let left = Duration::from_secs_f64(left.max(0.0));
        let retry_after = AdmissionPolicy::new().retry_delay(pause, left, self.rng.f64());
        self.refuse(wish, retry_after, now);
    }
}

//! Lookups in progress: whom they ask, how long they wait, and how many there may be.

use std::collections::HashMap;
use std::net::SocketAddr;

use super::history::{SingleVersion, VersionHistory};
use super::holders::{asked, others};
use super::lookup::{
    AskPhase, LookupId, LookupState, OriginFinding, OriginLookup, OriginSource, REPEAT_AFTER,
    UNSENT_PAUSE, VIEW_TIMEOUT,
};
use super::messages::{OriginMessage, OriginPacket, OriginReply};
use crate::gateway::exchange::NodeEntry;
use crate::gateway::rate_limit::BootTime;
use crate::token_bucket::TokenBucket;

/// Maximum number of lookups in progress.
const MAX_LOOKUPS: usize = 512;
/// Lookups a second that ask other nodes, and how many at once.
const LOOKUP_RATE: (f64, f64) = (50.0, 200.0);
/// Lookups a second that ask all other nodes of a large fleet, and how many at once.
const ASK_ALL_RATE: (f64, f64) = (2.0, 10.0);
/// Lookups of one node.
#[derive(Debug)]
pub(crate) struct LookupTable {
    lookups: HashMap<LookupId, OriginLookup>,
    lookup_bucket: TokenBucket<BootTime>,
    ask_all_bucket: TokenBucket<BootTime>,
}

impl Default for LookupTable {
    fn default() -> Self {
        Self {
            lookups: HashMap::new(),
            lookup_bucket: TokenBucket::new(LOOKUP_RATE.1, BootTime::ZERO),
            ask_all_bucket: TokenBucket::new(ASK_ALL_RATE.1, BootTime::ZERO),
        }
    }
}

impl LookupTable {
    /// Begins a lookup. Returns false if there are too many. It asks other nodes if its result is not known, it names
    /// the stream, and the allowance lasts.
    pub(crate) fn begin(&mut self, id: LookupId, mut lookup: OriginLookup, now: BootTime) -> bool {
        if self.lookups.len() >= MAX_LOOKUPS {
            return false;
        }
        if lookup.finding.is_none() && lookup.key.is_some() {
            self.lookup_bucket.refill(LOOKUP_RATE.0, LOOKUP_RATE.1, now);
            if self.lookup_bucket.take(1.0) {
                lookup.phase = AskPhase::Queued;
            } else {
                lookup.has_silent = true;
            }
        }
        self.lookups.insert(id, lookup);
        true
    }

    /// Removes a lookup whose caller has left.
    pub(crate) fn cancel(&mut self, id: LookupId) {
        self.lookups.remove(&id);
    }

    /// Advances a lookup. One that is done is removed.
    pub(crate) fn advance(
        &mut self,
        id: LookupId,
        history: &VersionHistory,
        now: BootTime,
    ) -> LookupState {
        self.advance_phase(id, now);
        let state = match self.lookups.get(&id) {
            Some(lookup) => lookup_state(lookup, history, now),
            None => LookupState::Done(OriginFinding::Unreachable),
        };
        if matches!(state, LookupState::Done(_)) {
            self.lookups.remove(&id);
        }
        state
    }

    /// Ends the phase of a lookup if its time is over or all asked nodes have replied. All other nodes are asked next,
    /// if that is left to do.
    fn advance_phase(&mut self, id: LookupId, now: BootTime) {
        let Some(lookup) = self.lookups.get_mut(&id) else {
            return;
        };
        let is_late = lookup.phase_end().is_some_and(|end| now >= end);
        if is_late {
            let is_unsent = matches!(lookup.phase, AskPhase::Queued | AskPhase::AllQueued);
            lookup.has_silent |= !lookup.awaited.is_empty() || is_unsent;
            lookup.awaited.clear();
        }
        let is_asking = matches!(lookup.phase, AskPhase::Holders | AskPhase::All);
        let has_all_replies = is_asking && lookup.awaited.is_empty();
        if !(is_late || has_all_replies) {
            return;
        }
        let asks_all = lookup.phase == AskPhase::Holders && !lookup.has_asked_all;
        lookup.phase = AskPhase::Ended;
        if !asks_all {
            return;
        }
        self.ask_all_bucket
            .refill(ASK_ALL_RATE.0, ASK_ALL_RATE.1, now);
        if self.ask_all_bucket.take(1.0) {
            lookup.phase = AskPhase::AllQueued;
            lookup.phase_since = now;
            lookup.is_repeated = true;
        } else {
            lookup.has_silent = true;
        }
    }

    /// Returns whether queries are due.
    pub(crate) fn has_queries(&self, now: BootTime) -> bool {
        let is_due = |lookup: &OriginLookup| match lookup.phase {
            AskPhase::Queued | AskPhase::AllQueued => true,
            AskPhase::Holders => !lookup.is_repeated && now >= lookup.phase_since + REPEAT_AFTER,
            AskPhase::All | AskPhase::Ended => false,
        };
        self.lookups.values().any(is_due)
    }

    /// Returns the queries that are due, given this node and the other known ones.
    pub(crate) fn take_queries(
        &mut self,
        own: &NodeEntry,
        nodes: &[NodeEntry],
        now: BootTime,
    ) -> Vec<OriginPacket> {
        let lookups = self.lookups.iter_mut();
        lookups
            .flat_map(|(id, lookup)| query_packets(*id, lookup, own, nodes, now))
            .collect()
    }

    /// Handles the reply of another node.
    pub(crate) fn receive_reply(&mut self, from: SocketAddr, id: LookupId, reply: OriginReply) {
        let Some(lookup) = self.lookups.get_mut(&id) else {
            return;
        };
        lookup.awaited.remove(&from);
        match reply {
            OriginReply::Unknown => {}
            OriginReply::InDoubt => lookup.finding = Some(OriginFinding::Unknown),
            OriginReply::Known(origin) => {
                let known = OriginFinding::Known(origin, OriginSource::Told);
                match lookup.finding {
                    None => lookup.finding = Some(known),
                    Some(finding) if finding == known => {}
                    // Two nodes know different origins.
                    Some(_) => lookup.finding = Some(OriginFinding::Unknown),
                }
            }
        }
    }

    /// Returns the number of lookups in progress.
    pub(crate) fn len(&self) -> usize {
        self.lookups.len()
    }
}

/// Returns the state of a lookup whose phase is up to date.
fn lookup_state(lookup: &OriginLookup, history: &VersionHistory, now: BootTime) -> LookupState {
    if let Some(finding) = lookup.finding {
        return LookupState::Done(finding);
    }
    let single = lookup.pool.map_or(SingleVersion::Unknown, |pool| {
        history.single_version(pool, lookup.arrived)
    });
    let view_end = lookup.arrived + VIEW_TIMEOUT;
    let finding = match (single, lookup.phase_end()) {
        (SingleVersion::Known(origin), _) => {
            OriginFinding::Known(origin, OriginSource::SingleVersion)
        }
        (_, Some(end)) if lookup.is_repeated => return LookupState::WaitsUntil(end),
        (_, Some(end)) => {
            // The time of queries that are due is over: without a pause, the lookup would be advanced at once.
            let repeats_at = (lookup.phase_since + REPEAT_AFTER).max(now + UNSENT_PAUSE);
            return LookupState::WaitsUntil(end.min(repeats_at));
        }
        (SingleVersion::AwaitsView, None) if now < view_end => {
            return LookupState::WaitsUntil(view_end);
        }
        (SingleVersion::AwaitsView, None) => OriginFinding::Unreachable,
        (SingleVersion::Unknown, None) if lookup.has_silent => OriginFinding::Unreachable,
        (SingleVersion::Unknown, None) => OriginFinding::Unknown,
    };
    LookupState::Done(finding)
}

/// Returns the queries of a lookup that are due.
fn query_packets(
    id: LookupId,
    lookup: &mut OriginLookup,
    own: &NodeEntry,
    nodes: &[NodeEntry],
    now: BootTime,
) -> Vec<OriginPacket> {
    let Some(key) = lookup.key else {
        return Vec::new();
    };
    match lookup.phase {
        AskPhase::Queued => {
            let (asked, is_all) = asked(key, own, nodes);
            lookup.awaited = asked.into_iter().collect();
            lookup.has_asked_all = is_all;
            lookup.phase = AskPhase::Holders;
            lookup.phase_since = now;
        }
        AskPhase::AllQueued => {
            lookup.awaited = others(own, nodes).into_iter().collect();
            lookup.phase = AskPhase::All;
        }
        AskPhase::Holders if !lookup.is_repeated && now >= lookup.phase_since + REPEAT_AFTER => {
            lookup.is_repeated = true;
        }
        AskPhase::Holders | AskPhase::All | AskPhase::Ended => return Vec::new(),
    }
    let message = OriginMessage::Query { lookup: id, key };
    let awaited = lookup.awaited.iter();
    awaited.map(|address| (*address, message.clone())).collect()
}

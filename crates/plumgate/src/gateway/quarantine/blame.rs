//! Blame for crashes that several suspects may have caused.
//!
//! A crash interrupts all runs on its server, and a run holds several suspects: the request and the parts of its prompt.
//! Crashes that another blocked suspect explains don't count against a suspect, unless the request holds both.

use super::blame_index::BlameIndex;
use super::identity::RequestIdentity;
use super::rule::SuspectState;
use super::run_suspects::RunSuspects;
use super::table::QuarantineTable;

/// Number of crashes that a part may share with no other suspect although another one is to blame: those that other
/// causes add.
const MAX_COINCIDENCES: usize = 1;

/// Restriction on a request, and the suspect that it follows from.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestRestriction {
    pub(crate) state: SuspectState,
    pub(crate) identity: RequestIdentity,
}

impl QuarantineTable {
    /// Returns the most severe restriction on a request that holds these suspects; `None` if there is none.
    pub(crate) fn restriction(&self, suspects: &RunSuspects) -> Option<RequestRestriction> {
        if self.records.is_empty() {
            return None;
        }
        let restrictions = suspects.iter().map(|identity| RequestRestriction {
            state: self.blame(identity, |other| suspects.contains(other)),
            identity,
        });
        restrictions
            .filter(|restriction| restriction.state != SuspectState::Free)
            .max_by_key(|restriction| restriction.state)
    }

    /// Returns the restriction that follows from one suspect of a request, which holds the suspects that are present.
    fn blame(
        &self,
        identity: RequestIdentity,
        is_present: impl Fn(RequestIdentity) -> bool,
    ) -> SuspectState {
        let Some(record) = self.records.get(&identity) else {
            return SuspectState::Free;
        };
        let servers = record.history.servers().count();
        let unexplained = record.history.count_where(|server| {
            let mut others = self.blame.others(server, identity, servers);
            !others.any(|other| !is_present(other))
        });
        let coincidences = if identity.is_prompt_part() {
            MAX_COINCIDENCES
        } else {
            0
        };
        if unexplained.servers > coincidences {
            return record.own;
        }
        match record.own {
            // Which of several suspects it was shows once the request is sent without the others.
            SuspectState::Blocked => SuspectState::OneByOne,
            SuspectState::OneByOne | SuspectState::Free => SuspectState::Free,
        }
    }

    /// Derives the states of all suspects again, after the crashes of one of them have changed. Returns those that
    /// changed, each with its previous state.
    pub(crate) fn refresh_states(&mut self) -> Vec<(RequestIdentity, SuspectState)> {
        self.blame = BlameIndex::new(&self.records);
        let suspected = self.records.iter().filter(|(_, record)| {
            record.own != SuspectState::Free || record.state != SuspectState::Free
        });
        let before: Vec<_> = suspected
            .map(|(identity, record)| (*identity, record.state))
            .collect();
        let states: Vec<SuspectState> = before
            .iter()
            .map(|(identity, _)| self.blame(*identity, |other| other == *identity))
            .collect();
        for ((identity, _), state) in before.iter().zip(&states) {
            if let Some(record) = self.records.get_mut(identity) {
                record.state = *state;
            }
        }
        let changed = before.into_iter().zip(states);
        changed
            .filter(|((_, before), state)| before != state)
            .map(|(suspect, _)| suspect)
            .collect()
    }
}

//! Queue of the locations of prompt parts that are passed on to other nodes.

use std::collections::HashMap;
use std::collections::hash_map::Entry;

use super::messages::PartLocation;

/// Number of rounds in which a location is sent: enough that one of the messages arrives.
const LOCATION_ROUNDS: u32 = 3;
/// Maximum number of locations in one message.
const MAX_LOCATIONS: usize = 80;

/// Locations of prompt parts that this node sends and has received.
#[derive(Debug, Default)]
pub(crate) struct LocationQueue {
    /// Locations to send, and the number of rounds left for each.
    locations: HashMap<PartLocation, u32>,
    /// Locations sent in this round.
    outgoing: Vec<PartLocation>,
    /// Received locations that placement has not taken yet.
    received: Vec<PartLocation>,
}

impl LocationQueue {
    /// Queues locations at which this node had parts prefilled.
    pub(crate) fn announce(&mut self, locations: impl IntoIterator<Item = PartLocation>) {
        for location in locations {
            self.locations.insert(location, LOCATION_ROUNDS);
        }
    }

    /// Stores received locations that are new, and queues them if `passes_on` is set.
    pub(crate) fn receive(&mut self, locations: Vec<PartLocation>, passes_on: bool) {
        for location in locations {
            if let Entry::Vacant(entry) = self.locations.entry(location) {
                // Only collectors pass on what they received: otherwise it would circulate for ever.
                if passes_on {
                    entry.insert(LOCATION_ROUNDS);
                }
                self.received.push(location);
            }
        }
    }

    /// Takes the locations received from other nodes since the last call.
    pub(crate) fn take_received(&mut self) -> Vec<PartLocation> {
        std::mem::take(&mut self.received)
    }

    /// Selects the locations to send in this round, those sent least often first.
    pub(crate) fn begin_round(&mut self) {
        let mut pending: Vec<(u32, PartLocation)> = self
            .locations
            .iter()
            .filter(|(_, rounds)| **rounds > 0)
            .map(|(location, rounds)| (*rounds, *location))
            .collect();
        pending.sort_by_key(|(rounds, _)| std::cmp::Reverse(*rounds));
        pending.truncate(MAX_LOCATIONS);
        self.outgoing = pending.into_iter().map(|(_, location)| location).collect();
        for location in &self.outgoing {
            if let Some(rounds) = self.locations.get_mut(location) {
                *rounds -= 1;
            }
        }
        // A location that was sent often enough is dropped, so that it can be announced again later.
        self.locations.retain(|_, rounds| *rounds > 0);
    }

    /// Returns the locations to send in this round.
    pub(crate) fn outgoing(&self) -> &[PartLocation] {
        &self.outgoing
    }
}

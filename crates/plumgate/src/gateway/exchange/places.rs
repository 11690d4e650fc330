//! Places of prompt parts that are passed on to other nodes.

use std::collections::HashMap;
use std::collections::hash_map::Entry;

use super::messages::PartPlace;

/// Rounds in which a place is told: enough that one of them arrives.
const PLACE_ROUNDS: u32 = 3;
/// Places in one message.
const PLACES_MOST: usize = 80;

/// What one node tells and hears of places.
#[derive(Debug, Default)]
pub(crate) struct PlaceQueue {
    /// Places that are passed on, and for how many more rounds.
    places: HashMap<PartPlace, u32>,
    /// Places that this round tells.
    telling: Vec<PartPlace>,
    /// Places that this node has not taken over yet.
    news: Vec<PartPlace>,
}

impl PlaceQueue {
    /// This node had parts read by servers.
    pub(crate) fn tell(&mut self, places: impl IntoIterator<Item = PartPlace>) {
        for place in places {
            self.places.insert(place, PLACE_ROUNDS);
        }
    }

    /// Another node told of places.
    pub(crate) fn hear(&mut self, places: Vec<PartPlace>, passes_on: bool) {
        for place in places {
            if let Entry::Vacant(entry) = self.places.entry(place) {
                // Only collectors pass on what others told, or it would go round for ever.
                if passes_on {
                    entry.insert(PLACE_ROUNDS);
                }
                self.news.push(place);
            }
        }
    }

    /// Places that other nodes told of since the last call.
    pub(crate) fn take_news(&mut self) -> Vec<PartPlace> {
        std::mem::take(&mut self.news)
    }

    /// Chooses the places that this round tells: those that were told least often first.
    pub(crate) fn begin_round(&mut self) {
        let mut waiting: Vec<(u32, PartPlace)> = self
            .places
            .iter()
            .filter(|(_, rounds)| **rounds > 0)
            .map(|(place, rounds)| (*rounds, *place))
            .collect();
        waiting.sort_by_key(|(rounds, _)| std::cmp::Reverse(*rounds));
        waiting.truncate(PLACES_MOST);
        self.telling = waiting.into_iter().map(|(_, place)| place).collect();
        for place in &self.telling {
            if let Some(rounds) = self.places.get_mut(place) {
                *rounds -= 1;
            }
        }
        // What was told often enough is forgotten, so that it can be told anew later.
        self.places.retain(|_, rounds| *rounds > 0);
    }

    /// The places that this round tells.
    pub(crate) fn telling(&self) -> &[PartPlace] {
        &self.telling
    }
}

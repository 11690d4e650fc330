//! The time of day that the nodes agree on.
//!
//! One node's own time of day may jump by seconds. A jump of a few nodes does not move the middle of what all of
//! them say, and between two looks at that middle the steady clock counts on.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::NodeId;

/// Milliseconds of the Unix epoch.
pub type UnixMillis = u64;

/// How far a node's own word follows its time of day, in milliseconds a second: a clock that runs 50 in a million
/// off is caught up with, and a jump of seconds that is taken back soon hardly shows.
const SLEW_PER_SECOND: f64 = 0.5;
/// How long the word of another node counts: many rounds, so that lost messages do no harm.
const WORD_LIFETIME: Duration = Duration::from_secs(5);

/// What a node says of the time of day.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClockNews {
    /// By its own clock alone.
    pub own: UnixMillis,
    /// By the clocks of its data centre alone, where it collects. What was agreed on with others must not be their word
    /// again: the time that messages take would add up.
    pub centre: Option<UnixMillis>,
    /// By what it has agreed on with others.
    pub agreed: Option<UnixMillis>,
}

/// The word of another node: its time less this node's time since the start.
#[derive(Clone, Copy, Debug)]
struct HeardWord {
    offset: i64,
    weight: usize,
    at: Duration,
}

/// The time of day as one node knows it. Moments are times since the VM started, suspension included.
#[derive(Clone, Debug, Default)]
pub struct AgreedClock {
    /// By the node's own time of day, without its jumps.
    own: Option<f64>,
    own_at: Duration,
    centre: Option<i64>,
    agreed: Option<i64>,
    /// The words of the nodes of this data centre.
    members: HashMap<NodeId, HeardWord>,
    /// The words of other data centres' collectors.
    centres: HashMap<NodeId, HeardWord>,
}

impl AgreedClock {
    /// A clock that has heard nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// The node's time of day, looked at now and then.
    pub fn note_own(&mut self, unix: UnixMillis, boot: Duration) {
        let offset = offset_of(unix, boot) as f64;
        let Some(own) = self.own else {
            self.own = Some(offset);
            self.own_at = boot;
            return;
        };
        let passed = boot.saturating_sub(self.own_at).as_secs_f64();
        let most = passed * SLEW_PER_SECOND;
        self.own = Some(own + (offset - own).clamp(-most, most));
        self.own_at = boot;
    }

    /// The own word of another node of this data centre came.
    pub fn hear(&mut self, node: &NodeId, news: &ClockNews, boot: Duration) {
        let word = HeardWord::new(news.own, 1, boot);
        self.members.insert(node.clone(), word);
    }

    /// The word of the collector of another data centre came, which counts for its nodes.
    pub fn hear_centre(&mut self, node: &NodeId, news: &ClockNews, nodes: usize, boot: Duration) {
        let word = HeardWord::new(news.centre.unwrap_or(news.own), nodes.max(1), boot);
        self.centres.insert(node.clone(), word);
    }

    /// What this node's collector agreed on came.
    pub fn follow(&mut self, news: &ClockNews, boot: Duration) {
        if let Some(agreed) = news.agreed {
            self.agreed = Some(offset_of(agreed, boot));
        }
    }

    /// Agrees anew on the middle of what was heard; for a node that collects.
    pub fn agree(&mut self, boot: Duration) {
        let is_recent = |word: &HeardWord| boot.saturating_sub(word.at) < WORD_LIFETIME;
        self.members.retain(|_, word| is_recent(word));
        self.centres.retain(|_, word| is_recent(word));
        let own = self.own.map(|own| (own as i64, 1));
        let members = self.members.values().map(HeardWord::weighed).chain(own);
        let members: Vec<(i64, usize)> = members.collect();
        let centres = self.centres.values().map(HeardWord::weighed);
        let all: Vec<(i64, usize)> = members.iter().copied().chain(centres).collect();
        self.centre = middle(members);
        self.agreed = middle(all).or(self.agreed);
    }

    /// What this node says.
    pub fn news(&self, boot: Duration) -> Option<ClockNews> {
        Some(ClockNews {
            own: unix_at(self.own? as i64, boot),
            centre: self.centre.map(|centre| unix_at(centre, boot)),
            agreed: self.agreed.map(|agreed| unix_at(agreed, boot)),
        })
    }

    /// The offset of the time of day against the time since the start; none before anything is known.
    pub fn offset(&self) -> Option<i64> {
        self.agreed.or(self.own.map(|own| own as i64))
    }

    /// The time of day; none before anything is known.
    pub fn now(&self, boot: Duration) -> Option<UnixMillis> {
        Some(unix_at(self.offset()?, boot))
    }
}

impl HeardWord {
    fn new(unix: UnixMillis, weight: usize, boot: Duration) -> Self {
        Self {
            offset: offset_of(unix, boot),
            weight,
            at: boot,
        }
    }

    fn weighed(&self) -> (i64, usize) {
        (self.offset, self.weight)
    }
}

/// The middle of some words by their weights.
fn middle(mut words: Vec<(i64, usize)>) -> Option<i64> {
    words.sort_unstable();
    let sum: usize = words.iter().map(|(_, weight)| weight).sum();
    let mut passed = 0;
    let middle = words.iter().find(|(_, weight)| {
        passed += weight;
        passed >= sum.div_ceil(2)
    });
    middle.map(|(offset, _)| *offset)
}

fn offset_of(unix: UnixMillis, boot: Duration) -> i64 {
    let unix = i64::try_from(unix).unwrap_or(i64::MAX);
    unix.saturating_sub(boot_millis(boot))
}

fn unix_at(offset: i64, boot: Duration) -> UnixMillis {
    let unix = offset.saturating_add(boot_millis(boot));
    UnixMillis::try_from(unix).unwrap_or_default()
}

fn boot_millis(boot: Duration) -> i64 {
    i64::try_from(boot.as_millis()).unwrap_or(i64::MAX)
}

//! One node's share of the retries that the whole fleet may send to a pool.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use crate::ids::PoolId;

/// Parts into which a window is cut; a part leaves the window as a whole.
const WINDOW_PARTS: u32 = 20;
/// Share of the ratio that is spent. Requests arrive at the pool later than they were counted
/// here, so the window of the pool may hold a few of them less.
const RATIO_SHARE: f64 = 0.8;

/// Arrivals counted in one part of the window.
#[derive(Clone, Copy, Debug)]
struct WindowPart {
    started: Instant,
    requests: u32,
    retries: u32,
}

/// Retries to each pool, bounded over a sliding window.
///
/// All nodes together may send `ratio` times the requests plus `extra`. A node's own requests
/// earn their ratio here; the extra is divided by the nodes that may be alive, so that the
/// shares add up without the nodes talking.
#[derive(Clone, Debug)]
pub struct WindowBudget {
    window: Duration,
    ratio: f64,
    extra: f64,
    /// How many nodes divide the extra; none where that is not known.
    nodes: Option<u32>,
    pools: HashMap<PoolId, VecDeque<WindowPart>>,
}

impl WindowBudget {
    /// A budget for a fleet of which nobody knows yet how many nodes it has: a share of the extra would be
    /// a guess, and all guesses together might exceed it.
    pub fn new(window: Duration, ratio: f64, extra: f64) -> Self {
        Self {
            window,
            ratio,
            extra,
            nodes: None,
            pools: HashMap::new(),
        }
    }

    /// The same for a fleet of this many nodes.
    pub fn with_nodes(mut self, nodes: u32) -> Self {
        self.set_nodes(nodes);
        self
    }

    /// Takes over other bounds.
    pub fn set_bounds(&mut self, window: Duration, ratio: f64, extra: f64) {
        self.window = window;
        self.ratio = ratio;
        self.extra = extra;
    }

    /// Takes over how many nodes may be alive.
    pub fn set_nodes(&mut self, nodes: u32) {
        self.nodes = Some(nodes.max(1));
    }

    /// A request for the pool came from a caller.
    pub fn earn(&mut self, pool: &PoolId, now: Instant) {
        self.part(pool, now).requests += 1;
    }

    /// Takes one retry, if there is one.
    pub fn spend(&mut self, pool: &PoolId, now: Instant) -> bool {
        if self.left(pool, now) < 1.0 {
            return false;
        }
        self.part(pool, now).retries += 1;
        true
    }

    /// Retries that may still be sent.
    pub fn left(&mut self, pool: &PoolId, now: Instant) -> f64 {
        let share = self.nodes.map_or(0.0, |nodes| 1.0 / f64::from(nodes));
        let allowed_extra = self.extra * share;
        let ratio = self.ratio * RATIO_SHARE;
        self.part(pool, now);
        let parts = &self.pools[pool];
        let requests: u32 = parts.iter().map(|part| part.requests).sum();
        let retries: u32 = parts.iter().map(|part| part.retries).sum();
        f64::from(requests) * ratio + allowed_extra - f64::from(retries)
    }

    fn part(&mut self, pool: &PoolId, now: Instant) -> &mut WindowPart {
        let width = self.window / WINDOW_PARTS;
        // One part more than the window: a part counts until its youngest arrival is out.
        let oldest = self.window + width;
        let parts = self.pools.entry(pool.clone()).or_default();
        while parts
            .front()
            .is_some_and(|part| now.saturating_duration_since(part.started) > oldest)
        {
            parts.pop_front();
        }
        let is_current = parts
            .back()
            .is_some_and(|part| now.saturating_duration_since(part.started) < width);
        if !is_current {
            parts.push_back(WindowPart {
                started: now,
                requests: 0,
                retries: 0,
            });
        }
        let last = parts.len() - 1;
        &mut parts[last]
    }
}

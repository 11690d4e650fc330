//! Request bodies that are being received, and which of them gives up its memory if there is too little.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Id of a body within its node.
pub type BodyId = u64;

/// Time for which a body is received before it may have to give up its memory.
const MIN_AGE: Duration = Duration::from_millis(500);

/// Body that is being received.
#[derive(Clone, Copy, Debug)]
struct OpenBody {
    begun: Instant,
    received: usize,
    held: usize,
}

impl OpenBody {
    /// Returns the rate at which the body arrives, in bytes per second.
    fn rate(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.begun).max(MIN_AGE);
        self.received as f64 / age.as_secs_f64()
    }
}

/// Bodies that are being received.
#[derive(Clone, Debug, Default)]
pub struct BodyTable {
    next_id: BodyId,
    bodies: HashMap<BodyId, OpenBody>,
}

impl BodyTable {
    /// Adds a body of which nothing was received.
    pub fn begin(&mut self, now: Instant) -> BodyId {
        let id = self.next_id;
        self.next_id += 1;
        let body = OpenBody {
            begun: now,
            received: 0,
            held: 0,
        };
        self.bodies.insert(id, body);
        id
    }

    /// Records how many bytes of a body were received, and how many are held for it.
    pub fn record(&mut self, id: BodyId, received: usize, held: usize) {
        if let Some(body) = self.bodies.get_mut(&id) {
            body.received = received;
            body.held = held;
        }
    }

    /// Removes a body that was received, or ended otherwise. Returns whether it had not given up its memory.
    pub fn remove(&mut self, id: BodyId) -> bool {
        self.bodies.remove(&id).is_some()
    }

    /// Removes the bodies that arrive most slowly until they held `wanted` bytes, and returns them. Bodies that have
    /// only just begun stay, as does the one that needs the memory.
    pub fn revoke(&mut self, wanted: usize, needed_by: BodyId, now: Instant) -> Vec<BodyId> {
        let mut bodies: Vec<(BodyId, OpenBody)> = self
            .bodies
            .iter()
            .filter(|(id, body)| {
                **id != needed_by
                    && body.held > 0
                    && now.saturating_duration_since(body.begun) >= MIN_AGE
            })
            .map(|(id, body)| (*id, *body))
            .collect();
        bodies.sort_by(|(_, one), (_, other)| one.rate(now).total_cmp(&other.rate(now)));
        let mut released = 0;
        let mut revoked = Vec::new();
        for (id, body) in bodies {
            if released >= wanted {
                break;
            }
            released += body.held;
            self.bodies.remove(&id);
            revoked.push(id);
        }
        revoked
    }
}

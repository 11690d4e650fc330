//! Requests that wait at this node for room at a server, and callers that were told when to return.

mod pool_room;
mod promises;
mod queue;
mod rates;
mod schedule;

pub use pool_room::PoolRoom;
pub use promises::{ReturnOffer, ReturnPromises, ReturnSource};
pub use queue::{ClaimedPlace, PlaceBounds, WaitId, WaitQueue, WaitRequest};

//! Decisions on callers' connections and request bodies: how many a node holds, and which end first if there are more.

pub mod body_table;
pub mod connection_bounds;
pub mod connection_table;

pub use body_table::{BodyId, BodyTable};
pub use connection_bounds::{ConnectionBounds, MachineLimits, RECEIVE_BUFFER};
pub use connection_table::{ConnectionId, ConnectionPhase, ConnectionTable};

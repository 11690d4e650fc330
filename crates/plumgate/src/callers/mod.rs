//! Decisions on callers' connections: how many a node holds, and which end first if there are more.

pub mod connection_bounds;
pub mod connection_table;

pub use connection_bounds::{ConnectionBounds, MachineLimits, RECEIVE_BUFFER};
pub use connection_table::{ConnectionId, ConnectionPhase, ConnectionTable};

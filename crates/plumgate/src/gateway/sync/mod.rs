//! Synchronization of the store's state between nodes: incremental changes and full snapshots.
//!
//! Few nodes read the store; all others get its state from them.

pub(crate) mod messages;

mod change_log;
mod snapshots;
mod state;

pub use messages::{ServerUpdate, SyncRequest, SyncResponse};
pub use snapshots::{ConfigSnapshot, ServersSnapshot, ServersState, SnapshotState, StateSnapshot};
pub use state::{SourceTopic, SyncOutcome, SyncState};

//! Synchronization of the store's state between nodes: incremental changes and whole snapshots.
//!
//! Few nodes read the store; all others get its state from them.

pub(crate) mod messages;

mod copies;
mod desk;
mod log;

pub use copies::{ConfigCopy, ServersCopy, ServersState, StateCopy};
pub use desk::{NewsDesk, NewsTaken, SourceTopic};
pub use messages::{NewsAnswer, NewsQuestion, ServerNews};

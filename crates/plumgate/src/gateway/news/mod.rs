//! What one node reads of the store for others: changes, and whole copies.

pub(crate) mod messages;

mod copies;
mod desk;
mod log;

pub use copies::{ConfigCopy, ServersCopy, ServersState, StateCopy};
pub use desk::{NewsDesk, NewsTaken, SourceTopic};
pub use messages::{NewsAnswer, NewsQuestion, ServerNews};

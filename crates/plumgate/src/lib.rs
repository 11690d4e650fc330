//! Every decision of plumgate, a router for language-model traffic with service
//! levels and priorities.
//!
//! The crate does no I/O, starts no threads and reads no clock. Each part takes an
//! event and the time and returns actions, so that a daemon, a test or another
//! program can drive it. The same seed and the same events give the same actions.

#![forbid(unsafe_code)]

pub mod attempt;
pub mod chart;
pub mod claim;
pub mod config;
pub mod dispatch;
pub mod errors;
pub mod findings;
pub mod follow;
pub mod ids;
pub mod lease;
pub mod limits;
pub mod membership;
pub mod outcome;
pub mod placement;
pub mod retry;
pub mod route;
pub mod wire;

pub use errors::{Error, Result};
pub use findings::{FileFinding, FindingList};
pub use outcome::RunOutcome;

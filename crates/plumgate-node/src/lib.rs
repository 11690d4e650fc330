//! One node of plumgate: accepts callers' requests, sends them to backend servers, and exchanges state with
//! the platform and the other nodes.
//!
//! The decisions themselves are in the `plumgate` crate. Control state is owned by one thread, the control
//! thread; traffic threads read the snapshots that it publishes and share the dispatcher behind one mutex.

#![forbid(unsafe_code)]

pub mod answer_framing;
pub mod clock;
pub mod errors;
pub mod gateway;
pub mod link;
pub mod log;
pub mod log_sink;
pub mod platform;
pub mod settings;
pub mod status;

mod admin;
mod answer;
mod attempt;
mod body;
mod body_reader;
mod call;
mod caller_connections;
mod caller_error;
mod caller_sink;
mod caller_stream;
mod callers;
mod claims;
mod connection_activity;
mod connection_pool;
mod control;
pub mod http;
mod lifecycle;
mod metrics;
mod node;
mod observe;
mod orders;
mod peers;
mod relay;
mod shared;
mod tunnel_stream;

pub use clock::{Clock, PausedClock, SystemClock};
pub use errors::{Error, Result};
pub use node::{Node, NodeAddresses};
pub use settings::NodeSettings;

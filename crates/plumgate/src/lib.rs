//! Decision logic of plumgate, a router for language-model traffic with service levels
//! and priorities.
//!
//! The crate does no I/O, starts no threads and reads no clock. Each part takes an
//! event and the time and returns actions, so that a daemon, a test or another
//! program can drive it. The same seed and the same events give the same actions.
//!
//! ```
//! use std::sync::Arc;
//! use std::time::{Duration, Instant};
//!
//! use plumgate::config::ConfigBundle;
//! use plumgate::dispatch::{DispatchAction, DispatchOptions, Dispatcher, RequestTicket};
//! use plumgate::route::RouteOptions;
//!
//! let inventory = r#"
//! [data_centres.hall-a]
//! region = "tx-central"
//! [servers.model-01]
//! data_centre = "hall-a"
//! model = "writer"
//! address = "10.0.0.1:8000"
//! slots = 8
//! [workspaces.lab]
//! tier = "first"
//! concurrency = 10
//! requests_per_second = 10
//! "#;
//! let rules = "[tiers.first]\nrank = 1\n";
//! let config = ConfigBundle::new(inventory, rules).read(1)?;
//!
//! let now = Instant::now();
//! let mut dispatcher = Dispatcher::new(DispatchOptions::new(RouteOptions::new("hall-a")));
//! dispatcher.set_config(Arc::new(config), now);
//! let ticket = RequestTicket {
//!     id: "request-1".into(),
//!     workspace: "lab".into(),
//!     class: "check".into(),
//!     rank: 1,
//!     pool: "writer".into(),
//!     idempotent: true,
//!     arrived: now,
//!     due: now + Duration::from_secs(1),
//!     expires_at: now + Duration::from_secs(5),
//!     expected_tokens: 40,
//!     prefix: None,
//!     avoid: Vec::new(),
//! };
//! let actions = dispatcher.submit(ticket, now);
//! assert!(matches!(&actions[0], DispatchAction::Start(order) if &*order.choice.server.id == "model-01"));
//! # Ok::<(), plumgate::Error>(())
//! ```

#![forbid(unsafe_code)]

pub mod attempt;
pub mod callers;
pub mod chart;
pub mod claim;
pub mod config;
pub mod config_follower;
pub(crate) mod denial_count;
pub mod dispatch;
pub mod duty;
pub mod errors;
pub mod findings;
pub mod gateway;
pub mod ids;
pub mod lease;
pub mod limits;
pub mod membership;
pub mod model_placement;
pub mod outcome;
pub mod retry;
pub mod route;
pub mod settled_text;
pub mod store_version;
pub(crate) mod token_bucket;
pub mod wire;

pub use errors::{Error, Result};
pub use findings::{FileFinding, FindingList};
pub use outcome::RunOutcome;
pub use store_version::{StoreEra, StoreVersion};

//! Gateway node, which relays complete requests byte for byte.
//!
//! Decisions come from `plumgate::gateway`. The protocols of the store, the callers and the backend servers are
//! implemented outside, by the traits in [`ports`].

pub mod ports;

mod answer;
mod attempt;
mod caller;
mod carried_tunnels;
mod checks;
mod connection_cause;
mod connection_close;
mod connection_report;
mod control;
mod duties;
mod duty_calls;
mod exchange;
mod following;
mod guards;
mod incarnations;
mod lifecycle;
mod links;
mod metrics;
mod node;
mod open_requests;
mod options;
mod peer_connections;
mod read_ahead;
mod relay;
mod relay_report;
mod request;
mod retry_payment;
mod run;
mod second_run;
mod server_body;
mod server_check;
mod server_connection;
mod server_limits;
mod server_notices;
mod server_paths;
mod server_profiles;
mod shared;
mod shares;
mod snapshot_requests;
mod snapshots;
mod source_calls;
mod stopping;
mod stream;
mod stream_content;
mod stream_origins;
mod suspects;
mod tunnels;
mod verdicts;
mod view;
mod view_servers;
mod view_snapshots;
mod waiting;

pub use duties::DUTIES_PATH;
pub use node::{GatewayAddresses, GatewayHandle, GatewayNode};
pub use options::{DutyOptions, GatewayBounds, GatewayOptions, HostTranslation};
pub use server_limits::LIMITS_PATH;
pub use server_notices::STATEMENTS_PATH;

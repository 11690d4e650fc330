//! Decisions of the gateway: requests relayed byte for byte by host and path.
//!
//! The gateway serves fleets whose callers and backend servers already share a protocol.
//! It picks the route, the workspace and the server, keeps retries within the fleet's
//! budget, and refuses what may not run; what goes over the wire is an adapter's matter.

pub mod admission;
pub mod budget;
pub mod centres;
pub mod choice;
pub mod config;
pub mod events;
pub mod exchange;
pub mod freshness;
pub mod load;
pub mod news;
pub mod prompt;
pub mod servers;
pub mod state_copy;
pub mod switches;
pub mod work;

mod groups;
mod homes;
mod messages;
mod news_log;
mod news_messages;
mod peers;
mod reading;
mod server_load;
mod told;

pub use admission::{AdmissionPolicy, AdmissionVerdict, QueuePrediction};
pub use budget::WindowBudget;
pub use choice::{PlacementOptions, PlacementPolicy, PlacementRequest, ServerPick};
pub use config::{
    CallerLimits, GatewayConfig, GatewayRoute, PoolSplit, RepeatKind, RouteMatch, StreamClass,
    WorkspaceKeys,
};
pub use events::EventSplitter;
pub use exchange::{LoadExchange, TalkMoment};
pub use freshness::FreshnessLease;
pub use load::LoadTable;
pub use messages::PartPlace;
pub use news::{NewsDesk, NewsTaken, SourceTopic};
pub use news_messages::{NewsAnswer, NewsQuestion, ServerNews};
pub use peers::{NodeCapacity, NodeEntry};
pub use prompt::{PromptPart, PromptShape};
pub use servers::{ServerEntry, ServerState, ServerTable};
pub use state_copy::{ConfigCopy, ServersCopy, ServersState, StateCopy};
pub use switches::{PolicyPart, PolicySwitches};
pub use work::{ServerWork, WorkEnd, WorkTicket};

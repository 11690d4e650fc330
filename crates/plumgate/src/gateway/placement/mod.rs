//! Placement of requests on backend servers, and the state of the servers as known to one node.

mod candidates;
pub mod data_centres;

mod affinity;
mod brittle_pools;
mod cache_holder;
mod choice;
mod demand;
mod engine_memory;
mod groups;
mod load;
mod load_groups;
mod memory_exchange;
mod place_exchange;
mod place_loans;
mod place_ranks;
mod prefill_speed;
mod profiles;
mod server_load;
mod server_room;
mod start_phase;

pub use choice::{PlacementOptions, PlacementPolicy, PlacementRequest, ServerPick};
pub(crate) use engine_memory::MemoryReservation;
pub use engine_memory::PoolMemoryUse;
pub use groups::GroupChange;
pub use load::LoadTable;
pub use place_exchange::PlaceRound;
pub use place_loans::{ExpiredLoan, PlaceMessage};
pub use place_ranks::{RankChange, RankSource};
pub use profiles::{ProfileChange, ProfileCounts};
pub use server_room::{PlaceUse, SendRight};

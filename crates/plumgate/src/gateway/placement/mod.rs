//! Which backend server a request goes to, and what a node knows of the servers.

mod candidates;
pub mod centres;

mod choice;
mod demand;
mod groups;
mod homes;
mod keepers;
mod load;
mod reading;
mod server_load;

pub use choice::{PlacementOptions, PlacementPolicy, PlacementRequest, ServerPick};
pub use load::LoadTable;

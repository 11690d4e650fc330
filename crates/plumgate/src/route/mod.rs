//! Choice of the backend server for a request.

mod estimate;
mod prefix;
mod shares;
mod speed;
mod table;

pub use estimate::{LoadReport, ServerEstimate};
pub use speed::ServerSpeed;
pub use table::{
    LeavingSource, PeerServerLoad, RouteChoice, RouteOptions, RoutePolicy, RouteTable,
};

/// Rank of the highest tier.
pub(crate) const HIGHEST_RANK: crate::ids::TierRank = 1;

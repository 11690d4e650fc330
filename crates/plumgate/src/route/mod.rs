//! Which backend server a request goes to.

mod estimate;
mod prefix;
mod table;

pub use estimate::{LoadReport, ServerEstimate};
pub use table::{
    LeavingSource, PeerServerLoad, RouteChoice, RouteOptions, RoutePolicy, RouteTable,
};

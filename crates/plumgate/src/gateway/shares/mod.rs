//! Fair shares of workspaces where capacity is short.
//!
//! A node counts the work that each workspace is given in each pool and tier, and exchanges the counts with the other
//! nodes while capacity is short. From the sums it derives the level up to which every workspace of a tier is served
//! before any gets more. See `docs/design/workspace-shares.md`.

mod fair_level;
mod share_group;
mod share_holder;
mod share_table;
mod work_usage;

pub use share_holder::ShareHolder;
pub use share_table::{ShareAssessment, ShareCounts, ShareTicket, WorkspaceShares};

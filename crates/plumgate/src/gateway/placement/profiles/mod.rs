//! Profiles of individual servers: how fast each incarnation is relative to its pool, learnt from answers and from what
//! other nodes report. The profiles of a pool take effect only where its servers are observed to differ
//! (`docs/design/server-profiles.md`).

mod evidence;
mod pool_profile;
mod profile_table;
mod server_profile;

pub use profile_table::{ProfileChange, ProfileCounts};
pub(crate) use profile_table::{ProfileTable, ServerPace};
pub(crate) use server_profile::ServerProfile;

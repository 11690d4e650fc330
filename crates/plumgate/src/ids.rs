//! Type aliases for ids. All are cheap to clone.

use std::sync::Arc;

/// Name of a backend server in the inventory.
pub type ServerId = Arc<str>;
/// Name of a workspace in the inventory.
pub type WorkspaceId = Arc<str>;
/// Name of a data centre in the inventory.
pub type DataCentreId = Arc<str>;
/// Name of a request class in the rules.
pub type ClassId = Arc<str>;
/// Name of a tier in the rules.
pub type TierId = Arc<str>;
/// Name of a model or of a plain service: what a backend server serves.
pub type PoolId = Arc<str>;
/// Version of the software of a backend server, as the server names it. Versions have no order.
pub type SoftwareVersion = Arc<str>;
/// Name of one entry VM; a replacement VM gets another name.
pub type NodeId = Arc<str>;
/// Id of one caller's request, unique over all nodes.
pub type RequestId = Arc<str>;
/// Version of the configuration, which only increases.
pub type ConfigVersion = u64;
/// Epoch of a lease; orders carry it so that engines can refuse orders of an earlier holder.
pub type FencingNumber = u64;
/// Position of a tier, 1 for the highest.
pub type TierRank = u8;
/// Number of an attempt within a request, from 1.
pub type AttemptNumber = u32;

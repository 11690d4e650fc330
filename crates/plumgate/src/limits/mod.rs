//! Workspace limits, which hold for all nodes together.
//!
//! A limit is either split over the nodes, each of which enforces its share without a request to another
//! node, or issued as permits. A limit is split while every node's equal share allows a useful burst. A limit
//! that is too small for the number of nodes is held by one node, the issuer, which grants permits to the
//! others: many small bursts would add up to far more than the limit. Likewise, a limit of requests in flight
//! that is smaller than the number of nodes is leased in slots by its issuer.
//!
//! Shares follow the demand that nodes report to each other; a node that is disconnected from its peers takes
//! an equal share among all nodes that it knew. While shares change, nodes may together exceed the limit, by at
//! most the limit itself, until the demand of the others is known.

mod held_slots;
mod permit_issuer;
mod slot_issuer;
mod workspace_limits;
mod workspace_usage;

pub(crate) use held_slots::SlotNeed;
pub use permit_issuer::{PERMIT_LIFETIME, PermitGrant};
pub use slot_issuer::{SLOT_LIFETIME, SlotDemand};
pub use workspace_limits::WorkspaceLimits;

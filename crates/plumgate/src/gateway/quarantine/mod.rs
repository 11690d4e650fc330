//! Requests that end the backend servers that run them (queries of death): what tells them apart, what
//! speaks against them, and when no server gets them any more.
//!
//! A run that breaks off or stays silent leaves a doubt; that its server ended shows by a connection that its
//! machine refuses, by its entry that lapses, or by its next start. What a node learns it tells the others beside its load, sealed; each node judges
//! by itself, and all that know the same come to the same verdict. An answer to the request, or a
//! sign of life of a server, takes evidence back.

mod answers;
mod doubts;
mod evidence;
mod flights;
mod identity;
mod keeping;
mod life_signs;
mod notice;
mod rule;
mod table;
mod telling;
mod verdict;

pub use evidence::{EndCount, EndSign};
pub use identity::{IdentityHasher, RequestHead, RequestIdentity};
pub use rule::{HOLD_TIME, SuspectState};
pub use table::QuarantineTable;
pub use verdict::{
    HoldReason, KeepChange, KeptVerdict, LinkAge, ReleaseReason, RequestHold, RequestVerdict,
    RunFinding, RunTicket, SuspectEvent,
};

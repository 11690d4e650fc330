//! Quarantine of poison requests (queries of death): requests that crash the backend servers that run them.
//!
//! A run that breaks off or gets no answer is in doubt. A crash of its server is inferred from a refused
//! connection to the server's machine, from the lapse of the server's store entry, or from a restart. Nodes
//! exchange this evidence in sealed notices beside their load reports. Each node decides on its own, and
//! nodes with the same evidence reach the same verdict. An answer to the request, or a later response of a
//! server, refutes evidence.

mod answers;
mod blame;
mod blame_index;
mod events;
mod evidence;
mod identity;
mod in_doubt;
mod in_flight;
mod notice;
mod notice_exchange;
mod record;
mod records;
mod response_times;
mod rule;
mod run_suspects;
mod stored_verdicts;
mod table;
mod turns;
mod verdict;

pub use evidence::{CrashCount, CrashSign};
pub use identity::{IdentityHasher, RequestHead, RequestIdentity};
pub use rule::{BLOCK_DURATION, SuspectState};
pub use run_suspects::RunSuspects;
pub use table::QuarantineTable;
pub use verdict::{
    BlockReason, BlockedRequest, ConnectionKind, ReleaseReason, RequestVerdict, RunFinding,
    RunTicket, StoredVerdict, SuspectEvent, VerdictChange,
};
